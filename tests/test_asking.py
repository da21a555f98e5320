"""Asking workers before a job goes, where many dispatchers each see little; what a full fleet turns away."""

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


def asked(actions: Actions) -> list[str]:
    return [a.worker for a in actions if isinstance(a, PollLoad)]


def sent(actions: Actions) -> list[str]:
    return [a.worker for a in actions if isinstance(a, SendAttempt)]


def told(d: Dispatcher, now: float, names: list[str], free: float) -> Actions:
    """Answer questions, and those that follow, alike."""
    out: Actions = []
    while names:
        actions = d.handle(now, LoadPolled(names.pop(0), Ending.SERVED, (free,)))
        names += asked(actions)
        out += actions
    return out


class Asking(unittest.TestCase):
    """One dispatcher of many."""

    def test_the_worker_that_tells_of_room_gets_the_job(self) -> None:
        """Guards against jobs sent blind to where other dispatchers' jobs wait."""
        d = module()
        names = asked(d.handle(10_001.0, JobArrived(1, "order", 20_000.0)))
        self.assertEqual(WORKERS_PER_POLL, len(names))
        for name, free in zip(names[:-1], (0.0, 2.0), strict=True):
            self.assertEqual([], sent(d.handle(10_002.0, LoadPolled(name, Ending.SERVED, (free,)))))
        self.assertEqual([names[1]], sent(d.handle(10_003.0, LoadPolled(names[2], Ending.SERVED, (1.0,)))))

    def test_while_all_are_full_others_are_asked_so_many_times(self) -> None:
        d = module()
        names = asked(d.handle(10_001.0, JobArrived(1, "order", 20_000.0)))
        out = told(d, 10_002.0, names, 0.0)
        self.assertEqual(WORKERS_PER_POLL * (MAX_POLL_ROUNDS - 1), len(set(asked(out))))
        self.assertEqual(1, len(sent(out)))

    def test_a_silent_worker_delays_a_job_by_no_more_than_the_wait(self) -> None:
        """Guards against workers cut off: the others' answers count."""
        d = module()
        actions = d.handle(10_001.0, JobArrived(1, "fetch", 5_000.0))
        names = asked(actions)
        self.assertIn(SetTimer(TIMER_POLL_TIMEOUT, POLL_TIMEOUT_MS), actions)
        d.handle(10_002.0, LoadPolled(names[0], Ending.SERVED, (1.0,)))
        self.assertEqual(
            [names[0]], sent(d.handle(10_001.0 + POLL_TIMEOUT_MS, TimerFired(TIMER_POLL_TIMEOUT)))
        )
        late = d.handle(10_251.0, LoadPolled(names[1], Ending.TIMED_OUT))
        self.assertEqual([], sent(late))
        self.assertIn(names[1], d.unavailable(10_252.0))

    def test_with_no_answer_at_all_the_job_goes_all_the_same(self) -> None:
        d = module()
        d.handle(10_001.0, JobArrived(1, "order", 20_000.0))
        now, out = 10_001.0, 0
        for _ in range(MAX_POLL_ROUNDS + 1):
            now += POLL_TIMEOUT_MS
            out += len(sent(d.handle(now, TimerFired(TIMER_POLL_TIMEOUT))))
        self.assertEqual(1, out)

    def test_a_client_that_leaves_while_workers_are_asked_is_forgotten(self) -> None:
        d = module()
        names = asked(d.handle(10_001.0, JobArrived(1, "order", 20_000.0)))
        d.handle(10_002.0, JobReleased(1))
        self.assertEqual([], sent(told(d, 10_003.0, names, 2.0)))

    def test_few_dispatchers_ask_nobody(self) -> None:
        """A fleet of 3 to 8 dispatchers is as it was: each sees enough."""
        d = module(workers=10, dispatchers=8)
        actions = d.handle(10_001.0, JobArrived(1, "order", 20_000.0))
        self.assertEqual(([], 1), (asked(actions), len(sent(actions))))

    def test_an_unsafe_job_is_given_up_when_it_can_earn_nothing_and_a_safe_one_at_its_deadline(self) -> None:
        d = module()
        for job, name, least, most in ((1, "order", 4_000.0, 4_100.0), (2, "fetch", 4_900.0, 5_000.0)):
            arrived = JobArrived(job, name, 20_000.0 if name == "order" else 5_000.0, work_hint=1_000.0)
            out = told(d, 10_010.0, asked(d.handle(10_001.0, arrived)), 2.0)
            limit = next(a.time_out for a in out if isinstance(a, SendAttempt))
            self.assertTrue(least - 20 <= limit <= most, (name, limit))

    def test_each_worker_is_the_own_of_about_as_many_dispatchers(self) -> None:
        """Guards against workers that nobody asks, and against such as all ask."""
        counts = dict.fromkeys((f"w{n}" for n in range(60)), 0)
        for rank in range(200):
            for w in module(rank).endpoints.workers.values():
                counts[w.name] += w.slot_share > 0
        self.assertTrue(all(0.8 < n / (200 * OWNED_WORKERS / 60) < 1.2 for n in counts.values()), counts)

    def test_all_dispatchers_together_push_a_cold_worker_within_the_rule(self) -> None:
        """Rule 4 over the fleet: each sends whatever its share lets it, in one window, of usual jobs."""
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


class Turning(unittest.TestCase):
    """What a full fleet turns away."""

    def test_a_full_fleet_refuses_fetches_in_part_and_serves_an_order(self) -> None:
        d = module()
        now = 10_000.0
        for job in range(1, 60):
            now += 100.0
            # Short orders, which the lane of urgent short jobs does not keep out (test_lanes.py).
            told(d, now, asked(d.handle(now, JobArrived(job, "order", 20_000.0, work_hint=300.0))), 0.0)
        now += 400.0
        d.shedding.full = 0.96  # full, but not to the brim
        actions = [d.handle(now, JobArrived(100 + n, "fetch", 5_000.0)) for n in range(60)]
        refused = [a for some in actions for a in some if isinstance(a, RejectJob)]
        self.assertTrue(20 <= len(refused) <= 55, len(refused))  # most, yet the class is not shut out
        self.assertTrue(all(a.retry_after >= 200.0 for a in refused))
        self.assertTrue(
            all(len(asked(some)) <= WORKERS_PER_POLL for some in actions)
        )  # it keeps an eye on the fleet
        orders = [d.handle(now, JobArrived(200 + n, "order", 20_000.0, work_hint=300.0)) for n in range(20)]
        self.assertFalse([a for some in orders for a in some if isinstance(a, RejectJob)])


if __name__ == "__main__":
    unittest.main()
