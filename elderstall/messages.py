"""Messages and interfaces between listeners, the engine and transports: requests, answers and outcomes.

A listener submits a ``JobRequest`` to the engine on behalf of a ``Client``; an ``AttemptTransport`` sends
attempts to workers and reports their ``Outcome``. Times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from twisted.internet.defer import Deferred

from elderstall.interface import Ending


@dataclass(slots=True, frozen=True)
class JobRequest:
    """A job as accepted by a listener."""

    request_id: str  # chosen by the client
    job_class: str
    budget: float  # ms from now for which the client waits
    original: object  # the client's request in the listener's form; opaque to the engine
    tenant: str | None = None
    key: str | None = None
    work_hint: float | None = None  # ms on a standard core
    slots: int = 1
    repeatable: bool = False  # running it twice is harmless


@dataclass(slots=True, frozen=True)
class Served:
    """Final answer: the result of a worker."""

    result: bytes


@dataclass(slots=True, frozen=True)
class Rejected:
    """Final answer: rejected; a retry is safe."""

    retry_after: float = 0.0  # ms


@dataclass(slots=True, frozen=True)
class Failed:
    """Final answer: failed; the job may have run."""

    timed_out: bool = False  # the deadline has passed


Answer = Served | Rejected | Failed


class Acceptance(Enum):
    """Whether a worker may have accepted an attempt that ended here without its acceptance being read.

    Closing a connection gives an attempt up only if the worker had not written its acceptance by then.
    """

    RULED_OUT = "ruled out"  # the request was not written completely, or the worker's answer ends the attempt
    UNLIKELY = "unlikely"  # this side closed the connection after the worker had been silent for long
    POSSIBLE = "possible"  # the connection ended otherwise: the acceptance may have been lost with it
    LIKELY = "likely"  # an answer had begun


@dataclass(slots=True, frozen=True)
class Outcome:
    """Outcome of an attempt or a poll, as seen by a transport."""

    ending: Ending
    result: bytes = b""
    report: tuple[float, ...] = ()  # the worker's load report, in the order of the settings' fields
    acceptance: Acceptance = Acceptance.RULED_OUT
    worker_unreachable: bool = False  # not connected, or a poll went unanswered: see routing/reach.py


class Client(Protocol):
    """The side that waits for a job's answer."""

    def answered(self, answer: Answer) -> None:
        """Handle the final answer; called once."""

    def progressed(self, share: float, text: str) -> None:
        """Handle the progress of an attempt: the fraction of its work that is done, 0 to 1, and a text."""

    def is_connected(self) -> bool:
        """Return whether the client is still connected, as far as that is known without blocking."""


class AttemptTransport(Protocol):
    """Sends attempts, cancels and polls to workers."""

    def send(
        self,
        worker: str,
        request: JobRequest,
        ends_at: float,
        on_progress: Callable[[float, str], None],
        forbidden_by: Callable[[], str | None],
    ) -> Deferred[Outcome | None]:
        """Start an attempt. Fires with its outcome, or None if the worker accepted it and will call back.

        ``ends_at`` is the clock reading at which the attempt times out: the request carries the time that is
        left when it is written, and is not written after ``ends_at``.

        Cancelling the Deferred closes the attempt's connection. ``forbidden_by`` returns the name of a rule
        that now forbids the attempt; it is checked before the first byte if writing had to wait.
        """

    def cancel_job(self, worker: str, request_id: str, confirmation_required: bool = True) -> Deferred[bool]:
        """Cancel a job that a worker may have accepted; fires with whether it cannot run there any more.

        That is so if the worker confirmed the cancel, or if its process has ended. With
        ``confirmation_required`` the cancel is repeated while connections fail; otherwise it is sent once,
        and the wait is short.
        """

    def poll_load(self, worker: str) -> Deferred[Outcome]:
        """Poll a worker for its load report; fires with the report or the failure."""

    def close_pool(self, worker: str) -> None:
        """Close a worker's pool: idle connections now, those in use when their request ends."""
