"""When a dispatcher calls discovery for the list: its first call after a start, and the next after a failure.

Discovery is one service for all dispatchers and works through calls in turn; a call that waits too long
ends with 503. One dispatcher that calls the moment it starts, and again within a few hundred milliseconds
of a failed call, does no harm. Forty that do so together, because a release or a mass kill started them
in the same second, put forty calls into the queue at once; those past what discovery serves in its time
fail, and their next calls, doubling from the same instant, come together again and keep the queue full,
so that calls fail for many seconds after the cause has gone (docs/design/large-fleet-days.md).

So where dispatchers are many, the first call is put off by a random share of a spread that grows with
their number, and calls that fail are made again after a random wait. How long depends on how they failed:

* Refused or reset at once: discovery is down, and a call costs it nothing. The wait doubles, but only up to
  `RETRY_MOST`: a change counts as told 6 s after discovery had it and could be reached, so the first call
  after its return has to go out well before that.
* Failed after a wait in discovery's queue: discovery is crowded, and each further call, one that fails too,
  costs it work. The first such wait still keeps to the 6 s (`RETRY_MOST`, and up to 3 s in the queue). From
  the second in a row on it doubles up to `ask_within`, or the fleet's calls would keep the queue full for
  good.

A watch that was open and ends is another matter, and so is a call or a watch that falls silent: it says
nothing against discovery, and what it misses counts as told 6 s after it fell silent, which is noticed
only `net.discovery.SILENCE_TIMEOUT_MS` after a watch's last line. So it is opened anew soon, the calls of
many spread as after a start. A call with no answer is joined by a second one
(`net.discovery.HEDGE_DELAY_AFTER_SILENCE_MS`).
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

MANY = 16  # dispatchers above which calls are spread: fewer put few calls into discovery's queue at once
SPREAD_EACH = 75.0  # ms of the first call's spread for each dispatcher: the fleet's calls come at 13 a second
AGAIN_EACH = 50.0  # ms of the first wait after a failure for each dispatcher: 20 calls a second, then half
AGAIN_LEAST = 250.0  # ms at least before a failed call is made again, so that none spins
RETRY_MOST = 2_500.0  # ms: with 3 s in discovery's queue, under the 6 s after which a change counts as told
SMALL_MOST = 0.25  # of ask_within: the longest wait of a small fleet, where that is less than RETRY_MOST
CROWDED_AFTER = 500.0  # ms a call waits before it fails where discovery is crowded rather than down
BROKEN_MOST = 1_500.0  # ms before a broken watch is opened anew: 2.5 s to notice, 1.25 s for a second call
SILENT_MOST = 1_000.0  # ms before a call that fell silent is made anew: it took 4 s to notice
LIVED_LEAST = 1_000.0  # ms: a watch that ends sooner after its answer is as a failed call, or it would spin
SMALL_JITTER = 0.6  # least share of the wait in a small fleet
LARGE_JITTER = 0.5  # the same in a large one, of waits for a discovery that is down
DOUBLINGS_MOST = 40  # of a wait: long past its bound; after a thousand the number would not fit a float


@dataclass(slots=True)
class ListCalls:
    """The plan of calls for the list of one dispatcher.

    ``dispatchers`` is the size of the fleet and ``ask_within`` the rule's period in milliseconds, both from
    the settings. Every method returns a delay in milliseconds or a plain answer; none fails.
    """

    dispatchers: int = 1
    poll_interval: float = 10_000.0
    calling: bool = False  # a call is out whose answer has not come
    called: float = -math.inf  # ms; when it went out
    failures: int = 0  # calls failed in a row, with no watch that lived in between
    crowded: int = 0  # of them, in a row, those that had waited in discovery's queue
    waited: float = 0.0  # ms of the last wait before the next call
    told: float = -math.inf  # ms; when a call of ours was last answered

    @property
    def many(self) -> bool:
        """Say whether the fleet is large enough for its calls to be spread."""
        return self.dispatchers > MANY

    def first(self, rng: random.Random) -> float:
        """Give the delay of the first call after a start: none for a small fleet."""
        if not self.many:
            return 0.0
        return rng.uniform(
            0.0, min(SPREAD_EACH * self.dispatchers, self.poll_interval * SMALL_MOST, RETRY_MOST)
        )

    def call(self, now: float) -> None:
        """Note that a call goes out."""
        self.calling, self.called = True, now

    def answered(self, now: float) -> bool:
        """Take a list; say whether it answers a call of ours, rather than being known at the start."""
        was, self.calling = self.calling, False
        if was:
            self.waited, self.crowded, self.told = 0.0, 0, now
        return was

    def fail(self, rng: random.Random, now: float, silent: bool = False) -> float:
        """Take a failed call, or the end of an open watch, and give the delay before the next call.

        ``silent``: neither an answer nor an end came, for seconds, to a call or on a watch.
        """
        calling, self.calling = self.calling, False
        if self.many and (silent or not calling and now - self.told >= LIVED_LEAST):
            most = SILENT_MOST if calling else BROKEN_MOST
            self.failures, self.waited = 0, min(SPREAD_EACH * self.dispatchers, most)
            return max(AGAIN_LEAST, self.waited * rng.random())
        self.failures += 1
        if not self.many:
            most = min(self.poll_interval * SMALL_MOST, RETRY_MOST)
            self.waited = min(max(AGAIN_LEAST, self.waited * 2), most)
            return self.waited * rng.uniform(SMALL_JITTER, 1.0)
        if calling and now - self.called >= CROWDED_AFTER:
            return self.crowded_wait(rng)
        self.crowded = 0
        doubled = 2 ** min(self.failures - 1, DOUBLINGS_MOST)
        self.waited = min(AGAIN_EACH * self.dispatchers * doubled, RETRY_MOST)
        return max(AGAIN_LEAST, self.waited * rng.uniform(LARGE_JITTER, 1.0))

    def crowded_wait(self, rng: random.Random) -> float:
        """Give the delay after a call that failed in the queue of a crowded discovery."""
        most = max(self.poll_interval, RETRY_MOST)
        self.waited = min(RETRY_MOST * 2 ** min(self.crowded, DOUBLINGS_MOST), most)
        self.crowded += 1
        return max(AGAIN_LEAST, self.waited * rng.random())
