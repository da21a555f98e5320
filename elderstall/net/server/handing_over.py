"""An upgrade: connections and their jobs move between the two processes that serve one address."""

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
    """Close a connection here, and keep a copy of its descriptor for the other process.

    Nothing is shut down: what the client writes from here on waits in the kernel for that process.
    """
    transport = connection.transport
    try:
        connection.handed_descriptor = os.dup(transport.fileno())
    except OSError:
        return False
    connection.stage, connection.reason = Stage.CLOSING, CloseReason.PASSED
    connection.cancel_timeout()
    connection.server.table.set_activity(connection, None)
    transport.unregisterProducer()
    # Twisted would shut the socket down for both; it still writes first what there is to write.
    transport._shouldShutdown = False
    transport.loseConnection()
    return True


class HandingOver:
    """Gives connections to the other process, and takes on those that it gives."""

    def __init__(
        self, engine: Engine, deadlines: Deadlines, table: ConnectionTable[ServerConnection]
    ) -> None:
        self.engine, self.deadlines, self.table = engine, deadlines, table
        self.can_hand_over: Callable[[], bool] = lambda: False  # another process takes connections
        self.send_connection: Callable[..., bool] = lambda fd, **fields: False  # gives it one
        # Serves on with one that the other process could not be given.
        self.take_back_connection: Callable[[int, dict[str, Any]], None] = lambda fd, fields: os.close(fd)
        # Ids of jobs let go of and not yet handed over: a callback that comes meanwhile is to come again.
        self.ids_in_transfer: set[str] = set()

    def hand_over_all(self) -> None:
        """Hand over the connections between requests and those whose jobs can move, as many as may."""
        for connection in self.table.with_activity(Activity.IDLE, Activity.HEALTH_CHECKED, Activity.NEW):
            if not self.can_hand_over():
                return
            self.hand_over_idle(connection)
        for connection in self.table.connections:
            if connection.job is not None and self.can_hand_over():
                self.hand_over_job(connection)

    def hand_over_idle(self, c: RequestConnection) -> bool:
        """Leave a connection that is between requests to the process that takes over, if there is one."""
        idle = not (c.busy or c.blocked or c.closing or c.message or c.paused) and c.parser.idle
        return idle and self.can_hand_over() and release(c)

    def hand_over_job(self, c: RequestConnection) -> bool:
        """Leave a connection whose job is out to that process, with the job."""
        plain = c.busy and c.job is not None and c.stream is None and c.parser.idle
        if not plain or c.blocked or c.paused or c.closing or not self.can_hand_over():
            return False
        transfer = self.engine.export_job(c.job or 0)
        if transfer is None:
            return False
        c.transfer, c.job = transfer, None
        self.ids_in_transfer.add(transfer.request_id)
        if not release(c):  # no descriptor is free for its copy: it goes on here
            self.take_back(c)
        return c.handed_descriptor is not None

    def take_back(self, connection: RequestConnection) -> None:
        """Go on with a job that could not leave, or that has come over."""
        transfer, connection.transfer = connection.transfer, None
        if transfer is None or connection.original is None:
            return
        self.ids_in_transfer.discard(transfer.request_id)
        if self.engine.jobs.live.full:
            self.engine.reject_transfer(transfer, connection)
            return
        number = self.engine.import_job(transfer, connection.original, connection)
        if connection.busy:  # else it has been answered already
            connection.job = number

    def passed(self, connection: RequestConnection, *, whole: bool) -> None:
        """Give a connection that this process has let go of to the other one."""
        fd, connection.handed_descriptor = connection.handed_descriptor, None
        if fd is None:
            return
        transfer = connection.transfer
        if transfer is not None:
            self.ids_in_transfer.discard(transfer.request_id)
        fields = self.encode(connection)
        if not whole:  # its client is gone
            os.close(fd)
            if transfer is not None:
                self.engine.abandon_transfer(transfer)
        elif not self.send_connection(fd, **fields):  # the other process is gone meanwhile
            self.take_back_connection(fd, fields)

    def encode(self, connection: RequestConnection) -> dict[str, Any]:
        """Write a connection, and the job that goes with it, as a message's fields."""
        fields: dict[str, Any] = {
            "client": connection.client,
            "worker": connection.worker,
            "asked": connection.requests,
            "age": self.deadlines.now() - connection.message_began,
        }
        if connection.transfer is not None and connection.original is not None:
            fields["job"] = self.engine.encode_transfer(connection.transfer)
            fields["parcel"] = connection.original.plain()
            fields["last"] = connection.close_after
        return fields

    def adopt_connection(self, connection: RequestConnection, fields: dict[str, Any]) -> None:
        """Go on with a connection that the other process has handed over, and with its job if one is out."""
        connection.client, connection.worker = fields["client"], fields["worker"]
        connection.requests = fields["asked"]
        if "job" in fields:
            self.adopt_job(connection, fields)
        elif connection.requests:
            connection.await_request()
        else:
            age = fields["age"]
            connection.message_began -= age
            time_left = max(0.0, connection.server.timeouts.request - age)
            connection.set_timeout(time_left, CloseReason.SILENT)

    def adopt_job(self, connection: RequestConnection, fields: dict[str, Any]) -> None:
        """Go on with the job of a connection that was handed over."""
        connection.original = http.Message.from_plain(fields["parcel"])
        connection.busy, connection.close_after = True, fields["last"]
        connection.body_size = len(connection.original.body)
        connection.transfer = self.engine.decode_transfer(fields["job"])
        connection.server.table.set_activity(connection, None)
        connection.cancel_timeout()
        self.take_back(connection)
