"""Runs a case in a temporary folder, with its record, and ends it in order when it is told to end."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
from collections.abc import Callable, Coroutine
from pathlib import Path

from review.standins.record import Record

CANNOT_RUN = 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # whether the disruption is played


def run_case(play: Callable[[Path, Record], Coroutine[None, None, int]], file: str) -> int:
    """Play a case and return its exit status; ``file`` is the case's module."""

    async def play_in(folder: str) -> int:
        playing = asyncio.ensure_future(play(Path(folder), record))
        # The case is cancelled, so that it ends the processes that it has started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        try:
            return await playing
        except asyncio.CancelledError:
            return CANNOT_RUN

    record = Record(Path(file).with_name("record.txt"))
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(play_in(folder))
    finally:
        record.close()
