"""What the core and those around it say to each other: jobs, answers, outcomes; no logic.

A front hands an ``Ask`` to the core and is its ``Client``; a ``Carrier`` takes attempts to workers and tells
their ``Outcome``. Times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from elderstall.interface import Ending


@dataclass(slots=True, frozen=True)
class Ask:
    """A job as a front took it. The parcel is the front's own matter and passes through unread."""

    cid: str  # the client's id, as text
    job_class: str
    budget: float  # ms from now that the client waits
    parcel: object
    tenant: str | None = None
    key: str | None = None
    work_hint: float | None = None
    slots: int = 1
    repeatable: bool = False  # running it twice does no harm


@dataclass(slots=True, frozen=True)
class Served:
    """Final answer: a worker's result."""

    result: bytes


@dataclass(slots=True, frozen=True)
class Refused:
    """Final answer: turned down, trying again is harmless."""

    retry_after: float = 0.0  # ms


@dataclass(slots=True, frozen=True)
class Failed:
    """Final answer: failed, with no promise about what has run."""

    late: bool = False  # whether time ran out


Answer = Served | Refused | Failed


@dataclass(slots=True, frozen=True)
class Outcome:
    """How an attempt ended, as a carrier saw it."""

    ending: Ending
    result: bytes = b""
    report: tuple[float, ...] = ()
    unclear: bool = False  # the worker may have taken the job, unseen: it is told to give it up
    unreached: bool = False  # no connection came up, or a question was not answered: see routing/reach.py
    spoke: bool = False  # it had begun to answer: without its word the job goes nowhere else


class Client(Protocol):
    """Whoever waits for a job's answer."""

    def answered(self, answer: Answer) -> None:
        """Take the one final answer."""

    def progressed(self, share: float, text: str) -> None:
        """Take news of a running attempt."""

    def here(self) -> bool:
        """Say whether the client is still there, as far as that can be seen without waiting."""


class Carrier(Protocol):
    """What takes attempts to workers."""

    def send(
        self,
        worker: str,
        ask: Ask,
        ends: float,
        note: Callable[[float, str], None],
        barred: Callable[[], str | None],
    ) -> Deferred[Outcome | None]:
        """Start an attempt. Fires with its outcome, or None where the worker took it and will call back.

        ``ends`` is the reading of the clock at which the attempt's time is over: the worker hears what is
        left of it when the request is written, and one that is over by then is not written.

        Cancelling it gives the attempt up by closing its connection. ``barred`` names what has come to
        forbid it: asked where writing had to wait, before the first byte.
        """

    def recall(self, worker: str, cid: str, patient: bool = True) -> Deferred[bool]:
        """Give up an attempt that the worker may have taken; fires with whether the worker was told.

        Where it need not be told for the job to go on, the wait is short.
        """

    def probe(self, worker: str) -> Deferred[Outcome]:
        """Ask a worker how it stands; fires with its report, or with how that failed."""

    def renew(self, worker: str) -> None:
        """Drop the free connections to a worker: they lead to a process that is gone."""
