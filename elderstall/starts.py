"""When workers started, as readings of the monotonic clock.

The list gives each start as Unix time, which says how old a worker is only as long as nobody steps a clock.
Here a start is turned into a reading of `Deadlines.now` when it first arrives, and keeps it for as long as
the list gives the same Unix time. A doubtful start is taken for a late one: its worker counts as cold, and at
most as cold as one that starts now.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from elderstall.clocks import SharedClock
from elderstall.deadlines import Deadlines

MAX_OFFSETS = 8  # of the wall clock, the latest last: entries may be stamped by any of them
MAX_SLEW_MS = 500.0  # ms by which the wall clock drifts between two looks at it; more is a step
MAX_GONE_STARTS = 4_096  # starts of workers that are listed no more, and may come back as they were
MAX_LISTING_DELAY_MS = 10_000.0  # ms in which the list tells of a worker's start, at the latest


class Start(NamedTuple):
    """A worker's start as the list gives it, Unix ms, and as a reading of the monotonic clock."""

    since_ms: float
    reading: float


class StartTimes:
    """The starts of all listed workers, and of some that were listed."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines = deadlines
        self.listed: dict[str, Start] = {}
        self.gone: OrderedDict[str, Start] = OrderedDict()
        self.offsets: deque[float] = deque([deadlines.offset], maxlen=MAX_OFFSETS)

    def check_wall_clock(self) -> None:
        """Look whether the wall clock has been stepped since the last look."""
        offset = self.deadlines.wall_offset(self.offsets[-1])
        same = [known for known in self.offsets if abs(offset - known) < MAX_SLEW_MS]
        for known in same:  # the wall clock has drifted, or was set right again
            self.offsets.remove(known)
        self.offsets.append(offset)

    def reading(self, worker: str, since_ms: float | None, oldest: float = math.inf) -> float | None:
        """Give when a worker started; at most ``oldest`` ms ago, apart from how late the list tells of it.

        None where the list gives no start, as it is long past.
        """
        if since_ms is None:
            return None
        before = self.listed.get(worker) or self.gone.pop(worker, None)
        if before is None or before.since_ms != since_ms:
            reading = self.derive_reading(since_ms, oldest)
            if before is not None and reading == before.reading:
                reading = math.nextafter(reading, math.inf)  # another start, so another reading
            before = Start(since_ms, reading)
        self.listed[worker] = before
        return before.reading

    def derive_reading(self, since_ms: float, oldest: float) -> float:
        """Work out a start that is new here: the latest that a wall clock seen of late makes possible."""
        now = self.deadlines.now()
        readings = [since_ms - (offset - self.deadlines.offset) for offset in self.offsets]
        latest = max((reading for reading in readings if reading <= now), default=now)
        # Guards rule 4 where a clock elsewhere was stepped: what the list has just told cannot be old.
        return now if now - latest > oldest + MAX_LISTING_DELAY_MS else latest

    def encode(self, clock: SharedClock) -> dict[str, tuple[float, float]]:
        """Give the starts that another process would not derive alike, for the hand-over to it."""
        starts = (
            (name, start.since_ms, clock.encode_reading(start.reading)) for name, start in self.listed.items()
        )
        return {name: (since_ms, reading) for name, since_ms, reading in starts if reading != since_ms}

    def inherit(self, starts: Mapping[str, Sequence[float]], clock: SharedClock) -> None:
        """Take starts as the process that hands over had them."""
        for name, (since_ms, reading) in starts.items():
            self.listed[name] = Start(float(since_ms), clock.decode_reading(float(reading)))

    def drop(self, worker: str) -> None:
        """Note that a worker is listed no more."""
        start = self.listed.pop(worker, None)
        if start is not None:
            self.gone[worker] = start
        if len(self.gone) > MAX_GONE_STARTS:
            self.gone.popitem(last=False)
