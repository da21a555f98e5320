"""Connections that come from the other process of an upgrade, until they are this one's."""

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

ADOPT_RETRY = 20.0  # ms until a connection handed over is tried again for which no descriptor was free
ADOPT_TRIES = 100  # times: two seconds, then its client is given up


def close_descriptor(descriptor: int) -> None:
    """Close a descriptor: Linux frees it whatever error ``close`` gives."""
    with contextlib.suppress(OSError):
        os.close(descriptor)


class Adoption:
    """Goes on with connections that another process had, and with their jobs."""

    def __init__(self, reactor: Any, deadlines: Deadlines, log: Log, engine: Engine, server: Server) -> None:
        self.reactor, self.deadlines, self.log = reactor, deadlines, log
        self.engine, self.server = engine, server
        self.waiting = 0  # connections handed over for which no descriptor was free yet

    def adopt(self, descriptor: int, transfer: ConnectionTransfer, tries: int = ADOPT_TRIES) -> None:
        """Go on with a connection that another process had, from a descriptor that is this one's to close.

        A lack of descriptors for its copy is waited for: its client is still owed an answer.
        """
        job = transfer.fields.get("job")
        try:
            transport = self.reactor.adoptStreamConnection(descriptor, socket.AF_INET, self.server)
        except OSError as error:
            if error.errno in RESOURCE_ERRORS and tries:
                self.log.write_rate_limited("adopt", f"a connection handed over waits: {error}")
                self.waiting += tries == ADOPT_TRIES
                if job is not None:
                    self.server.ids_in_transfer.add(job["cid"])
                self.deadlines.after(ADOPT_RETRY, self.adopt, descriptor, transfer, tries - 1)
                return
            transport = None  # its client is gone
        self.waiting -= tries < ADOPT_TRIES
        close_descriptor(descriptor)
        if job is not None:
            self.server.ids_in_transfer.discard(job["cid"])
        if transport is not None:
            self.server.adopt_connection(transport.protocol, transfer.fields)
        elif job is not None:
            self.engine.abandon_transfer(self.engine.decode_transfer(job))
