"""Shares the loop's time among connections that have more input than they can be given at once.

A connection handles its input in slices. In each turn of the reactor the connections together may work for a
limited time before the next poll; the others wait in this queue, the shortest input first. Connections that
have used up a slice come last, in turns.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import Any, Protocol

from elderstall.net.turns import MS_PER_S, TurnMeter

SLICE_MS = 1.0  # after which a connection waits for its next slice
MAX_TURN_WORK_MS = 10.0  # of all connections in one turn, before other events are polled
SHORT_INPUT_BYTES = 2 * 1024  # unparsed: a small request or a callback


class Rank(IntEnum):
    """The order in which waiting connections get their next slice."""

    SHORT = 0  # little input, and no slice used up
    LONG = 1  # much input, and no slice used up
    CONTINUED = 2  # has used up a slice, and has input left


class Worker(Protocol):
    """A connection whose input can be handled in slices."""

    is_queued: bool

    @property
    def input_bytes(self) -> int:
        """The bytes that have been received and not handled."""

    def process_slice(self) -> None:
        """Handle input for up to one slice."""


class WorkQueue:
    """The connections that wait for a slice of the loop's time."""

    def __init__(self, reactor: Any, turns: TurnMeter) -> None:
        self.reactor = reactor  # IReactorTime
        self.turns = turns
        self.waiting: tuple[deque[Worker], ...] = tuple(deque() for _ in Rank)
        self.scheduled: Any = None  # IDelayedCall
        self.turn = -1  # number of the turn that ``worked_ms`` belongs to
        self.worked_ms = 0.0  # of all connections in that turn
        self.slice_started_at = 0.0  # seconds

    def __len__(self) -> int:
        return sum(map(len, self.waiting))

    @property
    def may_work_now(self) -> bool:
        """Whether a connection that has received input may handle it at once."""
        self.start_turn()
        return self.worked_ms < MAX_TURN_WORK_MS and not any(self.waiting)

    def start_turn(self) -> None:
        """Count from zero if a new turn has begun."""
        if self.turn != self.turns.number:
            self.turn = self.turns.number
            self.worked_ms = 0.0

    def start_slice(self) -> None:
        """Start the slice of a connection."""
        self.slice_started_at = self.turns.clock()

    @property
    def is_slice_over(self) -> bool:
        """Whether the current slice is used up."""
        return (self.turns.clock() - self.slice_started_at) * MS_PER_S >= SLICE_MS

    def end_slice(self) -> float:
        """End the current slice; return its length, ms."""
        length_ms = (self.turns.clock() - self.slice_started_at) * MS_PER_S
        self.worked_ms += length_ms
        return length_ms

    def add(self, connection: Worker, *, continued: bool) -> None:
        """Let a connection wait for a slice, unless it does so already."""
        if connection.is_queued:
            return
        connection.is_queued = True
        if continued:
            rank = Rank.CONTINUED
        else:
            rank = Rank.SHORT if connection.input_bytes <= SHORT_INPUT_BYTES else Rank.LONG
        self.waiting[rank].append(connection)
        self.schedule()

    def schedule(self) -> None:
        """Schedule the next run, after the reactor has polled for other events."""
        if self.scheduled is None and any(self.waiting):
            self.scheduled = self.reactor.callLater(0, self.run)

    def run(self) -> None:
        """Give slices to waiting connections until the turn's time is used up."""
        self.scheduled = None
        self.turn = self.turns.number
        self.worked_ms = 0.0
        self.serve_one(self.waiting[Rank.CONTINUED])  # so that they make progress beside any number of others
        for connections in self.waiting:
            for _ in range(len(connections)):
                if self.worked_ms >= MAX_TURN_WORK_MS:
                    break
                self.serve_one(connections)
        self.schedule()

    def serve_one(self, connections: deque[Worker]) -> None:
        """Give the first of some connections its slice."""
        if connections:
            connection = connections.popleft()
            connection.is_queued = False
            connection.process_slice()
