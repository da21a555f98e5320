"""A path whose new connections come up late for a while, and on which answers are cut off by resets."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket

from review.stand_ins_2.network import Path, PathEnd
from review.stand_ins_2.record import Record

BACKLOG = 128


class LatePath(Path):
    """A path on which the time of a new connection's coming up and resets under requests can be set."""

    def __init__(self, record: Record, name: str, port: int, delay_s: float, rng: random.Random) -> None:
        super().__init__(port, delay_s)
        self.record = record
        self.name = name
        self.random = rng
        self.reset_share = 0.0  # of the connections that carry a 202 to the dispatcher
        self.listener = socket.socket()
        self.filler: socket.socket | None = None
        self.resets = 0

    async def start(self) -> None:
        """Listen."""
        self.listener.setblocking(False)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(BACKLOG)
        self.port = self.listener.getsockname()[1]
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError):
            connection, _ = self.listener.accept()
            loop = asyncio.get_running_loop()
            connection.setblocking(False)
            self.task = loop.create_task(loop.connect_accepted_socket(lambda: ResettingEnd(self), connection))

    def begin_late(self) -> None:
        """Let new connections wait: the queue of the listener is full, so that their SYNs are dropped."""
        if self.filler is not None:
            return
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.listen(0)
        self.filler = socket.socket()
        self.filler.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.filler.connect(("127.0.0.1", self.port))

    def end_late(self) -> None:
        """Let connections come up at once again."""
        if self.filler is None:
            return
        self.listener.listen(BACKLOG)
        with contextlib.suppress(BlockingIOError):
            self.listener.accept()[0].close()
        self.filler.close()
        self.filler = None
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def stop(self) -> None:
        """Close everything."""
        asyncio.get_running_loop().remove_reader(self.listener)
        self.listener.close()
        if self.filler is not None:
            self.filler.close()
        super().stop()


class ResettingEnd(PathEnd):
    """The dispatcher's end of a connection, which may be reset when an answer arrives."""

    path: LatePath

    def deliver_here(self, data: bytes) -> bool:
        """Return whether bytes pass; a connection may be reset under its request instead."""
        path = self.path
        if data.startswith(b"HTTP/1.1 202") and path.random.random() < path.reset_share:
            path.resets += 1
            path.record.write("reset", worker=path.name)
            self.abort()
            if self.other is not None:
                self.other.abort()
            return False
        return True
