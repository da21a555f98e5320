"""Clients: arrivals that wait for nobody, retries that heed advice or do not, early leavers."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, Protocol

from elderstall.client.budget import RetryBudget
from elderstall.client.policy import Action, Call, CallClass, NoAnswer, RetryPolicy, Send, Wait
from elderstall.client.policy import Answer as Reply
from elderstall.messages import Answer, Failed, Rejected, Served
from elderstall.simulation.draws import Choice, Draws
from elderstall.simulation.requests import Request, ServedAttempt, ServingHost, Try, TryAudit, TrySurroundings
from elderstall.simulation.scenario import Scenario, Traffic

if TYPE_CHECKING:
    from elderstall.simulation.loop import VirtualTime


class ClientAudit(TryAudit, Protocol):
    """The auditor, as clients report to it."""

    def taken(self, tried: Try) -> None:
        """Note that a dispatcher has a client's try."""

    def left(self, tried: Try) -> None:
        """Note that a client has left."""


class ClientTally(Protocol):
    """The counts of requests and their endings."""

    tries: int
    retries: int

    def count_request(self, request: Request) -> None:
        """Count a request."""

    def useful(self, attempt: ServedAttempt) -> None:
        """Book the core time of the attempt that served."""

    def ended(self, request: Request, at: float) -> None:
        """Count how a request ended."""


class ClientSurroundings(TrySurroundings, Protocol):
    """What clients need of the scenario that they are part of."""

    scenario: Scenario
    loop: VirtualTime
    draws: Draws
    explain: int | None
    explained: Request | None

    @property
    def audit(self) -> ClientAudit:
        """The auditor."""

    @property
    def tally(self) -> ClientTally:
        """The counts."""


class Clients:
    """All clients of a scenario."""

    def __init__(self, world: ClientSurroundings) -> None:
        self.world, self.scenario, self.spec = world, world.scenario, world.scenario.clients
        draws = world.draws
        self.count = 0
        self.open: dict[int, Request] = {}
        loads = self.scenario.classes
        self.shares = [c.share for c in loads]
        self.tails: dict[str, list[tuple[float, float]]] = {c.cls.name: [] for c in loads}  # chance, factor
        self.tokens = {t.name: (max(1.0, t.quota), 0.0) for t in self.scenario.tenants}
        self.quotas = {t.name: t.quota for t in self.scenario.tenants}
        self.waits = draws.uniform("client", "waits")
        self.joins = draws.uniform("client", "joins")
        self.library = Library(self) if self.spec.policy == "library" else None
        self.hop = draws.spread(self.scenario.network.jitter, "client", "hops")

    def begin(self, dispatcher_hosts: Sequence[ServingHost]) -> None:
        """Have requests arrive at every dispatcher, in proportion to their weights."""
        total = sum(dispatcher_host.weight for dispatcher_host in dispatcher_hosts)
        for dispatcher_host in dispatcher_hosts:
            if dispatcher_host.weight > 0:
                rate = self.scenario.load.rate * dispatcher_host.weight / total / 1000
                Arrivals(self, dispatcher_host, rate, "").next()

    def rush(
        self,
        dispatcher_hosts: Sequence[ServingHost],
        factor: float,
        ramp: float,
        at: float,
        length: float,
        name: str,
    ) -> None:
        """Have further requests come for a while: the others stay as they are."""
        total = sum(dispatcher_host.weight for dispatcher_host in dispatcher_hosts)
        for dispatcher_host in dispatcher_hosts:
            if dispatcher_host.weight > 0:
                rate = self.scenario.load.rate * (factor - 1) * dispatcher_host.weight / total / 1000
                Arrivals(self, dispatcher_host, rate, name, at, length, ramp).next()

    # ---- a request ----

    def arrive(self, dispatcher_host: ServingHost, source: Arrivals) -> None:
        """Make a request and send it."""
        world, now = self.world, self.world.loop.now
        self.count += 1
        n = source.choose()
        load = self.scenario.classes[n]
        request = Request(self.count, load, now)
        request.dispatcher_host = dispatcher_host
        request.work = next(source.works[n])
        for chance, factor in self.tails[load.cls.name]:
            if next(source.tail) < chance:
                request.work *= factor
        request.work = min(request.work, load.longest)
        if load.hint_spread is not None:
            request.hint = request.work * next(source.hints[n])
        if len(load.slots) > 1:
            request.slots = source.slots[n]() + 1
        if self.scenario.tenants:
            request.tenant = self.scenario.tenants[source.tenant()].name
            request.in_share = self.meter(request.tenant)
        rules = self.scenario.rules
        request.priority_weight = (
            load.cls.priority_weight
            * (request.work * request.slots if rules.worth_by_work else 1.0)
            * (1.0 if request.in_share else rules.over_share_worth)
        )
        habits = self.spec
        request.heeds = next(source.habits) < habits.honour
        request.retries = int(habits.retries) + (next(source.habits) < habits.retries % 1)
        if next(source.habits) < habits.impatient:
            request.leaves = now + next(source.habits) * load.cls.deadline
        self.open[request.number] = request
        world.tally.count_request(request)
        if self.count == world.explain:
            world.explained = request
        if request.leaves < request.deadline:
            world.loop.at(request.leaves, self.leave, request)
        if self.library is not None:
            self.library.begin(request)
        else:
            self.send(request)

    def meter(self, tenant: str) -> bool:
        """Say whether a tenant is within its share: a bucket of one second over all dispatchers."""
        (tokens, at), quota, now = self.tokens[tenant], self.quotas[tenant] / 1000, self.world.loop.now
        tokens = min(max(1.0, quota * 1000), tokens + (now - at) * quota)
        self.tokens[tenant] = (tokens - 1 if tokens >= 1 else tokens, now)
        return tokens >= 1

    def delay(self) -> float:
        """Draw the time of one way between a client and its dispatcher, ms."""
        mean = self.scenario.network.client_delay
        return mean * next(self.hop) if mean > 0 else 0.0

    def send(self, request: Request) -> None:
        """Send the next try."""
        request.tries += 1
        tried = Try(self.world, request, request.tries)
        request.current = tried
        delay = self.delay()
        if delay > 0:
            self.world.loop.after(delay, self.reach, tried)
        else:
            self.reach(tried)

    def reach(self, tried: Try) -> None:
        """Reach the dispatcher, if one is there."""
        request, dispatcher_host, world = tried.request, tried.request.dispatcher_host, self.world
        if request.ended is not None:
            return
        assert dispatcher_host is not None
        process = dispatcher_host.process
        if process is not None and dispatcher_host.lives > 1 and not tried.joined:
            # It was away: each client finds it again at a moment of its own.
            tried.joined = True
            back = dispatcher_host.since + self.spec.reconnect * next(self.joins)
            if back > world.loop.now:
                world.loop.at(min(back, request.deadline), self.reach, tried)
                return
        if process is None or process.leaving or world.loop.now >= request.deadline:
            tried.over = True
            self.unreachable(tried, taken=False)
            return
        tried.process = process
        world.tally.tries += 1
        world.audit.taken(tried)
        if not process.take(tried, max(0.0, request.deadline - world.loop.now)):
            tried.answered(Rejected())

    def heard(self, tried: Try, answer: Answer) -> None:
        """Hear the answer."""
        request, now = tried.request, self.world.loop.now + self.delay()
        if request.ended is not None:
            return
        if self.library is not None and not isinstance(answer, Served):
            self.library.answered(request, answer, now)
        elif isinstance(answer, Served):
            in_time = now <= request.latency_objective_at
            if tried.served_by is not None:
                self.world.tally.useful(tried.served_by)
            self.close(request, "served" if in_time else "late", now)
        elif isinstance(answer, Rejected):
            self.again(request, now, answer.retry_after, "refused")
        elif request.safe:
            self.again(request, now, 0.0, "timed out" if answer.timed_out else "failed")
        else:
            self.close(request, "timed out" if answer.timed_out else "failed", now)

    def unreachable(self, tried: Try, *, taken: bool) -> None:
        """Find nobody, or lose the dispatcher; what it had taken may have run."""
        request = tried.request
        if request.ended is not None:
            return
        if self.library is not None:
            self.library.lost(request, unsent=not taken)
        elif not taken or request.safe:
            self.again(request, self.world.loop.now, 0.0, "unreachable")
        else:
            self.close(request, "lost", self.world.loop.now)

    def again(self, request: Request, now: float, advice: float, why: str) -> None:
        """Try again after a wait, where that is still worth it."""
        spec = self.spec
        if request.tries > request.retries:
            self.close(request, why, now)
            return
        wait = spec.backoff * (2 ** (request.tries - 1) if spec.backoff_doubles else 1)
        wait *= 0.5 + next(self.waits)
        if request.heeds and advice > 0:
            wait = max(wait, min(advice, spec.longest_advice))
        if now + wait >= request.deadline:
            self.close(request, why, now)
            return
        self.world.tally.retries += 1
        self.world.loop.at(now + wait, self.send, request)

    def leave(self, request: Request) -> None:
        """Leave early."""
        if request.ended is None:
            self.close(request, "left", self.world.loop.now)
            tried = request.current
            if tried is not None and not tried.over and tried.process is not None and tried.process.alive:
                tried.over = True
                self.world.audit.left(tried)
                tried.process.engine.client_disconnected(tried.job)
                tried.process.answered.append(tried.request_id)

    def close(self, request: Request, ending: str, at: float) -> None:
        """End a request."""
        request.ended = ending
        if self.library is not None:
            self.library.ended(request)
        self.open.pop(request.number, None)
        self.world.tally.ended(request, at)


class Library:
    """The client library's decisions in place of plain habits: the very code that client processes run."""

    def __init__(self, clients: Clients) -> None:
        self.clients, self.world = clients, clients.world
        spec = clients.spec
        self.habits = RetryPolicy(max_attempts=spec.max_tries)
        # One budget for the clients of each dispatcher, as each client process has one.
        self.budgets = [RetryBudget(spec.retry_share) for _ in clients.scenario.dispatchers.weights]
        self.calls: dict[int, Call] = {}

    def begin(self, request: Request) -> None:
        """Start a request's call."""
        cls, dispatcher_host = request.load.cls, request.dispatcher_host
        assert dispatcher_host is not None
        call = self.calls[request.number] = Call(
            CallClass(cls.name, cls.deadline, request.safe),
            self.habits,
            self.budgets[dispatcher_host.rank],
            self.world.loop.now,
            lambda: "",
            self.clients.waits,
        )
        self.follow(request, call.begin(self.world.loop.now))

    def answered(self, request: Request, answer: Answer, now: float) -> None:
        """Take an answer that is no result."""
        if isinstance(answer, Rejected):
            advice = f"{answer.retry_after / 1000:.3f}" if answer.retry_after else None
            result = Reply(503, retry_after=advice)
        else:
            result = Reply(504 if isinstance(answer, Failed) and answer.timed_out else 502)
        self.follow(request, self.calls[request.number].on_result(now, result))

    def lost(self, request: Request, unsent: bool) -> None:
        """Take a try of which no answer came."""
        self.follow(request, self.calls[request.number].on_result(self.world.loop.now, NoAnswer(unsent)))

    def woken(self, request: Request) -> None:
        """Go on after a wait, unless the client has left."""
        if request.ended is None:
            self.follow(request, self.calls[request.number].on_wait_over(self.world.loop.now))

    def follow(self, request: Request, action: Action) -> None:
        """Do what the library says."""
        if isinstance(action, Send):
            self.world.tally.retries += action.is_retry
            self.clients.send(request)
        elif isinstance(action, Wait):
            self.world.loop.at(action.until, self.woken, request)
        else:
            self.clients.close(request, action.ending.value, self.world.loop.now)

    def ended(self, request: Request) -> None:
        """Forget a request's call."""
        self.calls.pop(request.number, None)


class Arrivals:
    """The requests of one source at one dispatcher: a Poisson process whose rate moves, by thinning."""

    def __init__(
        self,
        clients: Clients,
        dispatcher_host: ServingHost,
        rate: float,
        name: str,
        at: float = 0.0,
        length: float | None = None,
        ramp: float = 0.0,
    ) -> None:
        self.clients, self.dispatcher_host, self.rate, self.ramp = clients, dispatcher_host, rate, ramp
        world, scenario = clients.world, clients.scenario
        self.loop, self.load = world.loop, scenario.load
        self.at, self.end = at, min(scenario.length, math.inf if length is None else at + length)
        draws, words = world.draws, (dispatcher_host.name, name)
        self.gaps = draws.exponential("arrivals", *words)
        self.keep = draws.uniform("arrivals", "kept", *words)
        self.choose = Choice(clients.shares, draws.uniform("class", *words))
        self.works: list[Iterator[float]] = [
            draws.work(c.distribution, c.work, c.spread, "work", c.cls.name, *words) for c in scenario.classes
        ]
        self.hints = [
            draws.spread(c.hint_spread or 0.0, "hints", c.cls.name, *words) for c in scenario.classes
        ]
        self.slots = [Choice(c.slots, draws.uniform("slots", c.cls.name, *words)) for c in scenario.classes]
        self.tail = draws.uniform("tail", *words)
        self.habits = draws.uniform("habits", *words)
        self.tenant = Choice([t.share for t in scenario.tenants] or [1.0], draws.uniform("tenant", *words))
        self.most = peak(self.load)
        self.when = max(world.loop.now, at)

    def next(self) -> None:
        """Plan the next arrival."""
        mean = 1 / (self.rate * self.most) if self.rate > 0 else math.inf
        while True:
            self.when += next(self.gaps) * mean
            if not self.when < self.end:
                return
            if next(self.keep) * self.most < level(self.load, self.when) * self.risen():
                self.loop.at(self.when, self.come)
                return

    def risen(self) -> float:
        """Give the part of its height that a rush has reached."""
        if self.ramp <= 0:
            return 1.0
        return max(0.0, min(1.0, (self.when - self.at) / self.ramp, (self.end - self.when) / self.ramp))

    def come(self) -> None:
        """Arrive, and plan the next."""
        self.clients.arrive(self.dispatcher_host, self)
        self.next()


def level(load: Traffic, at: float) -> float:
    """Give the factor on the rate at a time: the shape, evenly between its points, and the swing."""
    value = 1.0
    points = load.shape
    if points:
        if at <= points[0][0]:
            value = points[0][1]
        elif at >= points[-1][0]:
            value = points[-1][1]
        else:
            n = next(k for k, point in enumerate(points) if point[0] > at)
            (a, x), (b, y) = points[n - 1], points[n]
            value = x + (y - x) * (at - a) / (b - a)
    return value * (1 + load.swing * math.sin(2 * math.pi * at / load.swing_period))


def peak(load: Traffic) -> float:
    """Give the most that the factor can be."""
    return max((y for _, y in load.shape), default=1.0) * (1 + load.swing)
