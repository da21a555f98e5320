"""Tests of worker connections that end or die silently, attempts that fail at once, and short deadlines.

On real sockets, with a clock that the test advances; see docs/design/crossings.md, 'What production adds'.
"""

from __future__ import annotations

import socket
import struct
import unittest
from typing import Any

from elderstall.decisions.outcomes import BRIEF_ATTEMPT_MS
from elderstall.net import http
from tests.loopback import PeerSocket
from tests.scenario import CLASSES
from tests.test_production_troubles import FaultTest

SOCKET_SLACK_MS = 58.0  # the settings' answer_slack, plus the delay that sockets add
LONG_DEADLINE_CLASS = {"name": "album", "points": 4, "aim": 4_000, "deadline": 9_000, "effect": "safe"}
LIMITS = {"conn_idle": 10_000, "connect_timeout": 250, "max_attempts": 5, "max_open": 50}
# States 1 ms of work; with more, a job with little time left would not be attempted.
SHORT_WORK_REPLACEMENT = (b"X-Call-Cost: 100000", b"X-Call-Cost: 1000")


class IdleWorkerConnections(FaultTest):
    """A worker closes, resets or silently loses an idle connection."""

    def stop_answering(self, worker: PeerSocket) -> None:
        """Stop reading and answering on a connection, which stays open."""
        self.sides.remove(worker)

    def reset(self, worker: PeerSocket) -> None:
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        worker.sock.close()

    def test_a_closed_or_reset_connection_carries_no_job(self) -> None:
        for reset in (False, True):
            for seen in (False, True):  # whether the reactor reads the end before the job arrives
                with self.subTest((reset, seen)):
                    self.begin()
                    connection = self.served("a1")
                    self.wait(3_000)
                    side = self.client()
                    self.turn()
                    if reset:
                        self.reset(connection)
                    else:
                        connection.sock.close()
                    if seen:
                        self.turn()
                    side.send(self.job("a2", "deck-build"))
                    worker = self.take("POST a2")
                    worker.send(http.response(202))
                    self.call_back("a2")
                    self.assertEqual(200, self.answer(side).status)

    def test_a_safe_job_on_a_dead_connection_is_retried_over_a_new_one(self) -> None:
        self.begin(classes=[*CLASSES, LONG_DEADLINE_CLASS])
        connection = self.served("a1")
        self.wait(3_000)
        self.stop_answering(connection)
        side = self.client()
        side.send(self.job("a2", "album"))
        self.wait(270)
        self.take("DELETE /jobs/a2").send(http.response(200))  # cancelled, as the worker may have the job
        self.take("POST a2").send(http.response(202))
        self.call_back("a2")
        self.assertEqual(200, self.answer(side).status)

    def test_an_unsafe_job_on_a_dead_connection_fails_long_before_its_deadline(self) -> None:
        self.begin()
        connection = self.served("a1")
        self.wait(3_000)
        self.stop_answering(connection)
        side = self.client()
        side.send(self.job("a2", "deck-build"))
        status, waited = self.answer_within(side, 1_100)
        self.assertEqual(502, status)
        self.assert_nothing_received()  # it may have run
        connection.read()
        self.assertTrue(connection.ended)
        self.served("a3", "deck-build")

    def test_one_job_on_a_dead_connection_closes_all_idle_ones_of_that_worker(self) -> None:
        self.begin(classes=[*CLASSES, LONG_DEADLINE_CLASS])
        sides = [self.client() for _ in range(3)]
        for n, side in enumerate(sides):
            side.send(self.job(f"a{n}", "album"))
            self.turn()
        connections: list[PeerSocket] = []
        while len(connections) < 3:  # each is sent when a slot is free
            found = [(what, side) for what, side in self.came() if what.startswith("POST")]
            for what, worker in found:
                worker.messages.pop(0)
                worker.send(http.response(202))
                self.turn()
                self.call_back(what.split()[1])
                connections.append(worker)
            self.wait(20)
        self.wait(3_000)
        idle = [side for side in self.sides if not side.ended]
        for worker in idle:
            self.stop_answering(worker)
        side = self.client()
        side.send(self.job("b1", "album"))
        self.wait(270)
        for worker in idle:
            worker.read()
        self.assertEqual([True] * len(idle), [worker.ended for worker in idle])
        self.take("DELETE /jobs/b1").send(http.response(200))
        self.take("POST b1").send(http.response(202))
        self.call_back("b1")
        self.assertEqual(200, self.answer(side).status)

    def test_a_job_that_cannot_be_cancelled_on_a_dead_connection_is_answered_in_time(self) -> None:
        self.begin()
        side = self.client()
        side.send(self.job("a1", budget=600))
        worker = self.take("POST a1")
        worker.send(http.response(202))  # its connection is idle; it and the call-backs are lost
        self.turn()
        self.stop_answering(worker)
        status, waited = self.answer_within(side, 600 + SOCKET_SLACK_MS)
        self.assertIn(status, (502, 503, 504))
        self.wait(2_100)
        self.served("a2")


class AttemptsThatFailAtOnce(FaultTest):
    """Connections are refused at once, several attempts in a row."""

    def begin(self, workers: int = 1, progress: bool = False, folder: str = "", **more: Any) -> None:
        super().begin(workers, progress, folder, **more)
        self.connects: list[str] = []
        connect = self.app.workers.connect
        self.app.workers.connect = lambda address, pool: self.counted(connect(address, pool), address)

    def counted(self, connecting: Any, address: str) -> Any:
        self.connects.append(address)
        return connecting

    def test_attempts_are_bounded_and_an_answer_comes(self) -> None:
        for dispatchers in (1, 200):
            for job_class in ("deck-fetch", "deck-build"):
                with self.subTest((dispatchers, job_class)):
                    self.begin(workers=8, balancers=dispatchers, limits={**LIMITS, "probes": True})
                    for sock in self.listeners:
                        sock.close()
                    side = self.client()
                    side.send(self.job("a1", job_class))
                    status, _ = self.answer_within(side, 5_000 + SOCKET_SLACK_MS)
                    self.assertEqual(503, status)  # it never ran
                    self.assertLessEqual(self.app.engine.counters.attempts_written, 0)
                    self.assertLessEqual(len(self.connects), 5 + 3 * 3)  # attempts and polls
                    self.assertEqual([], self.bugs())

    def test_one_worker_that_still_serves_gets_the_job(self) -> None:
        self.begin(workers=4)
        for sock in self.listeners[:3]:
            sock.close()
        for n in range(6):
            side = self.client()
            side.send(self.job(f"a{n}", "deck-build"))
            worker = self.take(f"POST a{n}")
            worker.send(http.response(202))
            self.call_back(f"a{n}", worker="w4")
            self.assertEqual(200, self.answer(side).status)

    def test_attempts_at_workers_that_refuse_connections_back_off(self) -> None:
        self.begin(workers=3)
        for sock in self.listeners:
            sock.close()
        sides = []
        for n in range(100):  # 5 s, a job each 50 ms
            side = self.client()
            side.send(self.job(f"a{n}"))
            sides.append(side)
            self.wait(50)
        self.wait(5_100)
        for side in sides:
            self.assertEqual(503, self.answer(side).status)
        # Backoff of 100, 200, 400 ... up to 4,000 ms: about eight attempts in ten seconds for each worker.
        self.assertLessEqual(len(self.connects), 3 * 10)


class LittleTime(FaultTest):
    """Requests with very little time left, which workers may drop without an answer."""

    def short_job(self, request_id: str, budget: int) -> bytes:
        return self.job(request_id, budget=budget).replace(*SHORT_WORK_REPLACEMENT)

    def test_with_hardly_any_time_an_answer_comes_in_time_and_nothing_is_written(self) -> None:
        for dispatchers in (1, 200):
            for budget in (0, 1, 5, 20):
                with self.subTest((dispatchers, budget)):
                    self.begin(balancers=dispatchers, limits={**LIMITS, "probes": True})
                    side = self.client()
                    side.send(self.short_job("a1", budget))
                    status, _ = self.answer_within(side, budget + SOCKET_SLACK_MS)
                    self.assertIn(status, (503, 504))
                    self.wait(300)
                    self.assertEqual([], [what for what, _ in self.came() if what.startswith("POST")])

    def test_a_worker_that_drops_a_job_without_an_answer_is_not_waited_for(self) -> None:
        for budget in (40, 60, 100, 200):
            with self.subTest(budget):
                self.begin()
                side = self.client()
                side.send(self.short_job("a1", budget))
                worker = self.take("POST a1")
                status, _ = self.answer_within(side, budget + SOCKET_SLACK_MS)
                self.assertIn(status, (503, 504))
                self.turn()
                worker.read()
                self.assertTrue(worker.ended)  # the attempt is cancelled
                self.wait(300)
                self.assert_nothing_received()

    def test_a_connection_established_after_the_attempts_timeout_is_not_written_to(self) -> None:
        for job_class in ("deck-fetch", "deck-build"):
            with self.subTest(job_class):
                self.begin()
                self.held = []
                side = self.client()
                side.send(self.job("a1", job_class, 60).replace(*SHORT_WORK_REPLACEMENT))
                self.until(lambda: bool(self.held))
                self.advance_clock_only(61)  # it times out in this iteration of the reactor
                self.release_connections()
                self.assert_nothing_received()
                self.assertIn(self.answer(side).status, (503, 504))

    def test_a_retry_is_not_written_after_its_timeout(self) -> None:
        self.begin(workers=2)
        side = self.client()
        side.send(self.short_job("a1", 100))
        worker = self.take("POST a1")
        self.held = []
        self.wait(30)
        worker.send(http.response(503, b"", [("X-Rejected", "1")]))
        self.until(lambda: bool(self.held))
        self.wait(80)
        self.release_connections()
        self.assert_nothing_received()
        self.assertIn(self.answer(side).status, (503, 504))

    def test_workers_that_drop_expired_jobs_are_not_put_on_probation(self) -> None:
        """Other jobs are served in between, also those that must not run twice."""
        self.begin(workers=2)
        for n in range(10):
            side = self.client()
            side.send(self.short_job(f"s{n}", 50))
            status, _ = self.answer_within(side, 50 + SOCKET_SLACK_MS)
            self.assertIn(status, (503, 504))
            for worker_side in self.sides:
                worker_side.read()
                worker_side.messages.clear()
            self.assertEqual(
                set(), {w.name for w in self.app.engine.decisions.endpoints.workers.values() if w.probation}
            )
            self.wait(200)
            self.served(f"a{n}", "deck-build")

    def test_many_dropped_jobs_keep_no_worker_from_other_jobs(self) -> None:
        """A backoff that doubled with each dropped job kept workers from all jobs for up to 4 s."""
        self.begin(workers=4)
        for run in range(5):
            for n in range(20):
                side = self.client()
                side.send(self.short_job(f"s{run}-{n}", 50))
                self.answer_within(side, 50 + SOCKET_SLACK_MS)
                for worker in self.sides:
                    worker.read()
                    worker.messages.clear()
            self.wait(2 * BRIEF_ATTEMPT_MS)
            self.served(f"a{run}", "deck-build")


if __name__ == "__main__":
    unittest.main()
