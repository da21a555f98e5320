"""Feeds events to the decisions one at a time and dispatches the resulting actions."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from elderstall.deadlines import Deadlines
from elderstall.decisions import Dispatcher
from elderstall.interface import Event
from elderstall.log import Log

ActionHandlers = Mapping[type, Callable[[Any], None]]


class DecisionFeed:
    """Queue of events to the decisions, with the handlers of their actions."""

    def __init__(self, decisions: Dispatcher, deadlines: Deadlines, log: Log) -> None:
        self.decisions = decisions
        self.deadlines = deadlines
        self.log = log
        self.handlers: ActionHandlers = {}
        self._events: deque[Event] = deque()
        self._feeding = False

    def feed(self, event: Event) -> None:
        """Process an event and carry out its actions; an event fed meanwhile is queued."""
        self._events.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._feeding = False

    def _handle(self, event: Event) -> None:
        try:
            for action in self.decisions.handle(self.deadlines.now(), event):
                self.handlers[type(action)](action)
        except Exception as error:
            # One faulty event must not affect other jobs; the job's deadline guard still answers it.
            self.log.failure(f"event {type(event).__name__}", error)
