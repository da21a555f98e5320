"""Generated fleets of a given size: names, zones, kinds, endpoint lists in discovery's format, and churn."""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from dataclasses import replace

from elderstall.interface import Endpoint, WorkerState

REGIONS = 11
ZONES = 41
KINDS = 4
REPLACEMENTS_PER_DAY = 8_240  # of the target fleet: 240 failures and 8,000 replacements
CHANGES_PER_REPLACEMENT = 3  # the old worker draining and gone, the new one up
TARGET_WORKERS = 23_000
DAY_MS = 86_400_000.0
EPOCH = 1_000_000_000.0  # ms, start of the simulated time


def name_of(number: int) -> str:
    """Return a worker's name; the hash gives consecutive numbers unrelated names, as in a real fleet."""
    return f"s-{number * 2654435761 % 2**32:08x}"


def zone_of(number: int) -> str:
    """Return a worker's zone; zones are spread evenly over the regions."""
    zone = number % ZONES
    return f"region-{zone % REGIONS}-{zone}"


def entry(number: int, state: WorkerState = WorkerState.UP, started: float | None = None) -> Endpoint:
    """Return one worker's entry in the endpoint list."""
    return Endpoint(name_of(number), f"kind-{number % KINDS}", zone_of(number), number // 4, started, state)


def entries(count: int) -> tuple[Endpoint, ...]:
    """Return the whole endpoint list of a fleet."""
    return tuple(entry(number) for number in range(count))


def list_text(count: int, indent: int | None = None) -> bytes:
    """Return the whole endpoint list as discovery sends it."""
    endpoints = [
        {
            "name": e.worker,
            "address": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:3000",
            "zone": e.zone,
            "type": e.kind,
            "group": e.cell,
            "status": "in_service",
            "weight": 1.0,
            "since_ms": 1_764_600_000_000 + n,
        }
        for n, e in enumerate(entries(count))
    ]
    return json.dumps({"index": 41, "snapshot": True, "endpoints": endpoints}, indent=indent).encode()


def replacements(count: int, days: float, rng: random.Random) -> Iterator[tuple[float, Endpoint]]:
    """Yield the time and entry of each change in a period of churn: workers drain, end and are replaced."""
    listed = list(range(count))
    number = count
    gap_ms = DAY_MS / (REPLACEMENTS_PER_DAY * count / TARGET_WORKERS)
    at = EPOCH
    while (at := at + gap_ms) < EPOCH + days * DAY_MS:
        index = rng.randrange(count)
        old, listed[index] = listed[index], number
        yield at, entry(old, WorkerState.DRAINING)
        yield at + gap_ms / 4, entry(old, WorkerState.GONE)
        yield at + gap_ms / 2, replace(entry(number), started=at + gap_ms / 2)
        number += 1
