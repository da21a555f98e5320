"""The client's decisions: whatever the outcomes, nothing forbidden is tried again, and all ends once."""

from __future__ import annotations

import itertools
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from elderstall.client.budget import RetryBudget
from elderstall.client.policy import (
    Answer,
    Call,
    CallOverError,
    End,
    Ending,
    Habits,
    Lost,
    Rule,
    Send,
    Wait,
    retry_after_of,
)
from elderstall.client.reconnect import Connects, Pace
from elderstall.client.targets import EJECT_AFTER, EJECT_PART, Targets

SAFE, UNSAFE = Rule("fetch", 1_000.0, True), Rule("purchase", 1_000.0)


def call(
    of: Rule = SAFE, habits: Habits | None = None, budget: RetryBudget | None = None, u: float = 0.5
) -> Call:
    numbers = itertools.count(1)
    return Call(
        of,
        habits or Habits(),
        budget or RetryBudget(),
        0.0,
        lambda: f"id{next(numbers)}",
        itertools.repeat(u),
    )


def test_a_call_that_is_served_ends_with_its_body() -> None:
    c = call()
    assert c.begin(0.0) == Send("id1", 1_000.0, False)
    assert c.heard(10.0, Answer(200, b"deck")) == End(Ending.DONE, True, b"deck", 200)
    with pytest.raises(CallOverError):
        c.heard(11.0, Answer(200))


def test_a_retry_has_a_new_id_less_time_and_its_mark() -> None:
    c = call()
    c.begin(0.0)
    assert c.heard(100.0, Lost(unsent=True)) == Wait(125.0)
    assert c.woken(120.0) == Wait(125.0)
    assert c.woken(125.0) == Send("id2", 875.0, True)


@pytest.mark.parametrize(
    ("result", "safe", "unsafe"),
    [
        (Lost(unsent=True), Wait, Wait),
        (Lost(unsent=False), Wait, (Ending.FAILED, True)),
        (Answer(503), Wait, Wait),
        (Answer(429), Wait, Wait),
        (Answer(500), Wait, (Ending.FAILED, True)),
        (Answer(502), Wait, (Ending.FAILED, True)),
        (Answer(504), Wait, (Ending.FAILED, True)),
        (Answer(204), Wait, (Ending.FAILED, True)),
        (Answer(400), (Ending.REJECTED, False), (Ending.REJECTED, False)),
    ],
)
def test_what_follows_hangs_on_what_is_proven(result: Answer | Lost, safe: object, unsafe: object) -> None:
    for of, expected in ((SAFE, safe), (UNSAFE, unsafe)):
        c = call(of)
        c.begin(0.0)
        got = c.heard(1.0, result)
        if expected is Wait:
            assert isinstance(got, Wait)
        else:
            assert isinstance(got, End) and (got.ending, got.may_have_run) == expected


@pytest.mark.parametrize(
    ("text", "ms"),
    [
        ("2", 2_000.0),
        ("0.25", 250.0),
        ("0", 0.0),
        (" 1 ", 1_000.0),
        (None, None),
        ("", None),
        ("-1", None),
        ("soon", None),
        ("nan", None),
        ("1e3", None),
        ("Wed, 21 Oct 2026 07:28:00 GMT", None),
        ("1" * 30, None),
    ],
)
def test_advice_is_read_whole_or_decimal_and_else_is_none(text: str | None, ms: float | None) -> None:
    assert retry_after_of(text) == ms


def test_advice_is_a_floor_and_past_the_deadline_the_call_ends_at_once() -> None:
    c = call(UNSAFE)
    c.begin(0.0)
    assert c.heard(0.0, Answer(503, retry_after="0.3")) == Wait(325.0)
    c = call(UNSAFE)
    c.begin(0.0)
    end = c.heard(0.0, Answer(503, b"full", retry_after="5"))
    assert end == End(Ending.REFUSED, False, b"full", 503, 5_000.0)


def test_a_timed_out_purchase_may_have_run_unless_proven_unsent() -> None:
    for unsent in (False, True):
        c = call(UNSAFE)
        c.begin(0.0)
        assert c.timed_out(1_000.0, unsent) == End(Ending.TIMED_OUT, not unsent)
    c = call(UNSAFE)
    c.begin(0.0)
    assert c.cancelled() == End(Ending.CANCELLED, True)


def test_the_budget_bounds_retries_in_an_outage() -> None:
    budget = RetryBudget(share=0.2, reserve=10.0, trickle=0.0)
    sent = 0
    for n in range(1_000):
        c = call(SAFE, budget=budget)
        action = c.begin(float(n))
        now = float(n)
        while not isinstance(action, End):
            if isinstance(action, Send):
                sent += 1
                action = c.heard(now, Lost(unsent=True))
            else:
                now = action.until
                action = c.woken(now)
    assert budget.calls == 1_000 and sent - 1_000 == budget.retries <= 10 + 200 and budget.retries > 190
    assert budget.denied > 500


@pytest.mark.parametrize("wrong", [{"max_tries": 0}, {"backoff": 0.0}, {"backoff": 9e9}, {"least_left": -1}])
def test_habits_that_make_no_sense_are_refused_by_name(wrong: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(wrong))):
        Habits(**wrong)  # type: ignore[arg-type]


results = st.one_of(
    st.builds(Lost, st.booleans()),
    st.builds(
        Answer,
        st.sampled_from([200, 204, 400, 404, 429, 500, 502, 503, 504]),
        st.just(b""),
        st.sampled_from([None, "0", "0.05", "2", "x", "9999"]),
    ),
)


class AnyCall(RuleBasedStateMachine):
    """Calls of both kinds over one budget, with any outcome at any time."""

    @initialize(safe=st.booleans(), tries=st.integers(1, 5), reserve=st.integers(0, 3), us=st.floats(0, 1))
    def start(self, safe: bool, tries: int, reserve: int, us: float) -> None:
        self.safe, self.now, self.ends = safe, 0.0, 0
        self.ran = False  # some try may have run
        self.sent: list[Send] = []
        self.budget = RetryBudget(0.2, float(reserve), 0.1)
        self.call = call(SAFE if safe else UNSAFE, Habits(tries, 20.0, 200.0, 10.0), self.budget, us)
        self.tries = tries
        self.take(self.call.begin(0.0))

    def take(self, action: Send | Wait | End) -> None:
        self.action = action
        if isinstance(action, Send):
            assert self.safe or not self.ran, "a purchase that may have run was sent again"
            assert action.budget == 1_000.0 - self.now > 0 and action.again == bool(self.sent)
            assert action.call_id not in {s.call_id for s in self.sent}
            self.sent.append(action)
        elif isinstance(action, Wait):
            assert self.now <= action.until < 1_000.0
        else:
            self.ends += 1
            assert action.may_have_run == self.ran or action.ending is Ending.DONE

    @precondition(lambda self: isinstance(self.action, Send))
    @rule(result=results, after=st.floats(0.0, 400.0))
    def hear(self, result: Answer | Lost, after: float) -> None:
        self.now = min(999.0, self.now + after)
        unproven = isinstance(result, Lost) and not result.unsent
        failed = isinstance(result, Answer) and result.status in (204, 500, 502, 504)
        self.ran = self.ran or unproven or failed
        self.take(self.call.heard(self.now, result))

    @precondition(lambda self: isinstance(self.action, Wait))
    @rule(late=st.floats(0.0, 300.0))
    def wake(self, late: float) -> None:
        self.now = min(999.9, max(self.now, self.action.until + late))  # type: ignore[union-attr]
        self.take(self.call.woken(self.now))

    @precondition(lambda self: not isinstance(self.action, End))
    @rule(unsent=st.booleans(), cancel=st.booleans())
    def give_up(self, unsent: bool, cancel: bool) -> None:
        self.ran = self.ran or (isinstance(self.action, Send) and not unsent)
        self.take(self.call.cancelled(unsent) if cancel else self.call.timed_out(1_000.0, unsent))

    @precondition(lambda self: isinstance(self.action, End))
    @rule(result=results)
    def speak_of_what_is_over(self, result: Answer | Lost) -> None:
        with pytest.raises(CallOverError):
            self.call.heard(self.now, result)
        with pytest.raises(CallOverError):
            self.call.woken(self.now)

    @invariant()
    def bounds(self) -> None:
        if hasattr(self, "call"):
            assert len(self.sent) <= self.tries and self.ends <= 1
            assert (self.call.end is not None) == (self.ends == 1)
            b = self.budget
            assert b.retries <= b.reserve + b.share * b.calls + b.trickle * self.now / 1000


TestAnyCall = AnyCall.TestCase
TestAnyCall.settings = settings(derandomize=True, max_examples=300, deadline=None)


# ---- which dispatcher ----


def test_of_two_the_less_busy_one_and_another_after_a_failure() -> None:
    targets = Targets(["a", "b", "c"], itertools.cycle([0.0, 0.0]))
    first = targets.pick()
    assert first.address == "a" and targets.pick().address == "b"  # a is busy
    assert targets.pick(avoid="a").address != "a"


def test_one_that_fails_stands_aside_until_its_probe_is_good() -> None:
    targets = Targets(["a", "b", "c"], itertools.cycle([0.1, 0.9, 0.5]))
    bad = targets.by_address["a"]
    for _ in range(EJECT_AFTER):
        bad.out += 1
        targets.done(bad, 0.0, good=False)
    assert all(targets.pick().address != "a" for _ in range(20))
    assert targets.probes(500.0) == [] and targets.next_probe() == 1_000.0
    assert targets.probes(1_000.0) == [bad] and targets.probes(1_001.0) == []
    targets.probed(bad, 1_100.0, up=False)
    assert targets.next_probe() == 1_100.0 + 2_000.0
    targets.probes(3_200.0)
    targets.probed(bad, 3_200.0, up=True)
    assert any(targets.pick().address == "a" for _ in range(20))


@given(st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=200), st.integers(1, 5))
def test_never_too_many_stand_aside_and_there_is_always_one_to_ask(
    told: list[tuple[int, bool]], n: int
) -> None:
    targets = Targets([f"d{k}" for k in range(n)], itertools.cycle([0.0, 0.3, 0.6, 0.99]))
    for now, (k, good) in enumerate(told):
        target = targets.all[k % n]
        target.out += 1
        targets.done(target, float(now), good)
        assert sum(t.aside_until is not None for t in targets.all) <= EJECT_PART * n
        picked = targets.pick()
        assert picked.aside_until is None
        targets.done(picked, float(now), True)
    assert all(t.out == 0 for t in targets.all)


# ---- connections ----


def test_connects_are_spread_and_the_oldest_deadline_goes_first() -> None:
    line = Connects(Pace(rate=10.0, burst=2.0), itertools.repeat(0.5))
    for n in range(300):
        assert line.ask(n, deadline=10_000.0 - n)
    seen: list[object] = []
    now, peak = 0.0, 0
    while len(seen) < 60:
        got = line.granted(now)
        peak = max(peak, len(got))
        seen += got
        now = line.next(now) or now
    assert seen == list(range(299, 239, -1)) and peak == 2
    assert now == pytest.approx(5_700.0, abs=200.0)


def test_failed_connects_shut_the_line_ever_longer_and_a_good_one_opens_it() -> None:
    line = Connects(Pace(backoff=100.0, backoff_most=400.0), itertools.repeat(1.0))
    line.ask("a", math.inf)
    for length in (100.0, 200.0, 400.0, 400.0):
        line.outcome(0.0, good=False)
        assert line.next(0.0) == length and line.granted(length - 1) == []
    line.outcome(0.0, good=True)
    assert line.granted(0.0) == ["a"]


def test_who_leaves_or_is_past_its_deadline_is_not_connected_and_the_line_is_bounded() -> None:
    line = Connects(Pace(waiting_most=3), itertools.repeat(0.5))
    assert [line.ask(k, d) for k, d in (("a", 10.0), ("b", 99.0), ("b", 99.0), ("c", 99.0), ("d", 99.0))] == [
        True,
        True,
        False,
        True,
        False,
    ]
    line.leave("b")
    assert line.granted(50.0) == ["c"] and line.next(50.0) is None


@given(st.lists(st.tuples(st.floats(0.0, 300.0), st.booleans()), max_size=120))
def test_grants_never_exceed_the_rate(told: list[tuple[float, bool]]) -> None:
    pace = Pace(rate=5.0, burst=3.0)
    line = Connects(pace, itertools.repeat(0.5))
    now, grants = 0.0, 0
    for n, (gap, good) in enumerate(told):
        now += gap
        line.ask(n, now + 500.0)
        grants += len(line.granted(now))
        line.outcome(now, good)
        assert grants <= pace.burst + pace.rate * now / 1000 + 1e-6
