"""Keeps the view of the fleet, and tells the decisions what changes in it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

from elderstall.deadlines import Deadline, Deadlines
from elderstall.engine.decision_feed import DecisionFeed
from elderstall.figures import Figures
from elderstall.interface import Endpoint, EndpointListUpdate, Event, ListScope, Settings, SettingsChanged
from elderstall.messages import Outcome
from elderstall.routing.view import FleetView

DISPATCHERS_PER_WORKER_TOLERANCE = 1 / 8  # of a change in how many share a worker, before decisions get it


class EndpointFeed:
    """Takes watch events, bans, and what attempts show of zones."""

    def __init__(
        self,
        settings: Settings,
        view: FleetView,
        deadlines: Deadlines,
        decisions: DecisionFeed,
        figures: Figures,
        drop_idle: Callable[[str], None],
    ) -> None:
        self.settings, self.view, self.deadlines = settings, view, deadlines
        self.decisions, self.figures, self.drop_idle = decisions, figures, drop_idle
        self.follow: Callable[[], None] = lambda: None  # asks for the list's changes
        self.started = False  # the list known at the start has been taken
        self.budget_fraction = 1.0  # of the dispatcher's slow-start budget, of this process
        self._dispatchers_per_worker = 0.0  # as last sent to the decisions; 0: all know all workers
        self._calling = False  # a call for the list is out, of whose answer the decisions have not heard
        self._settling: Deadline | None = None  # when workers may enter the view again

    def call(self) -> None:
        """Ask discovery for the list's changes, and count it."""
        self.figures.list_calls += 1
        self._calling = True
        self.follow()

    def take(self, scope: ListScope, entries: tuple[Endpoint, ...] = ()) -> None:
        """Take a watch event, or that a call or a watch has failed."""
        now = self.deadlines.now()
        if scope in (ListScope.FAILED, ListScope.SILENT):
            self.figures.list_calls_failed += 1
        elif self.started:  # the list known at the start is not from discovery
            self.figures.list_updated_at = now
        events: Sequence[Event] = self.view.update(now, scope, entries)
        if not events and self._calling:
            events = [
                EndpointListUpdate(ListScope.CHANGES)
            ]  # discovery has answered, with nothing for the decisions
        self._calling = False
        self.notify(events)

    def notify(self, events: Sequence[Event]) -> None:
        """Tell of changes; before that, by how many dispatchers the view is shared, where that changed."""
        if not events:
            return
        old, new = self._dispatchers_per_worker, self.view.subset_dispatchers_per_worker
        if bool(old) != bool(new) or abs(new - old) > DISPATCHERS_PER_WORKER_TOLERANCE * old:
            self._dispatchers_per_worker = new
            self.set_budget_fraction(self.budget_fraction)
        for event in events:
            self.decisions.feed(event)
        due = self.view.due
        if due is not None and self._settling is None:
            self._settling = self.deadlines.at(due, self._settle)

    def _settle(self) -> None:
        """Let workers into the view that wait for it."""
        self._settling = None
        self.notify(self.view.admit_waiting(self.deadlines.now()))

    def change_settings(self, settings: Settings) -> None:
        """Take new settings."""
        self.settings = settings
        changes = self.view.change_settings(settings, self.deadlines.now())
        self._dispatchers_per_worker = self.view.subset_dispatchers_per_worker
        self.set_budget_fraction(self.budget_fraction)
        self.notify(changes)

    def set_budget_fraction(self, part: float) -> None:
        """Keep to a part of what cold workers may be sent: the other process of an upgrade has the rest."""
        self.budget_fraction = part
        multiple = self.settings.slow_start_multiple * part
        settings = replace(
            self.settings,
            slow_start_multiple=multiple,
            subset_dispatchers_per_worker=self._dispatchers_per_worker,
        )
        self.decisions.feed(SettingsChanged(settings))

    def ban(self, worker: str) -> bool:
        """Send nothing new to a worker until its ban ends; says no if it was never listed."""
        if not self.view.is_known(worker):
            return False
        now = self.deadlines.now()
        if self.view.ban(worker, now):
            self.notify(self.view.refresh(worker, now))
        return True

    def end_ban(self, worker: str) -> bool:
        """End a ban: the worker is a new process, with nothing held against it."""
        if not self.view.is_known(worker):
            return False
        now = self.deadlines.now()
        if self.view.end_ban(worker, now):
            self.drop_idle(worker)
            self.notify(self.view.refresh(worker, now))
        return True

    def learn_reach(self, worker: str, outcome: Outcome) -> None:
        """Learn whether a worker's zone is in reach."""
        now = self.deadlines.now()
        self.notify(self.view.record_ending(worker, outcome.ending, outcome.worker_unreachable, now))
