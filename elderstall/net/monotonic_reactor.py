"""Twisted's default reactor on the monotonic clock.

Twisted keeps its delayed calls by the wall clock. Where that is set back, every timer hangs for as long as
the step; where it is set forward, timers fire early. Here a step moves nothing.
"""

from __future__ import annotations

import time

from twisted.internet.main import installReactor

try:
    from twisted.internet.epollreactor import EPollReactor as DefaultReactor
except ImportError:  # no Linux
    from twisted.internet.selectreactor import SelectReactor as DefaultReactor


class MonotonicReactor(DefaultReactor):
    """The default reactor; its delayed calls are due by the monotonic clock."""

    seconds = staticmethod(time.monotonic)


def install() -> MonotonicReactor:
    """Make it the process's reactor. Fails where another one is in place, as calls may wait in that."""
    reactor = MonotonicReactor()  # type: ignore[no-untyped-call]
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor
