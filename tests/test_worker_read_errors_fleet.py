"""A fleet some of whose reads fail: what it serves meanwhile and after, on a virtual clock."""

from __future__ import annotations

import errno
import heapq
import json
import random
import unittest
from collections import Counter, deque
from dataclasses import dataclass, field

from elderstall.net import http
from tests.faulty_sockets import FaultPlan, hand_in
from tests.loopback import Loopback, Side

WORKERS, SLOTS = 4, 4
MEAN_WORK = 400.0  # ms; with the rate, ten of sixteen slots are busy in the mean
RATE = 25.0  # jobs a second
STEP = 10.0  # ms between looks
FAULT_FROM, FAULT_UNTIL, END = 2_000.0, 5_000.0, 9_000.0  # ms
PART_OF_READS = 0.1  # that fail, on connections to workers
CALL_TRIES = 10  # of a call back that is not answered
SAFE_PART = 0.8  # of the jobs
CLASSES = [
    {"name": "thumbs", "points": 2, "aim": 1_500, "deadline": 4_000, "effect": "safe"},
    {"name": "deck-build", "points": 5, "aim": 1_500, "deadline": 4_000, "effect": "unsafe"},
]


class RareFault(FaultPlan):
    """A part of the reads on connections to some ports fails, by a seeded draw."""

    def __init__(self, error: int, seed: int) -> None:
        super().__init__()
        self.error, self.rng, self.ports, self.on, self.happened = error, random.Random(seed), [0], False, 0

    def next(self, call: str, port: int | None = None) -> int | None:
        if not self.on or call != "recv" or port not in self.ports or self.rng.random() >= PART_OF_READS:
            return None
        self.happened += 1
        return self.error


@dataclass(slots=True)
class QueueingWorker:
    """A worker that queues its jobs for its slots."""

    name: str
    queue: deque[str] = field(default_factory=deque)
    running: list[tuple[float, str]] = field(default_factory=list)  # when each ends, the first at the top
    given_up: set[str] = field(default_factory=set)

    def take(self, request_id: str) -> None:
        self.given_up.discard(request_id)
        self.queue.append(request_id)

    def give_up(self, request_id: str) -> None:
        self.given_up.add(request_id)
        if request_id in self.queue:
            self.queue.remove(request_id)

    def work(self, now: float, rng: random.Random) -> list[str]:
        """Begin what there are slots for, and give the jobs that have ended."""
        while self.queue and len(self.running) < SLOTS:
            heapq.heappush(self.running, (now + MEAN_WORK * rng.uniform(0.5, 1.5), self.queue.popleft()))
        ended = []
        while self.running and self.running[0][0] <= now:
            _, request_id = heapq.heappop(self.running)
            if request_id not in self.given_up:
                ended.append(request_id)
        return ended


class ReadErrors(Loopback):
    """Jobs come in a steady stream; for three seconds some reads fail."""

    def play(self, error: int, seed: int) -> tuple[Counter[int], Counter[int]]:
        """Give the answers by status: to jobs that came while reads failed, and to those that came after."""
        self.plan = hand_in(self, RareFault(error, seed))
        self.begin(workers=WORKERS, classes=CLASSES)
        ports = self.plan.ports = [sock.getsockname()[1] for sock in self.listeners]
        self.models = {port: QueueingWorker(f"w{n + 1}") for n, port in enumerate(ports)}
        rng, start = random.Random(seed), self.app.deadlines.now()
        waiting: dict[str, tuple[Side, float]] = {}
        during, after = Counter[int](), Counter[int]()
        due, count = 0.0, 0
        while waiting or due < END:
            now = self.app.deadlines.now() - start
            self.plan.on = FAULT_FROM <= now < FAULT_UNTIL
            while due <= min(now, END):
                job_class = "thumbs" if rng.random() < SAFE_PART else "deck-build"
                side = self.client()
                side.send(self.job(f"j{count}", job_class, 4_000))
                waiting[f"j{count}"] = side, now
                due, count = due + rng.expovariate(RATE / 1_000), count + 1
            self.work(now, rng)
            for request_id, (side, came) in list(waiting.items()):
                side.read()
                if side.messages:
                    if came >= FAULT_FROM:
                        (during if came < FAULT_UNTIL else after)[side.messages[0].status] += 1
                    side.sock.close()
                    del waiting[request_id]
            self.jump(STEP)
            self.turn(4)
        return during, after

    def work(self, now: float, rng: random.Random) -> None:
        """Have the workers take what has come, and call back about what has ended."""
        for what, side in self.came():
            method, request_id = what.split()
            side.messages.pop(0)
            worker = self.models[side.sock.getsockname()[1]]
            if method == "DELETE":
                worker.give_up(request_id.removeprefix("/jobs/"))
            elif not side.ended:
                worker.take(request_id)
            if not side.ended:
                side.send(http.response(202 if method == "POST" else 200))
        for worker in self.models.values():
            for request_id in worker.work(now, rng):
                self.tell_done(request_id, worker)

    def tell_done(self, request_id: str, worker: QueueingWorker) -> None:
        """Call back until it is answered."""
        load = {"cpu_share": 0.5, "x0": SLOTS - len(worker.running)}
        call = {"id": request_id, "from": worker.name, "state": "done", "result": "x", "load": load}
        for _ in range(CALL_TRIES):
            side = self.client()
            side.send(http.request("POST", "/callback", "n1", (), json.dumps(call).encode()))
            self.until(lambda side=side: side.read() or bool(side.messages) or side.ended)  # type: ignore
            side.sock.close()
            if side.messages:
                return

    def test_safe_jobs_are_served_while_reads_fail_and_all_are_after(self) -> None:
        for error in (errno.ETIMEDOUT, errno.EHOSTUNREACH):
            for seed in (2, 3):
                with self.subTest(error=errno.errorcode[error], seed=seed):
                    during, after = self.play(error, seed)
                    self.assertGreater(self.plan.happened, 3)
                    self.assertLessEqual(set(during), {200, 502})  # 502: not safe to repeat
                    self.assertEqual({200}, set(after))
                    self.end()


if __name__ == "__main__":
    unittest.main()
