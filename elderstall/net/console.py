"""The second address: operators' calls, one a connection, and the program's figures."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from elderstall.deadlines import Deadline, Deadlines
from elderstall.figures import Figures
from elderstall.log import Log
from elderstall.net import http
from elderstall.slots import Slots

CALLERS = 16  # connections at once: a few fetch figures, a few make calls, the rest say nothing
PATIENCE = 5_000.0  # ms for a whole call: the slow ones of operators' scripts stay for 4 s
LINGER = 1_000.0  # ms of reading on after the answer, so that a reset does not overtake it
PREFIX = "edge_relay"

Call = Callable[[str], "bool | Deferred[bool]"]  # from what the query names to a yes or no


def figures_text(f: Figures) -> bytes:
    """Write the figures, one a line."""
    lines = [
        f"handled.{name}.{what}={counts[name]}"
        for name in f.classes
        for what, counts in (("passed", f.served), ("dropped", f.rejected), ("bad_gateway", f.failed))
    ]
    lines += [
        f"handled.{name}.unserved.{why.replace(' ', '_')}={n}" for (name, why), n in sorted(f.reasons.items())
    ]
    lines += [
        f"upstream_tries={f.attempts_written}",
        f"in_progress={f.jobs}",
        f"known_card_workers={f.workers_listed}",
        f"skipped_card_workers={f.workers_skipped}",
        f"loads={f.settings_loads}",
        f"load_errors={f.settings_load_errors}",
        f"worker_questions={f.polls}",
        f"list_calls={f.list_calls}",
        f"list_calls_failed={f.list_calls_failed}",
        f"list_age_ms={f.list_age:.0f}",
        f"workers_listed={f.workers_listed}",
        f"workers_in_view={f.workers_in_view}",
        f"workers_widened={f.workers_widened}",
        f"zones_out_of_reach={f.zones_out_of_reach}",
        f"workers_forgotten={f.workers_forgotten}",
        f"lists_refused={f.lists_refused}",
        f"list_entries_odd={f.odd_entries}",
    ]
    return "".join(f"{PREFIX}.{line}\n" for line in lines).encode()


class ConsoleConnection(Protocol):
    """One caller: one call, one answer, and the end."""

    transport: Any  # ITCPTransport, as zope's interfaces say nothing to mypy

    def __init__(self, console: Console) -> None:
        self.console = console
        self.parser = http.Parser()
        self.message: http.Message | None = None
        self.number = 0
        self.called = self.ended = False  # its call is whole, nothing more is read; told to close
        self.began = 0.0
        self.reason = "peer-closed"
        self.timer: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.number, self.began = self.console.callers.add(self), self.console.deadlines.now()
        self.timer = self.console.deadlines.after(PATIENCE, self.end, "silent")
        self.console.enforce_limit()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        if self.called:
            return
        self.parser.feed(data)
        try:
            while not self.called and (event := self.parser.next()) is not None:
                if isinstance(event, http.Head):
                    self.message = event.message
                elif isinstance(event, http.End) and self.message is not None:
                    self.called = True
                    self.console.take(self, self.message)
        except http.MessageError as error:
            self.answer(error.status, f"{error}\n".encode())
        except Exception as error:
            # Guards the program against a fault met in one call.
            self.console.log.failure("call", error)
            self.answer(500, b"internal error\n")

    def answer(self, status: int, body: bytes, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Give the one answer and close our side."""
        self.called = True
        self.reason = "answered"
        self.parser.buffer.clear()
        self.transport.write(http.response(status, body, headers, close=True))
        self.transport.loseWriteConnection()
        self.wait(LINGER)

    def wait(self, delay: float) -> None:
        """Give the caller so long to go."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.console.deadlines.after(delay, self.end, self.reason)

    def end(self, reason: str) -> None:
        """End the connection."""
        self.reason, self.ended = reason, True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        if self.timer is not None:
            self.timer.cancel()
        self.called = True
        self.console.callers.remove(self.number)
        if self.reason != "answered":  # scripts call all day: what went well is no news
            self.console.log.ended("console", self.number, self.reason)


class Console(Factory):
    """The listener of the second address."""

    noisy = False

    def __init__(
        self,
        deadlines: Deadlines,
        log: Log,
        ready: Callable[[], bool],
        figures: Callable[[], Figures],
        calls: dict[str, Call],
    ) -> None:
        self.deadlines, self.log = deadlines, log
        self.ready, self.figures, self.calls = ready, figures, calls
        self.callers: Slots[ConsoleConnection] = Slots()

    def buildProtocol(self, addr: object) -> ConsoleConnection:  # noqa: N802, D102
        return ConsoleConnection(self)

    @property
    def answering(self) -> bool:
        """Whether an answer is still being taken."""
        return any(c.called and not c.ended for c in self.callers)

    def enforce_limit(self) -> None:
        """Keep to the number of callers: who has been there longest goes first.

        Guards the next call against those that say nothing, or half a call, and stay.
        """
        here = [c for c in self.callers if not c.ended]
        if len(here) > CALLERS:
            min(here, key=lambda c: (c.reason != "answered", c.called, c.began)).end("crowded")

    def take(self, c: ConsoleConnection, message: http.Message) -> None:
        """Answer a whole call."""
        url = urlsplit(message.target)
        method = "POST" if url.path in self.calls else "GET"
        if url.path not in self.calls and url.path not in ("/api/ready", "/api/telemetry"):
            c.answer(404, b"no such call\n")
        elif message.method != method:
            c.answer(405, f"{method} only\n".encode(), (("Allow", method),))
        elif url.path == "/api/telemetry":
            c.answer(200, figures_text(self.figures()), (("Content-Type", "text/plain; charset=utf-8"),))
        elif url.path == "/api/ready":
            good = self.ready()
            c.answer(200 if good else 503, b"ready\n" if good else b"not ready\n")
        else:
            self.call(c, url.path, parse_qs(url.query, max_num_fields=20).get("id", []))

    def call(self, c: ConsoleConnection, path: str, names: list[str]) -> None:
        """Make a call about one card worker."""
        if len(names) != 1:
            c.answer(400, b"one id is needed\n")
            return

        def answered(good: bool) -> None:
            self.log.write("call", f"{path} {names[0][:100]!r}: {'yes' if good else 'no'}")
            c.answer(200 if good else 404, b"yes\n" if good else b"no such card worker was ever listed\n")

        result = self.calls[path](names[0])
        if isinstance(result, Deferred):
            result.addCallback(answered)
        else:
            answered(result)
