"""One dispatcher's decisions: routes each event to the component that handles it and returns the actions.

Placement through the pools: a job's priority weight selects its tier; it goes to the tier's own pool, or to
another by the solved fractions, and there to the next worker in rotation order. See docs/design.md.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from elderstall.decisions.answers import Answers
from elderstall.decisions.capacity import CapacityModel
from elderstall.decisions.context import (
    TIMER_CALL_DISCOVERY,
    TIMER_POLL_TIMEOUT,
    TIMER_REVIEW_QUEUE,
    TIMER_SOLVE,
    DecisionContext,
)
from elderstall.decisions.eligibility import Eligibility
from elderstall.decisions.endpoints import Endpoints
from elderstall.decisions.estimates import WorkEstimates
from elderstall.decisions.forwarding import Forwarder
from elderstall.decisions.in_flight import InFlight
from elderstall.decisions.inheritance import Inheritance
from elderstall.decisions.intake import Intake
from elderstall.decisions.list_polling import EndpointWatch
from elderstall.decisions.load_shedding import LoadShedding
from elderstall.decisions.outcomes import Outcomes
from elderstall.decisions.placement import Placement
from elderstall.decisions.polling import LoadPoller, PolledPlacement
from elderstall.decisions.pools import Pools
from elderstall.decisions.queue import JobQueue
from elderstall.decisions.queue_model import SOLVE_INTERVAL_MS
from elderstall.decisions.reserved_workers import ReservedWorkers
from elderstall.decisions.slow_start import SlowStart
from elderstall.decisions.solver import Solver
from elderstall.decisions.urgency import Urgency
from elderstall.interface import (
    Actions,
    AttemptEnded,
    AttemptProgressed,
    EndpointListUpdate,
    Event,
    JobArrived,
    JobReleased,
    JobTakenOver,
    LearnedStateReceived,
    ListScope,
    LoadPolled,
    LogLine,
    ResponseStarted,
    Settings,
    SettingsChanged,
    Started,
    TimerFired,
    WorkersForgotten,
)
from elderstall.limits.shares import QuotaTracker


class Dispatcher:
    """One dispatcher: ``handle`` maps an event to actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.context = context = DecisionContext(settings, seed)
        self.estimates = WorkEstimates()
        self.quotas = QuotaTracker()
        self.shedding = LoadShedding()
        self.capacity = CapacityModel(context, self.estimates)
        self.endpoints = Endpoints(context, self.capacity, ReservedWorkers())
        self.endpoint_watch = EndpointWatch(context)
        self.pools = Pools(context, self.endpoints, self.capacity)
        self.solver = Solver(context, self.endpoints, self.capacity, self.pools, self.estimates)
        self.in_flight = InFlight(context, self.endpoints, self.capacity, self.estimates)
        self.urgency = Urgency(context, self.capacity)
        self.slow_start = SlowStart(context, self.capacity)
        self.eligibility = Eligibility(
            context, self.endpoints, self.capacity, self.in_flight, self.slow_start, self.urgency
        )
        self.placement = Placement(context, self.endpoints, self.pools, self.eligibility, self.in_flight)
        self.answers = Answers(context, self.endpoints, self.capacity, self.shedding)
        self.forwarder = Forwarder(context, self.pools, self.in_flight, self.slow_start)
        self.poller = LoadPoller(context, self.endpoints, self.pools, self.estimates, self.shedding)
        self.queue = JobQueue(
            context,
            self.estimates,
            self.eligibility,
            self.placement,
            self.forwarder,
            self.in_flight,
            self.answers,
            self.urgency,
            on_enqueued=self.poller.poll_for_queued,
        )
        self.polled_placement = PolledPlacement(
            context,
            self.endpoints,
            self.pools,
            self.poller,
            self.eligibility,
            self.placement,
            self.forwarder,
            self.queue,
            self.answers,
            self.urgency,
        )
        self.intake = Intake(
            context,
            self.estimates,
            self.quotas,
            self.shedding,
            self.solver,
            self.answers,
            self.urgency,
            self.poller,
            self.polled_placement,
            self.placement,
            self.forwarder,
            self.queue,
        )
        self.outcomes = Outcomes(
            context,
            self.endpoints,
            self.capacity,
            self.pools,
            self.in_flight,
            self.answers,
            self.intake,
            self.queue,
        )
        self.inheritance = Inheritance(
            context,
            self.endpoints,
            self.capacity,
            self.pools,
            self.estimates,
            self.in_flight,
            self.intake,
            self.solver,
        )
        self._handlers: dict[type, Callable[[Any], None]] = {
            Started: self._handle_started,
            EndpointListUpdate: self._handle_list_update,
            WorkersForgotten: lambda event: self.endpoints.forget(event.workers),
            JobArrived: self.intake.arrived,
            JobTakenOver: self.inheritance.take_over_job,
            JobReleased: lambda event: self.answers.release(event.job),
            ResponseStarted: lambda event: self.answers.release(event.job),
            AttemptProgressed: self.outcomes.progressed,
            AttemptEnded: self.outcomes.ended,
            LoadPolled: self._handle_load_report,
            TimerFired: self._handle_timer,
            SettingsChanged: self._handle_settings,
            LearnedStateReceived: lambda event: self.inheritance.restore_learned(event.data),
        }
        self._apply_settings()

    def handle(self, now: float, event: Event) -> Actions:
        """Handle an event at time ``now``, ms, and return the actions in order."""
        self.context.begin_event(now)
        if (handler := self._handlers.get(type(event))) is not None:
            handler(event)
        return self.context.actions

    def unavailable(self, now: float) -> set[str]:
        """Return the names of workers that get no new jobs now, or only those of their probation."""
        return self.endpoints.unavailable(now)

    def learned(self) -> dict[str, Any]:
        """Return the learned state as plain data, for the successor process."""
        return self.inheritance.export_learned()

    def _apply_settings(self) -> None:
        """Apply the current settings to the components."""
        settings = self.context.settings
        mode = self.context.mode
        self.endpoint_watch.change_settings()
        self.shedding.set_weights(job_class.priority_weight for job_class in settings.classes)
        self.estimates.change_classes(settings.classes)
        self.solver.update_typical_work()
        self.quotas.change_settings(settings.tenants, settings.dispatchers, mode.has_many_dispatchers)

    def _handle_started(self, _: Started) -> None:
        """Start the solver's timer, and request the endpoint list."""
        self.context.set_timer(TIMER_SOLVE, SOLVE_INTERVAL_MS)
        self.endpoint_watch.begin()

    def _handle_timer(self, event: TimerFired) -> None:
        """Handle a timer by its token."""
        now = self.context.now + self.context.settings.tick / 2  # a timer may fire slightly early
        if event.token == TIMER_SOLVE:
            self.context.set_timer(TIMER_SOLVE, SOLVE_INTERVAL_MS)
            self._solve()
            self.queue.review()
        elif event.token == TIMER_REVIEW_QUEUE:
            self.queue.timer_fired()
        elif event.token == TIMER_POLL_TIMEOUT:
            self.polled_placement.place_timed_out(now)
        elif event.token == TIMER_CALL_DISCOVERY:
            self.endpoint_watch.timer_fired(now)

    def _solve(self) -> None:
        """Re-solve the policy, and log the inputs of a solve of the pool sizes."""
        summary = self.solver.solve()
        if summary is None:
            return
        running = self.in_flight.slots_running
        queued = len(self.queue)
        self.context.add_action(
            LogLine(
                f"{summary.policy}, slot share {summary.total_slot_share:.0f}, {running} slots running, "
                f"{summary.ms_per_unit_work:.2f} ms per ms of work, {queued} jobs queued"
            )
        )

    def _handle_list_update(self, event: EndpointListUpdate) -> None:
        """Handle an endpoint list update, or the failure of a list call or of a watch."""
        if event.scope in (ListScope.FAILED, ListScope.SILENT):
            self.endpoint_watch.failed(event.scope)
            return
        self.endpoint_watch.answered()
        if self.endpoints.apply(event):
            self._rebuild_pools()
            self.queue.review()

    def _rebuild_pools(self) -> None:
        """Divide the workers that are up among the pools again."""
        self.endpoints.rebuild()
        self.pools.rescale()

    def _handle_load_report(self, event: LoadPolled) -> None:
        """Record a polled worker's report, and place the jobs that waited only for it."""
        worker = self.poller.record(event)
        if self.context.mode.polls_for_queued:
            self.queue.offer(worker)
        self.polled_placement.report_received(worker)

    def _handle_settings(self, event: SettingsChanged) -> None:
        """Replace the settings; learned state, the classes of jobs and the order of the queue are kept."""
        queued = self.queue.queued_jobs()
        tiers = self.context.mode.tiers
        self.context.change_settings(event.settings)
        self._apply_settings()
        if self.context.mode.tiers != tiers:
            self.pools.reset()
            self.solver.reset()
        self.queue.reset()
        for job in self.answers.open.values():
            job.tier = self.context.mode.tier_of(job.weight)
        self._rebuild_pools()
        for job in queued:
            if job.attempts >= event.settings.max_attempts:
                self.answers.finish(job)
            else:
                self.queue.enqueue(job)
        self.queue.review()
