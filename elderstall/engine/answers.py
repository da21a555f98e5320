"""Gives jobs their one final answer."""

from __future__ import annotations

from collections.abc import Callable

from elderstall.deadlines import Deadlines
from elderstall.engine.decision_feed import DecisionFeed
from elderstall.engine.jobs import Attempt, Job, JobTable
from elderstall.engine.lifecycle import JobEvent
from elderstall.engine.rules import Rules
from elderstall.figures import Figures
from elderstall.interface import AttemptEnded, Ending, FailJob, JobReleased, RejectJob
from elderstall.log import Log
from elderstall.messages import Answer, Failed, Rejected, Served


class Answers:
    """Closes jobs: with an answer, or without where the client has left."""

    def __init__(
        self,
        jobs: JobTable,
        rules: Rules,
        decisions: DecisionFeed,
        figures: Figures,
        deadlines: Deadlines,
        log: Log,
        abort_attempt: Callable[[Attempt], None],
    ) -> None:
        self.jobs, self.rules, self.decisions, self.figures = jobs, rules, decisions, figures
        self.deadlines, self.log, self.abort_attempt = deadlines, log, abort_attempt
        self.slack = 0.0  # ms past its deadline that an answer may come
        self.on_idle: Callable[[], None] = lambda: None  # no job is left

    def guard(self, job: Job) -> None:
        """Make sure of an answer whatever the decisions do: at half the slack past the deadline."""
        job.guard = self.deadlines.at(job.deadline + self.slack / 2, self._overdue, job)

    def _overdue(self, job: Job) -> None:
        """Answer a job that the decisions have not."""
        if job.closed:
            return
        name = job.request.job_class
        self.log.write("guard", f"job {job.request.request_id} of {name} had no answer at its deadline")
        self.decisions.feed(JobReleased(job.number))
        if not job.closed:
            harmless = self.rules.harmless_to_reject(job)
            self.close(job, Rejected() if harmless else Failed(timed_out=True))

    def reject(self, action: RejectJob) -> None:
        """Carry out Refuse; what may have run fails instead."""
        job = self.jobs.get(action.job)
        if job is not None:
            harmless = self.rules.harmless_to_reject(job)
            self.close(job, Rejected(action.retry_after) if harmless else Failed(), action.why)

    def fail(self, action: FailJob) -> None:
        """Carry out Fail."""
        job = self.jobs.get(action.job)
        if job is not None:
            self.close(job, Failed(timed_out=self.deadlines.now() >= job.deadline))

    def cannot_cancel(self, job: Job) -> None:
        """Answer a job that a worker may still have, which could not be told to give it up."""
        self.decisions.feed(JobReleased(job.number))
        if not job.closed:
            harmless = self.rules.harmless_to_reject(job)
            self.close(job, Rejected() if harmless else Failed(), "not to be given up")

    def client_left(self, number: int) -> None:
        """Note that the client of a job has left: nothing is owed, its attempt is given up."""
        job = self.jobs.get(number)
        if job is not None:
            self.decisions.feed(JobReleased(number))
            self.close(job, None)

    def close(self, job: Job, answer: Answer | None, why: str = "") -> None:
        """Give a job its one final answer, if its client is there, and give up what is still in flight."""
        if job.closed:
            return
        job.advance(JobEvent.CLOSED)
        deferred, job.deferred_send = job.deferred_send, None
        if deferred is not None:  # the decisions count it as in flight
            ended = AttemptEnded(job.number, job.attempts, deferred.worker, Ending.NEVER_SENT, True)
            self.decisions.feed(ended)
        self.jobs.remove(job)
        if job.guard is not None:
            job.guard.cancel()
        if answer is not None:
            self._count(job, answer, why)
            job.client.answered(answer)
        if job.attempt is not None:
            self.abort_attempt(job.attempt)
        if not self.jobs.by_request_id:
            self.on_idle()

    def _count(self, job: Job, answer: Answer, why: str) -> None:
        """Count an answer, and log a failure."""
        name = job.cls.name
        if isinstance(answer, Served):
            self.figures.served[name] += 1
            return
        self.figures.reasons[name, why or job.last_ending] += 1
        if isinstance(answer, Rejected):
            self.figures.rejected[name] += 1
            return
        self.figures.failed[name] += 1
        after = self.deadlines.now() - job.arrived
        self.log.write(
            "failed", f"job {job.request.request_id} of {name} after {after:.0f} ms: {job.last_end}"
        )
