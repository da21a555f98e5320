"""One dispatcher on real sockets, in this process, its clock in the test's hand.

The reactor turns only when a test has it turn, so what was sent before a turn lies in the system unread, and
which of two events comes first is the test's choice. Time is a clock that only ``wait`` and
``advance_clock_only`` move.
Connections to workers can be kept from coming up until they are let.
"""

from __future__ import annotations

import json
import socket
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest import mock

from twisted.internet import reactor as real_reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from elderstall.app import App
from elderstall.config import Config, Progress, parse_config
from elderstall.net import http
from tests.scenario import entry, platform

reactor: Any = real_reactor
CHUNKED = [("Transfer-Encoding", "chunked")]
PATIENCE = 3_000  # turns of 10 ms: only a program that hangs meets it
TURNS = 12  # turns in which all that loopback carries has gone through both ends


class PeerSocket:
    """The other end of a connection: reads what is there, without waiting."""

    def __init__(self, sock: socket.socket, responses: bool) -> None:
        sock.setblocking(False)
        self.sock, self.parser = sock, http.Parser(responses=responses, max_body=0)
        self.messages: list[http.Message] = []
        self.message = http.Message((1, 1), http.Headers())
        self.ended = False

    def read(self) -> None:
        while not self.ended:
            try:
                data = self.sock.recv(65536)
            except BlockingIOError:
                break
            except OSError:
                data = b""
            self.ended = not data
            self.parser.feed(data)
        while (event := self.parser.next()) is not None:
            if isinstance(event, http.Head):
                self.message = event.message
            elif isinstance(event, http.Data):
                self.message.body += event.data
            else:
                self.messages.append(self.message)

    def send(self, data: bytes) -> None:
        while data:  # what the system does not take at once is more than any test here means to send
            data = data[self.sock.send(data) :]


class Loop:
    """What the program takes for the reactor: real sockets, a clock of the test's."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.clock.advance(1_000.0)
        self.callLater = self.clock.callLater
        self.listenTCP, self.connectTCP = reactor.listenTCP, reactor.connectTCP
        self.adoptStreamConnection = reactor.adoptStreamConnection
        self.listenUNIX, self.connectUNIX = reactor.listenUNIX, reactor.connectUNIX
        self.adoptStreamPort = reactor.adoptStreamPort
        self.stopped = False

    def callFromThread(self, call: Callable[..., None], *args: Any) -> None:  # noqa: N802
        call(*args)

    def stop(self) -> None:
        self.stopped = True


@contextmanager
def with_console(on: bool = True) -> Iterator[None]:
    """Have the dispatchers that begin meanwhile listen for operators too."""

    def with_address(*args: Any, **more: Any) -> dict[str, Any]:
        return plain(*args, **more) | ({"console": "127.0.0.1:0"} if on else {})

    plain = platform
    with mock.patch(f"{__name__}.platform", with_address):
        yield


class Loopback(unittest.TestCase):
    """A dispatcher, its workers w1, w2 ... and discovery."""

    def begin(self, workers: int = 1, progress: bool = False, folder: str = "", **more: Any) -> None:
        self.listeners = [self.listener() for _ in range(workers)]
        self.lists = self.listener()
        raw = platform(workers, **more)
        raw["known"]["endpoints"] = [
            entry(f"w{n + 1}", address=address_of(sock)) for n, sock in enumerate(self.listeners)
        ]
        raw["discovery"] = address_of(self.lists)
        self.raw = raw
        config = parse_config(raw, {"TMPDIR": folder})
        if progress:
            config = Config(**{**vars(config), "progress": Progress(enabled=True)})
        self.loop = Loop()
        self.app = App(config, self.loop, lambda: parse_config(self.raw, {}))
        self.app.deadlines.seconds, self.app.deadlines.offset = self.loop.clock.seconds, 0.0
        self.app.deadlines.unix = self.app.deadlines.now  # a wall clock that is never stepped
        self.app.log.clock, self.app.log.refilled_at = self.app.deadlines.now, 0.0
        self.lines: list[str] = []
        self.app.log.print = lambda now, code, text: self.lines.append(f"{code} {text}")  # type: ignore
        self.held: list[tuple[Deferred[Any], Any]] | None = None  # connections that are kept from coming up
        connect = self.app.workers.connect
        self.app.workers.connect = lambda address, pool: self.up_late(connect(address, pool))
        self.sides: list[PeerSocket] = []  # of workers, in the order of their connections
        self.watches: list[PeerSocket] = []
        self.addCleanup(self.end)
        self.app.start()
        self.turn()
        while not self.asked_lists():  # where dispatchers are many, each waits for its turn
            self.assertLess(self.loop.clock.seconds(), 1_010.0)
            self.wait(50)

    def listener(self) -> socket.socket:
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setblocking(False)
        self.addCleanup(sock.close)
        return sock

    def end(self) -> None:
        for connection in [*self.app.server.connections, *self.app.workers.connections]:
            connection.transport.abortConnection()
        self.app.discovery.close()
        if self.app.port is not None:
            self.app.port.stopListening()
        for side in [*self.sides, *self.watches]:
            side.sock.close()
        self.turn()
        for timer in self.loop.clock.getDelayedCalls():  # last, as the ends of connections may set some
            timer.cancel()  # type: ignore[misc]

    # ---- turns and time ----

    def turn(self, turns: int = TURNS) -> None:
        for _ in range(turns):
            reactor.iterate(0)

    def until(self, there: Callable[[], bool]) -> None:
        for n in range(PATIENCE):
            if there():
                return
            reactor.iterate(0.01 if n > TURNS else 0)
        self.fail(f"it never came; {self.lines}")

    def advance_clock_only(self, ms: float) -> None:
        """Let time pass while the program is in another turn: what has come stays unread."""
        self.loop.clock.advance(ms / 1000)

    def wait(self, ms: float) -> None:
        end = self.loop.clock.seconds() + ms / 1000
        while (left := end - self.loop.clock.seconds()) > 1e-9:
            self.advance_clock_only(1000 * min(left, 0.01))
            self.turn(3)
        self.turn()

    # ---- clients ----

    def client(self) -> PeerSocket:
        side = PeerSocket(
            socket.create_connection(("127.0.0.1", self.app.port.getHost().port)), responses=True
        )
        self.addCleanup(side.sock.close)
        return side

    def job(
        self, request_id: str, job_class: str = "deck-fetch", budget: int = 5_000, accept: str = "*/*"
    ) -> bytes:
        fields = {
            "X-Call-Id": request_id,
            "X-Call-Class": job_class,
            "X-Caller": "norte",
            "X-Budget-Ms": str(budget),
            "X-Call-Cost": "100000",
            "Accept": accept,
        }
        return http.request("POST", f"/{job_class}?obj=7f", "api.internal", fields.items(), b"body")

    def answer(self, side: PeerSocket) -> http.Message:
        self.until(lambda: side.read() or bool(side.messages) or side.ended)  # type: ignore[func-returns-value]
        self.assertTrue(side.messages, f"ended with no answer; {self.lines}")
        return side.messages.pop(0)

    # ---- workers ----

    def up_late(self, connecting: Deferred[Any]) -> Deferred[Any]:
        """Keep a connection from coming up, if that is wanted."""
        if self.held is None:
            return connecting
        held = self.held
        late: Deferred[Any] = Deferred(lambda _: connecting.cancel())
        connecting.addCallbacks(lambda connection: held.append((late, connection)), lambda failure: None)
        return late

    def release_connections(self) -> None:
        """Have those that were kept come up now."""
        held, self.held = self.held or [], None
        for late, connection in held:
            if not late.called:
                late.callback(connection)
        self.turn()

    def came(self) -> list[tuple[str, PeerSocket]]:
        """Give what has come to any worker and was not taken yet, as ``POST a1``."""
        for sock in self.listeners:
            self.accept(sock, self.sides)
        for side in self.sides:
            side.read()
        return [
            (f"{m.method} {m.headers.get('X-Call-Id') or m.target}", side)
            for side in self.sides
            for m in side.messages
        ]

    def accept(self, sock: socket.socket, sides: list[PeerSocket]) -> None:
        while True:
            try:
                sides.append(PeerSocket(sock.accept()[0], responses=False))
            except BlockingIOError:
                return

    def take(self, what: str) -> PeerSocket:
        """Wait for a request at any worker, and give its connection."""
        self.until(lambda: any(name == what for name, _ in self.came()))
        side = next(side for name, side in self.came() if name == what)
        side.messages.pop(0)
        return side

    def assert_nothing_received(self) -> None:
        """See that nothing has come to a worker."""
        self.turn()
        self.assertEqual([], [what for what, _ in self.came()])

    def call_back(self, request_id: str, state: str = "done", worker: str = "w1") -> None:
        side = self.client()
        call = {"id": request_id, "from": worker, "state": state, "result": f"deck {request_id}"}
        side.send(http.request("POST", "/callback", "n1", (), json.dumps(call).encode()))
        self.assertEqual(204, self.answer(side).status)
        side.sock.close()

    # ---- discovery ----

    def asked_lists(self) -> list[str]:
        """Give the watches asked for so far."""
        self.accept(self.lists, self.watches)
        for side in self.watches:
            side.read()
        return [m.target for side in self.watches for m in side.messages]

    def send_list(self, index: int, whole: bool = False, **states: str) -> None:
        """Send a list, or changes of it, on the newest watch."""
        side = self.watches[-1]
        head = b"" if side.message.status else http.encode_head("HTTP/1.1 200 OK", CHUNKED)
        side.message.status = 200  # its head has been sent
        entries = [
            entry(name, state, address_of(self.listeners[int(name[1:]) - 1]))
            for name, state in states.items()
        ]
        line = json.dumps({"index": index, "snapshot": whole, "endpoints": entries}).encode()
        side.send(head + http.chunk(line + b"\n"))
        self.turn()


def address_of(sock: socket.socket) -> str:
    return f"127.0.0.1:{sock.getsockname()[1]}"
