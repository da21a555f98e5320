"""Adapter between the operators' simulator (not ``elderstall.simulation``) and the decisions of dispatchers.

It reads messages as lines of JSON, passes the events to the dispatchers and writes their actions.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from elderstall.decisions import Dispatcher
from elderstall.interface import (
    Action,
    AttemptEnded,
    AttemptProgressed,
    Ending,
    Endpoint,
    EndpointListUpdate,
    Event,
    FailJob,
    JobArrived,
    JobReleased,
    ListScope,
    LoadPolled,
    LogLine,
    PollLoad,
    RejectJob,
    ResponseStarted,
    SendAttempt,
    SetTimer,
    Started,
    TimerFired,
    WatchEndpoints,
    WorkerState,
)
from elderstall.settings import Fields, parse_settings

ENDINGS = {
    "served": Ending.SERVED,
    "server_error": Ending.ERROR,
    "turned_away": Ending.FULL,
    "no_answer": Ending.TIMED_OUT,
    "no_connection": Ending.UNREACHABLE,
    "connection_lost": Ending.BROKEN,
    "called_off": Ending.CANCELLED,
    "not_sent": Ending.NEVER_SENT,
}
STATES = {"IN": WorkerState.UP, "LAME": WorkerState.DRAINING, "OUT": WorkerState.GONE}
LIST_SCOPES = {
    "Partial": ListScope.CHANGES,
    "Complete": ListScope.WHOLE,
    "Persisted": ListScope.WHOLE,
    "Error": ListScope.FAILED,
}


class WireError(Exception):
    """Input that violates the simulator's protocol."""


def lookup(table: dict[str, Any], code: Any, field: str) -> Any:
    """Return the value for one of the protocol's codes; raise WireError for an unknown code."""
    try:
        return table[code]
    except (KeyError, TypeError):
        raise WireError(f"unknown {field}: {code!r}") from None


def parse_endpoint(entry: Fields, live: bool) -> Endpoint:
    """Return one entry of a list; ``rating`` is the weight only if ``live`` (weight_source is "live")."""
    return Endpoint(
        entry["worker"],
        entry.get("generation_hw") or "",
        entry.get("area"),
        entry.get("cluster") or 0,
        entry.get("ready_at") or None,
        lookup(STATES, entry["lifecycle"], "lifecycle"),
        (live and entry.get("rating")) or 1.0,
    )


def parse_job(message: Fields) -> Event:
    """Return the event of a new job."""
    return JobArrived(
        message["id"],
        message["priority"],
        message["budget"],
        message.get("team") or None,
        message.get("subject"),
        message.get("predicted"),
        message.get("cores_needed") or 1,
    )


def parse_attempt_ended(message: Fields) -> Event:
    """Return the event of an attempt's end."""
    return AttemptEnded(
        message["id"],
        message["send_no"],
        message["worker"],
        lookup(ENDINGS, message["ending"], "ending"),
        bool(message["terminal"]),
        tuple(message.get("stats") or ()),
    )


def parse_attempt_progressed(message: Fields) -> Event:
    """Return the event of an attempt's progress."""
    return AttemptProgressed(
        message["id"],
        message["send_no"],
        message["worker"],
        message.get("value") or 0.0,
        message["what"] == 1,
    )


def parse_load_polled(message: Fields) -> Event:
    """Return the event of a poll's result."""
    return LoadPolled(
        message["worker"], lookup(ENDINGS, message["ending"], "ending"), tuple(message.get("stats") or ())
    )


EVENTS: dict[str, Callable[[Fields], Event]] = {
    "Request": parse_job,
    "Resolved": parse_attempt_ended,
    "Progress": parse_attempt_progressed,
    "Due": lambda message: TimerFired(message["token"]),
    "Left": lambda message: JobReleased(message["id"]),
    "Probed": parse_load_polled,
    "AckFirst": lambda message: ResponseStarted(message["id"], message["send_no"], message["worker"]),
}
IGNORED_EVENTS = ("Peer",)  # the dispatchers do not use messages of other dispatchers
TO_JSON = json.dumps
ACTIONS: dict[type, Callable[[Any], str]] = {
    SendAttempt: lambda action: (
        f'"m":"Issue","id":{action.job},"worker":{TO_JSON(action.worker)},"try_for":{action.time_out!r}'
    ),
    PollLoad: lambda action: f'"m":"Check","worker":{TO_JSON(action.worker)}',
    RejectJob: lambda action: f'"m":"OverloadReply","id":{action.job},"come_back":{action.retry_after!r}',
    FailJob: lambda action: f'"m":"FinishError","id":{action.job}',
    SetTimer: lambda action: f'"m":"SetAlarm","token":{action.token},"offset":{action.delay!r}',
    WatchEndpoints: lambda action: '"m":"Follow","want":true',
    LogLine: lambda action: f'"m":"SayLog","body_text":{TO_JSON(action.text)}',
}


class SimulatorAdapter:
    """The simulated dispatchers; they share only the endpoint lists, which messages name by slot number."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.now = 0.0
        self.batch_serial = 0
        self.dispatchers: dict[int, Dispatcher] = {}
        self.lists: dict[int, tuple[Endpoint, ...]] = {}
        self.live = False  # whether weight_source is "live" in the latest NewInstance, for the lists of all

    def write_actions(self, dispatcher_id: int, actions: Iterable[Action]) -> None:
        """Write the actions of one dispatcher."""
        self.out.writelines(
            f'{{"who":{dispatcher_id},{ACTIONS[type(action)](action)}}}\n' for action in actions
        )

    def dispatch(self, dispatcher_id: int, event: Event) -> None:
        """Pass an event to its dispatcher and write the actions that it returns; skip an ended dispatcher."""
        if (dispatcher := self.dispatchers.get(dispatcher_id)) is not None:
            actions = dispatcher.handle(self.now, event)
            self.out.writelines(
                f'{{"who":{dispatcher_id},{ACTIONS[type(action)](action)}}}\n' for action in actions
            )

    def translate(self, message: Fields) -> tuple[int, Event] | None:
        """Handle one message of a batch; return its dispatcher and event if it is for a dispatcher."""
        message_type = message["m"]
        if (parse_event := EVENTS.get(message_type)) is not None:
            return message["who"], parse_event(message)
        if message_type == "BeginBatch":
            self.now = message["time"]
            self.batch_serial = message["serial"]
        elif message_type == "OverToYou":
            self.out.write(f'{{"m":"Yield","serial":{self.batch_serial}}}\n')
            self.out.flush()
        elif message_type == "Members":
            scope = lookup(LIST_SCOPES, message["scope"], "scope")
            return message["who"], EndpointListUpdate(
                scope, () if scope is ListScope.FAILED else self.lists[message["slot"]]
            )
        elif message_type == "Roster":
            self.lists[message["slot"]] = tuple(parse_endpoint(item, self.live) for item in message["items"])
        elif message_type == "NewInstance":
            self.live = message["conf"].get("weight_source") == "live"
            self.dispatchers[message["who"]] = Dispatcher(parse_settings(message["conf"]), message["salt"])
            return message["who"], Started()
        elif message_type in IGNORED_EVENTS:
            pass
        elif message_type == "Kill":
            self.dispatchers.pop(message["who"], None)
        else:
            raise WireError(f"unknown event: {message_type!r}")
        return None

    def run(self, lines: Iterable[str]) -> None:
        """Process batches until the input ends."""
        for text in lines:
            if not text.strip():
                continue
            try:
                message = json.loads(text)
            except ValueError as err:
                raise WireError(f"malformed JSON: {err}") from None
            if not isinstance(message, dict):
                raise WireError("a message must be an object")
            try:  # an unknown slot is a KeyError too, and is reported as a missing field
                translated = self.translate(message)
            except KeyError as err:
                raise WireError(f"missing field {err} in {message.get('m', 'message')}") from err
            except (ValueError, TypeError, AttributeError) as err:
                raise WireError(f"bad value in {message.get('m', 'message')}: {err}") from err
            if translated is not None:
                self.dispatch(*translated)


def main() -> int:
    """Serve the simulator on standard input and output; return the exit status."""
    try:
        SimulatorAdapter(sys.stdout).run(sys.stdin)
    except WireError as err:
        print(f"benchlink: {err}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
