"""The program's side of an upgrade: what goes to the other process, and what comes from it.

A new process takes the state, the listener and the connections over from the one that runs. Until that one
has ended, both share the dispatcher's limits, and operators' bans hold at both.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from elderstall.config import Config
from elderstall.deadlines import Deadlines
from elderstall.engine import Engine
from elderstall.log import Log
from elderstall.net.discovery import Discovery
from elderstall.net.handover.messages import (
    Callback,
    ConnectionsHeld,
    ConnectionTransfer,
    ExcludeWorker,
    IncludeWorker,
    ProgramMessage,
    RequestTaken,
    Serving,
)
from elderstall.net.handover.peers import Handover
from elderstall.net.handover.search import Offer
from elderstall.net.server.listener import Server
from elderstall.net.upstream.transport import WorkerTransport
from elderstall.upgrade.adoption import Adoption
from elderstall.upgrade.state_transfer import StateTransfer

HAND_OVER_INTERVAL = 50.0  # ms between looks for connections that can be handed over now
OLD_PART = 0.25  # of the cold budget that the old process keeps, for jobs that can't move yet
BAN_TRIES = 10  # looks for what a process that runs hands over, before a call about a worker is answered
BAN_RETRY = 50.0  # ms between them


class Program(Protocol):
    """What an upgrade needs of the program around it."""

    config: Config  # as it is now
    port: Any  # the listening port; None until clients are accepted

    def update_accepting(self) -> None:
        """Accept clients or not, as it is now."""


class Upgrade:
    """Hands over to the next process, and takes over from the one that runs."""

    def __init__(
        self,
        program: Program,
        reactor: Any,
        deadlines: Deadlines,
        log: Log,
        engine: Engine,
        discovery: Discovery,
        workers: WorkerTransport,
        server: Server,
    ) -> None:
        self.program, self.deadlines = program, deadlines
        self.engine, self.workers, self.server = engine, workers, server
        self.state = StateTransfer(deadlines, engine, discovery, server)
        self.adoption = Adoption(reactor, deadlines, log, engine, server)
        self.handover: Handover | None = None  # None: no folder is given to meet in
        config = program.config
        if config.folder is not None:
            name = f"elderstall-{config.host}-{config.port}"
            self.connect(Handover(deadlines, log, reactor, config.folder, name))

    def connect(self, handover: Handover) -> None:
        """Put the parts together."""
        self.handover = handover
        handover.program = self
        self.engine.jobs.on_accepted = lambda request_id: handover.announce(RequestTaken(request_id))
        self.server.can_hand_over = lambda: handover.may_send_connection
        self.server.send_connection = self.send_connection
        self.server.take_back_connection = lambda descriptor, fields: self.adoption.adopt(
            descriptor, ConnectionTransfer(fields)
        )
        self.server.ask_others = self.ask_about_callback

    # ---- the state, and the listener ----

    def make_offer(self) -> Offer:
        """Give a new process what it needs, and a copy of the listener."""
        return Offer(
            self.state.export_state(self.program.config.discovery).encode(),
            os.dup(self.program.port.fileno()),
        )

    def listener_opened(self, *, taken_over: bool) -> None:
        """Be there for the next process, or say to the one that runs that this one serves."""
        if self.handover is None:
            return
        if taken_over and self.handover.predecessor is not None:
            self.handover.predecessor.send(Serving())
            self.links_changed()
        else:
            self.handover.listen()

    # ---- limits that the processes share ----

    @property
    def has_serving_successor(self) -> bool:
        """Whether another process accepts the clients instead of this one."""
        return self.handover is not None and self.handover.successor is not None

    @property
    def worker_connections(self) -> int:
        """The part that this process has of what the dispatcher may have open to workers."""
        others = 0 if self.handover is None else len(self.handover.others)
        return self.program.config.worker_connections // (1 + others)

    def links_changed(self) -> None:
        """Share limits with the other processes that are there, and the listener with the one that serves."""
        assert self.handover is not None
        if self.handover.predecessor is None:
            self.server.peer_process_connections = 0
        self.workers.connections.limit = self.worker_connections
        if self.program.port is None:
            return
        newer = any(link.is_successor for link in self.handover.others)
        self.share_cold_budget(newer=newer)
        if self.has_serving_successor:
            self.program.update_accepting()
            self.hand_over()
            return
        if not newer:
            self.handover.listen()
        self.server.enforce_limits()
        self.program.update_accepting()

    def share_cold_budget(self, *, newer: bool) -> None:
        """Take this process's part of the slow-start budget."""
        assert self.handover is not None
        part = 1.0
        if newer:
            part = OLD_PART
        elif self.handover.others:
            part = 1 - OLD_PART
        if self.engine.endpoints.budget_fraction != part:
            self.engine.endpoints.set_budget_fraction(part)

    # ---- connections ----

    def hand_over(self) -> None:
        """Hand over what can go, and say how much is still here: it counts as the other one's too."""
        assert self.handover is not None
        if (successor := self.handover.successor) is not None:
            self.server.hand_over_all()
            successor.send(ConnectionsHeld(len(self.server.connections)))
            self.deadlines.after(HAND_OVER_INTERVAL, self.hand_over)

    def descriptor_confirmed(self) -> None:
        """Hand over more, as there is room on the way."""
        self.server.hand_over_all()

    def send_connection(self, descriptor: int, **fields: Any) -> bool:
        """Hand a connection over, if another process serves."""
        return self.handover is not None and self.handover.send_connection(
            descriptor, ConnectionTransfer(fields)
        )

    def connection_returned(self, descriptor: int, transfer: ConnectionTransfer) -> None:
        """Serve on with a connection that the other process has not taken."""
        self.adoption.adopt(descriptor, transfer)

    # ---- messages and questions ----

    def message_received(self, message: ProgramMessage, descriptor: int | None) -> bool:
        """Act on a message of the other process; gives the answer if it is a question."""
        match message:
            case ConnectionTransfer():
                assert descriptor is not None
                self.adoption.adopt(descriptor, message)
            case ConnectionsHeld(count):
                self.server.peer_process_connections = count
                self.server.enforce_limits()
            case RequestTaken(request_id):
                self.engine.jobs.taken_by_other_process.add(request_id)
            case Callback(call):
                self.server.called(call)  # whether or not it is a live one's, it was heard
                return call["id"] not in self.server.ids_in_transfer
            case ExcludeWorker() | IncludeWorker():
                return self.apply_ban(message)
        return True

    def ask_about_callback(self, call: Any) -> Deferred[bool] | None:
        """Pass a call-back for a job that is not here on; None if there is no other process."""
        if self.handover is None or not self.handover.others:
            return None
        return self.handover.ask_others(Callback(call))

    def exclude(self, worker: str) -> Deferred[bool]:
        """Ban a worker, here and at the other process; gives whether one of them knows it."""
        return self.change_ban(ExcludeWorker(worker))

    def include(self, worker: str) -> Deferred[bool]:
        """End a worker's ban, here and at the other process; gives whether one of them knows it."""
        return self.change_ban(IncludeWorker(worker))

    def change_ban(self, change: ExcludeWorker | IncludeWorker, tries: int = BAN_TRIES) -> Deferred[bool]:
        """Change a ban once what the process that runs hands over has come, or was waited for long enough."""
        done: Deferred[bool] = Deferred()
        if self.program.port is None and tries:
            self.deadlines.after(
                BAN_RETRY, lambda: self.change_ban(change, tries - 1).addCallback(done.callback)
            )
            return done
        accepted = self.apply_ban(change)
        if self.handover is None:
            done.callback(accepted)
        else:
            others = self.handover.ask_others(change)
            others.addCallback(lambda yes: done.callback(accepted or yes))
        return done

    def apply_ban(self, change: ExcludeWorker | IncludeWorker) -> bool:
        """Change a ban here; says no if the worker was never listed."""
        endpoints = self.engine.endpoints
        change_ban: Callable[[str], bool] = (
            endpoints.ban if isinstance(change, ExcludeWorker) else endpoints.end_ban
        )
        return change_ban(change.worker)
