"""The second front: server-sent events for progress, from a worker through to the client.

Same core, same deadlines, same rules. A worker answers a job with a ``text/event-stream`` of ``progress``
events and one ``result`` or ``error``; a worker that answers 202 and calls back serves as well. A client that
accepts the format gets progress as it comes, and one closing event.
"""

from __future__ import annotations

import codecs
import json
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from elderstall.config import Progress
from elderstall.messages import Answer, Failed, JobRequest, Rejected, Served
from elderstall.net import http
from elderstall.net.server import RequestError, Server, ServerConnection

MEDIA_TYPE = "text/event-stream"
EVENT_MOST = http.MAX_BODY  # characters of one event, as of one body


@dataclass(slots=True, frozen=True)
class ServerEvent:
    """One event of a stream."""

    event: str
    data: str
    last_id: str = ""


class EventParser:
    """WHATWG's event stream, split anywhere: UTF-8, any line end, comments, several data lines.

    An event that no empty line closes is never given.
    """

    def __init__(self) -> None:
        self.decoder = codecs.getincrementaldecoder("utf-8")(errors="replace")
        self.line: list[str] = []
        self.after_cr = self.begun = False
        self.event, self.last_id = "", ""
        self.data: list[str] = []
        self.size = 0
        self.retry: int | None = None

    def feed(self, data: bytes) -> Iterator[ServerEvent]:
        """Take bytes and give the events they complete."""
        text = self.decoder.decode(data)
        if text and not self.begun:
            self.begun = True
            text = text.removeprefix("\ufeff")
        at = 0
        while at < len(text):
            if self.after_cr:
                self.after_cr = False
                if text[at] == "\n":
                    at += 1
                    continue
            ends = [n for n in (text.find("\r", at), text.find("\n", at)) if n >= 0]
            end = min(ends, default=len(text))
            self.grow(end - at)
            self.line.append(text[at:end])
            if not ends:
                break
            self.after_cr = text[end] == "\r"
            at = end + 1
            line = "".join(self.line)
            self.line.clear()
            if line:
                self.field(line)
            elif (event := self.dispatch()) is not None:
                yield event

    def grow(self, by: int) -> None:
        """Bound what one event may hold."""
        self.size += by
        if self.size > EVENT_MOST:
            raise http.MessageError(502, "event too long")

    def field(self, line: str) -> None:
        """Take one line that is not empty."""
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "event":
            self.event = value
        elif name == "data":
            self.data.append(value)
        elif name == "id" and "\0" not in value:
            self.last_id = value
        elif name == "retry" and value.isascii() and value.isdigit():
            self.retry = int(value)
        elif not name:  # a comment counts for nothing, however many keep a stream alive
            self.size -= len(line)

    def dispatch(self) -> ServerEvent | None:
        """Give the event that an empty line closes; one without data is none."""
        event, data = self.event or "message", "\n".join(self.data)
        given = bool(self.data)
        self.event, self.size = "", 0
        self.data.clear()
        return ServerEvent(event, data, self.last_id) if given else None


def written(event: str, data: str, event_id: str = "") -> bytes:
    """Write an event; the format knows one line end inside data, so others become it."""
    lines = data.replace("\r\n", "\n").replace("\r", "\n").split("\n")
    fields = ([f"id: {event_id}"] if event_id else []) + [f"event: {event}", *(f"data: {x}" for x in lines)]
    return ("\n".join(fields) + "\n\n").encode("utf-8", "replace")


def accepts_stream(message: http.Message) -> bool:
    """Say whether a client asks for the format by name."""
    types = [word.split(";", 1)[0].strip() for word in message.headers.tokens("Accept")]
    return MEDIA_TYPE in types


def share_of(data: str) -> float:
    """Read the part done from a progress event's data; one that tells none counts as 0."""
    try:
        value: Any = json.loads(data)
    except (ValueError, RecursionError):
        return 0.0
    if isinstance(value, dict):
        value = value.get("share")
    good = isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= 1
    return float(value) if good else 0.0


# ---- the client's side ----


class ClientStream:
    """The client of one job that asked for events."""

    def __init__(self, connection: ServerConnection, request_id: str, chunked: bool, setup: Progress) -> None:
        self.connection, self.request_id, self.chunked, self.setup = connection, request_id, chunked, setup
        self.begun = False
        self.count = 0
        self.pending: str | None = None  # the newest progress, while the client does not read

    def write(self, data: bytes) -> None:
        """Write a piece of the stream."""
        self.connection.transport.write(http.chunk(data) if self.chunked else data)

    def event(self, name: str, data: str) -> None:
        """Write an event, after the head if it is the first."""
        first = b""
        if not self.begun:
            self.begun = True
            fields = [("Content-Type", MEDIA_TYPE), ("Cache-Control", "no-store")]
            fields.append(("Transfer-Encoding", "chunked") if self.chunked else ("Connection", "close"))
            self.connection.transport.write(http.head_of("HTTP/1.1 200 OK", fields))
            first = f"retry: {self.setup.retry_ms}\n".encode()
        self.count += 1
        self.write(first + written(name, data, f"{self.request_id}/{self.count}"))

    def progressed(self, share: float, text: str) -> None:
        """Pass progress on; while the client does not read, only the newest is kept."""
        self.pending = text or json.dumps({"share": share})
        self.flush()

    def flush(self) -> None:
        """Write the progress that has waited, if the client reads."""
        if self.pending is not None and not self.connection.blocked:
            data, self.pending = self.pending, None
            self.event("progress", data)

    def here(self) -> bool:
        """Say whether the client is still there."""
        return self.connection.here()

    def answered(self, answer: Answer) -> None:
        """Give the one final answer: plain where no event has gone out and none must, else an event."""
        self.pending = None
        self.connection.stream = None
        if isinstance(answer, Served):
            self.event("result", answer.result.decode("utf-8", "replace"))
        elif not self.begun:
            self.connection.answered(answer)
            return
        elif isinstance(answer, Rejected):
            self.event("error", json.dumps({"status": 503, "retry_after_ms": answer.retry_after}))
        else:
            late = isinstance(answer, Failed) and answer.late
            self.event("error", json.dumps({"status": 504 if late else 502}))
        if self.chunked:
            self.write(b"")
        connection = self.connection
        connection.over(not self.chunked or connection.close_after or connection.server.closes(connection))


class ProgressServer(Server):
    """The listener with the second front on."""

    setup = Progress(enabled=True)

    def __init__(self, *args: Any, **named: Any) -> None:
        super().__init__(*args, **named)
        self.begun: OrderedDict[str, None] = OrderedDict()  # ids of the latest jobs that were streamed

    def streamed(self) -> list[str]:
        """Give the ids whose streams have begun."""
        return list(self.begun)

    def inherit(self, streamed: list[str]) -> None:
        """Take those of the process that hands over."""
        self.begun.update(dict.fromkeys(streamed))

    def submit(self, c: ServerConnection, message: http.Message, ask: JobRequest) -> None:
        """Hand a job in, with a stream for its client if that is asked for.

        Guards against a job that runs again because its client's stream broke: a reconnect is answered
        204, which by the format's rules ends the client's attempts.
        """
        if any(message.headers.all("Last-Event-ID")) or ask.request_id in self.begun:
            c.reply(204)
            return
        if not accepts_stream(message):
            super().submit(c, message, ask)
            return
        c.transport.bufferSize = self.setup.coalesce_bytes
        c.stream = ClientStream(c, ask.request_id, message.version >= (1, 1), self.setup)
        try:
            self.enter(c, c.stream, ask, message)
        except RequestError:
            c.stream = None
            raise
        self.begun[ask.request_id] = None
        while len(self.begun) > self.setup.remember:
            self.begun.popitem(last=False)
