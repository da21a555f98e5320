"""The Twisted protocol of one accepted connection: the methods that the reactor calls."""

from __future__ import annotations

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from elderstall.net.server.admission import Activity
from elderstall.net.server.request_connection import RequestConnection
from elderstall.net.server.state import CloseReason, Stage

READ_BUFFER_BYTES = 16 * 1024  # per read: limits the memory when hundreds of peers send at once


@implementer(IPushProducer)
class ServerConnection(RequestConnection):
    """One accepted connection."""

    def connectionMade(self) -> None:  # noqa: N802, D102
        table = self.server.table
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = READ_BUFFER_BYTES
        self.number = table.connections.add(self)
        self.transport.registerProducer(self, True)
        table.set_activity(self, Activity.NEW)
        self.message_began_at = self.active_since
        table.enforce_limits()
        # Starts at the connection, not at its first byte: a silent peer holds a descriptor too.
        self.set_timeout(self.server.timeouts.request, CloseReason.SILENT)

    # ---- reading ----

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        if self.closing:
            return
        self.last_received_at = self.server.deadlines.now()
        if self.first_byte_at is None:
            self.first_byte_at = self.last_received_at
        if self.activity in (Activity.HEALTH_CHECKED, Activity.IDLE):
            # Limits a later request that never ends; the first one is timed from the connection's start.
            self.expect_request(self.last_received_at)
        self.parser.feed(data)
        self.process_received()

    # ---- the peer's reading ----

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop answering while the peer does not read, for no longer than the time-out for writing."""
        self.blocked = True
        if not self.is_processing:  # else counted at the end of the slice
            self.count_kept_bytes()
        if not self.busy:  # else the job's deadline limits the wait
            self.watch_writing()

    def resumeProducing(self) -> None:  # noqa: N802, D102
        if not self.blocked:
            return
        self.blocked = False
        self.count_kept_bytes()
        if self.stream is not None:
            self.stream.flush()
        if self.closing:
            self.close_writing()
        elif not self.busy:
            self.await_request()

    def stopProducing(self) -> None:  # noqa: N802, D102
        pass

    # ---- the end ----

    def describe(self) -> str:
        """Return what the log says of a connection that has ended."""
        return f"{self.requests} requests, at most {self.peak_kept_bytes} bytes kept"

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        table = self.server.table
        if self.stage is Stage.OPEN:
            self.stage = Stage.CLOSING
        for deadline in (self.timeout, self.departure_check, self.receipt_check):
            if deadline is not None:
                deadline.cancel()
        job = self.job
        self.job = None
        if job is not None:
            self.reason = CloseReason.CLIENT_GONE
            self.server.engine.client_disconnected(job)
        self.request_bytes = 0
        self.count_kept_bytes()
        table.set_activity(self, None)
        table.ending_count -= self.stage is Stage.ENDING
        table.connections.remove(self.number)
        if self.handed_descriptor is not None:
            # Any reason but ConnectionDone means that the connection broke before it was handed over.
            self.server.complete_hand_over(self, closed_cleanly=isinstance(reason.value, ConnectionDone))
        else:
            kind = "client" if self.is_client else "peer"
            self.server.log.ended(kind, self.number, self.reason, self.describe())
        table.enforce_limits()
