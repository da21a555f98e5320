"""Plain prints to standard error, rate-limited; what is suppressed is counted by its code."""

from __future__ import annotations

import select
import sys
import traceback
from collections import Counter
from collections.abc import Callable
from typing import TextIO

LINE_MOST = 1_900  # characters: a pipe that takes anything takes 4 KiB, which are two lines


class Log:
    """A token bucket of lines. One line tells what was held back as soon as there is room again."""

    def __init__(self, clock: Callable[[], float], lines_per_s: float = 20.0, burst: float = 100.0,
                 out: TextIO | None = None) -> None:
        self.clock, self.out = clock, out
        self.rate, self.burst = lines_per_s / 1000, burst
        self.tokens, self.at = burst, clock()
        self.suppressed: Counter[str] = Counter()

    def write(self, code: str, text: str) -> None:
        """Print one line under a code, or count it."""
        now = self.clock()
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < 1 or not self.room():
            self.suppressed[code] += 1
            return
        if self.suppressed:
            counts = " ".join(f"{name}={n}" for name, n in sorted(self.suppressed.items()))
            self.suppressed.clear()
            self.print(now, "suppressed", counts)
        self.tokens -= 1
        self.print(now, code, text)

    def room(self) -> bool:
        """Say whether two lines can be written without waiting.

        Guards the program against whoever reads its log and stands still: once a pipe is full, writing waits.
        """
        poll = select.poll()
        try:
            poll.register((self.out or sys.stderr).fileno(), select.POLLOUT)
            return bool(poll.poll(0))
        except (OSError, ValueError, AttributeError):
            return True  # no descriptor, so nobody to wait for

    def print(self, now: float, code: str, text: str) -> None:
        """Write the line; a log that cannot be written must not stop the program."""
        clean = text.replace("\n", " | ").replace("\r", " ")[:LINE_MOST]
        try:
            print(f"{now / 1000:.3f} {code} {clean}", file=self.out or sys.stderr, flush=True)
        except (OSError, ValueError):
            self.suppressed[code] += 1

    def ended(self, what: str, number: int, reason: str, detail: str = "") -> None:
        """Note a connection that has ended, with the code for the reason."""
        self.write(f"end:{reason}", f"{what} {number} {detail}".rstrip())

    def failure(self, where: str, error: BaseException | None) -> None:
        """Note an error in the program, with the place it came from."""
        if error is None:
            return
        frames = traceback.extract_tb(error.__traceback__)[-3:]
        places = " < ".join(f"{f.filename.rsplit('/', 1)[-1]}:{f.lineno}" for f in reversed(frames))
        self.write("bug", f"{where}: {type(error).__name__}: {error} at {places}")
