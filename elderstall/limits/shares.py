"""How far a tenant's jobs are within its share, as one of many dispatchers can tell.

A tenant's share is a rate over all dispatchers. Traffic is spread unevenly, so a dispatcher with thrice the
mean traffic sees three times its even part of each share although every tenant may be well within. It does
not know the fleet's traffic; it knows its own, and how that is made up. So its part of a share is its even
part, or the tenant's part of all shares in its own traffic, whichever is more: the fleet is taken to carry no
more than the shares, and a tenant to exceed its own only where it crowds out the others.

Which of a tenant's jobs are the ones beyond its share nobody can tell: each counts for what it is worth on
average, by the part that is within. Where dispatchers are few, each meters an even part of a share by a
token bucket, job by job.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from elderstall.interface import Tenant

SEEN_FOR = 10_000.0  # ms after which what was seen counts for a third: some jobs of each at a light one
REBASE_AFTER = 30 * SEEN_FOR  # ms: weights up to e to the 30th, of which rounding loses nothing that counts
MOST_EXPONENT = 700.0  # that a float can take
CHANCE = 5.0  # jobs of a tenant beyond its part that come by chance: at a light dispatcher they do


@dataclass(slots=True)
class Bucket:
    """A token bucket, full at first."""

    tokens: float = math.inf
    at: float = 0.0

    def take(self, now: float, rate: float, most: float) -> bool:
        """Fill it at ``rate`` a ms up to ``most``, and take one token if it is there."""
        self.tokens, self.at = min(most, self.tokens + (now - self.at) * rate), now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class QuotaTracker:
    """What was seen of each tenant, against its share."""

    def __init__(self) -> None:
        self.quotas, self.dispatchers, self.many = dict[str, float](), 1, False  # jobs a ms over all
        self.all_quotas = 0.0
        self.tokens = dict[str, Bucket]()  # where dispatchers are few: each has an even part of a share
        # Where they are many: jobs, each weighing more by e for every SEEN_FOR after ``base`` that it came
        # later, instead of all before it fading. So a job touches its own tenant's figure alone.
        self.seen, self.all_seen, self.base = dict[str, float](), 0.0, 0.0

    def adopt(self, tenants: Iterable[Tenant], dispatchers: int, many: bool) -> None:
        """Take settings; what was seen of tenants that are still there stays."""
        self.quotas, self.dispatchers = {t.name: t.quota_per_s / 1000 for t in tenants}, dispatchers
        self.many = many
        self.tokens = {name: self.tokens.get(name, Bucket()) for name in self.quotas}
        self.all_quotas = sum(self.quotas.values())
        self.seen = {name: self.seen.get(name, 0.0) for name in self.quotas}
        self.all_seen = sum(self.seen.values())

    def within(self, now: float, tenant: str | None) -> float:
        """Count a job, and give the part of its tenant's jobs that is within its share."""
        if tenant is None or tenant not in self.quotas:
            return 1.0
        quota = self.quotas[tenant]
        if not self.many:
            even = quota / self.dispatchers
            return float(self.tokens[tenant].take(now, even, max(1.0, even * 1000)))
        if now - self.base > REBASE_AFTER:
            self.rebase(now)
        weight = math.exp((now - self.base) / SEEN_FOR)
        self.seen[tenant] += weight
        self.all_seen += weight
        ours = self.all_seen / weight * quota / self.all_quotas if self.all_quotas else 0.0
        count = self.seen[tenant] / weight
        return min(1.0, (max(quota * SEEN_FOR / self.dispatchers, ours) + CHANCE) / count)

    def rebase(self, now: float) -> None:
        """Let what was seen weigh as it does now: weights would grow without a bound."""
        fade = math.exp(max(-MOST_EXPONENT, (self.base - now) / SEEN_FOR))
        self.seen = {name: count * fade for name, count in self.seen.items()}
        self.all_seen, self.base = sum(self.seen.values()), now
