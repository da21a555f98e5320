"""The state of one accepted connection, and what all of them share."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum, auto
from typing import Any
from typing import Protocol as Interface

from twisted.internet.protocol import Protocol

from elderstall.deadlines import Deadline, Deadlines
from elderstall.engine import Engine
from elderstall.engine.job_transfer import JobTransfer
from elderstall.log import Log
from elderstall.messages import JobRequest
from elderstall.net import http
from elderstall.net.server.admission import Activity, ConnectionTable


class Stage(Enum):
    """How far a connection is on its way to its end."""

    OPEN = auto()
    CLOSING = auto()  # nothing more is answered
    ENDING = auto()  # the same, and its descriptor is free soon


class CloseReason(StrEnum):
    """Why a connection ended, as the log says it."""

    PEER_CLOSED = "peer-closed"
    CLIENT_GONE = "client-gone"  # its job was out, or nothing was read from it
    SILENT = "silent"
    IDLE = "idle"
    SLOW_REQUEST = "slow-request"
    SLOW_READER = "slow-reader"
    BAD_REQUEST = "bad-request"
    BUG = "bug"
    MEMORY = "memory"
    CROWDED = "crowded"
    DRAIN = "drain"
    CLOSED_AFTER = "closed-after"
    PASSED = "passed"  # to the other process of an upgrade


class Stream(Interface):
    """What waits for its client to read on."""

    def flush(self) -> None:
        """Write what has waited."""


@dataclass(slots=True, frozen=True)
class Timeouts:
    """How long a connection may take, ms."""

    idle: float = 75_000.0  # between requests
    # Bad clients are owed an answer or a close within 3 s: half a second is for a program under load.
    request: float = 2_500.0  # for a request to come whole
    body: float = 15_000.0  # the same for one whose body still comes
    write: float = 20_000.0  # for the peer to read its answer


@dataclass(slots=True)
class KeptBytes:
    """The bytes that all connections keep, of requests and of what lies behind them."""

    limit: int  # for requests that are not whole
    total: int = 0

    @property
    def over_limit(self) -> bool:
        """Whether more is kept than should be."""
        return self.total > self.limit


class SharedState(Interface):
    """What the connections of one listener share."""

    engine: Engine
    deadlines: Deadlines
    log: Log
    table: ConnectionTable[Any]
    kept: KeptBytes
    timeouts: Timeouts


class ConnectionState(Protocol):
    """One accepted connection: what is known of it.

    ``stage`` says how far it is on its way to its end. Three flags are independent of it and of each other:
    a request can be in hand (``busy``) while its peer reads nothing (``blocked``) and while nothing is read
    from that peer (``paused``), and each of these can outlast the connection's last answer.
    """

    transport: Any  # ITCPTransport, as zope's interfaces say nothing to mypy

    def __init__(self, server: SharedState) -> None:
        self.server = server
        self.parser = http.Parser()
        # In the table of connections.
        self.number = 0
        self.activity: Activity | None = None
        self.active_since = 0.0
        # The way to the end.
        self.stage = Stage.OPEN
        self.reason: CloseReason = CloseReason.PEER_CLOSED
        self.timeout: Deadline | None = None
        self.grace_used = False  # its time was over, and what lay unread then is being read
        self.departure_check: Deadline | None = None  # for its client's leaving, while nothing is read
        # The three flags.
        self.busy = False  # a request is being handled
        self.blocked = False  # the peer does not read
        self.paused = False  # nothing is read from the peer
        # The request that is being read.
        self.message: http.Message | None = None
        self.job_request: JobRequest | None = None  # what its head asks for
        self.body_parts: list[bytes] = []
        self.body_size = 0  # bytes, also while its job is out
        self.kept_bytes = 0  # counted for this connection
        self.message_began = 0.0
        self.last_received = 0.0
        self.first_byte_at: float | None = None  # of the request in hand or next
        # The request in hand.
        self.job: int | None = None  # out
        self.original: http.Message | None = None  # of that job
        self.stream: Stream | None = None  # of that job, where its client asked for events
        self.close_after = False  # the client wants no further answer here
        self.rejected_in_shutdown = False  # it had better find another dispatcher
        # The peer.
        self.client = False  # has handed in a job
        self.worker = False  # has called back about a live attempt
        self.requests = 0
        # An upgrade.
        self.handed_descriptor: int | None = None  # a copy, for the process that takes it over
        self.transfer: JobTransfer | None = None  # the job that goes with it

    @property
    def closing(self) -> bool:
        """Whether nothing more is answered."""
        return self.stage is not Stage.OPEN
