"""Each class keeps a minimum of service in an overloaded fleet, at any weights, quotas and load."""

from __future__ import annotations

import math
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from elderstall import Dispatcher
from elderstall.decisions.load_shedding import MAX_REJECTED_FRACTION, MIN_ADMITTED_FRACTION, LoadShedding
from elderstall.interface import (
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
    RejectJob,
    SendAttempt,
    Settings,
    Started,
    Tenant,
)
from elderstall.limits.shares import CHANCE_EXCESS_JOBS, COUNT_DECAY_MS, QuotaTracker

WEIGHTS = st.lists(st.floats(0.01, 1_000.0), min_size=1, max_size=8)


def shedding_at(weights: list[float], full: float) -> LoadShedding:
    """Return load shedding for a fleet in which a fraction of the workers is full."""
    p = LoadShedding()
    p.set_weights(weights)
    p.full = full
    return p


class Rejections(unittest.TestCase):
    """Rejections at one fraction of full workers."""

    @given(WEIGHTS, st.floats(0.0, 1.0), st.floats(0.0, 1.0))
    def test_more_weight_is_never_rejected_more_and_no_class_is_excluded(
        self, weights: list[float], full: float, over: float
    ) -> None:
        p = shedding_at(weights, full)
        chances = [p.rejection_probability(w) for w in sorted(weights)]
        self.assertEqual(chances, sorted(chances, reverse=True))
        self.assertLessEqual(p.rejection_probability(over * min(weights)), 1.0)
        self.assertGreaterEqual(
            p.rejection_probability(over * min(weights)), chances[0]
        )  # work over quota is rejected first
        for chance in chances:  # each level keeps its fraction of the service of the best served one
            self.assertGreaterEqual(
                1.0 - chance, min(MIN_ADMITTED_FRACTION, 1.0 - MAX_REJECTED_FRACTION) - 1e-9
            )
            self.assertGreaterEqual(1.0 - chance, MIN_ADMITTED_FRACTION * (1.0 - chances[-1]) - 1e-9)

    @given(WEIGHTS, st.floats(0.0, 1.0), st.randoms())
    def test_the_order_of_classes_does_not_matter(
        self, weights: list[float], full: float, rng: random.Random
    ) -> None:
        mixed = rng.sample(weights, len(weights))
        self.assertEqual(
            [shedding_at(weights, full).rejection_probability(w) for w in weights],
            [shedding_at(mixed, full).rejection_probability(w) for w in weights],
        )

    @given(WEIGHTS)
    def test_a_fleet_with_capacity_rejects_nothing(self, weights: list[float]) -> None:
        self.assertEqual(
            [0.0] * len(weights), [shedding_at(weights, 0.75).rejection_probability(w) for w in weights]
        )

    def test_rejections_end_within_two_seconds_after_capacity_is_free_again(self) -> None:
        """An integral controller went on rejecting jobs after the overload had ended."""
        p = shedding_at([2.0, 5.0, 10.0], 0.0)
        for n in range(100):
            p.record(50.0 * n, full=True)
        self.assertGreater(p.rejection_probability(0.1), 0.9)
        for n in range(4):
            p.record(5_000.0 + 500.0 * n, full=False)
        self.assertEqual(0.0, p.rejection_probability(0.1))

    def test_one_report_after_a_start_rejects_nothing(self) -> None:
        p = shedding_at([2.0, 5.0], 0.0)
        p.record(1e12, full=True)
        self.assertEqual(0.0, p.rejection_probability(0.1))


class Fleet(unittest.TestCase):
    """Dispatchers that each see some load reports, and a fleet whose load is what they admit."""

    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0.1, 100.0), st.floats(0.05, 1.0)), min_size=2, max_size=6),
        st.floats(1.0, 4.0),
        st.integers(1, 40),
        st.integers(0, 2**32),
    )
    def test_every_class_keeps_its_minimum_of_service_at_up_to_four_times_the_capacity(
        self, classes: list[tuple[float, float]], load: float, dispatchers: int, seed: int
    ) -> None:
        """Work is offered at `load` times the capacity; each class has a weight and a share of the work."""
        rng = random.Random(seed)
        fleet = [LoadShedding() for _ in range(dispatchers)]
        for p in fleet:
            p.set_weights(priority_weight for priority_weight, _ in classes)
        whole = sum(part for _, part in classes)
        taken, full, now = [0.0] * len(classes), 0.0, 0.0
        for step in range(400):
            now += 50.0
            for p in fleet:
                p.record(now, full=rng.random() < full)
            chances = [
                sum(1.0 - p.rejection_probability(priority_weight) for p in fleet) / dispatchers
                for priority_weight, _ in classes
            ]
            admitted = load * sum(c * part for c, (_, part) in zip(chances, classes, strict=True)) / whole
            full += 0.2 * (min(1.0, admitted) - full)  # queues fill and empty within some steps
            if step >= 100:
                taken = [t + c * min(1.0, 1.0 / admitted) / 300 for t, c in zip(taken, chances, strict=True)]
        mean = sum(t * part for t, (_, part) in zip(taken, classes, strict=True)) / whole
        for (priority_weight, _), share in zip(classes, taken, strict=True):
            self.assertGreaterEqual(
                share, 0.9 * MIN_ADMITTED_FRACTION * min(1.0, 1.0 / load), (priority_weight, taken)
            )
            self.assertGreaterEqual(share, 0.9 * MIN_ADMITTED_FRACTION * mean, (priority_weight, taken))
        order = [t for _, t in sorted(zip((w for w, _ in classes), taken, strict=True))]
        self.assertTrue(all(a <= b + 1e-6 for a, b in zip(order, order[1:], strict=False)), order)


class Uneven(unittest.TestCase):
    """Traffic is spread unevenly over dispatchers; quotas hold for the whole fleet."""

    @settings(max_examples=50, deadline=None)
    @given(
        st.lists(st.floats(0.1, 1.0), min_size=1, max_size=5),
        st.integers(17, 1_024),
        st.floats(0.1, 30.0),
        st.integers(0, 2**32),
    )
    def test_a_tenant_within_its_quota_is_within_at_busy_dispatchers_too(
        self, parts: list[float], dispatchers: int, busy: float, seed: int
    ) -> None:
        """Every tenant is at nine tenths of its quota, one dispatcher at `busy` times the mean traffic."""
        rng, shares, now = random.Random(seed), QuotaTracker(), 0.0
        quotas = {f"t{n}": part * 2.0 for n, part in enumerate(parts)}  # jobs a ms: 2,000 a second at most
        shares.change_settings([Tenant(name, 1_000.0 * q) for name, q in quotas.items()], dispatchers, True)
        rate = 0.9 * sum(quotas.values()) * busy / dispatchers
        within = []
        for _ in range(600):
            now += rng.expovariate(rate)
            tenant = rng.choices(list(quotas), list(quotas.values()))[0]
            within.append(shares.count_job(now, tenant))
        self.assertGreater(sum(within) / len(within), 0.9)
        self.assertGreater(min(within), 0.5)

    def test_a_tenant_that_displaces_others_is_over_quota_by_its_excess(self) -> None:
        rng, shares, now = random.Random(1), QuotaTracker(), 0.0
        shares.change_settings([Tenant("quiet", 100.0), Tenant("loud", 100.0)], 100, True)
        within: dict[str, list[float]] = {"quiet": [], "loud": []}
        for _ in range(4_000):  # ten times the even share of all quotas, four fifths of it from one tenant
            now += rng.expovariate(10 * 0.2 / 100)
            tenant = "loud" if rng.random() < 0.8 else "quiet"
            within[tenant].append(shares.count_job(now, tenant))
        self.assertEqual(1.0, min(within["quiet"]))
        self.assertAlmostEqual(0.5 / 0.8, sum(within["loud"][-500:]) / 500, delta=0.08)

    @given(st.floats(0.0, 1e6), st.integers(1, 1_024))
    def test_a_few_jobs_by_chance_are_within(self, at: float, dispatchers: int) -> None:
        shares = QuotaTracker()
        shares.change_settings([Tenant("t", 0.0), Tenant("u", 0.0)], dispatchers, True)
        self.assertEqual(
            [1.0] * int(CHANCE_EXCESS_JOBS),
            [shares.count_job(at, "t") for _ in range(int(CHANCE_EXCESS_JOBS))],
        )
        self.assertEqual(1.0, shares.count_job(at, None))

    def test_purchases_at_a_busy_dispatcher_of_a_full_fleet_are_not_rejected_as_over_quota(self) -> None:
        """Three times the mean traffic, every tenant within its quota, all workers full."""
        classes = (
            JobClass("fetch", 2.0, 250.0, 5_000.0, stretch=2.0),
            JobClass("purchase", 10.0, 150.0, 5_000.0, Effect.NOT_IDEMPOTENT, stretch=1.75),
        )
        d = Dispatcher(
            Settings(
                classes,
                tenants=(Tenant("a", 60.0), Tenant("b", 40.0)),
                dispatchers=200,
                report_free_slots=0,
                over_quota_weight=0.05,
                probes=True,
                connect_timeout=250.0,
            ),
            1,
        )
        d.handle(0.0, Started())
        d.handle(0.0, EndpointListUpdate(ListScope.WHOLE, tuple(Endpoint(f"w{n}", "k") for n in range(120))))
        rng, now, rejected = random.Random(2), 1_000.0, 0
        for job in range(300):  # 1.5 jobs a second where the even share of the quotas is 0.5
            now += rng.expovariate(1.5 / 1_000.0)
            d.shedding.full, d.shedding.sampled_at = 0.95, now  # as just reported
            tenant = rng.choices("ab", (60, 40))[0]
            actions = d.handle(now, JobArrived(job, "purchase", 5_000.0, tenant, work_hint=100.0))
            rejected += sum(isinstance(a, RejectJob) for a in actions)
            for a in actions:
                if isinstance(a, PollLoad):
                    d.handle(now + 2.0, LoadPolled(a.worker, Ending.FULL))
            for a in actions:
                if isinstance(a, SendAttempt):
                    d.handle(now + 50.0, AttemptEnded(job, 0, a.worker, Ending.SERVED, final=True))
        self.assertLess(rejected, 15)


class Decay(unittest.TestCase):
    """Counts of a tenant's jobs decay with time; a job changes only the count of its own tenant."""

    @given(
        st.lists(st.tuples(st.integers(0, 3), st.floats(0.0, 400_000.0)), max_size=60), st.floats(0.0, 2e12)
    )
    def test_it_equals_a_decay_of_all_counts_at_each_job(
        self, jobs: list[tuple[int, float]], now: float
    ) -> None:
        tenants = [Tenant(f"t{n}", 0.5 + n) for n in range(4)]
        shares = QuotaTracker()
        shares.change_settings(tenants, 200, large_fleet=True)
        seen, at = [0.0] * 4, now
        quotas = [t.quota_per_s / 1000 for t in tenants]
        for tenant, gap in jobs:
            now += gap
            seen = [count * math.exp((at - now) / COUNT_DECAY_MS) for count in seen]
            at = now
            seen[tenant] += 1.0
            traffic_share = sum(seen) * quotas[tenant] / sum(quotas)
            within = min(
                1.0,
                (max(quotas[tenant] * COUNT_DECAY_MS / 200, traffic_share) + CHANCE_EXCESS_JOBS)
                / seen[tenant],
            )
            self.assertAlmostEqual(within, shares.count_job(now, f"t{tenant}"), places=9)
            self.assertLess(shares.total_count, 1e16)

    def test_a_job_changes_no_other_tenant_s_count(self) -> None:
        shares = QuotaTracker()
        shares.change_settings([Tenant(f"t{n}", 1.0) for n in range(1_000)], 200, large_fleet=True)
        shares.count_job(1.0, "t0")
        before = dict(shares.counts)
        shares.count_job(5_000.0, "t1")
        self.assertEqual({"t1"}, {name for name, count in shares.counts.items() if count != before[name]})


if __name__ == "__main__":
    unittest.main()
