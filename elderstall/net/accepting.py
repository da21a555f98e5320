"""Accepting connections on a listening port, with handling of every error of ``accept``.

Twisted's own loop raises unknown errors, retries in the next reactor iteration whatever the cause (a
level-triggered poll would spin), and closes waiting clients when descriptors run out. Here an error of a
single connection is skipped, and a lack of resources pauses accepting: clients that wait in the listener's
queue stay there and are accepted later.
"""

from __future__ import annotations

import errno
import socket
from collections import Counter
from collections.abc import Callable
from typing import Any

from elderstall.deadlines import Deadline, Deadlines
from elderstall.log import Log

# Errors of accept(2) that concern only the connection taken from the queue: the next one may succeed.
CONNECTION_ERRORS = frozenset({
    errno.ECONNABORTED, errno.ECONNRESET, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT,
    errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT,
    errno.EINTR})  # fmt: skip
# Temporary lack of descriptors, memory, or room for one more descriptor in a poll. Other modules retry after
# these errors; here every error outside CONNECTION_ERRORS pauses accepting.
RESOURCE_ERRORS = frozenset({
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC, errno.EINTR})  # fmt: skip
MAX_ACCEPTS_PER_TURN = 50  # of the reactor; connections that are open already are read in between
MAX_CONSECUTIVE_ERRORS = 8  # errors of single connections after which accepting pauses nevertheless
MIN_PAUSE_MS = 5.0  # the first pause; doubled for each further one until a connection is accepted
MAX_PAUSE_MS = 100.0
MAX_PAUSE_DOUBLINGS = 5  # MIN_PAUSE_MS * 2**5 exceeds MAX_PAUSE_MS; keeps the power of two small


def error_name(error: OSError) -> str:
    """Return the symbolic name of an error, such as ``ENFILE``."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)


class ListeningSocket:
    """A listening socket whose ``accept`` raises only BlockingIOError, as if no connection were waiting."""

    def __init__(self, sock: Any, failed: Callable[[OSError], bool], succeeded: Callable[[], None]) -> None:
        self.sock = sock  # a socket.socket
        self.failed = failed
        self.succeeded = succeeded

    def accept(self) -> Any:
        """Return the first connection that can be accepted."""
        while True:
            try:
                accepted = self.sock.accept()
            except BlockingIOError:
                raise
            except OSError as error:
                if not self.failed(error):
                    raise BlockingIOError(errno.EAGAIN, "accepting is paused after an error") from error
            else:
                self.succeeded()
                return accepted

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


class Acceptor:
    """Decides when a port is read, and how many connections it accepts in one reactor iteration."""

    def __init__(self, port: Any, deadlines: Deadlines, log: Log, capacity_left: Callable[[], int]) -> None:
        self.port = port  # a twisted.internet.tcp.Port
        self.deadlines = deadlines
        self.log = log
        self.capacity_left = capacity_left
        self.errors: Counter[str] = Counter()  # by name, since the start
        self.consecutive_errors = 0
        self.consecutive_pauses = 0
        self.enabled = True
        self.closed = False
        self.pause: Deadline | None = None
        port.socket = ListeningSocket(port.socket, self.failed, self.succeeded)
        self.read_port = port.doRead
        port.doRead = self.read
        self.make_transport = port.transport
        port.transport = self.transport

    def read(self) -> None:
        """Accept no more connections in one reactor iteration than there is capacity for.

        Twisted's port accepts a hundred or more at once: a burst of idle clients would use up the descriptors
        that workers and discovery need. Clients left in the queue are accepted in the next iteration.
        """
        most = min(self.port.numberAccepts, self.capacity_left(), MAX_ACCEPTS_PER_TURN)
        self.port.numberAccepts = max(1, most)
        self.read_port()

    def transport(self, sock: socket.socket, *args: Any) -> Any:
        """Return the transport of an accepted connection; close the connection where none can be made."""
        try:
            return self.make_transport(sock, *args)
        except OSError as error:
            sock.close()
            self.failed(error)
            raise

    def succeeded(self) -> None:
        """Record an accepted connection."""
        self.consecutive_errors = 0
        self.consecutive_pauses = 0

    def failed(self, error: OSError) -> bool:
        """Count an error; return whether the next connection may be accepted at once.

        The connection that an error concerns may be lost; the clients behind it stay in the queue.
        """
        name = error_name(error)
        self.errors[name] += 1
        self.consecutive_errors += 1
        self.log.write_rate_limited(
            "accept",
            f"failed with {name} ({self.errors[name]} times since the start); other clients stay queued",
        )
        if error.errno in CONNECTION_ERRORS and self.consecutive_errors < MAX_CONSECUTIVE_ERRORS:
            return True
        self.start_pause()
        return False

    def start_pause(self) -> None:
        """Stop reading the port for a while: it stays readable, and every iteration would fail again."""
        if self.pause is None:
            delay = min(MAX_PAUSE_MS, MIN_PAUSE_MS * 2 ** min(self.consecutive_pauses, MAX_PAUSE_DOUBLINGS))
            self.consecutive_pauses += 1
            self.pause = self.deadlines.after(delay, self.resume)
            self.update()

    def resume(self) -> None:
        """Resume accepting after a pause."""
        self.pause = None
        self.consecutive_errors = 0
        self.update()

    def enable(self, on: bool) -> None:
        """Enable or disable accepting."""
        self.enabled = on
        self.update()

    def update(self) -> None:
        """Start or stop the reactor's reading of the port."""
        if not self.closed and self.port.connected:
            (self.port.startReading if self.enabled and self.pause is None else self.port.stopReading)()

    def close(self) -> None:
        """Stop listening."""
        self.closed = True
        if self.pause is not None:
            self.pause.cancel()
        self.port.stopListening()
