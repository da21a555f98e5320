"""Compares the solver with exhaustive search, and the queue model with known queueing results."""

from __future__ import annotations

import math
import random

import pytest

from elderstall.decisions.hill_climb import climb
from elderstall.decisions.queue_model import tier_edges, utility, waiting_factor
from elderstall.decisions.records import Load, Policy, is_feasible, pool_fractions, tier_pairs


def load(rates: tuple[float, ...], workers: int = 6) -> Load:
    n = len(rates)
    steps = tuple(float(k) for k in range(workers + 1))
    return Load(
        rates,
        (200.0,) * n,
        (200.0,) * n,
        (700.0,) * n,
        tuple(4 * s for s in steps),
        tuple(4 * s for s in steps),
    )


def erlang_c(c: int, rho: float) -> float:
    a = c * rho
    top = a**c / math.factorial(c) / (1 - rho)
    return top / (sum(a**k / math.factorial(k) for k in range(c)) + top)


@pytest.mark.parametrize("rho", [0.3, 0.6, 0.9])
def test_one_slot_waits_as_in_mm1(rho: float) -> None:
    assert waiting_factor(rho, 1) == pytest.approx(rho)


@pytest.mark.parametrize("slots", [2, 4, 16, 40])
@pytest.mark.parametrize("rho", [0.7, 0.85, 0.95])
def test_waiting_is_near_erlang_c(slots: int, rho: float) -> None:
    assert waiting_factor(rho, slots) == pytest.approx(erlang_c(slots, rho), abs=0.06)


def test_climb_matches_exhaustive_search_with_two_tiers() -> None:
    given = load((0.05, 0.02))
    found = climb(Policy((0,), (3, 3)), lambda p: utility(p, given), 2, 500, random.Random(1), resize=True)
    best = max(utility(Policy((f,), (n, 6 - n)), given) for f in range(0, 1001, 10) for n in range(1, 6))
    assert utility(found, given) >= 0.999 * best


def test_climb_matches_exhaustive_search_with_three_tiers() -> None:
    given = load((0.03, 0.05, 0.02))
    found = climb(
        Policy((0, 0, 0), (2, 2, 2)), lambda p: utility(p, given), 3, 200, random.Random(1), resize=False
    )
    grid = range(-1000, 1001, 100)
    every = (Policy((a, b, c), (2, 2, 2)) for a in grid for b in grid for c in grid)
    best = max(utility(p, given) for p in every if is_feasible(p, 3))
    assert utility(found, given) >= 0.99 * best


def test_climb_keeps_its_budget_and_the_constraints() -> None:
    given = load((0.09, 0.01, 0.01))
    found = climb(
        Policy((0, 0, 0), (2, 2, 2)), lambda p: utility(p, given), 3, 40, random.Random(3), resize=True
    )
    assert is_feasible(found, 3)
    assert sum(found.sizes) == 6
    assert min(found.fractions) >= 0


def test_utility_per_job_falls_with_load() -> None:
    light, heavy = load((0.01, 0.01)), load((0.06, 0.06))
    policy = Policy((0,), (3, 3))
    assert utility(policy, heavy) / 0.12 < utility(policy, light) / 0.02


@pytest.mark.parametrize("f", [(-500, 0, 100), (600, -500, 0), (0, 600, 600), (-600, 0, -600)])
def test_infeasible_fractions_are_detected(f: tuple[int, ...]) -> None:
    assert not is_feasible(Policy(f, (1, 1, 1)), 3)


def test_pool_fractions_send_each_tier_s_jobs_exactly_once() -> None:
    for f in [(300, 200, 100), (-300, 500, -200), (1000, 0, 0)]:
        rows = pool_fractions(Policy(f, (1, 1, 1)), 3)
        assert all(sum(row) == pytest.approx(1) and min(row) >= 0 for row in rows)


def test_tiers_follow_priority_weight() -> None:
    assert tier_edges([2, 5, 5]) == [5, 2]
    assert tier_edges([1]) == [1]
    assert tier_edges([1, 3, 0.2, 0.6]) == [3, 0.6, 0.2]
    assert tier_edges([1, 3, 0.05, 0.15]) == [3, 1, 0.05]  # of equal gaps the upper
    assert [len(tier_pairs(t)) for t in (1, 2, 3)] == [0, 1, 3]
