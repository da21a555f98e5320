"""The one budget of memory that clients' connections draw from, and its correction by the resident memory.

Bytes are counted as they are kept; what the process really occupies is sampled. Every limit on clients'
memory is the nominal one times the same fraction, which falls as the resident memory nears its ceiling.
"""

from __future__ import annotations

from dataclasses import dataclass

# Jobs are rejected when the kept bytes exceed this multiple of the limit for incomplete requests.
JOB_LIMIT_FACTOR = 2
MIN_FRACTION = 0.2  # of the limits, which still serves ordinary clients
# Below the ceiling, of the room above the idle process: where the limits begin to fall.
CORRECTED_ROOM_FRACTION = 0.4
MAX_GROWTH_FRACTION = 0.625  # of the memory that is told beyond that of an idle process
# The same, where the idle process alone occupies more than is told.
MIN_GROWTH_FRACTION = 0.375
RESERVE_BYTES = 2 * 1024 * 1024  # for growth between two samples, and for what one request takes at once


@dataclass(slots=True)
class MemoryBudget:
    """The limits on what is kept for clients, and what is kept now."""

    limit: int  # bytes for incomplete requests while memory is not short
    total: int = 0  # bytes kept: requests, unparsed input and answers that are not read
    fraction: float = 1.0  # of every limit that applies now

    @property
    def current_limit(self) -> int:
        """The bytes that may be kept now for incomplete requests."""
        return int(self.limit * self.fraction)

    @property
    def is_over_limit(self) -> bool:
        """Whether no more of an incomplete request may be kept."""
        return self.total > self.current_limit

    @property
    def accepts_jobs(self) -> bool:
        """Whether a whole job may be kept until its answer."""
        return self.total <= JOB_LIMIT_FACTOR * self.current_limit

    @property
    def is_reduced(self) -> bool:
        """Whether the limits are reduced, as memory is short."""
        return self.fraction < 1

    def scale(self, count: int) -> int:
        """Return how many of ``count`` connections may be open before the first are shed."""
        return int(count * self.fraction)


@dataclass(slots=True, frozen=True)
class ResidentRange:
    """The resident memory of the idle process, and the most that it may reach, bytes."""

    idle: int
    ceiling: int

    @classmethod
    def for_limit(cls, told: int, usual_idle: int, idle: int) -> ResidentRange:
        """Return the range for a limit that the process was told.

        ``usual_idle``: what an idle process usually occupies; ``idle``: what this one does.
        """
        available = max(0, told - usual_idle)
        ceiling = min(idle + int(MAX_GROWTH_FRACTION * available), told - RESERVE_BYTES)
        return cls(idle, max(ceiling, idle + int(MIN_GROWTH_FRACTION * available)))

    def fraction_left(self, resident: int) -> float:
        """Return the fraction of the limits that applies at a resident memory."""
        corrected_room = CORRECTED_ROOM_FRACTION * (self.ceiling - self.idle)
        if resident <= 0 or corrected_room <= 0:
            return 1.0  # unknown
        return min(1.0, max(MIN_FRACTION, (self.ceiling - resident) / corrected_room))
