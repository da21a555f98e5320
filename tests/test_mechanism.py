"""Pools, rotation, backoff of workers, queueing and learned state."""

from __future__ import annotations

from collections import Counter

import pytest

from elderstall import Dispatcher
from elderstall.interface import (
    Actions,
    AttemptEnded,
    AttemptProgressed,
    Ending,
    EndpointListUpdate,
    JobClass,
    JobReleased,
    ListScope,
    LogLine,
    ResponseStarted,
    SendAttempt,
    Tenant,
    TimerFired,
)
from tests.driver import SAFE, UNSAFE, Driver, fleet, settings


def sends(actions: Actions) -> list[str]:
    return [a.worker for a in actions if isinstance(a, SendAttempt)]


def serve_all(d: Driver, run: float = 50.0) -> None:
    for o in d.outs():
        d.note(o)
    d.advance(run)
    for o in d.outs():
        d.end(o, Ending.SERVED)


def test_pools_agree_between_instances_and_share_each_kind() -> None:
    listing = fleet(9, "big") + fleet(6, "small") + fleet(2, "rare")
    pools_by_seed = []
    for seed in (1, 2):
        d = Driver(settings(), seed)
        d.listed(listing)
        pools_by_seed.append([[w.name for w in p] for p in d.dispatcher.pools.pools])
        for pool in d.dispatcher.pools.pools:
            kinds = Counter(w.kind for w in pool)
            assert kinds["rare"] == 2
            assert kinds["big"] >= 1
    assert pools_by_seed[0] == pools_by_seed[1]


def test_rotation_gives_a_slow_worker_fewer_jobs() -> None:
    """A rotation without regard to speed would send a slow worker as many jobs as a fast one."""
    d = Driver(settings(classes=(SAFE,), dispatchers=1))
    d.listed(fleet(1, "fast") + fleet(1, "slow"))
    tally: Counter[str] = Counter()
    for job in range(400):
        tally.update(sends(d.arrive(job, SAFE)))
        out = d.outs()[0]
        d.note(out)
        d.advance(40.0 if out.worker.startswith("fast") else 160.0)
        d.end(out, Ending.SERVED)
    assert tally["fast0"] > 2 * tally["slow0"]


def test_a_full_worker_is_skipped_until_its_backoff_ends() -> None:
    d = Driver(settings(classes=(SAFE,)))
    d.listed(fleet(2))
    d.arrive(1, SAFE)
    full = d.outs()[0].worker
    d.end(d.outs()[0], Ending.FULL)
    assert d.outs()[0].worker != full
    serve_all(d, 20.0)
    assert full not in sends(d.arrive(2, SAFE))
    serve_all(d, 5_000.0)
    d.advance(5_000.0)
    assert full in sends(d.arrive(3, SAFE) + d.arrive(4, SAFE))


def test_a_worker_with_an_overdue_start_is_skipped() -> None:
    d = Driver(settings(classes=(SAFE,)))
    d.listed(fleet(2))
    for job in (1, 2):
        d.arrive(job, SAFE)
    serve_all(d)
    stuck = d.arrive(3, SAFE)
    d.advance(300.0)
    other = d.arrive(4, SAFE)
    assert sends(stuck) != sends(other)


def test_jobs_are_queued_when_no_worker_has_capacity_and_more_weight_goes_first() -> None:
    d = Driver(settings(dispatchers=1))
    d.listed(fleet(1))
    d.arrive(1, SAFE)
    assert not sends(d.arrive(2, SAFE, work_hint=100.0))
    assert not sends(d.arrive(3, UNSAFE, work_hint=100.0))
    actions = d.note(d.outs()[0])
    assert [a.job for a in actions if isinstance(a, SendAttempt)] == [3]


def test_a_late_start_backs_off_from_the_worker() -> None:
    """Without it many dispatchers each keep a job in every worker's queue."""
    d = Driver(settings(classes=(UNSAFE,)))
    d.listed(fleet(1))
    d.arrive(1, UNSAFE)
    serve_all(d)
    d.arrive(2, UNSAFE)
    d.advance(250.0)
    out = d.outs()[0]
    d.note(out)
    assert not sends(d.end(out, Ending.SERVED) + d.arrive(3, UNSAFE))
    d.advance(1_000.0)
    assert d.jobs[3].sent == 1


def test_late_jobs_wait_behind_fresh_ones() -> None:
    """Otherwise all jobs of an overloaded queue end late."""
    d = Driver(settings(dispatchers=1))
    d.listed(fleet(1))
    d.arrive(0, UNSAFE)
    serve_all(d)
    d.arrive(1, UNSAFE)
    d.advance(100.0)
    assert not sends(d.arrive(2, UNSAFE))
    d.advance(1_500.0)
    d.arrive(3, UNSAFE)
    d.note(d.outs()[0])
    d.end(d.outs()[0], Ending.SERVED)
    before = len(d.actions)
    d.advance(1_500.0)
    assert [a.job for a in d.actions[before:] if isinstance(a, SendAttempt)][0] == 3


def test_a_class_bound_to_a_kind_goes_only_there() -> None:
    bound = JobClass("bound", 1.0, 100.0, 1_000.0, kind="b")
    d = Driver(settings(classes=(bound, SAFE)))
    d.listed(fleet(4, "a") + fleet(1, "b"))
    for job in range(5):
        d.arrive(job, bound)
    d.advance(5_000.0)
    assert set(sends(d.actions)) == {"b0"}


def test_work_over_a_tenant_s_quota_goes_to_a_lower_tier() -> None:
    d = Driver(settings(classes=(SAFE,), tenants=(Tenant("t", 4.0),)))
    d.listed(fleet(9))
    for job in range(20):
        d.arrive(job, SAFE, tenant="t")
    assert d.dispatcher.context.mode.tiers == 2
    assert [rates[0] for rates in d.dispatcher.solver.arriving] == [2, 18]


def test_sizes_rescale_with_the_list_and_leave_none_empty() -> None:
    d = Driver(settings())
    for n in (9, 4, 12, 3, 30):
        d.listed(fleet(n))
        assert sum(d.dispatcher.pools.policy.sizes) == n
        assert min(d.dispatcher.pools.policy.sizes) >= 1


def test_solving_moves_capacity_to_where_the_load_is() -> None:
    d = Driver(settings(classes=(SAFE, UNSAFE), dispatchers=1))
    d.listed(fleet(12))
    d.dispatcher.capacity.kinds[
        "k"
    ].assumed_slots = 1.0  # one slot each, or there is capacity for all without a change
    for job in range(300):
        d.arrive(job, SAFE)
        serve_all(d, 20.0)
    gold, bronze = d.dispatcher.pools.policy.sizes
    assert bronze > gold or d.dispatcher.pools.policy.fractions[0] > 0


def test_same_events_give_the_same_actions() -> None:
    from tests.driver import random_day

    assert random_day(7, settings()).actions == random_day(7, settings()).actions


NO_EFFECT = JobClass("x", 1, 1, 1, "odd")  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "field,value",
    [
        ("classes", ()),
        ("dispatchers", 0),
        ("poll_interval", -1.0),
        ("slow_start_share", 0.0),
        ("max_attempts", 0),
        ("classes", (SAFE, SAFE)),
        ("tenants", (Tenant("t", -1.0),)),
        ("classes", (NO_EFFECT,)),
        ("classes", (JobClass("x", -1, 1, 1),)),
    ],
)
def test_invalid_settings_raise_and_name_the_field(field: str, value: object) -> None:
    names = {"tenants": "quota_per_s", "poll_interval": "ask_within", "slow_start_share": "cold_share"}
    with pytest.raises(ValueError, match=f"{names.get(field, field)}|effect|worth"):
        settings(**{field: value})


def test_unknown_ids_are_ignored() -> None:
    d = Dispatcher(settings(), 1)
    for event in (
        AttemptEnded(9, 0, "w", Ending.SERVED),
        AttemptProgressed(9, 0, "w"),
        JobReleased(9),
        TimerFired(77),
        ResponseStarted(9, 0, "w"),
    ):
        assert d.handle(1.0, event) == []


def test_own_zone_comes_first_where_crossing_costs() -> None:
    for price, zones in ((0.03, {"a"}), (0.0, {"a", "b"})):
        d = Driver(settings(classes=(SAFE,), cross_zone_price=price))
        d.listed(fleet(8))
        for job in range(12):
            d.arrive(job, SAFE)
            serve_all(d, 20.0)
        assert {d.listing[w].zone for w in sends(d.actions)} == zones


def test_workers_too_slow_for_a_long_job_come_after_the_others() -> None:
    """On slow workers a job of a class with a small stretch ends late even if it starts at once."""
    d = Driver(settings(classes=(SAFE,), dispatchers=1))
    d.listed(fleet(4, "fast") + fleet(4, "slow"))
    for w in d.dispatcher.endpoints.workers.values():
        w.slot_limit, w.speed, w.slot_share = 4, 1.0 if w.kind == "fast" else 0.3, 4.0
    for job in range(4):
        assert sends(d.arrive(job, SAFE))[0].startswith("fast")
    for w in d.dispatcher.endpoints.workers.values():
        w.speed = 0.3  # a fleet that slows as a whole keeps all its workers
    for job in range(4, 12):
        d.arrive(job, SAFE)
    assert {w[:4] for w in sends(d.actions)} == {"fast", "slow"}


def test_an_unavailable_list_and_the_slot_share_are_logged() -> None:
    d = Driver(settings(classes=(SAFE,), dispatchers=1, watches_list=True))
    d.listed(fleet(2))
    d.tell(EndpointListUpdate(ListScope.FAILED))
    d.advance(2_000.0)
    log_texts = [a.text for a in d.actions if isinstance(a, LogLine)]
    assert sum("endpoint list unavailable" in text for text in log_texts) == 1
    assert any("slot share" in text for text in log_texts)
