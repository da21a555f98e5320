"""Limits on the number of connections, and the order in which they are shed when descriptors run short.

Above the shedding threshold the least valuable connections are closed; at the maximum none is accepted.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from itertools import islice
from typing import Generic, Protocol, TypeVar

from elderstall.deadlines import Deadline, Deadlines
from elderstall.net.server.memory import MemoryBudget
from elderstall.slots import Slots

MAX_SHED_CANDIDATES = 8  # connections of one activity that one search examines
# A connection that is new, lingers or does not read is not shed before this time. A new client's first
# request may still be on its way, even when this process is busy.
MIN_SHED_AGE_MS = 100.0


class Activity(IntEnum):
    """The activity of a connection that can be shed; the lowest is shed first."""

    NEW = 0  # no request yet
    LINGERING = 1  # this side is closing; answers may still be unwritten, and there may be none at all
    NOT_READING = 2  # does not read its answers, of which none is a job's
    HEALTH_CHECKED = 3  # between requests; it has requested only /up
    IDLE = 4  # a client or a worker between requests
    READING = 5  # receiving a request: the first one once its head is valid, a later one from its first byte


class Sheddable(Protocol):
    """The interface of a connection that the table uses."""

    number: int
    activity: Activity | None
    active_since: float

    @property
    def can_shed(self) -> bool:
        """Whether closing the connection loses nothing that is owed to the peer."""

    def shed(self) -> None:
        """Close because descriptors run short."""


ConnectionT = TypeVar("ConnectionT", bound=Sheddable)


class ConnectionTable(Generic[ConnectionT]):
    """The open connections, by number and by activity."""

    def __init__(
        self, deadlines: Deadlines, max_connections: int, shedding_threshold: int, memory: MemoryBudget
    ) -> None:
        self.deadlines = deadlines
        self.memory = memory
        # Unlimited: the reactor may accept a few connections in one turn before it stops accepting.
        self.connections: Slots[ConnectionT] = Slots()
        self.max_connections = max_connections
        self.shedding_threshold = shedding_threshold
        # Connections of the peer process of an upgrade, which count against the limits of this one.
        self.peer_process_connections = 0
        # The connections that can be shed, in the order of shedding; within an activity the oldest is first.
        self.by_activity: tuple[dict[int, ConnectionT], ...] = tuple({} for _ in Activity)
        self.ending_count = 0  # connections in Stage.ENDING: their descriptor will soon be free
        # Enables or disables accepting on the listening port.
        self.accept: Callable[[bool], None] = lambda enabled: None
        self.accepting = True
        self.recheck: Deadline | None = None

    def set_activity(self, connection: ConnectionT, activity: Activity | None) -> None:
        """Record the activity of a connection; with None it cannot be shed."""
        if connection.activity is not None:
            self.by_activity[connection.activity].pop(connection.number, None)
        connection.activity = activity
        connection.active_since = self.deadlines.now()
        if activity is not None:
            self.by_activity[activity][connection.number] = connection

    def with_activity(self, *activities: Activity) -> list[ConnectionT]:
        """Return the connections with the given activities, in the order of the arguments."""
        return [connection for activity in activities for connection in self.by_activity[activity].values()]

    def first_to_shed(self) -> ConnectionT | None:
        """Return the connection to shed first, or None if none can be shed."""
        now = self.deadlines.now()
        for activity, connections in zip(Activity, self.by_activity, strict=True):
            for connection in islice(connections.values(), MAX_SHED_CANDIDATES):
                if activity <= Activity.NOT_READING and now - connection.active_since < MIN_SHED_AGE_MS:
                    break
                if connection.can_shed:
                    return connection
        return None

    @property
    def local_shedding_threshold(self) -> int:
        """The number of connections above which this process sheds some."""
        return self.memory.scale(self.shedding_threshold) - self.peer_process_connections

    @property
    def capacity_left(self) -> int:
        """The number of further connections that may be accepted."""
        return self.max_connections - self.peer_process_connections - len(self.connections)

    @property
    def open_count(self) -> int:
        """The number of connections that are not ending; it includes those released for a hand-over."""
        return len(self.connections) - self.ending_count

    @property
    def busy_count(self) -> int:
        """The number of connections that are not ending and cannot be shed, as they have no activity.

        They are handling a request, wait for the peer to read an answer, or are released for a hand-over.
        """
        return self.open_count - sum(map(len, self.by_activity))

    def enforce_limits(self) -> None:
        """Shed connections above the threshold, and stop accepting at the maximum.

        Hundreds of peers that connect and send nothing would otherwise use up the descriptors that ordinary
        clients and workers' callbacks need.
        """
        while (
            self.open_count > self.local_shedding_threshold
            and (connection := self.first_to_shed()) is not None
        ):
            connection.shed()
        if (enabled := self.capacity_left > 0) is not self.accepting:
            self.accepting = enabled
            self.accept(enabled)
        if self.open_count > self.local_shedding_threshold and self.recheck is None:
            # By then connections that are too new to shed now have reached the minimum age.
            self.recheck = self.deadlines.after(MIN_SHED_AGE_MS, self.check_again)

    def check_again(self) -> None:
        """Enforce the limits again, as connections that were too new can be shed now."""
        self.recheck = None
        self.enforce_limits()
