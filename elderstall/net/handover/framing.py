"""The stream of a link cut into messages, each joined with the descriptor that belongs to it."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from elderstall.net.buffer import Buffer
from elderstall.net.handover.messages import Envelope, Message, decode

LINE_LIMIT = 8 * 1024 * 1024  # bytes of one message: thousands of ids and a long list


@dataclass(slots=True, frozen=True)
class Received:
    """A message that has arrived, with its descriptor, which is the receiver's to close."""

    envelope: Envelope
    descriptor: int | None


@dataclass(slots=True, frozen=True)
class Unconfirmed:
    """A descriptor that was sent with a message, and is held until the other process has it."""

    descriptor: int
    message: Message


class MessageReader:
    """Bytes and descriptors that have arrived, until they make a whole message."""

    def __init__(self) -> None:
        self.buffer = Buffer()
        self.descriptors: deque[int] = deque()  # their messages are still to come

    def received(self, data: bytes) -> Iterator[Received]:
        """Add bytes, and give each message that is whole now.

        The messages are decoded one by one, so that those before a faulty one are acted on. Raises
        ValueError, KeyError, TypeError, IndexError or AttributeError at the faulty one.
        """
        self.buffer.append(data)
        while (length := self.buffer.find(b"\n")) >= 0:
            line = self.buffer.take(length)
            self.buffer.take(1)
            envelope = decode(line)
            yield Received(envelope, self.descriptors.popleft() if envelope.has_descriptor else None)
        if len(self.buffer) > LINE_LIMIT:
            raise ValueError("line too long")

    def close(self) -> None:
        """Close the descriptors whose message has not come."""
        for descriptor in self.descriptors:
            os.close(descriptor)
