"""Starts attempts, follows them, and makes sure that no two of one job are with workers at once."""

from __future__ import annotations

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from elderstall.deadlines import Deadlines
from elderstall.engine.answers import Answers
from elderstall.engine.decision_feed import DecisionFeed
from elderstall.engine.endpoint_feed import EndpointFeed
from elderstall.engine.jobs import Attempt, Job, JobTable
from elderstall.engine.lifecycle import AttemptEvent, AttemptState, JobEvent
from elderstall.engine.rules import Rules, Violation
from elderstall.interface import AttemptEnded, AttemptProgressed, Ending, SendAttempt, Settings
from elderstall.log import Log
from elderstall.messages import AttemptTransport, Outcome, Served


class Attempts:
    """Carries out sends."""

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
        self.settings, self.jobs, self.rules, self.answers = settings, jobs, rules, answers
        self.transport, self.decisions, self.endpoints = transport, decisions, endpoints
        self.deadlines, self.log = deadlines, log

    # ---- starting ----

    def send(self, action: SendAttempt) -> None:
        """Carry out Send, once every earlier attempt is known to be given up."""
        job = self.jobs.get(action.job)
        if job is None:
            return
        if job.cancel_first is not None:
            worker, job.cancel_first = job.cancel_first, None
            self._cancel_at(job, worker, must=False)
        if job.cancels:
            job.advance(JobEvent.SEND_DECIDED)
            job.deferred_send = action
            return
        number, job.attempts = job.attempts, job.attempts + 1
        violation = self.rules.forbids(job, action)
        if violation is None:
            self._start(job, number, action)
        else:
            self._not_sent(job, number, action.worker, violation)

    def _not_sent(self, job: Job, number: int, worker: str, violation: Violation) -> None:
        """Tell the decisions of an attempt that a rule forbids."""
        self.log.write("rule", f"job {job.request.request_id} not sent to {worker}: {violation.value}")
        if violation is Violation.CLIENT_LEFT:
            self.answers.client_left(job.number)
        self.decisions.feed(AttemptEnded(job.number, number, worker, Ending.NEVER_SENT, job.closed))

    def _start(self, job: Job, number: int, action: SendAttempt) -> None:
        """Hand an attempt to the transport."""
        now = self.deadlines.now()
        ends_at = min(now + action.time_out, job.deadline) if action.time_out > 0 else job.deadline
        attempt = Attempt(job, number, action.worker, now, ends_at)
        job.start_attempt(attempt)
        self.watch(attempt)
        attempt.sending = self.transport.send(
            attempt.worker,
            job.request,
            ends_at,
            lambda share, text: self.progressed(attempt, share, text),
            lambda: self._forbidden_by_now(attempt),
        )
        attempt.sending.addCallback(self._sent, attempt).addErrback(self._transport_failed, attempt)

    def _forbidden_by_now(self, attempt: Attempt) -> str | None:
        violation = self.rules.forbids_by_now(attempt.job, attempt.worker)
        return None if violation is None else violation.value

    def watch(self, attempt: Attempt) -> None:
        """Give an attempt up at its time."""
        attempt.timer = self.deadlines.at(attempt.ends_at, self.timed_out, attempt)

    # ---- following ----

    def _sent(self, outcome: Outcome | None, attempt: Attempt) -> None:
        """Take the transport's word on an attempt; None: the worker has it.

        Guards against two copies: a connection that ended without a 202 gives the attempt up only if the
        worker had not written it, which cannot always be seen. A start that it has called back says it has.
        """
        if outcome is None:
            attempt.advance(AttemptEvent.ACCEPTED)
            return
        if attempt.job.attempt is attempt:
            broken = outcome.ending in (Ending.BROKEN, Ending.STALE_CONNECTION)
            confirmed = attempt.state is AttemptState.CONFIRMED
            if outcome.answer_begun or (broken and confirmed):
                attempt.advance(AttemptEvent.ACCEPTED)
                self.give_up(attempt, outcome.ending if broken else Ending.BROKEN)
                return
            if outcome.maybe_accepted:
                attempt.job.cancel_first = attempt.worker
        self._ended(attempt, outcome)

    def _transport_failed(self, failure: Failure, attempt: Attempt) -> None:
        """Take an error in the transport, which knows all outcomes; what it can't tell may have run."""
        if attempt.job.attempt is attempt:
            self.log.failure("carrier", failure.value)
            self._ended(attempt, Outcome(Ending.BROKEN))

    def worker_started(self, attempt: Attempt, share: float, *, started: bool) -> None:
        """Take a start, or progress, that a worker calls back about."""
        attempt.advance(AttemptEvent.CONFIRMED)
        self.progressed(attempt, share, started=started)

    def progressed(self, attempt: Attempt, share: float, text: str = "", *, started: bool = False) -> None:
        """Pass on the progress of a live attempt."""
        job = attempt.job
        if job.attempt is not attempt:
            return
        attempt.advance(AttemptEvent.ACCEPTED)
        self.decisions.feed(AttemptProgressed(job.number, attempt.number, attempt.worker, share, started))
        if not job.closed and not started:
            job.client.progressed(share, text)

    def worker_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Take the end that a worker calls back about."""
        job = attempt.job
        attempt.advance(AttemptEvent.ACCEPTED)  # whether or not its 202 has come: the call may be made again
        earlier = attempt.worker in job.may_still_speak or attempt.worker in job.handed_back
        if outcome.ending is not Ending.SERVED and earlier:
            # Guards against two copies: this may be the late end of an earlier attempt at the same worker,
            # so the live one is given up before it counts as ended, and it may have run.
            self.give_up(attempt, Ending.BROKEN)
        else:
            self._ended(attempt, outcome)

    # ---- ending ----

    def timed_out(self, attempt: Attempt) -> None:
        """Give an attempt up at its time."""
        self.give_up(attempt, Ending.TIMED_OUT)

    def abort(self, attempt: Attempt) -> None:
        """Give the attempt of a closed job up."""
        self.give_up(attempt, Ending.CANCELLED)

    def give_up(self, attempt: Attempt, ending: Ending) -> None:
        """Stop waiting for an attempt: close its connection, or tell the worker that has accepted it."""
        job = attempt.job
        if job.attempt is not attempt:
            return
        job.end_attempt(attempt, ending)
        if attempt.sending is not None:
            attempt.sending.cancel()  # may show that the worker had accepted it
        if attempt.accepted:
            self._cancel_at(job, attempt.worker, must=True)
        attempt.advance(AttemptEvent.ENDED)
        self.decisions.feed(AttemptEnded(job.number, attempt.number, attempt.worker, ending, job.closed))

    def _ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Take the end of an attempt; the first result is the job's answer."""
        job = attempt.job
        if job.attempt is not attempt:
            return
        job.end_attempt(attempt, outcome.ending)
        attempt.advance(AttemptEvent.ENDED)
        self.endpoints.learn_reach(attempt.worker, outcome)
        if outcome.ending is Ending.SERVED:
            self.answers.close(job, Served(outcome.result))
        self.decisions.feed(
            AttemptEnded(
                job.number, attempt.number, attempt.worker, outcome.ending, job.closed, outcome.report
            )
        )

    # ---- cancelling ----

    def _cancel_at(self, job: Job, worker: str, *, must: bool) -> None:
        """Tell a worker to give a job up; ``must``: without its word the job is not sent again."""
        job.advance(JobEvent.CANCEL_STARTED)
        job.cancels += 1
        if self.settings.cancels:
            cancelled: Deferred[bool] = self.transport.cancel_job(worker, job.request.request_id, must)
            cancelled.addBoth(self._cancelled, job, must=must)
        else:  # the settings have no such word: as if it could not be told
            self.deadlines.after(0.0, lambda: self._cancelled(None, job, must=must))

    def _cancelled(self, confirmed: object, job: Job, *, must: bool) -> None:
        """Go on with a send that waited for a worker's word.

        Guards against two copies: a worker that could not be told may still have the job.
        """
        job.cancels -= 1
        if job.closed:
            return
        if must and confirmed is not True:
            self.answers.cannot_cancel(job)
        elif job.cancels == 0:
            job.advance(JobEvent.CANCELS_DONE)
            deferred, job.deferred_send = job.deferred_send, None
            if deferred is not None:
                self.send(deferred)
