"""A queue model of the pools, which estimates the utility of a policy."""

from __future__ import annotations

import math
from collections.abc import Iterable
from itertools import accumulate

from elderstall.decisions.records import Load, Policy, pool_fractions

TIER_WEIGHTS = (0.45, 0.35, 0.20)  # weights of the tiers, highest first (see the design)
SOLVE_INTERVAL_MS = 2_000.0  # between solves: faults last seconds, so an interval of 30 s would miss them
MAX_UTILIZATION = 0.97  # the model has no steady state at 1; work above this counts as lost


def waiting_factor(rho: float, slots: float) -> float:
    """Return Sakasegawa's approximation of the probability of waiting in M/M/c.

    The mean wait is this factor x run time / (c (1 - rho)).
    """
    return float(rho ** (math.sqrt(2 * (slots + 1)) - 1))


def utility(policy: Policy, load: Load) -> float:
    """Return throughput within the latency objective x sum of weight * sigmoid(objective - response).

    This is U_g of the design.
    """
    tiers = len(load.rate)
    fractions = pool_fractions(policy, tiers)
    pools = range(tiers)
    jobs = [sum(load.rate[t] * fractions[t][p] for t in pools) for p in pools]
    work = [sum(load.rate[t] * fractions[t][p] * load.work[t] for t in pools) for p in pools]
    total = sum(work) or 1.0
    model = []  # of each pool: mean wait, fraction of jobs served, waiting factor, drain rate, speed
    for p, end in enumerate(accumulate(policy.sizes)):
        start = end - policy.sizes[p]
        fraction = work[p] / total
        capacity = max(load.capacity[end] - load.capacity[start] + load.shared_capacity * fraction, 1e-9)
        slots = max(1.0, load.slots[end] - load.slots[start] + load.shared_slots * fraction)
        rho = work[p] / capacity
        bounded_utilization = min(rho, MAX_UTILIZATION)
        waiting = waiting_factor(bounded_utilization, slots)
        drain = capacity * (1 - bounded_utilization) / max(work[p] / jobs[p] if jobs[p] else 0.0, 1e-9)
        wait = waiting / drain + max(0.0, rho - MAX_UTILIZATION) * SOLVE_INTERVAL_MS
        model.append((wait, min(1.0, MAX_UTILIZATION / max(rho, 1e-9)), waiting, drain, capacity / slots))
    gain = 0.0
    value = 0.0
    for t in pools:
        response = 0.0
        in_time = 0.0
        for fraction, (wait, served, waiting, drain, speed) in zip(fractions[t], model, strict=True):
            if fraction > 0:
                run = load.run[t] / speed
                response += fraction * (wait + run)
                late = min(1.0, waiting * math.exp(-max(0.0, load.latency_objective[t] - run) * drain))
                in_time += fraction * served * (1 - late)
        gain += load.rate[t] * in_time
        value += TIER_WEIGHTS[t] / (1 + math.exp(min(50.0, (response - load.latency_objective[t]) / 1000)))
    return gain * value


def tier_edges(weights: Iterable[float]) -> list[float]:
    """Return the minimum priority weight of each tier, highest first.

    The distinct weights are divided where the ratios of neighbours are the largest.
    """
    levels = sorted(set(weights), reverse=True)
    gaps = sorted(range(1, len(levels)), key=lambda n: (-round(levels[n - 1] / max(levels[n], 1e-9), 6), n))
    cuts = sorted(gaps[: len(TIER_WEIGHTS) - 1])
    return [levels[n - 1] for n in cuts] + levels[-1:]
