"""Runs the program under a wall clock that a test steps; the monotonic clock is not changed.

The clock starts STEP_AT_START seconds off. On SIGUSR1 it is stepped by the number of seconds in the file
STEP_FILE, and a line on standard error reports the step.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path

real_time = time.time
clock_offset_s = [float(os.environ.get("STEP_AT_START", "0"))]
time.time = lambda: real_time() + clock_offset_s[0]


def step_clock(*_: object) -> None:
    seconds = float(Path(os.environ["STEP_FILE"]).read_text())
    clock_offset_s[0] += seconds
    os.write(2, f"{real_time():.3f} stepped by {seconds:.0f} s\n".encode())


signal.signal(signal.SIGUSR1, step_clock)

if __name__ == "__main__":
    # Imported after time.time is replaced, since Twisted keeps a reference to the function.
    from elderstall.__main__ import main

    sys.exit(main())
