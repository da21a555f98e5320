"""An incremental reader of HTTP/1.1 messages, and writers of requests and answers."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(slots=True)
class Message:
    """A complete request or answer; header names are in lower case."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first_line.split(" ", 1)[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first_line.split(" ")[1])

    @property
    def closes(self) -> bool:
        """Whether the sender closes the connection after this message."""
        return "close" in self.headers.get("connection", "").lower()


class Reader:
    """Collects bytes and yields the messages that they complete."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    @property
    def is_idle(self) -> bool:
        """Whether no part of a further message has been received."""
        return not self.buffer

    def feed(self, data: bytes) -> Iterator[Message]:
        """Add bytes and yield each complete message."""
        self.buffer += data
        while (message := self._take()) is not None:
            yield message

    def _take(self) -> Message | None:
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return None
        lines = self.buffer[:end].decode("latin-1").split("\r\n")
        message = Message(lines[0])
        for line in lines[1:]:
            name, _, value = line.partition(":")
            message.headers[name.strip().lower()] = value.strip()
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            return self._take_chunked(message, end + 4)
        size = int(message.headers.get("content-length", "0"))
        if len(self.buffer) < end + 4 + size:
            return None
        message.body = bytes(self.buffer[end + 4 : end + 4 + size])
        del self.buffer[: end + 4 + size]
        return message

    def _take_chunked(self, message: Message, start: int) -> Message | None:
        body = bytearray()
        while True:
            line_end = self.buffer.find(b"\r\n", start)
            if line_end < 0:
                return None
            size = int(self.buffer[start:line_end].split(b";")[0], 16)
            start = line_end + 2
            if len(self.buffer) < start + size + 2:
                return None
            body += self.buffer[start : start + size]
            start += size + 2
            if size == 0:
                message.body = bytes(body)
                del self.buffer[:start]
                return message


def encode(first_line: str, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    """Return an encoded message with a Content-Length."""
    fields = {**(headers or {}), "Content-Length": str(len(body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{first_line}\r\n{head}\r\n".encode("latin-1") + body
