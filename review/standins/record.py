"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Lines with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def write(self, source: str, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.began:9.3f} {source:<12} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()
