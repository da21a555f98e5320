"""A card worker as a model without I/O: plain values in, happenings out, time handed in.

Jobs in work share the cores: with ``n`` slots in use each runs at ``min(1, cores / n)`` of a core, times the
worker's speed, its warmth and what slows it. All running jobs thus move at one rate, and the model keeps
two clocks that move with them: ``done_clock``, standard work done for each slot, and ``core_clock``, core
time used for each slot. A job ends when the first has moved by its work, so nothing is stepped: ends are
solved for, also while the worker warms. Times are milliseconds, work is milliseconds on a standard core.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

from elderstall.simulation.scenario import Kind

NEAR_ENOUGH = 1e-6  # ms of work: rounding in the solved ends


class WorkerEventKind(Enum):
    """What has become of a task."""

    TAKEN = "taken"  # it waits or runs
    FULL = "full"  # turned away unseen
    STARTED = "started"
    PROGRESS = "progress"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"  # handed back unstarted, by a drain
    DROPPED = "dropped"  # left the queue as its time had run out
    LOST = "lost"  # the process died with it
    STOPPED = "stopped"  # left at a cancel


@dataclass(slots=True, eq=False)
class Task:
    """One attempt as a worker sees it."""

    key: Hashable
    work: float  # for each of its slots
    slots: int = 1
    deadline: float = math.inf  # when its sender stops waiting
    repeatable: bool = False
    fails_at: float | None = None  # the share of its work at which it will fail
    saved: float = 0.0  # share of its work that is kept from an earlier attempt
    informed: bool = True  # whether its sender had been notified of the worker's start
    owner: object = None  # the host's own; passes through unread
    began: float | None = None
    ends: float = math.inf  # reading of done_clock at its end
    from_core: float = 0.0  # reading of core_clock at its start
    core_time: float = 0.0  # ms of core it has used, once it is over
    running: bool = False
    over: bool = False
    news: int = 0  # progress notes reported

    @property
    def size(self) -> float:
        """Work that it brings, over all its slots."""
        return self.work * (1 - self.saved) * self.slots


@dataclass(slots=True, frozen=True)
class WorkerEvent:
    """Something of which the worker's host hears."""

    what: WorkerEventKind
    task: Task
    at: float
    share: float = 0.0  # of its work that is done


@dataclass(slots=True)
class Ledger:
    """Where a worker's core time went, ms; the entries sum to its cores times its time."""

    busy: float = 0.0
    overhead: float = 0.0  # connections and probes
    idle: float = 0.0
    paused: float = 0.0
    down: float = 0.0

    @property
    def total(self) -> float:
        """Sum of all."""
        return self.busy + self.overhead + self.idle + self.paused + self.down


@dataclass(slots=True)
class Push:
    """The rule on cold workers: what it may be sent, and what happens when it is sent more."""

    multiple: float = 4.0
    window: float = 2_000.0


class CardWorker:
    """One worker process on its worker host."""

    def __init__(
        self,
        kind: Kind,
        speed: float,
        now: float = 0.0,
        push: Push | None = None,
        checkpoint: float = 1_000.0,
        progress_every: float = 0.0,
    ) -> None:
        self.kind, self.speed, self.push = kind, speed, push or Push()
        self.checkpoint, self.progress_every = checkpoint, progress_every
        self.at = now
        self.slow = 1.0  # times slower than it is
        self.done_clock = self.core_clock = 0.0
        self.used = 0  # slots in work
        self.connections = 0
        self.overhead = 0.0  # standard work of connections and probes still to be done
        self.up, self.paused, self.draining, self.fallen = True, False, False, False
        self.started: float | None = None  # None: long ago, so it is warm
        self.cold_share = kind.cold_share
        self.warm_work = 0.0  # done since it started
        self.running: list[tuple[float, int, Task]] = []  # by reading of done_clock at the end
        self.noting: list[tuple[float, int, Task]] = []  # by time of the next progress note
        self.waiting: deque[Task] = deque()
        self.tasks: dict[Hashable, Task] = {}
        self.unheard: deque[tuple[str, object]] = deque()  # what came while it was paused
        self.sent: deque[tuple[float, float, bool]] = deque()  # while cold: when, work, sender informed
        self.pushed = 0.0  # work in that
        self.blame = 0.0  # at its fall: share of the work that came from senders notified of its start
        self.serial = 0
        self.ledger = Ledger()
        self.out: list[WorkerEvent] = []

    # ---- rates ----

    @property
    def held(self) -> int:
        """Tasks that wait or run."""
        return len(self.tasks)

    @property
    def free_slots(self) -> int:
        """Slots not in work."""
        return max(0, self.kind.slots - self.used)

    def warmth(self, at: float) -> float:
        """Give the share of its capacity that a worker has."""
        if self.started is None or self.kind.cold_for <= 0:
            return 1.0
        part = (at - self.started) / self.kind.cold_for
        if self.kind.warm_by_work:
            part = max(part, self.warm_work / (self.kind.cold_for * self.kind.cores * self.speed))
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(0.0, part))

    def capacity(self, at: float) -> float:
        """Give the standard work it can do in a millisecond."""
        return self.kind.cores * self.speed * self.warmth(at) * self.ease() / self.slow

    def ease(self) -> float:
        """Give what crowding and open connections leave of its efficiency."""
        k = self.kind
        crowd = k.crowd_cost * max(0.0, len(self.tasks) / k.cores - k.crowd_at)
        table = k.connection_tax * min(1.0, self.connections / k.connections) if k.connections else 0.0
        return (1 - table) / (1 + crowd)

    def _rate(self) -> float:
        """Work a slot does in a millisecond when warm."""
        if not self.used:
            return 0.0
        return self.speed * min(1.0, self.kind.cores / self.used) * self.ease() / self.slow

    def _warming(self) -> tuple[float, float, float, bool]:
        """Say how warm it is, how fast that grows (by time, or by itself), and how long it still takes."""
        warm = self.warmth(self.at)
        if warm >= 1.0:
            return 1.0, 0.0, 0.0, False
        per, power = (1 - self.cold_share) / self.kind.cold_for, self.kind.cores * self.speed
        if self.kind.warm_by_work and self.warm_work / power >= self.at - (self.started or 0.0):
            growth = per / power * self.used * self._rate()  # warmth grows by so much of itself
            return warm, growth, math.log(1 / warm) / growth if growth else math.inf, True
        return warm, per, (1 - warm) / per, False

    def _done_in(self, span: float) -> float:
        """Work a slot does in the coming span, with nothing else to do."""
        rate = self._rate()
        warm, growth, left, by_work = self._warming()
        warming = min(span, left)
        if growth == 0.0:
            part = warm * span
        elif by_work:
            part = warm * math.expm1(growth * warming) / growth + (span - warming)
        else:
            part = warm * warming + growth * warming * warming / 2 + (span - warming)
        return rate * part

    def _span_of(self, work: float) -> float:
        """Time in which a slot does so much work: the inverse of ``_done_in``."""
        rate = self._rate()
        if work <= 0:
            return 0.0
        if rate <= 0:
            return math.inf
        need = work / rate
        warm, growth, left, by_work = self._warming()
        if growth == 0.0:
            return need / warm
        if by_work:
            whole = warm * math.expm1(growth * left) / growth
            return math.log1p(need * growth / warm) / growth if need <= whole else left + need - whole
        whole = warm * left + growth * left * left / 2
        if need <= whole:
            return (math.sqrt(warm * warm + 2 * growth * need) - warm) / growth
        return left + need - whole

    def _burn(self) -> float:
        """Time that the overhead still takes; it has all cores while there is any."""
        return self.overhead / self.capacity(self.at) if self.overhead > 0 else 0.0

    def _move(self, to: float) -> None:
        """Move the clocks on, over a stretch without an end in it."""
        span, cores, book = to - self.at, self.kind.cores, self.ledger
        if span <= 0:
            return
        if not self.up or self.paused:
            if self.up:
                book.paused += cores * span
            else:
                book.down += cores * span
            self.at = to
            return
        if self.overhead > 0:
            burn = self._burn()
            if burn >= span:
                self.overhead -= span * self.capacity(self.at)
                book.overhead += cores * span
                self.at = to
                return
            self.overhead = 0.0
            book.overhead += cores * burn
            self.at += burn
            span -= burn
        if self.used:
            done = self._done_in(span)
            self.done_clock += done
            self.warm_work += done * self.used
            self.core_clock += span * min(1.0, cores / self.used)
            book.busy += min(cores, self.used) * span
        book.idle += max(0, cores - self.used) * span
        self.at = to

    # ---- time ----

    def due(self) -> float:
        """Say when something happens by itself next."""
        if not self.up or self.paused:
            return math.inf
        when = math.inf
        while self.running and self.running[0][2].over:
            heapq.heappop(self.running)
        if self.running:
            when = self.at + self._burn() + self._span_of(self.running[0][0] - self.done_clock)
        while self.noting and self.noting[0][2].over:
            heapq.heappop(self.noting)
        if self.noting:
            when = min(when, max(self.at, self.noting[0][0]))
        return when

    def advance(self, now: float) -> list[WorkerEvent]:
        """Bring the model up to a time, and give what has happened, in order."""
        while (when := self.due()) <= now:
            self._move(when)
            if self.running and self.running[0][0] <= self.done_clock + NEAR_ENOUGH:
                self._end(heapq.heappop(self.running)[2])
            elif self.noting and self.noting[0][0] <= when:
                self._note(heapq.heappop(self.noting)[2])
            else:
                # Rounding left the end a hair away: it is now.
                self.done_clock = self.running[0][0]
        self._move(now)
        return self._said()

    def _said(self) -> list[WorkerEvent]:
        """Give what there is to report; what ends in no time is reported with the next step of time."""
        out, self.out = self.out, []
        return out

    def _tell(self, what: WorkerEventKind, task: Task, share: float = 0.0) -> None:
        self.out.append(WorkerEvent(what, task, self.at, share))

    def _end(self, task: Task) -> None:
        """End a running task that is done, or where it fails."""
        self._leave(task)
        self._tell(WorkerEventKind.DONE if task.fails_at is None else WorkerEventKind.FAILED, task, 1.0)
        self._fill()

    def _note(self, task: Task) -> None:
        """Report a task's progress; while it is paused nothing is reported, and afterwards all at once."""
        task.news += 1
        self._tell(WorkerEventKind.PROGRESS, task, self._share(task))
        self.serial += 1
        assert task.began is not None
        heapq.heappush(self.noting, (task.began + (task.news + 1) * self.progress_every, self.serial, task))

    def _share(self, task: Task) -> float:
        """Share of a running task's work that is done."""
        whole = task.work * (task.fails_at if task.fails_at is not None else 1.0)
        return min(1.0, max(0.0, 1 - (task.ends - self.done_clock) / whole)) if whole > 0 else 1.0

    def _leave(self, task: Task) -> None:
        """Take a task off, and book its core time."""
        del self.tasks[task.key]
        task.over = True
        if task.running:
            task.running = False
            self.used -= task.slots
            task.core_time = (self.core_clock - task.from_core) * task.slots

    def _fill(self) -> None:
        """Start waiting tasks in order; the first waits until it fits."""
        while self.waiting:
            task = self.waiting[0]
            if task.over:
                self.waiting.popleft()
            elif self.kind.drops_expired and self.at > task.deadline:
                self.waiting.popleft()
                self._leave(task)
                self._tell(WorkerEventKind.DROPPED, task)
            elif self.used + task.slots <= self.kind.slots:
                self.waiting.popleft()
                self._start(task)
            else:
                return

    def _start(self, task: Task) -> None:
        """Put a task to work."""
        self.used += task.slots
        self.serial += 1
        task.running, task.began, task.from_core = True, self.at, self.core_clock
        share = 1.0 if task.fails_at is None else max(task.fails_at, task.saved)
        task.ends = self.done_clock + task.work * (share - task.saved)
        heapq.heappush(self.running, (task.ends, self.serial, task))
        if self.progress_every > 0:
            heapq.heappush(self.noting, (self.at + self.progress_every, self.serial, task))
        self._tell(WorkerEventKind.STARTED, task)

    # ---- what is asked of it ----

    def offer(self, now: float, task: Task) -> list[WorkerEvent]:
        """Take a task, or turn it away; while paused it waits unheard."""
        out = self.advance(now)
        if self.paused:
            self.unheard.append(("offer", task))
            return out
        self._offered(task)
        return out + self._said()

    def _offered(self, task: Task) -> None:
        fits = self.used + task.slots <= self.kind.slots and not self._queue()
        full = (
            not self.up
            or self.draining
            or task.slots > self.kind.slots
            or (not fits and self._queue() >= self.kind.queue)
        )
        if self._falls(task):
            return
        if full:
            self._tell(WorkerEventKind.FULL, task)
            return
        self.tasks[task.key] = task
        self._tell(WorkerEventKind.TAKEN, task)
        self.waiting.append(task)
        self._fill()

    def _queue(self) -> int:
        """Tasks that wait; those that were cancelled leave the deque only at its head."""
        while self.waiting and self.waiting[0].over:
            self.waiting.popleft()
        return sum(not task.over for task in self.waiting) if self.waiting else 0

    def _falls(self, task: Task) -> bool:
        """Count what a cold worker is sent, refused work too; past its budget for the window it falls over.

        The budget is the rule's: its multiple, times the capacity at that moment, times the window.
        """
        if not self.up or self.warmth(self.at) >= 1.0:
            self.sent.clear()
            self.pushed = 0.0
            return False
        self.sent.append((self.at, task.size, task.informed))
        self.pushed += task.size
        while self.sent[0][0] <= self.at - self.push.window:
            self.pushed -= self.sent.popleft()[1]
        if self.pushed <= self.push.multiple * self.capacity(self.at) * self.push.window:
            return False
        self.blame = sum(work for _, work, informed in self.sent if informed) / self.pushed
        self.fallen = True
        self._tell(WorkerEventKind.LOST, task)
        self._die()
        return True

    def cancel(self, now: float, key: Hashable) -> list[WorkerEvent]:
        """Give a task up: what of it stops is the kind's to say."""
        out = self.advance(now)
        if self.paused:
            self.unheard.append(("cancel", key))
            return out
        self._cancelled(key)
        return out + self._said()

    def _cancelled(self, key: Hashable) -> None:
        task = self.tasks.get(key)
        if task is None or self.kind.cancel == "none" or (task.running and self.kind.cancel != "all"):
            return
        self._leave(task)
        self._tell(WorkerEventKind.STOPPED, task)
        self._fill()

    def charge(self, now: float, work: float) -> list[WorkerEvent]:
        """Charge work that is no task: a new connection, or a probe."""
        out = self.advance(now)
        if self.up:
            self.overhead += work
        return out

    def backlog(self) -> float:
        """Time that charged work still takes, ms."""
        return self._burn() if self.up else 0.0

    def slowed(self, now: float, factor: float) -> list[WorkerEvent]:
        """Run so many times slower from now on."""
        out = self.advance(now)
        self.slow = factor
        return out

    def pause(self, now: float) -> list[WorkerEvent]:
        """Stand still: nothing runs, is heard or is reported."""
        out = self.advance(now)
        self.paused = True
        return out

    def resume(self, now: float) -> list[WorkerEvent]:
        """Go on, and hear at once what came meanwhile."""
        self._move(now)
        self.paused = False
        while self.unheard:
            what, value = self.unheard.popleft()
            if what == "offer":
                assert isinstance(value, Task)
                self._offered(value)
            else:
                assert isinstance(value, Hashable)
                self._cancelled(value)
        return self.advance(now)

    def drain(self, now: float) -> list[WorkerEvent]:
        """Want nothing new; hand back what has not started, where the kind does that."""
        out = self.advance(now)
        self.draining = True
        if self.kind.hands_back:
            for task in [task for task in self.waiting if not task.over]:
                self._leave(task)
                self._tell(WorkerEventKind.RETURNED, task)
            self.waiting.clear()
        return out + self._said()

    def die(self, now: float) -> list[WorkerEvent]:
        """Lose the process with all that is in it."""
        out = self.advance(now)
        if self.up:
            self._die()
        return out + self._said()

    def _die(self) -> None:
        for task in list(self.tasks.values()):
            if task.running and task.repeatable and self.checkpoint > 0 and task.began is not None:
                # Saved at each full interval since it began; work between is taken as even.
                age = self.at - task.began
                whole = math.floor(age / self.checkpoint) * self.checkpoint
                done = self._share(task)
                task.saved += (done - task.saved) * (whole / age if age > 0 else 0.0)
            self._leave(task)
            self._tell(WorkerEventKind.LOST, task)
        for what, value in self.unheard:
            if what == "offer" and isinstance(value, Task):
                self._tell(WorkerEventKind.LOST, value)
        self.unheard.clear()
        self.waiting.clear()
        self.running.clear()
        self.noting.clear()
        self.up, self.paused, self.connections, self.overhead, self.used = False, False, 0, 0.0, 0

    def start(self, now: float, cold_share: float | None = None) -> None:
        """Start a new, cold process."""
        self.advance(now)
        self.up, self.draining, self.fallen, self.paused = True, False, False, False
        self.started, self.warm_work = now, 0.0
        self.cold_share = self.kind.cold_share if cold_share is None else cold_share
        self.sent.clear()
        self.pushed = 0.0
