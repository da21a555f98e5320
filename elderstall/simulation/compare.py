"""Compares two scenarios paired by seed: the mean difference of each measure with its confidence interval."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from statistics import fmean, stdev
from typing import Any

from elderstall.simulation.scenario import Scenario
from elderstall.simulation.world import play

# Quantiles of Student's t at 97.5% for 1 to 30 degrees of freedom; above that, the normal quantile is close.
STUDENT_T_QUANTILES = (
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
NORMAL_QUANTILE = 1.960


@dataclass(frozen=True)
class Difference:
    """Two means and their difference, second less first, with a 95% confidence interval."""

    name: str
    first: float
    second: float
    difference: float
    half: float | None  # half the width of the interval; None with a single pair

    @property
    def clear(self) -> bool:
        """Whether the interval excludes zero."""
        return self.half is not None and abs(self.difference) > self.half


def difference(name: str, first: Sequence[float], second: Sequence[float]) -> Difference:
    """Return the comparison of pairs by Student's paired t, which assumes normal differences."""
    differences = [b - a for a, b in zip(first, second, strict=True)]
    half = None
    if len(differences) > 1:
        quantile = (
            STUDENT_T_QUANTILES[len(differences) - 2]
            if len(differences) - 1 <= len(STUDENT_T_QUANTILES)
            else NORMAL_QUANTILE
        )
        half = quantile * stdev(differences) / math.sqrt(len(differences))
    return Difference(name, fmean(first), fmean(second), fmean(differences), half)


def measures(figures: dict[str, Any]) -> dict[str, float | None]:
    """Return the measures of a run that are compared, by name."""
    service = figures["service"]
    requests = max(1, figures["requests"])
    return {
        "figure": figures["figure"],
        "service, whole": service["whole"],
        "service, worst 10 s": service["worst_10_s"],
        "worst class": service["worst_class"],
        "worst tenant": service["worst_tenant"],
        **{f"class {name}": c["service"] for name, c in figures["classes"].items()},
        "refused": figures["endings"].get("refused", 0) / requests,
        "attempts a request": figures["attempts"] / requests,
        "connections a request": figures["connections"] / requests,
        "wasted core time": figures["work"]["wasted_s"] / max(1e-9, figures["work"]["core_s"]),
    }


def compare(
    scenarios: tuple[Scenario, Scenario],
    seeds: Sequence[int],
    done: Callable[[], None] = lambda: None,
    processes: int | None = None,
) -> tuple[list[Difference], list[tuple[dict[str, Any], dict[str, Any]]]]:
    """Run both scenarios with each seed in parallel and compare them. ``done`` is called after each run."""
    results: dict[tuple[int, int], dict[str, Any]] = {}
    with ProcessPoolExecutor(processes) as pool:
        runs = {
            pool.submit(play, scenario, seed): (side, seed)
            for seed in seeds
            for side, scenario in enumerate(scenarios)
        }
        for run in as_completed(runs):
            results[runs[run]] = run.result()
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
