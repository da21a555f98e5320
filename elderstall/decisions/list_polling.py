"""Opens the watch on the endpoint list at the start, and again after a call or a watch has failed."""

from __future__ import annotations

import math

from elderstall.decisions.context import TIMER_CALL_DISCOVERY, DecisionContext
from elderstall.interface import ListScope, LogLine, WatchEndpoints
from elderstall.recovery.listing import ListCalls

RENEWAL_FRACTION = 0.25  # of the poll interval, after which an unanswered call is repeated


class EndpointWatch:
    """Makes the calls scheduled by ``recovery.listing``, with timers and ``WatchEndpoints`` actions."""

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.calls = ListCalls()
        self.call_at = math.inf  # ms, when the next call is due

    def change_settings(self) -> None:
        """Apply the current settings."""
        self.calls.dispatchers = self.context.settings.list_callers
        self.calls.poll_interval = self.context.settings.poll_interval

    def begin(self) -> None:
        """Make the first call; where many dispatchers may start at once, it is delayed."""
        if not self.context.settings.watches_list:
            return
        delay = self.calls.first_call_delay(self.context.rng)
        if delay:
            self._schedule_call(delay)
        else:
            self.call()

    def timer_fired(self, now: float) -> None:
        """Make the call if it is due."""
        if now >= self.call_at:
            self.call()

    def call(self) -> None:
        """Request the list and its changes, and schedule a repeat in case no answer arrives."""
        self.context.add_action(WatchEndpoints())
        self.calls.record_call(self.context.now)
        self._schedule_call(self.context.settings.poll_interval * RENEWAL_FRACTION)

    def failed(self, scope: ListScope) -> None:
        """Schedule the next call after a call or a watch has failed or fallen silent."""
        self._schedule_call(
            self.calls.delay_after_failure(self.context.rng, self.context.now, scope is ListScope.SILENT)
        )
        self.context.add_action(
            LogLine(f"endpoint list unavailable; calling again within {self.calls.retry_bound:.0f} ms")
        )

    def answered(self) -> None:
        """Record a list; the one known at the start is not the answer to a call."""
        if self.calls.record_answer(self.context.now):
            self.call_at = math.inf

    def _schedule_call(self, delay: float) -> None:
        """Schedule the next call; it replaces one scheduled before."""
        self.call_at = self.context.now + delay
        self.context.set_timer(TIMER_CALL_DISCOVERY, delay)
