"""Rate-limited log lines on standard error; suppressed lines are counted by code."""

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

# Of a line's text, without time and code. A pipe that polls as writable takes PIPE_BUF (4 KiB) without
# blocking: a line and the line of suppressed counts before it.
MAX_LINE_BYTES = 1_900
RATE_LIMITED_INTERVAL_MS = 1_000.0  # between lines of a code that one failing call could repeat without limit


class StandardError:
    """Unbuffered standard error.

    A buffer would keep a line whose write failed: it would appear later in the middle of other lines, or fail
    again at interpreter exit and change the exit status.
    """

    def __init__(self) -> None:
        self.is_line_incomplete = False  # the last line was only partly written

    def fileno(self) -> int:
        """Return the descriptor; raises OSError if the process was started without one."""
        if sys.stderr is None:
            raise OSError("standard error is not open")
        return sys.stderr.fileno()

    def write(self, text: str) -> int:
        """Write one line in a single system call."""
        data = ("\n" * self.is_line_incomplete + text).encode("utf-8", "backslashreplace")
        try:
            descriptor = self.fileno()
        except ValueError:  # a replacement without a descriptor, as in tests
            return sys.stderr.write(text)
        written = os.write(descriptor, data)
        self.is_line_incomplete = written < len(data) if written else self.is_line_incomplete
        if written < len(data):
            raise BlockingIOError("the line was only partly written")
        return len(text)

    def flush(self) -> None:
        """Do nothing, as there is no buffer."""


def print_error(message: str) -> None:
    """Write an error message; a failure to write is ignored, as the exit status reports the error too."""
    with contextlib.suppress(OSError, ValueError):
        StandardError().write(f"elderstall: {message}\n")


class Log:
    """A log limited by a token bucket; the next line written is preceded by the counts of suppressed ones."""

    def __init__(
        self,
        clock: Callable[[], float],
        lines_per_s: float = 20.0,
        burst: float = 100.0,
        out: TextIO | StandardError | None = None,
    ) -> None:
        self.clock = clock
        self.out = out or StandardError()
        self.rate = lines_per_s / 1000  # lines per ms
        self.burst = burst
        self.tokens = burst
        self.refilled_at = clock()
        self.suppressed: Counter[str] = Counter()
        self.last_written: dict[str, float] = {}  # by code, ms, for write_rate_limited
        self.ends: Counter[str] = Counter()  # connections that ended, by kind and reason

    def write_rate_limited(self, code: str, text: str) -> None:
        """Write at most one line per second under a code, and count the others as suppressed."""
        now = self.clock()
        if now - self.last_written.get(code, -math.inf) < RATE_LIMITED_INTERVAL_MS:
            self.suppressed[code] += 1
            return
        self.last_written[code] = now
        self.write(code, text)

    def write(self, code: str, text: str) -> None:
        """Write one line under a code, or count it as suppressed."""
        now = self.clock()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        if self.tokens < 1 or not self.is_writable():
            self.suppressed[code] += 1
            return
        if self.suppressed:
            counts = " ".join(f"{name}={count}" for name, count in sorted(self.suppressed.items()))
            self.suppressed.clear()
            self.print(now, "suppressed", counts)
        self.tokens -= 1
        self.print(now, code, text)

    def is_writable(self) -> bool:
        """Return whether a line and the counts before it can be written without blocking.

        A writable pipe takes PIPE_BUF, see ``MAX_LINE_BYTES``. Writing
        to a full pipe would block the process for as long as its reader is stalled.
        """
        poll = select.poll()
        try:
            poll.register(self.out.fileno(), select.POLLOUT)
            return bool(poll.poll(0))
        except (OSError, ValueError, AttributeError):
            return True  # without a descriptor writing cannot block

    def print(self, now: float, code: str, text: str) -> None:
        """Write the line; a log that cannot be written must not stop the process."""
        clean = text[:MAX_LINE_BYTES].replace("\n", " | ").replace("\r", " ")
        clean = clean.encode("utf-8", "backslashreplace")[:MAX_LINE_BYTES].decode("utf-8", "ignore")
        try:
            self.out.write(f"{now / 1000:.3f} {code} {clean}\n")
            self.out.flush()
        except (OSError, ValueError):
            self.suppressed[code] += 1

    def ended(self, what: str, number: int, reason: str, detail: str = "") -> None:
        """Count the end of a connection, and log it under the code for its reason."""
        self.ends[f"{what}.{reason}"] += 1
        self.write(f"end:{reason}", f"{what} {number} {detail}".rstrip())

    def failure(self, where: str, error: BaseException | None) -> None:
        """Log an exception with the last frames of its traceback.

        System errors are not bugs and can come with every call for a while, so they are rate-limited.
        """
        if error is None:
            return
        frames = traceback.extract_tb(error.__traceback__)[-3:]
        places = " < ".join(
            f"{frame.filename.rsplit('/', 1)[-1]}:{frame.lineno}" for frame in reversed(frames)
        )
        write = self.write_rate_limited if isinstance(error, OSError) else self.write
        write(
            "system" if isinstance(error, OSError) else "bug",
            f"{where}: {type(error).__name__}: {error} at {places}",
        )
