"""Requests on one connection and their answers: one at a time, in order."""

from __future__ import annotations

from typing import Protocol as Interface

from elderstall.messages import Answer, JobRequest, Rejected, Served
from elderstall.net import http
from elderstall.net.peer import has_peer_closed, has_unread_data, has_unwritten_data
from elderstall.net.server.admission import Activity
from elderstall.net.server.closing import ClosingConnection
from elderstall.net.server.requests import HeaderFields, RequestError, retry_after
from elderstall.net.server.state import CloseReason, SharedState

# Kept behind the current request; more stays in the system. One read can go beyond it.
MAX_READ_AHEAD_BYTES = 4 * 1024
RECEIPT_WAIT_MS = 10.0  # from an answer to the reset by a client that has left, within a data centre
RESULT_HEADERS = (("Content-Type", "application/octet-stream"),)


class RequestHandler(SharedState, Interface):
    """The handler of a connection's requests."""

    @property
    def limits_budgets(self) -> bool:
        """Whether the budgets of jobs that are read now end at the shutdown deadline."""

    def check_head(self, message: http.Message) -> JobRequest | None:
        """Check a head; return the request if it is a job's, else None."""

    def handle(self, connection: RequestConnection, message: http.Message) -> None:
        """Answer a request."""

    def closes_after_answer(self, connection: RequestConnection) -> bool:
        """Return whether a connection ends after its answer."""

    def close_reason(self) -> CloseReason:
        """Return the reason for closing a connection after its answer."""

    def hand_over_idle(self, connection: RequestConnection) -> bool:
        """Hand over a connection that is between requests; return whether it was released."""

    def complete_hand_over(self, connection: RequestConnection, *, closed_cleanly: bool) -> None:
        """Send a released connection to the peer process, or end its job if the connection broke."""


class RequestConnection(ClosingConnection):
    """A connection that reads and answers requests; it is the client of its current job."""

    server: RequestHandler

    def __init__(self, server: RequestHandler) -> None:
        super().__init__(server)
        self.is_processing = False  # handling events of the parser; prevents reentry

    # ---- reading ----

    def expect_request(self, began: float) -> None:
        """Start the time-out of a request that began at a reading of the clock, ms."""
        self.message_began_at = began
        self.server.table.set_activity(self, Activity.READING)
        self.set_timeout(self.server.timeouts.request, CloseReason.SLOW_REQUEST)

    def process_received(self) -> None:
        """Handle the received data, now or when other connections leave time for it."""
        if self.is_processing:
            return
        if not self.is_queued and self.server.work.may_work_now:
            self.process_slice()
        else:
            self.server.work.add(self, continued=False)
            self.count_kept_bytes()
            self.limit_read_ahead()

    def process_slice(self) -> None:
        """Handle received data while answers can be written, for up to one slice of the loop's time."""
        work = self.server.work
        is_slice_over = False
        self.is_processing = True
        work.start_slice()
        try:
            while not (self.is_waiting or self.closing or is_slice_over):
                event = self.parser.next()
                if event is None:
                    break
                self.handle_event(event)
                is_slice_over = work.is_slice_over
        except http.MessageError as error:
            self.refuse(error.status, CloseReason.BAD_REQUEST, f"{error}\n".encode())
        except RequestError as denied:
            # Closes: the client could repeat the request on this connection at once, hundreds of times.
            self.refuse_request(denied)
        except Exception as error:
            # An error in one request must not affect the other connections.
            self.server.log.failure("request", error)
            self.refuse(500, CloseReason.BUG, b"internal error\n")
        finally:
            self.is_processing = False
            self.server.turns.record_work("peer", self.number, work.end_slice())
        # Without bytes left the end of a request may still be due.
        if is_slice_over and not (self.is_waiting or self.closing or self.parser.idle):
            work.add(self, continued=True)
        self.count_kept_bytes()
        self.limit_read_ahead()

    @property
    def input_bytes(self) -> int:
        """The bytes that have been received and not handled."""
        return len(self.parser.buffer)

    @property
    def is_waiting(self) -> bool:
        """Whether the next request has to wait for the current one, for its answer or for the peer."""
        return self.busy or self.blocked or self.receipt_check is not None

    def refuse_request(self, denied: RequestError) -> None:
        """Answer a refused request with its error, and close."""
        self.refuse(denied.status, CloseReason.BAD_REQUEST, denied.body, denied.headers)

    def limit_read_ahead(self) -> None:
        """Pause reading while enough data is kept behind the current request."""
        full = (self.is_waiting or self.is_queued) and len(self.parser.buffer) > MAX_READ_AHEAD_BYTES
        if full != self.paused and not self.closing:
            self.paused = full
            (self.transport.pauseProducing if full else self.transport.resumeProducing)()
            if full:
                self.watch_departure()

    def handle_event(self, event: http.Event) -> None:
        """Handle an event of the parser: a head, a piece of a body, or a request's end."""
        if isinstance(event, http.Head):
            self.begin_request(event.message)
        elif isinstance(event, http.Data):
            self.body += event.data
            self.request_bytes += len(event.data)
        elif self.message is not None:
            self.handle_request(self.message)

    def begin_request(self, message: http.Message) -> None:
        """Check a head before its body is received, so that an error is answered without reading on."""
        self.message = message
        self.body = bytearray()
        self.request_bytes = message.memory_bytes
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
        """Pass a complete request to the handler."""
        self.message = None
        message.body = bytes(self.body)
        self.body = bytearray()
        self.requests += 1
        self.busy = True
        self.close_after = not message.keep_alive
        self.server.table.set_activity(self, None)
        self.cancel_timeout()
        try:
            self.server.handle(self, message)
        except RequestError as denied:
            if denied.status < 500:
                raise
            self.reply(denied.status, denied.body, denied.headers)
        finally:
            self.first_byte_at = self.last_received_at if len(self.parser.buffer) else None

    def time_since_first_byte(self) -> float:
        """Return the time since the current request's first bytes, ms: its client has waited since then."""
        if self.first_byte_at is None:
            return 0.0
        return self.server.deadlines.now() - self.first_byte_at

    # ---- answering ----

    def reply(self, status: int, body: bytes = b"", headers: HeaderFields = ()) -> None:
        """Answer the current request and continue with the next one."""
        if not self.busy or self.closing:
            return
        close = self.close_after or self.server.closes_after_answer(self)
        self.transport.write(http.response(status, body, headers, close))
        self.finish_request(close=close)

    @property
    def has_pending_input(self) -> bool:
        """Whether data has been received after the current request."""
        return not self.parser.idle or has_unread_data(self.transport)

    def finish_request(self, *, close: bool) -> None:
        """Close the connection or continue with the next request after an answer."""
        after_job = self.original is not None
        self.busy = False
        self.job = None
        self.original = None
        self.request_bytes = 0
        if close:
            self.linger(self.server.close_reason(), discard=False)
        elif self.blocked:
            self.watch_writing()
        else:
            self.await_request(after_job=after_job)

    def await_request(self, *, after_job: bool = False) -> None:
        """Wait for the next request, or handle one that has been received already."""
        if self.server.hand_over_idle(self):
            return
        self.grace_used = False
        idle_activity = Activity.IDLE if self.is_client or self.is_worker else Activity.HEALTH_CHECKED
        self.server.table.set_activity(self, idle_activity)
        self.set_timeout(self.server.timeouts.idle, CloseReason.IDLE)
        if not self.parser.idle:
            self.expect_request(self.server.deadlines.now())
            if after_job and has_unread_data(self.transport):
                self.await_receipt()
        self.process_received()

    def await_receipt(self) -> None:
        """Hold back the next request until a client that has left would have reset the connection.

        The end of a client that sent much during its job and left stands behind all that it sent, and cannot
        be seen while some of it is unread. Its system resets the connection when the answer arrives.
        """
        self.receipt_check = self.server.deadlines.after(RECEIPT_WAIT_MS, self.check_receipt)

    def check_receipt(self) -> None:
        """Continue with the next request, unless the client has left."""
        self.receipt_check = None
        if self.closing or self.busy:
            return
        if has_peer_closed(self.transport):
            self.reason = CloseReason.CLIENT_GONE
            self.transport.abortConnection()
        elif has_unwritten_data(self.transport):
            self.await_receipt()
        else:
            self.process_received()

    # ---- the job's client ----

    def answered(self, answer: Answer) -> None:
        """Handle the job's final answer."""
        self.job = None
        if isinstance(answer, Served):
            self.reply(200, answer.result, RESULT_HEADERS)
        elif isinstance(answer, Rejected):
            self.rejected_in_shutdown = self.server.limits_budgets
            self.reply(503, b"refused\n", retry_after(answer.retry_after))
        else:
            self.reply(504 if answer.timed_out else 502, b"failed\n")

    def progressed(self, share: float, text: str) -> None:
        """Ignore progress, as a plain answer carries none."""

    def is_connected(self) -> bool:
        """Return whether the client is connected, even if its end has not been read yet."""
        return not has_peer_closed(self.transport)
