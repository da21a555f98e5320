"""Every decision of a dispatcher. The types, events and actions it speaks are in ``interface.py``.

The ordinary path of a job: its worth names its tier; the tier's home pool, or another by the solved
fraction, takes it; the next worker in that pool's rotation gets it. See docs/design.md.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import partial
from itertools import chain, islice
from operator import attrgetter
from typing import Any

from elderstall import interface as i
from elderstall import learning, records
from elderstall.interface import Effect, Ending, Scope, WorkerState
from elderstall.limits.shares import Shares
from elderstall.model import INTERVAL, TIER_WEIGHTS, tier_edges, utility
from elderstall.records import Attempt, Job, Policy, Worker, flows, pairs, stable_hash
from elderstall.recovery.listing import ListCalls
from elderstall.rotation import FAR, NEAR, REST, Rotation, Rotations
from elderstall.routing import lanes, pressure
from elderstall.routing.subset import LARGE
from elderstall.search import climb
from elderstall.succession import Forgetting, inherited, relearned, retuned

SIZES_EVERY = 10  # the design's 1:10 between the two cadences
F_BUDGET, S_BUDGET = 200, 500  # the design's evaluations, where the CPU allows them
JOB_EVALS = 5  # evaluations for each job seen since: the rates of a light dispatcher are too rough for more
EVAL_US = 2.0  # CPU of one model evaluation as settings count it, measured and rounded up
CPU_PART = 0.1  # of the CPU allowed may go to solving; the rest belongs to the jobs
SMOOTH = 0.5  # weight of the newest interval in rates
PRIOR_JOBS = 5.0  # a worker's own speed weighs as its kind's until it has ended about so many jobs
PROMPT_SLACK = 10.0  # ms beyond the trip within which a start shows that a slot was free
FULL_SKIP = 100.0  # ms a worker is skipped after 'full' or a failed connection; doubles, as queues take time
SKIP_MOST = 4_000.0  # ms no skip lasts longer: troubles end, and a worker must get its way back
PROVE = 4  # safe jobs served in a row: one that fails half of its jobs would pass by chance in one of 16 rows
FAULTY_MOST = 0.6  # of the workers may be held faulty; were it more, the jobs are at fault
PROOF_PART = 0.5  # of its patience a job waits for a worker that need not prove itself
TURN_DEBT = 1_000.0  # virtual ms of turns that a passed-over worker may catch up
USUAL = 0.5  # most jobs of a heavy-tailed class are about half its mean
LATE_SKIP = 0.5  # jobs: time a worker is skipped at most after starting our job late, for others queue there
LONG = 5.0  # mean jobs: a long job of a heavy-tailed class, which a slow worker may end late
KEEPERS = 8  # workers of a pool, in order, that a key's jobs try: a key asked for a lot needs several
HELD = 2.0  # times the fleet's mean of jobs held: a worker that the list shows above takes no more by key
REPORT_TRUST = 0.9  # of reported free slots are believed, for reports are noisy
FREE_LEAST = 0.9  # slots that a report must show free for more than one job of ours: it is a second old
OWN_MOST = 3  # jobs of ours on one worker, where starts are not told: our part of it is a guess
WAIT_PART = 0.5  # of a dispatcher's slots may wait in workers' queues: it keeps slots busy between notes
CROWD_AGE = 2.0  # mean jobs' time after which an overdue start speaks of a stuck worker, not of a full fleet
STUCK_MOST = 0.15  # of the workers may be taken for stuck; were it more, the fleet is full (ied79d9)
AWAY = 2.0  # times the length of a timed-out attempt that its worker is skipped at least (ia1775c)
OFFER_DEPTH = 8  # held jobs a tier tried on a slot that has come free: the first may need more
PUMP_EVERY, PUMP_MANY = 20.0, 100.0  # ms between looks at held jobs; at many, for CPU, as skips last
SLOTS_GUESS = 4.0  # of a worker, until a report tells: a light dispatcher never fills one to see
GOLDEN = 0.6180339887  # its multiples fall evenly on any stretch of workers or dispatchers
CLAIM = 1.25  # our part of the fleet, of the work that comes to us: some room beyond the mean
WHOLE_UNDER = 0.25  # slots: a lesser part of a worker says too little of it; whole slots are ours then
ASKED = 3  # workers asked before a job goes to one of them: two are often both full, four gain nothing
PULLED = 3  # workers with jobs of ours that are asked when one is held: some have room, but tell it only so
ASK_WAIT = 30.0  # ms for their answers, which take two trips: a silent one must not make a job late
TOLD_FOR = 150.0  # ms for which an answer stands for jobs that follow at once: reports are older anyway
FULL_FOR = 300.0  # ms after which a full worker is asked again: its report is hardly a new one before
ROUNDS = 3  # times that a job asks, each time others, while all are full
STRETCH = 200  # workers of a large fleet that jobs go to first, so that connections to them are kept
STRETCH_ROOM = 4.0  # times the workers that our traffic fills, if that is more
OURS = 16  # workers of our own, where workers are asked: few, so that connections to them are kept
SURELY_LATE = 1.5  # times its hinted work: a job given up then would not have been in time, as hints err
BRIEF = 100.0  # ms: a worker may drop what has so little time left without a word; that is no sign of trouble
GIVEN_UP = 500.0  # ms a worker is skipped for a job given up as late: where all are late that says little
COLD_PART = 0.5  # of the budget of rule 4 is used: jobs are heavy-tailed and their work is a guess
RETRY_LEAST, RETRY_MOST = 200.0, 2_000.0  # ms: shorter only adds to what is overloaded; longer is not heeded
TIMER_SOLVE, TIMER_PUMP, TIMER_ASK, TIMER_ASKED = 1, 2, 3, 4  # tokens


ORDER = attrgetter("order")  # of workers


class Dispatcher:
    """One dispatcher: ``handle`` takes an event and returns the actions it calls for."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now, self.actions = 0.0, list[i.Action]()
        self.workers: dict[str, Worker] = {}
        self.cut, self.common = list[Worker](), list[Worker]()  # shared out, in order; serving every tier
        self.ordered = list[Worker]()  # all that are known, by hash but for the newest
        self.unproved, self.power, self.up = dict[str, Worker](), 0.0, 0  # must prove themselves; the fleet
        self.jobs: dict[int, Job] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.waiting: dict[tuple[int, int], Attempt] = {}  # sent, not known to have started; oldest first
        self.asking: dict[int, Job] = {}  # jobs that wait for workers' answers
        self.pressure, self.near = pressure.Pressure(), 1.0  # near: our own part of the workers asked
        self.running, self.pumping = 0, False  # slots of our started attempts; whether a look is due
        self.stretch, self.need = math.inf, 0.0  # of a large fleet, used first; what our work fills
        self.part, self.pace, self.keepers = 0.0, 1.0, dict[tuple[int, str], list[Worker]]()  # slots; a unit
        self.turn, self.claim = 0.0, 1 / settings.dispatchers  # virtual ms of rotation; our part of the fleet
        # Least delay from send to start by zone, as a first job may find a queue (ied79d9); a first guess.
        self.trips: defaultdict[str | None, float] = defaultdict(lambda: settings.connect_timeout / 2)
        self.kinds: defaultdict[str, list[float]] = defaultdict(lambda: [0.0, 0.0, 1.0, SLOTS_GUESS])
        self.mean, self.ended = dict[str, float](), dict[str, int]()  # by class: standard work; jobs seen
        self.tenants, self.lane = Shares(), lanes.Lane()
        self.intervals, self.ask_at, self.calls = 0, math.inf, ListCalls()  # sized in adopt
        self.largest, self.held_mean = defaultdict[str, float](float), 0.0  # by the list's live weights
        self.handlers: dict[type, Callable[[Any], None]] = {
            i.Begin: self.begin,
            i.WorkerList: self.listed,
            i.JobArrived: self.arrived,
            i.AttemptNoted: self.noted,
            i.AttemptEnded: self.attempt_ended,
            i.JobLeft: self.left,
            i.TimerFired: self.timer,
            i.AnswerBegan: self.left,
            i.Retuned: partial(retuned, self),
            i.Probed: self.probed,
            i.Learned: partial(relearned, self),
            i.JobInherited: partial(inherited, self),
            i.WorkersForgotten: Forgetting(self),
        }
        self.tiers = 0
        self.adopt(settings)

    def adopt(self, settings: i.Settings) -> None:
        """Take settings: what hangs on them, and first guesses of what is yet to be learned."""
        self.s, calls = settings, self.calls
        calls.dispatchers, calls.ask_within = settings.callers, settings.ask_within
        self.classes = {c.name: c for c in settings.classes}
        shares = (1.0, settings.over_share_worth) if settings.tenants else (1.0,)
        self.edges = tier_edges(c.worth * s for c in settings.classes for s in shares)
        tiers, self.tiers = self.tiers, len(self.edges)
        self.many = settings.dispatchers * WHOLE_UNDER > SLOTS_GUESS  # so that each sees little of a worker
        free = settings.report_free_slots is not None and not settings.tells_start
        self.asks = self.many and free and settings.probes
        self.pulls = settings.pulled and free and settings.probes and not self.asks
        self.pressure.adopt(c.worth for c in settings.classes)
        self.look = PUMP_MANY if self.many else PUMP_EVERY
        self.prompt = PROMPT_SLACK + 2 * settings.tick
        self.mean = {c.name: max(1.0, c.aim / 2) for c in settings.classes} | self.mean  # a first guess
        self.ended = dict.fromkeys(self.classes, 0) | self.ended
        self.typical = self.usual_work()
        self.tenants.adopt(settings.tenants, settings.dispatchers, self.many)
        if tiers == self.tiers:
            return
        self.pools: list[list[Worker]] = [[] for _ in self.edges]
        self.rotations = Rotations(self.pools, self.group)
        # Pools start alike; where many, who are long in solving, work over shares alone gets little.
        used = {self.tier_of(c.worth) for c in settings.classes if self.many}
        self.policy = Policy(
            (0,) * len(pairs(self.tiers)),
            tuple(1 if used and t not in used else 1000 for t in range(self.tiers)),
        )
        self.shares = flows(self.policy, self.tiers)
        self.held: list[list[Job]] = [[] for _ in range(self.tiers + 1)]  # a tier each, then the late
        # Jobs, slot-work, work and aim by tier: of this interval, and smoothed.
        self.rates, self.load_seen = ([[0.0] * 4 for _ in self.edges] for _ in range(2))
        self.intervals, self.worked = 0, [0.0] * self.tiers

    def usual_work(self) -> float:
        """Give the mean of the classes' mean work; what is urgent follows from it too."""
        self.lane.adopt(lanes.spare(c.aim, c.stretch, self.mean[c.name]) for c in self.s.classes)
        return sum(self.mean[name] for name in self.classes) / len(self.classes)

    def handle(self, now: float, event: i.Event) -> i.Actions:
        """Take one event and return what to do, in order."""
        self.now, self.actions = now, []
        if (handler := self.handlers.get(type(event))) is not None:
            handler(event)
        return self.actions

    def begin(self, _: i.Begin) -> None:
        """Start the cadences and the list."""
        self.actions.append(i.SetTimer(TIMER_SOLVE, INTERVAL))
        if self.s.must_follow:  # where many start at once, their calls are spread (recovery/listing.py)
            self.ask_in(delay) if (delay := self.calls.first(self.rng)) else self.follow()

    def timer(self, e: i.TimerFired) -> None:
        """Run what is due."""
        now = self.now + self.s.tick / 2  # a timer may fire a hair early
        if e.token == TIMER_SOLVE:
            self.actions.append(i.SetTimer(TIMER_SOLVE, INTERVAL))
            self.solve()
            self.pump()
        elif e.token == TIMER_PUMP:
            self.pumping = False
            self.pump()
        elif e.token == TIMER_ASKED:
            for job in [job for job in self.asking.values() if now >= job.asked_at + ASK_WAIT]:
                self.decide(job)
        elif e.token == TIMER_ASK and now >= self.ask_at:
            self.follow()

    def follow(self) -> None:
        """Subscribe to the list, and again should no answer come at all."""
        self.actions.append(i.FollowList())
        self.calls.call(self.now)
        self.ask_in(self.s.ask_within / 4)

    def ask_in(self, delay: float) -> None:
        """Ask again later; an earlier plan is void."""
        self.ask_at = self.now + delay
        self.actions.append(i.SetTimer(TIMER_ASK, delay))

    def listed(self, e: i.WorkerList) -> None:
        """Take news of the list; a worker missing from a whole list is gone."""
        if e.scope in (i.ListScope.FAILED, i.ListScope.SILENT):
            self.ask_in(self.calls.fail(self.rng, self.now, e.scope is i.ListScope.SILENT))
            self.actions.append(i.Log(f"list out of reach; asked again within {self.calls.waited:.0f} ms"))
            return
        self.ask_at = math.inf if self.calls.answered(self.now) else self.ask_at  # not the one known at first
        whole = e.scope is i.ListScope.WHOLE
        named = self.workers if whole else [entry.worker for entry in e.entries]
        before = {name: (w.open, w.started) for name in named if (w := self.workers.get(name)) is not None}
        if whole:
            for w in self.workers.values():
                w.open = False
        count = len(self.workers)
        for entry in e.entries:
            up = entry.state is WorkerState.UP
            known = self.workers.get(entry.worker)
            if known is None:
                known = Worker.of(entry)
                self.ordered.append(known)
                if self.many:  # or all start with the same workers
                    known.turn = self.turn + self.rng.random() * self.typical / SLOTS_GUESS
            elif up and entry.started not in (None, known.started):
                known.restart(entry.started, self.now)
            known.open, known.line, self.workers[entry.worker] = up, entry.place, known
            self.largest[entry.kind] = most = max(self.largest[entry.kind], entry.weight)
            known.held = most / entry.weight - 1
        self.held_mean = sum(w.held for w in self.cut) / max(1, len(self.cut))
        changed = any((w.open, w.started) != before[w.name] for w in map(self.workers.__getitem__, before))
        if changed or count != len(self.workers):  # lists may bring weights alone
            self.cut_pools()
            self.pump()

    def cut_pools(self) -> None:
        """Cut the pools by stable hash within each kind; a kind too small to cut serves all tiers."""
        kin: dict[str, list[Worker]] = {}
        known = self.workers
        self.ordered = [w for w in self.ordered if known.get(w.name) is w]  # others are forgotten
        self.ordered.sort(key=ORDER)  # as few are out of place, one comparison each
        for w in self.ordered:
            if w.open:
                kin.setdefault(w.kind, []).append(w)
        self.common = [w for ws in kin.values() if len(ws) < len(TIER_WEIGHTS) for w in ws]
        large = [ws for ws in kin.values() if len(ws) >= len(TIER_WEIGHTS)]
        if len(large) == 1:
            self.cut = large[0]
        else:
            places = sorted(((n + 0.5) / len(ws), *w.order, w) for ws in large for n, w in enumerate(ws))
            self.cut = [place[-1] for place in places]
        self.near = min(1.0, max(self.s.least_part, OURS / max(1, len(self.cut) + len(self.common))))
        self.size_stretch()
        for n, w in enumerate(self.cut + self.common):
            w.place, w.rank = (self.s.rank - n) * GOLDEN % 1 if w.line is None else w.line, n
        self.refresh_all()
        self.fit_sizes()

    def size_stretch(self) -> None:
        """Size the part of a large fleet that jobs go to first; of another it is all.

        Guards against a connection for nearly every job: what does not fit on our own workers would go round
        all that are known, and no connection would be kept long enough to be used again.
        """
        up = len(self.cut) + len(self.common)
        large = self.s.sharing or up > LARGE
        self.stretch = max(STRETCH / up, STRETCH_ROOM * self.need) if up and large else math.inf

    def fit_sizes(self) -> None:
        """Rescale the pool sizes to the workers there are, and hand out the workers."""
        total, old = len(self.cut), sum(self.policy.sizes)
        if total and total != old:
            self.policy = Policy(self.policy.f, records.portions(total, self.policy.sizes))
        self.keepers.clear()
        at = 0
        for pool, n in zip(self.pools, self.policy.sizes, strict=True):
            pool[:] = self.cut[at : at + n] + self.common
            at += n
        self.rotations.fill()

    def avoided(self, now: float) -> set[str]:
        """Name the workers that get no new jobs now, or only such as prove them."""
        return {w.name for w in self.workers.values() if not w.open or w.skip_until > now or w.proving}

    def refresh_all(self) -> None:
        """Work out all that are up anew, and what they come to."""
        self.refresh(fleet := self.cut + self.common)
        self.lane.fill(fleet if self.asks else ())
        self.power, self.up = sum(w.power for w in fleet), len(fleet)
        self.unproved = {w.name: w for w in fleet if w.proving}

    def refresh(self, ws: Iterable[Worker]) -> None:
        """Work out workers' speed, slots, power and our part; kin tell what they have not shown."""
        prior, each, kin = PRIOR_JOBS * self.typical, self.s.sharers, dict[str, tuple[float, float]]()
        now, settled = self.now, self.s.cold_for + self.s.push_window
        for w in ws:
            if w.kind not in kin:
                work, time, most, guess = self.kinds[w.kind]
                kin[w.kind] = prior * ((work + prior) / (time + prior)), max(most, guess)
            shown, slots = kin[w.kind]
            cold = w.started is not None and now - w.started <= settled  # nearly none is: no calls for others
            warmth = w.warmth(now, self.s) if cold else 1.0
            w.speed, w.slots = (w.work + shown) / (w.time + prior), slots if slots > w.peak else w.peak
            w.power = w.slots * w.speed * warmth
            if self.asks:  # of cold ones no more are ours, so that all together stay within rule 4
                w.fair = float(w.place < self.near or not cold and w.place < 2 * w.slots * self.claim)
            elif w.slots < WHOLE_UNDER * each:
                # Guards against queues filled unseen: of a part under a slot, whole slots of few are ours.
                w.fair = float(w.place < w.slots * warmth * self.claim)
            else:
                w.fair = w.slots * warmth / each

    def solve(self) -> None:
        """Re-solve the fractions, and every tenth time the pool sizes too."""
        resize = self.intervals % SIZES_EVERY == 0
        self.intervals += 1
        for seen, new in zip(self.load_seen, self.rates, strict=True):
            fade = 1.0 if self.intervals == 1 else SMOOTH
            seen[:], new[:] = [s + (n - s) * fade for s, n in zip(seen, new, strict=True)], [0.0] * 4
        self.typical = self.usual_work()
        fleet = self.cut + self.common
        power = sum(w.power for w in fleet) or 1.0
        work = CLAIM * sum(x[1] for x in self.load_seen) / INTERVAL
        self.need = work / power
        self.claim = max(1 / self.s.dispatchers, self.need)
        self.size_stretch()
        self.refresh_all()
        if not (self.asks and self.size_pools()):
            self.rotations.settle(fleet)
        self.part = sum(w.fair for w in fleet)
        self.pace = sum(w.slots for w in fleet) / power
        if resize:
            self.actions.append(
                i.Log(
                    f"{self.policy}, our part {self.part:.0f} slots, {self.running} run, "
                    f"pace {self.pace:.2f}, {sum(map(len, self.held))} jobs held"
                )
            )
        jobs = sum(seen[0] for seen in self.load_seen)
        allowed = [us for us in (self.s.cpu_us_per_s * INTERVAL / 1000, self.s.cpu_us_per_job * jobs) if us]
        most = min(S_BUDGET if resize else F_BUDGET, JOB_EVALS * jobs)
        budget = int(min(most, min(allowed, default=math.inf) * CPU_PART / EVAL_US))
        if self.tiers == 1 or not self.cut or budget < 2:
            return
        load = records.load_of(self.load_seen, self.s.sharers / INTERVAL, self.cut, self.common)
        self.policy = climb(self.policy, lambda p: utility(p, load), self.tiers, budget, self.rng, resize)
        self.shares = flows(self.policy, self.tiers)
        if resize:
            self.fit_sizes()

    def size_pools(self) -> bool:
        """Size the pools by the work that each tier has brought: too little is seen here for the model.

        Says whether the workers were handed out anew.
        """
        self.worked = [sum(x) for x in zip(self.worked, (seen[1] for seen in self.load_seen), strict=True)]
        if any(self.worked) and len(self.cut) >= self.tiers:
            self.policy = Policy(self.policy.f, records.portions(len(self.cut), self.worked))
            self.fit_sizes()
            return True
        return False

    def has_room(self, w: Worker, job: Job) -> bool:
        """Refuse a worker skipped, filled by our attempts, as believed, or with an overdue start of ours."""
        if not w.open or w.skip_until > self.now or (w.used and w.used + job.slots > self.most_on(w)):
            return False
        few = sum(u.open for u in self.unproved.values()) <= FAULTY_MOST * self.up if w.proving else False
        if few and (w.used or job.cls.effect is not Effect.SAFE):
            # Guards jobs that may not be repeated against a worker that fails them; late, it is a chance.
            patient = self.now - job.arrived < PROOF_PART * self.patience(job)
            if w.used or (patient and job.ran_on is None):
                return False
        overdue = self.now - self.trips[w.zone] - self.prompt
        if any(a.sent < overdue for a in w.waiting.values()):
            return False
        return job.cls.kind in (None, w.kind) and not self.lane.keeps_out(w, job) and self.cold_room(w, job)

    def most_on(self, w: Worker) -> int:
        """Give the slots open to us: where starts are not told, by our part of it and if one is told free."""
        if self.s.tells_start or w.free < FREE_LEAST:
            return w.limit
        return max(w.limit, min(OWN_MOST, int(1 + 2 * w.slots * self.claim)))

    def cold(self, w: Worker) -> bool:
        """Say whether rule 4 still binds for the worker."""
        return w.started is not None and self.now - w.started <= self.s.cold_for + self.s.push_window

    def cold_room(self, w: Worker, job: Job) -> bool:
        """Guards rule 4: our part of what a cold worker may be sent in any window, of its capacity now."""
        if not self.cold(w):
            return True
        while w.pushed and w.pushed[0][0] <= self.now - self.s.push_window:
            w.pushed.popleft()
        need, sent, s = job.work * job.slots, sum(work for _, work in w.pushed), self.s
        budget = COLD_PART * s.push_multiple * s.push_window * learning.cold_power(self, w)
        if sent + need <= budget / self.s.sharers:
            return True
        # Where our part is less than the job, as many dispatchers as such jobs fit may send one, others each
        # window. So what all send comes to the budget on average, whatever the jobs' lengths.
        if self.asks:  # those whose own it is share it
            sharers = max(1.0, self.near * self.s.sharers)
            at = (w.place / self.near + stable_hash(f"{w.name} {self.now // self.s.push_window}") / 2**32) % 1
            return bool(w.fair) and not sent and at * sharers < int(budget / need)
        turn = (self.s.rank + stable_hash(f"{w.name} {self.now // self.s.push_window}")) % self.s.sharers
        return not sent and turn < int(budget / need)

    def group(self, w: Worker) -> int | None:
        """Say where a worker stands in the rotation, by our part of it and of the fleet; full: nowhere."""
        if w.used and w.used >= self.most_on(w):
            return None
        if w.place >= self.stretch:
            return REST
        ours = w.fair or not self.asks and self.cold(w)
        return NEAR if (w.used + 1 <= w.fair if w.used else ours) else FAR

    def next_in(self, rotation: Rotation, job: Job) -> tuple[int, Worker | None]:
        """Give the pool's next worker with room and its rank: our own slots, fast for long jobs (ifa13bf)."""
        best, least = None, (9, False, 0.0, 0)
        run, aim = LONG * job.work, job.cls.aim + job.cls.stretch * LONG * job.work
        for floor, entries in zip((0, 2, 4), rotation, strict=True):  # the best rank that a group can have
            if least[0] < floor:
                break
            for turn, place, _, w in entries:
                if w.skip_until > self.now:
                    continue
                # Where slots are whole, a cold worker in whose window we have a turn is as good as our own.
                over = w.used + job.slots > w.fair and (w.used > 0 or not w.fair and not self.cold(w))
                rank = (4 if floor == 4 else 2 * over) + (run > aim * w.speed)
                key = (rank, rank < 2 and w.zone != self.s.zone and self.s.crossing_price > 0, turn, place)
                if key < least and self.has_room(w, job):
                    best, least = w, key
                    if rank == floor and not key[1]:
                        break  # the others of the group come later in the rotation
        return least[0], best

    def choose(self, job: Job) -> Worker | None:
        """Follow the ordinary path; if the job's pool has none of the best rank, look in the others too."""
        if job.ran_on is not None:
            return self.kin_of(job)
        if self.crowded():
            return None
        if job.cls.effect is Effect.SAFE:  # guards against a worker kept out of which no job asks for proof
            for unproved in sorted(self.unproved.values(), key=lambda w: w.rank):
                if unproved.open and self.has_room(unproved, job):
                    return unproved
        first = self.rng.choices(range(self.tiers), self.shares[job.tier])[0]  # home, or as solved
        order = [first] + [p for p in range(self.tiers - 1, -1, -1) if p != first]
        if job.key is not None and self.s.fetch_price and (w := self.keeper(order, job)) is not None:
            return w
        best, least = None, 9
        for p in order:
            if least and (found := self.next_in(self.rotations[p], job))[0] < least:
                least, best = found
        # Guards against blind sends to a full fleet: past own whole slots, jobs wait at one overdue start.
        blind = best is not None and least > 1 and best.fair in (0.0, 1.0)
        return None if blind and self.crowded(late=True) else best

    def keeper(self, pools: list[int], job: Job) -> Worker | None:
        """Give a worker with room of those that every dispatcher's hash names for the job's key in a pool."""
        key = job.key or ""
        for p in pools:
            if (p, key) not in self.keepers:
                self.keepers[p, key] = records.ranked(key, self.pools[p], self.largest)[:KEEPERS]
            for w in self.keepers[p, key]:
                # Guards against many dispatchers that ask one worker for a key (L60d3ed): the list shows it.
                most = max(1 - (job.slots - 1) / max(SLOTS_GUESS, w.slots), HELD * self.held_mean / job.slots)
                if w.held <= most and self.has_room(w, job):
                    return w
        return None

    def crowded(self, late: bool = False) -> bool:
        """Guard against queues that a burst fills (ied79d9): bound overdue starts, to one for late jobs."""
        allowed = 1 if late else WAIT_PART * (self.part + self.running) + 1
        stuck = STUCK_MOST * self.up
        for a in self.waiting.values():  # oldest first
            age = self.now - a.sent
            if allowed <= 0 or age <= self.trips[a.worker.zone] + self.prompt:
                break
            if stuck > 0 and age > CROWD_AGE * self.typical:
                stuck -= 1
            else:
                allowed -= a.job.slots
        return allowed <= 0

    def kin_of(self, job: Job) -> Worker | None:
        """Give the next worker with room of those at which a job that may have run may run again."""
        ws = (w for w in self.workers.values() if self.may_repeat(job, w) and self.has_room(w, job))
        return min(ws, key=lambda w: w.turn, default=None)

    def may_repeat(self, job: Job, w: Worker) -> bool:
        """Guards rule 2: a job that may have run goes on only where its repeat is dropped, and in time."""
        first, cls = job.ran_on, job.cls
        if first is None or cls.effect is not Effect.KEYED:
            return True
        if job.ran_at is None or self.now - job.ran_at >= cls.memory_span * 0.95:
            return False
        near, kin = cls.scope is not Scope.ALL, cls.scope is Scope.CELL
        return not (near and w.zone != first.zone or kin and w.cell != first.cell)

    def arrived(self, e: i.JobArrived) -> None:
        """Take a job on: worth, tier, then its way."""
        cls = self.classes[e.job_class]
        over = 1.0 - self.tenants.within(self.now, e.tenant)
        worth = cls.worth * (1.0 - over * (1.0 - self.s.over_share_worth))
        tier = self.tier_of(cls.worth * (self.s.over_share_worth if over > 0.5 else 1.0))
        work = e.work_hint if e.work_hint else self.mean[cls.name]
        job = Job(e.job, cls, worth, tier, e.slots, work, e.key, self.now, self.now + e.time_left)
        self.jobs[e.job] = job
        for n, x in enumerate((1.0, work * e.slots, work, min(cls.aim + cls.stretch * work, cls.deadline))):
            self.rates[tier][n] += x
        self.place(job)

    def tier_of(self, worth: float) -> int:
        """Name the tier of a worth."""
        return next((t for t, edge in enumerate(self.edges) if worth >= edge), self.tiers - 1)

    def place(self, job: Job) -> None:
        """Send the job if a worker has room, else hold it; one that can't be done in its time is answered."""
        late = self.out_of_time(job) or any(self.held[: self.bucket(job) + 1])
        if self.asks and not late and job.ran_on is None:
            if not job.sent and self.rng.random() < self.pressure.refuses(job.worth):
                # Guards what is worth more from the queues that a full fleet's workers would fill for all.
                ready = (w for w in self.rotations.turns(NEAR, 0) if w.skip_until < self.now)
                self.ask(list(islice(ready, 1)))
                self.finish(job, "full fleet")
                return
            if self.ask_around(job):
                return
        if not late and (w := self.choose(job)) is not None:
            self.send(job, w)
        else:
            self.hold(job)

    def ask(self, ws: Iterable[Worker]) -> None:
        """Ask workers that have not told just now; to be asked is a turn, or full ones would stay first."""
        for w in ws:
            self.took_turn(w, self.typical / ASKED)
            self.rotations.move(w)
            if not w.asked and self.now - w.told > TOLD_FOR:
                w.asked = True
                self.actions.append(i.Probe(w.name))

    def ask_around(self, job: Job) -> bool:
        """Ask the next of our own workers how they stand: what we see by ourselves is too little."""
        pool = self.rng.choices(range(self.tiers), self.shares[job.tier])[0]
        job.passed, job.asked, job.rounds = job.passed + job.asked, [], job.rounds + 1
        for w in chain(self.lane.first(job, self.rng), self.rotations.turns(NEAR, pool)):
            known = w.free < FREE_LEAST and self.now - w.told < FULL_FOR or w in job.passed + job.asked
            if not known and self.has_room(w, job):
                job.asked.append(w)
                if len(job.asked) == ASKED:
                    break
        if not job.asked:
            return False
        self.asking[job.id], job.asked_at = job, self.now
        self.ask(job.asked)
        if any(w.asked for w in job.asked):
            self.actions.append(i.SetTimer(TIMER_ASKED, ASK_WAIT))
        else:
            self.decide(job)
        return True

    def probed(self, e: i.Probed) -> None:
        """Take a worker's answer, and send the jobs that waited for it alone."""
        w = self.workers[e.worker]
        w.asked = False
        if e.report and self.s.report_free_slots is not None:
            w.told, w.free = self.now, e.report[self.s.report_free_slots]
            self.pressure.saw(self.now, w.free < FREE_LEAST)
        elif e.ending not in (Ending.SERVED, Ending.FULL, Ending.NEVER_SENT):
            w.skip = max(FULL_SKIP, min(w.skip * 2, SKIP_MOST))
            w.skip_until = max(w.skip_until, self.now + w.skip)
        self.rotations.move(w)
        if self.pulls:
            self.offer(w)
        for job in [job for job in self.asking.values() if w in job.asked]:
            if not any(u.asked for u in job.asked):
                self.decide(job)

    def decide(self, job: Job) -> None:
        """Send a job to the best of the workers that were asked; with no room there, go the ordinary path."""
        del self.asking[job.id]
        run, aim = LONG * job.work, job.cls.aim + job.cls.stretch * LONG * job.work
        free = [w for w in job.asked if self.has_room(w, job)]
        best = min(
            free,
            default=None,
            key=lambda w: (
                w.free < FREE_LEAST,
                w.told < job.asked_at - TOLD_FOR,
                run > aim * w.speed,
                -w.free,
                -w.speed,
            ),
        )
        if (best is None or best.free < FREE_LEAST) and job.rounds < ROUNDS and self.ask_around(job):
            return
        if (best := best or (None if self.out_of_time(job) else self.choose(job))) is not None:
            self.send(job, best)
        else:
            self.hold(job)

    def send(self, job: Job, w: Worker) -> None:
        """Send an attempt."""
        a = Attempt(job, job.sent, w, self.now)
        self.attempts[job.id, a.number] = a
        job.sent += 1
        job.out += 1
        job.held = False
        if not job.rounds:
            self.took_turn(w, job.work * job.slots)
        w.used, w.free = w.used + job.slots, w.free - job.slots * self.pulls
        self.rotations.move(w)
        if self.s.fetch_price and job.key is not None:
            w.kept.append(job.key)
        if self.s.tells_start:
            w.waiting[job.id, a.number] = self.waiting[job.id, a.number] = a
        if self.cold(w):
            w.pushed.append((self.now, job.work * job.slots))
        ends = job.deadline
        if self.asks and not job.cls.late_share and job.cls.effect is Effect.UNSAFE:
            # Guards queues against jobs that can earn nothing any more; safe ones would only come again.
            ends = min(ends, job.arrived + job.cls.aim + job.cls.stretch * job.work * SURELY_LATE)
        self.actions.append(i.Send(job.id, w.name, max(self.s.tick, ends - self.now)))

    def took_turn(self, w: Worker, work: float) -> None:
        """Charge a worker its turn: the work's time at its speed x slots."""
        self.turn = max(self.turn, w.turn)
        w.turn = max(w.turn, self.turn - TURN_DEBT) + work / w.power

    def hold(self, job: Job) -> None:
        """Hold a job while no worker has room, but guard rule 1: clients' repeats may come with 0 ms left."""
        if self.out_of_time(job):
            self.finish(job)
        else:
            job.held = True
            self.held[self.bucket(job)].append(job)
            self.watch_held()
            self.ask(
                sorted(
                    (
                        w
                        for w in self.cut + self.common
                        if self.pulls and w.used and not w.asked and w.skip_until < self.now
                    ),
                    key=lambda w: w.told,
                )[:PULLED]
            )

    def bucket(self, job: Job) -> int:
        """Say with which held jobs a job waits: by the worth that a slot's time brings (incident i90de53)."""
        worth = self.edges[job.tier] / (1.0 if self.s.by_work else job.work * job.slots / self.typical)
        return next((n for n, edge in enumerate(self.edges[:-1]) if worth >= edge), self.tiers - 1)

    def pump(self) -> None:
        """Give held jobs what room there is, higher worth first, and let go those out of time."""
        late = self.held[-1]
        no_room: set[tuple[str | None, int]] = set()
        for bucket, jobs in enumerate(self.held):
            if not jobs:
                continue
            keep: list[Job] = []
            full = self.crowded(jobs is late)
            for job in jobs:
                if not job.held:
                    continue
                need = (job.cls.kind, job.slots)
                if self.out_of_time(job):
                    self.finish(job)
                elif not full and (need not in no_room or job.ran_on) and (w := self.choose(job)) is not None:
                    self.send(job, w)
                elif jobs is not late and self.now >= job.arrived + self.patience(job):
                    late.append(job)  # guards against a queue in which all end late: fresh jobs go first
                else:
                    no_room.add(need)
                    keep.append(job)
            self.held[bucket] = keep
        self.watch_held()

    def offer(self, w: Worker) -> None:
        """Give the slots that have come free on a worker to held jobs, higher worth first."""
        for jobs in self.held:
            first = [] if not jobs or self.crowded(jobs is self.held[-1]) else jobs[:OFFER_DEPTH]
            if self.s.fetch_price:  # of equals, those whose data is here go first
                first.sort(key=lambda job: job.key not in w.kept)
            for job in first:
                may_go = self.has_room(w, job) and self.may_repeat(job, w)
                if job.held and may_go and not self.out_of_time(job):
                    self.send(job, w)
            while jobs and not jobs[0].held:
                jobs.pop(0)

    def watch_held(self) -> None:
        """Look at held jobs again soon."""
        if not self.pumping and any(self.held):
            self.pumping = True
            self.actions.append(i.SetTimer(TIMER_PUMP, self.look))

    def patience(self, job: Job) -> float:
        """Give the time from arrival after which a held job of usual length would end late."""
        return job.cls.aim + (job.cls.stretch - self.pace) * job.work * USUAL

    def out_of_time(self, job: Job) -> bool:
        """Say whether a held job can earn nothing any more."""
        cls = job.cls
        limit = cls.deadline if cls.late_share else self.patience(job)
        # The margin guards rule 1 until the next look, and against running on after the client has gone.
        return self.now >= min(job.deadline - self.look - 2 * self.s.tick - job.work, job.arrived + limit)

    def finish(self, job: Job, why: str = "") -> None:
        """Give the final answer: a refusal where trying again is harmless, else a failure."""
        self.close(job)
        cls = job.cls
        harmless = (
            cls.effect is Effect.SAFE
            or (job.ran_on is None and job.out == 0)
            or (cls.effect is Effect.KEYED and cls.scope is Scope.ALL)
        )
        self.actions.append(i.Refuse(job.id, self.come_back(), why) if harmless else i.Fail(job.id))

    def come_back(self) -> float:
        """Give the time in which our part of the fleet works off what we owe.

        Guards against clients that come back at once and keep a full fleet full; no answer waits for it.
        """
        if self.asks:  # all dispatchers see the same fleet, of which our own jobs tell too little
            return RETRY_LEAST + (RETRY_MOST - RETRY_LEAST) * min(1.0, self.pressure.now)
        power = self.power * self.claim
        owed = sum(job.work * job.slots for job in self.jobs.values())
        return min(max(owed / max(power, 1e-9), RETRY_LEAST), RETRY_MOST)

    def close(self, job: Job) -> None:
        """Mark a job as answered; its attempts may still be out."""
        job.done, job.held = True, False
        self.asking.pop(job.id, None)
        self.jobs.pop(job.id, None)

    def left(self, e: i.JobLeft | i.AnswerBegan) -> None:
        """Note that the client is gone, or that a streamed answer is its own now: nothing is owed."""
        if e.job in self.jobs:
            self.close(self.jobs[e.job])

    def noted(self, e: i.AttemptNoted) -> None:
        """Take a start: prompt, it shows a free slot and tries for one more; late, that there was none."""
        a = self.attempts.get((e.job, e.number))
        if a is None or not e.started or (e.job, e.number) not in self.waiting:
            return
        w = a.worker
        a.started = self.now
        del w.waiting[e.job, e.number], self.waiting[e.job, e.number]
        learning.saw_start(self, w, a.job.slots)
        w.running += a.job.slots
        self.running += a.job.slots
        delay = self.now - a.sent
        self.trips[w.zone] = min(self.trips[w.zone], delay)
        if delay <= self.trips[w.zone] + self.prompt:
            # Grows by the job's own slots, or jobs of many slots would never fit among those of one.
            w.limit = max(min(w.limit + a.job.slots, int(w.slots)), w.used + 1)
        else:
            w.limit = max(1, w.running)
            w.skip_until = max(w.skip_until, self.now + min(delay, LATE_SKIP * a.job.work))
        self.rotations.move(w)
        self.offer(w)

    def attempt_ended(self, e: i.AttemptEnded) -> None:
        """Take the end of an attempt."""
        a = self.attempts.pop((e.job, e.number), None)
        if a is None:
            return
        job, w, ending = a.job, a.worker, e.ending
        w.used, job.out = w.used - job.slots, job.out - 1
        w.waiting.pop((e.job, e.number), None)
        self.waiting.pop((e.job, e.number), None)
        if a.started is not None:
            learning.saw_end(self, a)
            w.running -= job.slots
            self.running -= job.slots
        if e.report and self.s.report_free_slots is not None:
            self.kinds[w.kind][3] = 1.0
            w.told, w.free = self.now, e.report[self.s.report_free_slots]
            learning.saw_slots(self, w, int(e.report[self.s.report_free_slots] * REPORT_TRUST))
        if ending is Ending.SERVED:
            w.proving = max(0, w.proving - 1)
            w.skip = w.skip if w.proving else 0.0
            if not w.proving:
                self.unproved.pop(w.name, None)
            learning.learn(self, a, self.now - (a.sent if a.started is None else a.started))
        elif ending in (Ending.ERROR, Ending.BROKEN):
            # A worker that fails jobs fast looks idle: it would draw those that follow.
            w.proving, w.skip = PROVE, max(FULL_SKIP, min(w.skip * 2, SKIP_MOST))
            self.unproved[w.name] = w
            w.skip_until = max(w.skip_until, self.now + w.skip)
        elif ending not in (Ending.NEVER_SENT, Ending.CANCELLED, Ending.CUT):  # not the worker's doing
            lost = AWAY * (self.now - a.sent) if ending is Ending.TIMED_OUT else FULL_SKIP
            lost = min(lost, GIVEN_UP) if self.asks else lost
            brief = ending is Ending.TIMED_OUT and self.now - a.sent < BRIEF
            w.skip = max(lost, w.skip if brief else min(w.skip * 2, SKIP_MOST))
            w.skip_until = self.now + w.skip
            w.limit = max(1, w.used)
        self.rotations.move(w)
        if ending not in i.NEVER_RAN and job.ran_on is None:
            job.ran_at, job.ran_on = a.sent, w
        if e.final:
            self.close(job)
        elif not job.done and job.out == 0:
            spent = job.sent >= self.s.max_attempts or self.now >= job.deadline - 2 * self.s.tick
            unsure = job.ran_on is not None and job.cls.effect is Effect.UNSAFE  # guards rule 2
            (self.finish if spent or unsure or ending is Ending.TIMED_OUT else self.place)(job)
        self.offer(w)
