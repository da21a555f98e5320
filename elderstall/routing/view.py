"""The fleet as one dispatcher sees it: all that is listed, and the part of it that the module works with.

Discovery tells the list; operators lay bans over it; the rule on drains needs to know since when a worker is
draining or gone; the module decides among workers. ``FleetView`` stands between these. It holds one compact
entry a listed worker and hands the module what it needs:

* In fleets up to `subset.MIN_SUBSET_SIZE` workers, the whole list and each change, as discovery told them.
* In larger ones a subset (`routing/subset.py`) and what changes in it. A change elsewhere is a dictionary
  update.

What is gone is forgotten, once the rule on drains has no more use for it: a worker that is not known may not
be sent to at all. So the state is bounded by what is listed, not by what ever was.

No I/O, no clock: the time is handed in, in milliseconds. Nothing here raises on account of what a list says.
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
from elderstall.routing.subset import MIN_LARGE_FLEET, SLACK, Subset, distance, subset_size

GONE_RETENTION_MS = 300_000.0  # ms for which a worker that is gone is remembered, as it may come back
MIN_GONE_RETAINED = 64  # at any size; else one for every GONE_RETAINED_DIVISOR listed workers
GONE_RETAINED_DIVISOR = 4
ENTER_FRACTION = 1 / 8  # of the subset's size may enter per second, so that connections come up one by one
ENTER_INTERVAL_MS = 1_000.0  # ms between looks at those that wait to enter
MAX_LIST_ENTRIES = 1_000_000  # of one list, where the memory limit is not known


class ExpiringNames:
    """Names with the time of something, oldest first; bounded in number and age."""

    def __init__(self) -> None:
        self.since: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self.since)

    def add(self, name: str, now: float) -> None:
        """Note a name; one that is there keeps its time."""
        self.since.setdefault(name, now)

    def discard(self, name: str) -> float | None:
        """Leave a name out; gives its time if it was there."""
        return self.since.pop(name, None)

    def expire(self, now: float, most: int) -> list[str]:
        """Leave out those that are too old, or too many, and give them."""
        out = []
        while self.since:
            name, since = next(iter(self.since.items()))
            if len(self.since) <= most and now - since <= GONE_RETENTION_MS:
                break
            out.append(name)
            del self.since[name]
        return out


@dataclass(slots=True)
class ViewCounts:
    """What operators are shown of the view; counts since the start."""

    lists_refused: int = 0  # lists of more entries than the memory limit can hold
    odd_entries: Counter[str] = field(default_factory=Counter)  # by what is odd
    forgotten: int = 0  # workers that were gone, and are not remembered any more
    entered: int = 0  # workers that came into the subset after it was first cut
    left: int = 0  # workers that left it while they were up


class FleetView:
    """What is listed, banned, draining and gone, and which of it the module knows."""

    def __init__(
        self,
        settings: Settings,
        max_list_entries: int = MAX_LIST_ENTRIES,
        log: Callable[[str, str], None] = lambda code, text: None,
    ) -> None:
        self.settings, self.max_list_entries, self.log = settings, max_list_entries, log
        self.entries: dict[str, Endpoint] = {}  # as discovery tells them; none that are gone
        self.unavailable: dict[str, float] = {}  # listed, but draining or banned; since when
        self.gone = ExpiringNames()
        self.banned: dict[str, float] = {}  # by hand; since when
        self.ended_bans: dict[str, tuple[float, float]] = {}  # banned when, and until when
        self.counts = ViewCounts()
        self.subset: Subset | None = None  # None: the module knows the whole list
        self.members: dict[str, None] = {}  # of the subset, as the module was told
        self.closed = ExpiringNames()  # workers that the module holds as gone or draining
        self.waiting: dict[str, None] = {}  # to enter the subset
        self.entered_at = 0.0  # when some last entered
        self.reach = ZoneReach()
        self.lost_zones: frozenset[str | None] = frozenset()

    # ---- what is known of a worker ----

    def is_known(self, worker: str) -> bool:
        """Say whether a worker is listed, or was until not long ago."""
        return worker in self.entries or worker in self.gone.since

    def state(self, worker: str) -> WorkerState:
        """Give a worker's state, bans included; one that is not known is gone."""
        entry = self.entries.get(worker)
        return WorkerState.GONE if entry is None else self.effective_entry(entry).state

    def may_send(self, worker: str, now: float, within: float) -> bool:
        """Say whether a worker is up, or was told draining or gone no longer than ``within`` ms ago."""
        since = self.unavailable.get(worker)
        if since is None:
            if worker in self.entries:
                return True
            since = self.gone.since.get(worker)
        return since is not None and now - since <= within

    def effective_entry(self, entry: Endpoint) -> Endpoint:
        """Lay what operators have said over an entry: it holds whatever discovery lists in the meantime."""
        worker = entry.worker
        if worker in self.banned and entry.state is WorkerState.UP:
            entry = replace(entry, state=WorkerState.DRAINING)
        if worker in self.ended_bans:
            since, until = self.ended_bans[worker]
            if (entry.started or 0.0) < since:
                # Guards rule 4: it was started anew while banned, but discovery's news of that comes late.
                entry = replace(entry, started=until)
        return entry

    # ---- operators ----

    def ban(self, worker: str, now: float) -> bool:
        """Ban a worker; say whether that is new."""
        if worker in self.banned:
            return False
        self.banned[worker] = now
        return True

    def end_ban(self, worker: str, now: float) -> bool:
        """End a ban: the worker counts as started now; say whether there was one."""
        since = self.banned.pop(worker, None)
        if since is not None:
            self.ended_bans[worker] = since, now
        return since is not None

    def refresh(self, worker: str, now: float) -> list[Event]:
        """Have a worker's entry seen as it counts now; gives what the module is to be told."""
        entry = self.entries.get(worker)
        return [] if entry is None else self.update(now, ListScope.CHANGES, (entry,))

    # ---- the list ----

    def update(self, now: float, scope: ListScope, entries: tuple[Endpoint, ...] = ()) -> list[Event]:
        """Take news of the list; gives what the module is to be told."""
        if scope in (ListScope.FAILED, ListScope.SILENT):
            return [EndpointListUpdate(scope)]
        if not self.fits(scope, len(entries)):
            return []  # the last good view goes on
        self.count_odd(entries)
        shown = tuple(self.effective_entry(entry) for entry in entries)
        missing = self.missing_from(entries) if scope is ListScope.WHOLE else []
        for worker in missing:
            self.lose(worker, now)
        changed = [
            entry.worker for entry, seen in zip(entries, shown, strict=True) if self.note(entry, seen, now)
        ]
        events = self.tell(now, scope, shown, missing + changed)
        return events + self.forget(now)

    def fits(self, scope: ListScope, count: int) -> bool:
        """Say whether a list of so many entries can be held; refuse one that memory has no room for."""
        total = count + (0 if scope is ListScope.WHOLE else len(self.entries))
        if count <= self.max_list_entries and total <= 2 * self.max_list_entries:
            return True
        self.counts.lists_refused += 1
        self.log("list", f"refused: {count} entries, memory holds {self.max_list_entries} at most")
        return False

    def count_odd(self, entries: tuple[Endpoint, ...]) -> None:
        """Count and log entries that lack what others have, or that stand twice."""
        odd = Counter({"doubled name": len(entries) - len({e.worker for e in entries})})
        if any(e.zone for e in entries):
            odd["no zone"] = sum(not e.zone for e in entries)
        if any(e.kind for e in entries):
            odd["no kind"] = sum(not e.kind for e in entries)
        if odd := +odd:
            self.counts.odd_entries += odd
            self.log("list", "taken, but " + ", ".join(f"{n} with {what}" for what, n in sorted(odd.items())))

    def missing_from(self, entries: Iterable[Endpoint]) -> list[str]:
        """Name the workers that a whole list does not name any more."""
        named = {entry.worker for entry in entries}
        return [worker for worker in self.entries if worker not in named]

    def lose(self, worker: str, now: float) -> None:
        """Note that a worker is gone; from draining to gone the clock of the rule is not set back."""
        if self.entries.pop(worker, None) is not None:
            since = self.unavailable.pop(worker, now)
            self.gone.add(worker, since)

    def note(self, entry: Endpoint, seen: Endpoint, now: float) -> bool:
        """Take one entry; say whether what counts of it has changed."""
        worker, before = entry.worker, self.entries.get(entry.worker)
        if seen.state is WorkerState.GONE:
            self.lose(worker, now)
            self.gone.add(worker, now)
            return True
        self.entries[worker] = entry
        gone_since = self.gone.discard(worker)
        if seen.state is WorkerState.UP:
            was_up = self.unavailable.pop(worker, None) is None and before is not None
            return not was_up or before != entry
        self.unavailable.setdefault(worker, now if gone_since is None else gone_since)
        return True

    # ---- what the module is told ----

    @property
    def subset_dispatchers_per_worker(self) -> float:
        """How many dispatchers share each worker of the subset; 0 where all dispatchers know all workers."""
        if self.subset is None or not len(self.subset):
            return 0.0
        part = min(1.0, len(self.members) / len(self.subset))
        return max(1.0, self.settings.dispatchers * part)

    @property
    def up(self) -> int:
        """How many workers are up and not banned."""
        return len(self.entries) - len(self.unavailable)

    @property
    def is_large(self) -> bool:
        """Whether so many are up that a dispatcher that knows all begins with a part of them."""
        return self.up > MIN_LARGE_FLEET

    def tell(
        self,
        now: float,
        scope: ListScope,
        shown: tuple[Endpoint, ...],
        changed: list[str],
    ) -> list[Event]:
        """Give the module's part of a list that has been taken."""
        size = subset_size(self.up, self.settings.dispatchers)
        if self.subset is None and self.up <= size * (1 + SLACK):
            for worker in changed:
                self.note_closed(worker, now)
            return [
                EndpointListUpdate(
                    scope, tuple(map(self.with_preference_position, shown)) if self.is_large else shown
                )
            ]
        if self.subset is None or self.up <= size:
            return [self.switch(now, size)]
        return self.tell_subset(now, changed)

    def note_closed(self, worker: str, now: float) -> None:
        """Keep count of what the module holds as gone."""
        if worker in self.entries:
            self.closed.discard(worker)
        else:
            self.closed.add(worker, now)

    def switch(self, now: float, size: int) -> Event:
        """Go over from the whole list to a subset, or back; gives all that the module is to know."""
        seen = {worker: self.effective_entry(entry) for worker, entry in self.entries.items()}
        self.waiting.clear()
        if self.up <= size:
            self.subset, self.members, told = (
                None,
                {},
                [self.with_preference_position(entry) for entry in seen.values()],
            )
            self.log("view", f"all of {len(seen)} workers")
        else:
            self.subset = self.new_subset()
            wanted = self.subset.wanted()
            told = [
                self.with_preference_position(entry) for worker, entry in seen.items() if worker in wanted
            ]
            self.members = dict.fromkeys(entry.worker for entry in told)
            self.log(
                "view",
                f"{len(told)} of {len(seen)} workers, size {size}, "
                f"{self.subset_dispatchers_per_worker:.1f} dispatchers per worker",
            )
        for worker in seen:
            self.closed.add(worker, now)
        for entry in told:
            self.closed.discard(entry.worker)
        self.entered_at = now
        return EndpointListUpdate(ListScope.WHOLE, tuple(told))

    def new_subset(self) -> Subset:
        """Cut the subset of all that is up."""
        s = self.settings
        subset = Subset(s.rank, s.dispatchers, s.zone if s.cross_zone_price > 0 else None)
        up = (entry for entry in self.entries.values() if entry.worker not in self.unavailable)
        subset.fill((entry.worker, entry.kind, entry.zone) for entry in up)
        return subset

    def tell_subset(self, now: float, changed: list[str]) -> list[Event]:
        """Bring the subset up to date; gives what has changed in it, if anything has."""
        told: list[Endpoint] = []
        recut = False
        for worker in dict.fromkeys(changed):
            recut |= self.update_rings(worker)
            if worker in self.members:
                told.append(self.entry_of(worker))
                if self.state(worker) is not WorkerState.UP:
                    del self.members[worker]
                    self.closed.add(worker, now)
        if recut:
            told += self.recut(now)
        told += self.enter(now)
        return [EndpointListUpdate(ListScope.CHANGES, tuple(told))] if told else []

    def entry_of(self, worker: str) -> Endpoint:
        """Give a worker's entry as it counts now, also of one that is gone."""
        entry = self.entries.get(worker)
        if entry is None:
            return Endpoint(worker, state=WorkerState.GONE)
        return self.with_preference_position(self.effective_entry(entry))

    def with_preference_position(self, entry: Endpoint) -> Endpoint:
        """Say with an entry of a large fleet where this dispatcher stands in line for its worker."""
        if self.subset is None:
            preference_position = distance(entry.worker, self.settings.rank) if self.is_large else None
            return (
                entry
                if preference_position is None
                else replace(entry, preference_position=preference_position)
            )
        if entry.worker not in self.subset.places:
            return entry
        return replace(entry, preference_position=self.subset.preference_position(entry.worker))

    def update_rings(self, worker: str) -> bool:
        """Put a worker on the subset's rings, or take it off; say whether the subset may have changed."""
        assert self.subset is not None
        entry = self.entries.get(worker)
        on_rings = worker in self.subset.places
        if entry is not None and worker not in self.unavailable:
            return not on_rings and self.subset.add(worker, entry.kind, entry.zone)
        return on_rings and self.subset.remove(worker)

    def recut(self, now: float) -> list[Endpoint]:
        """Have workers wait to enter that the subset now wants; gives those that leave what is too many."""
        assert self.subset is not None
        wanted = self.subset.wanted()
        self.waiting = {worker: None for worker in wanted if worker not in self.members}
        unwanted = [worker for worker in self.members if worker not in wanted]
        over = len(self.members) + len(self.waiting) - len(wanted)
        if over <= SLACK * len(wanted):
            return []
        leaving = unwanted[:over]
        for worker in leaving:
            del self.members[worker]
            self.closed.add(worker, now)
        self.counts.left += len(leaving)
        return [replace(self.entry_of(worker), state=WorkerState.GONE) for worker in leaving]

    def enter(self, now: float) -> list[Endpoint]:
        """Let workers in that wait for it, a bounded number a second."""
        assert self.subset is not None
        if not self.waiting:
            return []
        most = max(1.0, ENTER_FRACTION * self.subset.size)
        allowed = int(min(1.0, (now - self.entered_at) / ENTER_INTERVAL_MS) * most)
        entering = list(self.waiting)[:allowed]
        for worker in entering:
            del self.waiting[worker]
            self.members[worker] = None
            self.closed.discard(worker)
        if entering:
            self.entered_at = now
        self.counts.entered += len(entering)
        return [self.entry_of(worker) for worker in entering]

    # ---- time ----

    @property
    def due(self) -> float | None:
        """When ``admit_waiting`` is to be called, if it is; ms."""
        return self.entered_at + ENTER_INTERVAL_MS if self.waiting else None

    def admit_waiting(self, now: float) -> list[Event]:
        """Let in who waits; gives what the module is to be told."""
        if self.subset is None or not (told := self.enter(now)):
            return []
        return [EndpointListUpdate(ListScope.CHANGES, tuple(told))]

    def change_settings(self, settings: Settings, now: float) -> list[Event]:
        """Take new settings; gives what the module is to be told where they make the subset another one."""
        old, self.settings = self.settings, settings
        same = all(
            getattr(old, name) == getattr(settings, name)
            for name in ("rank", "dispatchers", "zone", "cross_zone_price")
        )
        size = subset_size(self.up, settings.dispatchers)
        if same or (self.subset is None and self.up <= size * (1 + SLACK)):
            return []
        return [self.switch(now, size)]

    def forget(self, now: float) -> list[Event]:
        """Forget what has been gone for long, here and in the module."""
        most = max(MIN_GONE_RETAINED, len(self.entries) // GONE_RETAINED_DIVISOR)
        forgotten = self.gone.expire(now, most)
        self.counts.forgotten += len(forgotten)
        for worker in forgotten:
            if worker not in self.banned:
                self.ended_bans.pop(worker, None)
        known = len(self.entries) if self.subset is None else len(self.members)
        closed = self.closed.expire(now, max(MIN_GONE_RETAINED, known // GONE_RETAINED_DIVISOR))
        return [WorkersForgotten(tuple(closed))] if closed else []

    # ---- reach ----

    def record_ending(self, worker: str, ending: Ending, worker_unreachable: bool, now: float) -> list[Event]:
        """Learn which zones are in reach from the end of an attempt or question; gives the module's news."""
        entry = self.entries.get(worker)
        if self.subset is None or entry is None:
            return []
        if not self.reach.record_ending(worker, entry.zone, ending, worker_unreachable, now):
            return []
        lost, self.lost_zones = self.lost_zones, self.reach.lost
        if lost != self.lost_zones:
            count = len(self.lost_zones)
            self.log("view", f"{count} zones out of reach" if count else "all zones in reach")
        self.subset.lose(self.lost_zones, self.reach.answering)
        told = self.recut(now) + self.enter(now)
        return [EndpointListUpdate(ListScope.CHANGES, tuple(told))] if told else []
