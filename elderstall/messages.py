"""What fronts, the engine and transports say to each other: requests, answers, outcomes; no logic.

A front hands a ``JobRequest`` to the engine and is its ``Client``; an ``AttemptTransport`` takes attempts to
workers and reports their ``Outcome``. Times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from elderstall.interface import Ending


@dataclass(slots=True, frozen=True)
class JobRequest:
    """A job as a front took it."""

    request_id: str  # the client's id
    job_class: str
    budget: float  # ms from now that the client waits
    original: object  # the client's request as the front keeps it; passed through unread
    tenant: str | None = None
    key: str | None = None
    work_hint: float | None = None  # ms on a standard core
    slots: int = 1
    repeatable: bool = False  # running it twice does no harm


@dataclass(slots=True, frozen=True)
class Served:
    """Final answer: a worker's result."""

    result: bytes


@dataclass(slots=True, frozen=True)
class Rejected:
    """Final answer: rejected; trying again does no harm."""

    retry_after: float = 0.0  # ms


@dataclass(slots=True, frozen=True)
class Failed:
    """Final answer: failed, with no promise about what has run."""

    timed_out: bool = False  # whether time ran out


Answer = Served | Rejected | Failed


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt or a poll ended, as a transport saw it."""

    ending: Ending
    result: bytes = b""
    report: tuple[float, ...] = ()  # the worker's load report, in the order of the settings' fields
    maybe_accepted: bool = False  # the worker may have accepted the job, unseen: it is told to give it up
    worker_unreachable: bool = (
        False  # no connection came up, or a poll was not answered: see routing/reach.py
    )
    answer_begun: bool = False  # its answer had begun: without its word the job goes nowhere else


class Client(Protocol):
    """Whoever waits for a job's answer."""

    def answered(self, answer: Answer) -> None:
        """Take the one final answer."""

    def progressed(self, share: float, text: str) -> None:
        """Take the progress of an attempt: the share of its work that is done, 0 to 1, and a text."""

    def is_connected(self) -> bool:
        """Say whether the client is still there, as far as that can be seen without waiting."""


class AttemptTransport(Protocol):
    """What takes attempts to workers."""

    def send(
        self,
        worker: str,
        request: JobRequest,
        ends_at: float,
        on_progress: Callable[[float, str], None],
        forbidden_by: Callable[[], str | None],
    ) -> Deferred[Outcome | None]:
        """Start an attempt. Fires with its outcome, or None where the worker accepted it and will call back.

        ``ends_at`` is the reading of the clock at which the attempt's time is over: the worker is told what
        is left of it when the request is written, and one that is over by then is not written.

        Cancelling it gives the attempt up by closing its connection. ``forbidden_by`` names the rule that
        forbids it by now: asked where writing had to wait, before the first byte.
        """

    def cancel_job(self, worker: str, request_id: str, confirmation_required: bool = True) -> Deferred[bool]:
        """Have a worker give up a job that it may have accepted; fires with whether it confirmed that.

        Where the job can go on without its word, the wait is short (``confirmation_required`` is false).
        """

    def probe(self, worker: str) -> Deferred[Outcome]:
        """Poll a worker for its load report; fires with that, or with how the poll failed."""

    def drop_idle(self, worker: str) -> None:
        """Drop the idle connections to a worker: they lead to a process that is gone."""
