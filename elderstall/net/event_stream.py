"""Server-sent events: a parser for workers' streams, and an encoder for clients' streams."""

from __future__ import annotations

import codecs
import io
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from elderstall.net import http

MEDIA_TYPE = "text/event-stream"
MAX_EVENT_CHARACTERS = http.MAX_BODY_BYTES  # of one event, the same number as the bytes of a body


@dataclass(slots=True, frozen=True)
class ServerEvent:
    """One event of a stream."""

    event: str
    data: str
    last_id: str = ""


class EventParser:
    """Incremental parser of WHATWG's event stream: UTF-8, any line end, comments, several data lines.

    An event that is not closed by an empty line is never returned.
    """

    def __init__(self) -> None:
        self.decoder = codecs.getincrementaldecoder("utf-8")(errors="replace")
        self.line = io.StringIO()  # received so far; one object, however small the pieces are
        self.after_cr = False
        self.begun = False
        self.event = ""
        self.last_id = ""
        self.data: list[str] = []
        self.size = 0
        self.retry: int | None = None

    def feed(self, data: bytes) -> Iterator[ServerEvent]:
        """Parse bytes; yield the events that they complete."""
        text = self.decoder.decode(data)
        if text and not self.begun:
            self.begun = True
            text = text.removeprefix("\ufeff")
        start = 0
        while start < len(text):
            if self.after_cr:
                self.after_cr = False
                if text[start] == "\n":
                    start += 1
                    continue
            ends = [n for n in (text.find("\r", start), text.find("\n", start)) if n >= 0]
            end = min(ends, default=len(text))
            self.add_size(end - start)
            self.line.write(text[start:end])
            if not ends:
                break
            self.after_cr = text[end] == "\r"
            start = end + 1
            line = self.line.getvalue()
            self.line = io.StringIO()
            if line:
                self.field(line)
            elif (event := self.dispatch()) is not None:
                yield event

    def add_size(self, characters: int) -> None:
        """Count the characters of an event. Raises MessageError above the limit."""
        self.size += characters
        if self.size > MAX_EVENT_CHARACTERS:
            raise http.MessageError(502, "event too long")

    def field(self, line: str) -> None:
        """Parse one line that is not empty."""
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "event":
            self.event = value
        elif name == "data":
            self.data.append(value)
        elif name == "id" and "\0" not in value:
            self.last_id = value
        elif name == "retry" and value.isascii() and value.isdigit():
            self.retry = int(value)
        elif not name:  # comments keep a stream alive in any number, so their size is not counted
            self.size -= len(line)

    def dispatch(self) -> ServerEvent | None:
        """Return the event that an empty line closes, or None if it has no data."""
        event = self.event or "message"
        data = "\n".join(self.data)
        has_data = bool(self.data)
        self.event = ""
        self.size = 0
        self.data.clear()
        return ServerEvent(event, data, self.last_id) if has_data else None


def encode_event(event: str, data: str, event_id: str = "") -> bytes:
    """Return an encoded event; all line ends inside the data become the format's line separator."""
    lines = data.replace("\r\n", "\n").replace("\r", "\n").split("\n")
    fields = ([f"id: {event_id}"] if event_id else []) + [
        f"event: {event}",
        *(f"data: {line}" for line in lines),
    ]
    return ("\n".join(fields) + "\n\n").encode("utf-8", "replace")


def parse_share(data: str) -> float:
    """Return the completed fraction from a progress event's data, or 0 if there is none."""
    try:
        value: Any = json.loads(data)
    except (ValueError, RecursionError):
        return 0.0
    if isinstance(value, dict):
        value = value.get("share")
    is_valid = isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= 1
    return float(value) if is_valid else 0.0
