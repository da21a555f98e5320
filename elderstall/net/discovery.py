"""Client of discovery: a watch on the endpoint list, resumed at the last version after a failure."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from sys import intern
from typing import Any
from typing import Protocol as TypingProtocol

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from elderstall.deadlines import Deadline, Deadlines
from elderstall.interface import Endpoint, ListScope, WorkerState
from elderstall.log import Log
from elderstall.net import http
from elderstall.net.jsonlines import JsonLines
from elderstall.starts import StartTimes

STATES = {
    "in_service": WorkerState.UP,
    "terminating": WorkerState.DRAINING,
    "terminated": WorkerState.GONE,
}
MAX_LIST_NUMBER = 1e15  # exclusive bound of any number in a list
MAX_LIST_BYTES = 4 * 1024 * 1024  # of one list; 1,024 workers need 160 KB, or 300 KB indented
MIN_PROGRESS_BYTES = 4 * 1024  # of a list in transit, per restart of the timeout: less could trickle for ever
SILENCE_TIMEOUT_MS = 2_500.0  # without a line on a watch; discovery sends an empty line every 2 s
ANSWER_TIMEOUT_MS = 4_000.0  # for the first line of a call, which may wait in discovery's queue
# Delays after which a second call is made beside an unanswered one. Changes that a silent watch misses count
# as received 6 s after its last line: 2.5 s until the silence is detected, up to 1.5 s before the call
# (recovery/listing.py), 1.25 s for this delay, and 0.75 s for the second call's answer. After a start or a
# failed call: 2.5 s, 2 s and 1.5 s.
HEDGE_DELAY_AFTER_SILENCE_MS = 1_250.0
HEDGE_DELAY_MS = 2_000.0


class ListError(Exception):
    """An answer of discovery that is not a valid list."""


class AddressRegistry(TypingProtocol):
    """Receiver of the addresses of listed workers."""

    def update_endpoint(self, name: str, address: str, since_ms: float | None) -> None:
        """Set a worker's address and its listed start in Unix ms."""

    def remove_endpoint(self, name: str) -> None:
        """Remove a worker's address."""


ListUpdateHandler = Callable[[ListScope, tuple[Endpoint, ...]], None]
Connect = Callable[[Factory], Deferred["WatchConnection"]]


def parse_entry(raw: Any, live: bool) -> tuple[Endpoint, str]:
    """Return the endpoint and the address from one entry of a list. Raises ListError.

    The listed weight is used only if ``live`` is set; otherwise, and for a weight of 0, it is 1.
    """
    try:
        name = raw["name"]
        address = raw["address"]
        state = STATES[raw["status"]]
        started = float(raw.get("since_ms") or 0)
        weight = float(raw.get("weight") or 0)
        kind = str(raw.get("type") or "")
        zone = raw.get("zone")
        # Kinds and zones are interned: they recur in every entry of a large list.
        listed = Endpoint(
            str(name),
            intern(kind),
            intern(zone) if isinstance(zone, str) else zone,
            int(raw.get("group") or 0),
            started or None,
            state,
            (live and weight) or 1.0,
            since_ms=started or None,
        )
        if not (0 <= started < MAX_LIST_NUMBER and 0 <= weight < MAX_LIST_NUMBER):  # also excludes NaN
            raise ValueError("since_ms or weight out of range")
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListError(f"invalid entry: {type(error).__name__} {error}") from None
    if not isinstance(name, str) or not isinstance(address, str):
        raise ListError("name and address of an entry must be strings")
    return listed, address


def parse_list(value: Any, live: bool) -> tuple[int, ListScope, list[tuple[Endpoint, str]]]:
    """Return version, scope and entries of a list; ``live`` as for `parse_entry`. Raises ListError."""
    if not isinstance(value, dict) or not isinstance(value.get("endpoints"), list):
        raise ListError("the answer has no list of endpoints")
    if not isinstance(value.get("index"), int):
        raise ListError("the index of the list is missing or not an integer")
    scope = ListScope.WHOLE if value.get("snapshot") else ListScope.CHANGES
    return value["index"], scope, [parse_entry(entry, live) for entry in value["endpoints"]]


def encode_list(version: int, entries: Iterable[Endpoint], addresses: Mapping[str, str]) -> dict[str, Any]:
    """Return a whole list in discovery's format."""
    states = {state: name for name, state in STATES.items()}

    def since_ms(entry: Endpoint) -> float:
        return (entry.started if entry.since_ms is None else entry.since_ms) or 0

    return {
        "index": version,
        "snapshot": True,
        "endpoints": [
            {
                "name": entry.worker,
                "address": addresses[entry.worker],
                "zone": entry.zone,
                "type": entry.kind,
                "group": entry.cell,
                "status": states[entry.state],
                "weight": entry.weight,
                "since_ms": since_ms(entry),
            }
            for entry in entries
            if entry.worker in addresses
        ],
    }


class WatchConnection(Protocol):
    """One connection to discovery: a response without end, with one line per change."""

    transport: Any  # ITCPTransport, as zope's interfaces say nothing to mypy

    def __init__(self, watch: Discovery) -> None:
        self.watch = watch
        self.parser = http.Parser(responses=True, max_body=0)
        self.values = JsonLines(MAX_LIST_BYTES)
        self.accepted = False  # discovery has answered with status 200; not read
        self.version: int | None = None  # of the latest list received here
        self.received_bytes = 0  # since progress was last reported
        self.reason = "discovery-closed"

    def connectionMade(self) -> None:  # noqa: N802, D102
        target = f"/discovery/hosts?watch=1&from={self.watch.index}"
        self.transport.write(http.request("GET", target, self.watch.address))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.parser.feed(data)
        try:
            while self.watch.is_listening_to(self) and (event := self.parser.next()) is not None:
                if isinstance(event, http.Head):
                    if event.message.status != 200:
                        raise ListError(f"discovery answered with status {event.message.status}")
                    self.accepted = True
                elif isinstance(event, http.Data):
                    for value in self.values.feed(event.data):  # None is a keep-alive
                        self.watch.on_list_value(value, self)
                else:
                    raise ListError("discovery ended the watch")
        except (http.MessageError, ListError, ValueError, RecursionError) as error:
            self.watch.on_connection_ended(self, "bad-list", str(error))
            return
        self.received_bytes += len(data)
        if self.received_bytes >= MIN_PROGRESS_BYTES:
            self.received_bytes = 0
            self.watch.on_list_progress(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.watch.log.ended("discovery", 0, self.reason)
        self.watch.on_connection_ended(self, "discovery-closed", "")


class ListCall:
    """One list call: its connection attempt, and then the watch on the connection."""

    __slots__ = ("owner", "connecting", "connection")

    def __init__(self, owner: Discovery) -> None:
        self.owner = owner
        self.connecting: Deferred[WatchConnection] | None = None
        self.connection: WatchConnection | None = None

    def begin(self) -> None:
        """Open the connection."""
        self.connecting = connecting = self.owner.connect(self.owner)
        connecting.addCallbacks(self.on_connected, self.on_connect_failed).addErrback(self.owner.log_bug)

    def on_connected(self, connection: WatchConnection) -> None:
        """Record the established connection."""
        self.connecting = None
        self.connection = connection

    def on_connect_failed(self, failure: Failure) -> None:
        """Report that the connection failed, unless the attempt was cancelled."""
        if self.connecting is not None:
            self.connecting = None
            self.owner.on_call_failed(self, "no-discovery", type(failure.value).__name__)

    def end(self, reason: str) -> None:
        """Cancel the connection attempt, or close the watch."""
        connecting = self.connecting
        self.connecting = None
        if connecting is not None:
            connecting.cancel()
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.reason = reason
            connection.transport.abortConnection()


class Discovery(Factory):
    """Keeps the list's version, addresses and start times, and a watch on it once requested.

    A second call is made beside one that is not answered in time; the first to be answered becomes the watch.
    """

    noisy = False

    def __init__(
        self,
        deadlines: Deadlines,
        log: Log,
        connect: Connect,
        address_registry: AddressRegistry,
        on_update: ListUpdateHandler,
        address: str = "",
        live: bool = False,
    ) -> None:
        self.deadlines = deadlines
        self.log = log
        self.connect = connect
        self.address_registry = address_registry
        self.on_update = on_update
        self.address = address
        self.live = live  # whether the listed weights are used
        self.index = 0  # version of the list; 0: none
        self.addresses: dict[str, str] = {}
        self.starts = StartTimes(deadlines)
        self.listed_at = -math.inf  # when the list was last confirmed to be current
        self.calls: list[ListCall] = []  # the watch, or at most two unanswered calls
        # The watch at the previous address, until the new one answers.
        self.previous_call: ListCall | None = None
        self.watch_requested = False  # the decisions have requested a watch
        self.fell_silent = False  # the last watch or call timed out, and none has answered since
        self.timer: Deadline | None = None  # timeout of the next line
        self.hedge_timer: Deadline | None = None  # delay of the second call
        self.awaiting_answer = False  # a call whose answer was not yet reported to the decisions
        self.fits: Callable[[ListScope, int], bool] = lambda *_: True  # whether a list fits into memory

    def buildProtocol(self, addr: object) -> WatchConnection:  # noqa: N802, D102
        return WatchConnection(self)

    # ---- the list ----

    def merge(
        self,
        value: Any,
        source: WatchConnection | None = None,
    ) -> tuple[ListScope, tuple[Endpoint, ...]] | None:
        """Merge a list unless a newer one is held; return its scope and entries for the decisions, or None.

        Addresses are updated first, as the decisions may send at once. A whole list at the beginning of a
        watch is always accepted: discovery may have restarted its version numbers. Version 0 counts as none.
        """
        version, scope, pairs = parse_list(value, self.live)
        if source is not None:
            is_first = source.version is None
            is_current = self.call_of(source) is not None
            min_version = source.version or (self.index if is_current else 0)
            if version < min_version and not (is_first and scope is ListScope.WHOLE):
                self.log.write(
                    "watch",
                    f"ignored version {version} of the list, which is older than version {min_version}",
                )
                return None
            source.version = version
        if not self.fits(scope, len(pairs)):
            return None
        names = {listed.worker for listed, _ in pairs}
        self.starts.check_wall_clock()
        max_age_ms = math.inf if source is None else self.deadlines.now() - self.listed_at
        if scope is ListScope.WHOLE:
            for name in [name for name in self.addresses if name not in names]:
                self.drop(name)
        entries = []
        for listed, address in pairs:
            if listed.state is WorkerState.GONE:
                self.drop(listed.worker)
            else:
                self.addresses[listed.worker] = address
                self.address_registry.update_endpoint(listed.worker, address, listed.since_ms)
                started = self.starts.reading(listed.worker, listed.since_ms, max_age_ms)
                if started != listed.started:
                    entries.append(replace(listed, started=started))
                    continue
            entries.append(listed)
        self.index = version
        return scope, tuple(entries)

    def drop(self, name: str) -> None:
        """Remove a worker's address."""
        self.addresses.pop(name, None)
        self.starts.drop(name)
        self.address_registry.remove_endpoint(name)

    def on_list_value(self, value: Any, connection: WatchConnection) -> None:
        """Handle a value or keep-alive of the watch; the first call to be answered becomes the watch."""
        call = self.call_of(connection)
        if call is None:
            self.on_previous_list_value(value, connection)
            return
        self.restart_timeout(SILENCE_TIMEOUT_MS)
        self.end_previous_call()
        self.keep_only(call)
        is_first_answer = self.awaiting_answer
        self.awaiting_answer = False
        self.fell_silent = False
        if value is None:
            self.starts.check_wall_clock()
        update = self.merge(value, connection) if value is not None else None
        if value is None or update is not None:
            self.listed_at = self.deadlines.now()
        if update is not None and is_first_answer:
            self.log.write(
                "watch",
                f"{self.address} sent {len(update[1])} entries ({update[0].value}), version {self.index}",
            )
        if update is not None or is_first_answer:
            self.on_update(*(update or (ListScope.CHANGES, ())))

    def on_list_progress(self, connection: WatchConnection) -> None:
        """Restart the timeout while a long list arrives: a new call would not get it sooner."""
        if self.call_of(connection) is not None:
            self.restart_timeout(SILENCE_TIMEOUT_MS)

    def on_previous_list_value(self, value: Any, connection: WatchConnection) -> None:
        """Handle a value of the watch at the previous address: changes sent there count as received."""
        if value is None:
            return
        version = self.index
        update = self.merge(value, connection)
        self.index = version  # the new address has its own version numbers
        if update is not None:
            self.on_update(*update)

    # ---- calls ----

    def follow(self) -> None:
        """Request a watch, unless one is open or being opened."""
        self.watch_requested = True
        if self.calls:
            return
        self.awaiting_answer = True
        self.restart_timeout(ANSWER_TIMEOUT_MS)
        hedge_delay = HEDGE_DELAY_AFTER_SILENCE_MS if self.fell_silent else HEDGE_DELAY_MS
        self.hedge_timer = self.deadlines.after(hedge_delay, self.start_hedge_call)
        self.start_call()

    def start_call(self) -> None:
        """Start a list call."""
        call = ListCall(self)
        self.calls.append(call)
        call.begin()

    def start_hedge_call(self) -> None:
        """Start a second list call beside the unanswered one."""
        self.hedge_timer = None
        self.log.write("watch", "discovery has not answered the list call yet; starting a second one")
        self.start_call()

    def keep_only(self, call: ListCall) -> None:
        """End the other call, or cancel its timer."""
        if self.hedge_timer is not None:
            self.hedge_timer.cancel()
            self.hedge_timer = None
        others = [other for other in self.calls if other is not call]
        self.calls = [call]
        for other in others:
            other.end("second-call")

    def end_calls(self, reason: str) -> None:
        """Cancel all calls, and close the watch."""
        for timer in (self.timer, self.hedge_timer):
            if timer is not None:
                timer.cancel()
        self.timer = None
        self.hedge_timer = None
        calls = self.calls
        self.calls = []
        for call in calls:
            call.end(reason)

    def move(self, address: str) -> None:
        """Switch to another address of discovery at once.

        The new address may have its own version numbers, so the whole list is requested. The previous watch
        is read until the new one answers, because changes sent there count as received. Calls to the previous
        address are not repeated.
        """
        self.address = address
        self.index = 0
        self.listed_at = -math.inf
        # A call that is still unanswered is dropped; the watch of an earlier address is kept.
        if self.previous_call is None or not self.awaiting_answer:
            self.end_previous_call()
            self.previous_call = next((call for call in self.calls if call.connection is not None), None)
            self.calls = [call for call in self.calls if call is not self.previous_call]
        self.end_calls("moved")
        if self.watch_requested:
            self.follow()

    def end_previous_call(self) -> None:
        """Close the watch at the previous address."""
        previous_call = self.previous_call
        self.previous_call = None
        if previous_call is not None:
            previous_call.end("moved")

    def call_of(self, connection: WatchConnection) -> ListCall | None:
        """Return the call to the current address that a connection belongs to, if any."""
        return next((call for call in self.calls if call.connection is connection), None)

    def is_listening_to(self, connection: WatchConnection) -> bool:
        """Return whether data from a connection is still used."""
        is_previous = self.previous_call is not None and self.previous_call.connection is connection
        return is_previous or self.call_of(connection) is not None

    def on_connection_ended(self, connection: WatchConnection, reason: str, detail: str) -> None:
        """Handle the end of a watch or an unreadable list; the end of the previous watch is no failure."""
        if self.previous_call is not None and self.previous_call.connection is connection:
            self.end_previous_call()
        elif (call := self.call_of(connection)) is not None:
            self.on_call_failed(call, reason, detail)

    def on_call_failed(self, call: ListCall, reason: str, detail: str) -> None:
        """Handle a failed call; if another call is pending, keep waiting for that one."""
        if call not in self.calls:
            return
        if len(self.calls) == 1:
            self.fail_watch(reason, detail)
            return
        self.log.write("watch", f"{reason} {detail}".rstrip() + "; waiting for the other list call")
        self.calls.remove(call)
        call.end(reason)

    def log_bug(self, failure: Failure) -> None:
        """Log an internal error."""
        self.log.failure("discovery", failure.value)

    def restart_timeout(self, timeout_ms: float) -> None:
        """Restart the timeout of the next line."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.deadlines.after(timeout_ms, self.fail_watch, "silent", "")

    def fail_watch(self, reason: str, detail: str) -> None:
        """Close the watch and notify the decisions, which decide when to request another one."""
        self.log.write("watch", f"{reason} {detail}".rstrip())
        self.end_calls(reason)
        self.fell_silent = reason == "silent"
        self.on_update(ListScope.SILENT if self.fell_silent else ListScope.FAILED, ())

    def close(self) -> None:
        """Close all connections to discovery permanently."""
        self.end_previous_call()
        self.end_calls("exit")
