"""The simulated transport: sends attempts to worker hosts and reports how they end.

It replaces ``net/upstream/`` in a simulated dispatcher and follows its rules on connections: the newest
idle one is used, and one that has been idle for too long is closed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from elderstall.config import IDLE_TIMEOUT_FRACTION
from elderstall.interface import Ending, Endpoint, WorkerState
from elderstall.messages import JobRequest, Outcome
from elderstall.net.upstream.job_cancel import CANCEL_TIMEOUT_MS
from elderstall.simulation.attempt import (
    Link,
    SimulatedAttempt,
    UpstreamDispatcherProcess,
    UpstreamWorkerHost,
)
from elderstall.simulation.loop import Call

if TYPE_CHECKING:
    from elderstall.simulation.requests import Try


class Pool:
    """The idle connections to one worker host."""

    def __init__(self, worker_host: UpstreamWorkerHost, started: float | None) -> None:
        self.worker_host = worker_host
        self.worker_started = started  # start of the worker as listed
        self.idle: list[Link] = []  # the newest last
        self.timer: Call | None = None


class SimulatedUpstream:
    """The transport of one dispatcher process; implements ``messages.AttemptTransport``."""

    def __init__(self, process: UpstreamDispatcherProcess) -> None:
        self.process = process
        self.world = process.world
        self.loop = process.world.loop
        self.network = process.world.scenario.network
        self.idle_timeout_ms = self.network.idle_close * IDLE_TIMEOUT_FRACTION
        self.pools: dict[str, Pool] = {}
        self.attempts: dict[str, SimulatedAttempt] = {}  # the newest of each request id
        self.connection_count = self.opening_count = 0

    # ---- messages.AttemptTransport ----

    def send(
        self,
        worker: str,
        job_request: JobRequest,
        ends_at: float,
        on_progress: Callable[[float, str], None],
        forbidden_by: Callable[[], str | None],
    ) -> Deferred[Outcome | None]:
        """Start an attempt; see ``messages.AttemptTransport``.

        ``ends_at`` is on the dispatcher's clock; the attempt keeps its deadline on the loop's clock. Progress
        reaches the engine directly, so ``on_progress`` is not called. Nor is ``forbidden_by``, even if
        the job is written only once a new connection is open.
        """
        pool = self.pools.get(worker)
        client_try: Try = job_request.original  # type: ignore[assignment]
        worker_host = self.world.worker_hosts[worker]
        remaining_ms = ends_at - self.process.deadlines.now()
        attempt = SimulatedAttempt(
            self, worker_host, job_request, client_try.attempts, self.loop.now + remaining_ms, on_progress
        )
        client_try.attempts += 1
        self.attempts[job_request.request_id] = attempt
        self.world.audit.check_attempt(attempt)
        if pool is None:
            attempt.finish(Outcome(Ending.UNREACHABLE))
        else:
            attempt.begin()
        return attempt.done

    def cancel_job(self, worker: str, request_id: str, confirmation_required: bool = True) -> Deferred[bool]:
        """Cancel an attempt at its worker; fires with whether the worker confirmed it."""
        done: Deferred[bool] = Deferred()
        attempt = self.attempts.get(request_id)
        if attempt is None or attempt.worker_host.name != worker:
            done.callback(False)
            return done
        self.world.audit.record_abandoned(attempt)
        self.loop.after(attempt.worker_host.delay(), self.deliver_cancellation, attempt, done)
        return done

    def deliver_cancellation(self, attempt: SimulatedAttempt, done: Deferred[bool]) -> None:
        """Deliver a cancellation, or report False after a timeout if the worker is unreachable or paused."""
        worker_host = attempt.worker_host
        if self.world.reaches(self, worker_host) and not worker_host.model.paused:
            worker_host.cancel(attempt)
            self.loop.after(worker_host.delay(), done.callback, True)
        else:
            self.loop.after(CANCEL_TIMEOUT_MS, done.callback, False)

    def poll_load(self, worker: str) -> Deferred[Outcome]:
        """Poll a worker for its load report; a new connection adds the handshake's round trips.

        The limit on connections does not apply, and the connection opens even if the worker is paused.
        """
        done: Deferred[Outcome] = Deferred()
        worker_host = self.world.worker_hosts[worker]
        pool = self.pools.get(worker)
        if pool is None:
            done.callback(Outcome(Ending.UNREACHABLE))
            return done
        link = self.take_idle_link(worker_host)
        if link is None:
            link = self.new_link(worker_host)
            worker_host.links.add(link)
            worker_host.model.connections = len(worker_host.links)
            worker_host.process_events(
                worker_host.model.charge(self.loop.now, worker_host.kind.connection_work)
            )
        self.world.tally.probes += 1
        one_way_delays = 2 if link.idle_since is not None else 2 * self.network.handshake_trips + 2
        self.loop.after(one_way_delays * worker_host.delay(), self.poll_answered, worker_host, link, done)
        return done

    def poll_answered(self, worker_host: UpstreamWorkerHost, link: Link, done: Deferred[Outcome]) -> None:
        """Handle the answer to a poll, which times out if the worker is down, silent or cut off.

        A paused worker answers. The timeout starts when the answer was due. If the dispatcher process has
        ended, ``done`` never fires.
        """
        if not self.process.alive:
            link.close()
        elif (
            link.open
            and not link.unreachable
            and worker_host.model.up
            and self.world.reaches(self, worker_host)
        ):
            self.keep_idle(link)
            done.callback(Outcome(Ending.SERVED, report=worker_host.report()))
        else:
            link.close()
            outcome = Outcome(Ending.TIMED_OUT, worker_unreachable=True)
            self.loop.after(self.network.connect_timeout, done.callback, outcome)

    def close_pool(self, worker: str) -> None:
        """Close the idle connections to a worker."""
        if (pool := self.pools.get(worker)) is not None:
            self.drop(pool)

    # ---- pools ----

    def listed(self, entries: tuple[Endpoint, ...], whole: bool) -> None:
        """Update the pools from the list; a restarted or gone worker's idle connections are closed."""
        if whole:
            named = {entry.worker for entry in entries}
            for name in [name for name in self.pools if name not in named]:
                self.drop(self.pools.pop(name))
        for entry in entries:
            pool = self.pools.get(entry.worker)
            if entry.state is WorkerState.GONE:
                if pool is not None:
                    self.drop(self.pools.pop(entry.worker))
            elif pool is None or pool.worker_started != entry.started:
                if pool is not None:
                    self.drop(pool)
                self.pools[entry.worker] = Pool(self.world.worker_hosts[entry.worker], entry.started)

    def new_link(self, worker_host: UpstreamWorkerHost) -> Link:
        """Return a new connection to a worker host."""
        self.connection_count += 1
        self.world.tally.connections += 1
        return Link(self, worker_host, self.world.tally.connections)

    def take_idle_link(self, worker_host: UpstreamWorkerHost) -> Link | None:
        """Remove and return the newest idle connection, if there is one."""
        pool = self.pools.get(worker_host.name)
        return pool.idle.pop() if pool is not None and pool.idle else None

    def keep_idle(self, link: Link) -> None:
        """Return a connection to its pool until its idle timeout ends."""
        pool = self.pools.get(link.worker_host.name)
        if pool is None or not link.open or link.unreachable:
            link.close()
            return
        link.idle_since = self.loop.now
        pool.idle.append(link)
        if pool.timer is None:
            pool.timer = self.loop.after(self.idle_timeout_ms, self.close_expired, pool)

    def close_expired(self, pool: Pool) -> None:
        """Close the connections whose idle timeout has ended."""
        pool.timer = None
        while pool.idle and (pool.idle[0].idle_since or 0.0) + self.idle_timeout_ms <= self.loop.now:
            pool.idle[0].close()
        if pool.idle:
            pool.timer = self.loop.at(
                (pool.idle[0].idle_since or 0.0) + self.idle_timeout_ms, self.close_expired, pool
            )

    def remove_from_pool(self, link: Link) -> None:
        """Remove a closed connection from its pool."""
        pool = self.pools.get(link.worker_host.name)
        if pool is not None and link in pool.idle:
            pool.idle.remove(link)

    def drop_idle_to(self, worker_host: UpstreamWorkerHost) -> None:
        """Close the idle connections to a worker host."""
        if (pool := self.pools.get(worker_host.name)) is not None:
            self.drop(pool)

    def drop(self, pool: Pool) -> None:
        """Close a pool's idle connections."""
        for link in list(pool.idle):
            link.close()
        pool.idle.clear()

    def close(self) -> None:
        """Close every connection and stop every timer, as the process has ended."""
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
        """Handle the ending that a worker reports; ignored unless the attempt is the live one."""
        engine = self.process.engine
        if not self.process.alive:
            return
        live = engine.jobs.live_attempt(attempt.job_request.request_id, attempt.worker_host.name)
        if live is not None:
            self.process.audit_ended(attempt, outcome.ending)
            if outcome.ending is Ending.SERVED:
                attempt.client_try.served_by = attempt
            engine.attempts.worker_ended(live, outcome)

    def progress_reported(self, attempt: SimulatedAttempt, share: float, started: bool = False) -> None:
        """Handle a start or progress that a worker reports."""
        engine = self.process.engine
        if not self.process.alive:
            return
        live = engine.jobs.live_attempt(attempt.job_request.request_id, attempt.worker_host.name)
        if live is not None:
            engine.attempts.progressed(live, share, started=started)

    def ended(self, request_id: str) -> None:
        """Remove the attempts of an answered job."""
        self.attempts.pop(request_id, None)
