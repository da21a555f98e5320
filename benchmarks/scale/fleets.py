"""Fleets of a size, made up: names, zones, kinds, lists in discovery's form, and churn."""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from dataclasses import replace

from elderstall.interface import Endpoint, WorkerState

REGIONS, ZONES, KINDS = 11, 41, 4
REPLACED_A_DAY = 8_240  # worker processes, of 23,000: the target's 240 failures and 8,000 replacements
CHANGES_EACH = 3  # draining, gone, and the one that comes in its place
TARGET = 23_000
DAY = 86_400_000.0  # ms
EPOCH = 1_000_000_000.0  # ms: when simulated time begins


def name_of(number: int) -> str:
    """Give a worker's name, as scattered as real ones."""
    return f"s-{number * 2654435761 % 2**32:08x}"


def zone_of(number: int) -> str:
    """Give a worker's zone; zones are spread evenly over the regions."""
    zone = number % ZONES
    return f"region-{zone % REGIONS}-{zone}"


def entry(number: int, state: WorkerState = WorkerState.UP, started: float | None = None) -> Endpoint:
    """Give one worker's entry."""
    return Endpoint(name_of(number), f"kind-{number % KINDS}", zone_of(number), number // 4, started, state)


def entries(count: int) -> tuple[Endpoint, ...]:
    """Give the whole list of a fleet."""
    return tuple(entry(number) for number in range(count))


def list_text(count: int, indent: int | None = None) -> bytes:
    """Write the whole list in discovery's form."""
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
    """Give the changes of so many days of churn, each with its time: workers drain, go, and others come."""
    listed = list(range(count))
    number, gap = count, DAY / (REPLACED_A_DAY * count / TARGET)
    at = EPOCH
    while (at := at + gap) < EPOCH + days * DAY:
        place = rng.randrange(count)
        old, listed[place] = listed[place], number
        yield at, entry(old, WorkerState.DRAINING)
        yield at + gap / 4, entry(old, WorkerState.GONE)
        yield at + gap / 2, replace(entry(number), started=at + gap / 2)
        number += 1
