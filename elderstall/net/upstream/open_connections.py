"""The connections to all workers, and the limit on their number."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

from elderstall.slots import Slots

MAX_CLOSING_CONNECTIONS = 8  # at this many, which still hold descriptors, no idle one is closed to make room


class IdleConnection(Protocol):
    """A connection that can be closed while it is idle."""

    def close_idle(self) -> None:
        """Close the connection if it is idle."""


C = TypeVar("C", bound=IdleConnection)


class OpenConnections(Generic[C]):
    """The connections to all workers by number, and which of them are opening, idle or closing."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.slots: Slots[C] = Slots()
        self.opening = 0  # being established; they count towards the limit
        self.idle = dict[C, None]()  # the longest idle first
        self.closing = set[C]()  # aborted; the reactor closes them in its next iteration

    def __len__(self) -> int:
        return len(self.slots)

    def __iter__(self) -> Iterator[C]:
        return iter(self.slots)

    def add(self, connection: C) -> int:
        """Add an established connection and return its number."""
        return self.slots.add(connection)

    def remove(self, number: int, connection: C) -> None:
        """Remove a connection that has ended."""
        self.idle.pop(connection, None)
        self.slots.remove(number)

    def make_room(self) -> bool:
        """Close the longest idle connection if the limit is reached; return whether one more may be opened.

        With fewer descriptors than workers, idle connections would otherwise hold all descriptors, and no
        other worker could be reached until they time out.
        """
        # Connections over the limit once one more is opened. Closing ones do not count: their descriptors
        # are free in the next iteration of the reactor.
        excess = len(self) - len(self.closing) + self.opening - self.limit + 1
        if excess <= 0:
            return True
        if excess > 1 or not self.idle or len(self.closing) >= MAX_CLOSING_CONNECTIONS:
            return False
        next(iter(self.idle)).close_idle()
        return True
