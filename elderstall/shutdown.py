"""Graceful shutdown: answers accepted jobs, closes the clients' connections and ends the process.

The platform sends SIGKILL some time after SIGTERM; all times here keep a margin to that.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from elderstall.deadlines import Deadlines
from elderstall.engine import Engine
from elderstall.log import Log
from elderstall.net.console import Console
from elderstall.net.peer import has_unread_data
from elderstall.net.server.listener import Server
from elderstall.upgrade import Upgrade

SERVING_PERIOD_MS = 700.0  # after SIGTERM, new jobs are accepted as usual for this time
# SIGKILL may follow SIGTERM after min(longest deadline, MAX_COUNTED_DEADLINE_MS) + SERVING_PERIOD_MS.
MAX_COUNTED_DEADLINE_MS = 3_000.0
# After SIGTERM. Dispatchers are stopped 3 s apart, and clients should reconnect to the next one before that.
CLOSE_IDLE_AFTER_MS = 2_000.0
KILL_MARGIN_MS = 300.0  # all jobs are answered this long before SIGKILL, for a busy machine
CHECK_INTERVAL_MS = 50.0  # between checks whether all jobs are answered


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

    def begin(self) -> None:
        """Start the shutdown, unless it has started."""
        if self.has_begun:
            return
        self.has_begun = True
        self.log.write(
            "drain", f"{len(self.engine.jobs)} jobs in progress; shutting down once they are answered"
        )
        self.server.drain()
        longest = min(
            max(job_class.deadline for job_class in self.engine.classes.values()), MAX_COUNTED_DEADLINE_MS
        )
        all_answered_after = longest + SERVING_PERIOD_MS - KILL_MARGIN_MS
        self.server.shutdown_deadline = self.deadlines.now() + all_answered_after
        self.earliest_end = self.deadlines.now() + SERVING_PERIOD_MS
        self.deadlines.after(SERVING_PERIOD_MS, self.shorten_budgets)
        self.deadlines.after(min(CLOSE_IDLE_AFTER_MS, all_answered_after), self.server.close_idle_clients)
        self.check()

    def shorten_budgets(self) -> None:
        """Limit the budgets of new jobs to the time left: a job unanswered at SIGKILL is lost."""
        self.server.limits_budgets = True

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
