"""A new process's search for the running process that hands over to it."""

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

CONNECT_TIMEOUT_S = 1.0  # to connect to the running process, which is on this machine
# For its offer, retries included; the platform that starts the new process waits 6 s for it.
OFFER_TIMEOUT_MS = 5_000.0
BUSY_RETRY_INTERVAL_MS = 100.0  # until a busy process is asked again
MAX_SOCKET_PATH_BYTES = 107  # the system's limit for the path of a Unix socket


@dataclass(slots=True, frozen=True)
class Offer:
    """The running process's offer: its state as a message's fields, and the listener's descriptor."""

    state: dict[str, Any]
    listener: int


def is_path_too_long(path: str) -> bool:
    """Return whether a Unix socket's path is longer than the system allows."""
    return len(os.fsencode(path)) > MAX_SOCKET_PATH_BYTES


class PredecessorSearch:
    """Connects to the running process, and requests a hand-over."""

    def __init__(
        self,
        deadlines: Deadlines,
        log: Log,
        reactor: Any,
        factory: Factory,
        connected: Callable[[Link], None],
    ) -> None:
        self.deadlines = deadlines
        self.log = log
        self.reactor = reactor
        self.factory = factory
        self.connected = connected
        self.path = ""
        self.pending_offer: Deferred[Offer | None] | None = None

    @property
    def is_active(self) -> bool:
        """Whether the search has no result yet."""
        return self.pending_offer is not None

    def begin(self, path: str) -> Deferred[Offer | None]:
        """Search at a path; the result is the offer, or None if no process is running.

        Fails with TimeoutError if a process is running but does not hand over.
        """
        self.path = path
        self.pending_offer = pending_offer = Deferred[Offer | None]()
        if is_path_too_long(path):
            self.log.write("handover", f"hand-over disabled: the path {path} is too long for a Unix socket")
            self.settle(None)
        elif not os.path.exists(path):
            self.settle(None)
        else:
            self.deadlines.after(OFFER_TIMEOUT_MS, self.timed_out)
            self.connect()
        return pending_offer

    def connect(self) -> None:
        """Connect to the running process."""
        if self.pending_offer is None:
            return
        endpoint_class: Any = UNIXClientEndpoint
        endpoint = endpoint_class(self.reactor, self.path, timeout=CONNECT_TIMEOUT_S)
        connecting = cast("Deferred[Link]", endpoint.connect(self.factory))
        connecting.addCallbacks(self.ask, self.connection_failed)

    def ask(self, link: Link) -> None:
        """Request the hand-over from the running process."""
        self.connected(link)
        link.send(Hello(VERSION))

    def retry(self) -> None:
        """Connect again after a delay, as the running process sent Busy, or its link ended."""
        self.deadlines.after(BUSY_RETRY_INTERVAL_MS, self.connect)

    def connection_failed(self, failure: Failure) -> None:
        """Treat a socket that no process listens on as left by a dead one, and end the search."""
        self.log.write("handover", f"nobody listens on {self.path}: {type(failure.value).__name__}")
        self.settle(None)

    def timed_out(self) -> None:
        """Fail the search, as the running process does not hand over."""
        if self.pending_offer is not None:
            pending_offer = self.pending_offer
            self.pending_offer = None
            pending_offer.errback(TimeoutError("the running process did not hand over in time"))

    def settle(self, offer: Offer | None) -> None:
        """End the search with its result."""
        if self.pending_offer is not None:
            pending_offer = self.pending_offer
            self.pending_offer = None
            pending_offer.callback(offer)
