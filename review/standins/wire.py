"""HTTP/1.1 messages over asyncio streams, as far as the stand-ins need them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class HttpMessage:
    """A message with its head and body; ``line`` holds the words of its first line."""

    line: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection stays open after this message."""
        return self.headers.get("connection", "").lower() != "close"


async def read_message(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Return the next message, or None if the connection ends before one is complete."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        message = HttpMessage(lines[0].split(" ", 2))
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                message.headers[name.strip().lower()] = value.strip()
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return message


def encode(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def reply(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return an answer."""
    return encode(f"HTTP/1.1 {status} Status", headers or {}, body)
