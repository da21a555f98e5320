"""The worker model on loopback sockets: requests, call-backs and the list in the published protocol.

The same worker hosts, faults and list as in virtual time, hosted in real time. What HTTP needs stands here;
what a worker does with a job stands in ``worker.py``.
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

HEARTBEAT = 2_000.0  # ms between the empty lines of a watch
CALL_WAIT = 2_000.0  # ms that a dispatcher may take over a call-back
CALLS_MOST = 10_000  # call-backs that wait for one dispatcher; of more the oldest are dropped, and counted
STATES = {
    Ending.SERVED: "done",
    Ending.ERROR: "failed",
    Ending.FULL: "returned",
    Ending.BROKEN: "lost",
}


class RealCall:
    """A call to come, as the worker hosts use it."""

    def __init__(self, when: float, call: Any) -> None:
        self.when, self.call = when, call

    def active(self) -> bool:
        """Say whether it is still to come."""
        return bool(self.call.active())

    def stop(self) -> None:
        """Forget it if it is still to come."""
        if self.call.active():
            self.call.cancel()


class RealTime:
    """A clock in milliseconds since the start, and a reactor's calls on it."""

    def __init__(self, reactor: Any, seconds: Callable[[], float]) -> None:
        self.reactor, self.seconds = reactor, seconds
        self.began = seconds()

    @property
    def now(self) -> float:
        """Read the clock."""
        return (self.seconds() - self.began) * 1000

    def after(self, delay: float, function: Callable[..., object], *args: Any) -> RealCall:
        """Call after so many milliseconds."""
        delay = max(0.0, delay)
        return RealCall(self.now + delay, self.reactor.callLater(delay / 1000, function, *args))

    def at(self, when: float, function: Callable[..., object], *args: Any) -> RealCall:
        """Call at a reading of ``now``."""
        return self.after(when - self.now, function, *args)


class SocketJob:
    """What a worker host asks of the request behind an attempt."""

    def __init__(self, load: ClassLoad, work: float, slots: int) -> None:
        self.load, self.work, self.slots, self.saved, self.runs = load, work, slots, 0.0, 0

    @property
    def safe(self) -> bool:
        """Whether running it twice does no harm."""
        return self.load.cls.effect is Effect.IDEMPOTENT


class SocketAttempt:
    """One attempt that came over a socket."""

    def __init__(self, link: WorkerLink, request_id: str, job: SocketJob, ends: float) -> None:
        self.link, self.request_id, self.job, self.ends = link, request_id, job, ends
        self.worker_host, self.upstream = link.worker_host, link.caller
        self.task: Task | None = None
        self.number = 0

    def answered(self, outcome: Outcome | None) -> None:
        """Answer on its connection: taken, or turned away."""
        if outcome is None:
            self.link.answer(202)
        else:
            self.worker_host.attempts.pop(self.request_id, None)  # type: ignore[attr-defined]
            load = self.worker_host.load_json(outcome.report)  # type: ignore[attr-defined]
            report = (("X-Load-Report", json.dumps(load)),) if load else ()
            self.link.answer(503, (("X-Rejected", "1"), *report))

    def link_lost(self) -> None:
        """Reset its connection."""
        self.link.transport.abortConnection()


class SocketSurroundings(Interface):
    """What connections need of the socket simulation that they are part of."""

    reactor: Any
    loop: RealTime
    classes: dict[str, ClassLoad]
    listing: ListService

    def count(self) -> int:
        """Give a new connection its number."""

    def addresses(self, caller: Caller) -> dict[str, str]:
        """Give the workers' addresses as one dispatcher reaches them."""

    def job(self, load: ClassLoad, message: http.Message) -> SocketJob:
        """Work out what a job costs."""

    def ends(self, message: http.Message) -> float:
        """Say when its sender stops waiting."""


class WorkerLink(Protocol):
    """One connection that a dispatcher has opened to a worker host."""

    transport: Any

    def __init__(self, worker_host: WorkerHost, caller: Caller) -> None:
        self.worker_host, self.caller, self.stage = worker_host, caller, caller.stage
        self.parser = http.Parser()
        self.body: list[bytes] = []
        self.message: http.Message | None = None
        self.number = 0
        self.open, self.unreachable, self.busy = True, False, False
        self.ready_at = 0.0  # when its handshake is done

    def connectionMade(self) -> None:  # noqa: N802, D102
        worker_host = self.worker_host
        self.number = self.stage.count()
        self.transport.setTcpNoDelay(True)
        if len(worker_host.links) >= worker_host.kind.connections:
            self.transport.abortConnection()
            return
        worker_host.links.add(self)  # type: ignore[arg-type]
        worker_host.model.connections = len(worker_host.links)
        worker_host.process_events(
            worker_host.model.charge(self.stage.loop.now, worker_host.kind.connection_work)
        )
        self.ready_at = self.stage.loop.now + worker_host.model.backlog()

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
                    self.stage.loop.at(self.ready_at, self.take, message)
        except http.MessageError as error:
            self.answer(error.status, close=True)

    def take(self, message: http.Message) -> None:
        """Take a request: a job, or the end of one."""
        if not self.open:
            return
        path = urlsplit(message.target).path
        if message.method == "DELETE" and path.startswith("/jobs/"):
            attempt = self.worker_host.attempts.get(unquote(path[6:]))  # type: ignore[attr-defined]
            if attempt is not None and not self.worker_host.model.paused:
                self.worker_host.cancel(attempt)
            self.answer(204)
            return
        request_id, name = message.headers.get("X-Call-Id"), path.lstrip("/").split("/", 1)[0]
        load = self.stage.classes.get(name)
        if message.method != "POST" or load is None or not request_id:
            self.answer(404)
            return
        try:
            attempt = SocketAttempt(self, request_id, self.stage.job(load, message), self.stage.ends(message))
        except ValueError:
            self.answer(400)
            return
        self.worker_host.attempts[request_id] = attempt  # type: ignore[attr-defined]
        self.worker_host.receive(attempt, self)  # type: ignore[arg-type]

    def answer(self, status: int, headers: tuple[tuple[str, str], ...] = (), close: bool = False) -> None:
        """Write an answer and go on to the next request."""
        if not self.open or self.worker_host.silent_faults:
            return
        self.busy = False
        self.transport.write(http.response(status, b"", headers, close))
        if close:
            self.transport.loseConnection()
        else:
            self.dataReceived(b"")

    def close(self) -> None:
        """Reset it; see ``upstream.Link``."""
        self.transport.abortConnection()

    def reset(self) -> None:
        """Reset it; see ``upstream.Link``."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.open = False
        self.worker_host.links.discard(self)
        self.worker_host.model.connections = len(self.worker_host.links)
        for attempt in list(self.worker_host.attempts.values()):  # type: ignore[attr-defined]
            if attempt.link is self and self.busy and attempt.task is not None:
                self.worker_host.cancel(attempt)  # closed before the 202: given up


class Factories(Factory):
    """Makes protocols by a function."""

    noisy = False

    def __init__(self, make: Callable[[], Protocol]) -> None:
        self.make = make

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802, D102
        return self.make()


class Caller:
    """Calls one dispatcher back: one call at a time, in order, over a connection that is kept."""

    alive = True  # what worker hosts ask of a dispatcher's process

    def __init__(self, stage: SocketSurroundings, rank: int, host: str, port: int) -> None:
        self.stage, self.rank, self.host, self.port = stage, rank, host, port
        self.process = self.dispatcher_host = self
        self.waiting: deque[tuple[dict[str, Any], int]] = deque()
        self.dropped = self.delivered = self.failed = 0
        self.link: CallLink | None = None
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
        load = attempt.worker_host.load_json(outcome.report)  # type: ignore[attr-defined]
        if load:
            call["load"] = load
        attempt.worker_host.attempts.pop(attempt.request_id, None)  # type: ignore[attr-defined]
        self.queue(call)

    def progress_reported(self, attempt: SocketAttempt, share: float, started: bool = False) -> None:
        """Report a start, or progress."""
        state = {"state": "started"} if started else {"state": "running", "share": round(share, 4)}
        self.queue({"id": attempt.request_id, "from": attempt.worker_host.name, **state})

    def queue(self, call: dict[str, Any], tries: int = 10) -> None:
        """Have a call made; bounded, as a dispatcher may be gone for long."""
        if len(self.waiting) >= CALLS_MOST:
            self.waiting.popleft()
            self.dropped += 1
        self.waiting.append((call, tries))
        self.next()

    def next(self) -> None:
        """Make the next call, if none is being made."""
        if not self.waiting or self.connecting or (self.link is not None and self.link.call is not None):
            return
        if self.link is not None:
            call, tries = self.waiting.popleft()
            self.timer = self.stage.loop.after(CALL_WAIT, self.link.transport.abortConnection)
            self.link.send(call, tries)
            return
        self.connecting = True
        endpoint: Any = TCP4ClientEndpoint(self.stage.reactor, self.host, self.port, timeout=CALL_WAIT / 1000)
        endpoint.connect(Factories(lambda: CallLink(self))).addCallbacks(self.up, self.down)

    def up(self, link: CallLink) -> None:
        """Go on over a connection that has come up."""
        self.connecting, self.link = False, link
        self.next()

    def down(self, _: Failure) -> None:
        """Count a try of the call at the head, and try again a moment later."""
        self.connecting = False
        if self.waiting:
            call, tries = self.waiting.popleft()
            if tries > 1:
                self.waiting.appendleft((call, tries - 1))
            else:
                self.failed += 1
        self.stage.loop.after(300.0, self.next)

    def over(self, good: bool, call: dict[str, Any], tries: int) -> None:
        """Take a call's answer."""
        if self.timer is not None:
            self.timer.stop()
        if good:
            self.delivered += 1
        elif tries > 1:
            self.stage.loop.after(300.0, self.queue, call, tries - 1)
        else:
            self.failed += 1
        self.next()


class CallLink(Protocol):
    """A connection to a dispatcher, for call-backs."""

    transport: Any

    def __init__(self, caller: Caller) -> None:
        self.caller, self.parser = caller, http.Parser(responses=True)
        self.call: tuple[dict[str, Any], int] | None = None
        self.status = 0

    def send(self, call: dict[str, Any], tries: int) -> None:
        """Write one call."""
        self.call = call, tries
        self.transport.write(
            http.request(
                "POST", "/callback", f"{self.caller.host}:{self.caller.port}", (), json.dumps(call).encode()
            )
        )

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.parser.feed(data)
        try:
            while (event := self.parser.next()) is not None:
                if isinstance(event, http.Head):
                    self.status = event.message.status
                elif isinstance(event, http.End) and self.call is not None:
                    (call, tries), self.call = self.call, None
                    self.caller.over(self.status in (200, 204), call, tries)
        except http.MessageError:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        if self.caller.link is self:
            self.caller.link = None
        pending, self.call = self.call, None
        if pending is not None:
            self.caller.over(False, *pending)
        else:
            self.caller.next()


class ListLink(Protocol):
    """One caller of the list: the whole, or a watch."""

    transport: Any

    def __init__(self, stage: SocketSurroundings, caller: Caller) -> None:
        self.stage, self.caller = stage, caller
        self.parser = http.Parser()
        self.alive, self.version, self.watch, self.begun = True, 0, False, False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.parser.feed(data)
        try:
            while (event := self.parser.next()) is not None:
                if isinstance(event, http.Head):
                    self.ask(event.message)
        except http.MessageError as error:
            self.transport.write(http.response(error.status, close=True))
            self.transport.loseConnection()

    def ask(self, message: http.Message) -> None:
        """Take a call."""
        url = urlsplit(message.target)
        query = parse_qs(url.query)
        if message.method != "GET" or url.path != "/discovery/hosts":
            self.transport.write(http.response(404))
            return
        self.watch = query.get("watch") == ["1"]
        since = query.get("from", ["0"])[0]
        version = int(since) if since.isdigit() else 0
        self.version = version if self.watch and version <= self.stage.listing.version else 0
        self.stage.listing.follow(self)  # type: ignore[arg-type]

    def notified(self, scope: ListScope, entries: tuple[Endpoint, ...], version: int) -> None:
        """Write news of the list; a call that failed, or a watch that ends, says so."""
        if not self.alive:
            return
        if scope in (ListScope.FAILED, ListScope.SILENT):
            if not self.begun:
                self.transport.write(http.response(503, close=True))
            self.transport.loseConnection()
            return
        value = encode_list(version, entries, self.stage.addresses(self.caller))
        value["snapshot"] = scope is ListScope.WHOLE
        line = json.dumps(value).encode() + b"\n"
        if not self.watch:
            self.stage.listing.forget(self)  # type: ignore[arg-type]
            self.transport.write(http.response(200, line, (("Content-Type", "application/json"),)))
            return
        self.version = version
        if not self.begun:
            self.begun = True
            self.transport.write(http.head_of("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")]))
            self.stage.loop.after(HEARTBEAT, self.beat)
        self.transport.write(http.chunk(line))

    def beat(self) -> None:
        """Say that the list lives."""
        if self.alive and not self.stage.listing.outages:
            self.transport.write(http.chunk(b"\n"))
            self.stage.loop.after(HEARTBEAT, self.beat)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.alive = False
        self.stage.listing.forget(self)  # type: ignore[arg-type]
