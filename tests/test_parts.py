"""A dispatcher's share of the fleet where it is less than one slot per worker."""

from __future__ import annotations

import random
from collections import Counter

from elderstall import Dispatcher
from elderstall.decisions.rotation import Rotation
from elderstall.interface import (
    EndpointListUpdate,
    JobArrived,
    ListScope,
    SendAttempt,
    Started,
    Tenant,
    TimerFired,
)
from tests.driver import KEYED, SAFE, Driver, fleet, settings


def sent_by_many(dispatchers: int, workers: int, jobs: int) -> Counter[str]:
    """Return attempts by worker after each of many dispatchers, which share no state, got jobs at once."""
    count: Counter[str] = Counter()
    for rank in range(dispatchers):
        s = settings(classes=(SAFE,), dispatchers=dispatchers, rank=rank)
        d = Dispatcher(s, 1000 + rank)
        d.handle(0.0, Started())
        d.handle(0.0, EndpointListUpdate(ListScope.WHOLE, fleet(workers)))
        for job in range(jobs):
            actions = d.handle(1.0, JobArrived(job, "safe", 2_000.0))
            count.update(a.worker for a in actions if isinstance(a, SendAttempt))
    return count


def test_dispatchers_with_little_traffic_start_on_different_workers() -> None:
    """Otherwise dispatchers with little traffic choose the same workers, as none sees the others' jobs."""
    count = sent_by_many(60, 60, 2)
    assert sum(count.values()) == 120
    assert max(count.values()) <= 5 and len(count) >= 50


def test_cold_workers_get_jobs_where_a_share_of_the_budget_is_less_than_a_job() -> None:
    """Dispatchers with little traffic neither leave cold workers idle nor exceed their budget."""
    sent: Counter[str] = Counter()
    for rank in range(100):
        s = settings(
            classes=(SAFE,),
            dispatchers=100,
            rank=rank,
            slow_start_duration=8_000.0,
            slow_start_window=2_000.0,
        )
        d = Dispatcher(s, rank)
        d.handle(0.0, Started())
        d.handle(0.0, EndpointListUpdate(ListScope.WHOLE, fleet(40, started=-1_000.0)))
        for job in range(10):
            d.handle(1.0, JobArrived(job, "safe", 2_000.0))
        d.handle(1.0, TimerFired(2))
        for w in d.endpoints.workers.values():
            sent[w.name] += sum(work for _, work in w.warm_up_sends)  # type: ignore[assignment]
    w = d.endpoints.workers["k0"]
    assert len(sent) == 40
    assert (
        0
        < max(sent.values())
        <= 3.0 * 2_000.0 * w.slots * w.speed * w.warm_up_fraction(d.context.now, d.context.settings) / 2
        + d.estimates.typical
    )


def test_a_dispatcher_with_more_traffic_has_a_larger_slot_share() -> None:
    """With uneven traffic busy dispatchers would send most jobs to workers that others use."""
    own = []
    for jobs in (0, 300):
        d = Driver(settings(classes=(SAFE,), dispatchers=50))
        d.listed(fleet(30))
        for job in range(jobs):
            d.arrive(job, SAFE)
            d.advance(6.0)
        d.advance(2_000.0)
        own.append(sum(w.slot_share > 0 for w in d.dispatcher.endpoints.workers.values()))
    assert 0 < own[0] < own[1]


def test_a_cold_worker_ranks_like_an_own_slot_in_the_window_assigned_to_the_dispatcher() -> None:
    """Otherwise new workers of a deploy are idle while the old ones have queues."""
    d = Dispatcher(settings(classes=(SAFE,), dispatchers=100, rank=3, slow_start_duration=8_000.0), 1)
    d.handle(0.0, Started())
    d.handle(0.0, EndpointListUpdate(ListScope.WHOLE, fleet(60, "warm") + fleet(60, "cold", started=-500.0)))
    d.handle(1.0, JobArrived(1, "safe", 2_000.0))
    cold = [w for w in d.endpoints.workers.values() if w.kind == "cold" and not w.slot_share]
    rotation = Rotation()
    rotation.fill(cold, {w.name: d.pools.rotation_group(w) for w in cold})
    rank, w = d.placement.next_accepting(rotation, d.answers.open[1])
    assert w is not None and rank == 0


def test_beyond_own_slots_jobs_wait_while_a_start_is_overdue() -> None:
    """Dispatchers with little traffic would send jobs blindly to a saturated fleet."""
    d = Driver(settings(classes=(SAFE,), dispatchers=100, connect_timeout=20.0))
    d.listed(fleet(50))
    own = sum(w.slot_share > 0 for w in d.dispatcher.endpoints.workers.values())
    assert own < 10
    sent = [len([a for a in d.arrive(job, SAFE) if isinstance(a, SendAttempt)]) for job in range(own + 1)]
    assert sum(sent) > own  # nothing is overdue yet
    d.advance(40.0)
    assert not [a for a in d.arrive(99, SAFE) if isinstance(a, SendAttempt)]


def test_chance_bursts_at_a_dispatcher_with_little_traffic_are_within_a_quota() -> None:
    """A random burst at a dispatcher with little traffic was taken for work over quota (L60d3ed)."""
    tenants = (Tenant("t", 50.0), Tenant("u", 50.0))
    d, rng = Dispatcher(settings(classes=(SAFE,), dispatchers=100, tenants=tenants), 1), random.Random(1)
    now, within = 0.0, 0.0
    for _ in range(400):  # four fifths of the quota, as one of a hundred dispatchers sees it
        now = now + rng.expovariate(0.8 * 50.0 / 100 / 1_000)
        within += d.quotas.count_job(now, "t")
    assert within >= 360
    within = 0.0
    for _ in range(400):  # four times the quota, and no jobs of the other tenant
        now = now + rng.expovariate(4 * 50.0 / 100 / 1_000)
        within += d.quotas.count_job(now, "t")
    assert 160 <= within <= 320  # half of the traffic here is within the quota


def test_pools_of_large_fleets_start_with_the_tiers_used_by_work_within_quotas() -> None:
    """Otherwise a third of the fleet is kept for work over quota until the solver has seen enough jobs."""
    tenants = (Tenant("t", 50.0),)
    for dispatchers, least in ((100, 1), (2, 10)):
        d = Dispatcher(settings(dispatchers=dispatchers, tenants=tenants, classes=(SAFE, KEYED)), 1)
        d.handle(0.0, EndpointListUpdate(ListScope.WHOLE, fleet(31)))
        assert sum(d.pools.policy.sizes) == 31
        assert d.pools.policy.sizes[2] == least and min(d.pools.policy.sizes[:2]) >= 10
