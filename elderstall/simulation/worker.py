"""A model of a worker process without I/O; the caller passes the time, and the model returns events.

Running jobs share the cores: with ``n`` slots in use each runs at ``min(1, cores / n)`` of a core, times the
worker's speed, its warm-up fraction and its efficiency, divided by its slowdown. All running jobs thus
advance at one rate, and the model keeps two clocks: ``done_clock``, the standard work done for each slot, and
``core_clock``, the core time used for each slot. A job ends when ``done_clock`` has advanced by its work; the
model computes that time in closed form, also during the warm-up. Times are milliseconds, work is
milliseconds on a standard core.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum

from elderstall.simulation.scenario import Kind

WORK_TOLERANCE_MS = 1e-6  # ms on a standard core: rounding error of computed ends


class WorkerEventKind(Enum):
    """The kind of an event of a task."""

    TAKEN = "taken"  # accepted: it waits or runs
    FULL = "full"  # rejected: no slot and no place in the queue
    STARTED = "started"
    PROGRESS = "progress"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"  # handed back before its start, by a drain
    DROPPED = "dropped"  # removed from the queue after its deadline
    LOST = "lost"  # the process crashed
    STOPPED = "stopped"  # stopped by a cancellation


@dataclass(slots=True, eq=False)
class Task:
    """One attempt at a worker."""

    key: Hashable  # names it in ``cancel``
    work: float  # for each of its slots
    slots: int = 1
    deadline: float = math.inf  # time at which its sender stops waiting
    repeatable: bool = False
    fails_at: float | None = None  # the fraction of its work at which it fails; None if it succeeds
    saved: float = 0.0  # fraction of its work that an earlier attempt has saved
    informed: bool = True  # whether its sender had been notified of the worker's start
    owner: object = None  # the host's attempt; not read here
    began: float | None = None  # time of its start
    end_clock: float = math.inf  # reading of done_clock at its end
    core_clock_at_start: float = 0.0  # reading of core_clock at its start
    core_time: float = 0.0  # ms of core it has used, once it is over
    running: bool = False
    over: bool = False
    progress_reports: int = 0  # number made so far

    @property
    def size(self) -> float:
        """Return the work left of it, over all its slots."""
        return self.work * (1 - self.saved) * self.slots


@dataclass(slots=True, frozen=True)
class WorkerEvent:
    """An event of a task that the model reports to the worker host."""

    kind: WorkerEventKind
    task: Task
    at: float
    share: float = 0.0  # fraction of its work that is done; for a failing task, of its work up to the failure


@dataclass(slots=True)
class Ledger:
    """A worker's core time by use, ms; the entries sum to its cores times the time that has passed."""

    busy: float = 0.0
    overhead: float = 0.0  # new connections
    idle: float = 0.0
    paused: float = 0.0
    down: float = 0.0

    @property
    def total(self) -> float:
        """Return the sum of all entries."""
        return self.busy + self.overhead + self.idle + self.paused + self.down


@dataclass(slots=True)
class ColdLoadLimit:
    """The limit on work sent to a cold worker in a window of time; past it the worker crashes."""

    multiple: float = 4.0  # of the work that the worker can do in the window at its present capacity
    window: float = 2_000.0  # ms


class CardWorker:
    """The model of one worker process."""

    def __init__(
        self,
        kind: Kind,
        speed: float,
        now: float = 0.0,
        cold_load_limit: ColdLoadLimit | None = None,
        checkpoint: float = 1_000.0,
        progress_every: float = 0.0,
    ) -> None:
        self.kind = kind
        self.speed = speed
        self.cold_load_limit = cold_load_limit or ColdLoadLimit()
        self.checkpoint = checkpoint
        self.progress_every = progress_every
        self.now = now
        self.slowdown = 1.0  # factor by which it runs slower
        self.done_clock = self.core_clock = 0.0
        self.used = 0  # slots in use
        self.connections = 0
        self.overhead = 0.0  # standard work left for new connections
        self.up = True
        self.paused = False
        self.draining = False
        self.overloaded = False
        self.started: float | None = None  # None: before the simulation, so it is warm
        self.cold_share = kind.cold_share
        self.warm_work = 0.0  # work done since the start
        self.running: list[tuple[float, int, Task]] = []  # by reading of done_clock at the end
        self.progress_due: list[tuple[float, int, Task]] = []  # by time of the next progress report
        self.waiting: deque[Task] = deque()
        self.tasks: dict[Hashable, Task] = {}
        self.received_while_paused: deque[tuple[str, object]] = deque()  # (call, argument)
        self.cold_sends: deque[tuple[float, float, bool]] = deque()  # time, work, sender informed
        self.cold_work_sent = 0.0  # sum of the work in ``cold_sends``
        # At a crash by overload: fraction of the work that came from senders notified of the worker's start.
        self.informed_fraction = 0.0
        self.serial = 0
        self.ledger = Ledger()
        self.pending_events: list[WorkerEvent] = []

    # ---- rates ----

    @property
    def held(self) -> int:
        """Return the number of tasks that wait or run."""
        return len(self.tasks)

    @property
    def free_slots(self) -> int:
        """Return the number of slots not in use."""
        return max(0, self.kind.slots - self.used)

    def warm_up_fraction(self, at: float) -> float:
        """Return the fraction of its warm capacity that the worker has at a time."""
        if self.started is None or self.kind.cold_for <= 0:
            return 1.0
        progress = (at - self.started) / self.kind.cold_for
        if self.kind.warm_by_work:
            progress = max(progress, self.warm_work / (self.kind.cold_for * self.kind.cores * self.speed))
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(0.0, progress))

    def capacity(self, at: float) -> float:
        """Return the standard work that the worker can do in a millisecond."""
        return self.kind.cores * self.speed * self.warm_up_fraction(at) * self.efficiency() / self.slowdown

    def efficiency(self) -> float:
        """Return the fraction of its speed that is left by crowding and open connections."""
        kind = self.kind
        crowding = kind.crowd_cost * max(0.0, len(self.tasks) / kind.cores - kind.crowd_at)
        connection_share = (
            kind.connection_tax * min(1.0, self.connections / kind.connections) if kind.connections else 0.0
        )
        return (1 - connection_share) / (1 + crowding)

    def _rate(self) -> float:
        """Return the work that a slot does in a millisecond when warm."""
        if not self.used:
            return 0.0
        return self.speed * min(1.0, self.kind.cores / self.used) * self.efficiency() / self.slowdown

    def _warm_up_growth(self) -> tuple[float, float, float, bool]:
        """Return the warm-up fraction, its growth, the time until it is 1, and whether it grows by work.

        By time the fraction grows linearly, and the growth is its increase per ms. By work it grows
        exponentially, and the growth is the exponent per ms.
        """
        warm = self.warm_up_fraction(self.now)
        if warm >= 1.0:
            return 1.0, 0.0, 0.0, False
        time_growth = (1 - self.cold_share) / self.kind.cold_for
        capacity = self.kind.cores * self.speed
        if self.kind.warm_by_work and self.warm_work / capacity >= self.now - (self.started or 0.0):
            growth = time_growth / capacity * self.used * self._rate()  # relative growth per ms
            return warm, growth, math.log(1 / warm) / growth if growth else math.inf, True
        return warm, time_growth, (1 - warm) / time_growth, False

    def _work_in(self, span: float) -> float:
        """Return the work that a slot does in the coming span when there is no overhead."""
        rate = self._rate()
        warm, growth, left, by_work = self._warm_up_growth()
        warming = min(span, left)
        if growth == 0.0:
            part = warm * span
        elif by_work:
            part = warm * math.expm1(growth * warming) / growth + (span - warming)
        else:
            part = warm * warming + growth * warming * warming / 2 + (span - warming)
        return rate * part

    def _time_for_work(self, work: float) -> float:
        """Return the time that a slot takes for an amount of work: the inverse of ``_work_in``."""
        rate = self._rate()
        if work <= 0:
            return 0.0
        if rate <= 0:
            return math.inf
        need = work / rate
        warm, growth, left, by_work = self._warm_up_growth()
        if growth == 0.0:
            return need / warm
        if by_work:
            whole = warm * math.expm1(growth * left) / growth
            return math.log1p(need * growth / warm) / growth if need <= whole else left + need - whole
        whole = warm * left + growth * left * left / 2
        if need <= whole:
            return (math.sqrt(warm * warm + 2 * growth * need) - warm) / growth
        return left + need - whole

    def _overhead_time(self) -> float:
        """Return the time until the overhead is done; it uses all cores until then."""
        return self.overhead / self.capacity(self.now) if self.overhead > 0 else 0.0

    def _advance_clocks(self, to: float) -> None:
        """Advance the clocks over a span in which no task ends."""
        span = to - self.now
        cores = self.kind.cores
        ledger = self.ledger
        if span <= 0:
            return
        if not self.up or self.paused:
            if self.up:
                ledger.paused += cores * span
            else:
                ledger.down += cores * span
            self.now = to
            return
        if self.overhead > 0:
            overhead_time = self._overhead_time()
            if overhead_time >= span:
                self.overhead -= span * self.capacity(self.now)
                ledger.overhead += cores * span
                self.now = to
                return
            self.overhead = 0.0
            ledger.overhead += cores * overhead_time
            self.now += overhead_time
            span -= overhead_time
        if self.used:
            done = self._work_in(span)
            self.done_clock += done
            self.warm_work += done * self.used
            self.core_clock += span * min(1.0, cores / self.used)
            ledger.busy += min(cores, self.used) * span
        ledger.idle += max(0, cores - self.used) * span
        self.now = to

    # ---- time ----

    def due(self) -> float:
        """Return the time of the next event, or infinity."""
        if not self.up or self.paused:
            return math.inf
        when = math.inf
        while self.running and self.running[0][2].over:
            heapq.heappop(self.running)
        if self.running:
            when = (
                self.now + self._overhead_time() + self._time_for_work(self.running[0][0] - self.done_clock)
            )
        while self.progress_due and self.progress_due[0][2].over:
            heapq.heappop(self.progress_due)
        if self.progress_due:
            when = min(when, max(self.now, self.progress_due[0][0]))
        return when

    def advance(self, now: float) -> list[WorkerEvent]:
        """Advance the model to a time, and return the events up to it, in order."""
        while (when := self.due()) <= now:
            self._advance_clocks(when)
            if self.running and self.running[0][0] <= self.done_clock + WORK_TOLERANCE_MS:
                self._end(heapq.heappop(self.running)[2])
            elif self.progress_due and self.progress_due[0][0] <= when:
                self._report_progress(heapq.heappop(self.progress_due)[2])
            else:
                # Rounding put the computed end slightly later than ``when``: the task ends now.
                self.done_clock = self.running[0][0]
        self._advance_clocks(now)
        return self._take_events()

    def _take_events(self) -> list[WorkerEvent]:
        """Return the pending events and clear them; a task of zero work ends with the next advance."""
        events = self.pending_events
        self.pending_events = []
        return events

    def _emit(self, kind: WorkerEventKind, task: Task, share: float = 0.0) -> None:
        self.pending_events.append(WorkerEvent(kind, task, self.now, share))

    def _end(self, task: Task) -> None:
        """End a running task that is done or fails."""
        self._remove(task)
        self._emit(WorkerEventKind.DONE if task.fails_at is None else WorkerEventKind.FAILED, task, 1.0)
        self._start_waiting()

    def _report_progress(self, task: Task) -> None:
        """Report a task's progress; reports that fall in a pause are all made when it ends."""
        task.progress_reports += 1
        self._emit(WorkerEventKind.PROGRESS, task, self._done_fraction(task))
        self.serial += 1
        assert task.began is not None
        heapq.heappush(
            self.progress_due,
            (task.began + (task.progress_reports + 1) * self.progress_every, self.serial, task),
        )

    def _done_fraction(self, task: Task) -> float:
        """Return the fraction of a running task's work, up to its failure if it fails, that is done."""
        whole = task.work * (task.fails_at if task.fails_at is not None else 1.0)
        return min(1.0, max(0.0, 1 - (task.end_clock - self.done_clock) / whole)) if whole > 0 else 1.0

    def _remove(self, task: Task) -> None:
        """Remove a task, and record its core time."""
        del self.tasks[task.key]
        task.over = True
        if task.running:
            task.running = False
            self.used -= task.slots
            task.core_time = (self.core_clock - task.core_clock_at_start) * task.slots

    def _start_waiting(self) -> None:
        """Start waiting tasks in order; the first blocks the others until it fits."""
        while self.waiting:
            task = self.waiting[0]
            if task.over:
                self.waiting.popleft()
            elif self.kind.drops_expired and self.now > task.deadline:
                self.waiting.popleft()
                self._remove(task)
                self._emit(WorkerEventKind.DROPPED, task)
            elif self.used + task.slots <= self.kind.slots:
                self.waiting.popleft()
                self._start(task)
            else:
                return

    def _start(self, task: Task) -> None:
        """Start to run a task."""
        self.used += task.slots
        self.serial += 1
        task.running = True
        task.began = self.now
        task.core_clock_at_start = self.core_clock
        share = 1.0 if task.fails_at is None else max(task.fails_at, task.saved)
        task.end_clock = self.done_clock + task.work * (share - task.saved)
        heapq.heappush(self.running, (task.end_clock, self.serial, task))
        if self.progress_every > 0:
            heapq.heappush(self.progress_due, (self.now + self.progress_every, self.serial, task))
        self._emit(WorkerEventKind.STARTED, task)

    # ---- calls of the worker host ----

    def offer(self, now: float, task: Task) -> list[WorkerEvent]:
        """Accept or reject a task; while paused it is kept until the worker resumes."""
        events = self.advance(now)
        if self.paused:
            self.received_while_paused.append(("offer", task))
            return events
        self._accept_or_reject(task)
        return events + self._take_events()

    def _accept_or_reject(self, task: Task) -> None:
        fits = self.used + task.slots <= self.kind.slots and not self._queue_length()
        rejected = (
            not self.up
            or self.draining
            or task.slots > self.kind.slots
            or (not fits and self._queue_length() >= self.kind.queue)
        )
        if self._overloads(task):
            return
        if rejected:
            self._emit(WorkerEventKind.FULL, task)
            return
        self.tasks[task.key] = task
        self._emit(WorkerEventKind.TAKEN, task)
        self.waiting.append(task)
        self._start_waiting()

    def _queue_length(self) -> int:
        """Return the number of waiting tasks; cancelled ones leave the deque only at its head."""
        while self.waiting and self.waiting[0].over:
            self.waiting.popleft()
        return sum(not task.over for task in self.waiting) if self.waiting else 0

    def _overloads(self, task: Task) -> bool:
        """Count the work sent to a cold worker, rejected work too; return whether it crashes past its budget.

        The budget is the limit's multiple, times the present capacity, times the window.
        """
        if not self.up or self.warm_up_fraction(self.now) >= 1.0:
            self.cold_sends.clear()
            self.cold_work_sent = 0.0
            return False
        self.cold_sends.append((self.now, task.size, task.informed))
        self.cold_work_sent += task.size
        while self.cold_sends[0][0] <= self.now - self.cold_load_limit.window:
            self.cold_work_sent -= self.cold_sends.popleft()[1]
        if (
            self.cold_work_sent
            <= self.cold_load_limit.multiple * self.capacity(self.now) * self.cold_load_limit.window
        ):
            return False
        self.informed_fraction = (
            sum(work for _, work, informed in self.cold_sends if informed) / self.cold_work_sent
        )
        self.overloaded = True
        self._emit(WorkerEventKind.LOST, task)
        self._die()
        return True

    def cancel(self, now: float, key: Hashable) -> list[WorkerEvent]:
        """Cancel a task; the worker kind decides whether a waiting or running one stops."""
        events = self.advance(now)
        if self.paused:
            self.received_while_paused.append(("cancel", key))
            return events
        self._stop(key)
        return events + self._take_events()

    def _stop(self, key: Hashable) -> None:
        task = self.tasks.get(key)
        if task is None or self.kind.cancel == "none" or (task.running and self.kind.cancel != "all"):
            return
        self._remove(task)
        self._emit(WorkerEventKind.STOPPED, task)
        self._start_waiting()

    def charge(self, now: float, work: float) -> list[WorkerEvent]:
        """Add overhead work, such as a new connection."""
        events = self.advance(now)
        if self.up:
            self.overhead += work
        return events

    def backlog(self) -> float:
        """Return the time until the overhead work is done, ms."""
        return self._overhead_time() if self.up else 0.0

    def set_slowdown(self, now: float, factor: float) -> list[WorkerEvent]:
        """Set the factor by which the worker runs slower."""
        events = self.advance(now)
        self.slowdown = factor
        return events

    def pause(self, now: float) -> list[WorkerEvent]:
        """Pause the process: no task runs, no call is handled and no event is reported."""
        events = self.advance(now)
        self.paused = True
        return events

    def resume(self, now: float) -> list[WorkerEvent]:
        """Resume the process, and handle at once the calls that came during the pause."""
        self._advance_clocks(now)
        self.paused = False
        while self.received_while_paused:
            call, value = self.received_while_paused.popleft()
            if call == "offer":
                assert isinstance(value, Task)
                self._accept_or_reject(value)
            else:
                assert isinstance(value, Hashable)
                self._stop(value)
        return self.advance(now)

    def drain(self, now: float) -> list[WorkerEvent]:
        """Reject new tasks from now on; return the waiting ones if the worker kind does that."""
        events = self.advance(now)
        self.draining = True
        if self.kind.hands_back:
            for task in [task for task in self.waiting if not task.over]:
                self._remove(task)
                self._emit(WorkerEventKind.RETURNED, task)
            self.waiting.clear()
        return events + self._take_events()

    def die(self, now: float) -> list[WorkerEvent]:
        """Crash the process and lose its tasks."""
        events = self.advance(now)
        if self.up:
            self._die()
        return events + self._take_events()

    def _die(self) -> None:
        for task in list(self.tasks.values()):
            if task.running and task.repeatable and self.checkpoint > 0 and task.began is not None:
                # Progress is saved at each full interval since the start; it is taken as linear in time.
                # For a failing task it is progress up to the failure, which overstates the saved fraction.
                age = self.now - task.began
                whole = math.floor(age / self.checkpoint) * self.checkpoint
                done = self._done_fraction(task)
                task.saved += (done - task.saved) * (whole / age if age > 0 else 0.0)
            self._remove(task)
            self._emit(WorkerEventKind.LOST, task)
        for call, value in self.received_while_paused:
            if call == "offer" and isinstance(value, Task):
                self._emit(WorkerEventKind.LOST, value)
        self.received_while_paused.clear()
        self.waiting.clear()
        self.running.clear()
        self.progress_due.clear()
        self.up = False
        self.paused = False
        self.connections = 0
        self.overhead = 0.0
        self.used = 0

    def start(self, now: float, cold_share: float | None = None) -> None:
        """Start a new, cold process."""
        self.advance(now)
        self.up = True
        self.draining = False
        self.overloaded = False
        self.paused = False
        self.started = now
        self.warm_work = 0.0
        self.cold_share = self.kind.cold_share if cold_share is None else cold_share
        self.cold_sends.clear()
        self.cold_work_sent = 0.0
