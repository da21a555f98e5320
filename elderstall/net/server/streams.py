"""The listener that streams progress events to clients that request them.

Streamed jobs have the same engine, deadlines and rules as those with plain answers. A stream ends with one
closing event.
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
    """Return whether the ``Accept`` header names the type of event streams; wildcards do not count."""
    types = [word.split(";", 1)[0].strip() for word in message.headers.tokens("Accept")]
    return MEDIA_TYPE in types


class ClientStream:
    """The client of one job that requested events."""

    def __init__(
        self, connection: RequestConnection, request_id: str, progress_settings: Progress, *, chunked: bool
    ) -> None:
        self.connection = connection
        self.request_id = request_id
        self.progress_settings = progress_settings
        self.chunked = chunked
        self.head_written = False
        self.count = 0
        self.pending: str | None = None  # the latest progress while the client does not read

    def write(self, data: bytes) -> None:
        """Write a piece of the stream."""
        self.connection.transport.write(http.chunk(data) if self.chunked else data)

    def write_head(self) -> None:
        """Write the head of the answer."""
        length = ("Transfer-Encoding", "chunked") if self.chunked else ("Connection", "close")
        fields = [("Content-Type", MEDIA_TYPE), ("Cache-Control", "no-store"), length]
        self.connection.transport.write(http.encode_head("HTTP/1.1 200 OK", fields))

    def write_event(self, name: str, data: str) -> None:
        """Write an event, after the head if it is the first."""
        first = b""
        if not self.head_written:
            self.head_written = True
            self.write_head()
            first = f"retry: {self.progress_settings.retry_ms}\n".encode()
        self.count += 1
        self.write(first + encode_event(name, data, f"{self.request_id}/{self.count}"))

    def progressed(self, share: float, text: str) -> None:
        """Send progress; while the client does not read, only the latest is kept."""
        self.pending = text or json.dumps({"share": share})
        self.flush()

    def flush(self) -> None:
        """Write the pending progress if the client reads."""
        if self.pending is not None and not self.connection.blocked:
            data = self.pending
            self.pending = None
            self.write_event("progress", data)

    def is_connected(self) -> bool:
        """Return whether the client is connected."""
        return self.connection.is_connected()

    def answered(self, answer: Answer) -> None:
        """Write the final answer: an event if the job succeeded or an event was sent, else a plain answer."""
        connection = self.connection
        self.pending = None
        connection.stream = None
        if not self.head_written and not isinstance(answer, Served):
            connection.answered(answer)
            return
        self.write_answer(answer)
        if self.chunked:
            self.write(b"")
        close = (
            not self.chunked or connection.close_after or connection.server.closes_after_answer(connection)
        )
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

    progress_settings = Progress(enabled=True)

    def __init__(self, *args: Any, **named: Any) -> None:
        super().__init__(*args, **named)
        # Ids of jobs submitted with a stream, the oldest first.
        self.started_streams: OrderedDict[str, None] = OrderedDict()

    def streamed_ids(self) -> list[str]:
        """Return the ids of jobs that were submitted with a stream, even if no event was sent."""
        return list(self.started_streams)

    def inherit_streamed_ids(self, streamed_ids: list[str]) -> None:
        """Add the ids of streamed jobs from the predecessor."""
        self.started_streams.update(dict.fromkeys(streamed_ids))

    def submit(self, connection: RequestConnection, message: http.Message, request: JobRequest) -> None:
        """Submit a job, with a stream if its client requests one.

        A reconnect after a broken stream is answered 204, which by the format's rules stops the client's
        reconnects. Otherwise the job would run again.
        """
        if any(message.headers.all("Last-Event-ID")) or request.request_id in self.started_streams:
            connection.reply(204)
        elif accepts_stream(message):
            self.submit_stream(connection, message, request)
        else:
            super().submit(connection, message, request)

    def submit_stream(
        self, connection: RequestConnection, message: http.Message, request: JobRequest
    ) -> None:
        """Submit a job whose client receives a stream."""
        # Twisted uses bufferSize for the size of a read too. The connection's later requests keep this value.
        connection.transport.bufferSize = self.progress_settings.coalesce_bytes
        chunked = message.version >= (1, 1)
        stream = ClientStream(connection, request.request_id, self.progress_settings, chunked=chunked)
        connection.stream = stream
        try:
            self.submit_for(stream, connection, message, request)
        except RequestError:
            connection.stream = None
            raise
        self.retain_id(request.request_id)

    def retain_id(self, request_id: str) -> None:
        """Retain the id of a streamed job, and drop the oldest ids above the limit."""
        self.started_streams[request_id] = None
        while len(self.started_streams) > self.progress_settings.remember:
            self.started_streams.popitem(last=False)
