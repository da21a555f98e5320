"""A table whose numbers combine a slot and its generation, so that a stale number finds nothing."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
SLOT_BITS = 16
SLOT_MASK = (1 << SLOT_BITS) - 1


class Slots(Generic[T]):
    """Items by number; a freed slot is reused with the next generation."""

    def __init__(self, max_items: int = SLOT_MASK) -> None:
        self.max_items = min(max_items, SLOT_MASK)
        self.items: list[T | None] = []
        self.generations: list[int] = []
        self.free: list[int] = []

    def __len__(self) -> int:
        return len(self.items) - len(self.free)

    def __iter__(self) -> Iterator[T]:
        return iter([item for item in self.items if item is not None])

    @property
    def is_full(self) -> bool:
        """Whether the table is full."""
        return not self.free and len(self.items) >= self.max_items

    def add(self, item: T) -> int:
        """Store an item and return its number; raises OverflowError if the table is full."""
        if self.free:
            slot = self.free.pop()
        elif len(self.items) < self.max_items:
            slot = len(self.items)
            self.items.append(None)
            self.generations.append(0)
        else:
            raise OverflowError("no slot is free")
        self.generations[slot] += 1
        self.items[slot] = item
        return self.generations[slot] << SLOT_BITS | slot

    def get(self, number: int) -> T | None:
        """Return the item of a number, or None if it was removed."""
        slot = number & SLOT_MASK
        if slot >= len(self.items) or self.generations[slot] != number >> SLOT_BITS:
            return None
        return self.items[slot]

    def remove(self, number: int) -> None:
        """Remove the item of a number; a stale number has no effect."""
        if self.get(number) is not None:
            slot = number & SLOT_MASK
            self.items[slot] = None
            self.free.append(slot)
