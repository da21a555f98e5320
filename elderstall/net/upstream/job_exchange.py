"""The exchange of an attempt on the platform's protocol: a 202, or an answer that ends the attempt."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from twisted.internet.defer import Deferred

from elderstall.deadlines import Deadline, Deadlines
from elderstall.interface import Ending
from elderstall.messages import JobRequest, Outcome
from elderstall.net import http
from elderstall.net.upstream.handle import RequestHandle

ACCEPT_WAIT = 4.0  # connect time-outs within which a worker says that it has a job, else the path is dead
ACCEPT_SOON = 1.0  # the same for jobs that may be sent again: a wrong guess only costs work
ANSWER_FOR = 1_000.0  # ms in which an answer that has begun with a 202 has to end
ACCEPTED = 202


@dataclass(slots=True, frozen=True)
class JobAttempt:
    """An attempt to start, as in ``messages.AttemptTransport.send``."""

    request: JobRequest
    ends_at: float
    on_progress: Callable[[float, str], None]
    forbidden_by: Callable[[], str | None]
    result: Deferred[Outcome | None]  # fires with its outcome, None once the worker has accepted the job


class JobTransport(Protocol):
    """What an attempt's exchange needs of the transport."""

    deadlines: Deadlines
    connect_timeout: float  # ms
    on_written: Callable[[], None]  # called for each attempt whose last byte was written

    def read_outcome(self, message: http.Message) -> Outcome:
        """Read an answer that ends an attempt."""

    def path_silent(self, handle: RequestHandle) -> None:
        """Learn that a worker does not answer a request."""


class JobExchange:
    """The exchange of one attempt."""

    counts_for_keep_alive = True
    answer_statuses = frozenset({ACCEPTED, 500, 503, 504})  # what the protocol knows as answers to a job

    def __init__(self, transport: JobTransport, attempt: JobAttempt) -> None:
        self.transport, self.result = transport, attempt.result
        self.message = http.Message((1, 1), http.Headers())
        self.forbidden_by = attempt.forbidden_by
        self.timer: Deadline | None = None
        self.answer_within = 0.0  # ms for the worker's answer once all is written; 0: to the deadline
        self.handle: RequestHandle | None = None
        self.written = False  # all of it
        self.extended = False  # the worker was silent once, but had begun to answer

    @property
    def ends_attempt(self) -> bool:
        """Whether the answer is other than a 202: it frees the job to go elsewhere."""
        return self.message.status in (500, 503, 504)

    # ---- the wait for an answer ----

    def wait_for_answer(self, handle: RequestHandle, within: float) -> None:
        """Wait for the worker's answer only as long as one on a living path takes, ms.

        Guards against a connection that fell silent: its job would hang to its deadline, and hold its worker.
        The time counts from the request's last byte; until that is written there is the connect time besides.
        """
        self.handle, self.answer_within = handle, within
        if not self.result.called:
            self._start_timer(within if self.written else within + self.transport.connect_timeout)

    def _start_timer(self, within: float) -> None:
        """Have the worker's silence count from now."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.transport.deadlines.after(within, self._answer_overdue)

    def _answer_overdue(self) -> None:
        """Give the attempt up, unless the worker has begun to answer: that is read first."""
        if self.result.called or self.handle is None:
            return
        answer_begun = self.handle.answer_begun
        if answer_begun and not self.extended:
            self.extended = True
            self._start_timer(self.answer_within)
            return
        self.transport.path_silent(self.handle)
        ending = self.handle.abort()
        self.finish(Outcome(ending, maybe_accepted=self.written, answer_begun=answer_begun))

    def request_written(self) -> None:
        """Count the attempt."""
        self.transport.on_written()
        self.written = True
        if self.answer_within and not self.result.called:
            self._start_timer(self.answer_within)

    # ---- the answer ----

    def head_received(self, message: http.Message) -> None:
        """Take the head; what answers no job ends the connection, and so gives the attempt up.

        Guards against two copies: it may be the second answer to what went over this connection before,
        and the worker has the job all the same.
        """
        if message.status not in self.answer_statuses:
            raise http.MessageError(502, f"{message.status} is no answer to a job")
        self.message = message
        if message.status == ACCEPTED:
            # The worker has it from here on, and to close its connection does not give the attempt up any
            # more, whether or not the answer ever ends.
            self.finish(None)
            self.timer = self.transport.deadlines.after(ANSWER_FOR, self.abort)

    def data_received(self, data: bytes) -> None:
        """Ignore the body: it says nothing here."""

    def completed(self, *, maybe_accepted: bool = False, answer_begun: bool = False) -> None:
        """Take the answer's end."""
        if self.message.status != ACCEPTED:
            outcome = self.transport.read_outcome(self.message)
            self.finish(replace(outcome, maybe_accepted=maybe_accepted, answer_begun=answer_begun))
        elif self.timer is not None:
            self.timer.cancel()

    def failed(self, ending: Ending, *, answer_begun: bool = False, worker_unreachable: bool = False) -> None:
        """Take the connection's end; after the 202 it says nothing of the job."""
        if self.timer is not None:
            self.timer.cancel()
        if self.message.status != ACCEPTED:
            # A reset says nothing of a 202 that it met on its way.
            self.finish(
                Outcome(
                    ending,
                    maybe_accepted=self.written,
                    answer_begun=answer_begun,
                    worker_unreachable=worker_unreachable,
                )
            )

    # ---- the end ----

    def abort(self) -> None:
        """Close the connection if it still carries the request."""
        if self.handle is not None:
            self.handle.abort()

    def finish(self, outcome: Outcome | None) -> None:
        """Give the outcome, once."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.result.called:
            self.result.callback(outcome)
