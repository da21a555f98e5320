"""State machines of a job and of an attempt.

A test compares the tables with docs/architecture.md. An event without a transition is a bug in the program,
never the fault of a client or a worker.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import TypeVar


class JobState(Enum):
    """State of a job."""

    PENDING = "pending"  # without an attempt in flight; the decisions choose the next step
    IN_FLIGHT = "in flight"  # one attempt is with a worker, or being sent to one
    CANCELLING = "cancelling"  # a cancel of an attempt that a worker may still have is pending
    SEND_DEFERRED = "send deferred"  # the next attempt is decided and waits for pending cancels
    CLOSED = "closed"  # answered, client disconnected, or taken over by the peer process


class JobEvent(Enum):
    """Event in the life of a job."""

    FORWARDED = "forwarded"
    ATTEMPT_ENDED = "attempt ended"
    CANCEL_STARTED = "cancel started"
    SEND_DECIDED = "send decided"  # while a cancel is pending
    CANCELS_DONE = "cancels done"  # the last pending cancel has finished
    CLOSED = "closed"


class AttemptState(Enum):
    """State of an attempt."""

    SENT = "sent"  # passed to the transport; not yet accepted by the worker
    ACCEPTED = "accepted"  # accepted by the worker: its answer, progress or end was received
    CONFIRMED = "confirmed"  # start reported by a call-back, which holds even if the connection breaks
    ENDED = "ended"


class AttemptEvent(Enum):
    """Event in the life of an attempt."""

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
    (
        AttemptState.ENDED,
        AttemptEvent.ACCEPTED,
    ): AttemptState.ENDED,  # an answer read after the final call-back
    (AttemptState.ENDED, AttemptEvent.ENDED): AttemptState.ENDED,
}

State = TypeVar("State", bound=Enum)
Event = TypeVar("Event", bound=Enum)


class IllegalTransitionError(Exception):
    """The state has no transition for the event."""


def next_state(transitions: Mapping[tuple[State, Event], State], state: State, event: Event) -> State:
    """Return the state after an event; raises IllegalTransitionError if there is no transition."""
    try:
        return transitions[state, event]
    except KeyError:
        raise IllegalTransitionError(
            f"event '{event.value}' is not allowed in state '{state.value}'"
        ) from None


def as_markdown(transitions: Mapping[tuple[State, Event], State]) -> str:
    """Return the transitions as a Markdown table: one row per state, one column per event, ``-`` for none."""
    states = list(dict.fromkeys(state for state, _ in transitions))
    events = list(dict.fromkeys(event for _, event in transitions))
    head = ["state", *(event.value for event in events)]
    rows = [head, ["---"] * len(head)]
    for state in states:
        after = (transitions.get((state, event)) for event in events)
        rows.append([state.value, *("-" if new is None else new.value for new in after)])
    return "\n".join("| " + " | ".join(row) + " |" for row in rows) + "\n"
