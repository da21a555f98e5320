"""The figures that operators are shown at the second address; counts since the start of the process."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class Figures:
    """What operators are shown: counts since the start, and how things stand."""

    classes: list[str] = field(default_factory=list)  # every class that was ever known, in order
    served: Counter[str] = field(default_factory=Counter)  # by class, as are the next two
    rejected: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)
    reasons: Counter[tuple[str, str]] = field(default_factory=Counter)  # of refusals and failures, by class
    attempts_written: int = 0  # attempts whose last byte was written
    polls: int = 0  # questions put to workers
    settings_loads: int = 0  # files taken at SIGHUP
    settings_load_errors: int = 0  # files turned down
    jobs: int = 0
    workers_listed: int = 0
    workers_skipped: int = 0
    workers_in_view: int = 0  # workers that the module knows: all that are listed, or a subset of them
    workers_widened: int = 0  # of them, those taken for others that are out of reach
    zones_out_of_reach: int = 0  # zones out of reach, as attempts show
    lists_refused: int = 0  # lists of more entries than the memory limit can hold
    odd_entries: int = 0  # entries with no zone or kind where others have one, or with a doubled name
    workers_forgotten: int = 0  # workers that were gone, and are not remembered any more
    list_calls: int = 0  # calls for the list that went out to discovery
    list_calls_failed: int = 0  # of them, and of watches, those that ended with no list
    list_age: float = -1.0  # ms since discovery last told anything; -1: not since the start
    list_updated_at: float = -1.0  # when it did, ms
