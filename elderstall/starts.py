"""Start times of workers, as readings of the monotonic clock.

The endpoint list has each start as Unix time, which shows a worker's age only until a clock is stepped. Here
a start is converted to a reading of `Deadlines.now` when first listed, and keeps it as long as the list has
the same Unix time. An uncertain start is moved towards now, but not past it: its worker may
count as colder than it is, but no colder than one that starts now.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from elderstall.clocks import SharedClock
from elderstall.deadlines import Deadlines

MAX_OFFSETS = 8  # recent offsets of the wall clock: an entry may be stamped with any of them
MAX_SLEW_MS = 500.0  # drift of the wall clock between two list updates; more is a step
MAX_GONE_STARTS = 4_096  # starts of unlisted workers, which may be listed again unchanged
MAX_LISTING_DELAY_MS = 10_000.0  # until a started worker is listed, at the latest


class Start(NamedTuple):
    """A worker's start as listed, Unix ms, and as a reading of the monotonic clock, ms."""

    since_ms: float
    reading: float


class StartTimes:
    """Start times of all listed workers, and of some that were listed before."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self.listed: dict[str, Start] = {}
        self.gone: OrderedDict[str, Start] = OrderedDict()
        self.offsets: deque[float] = deque([deadlines.offset], maxlen=MAX_OFFSETS)

    def check_wall_clock(self) -> None:
        """Record the wall clock's offset, as a new one if the clock was stepped since the last check."""
        offset = self.deadlines.current_wall_offset(self.offsets[-1])
        same = [known for known in self.offsets if abs(offset - known) < MAX_SLEW_MS]
        for known in same:  # the wall clock has drifted, or returned to an earlier offset
            self.offsets.remove(known)
        self.offsets.append(offset)

    def reading(self, worker: str, since_ms: float | None, max_age_ms: float = math.inf) -> float | None:
        """Return the clock reading of a worker's start, or None if the list has no start, as it is long past.

        A start that was not listed before is at most ``max_age_ms`` plus ``MAX_LISTING_DELAY_MS`` ago, or
        else counts as now; ``max_age_ms`` is the time since the previous list.
        """
        if since_ms is None:
            return None
        before = self.listed.get(worker) or self.gone.pop(worker, None)
        if before is None or before.since_ms != since_ms:
            reading = self.derive_reading(since_ms, max_age_ms)
            if before is not None and reading == before.reading:
                reading = math.nextafter(reading, math.inf)  # a different start needs a different reading
            before = Start(since_ms, reading)
        self.listed[worker] = before
        return before.reading

    def derive_reading(self, since_ms: float, max_age_ms: float) -> float:
        """Return the reading of a new start: the latest past one that a recent offset allows, else now."""
        now = self.deadlines.now()
        readings = [since_ms - (offset - self.deadlines.offset) for offset in self.offsets]
        latest = max((reading for reading in readings if reading <= now), default=now)
        # A start that is older than the list allows comes from a machine whose clock was stepped. It counts
        # as now, so that the worker is sent no more than the slow start allows a cold one.
        return now if now - latest > max_age_ms + MAX_LISTING_DELAY_MS else latest

    def encode(self, clock: SharedClock) -> dict[str, tuple[float, float]]:
        """Return the starts that the successor would not derive by itself, for the hand-over."""
        starts = (
            (name, start.since_ms, clock.encode_reading(start.reading)) for name, start in self.listed.items()
        )
        return {name: (since_ms, reading) for name, since_ms, reading in starts if reading != since_ms}

    def inherit(self, starts: Mapping[str, Sequence[float]], clock: SharedClock) -> None:
        """Adopt the starts of the process that hands over."""
        for name, (since_ms, reading) in starts.items():
            self.listed[name] = Start(float(since_ms), clock.decode_reading(float(reading)))

    def drop(self, worker: str) -> None:
        """Handle the removal of a worker from the list; its start is retained for a while."""
        start = self.listed.pop(worker, None)
        if start is not None:
            self.gone[worker] = start
        if len(self.gone) > MAX_GONE_STARTS:
            self.gone.popitem(last=False)
