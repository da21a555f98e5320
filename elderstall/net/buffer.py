"""The receive buffer of a connection: it grows as needed and is compacted in place."""

from __future__ import annotations

import sys

MIN_CONSUMED_TO_COMPACT = 4096  # consumed bytes, below which moving the remainder is not worthwhile


class Buffer:
    """Bytes that were received and are not yet consumed."""

    __slots__ = ("data", "start", "searched")

    def __init__(self) -> None:
        self.data = bytearray()
        self.start = 0  # index of the first byte that is not consumed
        self.searched = 0  # index up to which a search has looked

    def __len__(self) -> int:
        return len(self.data) - self.start

    def append(self, data: bytes) -> None:
        """Append received bytes, first moving the remainder to the front where much is consumed."""
        if self.start >= MIN_CONSUMED_TO_COMPACT and self.start * 2 >= len(self.data):
            del self.data[: self.start]
            self.searched = max(0, self.searched - self.start)
            self.start = 0
        self.data += data

    def clear(self) -> None:
        """Drop everything."""
        self.data.clear()
        self.start = self.searched = 0

    def find(self, delimiter: bytes) -> int:
        """Return the length before a delimiter, or -1; searched bytes are not searched again."""
        index = self.data.find(delimiter, max(self.start, self.searched - len(delimiter) + 1))
        if index < 0:
            self.searched = len(self.data)
            return -1
        return index - self.start

    def peek(self, length: int) -> bytes:
        """Return up to ``length`` bytes without consuming them."""
        return bytes(self.data[self.start : self.start + length])

    def take(self, length: int) -> bytes:
        """Consume and return up to ``length`` bytes."""
        taken = bytes(self.data[self.start : self.start + length])
        self.skip(len(taken))
        return taken

    def skip(self, length: int) -> None:
        """Consume ``length`` bytes that are there."""
        self.start += length
        self.searched = self.start
        if self.start == len(self.data):
            self.clear()  # a peer may be silent for long now

    @property
    def memory_bytes(self) -> int:
        """The memory of the bytes, with consumed ones and spare capacity; 0 while there are none."""
        return sys.getsizeof(self.data) if self.data else 0
