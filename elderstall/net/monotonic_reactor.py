"""A reactor with epoll, or with select where there is no epoll, on the monotonic clock.

Twisted schedules delayed calls by the wall clock. When that clock is set back, every timer is delayed by the
step; when it is set forward, timers fire early. The monotonic clock is not affected by such steps.
"""

from __future__ import annotations

import time

from twisted.internet.main import installReactor

try:
    from twisted.internet.epollreactor import EPollReactor as BaseReactor
except ImportError:  # not on Linux
    from twisted.internet.selectreactor import SelectReactor as BaseReactor


class MonotonicReactor(BaseReactor):
    """A reactor whose delayed calls are scheduled by the monotonic clock."""

    seconds = staticmethod(time.monotonic)


def install() -> MonotonicReactor:
    """Install a MonotonicReactor; fail if another reactor is installed, as it may hold delayed calls."""
    reactor = MonotonicReactor()  # type: ignore[no-untyped-call]
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor
