"""The program's side of an upgrade: hand-over to and from the peer processes.

A new process takes over the state, the listening socket and the connections of the running one. Until that
one has ended, both share the dispatcher's limits, and operators' bans apply to both.

The steps of a hand-over, with the messages of `elderstall.net.handover.messages`:

1. The new process connects to the Unix socket of the running one, and sends Hello.
2. The running process sends State with a copy of the listener's descriptor, and shares the limits from then
   on.
3. The new process confirms the descriptor with Got, imports the state, listens, and sends Serving.
4. The running process, now the predecessor, stops listening on the Unix socket, stops accepting clients, and
   begins to hand over connections. It sends Released once the Unix socket is closed.
5. After Released the new process listens on the Unix socket, for the next upgrade.
6. The predecessor releases connections that are between requests or whose job can move, and sends each as a
   ConnectionTransfer with its descriptor. It tries the others again at intervals, and reports the number left
   in ConnectionsHeld.
7. The new process adopts each connection, or retries that while it has no free descriptor, and sends Got. The
   predecessor then closes its copy of the descriptor, and may send a further connection.
8. When the link ends, the predecessor resumes connections that were not confirmed, unless it is ending itself
   or the new process stopped reading. The process that is left has the whole limits again.
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

HAND_OVER_INTERVAL_MS = 50.0  # between checks for connections that can be handed over
# The predecessor keeps this fraction of the slow-start budget for jobs that cannot be handed over yet.
PREDECESSOR_BUDGET_FRACTION = 0.25
MAX_BAN_RETRIES = 10  # checks whether the predecessor's state has arrived, before a ban is changed without it
BAN_RETRY_INTERVAL_MS = 50.0  # between them


class Application(Protocol):
    """The parts of the application that an upgrade uses."""

    config: Config  # the current one
    port: Any  # the listening port; None until clients are accepted

    def update_accepting(self) -> None:
        """Start or stop accepting clients according to the current state."""


class Upgrade:
    """Hands over to a successor, and takes over from a predecessor."""

    def __init__(
        self,
        application: Application,
        reactor: Any,
        deadlines: Deadlines,
        log: Log,
        engine: Engine,
        discovery: Discovery,
        workers: WorkerTransport,
        server: Server,
    ) -> None:
        self.application = application
        self.deadlines = deadlines
        self.engine = engine
        self.workers = workers
        self.server = server
        self.state_transfer = StateTransfer(deadlines, engine, discovery, server)
        self.adoption = Adoption(reactor, deadlines, log, engine, server)
        self.handover: Handover | None = None  # None: no directory for the Unix socket is set
        config = application.config
        if config.handover_directory is not None:
            name = f"elderstall-{config.host}-{config.port}"
            self.connect(Handover(deadlines, log, reactor, config.handover_directory, name))

    def connect(self, handover: Handover) -> None:
        """Connect the hand-over link with the server and the engine."""
        self.handover = handover
        handover.delegate = self
        self.engine.jobs.on_accepted = lambda request_id: handover.announce(RequestTaken(request_id))
        self.server.can_hand_over = lambda: handover.can_send_connection
        self.server.send_connection = self.send_connection
        self.server.take_back_connection = lambda descriptor, fields: self.adoption.adopt(
            descriptor, ConnectionTransfer(fields)
        )
        self.server.ask_others = self.ask_about_callback

    # ---- the state, and the listener ----

    def make_offer(self) -> Offer:
        """Return the state for a new process, and a copy of the listener's descriptor."""
        return Offer(
            self.state_transfer.export_state(self.application.config.discovery).encode(),
            os.dup(self.application.port.fileno()),
        )

    def listener_opened(self, *, taken_over: bool) -> None:
        """Listen for the next process, or notify the predecessor that this process serves."""
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
        """Whether a successor accepts clients instead of this process."""
        return self.handover is not None and self.handover.successor is not None

    @property
    def worker_connections(self) -> int:
        """The share of the dispatcher's maximum of connections to workers that this process has."""
        others = 0 if self.handover is None else len(self.handover.others)
        return self.application.config.worker_connections // (1 + others)

    def links_changed(self) -> None:
        """Share limits with the connected processes, and hand over to the one that serves."""
        assert self.handover is not None
        if self.handover.predecessor is None:
            self.server.peer_process_connections = 0
        self.workers.connections.limit = self.worker_connections
        if self.application.port is None:
            return
        has_successor = any(link.is_successor for link in self.handover.others)
        self.share_slow_start_budget(has_successor=has_successor)
        if self.has_serving_successor:
            self.application.update_accepting()
            self.hand_over()
            return
        if not has_successor:
            self.handover.listen()
        self.server.enforce_limits()
        self.application.update_accepting()

    def share_slow_start_budget(self, *, has_successor: bool) -> None:
        """Set this process's fraction of the slow-start budget.

        Each process considers its own links only: the fractions of three processes may sum to more than 1.
        """
        assert self.handover is not None
        fraction = 1.0
        if has_successor:
            fraction = PREDECESSOR_BUDGET_FRACTION
        elif self.handover.others:
            fraction = 1 - PREDECESSOR_BUDGET_FRACTION
        if self.engine.endpoints.budget_fraction != fraction:
            self.engine.endpoints.set_budget_fraction(fraction)

    # ---- connections ----

    def hand_over(self) -> None:
        """Hand over what can be sent, and report the number of connections left, at intervals.

        The successor counts them against its own limits.
        """
        assert self.handover is not None
        if (successor := self.handover.successor) is not None:
            self.server.hand_over_all()
            successor.send(ConnectionsHeld(len(self.server.connections)))
            self.deadlines.after(HAND_OVER_INTERVAL_MS, self.hand_over)

    def descriptor_confirmed(self) -> None:
        """Hand over more connections, as another descriptor may be sent."""
        self.server.hand_over_all()

    def send_connection(self, descriptor: int, **fields: Any) -> bool:
        """Send a connection to the successor; return False if there is none."""
        return self.handover is not None and self.handover.send_connection(
            descriptor, ConnectionTransfer(fields)
        )

    def connection_returned(self, descriptor: int, transfer: ConnectionTransfer) -> None:
        """Resume serving a connection that the peer process has not received."""
        self.adoption.adopt(descriptor, transfer)

    # ---- messages and questions ----

    def message_received(self, message: ProgramMessage, descriptor: int | None) -> bool:
        """Handle a message of a peer process; return the answer if it is a question."""
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
                # Confirmed whether or not its attempt is live, unless the job is in transfer.
                self.server.apply_forwarded_callback(call)
                return call["id"] not in self.server.ids_in_transfer
            case ExcludeWorker() | IncludeWorker():
                return self.apply_ban(message)
        return True

    def ask_about_callback(self, call: Any) -> Deferred[bool] | None:
        """Forward a callback for a job that is not here; None if there is no peer process."""
        if self.handover is None or not self.handover.others:
            return None
        return self.handover.ask_others(Callback(call))

    def exclude(self, worker: str) -> Deferred[bool]:
        """Ban a worker in all processes; the result is whether any of them knows it."""
        return self.change_ban(ExcludeWorker(worker))

    def include(self, worker: str) -> Deferred[bool]:
        """End a worker's ban in all processes; the result is whether any of them knows it."""
        return self.change_ban(IncludeWorker(worker))

    def change_ban(
        self, change: ExcludeWorker | IncludeWorker, retries_left: int = MAX_BAN_RETRIES
    ) -> Deferred[bool]:
        """Change a ban once the predecessor's state has arrived, or after the last retry."""
        done: Deferred[bool] = Deferred()
        if self.application.port is None and retries_left:
            self.deadlines.after(
                BAN_RETRY_INTERVAL_MS,
                lambda: self.change_ban(change, retries_left - 1).addCallback(done.callback),
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
        """Change a ban in this process; return False if the worker was never listed."""
        endpoints = self.engine.endpoints
        change_ban: Callable[[str], bool] = (
            endpoints.ban if isinstance(change, ExcludeWorker) else endpoints.end_ban
        )
        return change_ban(change.worker)
