"""Choice of the dispatcher for the next attempt, with ejection of failing ones.

Power of two choices (Mitzenmacher 1996) by attempts in progress. A dispatcher that fails several times in a
row is ejected, for longer each time, and used again only once its ``/up`` has answered 200. At most a fixed
fraction is ejected at once: if most fail, the fault is likely elsewhere. No I/O: the caller sends the probes
that are due and reports their results.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

FAILURES_TO_EJECT = 3  # failures in a row
MIN_EJECTION_MS = 1_000.0  # doubles with each ejection
MAX_EJECTION_MS = 30_000.0
MAX_EJECTED_FRACTION = 0.5  # of the dispatchers


@dataclass(slots=True)
class Target:
    """State of one dispatcher as seen by a client."""

    address: str
    active_attempts: int = 0
    failures: int = 0  # in a row
    ejections: int = 0
    ejected_until: float | None = None  # ms; no attempts until a probe after this time has succeeded
    is_probing: bool = False  # a probe was sent, and its result is not known yet


class Targets:
    """All dispatchers that a client may use. Raises ValueError for none or a repeated address."""

    def __init__(self, addresses: Sequence[str], uniform: Iterator[float]) -> None:
        if not addresses or len(set(addresses)) != len(addresses):
            raise ValueError("dispatchers: at least one is needed, each named once")
        self.targets = [Target(address) for address in addresses]
        self.by_address = {target.address: target for target in self.targets}
        self.uniform = uniform

    def pick(self, avoid: str | None = None) -> Target:
        """Return a dispatcher for an attempt, if possible not the one at ``avoid``; count the attempt."""
        # At most half are ejected, so some are always available and the fallback to all is not used.
        available = [t for t in self.targets if t.ejected_until is None] or self.targets
        others = [t for t in available if t.address != avoid] or available
        first = others[int(next(self.uniform) * len(others))]
        if len(others) > 1:
            rest = [t for t in others if t is not first]
            second = rest[int(next(self.uniform) * len(rest))]
            if second.active_attempts < first.active_attempts:
                first = second
        first.active_attempts += 1
        return first

    def record_result(self, target: Target, now: float, succeeded: bool) -> None:
        """Record the result of an attempt; a refusal counts as a success, as the dispatcher is alive."""
        target.active_attempts -= 1
        if succeeded:
            target.failures = 0
            if target.ejected_until is None:
                target.ejections = 0
            return
        target.failures += 1
        if target.failures >= FAILURES_TO_EJECT and target.ejected_until is None:
            self.eject(target, now)

    def eject(self, target: Target, now: float) -> None:
        """Eject a dispatcher, unless too many are ejected."""
        ejected = sum(t.ejected_until is not None for t in self.targets)
        if ejected + 1 > MAX_EJECTED_FRACTION * len(self.targets):
            return
        ejection_ms = min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2.0 ** min(target.ejections, 16))
        target.ejections += 1
        target.ejected_until = now + ejection_ms
        target.is_probing = False

    def start_due_probes(self, now: float) -> list[Target]:
        """Return the dispatchers to probe at ``/up`` now; none again before its ``record_probe``."""
        due = [
            t
            for t in self.targets
            if t.ejected_until is not None and not t.is_probing and now >= t.ejected_until
        ]
        for t in due:
            t.is_probing = True
        return due

    def next_probe_at(self) -> float | None:
        """Return when the next probe is due; None without a dispatcher to probe."""
        due = [t.ejected_until for t in self.targets if t.ejected_until is not None and not t.is_probing]
        return min(due, default=None)

    def record_probe(self, target: Target, now: float, up: bool) -> None:
        """Record a probe's result: 200 at ``/up`` ends the ejection; 503 means that it shuts down."""
        target.is_probing = False
        if up:
            target.ejected_until = None
            target.failures = 0
        else:
            ejection_ms = min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2.0 ** min(target.ejections, 16))
            target.ejections += 1
            target.ejected_until = now + ejection_ms
