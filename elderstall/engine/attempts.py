"""Starts, tracks and cancels attempts; a job has at most one attempt in flight here.

A worker may still run an earlier attempt, if its cancel was not confirmed.
"""

from __future__ import annotations

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from elderstall.deadlines import Deadlines
from elderstall.engine.answers import Answers
from elderstall.engine.decision_feed import DecisionFeed
from elderstall.engine.endpoint_feed import EndpointFeed
from elderstall.engine.jobs import Attempt, CancelBeforeSend, Job, JobTable
from elderstall.engine.lifecycle import AttemptEvent, AttemptState, JobEvent
from elderstall.engine.rules import Rules, Violation
from elderstall.interface import AttemptEnded, AttemptProgressed, Ending, SendAttempt, Settings
from elderstall.log import Log
from elderstall.messages import Acceptance, AttemptTransport, Outcome, Served


class Attempts:
    """Carries out the decisions' sends and follows each attempt to its end."""

    def __init__(
        self,
        settings: Settings,
        jobs: JobTable,
        rules: Rules,
        answers: Answers,
        transport: AttemptTransport,
        decisions: DecisionFeed,
        endpoints: EndpointFeed,
        deadlines: Deadlines,
        log: Log,
    ) -> None:
        self.settings = settings
        self.jobs = jobs
        self.rules = rules
        self.answers = answers
        self.transport = transport
        self.decisions = decisions
        self.endpoints = endpoints
        self.deadlines = deadlines
        self.log = log

    # ---- starting ----

    def send(self, action: SendAttempt) -> None:
        """Start an attempt once no cancel of an earlier one is pending.

        A failed attempt that its worker may have accepted is cancelled first, see ``messages.Acceptance``.
        """
        job = self.jobs.get(action.job)
        if job is None:
            return
        if job.cancel_before_send is not None:
            cancel = job.cancel_before_send
            job.cancel_before_send = None
            self._cancel_on_worker(job, cancel.worker, confirmation_required=cancel.confirmation_required)
        if job.pending_cancels:
            job.advance(JobEvent.SEND_DECIDED)
            job.deferred_send = action
            return
        number = job.attempts
        job.attempts = job.attempts + 1
        violation = self.rules.find_violation(job, action)
        if violation is None:
            self._start(job, number, action)
        else:
            self._not_sent(job, number, action.worker, violation)

    def _not_sent(self, job: Job, number: int, worker: str, violation: Violation) -> None:
        """Report to the decisions that a rule forbids an attempt."""
        self.log.write(
            "rule",
            f"job {job.request.request_id} not sent to {worker}: {violation.value}; attempt skipped",
        )
        if violation is Violation.CLIENT_DISCONNECTED:
            self.answers.client_disconnected(job.number)
        self.decisions.feed(AttemptEnded(job.number, number, worker, Ending.NEVER_SENT, job.is_closed))

    def _start(self, job: Job, number: int, action: SendAttempt) -> None:
        """Create an attempt and pass it to the transport."""
        now = self.deadlines.now()
        ends_at = min(now + action.time_out, job.deadline) if action.time_out > 0 else job.deadline
        attempt = Attempt(job, number, action.worker, now, ends_at)
        job.start_attempt(attempt)
        self.start_timer(attempt)
        attempt.sending = self.transport.send(
            attempt.worker,
            job.request,
            ends_at,
            lambda share, text: self.progressed(attempt, share, text),
            lambda: self._current_violation(attempt),
        )
        attempt.sending.addCallback(self._send_finished, attempt).addErrback(self._transport_failed, attempt)

    def _current_violation(self, attempt: Attempt) -> str | None:
        violation = self.rules.find_current_violation(attempt.job, attempt.worker)
        return None if violation is None else violation.value

    def start_timer(self, attempt: Attempt) -> None:
        """Schedule the timeout of an attempt."""
        attempt.timer = self.deadlines.at(attempt.ends_at, self.timed_out, attempt)

    # ---- following ----

    def _send_finished(self, outcome: Outcome | None, attempt: Attempt) -> None:
        """Handle the transport's outcome of an attempt; None means that the worker accepted it.

        A connection that ended without a 202 ends the attempt only if the worker had not written the 202,
        which cannot always be seen. If the worker has begun an answer, or has reported the start by
        call-back, it has the job: the attempt is cancelled there, as a retry would be a duplicate execution.
        If it may have the job, it is cancelled there before a retry. Only where this side closed the
        connection of a worker that had been silent for long does a retry not need a confirmation.
        """
        if outcome is None:
            attempt.advance(AttemptEvent.ACCEPTED)
            return
        if attempt.job.attempt is attempt:
            broken = outcome.ending in (Ending.BROKEN, Ending.STALE_CONNECTION)
            confirmed = attempt.state is AttemptState.CONFIRMED
            if outcome.acceptance is Acceptance.LIKELY or (broken and confirmed):
                attempt.advance(AttemptEvent.ACCEPTED)
                self.cancel(attempt, outcome.ending if broken else Ending.BROKEN)
                return
            if outcome.acceptance is not Acceptance.RULED_OUT:
                attempt.job.cancel_before_send = CancelBeforeSend(
                    attempt.worker,
                    confirmation_required=outcome.acceptance is not Acceptance.UNLIKELY,
                )
        self._ended(attempt, outcome)

    def _transport_failed(self, failure: Failure, attempt: Attempt) -> None:
        """Handle an exception in the transport: without an outcome, the job may have run."""
        if attempt.job.attempt is attempt:
            self.log.failure("carrier", failure.value)
            self._ended(attempt, Outcome(Ending.BROKEN))

    def worker_reported(self, attempt: Attempt, share: float, *, started: bool) -> None:
        """Handle a worker's call-back about a start (``started``) or about progress."""
        attempt.advance(AttemptEvent.CONFIRMED)
        self.progressed(attempt, share, started=started)

    def progressed(self, attempt: Attempt, share: float, text: str = "", *, started: bool = False) -> None:
        """Forward the progress of a live attempt to the decisions and the client."""
        job = attempt.job
        if job.attempt is not attempt:
            return
        attempt.advance(AttemptEvent.ACCEPTED)
        self.decisions.feed(AttemptProgressed(job.number, attempt.number, attempt.worker, share, started))
        if not job.is_closed and not started:
            job.client.progressed(share, text)

    def worker_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Handle a worker's call-back about the end of an attempt."""
        job = attempt.job
        attempt.advance(AttemptEvent.ACCEPTED)  # the call-back may arrive before the 202, and may be repeated
        has_earlier_attempt = attempt.worker in job.may_call_back or attempt.worker in job.returned_by
        if outcome.ending is not Ending.SERVED and has_earlier_attempt:
            # This may be the late call-back of an earlier attempt at the same worker. The live attempt is
            # cancelled before it counts as ended, and counts as one that may have run; otherwise a retry
            # could be a duplicate execution.
            self.cancel(attempt, Ending.BROKEN)
        else:
            self._ended(attempt, outcome)

    # ---- ending ----

    def timed_out(self, attempt: Attempt) -> None:
        """Cancel an attempt that has timed out."""
        self.cancel(attempt, Ending.TIMED_OUT)

    def abort(self, attempt: Attempt) -> None:
        """Cancel the attempt of a closed job."""
        self.cancel(attempt, Ending.CANCELLED)

    def cancel(self, attempt: Attempt, ending: Ending) -> None:
        """Cancel an attempt: close its connection, and notify the worker if it has accepted it."""
        job = attempt.job
        if job.attempt is not attempt:
            return
        job.end_attempt(attempt, ending)
        if attempt.sending is not None:
            attempt.sending.cancel()  # may reveal that the worker had accepted it
        if attempt.is_accepted:
            self._cancel_on_worker(job, attempt.worker, confirmation_required=True)
        attempt.advance(AttemptEvent.ENDED)
        self.decisions.feed(AttemptEnded(job.number, attempt.number, attempt.worker, ending, job.is_closed))

    def _ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Handle the end of an attempt; the first result becomes the job's answer."""
        job = attempt.job
        if job.attempt is not attempt:
            return
        job.end_attempt(attempt, outcome.ending)
        attempt.advance(AttemptEvent.ENDED)
        self.endpoints.record_reachability(attempt.worker, outcome)
        if outcome.ending is Ending.SERVED:
            self.answers.close(job, Served(outcome.result))
        self.decisions.feed(
            AttemptEnded(
                job.number, attempt.number, attempt.worker, outcome.ending, job.is_closed, outcome.report
            )
        )

    # ---- cancelling ----

    def _cancel_on_worker(self, job: Job, worker: str, *, confirmation_required: bool) -> None:
        """Cancel a job on a worker.

        With ``confirmation_required``, the job is not sent again unless the worker confirms the cancel.
        """
        job.advance(JobEvent.CANCEL_STARTED)
        job.pending_cancels += 1
        if self.settings.cancels:
            cancelled: Deferred[bool] = self.transport.cancel_job(
                worker, job.request.request_id, confirmation_required
            )
            cancelled.addBoth(self._cancel_finished, job, confirmation_required=confirmation_required)
        else:  # workers do not support cancels: handled as an unconfirmed cancel
            self.deadlines.after(
                0.0, lambda: self._cancel_finished(None, job, confirmation_required=confirmation_required)
            )

    def _cancel_finished(self, confirmed: object, job: Job, *, confirmation_required: bool) -> None:
        """Handle the end of a cancel, and continue a send that was deferred until all cancels ended.

        If the confirmation is required and missing, the job is answered instead: the worker may still run
        it, and another attempt could be a duplicate execution.
        """
        job.pending_cancels -= 1
        if job.is_closed:
            return
        if confirmation_required and confirmed is not True:
            self.answers.answer_unconfirmed_cancel(job)
        elif job.pending_cancels == 0:
            job.advance(JobEvent.CANCELS_DONE)
            deferred = job.deferred_send
            job.deferred_send = None
            if deferred is not None:
                self.send(deferred)
