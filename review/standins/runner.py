"""Runs a case in a temporary folder, with its record, and ends it in order when it is told to end."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path

from review.standins.dispatcher import STARTED
from review.standins.record import Record

CANNOT_RUN = 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # whether the disruption is played


def run_case(play: Callable[[Path, Record], Coroutine[None, None, int]], file: str) -> int:
    """Play a case and return its exit status; ``file`` is the case's module."""
    record = Record(Path(file).with_name("record.txt"))
    with tempfile.TemporaryDirectory() as folder:

        def end_at_once(*_: object) -> None:
            for process in STARTED:
                process.kill()
            shutil.rmtree(folder, ignore_errors=True)
            os._exit(CANNOT_RUN)

        signal.signal(signal.SIGTERM, end_at_once)
        try:
            return asyncio.run(play(Path(folder), record))
        finally:
            record.close()
