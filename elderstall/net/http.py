"""HTTP/1.1 in both directions: an incremental parser and the writing of messages."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from elderstall.net.buffer import Buffer

MAX_LINE = 8192
MAX_HEAD = 16 * 1024
MAX_HEADERS = 100
MAX_BODY = 64 * 1024
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
TARGET = re.compile(rb"[\x21-\x7e]+\Z")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\Z")
DIGITS = re.compile(r"[0-9]{1,15}\Z")
HEX = re.compile(rb"[0-9a-fA-F]{1,15}\Z")
REASONS = {
    100: "Continue",
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}
NO_BODY = frozenset({204, 304})


class MessageError(Exception):
    """Bytes that are not the message they should be; ``status`` is the answer where one can be given."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Headers:
    """Header fields; names are found whatever their case."""

    __slots__ = ("fields",)

    def __init__(self, fields: Iterable[tuple[str, str]] = ()) -> None:
        self.fields = list(fields)

    def all(self, name: str) -> list[str]:
        """Give every value of a field."""
        low = name.lower()
        return [value for key, value in self.fields if key.lower() == low]

    def get(self, name: str) -> str | None:
        """Give a field's only value; a field that stands twice is no single value."""
        values = self.all(name)
        if len(values) > 1:
            raise MessageError(400, f"{name} stands twice")
        return values[0] if values else None

    def tokens(self, name: str) -> list[str]:
        """Give the comma-separated words of a field, in lower case."""
        return [w.strip().lower() for value in self.all(name) for w in value.split(",") if w.strip()]


@dataclass(slots=True)
class Message:
    """The head of a message, with its body once that is whole."""

    version: tuple[int, int]
    headers: Headers
    body: bytes = b""
    method: str = ""  # of a request
    target: str = ""
    status: int = 0  # of a response

    def plain(self) -> dict[str, Any]:
        """Give a whole request as plain data."""
        return {
            "version": self.version,
            "headers": self.headers.fields,
            "body": self.body.decode("latin-1"),
            "method": self.method,
            "target": self.target,
        }

    @classmethod
    def from_plain(cls, data: dict[str, Any]) -> Message:
        """Make the request that ``plain`` gave."""
        major, minor = data["version"]
        headers = Headers((name, value) for name, value in data["headers"])
        return cls((major, minor), headers, data["body"].encode("latin-1"), data["method"], data["target"])

    @property
    def keep_alive(self) -> bool:
        """Whether the sender keeps the connection open after this message."""
        words = self.headers.tokens("Connection")
        return "close" not in words and (self.version >= (1, 1) or "keep-alive" in words)


@dataclass(slots=True, frozen=True)
class Head:
    """Parser event: a message has begun."""

    message: Message


@dataclass(slots=True, frozen=True)
class Data:
    """Parser event: bytes of the body."""

    data: bytes


@dataclass(slots=True, frozen=True)
class End:
    """Parser event: the message is whole."""


Event = Head | Data | End


@dataclass(slots=True)
class Parser:
    """Takes bytes split anywhere and gives events; at most one head's or chunk line's worth is kept back.

    ``max_body`` 0 sets no limit, for bodies that are passed on as they come.
    """

    responses: bool = False
    max_body: int = MAX_BODY
    buffer: Buffer = field(default_factory=Buffer)
    state: str = "head"  # head, length, chunk, chunk-end, trailer, rest (to the connection's end)
    left: int = 0
    size: int = 0
    extra: int = 0  # bytes of trailers, or of empty lines before a head

    def feed(self, data: bytes) -> None:
        """Take bytes."""
        self.buffer.append(data)

    def next(self) -> Event | None:
        """Give the next event, or None until more bytes come. Raises MessageError."""
        if self.state == "head":
            return self.head()
        if self.state == "length":
            if self.left == 0:
                return self.end()
            return self.data(self.left)
        if self.state == "rest":
            return self.data(len(self.buffer))
        return self.chunked()

    def eof(self) -> Event | None:
        """Take the end of the connection: the end of a body that has no other."""
        return self.end() if self.state == "rest" else None

    @property
    def idle(self) -> bool:
        """Whether no message has begun."""
        return self.state == "head" and not len(self.buffer)

    def end(self) -> End:
        """End the message."""
        self.state, self.size, self.extra = "head", 0, 0
        return End()

    def data(self, most: int) -> Data | None:
        """Give up to so many bytes of the body."""
        out = self.buffer.take(min(most, len(self.buffer)))
        if not out:
            return None
        if self.state == "length" or self.state == "chunk":
            self.left -= len(out)
        self.grow(len(out) if self.state == "rest" else 0)
        return Data(out)

    def grow(self, by: int) -> None:
        """Count the body, against the limit."""
        self.size += by
        if self.max_body and self.size > self.max_body:
            raise MessageError(413, f"body over {self.max_body} bytes")

    def line(self, most: int) -> bytes | None:
        """Give a whole line, if it is there."""
        n = self.buffer.find(b"\r\n")
        if n > most or (n < 0 and len(self.buffer) > most + 1):
            raise MessageError(431 if self.state == "trailer" else 400, "line too long")
        if n < 0:
            return None
        out = self.buffer.take(n)
        self.buffer.take(2)
        return out

    def chunked(self) -> Event | None:
        """Go on with a chunked body."""
        while True:
            if self.state == "chunk":
                if self.left:
                    return self.data(self.left)
                self.state = "chunk-end"
            elif self.state == "chunk-end":
                if len(self.buffer) < 2:
                    return None
                if self.buffer.take(2) != b"\r\n":
                    raise MessageError(400, "chunk without its end")
                self.state = "chunk-size"
            elif self.state == "chunk-size":
                if (text := self.line(1024)) is None:
                    return None
                size = text.split(b";", 1)[0].rstrip(b" \t")
                if not HEX.match(size):
                    raise MessageError(400, "bad chunk size")
                self.left = int(size, 16)
                self.grow(self.left)
                self.state = "chunk" if self.left else "trailer"
            else:
                if (text := self.line(MAX_LINE)) is None:
                    return None
                self.extra += len(text)
                if self.extra > MAX_HEAD:
                    raise MessageError(431, "trailers too long")
                if not text:
                    return self.end()

    def head(self) -> Event | None:
        """Read a head."""
        while self.buffer.peek(2) == b"\r\n":  # empty lines before a message are passed over, a few
            self.buffer.take(2)
            self.extra += 2
            if self.extra > 16:
                raise MessageError(400, "empty lines")
        n = self.buffer.find(b"\r\n\r\n")
        if n > MAX_HEAD or (n < 0 and len(self.buffer) > MAX_HEAD):
            raise MessageError(431, "head too long")
        if n < 0:
            first = self.buffer.peek(16)
            if first[:1] and not (TOKEN.match(first[:1]) or first[:1] == b"\r"):
                raise MessageError(400, "no HTTP")
            return None
        lines = self.buffer.take(n).split(b"\r\n")
        self.buffer.take(4)
        if len(lines) > MAX_HEADERS + 1:
            raise MessageError(431, "too many header fields")
        message = self.response_line(lines[0]) if self.responses else self.request_line(lines[0])
        message.headers = Headers(self.field_of(line) for line in lines[1:])
        self.size = self.extra = 0
        self.frame(message)
        return Head(message)

    def field_of(self, line: bytes) -> tuple[str, str]:
        """Read a header field."""
        name, colon, value = line.partition(b":")
        value = value.strip(b" \t")
        if not colon or not TOKEN.match(name) or not VALUE.match(value):
            raise MessageError(400, "bad header field")
        return name.decode("ascii"), value.decode("latin-1")

    def version(self, text: bytes) -> tuple[int, int]:
        """Read the version."""
        if not re.match(rb"HTTP/[0-9]\.[0-9]\Z", text):
            raise MessageError(400, "no HTTP version")
        if text[5:6] != b"1":
            raise MessageError(505, "not HTTP/1")
        return 1, int(text[7:8])

    def request_line(self, line: bytes) -> Message:
        """Read the first line of a request."""
        words = line.split(b" ")
        if len(words) != 3 or not TOKEN.match(words[0]) or not TARGET.match(words[1]):
            raise MessageError(400, "bad request line")
        return Message(
            self.version(words[2]),
            Headers(),
            method=words[0].decode("ascii"),
            target=words[1].decode("ascii"),
        )

    def response_line(self, line: bytes) -> Message:
        """Read the first line of a response."""
        words = line.split(b" ", 2)
        if len(words) < 2 or not re.match(rb"[1-9][0-9][0-9]\Z", words[1]):
            raise MessageError(502, "bad status line")
        return Message(self.version(words[0]), Headers(), status=int(words[1]))

    def frame(self, message: Message) -> None:
        """Find out how the body ends; a length together with chunks is smuggling."""
        coding = message.headers.tokens("Transfer-Encoding")
        lengths = {n for value in message.headers.all("Content-Length") for n in value.split(",")}
        lengths = {n.strip() for n in lengths}
        if coding and lengths:
            raise MessageError(400, "length with chunked")
        if len(lengths) > 1 or any(not DIGITS.match(n) for n in lengths):
            raise MessageError(400, "bad length")
        if coding and (coding != ["chunked"] or message.version < (1, 1)):
            raise MessageError(400, "unknown transfer coding")
        bare = self.responses and (message.status < 200 or message.status in NO_BODY)
        if coding and not bare:
            self.state = "chunk-size"
        elif lengths and not bare:
            self.state, self.left = "length", int(lengths.pop())
            self.grow(self.left)
        elif self.responses and not bare:
            self.state = "rest"
        else:
            self.state, self.left = "length", 0


def head_of(first: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Write a head."""
    lines = [first, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def response(
    status: int,
    body: bytes = b"",
    headers: Iterable[tuple[str, str]] = (),
    close: bool = False,
) -> bytes:
    """Write a response with a length."""
    fields = list(headers)
    if status not in NO_BODY and status >= 200:
        fields.append(("Content-Length", str(len(body))))
    if close:
        fields.append(("Connection", "close"))
    return head_of(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", fields) + body


def request(
    method: str,
    target: str,
    host: str,
    headers: Iterable[tuple[str, str]] = (),
    body: bytes = b"",
) -> bytes:
    """Write a request."""
    fields = [("Host", host), *headers]
    if body or method == "POST":
        fields.append(("Content-Length", str(len(body))))
    return head_of(f"{method} {target} HTTP/1.1", fields) + body


def chunk(data: bytes) -> bytes:
    """Write one chunk; of no bytes it is the last."""
    return b"%x\r\n%s\r\n" % (len(data), data)
