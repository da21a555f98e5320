"""Small scenarios for tests: a few workers and dispatchers, seconds long."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from elderstall.interface import Effect, JobClass
from elderstall.simulation.scenario import (
    ClassLoad,
    Dispatchers,
    Fault,
    Kind,
    Listing,
    Rules,
    Scenario,
    TenantLoad,
    Traffic,
    Worker,
)

SAFE = ClassLoad(JobClass("fetch", 2.0, 250.0, 3_000.0, stretch=2.0), 0.6, 120.0, 1.0, noise=0.2)
UNSAFE = ClassLoad(
    JobClass("purchase", 10.0, 300.0, 4_000.0, Effect.NOT_IDEMPOTENT, stretch=2.0),
    0.4,
    150.0,
    1.0,
    slots=(0.8, 0.2),
)
KINDS = (
    Kind("fast", speed=1.8, slots=3, queue=6, cold_for=2_000.0),
    Kind("slow", speed=0.9, queue=10, cold_for=2_000.0, cancel="all", connection_work=2.0),
)
RULES = Rules(cold_for=2_000.0)
QUICK_LIST = Listing(notice=200.0, silent_notice=600.0, add=200.0, period=100.0, spread=20.0)


def scenario(*faults: Fault, **changes: Any) -> Scenario:
    """Return a short scenario with these faults and changed fields."""
    workers = tuple(Worker(f"w-{n}", "fast" if n % 2 else "slow", "a", n // 2) for n in range(6))
    values: dict[str, Any] = {
        "name": "small",
        "length": 12_000.0,
        "tail": 6_000.0,
        "load": Traffic(55.0, swing=0.2, swing_period=5_000.0),
        "kinds": KINDS,
        "workers": workers,
        "classes": (SAFE, UNSAFE),
        "rules": RULES,
        "listing": QUICK_LIST,
        "tenants": (TenantLoad("north", 0.7, 34.0), TenantLoad("south", 0.3, 18.0)),
        "dispatchers": Dispatchers((2.0, 1.0, 0.5)),
        "faults": tuple(faults),
    }
    return Scenario(**{**values, **changes})


def shorter(base: Scenario, length: float) -> Scenario:
    """Return a scenario of this length, with the times of its faults scaled likewise."""
    fraction = length / base.length
    return replace(
        base,
        length=length,
        faults=tuple(
            replace(
                fault,
                at=fault.at * fraction,
                length=fault.length * fraction,
                ramp=fault.ramp * fraction,
                apart=fault.apart * fraction,
            )
            for fault in base.faults
        ),
    )
