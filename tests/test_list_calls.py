"""Calls for the list where many dispatchers start at once: spread, and tried again ever later."""

from __future__ import annotations

import heapq
import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from elderstall import Dispatcher
from elderstall.decisions.context import TIMER_POLL_ENDPOINTS
from elderstall.interface import (
    Actions,
    Endpoint,
    EndpointListUpdate,
    JobClass,
    ListScope,
    SetTimer,
    Settings,
    Started,
    TimerFired,
    WatchEndpoints,
)
from elderstall.recovery import listing
from elderstall.recovery.listing import (
    LARGE_FLEET_MIN_JITTER,
    MAX_BROKEN_WATCH_RETRY_MS,
    MAX_RETRY_MS,
    MAX_SMALL_FLEET,
    MIN_RETRY_MS,
    MIN_WATCH_LIFETIME_MS,
    OVERLOADED_AFTER_MS,
    RETRY_PER_DISPATCHER_MS,
    SPREAD_PER_DISPATCHER_MS,
    ListCalls,
)

CLASSES = (JobClass("fetch", 2.0, 250.0, 5_000.0, stretch=2.0),)
KNOWN = (Endpoint("w1", "k"), Endpoint("w2", "k"))


def module(dispatchers: int, rank: int = 0, seed: int = 1) -> Dispatcher:
    return Dispatcher(
        Settings(CLASSES, dispatchers=dispatchers, rank=rank, watches_list=True, poll_interval=10_000.0), seed
    )


def started(d: Dispatcher, now: float = 0.0) -> Actions:
    """Begin as the core does: the start, then the list known from before."""
    return d.handle(now, Started()) + d.handle(now, EndpointListUpdate(ListScope.WHOLE, KNOWN))


def follows(actions: Actions) -> int:
    return sum(isinstance(a, WatchEndpoints) for a in actions)


def asks_in(actions: Actions) -> list[float]:
    return [a.delay for a in actions if isinstance(a, SetTimer) and a.token == TIMER_POLL_ENDPOINTS]


class Small(unittest.TestCase):
    """Up to sixteen dispatchers call as they did before."""

    def test_the_first_call_goes_at_once(self) -> None:
        self.assertEqual(1, follows(started(module(MAX_SMALL_FLEET))))

    def test_failed_calls_double_from_250_ms_to_a_quarter_of_ask_within(self) -> None:
        calls, rng, old = ListCalls(8, 10_000.0), random.Random(3), random.Random(3)
        waited = 0.0
        for _ in range(8):
            waited = min(max(250.0, waited * 2), 2_500.0)  # the rule of the program before
            self.assertEqual(waited * old.uniform(0.6, 1.0), calls.delay_after_failure(rng, 0.0))


class Large(unittest.TestCase):
    """Forty or more: the first call is put off, a failure waits long."""

    def test_the_first_call_waits_for_its_turn_and_the_known_list_does_not_cancel_it(self) -> None:
        d = module(40, seed=7)
        actions = started(d)
        self.assertEqual(0, follows(actions))
        (delay,) = asks_in(actions)
        self.assertLessEqual(delay, min(SPREAD_PER_DISPATCHER_MS * 40, 2_500.0))
        self.assertEqual(1, follows(d.handle(delay, TimerFired(TIMER_POLL_ENDPOINTS))))

    def test_a_timer_that_fires_a_hair_early_calls_all_the_same(self) -> None:
        """Deadlines run up to a microsecond early; a call left out then was never made."""
        d = module(40, seed=7)
        (delay,) = asks_in(started(d))
        self.assertEqual(1, follows(d.handle(delay - 0.001, TimerFired(TIMER_POLL_ENDPOINTS))))

    def test_an_answer_after_a_call_ends_the_plan(self) -> None:
        d = module(40, seed=7)
        (delay,) = asks_in(started(d))
        d.handle(delay, TimerFired(TIMER_POLL_ENDPOINTS))
        d.handle(delay + 5, EndpointListUpdate(ListScope.CHANGES, ()))
        self.assertEqual(0, follows(d.handle(delay + 2_500.0, TimerFired(TIMER_POLL_ENDPOINTS))))

    @given(st.integers(MAX_SMALL_FLEET + 1, 1_000), st.integers(0, 2**32), st.integers(1, 12))
    def test_refused_at_once_waits_double_up_to_what_the_6_s_leave(
        self, n: int, seed: int, rounds: int
    ) -> None:
        """A discovery that is down costs nobody anything: its return has to be met well within 6 s."""
        calls, rng = ListCalls(n, 10_000.0), random.Random(seed)
        for k in range(1, rounds + 1):
            calls.record_call(1_000.0 * k)
            delay = calls.delay_after_failure(rng, 1_000.0 * k + OVERLOADED_AFTER_MS - 1)
            self.assertEqual(min(RETRY_PER_DISPATCHER_MS * n * 2 ** (k - 1), MAX_RETRY_MS), calls.retry_bound)
            self.assertGreaterEqual(delay, max(MIN_RETRY_MS, LARGE_FLEET_MIN_JITTER * calls.retry_bound))
            self.assertLessEqual(delay, max(MIN_RETRY_MS, calls.retry_bound))
        self.assertFalse(calls.record_answer(0.0))  # no call is out: a list known before answers none

    @given(st.integers(MAX_SMALL_FLEET + 1, 1_000), st.integers(0, 2**32), st.integers(1, 12))
    def test_in_a_crowded_queue_the_first_wait_keeps_to_the_6_s_and_the_next_double(
        self, n: int, seed: int, rounds: int
    ) -> None:
        calls, rng = ListCalls(n, 10_000.0), random.Random(seed)
        for k in range(1, rounds + 1):
            calls.record_call(10_000.0 * k)
            delay = calls.delay_after_failure(rng, 10_000.0 * k + OVERLOADED_AFTER_MS)
            self.assertEqual(min(MAX_RETRY_MS * 2 ** (k - 1), 10_000.0), calls.retry_bound)
            self.assertTrue(MIN_RETRY_MS <= delay <= max(MIN_RETRY_MS, calls.retry_bound))
        calls.record_call(0.0)
        calls.record_answer(0.0)
        self.assertEqual(0, calls.overload_failures)

    @given(st.integers(1, 1_024), st.floats(1.0, 1e6), st.integers(0, 2**32))
    def test_no_first_failure_of_any_fleet_puts_the_next_call_off_past_the_6_s(
        self, n: int, poll_interval: float, seed: int
    ) -> None:
        rng = random.Random(seed)
        for waited_for in (0.0, 3_000.0):
            calls = ListCalls(n, poll_interval)
            self.assertLessEqual(calls.first_call_delay(rng), MAX_RETRY_MS)
            calls.record_call(0.0)
            self.assertLessEqual(calls.delay_after_failure(rng, waited_for), MAX_RETRY_MS)

    @given(
        st.integers(MAX_SMALL_FLEET + 1, 1_024),
        st.integers(0, 2**32),
        st.floats(MIN_WATCH_LIFETIME_MS + 1, 100_000.0),
    )
    def test_a_watch_that_falls_silent_is_opened_anew_before_what_it_misses_counts_as_told(
        self, n: int, seed: int, lived: float
    ) -> None:
        """Silence is noticed after 3 s and counts as told after 6: the call must go out well before."""
        d = module(n, n - 1, seed)
        (delay,) = asks_in(started(d))
        d.handle(delay, TimerFired(TIMER_POLL_ENDPOINTS))
        d.handle(delay + 5.0, EndpointListUpdate(ListScope.CHANGES, ()))
        (again,) = asks_in(d.handle(delay + 5.0 + lived, EndpointListUpdate(ListScope.FAILED)))
        self.assertTrue(MIN_RETRY_MS <= again <= MAX_BROKEN_WATCH_RETRY_MS, again)
        self.assertEqual(1, follows(d.handle(delay + 5.0 + lived + again, TimerFired(TIMER_POLL_ENDPOINTS))))

    @given(st.integers(MAX_SMALL_FLEET + 1, 1_024), st.integers(0, 2**32), st.booleans())
    def test_a_call_that_falls_silent_before_its_first_line_is_made_anew_soon(
        self, n: int, seed: int, again: bool
    ) -> None:
        """Seen on join days: five of 183 calls heard nothing at all, and waited as failed ones did."""
        d = module(n, n - 1, seed)
        (delay,) = asks_in(started(d))
        now = delay
        for _ in range(1 + again):
            self.assertEqual(1, follows(d.handle(now, TimerFired(TIMER_POLL_ENDPOINTS))))
            (delay,) = asks_in(d.handle(now + 4_000.0, EndpointListUpdate(ListScope.SILENT)))
            self.assertTrue(MIN_RETRY_MS <= delay <= 2_000.0, delay)
            now += 4_000.0 + delay

    @given(st.integers(MAX_SMALL_FLEET + 1, 1_024), st.floats(0.0, MIN_WATCH_LIFETIME_MS - 1.0))
    def test_watches_that_end_at_once_wait_as_failed_calls_do(self, n: int, lived: float) -> None:
        calls, rng, now = ListCalls(n, 10_000.0), random.Random(1), 0.0
        for k in range(3):
            calls.record_call(now)
            calls.record_answer(now)
            calls.delay_after_failure(rng, now := now + lived)
            self.assertEqual(min(RETRY_PER_DISPATCHER_MS * n * 2**k, MAX_RETRY_MS), calls.retry_bound)

    @given(st.integers(MAX_SMALL_FLEET + 1, 1_000), st.integers(0, 2**32))
    def test_first_calls_of_a_fleet_keep_to_their_rate(self, n: int, seed: int) -> None:
        spread = min(SPREAD_PER_DISPATCHER_MS * n, 2_500.0)
        rng = random.Random(seed)
        firsts = [ListCalls(n, 10_000.0).first_call_delay(rng) for _ in range(n)]
        self.assertTrue(all(0 <= t <= spread for t in firsts))


class Fifo:
    """A stand-in discovery: calls in turn, `serve` ms each, failed if they wait past `limit`.

    As the one the fleet meets, it does the work of a call that has failed all the same; a held watch costs
    nothing further.
    """

    def __init__(self, serve: float = 125.0, limit: float = 2_000.0) -> None:
        self.serve, self.limit, self.free_at = serve, limit, 0.0

    def call(self, now: float) -> tuple[float, bool]:
        """Give when a call made now is answered, and whether with a list."""
        start = max(now, self.free_at)
        self.free_at = start + self.serve
        if start - now > self.limit:
            return now + self.limit, False
        return start + self.serve, True


def fleet(n: int, seconds: float, seed: int) -> list[float]:
    """Start `n` dispatchers together against the stand-in; give when each first held a list (inf: never)."""
    rng = random.Random(seed)
    ds = [module(n, rank, rng.randrange(2**32)) for rank in range(n)]
    queue: list[tuple[float, int, int, object]] = []
    count = 0

    def act(rank: int, now: float, actions: Actions) -> None:
        nonlocal count
        for a in actions:
            if isinstance(a, SetTimer) and a.token == TIMER_POLL_ENDPOINTS:
                heapq.heappush(queue, (now + a.delay, count, rank, TimerFired(TIMER_POLL_ENDPOINTS)))
            elif isinstance(a, WatchEndpoints):
                at, good = discovery.call(now)
                scope = ListScope.CHANGES if good else ListScope.FAILED
                heapq.heappush(queue, (at, count, rank, EndpointListUpdate(scope, ())))
            count += 1

    discovery, holding = Fifo(), [float("inf")] * n
    for rank, d in enumerate(ds):
        act(rank, 0.0, started(d))
    while queue and queue[0][0] < seconds * 1000:
        now, _, rank, event = heapq.heappop(queue)
        if isinstance(event, EndpointListUpdate) and event.scope is ListScope.CHANGES:
            holding[rank] = min(holding[rank], now)
        act(rank, now, ds[rank].handle(now, event))  # type: ignore[arg-type]
    return holding


class Together(unittest.TestCase):
    """The cause seen on the large fleet days, played against a stand-in: forty dispatchers start together."""

    def test_without_the_spread_most_never_get_a_list(self) -> None:
        with mock.patch.object(listing, "MAX_SMALL_FLEET", 1_000):  # every fleet called as small ones did
            holding = fleet(40, 20.0, seed=5)
        self.assertGreater(sum(t == float("inf") for t in holding), 10)

    def test_with_it_all_hold_one_within_eight_seconds(self) -> None:
        for seed in range(4):
            holding = fleet(40, 20.0, seed)
            self.assertLess(max(holding), 8_000.0, seed)


if __name__ == "__main__":
    unittest.main()
