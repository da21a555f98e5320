"""The record of a case: what was sent, answered and run, with times in seconds from the case's start."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any


class Record:
    """Lines of one case, written to ``record.txt`` as they come."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the case's start."""
        return time.monotonic() - self.started_at

    def write(self, event: str, **fields: Any) -> None:
        """Write one event with its fields."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.4f} {event} {text}\n")
        self.file.flush()
