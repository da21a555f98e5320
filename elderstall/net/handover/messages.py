"""The messages between the two processes of an upgrade, as typed records with one codec.

Each message is a line of JSON. Its keys are fixed, as the processes may run different releases of the
program: ``m`` names the message, ``n`` numbers a question and its answer, and ``fd`` says that a descriptor
is attached. Some names on the wire differ from those of the records: ``RequestTaken`` is "id",
``QuestionAnswer`` is "word" with the result in "good", and "held" names both ``ConnectionsHeld`` and its
count.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

# Of the messages. A process with another version is answered Busy, and retries until its time-out.
VERSION = 1


@dataclass(slots=True, frozen=True)
class Hello:
    """A new process requests a hand-over from the running one."""

    version: object


@dataclass(slots=True, frozen=True)
class Busy:
    """The running process cannot hand over: it has another successor, or the versions differ."""


@dataclass(slots=True, frozen=True)
class State:
    """The state of the running process, see `ProcessState`, with the listening socket's descriptor."""

    fields: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Serving:
    """The new process accepts clients."""


@dataclass(slots=True, frozen=True)
class Released:
    """The old process no longer listens for another successor, so that the new process can."""


@dataclass(slots=True, frozen=True)
class Got:
    """Confirmation of the oldest unconfirmed descriptor."""


@dataclass(slots=True, frozen=True)
class ConnectionTransfer:
    """A connection, and its job if it has one, as the server encodes them, with its descriptor."""

    fields: dict[str, Any]


@dataclass(slots=True, frozen=True)
class ConnectionsHeld:
    """The number of connections that the sender still has."""

    count: int


@dataclass(slots=True, frozen=True)
class RequestTaken:
    """The sender has accepted a job with this id."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Callback:
    """A worker's callback for a job that the sender does not have."""

    call: dict[str, Any]


@dataclass(slots=True, frozen=True)
class ExcludeWorker:
    """An operator has banned a worker."""

    worker: str


@dataclass(slots=True, frozen=True)
class IncludeWorker:
    """An operator has ended a worker's ban."""

    worker: str


@dataclass(slots=True, frozen=True)
class QuestionAnswer:
    """The answer to a question: yes or no."""

    number: int
    accepted: bool


Question: TypeAlias = Callback | ExcludeWorker | IncludeWorker
LinkMessage: TypeAlias = Hello | Busy | State | Serving | Released | Got | QuestionAnswer
ProgramMessage: TypeAlias = ConnectionTransfer | ConnectionsHeld | RequestTaken | Question
Message: TypeAlias = LinkMessage | ProgramMessage


@dataclass(slots=True, frozen=True)
class Envelope:
    """A message with its question number and descriptor flag."""

    message: Message
    number: int | None = None  # of a question that expects an answer
    has_descriptor: bool = False


def encode(envelope: Envelope) -> bytes:
    """Return a message as a line of JSON."""
    name, fields = _encode_message(envelope.message)
    line: dict[str, Any] = {"m": name}
    if envelope.number is not None:
        line["n"] = envelope.number
    line |= fields
    if envelope.has_descriptor:
        line["fd"] = 1
    return json.dumps(line).encode() + b"\n"


def decode(line: bytes) -> Envelope:
    """Return the message of a line, given without its line end.

    Raises ValueError if the message is unknown; ValueError, KeyError, TypeError or AttributeError if it is
    malformed.
    """
    fields = json.loads(line)
    has_descriptor = bool(fields.get("fd"))
    name = fields["m"]
    decoder = _DECODERS.get(name)
    if decoder is None:
        raise ValueError(f"unknown message {name!r}")
    return Envelope(decoder(fields), fields.get("n"), has_descriptor)


def _encode_message(message: Message) -> tuple[str, dict[str, Any]]:
    """Return a message's name and fields on the wire."""
    match message:
        case State(fields) | ConnectionTransfer(fields):
            return _NAMES[type(message)], fields
        case Hello(version):
            fields = {"version": version}
        case ConnectionsHeld(count):
            fields = {"held": count}
        case RequestTaken(request_id):
            fields = {"id": request_id}
        case Callback(call):
            fields = {"call": call}
        case ExcludeWorker(worker) | IncludeWorker(worker):
            fields = {"id": worker}
        case QuestionAnswer(number, accepted):
            fields = {"n": number, "good": accepted}
        case _:
            fields = {}
    return _NAMES[type(message)], fields


_NAMES: dict[type[Message], str] = {
    Hello: "hello",
    Busy: "busy",
    State: "state",
    Serving: "serving",
    Released: "released",
    Got: "got",
    ConnectionTransfer: "connection",
    ConnectionsHeld: "held",
    RequestTaken: "id",
    Callback: "callback",
    ExcludeWorker: "exclude",
    IncludeWorker: "include",
    QuestionAnswer: "word",
}
_DECODERS: dict[str, Callable[[dict[str, Any]], Message]] = {
    "hello": lambda fields: Hello(fields.get("version")),
    "busy": lambda fields: Busy(),
    "state": State,
    "serving": lambda fields: Serving(),
    "released": lambda fields: Released(),
    "got": lambda fields: Got(),
    "connection": ConnectionTransfer,
    "held": lambda fields: ConnectionsHeld(fields["held"]),
    "id": lambda fields: RequestTaken(fields["id"]),
    "callback": lambda fields: Callback(fields["call"]),
    "exclude": lambda fields: ExcludeWorker(fields["id"]),
    "include": lambda fields: IncludeWorker(fields["id"]),
    "word": lambda fields: QuestionAnswer(fields["n"], bool(fields["good"])),
}
