"""Retry decisions for a call: a state machine without I/O, clock or randomness of its own.

A call consists of attempts. After each, the I/O layer reports the result, and gets back whether to send
again, to wait, or how the call ends. A retry depends on what is *proven* about the attempt: a class that is
not repeatable is retried only after an attempt that was never sent or that the dispatcher refused. Times are
milliseconds of one clock.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from elderstall.client.budget import RetryBudget

REFUSAL_STATUSES = (429, 503)
SECONDS_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


class Proof(Enum):
    """What is proven about an attempt."""

    UNSENT = "unsent"  # the dispatcher cannot have read a byte of it
    REFUSED = "turned away"  # answered 429 or 503: a retry is harmless
    MAY_HAVE_RUN = "may have run"  # no complete answer, or any other status
    ANSWERED = "answered"  # 200, or a 4xx error that a retry would not change


class CallOutcome(Enum):
    """How a call ended."""

    DONE = "done"
    REFUSED = "refused"  # answered 429 or 503, without a further attempt
    REJECTED = "rejected"  # the request itself is wrong: 4xx
    FAILED = "failed"  # the last attempt may have run, without a result
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class CallClass:
    """A class of calls."""

    name: str
    timeout_ms: float  # time that a caller waits, over all attempts
    repeatable: bool = False  # whether running it twice is harmless


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Limits of retries and backoff. Raises ValueError, naming the field, for invalid values."""

    max_attempts: int = 3
    backoff_ms: float = 50.0  # the first wait is random up to it; it doubles with each attempt
    max_backoff_ms: float = 2_000.0
    min_time_left_ms: float = 20.0  # with less time to the deadline, no further attempt is made

    def __post_init__(self) -> None:
        if self.max_attempts < 1:
            raise ValueError("max_attempts: must be at least 1")
        if not 0 < self.backoff_ms <= self.max_backoff_ms < math.inf:
            raise ValueError("backoff_ms: must be above 0 and at most max_backoff_ms")
        if not 0 <= self.min_time_left_ms < math.inf:
            raise ValueError("min_time_left_ms: must not be negative")


# ---- results that the I/O layer reports ----


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer."""

    status: int
    body: bytes = b""
    retry_after: str | None = None  # the header's text


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No complete answer: the connection failed, broke or stayed silent."""

    unsent: bool  # proven: the dispatcher cannot have read a byte of the request


# ---- actions for the I/O layer ----


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt now."""

    call_id: str
    time_left_ms: float  # until the call's deadline, for X-Budget-Ms; the attempt is cancelled after it
    is_retry: bool  # X-Again: 1


@dataclass(frozen=True, slots=True)
class Wait:
    """Call ``on_wait_over`` at ``until_ms``."""

    until_ms: float


@dataclass(frozen=True, slots=True)
class End:
    """The call has ended; a call returns exactly one ``End``."""

    outcome: CallOutcome
    may_have_run: bool
    body: bytes = b""
    status: int | None = None
    retry_after_ms: float | None = None  # time after which a new call may succeed


Action = Send | Wait | End


class CallStateError(Exception):
    """The I/O layer reported something that is impossible in the call's state."""


def parse_retry_after(text: str | None) -> float | None:
    """Return Retry-After (RFC 9110, 10.2.3; whole or decimal seconds) in ms; None if absent or invalid.

    A date is invalid here: dispatchers send none, and it would need a clock that both sides share.
    """
    if text is None or SECONDS_PATTERN.fullmatch(text.strip()) is None:
        return None
    return float(text) * 1000


class Call:
    """One call, from its first attempt to its end."""

    def __init__(
        self,
        call_class: CallClass,
        retry_policy: RetryPolicy,
        retry_budget: RetryBudget,
        now: float,
        new_id: Callable[[], str],
        uniform: Iterator[float],
        time_left_ms: float | None = None,
    ) -> None:
        self.call_class = call_class
        self.retry_policy = retry_policy
        self.retry_budget = retry_budget
        self.new_id = new_id
        self.uniform = uniform
        self.deadline_ms = now + (
            call_class.timeout_ms if time_left_ms is None else min(time_left_ms, call_class.timeout_ms)
        )
        self.attempts = 0
        self.attempt_in_progress = False
        self.may_have_run = False  # any attempt
        self.retry_at_ms: float | None = None  # when the next attempt is sent
        self.end_without_retry: End | None = None  # the result if no further attempt is made
        self.end: End | None = None

    # ---- called by the I/O layer ----

    def begin(self, now: float) -> Action:
        """Start the first attempt."""
        if self.attempts or self.end is not None:
            raise CallStateError("the call has already begun")
        self.retry_budget.record_call(now)
        if self.deadline_ms - now <= 0:
            return self._finish(End(CallOutcome.TIMED_OUT, False))
        return self._send(now)

    def on_wait_over(self, now: float) -> Action:
        """Send the planned retry, wait further, or end the call if time or retry budget has run out."""
        if self.end is not None or self.attempt_in_progress or self.retry_at_ms is None:
            raise CallStateError("the call is not waiting for a retry")
        if now < self.retry_at_ms:
            return Wait(self.retry_at_ms)
        assert self.end_without_retry is not None
        if (
            self.deadline_ms - now <= self.retry_policy.min_time_left_ms
            or not self.retry_budget.consume_token(now)
        ):
            return self._finish(self.end_without_retry)
        return self._send(now)

    def on_result(self, now: float, result: Answer | NoAnswer) -> Action:
        """Handle the result of the attempt in progress."""
        if self.end is not None or not self.attempt_in_progress:
            raise CallStateError("no attempt is in progress")
        self.attempt_in_progress = False
        proof, end = self._evaluate(result)
        if proof is Proof.MAY_HAVE_RUN:
            self.may_have_run = True
        if proof is Proof.ANSWERED:
            return self._finish(end)
        if proof is Proof.MAY_HAVE_RUN and not self.call_class.repeatable:
            return self._finish(end)  # it may have run, and a second run could charge twice
        return self._plan_retry(now, end)

    def on_timeout(self, now: float, unsent: bool = False) -> End:
        """End the call at its deadline; the I/O layer cancels the attempt in progress.

        ``unsent``: that attempt is proven unsent. ``now`` is not used.
        """
        if self.end is not None:
            raise CallStateError("the call has already ended")
        if self.attempt_in_progress and not unsent:
            self.may_have_run = True
        self.attempt_in_progress = False
        return self._finish(End(CallOutcome.TIMED_OUT, self.may_have_run))

    def on_cancel(self, unsent: bool = False) -> End:
        """End the call because its caller cancelled it."""
        if self.end is not None:
            raise CallStateError("the call has already ended")
        if self.attempt_in_progress and not unsent:
            self.may_have_run = True
        self.attempt_in_progress = False
        return self._finish(End(CallOutcome.CANCELLED, self.may_have_run))

    # ---- decisions ----

    def _evaluate(self, result: Answer | NoAnswer) -> tuple[Proof, End]:
        """Return what a result proves, and how the call ends on it without a retry."""
        if isinstance(result, NoAnswer):
            if result.unsent:
                return Proof.UNSENT, End(CallOutcome.UNREACHABLE, self.may_have_run)
            return Proof.MAY_HAVE_RUN, End(CallOutcome.FAILED, True)
        status = result.status
        if status == 200:
            return Proof.ANSWERED, End(CallOutcome.DONE, True, result.body, status)
        if status in REFUSAL_STATUSES:
            retry_after_ms = parse_retry_after(result.retry_after)
            return Proof.REFUSED, End(
                CallOutcome.REFUSED, self.may_have_run, result.body, status, retry_after_ms
            )
        if 400 <= status < 500:
            return Proof.ANSWERED, End(CallOutcome.REJECTED, self.may_have_run, result.body, status)
        return Proof.MAY_HAVE_RUN, End(CallOutcome.FAILED, True, result.body, status)

    def _plan_retry(self, now: float, end: End) -> Action:
        """Plan a further attempt, or end the call if none may follow."""
        self.end_without_retry = end
        if self.attempts >= self.retry_policy.max_attempts:
            return self._finish(end)
        # The exponent is limited, as 2.0 ** 1024 raises OverflowError.
        backoff_ms = self.retry_policy.backoff_ms * 2.0 ** min(self.attempts - 1, 30)
        jitter = min(self.retry_policy.max_backoff_ms, backoff_ms) * next(self.uniform)
        due_ms = (
            now + (end.retry_after_ms or 0.0) + jitter
        )  # Retry-After is a minimum; jitter spreads the clients
        if self.deadline_ms - due_ms <= self.retry_policy.min_time_left_ms:
            return self._finish(end)  # at once, as waiting for the deadline gains nothing
        if not self.retry_budget.check_token(now):
            return self._finish(end)
        self.retry_at_ms = due_ms
        return Wait(due_ms)

    def _send(self, now: float) -> Send:
        self.attempts += 1
        self.attempt_in_progress = True
        self.retry_at_ms = None
        return Send(self.new_id(), self.deadline_ms - now, self.attempts > 1)

    def _finish(self, end: End) -> End:
        self.end = end
        self.retry_at_ms = None
        return end
