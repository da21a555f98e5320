"""The requests on one connection and their answers: one at a time, in order."""

from __future__ import annotations

from typing import Protocol as Interface

from elderstall.messages import Answer, JobRequest, Rejected, Served
from elderstall.net import http
from elderstall.net.peer import left, unread
from elderstall.net.server.admission import Activity
from elderstall.net.server.closing import ClosingConnection
from elderstall.net.server.requests import HeaderFields, RequestError, retry_after
from elderstall.net.server.state import CloseReason, SharedState

READ_AHEAD = http.MAX_HEAD + http.MAX_BODY  # bytes kept behind a request in hand: one more at its largest
CROWDED_AHEAD = 4 * 1024  # the same while all connections together keep more than they should
RESULT_HEADERS = (("Content-Type", "application/octet-stream"),)


class RequestHandler(SharedState, Interface):
    """What a connection gives its requests to."""

    shortened: bool  # jobs are taken only for the time that this process still has

    def check_head(self, message: http.Message) -> JobRequest | None:
        """Check a head; a job's gives what it asks for."""

    def handle(self, connection: RequestConnection, message: http.Message) -> None:
        """Answer a request."""

    def closes(self, connection: RequestConnection) -> bool:
        """Say whether a connection ends after its answer."""

    def close_reason(self) -> CloseReason:
        """Name the reason of such an end."""

    def hand_over_idle(self, connection: RequestConnection) -> bool:
        """Leave a connection that is between requests to the other process of an upgrade."""

    def passed(self, connection: RequestConnection, *, whole: bool) -> None:
        """Give a connection that this process has let go of to the other one."""


class RequestConnection(ClosingConnection):
    """A connection that reads requests and answers them; it is the client of the job that came by it."""

    server: RequestHandler

    def __init__(self, server: RequestHandler) -> None:
        super().__init__(server)
        self.processing = False  # events of the parser are being handled: guards against doing so twice

    # ---- reading ----

    def expect_request(self, began: float) -> None:
        """Give the peer its time for a request that has begun."""
        self.message_began = began
        self.server.table.set_activity(self, Activity.READING)
        self.set_timeout(self.server.timeouts.request, CloseReason.SLOW_REQUEST)

    def process_received(self) -> None:
        """Read what has come, as far as answers may go out."""
        if self.processing:
            return
        self.processing = True
        try:
            while not (self.busy or self.blocked or self.closing):
                event = self.parser.next()
                if event is None:
                    break
                self.handle_event(event)
        except http.MessageError as error:
            self.refuse(error.status, CloseReason.BAD_REQUEST, f"{error}\n".encode())
        except RequestError as denied:
            # Guards against the same again on the same connection, at once and hundreds of times.
            self.refuse_request(denied)
        except Exception as error:
            # Guards the other connections against a fault met in one request.
            self.server.log.failure("request", error)
            self.refuse(500, CloseReason.BUG, b"internal error\n")
        finally:
            self.processing = False
        self.count_kept_bytes()
        self.bound_read_ahead()

    def refuse_request(self, denied: RequestError) -> None:
        """Answer a request that is not to be served, and close."""
        self.refuse(denied.status, CloseReason.BAD_REQUEST, denied.body, denied.headers)

    def bound_read_ahead(self) -> None:
        """Read no further while enough lies behind the request in hand."""
        most = CROWDED_AHEAD if self.server.kept.over_limit else READ_AHEAD
        full = (self.busy or self.blocked) and len(self.parser.buffer) > most
        if full != self.paused and not self.closing:
            self.paused = full
            (self.transport.pauseProducing if full else self.transport.resumeProducing)()
            if full:
                self.watch_departure()

    def handle_event(self, event: http.Event) -> None:
        """Gather a request."""
        if isinstance(event, http.Head):
            self.begin_request(event.message)
        elif isinstance(event, http.Data):
            self.body_parts.append(event.data)
            self.body_size += len(event.data)
        elif self.message is not None:
            self.handle_request(self.message)

    def begin_request(self, message: http.Message) -> None:
        """Check a head before its body has come: what is wrong with it is answered without reading on."""
        self.message, self.body_parts, self.body_size = message, [], 0
        if message.version >= (1, 1) and len(message.headers.all("Host")) != 1:
            raise http.MessageError(400, "Host is missing or stands twice")
        self.job_request = self.server.check_head(message)
        self.server.table.set_activity(self, Activity.READING)
        expect = message.headers.tokens("Expect")
        if expect == ["100-continue"]:
            self.transport.write(http.response(100))
        elif expect:
            raise http.MessageError(417, "unknown expectation")

    def handle_request(self, message: http.Message) -> None:
        """Have a whole request answered."""
        self.message = None
        message.body, self.body_parts = b"".join(self.body_parts), []
        self.requests += 1
        self.busy, self.close_after = True, not message.keep_alive
        self.server.table.set_activity(self, None)
        self.cancel_timeout()
        try:
            self.server.handle(self, message)
        except RequestError as denied:
            if denied.status < 500:
                raise
            self.reply(denied.status, denied.body, denied.headers)
        finally:
            self.first_byte_at = self.last_received if len(self.parser.buffer) else None

    def time_since_first_byte(self) -> float:
        """Say how long ago the first bytes of the request in hand came, ms: its client waits since then."""
        if self.first_byte_at is None:
            return 0.0
        return self.server.deadlines.now() - self.first_byte_at

    # ---- answering ----

    def reply(self, status: int, body: bytes = b"", headers: HeaderFields = ()) -> None:
        """Answer the request in hand and go on to the next."""
        if not self.busy or self.closing:
            return
        close = self.close_after or self.server.closes(self)
        self.transport.write(http.response(status, body, headers, close))
        self.finish_request(close=close)

    @property
    def more_came(self) -> bool:
        """Whether another request, or a part of one, has come behind the one in hand."""
        return not self.parser.idle or unread(self.transport)

    def finish_request(self, *, close: bool) -> None:
        """Go on after an answer."""
        self.busy, self.job, self.original, self.body_size = False, None, None, 0
        if close:
            self.linger(self.server.close_reason(), discard=False)
        elif self.blocked:
            self.watch_writing()
        else:
            self.await_request()

    def await_request(self) -> None:
        """Wait for the next request, or go on with one that has come already."""
        if self.server.hand_over_idle(self):
            return
        self.grace_used = False
        between = Activity.IDLE if self.client or self.worker else Activity.HEALTH_CHECKED
        self.server.table.set_activity(self, between)
        self.set_timeout(self.server.timeouts.idle, CloseReason.IDLE)
        if not self.parser.idle:
            self.expect_request(self.server.deadlines.now())
        self.process_received()

    # ---- the job's client ----

    def answered(self, answer: Answer) -> None:
        """Write the job's final answer."""
        self.job = None
        if isinstance(answer, Served):
            self.reply(200, answer.result, RESULT_HEADERS)
        elif isinstance(answer, Rejected):
            self.rejected_in_shutdown = self.server.shortened
            self.reply(503, b"refused\n", retry_after(answer.retry_after))
        else:
            self.reply(504 if answer.timed_out else 502, b"failed\n")

    def progressed(self, share: float, text: str) -> None:
        """Plain answers carry no progress."""

    def is_connected(self) -> bool:
        """Say whether the client is still there: its end may wait to be read."""
        return not left(self.transport)
