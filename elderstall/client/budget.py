"""A retry budget: limits retries to a share of the calls, apart from a small reserve.

As in Finagle and gRPC, each call adds a fraction of a token and each retry removes a whole one. In an outage,
when every call fails, the retries of all callers together add no more than that share to the load.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class RetryBudget:
    """Tokens for retries, shared by all calls of a process. Raises ValueError for invalid settings.

    At any time ``retries <= reserve + share * calls + refill_per_s * seconds``.
    """

    share: float = 0.2  # tokens added by each call
    reserve: float = 10.0  # tokens at the start, also the maximum; below 1 no retry is ever allowed
    refill_per_s: float = 0.5  # tokens a second, without which a process with few calls could hardly retry
    tokens: float = math.nan
    refilled_at: float | None = None  # ms
    calls: int = 0
    retries: int = 0
    denied: int = 0

    def __post_init__(self) -> None:
        for name in ("share", "reserve", "refill_per_s"):
            if not 0 <= getattr(self, name) < math.inf:
                raise ValueError(f"{name}: must not be negative")
        self.tokens = self.reserve

    def _refill(self, now: float) -> None:
        if self.refilled_at is not None and now > self.refilled_at:
            self.tokens = min(self.reserve, self.tokens + (now - self.refilled_at) / 1000 * self.refill_per_s)
        self.refilled_at = now if self.refilled_at is None else max(self.refilled_at, now)

    def record_call(self, now: float) -> None:
        """Add the tokens for a call's first attempt."""
        self._refill(now)
        self.calls += 1
        self.tokens = min(self.reserve, self.tokens + self.share)

    def check_token(self, now: float) -> bool:
        """Return whether there is a token for a retry now; if not, count the denial in ``denied``."""
        self._refill(now)
        if self.tokens >= 1:
            return True
        self.denied += 1
        return False

    def consume_token(self, now: float) -> bool:
        """Remove a token for a retry that is sent now; return False, and count the denial, without one."""
        if not self.check_token(now):
            return False
        self.tokens -= 1
        self.retries += 1
        return True
