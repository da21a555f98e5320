"""Measurement of the reactor's turns: from the return of one poll to the next poll."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

LONG_TURN_MS = 50.0  # a turn above it delays every connection noticeably, and is logged
MS_PER_S = 1000.0


@dataclass(slots=True, frozen=True)
class Turn:
    """One turn of the reactor that has ended."""

    duration_ms: float
    cpu_ms: float  # of this process; the rest went to other processes, or the process was stopped
    longest_by: str  # the connection that took the longest time at once in it, empty if none was recorded
    longest_ms: float  # that time


class TurnMeter:
    """Measures turns, and the connection that took the longest time at once in each."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        cpu_clock: Callable[[], float] = time.process_time,
    ) -> None:
        self.clock = clock  # seconds
        self.cpu_clock = cpu_clock  # seconds
        self.number = 0  # of the current turn
        self.longest_ms = 0.0  # of all turns
        self.long_turns = 0
        self.longest_work_ms = 0.0  # of one connection at once
        self.on_long_turn: Callable[[Turn], None] = lambda turn: None
        self.started_at = clock()
        self.started_cpu = cpu_clock()
        self.work_by = ""
        self.work_ms = 0.0

    def begin(self) -> None:
        """Start a turn: the poll has returned."""
        self.number += 1
        self.work_by = ""
        self.work_ms = 0.0
        self.started_cpu = self.cpu_clock()
        self.started_at = self.clock()

    def end(self) -> None:
        """End the turn: the next poll is about to start."""
        duration_ms = (self.clock() - self.started_at) * MS_PER_S
        self.longest_ms = max(self.longest_ms, duration_ms)
        if duration_ms > LONG_TURN_MS and self.number:
            self.long_turns += 1
            cpu_ms = (self.cpu_clock() - self.started_cpu) * MS_PER_S
            self.on_long_turn(Turn(duration_ms, cpu_ms, self.work_by, self.work_ms))

    def record_work(self, kind: str, number: int, duration_ms: float) -> None:
        """Record the time that a connection took at once."""
        self.longest_work_ms = max(self.longest_work_ms, duration_ms)
        if duration_ms > self.work_ms:
            self.work_ms = duration_ms
            self.work_by = f"{kind} {number}"


class MeteredPoller:
    """A poller that reports the start and end of each wait to a TurnMeter."""

    def __init__(self, poller: Any, meter: TurnMeter) -> None:
        self.poller = poller  # a select.epoll
        self.meter = meter
        self.register = poller.register
        self.modify = poller.modify
        self.unregister = poller.unregister

    def poll(self, *args: Any) -> Any:
        """Wait for events; the time until the next call is a turn."""
        self.meter.end()
        try:
            return self.poller.poll(*args)
        finally:
            self.meter.begin()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.poller, name)
