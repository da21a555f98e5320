"""Graceful shutdown: answers accepted jobs, closes the clients' connections and ends the process.

The platform sends SIGKILL some time after SIGTERM; all times here keep a margin to that. The process may have
been paused when SIGTERM was sent, so the times that end before SIGKILL count from the earliest moment at
which the signal can have been sent, not from when it was handled.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from elderstall.clocks import MAX_PROCESS_PAUSE_MS
from elderstall.deadlines import Deadlines
from elderstall.engine import Engine
from elderstall.log import Log
from elderstall.net.console import Console
from elderstall.net.peer import has_unread_data
from elderstall.net.server.listener import Server
from elderstall.upgrade import Upgrade

# After SIGTERM: jobs that come later must be answered before SIGKILL, and new connections may keep coming.
SERVING_PERIOD_MS = 700.0
# SIGKILL may follow SIGTERM after min(longest deadline, MAX_COUNTED_DEADLINE_MS) + SERVING_PERIOD_MS.
MAX_COUNTED_DEADLINE_MS = 3_000.0
# After SIGTERM. Dispatchers are stopped 3 s apart, and clients should reconnect to the next one before that.
CLOSE_IDLE_AFTER_MS = 2_000.0
KILL_MARGIN_MS = 300.0  # all jobs are answered this long before SIGKILL, for a busy machine
CHECK_INTERVAL_MS = 50.0  # between checks whether all jobs are answered


@dataclass(slots=True, frozen=True)
class ShutdownTimes:
    """When the steps of a shutdown are due; clock readings, ms."""

    limit_budgets: float  # jobs that are read from then on get no more time than is left
    all_answered: float  # before the earliest SIGKILL
    close_idle_clients: float
    earliest_end: float  # of the process

    @classmethod
    def of_signal(cls, handled_at: float, longest_deadline_ms: float) -> ShutdownTimes:
        """Return the times for a SIGTERM whose handler ran at a reading of the clock."""
        earliest_sent_at = handled_at - MAX_PROCESS_PAUSE_MS
        counted_deadline = min(longest_deadline_ms, MAX_COUNTED_DEADLINE_MS)
        all_answered = earliest_sent_at + counted_deadline + SERVING_PERIOD_MS - KILL_MARGIN_MS
        return cls(
            limit_budgets=earliest_sent_at + SERVING_PERIOD_MS,
            all_answered=all_answered,
            close_idle_clients=min(handled_at + CLOSE_IDLE_AFTER_MS, all_answered),
            earliest_end=handled_at + SERVING_PERIOD_MS,
        )


class Program(Protocol):
    """The program, as far as the shutdown uses it."""

    port: Any  # the listening port; None until clients are accepted


class Shutdown:
    """Keeps serving for a while, closes idle clients, and ends the process once no work is left."""

    def __init__(
        self,
        program: Program,
        deadlines: Deadlines,
        log: Log,
        engine: Engine,
        server: Server,
        console: Console,
        upgrade: Upgrade,
        finish: Callable[[], None],
    ) -> None:
        self.program = program
        self.deadlines = deadlines
        self.log = log
        self.finish = finish
        self.engine = engine
        self.server = server
        self.console = console
        self.upgrade = upgrade
        self.has_begun = False
        self.earliest_end = 0.0

    def begin(self, signaled_at: float) -> None:
        """Start the shutdown, unless it has started; ``signaled_at`` is when SIGTERM was handled, ms."""
        if self.has_begun:
            return
        self.has_begun = True
        self.log.write(
            "drain", f"{len(self.engine.jobs)} jobs in progress; shutting down once they are answered"
        )
        longest_deadline = max(job_class.deadline for job_class in self.engine.classes.values())
        times = ShutdownTimes.of_signal(signaled_at, longest_deadline)
        self.earliest_end = times.earliest_end
        self.server.drain(limit_budgets_from=times.limit_budgets, shutdown_deadline=times.all_answered)
        self.deadlines.at(times.close_idle_clients, self.server.close_idle_clients)
        self.check()

    def check(self) -> None:
        """End the process once no work or client connection is left; else check again later."""
        if self.has_unfinished_work() or not self.is_input_drained():
            self.deadlines.after(CHECK_INTERVAL_MS, self.check)
            return
        self.log.write("exit", "all accepted jobs are answered; exiting")
        self.finish()

    def has_unfinished_work(self) -> bool:
        """Return whether jobs, client connections, hand-overs or console answers are unfinished.

        Hand-overs are those to the successor and those from the predecessor.
        """
        handover = self.upgrade.handover
        return bool(
            len(self.engine.jobs)
            or not self.server.is_quiescent
            or any(
                connection.is_client or connection.handed_descriptor is not None
                for connection in self.server.connections
            )
            or (handover is not None and handover.has_unconfirmed)
            or self.upgrade.adoption.waiting
            or self.console.answering
        )

    def is_input_drained(self) -> bool:
        """Return whether no connection or request waits unread in the kernel, as far as can be seen.

        New connections keep arriving for a while after SIGTERM. Those in the listener's queue, and unread
        requests, would be lost with this process, unless a successor serves the same listener.
        """
        if self.program.port is None or self.upgrade.has_serving_successor:
            return True
        if self.deadlines.now() < self.earliest_end or has_unread_data(self.program.port):
            return False
        return self.server.close_if_drained()
