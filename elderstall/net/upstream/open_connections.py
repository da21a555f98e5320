"""All connections to workers, and the limit on their number."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

from elderstall.slots import Slots

CLOSING_LIMIT = 8  # connections closed at once to make room: they hold descriptors for one turn more


class IdleConnection(Protocol):
    """A connection that can be closed while it is idle."""

    def close_idle(self) -> None:
        """Close it."""


C = TypeVar("C", bound=IdleConnection)


class OpenConnections(Generic[C]):
    """The connections to all workers by number, with those that open, idle and close."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.slots: Slots[C] = Slots()
        self.opening = 0  # still coming up; they count too
        self.idle = dict[C, None]()  # the one idle for longest first
        self.closing = set[C]()  # told to close; the reactor's next turn does it

    def __len__(self) -> int:
        return len(self.slots)

    def __iter__(self) -> Iterator[C]:
        return iter(self.slots)

    def add(self, connection: C) -> int:
        """Take a connection that has come up, and give its number."""
        return self.slots.add(connection)

    def remove(self, number: int, connection: C) -> None:
        """Take off a connection that has ended."""
        self.idle.pop(connection, None)
        self.slots.remove(number)

    def make_room(self) -> bool:
        """Say whether one more connection may be opened; the one idle for longest is closed for it.

        Guards dispatchers with fewer descriptors than there are workers: idle connections would hold them
        all, and no other worker could be reached until they are old.
        """
        excess = len(self) - len(self.closing) + self.opening - self.limit + 1
        if excess <= 0:
            return True
        if excess > 1 or not self.idle or len(self.closing) >= CLOSING_LIMIT:
            return False
        next(iter(self.idle)).close_idle()
        return True
