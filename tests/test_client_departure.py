"""After a client closes, no attempt of its job begins more than 0.1 s later, wherever the job waits.

The process is delayed for 0.15 s at the worst instant, so that the client's end and the event that lets its
job continue are both unread and handled in one turn. tests/test_crossings.py has the cases without the delay.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import struct
import tempfile
from typing import Any

from elderstall.net import http
from elderstall.net.peer import has_peer_closed
from tests.loopback import Loopback, PeerSocket
from tests.scenario import CLASSES

PROCESS_DELAY_MS = 150.0  # for which the process may be delayed between two turns of its reactor
LONG_DEADLINE_CLASS = {"name": "album", "points": 4, "aim": 4000, "deadline": 9000, "effect": "safe"}
ACCEPTED = http.response(202)
MUCH_BYTES = 1024 * 1024  # more than the systems of both ends keep for a connection that is not read


class Leaving(Loopback):
    """Helpers for clients that disconnect, and for the requests that reach workers after that."""

    progress = False

    def begin(self, workers: int = 1, **more: Any) -> None:  # type: ignore[override]
        """Add a class with a long deadline: the others' jobs could expire before the checks end."""
        super().begin(workers, progress=self.progress, classes=[*CLASSES, LONG_DEADLINE_CLASS], **more)

    def send_job(self, request_id: str = "gone", job_class: str = "album") -> PeerSocket:
        client = self.client()
        accept = "text/event-stream" if self.progress else "*/*"
        client.send(self.job(request_id, job_class, accept=accept))
        self.until(lambda: request_id in self.app.engine.jobs.by_request_id)
        return client

    def occupy(self) -> None:
        """Send the only worker a job, so that the next one waits for a free slot."""
        self.first = self.client()
        self.first.send(self.job("first", "deck-build", 15_000))
        self.take("POST first").send(ACCEPTED)
        self.turn()

    def send_callback(self, request_id: str, state: str = "done", worker: str = "w1") -> PeerSocket:
        """Send a worker's callback, which is not read yet."""
        side = self.client()
        call = {"id": request_id, "from": worker, "state": state, "result": "deck"}
        side.send(http.request("POST", "/callback", "n1", (), json.dumps(call).encode()))
        return side

    def worker_name(self, worker: PeerSocket) -> str:
        ports = [sock.getsockname()[1] for sock in self.listeners]
        return f"w{ports.index(worker.sock.getsockname()[1]) + 1}"

    def disconnect(self, client: PeerSocket) -> None:
        """Close a client's connection, and delay the process right after."""
        client.sock.close()
        self.advance_clock_only(PROCESS_DELAY_MS)

    def assert_no_attempt(self) -> None:
        """Assert that no attempt begins within 0.5 s, and that the job has ended."""
        for _ in range(10):
            self.wait(50)
            self.assertEqual([], [what for what, _ in self.came() if what.startswith("POST")])
        self.assertNotIn("gone", self.app.engine.jobs.by_request_id)


class Departure(Leaving):
    """Plain answers; the class below runs the same cases on the listener for streams."""

    def test_waiting_for_a_free_slot(self) -> None:
        self.begin()
        self.occupy()
        client = self.send_job()
        client.sock.close()
        self.send_callback("first")
        self.advance_clock_only(PROCESS_DELAY_MS)
        self.assert_no_attempt()

    def test_connection_to_its_worker_is_established(self) -> None:
        self.begin()
        self.held = []
        client = self.send_job(job_class="deck-build")
        self.until(lambda: bool(self.held))
        self.disconnect(client)
        self.release_connections()
        self.assert_no_attempt()

    def test_kept_connection_is_written_to_in_the_turn_of_the_decision(self) -> None:
        self.begin()
        for request_id in ("k1", "k2"):  # leaves kept connections to the worker
            side = self.client()
            side.send(self.job(request_id))
            self.take(f"POST {request_id}").send(ACCEPTED)
            self.turn()
            self.call_back(request_id)
            self.answer(side)
        self.occupy()
        client = self.send_job()
        client.sock.close()
        self.send_callback("first")
        self.advance_clock_only(PROCESS_DELAY_MS)
        self.assert_no_attempt()

    def test_workers_are_polled_for_their_load(self) -> None:
        limits = {"conn_idle": 10000, "connect_timeout": 250, "max_attempts": 5, "probes": True}
        self.begin(workers=2, balancers=200, limits=limits)
        client = self.send_job()
        asked = self.take("GET /metrics/load")
        client.sock.close()
        asked.send(http.response(200, b'{"cpu_share": 0.1, "x0": 2}'))
        self.advance_clock_only(PROCESS_DELAY_MS)
        self.assert_no_attempt()

    def test_job_handed_back_waits_for_its_next_attempt(self) -> None:
        self.begin()
        client = self.send_job()
        self.take("POST gone").send(ACCEPTED)
        self.turn()
        client.sock.close()
        self.send_callback("gone", "returned")
        self.advance_clock_only(PROCESS_DELAY_MS)
        self.assert_no_attempt()

    def test_rejected_job_waits_for_its_next_attempt(self) -> None:
        self.begin(workers=2)
        client = self.send_job()
        worker = self.take("POST gone")
        client.sock.close()
        worker.send(http.response(503, headers=[("X-Rejected", "1")]))
        self.advance_clock_only(PROCESS_DELAY_MS)
        self.assert_no_attempt()

    def test_cancel_of_the_previous_attempt_is_in_flight(self) -> None:
        """The next attempt waits for the worker's answer to DELETE, which comes after the client has left."""
        for disconnects_first in (True, False):
            with self.subTest(disconnects_first=disconnects_first):
                self.begin(workers=2)
                client = self.send_job()
                worker = self.take("POST gone")
                worker.send(ACCEPTED[:20])
                self.turn()
                worker.sock.shutdown(socket.SHUT_RDWR)  # it may have the job, so it has to confirm the cancel
                cancel = self.take("DELETE /jobs/gone")
                self.assertEqual(self.worker_name(worker), self.worker_name(cancel))
                if disconnects_first:
                    self.disconnect(client)
                    cancel.send(http.response(200))
                else:
                    cancel.send(http.response(200))
                    self.disconnect(client)
                self.assert_no_attempt()

    def test_cancel_that_is_never_answered(self) -> None:
        """The next attempt would begin after the time-out, but not for a client that has disconnected."""
        self.begin(workers=2)
        client = self.send_job()
        worker = self.take("POST gone")
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        worker.sock.close()
        self.take("DELETE /jobs/gone")
        self.disconnect(client)
        self.assert_no_attempt()

    def test_job_is_at_its_worker(self) -> None:
        """No new attempt begins, and the worker is notified."""
        self.begin()
        client = self.send_job()
        self.take("POST gone").send(ACCEPTED)
        self.turn()
        self.disconnect(client)
        self.take("DELETE /jobs/gone").send(http.response(200))
        self.assert_no_attempt()

    def test_worker_closes_during_the_attempt(self) -> None:
        self.begin(workers=2)
        client = self.send_job()
        worker = self.take("POST gone")
        client.sock.close()
        worker.sock.close()
        self.advance_clock_only(PROCESS_DELAY_MS)
        self.assert_no_attempt()

    def test_connections_to_the_worker_fail_repeatedly(self) -> None:
        """The job waits between refused connections."""
        self.begin()
        address = self.listeners[0].getsockname()
        self.listeners[0].close()
        client = self.send_job()
        self.wait(60)
        self.disconnect(client)
        self.listeners[0] = socket.create_server(address)
        self.listeners[0].setblocking(False)
        self.addCleanup(self.listeners[0].close)
        self.assert_no_attempt()

    def test_jobs_behind_the_first_are_not_sent_on_while_their_clients_end_is_out_of_sight(self) -> None:
        """Incident 2026-12-05, 7: a client sent much, left, and had its second job sent on 0.3 s later.

        More than the system takes is sent, so that the client's end stays behind it.
        """
        self.begin()
        client = self.send_job("first")
        self.take("POST first").send(ACCEPTED)
        self.turn()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MUCH_BYTES)
        with contextlib.suppress(BlockingIOError):
            client.send(self.job("gone") + b"x" * (10 * MUCH_BYTES))
        self.turn()
        client.sock.close()
        self.wait(300)
        connection = next(connection for connection in self.app.server.connections if connection.is_client)
        self.assertFalse(has_peer_closed(connection.transport))
        self.call_back("first")
        self.assert_no_attempt()

    def test_a_waiting_job_is_not_sent_on_while_its_clients_end_is_out_of_sight(self) -> None:
        """As above for the first job, which waits here: see KNOWN-RED.txt."""
        self.begin()
        self.occupy()
        client = self.send_job()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MUCH_BYTES)
        with contextlib.suppress(BlockingIOError):
            client.send(b"x" * (10 * MUCH_BYTES))
        self.turn()
        client.sock.close()
        self.wait(300)
        self.call_back("first")
        self.assert_no_attempt()

    def test_request_and_end_are_read_together(self) -> None:
        self.begin()
        client = self.client()
        accept = "text/event-stream" if self.progress else "*/*"
        client.send(self.job("gone", "album", accept=accept))
        self.disconnect(client)
        self.assert_no_attempt()


class StreamDeparture(Departure):
    """The same cases on the listener for streams."""

    progress = True

    def test_between_two_events_of_its_stream(self) -> None:
        self.begin(workers=2)
        client = self.send_job()
        worker = self.take("POST gone")
        worker.send(
            http.encode_head(
                "HTTP/1.1 200 OK", [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
            )
        )
        worker.send(http.chunk(b"event: progress\ndata: 0.2\n\n"))
        self.turn()
        client.sock.close()
        worker.send(http.chunk(b"event: progress\ndata: 0.4\n\n"))
        self.advance_clock_only(PROCESS_DELAY_MS)
        self.take("DELETE /jobs/gone").send(http.response(200))
        self.assert_no_attempt()


class HandOverDeparture(Leaving):
    """The job is handed over between two processes of an upgrade while its client disconnects."""

    def begin(self, workers: int = 1, **more: Any) -> None:  # type: ignore[override]
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        super().begin(workers, folder=folder.name, **more)

    def test_job_is_taken_back_as_the_successor_dies(self) -> None:
        self.begin()
        self.occupy()
        self.first.send(b"G")  # the next request has begun, so this connection is not handed over
        client = self.send_job()
        assert self.app.upgrade.handover is not None
        link = socket.socket(socket.AF_UNIX)
        self.addCleanup(link.close)
        link.connect(self.app.upgrade.handover.path)
        link.sendall(b'{"m": "hello", "version": 1}\n')
        self.turn()
        _, descriptors, _, _ = socket.recv_fds(link, 1 << 20, 4)
        link.sendall(b'{"m": "got"}\n{"m": "serving"}\n')
        self.turn()
        for descriptor in descriptors:
            os.close(descriptor)
        client.sock.close()
        link.close()
        self.advance_clock_only(PROCESS_DELAY_MS)
        self.turn()
        self.call_back("first")
        self.assert_no_attempt()
