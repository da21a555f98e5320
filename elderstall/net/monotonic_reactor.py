"""Twisted's default reactor on the monotonic clock.

Twisted schedules delayed calls by the wall clock. When that clock is set back, every timer is delayed by the
step; when it is set forward, timers fire early. The monotonic clock is not affected by such steps.
"""

from __future__ import annotations

import time

from twisted.internet.main import installReactor

try:
    from twisted.internet.epollreactor import EPollReactor as DefaultReactor
except ImportError:  # not on Linux
    from twisted.internet.selectreactor import SelectReactor as DefaultReactor


class MonotonicReactor(DefaultReactor):
    """The default reactor, with delayed calls scheduled by the monotonic clock."""

    seconds = staticmethod(time.monotonic)


def install() -> MonotonicReactor:
    """Install it as the process's reactor; fail if there is another one, as it may hold delayed calls."""
    reactor = MonotonicReactor()  # type: ignore[no-untyped-call]
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor
