"""How many connections are admitted, and which are shed first where descriptors run short.

Past the soft limit connections that can best be done without are closed; past the hard one none is accepted.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from itertools import islice
from typing import Generic, Protocol, TypeVar

from elderstall.deadlines import Deadline, Deadlines
from elderstall.slots import Slots

SHED_CANDIDATES = 8  # connections of one activity that are looked at for one to shed, in one go
MIN_SHED_AGE = 100.0  # ms in which a new client's first request is on its way, however busy this program is


class Activity(IntEnum):
    """What a connection that may be shed is doing; the lowest is shed first."""

    NEW = 0  # no request yet
    CLOSING = 1  # the last answer is out
    HEALTH_CHECKED = 2  # between requests; it has asked for /up alone
    IDLE = 3  # a client or a worker between requests
    READING = 4  # amid a request whose head is good


class Sheddable(Protocol):
    """A connection as the table sees it."""

    number: int
    activity: Activity | None
    active_since: float

    @property
    def may_shed(self) -> bool:
        """Whether nothing that is owed to the peer would be lost with the connection."""

    def shed(self) -> None:
        """Close for want of descriptors."""


C = TypeVar("C", bound=Sheddable)


class ConnectionTable(Generic[C]):
    """The connections that are open, by their numbers and by what they are doing."""

    def __init__(self, deadlines: Deadlines, max_connections: int, shedding_threshold: int) -> None:
        self.deadlines = deadlines
        # Accepting stops one step before the table is full; the reactor may hand over a few in one go.
        self.connections: Slots[C] = Slots()
        self.max_connections, self.shedding_threshold = max_connections, shedding_threshold
        self.peer_process_connections = 0  # of an upgrade; they count against the limits here
        # Those that may be shed, in the order of shedding; in each the longest there first.
        self.by_activity: tuple[dict[int, C], ...] = tuple({} for _ in Activity)
        self.closing_count = 0  # connections whose descriptor is free soon
        self.accept: Callable[[bool], None] = lambda on: None  # turns the listening port's reading on or off
        self.accepting = True
        self.recheck: Deadline | None = None

    def set_activity(self, connection: C, activity: Activity | None) -> None:
        """Note what a connection is doing; with None it may not be shed."""
        if connection.activity is not None:
            self.by_activity[connection.activity].pop(connection.number, None)
        connection.activity = activity
        connection.active_since = self.deadlines.now()
        if activity is not None:
            self.by_activity[activity][connection.number] = connection

    def with_activity(self, *activities: Activity) -> list[C]:
        """List the connections of some activities, in their order."""
        return [c for activity in activities for c in self.by_activity[activity].values()]

    def first_to_shed(self) -> C | None:
        """Give the connection that can best be done without."""
        now = self.deadlines.now()
        for activity, connections in zip(Activity, self.by_activity, strict=True):
            for connection in islice(connections.values(), SHED_CANDIDATES):
                if activity <= Activity.CLOSING and now - connection.active_since < MIN_SHED_AGE:
                    break
                if connection.may_shed:
                    return connection
        return None

    @property
    def soft_limit(self) -> int:
        """How many connections are kept before some are shed."""
        return self.shedding_threshold - self.peer_process_connections

    @property
    def capacity_left(self) -> int:
        """How many more connections may come in."""
        return self.max_connections - self.peer_process_connections - len(self.connections)

    @property
    def open_count(self) -> int:
        """How many connections are not about to be free."""
        return len(self.connections) - self.closing_count

    @property
    def busy_count(self) -> int:
        """How many connections have a request in hand."""
        return self.open_count - sum(map(len, self.by_activity))

    def enforce_limits(self) -> None:
        """Keep descriptors back: past the soft limit some are shed, past the hard one none come in.

        Guards the usual clients and workers' callbacks against hundreds that connect and say nothing.
        """
        while self.open_count > self.soft_limit and (connection := self.first_to_shed()) is not None:
            connection.shed()
        if (on := self.capacity_left > 0) is not self.accepting:
            self.accepting = on
            self.accept(on)
        if self.open_count > self.soft_limit and self.recheck is None:
            # The youngest will be older then.
            self.recheck = self.deadlines.after(MIN_SHED_AGE, self.check_again)

    def check_again(self) -> None:
        """See whether some may be shed now."""
        self.recheck = None
        self.enforce_limits()
