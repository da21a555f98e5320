"""How connections end: by time-outs, after their last answer, or for want of descriptors."""

from __future__ import annotations

from elderstall.net import http
from elderstall.net.peer import left, unread, unwritten
from elderstall.net.server.admission import Activity
from elderstall.net.server.requests import BUSY_RETRY_AFTER, HeaderFields, retry_after
from elderstall.net.server.state import CloseReason, ConnectionState, Stage

DEPARTURE_CHECK_INTERVAL = 50.0  # ms between looks whether a client has left from which nothing is read
LINGER = 1_000.0  # ms of reading on after a last answer, so that a reset does not overtake it
BODY_PAUSE = 500.0  # ms: a body of which a part came this lately is slow, not given up
UNREAD_GRACE = 100.0  # ms for a request that lies unread when its connection's time is over


class ClosingConnection(ConnectionState):
    """A connection and its ways to end."""

    # ---- time-outs of a request ----

    def set_timeout(self, delay: float, reason: CloseReason) -> None:
        """Give the peer so long for what comes next."""
        self.cancel_timeout()
        self.timeout = self.server.deadlines.after(delay, self.expire, reason)

    def cancel_timeout(self) -> None:
        """Set no bound for what comes next."""
        if self.timeout is not None:
            self.timeout.cancel()

    def expire(self, reason: CloseReason) -> None:
        """End a connection whose peer took too long; a body that still comes has a little longer."""
        if self.job is not None or self.busy:
            return
        now = self.server.deadlines.now()
        body_until = min(self.last_received + BODY_PAUSE, self.message_began + self.server.timeouts.body)
        if self.message is not None and now < body_until:
            self.set_timeout(BODY_PAUSE, reason)
        elif not self.grace_used and unread(self.transport):
            # A request, or the rest of one, has come in this very turn: it is read first.
            self.grace_used = True
            self.set_timeout(UNREAD_GRACE, reason)
        elif self.message is not None or not self.parser.idle:
            self.refuse(408, CloseReason.SLOW_REQUEST, b"request took too long\n")
        else:
            self.end(reason)

    # ---- a peer from which nothing is read ----

    def watch_departure(self) -> None:
        """Look for the peer's end by polls while nothing is read."""
        if self.departure_check is None:
            self.departure_check = self.server.deadlines.after(DEPARTURE_CHECK_INTERVAL, self.check_departure)

    def check_departure(self) -> None:
        """See that a client from which nothing is read has left: its end lies behind what it has sent."""
        self.departure_check = None
        if not self.paused:
            return
        if not left(self.transport):
            self.watch_departure()
        elif self.closing:
            self.end(self.reason)
        else:
            self.reason = CloseReason.CLIENT_GONE
            self.transport.abortConnection()

    # ---- a peer that reads nothing ----

    def watch_writing(self) -> None:
        """Give the peer so long to take its answer."""
        self.cancel_timeout()
        self.timeout = self.server.deadlines.after(self.server.timeouts.write, self.abort_slow_reader)

    def abort_slow_reader(self) -> None:
        """Give up on a peer that does not read."""
        self.reason = CloseReason.SLOW_READER
        self.transport.abortConnection()

    # ---- memory ----

    def count_kept_bytes(self) -> None:
        """Count the bytes kept, against the limit for requests that are not whole yet."""
        kept = 0 if self.closing else len(self.parser.buffer) + self.body_size
        self.server.kept.total += kept - self.kept_bytes
        self.kept_bytes = kept
        unfinished = kept and not self.busy and not self.closing
        if unfinished and self.server.kept.over_limit:
            if self.message is not None:
                self.count_rejected()
            retry = retry_after(BUSY_RETRY_AFTER)
            self.refuse(503, CloseReason.MEMORY, b"too much is being read\n", retry)

    def count_rejected(self) -> None:
        """Count the job whose head has come as one rejected."""
        if self.job_request is not None:
            self.server.engine.count_rejected(self.job_request.job_class)

    # ---- closing ----

    def refuse(self, status: int, reason: CloseReason, body: bytes, headers: HeaderFields = ()) -> None:
        """Answer what is no request to serve, and close."""
        self.busy = False
        self.transport.write(http.response(status, body, headers, close=True))
        self.linger(reason)

    def linger(self, reason: CloseReason, *, discard: bool = True) -> None:
        """Close our side, and the connection once the peer has closed its own, or a little later.

        ``discard``: what still comes belongs to a request that was refused half read, and is read so that
        no reset overtakes the answer. Else it would be a request of its own, which crosses the close: it
        is left unread, as its client sends one that was not read again, and loses one that was.
        """
        if not self.closing:
            self.stage = Stage.CLOSING
        self.reason = reason
        self.server.table.set_activity(self, Activity.CLOSING)
        self.parser.buffer.clear()
        self.body_parts, self.body_size = [], 0
        self.count_kept_bytes()
        if self.paused is discard:
            self.paused = not discard
            (self.transport.resumeProducing if discard else self.transport.pauseProducing)()
        if self.paused:
            self.watch_departure()
        if self.blocked:
            self.watch_writing()  # it closes once the peer has read its answer
        else:
            self.close_writing()

    def close_writing(self) -> None:
        """Close our side."""
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self.cancel_timeout()
        self.timeout = self.server.deadlines.after(LINGER, self.end, self.reason)

    def end(self, reason: CloseReason) -> None:
        """Close the connection."""
        self.cancel_timeout()
        if not self.closing:
            self.stage, self.reason = Stage.CLOSING, reason
            self.transport.unregisterProducer()
        self.server.table.set_activity(self, None)
        self.mark_ending()
        self.transport.loseConnection()
        # A peer that reads nothing would hold the connection for ever; one that is slow gets its answer.
        delay = self.server.timeouts.write if unwritten(self.transport) else LINGER
        self.timeout = self.server.deadlines.after(delay, self.transport.abortConnection)

    def mark_ending(self) -> None:
        """Note that the descriptor will be free soon."""
        if self.stage is not Stage.ENDING:
            self.stage = Stage.ENDING
            self.server.table.closing_count += 1

    def shed(self) -> None:
        """Close at once, for want of descriptors; who is amid a request is asked to come back."""
        if self.closing:  # it has its answer; in the next turn, as it may be gone at once
            self.server.table.set_activity(self, None)
            self.mark_ending()
            self.server.deadlines.after(0.0, self.end, self.reason)
            return
        if self.message is not None or not self.parser.idle:
            self.count_rejected()
            retry = retry_after(BUSY_RETRY_AFTER)
            self.transport.write(http.response(503, b"too many connections\n", retry, close=True))
        self.end(CloseReason.CROWDED)

    @property
    def in_hand(self) -> bool:
        """Whether a request is being read or answered."""
        amid = self.busy or self.message is not None or self.blocked or not self.parser.idle
        return amid and not self.closing

    @property
    def may_shed(self) -> bool:
        """Whether nothing that is owed to the peer would be lost with the connection."""
        if self.closing:
            return not self.blocked and not unwritten(self.transport)
        return not unread(self.transport)
