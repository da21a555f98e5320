"""What the system knows of a peer and the program has not read yet, by a poll that waits for nothing.

Between two turns of the reactor, and for as long as nothing is read from a connection, its peer may have
written, closed or reset it. Where the next step can't be taken back, that is looked at first.
"""

from __future__ import annotations

import select
from typing import Any

# The end of what a peer sends is told apart from bytes that lie before it only where the system can.
LEFT = getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR
ANYTHING = select.POLLIN | LEFT


def state(at: Any, wanted: int, unknown: int) -> int:
    """Give the poll's word on a transport or a listening port; 0 where it has no descriptor any more.

    ``unknown`` is given where the poll itself fails, for want of memory or by a signal.
    """
    fd = at.fileno()
    if fd < 0:
        return 0
    poll = select.poll()
    poll.register(fd, wanted)
    try:
        return sum(event for _, event in poll.poll(0))
    except OSError:
        return unknown


def left(transport: Any) -> bool:
    """Say whether the peer has closed or reset the connection, also behind bytes that were not read.

    A poll that fails shows no end: a client that is there must not lose its answer to it.
    """
    return bool(state(transport, LEFT, unknown=0) & LEFT)


def unread(at: Any) -> bool:
    """Say whether bytes or an end are there to be read, or a connection to be accepted.

    A poll that fails counts as yes: what is closed over a request is lost, what stays is looked at again.
    """
    return bool(state(at, ANYTHING, unknown=select.POLLIN))


def unwritten(transport: Any) -> bool:
    """Say whether the transport still holds bytes that the system has not taken; False in memory."""
    queued: int = getattr(transport, "_tempDataLen", 0)
    return queued > 0 or len(getattr(transport, "dataBuffer", b"")) > getattr(transport, "offset", 0)
