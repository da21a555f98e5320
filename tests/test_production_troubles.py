"""Kinds of trouble that production adds: quiet times, outages, shutdowns, workers' connections, little time.

On real sockets, by the clock that the test moves; see docs/design/crossings.md, 'What production adds'.
"""

from __future__ import annotations

import random
import socket
import unittest
from typing import Any

from elderstall.engine.rules import HELD_UP
from elderstall.net import http
from elderstall.recovery.listing import MAX_RETRY_MS, ListCalls
from tests.loopback import Loopback, Side
from tests.scenario import CLASSES, RULES

BEAT = 2_000.0  # ms between discovery's signs of life
QUIET_BEATS = 900  # half an hour
OUTAGE_STEPS = 5_000  # half seconds: over a thousand calls
FLEETS = (1, 16, 17, 200, 3_200)  # dispatchers in the settings
STEP = 10.0  # ms
SHORT = [
    {"name": "deck-fetch", "points": 2, "aim": 200, "deadline": 440, "effect": "safe"},
    {"name": "deck-build", "points": 5, "aim": 300, "deadline": 440, "effect": "unsafe"},
]
KEYED = {
    "name": "stamp",
    "points": 3,
    "aim": 300,
    "deadline": 5_000,
    "effect": "keyed",
    "key_scope": "all",
    "memory_span": 400,
}


class Trouble(Loopback):
    """What is common."""

    def served(self, request_id: str, job_class: str = "deck-fetch", side: Side | None = None) -> Side:
        """Have a job served; gives its worker's connection."""
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

    def accept(self, sock: socket.socket, sides: list[Side]) -> None:
        if sock.fileno() >= 0:  # else the worker listens no more
            super().accept(sock, sides)

    def name(self, worker: Side) -> str:
        return f"w{self.ports.index(worker.sock.getsockname()[1]) + 1}"

    def answered_after(self, side: Side, most: float) -> tuple[int, float]:
        """Wait for the answer; gives its status and how long it took, ms."""
        waited = 0.0
        while not side.messages:
            self.assertLess(waited, most)
            self.wait(STEP)
            waited += STEP
            side.read()
        return side.messages.pop(0).status, waited

    def bugs(self) -> list[str]:
        return [line for line in self.lines if line.startswith("bug")]

    def beat(self) -> None:
        self.watches[-1].send(http.chunk(b"\n"))


class LongQuiet(Trouble):
    """Trouble that begins after a long quiet time."""

    def quiet(self, beats: int = QUIET_BEATS) -> None:
        """Let nothing happen but discovery's signs of life."""
        self.tell(42)
        for _ in range(beats):
            self.jump(BEAT)
            self.turn(2)
            self.beat()
            self.turn(2)
        self.assertEqual(1, len(self.asked_lists()))

    def test_kept_connections_are_retired_and_timers_do_not_pile_up(self) -> None:
        self.begin(workers=2)
        side = self.client()
        first = self.served("a1", side=side)
        self.tell(42)
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

    def test_a_watch_that_falls_silent_then_is_opened_anew_in_time(self) -> None:
        for dispatchers in FLEETS:
            with self.subTest(dispatchers):
                self.begin(workers=2, balancers=dispatchers)
                self.quiet(200)
                waited = 0.0
                while len(self.asked_lists()) == 1:
                    self.wait(50)
                    waited += 50
                    self.assertLess(waited, 4_100)
                self.tell(60, whole=True, w1="draining", w2="up")
                worker = self.served("a1")
                self.assertEqual("w2", self.name(worker))

    def test_a_drain_told_then_counts_at_once(self) -> None:
        self.begin(workers=2)
        self.quiet(200)
        self.tell(43, w1="draining")
        for n in range(3):
            self.assertEqual("w2", self.name(self.served(f"a{n}")))

    def test_a_worker_that_has_gone_meanwhile_costs_a_job_only_its_connection(self) -> None:
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


class LongOutages(Trouble):
    """Discovery is away for 40 minutes."""

    def test_waits_stay_bounded_however_many_calls_fail(self) -> None:
        """Doubled a thousand times, a wait no longer fitted a float: the module failed on each call."""
        for dispatchers in FLEETS:
            for waited_for in (0.0, 3_000.0):  # refused at once, and failed in discovery's queue
                with self.subTest((dispatchers, waited_for)):
                    calls, rng, now = ListCalls(dispatchers, 10_000.0), random.Random(1), 0.0
                    for _ in range(3_000):
                        calls.record_call(now)
                        delay = calls.delay_after_failure(rng, now + waited_for)
                        self.assertLessEqual(delay, 10_000.0 if waited_for else MAX_RETRY_MS)
                        now += waited_for + delay

    def test_jobs_are_served_all_the_time_and_its_return_is_met_within_2_5_s(self) -> None:
        for dispatchers in (1, 200):
            with self.subTest(dispatchers):
                self.begin(workers=2, balancers=dispatchers)
                self.tell(42)
                address = self.lists.getsockname()
                self.lists.close()
                self.watches[-1].sock.close()
                for n in range(OUTAGE_STEPS):
                    self.jump(500)
                    self.turn(2)
                    if n % 1_200 == 0:
                        self.served(f"a{n}", "deck-build")
                self.assertEqual([], self.bugs())
                self.lists = socket.create_server(address)
                self.lists.setblocking(False)
                self.addCleanup(self.lists.close)
                called, waited = len(self.asked_lists()), 0.0
                while len(self.asked_lists()) == called:
                    self.wait(50)
                    waited += 50
                    self.assertLessEqual(waited, MAX_RETRY_MS)
                self.tell(60, whole=True, w1="draining", w2="up")
                self.assertEqual("w2", self.name(self.served("after")))


class RestartsAndDrains(Trouble):
    """SIGTERM and workers that begin to drain at once, in fleets of any size."""

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
                self.tell(43, whole=False, **{name: "draining"})
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


class HungShutdown(Trouble):
    """Workers hang through the whole of a shutdown; SIGKILL may come the longest deadline and 0.7 s later."""

    def hangs(self, classes: list[dict[str, Any]], kill_after: float, **more: Any) -> None:
        """Have jobs out at workers that say nothing to anything, those before SIGTERM and those after."""
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
                for worker in self.sides[::2]:  # some have taken a job, and hang then
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
                self.hangs(SHORT, 1_140, balancers=dispatchers)

    def test_with_long_ones(self) -> None:
        for dispatchers in (1, 200):
            with self.subTest(dispatchers):
                self.hangs(list(CLASSES), 3_700, balancers=dispatchers)


class HeldUp(Trouble):
    """The process may be held up for 0.15 s between reading its clock and writing."""

    def test_the_grace_of_a_drain_covers_it_whatever_the_settings_allow(self) -> None:
        for within in (160.0, 300.0, 440.0, 1_000.0, 2_000.0):
            with self.subTest(within):
                self.begin(rules={**RULES, "stop_sending_within": within})
                self.held = []
                side = self.client()
                side.send(self.job("a1", "deck-build"))
                self.until(lambda: bool(self.held))
                self.tell(42, w1="draining")
                self.jump(within - HELD_UP + 1)
                self.let_up()
                self.nothing()

    def test_within_it_a_job_already_on_its_way_is_written(self) -> None:
        self.begin(rules={**RULES, "stop_sending_within": 440})
        self.held = []
        side = self.client()
        side.send(self.job("a1", "deck-build"))
        self.until(lambda: bool(self.held))
        self.tell(42, w1="draining")
        self.jump(440 - HELD_UP - 1)
        self.let_up()
        self.take("POST a1")

    def test_a_keyed_job_is_not_repeated_so_late_that_it_might_run_again(self) -> None:
        self.begin(workers=2, classes=[*CLASSES, KEYED])
        side = self.client()
        side.send(self.job("a1", "stamp"))
        worker = self.take("POST a1")
        self.wait(100)
        self.held = []
        worker.sock.close()  # it may have run
        self.until(lambda: bool(self.held))
        self.wait(KEYED["memory_span"] - HELD_UP - 100 + 1)  # type: ignore[operator]
        self.let_up()
        self.nothing()
        self.wait(5_000)
        self.assertIn(self.answer(side).status, (502, 503, 504))

    def test_settings_with_less_time_than_that_stop_at_once(self) -> None:
        self.begin(rules={**RULES, "stop_sending_within": 100})
        self.held = []
        side = self.client()
        side.send(self.job("a1", "deck-build"))
        self.until(lambda: bool(self.held))
        self.tell(42, w1="draining")
        self.jump(1)
        self.let_up()
        self.nothing()


if __name__ == "__main__":
    unittest.main()
