"""The states of a job and of an attempt, and every change of state that there is.

The tables are printed into docs/architecture.md by a test. An event that a state does not know is an error in
the program, not in what a client or a worker sent.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import TypeVar


class JobState(Enum):
    """What a job waits for."""

    PENDING = "pending"  # no attempt is in flight: the decisions have it
    IN_FLIGHT = "in flight"  # one attempt is with a worker, or on its way to one
    CANCELLING = "cancelling"  # a worker is being told to give up an attempt that it may still have
    SEND_DEFERRED = "send deferred"  # the same, and the next attempt is decided and waits for that
    CLOSED = "closed"  # it has had its answer, its client has left, or another process has it


class JobEvent(Enum):
    """What changes the state of a job."""

    FORWARDED = "forwarded"
    ATTEMPT_ENDED = "attempt ended"
    CANCEL_STARTED = "cancel started"
    SEND_DECIDED = "send decided"  # while a cancel is under way
    CANCELS_DONE = "cancels done"  # the last of them
    CLOSED = "closed"


class AttemptState(Enum):
    """What is known of an attempt."""

    SENT = "sent"  # handed to the transport; the worker has not said that it has the job
    ACCEPTED = "accepted"  # the worker has said so in its answer
    CONFIRMED = "confirmed"  # it has said so by a call-back, whatever becomes of its connection
    ENDED = "ended"


class AttemptEvent(Enum):
    """What changes the state of an attempt."""

    ACCEPTED = "accepted"
    CONFIRMED = "confirmed"
    ENDED = "ended"


JOB_TRANSITIONS: Mapping[tuple[JobState, JobEvent], JobState] = {
    (JobState.PENDING, JobEvent.FORWARDED): JobState.IN_FLIGHT,
    (JobState.PENDING, JobEvent.CANCEL_STARTED): JobState.CANCELLING,
    (JobState.PENDING, JobEvent.CLOSED): JobState.CLOSED,
    (JobState.IN_FLIGHT, JobEvent.ATTEMPT_ENDED): JobState.PENDING,
    (JobState.IN_FLIGHT, JobEvent.CLOSED): JobState.CLOSED,
    (JobState.CANCELLING, JobEvent.CANCEL_STARTED): JobState.CANCELLING,
    (JobState.CANCELLING, JobEvent.SEND_DECIDED): JobState.SEND_DEFERRED,
    (JobState.CANCELLING, JobEvent.CANCELS_DONE): JobState.PENDING,
    (JobState.CANCELLING, JobEvent.CLOSED): JobState.CLOSED,
    (JobState.SEND_DEFERRED, JobEvent.CANCEL_STARTED): JobState.SEND_DEFERRED,
    (JobState.SEND_DEFERRED, JobEvent.SEND_DECIDED): JobState.SEND_DEFERRED,
    (JobState.SEND_DEFERRED, JobEvent.CANCELS_DONE): JobState.PENDING,
    (JobState.SEND_DEFERRED, JobEvent.CLOSED): JobState.CLOSED,
    (JobState.CLOSED, JobEvent.ATTEMPT_ENDED): JobState.CLOSED,
    (JobState.CLOSED, JobEvent.CANCEL_STARTED): JobState.CLOSED,
    (JobState.CLOSED, JobEvent.CANCELS_DONE): JobState.CLOSED,
}

ATTEMPT_TRANSITIONS: Mapping[tuple[AttemptState, AttemptEvent], AttemptState] = {
    (AttemptState.SENT, AttemptEvent.ACCEPTED): AttemptState.ACCEPTED,
    (AttemptState.SENT, AttemptEvent.CONFIRMED): AttemptState.CONFIRMED,
    (AttemptState.SENT, AttemptEvent.ENDED): AttemptState.ENDED,
    (AttemptState.ACCEPTED, AttemptEvent.ACCEPTED): AttemptState.ACCEPTED,
    (AttemptState.ACCEPTED, AttemptEvent.CONFIRMED): AttemptState.CONFIRMED,
    (AttemptState.ACCEPTED, AttemptEvent.ENDED): AttemptState.ENDED,
    (AttemptState.CONFIRMED, AttemptEvent.ACCEPTED): AttemptState.CONFIRMED,
    (AttemptState.CONFIRMED, AttemptEvent.CONFIRMED): AttemptState.CONFIRMED,
    (AttemptState.CONFIRMED, AttemptEvent.ENDED): AttemptState.ENDED,
    (AttemptState.ENDED, AttemptEvent.ACCEPTED): AttemptState.ENDED,  # an answer read after the call-back
    (AttemptState.ENDED, AttemptEvent.ENDED): AttemptState.ENDED,
}

State = TypeVar("State", bound=Enum)
Event = TypeVar("Event", bound=Enum)


class IllegalTransitionError(Exception):
    """An event came in a state that does not know it."""


def next_state(transitions: Mapping[tuple[State, Event], State], state: State, event: Event) -> State:
    """Give the state after an event; raises IllegalTransitionError where the table has none."""
    try:
        return transitions[state, event]
    except KeyError:
        raise IllegalTransitionError(f"{event.value} while {state.value}") from None


def as_markdown(transitions: Mapping[tuple[State, Event], State]) -> str:
    """Print a table of transitions: a row a state, a column an event, ``-`` where there is none."""
    states = list(dict.fromkeys(state for state, _ in transitions))
    events = list(dict.fromkeys(event for _, event in transitions))
    head = ["state", *(event.value for event in events)]
    rows = [head, ["---"] * len(head)]
    for state in states:
        after = (transitions.get((state, event)) for event in events)
        rows.append([state.value, *("-" if new is None else new.value for new in after)])
    return "\n".join("| " + " | ".join(row) + " |" for row in rows) + "\n"
