"""Workers' queues are kept short: dispatchers can't see or recall jobs there."""

from __future__ import annotations

from elderstall.interface import RejectJob, SendAttempt, SetTimer, TimerFired
from tests.driver import SAFE, UNSAFE, Driver, fleet, settings
from tests.test_mechanism import sends


def test_a_burst_on_full_workers_is_queued_by_the_dispatcher() -> None:
    """Twenty-four dispatchers with a job in each of forty queues would fill them for many seconds."""
    d = Driver(settings(classes=(UNSAFE,), dispatchers=24))
    d.listed(fleet(40))
    d.advance(2_100.0)
    for job in range(45):
        d.arrive(job, UNSAFE)
        d.advance(10.0)
    waiting = [o for o in d.outs() if not o.started]
    assert len(waiting) <= 12


def test_late_jobs_wait_while_a_start_is_overdue() -> None:
    d = Driver(settings(classes=(UNSAFE,), dispatchers=1))
    d.listed(fleet(2))
    d.advance(2_100.0)
    d.arrive(1, UNSAFE)
    assert not d.dispatcher.in_flight.is_saturated(late=True)
    d.advance(100.0)
    d.tell(TimerFired(99))
    assert d.dispatcher.in_flight.is_saturated(late=True)
    assert not d.dispatcher.in_flight.is_saturated()
    d.note(d.outs()[0])
    assert not d.dispatcher.in_flight.is_saturated(late=True)


def test_a_stuck_worker_does_not_stop_the_rest() -> None:
    d = Driver(settings(classes=(SAFE,), dispatchers=2))
    d.listed(fleet(8))
    d.advance(2_100.0)
    d.arrive(0, SAFE)
    stuck = d.outs()[0]
    d.advance(200.0)
    for job in range(1, 12):
        assert sends(d.arrive(job, SAFE))
        for o in d.outs():
            if o is not stuck:
                d.note(o)
        d.advance(20.0)


def test_dead_workers_do_not_stop_all_sending() -> None:
    """Unstarted attempts on workers that died without notice don't show a saturated fleet."""
    d = Driver(settings(classes=(UNSAFE,), dispatchers=2))
    d.listed(fleet(12))
    d.advance(2_100.0)
    for job in range(40):
        d.arrive(job, UNSAFE)
    dead = {o.worker for o in d.outs()}
    d.listed(fleet(12) + fleet(2, "new"))
    d.advance(1_500.0)
    alive = sends(d.arrive(99, UNSAFE))
    d.advance(200.0)
    assert set(alive + sends(d.actions)) - dead


def test_a_fleet_full_for_long_is_not_taken_for_stuck() -> None:
    """If more than a few workers seem stuck, their queues are full and must not grow."""
    d = Driver(settings(classes=(UNSAFE,), dispatchers=24))
    d.listed(fleet(40))
    d.advance(2_100.0)
    for job in range(20):
        d.arrive(job, UNSAFE)
        d.advance(10.0)
    d.advance(1_500.0)
    assert d.dispatcher.in_flight.is_saturated(late=True)


def test_queued_jobs_with_more_weight_per_slot_time_go_first() -> None:
    """Among jobs of equal weight, more short ones can be served in the same time."""
    d = Driver(settings(classes=(SAFE, UNSAFE), dispatchers=1))
    d.listed(fleet(1))
    d.arrive(0, SAFE)
    d.arrive(1, UNSAFE, work_hint=9_000.0)
    d.arrive(2, SAFE, work_hint=50.0)
    actions = d.note(d.outs()[0])
    assert [a.job for a in actions if isinstance(a, SendAttempt)] == [2]


def test_large_fleets_review_queued_jobs_less_often() -> None:
    """Ranking a saturated large fleet at every review would use up the CPU."""
    review_delays = []
    for dispatchers in (2, 100):
        d = Driver(settings(classes=(SAFE,), dispatchers=dispatchers))
        actions = d.arrive(1, SAFE)  # no worker is listed
        review_delays.append(next(a.delay for a in actions if isinstance(a, SetTimer) and a.token == 2))
    assert review_delays[1] > 2 * review_delays[0]


def test_the_retry_delay_of_a_rejection_grows_with_the_open_work() -> None:
    """Clients would retry at once and keep a fleet saturated; the rejection itself is not delayed."""
    retry_delays = []
    for jobs in (2, 40):
        d = Driver(settings(classes=(SAFE,), dispatchers=1, notifies_start=False))
        d.listed(fleet(1))
        for job in range(jobs):
            d.arrive(job, SAFE, work_hint=40.0)
        d.advance(SAFE.latency_objective + 2 * d.dispatcher.context.mode.review_interval)
        retry_delays.append([a.retry_after for a in d.actions if isinstance(a, RejectJob)])
    (few, many) = retry_delays
    assert 0 < max(few) <= max(many) <= 2_000.0
    assert max(many) > min(many)
