"""Which zones this dispatcher cannot reach, as its own attempts show: a decision without I/O.

The list learns late of a rack or a zone that is lost, and not at all of a cut between regions that lies only
on some dispatchers' side. Attempts show it at once: no connection comes up, or a question is not answered.
One worker that fails says little of its zone; several of them with no answer from any in between do. A job
that took too long says nothing, and neither does a connection that was not tried for want of descriptors.
"""

from __future__ import annotations

from elderstall.interface import Ending

ANSWERED = frozenset({Ending.SERVED, Ending.FULL, Ending.ERROR})
MIN_FAILING_WORKERS = 3  # different workers of a zone that fail in a row, before it counts as out of reach
SEEN_FOR = 60_000.0  # ms after which a failure says nothing any more


Zones = frozenset[str | None]


class ZoneReach:
    """Failures in a row by zone, and what follows: zones out of reach, and zones surely in reach."""

    def __init__(self) -> None:
        self.failing: dict[str | None, dict[str, float]] = {}  # workers that failed, and when, by zone
        self.lost: Zones = frozenset()
        self.answering: Zones = frozenset()  # have answered since the first of them was lost

    def record_ending(
        self, worker: str, zone: str | None, ending: Ending, worker_unreachable: bool, now: float
    ) -> bool:
        """Take the end of an attempt or a question; say whether it has changed what is in reach."""
        before = self.lost, self.answering
        if worker_unreachable:
            self.failed(worker, zone, now)
        elif ending in ANSWERED:
            self.answered(zone)
        return before != (self.lost, self.answering)

    def answered(self, zone: str | None) -> None:
        """Take a worker's answer."""
        self.failing.pop(zone, None)
        self.lost -= {zone}
        self.answering = self.answering | {zone} if self.lost else frozenset()

    def failed(self, worker: str, zone: str | None, now: float) -> None:
        """Take a worker that was not reached."""
        failing = self.failing.setdefault(zone, {})
        failing[worker] = now
        while failing and len(failing) > MIN_FAILING_WORKERS:
            del failing[next(iter(failing))]
        recent = sum(now - at <= SEEN_FOR for at in failing.values())
        if recent >= MIN_FAILING_WORKERS:
            self.lost |= {zone}
            self.answering -= {zone}
