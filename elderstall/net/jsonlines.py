"""Incremental parser of JSON values, each on one line or indented; empty lines are keep-alives."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any


class IncompleteValueError(ValueError):
    """A value that was incomplete at the next keep-alive, or that exceeded the maximum size."""


class JsonLines:
    """Parses bytes in pieces of any size; the bytes that it buffers are bounded."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes  # bytes of one value
        self.text = bytearray()  # complete lines of an incomplete value
        self.rest = bytearray()  # the incomplete last line
        # Open braces in the text, including those in strings. After its first line, a value is parsed only at
        # a depth of 0 or less; an indented value with an unbalanced "{" in a string is never parsed.
        self.depth = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield each complete value, and None for each empty line. Raises ValueError for anything else."""
        *line_ends, rest = data.split(b"\n")
        for line_end in line_ends:
            self.rest += line_end
            line = bytes(self.rest).strip()
            self.rest.clear()
            yield from self.add_line(line)
        self.rest += rest
        if len(self.text) + len(self.rest) > self.max_bytes:
            raise IncompleteValueError("value exceeds the maximum size")

    def add_line(self, line: bytes) -> Iterator[Any]:
        """Add one line; yield the value that it completes."""
        if not line:
            if self.text:
                raise IncompleteValueError("keep-alive inside an incomplete value")
            yield None
            return
        is_first_line = not self.text
        self.text += line + b"\n"
        self.depth += line.count(b"{") - line.count(b"}")
        if not is_first_line and self.depth > 0:
            return
        text = self.text.decode().strip()
        try:
            value = json.loads(text)
        except json.JSONDecodeError as error:
            if text[0] != "{" or error.pos < len(text):
                raise
            return  # the value may continue in the next line
        self.text.clear()
        self.depth = 0
        yield value
