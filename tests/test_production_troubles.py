"""Tests of faults in production: long idle periods, outages of discovery, drains, shutdowns and stalls.

On real sockets, with a clock that the test advances; see docs/design/crossings.md, 'What production adds'.
"""

from __future__ import annotations

import random
import socket
import unittest
from typing import Any

from elderstall.clocks import MAX_PROCESS_PAUSE_MS
from elderstall.net import http
from elderstall.recovery.listing import MAX_RETRY_MS, ListCalls
from tests.loopback import Loopback, PeerSocket
from tests.scenario import CLASSES, RULES

HEARTBEAT_INTERVAL_MS = 2_000.0
QUIET_HEARTBEATS = 900  # half an hour
OUTAGE_STEPS = 5_000  # of half a second each: over a thousand calls for the list
FLEETS = (1, 16, 17, 200, 3_200)  # dispatchers in the settings
STEP_MS = 10.0
SHORT_DEADLINE_CLASSES = [
    {"name": "deck-fetch", "points": 2, "aim": 200, "deadline": 440, "effect": "safe"},
    {"name": "deck-build", "points": 5, "aim": 300, "deadline": 440, "effect": "unsafe"},
]
KEYED_CLASS = {
    "name": "stamp",
    "points": 3,
    "aim": 300,
    "deadline": 5_000,
    "effect": "keyed",
    "key_scope": "all",
    "memory_span": 400,
}


class FaultTest(Loopback):
    """The operations that the tests of faults share."""

    def served(
        self, request_id: str, job_class: str = "deck-fetch", side: PeerSocket | None = None
    ) -> PeerSocket:
        """Submit a job and serve it; return its worker's connection."""
        side = side or self.client()
        side.send(self.job(request_id, job_class))
        worker = self.take(f"POST {request_id}")
        worker.send(http.response(202))
        self.call_back(request_id, worker=self.name(worker))
        self.assertEqual(200, self.answer(side).status)
        return worker

    def begin(self, workers: int = 1, progress: bool = False, folder: str = "", **more: Any) -> None:
        super().begin(workers, progress, folder, **more)
        self.ports = [sock.getsockname()[1] for sock in self.listeners]

    def accept(self, sock: socket.socket, sides: list[PeerSocket]) -> None:
        if sock.fileno() >= 0:  # otherwise the worker no longer listens
            super().accept(sock, sides)

    def name(self, worker: PeerSocket) -> str:
        return f"w{self.ports.index(worker.sock.getsockname()[1]) + 1}"

    def answer_within(self, side: PeerSocket, max_ms: float) -> tuple[int, float]:
        """Wait for the answer; return its status and how long it took, ms."""
        waited = 0.0
        while not side.messages:
            self.assertLess(waited, max_ms)
            self.wait(STEP_MS)
            waited += STEP_MS
            side.read()
        return side.messages.pop(0).status, waited

    def bugs(self) -> list[str]:
        return [line for line in self.lines if line.startswith("bug")]

    def send_heartbeat(self) -> None:
        self.watches[-1].send(http.chunk(b"\n"))


class LongQuiet(FaultTest):
    """Faults that begin after a long time without jobs."""

    def quiet(self, heartbeats: int = QUIET_HEARTBEATS) -> None:
        """Advance the time with nothing but discovery's heartbeats."""
        self.send_list(42)
        for _ in range(heartbeats):
            self.advance_clock_only(HEARTBEAT_INTERVAL_MS)
            self.turn(2)
            self.send_heartbeat()
            self.turn(2)
        self.assertEqual(1, len(self.asked_lists()))

    def test_idle_connections_are_closed_and_timers_do_not_accumulate(self) -> None:
        self.begin(workers=2)
        side = self.client()
        first = self.served("a1", side=side)
        self.send_list(42)
        self.turn()
        before = self.app.deadlines.active_count
        self.quiet()
        first.read()
        self.assertTrue(first.ended)
        self.assertEqual([], list(self.app.workers.connections))
        self.assertEqual([], list(self.app.server.connections))
        self.assertLessEqual(self.app.deadlines.active_count, before)
        self.assertLess(len(self.app.deadlines.heap), 1_100)
        self.served("a2", "deck-build")
        self.assertEqual([], self.bugs())

    def test_a_watch_that_then_falls_silent_is_reopened_in_time(self) -> None:
        for dispatchers in FLEETS:
            with self.subTest(dispatchers):
                self.begin(workers=2, balancers=dispatchers)
                self.quiet(200)
                waited = 0.0
                while len(self.asked_lists()) == 1:
                    self.wait(50)
                    waited += 50
                    self.assertLess(waited, 4_100)
                self.send_list(60, whole=True, w1="draining", w2="up")
                worker = self.served("a1")
                self.assertEqual("w2", self.name(worker))

    def test_a_drain_that_is_then_listed_takes_effect_at_once(self) -> None:
        self.begin(workers=2)
        self.quiet(200)
        self.send_list(43, w1="draining")
        for n in range(3):
            self.assertEqual("w2", self.name(self.served(f"a{n}")))

    def test_a_worker_that_is_gone_by_then_costs_a_job_only_a_failed_connect(self) -> None:
        self.begin(workers=2)
        self.served("a1")
        self.served("a2")
        self.quiet(200)
        self.listeners[0].close()
        for n in range(4):
            side = self.client()
            side.send(self.job(f"b{n}", "deck-build"))
            worker = self.take(f"POST b{n}")
            worker.send(http.response(202))
            self.call_back(f"b{n}", worker="w2")
            self.assertEqual(200, self.answer(side).status)


class LongOutages(FaultTest):
    """Discovery is unreachable for 40 minutes."""

    def test_the_backoff_stays_bounded_however_many_calls_fail(self) -> None:
        """A backoff doubled a thousand times overflowed a float, and each later call failed."""
        for dispatchers in FLEETS:
            for waited_for in (0.0, 3_000.0):  # refused at once, and failed in discovery's queue
                with self.subTest((dispatchers, waited_for)):
                    calls = ListCalls(dispatchers, 10_000.0)
                    rng = random.Random(1)
                    now = 0.0
                    for _ in range(3_000):
                        calls.record_call(now)
                        delay = calls.delay_after_failure(rng, now + waited_for)
                        self.assertLessEqual(delay, 10_000.0 if waited_for else MAX_RETRY_MS)
                        now += waited_for + delay

    def test_jobs_are_served_throughout_and_discovery_is_called_within_2_5_s_of_its_return(self) -> None:
        for dispatchers in (1, 200):
            with self.subTest(dispatchers):
                self.begin(workers=2, balancers=dispatchers)
                self.send_list(42)
                address = self.lists.getsockname()
                self.lists.close()
                self.watches[-1].sock.close()
                for n in range(OUTAGE_STEPS):
                    self.advance_clock_only(500)
                    self.turn(2)
                    if n % 1_200 == 0:
                        self.served(f"a{n}", "deck-build")
                self.assertEqual([], self.bugs())
                self.lists = socket.create_server(address)
                self.lists.setblocking(False)
                self.addCleanup(self.lists.close)
                called = len(self.asked_lists())
                waited = 0.0
                while len(self.asked_lists()) == called:
                    self.wait(50)
                    waited += 50
                    self.assertLessEqual(waited, MAX_RETRY_MS)
                self.send_list(60, whole=True, w1="draining", w2="up")
                self.assertEqual("w2", self.name(self.served("after")))


class RestartsAndDrains(FaultTest):
    """SIGTERM while workers begin to drain, in fleets of any size."""

    def test_a_job_at_a_draining_worker_is_waited_for_and_new_ones_go_elsewhere(self) -> None:
        for dispatchers in FLEETS:
            with self.subTest(dispatchers):
                self.begin(workers=2, balancers=dispatchers)
                old, new = self.client(), self.client()
                old.send(self.job("old", "deck-build"))
                worker = self.take("POST old")
                worker.send(http.response(202))
                name = self.name(worker)
                self.turn()
                self.app.sigterm()
                self.send_list(43, whole=False, **{name: "draining"})
                new.send(self.job("new", "deck-build"))
                other = self.take("POST new")
                self.assertNotEqual(name, self.name(other))
                other.send(http.response(202))
                self.turn()
                self.call_back("old", worker=name)
                self.call_back("new", worker=self.name(other))
                self.assertEqual([200, 200], [self.answer(side).status for side in (old, new)])
                self.wait(3_500)
                self.assertTrue(self.loop.stopped)


class HungShutdown(FaultTest):
    """Workers hang throughout a shutdown; SIGKILL may come 0.7 s after the longest deadline."""

    def assert_answered_before_kill(
        self, classes: list[dict[str, Any]], kill_after: float, **more: Any
    ) -> None:
        """Send jobs before and after SIGTERM to workers that hang; all are answered before SIGKILL."""
        self.begin(workers=2, classes=classes, **more)
        budget = int(min(3_000, *(c["deadline"] for c in classes)))
        sides = []
        for n in range(8):
            side = self.client()
            side.send(self.job(f"a{n}", ("deck-fetch", "deck-build")[n % 2], budget))
            sides.append(side)
            if n < 4:
                self.turn()
                self.came()
            if n == 4:
                for worker in self.sides[::2]:  # some accept a job before they hang
                    worker.send(http.response(202))
                self.turn()
                self.app.sigterm()
            if n >= 4:
                self.wait(150)
        self.wait(kill_after - 600 - 50)
        for side in sides:
            side.read()
            self.assertEqual(1, len(side.messages), self.lines)
            side.sock.close()
        self.wait(200)
        self.assertTrue(self.loop.stopped)

    def test_with_short_deadlines(self) -> None:
        for dispatchers in (1, 200):
            with self.subTest(dispatchers):
                self.assert_answered_before_kill(SHORT_DEADLINE_CLASSES, 1_140, balancers=dispatchers)

    def test_with_long_ones(self) -> None:
        for dispatchers in (1, 200):
            with self.subTest(dispatchers):
                self.assert_answered_before_kill(list(CLASSES), 3_700, balancers=dispatchers)


class HeldUp(FaultTest):
    """The process may stall for 0.15 s between reading its clock and writing."""

    def test_the_drain_grace_covers_the_stall_whatever_the_settings_allow(self) -> None:
        for within in (160.0, 300.0, 440.0, 1_000.0, 2_000.0):
            with self.subTest(within):
                self.begin(rules={**RULES, "stop_sending_within": within})
                self.held = []
                side = self.client()
                side.send(self.job("a1", "deck-build"))
                self.until(lambda: bool(self.held))
                self.send_list(42, w1="draining")
                self.advance_clock_only(within - MAX_PROCESS_PAUSE_MS + 1)
                self.release_connections()
                self.assert_nothing_received()

    def test_a_job_whose_connection_is_being_established_is_written_within_the_grace(self) -> None:
        self.begin(rules={**RULES, "stop_sending_within": 440})
        self.held = []
        side = self.client()
        side.send(self.job("a1", "deck-build"))
        self.until(lambda: bool(self.held))
        self.send_list(42, w1="draining")
        self.advance_clock_only(440 - MAX_PROCESS_PAUSE_MS - 1)
        self.release_connections()
        self.take("POST a1")

    def test_a_keyed_job_is_not_retried_when_it_might_run_twice(self) -> None:
        self.begin(workers=2, classes=[*CLASSES, KEYED_CLASS])
        side = self.client()
        side.send(self.job("a1", "stamp"))
        worker = self.take("POST a1")
        self.wait(100)
        worker.sock.close()  # it may have run
        cancel = self.take("DELETE /jobs/a1")
        self.held = []
        cancel.send(http.response(404))
        self.until(lambda: bool(self.held))
        self.wait(KEYED_CLASS["memory_span"] - MAX_PROCESS_PAUSE_MS - 100 + 1)  # type: ignore[operator]
        self.release_connections()
        self.assert_nothing_received()
        self.wait(5_000)
        self.assertIn(self.answer(side).status, (502, 503, 504))

    def test_a_grace_shorter_than_the_stall_stops_sending_at_once(self) -> None:
        self.begin(rules={**RULES, "stop_sending_within": 100})
        self.held = []
        side = self.client()
        side.send(self.job("a1", "deck-build"))
        self.until(lambda: bool(self.held))
        self.send_list(42, w1="draining")
        self.advance_clock_only(1)
        self.release_connections()
        self.assert_nothing_received()


if __name__ == "__main__":
    unittest.main()
