"""The operators' console on the admin address: one call per connection, and the figures."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from elderstall.deadlines import Deadline, Deadlines
from elderstall.figures import Figures
from elderstall.log import Log
from elderstall.net import http
from elderstall.slots import Slots

MAX_CONSOLE_CONNECTIONS = 16  # a few fetch figures or make calls, others may be idle
CALL_TIMEOUT_MS = 5_000.0  # from connecting to the answer: slow scripts need up to 4 s to send a call
LINGER_MS = 1_000.0  # reading continues after the answer, so that a reset does not discard it
FIGURE_PREFIX = "edge_relay"  # this and the figures' names are read by operators' tools

Call = Callable[[str], "bool | Deferred[bool]"]  # from the id in the query to whether the worker is known


def figures_text(figures: Figures) -> bytes:
    """Return the figures as text, one per line."""
    lines = [
        f"handled.{name}.{outcome}={counts[name]}"
        for name in figures.classes
        for outcome, counts in (
            ("passed", figures.served),
            ("dropped", figures.rejected),
            ("bad_gateway", figures.failed),
        )
    ]
    lines += [
        f"handled.{name}.unserved.{reason.replace(' ', '_')}={n}"
        for (name, reason), n in sorted(figures.reasons.items())
    ]
    lines += [
        f"upstream_tries={figures.attempts_written}",
        f"in_progress={figures.jobs}",
        f"known_card_workers={figures.workers_listed}",
        f"skipped_card_workers={figures.workers_skipped}",
        f"loads={figures.settings_loads}",
        f"load_errors={figures.settings_load_errors}",
        f"worker_questions={figures.polls}",
        f"list_calls={figures.list_calls}",
        f"list_calls_failed={figures.list_calls_failed}",
        f"list_age_ms={figures.list_age:.0f}",
        f"workers_listed={figures.workers_listed}",
        f"workers_in_view={figures.workers_in_view}",
        f"workers_widened={figures.workers_widened}",
        f"zones_out_of_reach={figures.zones_out_of_reach}",
        f"workers_forgotten={figures.workers_forgotten}",
        f"lists_refused={figures.lists_refused}",
        f"list_entries_odd={figures.odd_entries}",
    ]
    process = figures.process
    lines += [
        f"memory_limit_bytes={process.memory_limit_bytes}",
        f"memory_resident_bytes={process.memory_resident_bytes}",
        f"memory_peak_resident_bytes={process.memory_peak_resident_bytes}",
        f"memory_kept_bytes={process.memory_kept_bytes}",
        f"connections={process.connections}",
        f"turn_longest_ms={process.turn_longest_ms:.1f}",
        f"turn_longest_work_ms={process.turn_longest_work_ms:.1f}",
        f"turn_long_count={process.turn_long_count}",
    ]
    lines += [f"ended.{name}={count}" for name, count in sorted(figures.ends.items())]
    return "".join(f"{FIGURE_PREFIX}.{line}\n" for line in lines).encode()


class ConsoleConnection(Protocol):
    """A connection to the console: one call and one answer."""

    transport: Any  # ITCPTransport, as zope's interfaces say nothing to mypy

    def __init__(self, console: Console) -> None:
        self.console = console
        self.parser = http.Parser()
        self.message: http.Message | None = None
        self.number = 0
        self.is_call_complete = False  # nothing more is read
        self.is_aborted = False  # the connection is being aborted
        self.began_at = 0.0
        self.reason = "peer-closed"
        self.timer: Deadline | None = None

    def connectionMade(self) -> None:  # noqa: N802, D102
        self.number = self.console.callers.add(self)
        self.began_at = self.console.deadlines.now()
        self.timer = self.console.deadlines.after(CALL_TIMEOUT_MS, self.end, "silent")
        self.console.enforce_limit()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        if self.is_call_complete:
            return
        self.parser.feed(data)
        try:
            while not self.is_call_complete and (event := self.parser.next()) is not None:
                if isinstance(event, http.Head):
                    self.message = event.message
                elif isinstance(event, http.End) and self.message is not None:
                    self.is_call_complete = True
                    self.console.handle_call(self, self.message)
        except http.MessageError as error:
            self.answer(error.status, f"{error}\n".encode())
        except Exception as error:
            # An error in one call must not end the process.
            self.console.log.failure("call", error)
            self.answer(500, b"internal error\n")

    def answer(self, status: int, body: bytes, headers: tuple[tuple[str, str], ...] = ()) -> None:
        """Send the answer and close the sending direction."""
        self.is_call_complete = True
        self.reason = "answered"
        self.parser.buffer.clear()
        self.transport.write(http.response(status, body, headers, close=True))
        self.transport.loseWriteConnection()
        self.end_after(LINGER_MS)

    def end_after(self, delay: float) -> None:
        """End the connection after ``delay`` ms."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.console.deadlines.after(delay, self.end, self.reason)

    def end(self, reason: str) -> None:
        """Abort the connection."""
        self.reason = reason
        self.is_aborted = True
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        if self.timer is not None:
            self.timer.cancel()
        self.is_call_complete = True
        self.console.callers.remove(self.number)
        if self.reason != "answered":  # scripts call frequently, so answered calls are not logged
            self.console.log.ended("console", self.number, self.reason)


class Console(Factory):
    """The listener of the console."""

    noisy = False

    def __init__(
        self,
        deadlines: Deadlines,
        log: Log,
        ready: Callable[[], bool],
        figures: Callable[[], Figures],
        calls: dict[str, Call],
    ) -> None:
        self.deadlines = deadlines
        self.log = log
        self.ready = ready
        self.figures = figures
        self.calls = calls
        self.callers: Slots[ConsoleConnection] = Slots()

    def buildProtocol(self, addr: object) -> ConsoleConnection:  # noqa: N802, D102
        return ConsoleConnection(self)

    @property
    def answering(self) -> bool:
        """Whether an answer is still being sent or read."""
        return any(connection.is_call_complete and not connection.is_aborted for connection in self.callers)

    def enforce_limit(self) -> None:
        """End a connection over the limit: answered ones first, then incomplete calls, each oldest first.

        Idle connections and incomplete calls would otherwise block new calls.
        """
        connections = [connection for connection in self.callers if not connection.is_aborted]
        if len(connections) > MAX_CONSOLE_CONNECTIONS:
            first_to_end = min(
                connections,
                key=lambda connection: (
                    connection.reason != "answered",
                    connection.is_call_complete,
                    connection.began_at,
                ),
            )
            first_to_end.end("crowded")

    def handle_call(self, connection: ConsoleConnection, message: http.Message) -> None:
        """Answer a complete call."""
        path, query = http.split_target(message.target)
        method = "POST" if path in self.calls else "GET"
        if path not in self.calls and path not in ("/api/ready", "/api/telemetry"):
            connection.answer(404, b"no such call\n")
        elif message.method != method:
            connection.answer(405, f"{method} only\n".encode(), (("Allow", method),))
        elif path == "/api/telemetry":
            connection.answer(
                200, figures_text(self.figures()), (("Content-Type", "text/plain; charset=utf-8"),)
            )
        elif path == "/api/ready":
            is_ready = self.ready()
            connection.answer(200 if is_ready else 503, b"ready\n" if is_ready else b"not ready\n")
        else:
            self.call_worker(connection, path, parse_qs(query, max_num_fields=20).get("id", []))

    def call_worker(self, connection: ConsoleConnection, path: str, names: list[str]) -> None:
        """Make a call that concerns one worker."""
        if len(names) != 1:
            connection.answer(400, b"one id is needed\n")
            return

        def answered(is_known: bool) -> None:
            self.log.write("call", f"{path} {names[0][:100]!r}: {'yes' if is_known else 'no'}")
            connection.answer(
                200 if is_known else 404, b"yes\n" if is_known else b"no such card worker was ever listed\n"
            )

        result = self.calls[path](names[0])
        if isinstance(result, Deferred):
            result.addCallback(answered)
        else:
            answered(result)
