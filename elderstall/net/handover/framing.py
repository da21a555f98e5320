"""Framing of a link's byte stream into messages, each with the descriptor that belongs to it."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from elderstall.net.buffer import Buffer
from elderstall.net.handover.messages import Envelope, Message, decode

# Of an unfinished message, which may have thousands of ids and a long endpoint list. A complete one is not
# checked.
MAX_LINE_BYTES = 8 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class Received:
    """A received message with its descriptor, which the receiver has to close."""

    envelope: Envelope
    descriptor: int | None


@dataclass(slots=True, frozen=True)
class UnconfirmedDescriptor:
    """A descriptor sent with a message, kept open until the peer process confirms it."""

    descriptor: int
    message: Message


class MessageReader:
    """Received bytes and descriptors, until they form a complete message."""

    def __init__(self) -> None:
        self.buffer = Buffer()
        self.descriptors: deque[int] = deque()  # their messages have not arrived yet

    def received(self, data: bytes) -> Iterator[Received]:
        """Add bytes, and yield each message that is complete.

        The messages are decoded one by one, so that those before a malformed one are handled. Raises
        ValueError, KeyError, TypeError, IndexError or AttributeError at the malformed one.
        """
        self.buffer.append(data)
        while (length := self.buffer.find(b"\n")) >= 0:
            line = self.buffer.take(length)
            self.buffer.take(1)
            envelope = decode(line)
            yield Received(envelope, self.descriptors.popleft() if envelope.has_descriptor else None)
        if len(self.buffer) > MAX_LINE_BYTES:
            raise ValueError("line too long")

    def close(self) -> None:
        """Close the descriptors whose message has not arrived."""
        for descriptor in self.descriptors:
            os.close(descriptor)
