"""Workers that hang, fail jobs, time out or die without notice."""

from __future__ import annotations

from elderstall.interface import AttemptEnded, Ending, FailJob
from tests.driver import SAFE, UNSAFE, Driver, fleet, settings
from tests.test_mechanism import sends, serve_all


def test_a_hanging_worker_gets_one_job_at_most_until_it_responds() -> None:
    """A worker hangs with jobs running; further jobs sent there would be lost."""
    d = Driver(settings(classes=(UNSAFE,), dispatchers=1))
    d.listed(fleet(2))
    for job in range(4):
        d.arrive(job, UNSAFE)
    serve_all(d)
    d.arrive(10, UNSAFE)
    hung = d.outs()[0]
    d.note(hung)
    got = []
    for job in range(11, 19):
        got += sends(d.arrive(job, UNSAFE))
        d.advance(300.0)
        for o in d.outs():
            if o.worker != hung.worker:
                d.note(o)
                d.end(o, Ending.SERVED)
    assert got.count(hung.worker) <= 1


def test_a_worker_whose_attempt_timed_out_is_skipped_for_twice_as_long() -> None:
    """Otherwise a stuck worker gets a job as soon as the last one has timed out."""
    d = Driver(settings(classes=(SAFE,), dispatchers=1))
    d.listed(fleet(1))
    d.arrive(1, SAFE)
    d.advance(SAFE.deadline)
    w = d.dispatcher.endpoints.workers["k0"]
    assert w.backoff_until - d.now >= 2 * SAFE.deadline
    assert not sends(d.arrive(2, SAFE))


def test_a_fleet_that_slows_as_a_whole_keeps_all_its_workers() -> None:
    d = Driver(settings(classes=(UNSAFE,), dispatchers=1))
    d.listed(fleet(4))
    for n, run in enumerate([50.0, 150.0, 150.0]):
        for job in range(8):
            d.arrive(10 * n + job, UNSAFE)
        serve_all(d, run)
        serve_all(d, run)
        serve_all(d, run)
    before = len(d.actions)
    for job in range(100, 112):
        d.arrive(job, UNSAFE)
        serve_all(d, 150.0)
    assert len(set(sends(d.actions[before:]))) == 4


def test_a_worker_is_not_skipped_for_a_job_whose_client_left() -> None:
    """A cancellation by the dispatcher is no fault of the worker; its backoff would double up to seconds."""
    d = Driver(settings(classes=(SAFE,), dispatchers=1))
    d.listed(fleet(1))
    for job in range(3):
        assert sends(d.arrive(job, SAFE)) == ["k0"]
        out = d.outs()[0]
        d.leave(job)
        d.end(out, Ending.CANCELLED)
    assert d.dispatcher.endpoints.workers["k0"].backoff_until <= d.now


def test_a_worker_that_failed_a_job_must_serve_safe_ones_first() -> None:
    """A worker that fails jobs at once seems idle and would attract the next ones."""
    d = Driver(settings(classes=(SAFE, UNSAFE), dispatchers=1))
    d.listed(fleet(3))
    sent = sends(d.arrive(1, UNSAFE))
    d.end(d.outs()[0], Ending.ERROR)
    probation_served = 0
    for job in range(2, 200):
        cls = UNSAFE if job % 2 else SAFE
        if sends(d.arrive(job, cls)) == sent:
            assert cls is SAFE or probation_served >= 4
            probation_served += 1
        for o in d.outs():
            d.advance(20.0)
            d.end(o, Ending.SERVED)
    assert probation_served > 20


def test_a_fleet_in_which_jobs_fail_everywhere_stays_in_use() -> None:
    """When jobs fail at all workers, the jobs are at fault; the workers must not all be put on probation."""
    d = Driver(settings(classes=(UNSAFE,), dispatchers=1))
    d.listed(fleet(4))
    served = set()
    for job in range(12):
        d.arrive(job, UNSAFE)
        for o in d.outs():
            d.advance(600.0)
            d.end(o, Ending.ERROR)
            served.add(o.worker)
    assert len(served) == 4


def test_a_reported_free_slot_allows_more_jobs_where_starts_are_not_notified() -> None:
    """Otherwise a busy dispatcher queues jobs while half of each worker's slots are idle."""
    attempts = []
    for dispatchers, free in ((2, 1.0), (2, 0.2), (8, 1.0)):
        s = settings(classes=(UNSAFE,), dispatchers=dispatchers, notifies_start=False, report_free_slots=0)
        d = Driver(s)
        d.listed(fleet(1))
        d.arrive(0, UNSAFE)
        out = d.outs()[0]
        del d.jobs[0].out[0]
        d.jobs[0].ended = True
        d.tell(AttemptEnded(0, 0, out.worker, Ending.SERVED, True, (free,)))
        for job in range(1, 6):
            d.arrive(job, UNSAFE)
        attempts.append(len(d.outs()))
    assert attempts == [2, 1, 1]


def test_workers_that_break_attempts_get_only_safe_jobs_and_late_ones() -> None:
    """Half of the workers reset new connections; an unsafe job sent there could not be retried."""
    d = Driver(settings(classes=(SAFE, UNSAFE), dispatchers=1, notifies_start=False))
    d.listed(fleet(4))
    for job in range(100, 160):
        d.arrive(job, SAFE if job % 2 else UNSAFE)
        for o in d.outs():
            d.advance(5.0)
            bad = o.worker in ("k0", "k1")
            d.end(o, Ending.BROKEN if bad and d.jobs[o.job].sent == 1 else Ending.SERVED)
    assert {w.name for w in d.dispatcher.endpoints.workers.values() if w.probation} == {"k0", "k1"}
    d.advance(5_000.0)
    assert set(sends(d.arrive(1, UNSAFE)) + sends(d.arrive(2, UNSAFE))) <= {"k2", "k3"}
    assert not sends(d.arrive(3, UNSAFE))
    mark = len(d.actions)
    d.advance(600.0)
    assert set(sends(d.actions[mark:])) <= {"k0", "k1"} and sends(d.actions[mark:])


def test_a_closed_idle_connection_causes_no_backoff_from_its_worker() -> None:
    d = Driver(settings(classes=(UNSAFE,), dispatchers=1))
    d.listed(fleet(1))
    d.arrive(1, UNSAFE)
    assert FailJob(1) in d.end(d.outs()[0], Ending.STALE_CONNECTION)
    assert sends(d.arrive(2, UNSAFE)) == ["k0"]
