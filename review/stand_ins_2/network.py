"""A network between dispatcher and workers: a proxy that delays what passes by the time of one way."""

from __future__ import annotations

import asyncio
from typing import cast


class Path:
    """The path to one address: everything that passes arrives ``delay_s`` later, in order."""

    def __init__(self, port: int, delay_s: float) -> None:
        self.target_port = port
        self.delay_s = delay_s
        self.server: asyncio.Server | None = None
        self.port = 0
        self.ends: set[PathEnd] = set()

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: PathEnd(self), "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close everything."""
        if self.server is not None:
            self.server.close()
        for end in list(self.ends):
            end.abort()


class PathEnd(asyncio.Protocol):
    """One end of a connection through the network; ``other`` is the end at the other side."""

    def __init__(self, path: Path, other: PathEnd | None = None) -> None:
        self.path = path
        self.other = other
        self.transport: asyncio.Transport | None = None
        self.early: list[bytes] = []  # arrived while the other side's connection was opened
        self.is_lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open the other side, if this is the accepting end."""
        self.transport = cast("asyncio.Transport", transport)
        self.path.ends.add(self)
        if self.other is None:
            self.other = PathEnd(self.path, self)
            loop = asyncio.get_running_loop()
            self.opening = loop.create_task(self._open(self.other))
        else:
            for data in self.early:
                self.transport.write(data)
            self.early.clear()
            if self.other.is_lost:
                self.abort()

    async def _open(self, other: PathEnd) -> None:
        try:
            loop = asyncio.get_running_loop()
            await loop.create_connection(lambda: other, "127.0.0.1", self.path.target_port)
        except OSError:
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Deliver bytes at the other side after the delay."""
        asyncio.get_running_loop().call_later(self.path.delay_s, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        other = self.other
        if other is None or other.is_lost:
            return
        if other.transport is None:
            other.early.append(data)
        elif not other.transport.is_closing() and other.deliver_here(data):
            other.transport.write(data)

    def deliver_here(self, _: bytes) -> bool:
        """Return whether bytes that have arrived pass on."""
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """End the other side after the delay: with a reset if this one was reset."""
        self.is_lost = True
        self.path.ends.discard(self)
        asyncio.get_running_loop().call_later(self.path.delay_s, self._end_other, error is not None)

    def _end_other(self, reset: bool) -> None:  # noqa: FBT001 - called by the event loop
        other = self.other
        if other is None or other.transport is None or other.is_lost:
            return
        if reset:
            other.abort()
        else:
            other.transport.close()

    def abort(self) -> None:
        """Reset this end."""
        if self.transport is not None:
            self.transport.abort()
