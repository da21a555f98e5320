"""Writes one request to a connection's transport, with the time that is left as its first byte goes."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from elderstall.deadlines import Deadline, Deadlines
from elderstall.net.upstream.request import WorkerRequest

WRITE_RETRY = 5.0  # ms after which a request is written again of which the system took no byte


class RequestOwner(Protocol):
    """Whoever has a request written."""

    def request_written(self) -> None:
        """Learn that its last byte was written."""

    def request_expired(self) -> None:
        """Learn that its time was over before a byte was written."""

    def write_failed(self) -> None:
        """Learn that the system refused its first byte."""


@implementer(IPullProducer)
class RequestWriter:
    """The writing of one request."""

    __slots__ = ("deadlines", "owner", "request", "retry_timer", "transport", "unsent", "written")

    def __init__(
        self, owner: RequestOwner, transport: Any, deadlines: Deadlines, request: WorkerRequest
    ) -> None:
        self.owner, self.transport, self.deadlines = owner, transport, deadlines
        self.request: WorkerRequest | None = request  # until its first byte is written
        self.unsent = b""  # what the system did not take at once
        self.retry_timer: Deadline | None = None
        self.written = False  # to its last byte

    def write(self) -> None:
        """Hand the request to the system at once, with the time that is left now.

        What the system does not take is left to the transport, which asks for more once that is all written.
        """
        self.retry_timer = None
        if self.request is None:
            return
        data = self.request.render(self.deadlines.now())
        if data is None:
            self.request = None
            self.owner.request_expired()
            return
        taken = self.transport.writeSomeData(data)
        if isinstance(taken, Exception) or taken < 0:
            self.owner.write_failed()
        elif taken == 0:
            self.retry_timer = self.deadlines.after(WRITE_RETRY, self.write)
        elif taken < len(data):
            self.request, self.unsent = None, data[taken:]
            self.transport.registerProducer(self, False)
        else:
            self.request = None
            self._finish()

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the rest, or learn that its last byte has left the program (handed over isn't sent)."""
        if self.unsent:
            data, self.unsent = self.unsent, b""
            self.transport.write(data)
        elif not self.written:
            self.transport.unregisterProducer()
            self._finish()

    def stopProducing(self) -> None:  # noqa: N802, D102
        pass

    def cancel(self) -> None:
        """Write nothing more of a request of which no byte was taken."""
        self.request = None
        if self.retry_timer is not None:
            self.retry_timer.cancel()

    def _finish(self) -> None:
        """Note that the last byte was written."""
        self.written = True
        self.owner.request_written()
