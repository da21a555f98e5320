"""When a dispatcher calls discovery for the list: its first call after a start, and retries after a failure.

Discovery is one service for all dispatchers. It serves calls one at a time; a call that waits too long is
answered with 503. A single dispatcher that calls as soon as it starts, and again within a few hundred
milliseconds of a failed call, does no harm. Forty that do so together, because a release or a mass kill
started them in the same second, put forty calls into the queue at once. Those that discovery can't serve in
time fail, their retries, doubled from the same instant, arrive together again and keep the queue full, and
so calls fail for many seconds after the cause has ended (docs/design/large-fleet-days.md).

So in a large fleet the first call is delayed by a random share of a spread that grows with the number of
dispatchers, and failed calls are retried after a random delay, which depends on how they failed:

* Refused or reset at once: discovery is down, and a call costs it nothing. The delay doubles, but only up to
  `MAX_RETRY_MS`: a dispatcher is expected to know a change 6 s after discovery had it and could be reached,
  so the first call after its return has to be made well before that.
* Failed after a wait in discovery's queue: discovery is overloaded, and each further call, even one that
  fails, costs it work. The first such delay still keeps to the 6 s (`MAX_RETRY_MS`, and up to 3 s in the
  queue). From the second in a row on it doubles up to the poll interval, or the fleet's calls would keep the
  queue full indefinitely.

An open watch that ends, and a call or a watch that falls silent, are different: they don't show that
discovery is overloaded, and changes missed meanwhile are expected to be known 6 s after the silence began,
which is noticed only `net.discovery.SILENCE_TIMEOUT_MS` after the last line of a watch. So the watch is
reopened soon, with the calls of a large fleet spread as after a start. A call without an answer is hedged by
a second one (`net.discovery.HEDGE_DELAY_AFTER_SILENCE_MS`).
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

MAX_SMALL_FLEET = 16  # dispatchers; larger fleets spread calls, smaller ones hardly fill discovery's queue
# Of the first call: 13 calls a second by the whole fleet, until the spread is capped.
SPREAD_PER_DISPATCHER_MS = 75.0
# Of the first delay after a failure, of which a random half to whole is waited: about 40 calls a second by
# the whole fleet, then half as many, until the delay is capped.
RETRY_PER_DISPATCHER_MS = 50.0
MIN_RETRY_MS = 250.0  # prevents a busy loop of failing calls; in small fleets before jitter
MAX_RETRY_MS = 2_500.0  # with 3 s in discovery's queue, below the 6 s after which a change has to be known
# Of the poll interval: longest delay in a small fleet and of any first call, where that is below
# MAX_RETRY_MS.
MAX_DELAY_FRACTION = 0.25
# A call that fails sooner shows that discovery is down, a later failure that it is overloaded.
OVERLOADED_AFTER_MS = 500.0
# Of the 6 s, up to 2.5 s pass until a silent watch is noticed, and 1.25 s until its first call is hedged.
MAX_BROKEN_WATCH_RETRY_MS = 1_500.0
MAX_SILENT_CALL_RETRY_MS = 1_000.0  # less, as noticing the silence of a call has taken 4 s
# A watch that ends sooner counts as a failed call, or one that always ends at once would be reopened without
# backoff.
MIN_WATCH_LIFETIME_MS = 1_000.0
SMALL_FLEET_MIN_JITTER = 0.6  # least share of the delay that is waited
LARGE_FLEET_MIN_JITTER = 0.5  # the same in a large fleet, while discovery is down
MAX_DOUBLINGS = 40  # of a delay, far beyond its bound: a thousand would overflow a float


@dataclass(slots=True)
class ListCalls:
    """Schedule of one dispatcher's calls for the list.

    ``dispatchers`` is the size of the fleet and ``poll_interval`` its period in milliseconds, both from the
    settings. No method raises; delays are in milliseconds.
    """

    dispatchers: int = 1
    poll_interval: float = 10_000.0
    call_pending: bool = False  # a call was made that is not answered yet
    called_at: float = -math.inf  # ms; time of the last call
    failures: int = 0  # consecutive failed calls, with no watch that lasted in between
    overload_failures: int = 0  # consecutive failures after a wait in discovery's queue
    retry_bound: float = 0.0  # ms; upper bound of the last delay, before jitter
    answered_at: float = -math.inf  # ms; when a call was last answered

    @property
    def is_large_fleet(self) -> bool:
        """Return whether dispatchers are so many that their calls are spread.

        The bound differs from that of ``OperatingMode.has_many_dispatchers``, which concerns load, not
        discovery.
        """
        return self.dispatchers > MAX_SMALL_FLEET

    def first_call_delay(self, rng: random.Random) -> float:
        """Return the delay of the first call after a start: none for a small fleet."""
        if not self.is_large_fleet:
            return 0.0
        return rng.uniform(
            0.0,
            min(
                SPREAD_PER_DISPATCHER_MS * self.dispatchers,
                self.poll_interval * MAX_DELAY_FRACTION,
                MAX_RETRY_MS,
            ),
        )

    def record_call(self, now: float) -> None:
        """Record that a call is made."""
        self.call_pending = True
        self.called_at = now

    def record_answer(self, now: float) -> bool:
        """Record a list, and return whether it answers a call; one without a pending call doesn't."""
        was_pending = self.call_pending
        self.call_pending = False
        if was_pending:
            self.retry_bound = 0.0
            self.overload_failures = 0
            self.answered_at = now
        return was_pending

    def delay_after_failure(self, rng: random.Random, now: float, silent: bool = False) -> float:
        """Record a failed call or the end of an open watch, and return the delay before the next call.

        ``silent``: for seconds a call or a watch had neither an answer nor an end.
        """
        was_pending = self.call_pending
        self.call_pending = False
        if self.is_large_fleet and (
            silent or not was_pending and now - self.answered_at >= MIN_WATCH_LIFETIME_MS
        ):
            max_delay = MAX_SILENT_CALL_RETRY_MS if was_pending else MAX_BROKEN_WATCH_RETRY_MS
            self.failures = 0
            self.retry_bound = min(SPREAD_PER_DISPATCHER_MS * self.dispatchers, max_delay)
            return max(MIN_RETRY_MS, self.retry_bound * rng.random())
        self.failures += 1
        if not self.is_large_fleet:
            max_delay = min(self.poll_interval * MAX_DELAY_FRACTION, MAX_RETRY_MS)
            self.retry_bound = min(max(MIN_RETRY_MS, self.retry_bound * 2), max_delay)
            return self.retry_bound * rng.uniform(SMALL_FLEET_MIN_JITTER, 1.0)
        if was_pending and now - self.called_at >= OVERLOADED_AFTER_MS:
            return self.delay_after_overload(rng)
        self.overload_failures = 0
        doubled = 2 ** min(self.failures - 1, MAX_DOUBLINGS)
        self.retry_bound = min(RETRY_PER_DISPATCHER_MS * self.dispatchers * doubled, MAX_RETRY_MS)
        return max(MIN_RETRY_MS, self.retry_bound * rng.uniform(LARGE_FLEET_MIN_JITTER, 1.0))

    def delay_after_overload(self, rng: random.Random) -> float:
        """Return the delay after a call that failed in the queue of an overloaded discovery."""
        max_delay = max(self.poll_interval, MAX_RETRY_MS)
        self.retry_bound = min(MAX_RETRY_MS * 2 ** min(self.overload_failures, MAX_DOUBLINGS), max_delay)
        self.overload_failures += 1
        return max(MIN_RETRY_MS, self.retry_bound * rng.random())
