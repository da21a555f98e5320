"""A hollow dispatcher: the real core and module on virtual time, and a carrier that answers by itself."""

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

MEAN_WORK = 300.0  # ms
CLASSES = (
    JobClass("short", 2.0, 400.0, 5_000.0, stretch=2.0),
    JobClass("long", 5.0, 900.0, 15_000.0, Effect.NOT_IDEMPOTENT, stretch=2.5),
    JobClass("urgent", 10.0, 500.0, 4_500.0, Effect.NOT_IDEMPOTENT, stretch=1.5),
)


def settings_of(dispatchers: int, teams: int = 0, classes: int = len(CLASSES)) -> Settings:
    """Give settings of a size; further classes are like the first three."""
    more = tuple(
        JobClass(f"class-{n}", 1.0 + n % 7, 400.0 + n, 5_000.0, stretch=2.0)
        for n in range(classes - len(CLASSES))
    )
    return Settings(
        CLASSES + more,
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


class QuietLog(Log):
    """Keeps what must not happen, and raises it."""

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)

    def write(self, code: str, text: str) -> None:
        """Raise a fault of the program; leave the rest unsaid."""
        if code == "bug":
            raise AssertionError(text)

    def failure(self, what: str, error: BaseException | None) -> None:
        """Raise an error that the program has caught."""
        raise error or AssertionError(what)


class HollowCarrier:
    """Workers that take every job and end it after its work, and answer every question with room."""

    def __init__(self, deadlines: Deadlines, rng: random.Random) -> None:
        self.deadlines, self.rng = deadlines, rng
        self.sent = self.asked = 0
        self.reached: set[str] = set()  # workers that anything was sent to

    def send(
        self,
        worker: str,
        request: JobRequest,
        ends_at: float,
        on_progress: Callable[[float, str], None],
        forbidden_by: Callable[[], str | None],
    ) -> Deferred[Outcome | None]:
        """Run a job."""
        self.sent += 1
        self.reached.add(worker)
        done: Deferred[Outcome | None] = Deferred(lambda _: None)
        outcome = Outcome(Ending.SERVED, b"done", (2.0,))
        self.deadlines.after(request.work_hint or MEAN_WORK, self.end, done, outcome)
        return done

    def end(self, done: Deferred[Outcome | None], outcome: Outcome) -> None:
        """End a job, unless it was given up."""
        if not done.called:
            done.callback(outcome)

    def probe(self, worker: str) -> Deferred[Outcome]:
        """Answer a question."""
        self.asked += 1
        self.reached.add(worker)
        done: Deferred[Outcome] = Deferred()
        self.deadlines.after(1.0, done.callback, Outcome(Ending.SERVED, report=(2.0,)))
        return done

    def cancel_job(self, worker: str, request_id: str, confirmation_required: bool = True) -> Deferred[bool]:
        """Confirm that a job is given up."""
        done: Deferred[bool] = Deferred()
        self.deadlines.after(1.0, done.callback, True)
        return done

    def drop_idle(self, worker: str) -> None:
        """Have no connections to drop."""


class HollowClient:
    """Waits for one answer."""

    def answered(self, answer: Answer) -> None:
        """Take it."""

    def progressed(self, share: float, text: str) -> None:
        """Take news."""

    def is_connected(self) -> bool:
        """Stay."""
        return True


class HollowDispatcher:
    """One dispatcher with a fleet listed, on a clock of its own."""

    def __init__(self, settings: Settings, listed: tuple[Endpoint, ...], seed: int = 5) -> None:
        self.loop = VirtualTime()
        self.deadlines = Deadlines(self.loop, self.loop.seconds, EPOCH)
        self.rng = random.Random(seed)
        self.carrier = HollowCarrier(self.deadlines, self.rng)
        self.engine = Engine(settings, seed, self.deadlines, self.carrier, QuietLog())
        self.engine.endpoints.request_changes = lambda: self.engine.endpoints.take(ListScope.CHANGES)
        self.jobs = 0
        self.engine.start(listed)

    def change(self, entry: Endpoint) -> None:
        """Have discovery tell one change."""
        self.engine.endpoints.take(ListScope.CHANGES, (entry,))

    def idle(self, ms: float) -> None:
        """Let time pass."""
        self.loop.run(self.loop.now + ms)

    def job(self) -> None:
        """Take a client's job."""
        self.jobs += 1
        cls = self.rng.choices(CLASSES, (6, 3, 1))[0]
        tenants = self.engine.settings.tenants
        tenant = self.rng.choice(tenants).name if tenants else None
        self.engine.accept(
            JobRequest(
                f"job-{self.jobs}",
                cls.name,
                cls.deadline,
                None,
                tenant,
                work_hint=self.rng.expovariate(1 / MEAN_WORK) + 1.0,
            ),
            HollowClient(),
        )

    def load(self, jobs: int, rate: float) -> None:
        """Take so many jobs at so many a second."""
        for _ in range(jobs):
            self.idle(self.rng.expovariate(rate / 1000))
            self.job()

    @property
    def members(self) -> list[str]:
        """Name the workers that the module knows as up."""
        return [name for name, worker in self.engine.decisions.endpoints.workers.items() if worker.up]

    def outside(self) -> list[str]:
        """Name listed workers that the module does not know, where there are any."""
        known = set(self.members)
        return [name for name in self.engine.view.entries if name not in known]
