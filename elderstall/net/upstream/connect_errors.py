"""Classification of connect errors: those caused by this machine and those of the worker or the path."""

from __future__ import annotations

import errno

from twisted.internet.error import ConnectBindError

# Exhausted resources of this machine, which do not show that the worker is unreachable.
LOCAL_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.EAGAIN}
)


def is_local_error(error: BaseException | None) -> bool:
    """Return whether a connection failed to open because a resource of this machine is exhausted."""
    return (
        isinstance(error, ConnectBindError)
        or getattr(error, "osError", None) in LOCAL_ERRORS
        or (isinstance(error, OSError) and error.errno in LOCAL_ERRORS)
    )
