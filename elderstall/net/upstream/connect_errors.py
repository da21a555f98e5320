"""Which errors of a connection attempt are this machine's own."""

from __future__ import annotations

import errno

from twisted.internet.error import ConnectBindError

# A want of this machine, no sign that the worker is out of reach.
LOCAL_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN}
)


def is_local(error: BaseException | None) -> bool:
    """Say whether a connection failed to open for want of something on this machine."""
    return (
        isinstance(error, ConnectBindError)
        or getattr(error, "osError", None) in LOCAL_ERRORS
        or (isinstance(error, OSError) and error.errno in LOCAL_ERRORS)
    )
