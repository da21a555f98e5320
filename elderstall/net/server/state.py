"""The state of one accepted connection, and the state that all connections share."""

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
from elderstall.net.server.memory import MemoryBudget
from elderstall.net.server.work_queue import WorkQueue
from elderstall.net.turns import TurnMeter


class Stage(Enum):
    """The stage of a connection's life."""

    OPEN = auto()
    CLOSING = auto()  # nothing more is answered: it lingers, is released for a hand-over, or is lost
    ENDING = auto()  # as CLOSING, and the descriptor will soon be free


class CloseReason(StrEnum):
    """The reason why a connection ended, as written to the log."""

    PEER_CLOSED = "peer-closed"
    CLIENT_GONE = "client-gone"  # during its job, or while nothing was read from it
    SILENT = "silent"
    IDLE = "idle"
    SLOW_REQUEST = "slow-request"
    SLOW_READER = "slow-reader"
    BAD_REQUEST = "bad-request"
    BUG = "bug"
    MEMORY = "memory"
    CROWDED = "crowded"  # shed, as descriptors ran short
    DRAIN = "drain"
    CLOSED_AFTER = "closed-after"  # after an answer
    HANDED_OVER = "passed"  # to the peer process of an upgrade


class Stream(Interface):
    """Output that waits until its client reads again."""

    def flush(self) -> None:
        """Write the output that has waited."""


@dataclass(slots=True, frozen=True)
class Timeouts:
    """The time-outs of a connection, ms."""

    idle: float = 75_000.0  # between requests
    # A bad client must be answered or closed within 3 s; 0.5 s of that is left for a process under load. A
    # client whose body is still being received does not count as bad.
    request: float = 2_500.0  # for a complete request
    body: float = 15_000.0  # for a request whose body is still being received
    write: float = 20_000.0  # for the peer to read its answer


class SharedState(Interface):
    """The state that the connections of one listener share."""

    engine: Engine
    deadlines: Deadlines
    log: Log
    table: ConnectionTable[Any]
    kept: MemoryBudget
    turns: TurnMeter
    work: WorkQueue
    timeouts: Timeouts


class ConnectionState(Protocol):
    """The state of one accepted connection.

    Three flags are independent of ``stage`` and of each other: a request can be handled (``busy``) while its
    peer reads nothing (``blocked``) and while nothing is read from that peer (``paused``). Each of them can
    still be set after the connection's last answer.
    """

    transport: Any  # ITCPTransport, as zope's interfaces say nothing to mypy

    def __init__(self, server: SharedState) -> None:
        self.server = server
        self.parser = http.Parser()
        # In the table of connections.
        self.number = 0
        self.activity: Activity | None = None
        self.active_since = 0.0
        # Closing.
        self.stage = Stage.OPEN
        self.reason: CloseReason = CloseReason.PEER_CLOSED
        self.timeout: Deadline | None = None
        self.grace_used = False  # timed out; data unread at that time is being read
        # Checks for the peer's end while nothing is read.
        self.departure_check: Deadline | None = None
        # Holds back a request that was sent before the last answer, while its client may have left.
        self.receipt_check: Deadline | None = None
        # The three flags.
        self.busy = False  # a request is being handled
        self.blocked = False  # the peer does not read
        self.paused = False  # nothing is read from the peer
        self.is_queued = False  # waits for its next slice of the loop's time
        # The request that is being read.
        self.message: http.Message | None = None
        self.job_request: JobRequest | None = None  # parsed from its head
        self.body = bytearray()
        self.request_bytes = 0  # the memory of its head and of the body so far, also during its job
        self.kept_bytes = 0  # counted for this connection
        self.peak_kept_bytes = 0
        self.message_began_at = 0.0
        self.last_received_at = 0.0
        self.first_byte_at: float | None = None  # of the current or next request
        # The current request.
        self.job: int | None = None  # its number in the engine
        self.original: http.Message | None = None  # of that job
        self.stream: Stream | None = None  # of that job, if its client requested events
        self.close_after = False  # the client asked to close the connection
        self.rejected_in_shutdown = False  # the client should use another dispatcher
        # The peer.
        self.is_client = False  # has submitted a job
        self.is_worker = False  # has sent a callback that was applied to a live attempt, or forwarded
        self.requests = 0
        # An upgrade.
        self.handed_descriptor: int | None = None  # a copy for the peer process
        self.transfer: JobTransfer | None = None  # the job handed over with the connection

    @property
    def closing(self) -> bool:
        """Whether nothing more is answered."""
        return self.stage is not Stage.OPEN
