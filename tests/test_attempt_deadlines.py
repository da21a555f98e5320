"""Tests of the time budget that an attempt states: at most what is left when its bytes are written.

On real sockets. ``stall`` advances the clock as if the process was not scheduled: no timer fires and nothing
is read meanwhile.
"""

from __future__ import annotations

import errno
import socket
import unittest
from typing import Any
from unittest import mock

from elderstall.net import http
from elderstall.net.peer import has_unread_data
from elderstall.net.upstream.request import BUDGET_MARGIN_MS, budget_to_send
from tests.faulty_sockets import ONE_BYTE_ONLY, FaultPlan, install_faults
from tests.loopback import Loopback, PeerSocket

ACCEPTED = http.response(202)
UNSAFE, SAFE = "deck-build", "deck-fetch"
STALL_MS = 150.0


class AttemptDeadlines(Loopback):
    """Compares the stated budgets with the clock when a worker receives them."""

    def begin(self, workers: int = 1, progress: bool = False, folder: str = "", **more: Any) -> None:
        super().begin(workers, progress, folder, **more)
        self.stalled_ms = 0.0
        self.ends: dict[str, float] = {}  # deadline of each job, by request id
        seconds = self.app.deadlines.seconds
        self.app.deadlines.seconds = lambda: seconds() + self.stalled_ms / 1000

    def stall(self, ms: float = STALL_MS) -> None:
        """Advance the clock within one step of the program."""
        self.stalled_ms += ms

    def send(
        self, request_id: str, job_class: str = UNSAFE, budget: int = 4_000, accept: str = "*/*"
    ) -> PeerSocket:
        side = self.client()
        side.send(self.job(request_id, job_class, budget, accept))
        self.ends[request_id] = self.app.deadlines.now() + budget
        self.until(
            lambda: (
                request_id in self.app.engine.jobs.by_request_id or self.app.engine.jobs.is_known(request_id)
            )
        )
        return side

    def receive_attempt(self, request_id: str) -> tuple[PeerSocket, float]:
        """Return a job's connection at its worker and its stated budget, after checking the budget."""
        self.until(lambda: any(name == f"POST {request_id}" for name, _ in self.came()))
        side = next(side for name, side in self.came() if name == f"POST {request_id}")
        budget_ms = float(side.messages.pop(0).headers.get("X-Budget-Ms") or -1)
        left = self.ends[request_id] - self.app.deadlines.now()
        self.assertGreater(budget_ms, 0)
        self.assertLessEqual(budget_ms, left)
        self.assertGreaterEqual(budget_ms, left - BUDGET_MARGIN_MS - 1)  # less by no more than the margin
        return side, budget_ms

    def serve(self, request_id: str, worker: PeerSocket, client: PeerSocket, name: str = "w1") -> None:
        worker.send(ACCEPTED)
        self.turn()
        self.call_back(request_id, worker=name)
        self.assertEqual(200, self.answer(client).status)

    def name(self, worker: PeerSocket) -> str:
        ports = [sock.getsockname()[1] for sock in self.listeners]
        return f"w{ports.index(worker.sock.getsockname()[1]) + 1}"


class FirstAttempts(AttemptDeadlines):
    """First attempts, over connections that are established late or reused."""

    def test_a_connection_established_a_second_late(self) -> None:
        self.begin()
        self.held = []
        client = self.send("a1")
        self.until(lambda: bool(self.held))
        self.advance_clock_only(1_000)
        self.release_connections()
        worker, budget_ms = self.receive_attempt("a1")
        self.assertLessEqual(budget_ms, 3_000)
        self.serve("a1", worker, client)

    def test_a_process_stalled_while_connecting(self) -> None:
        self.begin()
        self.held = []
        self.send("a1")
        self.until(lambda: bool(self.held))
        self.stall()
        self.release_connections()
        self.receive_attempt("a1")

    def test_a_process_stalled_while_sending_over_a_reused_connection(self) -> None:
        self.begin()
        client = self.send("a1")
        worker, _ = self.receive_attempt("a1")
        self.serve("a1", worker, client)

        def slow(at: Any) -> bool:
            self.stall()
            return has_unread_data(at)

        with mock.patch("elderstall.net.upstream.connection.has_unread_data", slow):
            self.send("a2")
            self.receive_attempt("a2")
        self.assertEqual(1, len(self.sides))

    def test_the_request_is_written_in_the_step_that_reads_the_clock(self) -> None:
        """A request buffered until later in the iteration would state too long a budget."""
        self.begin()
        client = self.send("a1")
        worker, _ = self.receive_attempt("a1")
        self.serve("a1", worker, client)
        send = self.app.workers.send
        received = list[bytes]()

        def send_and_peek(*args: Any) -> Any:
            sending = send(*args)
            received.append(worker.sock.recv(65_536, socket.MSG_PEEK))
            return sending

        self.app.workers.send = send_and_peek  # type: ignore[method-assign, assignment]
        self.send("a2")
        self.until(lambda: bool(received))
        self.assertIn(b"X-Call-Id: a2", received[0])
        self.receive_attempt("a2")

    def test_an_attempt_that_times_out_while_connecting(self) -> None:
        """The attempt is not written, and the worker is not penalized."""
        self.begin()
        self.held = []
        client = self.send("a1", budget=400)
        self.until(lambda: bool(self.held))
        self.stall(401)
        self.release_connections()
        self.assert_nothing_received()
        self.wait(50)
        self.assertEqual(503, self.answer(client).status)  # it never ran
        self.assert_nothing_received()

    def test_an_attempt_that_times_out_before_its_job(self) -> None:
        for reused in (False, True):
            with self.subTest(reused=reused):
                self.begin()
                client = self.send("a1")
                worker, _ = self.receive_attempt("a1")
                self.serve("a1", worker, client)
                if not reused:
                    self.app.workers.close_pool("w1")
                    self.turn()
                self.held = None if reused else []
                self.send("a2")
                self.until(lambda: "a2" in self.app.engine.jobs.by_request_id)
                job = self.app.engine.jobs.by_request_id["a2"]
                if reused:
                    self.receive_attempt("a2")
                outcomes: list[Any] = []
                ends = self.app.deadlines.now() + (0.0 if reused else 300.0)
                sending = self.app.workers.send("w1", job.request, ends, lambda *_: None, lambda: None)
                sending.addCallback(outcomes.append)
                if not reused:
                    self.turn()
                    self.stall(300.0)
                    self.release_connections()
                self.turn()
                self.assertEqual(["never sent"], [outcome.ending.value for outcome in outcomes])
                self.assertLessEqual(sum(name == "POST a2" for name, _ in self.came()), int(not reused))
                self.end()

    def test_the_margin_hardly_reduces_a_short_time(self) -> None:
        for left in (1.2, 2.0, 5.0, 10.0, 30.0, 100.0, 399.0, 400.0, 5_000.0, 60_000.0):
            with self.subTest(left=left):
                budget_ms = budget_to_send(left)
                self.assertGreater(budget_ms, 0)
                self.assertLessEqual(budget_ms, left)
                self.assertGreaterEqual(
                    budget_ms, 0.95 * left - 1 if left < 400 else left - BUDGET_MARGIN_MS - 1
                )
        for left in (-5.0, 0.0, 0.9):
            self.assertLessEqual(budget_to_send(left), 0)


class SlowClients(AttemptDeadlines):
    """A client's wait counts from the start of its request, not from the arrival of its last byte."""

    def test_a_body_whose_last_byte_comes_late(self) -> None:
        self.begin()
        client, request = self.client(), self.job("a1", UNSAFE, 4_000)
        self.ends["a1"] = self.app.deadlines.now() + 4_000
        client.send(request[:-1])
        self.turn()
        self.wait(900)
        client.send(request[-1:])
        worker, budget_ms = self.receive_attempt("a1")
        self.assertLessEqual(budget_ms, 3_100)
        self.serve("a1", worker, client)

    def test_a_request_that_waits_behind_another_on_its_connection(self) -> None:
        self.begin()
        client = self.send("a1")
        worker, _ = self.receive_attempt("a1")
        client.send(self.job("a2", UNSAFE, 4_000))
        self.ends["a2"] = self.app.deadlines.now() + 4_000
        self.turn()
        self.wait(900)
        self.serve("a1", worker, client)
        _, budget_ms = self.receive_attempt("a2")
        self.assertLessEqual(budget_ms, 3_100)

    def test_a_pipelined_request(self) -> None:
        self.begin()
        client = self.client()
        client.send(self.job("a1", UNSAFE, 4_000) + self.job("a2", UNSAFE, 4_000))
        self.ends = dict.fromkeys(("a1", "a2"), self.app.deadlines.now() + 4_000)
        worker, _ = self.receive_attempt("a1")
        self.wait(900)
        self.serve("a1", worker, client)
        self.receive_attempt("a2")

    def test_the_next_request_has_its_whole_time(self) -> None:
        self.begin()
        client = self.send("a1")
        worker, _ = self.receive_attempt("a1")
        self.serve("a1", worker, client)
        self.wait(900)
        client.send(self.job("a2", UNSAFE, 4_000))
        self.ends["a2"] = self.app.deadlines.now() + 4_000
        _, budget_ms = self.receive_attempt("a2")
        self.assertGreater(budget_ms, 3_900)

    def test_a_request_that_expires_before_its_last_byte_is_not_forwarded(self) -> None:
        self.begin()
        client, request = self.client(), self.job("a1", UNSAFE, 500)
        client.send(request[:-1])
        self.turn()
        self.wait(600)
        client.send(request[-1:])
        self.assertEqual(503, self.answer(client).status)
        self.assert_nothing_received()


class LaterAttempts(AttemptDeadlines):
    """Retries, streams, and jobs handed over to another process."""

    def test_a_retry_whose_connection_is_established_late(self) -> None:
        self.begin(workers=2)
        client = self.send("a1")
        first, _ = self.receive_attempt("a1")
        self.wait(300)
        self.held = []
        first.send(http.response(503, headers=(("X-Rejected", "1"),)))
        self.until(lambda: bool(self.held))
        self.advance_clock_only(700)
        self.release_connections()
        second, budget_ms = self.receive_attempt("a1")
        self.assertLessEqual(budget_ms, 3_000)
        self.serve("a1", second, client, self.name(second))

    def test_a_retry_that_waited_for_a_confirmed_cancel(self) -> None:
        self.begin(workers=2)
        client = self.send("a1", SAFE)
        first, _ = self.receive_attempt("a1")
        first.sock.close()  # it may have run
        asked = self.take("DELETE /jobs/a1")
        self.stall()
        asked.send(http.response(200))
        second, _ = self.receive_attempt("a1")
        self.serve("a1", second, client, self.name(second))

    def test_a_stream_whose_connection_is_established_late(self) -> None:
        self.begin(progress=True)
        self.held = []
        self.send("a1", accept="text/event-stream")
        self.until(lambda: bool(self.held))
        self.advance_clock_only(1_000)
        self.release_connections()
        _, budget_ms = self.receive_attempt("a1")
        self.assertLessEqual(budget_ms, 3_000)

    def test_a_job_handed_over_to_another_process(self) -> None:
        self.begin()
        engine = self.app.engine
        engine.endpoints.ban("w1")
        self.send("a1")
        job = engine.jobs.by_request_id["a1"]
        state = engine.export_job(job.number)  # it waits, as the only worker is banned
        assert state is not None
        engine.jobs.taken_by_other_process.clear()
        engine.endpoints.end_ban("w1")
        self.stall()
        engine.import_job(state, job.request.original, job.client)
        for _ in range(300):
            if self.came():
                break
            self.wait(1)
        self.receive_attempt("a1")


class SystemTakesLess(AttemptDeadlines):
    """The system accepts a request's bytes late, or one at a time."""

    def begin(self, workers: int = 1, progress: bool = False, folder: str = "", **more: Any) -> None:
        self.plan = install_faults(self, FaultPlan())
        super().begin(workers, progress, folder, **more)
        self.port = self.listeners[0].getsockname()[1]

    def test_a_delayed_write_states_the_time_left_when_it_succeeds(self) -> None:
        for error in (errno.EAGAIN, errno.ENOBUFS):
            with self.subTest(error=errno.errorcode[error]):
                self.begin()
                fault = self.plan.add("send", error, None, self.port)
                client = self.send("a1")
                self.until(lambda fault=fault: fault.occurrences > 0)  # type: ignore[misc]
                happened = fault.occurrences
                self.turn(200)
                # No busy loop: the next write waits for its timer.
                self.assertEqual(happened, fault.occurrences)
                self.advance_clock_only(600)
                self.plan.faults.clear()
                self.advance_clock_only(10)
                self.turn()
                worker, budget_ms = self.receive_attempt("a1")
                self.assertLessEqual(budget_ms, 3_390)
                self.serve("a1", worker, client)
                self.end()

    def test_an_attempt_that_times_out_before_a_byte_is_accepted(self) -> None:
        self.begin()
        fault = self.plan.add("send", errno.EAGAIN, None, self.port)
        client = self.send("a1", budget=400)
        self.until(lambda: fault.occurrences > 0)
        self.stall(400)
        self.plan.faults.clear()
        self.wait(20)
        self.assertEqual(503, self.answer(client).status)
        self.assert_nothing_received()

    def test_short_writes_send_the_whole_request(self) -> None:
        self.begin()
        fault = self.plan.add("send", ONE_BYTE_ONLY, 50, self.port)
        client = self.send("a1")
        worker, _ = self.receive_attempt("a1")
        self.assertEqual(50, fault.occurrences)
        self.serve("a1", worker, client)
        client = self.send("a2")
        worker, _ = self.receive_attempt("a2")
        self.assertEqual(1, len(self.sides))  # and the connection is kept
        self.serve("a2", worker, client)


if __name__ == "__main__":
    unittest.main()
