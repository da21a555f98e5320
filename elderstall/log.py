"""Plain prints to standard error, rate-limited; what is suppressed is counted by its code."""

from __future__ import annotations

import contextlib
import math
import os
import select
import sys
import traceback
from collections import Counter
from collections.abc import Callable
from typing import TextIO

MAX_LINE_BYTES = 1_900  # bytes: a pipe that takes anything takes 4 KiB, which are two lines
RATE_LIMITED_INTERVAL_MS = (
    1_000.0  # ms between lines of a code of which one failing call could make any number
)


class StandardError:
    """Standard error without a buffer.

    A buffer keeps a line whose write has failed: it would come out later in the middle of others, or fail
    once more at the interpreter's end and spoil the exit status.
    """

    def __init__(self) -> None:
        self.line_incomplete = False  # only a part of the last line was written

    def fileno(self) -> int:
        """Give the descriptor; fails where the process was started without one."""
        if sys.stderr is None:
            raise OSError("there is no standard error")
        return sys.stderr.fileno()

    def write(self, text: str) -> int:
        """Write one line at once."""
        data = ("\n" * self.line_incomplete + text).encode("utf-8", "backslashreplace")
        try:
            descriptor = self.fileno()
        except ValueError:  # a stand-in without a descriptor, as in tests
            return sys.stderr.write(text)
        written = os.write(descriptor, data)
        self.line_incomplete = written < len(data) if written else self.line_incomplete
        if written < len(data):
            raise BlockingIOError("only a part of the line was written")
        return len(text)

    def flush(self) -> None:
        """Nothing is held back."""


def print_error(message: str) -> None:
    """Write the one line with which a program ends that cannot begin; its exit status tells as much."""
    with contextlib.suppress(OSError, ValueError):
        StandardError().write(f"elderstall: {message}\n")


class Log:
    """A token bucket of lines. One line tells what was held back as soon as there is room again."""

    def __init__(
        self,
        clock: Callable[[], float],
        lines_per_s: float = 20.0,
        burst: float = 100.0,
        out: TextIO | StandardError | None = None,
    ) -> None:
        self.clock, self.out = clock, out or StandardError()
        self.rate, self.burst = lines_per_s / 1000, burst
        self.tokens, self.refilled_at = burst, clock()
        self.suppressed: Counter[str] = Counter()
        self.last_written: dict[
            str, float
        ] = {}  # when a code was last written, of the few in write_rate_limited

    def write_rate_limited(self, code: str, text: str) -> None:
        """Print at most one line a second under a code, and count the others."""
        now = self.clock()
        if now - self.last_written.get(code, -math.inf) < RATE_LIMITED_INTERVAL_MS:
            self.suppressed[code] += 1
            return
        self.last_written[code] = now
        self.write(code, text)

    def write(self, code: str, text: str) -> None:
        """Print one line under a code, or count it."""
        now = self.clock()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        if self.tokens < 1 or not self.is_writable():
            self.suppressed[code] += 1
            return
        if self.suppressed:
            counts = " ".join(f"{name}={n}" for name, n in sorted(self.suppressed.items()))
            self.suppressed.clear()
            self.print(now, "suppressed", counts)
        self.tokens -= 1
        self.print(now, code, text)

    def is_writable(self) -> bool:
        """Say whether two lines can be written without waiting.

        Guards the program against whoever reads its log and stands still: once a pipe is full, writing waits.
        """
        poll = select.poll()
        try:
            poll.register(self.out.fileno(), select.POLLOUT)
            return bool(poll.poll(0))
        except (OSError, ValueError, AttributeError):
            return True  # no descriptor, so nobody to wait for

    def print(self, now: float, code: str, text: str) -> None:
        """Write the line; a log that cannot be written must not stop the program."""
        clean = text[:MAX_LINE_BYTES].replace("\n", " | ").replace("\r", " ")
        clean = clean.encode("utf-8", "backslashreplace")[:MAX_LINE_BYTES].decode("utf-8", "ignore")
        try:
            self.out.write(f"{now / 1000:.3f} {code} {clean}\n")
            self.out.flush()
        except (OSError, ValueError):
            self.suppressed[code] += 1

    def ended(self, what: str, number: int, reason: str, detail: str = "") -> None:
        """Note a connection that has ended, with the code for the reason."""
        self.write(f"end:{reason}", f"{what} {number} {detail}".rstrip())

    def failure(self, where: str, error: BaseException | None) -> None:
        """Note an error in the program, with the place it came from.

        One of the system's is no fault of the program, and may come with each call for a while.
        """
        if error is None:
            return
        frames = traceback.extract_tb(error.__traceback__)[-3:]
        places = " < ".join(f"{f.filename.rsplit('/', 1)[-1]}:{f.lineno}" for f in reversed(frames))
        write = self.write_rate_limited if isinstance(error, OSError) else self.write
        write(
            "system" if isinstance(error, OSError) else "bug",
            f"{where}: {type(error).__name__}: {error} at {places}",
        )
