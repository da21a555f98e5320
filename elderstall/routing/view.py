"""One dispatcher's view of the fleet: all listed workers, and the subset that the decisions work with.

Discovery supplies the endpoint list, operators ban workers, and the drain rule needs to know since when a
worker has been draining or gone. ``FleetView`` combines these. It holds one compact entry per listed worker
and passes on to the decisions:

* In fleets of up to `subset.subset_size` workers, the whole list and every change, with bans applied. The
  change to a subset is made only above that size by `subset.SIZE_TOLERANCE_FRACTION`. Entries of more than
  `subset.MIN_MANY_WORKERS` workers also have preference positions.
* In larger fleets, a subset (`routing/subset.py`) and the changes within it, with bans applied and preference
  positions. A change outside the subset is only a dictionary update.

Gone workers are forgotten once the drain rule no longer needs them, because nothing may be sent to an unknown
worker. The state is therefore bounded by the size of the current list, not by its history.

No I/O, no clock: the current time is an argument, in milliseconds. No content of a list raises an exception.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from elderstall.interface import (
    Ending,
    Endpoint,
    EndpointListUpdate,
    Event,
    ListScope,
    Settings,
    WorkersForgotten,
    WorkerState,
)
from elderstall.routing.reach import ZoneReach
from elderstall.routing.subset import (
    MIN_MANY_WORKERS,
    SIZE_TOLERANCE_FRACTION,
    Subset,
    ring_distance,
    subset_size,
)

GONE_RETENTION_MS = 300_000.0  # a gone worker is retained this long, as it may come back
MIN_GONE_LIMIT = 64  # names; the limit is one per GONE_RETAINED_DIVISOR listed workers, but at least this
GONE_RETAINED_DIVISOR = 4
ENTER_FRACTION = 1 / 8  # of the subset size, admitted per interval: spreads the opening of connections
ENTER_INTERVAL_MS = 1_000.0  # between admissions of waiting workers
MAX_LIST_ENTRIES = 1_000_000  # of one list, where the memory limit is unknown


class ExpiringNames:
    """Names in the order in which they were added, each with a time; ``expire`` bounds their number and age.

    A time may be earlier than those of names added before, as a gone worker has the time at which it began to
    drain. Such a name expires only after the names before it.
    """

    def __init__(self) -> None:
        self.since: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self.since)

    def add(self, name: str, now: float) -> None:
        """Add a name; a name that is present keeps its time."""
        self.since.setdefault(name, now)

    def discard(self, name: str) -> float | None:
        """Remove a name; return its time if it was present."""
        return self.since.pop(name, None)

    def expire(self, now: float, max_names: int) -> list[str]:
        """Remove and return names, first added first, while the first is too old or there are too many."""
        expired = []
        while self.since:
            name, since = next(iter(self.since.items()))
            if len(self.since) <= max_names and now - since <= GONE_RETENTION_MS:
                break
            expired.append(name)
            del self.since[name]
        return expired


@dataclass(slots=True)
class ViewCounts:
    """Figures of the view for operators; counts since the start."""

    lists_refused: int = 0  # lists of more entries than the memory limit can hold
    odd_entries: Counter[str] = field(default_factory=Counter)  # by kind of irregularity
    forgotten: int = 0  # gone workers that are no longer retained
    entered: int = 0  # workers that entered the subset after it was first built
    left: int = 0  # workers that left the subset while they were up


class FleetView:
    """The listed, banned, draining and gone workers, and which of them the decisions know."""

    def __init__(
        self,
        settings: Settings,
        max_list_entries: int = MAX_LIST_ENTRIES,
        log: Callable[[str, str], None] = lambda code, text: None,
    ) -> None:
        self.settings = settings
        self.max_list_entries = max_list_entries
        self.log = log
        self.entries: dict[str, Endpoint] = {}  # as listed by discovery, without gone workers
        self.unavailable: dict[str, float] = {}  # since when listed workers have been draining or banned
        self.gone = ExpiringNames()
        self.banned: dict[str, float] = {}  # by operators; since when
        self.ended_bans: dict[str, tuple[float, float]] = {}  # begin and end of the last ban
        self.counts = ViewCounts()
        self.subset: Subset | None = None  # None: the decisions know the whole list
        self.members: dict[str, None] = {}  # of the subset, as passed to the decisions
        self.gone_for_decisions = ExpiringNames()  # to be forgotten there: gone, or outside the subset
        self.waiting: dict[str, None] = {}  # workers to be admitted to the subset
        self.entered_at = 0.0  # when workers were last admitted
        self.reach = ZoneReach()
        self.unreachable_zones: frozenset[str | None] = frozenset()

    # ---- state of a worker ----

    def is_known(self, worker: str) -> bool:
        """Return whether a worker is listed, or was until recently."""
        return worker in self.entries or worker in self.gone.since

    def state(self, worker: str) -> WorkerState:
        """Return a worker's state with bans applied; an unknown worker is gone."""
        entry = self.entries.get(worker)
        return WorkerState.GONE if entry is None else self.effective_entry(entry).state

    def may_send(self, worker: str, now: float, within: float) -> bool:
        """Return whether a worker is up, or became draining or gone at most ``within`` ms ago."""
        since = self.unavailable.get(worker)
        if since is None:
            if worker in self.entries:
                return True
            since = self.gone.since.get(worker)
        return since is not None and now - since <= within

    def effective_entry(self, entry: Endpoint) -> Endpoint:
        """Return an entry with bans applied; they hold whatever discovery lists in the meantime."""
        worker = entry.worker
        if worker in self.banned and entry.state is WorkerState.UP:
            entry = replace(entry, state=WorkerState.DRAINING)
        if worker in self.ended_bans:
            since, until = self.ended_bans[worker]
            if (entry.started or 0.0) < since:
                # Slow start: the worker was restarted while banned, and discovery reports the new start late.
                entry = replace(entry, started=until)
        return entry

    # ---- operators ----

    def ban(self, worker: str, now: float) -> bool:
        """Ban a worker; return False if it was banned already."""
        if worker in self.banned:
            return False
        self.banned[worker] = now
        return True

    def end_ban(self, worker: str, now: float) -> bool:
        """End a ban, so that the worker counts as started now; return whether it was banned."""
        since = self.banned.pop(worker, None)
        if since is not None:
            self.ended_bans[worker] = since, now
        return since is not None

    def refresh(self, worker: str, now: float) -> list[Event]:
        """Reapply a worker's entry with the present bans; return the events for the decisions."""
        entry = self.entries.get(worker)
        return [] if entry is None else self.update(now, ListScope.CHANGES, (entry,))

    # ---- the list ----

    def update(self, now: float, scope: ListScope, entries: tuple[Endpoint, ...] = ()) -> list[Event]:
        """Apply an update of the endpoint list; return the events for the decisions."""
        if scope in (ListScope.FAILED, ListScope.SILENT):
            return [EndpointListUpdate(scope)]
        if not self.fits(scope, len(entries)):
            return []  # the last good view stays in force
        self.count_irregular_entries(entries)
        effective_entries = tuple(self.effective_entry(entry) for entry in entries)
        missing = self.missing_from(entries) if scope is ListScope.WHOLE else []
        for worker in missing:
            self.mark_gone(worker, now)
        changed = [
            entry.worker
            for entry, effective in zip(entries, effective_entries, strict=True)
            if self.record_entry(entry, effective, now)
        ]
        events = self.events_for(now, scope, effective_entries, missing + changed)
        return events + self.forget(now)

    def fits(self, scope: ListScope, count: int) -> bool:
        """Return whether a list of ``count`` entries fits into memory; log and count one that does not.

        Changes may be new workers, or entries of workers already listed, so the entries held and the changes
        together may be twice the maximum.
        """
        total = count + (0 if scope is ListScope.WHOLE else len(self.entries))
        if count <= self.max_list_entries and total <= 2 * self.max_list_entries:
            return True
        self.counts.lists_refused += 1
        self.log(
            "list",
            f"refused: {count} entries, at most {self.max_list_entries} fit into memory; keeping the list",
        )
        return False

    def count_irregular_entries(self, entries: tuple[Endpoint, ...]) -> None:
        """Count and log entries that lack a zone or kind that others have, or whose name is duplicated."""
        irregular = Counter({"duplicate name": len(entries) - len({e.worker for e in entries})})
        if any(e.zone for e in entries):
            irregular["no zone"] = sum(not e.zone for e in entries)
        if any(e.kind for e in entries):
            irregular["no kind"] = sum(not e.kind for e in entries)
        if irregular := +irregular:
            self.counts.odd_entries += irregular
            self.log(
                "list",
                "accepted, but " + ", ".join(f"{n} with {defect}" for defect, n in sorted(irregular.items())),
            )

    def missing_from(self, entries: Iterable[Endpoint]) -> list[str]:
        """Return the known workers that a whole list no longer contains."""
        listed = {entry.worker for entry in entries}
        return [worker for worker in self.entries if worker not in listed]

    def mark_gone(self, worker: str, now: float) -> None:
        """Record that a worker is gone; the drain rule's clock keeps running from draining to gone."""
        if self.entries.pop(worker, None) is not None:
            since = self.unavailable.pop(worker, now)
            self.gone.add(worker, since)

    def record_entry(self, entry: Endpoint, effective: Endpoint, now: float) -> bool:
        """Record one entry; return whether a relevant field of it has changed."""
        worker = entry.worker
        before = self.entries.get(entry.worker)
        if effective.state is WorkerState.GONE:
            self.mark_gone(worker, now)
            self.gone.add(worker, now)
            return True
        self.entries[worker] = entry
        gone_since = self.gone.discard(worker)
        if effective.state is WorkerState.UP:
            was_up = self.unavailable.pop(worker, None) is None and before is not None
            return not was_up or before != entry
        self.unavailable.setdefault(worker, now if gone_since is None else gone_since)
        return True

    # ---- events for the decisions ----

    @property
    def subset_dispatchers_per_worker(self) -> float:
        """Dispatchers that share each worker of the subset; 0 where all dispatchers know all workers."""
        if self.subset is None or not len(self.subset):
            return 0.0
        subset_fraction = min(1.0, len(self.members) / len(self.subset))
        return max(1.0, self.settings.dispatchers * subset_fraction)

    @property
    def up(self) -> int:
        """Number of workers that are up and not banned."""
        return len(self.entries) - len(self.unavailable)

    @property
    def is_large(self) -> bool:
        """Whether the fleet is so large that a dispatcher that knows all of it prefers a fraction."""
        return self.up > MIN_MANY_WORKERS

    def events_for(
        self,
        now: float,
        scope: ListScope,
        effective_entries: tuple[Endpoint, ...],
        changed: list[str],
    ) -> list[Event]:
        """Return the events for the decisions that follow from an applied list update."""
        size = subset_size(self.up, self.settings.dispatchers)
        if self.subset is None and self.up <= size * (1 + SIZE_TOLERANCE_FRACTION):
            for worker in changed:
                self.record_gone_for_decisions(worker, now)
            return [
                EndpointListUpdate(
                    scope,
                    tuple(map(self.with_preference_position, effective_entries))
                    if self.is_large
                    else effective_entries,
                )
            ]
        if self.subset is None or self.up <= size:
            return [self.replace_view(now, size)]
        return self.subset_events(now, changed)

    def record_gone_for_decisions(self, worker: str, now: float) -> None:
        """Record whether a worker is gone, so that the decisions forget it later."""
        if worker in self.entries:
            self.gone_for_decisions.discard(worker)
        else:
            self.gone_for_decisions.add(worker, now)

    def replace_view(self, now: float, size: int) -> Event:
        """Switch from the whole list to a subset, or back; return the complete list for the decisions."""
        effective_entries = {worker: self.effective_entry(entry) for worker, entry in self.entries.items()}
        self.waiting.clear()
        if self.up <= size:
            known_entries = [self.with_preference_position(entry) for entry in effective_entries.values()]
            self.subset = None
            self.members = {}
            self.log("view", f"using all {len(effective_entries)} workers")
        else:
            self.subset = self.build_subset()
            wanted = self.subset.wanted()
            known_entries = [
                self.with_preference_position(entry)
                for worker, entry in effective_entries.items()
                if worker in wanted
            ]
            self.members = dict.fromkeys(entry.worker for entry in known_entries)
            self.log(
                "view",
                f"using a subset of {len(known_entries)} of {len(effective_entries)} workers, size {size}, "
                f"{self.subset_dispatchers_per_worker:.1f} dispatchers per worker",
            )
        for worker in effective_entries:
            self.gone_for_decisions.add(worker, now)
        for entry in known_entries:
            self.gone_for_decisions.discard(entry.worker)
        self.entered_at = now
        return EndpointListUpdate(ListScope.WHOLE, tuple(known_entries))

    def build_subset(self) -> Subset:
        """Build the subset from all workers that are up.

        It has no unreachable zones, and so no replacements for their workers, until the reach next changes.
        """
        settings = self.settings
        home_zone = settings.zone if settings.cross_zone_price > 0 else None
        subset = Subset(settings.rank, settings.dispatchers, home_zone)
        up = (entry for entry in self.entries.values() if entry.worker not in self.unavailable)
        subset.fill((entry.worker, entry.kind, entry.zone) for entry in up)
        return subset

    def subset_events(self, now: float, changed: list[str]) -> list[Event]:
        """Update the subset; return an event with the changes within it, if any."""
        changes: list[Endpoint] = []
        members_changed = False
        for worker in dict.fromkeys(changed):
            members_changed |= self.update_rings(worker)
            if worker in self.members:
                changes.append(self.entry_of(worker))
                if self.state(worker) is not WorkerState.UP:
                    del self.members[worker]
                    self.gone_for_decisions.add(worker, now)
        if members_changed:
            changes += self.update_membership(now)
        changes += self.admit(now)
        return [EndpointListUpdate(ListScope.CHANGES, tuple(changes))] if changes else []

    def entry_of(self, worker: str) -> Endpoint:
        """Return a worker's entry with bans applied; an unlisted worker is gone."""
        entry = self.entries.get(worker)
        if entry is None:
            return Endpoint(worker, state=WorkerState.GONE)
        return self.with_preference_position(self.effective_entry(entry))

    def with_preference_position(self, entry: Endpoint) -> Endpoint:
        """Return an entry of a large fleet with this dispatcher's preference position for its worker."""
        if self.subset is None:
            preference_position = ring_distance(entry.worker, self.settings.rank) if self.is_large else None
            return (
                entry
                if preference_position is None
                else replace(entry, preference_position=preference_position)
            )
        if entry.worker not in self.subset.kinds_and_zones:
            return entry
        return replace(entry, preference_position=self.subset.preference_position(entry.worker))

    def update_rings(self, worker: str) -> bool:
        """Add a worker to the subset's rings or remove it; return whether the subset may have changed."""
        assert self.subset is not None
        entry = self.entries.get(worker)
        on_rings = worker in self.subset.kinds_and_zones
        if entry is not None and worker not in self.unavailable:
            return not on_rings and self.subset.add(worker, entry.kind, entry.zone)
        return on_rings and self.subset.remove(worker)

    def update_membership(self, now: float) -> list[Endpoint]:
        """Queue workers that now belong to the subset for admission; return the excess ones that leave."""
        assert self.subset is not None
        wanted = self.subset.wanted()
        self.waiting = {worker: None for worker in wanted if worker not in self.members}
        surplus = [worker for worker in self.members if worker not in wanted]
        excess = len(self.members) + len(self.waiting) - len(wanted)
        if excess <= SIZE_TOLERANCE_FRACTION * len(wanted):
            return []
        leaving = surplus[:excess]
        for worker in leaving:
            del self.members[worker]
            self.gone_for_decisions.add(worker, now)
        self.counts.left += len(leaving)
        return [replace(self.entry_of(worker), state=WorkerState.GONE) for worker in leaving]

    def admit(self, now: float) -> list[Endpoint]:
        """Admit waiting workers to the subset, a bounded number per interval."""
        assert self.subset is not None
        if not self.waiting:
            return []
        max_per_interval = max(1.0, ENTER_FRACTION * self.subset.size)
        allowed = int(min(1.0, (now - self.entered_at) / ENTER_INTERVAL_MS) * max_per_interval)
        entering = list(self.waiting)[:allowed]
        for worker in entering:
            del self.waiting[worker]
            self.members[worker] = None
            self.gone_for_decisions.discard(worker)
        if entering:
            self.entered_at = now
        self.counts.entered += len(entering)
        return [self.entry_of(worker) for worker in entering]

    # ---- time ----

    @property
    def due(self) -> float | None:
        """Time of the next call of ``admit_waiting`` in ms; None if no worker is waiting."""
        return self.entered_at + ENTER_INTERVAL_MS if self.waiting else None

    def admit_waiting(self, now: float) -> list[Event]:
        """Admit waiting workers; return the events for the decisions."""
        if self.subset is None or not (changes := self.admit(now)):
            return []
        return [EndpointListUpdate(ListScope.CHANGES, tuple(changes))]

    def change_settings(self, settings: Settings, now: float) -> list[Event]:
        """Apply new settings; return the events for the decisions where the subset changes."""
        old_settings = self.settings
        self.settings = settings
        is_unchanged = all(
            getattr(old_settings, name) == getattr(settings, name)
            for name in ("rank", "dispatchers", "zone", "cross_zone_price")
        )
        size = subset_size(self.up, settings.dispatchers)
        if is_unchanged or (self.subset is None and self.up <= size * (1 + SIZE_TOLERANCE_FRACTION)):
            return []
        return [self.replace_view(now, size)]

    def forget(self, now: float) -> list[Event]:
        """Drop expired gone workers; return the event that drops them in the decisions."""
        max_gone = max(MIN_GONE_LIMIT, len(self.entries) // GONE_RETAINED_DIVISOR)
        forgotten = self.gone.expire(now, max_gone)
        self.counts.forgotten += len(forgotten)
        for worker in forgotten:
            if worker not in self.banned:
                self.ended_bans.pop(worker, None)
        known = len(self.entries) if self.subset is None else len(self.members)
        expired = self.gone_for_decisions.expire(now, max(MIN_GONE_LIMIT, known // GONE_RETAINED_DIVISOR))
        return [WorkersForgotten(tuple(expired))] if expired else []

    # ---- reach ----

    def record_ending(self, worker: str, ending: Ending, worker_unreachable: bool, now: float) -> list[Event]:
        """Update reachable zones from the end of an attempt or poll; return events for the decisions."""
        entry = self.entries.get(worker)
        if self.subset is None or entry is None:
            return []
        if not self.reach.record_ending(worker, entry.zone, ending, worker_unreachable, now):
            return []
        previously_unreachable = self.unreachable_zones
        self.unreachable_zones = self.reach.unreachable
        if previously_unreachable != self.unreachable_zones:
            count = len(self.unreachable_zones)
            self.log("view", f"{count} zones unreachable" if count else "all zones reachable")
        self.subset.update_reach(self.unreachable_zones, self.reach.answering)
        changes = self.update_membership(now) + self.admit(now)
        return [EndpointListUpdate(ListScope.CHANGES, tuple(changes))] if changes else []
