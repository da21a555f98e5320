"""One dispatcher under test: the real engine and decisions on virtual time, with a stub transport."""

from __future__ import annotations

import random
from collections.abc import Callable

from twisted.internet.defer import Deferred

from benchmarks.scale.fleets import EPOCH
from elderstall.deadlines import Deadlines
from elderstall.engine import Engine
from elderstall.interface import Effect, Ending, Endpoint, JobClass, ListScope, Settings, Tenant
from elderstall.log import Log
from elderstall.messages import Answer, JobRequest, Outcome
from elderstall.simulation.loop import VirtualTime

MEAN_WORK_MS = 300.0
CLASSES = (
    JobClass("short", 2.0, 400.0, 5_000.0, stretch=2.0),
    JobClass("long", 5.0, 900.0, 15_000.0, Effect.NOT_IDEMPOTENT, stretch=2.5),
    JobClass("urgent", 10.0, 500.0, 4_500.0, Effect.NOT_IDEMPOTENT, stretch=1.5),
)


def settings_of(dispatchers: int, teams: int = 0, classes: int = len(CLASSES)) -> Settings:
    """Return settings for so many dispatchers, teams and classes; classes after the third are generated."""
    further = tuple(
        JobClass(f"class-{n}", 1.0 + n % 7, 400.0 + n, 5_000.0, stretch=2.0)
        for n in range(classes - len(CLASSES))
    )
    return Settings(
        CLASSES + further,
        tuple(Tenant(f"team-{n}", 11.0) for n in range(teams)),
        dispatchers=dispatchers,
        rank=7,
        zone="region-1-1",
        watches_list=True,
        slow_start_share=0.42,
        slow_start_duration=9_000.0,
        slow_start_multiple=4.0,
        slow_start_window=2_000.0,
        max_attempts=5,
        connect_timeout=250.0,
        report_free_slots=0,
        probes=True,
        tick=2.0,
    )


class FailingLog(Log):
    """A log that raises the errors reported to it and discards all other lines."""

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)

    def write(self, code: str, text: str) -> None:
        """Raise ``AssertionError`` for a line that reports a bug; discard any other line."""
        if code == "bug":
            raise AssertionError(text)

    def failure(self, what: str, error: BaseException | None) -> None:
        """Raise an error that the program has caught."""
        raise error or AssertionError(what)


class StubTransport:
    """A transport whose workers serve every job after its work and report free slots to every poll."""

    def __init__(self, deadlines: Deadlines, rng: random.Random) -> None:
        self.deadlines = deadlines
        self.rng = rng
        self.sent = self.polled = 0
        self.reached: set[str] = set()  # workers that received a job or a poll

    def send(
        self,
        worker: str,
        request: JobRequest,
        ends_at: float,
        on_progress: Callable[[float, str], None],
        forbidden_by: Callable[[], str | None],
    ) -> Deferred[Outcome | None]:
        """Start a job that ends after its work hint."""
        self.sent += 1
        self.reached.add(worker)
        done: Deferred[Outcome | None] = Deferred(lambda _: None)
        outcome = Outcome(Ending.SERVED, b"done", (2.0,))
        self.deadlines.after(request.work_hint or MEAN_WORK_MS, self.end, done, outcome)
        return done

    def end(self, done: Deferred[Outcome | None], outcome: Outcome) -> None:
        """End a job as served, unless it was cancelled."""
        if not done.called:
            done.callback(outcome)

    def poll_load(self, worker: str) -> Deferred[Outcome]:
        """Answer a poll with free slots."""
        self.polled += 1
        self.reached.add(worker)
        done: Deferred[Outcome] = Deferred()
        self.deadlines.after(1.0, done.callback, Outcome(Ending.SERVED, report=(2.0,)))
        return done

    def cancel_job(self, worker: str, request_id: str, confirmation_required: bool = True) -> Deferred[bool]:
        """Confirm the cancellation of a job."""
        done: Deferred[bool] = Deferred()
        self.deadlines.after(1.0, done.callback, True)
        return done

    def close_pool(self, worker: str) -> None:
        """Do nothing, as there are no connections."""


class StubClient:
    """A connected client that ignores its answer."""

    def answered(self, answer: Answer) -> None:
        """Ignore the answer."""

    def progressed(self, share: float, text: str) -> None:
        """Ignore progress."""

    def is_connected(self) -> bool:
        """Return that the client is connected."""
        return True


class DispatcherHarness:
    """One dispatcher with the endpoint list of a fleet, on its own virtual clock."""

    def __init__(self, settings: Settings, listed: tuple[Endpoint, ...], seed: int = 5) -> None:
        self.loop = VirtualTime()
        self.deadlines = Deadlines(self.loop, self.loop.seconds, EPOCH)
        self.rng = random.Random(seed)
        self.transport = StubTransport(self.deadlines, self.rng)
        self.engine = Engine(settings, seed, self.deadlines, self.transport, FailingLog())
        self.engine.endpoints.request_changes = lambda: self.engine.endpoints.handle_list_update(
            ListScope.CHANGES
        )
        self.jobs = 0
        self.engine.start(listed)

    def change(self, entry: Endpoint) -> None:
        """Apply one change of the endpoint list."""
        self.engine.endpoints.handle_list_update(ListScope.CHANGES, (entry,))

    def idle(self, duration_ms: float) -> None:
        """Advance the virtual time."""
        self.loop.run(self.loop.now + duration_ms)

    def submit_job(self) -> None:
        """Submit a client's job of a random class and tenant."""
        self.jobs += 1
        job_class = self.rng.choices(CLASSES, (6, 3, 1))[0]
        tenants = self.engine.settings.tenants
        tenant = self.rng.choice(tenants).name if tenants else None
        self.engine.accept(
            JobRequest(
                f"job-{self.jobs}",
                job_class.name,
                job_class.deadline,
                None,
                tenant,
                work_hint=self.rng.expovariate(1 / MEAN_WORK_MS) + 1.0,
            ),
            StubClient(),
        )

    def load(self, jobs: int, rate: float) -> None:
        """Submit jobs at random intervals, at a mean rate per second."""
        for _ in range(jobs):
            self.idle(self.rng.expovariate(rate / 1000))
            self.submit_job()

    @property
    def members(self) -> list[str]:
        """Return the names of the workers that the decisions know to be up."""
        return [name for name, worker in self.engine.decisions.endpoints.workers.items() if worker.up]

    def outside(self) -> list[str]:
        """Return the names of the listed workers that the decisions do not know to be up."""
        known = set(self.members)
        return [name for name in self.engine.view.entries if name not in known]
