"""Pacing of new connections: a bounded rate, earliest deadline first.

After a restart every client of a process would otherwise connect at once, and a dispatcher that has just
started would spend its first second on handshakes. A token bucket limits the rate of a process; after a
failed connect, full jitter (a random wait up to the backoff) spreads the next attempt of each process.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Hashable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectPacing:
    """Limits on opening connections. Raises ValueError for invalid values."""

    rate: float = 20.0  # connections a second
    burst: float = 5.0  # connections that may be opened at once after a pause
    backoff_ms: float = 100.0
    max_backoff_ms: float = 5_000.0
    max_waiting: int = 10_000  # callers that wait for a connection; further ones are rejected at once

    def __post_init__(self) -> None:
        for name in ("rate", "backoff_ms", "max_backoff_ms"):
            if not 0 < getattr(self, name) < math.inf:
                raise ValueError(f"{name}: must be above 0")
        if not 1 <= self.burst < math.inf:
            raise ValueError("burst: must be at least 1")
        if self.max_waiting < 1:
            raise ValueError("max_waiting: must be at least 1")


class ConnectQueue:
    """Callers that wait for a connection to one dispatcher, and when each may connect."""

    def __init__(self, pacing: ConnectPacing, uniform: Iterator[float], now: float = 0.0) -> None:
        self.pacing = pacing
        self.uniform = uniform
        self.tokens = pacing.burst
        self.refilled_at = now
        self.failures = 0  # in a row
        self.blocked_until = -math.inf
        self.queue: list[tuple[float, int, Hashable]] = []
        self.waiting: dict[Hashable, int] = {}
        self.last_number = 0

    def enqueue(self, key: Hashable, deadline: float) -> bool:
        """Wait for a connection; return False if the queue is full or already has ``key``."""
        if len(self.waiting) >= self.pacing.max_waiting or key in self.waiting:
            return False
        self.last_number += 1
        self.waiting[key] = self.last_number
        heapq.heappush(self.queue, (deadline, self.last_number, key))
        return True

    def remove(self, key: Hashable) -> None:
        """Remove a waiting caller."""
        self.waiting.pop(key, None)

    def _refill(self, now: float) -> None:
        if now > self.refilled_at:
            self.tokens = min(
                self.pacing.burst, self.tokens + (now - self.refilled_at) / 1000 * self.pacing.rate
            )
            self.refilled_at = now

    def pop_granted(self, now: float) -> list[Hashable]:
        """Remove and return the callers that may connect now, earliest deadline first; drop expired ones."""
        self._refill(now)
        granted: list[Hashable] = []
        while self.queue:
            deadline, number, key = self.queue[0]
            if self.waiting.get(key) != number or deadline <= now:
                heapq.heappop(self.queue)
                if self.waiting.get(key) == number:
                    del self.waiting[key]
            elif now < self.blocked_until or self.tokens < 1:
                break
            else:
                heapq.heappop(self.queue)
                del self.waiting[key]
                self.tokens -= 1
                granted.append(key)
        return granted

    def next_grant_at(self, now: float) -> float | None:
        """Return when to call ``pop_granted`` again; None if no caller waits."""
        if not self.waiting:
            return None
        self._refill(now)
        return max(now, self.blocked_until, now + max(0.0, 1 - self.tokens) / self.pacing.rate * 1000)

    def record_result(self, now: float, succeeded: bool) -> None:
        """Record whether a connect succeeded.

        A failure blocks connects for the backoff; a success ends any block, also one that the failure
        of another connect has just set.
        """
        if succeeded:
            self.failures = 0
            self.blocked_until = -math.inf
            return
        # The exponent is limited, as 2.0 ** 1024 raises OverflowError.
        max_wait_ms = min(self.pacing.max_backoff_ms, self.pacing.backoff_ms * 2.0 ** min(self.failures, 30))
        self.failures += 1
        self.blocked_until = max(self.blocked_until, now + max_wait_ms * next(self.uniform))
