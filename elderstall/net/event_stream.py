"""The format of server-sent events: parsed from a worker's stream, written for a client."""

from __future__ import annotations

import codecs
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from elderstall.net import http

MEDIA_TYPE = "text/event-stream"
MAX_EVENT = http.MAX_BODY  # characters of one event, as of one body


@dataclass(slots=True, frozen=True)
class ServerEvent:
    """One event of a stream."""

    event: str
    data: str
    last_id: str = ""


class EventParser:
    """WHATWG's event stream, split anywhere: UTF-8, any line end, comments, several data lines.

    An event that no empty line closes is never given.
    """

    def __init__(self) -> None:
        self.decoder = codecs.getincrementaldecoder("utf-8")(errors="replace")
        self.line: list[str] = []
        self.after_cr = self.begun = False
        self.event, self.last_id = "", ""
        self.data: list[str] = []
        self.size = 0
        self.retry: int | None = None

    def feed(self, data: bytes) -> Iterator[ServerEvent]:
        """Take bytes and give the events they complete."""
        text = self.decoder.decode(data)
        if text and not self.begun:
            self.begun = True
            text = text.removeprefix("\ufeff")
        at = 0
        while at < len(text):
            if self.after_cr:
                self.after_cr = False
                if text[at] == "\n":
                    at += 1
                    continue
            ends = [n for n in (text.find("\r", at), text.find("\n", at)) if n >= 0]
            end = min(ends, default=len(text))
            self.grow(end - at)
            self.line.append(text[at:end])
            if not ends:
                break
            self.after_cr = text[end] == "\r"
            at = end + 1
            line = "".join(self.line)
            self.line.clear()
            if line:
                self.field(line)
            elif (event := self.dispatch()) is not None:
                yield event

    def grow(self, by: int) -> None:
        """Bound what one event may hold."""
        self.size += by
        if self.size > MAX_EVENT:
            raise http.MessageError(502, "event too long")

    def field(self, line: str) -> None:
        """Take one line that is not empty."""
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
        elif not name:  # a comment counts for nothing, however many keep a stream alive
            self.size -= len(line)

    def dispatch(self) -> ServerEvent | None:
        """Give the event that an empty line closes; one without data is none."""
        event, data = self.event or "message", "\n".join(self.data)
        given = bool(self.data)
        self.event, self.size = "", 0
        self.data.clear()
        return ServerEvent(event, data, self.last_id) if given else None


def encode_event(event: str, data: str, event_id: str = "") -> bytes:
    """Write an event; the format knows one line end inside data, so others become it."""
    lines = data.replace("\r\n", "\n").replace("\r", "\n").split("\n")
    fields = ([f"id: {event_id}"] if event_id else []) + [f"event: {event}", *(f"data: {x}" for x in lines)]
    return ("\n".join(fields) + "\n\n").encode("utf-8", "replace")


def parse_share(data: str) -> float:
    """Read the part done from a progress event's data; one that tells none counts as 0."""
    try:
        value: Any = json.loads(data)
    except (ValueError, RecursionError):
        return 0.0
    if isinstance(value, dict):
        value = value.get("share")
    good = isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= 1
    return float(value) if good else 0.0
