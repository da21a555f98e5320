"""The engine of one dispatcher: builds its components and is their interface to listeners and program."""

from __future__ import annotations

from typing import Any

from twisted.python.failure import Failure

from elderstall.deadlines import Deadlines
from elderstall.decisions import Dispatcher
from elderstall.engine.answers import Answers
from elderstall.engine.attempts import Attempts
from elderstall.engine.decision_feed import DecisionFeed
from elderstall.engine.endpoint_feed import EndpointFeed
from elderstall.engine.job_transfer import JobTransfer
from elderstall.engine.jobs import Attempt, Job, JobTable
from elderstall.engine.lifecycle import AttemptEvent, JobEvent
from elderstall.engine.rules import Rules
from elderstall.figures import Figures
from elderstall.interface import (
    AttemptEnded,
    Ending,
    Endpoint,
    FailJob,
    JobArrived,
    JobReleased,
    JobTakenOver,
    LearnedStateReceived,
    ListScope,
    LoadPolled,
    LogLine,
    PollLoad,
    RejectJob,
    SendAttempt,
    SetTimer,
    Settings,
    Started,
    TimerFired,
    WatchEndpoints,
    WorkerState,
)
from elderstall.log import Log
from elderstall.messages import AttemptTransport, Client, Failed, JobRequest, Outcome, Rejected
from elderstall.routing.view import MAX_LIST_ENTRIES, FleetView

NO_CAPACITY = "no room"  # reason in the figures: the job or memory limit is reached


class Engine:
    """Decisions, jobs and rules of one dispatcher."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        deadlines: Deadlines,
        transport: AttemptTransport,
        log: Log,
        slack: float = 8.0,
        max_open: int = 20_000,
        max_list_entries: int = MAX_LIST_ENTRIES,
    ) -> None:
        self.settings = settings
        self.deadlines = deadlines
        self.transport = transport
        self.log = log
        self.decisions = Dispatcher(settings, seed)
        self.feed = DecisionFeed(self.decisions, deadlines, log)
        self.counters = Figures([job_class.name for job_class in settings.classes])
        self.view = FleetView(settings, max_list_entries, log.write)
        self.jobs = JobTable(max_open)
        self.rules = Rules(settings, deadlines, self.view)
        self.endpoints = EndpointFeed(
            settings, self.view, deadlines, self.feed, self.counters, transport.close_pool
        )
        self.answers = Answers(
            self.jobs,
            self.rules,
            self.feed,
            self.counters,
            deadlines,
            log,
            abort_attempt=self._abort_attempt,
        )
        self.attempts = Attempts(
            settings,
            self.jobs,
            self.rules,
            self.answers,
            transport,
            self.feed,
            self.endpoints,
            deadlines,
            log,
        )
        self.answers.answer_slack_ms = slack
        self._update_names(settings)
        self.feed.handlers = {
            SendAttempt: self.attempts.send,
            PollLoad: self._poll,
            RejectJob: self.answers.reject,
            FailJob: self.answers.fail,
            SetTimer: self._set_timer,
            WatchEndpoints: lambda _: self.endpoints.call(),
            LogLine: lambda action: self.log.write("module", action.text),
        }

    def _abort_attempt(self, attempt: Attempt) -> None:
        """Cancel the attempt of a closed job; a callback, as ``Answers`` is built before ``Attempts``."""
        self.attempts.abort(attempt)

    def _update_names(self, settings: Settings) -> None:
        self.classes = {job_class.name: job_class for job_class in settings.classes}
        self.tenants = {tenant.name for tenant in settings.tenants}

    # ---- start and settings ----

    def start(self, known: tuple[Endpoint, ...], learned: dict[str, Any] | None = None) -> None:
        """Start with the last known endpoint list and the state that the predecessor had learned."""
        self.feed.feed(Started())
        self.endpoints.handle_list_update(ListScope.WHOLE, known)
        self.endpoints.started = True
        if learned is not None:
            self.feed.feed(LearnedStateReceived(learned))

    def change_settings(self, settings: Settings, slack: float, max_open: int) -> None:
        """Apply new settings; accepted jobs keep their class."""
        self.settings = self.rules.settings = self.attempts.settings = settings
        self.answers.answer_slack_ms = slack
        self.jobs.set_max_open(max_open)
        self._update_names(settings)
        known = self.counters.classes
        known += [name for name in self.classes if name not in known]
        self.endpoints.change_settings(settings)

    def _set_timer(self, action: SetTimer) -> None:
        """Schedule a timer of the decisions, no sooner than one tick."""
        delay = max(self.settings.tick, action.delay)
        self.deadlines.after(delay, self.feed.feed, TimerFired(action.token))

    # ---- figures ----

    def figures(self) -> Figures:
        """Return the current figures."""
        figures = self.counters
        view = self.view
        now = self.deadlines.now()
        figures.jobs = len(self.jobs)
        figures.workers_listed = len(view.entries)
        figures.workers_skipped = sum(name in view.entries for name in self.decisions.unavailable(now))
        figures.workers_in_view = len(view.entries) if view.subset is None else len(view.members)
        figures.workers_widened = 0 if view.subset is None else view.subset.widened
        figures.zones_out_of_reach = len(view.unreachable_zones)
        figures.lists_refused = view.counts.lists_refused
        figures.odd_entries = view.counts.odd_entries.total()
        figures.workers_forgotten = view.counts.forgotten
        figures.list_age = now - figures.list_updated_at if figures.list_updated_at >= 0 else -1.0
        return figures

    def count_written(self) -> None:
        """Count an attempt that the transport has written completely."""
        self.counters.attempts_written += 1

    def count_rejected(self, job_class: str) -> None:
        """Count a job that a listener has rejected for lack of capacity."""
        self.counters.rejected[job_class] += 1
        self.counters.reasons[job_class, NO_CAPACITY] += 1

    # ---- jobs ----

    def accept(self, request: JobRequest, client: Client) -> int:
        """Accept a job, which then gets exactly one final answer; return its number.

        Raises RepeatedIdError or TooManyJobsError.
        """
        self.jobs.check_new(request.request_id)
        now = self.deadlines.now()
        job = Job(request, client, self.classes[request.job_class], now, now + request.budget)
        self.jobs.add(job)
        self.answers.start_deadline_guard(job)
        self.feed.feed(
            JobArrived(
                job.number,
                request.job_class,
                request.budget,
                request.tenant,
                request.key,
                request.work_hint,
                request.slots,
            )
        )
        return job.number

    def client_disconnected(self, number: int) -> None:
        """Close a job whose client has disconnected."""
        self.answers.client_disconnected(number)

    # ---- upgrade: transfer of jobs between processes ----

    def export_job(self, number: int) -> JobTransfer | None:
        """Release a job to the successor and return its state.

        Returns None if its attempt is not yet accepted by a worker, or if a cancel is still pending.
        """
        job = self.jobs.get(number)
        if job is None or job.pending_cancels or job.deferred_send is not None:
            return None
        attempt = job.attempt
        if attempt is not None and not self._is_transferable(attempt):
            return None
        transfer = JobTransfer.from_job(job)
        job.advance(JobEvent.CLOSED)
        job.attempt = None
        for timer in (job.deadline_guard, attempt.timer if attempt is not None else None):
            if timer is not None:
                timer.cancel()
        self.jobs.export_job(job)
        self.feed.feed(JobReleased(number))
        if attempt is not None:
            attempt.advance(AttemptEvent.ENDED)
            ended = AttemptEnded(number, attempt.number, attempt.worker, Ending.CANCELLED, True)
            self.feed.feed(ended)
        return transfer

    @staticmethod
    def _is_transferable(attempt: Attempt) -> bool:
        """Return whether a worker has accepted an attempt and its exchange here has finished.

        An imported attempt has no exchange here, so its job cannot be exported again while it is in flight.
        """
        return attempt.is_accepted and attempt.sending is not None and attempt.sending.called

    def import_job(self, transfer: JobTransfer, original: object, client: Client) -> int:
        """Take over a job that the peer process has released; return its number."""
        job = transfer.to_job(original, client)
        self.jobs.import_job(job)
        self.answers.start_deadline_guard(job)
        attempt = transfer.to_attempt(job)
        if attempt is not None:
            attempt.advance(AttemptEvent.ACCEPTED)
            job.start_attempt(attempt)
            self.attempts.start_timer(attempt)
        self.feed.feed(
            JobTakenOver(
                job.number,
                job.cls,
                job.arrived,
                job.deadline,
                job.request.key,
                job.request.work_hint,
                job.request.slots,
                job.attempts,
                min(job.may_call_back, default=None),
                None if attempt is None else attempt.worker,
                0.0 if attempt is None else attempt.sent_at,
            )
        )
        return job.number

    def encode_transfer(self, transfer: JobTransfer) -> dict[str, Any]:
        """Return a transferred job as a message to the peer process."""
        return transfer.encode(self.deadlines.shared())

    def decode_transfer(self, message: dict[str, Any]) -> JobTransfer:
        """Return the transferred job of a message from the peer process."""
        return JobTransfer.decode(message, self.deadlines.offset, self.deadlines.now())

    def abandon_transfer(self, transfer: JobTransfer) -> None:
        """Cancel the attempt of a transferred job whose client has disconnected."""
        if transfer.attempt is not None and self.settings.cancels:
            self.transport.cancel_job(transfer.attempt.worker, transfer.request_id)

    def reject_transfer(self, transfer: JobTransfer, client: Client) -> None:
        """Answer a job from the peer process that exceeds the job limit, and cancel its attempt."""
        name = transfer.cls.name
        retry_safe = transfer.is_retry_safe
        (self.counters.rejected if retry_safe else self.counters.failed)[name] += 1
        self.counters.reasons[name, NO_CAPACITY] += 1
        client.answered(Rejected() if retry_safe else Failed())
        self.abandon_transfer(transfer)

    # ---- load reports ----

    def _poll(self, action: PollLoad) -> None:
        """Poll a worker for its load report, unless it is listed as draining or gone."""
        if self.view.state(action.worker) is not WorkerState.UP:
            self.feed.feed(LoadPolled(action.worker, Ending.NEVER_SENT))
            return
        self.counters.polls += 1
        polling = self.transport.poll_load(action.worker)
        polling.addCallback(self._polled, action.worker).addErrback(self._not_polled, action.worker)

    def _polled(self, outcome: Outcome, worker: str) -> None:
        """Handle the outcome of a poll."""
        self.endpoints.record_reachability(worker, outcome)
        self.feed.feed(LoadPolled(worker, outcome.ending, outcome.report))

    def _not_polled(self, failure: Failure, worker: str) -> None:
        """Handle an exception in the transport as a broken poll, as jobs may wait for the report."""
        self.log.failure("carrier", failure.value)
        self.feed.feed(LoadPolled(worker, Ending.BROKEN))
