"""Requests over kept connections, one at a time on each, as a sound HTTP client makes them."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass

from review.stand_ins_2.http1 import Message, Reader

MAX_CROSSING_S = 0.02  # an end later than this after the request has not crossed it


class NoAnswerError(Exception):
    """The connection was refused, or ended or stayed silent before a whole answer came."""


@dataclass(slots=True, eq=False)
class Kept:
    """A connection that is kept between requests."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    parser: Reader
    used: bool = False

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.close()


async def read_message(reader: asyncio.StreamReader, parser: Reader) -> Message:
    """Return the next message; raises EOFError if the connection ends before."""
    while data := await reader.read(65536):
        for message in parser.feed(data):
            return message
    raise EOFError("the connection ended")


class Connections:
    """Kept connections to one address."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.idle: list[Kept] = []

    async def ask(self, request: bytes, timeout_s: float) -> Message:
        """Send a request and return its answer; raises NoAnswerError.

        A request whose kept connection ends at once, before any byte of an answer, is sent once more on a new
        one, as the peer's closing has crossed it.
        """
        try:
            return await asyncio.wait_for(self._ask(request), timeout_s)
        except (OSError, EOFError, TimeoutError) as error:
            raise NoAnswerError(type(error).__name__) from error

    async def _ask(self, request: bytes) -> Message:
        while self.idle:
            kept = self.idle.pop()
            if kept.reader.at_eof():
                kept.close()
                continue
            sent_at = time.monotonic()
            try:
                return await self._ask_on(kept, request)
            except (OSError, EOFError):
                if time.monotonic() - sent_at > MAX_CROSSING_S:
                    raise
                break
        reader, writer = await asyncio.open_connection(self.host, self.port)
        return await self._ask_on(Kept(reader, writer, Reader()), request)

    async def _ask_on(self, kept: Kept, request: bytes) -> Message:
        try:
            kept.writer.write(request)
            message = await read_message(kept.reader, kept.parser)
        except BaseException:
            kept.close()
            raise
        if message.closes:
            kept.close()
        else:
            self.idle.append(kept)
        return message

    def close(self) -> None:
        """Close the idle connections."""
        for kept in self.idle:
            kept.close()
        self.idle.clear()
