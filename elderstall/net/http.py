"""HTTP/1.1 for clients and servers: an incremental parser and encoders of messages."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from elderstall.net.buffer import Buffer

MAX_TRAILER_LINE = 8192  # bytes
MAX_HEAD_BYTES = 16 * 1024  # also of all trailers together
MAX_HEADERS = 100
MAX_BODY_BYTES = 64 * 1024
FIELD_OVERHEAD_BYTES = 160  # of the objects that hold one header field, beside its text
TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
TARGET = re.compile(rb"[\x21-\x7e]+\Z")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\Z")
DIGITS = re.compile(r"[0-9]{1,15}\Z")
HEX = re.compile(rb"[0-9a-fA-F]{1,15}\Z")
CHUNK_HEAD = re.compile(rb"([0-9a-fA-F]{1,15})[ \t]*(?:;[^\r\n]{0,1000})?\r\n")  # without unusual extensions
MAX_CHUNKS_PER_EVENT = 256  # whole chunks that are joined: bounds the time that one event takes
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
    """A malformed or oversized message; ``status`` is the response status where a response can be sent."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Headers:
    """Header fields, with case-insensitive names."""

    __slots__ = ("fields",)

    def __init__(self, fields: Iterable[tuple[str, str]] = ()) -> None:
        self.fields = list(fields)

    def all(self, name: str) -> list[str]:
        """Return all values of a field."""
        lower_name = name.lower()
        return [value for key, value in self.fields if key.lower() == lower_name]

    def get(self, name: str) -> str | None:
        """Return a field's single value, or None. Raises MessageError for a repeated field."""
        values = self.all(name)
        if len(values) > 1:
            raise MessageError(400, f"{name} stands twice")
        return values[0] if values else None

    def tokens(self, name: str) -> list[str]:
        """Return the comma-separated tokens of a field, in lower case."""
        return [
            token.strip().lower() for value in self.all(name) for token in value.split(",") if token.strip()
        ]


@dataclass(slots=True)
class Message:
    """The head of a message, with its body once that is complete."""

    version: tuple[int, int]
    headers: Headers
    body: bytes = b""
    method: str = ""  # of a request
    target: str = ""
    status: int = 0  # of a response
    head_bytes: int = 0  # of the text of the head

    @property
    def memory_bytes(self) -> int:
        """The approximate memory that the message occupies."""
        return self.head_bytes + len(self.headers.fields) * FIELD_OVERHEAD_BYTES + len(self.body)

    def to_fields(self) -> dict[str, Any]:
        """Return a complete request as JSON-serializable data."""
        return {
            "version": self.version,
            "headers": self.headers.fields,
            "body": self.body.decode("latin-1"),
            "method": self.method,
            "target": self.target,
        }

    @classmethod
    def from_fields(cls, data: dict[str, Any]) -> Message:
        """Return the request that ``to_fields`` has encoded."""
        major, minor = data["version"]
        headers = Headers((name, value) for name, value in data["headers"])
        message = cls((major, minor), headers, data["body"].encode("latin-1"), data["method"], data["target"])
        message.head_bytes = sum(len(name) + len(value) for name, value in headers.fields)
        return message

    @property
    def keep_alive(self) -> bool:
        """Whether the sender keeps the connection open after this message."""
        tokens = self.headers.tokens("Connection")
        return "close" not in tokens and (self.version >= (1, 1) or "keep-alive" in tokens)


@dataclass(slots=True, frozen=True)
class Head:
    """Parser event: the head of a message is complete."""

    message: Message


@dataclass(slots=True, frozen=True)
class Data:
    """Parser event: bytes of the body."""

    data: bytes


@dataclass(slots=True, frozen=True)
class End:
    """Parser event: the message is complete."""


Event = Head | Data | End


@dataclass(slots=True)
class Parser:
    """Incremental parser of requests or responses; it buffers the bytes fed and not yet returned.

    ``max_body`` 0 sets no limit, for bodies that are passed on while they arrive.
    """

    responses: bool = False
    max_body: int = MAX_BODY_BYTES
    buffer: Buffer = field(default_factory=Buffer)
    state: str = "head"  # or length, chunk-size, chunk, chunk-end, trailer, rest (to the end)
    left: int = 0  # bytes of the body or chunk still to come
    size: int = 0  # bytes of the body
    extra: int = 0  # bytes of trailers, or of empty lines before a head

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self.buffer.append(data)

    def next(self) -> Event | None:
        """Return the next event, or None if more bytes are needed. Raises MessageError."""
        if self.state == "head":
            return self.parse_head()
        if self.state == "length":
            if self.left == 0:
                return self.end_message()
            return self.take_data(self.left)
        if self.state == "rest":
            return self.take_data(len(self.buffer))
        return self.parse_chunked()

    def eof(self) -> Event | None:
        """Handle the end of the connection, which ends a body without a length; return the event, if any."""
        return self.end_message() if self.state == "rest" else None

    @property
    def idle(self) -> bool:
        """Whether no message is being received."""
        return self.state == "head" and not len(self.buffer)

    def end_message(self) -> End:
        """Reset the state for the next message."""
        self.state = "head"
        self.size = 0
        self.extra = 0
        return End()

    def take_data(self, max_bytes: int) -> Data | None:
        """Return up to ``max_bytes`` of the body, or None if none are there."""
        data = self.buffer.take(min(max_bytes, len(self.buffer)))
        if not data:
            return None
        if self.state == "length" or self.state == "chunk":
            self.left -= len(data)
        self.add_body_size(len(data) if self.state == "rest" else 0)
        return Data(data)

    def add_body_size(self, length: int) -> None:
        """Count bytes of the body. Raises MessageError above the limit."""
        self.size += length
        if self.max_body and self.size > self.max_body:
            raise MessageError(413, f"body over {self.max_body} bytes")

    def take_line(self, max_bytes: int) -> bytes | None:
        """Return a complete line, or None if more bytes are needed. Raises MessageError."""
        length = self.buffer.find(b"\r\n")
        if length > max_bytes or (length < 0 and len(self.buffer) > max_bytes + 1):
            raise MessageError(431 if self.state == "trailer" else 400, "line too long")
        if length < 0:
            return None
        line = self.buffer.take(length)
        self.buffer.take(2)
        return line

    def parse_chunked(self) -> Event | None:
        """Return the next event of a chunked body, or None if more bytes are needed."""
        if self.state == "chunk-size" and (data := self.take_whole_chunks()) is not None:
            return data
        while True:
            if self.state == "chunk":
                if self.left:
                    return self.take_data(self.left)
                self.state = "chunk-end"
            elif self.state == "chunk-end":
                if len(self.buffer) < 2:
                    return None
                if self.buffer.take(2) != b"\r\n":
                    raise MessageError(400, "chunk without its end")
                self.state = "chunk-size"
            elif self.state == "chunk-size":
                if (text := self.take_line(1024)) is None:  # bytes of a size with extensions
                    return None
                size = text.split(b";", 1)[0].rstrip(b" \t")
                if not HEX.match(size):
                    raise MessageError(400, "bad chunk size")
                self.left = int(size, 16)
                self.add_body_size(self.left)
                self.state = "chunk" if self.left else "trailer"
            else:
                if (text := self.take_line(MAX_TRAILER_LINE)) is None:
                    return None
                self.extra += len(text)
                if self.extra > MAX_HEAD_BYTES:
                    raise MessageError(431, "trailers too long")
                if not text:
                    return self.end_message()

    def take_whole_chunks(self) -> Data | None:
        """Return the data of the whole chunks that are there, joined, or None if there are none.

        A chunk that is incomplete, malformed, the last one or over the limit is left to ``parse_chunked``.
        """
        received = self.buffer.data
        start = position = self.buffer.start
        joined = bytearray()
        for _ in range(MAX_CHUNKS_PER_EVENT):
            head = CHUNK_HEAD.match(received, position)
            if head is None:
                break
            length = int(head[1], 16)
            data_start = head.end()
            data_end = data_start + length
            fits = not self.max_body or self.size + length <= self.max_body
            if not length or not fits or not received.startswith(b"\r\n", data_end):
                break
            joined += received[data_start:data_end]
            self.size += length
            position = data_end + 2
        if position == start:
            return None
        self.buffer.skip(position - start)
        return Data(bytes(joined))

    def parse_head(self) -> Event | None:
        """Return the event of a complete head, or None if more bytes are needed."""
        while self.buffer.peek(2) == b"\r\n":  # skips a few empty lines before a message
            self.buffer.take(2)
            self.extra += 2
            if self.extra > 16:  # bytes: eight empty lines
                raise MessageError(400, "empty lines")
        length = self.buffer.find(b"\r\n\r\n")
        if length > MAX_HEAD_BYTES or (length < 0 and len(self.buffer) > MAX_HEAD_BYTES):
            raise MessageError(431, "head too long")
        if length < 0:
            start = self.buffer.peek(16)
            if start[:1] and not (TOKEN.match(start[:1]) or start[:1] == b"\r"):
                raise MessageError(400, "no HTTP")
            return None
        lines = self.buffer.take(length).split(b"\r\n")
        self.buffer.take(4)
        if len(lines) > MAX_HEADERS + 1:
            raise MessageError(431, "too many header fields")
        message = self.parse_response_line(lines[0]) if self.responses else self.parse_request_line(lines[0])
        message.headers = Headers(self.parse_field(line) for line in lines[1:])
        message.head_bytes = length
        self.size = self.extra = 0
        self.set_framing(message)
        return Head(message)

    def parse_field(self, line: bytes) -> tuple[str, str]:
        """Return the name and value of a header field. Raises MessageError."""
        name, colon, value = line.partition(b":")
        value = value.strip(b" \t")
        if not colon or not TOKEN.match(name) or not VALUE.match(value):
            raise MessageError(400, "bad header field")
        return name.decode("ascii"), value.decode("latin-1")

    def parse_version(self, text: bytes) -> tuple[int, int]:
        """Return the major and minor version. Raises MessageError."""
        if not re.match(rb"HTTP/[0-9]\.[0-9]\Z", text):
            raise MessageError(400, "no HTTP version")
        if text[5:6] != b"1":
            raise MessageError(505, "not HTTP/1")
        return 1, int(text[7:8])

    def parse_request_line(self, line: bytes) -> Message:
        """Return a message with method, target and version of a request line. Raises MessageError."""
        words = line.split(b" ")
        if len(words) != 3 or not TOKEN.match(words[0]) or not TARGET.match(words[1]):
            raise MessageError(400, "bad request line")
        return Message(
            self.parse_version(words[2]),
            Headers(),
            method=words[0].decode("ascii"),
            target=words[1].decode("ascii"),
        )

    def parse_response_line(self, line: bytes) -> Message:
        """Return a message with version and status of a status line. Raises MessageError."""
        words = line.split(b" ", 2)
        if len(words) < 2 or not re.match(rb"[1-9][0-9][0-9]\Z", words[1]):
            raise MessageError(502, "bad status line")
        return Message(self.parse_version(words[0]), Headers(), status=int(words[1]))

    def set_framing(self, message: Message) -> None:
        """Determine how the body ends; a length with chunked coding is refused, to prevent smuggling."""
        coding = message.headers.tokens("Transfer-Encoding")
        lengths = {length for value in message.headers.all("Content-Length") for length in value.split(",")}
        lengths = {length.strip() for length in lengths}
        if coding and lengths:
            raise MessageError(400, "length with chunked")
        if len(lengths) > 1 or any(not DIGITS.match(length) for length in lengths):
            raise MessageError(400, "bad length")
        if coding and (coding != ["chunked"] or message.version < (1, 1)):
            raise MessageError(400, "unknown transfer coding")
        is_bodiless = self.responses and (message.status < 200 or message.status in NO_BODY)
        if coding and not is_bodiless:
            self.state = "chunk-size"
        elif lengths and not is_bodiless:
            self.state = "length"
            self.left = int(lengths.pop())
            self.add_body_size(self.left)
        elif self.responses and not is_bodiless:
            self.state = "rest"
        else:
            self.state = "length"
            self.left = 0


def split_target(target: str) -> tuple[str, str]:
    """Return path and query of a request's target, in origin form or absolute form (RFC 9112, 3.2).

    Raises ValueError for a host that cannot be an address.

    ``urllib.parse.urlsplit`` is not used: it caches megabytes of arguments and results.
    """
    path, _, query = target.partition("#")[0].partition("?")
    if not path.startswith("/"):
        scheme, separator, rest = path.partition("://")
        if separator and scheme.isalnum():
            authority, slash, tail = rest.partition("/")
            if ("[" in authority) is not ("]" in authority):
                raise ValueError("invalid IPv6 address")
            path = slash + tail
    return path, query


def encode_head(first_line: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return an encoded head."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def response(
    status: int,
    body: bytes = b"",
    headers: Iterable[tuple[str, str]] = (),
    close: bool = False,
) -> bytes:
    """Return an encoded response with a length."""
    fields = list(headers)
    if status not in NO_BODY and status >= 200:
        fields.append(("Content-Length", str(len(body))))
    if close:
        fields.append(("Connection", "close"))
    return encode_head(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", fields) + body


def request(
    method: str,
    target: str,
    host: str,
    headers: Iterable[tuple[str, str]] = (),
    body: bytes = b"",
) -> bytes:
    """Return an encoded request."""
    fields = [("Host", host), *headers]
    if body or method == "POST":
        fields.append(("Content-Length", str(len(body))))
    return encode_head(f"{method} {target} HTTP/1.1", fields) + body


def chunk(data: bytes) -> bytes:
    """Return an encoded chunk; one without data is the last."""
    return b"%x\r\n%s\r\n" % (len(data), data)
