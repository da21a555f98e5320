"""What is learned of idle connections: how long they may be kept before something on the path cuts them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from elderstall.log import Log

STALE_WITHIN = 50.0  # ms: a reused connection that breaks this soon after a request was gone before it
SHORTEST_KEEP = 20.0  # ms that an idle connection is kept in any case, for what follows at once
DECAY = 0.98  # of the counts of uses and breaks remains after each use: some fifty count
STALE_RATIO = 2.0  # times as often as new connections must kept ones break to be taken for cut
SUSPECT_KEEP = 1_000.0  # ms: while connections are kept for less, non-repeatable jobs go over new ones
NEW_BREAKS = 0.5  # of breaks of new connections, decayed: from one some thirty uses ago
FIRST_DOUBLING_TIME = 10_000.0  # ms after which connections are kept twice as long again, at first
LONGEST_DOUBLING_TIME = 60_000.0  # ms, at most
MOST_DOUBLINGS = 16.0


@dataclass(slots=True)
class UseCounts:
    """Uses and breaks of connections of one kind, decaying with each use of any."""

    uses: float = 0.0
    breaks: float = 0.0

    def decay(self) -> None:
        """Have earlier uses count for less."""
        self.uses *= DECAY
        self.breaks *= DECAY

    @property
    def break_rate(self) -> float:
        """The part of the uses that broke."""
        return self.breaks / (self.uses + 1)


class KeepAlive:
    """How long idle connections are kept, learned from those that broke with a request on them."""

    def __init__(self, idle_limit: float, now: Callable[[], float], log: Log) -> None:
        self.idle_limit = idle_limit  # ms that connections are kept where none is cut
        self.now, self.log = now, log
        self.new, self.kept = UseCounts(), UseCounts()
        self.reduced_to, self.reduced_at = idle_limit, 0.0
        self.doubling_time = FIRST_DOUBLING_TIME

    @property
    def keep_for(self) -> float:
        """How long idle connections are kept, ms: less where some were cut, and then ever longer."""
        doublings = min((self.now() - self.reduced_at) / self.doubling_time, MOST_DOUBLINGS)
        return float(min(self.idle_limit, self.reduced_to * 2**doublings))

    @property
    def new_safer(self) -> bool:
        """Whether a new connection is the safer one: kept ones are found cut, and none just made broke."""
        return self.keep_for < min(SUSPECT_KEEP, self.idle_limit) and self.new.breaks < NEW_BREAKS

    def counts_of(self, idle_for: float) -> UseCounts:
        """Give the counts of connections that were idle for so long before a request, ms."""
        return self.kept if idle_for > 0 else self.new

    def used(self, idle_for: float) -> None:
        """Count a use of a connection that was idle for so long before it, ms."""
        self.new.decay()
        self.kept.decay()
        self.counts_of(idle_for).uses += 1

    def broke_off(self, worker: str, idle_for: float) -> None:
        """Learn from a connection that broke just after a request was written to it.

        Guards jobs that must not be repeated: where something on the path cuts idle connections, the request
        that finds out may have run for all we know.
        """
        self.counts_of(idle_for).breaks += 1
        if self.kept.break_rate <= STALE_RATIO * self.new.break_rate:
            # Workers reset any connection: keeping fewer would only cost them handshakes.
            self.reduced_to = self.idle_limit
        elif idle_for > 0:
            self._keep_for_less(worker, idle_for)

    def _keep_for_less(self, worker: str, idle_for: float) -> None:
        """Halve the time kept: something cut a connection that was idle for so long, ms."""
        if self.keep_for >= self.idle_limit:
            self.doubling_time = FIRST_DOUBLING_TIME
        else:
            self.doubling_time = min(2 * self.doubling_time, LONGEST_DOUBLING_TIME)
        self.reduced_to = max(SHORTEST_KEEP, min(self.keep_for, idle_for) / 2)
        self.reduced_at = self.now()
        self.log.write(
            "stale",
            f"{worker} cut a connection free for {idle_for:.0f} ms; kept {self.reduced_to:.0f} ms now",
        )
