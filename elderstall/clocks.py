"""The wall clock beside the monotonic one, and readings that another process can use.

The wall clock may be stepped by any amount at any time. Deadlines, windows and ages are kept as readings of
`Deadlines.now`, which only the monotonic clock moves. The wall clock is read where a time comes from another
machine, and for what is sent to a process that understands nothing else.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

READING_TOLERANCE_MS = 5.0  # ms between two readings of clocks, and of drift, that are not worth following
MAX_READINGS = 5  # readings, of which the tightest counts: the process may be held up between two clocks
SHARED_CLOCK_VERSION = 1  # of the form in which readings are sent to the other process of an upgrade


def wall_offset(seconds: Callable[[], float], unix_ms: Callable[[], float], known: float) -> float:
    """Measure how far the wall clock is ahead of the monotonic one, ms; ``known`` where that still holds."""
    best = known
    narrowest = float("inf")
    for _ in range(MAX_READINGS):
        before = seconds() * 1000
        wall = unix_ms()
        width = seconds() * 1000 - before
        if width < narrowest:
            best = wall - before - width / 2
            narrowest = width
        if width < READING_TOLERANCE_MS:
            break
    return known if abs(best - known) < READING_TOLERANCE_MS else best


@dataclass(slots=True, frozen=True)
class SharedClock:
    """How readings are written for, and read from, the other process of an upgrade.

    Both read the same monotonic clock, and each adds an offset of its own. What is sent is the monotonic
    clock plus ``offset_ms``, the sender's offset, which goes with it. A process of an earlier version ignores
    the offset, and takes what is sent for readings of its own: so the offset is the wall clock's at the
    moment, which is what such a process has measured at its start.
    """

    offset_ms: float | None  # None: the sender is of an earlier version and does not say
    local_offset_ms: float  # what this process adds

    @property
    def has_sender_offset(self) -> bool:
        """Whether the sender's offset is known, so that its readings are valid here."""
        return self.offset_ms is not None

    @property
    def shift(self) -> float:
        """What is added to this process's readings to give those that are sent."""
        return 0.0 if self.offset_ms is None else self.offset_ms - self.local_offset_ms

    def encode_reading(self, reading: float) -> float:
        """Give a reading of this process's clock as it is sent."""
        return reading + self.shift

    def decode_reading(self, reading: float) -> float:
        """Give a reading that was sent as one of this process's clock."""
        return reading - self.shift

    def encode(self) -> dict[str, float]:
        """Write the offset for a message."""
        return {"version": SHARED_CLOCK_VERSION, "offset_ms": self.offset_ms or 0.0}

    @classmethod
    def of_message(cls, message: dict[str, Any], local_offset_ms: float) -> SharedClock:
        """Take the offset from a message; none where it comes from a process that does not send it."""
        clock = message.get("clock") or {}
        is_known_version = clock.get("version") == SHARED_CLOCK_VERSION
        return cls(float(clock["offset_ms"]) if is_known_version else None, local_offset_ms)
