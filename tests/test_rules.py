"""The four rules of dispatching: each by itself, and all under random valid event sequences."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings as tune
from hypothesis import strategies as st

from elderstall.interface import (
    Ending,
    Endpoint,
    EndpointListUpdate,
    FailJob,
    JobClass,
    ListScope,
    RejectJob,
    SendAttempt,
    WatchEndpoints,
    WorkerState,
)
from tests.driver import KEYED, KEYED_ALL, SAFE, UNSAFE, Driver, fleet, random_day, settings


@tune(max_examples=150, deadline=None, derandomize=True)
@given(seed=st.integers(0, 2**32), follow=st.booleans(), starts=st.booleans())
def test_rules_hold_under_random_events(seed: int, follow: bool, starts: bool) -> None:
    random_day(seed, settings(watches_list=follow, notifies_start=starts))


@pytest.mark.parametrize("cls", [SAFE, KEYED, KEYED_ALL, UNSAFE])
def test_rule1_no_workers_known_still_gets_one_answer(cls: JobClass) -> None:
    d = Driver(settings())
    d.arrive(1, cls)
    d.advance(10_000)
    assert d.jobs[1].answers == 1


@pytest.mark.parametrize("left", [0.0, 1.0, 7.0, 25.0])
def test_rule1_a_job_that_arrives_with_hardly_any_budget_is_answered(left: float) -> None:
    """A client's retry has the rest of its budget, even none; such jobs were lost (incident i35f002)."""
    d = Driver(settings())
    d.arrive(1, SAFE, left=left)
    d.advance(1_000)
    assert d.jobs[1].answers == 1


def test_rule1_timeout_at_deadline_gets_a_failure() -> None:
    d = Driver(settings())
    d.listed(fleet(1))
    d.arrive(1, UNSAFE)
    d.advance(10_000)
    assert FailJob(1) in d.actions


def test_rule1_nothing_is_sent_after_the_client_disconnected() -> None:
    d = Driver(settings())
    d.arrive(1, SAFE)
    d.leave(1)
    d.listed(fleet(3))
    d.advance(10_000)
    assert not any(isinstance(a, SendAttempt) for a in d.actions)


def test_rule2_unsafe_is_sent_again_only_if_it_never_ran() -> None:
    d = Driver(settings())
    d.listed(fleet(3))
    d.arrive(1, UNSAFE)
    d.end(d.outs()[0], Ending.FULL)
    assert d.jobs[1].sent == 2
    assert FailJob(1) in d.end(d.outs()[0], Ending.ERROR)


def test_rule2_keyed_is_retried_only_in_its_cell() -> None:
    d = Driver(settings())
    d.listed(fleet(6))
    d.arrive(1, KEYED)
    first = d.outs()[0].worker
    d.end(d.outs()[0], Ending.ERROR)
    d.advance(600.0)  # the only worker that it may be sent to is in backoff
    assert d.listing[d.outs()[0].worker].cell == d.listing[first].cell
    assert d.jobs[1].sent == 2


def test_rule2_keyed_is_not_sent_again_after_its_deduplication_window() -> None:
    d = Driver(settings())
    d.listed(fleet(6))
    d.arrive(1, KEYED)
    d.advance(KEYED.deduplication_window)
    d.end(d.outs()[0], Ending.BROKEN)
    assert d.jobs[1].sent == 1
    d.advance(10_000)
    assert FailJob(1) in d.actions


def test_rule2_keyed_in_all_cells_may_be_rejected() -> None:
    d = Driver(settings(max_attempts=1))
    d.listed(fleet(2))
    d.arrive(1, KEYED_ALL)
    assert any(isinstance(a, RejectJob) and a.job == 1 for a in d.end(d.outs()[0], Ending.ERROR))


@pytest.mark.parametrize("state", [WorkerState.DRAINING, WorkerState.GONE])
def test_rule3_a_draining_worker_gets_nothing(state: WorkerState) -> None:
    d = Driver(settings())
    d.listed(fleet(1))
    d.listed((Endpoint("k0", "k", "a", 0, None, state),), ListScope.CHANGES)
    d.arrive(1, SAFE)
    d.advance(5_000)
    assert not any(isinstance(a, SendAttempt) for a in d.actions)


def test_rule3_a_whole_list_that_drops_a_worker_ends_sends_to_it() -> None:
    d = Driver(settings())
    d.listed(fleet(2))
    d.listed(fleet(1))
    for job in range(9):
        d.arrive(job, SAFE)
    assert {a.worker for a in d.actions if isinstance(a, SendAttempt)} == {"k0"}


def test_rule3_a_failed_list_call_is_retried_within_half_the_poll_interval() -> None:
    d = Driver(settings(watches_list=True))
    d.listed(fleet(2))
    call_times = []
    d.tell(EndpointListUpdate(ListScope.FAILED))
    for _ in range(400):
        before = len(d.actions)
        d.advance(100.0)
        if any(isinstance(a, WatchEndpoints) for a in d.actions[before:]):
            call_times.append(d.now)
            d.tell(EndpointListUpdate(ListScope.FAILED))
    gaps = [b - a for a, b in zip(call_times, call_times[1:], strict=False)]
    assert len(call_times) > 10
    assert max(gaps) <= d.s.poll_interval / 2


@pytest.mark.parametrize("dispatchers", [1, 3])
def test_rule4_all_dispatchers_together_keep_the_cold_budget(dispatchers: int) -> None:
    """Every dispatcher has excess jobs for one cold worker; the work in a window stays within the budget."""
    s = settings(dispatchers=dispatchers)
    total = 0.0
    for rank in range(dispatchers):
        d = Driver(s, rank)
        d.listed(fleet(1, started=d.now))
        for job in range(int(s.slow_start_window / 10)):
            d.arrive(job, SAFE, work_hint=100.0)
            d.advance(10.0)
            for o in d.outs():
                d.note(o)
                d.end(o, Ending.FULL if o.number else Ending.SERVED)
        total += 100.0 * sum(isinstance(a, SendAttempt) for a in d.actions)
    w = d.dispatcher.endpoints.workers["k0"]
    assert total > 0
    assert total <= s.slow_start_multiple * w.slots * w.speed * s.slow_start_window


def test_rule4_a_restart_under_the_same_name_is_cold_again() -> None:
    d = Driver(settings())
    d.listed(fleet(1))
    assert (
        d.dispatcher.endpoints.workers["k0"].warm_up_fraction(
            d.dispatcher.context.now, d.dispatcher.context.settings
        )
        == 1.0
    )
    d.listed(fleet(1, started=d.now))
    assert d.dispatcher.endpoints.workers["k0"].warm_up_fraction(
        d.dispatcher.context.now, d.dispatcher.context.settings
    ) == pytest.approx(0.3)
