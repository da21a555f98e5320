"""Compares two scenarios paired by seed: the same seeds on both sides, the difference with its interval."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from statistics import fmean, stdev
from typing import Any

from elderstall.simulation.scenario import Scenario
from elderstall.simulation.world import play

# Quantiles of Student's t at 97.5% by degrees of freedom, 1 to 30; beyond, the normal one is close.
T975 = (
    12.706,
    4.303,
    3.182,
    2.776,
    2.571,
    2.447,
    2.365,
    2.306,
    2.262,
    2.228,
    2.201,
    2.179,
    2.160,
    2.145,
    2.131,
    2.120,
    2.110,
    2.101,
    2.093,
    2.086,
    2.080,
    2.074,
    2.069,
    2.064,
    2.060,
    2.056,
    2.052,
    2.048,
    2.045,
    2.042,
)
NORMAL = 1.960


@dataclass(frozen=True)
class Difference:
    """Two means and their difference, second less first, with a 95% interval; None with a single pair."""

    name: str
    first: float
    second: float
    difference: float
    half: float | None  # of the interval

    @property
    def clear(self) -> bool:
        """Whether the interval leaves out zero."""
        return self.half is not None and abs(self.difference) > self.half


def difference(name: str, first: Sequence[float], second: Sequence[float]) -> Difference:
    """Compare pairs: Student's paired t, which takes the differences for normal."""
    gaps = [b - a for a, b in zip(first, second, strict=True)]
    half = None
    if len(gaps) > 1:
        quantile = T975[len(gaps) - 2] if len(gaps) - 1 <= len(T975) else NORMAL
        half = quantile * stdev(gaps) / math.sqrt(len(gaps))
    return Difference(name, fmean(first), fmean(second), fmean(gaps), half)


def measures(figures: dict[str, Any]) -> dict[str, float | None]:
    """Pick what is compared."""
    service = figures["service"]
    tries = max(1, figures["requests"])
    return {
        "figure": figures["figure"],
        "service, whole": service["whole"],
        "service, worst 10 s": service["worst_10_s"],
        "worst class": service["worst_class"],
        "worst tenant": service["worst_tenant"],
        **{f"class {name}": c["service"] for name, c in figures["classes"].items()},
        "refused": figures["endings"].get("refused", 0) / tries,
        "attempts a request": figures["attempts"] / tries,
        "connections a request": figures["connections"] / tries,
        "wasted core time": figures["work"]["wasted_s"] / max(1e-9, figures["work"]["core_s"]),
    }


def compare(
    scenarios: tuple[Scenario, Scenario],
    seeds: Sequence[int],
    done: Callable[[], None] = lambda: None,
    processes: int | None = None,
) -> tuple[list[Difference], list[tuple[dict[str, Any], dict[str, Any]]]]:
    """Play both scenarios under each seed, side by side, and compare. ``done`` is called after each play."""
    results: dict[tuple[int, int], dict[str, Any]] = {}
    with ProcessPoolExecutor(processes) as pool:
        plays = {
            pool.submit(play, scenario, seed): (n, seed)
            for seed in seeds
            for n, scenario in enumerate(scenarios)
        }
        for one in as_completed(plays):
            results[plays[one]] = one.result()
            done()
    pairs = [(results[0, seed], results[1, seed]) for seed in seeds]
    table: list[Difference] = []
    sides = [(measures(a), measures(b)) for a, b in pairs]
    for name in sides[0][0]:
        both = [(a[name], b[name]) for a, b in sides if name in b]
        known = [(a, b) for a, b in both if a is not None and b is not None]
        if known:
            table.append(difference(name, [a for a, _ in known], [b for _, b in known]))
    return table, pairs
