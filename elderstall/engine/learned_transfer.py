"""Codec of the decisions' learned state for the peer process of an upgrade.

Starts are sent as listed and other times are encoded by the shared clock, as the two processes' own readings
differ once the wall clock has been stepped. The keys are fixed, as the processes may run different versions.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from elderstall.clocks import SharedClock
from elderstall.interface import Endpoint
from elderstall.routing.view import FleetView


def encode_learned(data: dict[str, Any], view: FleetView, clock: SharedClock) -> dict[str, Any]:
    """Encode the result of ``Dispatcher.learned`` in place and return it."""
    for name, worker in data["workers"].items():
        entry = view.entries.get(name)
        started = worker["started"]
        if entry is not None and started == entry.started:
            worker["started"] = entry.since_ms
        elif started is not None:
            worker["started"] = clock.encode_reading(started)  # the end of a ban, which counts as a start
        worker["skip_until"] = clock.encode_reading(worker["skip_until"])
        worker["pushed"] = [(clock.encode_reading(at), work) for at, work in worker["pushed"]]
    return data


def decode_learned(
    data: dict[str, Any],
    entries: Iterable[Endpoint],
    bans_ended: Mapping[str, Sequence[float]],
    view: FleetView,
    clock: SharedClock,
) -> None:
    """Decode learned state in place: starts become those of the view's effective entries.

    ``bans_ended`` holds the begin and the end of each worker's last ended ban, as sent; the end counts as a
    start. State learned from an earlier process of a worker gets the start NaN, which matches no worker.
    """
    workers = data["workers"]
    for entry in entries:
        if (worker := workers.get(entry.worker)) is None:
            continue
        shown = view.effective_entry(entry)
        listed = shown.started == entry.started
        same = worker["started"] == (entry.since_ms if listed else bans_ended[entry.worker][1])
        worker["started"] = shown.started if same else math.nan
        worker["skip_until"] = clock.decode_reading(worker["skip_until"])
        worker["pushed"] = [(clock.decode_reading(at), work) for at, work in worker["pushed"]]
