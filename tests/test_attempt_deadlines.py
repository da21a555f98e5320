"""The time that an attempt tells its worker: at most what is left when the bytes are written.

On real sockets. ``hold_up`` moves the clock as a process that the system does not run: no timer fires and
nothing is read meanwhile.
"""

from __future__ import annotations

import errno
import socket
import unittest
from typing import Any
from unittest import mock

from elderstall.net import http
from elderstall.net.peer import unread
from elderstall.net.upstream.request import BUDGET_MARGIN_MS, budget_to_send
from tests.faulty_sockets import SHORT, FaultPlan, hand_in
from tests.loopback import Loopback, Side

TAKEN = http.response(202)
UNSAFE, SAFE = "deck-build", "deck-fetch"
HELD_UP = 150.0  # ms


class AttemptDeadlines(Loopback):
    """Reads the clock at each write to a worker."""

    def begin(self, workers: int = 1, progress: bool = False, folder: str = "", **more: Any) -> None:
        super().begin(workers, progress, folder, **more)
        self.held_for = 0.0
        self.ends: dict[str, float] = {}  # deadlines of the jobs that were sent
        seconds = self.app.deadlines.seconds
        self.app.deadlines.seconds = lambda: seconds() + self.held_for / 1000

    def hold_up(self, ms: float = HELD_UP) -> None:
        """Let time pass in the midst of a step of the program."""
        self.held_for += ms

    def send(
        self, request_id: str, job_class: str = UNSAFE, budget: int = 4_000, accept: str = "*/*"
    ) -> Side:
        side = self.client()
        side.send(self.job(request_id, job_class, budget, accept))
        self.ends[request_id] = self.app.deadlines.now() + budget
        self.until(
            lambda: request_id in self.app.engine.jobs.by_request_id or self.app.engine.jobs.knows(request_id)
        )
        return side

    def heard(self, request_id: str) -> tuple[Side, float]:
        """Take a job's request at its worker; the time that it tells is no more than what is left now."""
        self.until(lambda: any(name == f"POST {request_id}" for name, _ in self.came()))
        side = next(side for name, side in self.came() if name == f"POST {request_id}")
        told = float(side.messages.pop(0).headers.get("X-Budget-Ms") or -1)
        left = self.ends[request_id] - self.app.deadlines.now()
        self.assertGreater(told, 0)
        self.assertLessEqual(told, left)
        self.assertGreaterEqual(told, left - BUDGET_MARGIN_MS - 1)  # and no more is kept back than the margin
        return side, told

    def serve(self, request_id: str, worker: Side, client: Side, name: str = "w1") -> None:
        worker.send(TAKEN)
        self.turn()
        self.call_back(request_id, worker=name)
        self.assertEqual(200, self.answer(client).status)

    def name(self, worker: Side) -> str:
        ports = [sock.getsockname()[1] for sock in self.listeners]
        return f"w{ports.index(worker.sock.getsockname()[1]) + 1}"


class FirstAttempts(AttemptDeadlines):
    """Over connections that come up late, or were kept."""

    def test_a_connection_that_comes_up_a_second_late(self) -> None:
        self.begin()
        self.held = []
        client = self.send("a1")
        self.until(lambda: bool(self.held))
        self.jump(1_000)
        self.let_up()
        worker, told = self.heard("a1")
        self.assertLessEqual(told, 3_000)
        self.serve("a1", worker, client)

    def test_a_process_held_up_while_the_connection_comes_up(self) -> None:
        self.begin()
        self.held = []
        self.send("a1")
        self.until(lambda: bool(self.held))
        self.hold_up()
        self.let_up()
        self.heard("a1")

    def test_a_process_held_up_in_the_midst_of_a_send_over_a_kept_connection(self) -> None:
        self.begin()
        client = self.send("a1")
        worker, _ = self.heard("a1")
        self.serve("a1", worker, client)

        def slow(at: Any) -> bool:
            self.hold_up()
            return unread(at)

        with mock.patch("elderstall.net.upstream.connection.unread", slow):
            self.send("a2")
            self.heard("a2")
        self.assertEqual(1, len(self.sides))

    def test_the_request_is_written_in_the_step_that_reads_the_clock(self) -> None:
        """Guards against a request that lies in a buffer while the rest of the turn is worked on."""
        self.begin()
        client = self.send("a1")
        worker, _ = self.heard("a1")
        self.serve("a1", worker, client)
        send, come = self.app.workers.send, list[bytes]()

        def send_and_look(*args: Any) -> Any:
            sending = send(*args)
            come.append(worker.sock.recv(65_536, socket.MSG_PEEK))
            return sending

        self.app.workers.send = send_and_look  # type: ignore[method-assign, assignment]
        self.send("a2")
        self.until(lambda: bool(come))
        self.assertIn(b"X-Call-Id: a2", come[0])
        self.heard("a2")

    def test_time_that_is_over_when_the_connection_comes_up(self) -> None:
        """The attempt is not written, and nothing holds it against the worker."""
        self.begin()
        self.held = []
        client = self.send("a1", budget=400)
        self.until(lambda: bool(self.held))
        self.hold_up(401)
        self.let_up()
        self.nothing()
        self.wait(50)
        self.assertEqual(503, self.answer(client).status)  # it never ran
        self.nothing()

    def test_an_attempt_whose_own_time_is_over_before_its_jobs(self) -> None:
        for kept in (False, True):
            with self.subTest(kept=kept):
                self.begin()
                client = self.send("a1")
                worker, _ = self.heard("a1")
                self.serve("a1", worker, client)
                if not kept:
                    self.app.workers.drop_idle("w1")
                    self.turn()
                self.held = None if kept else []
                self.send("a2")
                self.until(lambda: "a2" in self.app.engine.jobs.by_request_id)
                job = self.app.engine.jobs.by_request_id["a2"]
                if kept:
                    self.heard("a2")
                outcomes: list[Any] = []
                ends = self.app.deadlines.now() + (0.0 if kept else 300.0)
                sending = self.app.workers.send("w1", job.request, ends, lambda *_: None, lambda: None)
                sending.addCallback(outcomes.append)
                if not kept:
                    self.turn()
                    self.hold_up(300.0)
                    self.let_up()
                self.turn()
                self.assertEqual(["never sent"], [outcome.ending.value for outcome in outcomes])
                self.assertLessEqual(sum(name == "POST a2" for name, _ in self.came()), int(not kept))
                self.end()

    def test_little_time_left_is_not_made_much_less(self) -> None:
        for left in (1.2, 2.0, 5.0, 10.0, 30.0, 100.0, 399.0, 400.0, 5_000.0, 60_000.0):
            with self.subTest(left=left):
                told = budget_to_send(left)
                self.assertGreater(told, 0)
                self.assertLessEqual(told, left)
                self.assertGreaterEqual(told, 0.95 * left - 1 if left < 400 else left - BUDGET_MARGIN_MS - 1)
        for left in (-5.0, 0.0, 0.9):
            self.assertLessEqual(budget_to_send(left), 0)


class SlowClients(AttemptDeadlines):
    """A client waits from when it sent its request, not from when its last byte came."""

    def test_a_body_whose_last_byte_comes_late(self) -> None:
        self.begin()
        client, request = self.client(), self.job("a1", UNSAFE, 4_000)
        self.ends["a1"] = self.app.deadlines.now() + 4_000
        client.send(request[:-1])
        self.turn()
        self.wait(900)
        client.send(request[-1:])
        worker, told = self.heard("a1")
        self.assertLessEqual(told, 3_100)
        self.serve("a1", worker, client)

    def test_a_request_that_waits_behind_another_on_its_connection(self) -> None:
        self.begin()
        client = self.send("a1")
        worker, _ = self.heard("a1")
        client.send(self.job("a2", UNSAFE, 4_000))
        self.ends["a2"] = self.app.deadlines.now() + 4_000
        self.turn()
        self.wait(900)
        self.serve("a1", worker, client)
        _, told = self.heard("a2")
        self.assertLessEqual(told, 3_100)

    def test_one_sent_together_with_another(self) -> None:
        self.begin()
        client = self.client()
        client.send(self.job("a1", UNSAFE, 4_000) + self.job("a2", UNSAFE, 4_000))
        self.ends = dict.fromkeys(("a1", "a2"), self.app.deadlines.now() + 4_000)
        worker, _ = self.heard("a1")
        self.wait(900)
        self.serve("a1", worker, client)
        self.heard("a2")

    def test_a_next_request_has_its_whole_time(self) -> None:
        self.begin()
        client = self.send("a1")
        worker, _ = self.heard("a1")
        self.serve("a1", worker, client)
        self.wait(900)
        client.send(self.job("a2", UNSAFE, 4_000))
        self.ends["a2"] = self.app.deadlines.now() + 4_000
        _, told = self.heard("a2")
        self.assertGreater(told, 3_900)

    def test_one_whose_time_is_over_when_its_last_byte_comes_is_not_forwarded(self) -> None:
        self.begin()
        client, request = self.client(), self.job("a1", UNSAFE, 500)
        client.send(request[:-1])
        self.turn()
        self.wait(600)
        client.send(request[-1:])
        self.assertEqual(503, self.answer(client).status)
        self.nothing()


class LaterAttempts(AttemptDeadlines):
    """Retries, streams, and jobs that another process has taken."""

    def test_a_retry_whose_connection_comes_up_late(self) -> None:
        self.begin(workers=2)
        client = self.send("a1")
        first, _ = self.heard("a1")
        self.wait(300)
        self.held = []
        first.send(http.response(503, headers=(("X-Rejected", "1"),)))
        self.until(lambda: bool(self.held))
        self.jump(700)
        self.let_up()
        second, told = self.heard("a1")
        self.assertLessEqual(told, 3_000)
        self.serve("a1", second, client, self.name(second))

    def test_a_retry_that_waited_for_a_worker_to_be_told(self) -> None:
        self.begin(workers=2)
        client = self.send("a1", SAFE)
        first, _ = self.heard("a1")
        first.sock.close()  # it may have run
        asked = self.take("DELETE /jobs/a1")
        self.hold_up()
        asked.send(http.response(200))
        second, _ = self.heard("a1")
        self.serve("a1", second, client, self.name(second))

    def test_a_stream_whose_connection_comes_up_late(self) -> None:
        self.begin(progress=True)
        self.held = []
        self.send("a1", accept="text/event-stream")
        self.until(lambda: bool(self.held))
        self.jump(1_000)
        self.let_up()
        _, told = self.heard("a1")
        self.assertLessEqual(told, 3_000)

    def test_a_job_that_another_process_has_taken(self) -> None:
        self.begin()
        engine = self.app.engine
        engine.endpoints.ban("w1")
        self.send("a1")
        job = engine.jobs.by_request_id["a1"]
        state = engine.export_job(job.number)  # it is held, as no worker may have it
        assert state is not None
        engine.jobs.taken_by_other_process.clear()
        engine.endpoints.end_ban("w1")
        self.hold_up()
        engine.import_job(state, job.request.original, job.client)
        for _ in range(300):
            if self.came():
                break
            self.wait(1)
        self.heard("a1")


class SystemTakesLess(AttemptDeadlines):
    """The system takes a request's bytes late, or one at a time."""

    def begin(self, workers: int = 1, progress: bool = False, folder: str = "", **more: Any) -> None:
        self.plan = hand_in(self, FaultPlan())
        super().begin(workers, progress, folder, **more)
        self.port = self.listeners[0].getsockname()[1]

    def test_a_request_of_which_no_byte_was_taken_is_written_with_the_time_left_then(self) -> None:
        for error in (errno.EAGAIN, errno.ENOBUFS):
            with self.subTest(error=errno.errorcode[error]):
                self.begin()
                fault = self.plan.add("send", error, None, self.port)
                client = self.send("a1")
                self.until(lambda fault=fault: fault.happened > 0)  # type: ignore[misc]
                happened = fault.happened
                self.turn(200)
                self.assertEqual(happened, fault.happened)  # no busy loop: the next try waits for its time
                self.jump(600)
                self.plan.faults.clear()
                self.jump(10)
                self.turn()
                worker, told = self.heard("a1")
                self.assertLessEqual(told, 3_390)
                self.serve("a1", worker, client)
                self.end()

    def test_time_that_is_over_before_a_byte_was_taken(self) -> None:
        self.begin()
        fault = self.plan.add("send", errno.EAGAIN, None, self.port)
        client = self.send("a1", budget=400)
        self.until(lambda: fault.happened > 0)
        self.hold_up(400)
        self.plan.faults.clear()
        self.wait(20)
        self.assertEqual(503, self.answer(client).status)
        self.nothing()

    def test_short_writes_bring_the_whole_request(self) -> None:
        self.begin()
        fault = self.plan.add("send", SHORT, 50, self.port)
        client = self.send("a1")
        worker, _ = self.heard("a1")
        self.assertEqual(50, fault.happened)
        self.serve("a1", worker, client)
        client = self.send("a2")
        worker, _ = self.heard("a2")
        self.assertEqual(1, len(self.sides))  # and the connection is kept
        self.serve("a2", worker, client)


if __name__ == "__main__":
    unittest.main()
