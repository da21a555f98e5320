"""The search of a new process for the one that runs."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import UNIXClientEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from elderstall.deadlines import Deadlines
from elderstall.log import Log
from elderstall.net.handover.link import Link
from elderstall.net.handover.messages import VERSION, Hello

CONNECT_TIMEOUT_S = 1.0  # s to connect to the process that runs; it is on this machine
OFFER_TIMEOUT = 5_000.0  # ms for it to hand over: the platform waits 6 s for the new one
BUSY_RETRY = 100.0  # ms until a call that found the other too busy is made again
PATH_LIMIT = 107  # bytes of a Unix socket's path, by the system's limit


@dataclass(slots=True, frozen=True)
class Offer:
    """What the process that runs hands over: its state as plain data, and the listener's descriptor."""

    state: dict[str, Any]
    listener: int


def path_too_long(path: str) -> bool:
    """Say whether the system has no room for a socket's path."""
    return len(os.fsencode(path)) > PATH_LIMIT


class PredecessorSearch:
    """Connects to the process that runs, and asks it to hand over."""

    def __init__(
        self,
        deadlines: Deadlines,
        log: Log,
        reactor: Any,
        factory: Factory,
        connected: Callable[[Link], None],
    ) -> None:
        self.deadlines, self.log, self.reactor = deadlines, log, reactor
        self.factory, self.connected = factory, connected
        self.path = ""
        self.awaited: Deferred[Offer | None] | None = None

    @property
    def under_way(self) -> bool:
        """Whether nothing has come of it yet."""
        return self.awaited is not None

    def begin(self, path: str) -> Deferred[Offer | None]:
        """Search at a path; gives the offer, or None if no process runs.

        Fails with TimeoutError where one is there but does not hand over.
        """
        self.path = path
        self.awaited = awaited = Deferred[Offer | None]()
        if path_too_long(path):
            self.log.write("handover", f"off: the path of {path} is too long")
            self.settle(None)
        elif not os.path.exists(path):
            self.settle(None)
        else:
            self.deadlines.after(OFFER_TIMEOUT, self.timed_out)
            self.connect()
        return awaited

    def connect(self) -> None:
        """Connect to the process that runs."""
        if self.awaited is None:
            return
        endpoint_class: Any = UNIXClientEndpoint
        endpoint = endpoint_class(self.reactor, self.path, timeout=CONNECT_TIMEOUT_S)
        connecting = cast("Deferred[Link]", endpoint.connect(self.factory))
        connecting.addCallbacks(self.ask, self.nobody_listens)

    def ask(self, link: Link) -> None:
        """Ask the process that runs to hand over."""
        self.connected(link)
        link.send(Hello(VERSION))

    def retry(self) -> None:
        """Connect again: the other was busy with a third process, or died."""
        self.deadlines.after(BUSY_RETRY, self.connect)

    def nobody_listens(self, failure: Failure) -> None:
        """Take a socket that nobody listens on for one that a dead process has left."""
        self.log.write("handover", f"nobody listens on {self.path}: {type(failure.value).__name__}")
        self.settle(None)

    def timed_out(self) -> None:
        """Give up on a process that is there but does not hand over."""
        if self.awaited is not None:
            awaited, self.awaited = self.awaited, None
            awaited.errback(TimeoutError("the process that runs does not hand over"))

    def settle(self, offer: Offer | None) -> None:
        """Give what was found."""
        if self.awaited is not None:
            awaited, self.awaited = self.awaited, None
            awaited.callback(offer)
