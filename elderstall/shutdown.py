"""The planned end: what was taken is answered, clients are let go, then the process ends.

The platform kills a process some time after SIGTERM; all times here keep a margin to that.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from elderstall.deadlines import Deadlines
from elderstall.engine import Engine
from elderstall.log import Log
from elderstall.net.console import Console
from elderstall.net.peer import unread
from elderstall.net.server.listener import Server
from elderstall.upgrade import Upgrade

SERVE_FOR = 700.0  # ms after SIGTERM for which new jobs are taken as always
DEADLINE_LIMIT = 3_000.0  # ms that the longest deadline counts for: SERVE_FOR later the platform may kill
LET_GO_AFTER = 2_000.0  # ms after SIGTERM: dispatchers end 3 s apart, and clients should find the next one
KILL_MARGIN = 300.0  # ms before that by which all is answered, however busy the machine is
CHECK_INTERVAL = 50.0  # ms between looks whether all is answered


class Program(Protocol):
    """What the planned end needs of the program around it."""

    port: Any  # the listening port; None until clients are accepted


class Shutdown:
    """Serves on for a while, lets clients go, and ends the process once nothing is owed."""

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
        self.program, self.deadlines, self.log, self.finish = program, deadlines, log, finish
        self.engine, self.server, self.console, self.upgrade = engine, server, console, upgrade
        self.begun = False
        self.earliest_end = 0.0

    def begin(self) -> None:
        """Begin the planned end, unless it is under way."""
        if self.begun:
            return
        self.begun = True
        self.log.write("drain", f"{len(self.engine.jobs)} jobs are out")
        self.server.drain()
        longest = min(max(c.deadline for c in self.engine.classes.values()), DEADLINE_LIMIT)
        all_answered_after = longest + SERVE_FOR - KILL_MARGIN
        self.server.shutdown_deadline = self.deadlines.now() + all_answered_after
        self.earliest_end = self.deadlines.now() + SERVE_FOR
        self.deadlines.after(SERVE_FOR, self.shorten_budgets)
        self.deadlines.after(min(LET_GO_AFTER, all_answered_after), self.server.close_idle_clients)
        self.check()

    def shorten_budgets(self) -> None:
        """Take jobs for the time left only: one that comes now and is unanswered at SIGKILL is lost."""
        self.server.limits_budgets = True

    def check(self) -> None:
        """End once nothing is owed and every client's connection is closed."""
        if self.owes_something() or not self.nothing_unread():
            self.deadlines.after(CHECK_INTERVAL, self.check)
            return
        self.log.write("exit", "all that was taken is answered")
        self.finish()

    def owes_something(self) -> bool:
        """Say whether an answer is due, or a connection is a client's or on its way to the next process."""
        handover = self.upgrade.handover
        return bool(
            len(self.engine.jobs)
            or not self.server.is_quiescent
            or any(c.is_client or c.handed_descriptor is not None for c in self.server.connections)
            or (handover is not None and handover.has_unconfirmed)
            or self.upgrade.adoption.waiting
            or self.console.answering
        )

    def nothing_unread(self) -> bool:
        """Say that nothing waits in the system that clients hold for taken, as far as can be seen.

        New connections keep coming for a while after SIGTERM. What lies in the listener's queue, or unread
        on a connection, would be lost with this process; unless another one goes on with the listener.
        """
        if self.program.port is None or self.upgrade.has_serving_successor:
            return True
        if self.deadlines.now() < self.earliest_end or unread(self.program.port):
            return False
        return self.server.close_if_drained()
