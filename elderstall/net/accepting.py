"""Accepting connections on a listening port, whatever errors ``accept`` ends in.

Twisted's own loop raises what it does not know, tries again in the next turn whatever the cause (a
level-triggered poll would spin), and without descriptors closes the clients that wait. Here an error of a
single connection is passed over, and a lack of resources is waited for: those in the listener's queue stay
there, and come in later.
"""

from __future__ import annotations

import errno
import socket
from collections import Counter
from collections.abc import Callable
from typing import Any

from elderstall.deadlines import Deadline, Deadlines
from elderstall.log import Log

# What accept(2) says of the one connection that it has taken from the queue: the next may be good.
CONNECTION_ERRORS = frozenset({
    errno.ECONNABORTED, errno.ECONNRESET, errno.EPROTO, errno.EPERM, errno.ENETDOWN, errno.ENOPROTOOPT,
    errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP, errno.ENETUNREACH, errno.ETIMEDOUT,
    errno.EINTR})  # fmt: skip
# A lack that passes: of descriptors, memory, or room for one more in a poll.
RESOURCE_ERRORS = frozenset({
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC, errno.EINTR})  # fmt: skip
ERRORS_AT_ONCE = 8  # errors of single connections in a row, after which accepting pauses all the same
PAUSE_FIRST = 5.0  # ms of the first pause; each further one in a row is twice as long
PAUSE_MOST = 100.0  # ms
PAUSE_DOUBLINGS = 5  # from the first pause to beyond the longest


def error_name(error: OSError) -> str:
    """Name the error, as ``ENFILE``."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)


class ListeningSocket:
    """A listening socket whose ``accept`` fails in one way only: that no connection is waiting."""

    def __init__(self, sock: Any, failed: Callable[[OSError], bool], succeeded: Callable[[], None]) -> None:
        self.sock = sock  # a socket.socket
        self.failed, self.succeeded = failed, succeeded

    def accept(self) -> Any:
        """Accept a connection, the first one that can be."""
        while True:
            try:
                accepted = self.sock.accept()
            except BlockingIOError:
                raise
            except OSError as error:
                if not self.failed(error):
                    raise BlockingIOError(errno.EAGAIN, "accepting pauses") from error
            else:
                self.succeeded()
                return accepted

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


class Acceptor:
    """Decides when a port is read, and how many connections it takes in one turn."""

    def __init__(self, port: Any, deadlines: Deadlines, log: Log, capacity_left: Callable[[], int]) -> None:
        self.port, self.deadlines, self.log = port, deadlines, log  # port: a twisted.internet.tcp.Port
        self.capacity_left = capacity_left
        self.errors: Counter[str] = Counter()  # by name, since the start
        self.errors_in_a_row = self.pauses_in_a_row = 0
        self.enabled, self.closed = True, False
        self.pause: Deadline | None = None
        port.socket = ListeningSocket(port.socket, self.failed, self.succeeded)
        self.read_port, port.doRead = port.doRead, self.read
        self.make_transport, port.transport = port.transport, self.transport

    def read(self) -> None:
        """Take no more connections in one turn than there is room for.

        Twisted's port takes up to a hundred and more in one go: idle clients that come in a burst would have
        the descriptors that workers and discovery need. Those left in the queue come in the next turn.
        """
        self.port.numberAccepts = max(1, min(self.port.numberAccepts, self.capacity_left()))
        self.read_port()

    def transport(self, sock: socket.socket, *args: Any) -> Any:
        """Have the reactor take an accepted connection on; where it cannot, the connection is closed."""
        try:
            return self.make_transport(sock, *args)
        except OSError as error:
            sock.close()
            self.failed(error)
            raise

    def succeeded(self) -> None:
        """Note a connection accepted."""
        self.errors_in_a_row = self.pauses_in_a_row = 0

    def failed(self, error: OSError) -> bool:
        """Count an error; say whether the next connection may be tried at once."""
        name = error_name(error)
        self.errors[name] += 1
        self.errors_in_a_row += 1
        self.log.write_rate_limited(
            "accept", f"failed with {name}, {self.errors[name]} times since the start"
        )
        if error.errno in CONNECTION_ERRORS and self.errors_in_a_row < ERRORS_AT_ONCE:
            return True
        self.rest()
        return False

    def rest(self) -> None:
        """Leave the port alone for a while: it stays readable, and each turn would fail again."""
        if self.pause is None:
            delay = min(PAUSE_MOST, PAUSE_FIRST * 2 ** min(self.pauses_in_a_row, PAUSE_DOUBLINGS))
            self.pauses_in_a_row += 1
            self.pause = self.deadlines.after(delay, self.resume)
            self.update()

    def resume(self) -> None:
        """Try again."""
        self.pause = None
        self.errors_in_a_row = 0
        self.update()

    def enable(self, on: bool) -> None:
        """Accept connections or not."""
        self.enabled = on
        self.update()

    def update(self) -> None:
        """Have the reactor read the port, or not."""
        if not self.closed and self.port.connected:
            (self.port.startReading if self.enabled and self.pause is None else self.port.stopReading)()

    def close(self) -> None:
        """Stop listening."""
        self.closed = True
        if self.pause is not None:
            self.pause.cancel()
        self.port.stopListening()
