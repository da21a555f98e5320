"""Clients: open-loop arrivals, retries with or without regard to retry advice, early departures."""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, Protocol

from elderstall.client.budget import RetryBudget
from elderstall.client.policy import Action, Call, CallClass, NoAnswer, RetryPolicy, Send, Wait
from elderstall.client.policy import Answer as Reply
from elderstall.messages import Answer, Failed, Rejected, Served
from elderstall.simulation.draws import Choice, Draws
from elderstall.simulation.requests import (
    ClientDispatcherHost,
    Request,
    ServedAttempt,
    Try,
    TryAudit,
    TryContext,
)
from elderstall.simulation.scenario import Scenario, Traffic

if TYPE_CHECKING:
    from elderstall.simulation.loop import VirtualTime


class ClientAudit(TryAudit, Protocol):
    """The auditor's methods that clients call."""

    def record_received(self, client_try: Try) -> None:
        """Record that a try has reached a dispatcher, which may still reject it."""

    def record_client_left(self, client_try: Try) -> None:
        """Record that a client has left."""


class ClientTally(Protocol):
    """The counts of requests and their endings."""

    tries: int
    retries: int

    def count_request(self, request: Request) -> None:
        """Count a request."""

    def useful(self, attempt: ServedAttempt) -> None:
        """Count the core time of the attempt that served a request."""

    def ended(self, request: Request, at: float) -> None:
        """Count how a request ended."""


class ClientContext(TryContext, Protocol):
    """The parts of the simulation that clients use."""

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

    def __init__(self, world: ClientContext) -> None:
        self.world = world
        self.scenario = world.scenario
        self.spec = world.scenario.clients
        draws = world.draws
        self.count = 0
        self.open: dict[int, Request] = {}
        loads = self.scenario.classes
        self.shares = [c.share for c in loads]
        # Active heavy-tail faults by class: chance, factor.
        self.tails: dict[str, list[tuple[float, float]]] = {c.cls.name: [] for c in loads}
        self.tokens = {t.name: (max(1.0, t.quota), 0.0) for t in self.scenario.tenants}
        self.quotas = {t.name: t.quota for t in self.scenario.tenants}
        self.waits = draws.uniform("client", "waits")
        self.reconnect_delays = draws.uniform("client", "joins")
        self.library = Library(self) if self.spec.policy == "library" else None
        self.delay_factors = draws.lognormal_factors(self.scenario.network.jitter, "client", "hops")

    def begin(self, dispatcher_hosts: Sequence[ClientDispatcherHost]) -> None:
        """Start the arrivals at every dispatcher, in proportion to the weights."""
        total = sum(dispatcher_host.weight for dispatcher_host in dispatcher_hosts)
        for dispatcher_host in dispatcher_hosts:
            if dispatcher_host.weight > 0:
                rate = self.scenario.load.rate * dispatcher_host.weight / total / 1000
                Arrivals(self, dispatcher_host, rate, "").schedule_next()

    def add_arrivals(
        self,
        dispatcher_hosts: Sequence[ClientDispatcherHost],
        factor: float,
        ramp: float,
        at: float,
        length: float,
        name: str,
    ) -> None:
        """Add arrivals for a limited time; the random draws of the other arrivals do not change."""
        total = sum(dispatcher_host.weight for dispatcher_host in dispatcher_hosts)
        for dispatcher_host in dispatcher_hosts:
            if dispatcher_host.weight > 0:
                rate = self.scenario.load.rate * (factor - 1) * dispatcher_host.weight / total / 1000
                Arrivals(self, dispatcher_host, rate, name, at, length, ramp).schedule_next()

    # ---- a request ----

    def arrive(self, dispatcher_host: ClientDispatcherHost, source: Arrivals) -> None:
        """Create a request from its source's random streams, and send it."""
        world = self.world
        now = self.world.loop.now
        self.count += 1
        class_index = source.choose_class()
        load = self.scenario.classes[class_index]
        request = Request(self.count, load, now)
        request.dispatcher_host = dispatcher_host
        request.work = next(source.works[class_index])
        for chance, factor in self.tails[load.cls.name]:
            if next(source.tail) < chance:
                request.work *= factor
        request.work = min(request.work, load.longest)
        if load.hint_spread is not None:
            request.hint = request.work * next(source.hints[class_index])
        if len(load.slots) > 1:
            request.slots = source.slots[class_index]() + 1
        if self.scenario.tenants:
            request.tenant = self.scenario.tenants[source.tenant()].name
            request.within_quota = self.take_quota_token(request.tenant)
        rules = self.scenario.rules
        request.priority_weight = (
            load.cls.priority_weight
            * (request.work * request.slots if rules.worth_by_work else 1.0)
            * (1.0 if request.within_quota else rules.over_share_worth)
        )
        spec = self.spec
        request.honours_advice = next(source.behaviour_draws) < spec.honour
        request.retries = int(spec.retries) + (next(source.behaviour_draws) < spec.retries % 1)
        if next(source.behaviour_draws) < spec.impatient:
            request.leaves_at = now + next(source.behaviour_draws) * load.cls.deadline
        self.open[request.number] = request
        world.tally.count_request(request)
        if self.count == world.explain:
            world.explained = request
        if request.leaves_at < request.deadline:
            world.loop.at(request.leaves_at, self.disconnect, request)
        if self.library is not None:
            self.library.begin(request)
        else:
            self.send(request)

    def take_quota_token(self, tenant: str) -> bool:
        """Return whether a tenant is within its quota: a token bucket of one second for all dispatchers."""
        tokens, at = self.tokens[tenant]
        quota = self.quotas[tenant] / 1000
        now = self.world.loop.now
        tokens = min(max(1.0, quota * 1000), tokens + (now - at) * quota)
        self.tokens[tenant] = (tokens - 1 if tokens >= 1 else tokens, now)
        return tokens >= 1

    def delay(self) -> float:
        """Return a random one-way delay between a client and its dispatcher, ms."""
        mean = self.scenario.network.client_delay
        return mean * next(self.delay_factors) if mean > 0 else 0.0

    def send(self, request: Request) -> None:
        """Send the request's next try after the network delay."""
        request.tries += 1
        client_try = Try(self.world, request, request.tries)
        request.current = client_try
        delay = self.delay()
        if delay > 0:
            self.world.loop.after(delay, self.deliver, client_try)
        else:
            self.deliver(client_try)

    def deliver(self, client_try: Try) -> None:
        """Deliver a try to its dispatcher, if one accepts jobs."""
        request = client_try.request
        dispatcher_host = client_try.request.dispatcher_host
        world = self.world
        if request.ended is not None:
            return
        assert dispatcher_host is not None
        process = dispatcher_host.process
        if process is not None and dispatcher_host.process_count > 1 and not client_try.has_drawn_reconnect:
            # After a restart each try first waits until a random reconnection time; a retry draws a new one.
            client_try.has_drawn_reconnect = True
            back = dispatcher_host.process_started_at + self.spec.reconnect * next(self.reconnect_delays)
            if back > world.loop.now:
                world.loop.at(min(back, request.deadline), self.deliver, client_try)
                return
        if process is None or process.leaving or world.loop.now >= request.deadline:
            client_try.over = True
            self.unreachable(client_try, accepted=False)
            return
        client_try.process = process
        world.tally.tries += 1
        world.audit.record_received(client_try)
        if not process.accept(client_try, max(0.0, request.deadline - world.loop.now)):
            client_try.answered(Rejected())

    def handle_answer(self, client_try: Try, answer: Answer) -> None:
        """Handle the answer: close the request or schedule a retry."""
        request = client_try.request
        received_at = self.world.loop.now + self.delay()
        if request.ended is not None:
            return
        if self.library is not None and not isinstance(answer, Served):
            self.library.answered(request, answer, received_at)
        elif isinstance(answer, Served):
            in_time = received_at <= request.latency_objective_at
            if client_try.served_by is not None:
                self.world.tally.useful(client_try.served_by)
            self.close(request, "served" if in_time else "late", received_at)
        elif isinstance(answer, Rejected):
            self.retry(request, received_at, answer.retry_after, "refused")
        elif request.safe:
            self.retry(request, received_at, 0.0, "timed out" if answer.timed_out else "failed")
        else:
            self.close(request, "timed out" if answer.timed_out else "failed", received_at)

    def unreachable(self, client_try: Try, *, accepted: bool) -> None:
        """Handle a dispatcher that is absent or has ended; a try that it had accepted may have run."""
        request = client_try.request
        if request.ended is not None:
            return
        if self.library is not None:
            self.library.lost(request, unsent=not accepted)
        elif not accepted or request.safe:
            self.retry(request, self.world.loop.now, 0.0, "unreachable")
        else:
            self.close(request, "lost", self.world.loop.now)

    def retry(self, request: Request, now: float, advice: float, ending: str) -> None:
        """Schedule a retry after a backoff, or close the request if retries or time are used up."""
        spec = self.spec
        if request.tries > request.retries:
            self.close(request, ending, now)
            return
        wait = spec.backoff * (2 ** (request.tries - 1) if spec.backoff_doubles else 1)
        wait *= 0.5 + next(self.waits)
        if request.honours_advice and advice > 0:
            wait = max(wait, min(advice, spec.longest_advice))
        if now + wait >= request.deadline:
            self.close(request, ending, now)
            return
        self.world.tally.retries += 1
        self.world.loop.at(now + wait, self.send, request)

    def disconnect(self, request: Request) -> None:
        """Disconnect before the answer, and notify the dispatcher."""
        if request.ended is None:
            self.close(request, "left", self.world.loop.now)
            client_try = request.current
            if (
                client_try is not None
                and not client_try.over
                and client_try.process is not None
                and client_try.process.alive
            ):
                client_try.over = True
                self.world.audit.record_client_left(client_try)
                client_try.process.engine.client_disconnected(client_try.engine_job_id)
                client_try.process.answered.append(client_try.request_id)

    def close(self, request: Request, ending: str, at: float) -> None:
        """Close a request and count its ending."""
        request.ended = ending
        if self.library is not None:
            self.library.ended(request)
        self.open.pop(request.number, None)
        self.world.tally.ended(request, at)


class Library:
    """Clients that retry by the client library's policy; it runs the library's own code."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.world = clients.world
        spec = clients.spec
        self.habits = RetryPolicy(max_attempts=spec.max_tries)
        # One budget for each dispatcher's clients, as each client process has one.
        self.budgets = [RetryBudget(spec.retry_share) for _ in clients.scenario.dispatchers.weights]
        self.calls: dict[int, Call] = {}

    def begin(self, request: Request) -> None:
        """Start the library's call for a request."""
        cls = request.load.cls
        dispatcher_host = request.dispatcher_host
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
        """Pass an answer other than success to the library."""
        if isinstance(answer, Rejected):
            advice = f"{answer.retry_after / 1000:.3f}" if answer.retry_after else None
            result = Reply(503, retry_after=advice)
        else:
            result = Reply(504 if isinstance(answer, Failed) and answer.timed_out else 502)
        self.follow(request, self.calls[request.number].on_result(now, result))

    def lost(self, request: Request, unsent: bool) -> None:
        """Pass the loss of a try to the library."""
        self.follow(request, self.calls[request.number].on_result(self.world.loop.now, NoAnswer(unsent)))

    def woken(self, request: Request) -> None:
        """Continue after a backoff, unless the client has left."""
        if request.ended is None:
            self.follow(request, self.calls[request.number].on_wait_over(self.world.loop.now))

    def follow(self, request: Request, action: Action) -> None:
        """Carry out the library's next action."""
        if isinstance(action, Send):
            self.world.tally.retries += action.is_retry
            self.clients.send(request)
        elif isinstance(action, Wait):
            self.world.loop.at(action.until_ms, self.woken, request)
        else:
            self.clients.close(request, action.outcome.value, self.world.loop.now)

    def ended(self, request: Request) -> None:
        """Remove the library's call of a closed request."""
        self.calls.pop(request.number, None)


class Arrivals:
    """The arrivals of one source at one dispatcher: a Poisson process of variable rate, by thinning."""

    def __init__(
        self,
        clients: Clients,
        dispatcher_host: ClientDispatcherHost,
        rate: float,
        name: str,
        at: float = 0.0,
        length: float | None = None,
        ramp: float = 0.0,
    ) -> None:
        self.clients = clients
        self.dispatcher_host = dispatcher_host
        self.rate = rate
        self.ramp = ramp
        world = clients.world
        scenario = clients.scenario
        self.loop = world.loop
        self.load = scenario.load
        self.at = at
        self.end = min(scenario.length, math.inf if length is None else at + length)
        draws = world.draws
        words = (dispatcher_host.name, name)
        self.gaps = draws.exponential("arrivals", *words)
        self.thinning = draws.uniform("arrivals", "kept", *words)
        self.choose_class = Choice(clients.shares, draws.uniform("class", *words))
        self.works: list[Iterator[float]] = [
            draws.work(c.distribution, c.work, c.spread, "work", c.cls.name, *words) for c in scenario.classes
        ]
        self.hints = [
            draws.lognormal_factors(c.hint_spread or 0.0, "hints", c.cls.name, *words)
            for c in scenario.classes
        ]
        self.slots = [Choice(c.slots, draws.uniform("slots", c.cls.name, *words)) for c in scenario.classes]
        self.tail = draws.uniform("tail", *words)
        self.behaviour_draws = draws.uniform("habits", *words)
        self.tenant = Choice([t.share for t in scenario.tenants] or [1.0], draws.uniform("tenant", *words))
        self.max_rate_factor = max_rate_factor(self.load)
        self.next_at = max(world.loop.now, at)

    def schedule_next(self) -> None:
        """Schedule the next arrival, if there is one before the source's end."""
        mean = 1 / (self.rate * self.max_rate_factor) if self.rate > 0 else math.inf
        while True:
            self.next_at += next(self.gaps) * mean
            if not self.next_at < self.end:
                return
            if (
                next(self.thinning) * self.max_rate_factor
                < rate_factor(self.load, self.next_at) * self.ramp_fraction()
            ):
                self.loop.at(self.next_at, self.arrive)
                return

    def ramp_fraction(self) -> float:
        """Return the fraction of the full rate that the ramp has reached."""
        if self.ramp <= 0:
            return 1.0
        return max(0.0, min(1.0, (self.next_at - self.at) / self.ramp, (self.end - self.next_at) / self.ramp))

    def arrive(self) -> None:
        """Create the request that is due, and schedule the next."""
        self.clients.arrive(self.dispatcher_host, self)
        self.schedule_next()


def rate_factor(load: Traffic, at: float) -> float:
    """Return the factor on the rate at a time: the shape, linearly interpolated, times the swing."""
    value = 1.0
    points = load.shape
    if points:
        if at <= points[0][0]:
            value = points[0][1]
        elif at >= points[-1][0]:
            value = points[-1][1]
        else:
            n = next(k for k, point in enumerate(points) if point[0] > at)
            a, x = points[n - 1]
            b, y = points[n]
            value = x + (y - x) * (at - a) / (b - a)
    return value * (1 + load.swing * math.sin(2 * math.pi * at / load.swing_period))


def max_rate_factor(load: Traffic) -> float:
    """Return an upper bound of ``rate_factor``."""
    return max((y for _, y in load.shape), default=1.0) * (1 + load.swing)
