"""The figures on the operators' console; counts are since the start of the process."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class ProcessFigures:
    """The memory and the turns of the reactor, of one process."""

    memory_limit_bytes: int = 0  # that the process was told
    memory_resident_bytes: int = 0
    memory_peak_resident_bytes: int = 0  # of the samples since the start
    memory_kept_bytes: int = 0  # counted for clients' connections, see net/server/state.py
    connections: int = 0  # of clients and of workers' callbacks
    turn_longest_ms: float = 0.0  # since the start
    turn_longest_work_ms: float = 0.0  # of one connection at once, since the start
    turn_long_count: int = 0  # turns over LONG_TURN_MS since the start


@dataclass(slots=True)
class Figures:
    """Counts since the start of the process, and current values."""

    classes: list[str] = field(
        default_factory=list
    )  # all classes since the start, in the order of their first appearance
    served: Counter[str] = field(default_factory=Counter)  # by class, like the next two
    rejected: Counter[str] = field(default_factory=Counter)
    failed: Counter[str] = field(default_factory=Counter)
    reasons: Counter[tuple[str, str]] = field(
        default_factory=Counter
    )  # of rejections and failures: (class, reason)
    attempts_written: int = 0  # attempts that were written completely
    polls: int = 0  # polls of workers for load reports
    settings_loads: int = 0  # settings files applied at SIGHUP
    settings_load_errors: int = 0  # settings files rejected
    jobs: int = 0  # live jobs
    workers_listed: int = 0  # workers in the endpoint list
    workers_skipped: int = 0  # of them, those that get no new jobs now, or only those of their probation
    workers_in_view: int = 0  # workers known to the decisions: all listed ones, or a subset
    workers_widened: int = 0  # of them, replacements for unreachable workers
    zones_out_of_reach: int = 0  # unreachable zones, according to attempts
    lists_refused: int = 0  # lists rejected for more entries than the memory limit allows
    odd_entries: int = (
        0  # malformed entries: those that lack a zone or kind that others have, or repeat a name
    )
    workers_forgotten: int = 0  # workers that were gone and whose state was dropped
    list_calls: int = 0  # list calls to discovery
    list_calls_failed: int = 0  # failed list calls and watches
    list_age: float = -1.0  # ms since the last update from discovery; -1: none since the start
    list_updated_at: float = -1.0  # clock reading of that update, ms
    process: ProcessFigures = ProcessFigures()
    ends: Counter[str] = field(default_factory=Counter)  # of connections, by kind and reason
