"""Feeds the decisions events, one after the other, and has their actions carried out."""

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
    """The way to the decisions and back."""

    def __init__(self, decisions: Dispatcher, deadlines: Deadlines, log: Log) -> None:
        self.decisions, self.deadlines, self.log = decisions, deadlines, log
        self.handlers: ActionHandlers = {}
        self._events: deque[Event] = deque()
        self._feeding = False

    def feed(self, event: Event) -> None:
        """Hand over an event, after those before it, and carry out the actions."""
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
            # Guards the other jobs against one bad event; the job's own guard still answers it.
            self.log.failure(f"event {type(event).__name__}", error)
