"""Workers reserved for urgent short jobs, the same at every dispatcher."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from elderstall import Dispatcher
from elderstall.decisions import reserved_workers
from elderstall.decisions.records import Job, Worker
from elderstall.decisions.reserved_workers import ReservedWorkers, spare_time
from elderstall.hashing import stable_hash
from elderstall.interface import (
    Actions,
    AttemptEnded,
    Effect,
    Ending,
    Endpoint,
    EndpointListUpdate,
    JobArrived,
    JobClass,
    ListScope,
    LoadPolled,
    PollLoad,
    SendAttempt,
    Settings,
    Started,
)

CLASSES = (
    JobClass("fetch", 2.0, 250.0, 5_000.0, stretch=2.0),
    JobClass("build", 5.0, 600.0, 15_000.0, Effect.NOT_IDEMPOTENT, stretch=2.5),
    JobClass("order", 10.0, 1_000.0, 20_000.0, Effect.NOT_IDEMPOTENT, stretch=2.0),
    JobClass("purchase", 10.0, 150.0, 5_000.0, Effect.NOT_IDEMPOTENT, stretch=1.75),
)
NAMES = [f"s-{n:04x}" for n in range(60)]


def module(dispatchers: int = 40, rank: int = 0, names: list[str] = NAMES) -> Dispatcher:
    d = Dispatcher(
        Settings(
            CLASSES,
            dispatchers=dispatchers,
            rank=rank,
            max_attempts=5,
            report_free_slots=0,
            probes=True,
            connect_timeout=250.0,
            tick=2.0,
        ),
        rank,
    )
    d.handle(0.0, Started())
    d.handle(0.0, EndpointListUpdate(ListScope.WHOLE, tuple(Endpoint(n, "k") for n in names)))
    return d


def expected_reserved(names: list[str]) -> set[str]:
    return {n for n in names if stable_hash(n) < 0.1 * 2**32}  # the fraction before any job is seen


def probes(actions: Actions) -> list[str]:
    return [a.worker for a in actions if isinstance(a, PollLoad)]


def sends(actions: Actions) -> list[str]:
    return [a.worker for a in actions if isinstance(a, SendAttempt)]


class ReservedWorkersTest(unittest.TestCase):
    def test_every_dispatcher_reserves_the_same_workers_in_any_order_of_names(self) -> None:
        long = Job(1, CLASSES[1], 5.0, 0, 1, 5_000.0, None, 0.0, 15_000.0)
        modules = [module(rank=r, names=NAMES[r:] + NAMES[:r]) for r in range(0, 40, 7)]
        kept = [
            {w.name for w in d.endpoints.workers.values() if d.endpoints.reserved.excludes(w, long)}
            for d in modules
        ]
        self.assertEqual([expected_reserved(NAMES)] * len(kept), kept)
        self.assertTrue(kept[0])

    @given(st.floats(0.0, 1.0))
    def test_the_number_of_reserved_workers_follows_the_urgent_work_seen(self, part: float) -> None:
        reserved, rng = ReservedWorkers(), random.Random(1)
        reserved.set_spare_times([200.0])
        fleet = [Worker.from_endpoint(Endpoint(f"worker-{n}")) for n in range(2_000)]
        for n in range(5_000):
            cls = JobClass("c", 1.0, 100.0 if rng.random() < part else 9_000.0, 60_000.0, stretch=1.0)
            reserved.record_and_offer(Job(n, cls, 1.0, 0, 1, 100.0, None, 0.0, 60_000.0), rng)
        reserved.select(fleet)
        cls = JobClass("long", 1.0, 9_000.0, 60_000.0, stretch=1.0)
        long = Job(1, cls, 1.0, 0, 1, 5_000.0, None, 0.0, 60_000.0)
        kept = sum(reserved.excludes(w, long) for w in fleet) / len(fleet)
        self.assertAlmostEqual(
            min(reserved_workers.MAX_RESERVED_FRACTION, part / reserved_workers.TARGET_LOAD), kept, delta=0.04
        )

    def test_each_dispatcher_polls_a_few_reserved_workers_and_all_together_poll_them_evenly(self) -> None:
        names = [f"s-{n:04x}" for n in range(400)]
        polled = Counter(
            w.name for rank in range(200) for w in module(200, rank, names).endpoints.reserved.workers
        )
        self.assertEqual(expected_reserved(names), set(polled))
        self.assertEqual(200 * reserved_workers.MAX_POLLED_RESERVED, sum(polled.values()))
        mean = 200 * reserved_workers.MAX_POLLED_RESERVED / len(polled)
        self.assertLess(max(polled.values()), 1.6 * mean)
        self.assertGreater(min(polled.values()), 0.4 * mean)

    def test_small_fleets_reserve_no_workers(self) -> None:
        self.assertEqual([], module(dispatchers=5).endpoints.reserved.workers)

    def test_a_purchase_polls_reserved_workers_first(self) -> None:
        d = module()
        d.handle(0.0, JobArrived(0, "build", 5_000.0, work_hint=3_000.0))
        polled = probes(d.handle(1.0, JobArrived(1, "purchase", 5_000.0, work_hint=100.0)))
        self.assertTrue(polled)
        self.assertTrue(set(polled) <= expected_reserved(NAMES), polled)

    def test_long_builds_never_go_to_reserved_workers_and_purchases_do(self) -> None:
        d, went = module(), {"build": list[str](), "purchase": list[str]()}
        for n in range(120):
            (cls, work), now = ("build", 1_200.0) if n % 2 else ("purchase", 100.0), 10.0 * n
            actions = d.handle(now, JobArrived(n, cls, 5_000.0, work_hint=work))
            for name in probes(actions):
                actions += d.handle(now + 1, LoadPolled(name, Ending.SERVED, (2.0,)))
            went[cls] += sends(actions)
            for name in sends(actions):
                d.handle(now + 5, AttemptEnded(n, 0, name, Ending.SERVED, final=True))
        self.assertEqual(60, len(went["build"]))
        self.assertFalse(set(went["build"]) & expected_reserved(NAMES))
        self.assertGreater(sum(name in expected_reserved(NAMES) for name in went["purchase"]), 50)

    @given(
        st.lists(st.floats(1, 5_000), min_size=1, max_size=5),
        st.floats(0, 5_000),
        st.floats(1, 3),
        st.floats(1, 20_000),
    )
    def test_only_long_jobs_with_spare_time_are_excluded(
        self, spares: list[float], latency_objective: float, stretch: float, work: float
    ) -> None:
        reserved, w = ReservedWorkers(), Worker("w", "k", None, 0, None, (0, "w"))
        reserved.set_spare_times(spares)
        reserved.select([w])
        cls = JobClass("c", 1.0, latency_objective, 60_000.0, stretch=stretch)
        job = Job(1, cls, 1.0, 0, 1, work, None, 0.0, 60_000.0)
        if reserved.excludes(w, job):
            self.assertGreater(work, min(spares))
            self.assertGreaterEqual(spare_time(latency_objective, stretch, work), min(spares))
        w.hash_order = (int(reserved.hash_limit) + 1, "w")
        self.assertFalse(reserved.excludes(w, job))

    @given(st.floats(0.0, 1.0), st.integers(0, 2**32))
    def test_no_more_urgent_work_is_offered_to_reserved_workers_first_than_they_can_serve(
        self, part: float, seed: int
    ) -> None:
        reserved, rng, went, total = ReservedWorkers(), random.Random(seed), 0.0, 0.0
        reserved.set_spare_times([200.0])
        reserved.workers = [Worker("w", "k", None, 0, None, (0, "w"))]
        for n in range(4_000):
            urgent = rng.random() < part
            cls = JobClass("c", 1.0, 100.0 if urgent else 9_000.0, 60_000.0, stretch=1.0)
            job = Job(n, cls, 1.0, 0, 1, 100.0, None, 0.0, 60_000.0)
            is_offered = bool(reserved.record_and_offer(job, rng))
            self.assertTrue(urgent or not is_offered)
            went, total = went + is_offered * (n >= 1_000), total + (n >= 1_000)
        self.assertLessEqual(
            went / total, reserved_workers.TARGET_LOAD * reserved_workers.MAX_RESERVED_FRACTION + 0.05
        )


if __name__ == "__main__":
    unittest.main()
