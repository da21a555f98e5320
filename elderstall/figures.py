"""The figures that operators are shown at the second address; counts since the start of the process."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class Figures:
    """What operators are shown: counts since the start, and how things stand."""

    classes: list[str] = field(default_factory=list)  # every class that was ever known, in order
    served: Counter[str] = field(default_factory=Counter)  # by class, as are the next two
    refused: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)
    reasons: Counter[tuple[str, str]] = field(default_factory=Counter)  # of refusals and failures, by class
    tries: int = 0  # attempts whose last byte was written
    probes: int = 0  # questions put to workers
    loads: int = 0  # files taken at SIGHUP
    load_errors: int = 0  # files turned down
    jobs: int = 0
    listed: int = 0
    avoided: int = 0
    in_view: int = 0  # workers that the module knows: all that are listed, or a subset of them
    widened: int = 0  # of them, those taken for others that are out of reach
    zones_lost: int = 0  # zones out of reach, as attempts show
    lists_refused: int = 0  # lists of more entries than the memory limit can hold
    odd_entries: int = 0  # entries with no zone or kind where others have one, or with a doubled name
    forgotten: int = 0  # workers that were gone, and are not remembered any more
    list_calls: int = 0  # calls for the list that went out to discovery
    list_failed: int = 0  # of them, and of watches, those that ended with no list
    list_age: float = -1.0  # ms since discovery last told anything; -1: not since the start
    heard_at: float = -1.0  # when it did, ms
