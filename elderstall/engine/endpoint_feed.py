"""Updates the view of the fleet and feeds its changes to the decisions."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

from elderstall.deadlines import Deadline, Deadlines
from elderstall.engine.decision_feed import DecisionFeed
from elderstall.figures import Figures
from elderstall.interface import Endpoint, EndpointListUpdate, Event, ListScope, Settings, SettingsChanged
from elderstall.messages import Outcome
from elderstall.routing.view import FleetView

DISPATCHERS_PER_WORKER_TOLERANCE = 1 / 8  # relative change up to which the decisions are not updated


class EndpointFeed:
    """Applies list updates, bans and the reachability of zones to the view."""

    def __init__(
        self,
        settings: Settings,
        view: FleetView,
        deadlines: Deadlines,
        decisions: DecisionFeed,
        figures: Figures,
        close_pool: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.view = view
        self.deadlines = deadlines
        self.decisions = decisions
        self.figures = figures
        self.close_pool = close_pool
        # Opens a watch, or calls discovery for changes.
        self.request_changes: Callable[[], None] = lambda: None
        self.started = False  # the list known at the start has been applied
        self.budget_fraction = 1.0  # this process's fraction of the slow-start budget
        self._dispatchers_per_worker = 0.0  # as last sent to the decisions; 0: each has all workers
        self._call_pending = False  # a list call whose answer the decisions have not received
        self._admission_timer: Deadline | None = None  # next time that workers may enter the view

    def call(self) -> None:
        """Call discovery for changes to the list, and count the call."""
        self.figures.list_calls += 1
        self._call_pending = True
        self.request_changes()

    def handle_list_update(self, scope: ListScope, entries: tuple[Endpoint, ...] = ()) -> None:
        """Handle a list update, or the failure of a call or a watch."""
        now = self.deadlines.now()
        if scope in (ListScope.FAILED, ListScope.SILENT):
            self.figures.list_calls_failed += 1
        elif self.started:  # the list known at the start is not from discovery
            self.figures.list_updated_at = now
        events: Sequence[Event] = self.view.update(now, scope, entries)
        if not events and self._call_pending:
            # Discovery has answered without a change; the decisions must learn that the call has ended.
            events = [EndpointListUpdate(ListScope.CHANGES)]
        self._call_pending = False
        self.notify(events)

    def notify(self, events: Sequence[Event]) -> None:
        """Feed events to the decisions; if the number of dispatchers per worker changed, send that first."""
        if not events:
            return
        old = self._dispatchers_per_worker
        new = self.view.subset_dispatchers_per_worker
        if bool(old) != bool(new) or abs(new - old) > DISPATCHERS_PER_WORKER_TOLERANCE * old:
            self._dispatchers_per_worker = new
            self.set_budget_fraction(self.budget_fraction)
        for event in events:
            self.decisions.feed(event)
        due = self.view.due
        if due is not None and self._admission_timer is None:
            self._admission_timer = self.deadlines.at(due, self._admit_waiting)

    def _admit_waiting(self) -> None:
        """Admit workers that wait to enter the view."""
        self._admission_timer = None
        self.notify(self.view.admit_waiting(self.deadlines.now()))

    def change_settings(self, settings: Settings) -> None:
        """Apply new settings to the view and the decisions."""
        self.settings = settings
        changes = self.view.change_settings(settings, self.deadlines.now())
        self._dispatchers_per_worker = self.view.subset_dispatchers_per_worker
        self.set_budget_fraction(self.budget_fraction)
        self.notify(changes)

    def set_budget_fraction(self, fraction: float) -> None:
        """Limit this process to a fraction of the slow-start budget; the peer process has the rest."""
        self.budget_fraction = fraction
        multiple = self.settings.slow_start_multiple * fraction
        settings = replace(
            self.settings,
            slow_start_multiple=multiple,
            subset_dispatchers_per_worker=self._dispatchers_per_worker,
        )
        self.decisions.feed(SettingsChanged(settings))

    def ban(self, worker: str) -> bool:
        """Ban a worker from new attempts; return False if it was never listed."""
        if not self.view.is_known(worker):
            return False
        now = self.deadlines.now()
        if self.view.ban(worker, now):
            self.notify(self.view.refresh(worker, now))
        return True

    def end_ban(self, worker: str) -> bool:
        """End a ban and treat the worker as newly started; return False if it was never listed."""
        if not self.view.is_known(worker):
            return False
        now = self.deadlines.now()
        if self.view.end_ban(worker, now):
            self.close_pool(worker)
            self.notify(self.view.refresh(worker, now))
        return True

    def record_reachability(self, worker: str, outcome: Outcome) -> None:
        """Update the reachability of a worker's zone from an outcome."""
        now = self.deadlines.now()
        self.notify(self.view.record_ending(worker, outcome.ending, outcome.worker_unreachable, now))
