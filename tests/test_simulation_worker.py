"""The simulated worker model: small cases with results worked out by hand, and core time in random cases."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from elderstall.simulation.scenario import Kind
from elderstall.simulation.worker import CardWorker, ColdLoadLimit, Task, WorkerEvent, WorkerEventKind

PLAIN = Kind("plain", cores=2, slots=2, queue=2, cold_share=0.5, cold_for=0.0)


def end_times(
    events: list[WorkerEvent], kind: WorkerEventKind = WorkerEventKind.DONE
) -> list[tuple[object, object]]:
    return [(event.task.key, pytest.approx(event.at)) for event in events if event.kind is kind]


def test_tasks_share_the_cores_when_more_slots_than_cores_are_in_use() -> None:
    worker = CardWorker(Kind("k", cores=2, slots=4, cold_for=0.0), speed=1.0)
    for key in "abcd":
        worker.offer(0.0, Task(key, 100.0))
    # Four tasks on two cores: half speed each.
    assert end_times(worker.advance(1_000.0)) == [(key, 200.0) for key in "abcd"]
    assert worker.ledger.busy == pytest.approx(400.0) and worker.ledger.idle == pytest.approx(1_600.0)


def test_worker_speed_and_a_second_task_change_the_end_time() -> None:
    worker = CardWorker(Kind("k", cores=1, slots=2, cold_for=0.0), speed=2.0)
    worker.offer(0.0, Task("a", 100.0))
    worker.offer(25.0, Task("b", 100.0))  # a has done 50; from here each runs at 1.0
    assert end_times(worker.advance(1_000.0)) == [("a", 75.0), ("b", 100.0)]


def test_a_task_that_does_not_fit_blocks_the_queue_behind_it() -> None:
    worker = CardWorker(PLAIN, speed=1.0)
    worker.offer(0.0, Task("long", 100.0))
    worker.offer(0.0, Task("wide", 50.0, slots=2))
    worker.offer(0.0, Task("small", 10.0))  # a slot is free, but the head of the queue blocks it
    seen = worker.advance(1_000.0)
    assert end_times(seen, WorkerEventKind.STARTED) == [("wide", 100.0), ("small", 150.0)]
    assert end_times(seen) == [("long", 100.0), ("wide", 150.0), ("small", 160.0)]


def test_a_full_queue_and_a_task_with_too_many_slots_are_rejected() -> None:
    worker = CardWorker(PLAIN, speed=1.0)
    outcomes = [worker.offer(0.0, Task(n, 100.0))[0].kind for n in range(5)]
    assert outcomes == [WorkerEventKind.TAKEN] * 4 + [WorkerEventKind.FULL]
    assert worker.offer(0.0, Task("wide", 1.0, slots=3))[0].kind is WorkerEventKind.FULL
    assert worker.held == 4


def test_warm_up_by_time() -> None:
    worker = CardWorker(Kind("k", cores=1, slots=1, cold_share=0.5, cold_for=1_000.0), speed=1.0)
    worker.start(0.0)
    worker.offer(0.0, Task("a", 600.0))
    assert worker.warm_up_fraction(500.0) == 0.75
    # 0.5 t + 0.25e-3 t^2 = 600 has its root at 843.9
    assert end_times(worker.advance(5_000.0)) == [("a", (-0.5 + math.sqrt(0.25 + 0.6)) / 0.0005)]
    worker.offer(5_000.0, Task("b", 600.0))
    assert end_times(worker.advance(9_000.0)) == [("b", 5_600.0)]


def test_warm_up_by_work() -> None:
    kind = Kind("k", cores=1, slots=1, cold_share=0.5, cold_for=1_000.0, warm_by_work=True)
    worker = CardWorker(kind, speed=4.0)
    worker.start(0.0)
    worker.offer(0.0, Task("a", 4_000.0))  # warms by all its work: 0.5 to 1 as exp(t / 2000)
    seen = worker.advance(5_000.0)
    assert worker.warm_up_fraction(0.0) == 1.0
    assert end_times(seen) == [("a", 2_000.0 * math.log(2))]


def test_a_cold_worker_sent_more_than_its_limit_crashes_and_stays_down() -> None:
    kind = Kind("k", cores=1, slots=1, queue=0, cold_share=0.5, cold_for=10_000.0)
    worker = CardWorker(kind, speed=1.0, cold_load_limit=ColdLoadLimit(4.0, 1_000.0))
    worker.start(0.0)
    budget = 4.0 * 0.5 * 1_000.0
    assert worker.offer(0.0, Task("a", budget - 100.0))[0].kind is WorkerEventKind.TAKEN
    assert worker.offer(0.0, Task("b", 99.0))[0].kind is WorkerEventKind.FULL  # rejected work counts as well
    assert worker.up
    seen = worker.offer(0.0, Task("c", 2.0, informed=False))
    assert (
        [event.kind for event in seen] == [WorkerEventKind.LOST, WorkerEventKind.LOST]
        and worker.overloaded
        and not worker.up
    )
    assert worker.informed_fraction == pytest.approx((budget - 1) / (budget + 1))


def test_the_cold_limit_covers_a_sliding_window_and_grows_with_the_warm_up() -> None:
    kind = Kind("k", cores=1, slots=1, queue=0, cold_share=0.5, cold_for=10_000.0)
    worker = CardWorker(kind, speed=1.0, cold_load_limit=ColdLoadLimit(4.0, 1_000.0))
    worker.start(0.0)
    worker.offer(0.0, Task("a", 1_900.0))
    worker.offer(1_000.5, Task("b", 1_900.0))
    assert worker.up
    worker.offer(1_001.0, Task("c", 600.0))
    assert worker.overloaded


def test_connection_overhead_uses_all_cores_before_tasks_continue() -> None:
    worker = CardWorker(PLAIN, speed=1.0)
    worker.offer(0.0, Task("a", 100.0))
    worker.charge(0.0, 20.0)  # two cores: 10 ms
    assert worker.backlog() == pytest.approx(10.0)
    assert end_times(worker.advance(500.0)) == [("a", 110.0)]
    assert worker.ledger.overhead == pytest.approx(20.0)


def test_open_connections_and_crowding_reduce_the_efficiency() -> None:
    kind = Kind(
        "k",
        cores=1,
        slots=1,
        queue=9,
        cold_for=0.0,
        connections=100,
        connection_tax=0.2,
        crowd_at=2,
        crowd_cost=0.5,
    )
    worker = CardWorker(kind, speed=1.0)
    worker.connections = 50
    assert worker.efficiency() == pytest.approx(0.9)
    for n in range(4):
        worker.offer(0.0, Task(n, 100.0))
    assert worker.efficiency() == pytest.approx(0.9 / 2)


def test_events_due_in_a_pause_are_reported_when_it_ends() -> None:
    worker = CardWorker(Kind("k", cores=1, slots=1, queue=5, cold_for=0.0), speed=1.0, progress_every=100.0)
    worker.offer(0.0, Task("a", 450.0))
    assert [event.at for event in worker.advance(150.0)] == [100.0]
    worker.pause(150.0)
    assert (
        worker.offer(200.0, Task("b", 10.0)) == []
        and worker.advance(3_000.0) == []
        and worker.due() == math.inf
    )
    seen = worker.resume(3_150.0)
    assert {event.at for event in seen} == {3_150.0}
    assert [event.kind for event in seen if event.kind is not WorkerEventKind.PROGRESS] == [
        WorkerEventKind.TAKEN
    ]
    assert end_times(worker.advance(9_000.0)) == [("a", 3_450.0), ("b", 3_460.0)]
    assert worker.ledger.paused == pytest.approx(3_000.0)


def test_a_drain_returns_tasks_that_have_not_started() -> None:
    worker = CardWorker(Kind("k", cores=1, slots=1, queue=5, cold_for=0.0), speed=1.0)
    for n in range(3):
        worker.offer(0.0, Task(n, 100.0))
    assert [(event.kind, event.task.key) for event in worker.drain(10.0)] == [
        (WorkerEventKind.RETURNED, 1),
        (WorkerEventKind.RETURNED, 2),
    ]
    assert worker.offer(20.0, Task("new", 1.0))[0].kind is WorkerEventKind.FULL
    assert end_times(worker.advance(500.0)) == [(0, 100.0)]


@pytest.mark.parametrize(("cancel", "stopped"), [("none", []), ("waiting", ["b"]), ("all", ["a", "b"])])
def test_the_worker_kind_decides_what_a_cancellation_stops(cancel: str, stopped: list[str]) -> None:
    worker = CardWorker(Kind("k", cores=1, slots=1, queue=5, cold_for=0.0, cancel=cancel), speed=1.0)
    worker.offer(0.0, Task("a", 100.0))
    worker.offer(0.0, Task("b", 100.0))
    seen = worker.cancel(50.0, "b") + worker.cancel(50.0, "a") + worker.advance(1_000.0)
    assert [event.task.key for event in seen if event.kind is WorkerEventKind.STOPPED] == stopped[::-1]
    assert len(end_times(seen)) == 2 - len(stopped)


def test_a_repeatable_task_continues_from_its_last_checkpoint() -> None:
    worker = CardWorker(Kind("k", cores=1, slots=2, cold_for=0.0), speed=1.0, checkpoint=1_000.0)
    worker.offer(0.0, Task("safe", 4_000.0, repeatable=True))
    lost = {event.task.key: event.task for event in worker.die(2_500.0)}
    assert lost["safe"].saved == pytest.approx(0.5 * 0.5 * 2.0)  # 2 of 2.5 s saved, of 4 s of work
    worker.start(3_000.0)
    worker.cold_share = 1.0
    task = Task("again", 4_000.0, repeatable=True, saved=lost["safe"].saved)
    worker.offer(3_000.0, task)
    assert end_times(worker.advance(9_000.0)) == [("again", 5_000.0)]


def test_an_expired_task_is_dropped_when_it_could_start() -> None:
    worker = CardWorker(Kind("k", cores=1, slots=1, queue=5, cold_for=0.0, drops_expired=True), speed=1.0)
    worker.offer(0.0, Task("a", 100.0))
    worker.offer(0.0, Task("b", 100.0, deadline=90.0))
    worker.offer(0.0, Task("c", 10.0))
    seen = worker.advance(500.0)
    assert end_times(seen, WorkerEventKind.DROPPED) == [("b", 100.0)] and end_times(seen) == [
        ("a", 100.0),
        ("c", 110.0),
    ]


def test_a_failing_task_ends_at_its_fraction_of_the_work() -> None:
    worker = CardWorker(PLAIN, speed=1.0)
    worker.offer(0.0, Task("a", 100.0, fails_at=0.3))
    assert end_times(worker.advance(500.0), WorkerEventKind.FAILED) == [("a", 30.0)]


ACTIONS = ["offer", "wide", "cancel", "charge", "slow", "pause", "resume", "drain", "die", "start"]
actions = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.floats(0.0, 400.0), st.integers(0, 30)), max_size=60
)


@given(
    actions, st.integers(1, 3), st.integers(1, 5), st.booleans(), st.sampled_from(["none", "waiting", "all"])
)
def test_every_task_ends_once_and_all_core_time_is_accounted_for(
    plan: list[tuple[str, float, int]], cores: int, slots: int, by_work: bool, cancel: str
) -> None:
    kind = Kind(
        "k", cores, slots, queue=4, cold_for=700.0, warm_by_work=by_work, cancel=cancel, drops_expired=by_work
    )
    worker = CardWorker(kind, speed=1.3, cold_load_limit=ColdLoadLimit(50.0, 500.0), progress_every=70.0)
    now = 0.0
    seen = list[WorkerEvent]()
    offered = 0
    for action, gap, n in plan:
        now += gap
        if action in ("offer", "wide"):
            offered += 1
            seen += worker.offer(
                now,
                Task(
                    offered,
                    10.0 + 9 * n,
                    slots=2 if action == "wide" else 1,
                    deadline=now + 150.0,
                    repeatable=n % 2 == 0,
                ),
            )
        elif action == "cancel":
            seen += worker.cancel(now, n)
        elif action == "charge":
            seen += worker.charge(now, float(n))
        elif action == "slow":
            seen += worker.set_slowdown(now, 1.0 + n / 10)
        elif action == "pause" and worker.up and not worker.paused:
            seen += worker.pause(now)
        elif action == "resume" and worker.paused:
            seen += worker.resume(now)
        elif action == "drain" and worker.up and not worker.paused:
            seen += worker.drain(now)
        elif action == "die":
            seen += worker.die(now)
        elif action == "start" and not worker.up:
            worker.start(now)
    if worker.paused:
        seen += worker.resume(now)
    now += 1e6
    seen += worker.advance(now)
    assert worker.ledger.total == pytest.approx(cores * now)
    ended = [
        event.task.key
        for event in seen
        if event.kind
        in (
            WorkerEventKind.DONE,
            WorkerEventKind.FAILED,
            WorkerEventKind.FULL,
            WorkerEventKind.LOST,
            WorkerEventKind.RETURNED,
            WorkerEventKind.DROPPED,
            WorkerEventKind.STOPPED,
        )
    ]
    assert sorted(ended, key=repr) == sorted(range(1, offered + 1), key=repr)
    assert all(a.at <= b.at + 1e-6 for a, b in zip(seen, seen[1:], strict=False))
    tasks = {event.task.key: event.task for event in seen}.values()
    assert sum(t.core_time for t in tasks) == pytest.approx(worker.ledger.busy, abs=1e-3)
