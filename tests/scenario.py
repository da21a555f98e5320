"""A small language for scenarios on the wire, played in memory under a clock that only ``wait`` moves.

A line is ACTOR VERB WORDS, the verbs send, expect and close; or ``wait MS``. Lines in order, ``#`` a comment.

    c send job ID CLASS [budget=MS] [NAME=VALUE ...]   a client's job, on c's connection (c, c2, c3 ...)
    c send raw TEXT / bytewise ...                     TEXT with \\r\\n escapes / one byte at a time
    c expect STATUS [WORDS] [Name: value]              the next answer, and what its body has in it
    c expect event NAME [WORDS] / end                  the next event of a stream / its end
    c expect nothing / open / closed                   no bytes / the program has not / has closed
    c close / close reading / send reading             gone / stops to read / reads on
    w expect POST ID [left=MS] / DELETE ID / GET PATH / nothing   the next request at any worker, then w
    w send STATUS [Name: value] / load FREE / stream / event NAME DATA / end / raw TEXT
    w send call STATE ID [TEXT] [from=NAME]            a call-back, wants 204
    w close / close listener / close silent            breaks / new ones are refused / new ones never come up
    d expect watch FROM / nothing                      the next watch that the program opens
    d send list INDEX NAME=STATE[@SINCE] ... / changes ... / beat / raw TEXT
    o send GET PATH / POST PATH / raw TEXT             an operator's call, on a connection of its own
    o expect STATUS [WORDS] / nothing / closed         its answer
    o close                                            the caller goes
    log expect CODE                                    a line with this code has been logged
    term send                                          SIGTERM
    hup send [KEY=VALUE ...]                           SIGHUP, the file's keys changed first
"""

from __future__ import annotations

import json
import re
import unittest
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from elderstall.app import App
from elderstall.config import Config, Progress, parse_config
from elderstall.net import http
from elderstall.net.event_stream import EventParser, ServerEvent

CLASSES = [
    {"name": "deck-fetch", "points": 2, "aim": 250, "deadline": 5000, "effect": "safe"},
    {"name": "deck-build", "points": 5, "aim": 600, "deadline": 15000, "effect": "unsafe"},
]
RULES = {
    "answer_slack": 8,
    "stop_sending_within": 2000,
    "ask_within": 10000,
    "cold_share": 0.42,
    "cold": 9000,
    "fall_multiple": 4,
    "overload_for": 2000,
}
CLOSED = Failure(ConnectionDone())  # type: ignore[no-untyped-call]
STATES = {"up": "in_service", "draining": "terminating", "gone": "terminated"}


def entry(name: str, state: str = "up", address: str = "", since: float = 0) -> dict[str, Any]:
    return {
        "name": name,
        "address": address or f"127.0.0.{name[1:]}:80",
        "zone": "z",
        "type": "k",
        "group": 0,
        "status": STATES[state],
        "weight": 1.0,
        "since_ms": since,
    }


def platform(workers: int = 1, sockets: int = 1024, **more: Any) -> dict[str, Any]:
    """The platform's object, as a dispatcher gets it."""
    settings = {
        "classes": CLASSES,
        "balancers": 1,
        "discovery": "subscribe",
        "rules": RULES,
        "tick": 2.0,
        "projects": [{"name": "norte", "portion": 1, "quota_per_s": 50}],
        "counted_by": "work",
        "limits": {"conn_idle": 10000, "connect_timeout": 250, "max_attempts": 5, "max_open": 50},
        "load_report": {"fields": ["cpu_share", "x0"]},
        "specifics": {"report_x0": "free slots"},
        **more,
    }
    known = {"index": 41, "snapshot": True, "endpoints": [entry(f"w{n + 1}") for n in range(workers)]}
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "5",
        "known": known,
        "settings": settings,
        "limits": {"sockets": sockets},
    }


class Wire:
    """A transport in memory, and its peer."""

    def __init__(self, world: World, protocol: Any) -> None:
        self.world, self.protocol = world, protocol
        self.out = bytearray()
        self.unread = 0
        self.bufferSize = 65536
        self.producer: Any = None
        self.streaming = self.paused = self.stalled = self.gone = self.shut = self.half = False
        protocol.makeConnection(self)

    def write(self, data: bytes) -> None:
        self.out += data
        if self.stalled:
            self.unread += len(data)
            if self.streaming and self.producer is not None and self.unread > self.bufferSize:
                self.producer.pauseProducing()

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        taken = len(data) - self.stalled  # of a peer that does not read, the last byte has to wait
        self.out += data[:taken]
        return taken

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        self.producer, self.streaming = producer, streaming
        if not streaming:
            producer.resumeProducing()
            if not self.stalled and self.producer is not None:
                producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        self.producer = None

    def read_on(self) -> None:
        self.stalled, self.unread = False, 0
        if self.producer is not None:
            self.producer.resumeProducing()
        if self.shut:
            self.loseConnection()

    def loseConnection(self) -> None:  # noqa: N802
        self.shut = True
        if not self.stalled:
            self.world.clock.callLater(0, self.lose)

    def abortConnection(self) -> None:  # noqa: N802
        self.shut = True
        self.world.clock.callLater(0, self.lose)

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.half = True

    def lose(self) -> None:
        if not self.gone:
            self.gone = True
            self.protocol.connectionLost(CLOSED)

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        pass

    def fileno(self) -> int:
        return -1  # in memory there is nothing that the program has not been given

    def pauseProducing(self) -> None:  # noqa: N802
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        self.paused = False


class Peer:
    """Reads what the program wrote to one wire."""

    def __init__(self, wire: Wire, name: str, responses: bool) -> None:
        self.wire, self.name = wire, name
        self.parser = http.Parser(responses=responses, max_body=0)
        self.messages: list[http.Message] = []
        self.stream: EventParser | None = None
        self.events: list[ServerEvent | str] = []
        self.message: http.Message | None = None

    def read(self) -> None:
        data = bytes(self.wire.out)
        self.wire.out.clear()
        self.parser.feed(data)
        while (event := self.parser.next()) is not None:
            if isinstance(event, http.Head):
                self.message = event.message
                if event.message.headers.get("Content-Type") == "text/event-stream":
                    self.stream = EventParser()
            elif isinstance(event, http.Data):
                if self.stream is not None:
                    self.events += self.stream.feed(event.data)
                elif self.message is not None:
                    self.message.body += event.data
            elif self.stream is not None:
                self.stream = None
                self.events.append("end")
            elif self.message is not None:
                self.messages.append(self.message)


class World:
    """One dispatcher between actors."""

    def __init__(self, config: Config) -> None:
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.config = config
        self.raw = platform()
        self.app = App(config, self, lambda: parse_config(self.raw, {}))
        self.app.deadlines.seconds = self.clock.seconds
        self.app.deadlines.offset = 0.0
        self.app.deadlines.unix = self.app.deadlines.now  # a wall clock that is never stepped
        self.app.log.clock = self.app.deadlines.now
        self.app.log.refilled_at = 0.0
        self.lines: list[str] = []
        self.app.log.print = lambda now, code, text: self.lines.append(f"{code} {text}")  # type: ignore
        self.app.workers.connect = self.connect
        self.app.discovery.connect = lambda factory: self.connect("d", factory)
        self.shut: dict[str, str] = {}
        self.peers: dict[str, Peer] = {}
        self.workers: list[Peer] = []
        self.watches: list[Peer] = []
        self.stopped = False
        self.app.start()
        self.settle()

    # what App takes for the reactor
    def callLater(self, delay: float, call: Any, *args: Any) -> Any:  # noqa: N802
        return self.clock.callLater(delay, call, *args)

    def callFromThread(self, call: Any, *args: Any) -> None:  # noqa: N802
        call(*args)

    def listenTCP(self, *args: Any, **named: Any) -> Any:  # noqa: N802
        return self

    def getHost(self) -> Any:  # noqa: N802
        self.host, self.port = "127.0.0.1", 0
        return self

    def startReading(self) -> None:  # noqa: N802
        pass

    stopReading = stopListening = doRead = startReading  # noqa: N815
    numberAccepts = 1  # noqa: N815
    socket, connected, transport = None, True, None

    def fileno(self) -> int:
        return -1

    def stop(self) -> None:
        self.stopped = True

    def connect(self, address: str, factory: Any) -> Deferred[Any]:
        how = self.shut.get(address) or self.shut.get("all") if address != "d" else self.shut.get("d")
        done: Deferred[Any] = Deferred()
        if how == "listener":
            done.errback(RefusedError())  # type: ignore[no-untyped-call]
        elif how is None:
            wire = Wire(self, factory.buildProtocol(None))
            name = getattr(factory, "name", "d")
            (self.watches if address == "d" else self.workers).append(Peer(wire, name, responses=False))
            done.callback(wire.protocol)
        else:
            self.clock.callLater(0.25, self.never_up, done)
        return done

    def never_up(self, done: Deferred[Any]) -> None:
        if not done.called:
            done.errback(TimeoutError())

    def settle(self) -> None:
        self.clock.advance(0)
        self.clock.advance(0)
        for peer in [*self.peers.values(), *self.workers, *self.watches]:
            peer.read()

    def deliver(self, peer: Peer, data: bytes) -> None:
        if not peer.wire.gone:
            peer.wire.protocol.dataReceived(data)
        self.settle()


class Scenario(unittest.TestCase):
    """Plays scenarios; a failed line is named."""

    world: World

    def begin(self, workers: int = 1, progress: bool = False, **more: Any) -> World:
        config = parse_config(platform(workers, **more), {})
        if progress:
            config = Config(**{**vars(config), "progress": Progress(enabled=True)})
        self.world = World(config)
        self.world.raw = platform(workers, **more)
        return self.world

    def play(self, script: str, **setup: Any) -> None:
        if setup or not hasattr(self, "world"):
            self.begin(**setup)
        for line in script.splitlines():
            text = line.split("#")[0].strip()
            if text:
                with self.subTest(line=text):
                    self.line(*(text.split(" ", 2) + [""])[:3])
                if self._outcome is not None and not self._outcome.success:  # type: ignore[attr-defined]
                    self.fail(f"at: {text}")

    def line(self, actor: str, verb: str, words: str) -> None:
        if actor == "wait":
            end = self.world.clock.seconds() + float(verb) / 1000
            while (left := end - self.world.clock.seconds()) > 1e-9:
                self.world.clock.advance(min(left, 0.01))
                self.world.settle()
            return
        kind = actor.rstrip("0123456789")
        getattr(self, f"{kind}_{verb}")(actor, words)
        self.world.settle()

    # ---- clients ----

    def client(self, actor: str) -> Peer:
        if actor not in self.world.peers:
            wire = Wire(self.world, self.world.app.server.buildProtocol(None))
            self.world.peers[actor] = Peer(wire, actor, responses=True)
        return self.world.peers[actor]

    def c_send(self, actor: str, words: str) -> None:
        peer, bytewise = self.client(actor), words.startswith("bytewise ")
        how, _, rest = words.removeprefix("bytewise ").partition(" ")
        if how == "reading":
            peer.wire.read_on()
            return
        data = self.job(rest) if how == "job" else unescaped(rest)
        for part in [bytes([b]) for b in data] if bytewise else [data]:
            self.world.deliver(peer, part)

    def job(self, words: str) -> bytes:
        request_id, job_class, *rest = words.split()
        more = dict(word.split("=", 1) for word in rest)
        fields = {
            "X-Call-Id": request_id,
            "X-Call-Class": job_class,
            "X-Caller": "norte",
            "X-Budget-Ms": more.pop("budget", "5000"),
            "X-Call-Cost": "100000",
            **more,
        }
        pairs = [(name, value) for name, value in fields.items() if value]
        return http.request("POST", f"/{job_class}?obj=7f", "api.internal", pairs, b"body")

    def c_expect(self, actor: str, words: str) -> None:
        peer = self.client(actor)
        peer.read()
        first, _, rest = words.partition(" ")
        if words == "nothing":
            self.assertEqual(([], []), (peer.messages, peer.events))
        elif words in ("closed", "open"):
            self.assertEqual(words == "closed", peer.wire.half or peer.wire.gone)
        elif first == "event":
            name, _, data = rest.partition(" ")
            event = peer.events.pop(0) if peer.events else "none"
            assert isinstance(event, ServerEvent), f"{event} came"
            self.assertEqual(name, event.event)
            self.assertIn(data, event.data)
        elif first == "end":
            self.assertEqual("end", peer.events.pop(0) if peer.events else "none")
        else:
            self.assertTrue(peer.messages, f"no answer came; {self.world.lines}")
            message = peer.messages.pop(0)
            self.assertEqual(int(first), message.status)
            head = re.match(r"([\w-]+): ?(.*)", rest)
            if head:
                self.assertIn(head[2], message.headers.get(head[1]) or "(missing)")
            else:
                self.assertIn(rest.encode(), message.body)

    def c_close(self, actor: str, words: str) -> None:
        if words == "reading":
            self.client(actor).wire.stalled = True
        else:
            self.client(actor).wire.lose()

    # ---- workers ----

    def w_expect(self, actor: str, words: str) -> None:
        found = [peer for peer in self.world.workers if peer.messages]
        if words == "nothing":
            self.assertEqual([], [(p.name, m.method, m.target) for p in found for m in p.messages])
            return
        method, request_id, left = (words.split() + [""])[:3]
        self.assertTrue(found, f"no request came; {self.world.lines}")
        message = found[0].messages.pop(0)
        self.assertEqual(method, message.method)
        if method == "GET":
            self.assertEqual(request_id, message.target)
            self.world.peers[actor] = found[0]
            return
        self.assertEqual(
            request_id, message.target[6:] if method == "DELETE" else message.headers.get("X-Call-Id")
        )
        if method == "POST":
            self.assertEqual(b"body", message.body)
            self.assertTrue(message.target.endswith("?obj=7f"))
            budget = int(message.headers.get("X-Budget-Ms") or -1)
            self.assertTrue(0 < budget <= int(left.removeprefix("left=") or 15000), budget)
        self.world.peers[actor] = found[0]

    def w_send(self, actor: str, words: str) -> None:
        first, _, rest = words.partition(" ")
        if first == "call":
            state, request_id, text = (rest.split(" ", 2) + [""])[:3]
            named = re.search(r"from=(\S+)", text)
            name = named[1] if named else self.world.peers[actor].name
            call = {
                "id": request_id,
                "from": name,
                "state": state,
                "result": re.sub(r"\s*from=\S+", "", text),
            }
            body = json.dumps({**call, "share": 0.4, "load": {"cpu_share": 0.5, "x0": 2}}).encode()
            self.world.deliver(self.client("callback"), http.request("POST", "/callback", "n1", (), body))
            self.c_expect("callback", "204")
            return
        if first == "raw":
            data = unescaped(rest)
        elif first == "load":
            data = http.response(200, json.dumps({"cpu_share": 0.5, "x0": float(rest)}).encode())
        elif first == "stream":
            fields = [("Content-Type", "text/event-stream; charset=utf-8"), ("Transfer-Encoding", "chunked")]
            data = http.encode_head("HTTP/1.1 200 OK", fields)
        elif first == "event":
            name, _, text = rest.partition(" ")
            data = http.chunk(f"event: {name}\ndata: {text}\n\n".encode())
        elif first == "end":
            data = http.chunk(b"")
        else:
            head = re.match(r"([\w-]+): ?(.*)", rest)
            data = http.response(int(first), b"", [(head[1], head[2])] if head else [])
        self.world.deliver(self.world.peers[actor], data)

    def w_close(self, actor: str, words: str) -> None:
        if words in ("listener", "silent"):
            self.world.shut["all"] = words
        elif words == "reading":
            self.world.peers[actor].wire.stalled = True
        else:
            self.world.peers[actor].wire.lose()

    # ---- operators ----

    def o_send(self, actor: str, words: str) -> None:
        how, _, rest = words.partition(" ")
        if how != "raw" or actor not in self.world.peers:
            wire = Wire(self.world, self.world.app.console.buildProtocol(None))
            self.world.peers[actor] = Peer(wire, actor, responses=True)
        data = unescaped(rest) if how == "raw" else http.request(how, rest, "n1:9600")
        self.world.deliver(self.world.peers[actor], data)

    o_expect, o_close = c_expect, c_close

    # ---- discovery, the log, the signal ----

    def d_expect(self, actor: str, words: str) -> None:
        asked = [m for peer in self.world.watches for m in peer.messages]
        for peer in self.world.watches:
            peer.messages.clear()
        if words == "nothing":
            self.assertEqual([], asked)
        else:
            targets = [m.target for m in asked]
            self.assertEqual([f"/discovery/hosts?watch=1&from={words.split()[-1]}"], targets)

    def d_send(self, actor: str, words: str) -> None:
        what, _, rest = words.partition(" ")
        peer = self.world.watches[-1]
        if peer.message is not None:
            peer.message = None
            head = http.encode_head("HTTP/1.1 200 OK", [("Transfer-Encoding", "chunked")])
            if what != "raw":
                self.world.deliver(peer, head)
        if what == "raw":
            self.world.deliver(peer, unescaped(rest))
            return
        line = b""
        if what != "beat":
            index, *pairs = rest.split()
            found = [re.fullmatch(r"(\w+)=(\w+)(?:@(\d+))?", pair) for pair in pairs]
            items = [entry(m[1], m[2], since=float(m[3] or 0)) for m in found if m]
            body = {"index": int(index), "snapshot": what == "list", "endpoints": items}
            line = json.dumps(body).encode()
        data = http.chunk(line + b"\n")
        for n in range(0, len(data), 7):
            self.world.deliver(peer, data[n : n + 7])

    def d_close(self, actor: str, words: str) -> None:
        if words:
            self.world.shut["d"] = words
        else:
            self.world.watches[-1].wire.lose()

    def log_expect(self, actor: str, words: str) -> None:
        self.assertTrue([x for x in self.world.lines if x.startswith(words)], self.world.lines)

    def term_send(self, actor: str, words: str) -> None:
        self.world.app.sigterm()

    def hup_send(self, actor: str, words: str) -> None:
        self.world.raw = {**self.world.raw, **dict(word.split("=", 1) for word in words.split())}
        self.world.app.sighup()

    def term_expect(self, actor: str, words: str) -> None:
        self.assertEqual(words == "exit", self.world.stopped)


def unescaped(text: str) -> bytes:
    return text.replace("\\r", "\r").replace("\\n", "\n").encode("latin-1")
