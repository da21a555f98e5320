"""Writing of one request to a connection's transport, with the time left when its first byte is written."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from elderstall.deadlines import Deadline, Deadlines
from elderstall.net.upstream.request import WorkerRequest

WRITE_RETRY_DELAY_MS = 5.0  # after the system accepted no byte of a request


class RequestOwner(Protocol):
    """Receives the result of writing a request."""

    def request_written(self) -> None:
        """Handle the write of the request's last byte."""

    def request_expired(self) -> None:
        """Handle an attempt that timed out before a byte was written."""

    def write_failed(self) -> None:
        """Handle an error in writing the request's first byte."""


@implementer(IPullProducer)
class RequestWriter:
    """Writes one request to a transport."""

    __slots__ = ("deadlines", "is_written", "owner", "request", "retry_timer", "transport", "unsent")

    def __init__(
        self, owner: RequestOwner, transport: Any, deadlines: Deadlines, request: WorkerRequest
    ) -> None:
        self.owner = owner
        self.transport = transport
        self.deadlines = deadlines
        self.request: WorkerRequest | None = request  # until its first byte is written
        self.unsent = b""  # the bytes that the system did not accept at once
        self.retry_timer: Deadline | None = None
        self.is_written = False  # to its last byte

    def write(self) -> None:
        """Write the request to the socket immediately, with the time left now.

        Bytes that the system does not accept are written through the transport, as a pull producer.
        """
        self.retry_timer = None
        if self.request is None:
            return
        data = self.request.render(self.deadlines.now())
        if data is None:
            self.request = None
            self.owner.request_expired()
            return
        written_bytes = self.transport.writeSomeData(data)
        if isinstance(written_bytes, Exception) or written_bytes < 0:
            self.owner.write_failed()
        elif written_bytes == 0:
            self.retry_timer = self.deadlines.after(WRITE_RETRY_DELAY_MS, self.write)
        elif written_bytes < len(data):
            self.request = None
            self.unsent = data[written_bytes:]
            self.transport.registerProducer(self, False)
        else:
            self.request = None
            self._finish()

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the rest, or report that its last byte has left the transport's buffer."""
        if self.unsent:
            data = self.unsent
            self.unsent = b""
            self.transport.write(data)
        elif not self.is_written:
            self.transport.unregisterProducer()
            self._finish()

    def stopProducing(self) -> None:  # noqa: N802, D102
        pass

    def cancel(self) -> None:
        """Do not write the request if no byte of it was accepted yet."""
        self.request = None
        if self.retry_timer is not None:
            self.retry_timer.cancel()

    def _finish(self) -> None:
        """Report that the last byte was written."""
        self.is_written = True
        self.owner.request_written()
