"""Adoption of connections that a peer process of an upgrade hands over."""

from __future__ import annotations

import contextlib
import os
import socket
from typing import Any

from elderstall.deadlines import Deadlines
from elderstall.engine import Engine
from elderstall.log import Log
from elderstall.net.accepting import RESOURCE_ERRORS
from elderstall.net.handover.messages import ConnectionTransfer
from elderstall.net.server.listener import Server

ADOPT_RETRY_INTERVAL_MS = 20.0  # between attempts to adopt a connection while no descriptor is free
MAX_ADOPT_RETRIES = 100  # two seconds; after them the connection is closed


def close_descriptor(descriptor: int) -> None:
    """Close a descriptor, ignoring errors, as Linux frees it even if ``close`` fails."""
    with contextlib.suppress(OSError):
        os.close(descriptor)


class Adoption:
    """Adopts connections handed over by a peer process or taken back by this one, and their jobs."""

    def __init__(self, reactor: Any, deadlines: Deadlines, log: Log, engine: Engine, server: Server) -> None:
        self.reactor = reactor
        self.deadlines = deadlines
        self.log = log
        self.engine = engine
        self.server = server
        self.waiting = 0  # connections that wait for a free descriptor

    def adopt(
        self, descriptor: int, transfer: ConnectionTransfer, retries_left: int = MAX_ADOPT_RETRIES
    ) -> None:
        """Adopt a connection from its descriptor, which this process has to close.

        While no descriptor is free for a copy, the adoption is retried: the client is still owed an answer.
        """
        job = transfer.fields.get("job")
        try:
            transport = self.reactor.adoptStreamConnection(descriptor, socket.AF_INET, self.server)
        except OSError as error:
            if error.errno in RESOURCE_ERRORS and retries_left:
                self.log.write_rate_limited("adopt", f"a connection handed over waits: {error}")
                self.waiting += retries_left == MAX_ADOPT_RETRIES  # counted once, at the first attempt
                if job is not None:
                    self.server.ids_in_transfer.add(job["cid"])
                self.deadlines.after(
                    ADOPT_RETRY_INTERVAL_MS, self.adopt, descriptor, transfer, retries_left - 1
                )
                return
            transport = None  # the client has disconnected, or the retries are used up
        self.waiting -= retries_left < MAX_ADOPT_RETRIES  # counted above if it had to wait
        close_descriptor(descriptor)
        if job is not None:
            self.server.ids_in_transfer.discard(job["cid"])
        if transport is not None:
            self.server.adopt_connection(transport.protocol, transfer.fields)
        elif job is not None:
            self.engine.abandon_transfer(self.engine.decode_transfer(job))
