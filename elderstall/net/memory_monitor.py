"""Periodic comparison of the resident memory with the limit that the process was told."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from elderstall.deadlines import Deadline, Deadlines
from elderstall.log import RATE_LIMITED_INTERVAL_MS, Log
from elderstall.net.resident_memory import ResidentMemory, return_free_memory
from elderstall.net.server.memory import ResidentRange

SAMPLE_INTERVAL_MS = 50.0  # while clients are connected
IDLE_SAMPLE_INTERVAL_MS = 500.0  # while there are none
TRIM_INTERVAL_MS = 1_000.0  # between returns of freed memory, which take some milliseconds each
TRIMMED_GROWTH_BYTES = 1024 * 1024  # above the idle process, below which none is returned
LOGGED_STEP_BYTES = 2 * 1024 * 1024  # of the resident memory, after which it is logged again
BYTES_PER_MIB = 1024 * 1024


class MemoryUse(Protocol):
    """What is known of the memory that clients' connections occupy."""

    @property
    def kept_bytes(self) -> int:
        """The counted bytes of requests, unparsed input and unwritten output."""

    @property
    def connection_count(self) -> int:
        """The number of open connections."""

    def apply_memory_fraction(self, fraction: float) -> None:
        """Set the fraction of the limits on clients' memory that applies now."""


class MemoryMonitor:
    """Samples the resident memory, and reduces the limits on what is kept as it nears its ceiling.

    Freed memory is returned to the system while much is resident. Changes are logged beside what is counted.
    """

    def __init__(
        self,
        deadlines: Deadlines,
        log: Log,
        use: MemoryUse,
        limit_bytes: int,
        usual_idle_bytes: int,
        read_resident: Callable[[], int] | None = None,
    ) -> None:
        self.deadlines = deadlines
        self.log = log
        self.use = use
        self.limit_bytes = limit_bytes  # told by the platform
        self.usual_idle_bytes = usual_idle_bytes  # of a process without clients
        self.idle_bytes = 0  # of this one; 0 before the first sample
        self.fraction = 1.0  # of the limits that applies
        self.trimmed_at = -math.inf
        self.read_resident = read_resident or ResidentMemory().read
        self.resident_bytes = 0  # at the latest sample; 0 if unknown
        self.peak_resident_bytes = 0  # of all samples
        self.logged_bytes = 0
        self.logged_at = -math.inf
        self.timer: Deadline | None = None

    def start(self) -> None:
        """Sample now, and again at intervals."""
        interval = SAMPLE_INTERVAL_MS if self.use.connection_count else IDLE_SAMPLE_INTERVAL_MS
        self.timer = self.deadlines.after(interval, self.start)
        self.sample()
        if not self.idle_bytes:
            self.idle_bytes = self.resident_bytes
        self.correct()

    def correct(self) -> None:
        """Return freed memory if much is resident, and set the limits to what is left."""
        resident_range = ResidentRange.for_limit(self.limit_bytes, self.usual_idle_bytes, self.idle_bytes)
        fraction = resident_range.fraction_left(self.resident_bytes)
        if self.should_trim(fraction):
            self.trimmed_at = self.deadlines.now()
            return_free_memory()
            self.sample()
            fraction = resident_range.fraction_left(self.resident_bytes)
        if fraction != self.fraction:
            self.fraction = fraction
            self.use.apply_memory_fraction(fraction)

    def should_trim(self, fraction: float) -> bool:
        """Return whether freed memory is to be returned now: memory is short, or all clients have left."""
        has_grown = self.resident_bytes > self.idle_bytes + TRIMMED_GROWTH_BYTES
        is_due = self.deadlines.now() - self.trimmed_at >= TRIM_INTERVAL_MS
        return has_grown and is_due and (fraction < 1 or not self.use.connection_count)

    def stop(self) -> None:
        """Stop sampling."""
        if self.timer is not None:
            self.timer.cancel()

    def sample(self) -> None:
        """Read the resident memory, and log it if it has changed much."""
        self.resident_bytes = self.read_resident()
        self.peak_resident_bytes = max(self.peak_resident_bytes, self.resident_bytes)
        now = self.deadlines.now()
        has_changed = abs(self.resident_bytes - self.logged_bytes) >= LOGGED_STEP_BYTES
        if has_changed and now - self.logged_at >= RATE_LIMITED_INTERVAL_MS:
            self.logged_bytes = self.resident_bytes
            self.logged_at = now
            self.log.write("memory", self.describe())

    def describe(self) -> str:
        """Return the current figures as text."""
        return (
            f"{self.resident_bytes / BYTES_PER_MIB:.1f} MiB resident, "
            f"limit {self.limit_bytes / BYTES_PER_MIB:.0f}; "
            f"{self.use.kept_bytes} bytes kept for {self.use.connection_count} connections, "
            f"{100 * self.fraction:.0f}% of the limits apply"
        )
