"""The carrier to card workers: keep-alive pools, sends and cancels over HTTP."""

from __future__ import annotations

import errno
import json
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, NamedTuple
from typing import Protocol as Shape
from urllib.parse import quote

from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.internet.error import ConnectBindError
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from elderstall.deadlines import Deadline, Deadlines
from elderstall.interface import Ending
from elderstall.log import Log
from elderstall.messages import JobRequest, Outcome
from elderstall.net import http
from elderstall.net.peer import unread
from elderstall.slots import Slots

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
        "x-budget-ms",
    }
)
LOAD = "/metrics/load"  # where a worker says how it stands
PROBE_WAIT = 1.0  # connect time-outs that an answer to that may take
ANSWER_FOR = 1_000.0  # ms in which an answer that has begun with a 202 has to end
RECALL_WAIT = 2_000.0  # ms that a DELETE may take; its worker may have vanished
ACCEPT_WAIT = 4.0  # connect time-outs within which a worker says that it has a job, else the path is dead
TELL_WAIT = 0.4  # connect time-outs that a worker which has said nothing has to hear of that
ACCEPT_SOON = 1.0  # the same for jobs that may be sent again: a wrong guess only costs work
STALE_WITHIN = 50.0  # ms: a reused connection that breaks this soon after a request was gone before it
KEEP_LEAST = 20.0  # ms that a free connection is kept in any case, for what follows at once
RECENT = 0.98  # of what was counted of connections' uses remains after each: some fifty count
STALE_RATIO = 2.0  # times as often as new connections must kept ones break to be taken for cut
SUSPECT = 1_000.0  # ms: while free connections are kept for less, jobs not to be repeated go over new ones
NEW_BROKE = 0.5  # of breaks of new connections, decayed: from one some thirty uses ago
ENDING_MOST = 8  # connections told to close at once to make room: they hold descriptors for one turn more
BUDGET_MARGIN = 20.0  # ms that a worker hears less than is left, for a process held up as it writes
BUDGET_MARGIN_PART = 0.05  # of the time left that this takes at most: little time is not made much less
WRITE_RETRY = 5.0  # ms after which a request is written again of which the system took no byte
# Of a connection that cannot be opened: a want of this machine, no sign that the worker is out of reach.
LOCAL_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN}
)
KEEP_AGAIN = 10_000.0, 60_000.0  # ms after which connections are kept twice as long again: first, and at most

Connect = Callable[[str, Factory], Deferred["WorkerConnection"]]  # to an address, within the time allowed


@dataclass(slots=True, frozen=True)
class WorkerRequest:
    """A request to a worker, made into bytes in the step that writes it: not before its connection is up."""

    method: str
    target: str
    host: str
    fields: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    ends: float = math.inf  # reading of the clock at which an attempt's time is over; others have no end

    def render(self, now: float) -> bytes | None:
        """Give its bytes, an attempt's with the time that is left by now; None where none is."""
        fields = list(self.fields)
        if self.ends < math.inf:
            budget = budget_to_send(self.ends - now)
            if budget <= 0:
                return None
            fields.append(("X-Budget-Ms", str(budget)))
        return http.request(self.method, self.target, self.host, fields, self.body)


def budget_to_send(left: float) -> int:
    """Give the whole ms that a worker hears: at most what will be left once the bytes are written."""
    return int(left - min(BUDGET_MARGIN, left * BUDGET_MARGIN_PART))


def is_local(error: BaseException | None) -> bool:
    """Say whether a connection failed to open for want of something on this machine."""
    return (
        isinstance(error, ConnectBindError)
        or getattr(error, "osError", None) in LOCAL_ERRORS
        or (isinstance(error, OSError) and error.errno in LOCAL_ERRORS)
    )


class Exchange(Shape):
    """What takes the answer to one request on a worker's connection."""

    tells: bool  # whether its end tells how well connections hold; not of what follows on a break

    def forbidden_by(self) -> str | None:
        """Name what forbids the request by now; asked once its connection has come up."""

    def head(self, message: http.Message) -> None:
        """Take the answer's head."""

    def data(self, data: bytes) -> None:
        """Take bytes of its body."""

    def done(self, maybe_accepted: bool = False, answer_begun: bool = False) -> None:
        """Take its end; ``unclear``: it may be another request's, ``spoke``: with this one's behind it."""

    def written(self) -> None:
        """Learn that the request's last byte was written."""

    def broke(self, ending: Ending, answer_begun: bool = False, unreached: bool = False) -> None:
        """Take the connection's end before that: unreachable if the request's last byte was not written.

        ``spoke``: the worker had begun to answer. ``unreached``: see ``messages.Outcome``.
        """

    @property
    def ends_it(self) -> bool:
        """Whether the answer, if it is another request's, would undo this one: then its connection ends."""


@implementer(IPullProducer)
class WorkerConnection(Protocol):
    """One connection to a worker: one request at a time."""

    transport: Any  # ITCPTransport, as zope's interfaces say nothing to mypy

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.parser = http.Parser(responses=True)
        self.exchange: Exchange | None = None
        self.request: WorkerRequest | None = None  # until its first byte is written
        self.unsent = b""  # what the system did not take at once
        self.retry_timer: Deadline | None = None
        self.written = False
        self.reusable = False
        self.reason = "worker-closed"
        self.number = 0
        self.idle_timer: Deadline | None = None
        self.began = 0.0  # when its request was handed over
        self.rested: float | None = None  # when it became free, if it was used before
        self.unused_for = 0.0  # ms that it was free before this request
        self.answered: Exchange | None = None  # hears of its answer's end when the connection has ended
        self.maybe_accepted = False, False  # what it hears, see Exchange

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.transport.setTcpNoDelay(True)
        self.number = self.pool.workers.connections.add(self)

    def start(self, request: WorkerRequest, exchange: Exchange, max_body: int = http.MAX_BODY) -> None:
        """Write a request."""
        self.stop_idle_timer()
        self.began = self.pool.workers.deadlines.now()
        self.unused_for = 0.0 if self.rested is None else self.began - self.rested
        if exchange.tells:
            self.pool.workers.used(self)
        self.parser.max_body = max_body
        self.request, self.exchange, self.written = request, exchange, False
        self.write_request()

    def stop_idle_timer(self) -> None:
        """Let the connection live on."""
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def write_request(self) -> None:
        """Hand the request to the system at once, with the time that is left now.

        What the system does not take is left to the transport, which asks for more once that is all written.
        """
        self.retry_timer = None
        request, exchange = self.request, self.exchange
        if request is None or exchange is None:
            return
        data = request.render(self.pool.workers.deadlines.now())
        if data is None:
            self.take_back(exchange)
            return
        taken = self.transport.writeSomeData(data)
        if isinstance(taken, Exception) or taken < 0:
            self.drop("write-failed")  # the exchange hears that nothing was written once it has ended
        elif taken == 0:
            self.retry_timer = self.pool.workers.deadlines.after(WRITE_RETRY, self.write_request)
        elif taken < len(data):
            self.request, self.unsent = None, data[taken:]
            self.transport.registerProducer(self, False)
        else:
            self.request = None
            self.all_written()

    def take_back(self, exchange: Exchange) -> None:
        """Keep the connection, as the time of its attempt was over before a byte was written."""
        self.request = self.exchange = None
        self.pool.workers.log.write("rule", f"nothing written to {self.pool.name}: no time left")
        self.pool.rest(self)
        exchange.broke(Ending.NEVER_SENT)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the rest, or learn that its last byte has left the program (handed over isn't sent)."""
        if self.unsent:
            data, self.unsent = self.unsent, b""
            self.transport.write(data)
        elif not self.written:
            self.transport.unregisterProducer()
            self.all_written()

    def all_written(self) -> None:
        """Note that the request's last byte was written."""
        self.written = True
        if self.exchange is not None:
            self.exchange.written()

    def stopProducing(self) -> None:  # noqa: N802, D102
        pass

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.parser.feed(data)
        try:
            if self.exchange is None:
                raise http.MessageError(502, "bytes without a request")
            while self.exchange is not None and (event := self.parser.next()) is not None:
                self.step(event)
        except http.MessageError as error:
            self.drop("bad-answer", str(error))

    def step(self, event: http.Event) -> None:
        """Pass one event of the answer on."""
        exchange = self.exchange
        assert exchange is not None
        if isinstance(event, http.Head):
            if 100 <= event.message.status < 200:
                self.parser.next()  # its End; the answer is still to come
                return
            self.reusable = event.message.keep_alive
            exchange.head(event.message)
        elif isinstance(event, http.Data):
            exchange.data(event.data)
        else:
            # Idle before the exchange hears of it, so that what it sends next finds this connection.
            self.exchange = None
            doubtful = self.rested is not None and exchange.ends_it
            if self.reusable and self.written and self.parser.idle and not doubtful:
                self.pool.rest(self)
                exchange.done()
            else:
                # Guards against two copies: the answer may be the second one to what this connection carried
                # before. Once it is closed the attempt is given up in any case, and may be told as ended;
                # but not if this one's 202 has come behind it.
                self.answered, self.maybe_accepted = exchange, (doubtful, doubtful and self.answer_begun)
                self.drop("worker-close")

    @property
    def answer_begun(self) -> bool:
        """Whether the worker has begun to say something that is not read to its end."""
        return not self.parser.idle or unread(self.transport)

    @property
    def quick(self) -> bool:
        """Whether the request was handed over only just now."""
        return self.pool.workers.deadlines.now() - self.began <= STALE_WITHIN

    def broken_as(self, gone: bool) -> Ending:
        """Name the end of what is under way; whether a kept connection had gone before it."""
        if not self.written:
            return Ending.UNREACHABLE
        return Ending.STALE_CONNECTION if gone and self.unused_for > 0 else Ending.BROKEN

    def drop(self, reason: str, detail: str = "") -> None:
        """End the connection from here."""
        self.reason = reason
        self.pool.workers.ending.add(self)
        if detail:
            self.pool.workers.log.write("bad-answer", f"{self.pool.name}: {detail}")
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.stop_idle_timer()
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.pool.workers.ending.discard(self)
        self.pool.forget(self)
        exchange, self.exchange = self.exchange, None
        answered, self.answered = self.answered, None
        self.pool.workers.log.ended("worker", self.number, self.reason, self.pool.name)
        if answered is not None:
            answered.done(*self.maybe_accepted)
        if exchange is not None:
            if self.parser.eof() is not None:
                exchange.done()
            else:
                if exchange.tells:
                    self.pool.workers.broke_off(self)
                answer_begun = self.reason == "bad-answer" or not self.parser.idle
                exchange.broke(self.broken_as(self.quick), answer_begun)


class Place(NamedTuple):
    """Where a worker's process listens, and when it started, Unix ms."""

    address: str
    started: float | None


class Pool(Factory):
    """The connections to one worker at one address."""

    noisy = False

    def __init__(self, workers: Workers, name: str, address: str) -> None:
        self.workers, self.name, self.address = workers, name, address
        self.idle: list[WorkerConnection] = []  # the newest idle last
        self.closed = False

    def buildProtocol(self, addr: object) -> WorkerConnection:  # noqa: N802, D102
        return WorkerConnection(self)

    def rest(self, connection: WorkerConnection) -> None:
        """Keep a connection that is free, until clearly before the worker's machine would close it."""
        if self.closed:
            connection.drop("retired")
            return
        self.idle.append(connection)
        self.workers.resting[connection] = None
        connection.rested = self.workers.deadlines.now()
        connection.idle_timer = self.workers.deadlines.after(self.workers.keep, self.retire, connection)

    def retire(self, connection: WorkerConnection) -> None:
        """Close an idle connection."""
        if connection in self.idle:
            self.idle.remove(connection)
            self.workers.resting.pop(connection, None)
            connection.drop("idle")

    def forget(self, connection: WorkerConnection) -> None:
        """Take a connection off that has ended."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.workers.resting.pop(connection, None)
        self.workers.connections.remove(connection.number)

    def close(self) -> None:
        """Drop the idle connections, and those in use once they are free."""
        self.closed = True
        self.doubt()

    def doubt(self, unused_for: float = 0.0) -> None:
        """Drop the connections that have been free for so long."""
        since = self.workers.deadlines.now() - unused_for
        for connection in self.idle[::-1]:
            if connection.rested is None or connection.rested <= since:
                self.retire(connection)

    def begin(
        self,
        request: WorkerRequest,
        exchange: Exchange,
        max_body: int = http.MAX_BODY,
        repeatable: bool = True,
    ) -> Carriage:
        """Send a request over the newest idle connection, or a new one; gives what calls it off.

        No request is ever written twice: a connection that breaks tells the exchange, and that is all.
        """
        carriage = Carriage(exchange)
        self.doubt(self.workers.keep)  # it may have been cut since they came to rest
        while self.idle and (repeatable or not self.workers.new_safer):
            connection = self.idle.pop()
            self.workers.resting.pop(connection, None)
            if unread(connection.transport):
                # Closed, or with bytes that nobody asked for, since the reactor last looked: nothing is
                # written to it, so nothing can have run there.
                connection.drop("worker-closed")
                continue
            carriage.connection = connection
            connection.start(request, exchange, max_body)
            return carriage
        if not self.workers.room_for_one():
            self.workers.log.write("limit", f"no descriptor for a connection to {self.name}")
            exchange.broke(Ending.UNREACHABLE)
            return carriage
        self.workers.opening += 1
        carriage.connecting = connecting = maybeDeferred(self.workers.connect, self.address, self)

        def up(connection: WorkerConnection) -> None:
            self.workers.opening -= 1
            carriage.connection = connection
            if unread(connection.transport):  # ended as it came up, see above
                connection.drop("worker-closed")
                exchange.broke(Ending.UNREACHABLE)
                return
            why = "it is gone, or another process now" if self.closed else exchange.forbidden_by()
            if why is not None:
                self.workers.log.write("rule", f"nothing written to {self.name}, up late: {why}")
                self.rest(connection)
                exchange.broke(Ending.UNREACHABLE)
                return
            connection.start(request, exchange, max_body)

        def down(failure: Failure) -> None:
            self.workers.opening -= 1
            if not isinstance(failure.value, CancelledError):
                self.workers.log.write("connect", f"{self.name}: {type(failure.value).__name__}")
                exchange.broke(Ending.UNREACHABLE, unreached=not is_local(failure.value))

        def bug(failure: Failure) -> None:
            self.workers.log.failure("exchange", failure.value)

        connecting.addCallbacks(up, down).addErrback(bug)
        return carriage


class Carriage:
    """One request on its way: over a connection, or waiting for one to come up."""

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.connection: WorkerConnection | None = None
        self.connecting: Deferred[WorkerConnection] | None = None

    @property
    def answer_begun(self) -> bool:
        """Whether the worker has begun to answer, as far as that can be seen without waiting."""
        c = self.connection
        return c is not None and (
            c.answered is self.exchange or c.exchange is self.exchange and c.answer_begun
        )

    def call_off(self) -> Ending:
        """Close the connection if it still carries the request; say how that ends.

        The reactor closes it in its next turn: what is written to another one in this turn goes first.
        """
        if self.connection is None:
            if self.connecting is not None:
                self.connecting.cancel()
            return Ending.UNREACHABLE
        if self.connection.exchange is not self.exchange:
            return Ending.BROKEN
        self.connection.exchange = None
        self.connection.drop("given-up")
        return self.connection.broken_as(gone=True)


class Posted:
    """The exchange of one job on the platform's protocol: a 202, or an answer that ends the attempt."""

    tells = True
    answers = frozenset({202, 500, 503, 504})  # what the protocol knows as answers to a job

    def __init__(
        self,
        workers: Workers,
        done: Deferred[Outcome | None],
        forbidden_by: Callable[[], str | None],
    ) -> None:
        self.workers, self.fired, self.message = workers, done, http.Message((1, 1), http.Headers())
        self.forbidden_by = forbidden_by
        self.timer: Deadline | None = None
        self.within = 0.0  # ms for the worker's word once all is written; 0: to the deadline
        self.carriage: Carriage | None = None
        self.sent = False  # all of it is written
        self.again = False  # silence has been looked into once

    @property
    def ends_it(self) -> bool:
        """Whether the answer is other than a 202: it frees the job to go elsewhere."""
        return self.message.status in (500, 503, 504)

    def expect(self, carriage: Carriage, within: float) -> None:
        """Wait for the worker's word only as long as one on a living path takes.

        Guards against a connection that fell silent: its job would hang to its deadline, and hold its worker.
        The time counts from the request's last byte; until that is written there is the connect time besides.
        """
        self.carriage, self.within = carriage, within
        if not self.fired.called:
            self.wait(within if self.sent else within + self.workers.connect_for)

    def wait(self, within: float) -> None:
        """Have the worker's silence count from now."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.workers.deadlines.after(within, self.silent)

    def silent(self) -> None:
        """Give the attempt up, unless the worker has begun to answer: that is read first."""
        if self.fired.called or self.carriage is None:
            return
        answer_begun = self.carriage.answer_begun
        if answer_begun and not self.again:
            self.again = True
            self.wait(self.within)
            return
        self.workers.silent(self.carriage)
        self.over(Outcome(self.carriage.call_off(), maybe_accepted=self.sent, answer_begun=answer_begun))

    def stop(self) -> None:
        """Close the connection."""
        if self.carriage is not None:
            self.carriage.call_off()

    def written(self) -> None:
        """Count the attempt."""
        self.workers.wrote()
        self.sent = True
        if self.within and not self.fired.called:
            self.wait(self.within)

    def over(self, outcome: Outcome | None) -> None:
        """Give the outcome."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.fired.called:
            self.fired.callback(outcome)

    def head(self, message: http.Message) -> None:
        """Take the head; what answers no job ends the connection, and so gives the attempt up.

        Guards against two copies: it may be the second answer to what went over this connection before,
        and the worker has the job all the same.
        """
        if message.status not in self.answers:
            raise http.MessageError(502, f"{message.status} is no answer to a job")
        self.message = message
        if message.status == 202:
            # The worker has it from here on, and to close its connection does not give the attempt up any
            # more, whether or not the answer ever ends.
            self.over(None)
            self.timer = self.workers.deadlines.after(ANSWER_FOR, self.stop)

    def data(self, data: bytes) -> None:
        """Bodies say nothing here."""

    def done(self, maybe_accepted: bool = False, answer_begun: bool = False) -> None:
        """Take the end."""
        if self.message.status != 202:
            self.over(
                replace(
                    self.workers.outcome_of(self.message),
                    maybe_accepted=maybe_accepted,
                    answer_begun=answer_begun,
                )
            )
        elif self.timer is not None:
            self.timer.cancel()

    def broke(self, ending: Ending, answer_begun: bool = False, unreached: bool = False) -> None:
        """Take the connection's end; after the 202 it says nothing of the job."""
        if self.timer is not None:
            self.timer.cancel()
        if self.message.status != 202:
            # A reset says nothing of a 202 that it met on its way.
            self.over(
                Outcome(ending, maybe_accepted=self.sent, answer_begun=answer_begun, unreached=unreached)
            )


class Recalled:
    """The exchange of a DELETE: any answer will do."""

    ends_it = tells = False

    def __init__(self, done: Deferred[bool]) -> None:
        self.fired = done

    def forbidden_by(self) -> str | None:
        """Nothing: it is no attempt."""
        return None

    def written(self) -> None:
        """No attempt."""

    def head(self, message: http.Message) -> None:
        """Any status will do."""

    def data(self, data: bytes) -> None:
        """Bodies say nothing here."""

    def done(self, maybe_accepted: bool = False, answer_begun: bool = False) -> None:
        """Take the end: the worker knows."""
        self.over(True)

    def broke(self, ending: Ending, answer_begun: bool = False, unreached: bool = False) -> None:
        """Take the connection's end."""
        self.over(False)

    def over(self, told: bool) -> None:
        """Say whether the worker knows, once."""
        if not self.fired.called:
            self.fired.callback(told)


class Asked:
    """The exchange of a question how a worker stands."""

    ends_it, tells = False, True

    def __init__(self, workers: Workers, done: Deferred[Outcome]) -> None:
        self.workers, self.fired, self.status, self.body = workers, done, 0, bytearray()

    def forbidden_by(self) -> str | None:
        """Nothing: it is no attempt."""
        return None

    def written(self) -> None:
        """No attempt."""

    def head(self, message: http.Message) -> None:
        """Take the head."""
        self.status = message.status

    def data(self, data: bytes) -> None:
        """Take bytes of the report; the parser bounds them."""
        self.body += data

    def done(self, maybe_accepted: bool = False, answer_begun: bool = False) -> None:
        """Take the end: a report, or that the worker answers no more questions now."""
        report: tuple[float, ...] = ()
        if self.status == 200:
            try:
                report = self.workers.report_of(json.loads(self.body))
            except (ValueError, RecursionError):
                self.workers.log.write("bad-answer", "a load report that cannot be read")
        self.over(Outcome(Ending.SERVED if self.status == 200 else Ending.FULL, report=report))

    def broke(self, ending: Ending, answer_begun: bool = False, unreached: bool = False) -> None:
        """Take the connection's end."""
        self.over(Outcome(ending, unreached=unreached))

    def over(self, outcome: Outcome) -> None:
        """Give the outcome, once."""
        if not self.fired.called:
            self.fired.callback(outcome)


class Workers:
    """The pools of all workers."""

    def __init__(
        self,
        deadlines: Deadlines,
        connect: Connect,
        log: Log,
        report_fields: tuple[str, ...] = (),
        idle_for: float = 8_000.0,
        most: int = 300,
        connect_for: float = 250.0,
    ) -> None:
        self.deadlines, self.connect, self.log = deadlines, connect, log
        self.report_fields, self.idle_for = report_fields, idle_for
        self.connect_for = connect_for
        self.cut_to, self.cut_at, self.again = idle_for, 0.0, KEEP_AGAIN[0]  # see keep
        self.uses, self.breaks = [0.0, 0.0], [0.0, 0.0]  # of connections just made and kept, decaying
        self.connections: Slots[WorkerConnection] = Slots()
        self.wrote: Callable[[], None] = lambda: None  # told of each job whose last byte was written
        self.most, self.opening = most, 0  # those still coming up count too
        self.resting = dict[WorkerConnection, None]()  # free ones, that free for longest first
        self.ending = set[WorkerConnection]()  # told to close; the reactor's next turn does it
        self.places: dict[str, Place] = {}  # of all listed workers
        self.pools: dict[str, Pool] = {}  # of those that were called, made at the first call

    def room_for_one(self) -> bool:
        """Say whether one more connection may be opened; the one free for longest gives way to it.

        Guards dispatchers with fewer descriptors than there are workers: those free would fill them all, and
        no other worker could be reached until they are old.
        """
        over = len(self.connections) - len(self.ending) + self.opening - self.most + 1
        if over <= 0:
            return True
        if over > 1 or not self.resting or len(self.ending) >= ENDING_MOST:
            return False
        oldest = next(iter(self.resting))
        oldest.pool.retire(oldest)
        return True

    @property
    def keep(self) -> float:
        """Say how long free connections are kept, ms: less where some were cut, and then ever longer."""
        doublings = min((self.deadlines.now() - self.cut_at) / self.again, 16.0)
        return float(min(self.idle_for, self.cut_to * 2**doublings))

    @property
    def new_safer(self) -> bool:
        """Whether a new connection is the safer one: kept ones are found cut, and none just made broke."""
        return self.keep < min(SUSPECT, self.idle_for) and self.breaks[0] < NEW_BROKE

    def used(self, connection: WorkerConnection) -> None:
        """Count a use of a connection."""
        for counts in (self.uses, self.breaks):
            counts[:] = [n * RECENT for n in counts]
        self.uses[connection.unused_for > 0] += 1

    def broke_off(self, connection: WorkerConnection) -> None:
        """Learn from a connection that broke with a request on it.

        Guards jobs that must not be repeated: where something on the path cuts free connections, the request
        that finds out may have run for all we know.
        """
        if not connection.quick:
            return
        kept = connection.unused_for > 0
        self.breaks[kept] += 1
        new, old = (b / (n + 1) for b, n in zip(self.breaks, self.uses, strict=True))
        now, (first, most) = self.deadlines.now(), KEEP_AGAIN
        if old <= STALE_RATIO * new:
            # Workers reset any connection: keeping fewer would only cost them handshakes.
            self.cut_to = self.idle_for
        elif kept:
            self.again = first if self.keep >= self.idle_for else min(2 * self.again, most)
            self.cut_to, self.cut_at = max(KEEP_LEAST, min(self.keep, connection.unused_for) / 2), now
            self.log.write(
                "stale",
                f"{connection.pool.name} cut a connection free for "
                f"{connection.unused_for:.0f} ms; kept {self.cut_to:.0f} ms now",
            )

    def listed(self, name: str, address: str, started: float | None) -> None:
        """Take a worker's address; a changed one or a restart drops the pool."""
        place = Place(address, started)
        if self.places.get(name) != place:
            self.gone(name)
            self.places[name] = place

    def pool_of(self, name: str) -> Pool | None:
        """Give a worker's pool, or None where it is not listed."""
        pool = self.pools.get(name)
        if pool is None and (place := self.places.get(name)) is not None:
            pool = self.pools[name] = Pool(self, name, place.address)
        return pool

    def drop_idle(self, worker: str) -> None:
        """Drop the connections to a worker that was started anew; see ``messages.Carrier``."""
        if (pool := self.pools.pop(worker, None)) is not None:
            pool.close()

    def gone(self, name: str) -> None:
        """Drop the pool of a worker that the list no longer names."""
        self.places.pop(name, None)
        self.drop_idle(name)

    def outcome_of(self, message: http.Message) -> Outcome:
        """Read an answer that ends an attempt, by the protocol's table."""
        report: tuple[float, ...] = ()
        try:
            text = message.headers.get("X-Load-Report")
            report = self.report_of(json.loads(text)) if text else ()
            rejected = message.headers.get("X-Rejected") == "1"
        except (ValueError, RecursionError, http.MessageError):
            rejected = message.headers.all("X-Rejected") == ["1"]
        if message.status in (503, 504) and rejected:
            return Outcome(Ending.FULL, report=report)
        return Outcome(Ending.ERROR, report=report)

    def report_of(self, load: object) -> tuple[float, ...]:
        """Read a load report in the order of the settings' fields; one that lacks any says nothing."""
        if not isinstance(load, dict):
            return ()
        values = [load.get(name) for name in self.report_fields]
        if not all(isinstance(v, int | float) and abs(v) < 1e15 for v in values):
            return ()
        return tuple(float(v) for v in values if v is not None)

    def job_request(self, ask: JobRequest, address: str, ends: float, accept: str = "") -> WorkerRequest:
        """Make a job's request to a worker: as it came, with the time that is left when it is written."""
        original = ask.original
        assert isinstance(original, http.Message)
        fields = [(n, v) for n, v in original.headers.fields if n.lower() not in HOP_BY_HOP]
        if accept:
            fields = [(n, v) for n, v in fields if n.lower() != "accept"] + [("Accept", accept)]
        return WorkerRequest(original.method, original.target, address, tuple(fields), original.body, ends)

    def send(
        self,
        worker: str,
        ask: JobRequest,
        ends: float,
        note: Callable[[float, str], None],
        forbidden_by: Callable[[], str | None],
    ) -> Deferred[Outcome | None]:
        """Send a job; see ``messages.Carrier``."""
        pool = self.pool_of(worker)
        under_way: list[Carriage] = []

        def canceller(_: object) -> None:
            for carriage in under_way:
                answer_begun = carriage.answer_begun
                carriage.call_off()
                if answer_begun:
                    done.callback(None)  # it may be the 202 that has come: then the worker has the job

        done: Deferred[Outcome | None] = Deferred(canceller)
        if pool is None:
            done.callback(Outcome(Ending.UNREACHABLE))
            return done
        under_way.append(self.begin(pool, ask, ends, note, forbidden_by, done))
        return done

    def begin(
        self,
        pool: Pool,
        ask: JobRequest,
        ends: float,
        note: Callable[[float, str], None],
        forbidden_by: Callable[[], str | None],
        done: Deferred[Outcome | None],
    ) -> Carriage:
        """Start the exchange of a job."""
        exchange = Posted(self, done, forbidden_by)
        within = self.connect_for * (ACCEPT_SOON if ask.repeatable else ACCEPT_WAIT)
        request = self.job_request(ask, pool.address, ends)
        carriage = pool.begin(request, exchange, repeatable=ask.repeatable)
        exchange.expect(carriage, within)
        return carriage

    def silent(self, carriage: Carriage) -> None:
        """Learn that a worker says nothing to a request."""
        if (connection := carriage.connection) is not None:
            self.log.write("silent", f"{connection.pool.name} does not answer a job")
            connection.pool.doubt()  # what is free there may be as dead

    def cancel_job(self, worker: str, request_id: str, patient: bool = True) -> Deferred[bool]:
        """Tell a worker to give up a job that it has taken; see ``messages.Carrier``."""
        done: Deferred[bool] = Deferred()
        pool = self.pool_of(worker)
        if pool is None:
            done.callback(False)
            return done
        exchange = Recalled(done)
        carriage = pool.begin(
            WorkerRequest("DELETE", f"/jobs/{quote(request_id, safe='')}", pool.address), exchange
        )

        def waited() -> None:
            carriage.call_off()
            exchange.over(False)

        timer = self.deadlines.after(RECALL_WAIT if patient else self.connect_for * TELL_WAIT, waited)

        def over(told: bool) -> bool:
            timer.cancel()
            return told

        return done.addCallback(over)

    def probe(self, worker: str) -> Deferred[Outcome]:
        """Ask a worker how it stands; see ``messages.Carrier``."""
        done: Deferred[Outcome] = Deferred()
        pool = self.pool_of(worker)
        if pool is None:
            done.callback(Outcome(Ending.UNREACHABLE))
            return done
        exchange = Asked(self, done)
        carriage = pool.begin(WorkerRequest("GET", LOAD, pool.address), exchange)

        def silent() -> None:
            carriage.call_off()
            pool.doubt()  # what is free there may be as dead
            exchange.broke(Ending.TIMED_OUT, unreached=True)

        timer = self.deadlines.after(self.connect_for * PROBE_WAIT, silent)

        def over(outcome: Outcome) -> Outcome:
            timer.cancel()
            return outcome

        return done.addCallback(over)

    def close(self) -> None:
        """Drop every pool."""
        for name in list(self.places):
            self.gone(name)
