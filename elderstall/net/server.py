"""The listener: clients, ``/up`` and workers' ``/callback`` on one address."""

from __future__ import annotations

import json
import math
import os
import re
from collections.abc import Callable
from dataclasses import replace
from itertools import islice
from typing import Any
from typing import Protocol as Shape
from urllib.parse import parse_qs, urlsplit

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from elderstall.deadlines import Deadline, Deadlines
from elderstall.engine import Engine, RepeatedIdError, TooManyJobsError
from elderstall.engine.job_transfer import JobTransfer
from elderstall.interface import Effect, Ending
from elderstall.log import Log
from elderstall.messages import Answer, Client, JobRequest, Outcome, Rejected, Served
from elderstall.net import http
from elderstall.net.peer import left, unread, unwritten
from elderstall.slots import Slots

READ_AT_ONCE = 16 * 1024  # bytes taken from a socket in one go: hundreds may send at once, in little memory
READ_AHEAD = http.MAX_HEAD + http.MAX_BODY  # bytes kept behind a request in hand: one more at its largest
CROWDED_AHEAD = 4 * 1024  # the same while all connections together keep more than they should
LOOK_AGAIN = 50.0  # ms between looks whether a client has left from which nothing is read
LINGER = 1_000.0  # ms of reading on after a last answer, so that a reset does not overtake it
ENDINGS = {"done": Ending.SERVED, "failed": Ending.ERROR, "returned": Ending.FULL, "lost": Ending.BROKEN}
BODY_PAUSE = 500.0  # ms: a body of which a part came this lately is slow, not given up
UNREAD_GRACE = 100.0  # ms for a request that lies unread when its connection's time is over
SHED_LOOKS = 8  # connections of one kind looked at for one with nothing unread, in one go
YOUNG = 100.0  # ms in which a new client's first request is on its way, however busy this program is
# Who goes first where descriptors run short: who has asked nothing yet, who has its last answer, who only
# asked for /up, clients and workers between requests, and last who is amid one whose head is good.
UNASKED, LEAVING, ASKED, RESTING, READING = range(5)
NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?")
BUDGET_MOST = 24 * 3_600_000.0

ReportOf = Callable[[object], tuple[float, ...]]


class Stream(Shape):
    """What waits for its client to read on."""

    def flush(self) -> None:
        """Write what has waited."""


class RequestError(Exception):
    """A request that gets its answer here; it reaches neither module nor worker."""

    def __init__(self, status: int, why: str, headers: tuple[tuple[str, str], ...] = ()) -> None:
        super().__init__(why)
        self.status, self.headers = status, headers


def retry_after(ms: float) -> tuple[tuple[str, str], ...]:
    """Write the header that tells a client when to come back."""
    return (("Retry-After", f"{ms / 1000:.3f}".rstrip("0").rstrip(".")),) if ms > 0 else ()


def number_of(text: str | None, name: str) -> float | None:
    """Read a header that holds a number, if it is there."""
    if text is None:
        return None
    if not NUMBER.fullmatch(text):  # float() would take "nan", "1_0" and more
        raise RequestError(400, f"{name} is no number")
    return float(text)


def info_of(text: str | None) -> dict[str, str]:
    """Read ``name=value,name=value``."""
    pairs = (part.partition("=") for part in (text or "").split(",") if part.strip())
    return {name.strip(): value.strip() for name, _, value in pairs}


def ask_of(message: http.Message, engine: Engine) -> JobRequest:
    """Read a client's job, or say what is wrong with it."""
    headers = message.headers
    try:
        url = urlsplit(message.target)
        keys = parse_qs(url.query, max_num_fields=50).get("obj")
    except ValueError:
        raise RequestError(400, "bad target") from None
    path_class = url.path.lstrip("/").split("/", 1)[0]
    job_class = headers.get("X-Call-Class")
    if path_class not in engine.classes and job_class is None:
        raise RequestError(404, "no such path")
    if message.method != "POST":
        raise RequestError(405, "jobs come by POST", (("Allow", "POST"),))
    if job_class not in engine.classes or job_class != path_class:
        raise RequestError(400, "X-Call-Class is missing, unknown or not that of the path")
    request_id = headers.get("X-Call-Id")
    if not request_id or len(request_id) > 256:
        raise RequestError(400, "X-Call-Id is missing or too long")
    budget = number_of(headers.get("X-Budget-Ms"), "X-Budget-Ms")
    if budget is None:
        raise RequestError(400, "X-Budget-Ms is missing")
    tenant = headers.get("X-Caller")
    if engine.tenants and tenant not in engine.tenants:
        raise RequestError(400, "X-Caller is missing or unknown")
    cost = number_of(headers.get("X-Call-Cost"), "X-Call-Cost")
    info = info_of(headers.get("X-Call-Info"))
    slots = number_of(info.get("cores_needed") or info.get("slots"), "X-Call-Info") or 1
    repeatable = engine.classes[job_class].effect is Effect.IDEMPOTENT
    return JobRequest(
        request_id,
        job_class,
        min(budget, BUDGET_MOST),
        message,
        tenant,
        keys[0] if keys else None,
        cost / 1000 if cost else None,
        max(1, int(slots)),
        repeatable,
    )


@implementer(IPushProducer)
class ServerConnection(Protocol):
    """One accepted connection: requests are answered one at a time, in order."""

    transport: Any  # ITCPTransport, as zope's interfaces say nothing to mypy

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = http.Parser()
        self.number = 0
        self.place: int | None = None  # among those that may go, see UNASKED
        self.placed = 0.0
        self.ended = False  # told to close; its descriptor is free soon
        self.message: http.Message | None = None  # being read
        self.ask: JobRequest | None = None  # what its head asks for
        self.body: list[bytes] = []
        self.size = 0  # bytes of that body, also while its job is out
        self.weight = 0  # bytes counted for this connection
        self.began = 0.0  # when the message began
        self.came = 0.0  # when its latest bytes came
        self.request_began: float | None = None  # when the first bytes of the request in hand or next came
        self.job: int | None = None  # out
        self.busy = False  # a request is being handled
        self.blocked = False  # the peer does not read
        self.stepping = False
        self.paused = False
        self.closing = False
        self.graced = False  # its time was over, and what lay unread then is being read
        self.client = False  # has handed in a job
        self.worker = False  # has called back about a live attempt
        self.requests = 0
        self.reason = "peer-closed"
        self.timer: Deadline | None = None
        self.looking: Deadline | None = None  # for its client's leaving, while nothing is read
        self.close_after = self.sent_away = False
        self.passing: int | None = None  # a copy of its descriptor, for the process that takes it over
        self.original: http.Message | None = None  # the request of the job that is out
        self.moved: JobTransfer | None = None  # the job that goes with it
        self.stream: Stream | None = None  # of the job that is out, where its client asked for events

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_AT_ONCE
        self.number = self.server.connections.add(self)
        self.transport.registerProducer(self, True)
        self.server.move(self, UNASKED)
        self.began = self.placed
        self.server.crowded()
        # From here on, not from its first byte: a peer that says nothing holds a descriptor all the same.
        self.wait(self.server.request_for, "silent")

    def wait(self, delay: float, reason: str) -> None:
        """Give the peer so long for what comes next."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.server.deadlines.after(delay, self.expire, reason)

    def expire(self, reason: str) -> None:
        """End a connection whose peer took too long; a body that still comes has a little longer."""
        if self.job is not None or self.busy:
            return
        now = self.server.deadlines.now()
        if self.message is not None and now < min(self.came + BODY_PAUSE, self.began + self.server.body_for):
            self.wait(BODY_PAUSE, reason)
        elif not self.graced and unread(self.transport):
            # A request, or the rest of one, has come in this very turn: it is read first.
            self.graced = True
            self.wait(UNREAD_GRACE, reason)
        elif self.message is not None or not self.parser.idle:
            self.finish(408, "slow-request", b"request took too long\n")
        else:
            self.end(reason)

    # ---- reading ----

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        if self.closing:
            return
        self.came = self.server.deadlines.now()
        if self.request_began is None:
            self.request_began = self.came
        if self.place in (ASKED, RESTING):
            # Guards against a later request without end; the first has its time from the connection's start.
            self.began = self.came
            self.server.move(self, READING)
            self.wait(self.server.request_for, "slow-request")
        self.parser.feed(data)
        self.step()

    def step(self) -> None:
        """Read what has come, as far as answers may go out."""
        if self.stepping:
            return
        self.stepping = True
        try:
            while not (self.busy or self.blocked or self.closing):
                event = self.parser.next()
                if event is None:
                    break
                self.take(event)
        except http.MessageError as error:
            self.finish(error.status, "bad-request", f"{error}\n".encode())
        except RequestError as denied:
            # Guards against the same again on the same connection, at once and hundreds of times.
            self.finish(denied.status, "bad-request", f"{denied}\n".encode(), denied.headers)
        except Exception as error:
            # Guards the other connections against a fault met in one request.
            self.server.log.failure("request", error)
            self.finish(500, "bug", b"internal error\n")
        finally:
            self.stepping = False
        self.weigh()
        most = READ_AHEAD if self.server.weight <= self.server.weight_most else CROWDED_AHEAD
        full = (self.busy or self.blocked) and len(self.parser.buffer) > most
        if full != self.paused and not self.closing:
            self.paused = full
            (self.transport.pauseProducing if full else self.transport.resumeProducing)()
            if full:
                self.watch_leaving()

    def watch_leaving(self) -> None:
        """Look for the peer's end by polls while nothing is read."""
        if self.looking is None:
            self.looking = self.server.deadlines.after(LOOK_AGAIN, self.look_for)

    def look_for(self) -> None:
        """See that a client from which nothing is read has left: its end lies behind what it has sent."""
        self.looking = None
        if not self.paused:
            return
        if not left(self.transport):
            self.looking = self.server.deadlines.after(LOOK_AGAIN, self.look_for)
        elif self.closing:
            self.end(self.reason)
        else:
            self.reason = "client-gone"
            self.transport.abortConnection()

    def weigh(self) -> None:
        """Count the bytes kept, against the limit for requests that are not whole yet."""
        weight = 0 if self.closing else len(self.parser.buffer) + self.size
        self.server.weight += weight - self.weight
        self.weight = weight
        if weight and not self.busy and not self.closing and self.server.weight > self.server.weight_most:
            if self.message is not None and self.ask is not None:
                self.server.engine.count_rejected(self.ask.job_class)
            self.finish(503, "memory", b"too much is being read\n", retry_after(self.server.busy_retry))

    def take(self, event: http.Event) -> None:
        """Gather a request."""
        if isinstance(event, http.Head):
            self.message, self.body, self.size = event.message, [], 0
            if event.message.version >= (1, 1) and len(event.message.headers.all("Host")) != 1:
                raise http.MessageError(400, "Host is missing or stands twice")
            # Before its body has come: what is wrong with a head is answered without reading on.
            self.ask = self.server.look(event.message)
            self.server.move(self, READING)
            expect = event.message.headers.tokens("Expect")
            if expect == ["100-continue"]:
                self.transport.write(http.response(100))
            elif expect:
                raise http.MessageError(417, "unknown expectation")
        elif isinstance(event, http.Data):
            self.body.append(event.data)
            self.size += len(event.data)
        elif self.message is not None:
            message, self.message = self.message, None
            message.body, self.body = b"".join(self.body), []
            self.requests += 1
            self.busy, self.close_after = True, not message.keep_alive
            self.server.move(self, None)
            if self.timer is not None:
                self.timer.cancel()
            try:
                self.server.handle(self, message)
            except RequestError as denied:
                if denied.status < 500:
                    raise
                self.reply(denied.status, f"{denied}\n".encode(), denied.headers)
            finally:
                self.request_began = self.came if len(self.parser.buffer) else None

    def time_since_request_began(self) -> float:
        """Say how long ago the first bytes of the request in hand came, ms: its client waits since then."""
        if self.request_began is None:
            return 0.0
        return self.server.deadlines.now() - self.request_began

    # ---- answering ----

    def reply(self, status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Answer the request in hand and go on to the next."""
        if not self.busy or self.closing:
            return
        close = self.close_after or self.server.closes(self)
        self.transport.write(http.response(status, body, headers, close))
        self.over(close)

    @property
    def more_came(self) -> bool:
        """Whether another request, or a part of one, has come behind the one in hand."""
        return not self.parser.idle or unread(self.transport)

    def over(self, close: bool) -> None:
        """Go on after an answer."""
        self.busy, self.job, self.original, self.size = False, None, None, 0
        if close:
            self.linger(self.server.close_reason(), discard=False)
        elif self.blocked:
            self.watch_reading()
        else:
            self.rest()

    def rest(self) -> None:
        """Wait for the next request, or go on with one that has come already."""
        if self.pass_on():
            return
        self.graced = False
        self.server.move(self, RESTING if self.client or self.worker else ASKED)
        self.wait(self.server.idle_for, "idle")
        if not self.parser.idle:
            self.began = self.server.deadlines.now()
            self.server.move(self, READING)
            self.wait(self.server.request_for, "slow-request")
        self.step()

    def pass_on(self) -> bool:
        """Leave a connection that is between requests to the process that takes over, if there is one.

        Nothing is shut down: what the client writes from here on waits in the kernel for the other process.
        """
        idle = not (self.busy or self.blocked or self.closing or self.message or self.paused)
        return idle and self.parser.idle and self.server.may_pass() and self.let_go()

    def pass_job(self) -> bool:
        """Leave a connection whose job is out to that process, with the job."""
        plain = self.busy and self.job is not None and self.stream is None and self.parser.idle
        if not plain or self.blocked or self.paused or self.closing or not self.server.may_pass():
            return False
        moved = self.server.engine.export_job(self.job or 0)
        if moved is None:
            return False
        self.moved, self.job = moved, None
        self.server.moving.add(moved.request_id)
        if not self.let_go():  # no descriptor is free for its copy: it goes on here
            self.server.take_back(self)
        return self.passing is not None

    def let_go(self) -> bool:
        """Close here, and keep a copy of the descriptor for the other process."""
        try:
            self.passing = os.dup(self.transport.fileno())
        except OSError:
            return False
        self.closing, self.reason = True, "passed"
        if self.timer is not None:
            self.timer.cancel()
        self.server.move(self, None)
        self.transport.unregisterProducer()
        # Twisted would shut the socket down for both; it still writes first what there is to write.
        self.transport._shouldShutdown = False
        self.transport.loseConnection()
        return True

    def finish(
        self,
        status: int,
        reason: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Answer what is no request to serve, and close."""
        self.busy = False
        self.transport.write(http.response(status, body, headers, close=True))
        self.linger(reason)

    def linger(self, reason: str, discard: bool = True) -> None:
        """Close our side, and the connection once the peer has closed its own, or a little later.

        ``discard``: what still comes belongs to a request that was refused half read, and is read so that
        no reset overtakes the answer. Else it would be a request of its own, which crosses the close: it
        is left unread, as its client sends one that was not read again, and loses one that was.
        """
        self.closing, self.reason = True, reason
        self.server.move(self, LEAVING)
        self.parser.buffer.clear()
        self.body, self.size = [], 0
        self.weigh()
        if self.paused is discard:
            self.paused = not discard
            (self.transport.resumeProducing if discard else self.transport.pauseProducing)()
        if self.paused:
            self.watch_leaving()
        if self.blocked:
            self.watch_reading()  # it closes once the peer has read its answer
        else:
            self.finish_closing()

    def finish_closing(self) -> None:
        """Close our side."""
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.server.deadlines.after(LINGER, self.end, self.reason)

    def end(self, reason: str) -> None:
        """Close the connection."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.closing:
            self.closing, self.reason = True, reason
            self.transport.unregisterProducer()
        self.server.move(self, None)
        self.ending()
        self.transport.loseConnection()
        # A peer that reads nothing would hold the connection for ever; one that is slow gets its answer.
        delay = self.server.write_for if unwritten(self.transport) else LINGER
        self.timer = self.server.deadlines.after(delay, self.transport.abortConnection)

    def ending(self) -> None:
        """Note that the descriptor will be free soon."""
        if not self.ended:
            self.ended = True
            self.server.ending += 1

    def shed(self) -> None:
        """Close at once, for want of descriptors; who is amid a request is told to come back."""
        if not self.closing and (self.message is not None or not self.parser.idle):
            if self.ask is not None:
                self.server.engine.count_rejected(self.ask.job_class)
            self.transport.write(
                http.response(503, b"too many connections\n", retry_after(self.server.busy_retry), close=True)
            )
        if self.closing:  # it has its answer; in the next turn, as it may be gone at once
            self.server.move(self, None)
            self.ending()
            self.server.deadlines.after(0.0, self.end, self.reason)
        else:
            self.end("crowded")

    @property
    def in_hand(self) -> bool:
        """Whether a request is being read or answered."""
        amid = self.busy or self.message is not None or self.blocked or not self.parser.idle
        return amid and not self.closing

    @property
    def may_shed(self) -> bool:
        """Whether nothing that is owed to the peer would be lost with the connection."""
        if self.closing:
            return not self.blocked and not unwritten(self.transport)
        return not unread(self.transport)

    # ---- the job's client ----

    def answered(self, answer: Answer) -> None:
        """Write the job's final answer."""
        self.job = None
        if isinstance(answer, Served):
            self.reply(200, answer.result, (("Content-Type", "application/octet-stream"),))
        elif isinstance(answer, Rejected):
            self.sent_away = self.server.shortened  # it had better find another dispatcher
            self.reply(503, b"refused\n", retry_after(answer.retry_after))
        else:
            self.reply(504 if answer.late else 502, b"failed\n")

    def progressed(self, share: float, text: str) -> None:
        """Plain answers carry no progress."""

    def here(self) -> bool:
        """Say whether the client is still there: its end may wait to be read."""
        return not left(self.transport)

    # ---- the peer's reading ----

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop answering while the peer does not read; it has so long to take what is there."""
        self.blocked = True
        if not self.busy:  # else the job's own deadline bounds the wait
            self.watch_reading()

    def watch_reading(self) -> None:
        """Give the peer so long to take its answer."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.server.deadlines.after(self.server.write_for, self.stuck)

    def stuck(self) -> None:
        """Give up on a peer that does not read."""
        self.reason = "slow-reader"
        self.transport.abortConnection()

    def resumeProducing(self) -> None:  # noqa: N802, D102
        if self.blocked:
            self.blocked = False
            if self.stream is not None:
                self.stream.flush()
            if self.closing:
                self.finish_closing()
            elif not self.busy:
                self.rest()

    def stopProducing(self) -> None:  # noqa: N802, D102
        pass

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.closing = True
        for waits in (self.timer, self.looking):
            if waits is not None:
                waits.cancel()
        job, self.job = self.job, None
        if job is not None:
            self.reason = "client-gone"
            self.server.engine.client_left(job)
        self.size = 0
        self.weigh()
        self.server.move(self, None)
        self.server.ending -= self.ended
        self.server.connections.remove(self.number)
        if self.passing is not None:
            self.server.passed(self, isinstance(reason.value, ConnectionDone))  # else it broke first
        else:
            self.server.log.ended(
                "client" if self.client else "peer", self.number, self.reason, f"{self.requests} requests"
            )
        self.server.crowded()


class Server(Factory):
    """The listener, and what its connections share."""

    noisy = False

    def __init__(
        self,
        engine: Engine,
        deadlines: Deadlines,
        log: Log,
        report_of: ReportOf,
        most: int = 600,
        soft: int = 500,
        weight_most: int = 8 * 1024 * 1024,
        idle_for: float = 75_000.0,
        request_for: float = 2_500.0,
        body_for: float = 15_000.0,
        write_for: float = 20_000.0,
        busy_retry: float = 1_000.0,
    ) -> None:
        self.engine, self.deadlines, self.log, self.report_of = engine, deadlines, log, report_of
        # Accepting stops one step before the table is full; the reactor may hand over a few in one go.
        self.connections: Slots[ServerConnection] = Slots()
        self.most, self.soft = most, soft
        # Bad clients are owed an answer or a close within 3 s: half a second is for a program under load.
        self.idle_for, self.request_for, self.write_for = idle_for, request_for, write_for
        self.body_for, self.busy_retry = body_for, busy_retry
        self.weight_most, self.weight = weight_most, 0  # bytes of requests not whole, and of all kept
        # Those that may go, by the order in which they do; in each the longest there first.
        self.places: tuple[dict[int, ServerConnection], ...] = tuple({} for _ in range(READING + 1))
        self.ending = 0  # connections told to close
        self.looking: Deadline | None = None
        self.draining = False
        self.shortened, self.until = False, math.inf  # jobs are taken only for the time until then
        self.leaving = False  # clients are let go
        self.accept: Callable[[bool], None] = lambda on: None  # turns the listening port's reading on or off
        self.accepting = True
        self.may_pass: Callable[[], bool] = lambda: False  # whether another process takes connections over
        self.hand: Callable[..., bool] = lambda fd, **fields: False  # gives it one
        # Serves on with one that the other process could not be given.
        self.keep: Callable[[int, dict[str, Any]], None] = lambda fd, fields: os.close(fd)
        self.ask_others: Callable[[Any], Deferred[bool] | None] = lambda call: None  # about a call-back
        # Ids of jobs let go of and not yet handed over: a call-back that comes meanwhile is to come again.
        self.moving: set[str] = set()
        self.elsewhere = 0  # connections of the other process, which count against our limits
        self.on_closed: Callable[[], None] = lambda: None

    def buildProtocol(self, addr: object) -> Protocol | None:  # noqa: N802, D102
        return ServerConnection(self)

    def move(self, c: ServerConnection, place: int | None) -> None:
        """Note what a connection does, for when some must go."""
        if c.place is not None:
            self.places[c.place].pop(c.number, None)
        c.place, c.placed = place, self.deadlines.now()
        if place is not None:
            self.places[place][c.number] = c

    def sheddable(self) -> ServerConnection | None:
        """Give the connection that can best be done without."""
        now = self.deadlines.now()
        for place, table in enumerate(self.places):
            for c in islice(table.values(), SHED_LOOKS):
                if place <= LEAVING and now - c.placed < YOUNG:
                    break
                if c.may_shed:
                    return c
        return None

    @property
    def room(self) -> int:
        """How many more connections may come in."""
        return self.most - self.elsewhere - len(self.connections)

    def crowded(self) -> None:
        """Keep descriptors back: past the soft limit some clients go, past the hard one none come in.

        Guards the usual clients and workers' call-backs against hundreds that connect and say nothing.
        """
        soft = self.soft - self.elsewhere
        while len(self.connections) - self.ending > soft and (c := self.sheddable()) is not None:
            c.shed()
        if (on := self.room > 0) is not self.accepting:
            self.accepting = on
            self.accept(on)
        if len(self.connections) - self.ending > soft and self.looking is None:
            self.looking = self.deadlines.after(YOUNG, self.look_again)  # the youngest will be older then
        if not self.connections:
            self.on_closed()

    def look_again(self) -> None:
        """See whether some may go now."""
        self.looking = None
        self.crowded()

    @property
    def working(self) -> int:
        """How many connections have a request in hand."""
        return len(self.connections) - self.ending - sum(map(len, self.places))

    def closes(self, connection: ServerConnection) -> bool:
        """Say whether a connection ends after its answer."""
        # Not yet while draining: clients that we send away may find no other dispatcher just then.
        # Nor where another process serves: it gets the connection.
        # Nor before what has come behind that request is answered too.
        leaves = (self.leaving or connection.sent_away) and connection.client
        return leaves and not self.may_pass() and not connection.more_came

    def close_reason(self) -> str:
        """Name the reason of such an end."""
        return "drain" if self.draining else "closed-after"

    # ---- requests ----

    def look(self, message: http.Message) -> JobRequest | None:
        """Check a head; a job's gives what it asks for."""
        path = message.target.split("?", 1)[0]
        method = {"/up": "GET", "/callback": "POST"}.get(path)
        if method is None:
            return ask_of(message, self.engine)
        if message.method != method:
            raise RequestError(405, f"{method} only", (("Allow", method),))
        return None

    def handle(self, c: ServerConnection, message: http.Message) -> None:
        """Answer a request."""
        if c.ask is not None:
            ask, c.ask = c.ask, None
            self.job(c, message, ask)
        elif message.method == "POST":
            others = self.callback(c, message)
            if others is None:
                c.reply(204)
            else:
                others.addCallback(self.heard, c, json.loads(message.body))
        else:
            c.reply(503 if self.draining else 200, b"draining\n" if self.draining else b"up\n")

    def retuned(self) -> None:
        """Check the heads anew that were checked under other settings, and whose bodies still come."""
        for c in self.connections:
            if c.ask is not None and c.message is not None and not c.closing:
                try:
                    c.ask = self.look(c.message)
                except RequestError as denied:
                    c.finish(denied.status, "bad-request", f"{denied}\n".encode(), denied.headers)

    def job(self, c: ServerConnection, message: http.Message, ask: JobRequest) -> None:
        """Take a client's job."""
        c.client = True
        ask = replace(ask, budget=max(0.0, ask.budget - c.time_since_request_began()))
        if not self.may_pass():  # else it moves on with the job
            left = self.until - self.deadlines.now()
            if left <= 0:
                raise self.turned_away(ask, "shutting down")
            if self.shortened:  # guards against a job that is lost with the process
                ask = replace(ask, budget=min(ask.budget, left))
        if self.working > self.soft - self.elsewhere:
            # Guards the descriptors that workers' call-backs need.
            raise self.turned_away(ask, "too many connections")
        if self.weight > 2 * self.weight_most:
            raise self.turned_away(ask, "too much is kept")
        self.submit(c, message, ask)

    def turned_away(self, ask: JobRequest, why: str) -> RequestError:
        """Refuse a job that there is no room for: for the figures it is one refused."""
        self.engine.count_rejected(ask.job_class)
        return RequestError(503, why, retry_after(self.busy_retry))

    def submit(self, c: ServerConnection, message: http.Message, ask: JobRequest) -> None:
        """Hand a job in for a plain answer."""
        self.enter(c, c, ask, message)

    def enter(self, c: ServerConnection, client: Client, ask: JobRequest, message: http.Message) -> None:
        """Hand a job to the engine."""
        try:
            number = self.engine.accept(ask, client)
        except RepeatedIdError:
            raise RequestError(400, "a job with this X-Call-Id is live or was answered") from None
        except TooManyJobsError:
            raise self.turned_away(ask, "too many jobs") from None
        if c.busy:  # else it has been answered already
            c.job, c.original = number, message

    def callback(self, c: ServerConnection, message: http.Message) -> Deferred[bool] | None:
        """Take what a worker tells; only a live attempt's own worker is heard.

        A job that is not this process's may be that of the other one of an upgrade, which is then asked.
        """
        try:
            call: Any = json.loads(message.body)
        except (ValueError, RecursionError):
            raise RequestError(400, "no JSON") from None
        if not isinstance(call, dict):
            raise RequestError(400, "no JSON object")
        request_id, worker, state = call.get("id"), call.get("from"), call.get("state")
        if not (isinstance(request_id, str) and isinstance(worker, str) and isinstance(state, str)):
            raise RequestError(400, "id, from and state are text")
        if not self.engine.jobs.knows(request_id) and (others := self.ask_others(call)) is not None:
            c.worker = True
            return others
        if self.called(call):
            c.worker = True
        return None

    def heard(self, good: bool, c: ServerConnection, call: Any) -> None:
        """Answer a call-back that the other process was asked about; its job may have come over by now."""
        self.called(call)
        # Without the other's word, or while its job is still on the way, the worker is to try again.
        c.reply(204 if good and call["id"] not in self.moving else 503)

    def called(self, call: Any) -> bool:
        """Act on what a worker tells of a job here; say whether its attempt is live."""
        request_id, worker, state = call["id"], call["from"], call["state"]
        attempt = self.engine.jobs.live_attempt(request_id, worker)
        if attempt is None:
            return False
        if state in ("started", "running"):
            share = call.get("share")
            done = float(share) if isinstance(share, int | float) and 0 <= share <= 1 else 0.0
            self.engine.attempts.worker_started(attempt, done, started=state == "started")
        elif state in ENDINGS:
            result = call.get("result", "")
            text = result if isinstance(result, str) else json.dumps(result)
            self.engine.attempts.worker_ended(
                attempt,
                Outcome(
                    ENDINGS[state], text.encode("utf-8", "surrogatepass"), self.report_of(call.get("load"))
                ),
            )
        else:
            self.log.write("callback", f"{worker}: unknown state {state!r}")
        return True

    # ---- an upgrade ----

    def streamed(self) -> list[str]:
        """Give the ids of jobs that must not run again for a reconnect; the second front has such."""
        return []

    def inherit(self, streamed: list[str]) -> None:
        """Take those of the process that hands over."""

    def pass_all(self) -> None:
        """Hand over the connections between requests and those whose jobs can move, as many as may."""
        for c in [c for place in (RESTING, ASKED, UNASKED) for c in self.places[place].values()]:
            if not self.may_pass():
                return
            c.pass_on()
        for c in self.connections:
            if c.job is not None and self.may_pass():
                c.pass_job()

    def take_back(self, c: ServerConnection) -> None:
        """Go on with a job that could not leave."""
        moved, c.moved = c.moved, None
        if moved is not None and c.original is not None:
            self.moving.discard(moved.request_id)
            if self.engine.jobs.live.full:
                self.engine.reject_transfer(moved, c)
                return
            number = self.engine.import_job(moved, c.original, c)
            if c.busy:
                c.job = number

    def passed(self, c: ServerConnection, whole: bool) -> None:
        """Give a connection that this process has let go of to the other one."""
        fd, c.passing = c.passing, None
        if fd is None:
            return
        if c.moved is not None:
            self.moving.discard(c.moved.request_id)
        fields: dict[str, Any] = {
            "client": c.client,
            "worker": c.worker,
            "asked": c.requests,
            "age": self.deadlines.now() - c.began,
        }
        if c.moved is not None and c.original is not None:
            fields |= {
                "job": self.engine.encode_transfer(c.moved),
                "parcel": c.original.plain(),
                "last": c.close_after,
            }
        if not whole:  # its client is gone
            os.close(fd)
            if c.moved is not None:
                self.engine.abandon_transfer(c.moved)
        elif not self.hand(fd, **fields):  # the other process is gone meanwhile
            self.keep(fd, fields)

    def adopted(self, c: ServerConnection, fields: dict[str, Any]) -> None:
        """Go on with a connection that the other process has handed over, and with its job if one is out."""
        c.client, c.worker, c.requests = fields["client"], fields["worker"], fields["asked"]
        if "job" in fields:
            c.original = http.Message.from_plain(fields["parcel"])
            c.busy, c.close_after, c.size = True, fields["last"], len(c.original.body)
            c.moved = self.engine.decode_transfer(fields["job"])
            self.move(c, None)
            if c.timer is not None:
                c.timer.cancel()
            self.take_back(c)
        elif c.requests:
            c.rest()
        else:
            c.began -= fields["age"]
            c.wait(max(0.0, self.request_for - fields["age"]), "silent")

    # ---- the end ----

    def drain(self) -> None:
        """Say at ``/up`` that the program ends; clients are served on until ``let_go``."""
        self.draining = True

    def let_go(self) -> None:
        """End clients' connections between requests; the others end with their answer."""
        self.leaving = True
        for c in self.connections:
            idle = not (c.busy or c.closing or c.message) and c.parser.idle
            # What has come and is not read yet is answered first; its connection ends with that.
            if c.client and idle and not c.pass_on() and not unread(c.transport):
                c.linger("drain", discard=False)

    def last_look(self) -> bool:
        """Close what is left between requests; say that nothing has come that is not read yet."""
        there = [c for c in self.connections if not c.closing]
        for c in [c for c in there if not unread(c.transport)]:
            c.linger("drain", discard=False)
        return all(c.closing for c in there)

    @property
    def quiet(self) -> bool:
        """Whether no request is in hand or still being written."""
        return not any(c.in_hand or unwritten(c.transport) for c in self.connections)
