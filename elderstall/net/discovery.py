"""Discovery: one watch on the list of workers, resumed where it broke."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from sys import intern
from typing import Any
from typing import Protocol as Shape

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
MOST = 1e15  # of any number in a list
MAX_LIST_BYTES = 4 * 1024 * 1024  # bytes of one list: 1,024 workers take 160 KB, indented 300 KB
LIFE_BYTES = 4 * 1024  # of a long list, as a sign of life while it still comes: fewer may drip for ever
SILENT_FOR = 2_500.0  # ms without a line on a watch: an empty one comes every 2 s
ANSWER_IN = 4_000.0  # ms for the first line of a call, which may wait in discovery's queue
# ms after which a call without an answer is joined by a second one. What a silent watch misses counts as told
# 6 s after its last line: 2.5 s to notice it, up to 1.5 s before the call (recovery/listing.py), 1.25 s for
# this, and 0.75 s for the second call's answer. After a start or a failed call: 2.5 s, 2 s and 1.5 s.
HEDGE_AFTER_SILENCE = 1_250.0
HEDGE_AFTER = 2_000.0


class ListError(Exception):
    """An answer of discovery that is no list."""


class Pools(Shape):
    """What is told of addresses."""

    def update_endpoint(self, name: str, address: str, started: float | None) -> None:
        """Take a worker's address, and its start as the list gives it."""

    def remove_endpoint(self, name: str) -> None:
        """Forget a worker."""


ListUpdateHandler = Callable[[ListScope, tuple[Endpoint, ...]], None]
Connect = Callable[[Factory], Deferred["WatchConnection"]]


def entry_of(e: Any, live: bool) -> tuple[Endpoint, str]:
    """Read one line of a list."""
    try:
        name, address, state = e["name"], e["address"], STATES[e["status"]]
        started, weight = float(e.get("since_ms") or 0), float(e.get("weight") or 0)
        kind, zone = str(e.get("type") or ""), e.get("zone")
        # Of the same few kinds and zones in every entry of a large list one copy is kept.
        listed = Endpoint(
            str(name),
            intern(kind),
            intern(zone) if isinstance(zone, str) else zone,
            int(e.get("group") or 0),
            started or None,
            state,
            (live and weight) or 1.0,
            since_ms=started or None,
        )
        if not (0 <= started < MOST and 0 <= weight < MOST):  # NaN is neither
            raise ValueError("since_ms or weight out of range")
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListError(f"bad entry: {type(error).__name__} {error}") from None
    if not isinstance(name, str) or not isinstance(address, str):
        raise ListError("name and address are text")
    return listed, address


def list_of(value: Any, live: bool) -> tuple[int, ListScope, list[tuple[Endpoint, str]]]:
    """Read a list in discovery's form."""
    if not isinstance(value, dict) or not isinstance(value.get("endpoints"), list):
        raise ListError("no list")
    if not isinstance(value.get("index"), int):
        raise ListError("no index")
    scope = ListScope.WHOLE if value.get("snapshot") else ListScope.CHANGES
    return value["index"], scope, [entry_of(e, live) for e in value["endpoints"]]


def encode_list(index: int, entries: Iterable[Endpoint], addresses: Mapping[str, str]) -> dict[str, Any]:
    """Write a whole list in discovery's form."""
    states = {state: name for name, state in STATES.items()}

    def since_ms(e: Endpoint) -> float:
        return (e.started if e.since_ms is None else e.since_ms) or 0

    return {
        "index": index,
        "snapshot": True,
        "endpoints": [
            {
                "name": e.worker,
                "address": addresses[e.worker],
                "zone": e.zone,
                "type": e.kind,
                "group": e.cell,
                "status": states[e.state],
                "weight": e.weight,
                "since_ms": since_ms(e),
            }
            for e in entries
            if e.worker in addresses
        ],
    }


class WatchConnection(Protocol):
    """One connection to discovery: an answer without end, a line a change."""

    transport: Any  # ITCPTransport, as zope's interfaces say nothing to mypy

    def __init__(self, watch: Discovery) -> None:
        self.watch = watch
        self.parser = http.Parser(responses=True, max_body=0)
        self.values = JsonLines(MAX_LIST_BYTES)
        self.good = False
        self.index: int | None = None  # of the latest list told here
        self.came = 0  # bytes since the last sign of life
        self.reason = "discovery-closed"

    def connectionMade(self) -> None:  # noqa: N802, D102
        target = f"/discovery/hosts?watch=1&from={self.watch.index}"
        self.transport.write(http.request("GET", target, self.watch.address))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, D102
        self.parser.feed(data)
        try:
            while self.watch.listens_to(self) and (event := self.parser.next()) is not None:
                if isinstance(event, http.Head):
                    if event.message.status != 200:
                        raise ListError(f"status {event.message.status}")
                    self.good = True
                elif isinstance(event, http.Data):
                    for value in self.values.feed(event.data):  # None: discovery lives
                        self.watch.heard(value, self)
                else:
                    raise ListError("the watch ended")
        except (http.MessageError, ListError, ValueError, RecursionError) as error:
            self.watch.ended(self, "bad-list", str(error))
            return
        self.came += len(data)
        if self.came >= LIFE_BYTES:
            self.came = 0
            self.watch.lives(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.watch.log.ended("discovery", 0, self.reason)
        self.watch.ended(self, "discovery-closed", "")


class ListCall:
    """One call for the list: its connection while that comes up, and then the watch on it."""

    __slots__ = ("owner", "connecting", "connection")

    def __init__(self, owner: Discovery) -> None:
        self.owner = owner
        self.connecting: Deferred[WatchConnection] | None = None
        self.connection: WatchConnection | None = None

    def begin(self) -> None:
        """Have the connection opened."""
        self.connecting = connecting = self.owner.connect(self.owner)
        connecting.addCallbacks(self.up, self.down).addErrback(self.owner.bug)

    def up(self, connection: WatchConnection) -> None:
        """Take the connection that has come up."""
        self.connecting, self.connection = None, connection

    def down(self, failure: Failure) -> None:
        """Note that none came up; one that was given up is no failure."""
        if self.connecting is not None:
            self.connecting = None
            self.owner.failed(self, "no-discovery", type(failure.value).__name__)

    def end(self, reason: str) -> None:
        """Give the call up, or close its watch."""
        connecting, self.connecting = self.connecting, None
        if connecting is not None:
            connecting.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.reason = reason
            connection.transport.abortConnection()


class Discovery(Factory):
    """Keeps the list, and a watch on it whenever the module has asked for one.

    A call that has no answer yet is joined by a second one; the first of them to speak is the watch.
    """

    noisy = False

    def __init__(
        self,
        deadlines: Deadlines,
        log: Log,
        connect: Connect,
        pools: Pools,
        told: ListUpdateHandler,
        address: str = "",
        live: bool = False,
    ) -> None:
        self.deadlines, self.log, self.connect, self.pools, self.told = deadlines, log, connect, pools, told
        self.address, self.live = address, live
        self.index = 0
        self.addresses: dict[str, str] = {}
        self.starts = StartTimes(deadlines)
        self.listed_at = -math.inf  # when the list that is held was last heard to be whole
        self.calls: list[ListCall] = []  # the watch; or the calls without an answer yet, two at most
        self.former: ListCall | None = None  # at the address before a move, until the new one speaks
        self.wanted = False  # the module has asked to follow
        self.fell_silent = False  # the last watch or call did, and none has spoken since
        self.timer: Deadline | None = None  # for the next sign of life
        self.hedge_timer: Deadline | None = None  # for a second call
        self.fresh = False  # a call of which the module has not yet heard
        self.fits: Callable[[ListScope, int], bool] = lambda *_: True  # whether a list can be held

    def buildProtocol(self, addr: object) -> WatchConnection:  # noqa: N802, D102
        return WatchConnection(self)

    # ---- the list ----

    def take(
        self,
        value: Any,
        told_by: WatchConnection | None = None,
    ) -> tuple[ListScope, tuple[Endpoint, ...]] | None:
        """Merge a list, unless a newer one is held; addresses first, as the module may send at once.

        A whole list that begins a watch is taken in any case: who tells it may have begun to count anew.
        """
        index, scope, pairs = list_of(value, self.live)
        if told_by is not None:
            begins = told_by.index is None
            current = self.call_of(told_by) is not None
            least = told_by.index or (self.index if current else 0)
            if index < least and not (begins and scope is ListScope.WHOLE):
                self.log.write("watch", f"version {index} is older than {least}: not taken")
                return None
            told_by.index = index
        if not self.fits(scope, len(pairs)):
            return None
        names = {listed.worker for listed, _ in pairs}
        self.starts.check_wall_clock()
        oldest = math.inf if told_by is None else self.deadlines.now() - self.listed_at
        if scope is ListScope.WHOLE:
            for name in [name for name in self.addresses if name not in names]:
                self.drop(name)
        entries = []
        for listed, address in pairs:
            if listed.state is WorkerState.GONE:
                self.drop(listed.worker)
            else:
                self.addresses[listed.worker] = address
                self.pools.update_endpoint(listed.worker, address, listed.since_ms)
                started = self.starts.reading(listed.worker, listed.since_ms, oldest)
                if started != listed.started:
                    entries.append(replace(listed, started=started))
                    continue
            entries.append(listed)
        self.index = index
        return scope, tuple(entries)

    def drop(self, name: str) -> None:
        """Forget a worker's address."""
        self.addresses.pop(name, None)
        self.starts.drop(name)
        self.pools.remove_endpoint(name)

    def heard(self, value: Any, connection: WatchConnection) -> None:
        """Take one line of the watch; the first call to speak becomes it."""
        call = self.call_of(connection)
        if call is None:
            self.heard_formerly(value, connection)
            return
        self.expect(SILENT_FOR)
        self.leave_former()
        self.keep_only(call)
        fresh, self.fresh, self.fell_silent = self.fresh, False, False
        if value is None:
            self.starts.check_wall_clock()
        news = self.take(value, connection) if value is not None else None
        if value is None or news is not None:
            self.listed_at = self.deadlines.now()
        if news is not None and fresh:
            self.log.write(
                "watch", f"{self.address} tells {len(news[1])} of {news[0].value}, version {self.index}"
            )
        if news is not None or fresh:
            self.told(*(news or (ListScope.CHANGES, ())))

    def lives(self, connection: WatchConnection) -> None:
        """Wait on for a long list of which much has come: asked for anew it would come no sooner."""
        if self.call_of(connection) is not None:
            self.expect(SILENT_FOR)

    def heard_formerly(self, value: Any, connection: WatchConnection) -> None:
        """Take a line of the watch at the address before a move: a change written there counts as told."""
        if value is None:
            return
        index = self.index
        news = self.take(value, connection)
        self.index = index  # the new address has versions of its own
        if news is not None:
            self.told(*news)

    # ---- calls ----

    def follow(self) -> None:
        """Ask for changes; while a watch is being opened or lives, it is the answer."""
        self.wanted = True
        if self.calls:
            return
        self.fresh = True
        self.expect(ANSWER_IN)
        hedge_after = HEDGE_AFTER_SILENCE if self.fell_silent else HEDGE_AFTER
        self.hedge_timer = self.deadlines.after(hedge_after, self.hedge)
        self.call()

    def call(self) -> None:
        """Call for the list."""
        call = ListCall(self)
        self.calls.append(call)
        call.begin()

    def hedge(self) -> None:
        """Call a second time, beside the call that has no answer yet."""
        self.hedge_timer = None
        self.log.write("watch", "no answer yet: called a second time")
        self.call()

    def keep_only(self, call: ListCall) -> None:
        """End the other call, or the plan of it."""
        if self.hedge_timer is not None:
            self.hedge_timer.cancel()
            self.hedge_timer = None
        others, self.calls = [other for other in self.calls if other is not call], [call]
        for other in others:
            other.end("second-call")

    def end_calls(self, reason: str) -> None:
        """Give up all calls, and close the watch."""
        for timer in (self.timer, self.hedge_timer):
            if timer is not None:
                timer.cancel()
        self.timer = self.hedge_timer = None
        calls, self.calls = self.calls, []
        for call in calls:
            call.end(reason)

    def move(self, address: str) -> None:
        """Go to another address, at once.

        It may count its versions afresh, so it is asked for all there is. Until it has spoken the former
        watch is heard on: a change written there counts as told. No call of it is repeated.
        """
        self.address, self.index, self.listed_at = address, 0, -math.inf
        if self.former is None or not self.fresh:  # else what has not spoken gives way, not what has
            self.leave_former()
            self.former = next((call for call in self.calls if call.connection is not None), None)
            self.calls = [call for call in self.calls if call is not self.former]
        self.end_calls("moved")
        if self.wanted:
            self.follow()

    def leave_former(self) -> None:
        """Close the watch at the former address."""
        former, self.former = self.former, None
        if former is not None:
            former.end("moved")

    def call_of(self, connection: WatchConnection) -> ListCall | None:
        """Find the call that a connection belongs to, at the present address."""
        return next((call for call in self.calls if call.connection is connection), None)

    def listens_to(self, connection: WatchConnection) -> bool:
        """Say whether what a connection brings still counts."""
        formerly = self.former is not None and self.former.connection is connection
        return formerly or self.call_of(connection) is not None

    def ended(self, connection: WatchConnection, reason: str, detail: str) -> None:
        """Note that a watch has ended or cannot be read; the former one's end is no loss."""
        if self.former is not None and self.former.connection is connection:
            self.leave_former()
        elif (call := self.call_of(connection)) is not None:
            self.failed(call, reason, detail)

    def failed(self, call: ListCall, reason: str, detail: str) -> None:
        """Note that a call has failed; while another one is out, that is waited for."""
        if call not in self.calls:
            return
        if len(self.calls) == 1:
            self.broken(reason, detail)
            return
        self.log.write("watch", f"{reason} {detail}".rstrip() + ", another call is out")
        self.calls.remove(call)
        call.end(reason)

    def bug(self, failure: Failure) -> None:
        """Note an error of our own."""
        self.log.failure("discovery", failure.value)

    def expect(self, within: float) -> None:
        """Wait so long for the next sign of life."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.deadlines.after(within, self.broken, "silent", "")

    def broken(self, reason: str, detail: str) -> None:
        """Close the watch and tell the module, which asks again when it sees fit."""
        self.log.write("watch", f"{reason} {detail}".rstrip())
        self.end_calls(reason)
        self.fell_silent = reason == "silent"
        self.told(ListScope.SILENT if self.fell_silent else ListScope.FAILED, ())

    def close(self) -> None:
        """End the watch for good."""
        self.leave_former()
        self.end_calls("exit")
