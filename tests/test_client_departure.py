"""A client that closes has gone: wherever its job waits, no attempt begins more than 0.1 s later.

The process is held up for 0.15 s at the worst instant: the client's end and what lets its job go on lie
unread together, and are met in one turn. tests/test_crossings.py has the same without the hold-up.
"""

from __future__ import annotations

import json
import os
import socket
import struct
import tempfile
from typing import Any

from elderstall.net import http
from tests.loopback import Loopback, Side
from tests.scenario import CLASSES

HELD_UP = 150.0  # ms for which the process may be held up between two of its turns
LONG_DEADLINE_CLASS = {"name": "album", "points": 4, "aim": 4000, "deadline": 9000, "effect": "safe"}
TAKEN = http.response(202)


class Leaving(Loopback):
    """Clients that leave, and what comes to workers after that."""

    progress = False

    def begin(self, workers: int = 1, **more: Any) -> None:  # type: ignore[override]
        """Have a class that can wait for longer than the term: else its job is given up by then anyhow."""
        super().begin(workers, progress=self.progress, classes=[*CLASSES, LONG_DEADLINE_CLASS], **more)

    def sent(self, request_id: str = "gone", job_class: str = "album") -> Side:
        client = self.client()
        accept = "text/event-stream" if self.progress else "*/*"
        client.send(self.job(request_id, job_class, accept=accept))
        self.until(lambda: request_id in self.app.engine.jobs.by_request_id)
        return client

    def occupy(self) -> None:
        """Give the one worker a job, so that the next waits for room."""
        self.first = self.client()
        self.first.send(self.job("first", "deck-build", 15_000))
        self.take("POST first").send(TAKEN)
        self.turn()

    def calls_back(self, request_id: str, state: str = "done", worker: str = "w1") -> Side:
        """Have a worker call back; nothing of it is read yet."""
        side = self.client()
        call = {"id": request_id, "from": worker, "state": state, "result": "deck"}
        side.send(http.request("POST", "/callback", "n1", (), json.dumps(call).encode()))
        return side

    def name(self, worker: Side) -> str:
        ports = [sock.getsockname()[1] for sock in self.listeners]
        return f"w{ports.index(worker.sock.getsockname()[1]) + 1}"

    def leaves(self, client: Side) -> None:
        """Have a client close, and the process held up right after."""
        client.sock.close()
        self.jump(HELD_UP)

    def not_sent(self) -> None:
        """See that no attempt begins from here on, however long it takes."""
        for _ in range(10):
            self.wait(50)
            self.assertEqual([], [what for what, _ in self.came() if what.startswith("POST")])
        self.assertNotIn("gone", self.app.engine.jobs.by_request_id)


class Departure(Leaving):
    """Plain answers; the class below has the same on the front for streams."""

    def test_held_for_room(self) -> None:
        self.begin()
        self.occupy()
        client = self.sent()
        client.sock.close()
        self.calls_back("first")
        self.jump(HELD_UP)
        self.not_sent()

    def test_connection_to_its_worker_comes_up(self) -> None:
        self.begin()
        self.held = []
        client = self.sent(job_class="deck-build")
        self.until(lambda: bool(self.held))
        self.leaves(client)
        self.let_up()
        self.not_sent()

    def test_kept_connection_is_written_to_in_the_turn_that_decides(self) -> None:
        self.begin()
        for request_id in ("k1", "k2"):  # a kept connection
            side = self.client()
            side.send(self.job(request_id))
            self.take(f"POST {request_id}").send(TAKEN)
            self.turn()
            self.call_back(request_id)
            self.answer(side)
        self.occupy()
        client = self.sent()
        client.sock.close()
        self.calls_back("first")
        self.jump(HELD_UP)
        self.not_sent()

    def test_workers_are_asked_how_they_stand(self) -> None:
        limits = {"conn_idle": 10000, "connect_timeout": 250, "max_attempts": 5, "probes": True}
        self.begin(workers=2, balancers=200, limits=limits)
        client = self.sent()
        asked = self.take("GET /metrics/load")
        client.sock.close()
        asked.send(http.response(200, b'{"cpu_share": 0.1, "x0": 2}'))
        self.jump(HELD_UP)
        self.not_sent()

    def test_job_handed_back_waits_for_its_next_attempt(self) -> None:
        self.begin()
        client = self.sent()
        self.take("POST gone").send(TAKEN)
        self.turn()
        client.sock.close()
        self.calls_back("gone", "returned")
        self.jump(HELD_UP)
        self.not_sent()

    def test_rejected_job_waits_for_its_next_attempt(self) -> None:
        self.begin(workers=2)
        client = self.sent()
        worker = self.take("POST gone")
        client.sock.close()
        worker.send(http.response(503, headers=[("X-Rejected", "1")]))
        self.jump(HELD_UP)
        self.not_sent()

    def test_cancel_of_the_attempt_before_is_in_flight(self) -> None:
        """The next attempt waits for the worker's word on DELETE, which comes after the client has left."""
        for leaves_first in (True, False):
            with self.subTest(leaves_first=leaves_first):
                self.begin(workers=2)
                client = self.sent()
                worker = self.take("POST gone")
                worker.send(TAKEN[:20])
                self.turn()
                worker.sock.shutdown(socket.SHUT_RDWR)  # it may have the job: it has to confirm the end
                cancel = self.take("DELETE /jobs/gone")
                self.assertEqual(self.name(worker), self.name(cancel))
                if leaves_first:
                    self.leaves(client)
                    cancel.send(http.response(200))
                else:
                    cancel.send(http.response(200))
                    self.leaves(client)
                self.not_sent()

    def test_cancel_that_is_never_answered(self) -> None:
        """The next attempt goes out once that was waited for: not for a client that has left."""
        self.begin(workers=2)
        client = self.sent()
        worker = self.take("POST gone")
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        worker.sock.close()
        self.take("DELETE /jobs/gone")
        self.leaves(client)
        self.not_sent()

    def test_at_its_worker(self) -> None:
        """Nothing new begins, and its worker is notified."""
        self.begin()
        client = self.sent()
        self.take("POST gone").send(TAKEN)
        self.turn()
        self.leaves(client)
        self.take("DELETE /jobs/gone").send(http.response(200))
        self.not_sent()

    def test_worker_gone_with_the_attempt(self) -> None:
        self.begin(workers=2)
        client = self.sent()
        worker = self.take("POST gone")
        client.sock.close()
        worker.sock.close()
        self.jump(HELD_UP)
        self.not_sent()

    def test_connections_to_the_worker_fail_again_and_again(self) -> None:
        """The job waits between connections that are refused."""
        self.begin()
        address = self.listeners[0].getsockname()
        self.listeners[0].close()
        client = self.sent()
        self.wait(60)
        self.leaves(client)
        self.listeners[0] = socket.create_server(address)
        self.listeners[0].setblocking(False)
        self.addCleanup(self.listeners[0].close)
        self.not_sent()

    def test_request_and_end_are_read_together(self) -> None:
        self.begin()
        client = self.client()
        accept = "text/event-stream" if self.progress else "*/*"
        client.send(self.job("gone", "album", accept=accept))
        self.leaves(client)
        self.not_sent()


class StreamDeparture(Departure):
    """The same on the front for streams."""

    progress = True

    def test_between_two_events_of_its_stream(self) -> None:
        self.begin(workers=2)
        client = self.sent()
        worker = self.take("POST gone")
        worker.send(
            http.head_of(
                "HTTP/1.1 200 OK", [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
            )
        )
        worker.send(http.chunk(b"event: progress\ndata: 0.2\n\n"))
        self.turn()
        client.sock.close()
        worker.send(http.chunk(b"event: progress\ndata: 0.4\n\n"))
        self.jump(HELD_UP)
        self.take("DELETE /jobs/gone").send(http.response(200))
        self.not_sent()


class HandOverDeparture(Leaving):
    """The job moves between two processes of an upgrade as its client leaves."""

    def begin(self, workers: int = 1, **more: Any) -> None:  # type: ignore[override]
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        super().begin(workers, folder=folder.name, **more)

    def test_taken_back_as_the_other_process_dies(self) -> None:
        self.begin()
        self.occupy()
        self.first.send(b"G")  # a further request has begun: this connection does not move
        client = self.sent()
        assert self.app.upgrade.handover is not None
        link = socket.socket(socket.AF_UNIX)
        self.addCleanup(link.close)
        link.connect(self.app.upgrade.handover.path)
        link.sendall(b'{"m": "hello", "version": 1}\n')
        self.turn()
        _, fds, _, _ = socket.recv_fds(link, 1 << 20, 4)
        link.sendall(b'{"m": "got"}\n{"m": "serving"}\n')
        self.turn()
        for fd in fds:
            os.close(fd)
        client.sock.close()
        link.close()
        self.jump(HELD_UP)
        self.turn()
        self.call_back("first")
        self.not_sent()
