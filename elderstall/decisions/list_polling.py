"""When the endpoint list is asked for: at the start, and again after a call or a watch has failed."""

from __future__ import annotations

import math

from elderstall.decisions.context import TIMER_POLL_ENDPOINTS, DecisionContext
from elderstall.interface import ListScope, LogLine, WatchEndpoints
from elderstall.recovery.listing import ListCalls

RENEW_PART = 0.25  # of ``ask_within``: an unanswered call is made again after so long


class ListPolling:
    """Carries the plan of calls (``recovery.listing``) out by timers and ``FollowList`` actions."""

    def __init__(self, context: DecisionContext) -> None:
        self.context = context
        self.calls = ListCalls()
        self.call_at = math.inf  # ms, when the next call is due

    def adopt(self) -> None:
        """Take the settings in force."""
        self.calls.dispatchers = self.context.settings.list_callers
        self.calls.poll_interval = self.context.settings.poll_interval

    def begin(self) -> None:
        """Make the first call; where many dispatchers start at once their calls are spread."""
        if not self.context.settings.watches_list:
            return
        delay = self.calls.first(self.context.rng)
        if delay:
            self._call_in(delay)
        else:
            self.call()

    def timer_fired(self, now: float) -> None:
        """Make a call that is due."""
        if now >= self.call_at:
            self.call()

    def call(self) -> None:
        """Ask for the list and its changes, and again should no answer come at all."""
        self.context.add_action(WatchEndpoints())
        self.calls.call(self.context.now)
        self._call_in(self.context.settings.poll_interval * RENEW_PART)

    def failed(self, scope: ListScope) -> None:
        """Plan the next call after one, or a watch, has failed or fallen silent."""
        self._call_in(self.calls.fail(self.context.rng, self.context.now, scope is ListScope.SILENT))
        self.context.add_action(LogLine(f"list out of reach; asked again within {self.calls.waited:.0f} ms"))

    def answered(self) -> None:
        """Take a list; the one known at the start answers no call."""
        if self.calls.answered(self.context.now):
            self.call_at = math.inf

    def _call_in(self, delay: float) -> None:
        """Call again later; an earlier plan is void."""
        self.call_at = self.context.now + delay
        self.context.set_timer(TIMER_POLL_ENDPOINTS, delay)
