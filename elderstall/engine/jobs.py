"""The jobs that are owed an answer, and the ids of those that were taken here or elsewhere."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from elderstall.deadlines import Deadline
from elderstall.engine.lifecycle import (
    ATTEMPT_TRANSITIONS,
    JOB_TRANSITIONS,
    AttemptEvent,
    AttemptState,
    JobEvent,
    JobState,
    next_state,
)
from elderstall.interface import NEVER_RAN, Ending, JobClass, SendAttempt
from elderstall.messages import Client, JobRequest, Outcome
from elderstall.slots import SLOT_MASK, Slots

REMEMBERED_IDS = 4_096  # of answered jobs: minutes of them at the rates known


class TooManyJobsError(Exception):
    """No more jobs are taken."""


class RepeatedIdError(Exception):
    """The id is that of a live job, or of one that has had its answer."""


@dataclass(slots=True, eq=False)
class Attempt:
    """The attempt of a job that is in flight. Times are readings of the clock, ms."""

    job: Job
    number: int
    worker: str
    sent_at: float
    ends_at: float
    state: AttemptState = AttemptState.SENT
    sending: Deferred[Outcome | None] | None = None
    timer: Deadline | None = None

    def advance(self, event: AttemptEvent) -> None:
        """Change its state."""
        self.state = next_state(ATTEMPT_TRANSITIONS, self.state, event)

    @property
    def accepted(self) -> bool:
        """Whether the worker has said, in any way, that it has the job."""
        return self.state in (AttemptState.ACCEPTED, AttemptState.CONFIRMED)


@dataclass(slots=True, eq=False)
class Job:
    """A job that is owed an answer. Times are readings of the clock, ms."""

    request: JobRequest
    client: Client
    cls: JobClass
    arrived: float
    deadline: float
    number: int = 0
    attempts: int = 0  # made so far
    state: JobState = JobState.PENDING
    attempt: Attempt | None = None  # in flight
    deferred_send: SendAttempt | None = None  # decided, and waits for cancels
    cancels: int = 0  # attempts given up whose workers have not yet confirmed it
    cancel_first: str | None = None  # a worker that said nothing is told before the next attempt
    may_have_run: bool = False
    ran_at: float = math.inf  # when the first attempt that may have run was sent
    may_still_speak: set[str] = field(default_factory=set)  # workers, of an earlier attempt
    handed_back: set[str] = field(default_factory=set)  # workers that have, and may say so again
    guard: Deadline | None = None
    last_end: str = "never sent"  # how its latest attempt ended, and where; for the log
    last_ending: str = "no time"  # the same in a word, for the figures; before any: why it had to go

    def advance(self, event: JobEvent) -> None:
        """Change its state."""
        self.state = next_state(JOB_TRANSITIONS, self.state, event)

    @property
    def closed(self) -> bool:
        """Whether nothing is owed any more."""
        return self.state is JobState.CLOSED

    def start_attempt(self, attempt: Attempt) -> None:
        """Take a new attempt."""
        self.advance(JobEvent.FORWARDED)
        self.attempt = attempt

    def end_attempt(self, attempt: Attempt, ending: Ending) -> None:
        """Take the attempt off, and note what its end leaves open."""
        self.advance(JobEvent.ATTEMPT_ENDED)
        self.attempt = None
        self.last_end = f"{ending.value}, attempt {attempt.number} at {attempt.worker}"
        self.last_ending = ending.value
        if attempt.timer is not None:
            attempt.timer.cancel()
        if ending not in NEVER_RAN:
            self.may_have_run, self.ran_at = True, min(self.ran_at, attempt.sent_at)
            self.may_still_speak.add(attempt.worker)
        elif attempt.accepted:
            self.handed_back.add(attempt.worker)  # it calls again until it is answered


class RecentIds:
    """The latest ids of some kind, up to a bound."""

    def __init__(self, most: int = REMEMBERED_IDS) -> None:
        self.most = most
        self._ids: OrderedDict[str, None] = OrderedDict()  # the latest last

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._ids

    def __iter__(self) -> Iterator[str]:
        return iter(self._ids)

    def add(self, request_id: str) -> None:
        """Remember an id; the oldest is forgotten for it."""
        self._ids[request_id] = None
        if len(self._ids) > self.most:
            self._ids.popitem(last=False)

    def clear(self) -> None:
        """Forget all ids."""
        self._ids.clear()

    def discard(self, request_id: str) -> None:
        """Forget an id."""
        self._ids.pop(request_id, None)


class JobTable:
    """All live jobs by number and by their clients' ids, and the ids of others that must not run again."""

    def __init__(self, max_open: int) -> None:
        self.live: Slots[Job] = Slots(max_open)
        self.by_request_id: dict[str, Job] = {}
        self.answered = RecentIds()
        self.taken_by_other_process = RecentIds()  # by the other process of an upgrade
        self.on_taken: Callable[[str], None] = lambda request_id: None

    def __len__(self) -> int:
        return len(self.live)

    def limit(self, max_open: int) -> None:
        """Take no more than so many jobs at once."""
        self.live.max_items = min(max_open, SLOT_MASK)

    def get(self, number: int) -> Job | None:
        """Find a live job by its number."""
        return self.live.get(number)

    def knows(self, request_id: str) -> bool:
        """Say whether this process took an id."""
        return request_id in self.by_request_id or request_id in self.answered

    def check_new(self, request_id: str) -> None:
        """Raise RepeatedIdError or TooManyJobsError where a new job cannot be taken."""
        if self.knows(request_id) or request_id in self.taken_by_other_process:
            # Guards against a second run under another client's id: every request, a retry too, has its own.
            raise RepeatedIdError(request_id)
        if self.live.full:
            raise TooManyJobsError

    def add(self, job: Job) -> None:
        """Add a job that this process took, and number it."""
        self._insert(job)
        self.on_taken(job.request.request_id)

    def import_job(self, job: Job) -> None:
        """Add a job that another process took, and number it."""
        self._insert(job)
        self.taken_by_other_process.discard(job.request.request_id)

    def _insert(self, job: Job) -> None:
        job.number = self.live.add(job)
        self.by_request_id[job.request.request_id] = job

    def remove(self, job: Job) -> None:
        """Take a job off that has had its answer."""
        self._take_off(job)
        self.answered.add(job.request.request_id)

    def export_job(self, job: Job) -> None:
        """Take a job off that another process goes on with."""
        self._take_off(job)
        self.taken_by_other_process.add(job.request.request_id)

    def _take_off(self, job: Job) -> None:
        self.live.remove(job.number)
        del self.by_request_id[job.request.request_id]

    def live_attempt(self, request_id: str, worker: str) -> Attempt | None:
        """Find the attempt in flight of a client's id at a worker, for what the worker calls back."""
        job = self.by_request_id.get(request_id)
        if job is None or job.attempt is None or job.attempt.worker != worker:
            return None
        return job.attempt
