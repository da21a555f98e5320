"""Offset of the wall clock from the monotonic clock, and clock readings for another process.

The wall clock may be stepped by any amount at any time. Deadlines, windows and ages are therefore readings of
`Deadlines.now`, which follows the monotonic clock alone. The wall clock is read only for times from other
machines, and for messages to a process that understands no other times.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

# The process may be paused for this long between an event and its reading of the clock, or between that
# reading and what it writes. Deadlines and windows allow for it; it is not enforced.
MAX_PROCESS_PAUSE_MS = 150.0
READING_TOLERANCE_MS = 5.0  # smaller errors of measurement and drifts are ignored
MAX_READINGS = 5  # the tightest is used: the process may pause between reading two clocks
SHARED_CLOCK_VERSION = 1  # version of the encoding for the peer process of an upgrade


def wall_offset(seconds: Callable[[], float], unix_ms: Callable[[], float], known: float) -> float:
    """Return the wall clock's lead over the monotonic clock in ms, or ``known`` if that is still accurate."""
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
    """Codec of clock readings that are exchanged with the peer process of an upgrade.

    Both processes read the same monotonic clock, and each adds an offset that it measured at its start.
    Readings are sent as the monotonic clock plus ``wire_offset_ms``, the wall clock's offset when the message
    is sent, which the message has too; the receiver shifts them to its own offset. A receiver of an earlier
    version ignores the offset in the message. It has just started, and so has measured the same one.
    """

    wire_offset_ms: float | None  # None: the sender is of an earlier version, which sends none
    local_offset_ms: float  # added to the monotonic clock by this process

    @property
    def has_sender_offset(self) -> bool:
        """Whether the offset of the received readings is known, so that they can be converted."""
        return self.wire_offset_ms is not None

    @property
    def shift(self) -> float:
        """Difference in ms between readings as sent and this process's own."""
        return 0.0 if self.wire_offset_ms is None else self.wire_offset_ms - self.local_offset_ms

    def encode_reading(self, reading: float) -> float:
        """Convert a reading of this process's clock to the form that is sent."""
        return reading + self.shift

    def decode_reading(self, reading: float) -> float:
        """Convert a received reading to one of this process's clock."""
        return reading - self.shift

    def encode(self) -> dict[str, float]:
        """Return the offset as part of a message."""
        return {"version": SHARED_CLOCK_VERSION, "offset_ms": self.wire_offset_ms or 0.0}

    @classmethod
    def of_message(cls, message: dict[str, Any], local_offset_ms: float) -> SharedClock:
        """Return the clock of a message; without an offset if the sender does not send one."""
        clock = message.get("clock") or {}
        is_known_version = clock.get("version") == SHARED_CLOCK_VERSION
        return cls(float(clock["offset_ms"]) if is_known_version else None, local_offset_ms)
