"""The listener with progress on: a client that asks for events gets its job's progress as it comes.

Same engine, same deadlines, same rules as for plain answers, and one closing event.
"""

from __future__ import annotations

import json
from collections import OrderedDict
from typing import Any

from elderstall.config import Progress
from elderstall.messages import Answer, Failed, JobRequest, Rejected, Served
from elderstall.net import http
from elderstall.net.event_stream import MEDIA_TYPE, encode_event
from elderstall.net.server.listener import Server
from elderstall.net.server.request_connection import RequestConnection
from elderstall.net.server.requests import RequestError


def accepts_stream(message: http.Message) -> bool:
    """Say whether a client asks for the format by name."""
    types = [word.split(";", 1)[0].strip() for word in message.headers.tokens("Accept")]
    return MEDIA_TYPE in types


class ClientStream:
    """The client of one job that asked for events."""

    def __init__(
        self, connection: RequestConnection, request_id: str, setup: Progress, *, chunked: bool
    ) -> None:
        self.connection, self.request_id, self.setup, self.chunked = connection, request_id, setup, chunked
        self.begun = False
        self.count = 0
        self.pending: str | None = None  # the newest progress, while the client does not read

    def write(self, data: bytes) -> None:
        """Write a piece of the stream."""
        self.connection.transport.write(http.chunk(data) if self.chunked else data)

    def write_head(self) -> None:
        """Write the head of the answer."""
        length = ("Transfer-Encoding", "chunked") if self.chunked else ("Connection", "close")
        fields = [("Content-Type", MEDIA_TYPE), ("Cache-Control", "no-store"), length]
        self.connection.transport.write(http.head_of("HTTP/1.1 200 OK", fields))

    def write_event(self, name: str, data: str) -> None:
        """Write an event, after the head if it is the first."""
        first = b""
        if not self.begun:
            self.begun = True
            self.write_head()
            first = f"retry: {self.setup.retry_ms}\n".encode()
        self.count += 1
        self.write(first + encode_event(name, data, f"{self.request_id}/{self.count}"))

    def progressed(self, share: float, text: str) -> None:
        """Pass progress on; while the client does not read, only the newest is kept."""
        self.pending = text or json.dumps({"share": share})
        self.flush()

    def flush(self) -> None:
        """Write the progress that has waited, if the client reads."""
        if self.pending is not None and not self.connection.blocked:
            data, self.pending = self.pending, None
            self.write_event("progress", data)

    def is_connected(self) -> bool:
        """Say whether the client is still there."""
        return self.connection.is_connected()

    def answered(self, answer: Answer) -> None:
        """Give the one final answer: plain where no event has gone out and none must, else an event."""
        connection = self.connection
        self.pending = None
        connection.stream = None
        if not self.begun and not isinstance(answer, Served):
            connection.answered(answer)
            return
        self.write_answer(answer)
        if self.chunked:
            self.write(b"")
        close = not self.chunked or connection.close_after or connection.server.closes(connection)
        connection.finish_request(close=close)

    def write_answer(self, answer: Answer) -> None:
        """Write the closing event."""
        if isinstance(answer, Served):
            self.write_event("result", answer.result.decode("utf-8", "replace"))
        elif isinstance(answer, Rejected):
            self.write_event("error", json.dumps({"status": 503, "retry_after_ms": answer.retry_after}))
        else:
            late = isinstance(answer, Failed) and answer.timed_out
            self.write_event("error", json.dumps({"status": 504 if late else 502}))


class ProgressServer(Server):
    """The listener that streams progress to clients which ask for it."""

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

    def submit(self, connection: RequestConnection, message: http.Message, request: JobRequest) -> None:
        """Hand a job in, with a stream for its client if that is asked for.

        Guards against a job that runs again because its client's stream broke: a reconnect is answered
        204, which by the format's rules ends the client's attempts.
        """
        if any(message.headers.all("Last-Event-ID")) or request.request_id in self.begun:
            connection.reply(204)
        elif accepts_stream(message):
            self.submit_stream(connection, message, request)
        else:
            super().submit(connection, message, request)

    def submit_stream(
        self, connection: RequestConnection, message: http.Message, request: JobRequest
    ) -> None:
        """Hand a job in for a stream."""
        connection.transport.bufferSize = self.setup.coalesce_bytes
        chunked = message.version >= (1, 1)
        stream = ClientStream(connection, request.request_id, self.setup, chunked=chunked)
        connection.stream = stream
        try:
            self.submit_for(stream, connection, message, request)
        except RequestError:
            connection.stream = None
            raise
        self.remember(request.request_id)

    def remember(self, request_id: str) -> None:
        """Keep the id of a job that was streamed, and forget the oldest."""
        self.begun[request_id] = None
        while len(self.begun) > self.setup.remember:
            self.begun.popitem(last=False)
