"""List calls of many dispatchers that start at once: spread, and retried with growing delays."""

from __future__ import annotations

import heapq
import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from elderstall import Dispatcher
from elderstall.decisions.context import TIMER_CALL_DISCOVERY
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
    """Start as the engine does, then apply the list known from before."""
    return d.handle(now, Started()) + d.handle(now, EndpointListUpdate(ListScope.WHOLE, KNOWN))


def watch_count(actions: Actions) -> int:
    return sum(isinstance(a, WatchEndpoints) for a in actions)


def call_delays(actions: Actions) -> list[float]:
    return [a.delay for a in actions if isinstance(a, SetTimer) and a.token == TIMER_CALL_DISCOVERY]


class Small(unittest.TestCase):
    """Fleets of up to sixteen dispatchers call at once."""

    def test_the_first_call_goes_at_once(self) -> None:
        self.assertEqual(1, watch_count(started(module(MAX_SMALL_FLEET))))

    def test_failed_calls_double_from_250_ms_to_a_quarter_of_ask_within(self) -> None:
        calls, rng, old = ListCalls(8, 10_000.0), random.Random(3), random.Random(3)
        waited = 0.0
        for _ in range(8):
            waited = min(max(250.0, waited * 2), 2_500.0)  # doubles up to a quarter of the poll interval
            self.assertEqual(waited * old.uniform(0.6, 1.0), calls.delay_after_failure(rng, 0.0))


class Large(unittest.TestCase):
    """Large fleets delay the first call, and wait longer after a failure."""

    def test_the_first_call_is_delayed_and_the_known_list_does_not_cancel_it(self) -> None:
        d = module(40, seed=7)
        actions = started(d)
        self.assertEqual(0, watch_count(actions))
        (delay,) = call_delays(actions)
        self.assertLessEqual(delay, min(SPREAD_PER_DISPATCHER_MS * 40, 2_500.0))
        self.assertEqual(1, watch_count(d.handle(delay, TimerFired(TIMER_CALL_DISCOVERY))))

    def test_a_timer_that_fires_slightly_early_still_calls(self) -> None:
        """Deadlines fire up to a microsecond early; a call skipped then was never made."""
        d = module(40, seed=7)
        (delay,) = call_delays(started(d))
        self.assertEqual(1, watch_count(d.handle(delay - 0.001, TimerFired(TIMER_CALL_DISCOVERY))))

    def test_an_answer_cancels_the_scheduled_call(self) -> None:
        d = module(40, seed=7)
        (delay,) = call_delays(started(d))
        d.handle(delay, TimerFired(TIMER_CALL_DISCOVERY))
        d.handle(delay + 5, EndpointListUpdate(ListScope.CHANGES, ()))
        self.assertEqual(0, watch_count(d.handle(delay + 2_500.0, TimerFired(TIMER_CALL_DISCOVERY))))

    @given(st.integers(MAX_SMALL_FLEET + 1, 1_000), st.integers(0, 2**32), st.integers(1, 12))
    def test_delays_double_up_to_the_maximum_after_refused_calls(
        self, n: int, seed: int, rounds: int
    ) -> None:
        """Calls to a discovery that is down cost it nothing, and its return has to be noticed within 6 s."""
        calls, rng = ListCalls(n, 10_000.0), random.Random(seed)
        for k in range(1, rounds + 1):
            calls.record_call(1_000.0 * k)
            delay = calls.delay_after_failure(rng, 1_000.0 * k + OVERLOADED_AFTER_MS - 1)
            self.assertEqual(min(RETRY_PER_DISPATCHER_MS * n * 2 ** (k - 1), MAX_RETRY_MS), calls.retry_bound)
            self.assertGreaterEqual(delay, max(MIN_RETRY_MS, LARGE_FLEET_MIN_JITTER * calls.retry_bound))
            self.assertLessEqual(delay, max(MIN_RETRY_MS, calls.retry_bound))
        self.assertFalse(calls.record_answer(0.0))  # without a pending call a list is no answer

    @given(st.integers(MAX_SMALL_FLEET + 1, 1_000), st.integers(0, 2**32), st.integers(1, 12))
    def test_after_failures_in_a_full_queue_the_first_delay_keeps_to_6_s_and_the_next_double(
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
    def test_the_delay_after_a_first_failure_keeps_to_6_s_in_any_fleet(
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
    def test_a_silent_watch_is_reopened_before_missed_changes_have_to_be_known(
        self, n: int, seed: int, lived: float
    ) -> None:
        """Silence is noticed after 3 s, and missed changes have to be known after 6 s."""
        d = module(n, n - 1, seed)
        (delay,) = call_delays(started(d))
        d.handle(delay, TimerFired(TIMER_CALL_DISCOVERY))
        d.handle(delay + 5.0, EndpointListUpdate(ListScope.CHANGES, ()))
        (again,) = call_delays(d.handle(delay + 5.0 + lived, EndpointListUpdate(ListScope.FAILED)))
        self.assertTrue(MIN_RETRY_MS <= again <= MAX_BROKEN_WATCH_RETRY_MS, again)
        self.assertEqual(
            1, watch_count(d.handle(delay + 5.0 + lived + again, TimerFired(TIMER_CALL_DISCOVERY)))
        )

    @given(st.integers(MAX_SMALL_FLEET + 1, 1_024), st.integers(0, 2**32), st.booleans())
    def test_a_call_that_is_silent_from_the_start_is_repeated_soon(
        self, n: int, seed: int, again: bool
    ) -> None:
        """In simulations 5 of 183 calls got no data at all, and were retried as late as failed ones."""
        d = module(n, n - 1, seed)
        (delay,) = call_delays(started(d))
        now = delay
        for _ in range(1 + again):
            self.assertEqual(1, watch_count(d.handle(now, TimerFired(TIMER_CALL_DISCOVERY))))
            (delay,) = call_delays(d.handle(now + 4_000.0, EndpointListUpdate(ListScope.SILENT)))
            self.assertTrue(MIN_RETRY_MS <= delay <= 2_000.0, delay)
            now += 4_000.0 + delay

    @given(st.integers(MAX_SMALL_FLEET + 1, 1_024), st.floats(0.0, MIN_WATCH_LIFETIME_MS - 1.0))
    def test_watches_that_end_at_once_are_retried_like_failed_calls(self, n: int, lived: float) -> None:
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
    """Fake discovery: serves calls in order, in `serve` ms each, and fails those that wait over `limit` ms.

    Like the real one, it still does the work of a failed call; an open watch costs nothing further.
    """

    def __init__(self, serve: float = 125.0, limit: float = 2_000.0) -> None:
        self.serve, self.limit, self.free_at = serve, limit, 0.0

    def call(self, now: float) -> tuple[float, bool]:
        """Return when a call made now is answered, and whether with a list."""
        start = max(now, self.free_at)
        self.free_at = start + self.serve
        if start - now > self.limit:
            return now + self.limit, False
        return start + self.serve, True


def fleet(n: int, seconds: float, seed: int) -> list[float]:
    """Start `n` dispatchers together; return when each first had a list, infinity if never."""
    rng = random.Random(seed)
    ds = [module(n, rank, rng.randrange(2**32)) for rank in range(n)]
    queue: list[tuple[float, int, int, object]] = []
    count = 0

    def act(rank: int, now: float, actions: Actions) -> None:
        nonlocal count
        for a in actions:
            if isinstance(a, SetTimer) and a.token == TIMER_CALL_DISCOVERY:
                heapq.heappush(queue, (now + a.delay, count, rank, TimerFired(TIMER_CALL_DISCOVERY)))
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
    """Forty dispatchers start together and overload discovery, as in simulations of large fleets."""

    def test_without_the_spread_most_never_get_a_list(self) -> None:
        with mock.patch.object(listing, "MAX_SMALL_FLEET", 1_000):  # no fleet counts as large
            holding = fleet(40, 20.0, seed=5)
        self.assertGreater(sum(t == float("inf") for t in holding), 10)

    def test_with_the_spread_all_have_a_list_within_eight_seconds(self) -> None:
        for seed in range(4):
            holding = fleet(40, 20.0, seed)
            self.assertLess(max(holding), 8_000.0, seed)


if __name__ == "__main__":
    unittest.main()
