"""The worker model by small cases worked out by hand, and its books by random ones."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from elderstall.simulation.scenario import Kind
from elderstall.simulation.worker import CardWorker, Push, Task, WorkerEvent, WorkerEventKind

PLAIN = Kind("plain", cores=2, slots=2, queue=2, cold_share=0.5, cold_for=0.0)


def ends(
    happenings: list[WorkerEvent], what: WorkerEventKind = WorkerEventKind.DONE
) -> list[tuple[object, object]]:
    return [(h.task.key, pytest.approx(h.at)) for h in happenings if h.what is what]


def test_slots_over_cores_share_them() -> None:
    w = CardWorker(Kind("k", cores=2, slots=4, cold_for=0.0), speed=1.0)
    for key in "abcd":
        w.offer(0.0, Task(key, 100.0))
    assert ends(w.advance(1_000.0)) == [(key, 200.0) for key in "abcd"]  # four on two cores: half speed each
    assert w.ledger.busy == pytest.approx(400.0) and w.ledger.idle == pytest.approx(1_600.0)


def test_speed_and_a_later_arrival() -> None:
    w = CardWorker(Kind("k", cores=1, slots=2, cold_for=0.0), speed=2.0)
    w.offer(0.0, Task("a", 100.0))
    w.offer(25.0, Task("b", 100.0))  # a has done 50; from here each moves at 1.0
    assert ends(w.advance(1_000.0)) == [("a", 75.0), ("b", 100.0)]


def test_the_head_of_the_queue_waits_until_it_fits_and_all_behind_it() -> None:
    w = CardWorker(PLAIN, speed=1.0)
    w.offer(0.0, Task("long", 100.0))
    w.offer(0.0, Task("wide", 50.0, slots=2))
    w.offer(0.0, Task("small", 10.0))  # a slot is free, but the head is before it
    seen = w.advance(1_000.0)
    assert ends(seen, WorkerEventKind.STARTED) == [("wide", 100.0), ("small", 150.0)]
    assert ends(seen) == [("long", 100.0), ("wide", 150.0), ("small", 160.0)]


def test_past_its_waiting_room_it_is_full_and_never_holds_what_cannot_run() -> None:
    w = CardWorker(PLAIN, speed=1.0)
    verdicts = [w.offer(0.0, Task(n, 100.0))[0].what for n in range(5)]
    assert verdicts == [WorkerEventKind.TAKEN] * 4 + [WorkerEventKind.FULL]
    assert w.offer(0.0, Task("wide", 1.0, slots=3))[0].what is WorkerEventKind.FULL
    assert w.held == 4


def test_it_warms_by_time() -> None:
    w = CardWorker(Kind("k", cores=1, slots=1, cold_share=0.5, cold_for=1_000.0), speed=1.0)
    w.start(0.0)
    w.offer(0.0, Task("a", 600.0))
    assert w.warmth(500.0) == 0.75
    # 0.5 t + 0.25e-3 t^2 = 600 has its root at 843.9
    assert ends(w.advance(5_000.0)) == [("a", (-0.5 + math.sqrt(0.25 + 0.6)) / 0.0005)]
    w.offer(5_000.0, Task("b", 600.0))
    assert ends(w.advance(9_000.0)) == [("b", 5_600.0)]


def test_it_warms_by_work() -> None:
    kind = Kind("k", cores=1, slots=1, cold_share=0.5, cold_for=1_000.0, warm_by_work=True)
    w = CardWorker(kind, speed=4.0)
    w.start(0.0)
    w.offer(0.0, Task("a", 4_000.0))  # all the work there is to warm by: from 0.5 to 1 as exp(t / 2000)
    seen = w.advance(5_000.0)
    assert w.warmth(0.0) == 1.0
    assert ends(seen) == [("a", 2_000.0 * math.log(2))]


def test_pushed_past_the_multiple_it_falls_over_and_stays_down() -> None:
    kind = Kind("k", cores=1, slots=1, queue=0, cold_share=0.5, cold_for=10_000.0)
    w = CardWorker(kind, speed=1.0, push=Push(4.0, 1_000.0))
    w.start(0.0)
    budget = 4.0 * 0.5 * 1_000.0
    assert w.offer(0.0, Task("a", budget - 100.0))[0].what is WorkerEventKind.TAKEN
    assert w.offer(0.0, Task("b", 99.0))[0].what is WorkerEventKind.FULL  # refused work counts as well
    assert w.up
    seen = w.offer(0.0, Task("c", 2.0, informed=False))
    assert [h.what for h in seen] == [WorkerEventKind.LOST, WorkerEventKind.LOST] and w.fallen and not w.up
    assert w.blame == pytest.approx((budget - 1) / (budget + 1))


def test_the_window_forgets_and_the_budget_grows_with_warmth() -> None:
    kind = Kind("k", cores=1, slots=1, queue=0, cold_share=0.5, cold_for=10_000.0)
    w = CardWorker(kind, speed=1.0, push=Push(4.0, 1_000.0))
    w.start(0.0)
    w.offer(0.0, Task("a", 1_900.0))
    w.offer(1_000.5, Task("b", 1_900.0))
    assert w.up
    w.offer(1_001.0, Task("c", 600.0))
    assert w.fallen


def test_connections_cost_all_cores_first() -> None:
    w = CardWorker(PLAIN, speed=1.0)
    w.offer(0.0, Task("a", 100.0))
    w.charge(0.0, 20.0)  # two cores: 10 ms
    assert w.backlog() == pytest.approx(10.0)
    assert ends(w.advance(500.0)) == [("a", 110.0)]
    assert w.ledger.overhead == pytest.approx(20.0)


def test_open_connections_and_crowding_take_their_part() -> None:
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
    w = CardWorker(kind, speed=1.0)
    w.connections = 50
    assert w.ease() == pytest.approx(0.9)
    for n in range(4):
        w.offer(0.0, Task(n, 100.0))
    assert w.ease() == pytest.approx(0.9 / 2)


def test_a_pause_holds_everything_and_then_all_comes_at_once() -> None:
    w = CardWorker(Kind("k", cores=1, slots=1, queue=5, cold_for=0.0), speed=1.0, progress_every=100.0)
    w.offer(0.0, Task("a", 450.0))
    assert [h.at for h in w.advance(150.0)] == [100.0]
    w.pause(150.0)
    assert w.offer(200.0, Task("b", 10.0)) == [] and w.advance(3_000.0) == [] and w.due() == math.inf
    seen = w.resume(3_150.0)
    assert {h.at for h in seen} == {3_150.0}
    assert [h.what for h in seen if h.what is not WorkerEventKind.PROGRESS] == [WorkerEventKind.TAKEN]
    assert ends(w.advance(9_000.0)) == [("a", 3_450.0), ("b", 3_460.0)]
    assert w.ledger.paused == pytest.approx(3_000.0)


def test_a_drain_hands_back_what_has_not_started() -> None:
    w = CardWorker(Kind("k", cores=1, slots=1, queue=5, cold_for=0.0), speed=1.0)
    for n in range(3):
        w.offer(0.0, Task(n, 100.0))
    assert [(h.what, h.task.key) for h in w.drain(10.0)] == [
        (WorkerEventKind.RETURNED, 1),
        (WorkerEventKind.RETURNED, 2),
    ]
    assert w.offer(20.0, Task("new", 1.0))[0].what is WorkerEventKind.FULL
    assert ends(w.advance(500.0)) == [(0, 100.0)]


@pytest.mark.parametrize(("cancel", "stopped"), [("none", []), ("waiting", ["b"]), ("all", ["a", "b"])])
def test_what_stops_at_a_cancel_is_the_kinds_to_say(cancel: str, stopped: list[str]) -> None:
    w = CardWorker(Kind("k", cores=1, slots=1, queue=5, cold_for=0.0, cancel=cancel), speed=1.0)
    w.offer(0.0, Task("a", 100.0))
    w.offer(0.0, Task("b", 100.0))
    seen = w.cancel(50.0, "b") + w.cancel(50.0, "a") + w.advance(1_000.0)
    assert [h.task.key for h in seen if h.what is WorkerEventKind.STOPPED] == stopped[::-1]
    assert len(ends(seen)) == 2 - len(stopped)


def test_a_safe_job_goes_on_from_its_last_saved_second() -> None:
    w = CardWorker(Kind("k", cores=1, slots=2, cold_for=0.0), speed=1.0, checkpoint=1_000.0)
    w.offer(0.0, Task("safe", 4_000.0, repeatable=True))
    lost = {h.task.key: h.task for h in w.die(2_500.0)}
    assert lost["safe"].saved == pytest.approx(0.5 * 0.5 * 2.0)  # 2 of the 2.5 s, of 4 s
    w.start(3_000.0)
    w.cold_share = 1.0
    task = Task("again", 4_000.0, repeatable=True, saved=lost["safe"].saved)
    w.offer(3_000.0, task)
    assert ends(w.advance(9_000.0)) == [("again", 5_000.0)]


def test_expired_work_is_dropped_when_its_turn_comes() -> None:
    w = CardWorker(Kind("k", cores=1, slots=1, queue=5, cold_for=0.0, drops_expired=True), speed=1.0)
    w.offer(0.0, Task("a", 100.0))
    w.offer(0.0, Task("b", 100.0, deadline=90.0))
    w.offer(0.0, Task("c", 10.0))
    seen = w.advance(500.0)
    assert ends(seen, WorkerEventKind.DROPPED) == [("b", 100.0)] and ends(seen) == [
        ("a", 100.0),
        ("c", 110.0),
    ]


def test_a_failing_job_ends_at_its_share() -> None:
    w = CardWorker(PLAIN, speed=1.0)
    w.offer(0.0, Task("a", 100.0, fails_at=0.3))
    assert ends(w.advance(500.0), WorkerEventKind.FAILED) == [("a", 30.0)]


ACTS = ["offer", "wide", "cancel", "charge", "slow", "pause", "resume", "drain", "die", "start"]
acts = st.lists(st.tuples(st.sampled_from(ACTS), st.floats(0.0, 400.0), st.integers(0, 30)), max_size=60)


@given(acts, st.integers(1, 3), st.integers(1, 5), st.booleans(), st.sampled_from(["none", "waiting", "all"]))
def test_every_task_ends_once_and_every_core_ms_is_booked(
    script: list[tuple[str, float, int]], cores: int, slots: int, by_work: bool, cancel: str
) -> None:
    kind = Kind(
        "k", cores, slots, queue=4, cold_for=700.0, warm_by_work=by_work, cancel=cancel, drops_expired=by_work
    )
    w = CardWorker(kind, speed=1.3, push=Push(50.0, 500.0), progress_every=70.0)
    now, seen, offered = 0.0, list[WorkerEvent](), 0
    for act, gap, n in script:
        now += gap
        if act in ("offer", "wide"):
            offered += 1
            seen += w.offer(
                now,
                Task(
                    offered,
                    10.0 + 9 * n,
                    slots=2 if act == "wide" else 1,
                    deadline=now + 150.0,
                    repeatable=n % 2 == 0,
                ),
            )
        elif act == "cancel":
            seen += w.cancel(now, n)
        elif act == "charge":
            seen += w.charge(now, float(n))
        elif act == "slow":
            seen += w.slowed(now, 1.0 + n / 10)
        elif act == "pause" and w.up and not w.paused:
            seen += w.pause(now)
        elif act == "resume" and w.paused:
            seen += w.resume(now)
        elif act == "drain" and w.up and not w.paused:
            seen += w.drain(now)
        elif act == "die":
            seen += w.die(now)
        elif act == "start" and not w.up:
            w.start(now)
    if w.paused:
        seen += w.resume(now)
    now += 1e6
    seen += w.advance(now)
    assert w.ledger.total == pytest.approx(cores * now)
    over = [
        h.task.key
        for h in seen
        if h.what
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
    assert sorted(over, key=repr) == sorted(range(1, offered + 1), key=repr)
    assert all(a.at <= b.at + 1e-6 for a, b in zip(seen, seen[1:], strict=False))
    tasks = {h.task.key: h.task for h in seen}.values()
    assert sum(t.core_time for t in tasks) == pytest.approx(w.ledger.busy, abs=1e-3)
