"""Live jobs, and the ids of jobs that this process or its peer has accepted."""

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

# Ids of closed jobs; a repeat of an evicted id is accepted as a new job. At 100 jobs/s one is kept for 41 s.
MAX_RECENT_IDS = 4_096
# Ids of the peer process of an upgrade: those that it has closed, and as many that it takes meanwhile.
MAX_PEER_PROCESS_IDS = 2 * MAX_RECENT_IDS


class TooManyJobsError(Exception):
    """The limit of live jobs is reached."""


class RepeatedIdError(Exception):
    """The id belongs to a live job, or to one that has been answered."""


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight. Times are clock readings, ms."""

    job: Job
    number: int
    worker: str
    sent_at: float
    ends_at: float
    state: AttemptState = AttemptState.SENT
    sending: Deferred[Outcome | None] | None = None
    timer: Deadline | None = None

    def advance(self, event: AttemptEvent) -> None:
        """Apply an event to the state; raises IllegalTransitionError."""
        self.state = next_state(ATTEMPT_TRANSITIONS, self.state, event)

    @property
    def is_accepted(self) -> bool:
        """Whether the worker has accepted the job, by its answer or by a call-back."""
        return self.state in (AttemptState.ACCEPTED, AttemptState.CONFIRMED)


@dataclass(slots=True, frozen=True)
class CancelBeforeSend:
    """A worker that may have accepted a failed attempt: it is told to cancel the job before the next one."""

    worker: str
    confirmation_required: bool  # else the job goes on without one, as the connection was closed early


@dataclass(slots=True, eq=False)
class Job:
    """A job that has not been answered. Times are clock readings, ms."""

    request: JobRequest
    client: Client
    cls: JobClass
    arrived: float
    deadline: float
    number: int = 0
    attempts: int = 0  # so far
    state: JobState = JobState.PENDING
    attempt: Attempt | None = None  # in flight
    deferred_send: SendAttempt | None = None  # decided, but waits for pending cancels
    pending_cancels: int = 0  # cancels that workers have not yet confirmed
    cancel_before_send: CancelBeforeSend | None = None
    may_have_run: bool = False
    ran_at: float = math.inf  # when the first attempt that may have run was sent
    may_call_back: set[str] = field(default_factory=set)  # workers of earlier attempts that may have run
    returned_by: set[str] = field(
        default_factory=set
    )  # workers that returned it unstarted, and may repeat that call-back
    deadline_guard: Deadline | None = None
    last_ending_detail: str = "never sent"  # how and where the latest attempt ended, for the log
    last_ending: str = "no time"  # reason in the figures; "no time": no attempt has ended

    def advance(self, event: JobEvent) -> None:
        """Apply an event to the state; raises IllegalTransitionError."""
        self.state = next_state(JOB_TRANSITIONS, self.state, event)

    @property
    def is_closed(self) -> bool:
        """Whether the job is finished here."""
        return self.state is JobState.CLOSED

    def start_attempt(self, attempt: Attempt) -> None:
        """Set the attempt in flight."""
        self.advance(JobEvent.FORWARDED)
        self.attempt = attempt

    def end_attempt(self, attempt: Attempt, ending: Ending) -> None:
        """Clear the attempt in flight, and record whether the job may have run."""
        self.advance(JobEvent.ATTEMPT_ENDED)
        self.attempt = None
        self.last_ending_detail = f"{ending.value}, attempt {attempt.number} at {attempt.worker}"
        self.last_ending = ending.value
        if attempt.timer is not None:
            attempt.timer.cancel()
        if ending not in NEVER_RAN:
            self.may_have_run = True
            self.ran_at = min(self.ran_at, attempt.sent_at)
            self.may_call_back.add(attempt.worker)
        elif attempt.is_accepted:
            self.returned_by.add(attempt.worker)  # it repeats the call-back until it is acknowledged


class RecentIds:
    """A bounded set of the most recent request ids."""

    def __init__(self, max_ids: int = MAX_RECENT_IDS) -> None:
        self.max_ids = max_ids
        # Newest last; an id that is added again keeps its place.
        self._ids: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._ids

    def __iter__(self) -> Iterator[str]:
        return iter(self._ids)

    def add(self, request_id: str) -> None:
        """Add an id, evicting the oldest if the set is full."""
        self._ids[request_id] = None
        if len(self._ids) > self.max_ids:
            self._ids.popitem(last=False)

    def clear(self) -> None:
        """Remove all ids."""
        self._ids.clear()

    def discard(self, request_id: str) -> None:
        """Remove an id, if present."""
        self._ids.pop(request_id, None)


class JobTable:
    """Live jobs by number and by request id, and recent ids whose jobs must not run again."""

    def __init__(self, max_open: int) -> None:
        self.live: Slots[Job] = Slots(max_open)
        self.by_request_id: dict[str, Job] = {}
        self.forwarded = RecentIds()  # of closed jobs that were sent to a worker
        # Of closed jobs that were not, in a set of their own: a client can have thousands rejected in a
        # second, which must not evict the ids of jobs that ran.
        self.never_forwarded = RecentIds()
        self.taken_by_other_process = RecentIds(MAX_PEER_PROCESS_IDS)  # the peer process of an upgrade
        self.on_accepted: Callable[[str], None] = lambda request_id: None

    def __len__(self) -> int:
        return len(self.live)

    def set_max_open(self, max_open: int) -> None:
        """Set the maximum number of live jobs."""
        self.live.max_items = min(max_open, SLOT_MASK)

    def get(self, number: int) -> Job | None:
        """Return the live job of a number, or None."""
        return self.live.get(number)

    def is_known(self, request_id: str) -> bool:
        """Return whether this process has accepted an id."""
        return (
            request_id in self.by_request_id
            or request_id in self.forwarded
            or request_id in self.never_forwarded
        )

    def check_new(self, request_id: str) -> None:
        """Raise RepeatedIdError or TooManyJobsError if a new job cannot be accepted."""
        if self.is_known(request_id) or request_id in self.taken_by_other_process:
            # Every request, even a retry, has an id of its own; a repeated id could run a job twice.
            raise RepeatedIdError(request_id)
        if self.live.is_full:
            raise TooManyJobsError

    def add(self, job: Job) -> None:
        """Add a job that this process has accepted, and assign its number."""
        self._insert(job)
        self.on_accepted(job.request.request_id)

    def import_job(self, job: Job) -> None:
        """Add a job that the peer process accepted, and assign its number."""
        self._insert(job)
        self.taken_by_other_process.discard(job.request.request_id)

    def _insert(self, job: Job) -> None:
        job.number = self.live.add(job)
        self.by_request_id[job.request.request_id] = job

    def remove(self, job: Job) -> None:
        """Remove a closed job and record its id."""
        self._remove(job)
        (self.forwarded if job.attempts else self.never_forwarded).add(job.request.request_id)

    def export_job(self, job: Job) -> None:
        """Remove a job that the peer process takes over."""
        self._remove(job)
        self.taken_by_other_process.add(job.request.request_id)

    def _remove(self, job: Job) -> None:
        self.live.remove(job.number)
        del self.by_request_id[job.request.request_id]

    @property
    def known_ids(self) -> list[str]:
        """The ids that must not be accepted again, for a successor; those to evict first come first."""
        return [*self.never_forwarded, *self.taken_by_other_process, *self.forwarded, *self.by_request_id]

    def live_attempt(self, request_id: str, worker: str) -> Attempt | None:
        """Return a request's attempt in flight at a worker, to match the worker's call-back, or None."""
        job = self.by_request_id.get(request_id)
        if job is None or job.attempt is None or job.attempt.worker != worker:
            return None
        return job.attempt
