"""The program's core: it owns jobs and attempts and keeps the rules; it knows no wire.

A front hands in jobs and is told their answers. A carrier takes attempts to workers. The module in
``decisions`` is fed events and its actions are carried out, each checked against the rules first.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from elderstall import interface as i
from elderstall.clocks import SharedClock
from elderstall.deadlines import Deadline, Deadlines
from elderstall.decisions import Dispatcher
from elderstall.figures import Figures
from elderstall.interface import Effect, Ending, ListScope, Scope, WorkerState
from elderstall.log import Log
from elderstall.messages import Answer, Ask, Carrier, Client, Failed, Outcome, Refused, Served
from elderstall.routing.view import ENTRIES_MOST, FleetView
from elderstall.slots import SLOT_MASK, Slots

REMEMBERED = 4_096  # ids of answered jobs kept: minutes of them at the rates known
CLIENT_LEFT = "its client has left"
SHARING_CHANGED = 1 / 8  # the module is told anew how many dispatchers share its workers
CLOCK_SLACK = 500.0  # ms by which the readings of a process of an earlier version may be off with no step
LEFT_UNKNOWN = 400.0  # ms left to a job handed over whose deadline is not known; it is lost 500 ms past that
DRAIN_PART = 0.75  # of the time that the rule on drains allows; after that the core itself sends nothing
HELD_UP = 150.0  # ms for which the process may be held up between reading its clock and writing


class TooManyJobsError(Exception):
    """The core takes no more jobs."""


class RepeatedIdError(Exception):
    """The id is that of a live job, or of one that has had its answer."""


@dataclass(slots=True, eq=False)
class Attempt:
    """The one attempt of a job that is out."""

    job: Job
    number: int
    worker: str
    sent: float
    ends: float
    taken: bool = False  # the worker has said that it has the job
    told: bool = False  # it has said so by a call, whatever becomes of its connection
    sending: Deferred[Outcome | None] | None = None
    timer: Deadline | None = None


@dataclass(slots=True, eq=False)
class Job:
    """A job that is owed an answer."""

    ask: Ask
    client: Client
    cls: i.JobClass
    arrived: float
    deadline: float
    number: int = 0
    sent: int = 0
    may_have_run: bool = False
    ran_at: float = math.inf  # when the first attempt that may have run was sent
    closed: bool = False
    recalls: int = 0  # attempts given up whose worker has not yet confirmed it
    held_send: i.Send | None = None  # waits for these
    to_tell: str | None = None  # a worker that said nothing, and is told to give up before the next attempt
    attempt: Attempt | None = None
    unsure: set[str] = field(default_factory=set)  # workers that may still speak of an earlier attempt
    back: set[str] = field(default_factory=set)  # workers that have handed it back, and may say so again
    guard: Deadline | None = None
    last: str = "never sent"  # how its latest attempt ended, and where
    ending: str = "no time"  # the same in a word, for the figures; of a job never sent, why it had to go


class Core:
    """One dispatcher: the module, its jobs and the rules."""

    def __init__(
        self,
        settings: i.Settings,
        seed: int,
        deadlines: Deadlines,
        carrier: Carrier,
        log: Log,
        slack: float = 8.0,
        max_open: int = 20_000,
        entries_most: int = ENTRIES_MOST,
    ) -> None:
        self.s, self.deadlines, self.carrier, self.log = settings, deadlines, carrier, log
        self.module = Dispatcher(settings, seed)
        self.slack, self.part = slack, 1.0  # part: of this process, of the dispatcher's cold budget
        self.classes = {c.name: c for c in settings.classes}
        self.tenants = {t.name for t in settings.tenants}
        self.jobs: Slots[Job] = Slots(max_open)
        self.by_cid: dict[str, Job] = {}
        self.answered: OrderedDict[str, None] = OrderedDict()  # ids, the latest last
        self.elsewhere: OrderedDict[str, None] = OrderedDict()  # taken by the other process of an upgrade
        self.on_taken: Callable[[str], None] = lambda cid: None
        self.view = FleetView(settings, entries_most, log.write)
        self.sharing = 0.0  # dispatchers that share our subset, as the module was last told; 0: all know all
        self.calling = False  # a call for the list is out, of whose answer the module has not heard
        self.settling: Deadline | None = None  # when workers may enter the view again
        self.counts = Figures(list(self.classes))
        self.events: deque[i.Event] = deque()
        self.feeding = False
        self.follow: Callable[[], None] = lambda: None  # asks for the list's changes
        self.started = False  # the list known at the start has been taken
        self.on_empty: Callable[[], None] = lambda: None
        self.doing: dict[type, Callable[..., None]] = {
            i.Send: self.send,
            i.Probe: self.probe,
            i.Refuse: self.refuse,
            i.Fail: self.fail,
            i.SetTimer: self.set_timer,
            i.FollowList: lambda _: self.call(),
            i.Log: lambda a: self.log.write("module", a.text),
        }

    # ---- the module ----

    def feed(self, event: i.Event) -> None:
        """Hand the module an event, after those before it, and carry out its actions."""
        self.events.append(event)
        if self.feeding:
            return
        self.feeding = True
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    for action in self.module.handle(self.deadlines.now(), event):
                        self.doing[type(action)](action)
                except Exception as error:
                    # Guards the other jobs against one bad event; the job's own guard still answers it.
                    self.log.failure(f"event {type(event).__name__}", error)
        finally:
            self.feeding = False

    def start(self, known: tuple[i.Listed, ...], learned: dict[str, Any] | None = None) -> None:
        """Begin, with the list as this dispatcher last held it, and what the process before had learned."""
        self.feed(i.Begin())
        self.listed(ListScope.WHOLE, known)
        self.started = True
        if learned is not None:
            self.feed(i.Learned(learned))

    def retune(self, settings: i.Settings, slack: float, max_open: int) -> None:
        """Take new settings; jobs under way keep their class."""
        self.s, self.slack, self.jobs.most = settings, slack, min(max_open, SLOT_MASK)
        news = self.view.retune(settings, self.deadlines.now())
        self.classes = {c.name: c for c in settings.classes}
        self.tenants = {t.name for t in settings.tenants}
        self.counts.classes += [name for name in self.classes if name not in self.counts.classes]
        self.sharing = self.view.sharing
        self.share(self.part)
        self.tell_all(news)

    def share(self, part: float) -> None:
        """Leave the other process of an upgrade its part of what cold workers may be sent, for rule 4."""
        self.part = part
        push_multiple = self.s.push_multiple * part
        self.feed(i.Retuned(replace(self.s, push_multiple=push_multiple, sharing=self.sharing)))

    def set_timer(self, action: i.SetTimer) -> None:
        """Carry out SetTimer."""
        delay = max(self.s.tick, action.delay)
        self.deadlines.after(delay, self.feed, i.TimerFired(action.token))

    # ---- the figures ----

    def figures(self) -> Figures:
        """Give the figures; whom the module avoids is its own to say."""
        view, now = self.view, self.deadlines.now()
        self.counts.jobs, self.counts.listed = len(self.jobs), len(view.entries)
        self.counts.avoided = sum(name in view.entries for name in self.module.unavailable(now))
        self.counts.in_view = len(view.entries) if view.subset is None else len(view.members)
        self.counts.widened = 0 if view.subset is None else view.subset.widened
        self.counts.zones_lost = len(view.lost_zones)
        self.counts.lists_refused = view.counts.lists_refused
        self.counts.odd_entries = view.counts.odd_entries.total()
        self.counts.forgotten = view.counts.forgotten
        self.counts.list_age = now - self.counts.heard_at if self.counts.heard_at >= 0 else -1.0
        return self.counts

    def call(self) -> None:
        """Carry out FollowList, and count it."""
        self.counts.list_calls += 1
        self.calling = True
        self.follow()

    def wrote(self) -> None:
        """Count an attempt whose last byte a carrier has written."""
        self.counts.tries += 1

    def turned_away(self, job_class: str) -> None:
        """Count a job that a front has refused, as it had no room for it."""
        self.counts.refused[job_class] += 1
        self.counts.reasons[job_class, "no room"] += 1

    # ---- the list ----

    def listed(self, scope: ListScope, entries: tuple[i.Listed, ...] = ()) -> None:
        """Take news of the list, for the rule on drains and for the module."""
        now = self.deadlines.now()
        if scope in (ListScope.FAILED, ListScope.SILENT):
            self.counts.list_failed += 1
        elif self.started:  # the list known at the start is not news of discovery's
            self.counts.heard_at = now
        events = self.view.take(now, scope, entries)
        if not events and self.calling:
            events = [i.WorkerList(ListScope.CHANGES)]  # discovery has answered, with nothing for the module
        self.calling = False
        self.tell_all(events)

    def tell_all(self, events: list[i.Event]) -> None:
        """Hand the module news of its view; before that, by how many it is shared, where that changed."""
        if not events:
            return
        old, new = self.sharing, self.view.sharing
        if bool(old) != bool(new) or abs(new - old) > SHARING_CHANGED * old:
            self.sharing = new
            self.share(self.part)
        for event in events:
            self.feed(event)
        due = self.view.due
        if due is not None and self.settling is None:
            self.settling = self.deadlines.at(due, self.settle)

    def settle(self) -> None:
        """Let workers into the view that wait for it."""
        self.settling = None
        self.tell_all(self.view.settle(self.deadlines.now()))

    def exclude(self, worker: str) -> bool:
        """Send nothing new to a worker until it is put back; says no if it was never listed."""
        if not self.view.knows(worker):
            return False
        now = self.deadlines.now()
        if self.view.exclude(worker, now):
            self.tell_all(self.view.refresh(worker, now))
        return True

    def include(self, worker: str) -> bool:
        """End a ban: the worker is a new process, with nothing held against it."""
        if not self.view.knows(worker):
            return False
        now = self.deadlines.now()
        if self.view.include(worker, now):
            self.carrier.renew(worker)
            self.tell_all(self.view.refresh(worker, now))
        return True

    # ---- jobs ----

    def take(self, ask: Ask, client: Client) -> int:
        """Take a job on; from here it is owed one final answer. Gives its number."""
        if self.knows(ask.cid) or ask.cid in self.elsewhere:
            # Guards against a second run under another client's id: every request, a retry too, has its own.
            raise RepeatedIdError(ask.cid)
        if self.jobs.full:
            raise TooManyJobsError
        now = self.deadlines.now()
        job = Job(ask, client, self.classes[ask.job_class], now, now + ask.budget)
        job.number = self.jobs.add(job)
        self.by_cid[ask.cid] = job
        self.on_taken(ask.cid)
        # Guards rule 1 whatever the module does: half the slack past the deadline the core answers itself.
        job.guard = self.deadlines.at(job.deadline + self.slack / 2, self.overdue, job)
        self.feed(
            i.JobArrived(job.number, ask.job_class, ask.budget, ask.tenant, ask.key, ask.work_hint, ask.slots)
        )
        return job.number

    # ---- an upgrade: jobs that move from one process to the next, as plain data ----

    def release(self, number: int) -> dict[str, Any] | None:
        """Let go of a job for the process that takes over, and give its state.

        Not of one whose attempt no worker has confirmed, or whose worker is yet to be told to give one up.
        """
        job = self.jobs.get(number)
        if job is None or job.recalls or job.held_send is not None:
            return None
        a = job.attempt
        if a is not None and not (a.taken and a.sending is not None and a.sending.called):
            return None
        ask, clock = job.ask, self.deadlines.shared()
        cls = {**asdict(job.cls), "effect": job.cls.effect.value, "scope": job.cls.scope.value}
        state = {
            "cid": ask.cid,
            "cls": cls,
            "tenant": ask.tenant,
            "key": ask.key,
            "hint": ask.work_hint,
            "slots": ask.slots,
            "sent": job.sent,
            "clock": clock.plain(),
            "arrived": clock.written(job.arrived),
            "deadline": clock.written(job.deadline),
            "ran": job.may_have_run,
            "ran_at": clock.written(job.ran_at) if job.may_have_run else None,
            "unsure": sorted(job.unsure),
            "back": sorted(job.back),
            "to_tell": job.to_tell,
            "attempt": None if a is None else [a.worker, clock.written(a.sent), clock.written(a.ends)],
        }
        job.closed, job.attempt = True, None
        for timer in (job.guard, a.timer if a is not None else None):
            if timer is not None:
                timer.cancel()
        self.jobs.remove(number)
        del self.by_cid[ask.cid]
        self.taken_elsewhere(ask.cid)
        self.feed(i.JobLeft(number))
        if a is not None:
            self.feed(i.AttemptEnded(number, a.number, a.worker, Ending.CANCELLED, True))
        return state

    def adopt(self, state: dict[str, Any], parcel: object, client: Client) -> int:
        """Take over a job that another process has let go of. Gives its number."""
        state = self.with_own_readings(state)
        told = state["cls"]
        cls = i.JobClass(**{**told, "effect": Effect(told["effect"]), "scope": Scope(told["scope"])})
        ask = Ask(
            state["cid"],
            cls.name,
            state["deadline"] - state["arrived"],
            parcel,
            state["tenant"],
            state["key"],
            state["hint"],
            state["slots"],
            cls.effect is Effect.SAFE,
        )
        job = Job(
            ask,
            client,
            cls,
            state["arrived"],
            state["deadline"],
            sent=state["sent"],
            may_have_run=state["ran"],
            unsure=set(state["unsure"]),
            back=set(state.get("back", ())),
            to_tell=state.get("to_tell"),
        )
        if job.may_have_run:  # a process of before this was told says nothing of when: at the earliest
            job.ran_at = state.get("ran_at") or job.arrived
        job.number = self.jobs.add(job)
        self.by_cid[ask.cid] = job
        self.elsewhere.pop(ask.cid, None)
        job.guard = self.deadlines.at(job.deadline + self.slack / 2, self.overdue, job)
        worker, sent, ends = state["attempt"] or (None, 0.0, 0.0)
        if worker is not None:
            job.attempt = a = Attempt(job, job.sent - 1, worker, sent, ends, taken=True)
            a.timer = self.deadlines.at(ends, self.timed_out, a)
        self.feed(
            i.JobInherited(
                job.number,
                cls,
                job.arrived,
                job.deadline,
                ask.key,
                ask.work_hint,
                ask.slots,
                job.sent,
                min(job.unsure, default=None),
                worker,
                sent,
            )
        )
        return job.number

    def with_own_readings(self, state: dict[str, Any]) -> dict[str, Any]:
        """Give a released job's state with its times as readings of this process's clock."""
        clock, now = SharedClock.of_message(state, self.deadlines.offset), self.deadlines.now()
        arrived, deadline = clock.read(state["arrived"]), clock.read(state["deadline"])
        worker, sent, ends = state["attempt"] or (None, 0.0, 0.0)
        sent, ends = clock.read(sent), clock.read(ends)
        ran_at = None if state.get("ran_at") is None else clock.read(state["ran_at"])
        if not clock.told and not (arrived <= now + CLOCK_SLACK and now <= deadline + CLOCK_SLACK):
            # Guards rule 1 where a process of an earlier version has run through a step of the wall clock:
            # its readings say nothing here, and its client may wait for only a moment longer.
            budget, deadline = deadline - arrived, now + LEFT_UNKNOWN
            arrived = sent = deadline - budget
            ran_at, ends = None, deadline
        return {
            **state,
            "arrived": arrived,
            "deadline": deadline,
            "ran_at": ran_at,
            "attempt": None if worker is None else [worker, sent, ends],
        }

    def abandon(self, state: dict[str, Any]) -> None:
        """Give up the attempt of a job that moves, as its client is gone."""
        if state["attempt"] is not None and self.s.cancels:
            self.carrier.recall(state["attempt"][0], state["cid"])

    def turn_away_moved(self, state: dict[str, Any], client: Client) -> None:
        """Answer a job from another process where no more jobs are taken, and end its attempt."""
        effect, name = Effect(state["cls"]["effect"]), state["cls"]["name"]
        ran = bool(state["ran"]) or state["attempt"] is not None
        harmless = (
            not ran
            or effect is Effect.SAFE
            or effect is Effect.KEYED
            and Scope(state["cls"]["scope"]) is Scope.ALL
        )
        (self.counts.refused if harmless else self.counts.failed)[name] += 1
        self.counts.reasons[name, "no room"] += 1
        client.answered(Refused() if harmless else Failed())
        self.abandon(state)

    def knows(self, cid: str) -> bool:
        """Say whether this process took an id."""
        return cid in self.by_cid or cid in self.answered

    def taken_elsewhere(self, cid: str) -> None:
        """Note an id that the other process of an upgrade took."""
        self.elsewhere[cid] = None
        if len(self.elsewhere) > REMEMBERED:
            self.elsewhere.popitem(last=False)

    def left(self, number: int) -> None:
        """Note that the client of a job is gone: nothing is owed, its attempt is given up."""
        job = self.jobs.get(number)
        if job is not None:
            self.feed(i.JobLeft(number))
            self.close(job, None)

    def overdue(self, job: Job) -> None:
        """Answer a job that the module has not."""
        if job.closed:
            return
        self.log.write("guard", f"job {job.ask.cid} of {job.ask.job_class} had no answer at its deadline")
        self.feed(i.JobLeft(job.number))
        if not job.closed:
            self.close(job, Refused() if self.harmless(job) else Failed(late=True))

    def harmless(self, job: Job) -> bool:
        """Say whether rule 2 allows a refusal."""
        if job.cls.effect is Effect.SAFE:
            return True
        if job.cls.effect is Effect.KEYED and job.cls.scope is Scope.ALL:
            return True
        return not job.may_have_run and job.attempt is None

    def refuse(self, action: i.Refuse) -> None:
        """Carry out Refuse; guards rule 2 against refusing what may have run."""
        job = self.jobs.get(action.job)
        if job is not None:
            self.close(job, Refused(action.retry_after) if self.harmless(job) else Failed(), action.why)

    def fail(self, action: i.Fail) -> None:
        """Carry out Fail."""
        job = self.jobs.get(action.job)
        if job is not None:
            self.close(job, Failed(late=self.deadlines.now() >= job.deadline))

    def close(self, job: Job, answer: Answer | None, why: str = "") -> None:
        """Give a job its one final answer, if its client is there, and give up what is still out."""
        if job.closed:
            return
        job.closed, held, job.held_send = True, job.held_send, None
        if held is not None:  # the module counts it as out
            self.feed(i.AttemptEnded(job.number, job.sent, held.worker, Ending.NEVER_SENT, True))
        self.jobs.remove(job.number)
        del self.by_cid[job.ask.cid]
        self.answered[job.ask.cid] = None
        if len(self.answered) > REMEMBERED:
            self.answered.popitem(last=False)
        if job.guard is not None:
            job.guard.cancel()
        if answer is not None:
            kinds = {Served: self.counts.served, Refused: self.counts.refused, Failed: self.counts.failed}
            kinds[type(answer)][job.cls.name] += 1
            if not isinstance(answer, Served):
                self.counts.reasons[job.cls.name, why or job.ending] += 1
            if isinstance(answer, Failed):
                self.log.write(
                    "failed",
                    f"job {job.ask.cid} of {job.cls.name} after "
                    f"{self.deadlines.now() - job.arrived:.0f} ms: {job.last}",
                )
            job.client.answered(answer)
        if job.attempt is not None:
            self.give_up(job.attempt, Ending.CANCELLED)
        if not self.by_cid:
            self.on_empty()

    # ---- questions ----

    def probe(self, action: i.Probe) -> None:
        """Carry out Probe; a worker told draining or gone is left alone."""
        if self.view.state(action.worker) is not WorkerState.UP:
            self.feed(i.Probed(action.worker, Ending.NEVER_SENT))
            return
        self.counts.probes += 1
        asking = self.carrier.probe(action.worker)
        asking.addCallback(self.probed, action.worker).addErrback(self.not_probed, action.worker)

    def probed(self, outcome: Outcome, worker: str) -> None:
        """Take a worker's answer."""
        self.learn_reach(worker, outcome)
        self.feed(i.Probed(worker, outcome.ending, outcome.report))

    def learn_reach(self, worker: str, outcome: Outcome) -> None:
        """Learn whether a worker's zone is in reach."""
        now = self.deadlines.now()
        self.tell_all(self.view.ended(worker, outcome.ending, outcome.unreached, now))

    def not_probed(self, failure: Failure, worker: str) -> None:
        """Take an error in the carrier: jobs wait for this answer."""
        self.log.failure("carrier", failure.value)
        self.feed(i.Probed(worker, Ending.BROKEN))

    # ---- attempts ----

    def may_send(self, job: Job, action: i.Send) -> str | None:
        """Check a send against the rules; give the rule that forbids it."""
        if job.attempt is not None:
            return "an attempt is out"
        if job.sent > self.s.max_attempts:  # this one is counted
            return "too many attempts"
        if not self.view.knows(action.worker):
            return "unknown worker"
        if job.may_have_run and job.cls.effect is Effect.UNSAFE:
            return "may have run"
        return self.barred(job, action.worker)

    @property
    def drain_grace(self) -> float:
        """How long after its drain was told a worker may still be written to, ms."""
        within = self.s.drain_within
        return max(0.0, min(DRAIN_PART * within, within - HELD_UP))

    def barred(self, job: Job, worker: str) -> str | None:
        """Give what time may have brought against sending a job, up to its first byte."""
        now = self.deadlines.now()
        if not self.view.may_send(worker, now, self.drain_grace):
            return "worker told draining or gone"
        if job.cls.effect is Effect.KEYED and now - job.ran_at >= job.cls.memory_span - HELD_UP:
            return "its repeat would not be dropped any more"
        if not job.client.here():
            return CLIENT_LEFT
        return None if now < job.deadline else "no time left"

    def send(self, action: i.Send) -> None:
        """Carry out Send, once every earlier attempt is known to be given up."""
        job = self.jobs.get(action.job)
        if job is None:
            return
        if job.to_tell is not None:
            worker, job.to_tell = job.to_tell, None
            self.recall(job, worker, must=False)
        if job.recalls:
            job.held_send = action
            return
        number, job.sent = job.sent, job.sent + 1
        if (why := self.may_send(job, action)) is not None:
            self.log.write("rule", f"job {job.ask.cid} not sent to {action.worker}: {why}")
            if why is CLIENT_LEFT:
                self.left(job.number)
            self.feed(i.AttemptEnded(job.number, number, action.worker, Ending.NEVER_SENT, job.closed))
            return
        now = self.deadlines.now()
        ends = min(now + action.time_out, job.deadline) if action.time_out > 0 else job.deadline
        job.attempt = a = Attempt(job, number, action.worker, now, ends)
        a.timer = self.deadlines.at(ends, self.timed_out, a)
        a.sending = self.carrier.send(
            a.worker,
            job.ask,
            ends,
            lambda share, text: self.noted(a, share, text),
            lambda: self.barred(job, a.worker),
        )
        a.sending.addCallback(self.carried, a).addErrback(self.broke, a)

    def carried(self, outcome: Outcome | None, a: Attempt) -> None:
        """Take the carrier's word on an attempt.

        Guards against two copies: a connection that ended without a 202 gives the attempt up only if the
        worker had not written it, which cannot always be seen. A start that it has told says that it has.
        """
        if outcome is None:
            a.taken = True
            return
        if a.job.attempt is a:
            broken = outcome.ending in (Ending.BROKEN, Ending.CUT)
            if outcome.spoke or broken and a.told:
                a.taken = True
                self.give_up(a, outcome.ending if broken else Ending.BROKEN)
                return
            a.job.to_tell = a.worker if outcome.unclear else a.job.to_tell
        self.ended(a, outcome)

    def broke(self, failure: Failure, a: Attempt) -> None:
        """Take an error in the carrier, which knows all outcomes; what it can't tell may have run."""
        if a.job.attempt is a:
            self.log.failure("carrier", failure.value)
            self.ended(a, Outcome(Ending.BROKEN))

    def called_on(self, a: Attempt, share: float, started: bool) -> None:
        """Take a start or progress that a worker calls back about."""
        a.told = True
        self.noted(a, share, started=started)

    def noted(self, a: Attempt, share: float, text: str = "", started: bool = False) -> None:
        """Pass on the progress of a live attempt."""
        if a.job.attempt is a:
            a.taken = True
            self.feed(i.AttemptNoted(a.job.number, a.number, a.worker, share, started))
            if not a.job.closed and not started:
                a.job.client.progressed(share, text)

    def live(self, cid: str, worker: str) -> Attempt | None:
        """Find the live attempt of a client's id at a worker, for what the worker calls back."""
        job = self.by_cid.get(cid)
        if job is None or job.attempt is None or job.attempt.worker != worker:
            return None
        return job.attempt

    def called_back(self, a: Attempt, outcome: Outcome) -> None:
        """Take the end that a worker tells of an attempt."""
        a.taken = True  # whether or not its 202 has come: the call may be made again
        if outcome.ending is not Ending.SERVED and a.worker in a.job.unsure | a.job.back:
            # Guards against two copies: this may be the late end of an earlier attempt at the same worker,
            # so the live one is given up before it counts as ended, and it may have run.
            self.give_up(a, Ending.BROKEN)
        else:
            self.ended(a, outcome)

    def timed_out(self, a: Attempt) -> None:
        """Give an attempt up at its time."""
        self.give_up(a, Ending.TIMED_OUT)

    def give_up(self, a: Attempt, ending: Ending) -> None:
        """Stop waiting for an attempt: close its connection, or tell the worker that has taken it."""
        job = a.job
        if job.attempt is not a:
            return
        self.detach(a, ending)
        if a.sending is not None:
            a.sending.cancel()
        if a.taken:
            self.recall(job, a.worker)
        self.feed(i.AttemptEnded(job.number, a.number, a.worker, ending, job.closed))

    def recall(self, job: Job, worker: str, must: bool = True) -> None:
        """Tell a worker to give a job up; ``must``: without its word the job is not sent again."""
        job.recalls += 1
        if self.s.cancels:
            self.carrier.recall(worker, job.ask.cid, must).addBoth(self.recalled, job, must)
        else:  # the settings have no such word: as if it could not be told
            self.deadlines.after(0.0, self.recalled, False, job, must)

    def recalled(self, told: object, job: Job, must: bool) -> None:
        """Go on with a send that waited for the worker to be told.

        Guards against two copies: a worker that could not be told may still have the job.
        """
        job.recalls -= 1
        if job.closed:
            return
        if must and told is not True:
            self.feed(i.JobLeft(job.number))
            if not job.closed:
                self.close(job, Refused() if self.harmless(job) else Failed(), "not to be given up")
        elif job.recalls == 0 and (action := job.held_send) is not None:
            job.held_send = None
            self.send(action)

    def detach(self, a: Attempt, ending: Ending) -> None:
        """Take an attempt off its job and note what its end leaves open."""
        job = a.job
        job.attempt, job.last = None, f"{ending.value}, attempt {a.number} at {a.worker}"
        job.ending = ending.value
        if a.timer is not None:
            a.timer.cancel()
        if ending not in i.NEVER_RAN:
            job.may_have_run, job.ran_at = True, min(job.ran_at, a.sent)
            job.unsure.add(a.worker)
        elif a.taken:
            job.back.add(a.worker)  # it calls again until it is answered

    def ended(self, a: Attempt, outcome: Outcome) -> None:
        """Take the end of an attempt; the first result is the job's answer."""
        job = a.job
        if job.attempt is not a:
            return
        self.detach(a, outcome.ending)
        self.learn_reach(a.worker, outcome)
        if outcome.ending is Ending.SERVED:
            self.close(job, Served(outcome.result))
        self.feed(i.AttemptEnded(job.number, a.number, a.worker, outcome.ending, job.closed, outcome.report))
