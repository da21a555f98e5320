"""What to do next for a call: a state machine without I/O, clock or randomness of its own.

A call goes out as tries. After each the skin says what came of it, and is told to send again, to wait, or how
the call ends. What may follow hangs on what is *proven* about the try, never on hope: a class that must not
repeat is tried again only after a try that was never sent or was turned away. Times are milliseconds of one
clock.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from elderstall.client.budget import RetryBudget

REFUSALS = (429, 503)
SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


class Proof(Enum):
    """What is proven about a try."""

    UNSENT = "unsent"  # no byte of it can have been read
    TURNED_AWAY = "turned away"  # answered 429 or 503: trying again is harmless
    MAY_HAVE_RUN = "may have run"
    ANSWERED = "answered"  # with a result, or with what will not change when asked again


class Ending(Enum):
    """How a call ended."""

    DONE = "done"
    REFUSED = "refused"  # turned away, and no further try was due
    REJECTED = "rejected"  # the request itself is wrong: 4xx
    FAILED = "failed"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class Rule:
    """A class of calls."""

    name: str
    deadline: float  # ms that a caller waits, over all tries
    repeatable: bool = False  # whether running it twice does no harm


@dataclass(frozen=True, slots=True)
class Habits:
    """How calls are tried again. Raises ValueError, naming the field, for what makes no sense."""

    max_tries: int = 3
    backoff: float = 50.0  # ms: the first wait is anywhere up to it, doubling with each try
    backoff_most: float = 2_000.0
    least_left: float = 20.0  # ms of the deadline under which a further try is not worth sending

    def __post_init__(self) -> None:
        if self.max_tries < 1:
            raise ValueError("max_tries: must be at least 1")
        if not 0 < self.backoff <= self.backoff_most < math.inf:
            raise ValueError("backoff: must be above 0 and at most backoff_most")
        if not 0 <= self.least_left < math.inf:
            raise ValueError("least_left: must not be negative")


# ---- what a skin reports ----


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer came."""

    status: int
    body: bytes = b""
    retry_after: str | None = None  # the header, as it stood


@dataclass(frozen=True, slots=True)
class Lost:
    """No whole answer came: the connection never came up, broke, or fell silent."""

    unsent: bool  # proven: no byte of the request can have been read


# ---- what a skin is told ----


@dataclass(frozen=True, slots=True)
class Send:
    """Send a try now."""

    call_id: str
    budget: float  # ms, for X-Budget-Ms; the try is given up after it
    again: bool  # X-Again: 1


@dataclass(frozen=True, slots=True)
class Wait:
    """Ask again at this time."""

    until: float


@dataclass(frozen=True, slots=True)
class End:
    """The call is over; said once."""

    ending: Ending
    may_have_run: bool
    body: bytes = b""
    status: int | None = None
    retry_after: float | None = None  # ms: when it may be worth asking anew


Action = Send | Wait | End


class CallOverError(Exception):
    """A skin spoke of a call that had ended, or of a try that was not out."""


def retry_after_of(text: str | None) -> float | None:
    """Read Retry-After in seconds, whole or decimal (RFC 9110, 10.2.3), as ms; None if absent or bad.

    A date is taken for bad: dispatchers send none, and reading one needs a clock that both sides share.
    """
    if text is None or SECONDS.fullmatch(text.strip()) is None:
        return None
    return float(text) * 1000


class Call:
    """One call, from its first try to its one end."""

    def __init__(
        self,
        rule: Rule,
        habits: Habits,
        budget: RetryBudget,
        now: float,
        new_id: Callable[[], str],
        uniform: Iterator[float],
        time_left: float | None = None,
    ) -> None:
        self.rule, self.habits, self.budget = rule, habits, budget
        self.new_id, self.uniform = new_id, uniform
        self.deadline = now + (rule.deadline if time_left is None else min(time_left, rule.deadline))
        self.tries = 0
        self.out = False  # a try is under way
        self.may_have_run = False  # any of them
        self.due: float | None = None  # when the next goes out
        self.last: End | None = None  # how it would end if no further try were made
        self.end: End | None = None

    # ---- what a skin calls ----

    def begin(self, now: float) -> Action:
        """Start the first try."""
        if self.tries or self.end is not None:
            raise CallOverError("begun already")
        self.budget.called(now)
        if self.deadline - now <= 0:
            return self._over(End(Ending.TIMED_OUT, False))
        return self._send(now)

    def woken(self, now: float) -> Action:
        """Go on after a wait."""
        if self.end is not None or self.out or self.due is None:
            raise CallOverError("no wait is under way")
        if now < self.due:
            return Wait(self.due)
        assert self.last is not None
        if self.deadline - now <= self.habits.least_left or not self.budget.spend(now):
            return self._over(self.last)
        return self._send(now)

    def heard(self, now: float, result: Answer | Lost) -> Action:
        """Take what came of the try that is out."""
        if self.end is not None or not self.out:
            raise CallOverError("no try is out")
        self.out = False
        proof, end = self._read(result)
        if proof is Proof.MAY_HAVE_RUN:
            self.may_have_run = True
        if proof is Proof.ANSWERED:
            return self._over(end)
        if proof is Proof.MAY_HAVE_RUN and not self.rule.repeatable:
            return self._over(end)  # guards against a second charge: nobody knows that it did not run
        return self._again(now, end)

    def timed_out(self, now: float, unsent: bool = False) -> End:
        """End it at its deadline; the skin gives up what is out. ``unsent``: that try is proven unsent."""
        if self.end is not None:
            raise CallOverError("over already")
        if self.out and not unsent:
            self.may_have_run = True
        self.out = False
        return self._over(End(Ending.TIMED_OUT, self.may_have_run))

    def cancelled(self, unsent: bool = False) -> End:
        """End it at its caller's wish."""
        if self.end is not None:
            raise CallOverError("over already")
        if self.out and not unsent:
            self.may_have_run = True
        self.out = False
        return self._over(End(Ending.CANCELLED, self.may_have_run))

    # ---- how it is decided ----

    def _read(self, result: Answer | Lost) -> tuple[Proof, End]:
        """Say what a result proves, and how the call ends on it if nothing follows."""
        if isinstance(result, Lost):
            if result.unsent:
                return Proof.UNSENT, End(Ending.UNREACHABLE, self.may_have_run)
            return Proof.MAY_HAVE_RUN, End(Ending.FAILED, True)
        status = result.status
        if status == 200:
            return Proof.ANSWERED, End(Ending.DONE, True, result.body, status)
        if status in REFUSALS:
            advice = retry_after_of(result.retry_after)
            return Proof.TURNED_AWAY, End(Ending.REFUSED, self.may_have_run, result.body, status, advice)
        if 400 <= status < 500:
            return Proof.ANSWERED, End(Ending.REJECTED, self.may_have_run, result.body, status)
        return Proof.MAY_HAVE_RUN, End(Ending.FAILED, True, result.body, status)

    def _again(self, now: float, end: End) -> Action:
        """Plan a further try, or end where none is due."""
        self.last = end
        if self.tries >= self.habits.max_tries:
            return self._over(end)
        doubled = self.habits.backoff * 2.0 ** min(self.tries - 1, 30)
        spread = min(self.habits.backoff_most, doubled) * next(self.uniform)
        due = now + (end.retry_after or 0.0) + spread  # advice is a floor; the spread keeps clients apart
        if self.deadline - due <= self.habits.least_left:
            return self._over(end)  # at once: nothing is gained by waiting for a deadline
        if not self.budget.left(now):
            return self._over(end)
        self.due = due
        return Wait(due)

    def _send(self, now: float) -> Send:
        self.tries += 1
        self.out, self.due = True, None
        return Send(self.new_id(), self.deadline - now, self.tries > 1)

    def _over(self, end: End) -> End:
        self.end, self.due = end, None
        return end
