"""The program under a wall clock that a test steps: the monotonic clock runs on as it does.

The clock starts STEP_AT_START seconds off. On SIGUSR1 it is stepped by the seconds that the file STEP_FILE
holds then, and a line on standard error says so.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path

real_time = time.time
off_by = [float(os.environ.get("STEP_AT_START", "0"))]
time.time = lambda: real_time() + off_by[0]


def step(*_: object) -> None:
    seconds = float(Path(os.environ["STEP_FILE"]).read_text())
    off_by[0] += seconds
    os.write(2, f"{real_time():.3f} stepped by {seconds:.0f} s\n".encode())


signal.signal(signal.SIGUSR1, step)

if __name__ == "__main__":
    from elderstall.__main__ import main  # after the clock is in place: Twisted keeps the function it finds

    sys.exit(main())
