"""State of a connection that the reactor has not handled yet, from a poll that does not block.

Between two reactor iterations, and while a connection is not read, its peer may have written to it, closed it
or reset it. This is checked before steps that cannot be undone.
"""

from __future__ import annotations

import contextlib
import select
import socket
from typing import Any

# Without POLLRDHUP the system does not report a closed sending direction behind unread bytes.
CLOSED_EVENTS = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR
READABLE_OR_CLOSED_EVENTS = select.POLLIN | CLOSED_EVENTS


def poll_events(source: Any, wanted: int, unknown: int) -> int:
    """Return the poll events of a transport or a listening port; 0 if its descriptor is closed.

    Returns ``unknown`` if the poll itself fails, for lack of memory or because of a signal.
    """
    descriptor = source.fileno()
    if descriptor < 0:
        return 0
    poll = select.poll()
    poll.register(descriptor, wanted)
    try:
        return sum(event for _, event in poll.poll(0))
    except OSError:
        return unknown


def has_peer_closed(transport: Any) -> bool:
    """Return whether the peer has closed or reset the connection, even if unread bytes precede that.

    A failed poll counts as no: a client that is still connected must not lose its answer.
    """
    return bool(poll_events(transport, CLOSED_EVENTS, unknown=0) & CLOSED_EVENTS)


def has_unread_data(source: Any) -> bool:
    """Return whether bytes or an end can be read, or a connection accepted.

    A failed poll counts as yes: closing would lose an unread request; an open connection is checked again.
    """
    return bool(poll_events(source, READABLE_OR_CLOSED_EVENTS, unknown=select.POLLIN))


def end_writing(transport: Any) -> bool:
    """Tell the peer that nothing more will be written; return False if data is still unwritten.

    A transport does so only in the reactor's next iteration, which may take long on a busy machine. A client
    that is told at once sends its next request over another connection.
    """
    if transport.fileno() < 0 or has_unwritten_data(transport):
        return False
    with contextlib.suppress(OSError):
        transport.getHandle().shutdown(socket.SHUT_WR)
    return True


def has_unwritten_data(transport: Any) -> bool:
    """Return whether the transport holds bytes not yet written to the socket; False for one in memory."""
    return unwritten_bytes(transport) > 0


def unwritten_bytes(transport: Any) -> int:
    """Return the number of bytes that the transport holds for a peer that does not read them."""
    queued: int = getattr(transport, "_tempDataLen", 0)
    buffered = len(getattr(transport, "dataBuffer", b"")) - int(getattr(transport, "offset", 0))
    return queued + buffered
