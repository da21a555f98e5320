"""The carrier in memory: takes attempts to machines over emulated connections, and tells how they end.

It stands where ``net/workers.py`` stands in a dispatcher and follows its rules on connections: the newest
free one is used, a job is given up when its worker does not say that it has it, and what was not written has
not run.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from elderstall.config import IDLE_PART
from elderstall.interface import Ending, Endpoint, WorkerState
from elderstall.messages import JobRequest, Outcome
from elderstall.net.workers import ACCEPT_SOON, ACCEPT_WAIT, RECALL_WAIT, STALE_WITHIN
from elderstall.simulation.loop import Call

if TYPE_CHECKING:
    from elderstall.simulation.clients import Request, Try
    from elderstall.simulation.machine import Machine
    from elderstall.simulation.station import Process
    from elderstall.simulation.worker import Task


class Link:
    """One connection between a dispatcher and a machine."""

    def __init__(self, wire: Wire, machine: Machine, number: int) -> None:
        self.wire, self.machine, self.number = wire, machine, number
        self.open, self.deaf = True, False
        self.rested: float | None = None
        self.errand: Errand | None = None

    def close(self) -> None:
        """End it from the dispatcher's side, or for both."""
        if self.open:
            self.open = False
            self.wire.count -= 1
            self.machine.links.discard(self)
            self.machine.model.connections = len(self.machine.links)
            self.wire.forget(self)

    def reset(self) -> None:
        """End it from the machine's side; whoever waits on it hears of that a moment later."""
        errand = self.errand
        self.close()
        if errand is not None:
            self.machine.world.loop.after(self.machine.delay(), errand.broke)


class Errand:
    """One attempt on its way: what the core sent, and how it goes."""

    def __init__(
        self,
        wire: Wire,
        machine: Machine,
        ask: JobRequest,
        number: int,
        ends: float,
        note: Callable[[float, str], None],
    ) -> None:
        self.wire, self.machine, self.ask, self.number, self.ends, self.note = (
            wire,
            machine,
            ask,
            number,
            ends,
            note,
        )
        self.done: Deferred[Outcome | None] = Deferred(self.give_up)
        self.link: Link | None = None
        self.written = self.over = False
        self.unused = 0.0  # ms that its connection was free before
        self.wrote_at = 0.0
        self.timers: list[Call] = []
        self.task: Task | None = None

    @property
    def tried(self) -> Try:
        """The client's try whose attempt this is."""
        return self.ask.original  # type: ignore[return-value]

    @property
    def job(self) -> Request:
        """The request behind it."""
        return self.tried.request

    def finish(self, outcome: Outcome | None) -> None:
        """Tell the core, once."""
        if self.over:
            return
        self.over = True
        for timer in self.timers:
            timer.stop()
        if outcome is not None:
            self.wire.process.audit_ended(self, outcome.ending)
        self.done.callback(outcome)

    # ---- connecting ----

    def begin(self) -> None:
        """Go over the newest free connection, or a new one."""
        wire, loop, network = self.wire, self.wire.loop, self.wire.network
        wait = ACCEPT_SOON if self.ask.repeatable else ACCEPT_WAIT
        link = wire.free_link(self.machine)
        if link is None:
            if wire.count + wire.opening >= network.worker_connections:
                self.finish(Outcome(Ending.UNREACHABLE))
                return
            wire.opening += 1
            self.timers.append(loop.after(network.connect_timeout, self.refused))
        # The limit on the worker's word runs from the start, as it does on sockets.
        self.timers.append(loop.after(network.connect_timeout * wait, self.silent))
        if link is not None:
            self.unused = loop.now - (link.rested or loop.now)
            self.write(link)
        else:
            loop.after(self.machine.delay(), self.machine.connect, self)

    def refused(self) -> None:
        """Note that no connection came up."""
        if not self.over and self.link is None:
            self.wire.opening -= 1
            self.finish(Outcome(Ending.UNREACHABLE, unreached=True))

    def up(self, link: Link) -> None:
        """Take the connection that came up, unless nobody waits for it any more."""
        if self.over:
            link.close()
            return
        self.wire.opening -= 1
        self.timers[0].stop()
        if not link.open:
            self.finish(Outcome(Ending.UNREACHABLE))
        else:
            self.write(link)

    def write(self, link: Link) -> None:
        """Write the job; from its last byte on it may run."""
        self.link, self.written, self.wrote_at = link, True, self.wire.loop.now
        link.errand = self
        self.wire.process.engine.count_written()
        self.wire.process.world.tally.attempts += 1
        self.wire.loop.after(self.machine.delay(), self.machine.receive, self, link)

    # ---- how it ends ----

    def answered(self, outcome: Outcome | None) -> None:
        """Hear the answer on the connection."""
        link, self.link = self.link, None
        if link is not None and link.errand is self:
            link.errand = None
            if self.over:
                link.close()
            else:
                self.wire.rest(link)
        self.finish(outcome)

    def broke(self) -> None:
        """Hear that the connection is gone."""
        link, self.link = self.link, None
        if link is not None:
            link.errand = None
            link.close()
        self.finish(Outcome(self.ending()))

    def ending(self) -> Ending:
        """Name a break: whether it ran, and whether a kept connection had gone before it."""
        if not self.written:
            return Ending.UNREACHABLE
        quick = self.wire.loop.now - self.wrote_at <= STALE_WITHIN
        return Ending.STALE_CONNECTION if quick and self.unused > 0 else Ending.BROKEN

    def silent(self) -> None:
        """Give a worker up that does not say it has the job; free connections there may be as dead."""
        if not self.over:
            self.wire.doubt(self.machine)
            ending = Ending.BROKEN if self.written else Ending.UNREACHABLE
            self.leave()
            self.finish(Outcome(ending))

    def give_up(self, _: object) -> None:
        """Close the connection, as the core has cancelled the attempt."""
        if not self.over:
            self.over = True
            for timer in self.timers:
                timer.stop()
            self.wire.process.world.audit.given_up(self)
            self.leave()

    def leave(self) -> None:
        """Close what carries the attempt; the machine hears of that."""
        if self.link is None:
            if not self.written:
                self.wire.opening -= 1
            return
        link, self.link = self.link, None
        link.errand = None
        link.close()
        machine = self.machine
        if self.wire.process.world.reaches(self.wire, machine):
            self.wire.loop.after(machine.delay(), machine.cancel, self)


class Pool:
    """The free connections to one machine."""

    def __init__(self, machine: Machine, started: float | None) -> None:
        self.machine, self.started = machine, started
        self.idle: list[Link] = []  # the newest last
        self.timer: Call | None = None


class Wire:
    """The carrier of one dispatcher process; see ``messages.Carrier``."""

    def __init__(self, process: Process) -> None:
        self.process, self.world = process, process.world
        self.loop, self.network = process.world.loop, process.world.night.network
        self.keep = self.network.idle_close * IDLE_PART
        self.pools: dict[str, Pool] = {}
        self.errands: dict[str, Errand] = {}  # the newest of each id
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
        """Start an attempt; here connections are up at once, and none is barred meanwhile."""
        pool = self.pools.get(worker)
        tried: Try = ask.original  # type: ignore[assignment]
        machine = self.world.machines[worker]
        left = ends - self.process.deadlines.now()
        errand = Errand(self, machine, ask, tried.attempts, self.loop.now + left, note)
        tried.attempts += 1
        self.errands[ask.request_id] = errand
        self.world.audit.sent(errand)
        if pool is None:
            errand.finish(Outcome(Ending.UNREACHABLE))
        else:
            errand.begin()
        return errand.done

    def cancel_job(self, worker: str, request_id: str, patient: bool = True) -> Deferred[bool]:
        """Tell a worker to give an attempt up."""
        done: Deferred[bool] = Deferred()
        errand = self.errands.get(request_id)
        if errand is None or errand.machine.name != worker:
            done.callback(False)
            return done
        self.world.audit.given_up(errand)
        self.loop.after(errand.machine.delay(), self.told, errand, done)
        return done

    def told(self, errand: Errand, done: Deferred[bool]) -> None:
        """Have a machine hear that an attempt is given up; one out of reach is waited for a while."""
        machine = errand.machine
        if self.world.reaches(self, machine) and not machine.model.paused:
            machine.cancel(errand)
            self.loop.after(machine.delay(), done.callback, True)
        else:
            self.loop.after(RECALL_WAIT, done.callback, False)

    def probe(self, worker: str) -> Deferred[Outcome]:
        """Ask a worker how it stands; its answer takes two trips, and a new connection's more."""
        done: Deferred[Outcome] = Deferred()
        machine, pool = self.world.machines[worker], self.pools.get(worker)
        if pool is None:
            done.callback(Outcome(Ending.UNREACHABLE))
            return done
        link = self.free_link(machine)
        if link is None:
            link = self.link_to(machine)
            machine.links.add(link)
            machine.model.connections = len(machine.links)
            machine.poke(machine.model.charge(self.loop.now, machine.kind.connection_work))
        self.world.tally.probes += 1
        trips = 2 if link.rested is not None else 2 * self.network.handshake_trips + 2
        self.loop.after(trips * machine.delay(), self.probed, machine, link, done)
        return done

    def probed(self, machine: Machine, link: Link, done: Deferred[Outcome]) -> None:
        """Hear a worker's answer to a question, or that it has none."""
        if not self.process.alive:
            link.close()
        elif link.open and not link.deaf and machine.model.up and self.world.reaches(self, machine):
            self.rest(link)
            done.callback(Outcome(Ending.SERVED, report=machine.report()))
        else:
            link.close()
            outcome = Outcome(Ending.TIMED_OUT, unreached=True)
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
                self.pools[e.worker] = Pool(self.world.machines[e.worker], e.started)

    def link_to(self, machine: Machine) -> Link:
        """Make a connection."""
        self.count += 1
        self.world.tally.connections += 1
        return Link(self, machine, self.world.tally.connections)

    def free_link(self, machine: Machine) -> Link | None:
        """Take the newest free connection that may be used."""
        pool = self.pools.get(machine.name)
        return pool.idle.pop() if pool is not None and pool.idle else None

    def rest(self, link: Link) -> None:
        """Keep a connection that is free for a while."""
        pool = self.pools.get(link.machine.name)
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
        pool = self.pools.get(link.machine.name)
        if pool is not None and link in pool.idle:
            pool.idle.remove(link)

    def doubt(self, machine: Machine) -> None:
        """Drop the free connections to a machine."""
        if (pool := self.pools.get(machine.name)) is not None:
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
        for errand in list(self.errands.values()):
            errand.over = True
            for timer in errand.timers:
                timer.stop()
            if errand.link is not None:
                errand.link.close()

    # ---- call-backs ----

    def called_back(self, errand: Errand, outcome: Outcome) -> None:
        """Take the end that a worker tells; acted on only if it is of the live attempt."""
        engine = self.process.engine
        if not self.process.alive:
            return
        attempt = engine.jobs.live_attempt(errand.ask.request_id, errand.machine.name)
        if attempt is not None:
            self.process.audit_ended(errand, outcome.ending)
            if outcome.ending is Ending.SERVED:
                errand.tried.served_by = errand
            engine.attempts.worker_ended(attempt, outcome)

    def noted(self, errand: Errand, share: float, started: bool = False) -> None:
        """Take a start or progress."""
        engine = self.process.engine
        if (
            self.process.alive
            and (attempt := engine.jobs.live_attempt(errand.ask.request_id, errand.machine.name)) is not None
        ):
            engine.attempts.progressed(attempt, share, started=started)

    def ended(self, request_id: str) -> None:
        """Forget a job's attempts once it is answered."""
        self.errands.pop(request_id, None)
