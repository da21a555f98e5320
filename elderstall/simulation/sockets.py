"""The worker model on loopback sockets: requests, call-backs and the list in the published protocol.

The worker hosts, faults and list are those of virtual time, run in real time. This module has the HTTP side;
``worker.py`` models what a worker does with a job.
"""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from typing import Protocol as Interface
from urllib.parse import parse_qs, unquote, urlsplit

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from elderstall.interface import Effect, Ending, Endpoint, ListScope
from elderstall.messages import Outcome
from elderstall.net import http
from elderstall.net.discovery import encode_list
from elderstall.simulation.scenario import ClassLoad
from elderstall.simulation.worker import Task

if TYPE_CHECKING:
    from elderstall.simulation.listing import ListService
    from elderstall.simulation.worker_host import WorkerHost

HEARTBEAT_INTERVAL_MS = 2_000.0  # between the empty lines that keep a watch alive
CALLBACK_TIMEOUT_MS = 2_000.0  # to connect to a dispatcher, and for it to answer a call-back
CALLBACK_RETRY_DELAY_MS = 300.0
MAX_WAITING_CALLBACKS = 10_000  # per dispatcher; beyond it the oldest call-back is dropped and counted
STATES = {
    Ending.SERVED: "done",
    Ending.ERROR: "failed",
    Ending.FULL: "returned",
    Ending.BROKEN: "lost",
}


class RealCall:
    """A scheduled call, with the interface that worker hosts use."""

    def __init__(self, when: float, call: Any) -> None:
        self.when = when
        self.call = call

    def active(self) -> bool:
        """Return whether the call is still to come."""
        return bool(self.call.active())

    def stop(self) -> None:
        """Cancel the call if it is still to come."""
        if self.call.active():
            self.call.cancel()


class RealTime:
    """A clock in milliseconds since the start, with calls scheduled by a reactor."""

    def __init__(self, reactor: Any, seconds: Callable[[], float]) -> None:
        self.reactor = reactor
        self.seconds = seconds
        self.started_at = seconds()

    @property
    def now(self) -> float:
        """Milliseconds since the start."""
        return (self.seconds() - self.started_at) * 1000

    def after(self, delay: float, function: Callable[..., object], *args: Any) -> RealCall:
        """Schedule a call after a delay in milliseconds."""
        delay = max(0.0, delay)
        return RealCall(self.now + delay, self.reactor.callLater(delay / 1000, function, *args))

    def at(self, when: float, function: Callable[..., object], *args: Any) -> RealCall:
        """Schedule a call at a reading of ``now``."""
        return self.after(when - self.now, function, *args)


class SocketJob:
    """The request behind an attempt, with the interface that worker hosts use."""

    def __init__(self, load: ClassLoad, work: float, slots: int) -> None:
        self.load = load
        self.work = work
        self.slots = slots
        self.saved = 0.0  # fraction of its work that lost attempts have saved
        self.runs = 0

    @property
    def safe(self) -> bool:
        """Whether the job may be executed more than once."""
        return self.load.cls.effect is Effect.IDEMPOTENT


class SocketAttempt:
    """One attempt that arrived over a socket."""

    def __init__(self, link: WorkerConnection, request_id: str, job: SocketJob, ends: float) -> None:
        self.link = link
        self.request_id = request_id
        self.job = job
        self.ends = ends
        self.worker_host = link.worker_host
        self.upstream = link.dispatcher
        self.task: Task | None = None
        self.number = 0

    def answered(self, outcome: Outcome | None) -> None:
        """Answer on the attempt's connection: accepted with 202, or rejected with 503."""
        if outcome is None:
            self.link.answer(202)
        else:
            self.worker_host.attempts.pop(self.request_id, None)  # type: ignore[attr-defined]
            load_report = self.worker_host.load_json(outcome.report)  # type: ignore[attr-defined]
            report = (("X-Load-Report", json.dumps(load_report)),) if load_report else ()
            self.link.answer(503, (("X-Rejected", "1"), *report))

    def link_lost(self) -> None:
        """Reset the attempt's connection."""
        self.link.transport.abortConnection()


class SocketContext(Interface):
    """The attributes of the simulated platform that connections use."""

    reactor: Any
    loop: RealTime
    classes: dict[str, ClassLoad]
    listing: ListService

    def next_connection_number(self) -> int:
        """Return the number of a new connection."""

    def addresses(self, dispatcher: DispatcherClient) -> dict[str, str]:
        """Return the workers' addresses for one dispatcher, by name."""

    def job_from_request(self, class_load: ClassLoad, message: http.Message) -> SocketJob:
        """Return a job with its work and slots. Raises ValueError for a malformed hint."""

    def expiry_of(self, message: http.Message) -> float:
        """Return when the sender stops waiting (ms). Raises ValueError for a malformed budget."""


class WorkerConnection(Protocol):
    """One connection that a dispatcher has opened to a worker host."""

    transport: Any

    def __init__(self, worker_host: WorkerHost, dispatcher: DispatcherClient) -> None:
        self.worker_host = worker_host
        self.dispatcher = dispatcher
        self.platform = dispatcher.platform
        self.parser = http.Parser()
        self.body: list[bytes] = []
        self.message: http.Message | None = None
        self.number = 0
        self.open = True
        self.unreachable = False
        self.busy = False
        self.ready_at = 0.0  # ms; when its handshake is complete

    def connectionMade(self) -> None:  # noqa: N802, D102
        worker_host = self.worker_host
        self.number = self.platform.next_connection_number()
        self.transport.setTcpNoDelay(True)
        if len(worker_host.links) >= worker_host.kind.connections:
            self.transport.abortConnection()
            return
        worker_host.links.add(self)  # type: ignore[arg-type]
        worker_host.model.connections = len(worker_host.links)
        worker_host.process_events(
            worker_host.model.charge(self.platform.loop.now, worker_host.kind.connection_work)
        )
        self.ready_at = self.platform.loop.now + worker_host.model.backlog()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        if self.worker_host.silent_faults or self.unreachable:
            return
        self.parser.feed(data)
        try:
            while not self.busy and (event := self.parser.next()) is not None:
                if isinstance(event, http.Head):
                    self.message, self.body = event.message, []
                elif isinstance(event, http.Data):
                    self.body.append(event.data)
                elif self.message is not None:
                    message, self.message, self.busy = self.message, None, True
                    self.platform.loop.at(self.ready_at, self.handle_request, message)
        except http.MessageError as error:
            self.answer(error.status, close=True)

    def handle_request(self, message: http.Message) -> None:
        """Handle a request: a job, or its cancellation."""
        if not self.open:
            return
        path = urlsplit(message.target).path
        if message.method == "DELETE" and path.startswith("/jobs/"):
            attempt = self.worker_host.attempts.get(unquote(path[6:]))  # type: ignore[attr-defined]
            if attempt is not None and not self.worker_host.model.paused:
                self.worker_host.cancel(attempt)
            self.answer(204)
            return
        request_id = message.headers.get("X-Call-Id")
        class_name = path.lstrip("/").split("/", 1)[0]
        class_load = self.platform.classes.get(class_name)
        if message.method != "POST" or class_load is None or not request_id:
            self.answer(404)
            return
        try:
            attempt = SocketAttempt(
                self,
                request_id,
                self.platform.job_from_request(class_load, message),
                self.platform.expiry_of(message),
            )
        except ValueError:
            self.answer(400)
            return
        self.worker_host.attempts[request_id] = attempt  # type: ignore[attr-defined]
        self.worker_host.receive(attempt, self)  # type: ignore[arg-type]

    def answer(self, status: int, headers: tuple[tuple[str, str], ...] = (), close: bool = False) -> None:
        """Write an answer and continue with the next request."""
        if not self.open or self.worker_host.silent_faults:
            return
        self.busy = False
        self.transport.write(http.response(status, b"", headers, close))
        if close:
            self.transport.loseConnection()
        else:
            self.dataReceived(b"")

    def close(self) -> None:
        """Reset the connection, as ``reset`` does; see ``upstream.Link``."""
        self.transport.abortConnection()

    def reset(self) -> None:
        """Reset the connection; see ``upstream.Link``."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.open = False
        self.worker_host.links.discard(self)
        self.worker_host.model.connections = len(self.worker_host.links)
        for attempt in list(self.worker_host.attempts.values()):  # type: ignore[attr-defined]
            if attempt.link is self and self.busy and attempt.task is not None:
                self.worker_host.cancel(attempt)  # closed before the 202: cancelled


class ProtocolFactory(Factory):
    """Builds protocols with a function."""

    noisy = False

    def __init__(self, make: Callable[[], Protocol]) -> None:
        self.make = make

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802, D102
        return self.make()


class DispatcherClient:
    """Sends call-backs to one dispatcher, one at a time, over a persistent connection.

    A call-back that fails is queued again at the end after a delay, so later ones may overtake it.
    Worker hosts use it in place of the simulated ``Process`` and ``DispatcherHost``, whose attributes it has.
    """

    alive = True  # as ``Process.alive``

    def __init__(self, platform: SocketContext, rank: int, host: str, port: int) -> None:
        self.platform = platform
        self.rank = rank
        self.host = host
        self.port = port
        self.process = self.dispatcher_host = self
        self.waiting: deque[tuple[dict[str, Any], int]] = deque()
        self.dropped = self.delivered = self.failed = 0
        self.link: CallbackConnection | None = None
        self.connecting = False
        self.timer: RealCall | None = None

    def called_back(self, attempt: SocketAttempt, outcome: Outcome) -> None:
        """Report how a job ended."""
        call: dict[str, Any] = {
            "id": attempt.request_id,
            "from": attempt.worker_host.name,
            "state": STATES[outcome.ending],
        }
        if outcome.ending is Ending.SERVED:
            call["result"] = f"{attempt.job.load.cls.name} {attempt.request_id} by {attempt.worker_host.name}"
        load_report = attempt.worker_host.load_json(outcome.report)  # type: ignore[attr-defined]
        if load_report:
            call["load"] = load_report
        attempt.worker_host.attempts.pop(attempt.request_id, None)  # type: ignore[attr-defined]
        self.queue(call)

    def progress_reported(self, attempt: SocketAttempt, share: float, started: bool = False) -> None:
        """Report that a job started, or its progress."""
        state = {"state": "started"} if started else {"state": "running", "share": round(share, 4)}
        self.queue({"id": attempt.request_id, "from": attempt.worker_host.name, **state})

    def queue(self, call: dict[str, Any], attempts_left: int = 10) -> None:
        """Queue a call-back; the queue is bounded, as a dispatcher may be down for long."""
        if len(self.waiting) >= MAX_WAITING_CALLBACKS:
            self.waiting.popleft()
            self.dropped += 1
        self.waiting.append((call, attempts_left))
        self.send_next()

    def send_next(self) -> None:
        """Send the next call-back unless one is in progress."""
        if not self.waiting or self.connecting or (self.link is not None and self.link.call is not None):
            return
        if self.link is not None:
            call, attempts_left = self.waiting.popleft()
            self.timer = self.platform.loop.after(CALLBACK_TIMEOUT_MS, self.link.transport.abortConnection)
            self.link.send(call, attempts_left)
            return
        self.connecting = True
        endpoint: Any = TCP4ClientEndpoint(
            self.platform.reactor, self.host, self.port, timeout=CALLBACK_TIMEOUT_MS / 1000
        )
        endpoint.connect(ProtocolFactory(lambda: CallbackConnection(self))).addCallbacks(
            self.connected, self.connect_failed
        )

    def connected(self, link: CallbackConnection) -> None:
        """Send the next call-back over the new connection."""
        self.connecting = False
        self.link = link
        self.send_next()

    def connect_failed(self, _: Failure) -> None:
        """Count an attempt of the first call-back, and connect again after a delay."""
        self.connecting = False
        if self.waiting:
            call, attempts_left = self.waiting.popleft()
            if attempts_left > 1:
                self.waiting.appendleft((call, attempts_left - 1))
            else:
                self.failed += 1
        self.platform.loop.after(CALLBACK_RETRY_DELAY_MS, self.send_next)

    def call_ended(self, succeeded: bool, call: dict[str, Any], attempts_left: int) -> None:
        """Handle the end of a call-back, retry it if it failed, and send the next."""
        if self.timer is not None:
            self.timer.stop()
        if succeeded:
            self.delivered += 1
        elif attempts_left > 1:
            self.platform.loop.after(CALLBACK_RETRY_DELAY_MS, self.queue, call, attempts_left - 1)
        else:
            self.failed += 1
        self.send_next()


class CallbackConnection(Protocol):
    """A connection to a dispatcher, for call-backs."""

    transport: Any

    def __init__(self, dispatcher: DispatcherClient) -> None:
        self.dispatcher = dispatcher
        self.parser = http.Parser(responses=True)
        self.call: tuple[dict[str, Any], int] | None = None
        self.status = 0

    def send(self, call: dict[str, Any], attempts_left: int) -> None:
        """Write one call-back."""
        self.call = call, attempts_left
        self.transport.write(
            http.request(
                "POST",
                "/callback",
                f"{self.dispatcher.host}:{self.dispatcher.port}",
                (),
                json.dumps(call).encode(),
            )
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.parser.feed(data)
        try:
            while (event := self.parser.next()) is not None:
                if isinstance(event, http.Head):
                    self.status = event.message.status
                elif isinstance(event, http.End) and self.call is not None:
                    (call, attempts_left), self.call = self.call, None
                    self.dispatcher.call_ended(self.status in (200, 204), call, attempts_left)
        except http.MessageError:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        if self.dispatcher.link is self:
            self.dispatcher.link = None
        pending, self.call = self.call, None
        if pending is not None:
            self.dispatcher.call_ended(False, *pending)
        else:
            self.dispatcher.send_next()


class ListConnection(Protocol):
    """One connection to the list: a call for the whole list, or a watch."""

    transport: Any

    def __init__(self, platform: SocketContext, dispatcher: DispatcherClient) -> None:
        self.platform = platform
        self.dispatcher = dispatcher
        self.parser = http.Parser()
        self.alive = True
        self.version = 0
        self.watch = False
        self.headers_sent = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.parser.feed(data)
        try:
            while (event := self.parser.next()) is not None:
                if isinstance(event, http.Head):
                    self.handle_request(event.message)
        except http.MessageError as error:
            self.transport.write(http.response(error.status, close=True))
            self.transport.loseConnection()

    def handle_request(self, message: http.Message) -> None:
        """Handle a request for the list."""
        url = urlsplit(message.target)
        query = parse_qs(url.query)
        if message.method != "GET" or url.path != "/discovery/hosts":
            self.transport.write(http.response(404))
            return
        self.watch = query.get("watch") == ["1"]
        since = query.get("from", ["0"])[0]
        version = int(since) if since.isdigit() else 0
        self.version = version if self.watch and version <= self.platform.listing.version else 0
        self.platform.listing.follow(self)  # type: ignore[arg-type]

    def notified(self, scope: ListScope, entries: tuple[Endpoint, ...], version: int) -> None:
        """Write an update of the list; close the connection where the call failed or the watch ended."""
        if not self.alive:
            return
        if scope in (ListScope.FAILED, ListScope.SILENT):
            if not self.headers_sent:
                self.transport.write(http.response(503, close=True))
            self.transport.loseConnection()
            return
        value = encode_list(version, entries, self.platform.addresses(self.dispatcher))
        value["snapshot"] = scope is ListScope.WHOLE
        line = json.dumps(value).encode() + b"\n"
        if not self.watch:
            self.platform.listing.forget(self)  # type: ignore[arg-type]
            self.transport.write(http.response(200, line, (("Content-Type", "application/json"),)))
            return
        self.version = version
        if not self.headers_sent:
            self.headers_sent = True
            self.transport.write(http.encode_head("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")]))
            self.platform.loop.after(HEARTBEAT_INTERVAL_MS, self.send_heartbeat)
        self.transport.write(http.chunk(line))

    def send_heartbeat(self) -> None:
        """Write an empty line, which shows that the list is in service."""
        if self.alive and not self.platform.listing.outages:
            self.transport.write(http.chunk(b"\n"))
            self.platform.loop.after(HEARTBEAT_INTERVAL_MS, self.send_heartbeat)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.alive = False
        self.platform.listing.forget(self)  # type: ignore[arg-type]
