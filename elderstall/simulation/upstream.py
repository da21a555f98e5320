"""The carrier in memory: takes attempts to worker hosts over emulated connections, and reports how they end.

It stands where ``net/upstream/`` stands in a dispatcher and follows its rules on connections: the newest
free one is used, and one that has been free for long is closed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from elderstall.config import IDLE_TIMEOUT_FRACTION
from elderstall.interface import Ending, Endpoint, WorkerState
from elderstall.messages import JobRequest, Outcome
from elderstall.net.upstream.cancel_exchange import CANCEL_TIMEOUT_MS
from elderstall.simulation.attempt import Link, SimulatedAttempt, TargetHost, UpstreamOwner
from elderstall.simulation.loop import Call

if TYPE_CHECKING:
    from elderstall.simulation.requests import Try


class Pool:
    """The free connections to one worker host."""

    def __init__(self, worker_host: TargetHost, started: float | None) -> None:
        self.worker_host, self.started = worker_host, started
        self.idle: list[Link] = []  # the newest last
        self.timer: Call | None = None


class SimulatedUpstream:
    """The carrier of one dispatcher process; see ``messages.Carrier``."""

    def __init__(self, process: UpstreamOwner) -> None:
        self.process, self.world = process, process.world
        self.loop, self.network = process.world.loop, process.world.scenario.network
        self.keep = self.network.idle_close * IDLE_TIMEOUT_FRACTION
        self.pools: dict[str, Pool] = {}
        self.attempts: dict[str, SimulatedAttempt] = {}  # the newest of each id
        self.count = self.opening = 0

    # ---- messages.Carrier ----

    def send(
        self,
        worker: str,
        ask: JobRequest,
        ends: float,
        note: Callable[[float, str], None],
        forbidden_by: Callable[[], str | None],
    ) -> Deferred[Outcome | None]:
        """Start an attempt; here connections are up at once, and none is forbidden meanwhile."""
        pool = self.pools.get(worker)
        tried: Try = ask.original  # type: ignore[assignment]
        worker_host = self.world.worker_hosts[worker]
        left = ends - self.process.deadlines.now()
        attempt = SimulatedAttempt(self, worker_host, ask, tried.attempts, self.loop.now + left, note)
        tried.attempts += 1
        self.attempts[ask.request_id] = attempt
        self.world.audit.sent(attempt)
        if pool is None:
            attempt.finish(Outcome(Ending.UNREACHABLE))
        else:
            attempt.begin()
        return attempt.done

    def cancel_job(self, worker: str, request_id: str, confirmation_required: bool = True) -> Deferred[bool]:
        """Cancel an attempt at its worker."""
        done: Deferred[bool] = Deferred()
        attempt = self.attempts.get(request_id)
        if attempt is None or attempt.worker_host.name != worker:
            done.callback(False)
            return done
        self.world.audit.given_up(attempt)
        self.loop.after(attempt.worker_host.delay(), self.deliver_cancellation, attempt, done)
        return done

    def deliver_cancellation(self, attempt: SimulatedAttempt, done: Deferred[bool]) -> None:
        """Have a worker host hear that an attempt is given up; one out of reach is waited for a while."""
        worker_host = attempt.worker_host
        if self.world.reaches(self, worker_host) and not worker_host.model.paused:
            worker_host.cancel(attempt)
            self.loop.after(worker_host.delay(), done.callback, True)
        else:
            self.loop.after(CANCEL_TIMEOUT_MS, done.callback, False)

    def probe(self, worker: str) -> Deferred[Outcome]:
        """Ask a worker how it stands; its answer takes two trips, and a new connection's more."""
        done: Deferred[Outcome] = Deferred()
        worker_host, pool = self.world.worker_hosts[worker], self.pools.get(worker)
        if pool is None:
            done.callback(Outcome(Ending.UNREACHABLE))
            return done
        link = self.free_link(worker_host)
        if link is None:
            link = self.link_to(worker_host)
            worker_host.links.add(link)
            worker_host.model.connections = len(worker_host.links)
            worker_host.poke(worker_host.model.charge(self.loop.now, worker_host.kind.connection_work))
        self.world.tally.probes += 1
        trips = 2 if link.rested is not None else 2 * self.network.handshake_trips + 2
        self.loop.after(trips * worker_host.delay(), self.probed, worker_host, link, done)
        return done

    def probed(self, worker_host: TargetHost, link: Link, done: Deferred[Outcome]) -> None:
        """Hear a worker's answer to a question, or that it has none."""
        if not self.process.alive:
            link.close()
        elif link.open and not link.deaf and worker_host.model.up and self.world.reaches(self, worker_host):
            self.rest(link)
            done.callback(Outcome(Ending.SERVED, report=worker_host.report()))
        else:
            link.close()
            outcome = Outcome(Ending.TIMED_OUT, worker_unreachable=True)
            self.loop.after(self.network.connect_timeout, done.callback, outcome)

    def drop_idle(self, worker: str) -> None:
        """Drop the free connections to a worker."""
        if (pool := self.pools.get(worker)) is not None:
            self.drop(pool)

    # ---- pools ----

    def listed(self, entries: tuple[Endpoint, ...], whole: bool) -> None:
        """Follow the list as ``net.discovery`` has the pools do: a restart or an end drops one."""
        if whole:
            named = {e.worker for e in entries}
            for name in [name for name in self.pools if name not in named]:
                self.drop(self.pools.pop(name))
        for e in entries:
            pool = self.pools.get(e.worker)
            if e.state is WorkerState.GONE:
                if pool is not None:
                    self.drop(self.pools.pop(e.worker))
            elif pool is None or pool.started != e.started:
                if pool is not None:
                    self.drop(pool)
                self.pools[e.worker] = Pool(self.world.worker_hosts[e.worker], e.started)

    def link_to(self, worker_host: TargetHost) -> Link:
        """Make a connection."""
        self.count += 1
        self.world.tally.connections += 1
        return Link(self, worker_host, self.world.tally.connections)

    def free_link(self, worker_host: TargetHost) -> Link | None:
        """Take the newest free connection that may be used."""
        pool = self.pools.get(worker_host.name)
        return pool.idle.pop() if pool is not None and pool.idle else None

    def rest(self, link: Link) -> None:
        """Keep a connection that is free for a while."""
        pool = self.pools.get(link.worker_host.name)
        if pool is None or not link.open or link.deaf:
            link.close()
            return
        link.rested = self.loop.now
        pool.idle.append(link)
        if pool.timer is None:
            pool.timer = self.loop.after(self.keep, self.retire, pool)

    def retire(self, pool: Pool) -> None:
        """Close the connections that have been free for too long."""
        pool.timer = None
        while pool.idle and (pool.idle[0].rested or 0.0) + self.keep <= self.loop.now:
            pool.idle[0].close()
        if pool.idle:
            pool.timer = self.loop.at((pool.idle[0].rested or 0.0) + self.keep, self.retire, pool)

    def forget(self, link: Link) -> None:
        """Take a connection that has ended off its pool."""
        pool = self.pools.get(link.worker_host.name)
        if pool is not None and link in pool.idle:
            pool.idle.remove(link)

    def doubt(self, worker_host: TargetHost) -> None:
        """Drop the free connections to a worker host."""
        if (pool := self.pools.get(worker_host.name)) is not None:
            self.drop(pool)

    def drop(self, pool: Pool) -> None:
        """Close a pool's free connections."""
        for link in list(pool.idle):
            link.close()
        pool.idle.clear()

    def close(self) -> None:
        """Die with the process: every connection is reset."""
        for pool in self.pools.values():
            if pool.timer is not None:
                pool.timer.stop()
            for link in list(pool.idle):
                link.close()
        for attempt in list(self.attempts.values()):
            attempt.over = True
            for timer in attempt.timers:
                timer.stop()
            if attempt.link is not None:
                attempt.link.close()

    # ---- call-backs ----

    def called_back(self, attempt: SimulatedAttempt, outcome: Outcome) -> None:
        """Take the end that a worker reports; acted on only if it is of the live attempt."""
        engine = self.process.engine
        if not self.process.alive:
            return
        live = engine.jobs.live_attempt(attempt.ask.request_id, attempt.worker_host.name)
        if live is not None:
            self.process.audit_ended(attempt, outcome.ending)
            if outcome.ending is Ending.SERVED:
                attempt.tried.served_by = attempt
            engine.attempts.worker_ended(live, outcome)

    def noted(self, attempt: SimulatedAttempt, share: float, started: bool = False) -> None:
        """Take a start or progress."""
        engine = self.process.engine
        if not self.process.alive:
            return
        live = engine.jobs.live_attempt(attempt.ask.request_id, attempt.worker_host.name)
        if live is not None:
            engine.attempts.progressed(live, share, started=started)

    def ended(self, request_id: str) -> None:
        """Forget a job's attempts once it is answered."""
        self.attempts.pop(request_id, None)
