"""Sends each job exactly one final answer."""

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
    """Closes jobs: with an answer, or without one if the client has disconnected."""

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
        self.jobs = jobs
        self.rules = rules
        self.decisions = decisions
        self.figures = figures
        self.deadlines = deadlines
        self.log = log
        self.abort_attempt = abort_attempt
        self.answer_slack_ms = 0.0  # ms after the deadline within which an answer still counts
        # Called when the last job is closed, but not when it leaves through ``Engine.export_job``.
        self.on_idle: Callable[[], None] = lambda: None

    def start_deadline_guard(self, job: Job) -> None:
        """Schedule a final answer, independent of the decisions, at half the slack after the deadline."""
        job.deadline_guard = self.deadlines.at(job.deadline + self.answer_slack_ms / 2, self._overdue, job)

    def _overdue(self, job: Job) -> None:
        """Answer a job that the decisions have left unanswered past its deadline."""
        if job.is_closed:
            return
        name = job.request.job_class
        self.log.write(
            "guard", f"job {job.request.request_id} of {name} unanswered at its deadline; answering it now"
        )
        self.decisions.feed(JobReleased(job.number))
        if not job.is_closed:
            retry_safe = self.rules.is_retry_safe(job)
            self.close(job, Rejected() if retry_safe else Failed(timed_out=True))

    def reject(self, action: RejectJob) -> None:
        """Reject a job; fail it instead if a retry could run it twice."""
        job = self.jobs.get(action.job)
        if job is not None:
            retry_safe = self.rules.is_retry_safe(job)
            self.close(job, Rejected(action.retry_after) if retry_safe else Failed(), action.why)

    def fail(self, action: FailJob) -> None:
        """Fail a job."""
        job = self.jobs.get(action.job)
        if job is not None:
            self.close(job, Failed(timed_out=self.deadlines.now() >= job.deadline))

    def answer_unconfirmed_cancel(self, job: Job) -> None:
        """Answer a job that a worker may still run, as that worker has not confirmed its cancel."""
        self.decisions.feed(JobReleased(job.number))
        if not job.is_closed:
            retry_safe = self.rules.is_retry_safe(job)
            # The reason in the figures stands for: the cancel was not confirmed.
            self.close(job, Rejected() if retry_safe else Failed(), "not to be given up")

    def client_disconnected(self, number: int) -> None:
        """Close a job without an answer, as its client has disconnected, and cancel its attempt."""
        job = self.jobs.get(number)
        if job is not None:
            self.decisions.feed(JobReleased(number))
            self.close(job, None)

    def close(self, job: Job, answer: Answer | None, why: str = "") -> None:
        """Close a job, send its answer unless that is None, and cancel its attempt in flight."""
        if job.is_closed:
            return
        job.advance(JobEvent.CLOSED)
        deferred = job.deferred_send
        job.deferred_send = None
        if deferred is not None:  # the decisions count this attempt as in flight
            ended = AttemptEnded(job.number, job.attempts, deferred.worker, Ending.NEVER_SENT, True)
            self.decisions.feed(ended)
        self.jobs.remove(job)
        if job.deadline_guard is not None:
            job.deadline_guard.cancel()
        if answer is not None:
            self._count(job, answer, why)
            job.client.answered(answer)
        if job.attempt is not None:
            self.abort_attempt(job.attempt)
        if not self.jobs.by_request_id:
            self.on_idle()

    def _count(self, job: Job, answer: Answer, why: str) -> None:
        """Count an answer, and log it if it is a failure."""
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
            "failed", f"job {job.request.request_id} of {name} after {after:.0f} ms: {job.last_ending_detail}"
        )
