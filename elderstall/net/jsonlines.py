"""JSON values in a stream, each on a line or indented over several; an empty line is a sign of life."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any


class BrokenOffError(ValueError):
    """A value that was not whole when the next sign of life came, or that grew past the bound."""


class JsonLines:
    """Takes bytes split anywhere; what it keeps back is bounded."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes  # bytes of one value
        self.text = bytearray()  # whole lines of a value that is not yet whole
        self.rest = bytearray()  # the line that is still coming
        self.depth = 0  # braces open in the text, those in strings too: it only spares parsing in vain

    def feed(self, data: bytes) -> Iterator[Any]:
        """Give each value as it is whole, and None for each empty line; ValueError for what is neither."""
        *whole, rest = data.split(b"\n")
        for part in whole:
            self.rest += part
            line = bytes(self.rest).strip()
            self.rest.clear()
            yield from self.take(line)
        self.rest += rest
        if len(self.text) + len(self.rest) > self.max_bytes:
            raise BrokenOffError("value too long")

    def take(self, line: bytes) -> Iterator[Any]:
        """Take one line."""
        if not line:
            if self.text:
                raise BrokenOffError("a value broken off")
            yield None
            return
        first = not self.text
        self.text += line + b"\n"
        self.depth += line.count(b"{") - line.count(b"}")
        if not first and self.depth > 0:
            return
        text = self.text.decode().strip()
        try:
            value = json.loads(text)
        except json.JSONDecodeError as error:
            if text[0] != "{" or error.pos < len(text):
                raise
            return  # it may go on in the next line
        self.text.clear()
        self.depth = 0
        yield value
