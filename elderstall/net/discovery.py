"""Discovery: one watch on the list of workers, resumed where it broke."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any
from typing import Protocol as Shape

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from elderstall import interface as i
from elderstall.deadlines import Deadline, Deadlines
from elderstall.log import Log
from elderstall.net import http
from elderstall.net.jsonlines import JsonLines

STATES = {
    "in_service": i.WorkerState.UP, "terminating": i.WorkerState.DRAINING, "terminated": i.WorkerState.GONE}
MOST = 1e15  # of any number in a list
LINE_MOST = 4 * 1024 * 1024  # bytes of one list: 1,024 workers take 160 KB, indented 300 KB


class ListError(Exception):
    """An answer of discovery that is no list."""


class Pools(Shape):
    """What is told of addresses."""

    def listed(self, name: str, address: str, started: float | None) -> None:
        """Take a worker's address."""

    def gone(self, name: str) -> None:
        """Forget a worker."""


Told = Callable[[i.ListScope, tuple[i.Listed, ...]], None]
Connect = Callable[[Factory], Deferred["WatchConnection"]]


def entry_of(e: Any, live: bool) -> tuple[i.Listed, str]:
    """Read one line of a list."""
    try:
        name, address, state = e["name"], e["address"], STATES[e["status"]]
        started, weight = float(e.get("since_ms") or 0), float(e.get("weight") or 0)
        listed = i.Listed(str(name), str(e.get("type") or ""), e.get("zone"), int(e.get("group") or 0),
                          started or None, state, (live and weight) or 1.0)
        if not (0 <= started < MOST and 0 <= weight < MOST):  # NaN is neither
            raise ValueError("since_ms or weight out of range")
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListError(f"bad entry: {type(error).__name__} {error}") from None
    if not isinstance(name, str) or not isinstance(address, str):
        raise ListError("name and address are text")
    return listed, address


def list_of(value: Any, live: bool) -> tuple[int, i.ListScope, list[tuple[i.Listed, str]]]:
    """Read a list in discovery's form."""
    if not isinstance(value, dict) or not isinstance(value.get("endpoints"), list):
        raise ListError("no list")
    if not isinstance(value.get("index"), int):
        raise ListError("no index")
    scope = i.ListScope.WHOLE if value.get("snapshot") else i.ListScope.CHANGES
    return value["index"], scope, [entry_of(e, live) for e in value["endpoints"]]


def told_as(index: int, entries: Iterable[i.Listed], addresses: Mapping[str, str]) -> dict[str, Any]:
    """Write a whole list in discovery's form."""
    states = {state: name for name, state in STATES.items()}
    return {"index": index, "snapshot": True, "endpoints": [
        {"name": e.worker, "address": addresses[e.worker], "zone": e.zone, "type": e.kind, "group": e.cell,
         "status": states[e.state], "weight": e.weight, "since_ms": e.started or 0}
        for e in entries if e.worker in addresses]}


class WatchConnection(Protocol):
    """One connection to discovery: an answer without end, a line a change."""

    transport: Any  # ITCPTransport, as zope's interfaces say nothing to mypy

    def __init__(self, watch: Discovery) -> None:
        self.watch = watch
        self.parser = http.Parser(responses=True, max_body=0)
        self.values = JsonLines(LINE_MOST)
        self.good = False
        self.index: int | None = None  # of the latest list told here
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

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802, D102
        self.watch.log.ended("discovery", 0, self.reason)
        self.watch.ended(self, "discovery-closed", "")


class Discovery(Factory):
    """Keeps the list, and a watch on it whenever the module has asked for one."""

    noisy = False

    def __init__(self, deadlines: Deadlines, log: Log, connect: Connect, pools: Pools, told: Told,
                 address: str = "", live: bool = False, silent_for: float = 3_000.0,
                 answer_in: float = 4_000.0) -> None:
        self.deadlines, self.log, self.connect, self.pools, self.told = deadlines, log, connect, pools, told
        self.address, self.live = address, live
        self.silent_for, self.answer_in = silent_for, answer_in
        self.index = 0
        self.addresses: dict[str, str] = {}
        self.connection: WatchConnection | None = None
        self.former: WatchConnection | None = None  # at the address before a move, until the new one speaks
        self.wanted = False  # the module has asked to follow
        self.connecting: Deferred[WatchConnection] | None = None
        self.timer: Deadline | None = None
        self.fresh = False  # a call of which the module has not yet heard

    def buildProtocol(self, addr: object) -> WatchConnection:  # noqa: N802, D102
        return WatchConnection(self)

    def take(self, value: Any, told_by: WatchConnection | None = None,
             ) -> tuple[i.ListScope, tuple[i.Listed, ...]] | None:
        """Merge a list, unless a newer one is held; addresses first, as the module may send at once.

        A whole list that begins a watch is taken in any case: who tells it may have begun to count anew.
        """
        index, scope, pairs = list_of(value, self.live)
        if told_by is not None:
            begins = told_by.index is None
            least = told_by.index or (self.index if told_by is self.connection else 0)
            if index < least and not (begins and scope is i.ListScope.WHOLE):
                self.log.write("watch", f"version {index} is older than {least}: not taken")
                return None
            told_by.index = index
        names = {listed.worker for listed, _ in pairs}
        if scope is i.ListScope.WHOLE:
            for name in [name for name in self.addresses if name not in names]:
                self.drop(name)
        for listed, address in pairs:
            if listed.state is i.WorkerState.GONE:
                self.drop(listed.worker)
            else:
                self.addresses[listed.worker] = address
                self.pools.listed(listed.worker, address, listed.started)
        self.index = index
        return scope, tuple(listed for listed, _ in pairs)

    def drop(self, name: str) -> None:
        """Forget a worker's address."""
        self.addresses.pop(name, None)
        self.pools.gone(name)

    def follow(self) -> None:
        """Ask for changes; while a watch is being opened or lives, it is the answer."""
        self.wanted = True
        if self.connection is not None or self.connecting is not None:
            return
        self.fresh = True
        self.expect(self.answer_in)
        self.connecting = connecting = self.connect(self)
        connecting.addCallbacks(self.up, self.down).addErrback(self.bug)

    def move(self, address: str) -> None:
        """Go to another address, at once.

        It may count its versions afresh, so it is asked for all there is. Until it has spoken the former
        watch is heard on: a change written there counts as told. No call of it is repeated.
        """
        self.address, self.index = address, 0
        connecting, self.connecting = self.connecting, None
        if connecting is not None:
            connecting.cancel()
        if self.former is None or not self.fresh:  # else what has not spoken gives way, not what has
            self.leave()
            self.former, self.connection = self.connection, None
        elif self.connection is not None:
            connection, self.connection = self.connection, None
            connection.reason = "moved"
            connection.transport.abortConnection()
        if self.wanted:
            self.follow()

    def leave(self) -> None:
        """Close the watch at the former address."""
        former, self.former = self.former, None
        if former is not None:
            former.reason = "moved"
            former.transport.abortConnection()

    def listens_to(self, connection: WatchConnection) -> bool:
        """Say whether what a connection brings still counts."""
        return connection in (self.connection, self.former)

    def ended(self, connection: WatchConnection, reason: str, detail: str) -> None:
        """Note that a watch has ended or cannot be read; the former one's end is no loss."""
        if connection is self.former:
            self.leave()
        elif connection is self.connection:
            self.broken(reason, detail)

    def up(self, connection: WatchConnection) -> None:
        """Take the connection that has come up."""
        self.connecting = None
        self.connection = connection

    def down(self, failure: Failure) -> None:
        """Note that none came up."""
        if self.connecting is not None:
            self.connecting = None
            self.broken("no-discovery", type(failure.value).__name__)

    def bug(self, failure: Failure) -> None:
        """Note an error of our own."""
        self.log.failure("discovery", failure.value)

    def expect(self, within: float) -> None:
        """Wait so long for the next sign of life."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.deadlines.after(within, self.broken, "silent", "")

    def heard(self, value: Any, connection: WatchConnection) -> None:
        """Take one line of the watch."""
        if connection is self.former:
            if value is not None:
                index = self.index
                news = self.take(value, connection)
                self.index = index  # the new address has versions of its own
                if news is not None:
                    self.told(*news)
            return
        self.expect(self.silent_for)
        self.leave()
        fresh, self.fresh = self.fresh, False
        news = self.take(value, connection) if value is not None else None
        if news is not None and fresh:
            self.log.write("watch", f"{self.address} tells {len(news[1])} of {news[0].value}, "
                                    f"version {self.index}")
        if news is not None or fresh:
            self.told(*(news or (i.ListScope.CHANGES, ())))

    def broken(self, reason: str, detail: str) -> None:
        """Close the watch and tell the module, which asks again when it sees fit."""
        self.log.write("watch", f"{reason} {detail}".rstrip())
        if self.timer is not None:
            self.timer.cancel()
        connecting, self.connecting = self.connecting, None
        if connecting is not None:
            connecting.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.reason = reason
            connection.transport.abortConnection()
        self.told(i.ListScope.SILENT if reason == "silent" else i.ListScope.FAILED, ())

    def close(self) -> None:
        """End the watch for good."""
        self.leave()
        if self.timer is not None:
            self.timer.cancel()
        connecting, self.connecting = self.connecting, None
        if connecting is not None:
            connecting.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.reason = "exit"
            connection.transport.abortConnection()
