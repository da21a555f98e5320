"""The ends of connections: by a time-out, after the last answer, or when descriptors run short."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from elderstall.net import http
from elderstall.net.peer import (
    end_writing,
    has_peer_closed,
    has_unread_data,
    has_unwritten_data,
    unwritten_bytes,
)
from elderstall.net.server.admission import Activity
from elderstall.net.server.requests import BUSY_RETRY_AFTER_MS, HeaderFields, retry_after
from elderstall.net.server.state import CloseReason, ConnectionState, Stage

DEPARTURE_CHECK_INTERVAL_MS = 50.0  # between checks for the end of a peer from which nothing is read
# From closing this side to ending the connection, so that no reset overtakes the last answer; also from
# ending a connection with nothing unwritten to aborting it.
LINGER_TIMEOUT_MS = 1_000.0
# The longest gap between the bytes of a body before its request times out; also the interval of this check.
MAX_BODY_PAUSE_MS = 500.0
SMALL_REQUEST_BYTES = 4 * 1024  # as kept, with its head; refused only if it does not end in time
UNREAD_DATA_GRACE_MS = 100.0  # to read data that is still unread when its connection times out


class ClosingConnection(ConnectionState):
    """A connection with its time-outs and ways to close."""

    # ---- time-outs of a request ----

    def set_timeout(self, delay: float, reason: CloseReason) -> None:
        """Close the connection for a reason after a delay, ms, unless the time-out is cancelled."""
        self.cancel_timeout()
        self.timeout = self.server.deadlines.after(delay, self.expire, reason)

    def cancel_timeout(self) -> None:
        """Cancel the time-out."""
        if self.timeout is not None:
            self.timeout.cancel()

    def expire(self, reason: CloseReason) -> None:
        """End a connection that timed out; one whose body is still being received gets a little longer."""
        if self.job is not None or self.busy:
            return
        if self.is_queued:  # what has come waits for this process, not for the client
            self.set_timeout(UNREAD_DATA_GRACE_MS, reason)
            return
        now = self.server.deadlines.now()
        body_deadline = min(
            self.last_received_at + MAX_BODY_PAUSE_MS, self.message_began_at + self.server.timeouts.body
        )
        if self.message is not None and now < body_deadline:
            self.set_timeout(MAX_BODY_PAUSE_MS, reason)
        elif not self.grace_used and has_unread_data(self.transport):
            # A request, or the rest of one, may be unread: it is read first.
            self.grace_used = True
            self.set_timeout(UNREAD_DATA_GRACE_MS, reason)
        elif self.message is not None or not self.parser.idle:
            self.refuse(408, CloseReason.SLOW_REQUEST, b"request took too long\n")
        else:
            self.end(reason)

    # ---- a peer from which nothing is read ----

    def watch_departure(self) -> None:
        """Check at intervals whether the peer has closed while nothing is read from it."""
        if self.departure_check is None:
            self.departure_check = self.server.deadlines.after(
                DEPARTURE_CHECK_INTERVAL_MS, self.check_departure
            )

    def check_departure(self) -> None:
        """End the connection if the peer has closed.

        While reading is paused, the end of the stream is not read, as unread data precedes it.
        """
        self.departure_check = None
        if not self.paused:
            return
        if not has_peer_closed(self.transport):
            self.watch_departure()
        elif self.closing:
            self.end(self.reason)
        else:
            self.reason = CloseReason.CLIENT_GONE
            self.transport.abortConnection()

    # ---- a peer that reads nothing ----

    def watch_writing(self) -> None:
        """Start the time-out for the peer to read its answer; one that has sent no job may be shed."""
        if not (self.closing or self.is_client or self.is_worker):
            self.server.table.set_activity(self, Activity.NOT_READING)
        self.set_end_timer(self.server.timeouts.write, self.abort_slow_reader)

    def abort_slow_reader(self) -> None:
        """Abort the connection of a peer that does not read."""
        self.reason = CloseReason.SLOW_READER
        self.transport.abortConnection()

    # ---- memory ----

    def count_kept_bytes(self) -> None:
        """Update the kept bytes; refuse an incomplete request if the total is over the limit."""
        kept = 0 if self.closing else self.parser.buffer.memory_bytes + self.request_bytes
        if self.blocked:
            kept += unwritten_bytes(self.transport)
        self.server.kept.total += kept - self.kept_bytes
        self.kept_bytes = kept
        self.peak_kept_bytes = max(self.peak_kept_bytes, kept)
        # Small requests are let through: the limit on connections bounds what they keep.
        unfinished = kept > SMALL_REQUEST_BYTES and not self.busy and not self.closing
        if unfinished and self.server.kept.is_over_limit:
            if self.message is not None:
                self.count_rejected()
            retry = retry_after(BUSY_RETRY_AFTER_MS)
            self.refuse(503, CloseReason.MEMORY, b"too much is being read\n", retry)

    def count_rejected(self) -> None:
        """Count the job whose head has been read as rejected."""
        if self.job_request is not None:
            self.server.engine.count_rejected(self.job_request.job_class)

    # ---- closing ----

    def refuse(self, status: int, reason: CloseReason, body: bytes, headers: HeaderFields = ()) -> None:
        """Answer a request that is not served with an error, and close."""
        self.busy = False
        self.transport.write(http.response(status, body, headers, close=True))
        self.linger(reason)

    def linger(self, reason: CloseReason, *, discard: bool = True) -> None:
        """Close this side, and the connection once the peer has closed its own or the linger time is over.

        With ``discard`` further data belongs to a refused request; it is read and dropped so that no reset
        overtakes the answer. Without it further data is a new request that crossed the close. It is left
        unread: a client sends an unread request again, but loses one that was read.
        """
        if not self.closing:
            self.stage = Stage.CLOSING
        self.reason = reason
        self.server.table.set_activity(self, Activity.LINGERING)
        self.drop_request()
        self.count_kept_bytes()
        if self.paused is discard:  # reading continues only to discard
            self.paused = not discard
            (self.transport.resumeProducing if discard else self.transport.pauseProducing)()
        if self.paused:
            self.watch_departure()
        if self.blocked:
            self.watch_writing()  # this side closes once the peer has read its answer
        else:
            self.close_writing()

    def drop_request(self) -> None:
        """Free the memory of what has been received."""
        self.parser.buffer.clear()
        self.message = None
        self.job_request = None
        self.original = None
        self.body = bytearray()
        self.request_bytes = 0

    def close_writing(self) -> None:
        """Close this side of the connection."""
        self.transport.unregisterProducer()
        # After it the transport must not write, not even nothing: it would take the error for a broken peer.
        if not end_writing(self.transport):
            self.transport.loseWriteConnection()
        self.set_end_timer(LINGER_TIMEOUT_MS, self.end, self.reason)

    def end(self, reason: CloseReason) -> None:
        """Close the connection."""
        self.cancel_timeout()
        if not self.closing:
            self.stage = Stage.CLOSING
            self.reason = reason
            self.transport.unregisterProducer()
        self.server.table.set_activity(self, None)
        self.mark_ending()
        end_writing(self.transport)
        # A peer that reads nothing would hold the connection for ever; a slow one still gets its answer.
        delay = self.server.timeouts.write if has_unwritten_data(self.transport) else LINGER_TIMEOUT_MS
        # Set first, as the transport may call connectionLost at once, which cancels it.
        self.set_end_timer(delay, self.transport.abortConnection)
        self.transport.loseConnection()

    def set_end_timer(self, delay: float, call: Callable[..., object], *args: Any) -> None:
        """Schedule the next step of the connection's end after a delay, ms.

        Replaces the time-out, and is cancelled when the connection is lost: a step that comes later would
        keep a lost connection in memory.
        """
        self.cancel_timeout()
        self.timeout = self.server.deadlines.after(delay, call, *args)

    def mark_ending(self) -> None:
        """Record that the descriptor will soon be free."""
        if self.stage is not Stage.ENDING:
            self.stage = Stage.ENDING
            self.server.table.ending_count += 1

    def shed(self) -> None:
        """Close at once as descriptors run short; a client that is sending a request is told to retry."""
        if self.closing:  # ended in the next turn, as ending may call connectionLost at once
            self.server.table.set_activity(self, None)
            self.mark_ending()
            self.set_end_timer(0.0, self.end, self.reason)
            return
        if self.blocked:  # it would not read a refusal either
            self.reason = CloseReason.CROWDED
            self.server.table.set_activity(self, None)
            self.mark_ending()
            self.transport.abortConnection()
            return
        if self.message is not None or not self.parser.idle:
            self.count_rejected()
            retry = retry_after(BUSY_RETRY_AFTER_MS)
            if has_unread_data(self.transport):  # a close over it would reset the connection and the answer
                self.refuse(503, CloseReason.CROWDED, b"too many connections\n", retry)
                self.server.table.set_activity(self, None)
                self.mark_ending()  # its descriptor is counted as free: no other one is shed in its place
                return
            self.transport.write(http.response(503, b"too many connections\n", retry, close=True))
        self.end(CloseReason.CROWDED)

    @property
    def has_active_request(self) -> bool:
        """Whether a request is being read or answered."""
        active = self.busy or self.message is not None or self.blocked or not self.parser.idle
        return active and not self.closing

    @property
    def can_shed(self) -> bool:
        """Whether closing the connection loses nothing that is owed to the peer."""
        if self.closing:
            return not self.blocked and not has_unwritten_data(self.transport)
        if self.blocked:
            return not self.busy and self.activity is Activity.NOT_READING
        # What is unread of a body belongs to a request that shedding answers.
        return self.message is not None or not has_unread_data(self.transport)
