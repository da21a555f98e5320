"""What the decisions have learned, on its way to the other process of an upgrade.

Starts are sent as the endpoint list has them, and times as the shared clock writes them: the two processes'
own readings differ once the wall clock has been stepped. The keys are fixed, as two versions meet there.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from elderstall.clocks import SharedClock
from elderstall.interface import Endpoint
from elderstall.routing.view import FleetView


def write_learned(data: dict[str, Any], view: FleetView, clock: SharedClock) -> dict[str, Any]:
    """Write what ``Dispatcher.learned`` gave for the other process; changes the data in place."""
    for name, worker in data["workers"].items():
        entry, started = view.entries.get(name), worker["started"]
        if entry is not None and started == entry.started:
            worker["started"] = entry.since_ms
        elif started is not None:
            worker["started"] = clock.encode_reading(started)  # its ban was ended then
        worker["skip_until"] = clock.encode_reading(worker["skip_until"])
        worker["pushed"] = [(clock.encode_reading(at), work) for at, work in worker["pushed"]]
    return data


def read_learned(
    data: dict[str, Any],
    entries: Iterable[Endpoint],
    bans_ended: Mapping[str, Sequence[float]],
    view: FleetView,
    clock: SharedClock,
) -> None:
    """Read what another process has written: its workers' starts become those that the view shows here.

    ``bans_ended`` has the times of bans that have ended, as they were sent. What was learned of another
    process of a worker gets a start that is no worker's.
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
