"""A queue model of the pools: it tells what a policy would earn, and decides nothing."""

from __future__ import annotations

import math
from collections.abc import Iterable
from itertools import accumulate

from elderstall.decisions.records import Load, Policy, pool_fractions

TIER_WEIGHTS = (0.45, 0.35, 0.20)  # the design's w of gold, silver and bronze: the paper's pools
INTERVAL = 2_000.0  # ms between f-solves: troubles last seconds, so the design's 30 s would miss them
SATURATED = 0.97  # a queue model has no steady state at 1: past this the excess is lost


def queue(rho: float, slots: float) -> float:
    """Chance-like factor of waiting in M/M/c (Sakasegawa): mean wait is factor x run / (c (1 - rho))."""
    return float(rho ** (math.sqrt(2 * (slots + 1)) - 1))


def utility(policy: Policy, load: Load) -> float:
    """Throughput within aim x sum of w * sigmoid(aim - response): the design's U_g."""
    tiers = len(load.rate)
    share = pool_fractions(policy, tiers)
    pools = range(tiers)
    jobs = [sum(load.rate[t] * share[t][p] for t in pools) for p in pools]
    work = [sum(load.rate[t] * share[t][p] * load.work[t] for t in pools) for p in pools]
    total = sum(work) or 1.0
    model = []  # of each pool: mean wait, share kept, factor of waiting, drain rate, speed
    for p, end in enumerate(accumulate(policy.sizes)):
        at = end - policy.sizes[p]
        part = work[p] / total
        power = max(load.capacity[end] - load.capacity[at] + load.shared_capacity * part, 1e-9)
        slots = max(1.0, load.slots[end] - load.slots[at] + load.shared_slots * part)
        rho = work[p] / power
        calm = min(rho, SATURATED)
        alpha = queue(calm, slots)
        drain = power * (1 - calm) / max(work[p] / jobs[p] if jobs[p] else 0.0, 1e-9)
        wait = alpha / drain + max(0.0, rho - SATURATED) * INTERVAL
        model.append((wait, min(1.0, SATURATED / max(rho, 1e-9)), alpha, drain, power / slots))
    gain = value = 0.0
    for t in pools:
        response = in_time = 0.0
        for part, (wait, keep, alpha, drain, speed) in zip(share[t], model, strict=True):
            if part > 0:
                run = load.run[t] / speed
                response += part * (wait + run)
                late = min(1.0, alpha * math.exp(-max(0.0, load.latency_objective[t] - run) * drain))
                in_time += part * keep * (1 - late)
        gain += load.rate[t] * in_time
        value += TIER_WEIGHTS[t] / (1 + math.exp(min(50.0, (response - load.latency_objective[t]) / 1000)))
    return gain * value


def tier_edges(worths: Iterable[float]) -> list[float]:
    """Cut distinct worths, best first, at their widest ratios; return each tier's least worth."""
    levels = sorted(set(worths), reverse=True)
    gaps = sorted(range(1, len(levels)), key=lambda n: (-round(levels[n - 1] / max(levels[n], 1e-9), 6), n))
    cuts = sorted(gaps[: len(TIER_WEIGHTS) - 1])
    return [levels[n - 1] for n in cuts] + levels[-1:]
