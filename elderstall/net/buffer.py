"""The one buffer of a connection: it grows as it needs and is compacted in place."""

from __future__ import annotations

COMPACT_AT = 4096  # consumed bytes from which moving the rest pays


class Buffer:
    """Bytes that have come and are not yet consumed."""

    __slots__ = ("data", "start", "seen")

    def __init__(self) -> None:
        self.data = bytearray()
        self.start = 0  # consumed up to here
        self.seen = 0  # a search has looked up to here

    def __len__(self) -> int:
        return len(self.data) - self.start

    def append(self, data: bytes) -> None:
        """Add what has come, moving the rest to the front first where much is consumed."""
        if self.start == len(self.data):
            self.clear()
        elif self.start >= COMPACT_AT and self.start * 2 >= len(self.data):
            del self.data[: self.start]
            self.seen = max(0, self.seen - self.start)
            self.start = 0
        self.data += data

    def clear(self) -> None:
        """Drop everything."""
        self.data.clear()
        self.start = self.seen = 0

    def find(self, mark: bytes) -> int:
        """Give the length up to and without the mark, or -1; bytes once searched are not searched again."""
        at = self.data.find(mark, max(self.start, self.seen - len(mark) + 1))
        if at < 0:
            self.seen = len(self.data)
            return -1
        return at - self.start

    def peek(self, n: int) -> bytes:
        """Give up to n bytes and leave them."""
        return bytes(self.data[self.start : self.start + n])

    def take(self, n: int) -> bytes:
        """Consume n bytes."""
        out = bytes(self.data[self.start : self.start + n])
        self.start += len(out)
        self.seen = self.start
        return out
