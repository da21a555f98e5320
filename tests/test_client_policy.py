"""The client library's decisions: no forbidden retry, one end of each call, bounded retries and connects."""

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
    CallClass,
    CallOutcome,
    CallStateError,
    End,
    NoAnswer,
    RetryPolicy,
    Send,
    Wait,
    parse_retry_after,
)
from elderstall.client.reconnect import ConnectPacing, ConnectQueue
from elderstall.client.targets import FAILURES_TO_EJECT, MAX_EJECTED_FRACTION, Targets

SAFE = CallClass("fetch", 1_000.0, True)
UNSAFE = CallClass("purchase", 1_000.0)


def new_call(
    call_class: CallClass = SAFE,
    retry_policy: RetryPolicy | None = None,
    budget: RetryBudget | None = None,
    uniform: float = 0.5,
) -> Call:
    numbers = itertools.count(1)
    return Call(
        call_class,
        retry_policy or RetryPolicy(),
        budget or RetryBudget(),
        0.0,
        lambda: f"id{next(numbers)}",
        itertools.repeat(uniform),
    )


def test_a_served_call_ends_with_its_body() -> None:
    call = new_call()
    assert call.begin(0.0) == Send("id1", 1_000.0, False)
    assert call.on_result(10.0, Answer(200, b"deck")) == End(CallOutcome.DONE, True, b"deck", 200)
    with pytest.raises(CallStateError):
        call.on_result(11.0, Answer(200))


def test_a_retry_has_a_new_id_less_time_and_is_marked() -> None:
    call = new_call()
    call.begin(0.0)
    assert call.on_result(100.0, NoAnswer(unsent=True)) == Wait(125.0)
    assert call.on_wait_over(120.0) == Wait(125.0)
    assert call.on_wait_over(125.0) == Send("id2", 875.0, True)


@pytest.mark.parametrize(
    ("result", "safe", "unsafe"),
    [
        (NoAnswer(unsent=True), Wait, Wait),
        (NoAnswer(unsent=False), Wait, (CallOutcome.FAILED, True)),
        (Answer(503), Wait, Wait),
        (Answer(429), Wait, Wait),
        (Answer(500), Wait, (CallOutcome.FAILED, True)),
        (Answer(502), Wait, (CallOutcome.FAILED, True)),
        (Answer(504), Wait, (CallOutcome.FAILED, True)),
        (Answer(204), Wait, (CallOutcome.FAILED, True)),
        (Answer(400), (CallOutcome.REJECTED, False), (CallOutcome.REJECTED, False)),
    ],
)
def test_a_retry_depends_on_what_is_proven_about_the_attempt(
    result: Answer | NoAnswer, safe: object, unsafe: object
) -> None:
    for call_class, expected in ((SAFE, safe), (UNSAFE, unsafe)):
        call = new_call(call_class)
        call.begin(0.0)
        got = call.on_result(1.0, result)
        if expected is Wait:
            assert isinstance(got, Wait)
        else:
            assert isinstance(got, End) and (got.outcome, got.may_have_run) == expected


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
def test_retry_after_is_whole_or_decimal_seconds_or_none(text: str | None, ms: float | None) -> None:
    assert parse_retry_after(text) == ms


def test_retry_after_is_a_minimum_and_past_the_deadline_ends_the_call_at_once() -> None:
    call = new_call(UNSAFE)
    call.begin(0.0)
    assert call.on_result(0.0, Answer(503, retry_after="0.3")) == Wait(325.0)
    call = new_call(UNSAFE)
    call.begin(0.0)
    end = call.on_result(0.0, Answer(503, b"full", retry_after="5"))
    assert end == End(CallOutcome.REFUSED, False, b"full", 503, 5_000.0)


def test_a_timed_out_purchase_may_have_run_unless_proven_unsent() -> None:
    for unsent in (False, True):
        call = new_call(UNSAFE)
        call.begin(0.0)
        assert call.on_timeout(1_000.0, unsent) == End(CallOutcome.TIMED_OUT, not unsent)
    call = new_call(UNSAFE)
    call.begin(0.0)
    assert call.on_cancel() == End(CallOutcome.CANCELLED, True)


def test_the_budget_bounds_retries_in_an_outage() -> None:
    budget = RetryBudget(share=0.2, reserve=10.0, refill_per_s=0.0)
    sent = 0
    for n in range(1_000):
        call = new_call(SAFE, budget=budget)
        action = call.begin(float(n))
        now = float(n)
        while not isinstance(action, End):
            if isinstance(action, Send):
                sent += 1
                action = call.on_result(now, NoAnswer(unsent=True))
            else:
                now = action.until_ms
                action = call.on_wait_over(now)
    assert budget.calls == 1_000 and sent - 1_000 == budget.retries <= 10 + 200 and budget.retries > 190
    assert budget.denied > 500


@pytest.mark.parametrize(
    "invalid", [{"max_attempts": 0}, {"backoff_ms": 0.0}, {"backoff_ms": 9e9}, {"min_time_left_ms": -1}]
)
def test_an_invalid_retry_policy_is_rejected_naming_the_field(invalid: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(invalid))):
        RetryPolicy(**invalid)  # type: ignore[arg-type]


results = st.one_of(
    st.builds(NoAnswer, st.booleans()),
    st.builds(
        Answer,
        st.sampled_from([200, 204, 400, 404, 429, 500, 502, 503, 504]),
        st.just(b""),
        st.sampled_from([None, "0", "0.05", "2", "x", "9999"]),
    ),
)


class AnyCall(RuleBasedStateMachine):
    """Calls of both classes over one budget, with any result at any time."""

    @initialize(
        safe=st.booleans(), max_attempts=st.integers(1, 5), reserve=st.integers(0, 3), uniform=st.floats(0, 1)
    )
    def start(self, safe: bool, max_attempts: int, reserve: int, uniform: float) -> None:
        self.safe = safe
        self.now = 0.0
        self.ends = 0
        self.ran = False  # some attempt may have run
        self.sent: list[Send] = []
        self.budget = RetryBudget(0.2, float(reserve), 0.1)
        self.call = new_call(
            SAFE if safe else UNSAFE, RetryPolicy(max_attempts, 20.0, 200.0, 10.0), self.budget, uniform
        )
        self.max_attempts = max_attempts
        self.record_action(self.call.begin(0.0))

    def record_action(self, action: Send | Wait | End) -> None:
        self.action = action
        if isinstance(action, Send):
            assert self.safe or not self.ran, "a purchase that may have run was sent again"
            assert action.time_left_ms == 1_000.0 - self.now > 0 and action.is_retry == bool(self.sent)
            assert action.call_id not in {s.call_id for s in self.sent}
            self.sent.append(action)
        elif isinstance(action, Wait):
            assert self.now <= action.until_ms < 1_000.0
        else:
            self.ends += 1
            assert action.may_have_run == self.ran or action.outcome is CallOutcome.DONE

    @precondition(lambda self: isinstance(self.action, Send))
    @rule(result=results, after=st.floats(0.0, 400.0))
    def receive_result(self, result: Answer | NoAnswer, after: float) -> None:
        self.now = min(999.0, self.now + after)
        unproven = isinstance(result, NoAnswer) and not result.unsent
        failed = isinstance(result, Answer) and result.status in (204, 500, 502, 504)
        self.ran = self.ran or unproven or failed
        self.record_action(self.call.on_result(self.now, result))

    @precondition(lambda self: isinstance(self.action, Wait))
    @rule(late=st.floats(0.0, 300.0))
    def end_wait(self, late: float) -> None:
        self.now = min(999.9, max(self.now, self.action.until_ms + late))  # type: ignore[union-attr]
        self.record_action(self.call.on_wait_over(self.now))

    @precondition(lambda self: not isinstance(self.action, End))
    @rule(unsent=st.booleans(), cancel=st.booleans())
    def cancel_or_time_out(self, unsent: bool, cancel: bool) -> None:
        self.ran = self.ran or (isinstance(self.action, Send) and not unsent)
        self.record_action(self.call.on_cancel(unsent) if cancel else self.call.on_timeout(1_000.0, unsent))

    @precondition(lambda self: isinstance(self.action, End))
    @rule(result=results)
    def report_after_the_end(self, result: Answer | NoAnswer) -> None:
        with pytest.raises(CallStateError):
            self.call.on_result(self.now, result)
        with pytest.raises(CallStateError):
            self.call.on_wait_over(self.now)

    @invariant()
    def bounds(self) -> None:
        if hasattr(self, "call"):
            assert len(self.sent) <= self.max_attempts and self.ends <= 1
            assert (self.call.end is not None) == (self.ends == 1)
            budget = self.budget
            assert (
                budget.retries
                <= budget.reserve + budget.share * budget.calls + budget.refill_per_s * self.now / 1000
            )


TestAnyCall = AnyCall.TestCase
TestAnyCall.settings = settings(derandomize=True, max_examples=300, deadline=None)


# ---- choice of the dispatcher ----


def test_the_less_busy_of_two_is_picked_and_another_after_a_failure() -> None:
    targets = Targets(["a", "b", "c"], itertools.cycle([0.0, 0.0]))
    first = targets.pick()
    assert first.address == "a" and targets.pick().address == "b"  # a is busy
    assert targets.pick(avoid="a").address != "a"


def test_a_failing_dispatcher_is_ejected_until_its_probe_succeeds() -> None:
    targets = Targets(["a", "b", "c"], itertools.cycle([0.1, 0.9, 0.5]))
    bad = targets.by_address["a"]
    for _ in range(FAILURES_TO_EJECT):
        bad.active_attempts += 1
        targets.record_result(bad, 0.0, succeeded=False)
    assert all(targets.pick().address != "a" for _ in range(20))
    assert targets.start_due_probes(500.0) == [] and targets.next_probe_at() == 1_000.0
    assert targets.start_due_probes(1_000.0) == [bad] and targets.start_due_probes(1_001.0) == []
    targets.record_probe(bad, 1_100.0, up=False)
    assert targets.next_probe_at() == 1_100.0 + 2_000.0
    targets.start_due_probes(3_200.0)
    targets.record_probe(bad, 3_200.0, up=True)
    assert any(targets.pick().address == "a" for _ in range(20))


@given(st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=200), st.integers(1, 5))
def test_a_limited_fraction_is_ejected_and_one_can_always_be_picked(
    results: list[tuple[int, bool]], n: int
) -> None:
    targets = Targets([f"d{k}" for k in range(n)], itertools.cycle([0.0, 0.3, 0.6, 0.99]))
    for now, (k, good) in enumerate(results):
        target = targets.targets[k % n]
        target.active_attempts += 1
        targets.record_result(target, float(now), good)
        assert sum(t.ejected_until is not None for t in targets.targets) <= MAX_EJECTED_FRACTION * n
        picked = targets.pick()
        assert picked.ejected_until is None
        targets.record_result(picked, float(now), True)
    assert all(t.active_attempts == 0 for t in targets.targets)


# ---- connections ----


def test_connects_are_spread_with_the_earliest_deadline_first() -> None:
    queue = ConnectQueue(ConnectPacing(rate=10.0, burst=2.0), itertools.repeat(0.5))
    for n in range(300):
        assert queue.enqueue(n, deadline=10_000.0 - n)
    seen: list[object] = []
    now = 0.0
    peak = 0
    while len(seen) < 60:
        got = queue.pop_granted(now)
        peak = max(peak, len(got))
        seen += got
        now = queue.next_grant_at(now) or now
    assert seen == list(range(299, 239, -1)) and peak == 2
    assert now == pytest.approx(5_700.0, abs=200.0)


def test_failed_connects_block_the_queue_for_longer_and_a_success_unblocks_it() -> None:
    queue = ConnectQueue(ConnectPacing(backoff_ms=100.0, max_backoff_ms=400.0), itertools.repeat(1.0))
    queue.enqueue("a", math.inf)
    for length in (100.0, 200.0, 400.0, 400.0):
        queue.record_result(0.0, succeeded=False)
        assert queue.next_grant_at(0.0) == length and queue.pop_granted(length - 1) == []
    queue.record_result(0.0, succeeded=True)
    assert queue.pop_granted(0.0) == ["a"]


def test_removed_and_expired_callers_are_not_connected_and_the_queue_is_bounded() -> None:
    queue = ConnectQueue(ConnectPacing(max_waiting=3), itertools.repeat(0.5))
    assert [
        queue.enqueue(k, d) for k, d in (("a", 10.0), ("b", 99.0), ("b", 99.0), ("c", 99.0), ("d", 99.0))
    ] == [
        True,
        True,
        False,
        True,
        False,
    ]
    queue.remove("b")
    assert queue.pop_granted(50.0) == ["c"] and queue.next_grant_at(50.0) is None


@given(st.lists(st.tuples(st.floats(0.0, 300.0), st.booleans()), max_size=120))
def test_grants_never_exceed_the_rate(results: list[tuple[float, bool]]) -> None:
    pacing = ConnectPacing(rate=5.0, burst=3.0)
    queue = ConnectQueue(pacing, itertools.repeat(0.5))
    now = 0.0
    grants = 0
    for n, (gap, good) in enumerate(results):
        now += gap
        queue.enqueue(n, now + 500.0)
        grants += len(queue.pop_granted(now))
        queue.record_result(now, good)
        assert grants <= pacing.burst + pacing.rate * now / 1000 + 1e-6
