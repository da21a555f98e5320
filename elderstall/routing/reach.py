"""Detection of zones that this dispatcher cannot reach, from the results of its own attempts; no I/O.

The endpoint list shows the loss of a rack or a zone late, and never shows a network partition that affects
only some dispatchers. Attempts show it at once: a connection cannot be opened, or a poll is not answered.
A zone counts as unreachable after `MIN_FAILING_WORKERS` of its workers fail with no answer from the zone in
between; the failure of one worker is not enough. A job that timed out is no evidence either way, and neither
is a connection that was not attempted because descriptors ran out.
"""

from __future__ import annotations

from elderstall.interface import Ending

ANSWERED_ENDINGS = frozenset({Ending.SERVED, Ending.FULL, Ending.ERROR})
MIN_FAILING_WORKERS = 3  # distinct workers of a zone that fail in a row before it counts as unreachable
FAILURE_RETENTION_MS = 60_000.0  # failures longer ago are not counted


ZoneSet = frozenset[str | None]


class ZoneReach:
    """Consecutive failures by zone, and the zones found unreachable or confirmed reachable from them."""

    def __init__(self) -> None:
        # By zone: failed workers with the time of the last failure, in the order of their first failures.
        self.failing: dict[str | None, dict[str, float]] = {}
        self.unreachable: ZoneSet = frozenset()
        self.answering: ZoneSet = frozenset()  # zones that answered since the first one became unreachable

    def record_ending(
        self, worker: str, zone: str | None, ending: Ending, worker_unreachable: bool, now: float
    ) -> bool:
        """Record the end of an attempt or a poll; return whether the reachable zones have changed."""
        before = self.unreachable, self.answering
        if worker_unreachable:
            self.record_failure(worker, zone, now)
        elif ending in ANSWERED_ENDINGS:
            self.record_answer(zone)
        return before != (self.unreachable, self.answering)

    def record_answer(self, zone: str | None) -> None:
        """Record an answer from a worker of the zone."""
        self.failing.pop(zone, None)
        self.unreachable -= {zone}
        self.answering = self.answering | {zone} if self.unreachable else frozenset()

    def record_failure(self, worker: str, zone: str | None, now: float) -> None:
        """Record that a worker could not be reached.

        At most `MIN_FAILING_WORKERS` workers are kept for each zone. One more displaces the worker that was
        added first, even if that worker has failed again since.
        """
        failing = self.failing.setdefault(zone, {})
        failing[worker] = now
        while failing and len(failing) > MIN_FAILING_WORKERS:
            del failing[next(iter(failing))]
        recent = sum(now - failed_at <= FAILURE_RETENTION_MS for failed_at in failing.values())
        if recent >= MIN_FAILING_WORKERS:
            self.unreachable |= {zone}
            self.answering -= {zone}
