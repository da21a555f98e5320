"""When a dispatcher calls discovery for the list: its first call after a start, and the next after a failure.

Discovery is one service for all dispatchers and works through calls in turn; a call that waits too long
ends with 503. One dispatcher that calls the moment it starts, and again within a few hundred milliseconds
of a failed call, does no harm. Forty that do so together, because a release or a mass kill started them
in the same second, put forty calls into the queue at once; those past what discovery serves in its time
fail, and their next calls, doubling from the same instant, come together again and keep the queue full,
so that calls fail for many seconds after the cause has gone (docs/design/large-fleet-days.md).

So where dispatchers are many, the first call is put off by a random share of a spread that grows with
their number, and a failed call is tried again after a random share of a wait that doubles from a start
that grows with their number, up to twice `ask_within` (the rules allow four times as long after a failed
call). The rate at which the fleet tries again is then the same for any number of dispatchers, and falls
by half with each round. Small fleets call as before: at once, and again after 250 ms, doubling to a
quarter of `ask_within`.

A watch that was open and ends is another matter, and so is a call or a watch that falls silent: it says
nothing against discovery, and what it misses counts as told 6 s after it fell silent, which is noticed
only 3 s after a watch's last line, 4 s after a call. So it is opened anew soon, the calls of many spread as
after a start; only if that call is refused or broken off does the long wait begin.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

MANY = 16  # dispatchers above which calls are spread: fewer put few calls into discovery's queue at once
SPREAD_EACH = 75.0  # ms of the first call's spread for each dispatcher: the fleet's calls come at 13 a second
AGAIN_EACH = 50.0  # ms of the first wait after a failure for each dispatcher: 20 calls a second, then half
AGAIN_LEAST = 250.0  # ms at least before a failed call is made again, so that none spins
SMALL_MOST = 0.25  # of ask_within: the longest wait of a small fleet, which is asked of nobody else
LARGE_MOST = 2.0  # of ask_within: the longest wait of a large fleet; the rules allow four after a failure
BROKEN_MOST = 2_000.0  # ms before a broken watch is opened anew: 3 s to notice, 1 s for the call, of 6 s
SILENT_MOST = 1_000.0  # ms before a call that fell silent is made anew: it took 4 s to notice
LIVED_LEAST = 1_000.0  # ms: a watch that ends sooner after its answer is as a failed call, or it would spin
SMALL_JITTER = 0.6  # least share of the wait in a small fleet, as before


@dataclass(slots=True)
class ListCalls:
    """The plan of calls for the list of one dispatcher.

    ``dispatchers`` is the size of the fleet and ``ask_within`` the rule's period in milliseconds, both from
    the settings. Every method returns a delay in milliseconds or a plain answer; none fails.
    """

    dispatchers: int = 1
    ask_within: float = 10_000.0
    calling: bool = False  # a call is out whose answer has not come
    failures: int = 0  # calls failed in a row, with no watch that lived in between
    waited: float = 0.0  # ms of the last wait before the next call
    made: int = 0  # calls in all, for the figures
    failed: int = 0  # failed calls in all, for the figures
    told: float = -math.inf  # ms; when a call of ours was last answered

    @property
    def many(self) -> bool:
        """Say whether the fleet is large enough for its calls to be spread."""
        return self.dispatchers > MANY

    def first(self, rng: random.Random) -> float:
        """Give the delay of the first call after a start: none for a small fleet."""
        if not self.many:
            return 0.0
        return rng.uniform(0.0, min(SPREAD_EACH * self.dispatchers, self.ask_within * SMALL_MOST))

    def call(self) -> None:
        """Note that a call goes out."""
        self.calling = True
        self.made += 1

    def answered(self, now: float) -> bool:
        """Take a list; say whether it answers a call of ours, rather than being known at the start."""
        was, self.calling = self.calling, False
        if was:
            self.waited, self.told = 0.0, now
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
        self.failed += 1
        if not self.many:
            most = self.ask_within * SMALL_MOST
            self.waited = min(max(AGAIN_LEAST, self.waited * 2), most)
            return self.waited * rng.uniform(SMALL_JITTER, 1.0)
        most = self.ask_within * LARGE_MOST
        self.waited = min(AGAIN_EACH * self.dispatchers * 2 ** (self.failures - 1), most)
        return max(AGAIN_LEAST, self.waited * rng.random())
