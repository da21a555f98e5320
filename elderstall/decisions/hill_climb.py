"""Steepest ascent among feasible policies; the solver passes in the function to maximize."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from elderstall.decisions.records import Policy, is_feasible

STEPS = (100, 10, 1)  # thousandths: 0.1, divided by ten down to 0.001 (see the design)


def neighbours(policy: Policy, step: int, tiers: int, *, resize: bool) -> Iterator[Policy]:
    """Yield the feasible policies one step away.

    With ``resize``, sizes change too, and jobs are only redirected to higher tiers' pools.
    """
    for n in range(len(policy.fractions)):
        for change in (step, -step):
            fractions = (*policy.fractions[:n], policy.fractions[n] + change, *policy.fractions[n + 1 :])
            if is_feasible(neighbour := Policy(fractions, policy.sizes), tiers) and not (
                resize and fractions[n] < 0
            ):
                yield neighbour
    if resize:
        moved = sum(policy.sizes) * step // 2000 + 1  # half the step's fraction of the workers, and one more
        for target in range(tiers):
            for source in range(tiers):
                if target != source:
                    sizes = tuple(
                        size + moved * ((tier == target) - (tier == source))
                        for tier, size in enumerate(policy.sizes)
                    )
                    if is_feasible(neighbour := Policy(policy.fractions, sizes), tiers):
                        yield neighbour


def random_policy(rng: random.Random, like: Policy, tiers: int, *, resize: bool) -> Policy:
    """Return a random feasible policy, with fractions in multiples of 0.1."""
    while True:
        fractions = tuple(rng.randrange(0 if resize else -10, 11) * 100 for _ in like.fractions)
        sizes = like.sizes
        if resize and (spare := sum(sizes) - tiers) > 0:
            boundaries = sorted(rng.randrange(spare + 1) for _ in range(tiers - 1))
            sizes = tuple(b - a + 1 for a, b in zip([0, *boundaries], [*boundaries, spare], strict=True))
        if is_feasible(policy := Policy(fractions, sizes), tiers):
            return policy


def climb(
    start: Policy,
    evaluate: Callable[[Policy], float],
    tiers: int,
    budget: int,
    rng: random.Random,
    *,
    resize: bool,
) -> Policy:
    """Return the best policy found by steepest ascent from ``start``, with smaller steps and random restarts.

    ``evaluate`` is called once per policy, at most ``budget`` times or once more at a restart.
    """
    scores: dict[Policy, float] = {}

    def score(policy: Policy) -> float:
        if policy not in scores:
            scores[policy] = evaluate(policy)
        return scores[policy]

    if resize:
        start = Policy(tuple(max(0, f) for f in start.fractions), start.sizes)
    current = start
    step = 0
    examined = 0
    score(start)
    while len(scores) < budget and examined < 4 * budget:  # a small space can be exhausted before the budget
        best = current
        for neighbour in neighbours(current, STEPS[step], tiers, resize=resize):
            examined += 1
            if len(scores) >= budget:
                break
            if score(neighbour) > scores[best]:
                best = neighbour
        examined += 1
        if best != current:
            current = best
        elif step + 1 < len(STEPS):
            step += 1
        else:
            current = random_policy(rng, start, tiers, resize=resize)
            step = 0
            score(current)
    return max(scores, key=lambda policy: scores[policy])
