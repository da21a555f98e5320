"""A reactor with epoll, or with select where there is no epoll, on the monotonic clock, with measured turns.

Twisted schedules delayed calls by the wall clock. When that clock is set back, every timer is delayed by the
step; when it is set forward, timers fire early. The monotonic clock is not affected by such steps.
"""

from __future__ import annotations

import time

from twisted.internet.main import installReactor

from elderstall.net.turns import MeteredPoller, TurnMeter

try:
    from twisted.internet.epollreactor import EPollReactor as BaseReactor
except ImportError:  # not on Linux
    from twisted.internet.selectreactor import SelectReactor as BaseReactor


class MonotonicReactor(BaseReactor):
    """A reactor whose delayed calls are scheduled by the monotonic clock, and whose turns are measured."""

    seconds = staticmethod(time.monotonic)

    def __init__(self) -> None:
        self.turns = TurnMeter()  # with select all its figures stay 0
        super().__init__()  # type: ignore[no-untyped-call]
        poller = getattr(self, "_poller", None)  # Twisted has no public way to see the wait for events
        if poller is not None:
            self._poller = MeteredPoller(poller, self.turns)


def install() -> MonotonicReactor:
    """Install a MonotonicReactor; fail if another reactor is installed, as it may hold delayed calls."""
    reactor = MonotonicReactor()
    installReactor(reactor)  # type: ignore[no-untyped-call]
    return reactor
