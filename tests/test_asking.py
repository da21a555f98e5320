"""Polling workers before a job is sent, in large fleets, and rejections by a saturated fleet."""

from __future__ import annotations

import unittest

from elderstall import Dispatcher
from elderstall.decisions.capacity import OWNED_WORKERS
from elderstall.decisions.context import TIMER_POLL_TIMEOUT
from elderstall.decisions.polling import MAX_POLL_ROUNDS, POLL_TIMEOUT_MS, WORKERS_PER_POLL
from elderstall.interface import (
    Actions,
    Effect,
    Ending,
    Endpoint,
    EndpointListUpdate,
    JobArrived,
    JobClass,
    JobReleased,
    ListScope,
    LoadPolled,
    PollLoad,
    RejectJob,
    SendAttempt,
    SetTimer,
    Settings,
    Started,
    TimerFired,
)

CLASSES = (
    JobClass("fetch", 2.0, 250.0, 5_000.0, stretch=2.0),
    JobClass("build", 5.0, 600.0, 15_000.0, Effect.NOT_IDEMPOTENT, stretch=2.5),
    JobClass("order", 10.0, 1_000.0, 20_000.0, Effect.NOT_IDEMPOTENT, stretch=2.0),
)


def module(rank: int = 0, workers: int = 60, dispatchers: int = 200, cold: float | None = None) -> Dispatcher:
    d = Dispatcher(
        Settings(
            CLASSES,
            dispatchers=dispatchers,
            rank=rank,
            max_attempts=5,
            report_free_slots=0,
            probes=True,
            connect_timeout=250.0,
            slow_start_share=0.42,
            slow_start_duration=9_000.0,
            slow_start_multiple=4.0,
            slow_start_window=2_000.0,
            tick=2.0,
        ),
        rank,
    )
    d.handle(10_000.0, Started())
    listed = tuple(Endpoint(f"w{n}", "k", started=cold) for n in range(workers))
    d.handle(10_000.0, EndpointListUpdate(ListScope.WHOLE, listed))
    return d


def polled(actions: Actions) -> list[str]:
    return [a.worker for a in actions if isinstance(a, PollLoad)]


def sent(actions: Actions) -> list[str]:
    return [a.worker for a in actions if isinstance(a, SendAttempt)]


def answer_polls(d: Dispatcher, now: float, names: list[str], free: float) -> Actions:
    """Answer polls, and those that follow from the answers, with the same number of free slots."""
    out: Actions = []
    while names:
        actions = d.handle(now, LoadPolled(names.pop(0), Ending.SERVED, (free,)))
        names += polled(actions)
        out += actions
    return out


class Polling(unittest.TestCase):
    """One dispatcher of a large fleet."""

    def test_the_worker_that_reports_free_slots_gets_the_job(self) -> None:
        """Without polls jobs are sent to workers where other dispatchers' jobs wait already."""
        d = module()
        names = polled(d.handle(10_001.0, JobArrived(1, "order", 20_000.0)))
        self.assertEqual(WORKERS_PER_POLL, len(names))
        for name, free in zip(names[:-1], (0.0, 2.0), strict=True):
            self.assertEqual([], sent(d.handle(10_002.0, LoadPolled(name, Ending.SERVED, (free,)))))
        self.assertEqual([names[1]], sent(d.handle(10_003.0, LoadPolled(names[2], Ending.SERVED, (1.0,)))))

    def test_while_all_are_full_others_are_polled_for_a_limited_number_of_rounds(self) -> None:
        d = module()
        names = polled(d.handle(10_001.0, JobArrived(1, "order", 20_000.0)))
        out = answer_polls(d, 10_002.0, names, 0.0)
        self.assertEqual(WORKERS_PER_POLL * (MAX_POLL_ROUNDS - 1), len(set(polled(out))))
        self.assertEqual(1, len(sent(out)))

    def test_a_silent_worker_delays_a_job_by_no_more_than_the_poll_timeout(self) -> None:
        """A polled worker is unreachable; the job goes by the reports of the others."""
        d = module()
        actions = d.handle(10_001.0, JobArrived(1, "fetch", 5_000.0))
        names = polled(actions)
        self.assertIn(SetTimer(TIMER_POLL_TIMEOUT, POLL_TIMEOUT_MS), actions)
        d.handle(10_002.0, LoadPolled(names[0], Ending.SERVED, (1.0,)))
        self.assertEqual(
            [names[0]], sent(d.handle(10_001.0 + POLL_TIMEOUT_MS, TimerFired(TIMER_POLL_TIMEOUT)))
        )
        late = d.handle(10_251.0, LoadPolled(names[1], Ending.TIMED_OUT))
        self.assertEqual([], sent(late))
        self.assertIn(names[1], d.unavailable(10_252.0))

    def test_a_job_is_sent_even_if_no_poll_is_answered(self) -> None:
        d = module()
        d.handle(10_001.0, JobArrived(1, "order", 20_000.0))
        now, out = 10_001.0, 0
        for _ in range(MAX_POLL_ROUNDS + 1):
            now += POLL_TIMEOUT_MS
            out += len(sent(d.handle(now, TimerFired(TIMER_POLL_TIMEOUT))))
        self.assertEqual(1, out)

    def test_a_job_whose_client_disconnects_during_polls_is_not_sent(self) -> None:
        d = module()
        names = polled(d.handle(10_001.0, JobArrived(1, "order", 20_000.0)))
        d.handle(10_002.0, JobReleased(1))
        self.assertEqual([], sent(answer_polls(d, 10_003.0, names, 2.0)))

    def test_small_fleets_do_not_poll(self) -> None:
        """In a fleet of 3 to 8 dispatchers each sees enough of the workers' load without polls."""
        d = module(workers=10, dispatchers=8)
        actions = d.handle(10_001.0, JobArrived(1, "order", 20_000.0))
        self.assertEqual(([], 1), (polled(actions), len(sent(actions))))

    def test_an_unsafe_job_is_cancelled_when_useless_and_a_safe_one_at_its_deadline(self) -> None:
        d = module()
        for job, name, least, most in ((1, "order", 4_000.0, 4_100.0), (2, "fetch", 4_900.0, 5_000.0)):
            arrived = JobArrived(job, name, 20_000.0 if name == "order" else 5_000.0, work_hint=1_000.0)
            out = answer_polls(d, 10_010.0, polled(d.handle(10_001.0, arrived)), 2.0)
            limit = next(a.time_out for a in out if isinstance(a, SendAttempt))
            self.assertTrue(least - 20 <= limit <= most, (name, limit))

    def test_each_worker_has_about_the_same_number_of_owners(self) -> None:
        """Otherwise some workers are polled by nobody, and others by all dispatchers."""
        counts = dict.fromkeys((f"w{n}" for n in range(60)), 0)
        for rank in range(200):
            for w in module(rank).endpoints.workers.values():
                counts[w.name] += w.slot_share > 0
        self.assertTrue(all(0.8 < n / (200 * OWNED_WORKERS / 60) < 1.2 for n in counts.values()), counts)

    def test_all_dispatchers_together_keep_to_the_slow_start_budget_of_a_cold_worker(self) -> None:
        """Each dispatcher sends as many typical jobs in one window as its share admits."""
        pushed = dict.fromkeys((f"w{n}" for n in range(20)), 0.0)
        capacity = 0.0
        for rank in range(120):
            d = module(rank, 20, 120, cold=9_999.0)
            job = JobArrived(1, "order", 20_000.0, work_hint=d.estimates.typical)
            for w in d.endpoints.workers.values():
                d.handle(10_001.0, job)
                capacity = w.slots * w.speed * w.warm_up_fraction(d.context.now, d.context.settings)
                if d.slow_start.admits(w, d.answers.open[1]):
                    pushed[w.name] += d.estimates.typical
        self.assertTrue(any(pushed.values()))
        self.assertLessEqual(max(pushed.values()), 4.0 * capacity * 2_000.0)


class Rejecting(unittest.TestCase):
    """Rejections by a saturated fleet."""

    def test_a_full_fleet_rejects_a_part_of_fetches_and_serves_orders(self) -> None:
        d = module()
        now = 10_000.0
        for job in range(1, 60):
            now += 100.0
            # Short orders, which are not excluded from reserved workers (test_lanes.py).
            answer_polls(
                d, now, polled(d.handle(now, JobArrived(job, "order", 20_000.0, work_hint=300.0))), 0.0
            )
        now += 400.0
        d.shedding.full = 0.96  # nearly full, but not entirely
        actions = [d.handle(now, JobArrived(100 + n, "fetch", 5_000.0)) for n in range(60)]
        rejected = [a for some in actions for a in some if isinstance(a, RejectJob)]
        self.assertTrue(20 <= len(rejected) <= 55, len(rejected))  # most, but not all of the class
        self.assertTrue(all(a.retry_after >= 200.0 for a in rejected))
        self.assertTrue(
            all(len(polled(some)) <= WORKERS_PER_POLL for some in actions)
        )  # rejected jobs cause few polls
        orders = [d.handle(now, JobArrived(200 + n, "order", 20_000.0, work_hint=300.0)) for n in range(20)]
        self.assertFalse([a for some in orders for a in some if isinstance(a, RejectJob)])


if __name__ == "__main__":
    unittest.main()
