"""Host of many dispatchers on the simulator's wire: translation only, no decisions."""

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
LISTS = {
    "Partial": ListScope.CHANGES,
    "Complete": ListScope.WHOLE,
    "Persisted": ListScope.WHOLE,
    "Error": ListScope.FAILED,
}


class WireError(Exception):
    """Input that does not follow the wire."""


def lookup(table: dict[str, Any], code: Any, field: str) -> Any:
    """Translate one of the wire's words."""
    try:
        return table[code]
    except (KeyError, TypeError):
        raise WireError(f"unknown {field}: {code!r}") from None


def listed_of(e: Fields, live: bool) -> Endpoint:
    """Translate one line of a list; weights that are not live say nothing of the jobs held."""
    return Endpoint(
        e["worker"],
        e.get("generation_hw") or "",
        e.get("area"),
        e.get("cluster") or 0,
        e.get("ready_at") or None,
        lookup(STATES, e["lifecycle"], "lifecycle"),
        (live and e.get("rating")) or 1.0,
    )


def job_of(e: Fields) -> Event:
    """Translate a request."""
    return JobArrived(
        e["id"],
        e["priority"],
        e["budget"],
        e.get("team") or None,
        e.get("subject"),
        e.get("predicted"),
        e.get("cores_needed") or 1,
    )


def ended_of(e: Fields) -> Event:
    """Translate an outcome."""
    return AttemptEnded(
        e["id"],
        e["send_no"],
        e["worker"],
        lookup(ENDINGS, e["ending"], "ending"),
        bool(e["terminal"]),
        tuple(e.get("stats") or ()),
    )


def noted_of(e: Fields) -> Event:
    """Translate a progress note."""
    return AttemptProgressed(e["id"], e["send_no"], e["worker"], e.get("value") or 0.0, e["what"] == 1)


def probed_of(e: Fields) -> Event:
    """Translate the answer to a question."""
    return LoadPolled(e["worker"], lookup(ENDINGS, e["ending"], "ending"), tuple(e.get("stats") or ()))


EVENTS: dict[str, Callable[[Fields], Event]] = {
    "Request": job_of,
    "Resolved": ended_of,
    "Progress": noted_of,
    "Due": lambda e: TimerFired(e["token"]),
    "Left": lambda e: JobReleased(e["id"]),
    "Probed": probed_of,
    "AckFirst": lambda e: ResponseStarted(e["id"], e["send_no"], e["worker"]),
}
UNUSED = ("Peer",)  # peers are never listened to
QUOTE = json.dumps
ACTIONS: dict[type, Callable[[Any], str]] = {
    SendAttempt: lambda a: f'"m":"Issue","id":{a.job},"worker":{QUOTE(a.worker)},"try_for":{a.time_out!r}',
    PollLoad: lambda a: f'"m":"Check","worker":{QUOTE(a.worker)}',
    RejectJob: lambda a: f'"m":"OverloadReply","id":{a.job},"come_back":{a.retry_after!r}',
    FailJob: lambda a: f'"m":"FinishError","id":{a.job}',
    SetTimer: lambda a: f'"m":"SetAlarm","token":{a.token},"offset":{a.delay!r}',
    WatchEndpoints: lambda a: '"m":"Follow","want":true',
    LogLine: lambda a: f'"m":"SayLog","body_text":{QUOTE(a.text)}',
}


class Host:
    """The dispatchers of one process; they share nothing but the numbered lists of the wire."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.now = 0.0
        self.serial = 0
        self.dispatchers: dict[int, Dispatcher] = {}
        self.lists: dict[int, tuple[Endpoint, ...]] = {}
        self.live = False  # whether the lists' weights follow the jobs held

    def reply(self, who: int, actions: Iterable[Action]) -> None:
        """Write the actions of one dispatcher."""
        self.out.writelines(f'{{"who":{who},{ACTIONS[type(a)](a)}}}\n' for a in actions)

    def tell(self, who: int, event: Event) -> None:
        """Hand one dispatcher its event and write what it asks for."""
        if (dispatcher := self.dispatchers.get(who)) is not None:
            actions = dispatcher.handle(self.now, event)
            self.out.writelines(f'{{"who":{who},{ACTIONS[type(a)](a)}}}\n' for a in actions)

    def translate(self, e: Fields) -> tuple[int, Event] | None:
        """Take one line of a batch; give the event in it, if it is one for a dispatcher."""
        m = e["m"]
        if (event_of := EVENTS.get(m)) is not None:
            return e["who"], event_of(e)
        if m == "BeginBatch":
            self.now, self.serial = e["time"], e["serial"]
        elif m == "OverToYou":
            self.out.write(f'{{"m":"Yield","serial":{self.serial}}}\n')
            self.out.flush()
        elif m == "Members":
            scope = lookup(LISTS, e["scope"], "scope")
            return e["who"], EndpointListUpdate(
                scope, () if scope is ListScope.FAILED else self.lists[e["slot"]]
            )
        elif m == "Roster":
            self.lists[e["slot"]] = tuple(listed_of(item, self.live) for item in e["items"])
        elif m == "NewInstance":
            self.live = e["conf"].get("weight_source") == "live"
            self.dispatchers[e["who"]] = Dispatcher(parse_settings(e["conf"]), e["salt"])
            return e["who"], Started()
        elif m in UNUSED:
            pass
        elif m == "Kill":
            self.dispatchers.pop(e["who"], None)
        else:
            raise WireError(f"unknown event: {m!r}")
        return None

    def run(self, lines: Iterable[str]) -> None:
        """Answer batches until the input ends."""
        for text in lines:
            if not text.strip():
                continue
            try:
                message = json.loads(text)
            except ValueError as err:
                raise WireError(f"malformed JSON: {err}") from None
            if not isinstance(message, dict):
                raise WireError("a message must be an object")
            try:
                told = self.translate(message)
            except KeyError as err:
                raise WireError(f"missing field {err} in {message.get('m', 'message')}") from err
            except (ValueError, TypeError, AttributeError) as err:
                raise WireError(f"bad value in {message.get('m', 'message')}: {err}") from err
            if told is not None:
                self.tell(*told)


def main() -> int:
    """Run on standard input and output."""
    try:
        Host(sys.stdout).run(sys.stdin)
    except WireError as err:
        print(f"benchlink: {err}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
