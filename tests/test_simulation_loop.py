"""Virtual time fulfils IReactorTime, makes calls in order and releases cancelled ones."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import AlreadyCalled, AlreadyCancelled
from twisted.internet.interfaces import IReactorTime
from zope.interface.verify import verifyObject

from elderstall.deadlines import Deadlines
from elderstall.simulation.loop import MIN_HEAP_SIZE_TO_COMPACT, VirtualTime


def test_it_implements_ireactortime_and_rejects_negative_delays() -> None:
    loop = VirtualTime()
    assert verifyObject(IReactorTime, loop)
    with pytest.raises(ValueError):
        loop.callLater(-1.0, lambda: None)


def test_calls_can_be_delayed_reset_and_cancelled() -> None:
    loop = VirtualTime()
    seen = list[str]()
    a, b, c = (loop.callLater(1.0, seen.append, name) for name in "abc")
    a.delay(2.0)
    b.cancel()
    c.reset(0.5)
    assert [call.active() for call in (a, b, c)] == [True, False, True] and a.getTime() == 3.0
    assert {id(call) for call in loop.getDelayedCalls()} == {id(a), id(c)}
    with pytest.raises(AlreadyCancelled):
        b.cancel()
    loop.run(700.0)
    assert seen == ["c"] and loop.seconds() == 0.7
    with pytest.raises(AlreadyCalled):
        c.reset(1.0)
    loop.run(3_000.0)
    assert seen == ["c", "a"] and loop.getDelayedCalls() == []


@given(st.lists(st.tuples(st.integers(0, 50), st.booleans()), max_size=80))
def test_calls_are_made_in_order_of_time_and_then_of_scheduling(plan: list[tuple[int, bool]]) -> None:
    loop = VirtualTime()
    seen = list[tuple[float, int]]()

    def record(n: int) -> None:
        seen.append((loop.now, n))

    calls = [loop.after(float(when), record, n) for n, (when, _) in enumerate(plan)]
    for call, (_, cancel) in zip(calls, plan, strict=True):
        if cancel:
            call.stop()
    loop.run(100.0)
    assert seen == sorted((float(when), n) for n, (when, cancel) in enumerate(plan) if not cancel)
    assert loop.active_count == 0


def test_the_heap_is_compacted_when_calls_are_cancelled() -> None:
    loop = VirtualTime()
    for _ in range(20 * MIN_HEAP_SIZE_TO_COMPACT):
        loop.after(1e6, print).cancel()
    assert len(loop.heap) <= MIN_HEAP_SIZE_TO_COMPACT + 1


def test_deadlines_run_on_virtual_time() -> None:
    loop = VirtualTime()
    seen = list[float]()
    deadlines = Deadlines(loop, loop.seconds, 5_000.0)
    for delay in (30.0, 10.0, 20.0):
        deadlines.after(delay, lambda: seen.append(deadlines.now()))
    deadlines.after(15.0, seen.append, 0.0).cancel()
    loop.run(100.0)
    assert seen == pytest.approx([5_010.0, 5_020.0, 5_030.0])
