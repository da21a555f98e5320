"""Hand-over of connections and their jobs between the two processes of an upgrade.

A connection is handed over in these steps:

1. ``hand_over_idle`` or ``hand_over_job`` releases it: the job is exported, the descriptor copied, and the
   transport closed without shutting the socket down.
2. Once the transport has written its pending data, Twisted calls ``connectionLost``, which calls
   ``complete_hand_over``. That sends the copy and the encoded connection to the peer process.
3. The peer process calls ``adopt_connection``, which resumes the job or waits for the next request.

A connection that cannot be sent is taken back by its own process, by the same ``adopt_connection``.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from elderstall.deadlines import Deadlines
from elderstall.engine import Engine
from elderstall.net import http
from elderstall.net.server.admission import Activity, ConnectionTable
from elderstall.net.server.connection import ServerConnection
from elderstall.net.server.request_connection import RequestConnection
from elderstall.net.server.state import CloseReason, Stage


def release(connection: RequestConnection) -> bool:
    """Close a connection in this process, keeping a copy of its descriptor for the peer process.

    The socket is not shut down: what the client writes from now on waits in the kernel for that process.
    Returns False if no descriptor is free for the copy.
    """
    transport = connection.transport
    try:
        connection.handed_descriptor = os.dup(transport.fileno())
    except OSError:
        return False
    connection.stage = Stage.CLOSING
    connection.reason = CloseReason.HANDED_OVER
    connection.cancel_timeout()
    connection.server.table.set_activity(connection, None)
    transport.unregisterProducer()
    # Twisted would shut the socket down for both processes, and has no public way to prevent it. Pending data
    # is still written first.
    transport._shouldShutdown = False
    transport.loseConnection()
    return True


class ConnectionHandover:
    """Hands connections over to the peer process, and adopts those that it hands over."""

    def __init__(
        self, engine: Engine, deadlines: Deadlines, table: ConnectionTable[ServerConnection]
    ) -> None:
        self.engine = engine
        self.deadlines = deadlines
        self.table = table
        self.can_hand_over: Callable[[], bool] = lambda: False  # whether a peer process accepts them
        self.send_connection: Callable[..., bool] = lambda descriptor, **fields: False  # to that process
        # Called with a connection that could not be sent; by default its descriptor is closed.
        self.take_back_connection: Callable[[int, dict[str, Any]], None] = lambda descriptor, fields: (
            os.close(descriptor)
        )
        # Ids of jobs released here and not sent yet, and of received ones that wait for a free descriptor. A
        # worker has to repeat a callback for them.
        self.ids_in_transfer: set[str] = set()

    def hand_over_all(self) -> None:
        """Hand over idle connections and those whose jobs can move, until no more can be sent."""
        for connection in self.table.with_activity(Activity.IDLE, Activity.HEALTH_CHECKED, Activity.NEW):
            if not self.can_hand_over():
                return
            self.hand_over_idle(connection)
        for connection in self.table.connections:
            if connection.job is not None and self.can_hand_over():
                self.hand_over_job(connection)

    def hand_over_idle(self, connection: RequestConnection) -> bool:
        """Hand over a connection that is between requests; return whether it was released."""
        idle = (
            not (
                connection.busy
                or connection.blocked
                or connection.closing
                or connection.message
                or connection.paused
            )
            and connection.parser.idle
        )
        return idle and self.can_hand_over() and release(connection)

    def hand_over_job(self, connection: RequestConnection) -> bool:
        """Hand over a connection together with its job; return whether it was released."""
        is_movable = (
            connection.busy
            and connection.job is not None
            and connection.stream is None
            and connection.parser.idle
        )
        if (
            not is_movable
            or connection.blocked
            or connection.paused
            or connection.closing
            or not self.can_hand_over()
        ):
            return False
        transfer = self.engine.export_job(connection.job or 0)
        if transfer is None:
            return False
        connection.transfer = transfer
        connection.job = None
        self.ids_in_transfer.add(transfer.request_id)
        if not release(connection):  # no descriptor is free for the copy: it stays here
            self.resume_transfer(connection)
        return connection.handed_descriptor is not None

    def resume_transfer(self, connection: RequestConnection) -> None:
        """Resume a job that could not be handed over, or that was handed over to this process."""
        transfer = connection.transfer
        connection.transfer = None
        if transfer is None or connection.original is None:
            return
        self.ids_in_transfer.discard(transfer.request_id)
        if self.engine.jobs.live.is_full:
            self.engine.reject_transfer(transfer, connection)
            return
        number = self.engine.import_job(transfer, connection.original, connection)
        if connection.busy:  # else the job has been answered already
            connection.job = number

    def complete_hand_over(self, connection: RequestConnection, *, closed_cleanly: bool) -> None:
        """Send a released connection to the peer process, or end its job if the connection broke."""
        descriptor = connection.handed_descriptor
        connection.handed_descriptor = None
        if descriptor is None:
            return
        transfer = connection.transfer
        if transfer is not None:
            self.ids_in_transfer.discard(transfer.request_id)
        fields = self.encode(connection)
        if not closed_cleanly:  # the client has disconnected
            os.close(descriptor)
            if transfer is not None:
                self.engine.abandon_transfer(transfer)
        elif not self.send_connection(descriptor, **fields):  # the peer process has ended meanwhile
            self.take_back_connection(descriptor, fields)

    def encode(self, connection: RequestConnection) -> dict[str, Any]:
        """Encode a connection, and its job if it has one, as a message's fields."""
        fields: dict[str, Any] = {
            "client": connection.is_client,
            "worker": connection.is_worker,
            "asked": connection.requests,
            "age": self.deadlines.now() - connection.message_began_at,
        }
        if connection.transfer is not None and connection.original is not None:
            fields["job"] = self.engine.encode_transfer(connection.transfer)
            fields["parcel"] = connection.original.to_fields()
            fields["last"] = connection.close_after
        return fields

    def adopt_connection(self, connection: RequestConnection, fields: dict[str, Any]) -> None:
        """Serve a connection that the peer process handed over, and resume its job if it has one."""
        connection.is_client = fields["client"]
        connection.is_worker = fields["worker"]
        connection.requests = fields["asked"]
        if "job" in fields:
            self.adopt_job(connection, fields)
        elif connection.requests:
            connection.await_request()
        else:
            age = fields["age"]
            connection.message_began_at -= age
            time_left = max(0.0, connection.server.timeouts.request - age)
            connection.set_timeout(time_left, CloseReason.SILENT)

    def adopt_job(self, connection: RequestConnection, fields: dict[str, Any]) -> None:
        """Resume the job of a connection that was handed over."""
        connection.original = http.Message.from_fields(fields["parcel"])
        connection.busy = True
        connection.close_after = fields["last"]
        connection.request_bytes = connection.original.memory_bytes
        connection.transfer = self.engine.decode_transfer(fields["job"])
        connection.server.table.set_activity(connection, None)
        connection.cancel_timeout()
        self.resume_transfer(connection)
