"""Steepest ascent among legal policies: a search; the solver hands in what a policy earns."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from elderstall.decisions.records import Policy, is_feasible

STEPS = (100, 10, 1)  # thousandths: the design's 0.1 cut tenfold to 0.001


def neighbours(policy: Policy, step: int, tiers: int, *, resize: bool) -> Iterator[Policy]:
    """Yield the legal policies one step away."""
    for n in range(len(policy.fractions)):
        for d in (step, -step):
            f = (*policy.fractions[:n], policy.fractions[n] + d, *policy.fractions[n + 1 :])
            if is_feasible(near := Policy(f, policy.sizes), tiers) and not (resize and f[n] < 0):
                yield near
    if resize:
        move = sum(policy.sizes) * step // 2000 + 1
        for a in range(tiers):
            for b in range(tiers):
                if a != b:
                    sizes = tuple(s + move * ((k == a) - (k == b)) for k, s in enumerate(policy.sizes))
                    if is_feasible(near := Policy(policy.fractions, sizes), tiers):
                        yield near


def random_policy(rng: random.Random, like: Policy, tiers: int, *, resize: bool) -> Policy:
    """Draw a legal policy."""
    while True:
        f = tuple(rng.randrange(0 if resize else -10, 11) * 100 for _ in like.fractions)
        sizes = like.sizes
        if resize and (spare := sum(sizes) - tiers) > 0:
            marks = sorted(rng.randrange(spare + 1) for _ in range(tiers - 1))
            sizes = tuple(b - a + 1 for a, b in zip([0, *marks], [*marks, spare], strict=True))
        if is_feasible(policy := Policy(f, sizes), tiers):
            return policy


def climb(
    start: Policy,
    priority_weight: Callable[[Policy], float],
    tiers: int,
    budget: int,
    rng: random.Random,
    *,
    resize: bool,
) -> Policy:
    """Steepest ascent from the current policy, with step cuts and random restarts, within a budget.

    ``worth`` is asked at most ``budget`` times, once for a policy.
    """
    seen: dict[Policy, float] = {}

    def score(policy: Policy) -> float:
        if policy not in seen:
            seen[policy] = priority_weight(policy)
        return seen[policy]

    if resize:
        start = Policy(tuple(max(0, f) for f in start.fractions), start.sizes)
    here, step, looks = start, 0, 0
    score(start)
    while len(seen) < budget and looks < 4 * budget:  # a small space can be known before the budget is spent
        best = here
        for near in neighbours(here, STEPS[step], tiers, resize=resize):
            looks += 1
            if len(seen) >= budget:
                break
            if score(near) > seen[best]:
                best = near
        looks += 1
        if best != here:
            here = best
        elif step + 1 < len(STEPS):
            step += 1
        else:
            here, step = random_policy(rng, start, tiers, resize=resize), 0
            score(here)
    return max(seen, key=lambda p: seen[p])
