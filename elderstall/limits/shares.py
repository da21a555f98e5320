"""Estimates how far a tenant's jobs are within its quota, as seen by one of several dispatchers.

A quota is a rate over all dispatchers. Traffic is spread unevenly, so a dispatcher with three times the mean
traffic sees three times the even share of each quota although every tenant may be well within it. A
dispatcher doesn't know the traffic of the fleet, only its own traffic and how that is divided among tenants.
So its share of a quota is the even share, or the tenant's share of the sum of all quotas applied to the
traffic of this dispatcher, whichever is more: the fleet is assumed to carry no more than the sum of the
quotas, and a tenant to exceed its own quota only where it displaces the others.

Which of a tenant's jobs are the ones beyond its quota isn't defined, so each counts with the average weight,
by the fraction that is within the quota. Where dispatchers are few, each meters an even share of a quota job
by job with a token bucket.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from elderstall.interface import Tenant

COUNT_DECAY_MS = 10_000.0  # counts fall to 1/e in it; long enough to see several jobs of a tenant at low load
REBASE_AFTER_MS = 30 * COUNT_DECAY_MS  # weights grow up to e to the 30th: their rounding errors don't matter
MAX_EXPONENT = 700.0  # of the decay by a rebase, which stays within the range of a float
BURST_MS = 1_000.0  # of an even share's rate: capacity of its token bucket
CHANCE_EXCESS_JOBS = 5.0  # above its share: a tenant within its quota has so many by chance at low load


@dataclass(slots=True)
class TokenBucket:
    """A token bucket, full at first."""

    tokens: float = math.inf
    filled_at: float = 0.0  # ms

    def try_take(self, now: float, rate: float, capacity: float) -> bool:
        """Refill at ``rate`` tokens a ms up to ``capacity``, and return whether a token was taken."""
        self.tokens = min(capacity, self.tokens + (now - self.filled_at) * rate)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class QuotaTracker:
    """Counts each tenant's jobs and compares them with its quota."""

    def __init__(self) -> None:
        self.quotas = dict[str, float]()  # jobs a ms over all dispatchers
        self.dispatchers = 1
        self.large_fleet = False
        self.total_quota = 0.0
        self.tokens = dict[str, TokenBucket]()  # in a small fleet: an even share of a quota each
        # In a large fleet: decayed counts of jobs. Instead of decaying all earlier jobs, each new one weighs
        # more by a factor of e for every COUNT_DECAY_MS after ``base_time``. So a job changes only the count
        # of its own tenant.
        self.counts = dict[str, float]()
        self.total_count = 0.0
        self.base_time = 0.0  # ms

    def change_settings(self, tenants: Iterable[Tenant], dispatchers: int, large_fleet: bool) -> None:
        """Replace the settings; counts of tenants that remain are kept."""
        self.quotas = {t.name: t.quota_per_s / 1000 for t in tenants}
        self.dispatchers = dispatchers
        self.large_fleet = large_fleet
        self.tokens = {name: self.tokens.get(name, TokenBucket()) for name in self.quotas}
        self.total_quota = sum(self.quotas.values())
        self.counts = {name: self.counts.get(name, 0.0) for name in self.quotas}
        self.total_count = sum(self.counts.values())

    def count_job(self, now: float, tenant: str | None) -> float:
        """Count a job, and return the fraction of its tenant's jobs that is within the quota.

        Where dispatchers are few, it is 1 or 0 for each job.
        """
        if tenant is None or tenant not in self.quotas:
            return 1.0
        quota = self.quotas[tenant]
        if not self.large_fleet:
            even_share = quota / self.dispatchers
            return float(self.tokens[tenant].try_take(now, even_share, max(1.0, even_share * BURST_MS)))
        if now - self.base_time > REBASE_AFTER_MS:
            self.rebase(now)
        weight = math.exp((now - self.base_time) / COUNT_DECAY_MS)
        self.counts[tenant] += weight
        self.total_count += weight
        traffic_share = self.total_count / weight * quota / self.total_quota if self.total_quota else 0.0
        count = self.counts[tenant] / weight
        return min(
            1.0,
            (max(quota * COUNT_DECAY_MS / self.dispatchers, traffic_share) + CHANCE_EXCESS_JOBS) / count,
        )

    def rebase(self, now: float) -> None:
        """Move the base time to now and rescale the counts, whose weights would grow without bound."""
        fade = math.exp(max(-MAX_EXPONENT, (self.base_time - now) / COUNT_DECAY_MS))
        self.counts = {name: count * fade for name, count in self.counts.items()}
        self.total_count = sum(self.counts.values())
        self.base_time = now
