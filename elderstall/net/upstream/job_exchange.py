"""The exchange of an attempt on the platform's protocol: a 202, or an answer that ends the attempt."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from twisted.internet.defer import Deferred

from elderstall.deadlines import Deadline, Deadlines
from elderstall.messages import Acceptance, JobRequest, Outcome
from elderstall.net import http
from elderstall.net.upstream.exchange import RequestFailure
from elderstall.net.upstream.handle import RequestHandle

ACCEPT_TIMEOUT_FACTOR = 4.0  # of the connect timeout; without an answer by then the path is assumed broken
REPEATABLE_ACCEPT_TIMEOUT_FACTOR = 1.0  # for repeatable jobs: a needless second attempt only repeats work
ANSWER_END_TIMEOUT_MS = 1_000.0  # for the rest of an answer that begins with a 202
ACCEPTED = 202


@dataclass(slots=True, frozen=True)
class JobAttempt:
    """The arguments of an attempt, as in ``messages.AttemptTransport.send``."""

    request: JobRequest
    ends_at: float  # clock reading, ms
    on_progress: Callable[[float, str], None]
    forbidden_by: Callable[[], str | None]
    result: Deferred[Outcome | None]  # fires with None if the worker accepted, or may have


class AttemptServices(Protocol):
    """The services that an attempt's exchange uses."""

    deadlines: Deadlines
    connect_timeout: float  # ms
    on_written: Callable[[], None]  # called for each attempt whose last byte was written

    def read_outcome(self, message: http.Message) -> Outcome:
        """Return the outcome that an answer which ends an attempt stands for."""

    def handle_silent_worker(self, handle: RequestHandle) -> None:
        """Log that a worker does not answer a request, and close the idle connections to it."""


def never_forbidden() -> str | None:
    """Return None: no rule forbids an attempt whose outcome is reported already."""
    return None


class JobExchange:
    """The exchange of one attempt: a 202, or an answer that ends the attempt."""

    counts_for_keep_alive = True
    allows_closed_pool = False
    answer_statuses = frozenset({ACCEPTED, 500, 503, 504})  # the protocol's answers to a job

    def __init__(self, services: AttemptServices, attempt: JobAttempt) -> None:
        self.services = services
        self.result: Deferred[Outcome | None] | None = attempt.result  # until it fires or is not wanted
        self.message = http.Message((1, 1), http.Headers())
        self.forbidden_by = attempt.forbidden_by
        self.timer: Deadline | None = None
        self.answer_timeout = 0.0  # ms from the request's last byte; 0: until the deadline
        self.handle: RequestHandle | None = None
        self.is_written = False  # to its last byte
        self.has_extended_timeout = False  # once, as the answer had begun when the timeout expired

    @property
    def is_finished(self) -> bool:
        """Whether the outcome has been reported or is not wanted any more."""
        return self.result is None

    @property
    def allows_retry(self) -> bool:
        """Whether the answer is a 500, 503 or 504, after which the job may be attempted again."""
        return self.message.status in (500, 503, 504)

    # ---- the wait for an answer ----

    def wait_for_answer(self, handle: RequestHandle, timeout_ms: float) -> None:
        """Limit the wait for the worker's answer to ``timeout_ms``.

        Without this timeout a job on a connection that no longer delivers anything would wait until its
        deadline and occupy its worker. The timeout counts from the request's last byte; until that is
        written, the connect timeout is added.
        """
        if self.is_finished:
            return
        self.handle = handle
        self.answer_timeout = timeout_ms
        self._start_timer(timeout_ms if self.is_written else timeout_ms + self.services.connect_timeout)

    def _start_timer(self, timeout_ms: float) -> None:
        """Restart the answer timeout."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.services.deadlines.after(timeout_ms, self._on_answer_timeout)

    def _on_answer_timeout(self) -> None:
        """Abort the attempt; if the worker has begun to answer, first extend the timeout once to read it."""
        if self.is_finished or self.handle is None:
            return
        answer_begun = self.handle.has_answer_begun
        if answer_begun and not self.has_extended_timeout:
            self.has_extended_timeout = True
            self._start_timer(self.answer_timeout)
            return
        self.services.handle_silent_worker(self.handle)
        ending = self.handle.abort()
        self.handle = None
        acceptance = Acceptance.LIKELY if answer_begun else self._acceptance(Acceptance.UNLIKELY)
        self.finish(Outcome(ending, acceptance=acceptance))

    def _acceptance(self, if_written: Acceptance) -> Acceptance:
        """Return ``if_written`` if the worker may have the whole request."""
        return if_written if self.is_written else Acceptance.RULED_OUT

    def request_written(self) -> None:
        """Count the attempt and start the answer timeout, if one was set."""
        self.services.on_written()
        self.is_written = True
        if self.answer_timeout and not self.is_finished:
            self._start_timer(self.answer_timeout)

    # ---- the answer ----

    def head_received(self, message: http.Message) -> None:
        """Handle the head; raise MessageError for a status that is no answer to a job.

        The error closes the connection and thereby cancels the attempt. The answer may be a second one to an
        earlier request while the worker has this job, and another attempt would be a duplicate execution.
        """
        if message.status not in self.answer_statuses:
            raise http.MessageError(
                502, f"unexpected status {message.status} in the answer to a job; closing the connection"
            )
        self.message = message
        if message.status == ACCEPTED:
            # From here on the worker has the job: closing the connection no longer cancels the attempt,
            # whether or not the answer ever ends.
            self.finish(None)
            self.timer = self.services.deadlines.after(ANSWER_END_TIMEOUT_MS, self.abort)

    def data_received(self, data: bytes) -> None:
        """Ignore the body, which has no meaning here."""

    def completed(self, acceptance: Acceptance = Acceptance.RULED_OUT) -> None:
        """Report the outcome, unless the answer is a 202, which was reported with its head."""
        if self.message.status != ACCEPTED:
            outcome = self.services.read_outcome(self.message)
            self.finish(replace(outcome, acceptance=acceptance))
        elif self.timer is not None:
            self.timer.cancel()
        self.handle = None

    def failed(self, failure: RequestFailure) -> None:
        """Report the connection's end, unless it follows a 202: then the worker has the job."""
        if self.timer is not None:
            self.timer.cancel()
        if self.message.status != ACCEPTED:
            # A reset may have discarded a 202 in transit: the worker may have the job, and run it on.
            lost = self._acceptance(Acceptance.POSSIBLE)
            acceptance = Acceptance.LIKELY if failure.answer_begun else lost
            self.finish(
                Outcome(failure.ending, acceptance=acceptance, worker_unreachable=failure.worker_unreachable)
            )
        self.handle = None

    # ---- the end ----

    def abort(self) -> bool:
        """Close the connection if it still carries the request; return whether an answer had begun."""
        handle = self.handle
        self.handle = None
        if handle is None:
            return False
        answer_begun = handle.has_answer_begun
        handle.abort()
        return answer_begun

    def finish(self, outcome: Outcome | None) -> None:
        """Fire the result with the outcome, unless it has fired already."""
        result = self.detach()
        if result is not None:
            result.callback(outcome)

    def detach(self) -> Deferred[Outcome | None] | None:
        """Drop the references to the attempt, and return its result if that has not fired yet.

        The attempt refers to this exchange. A reference cycle would keep the job's body in memory until the
        next full garbage collection.
        """
        if self.timer is not None:
            self.timer.cancel()
        result = self.result
        self.result = None
        self.forbidden_by = never_forbidden
        return result
