"""Tests of what a fleet serves during and after a period of failing reads, on a virtual clock."""

from __future__ import annotations

import errno
import heapq
import json
import random
import unittest
from collections import Counter, deque
from dataclasses import dataclass, field

from elderstall.net import http
from tests.faulty_sockets import FaultPlan, install_faults
from tests.loopback import Loopback, PeerSocket

WORKERS, SLOTS = 4, 4
MEAN_WORK_MS = 400.0  # at the job rate, ten of sixteen slots are busy on average
JOBS_PER_SECOND = 25.0
STEP_MS = 10.0
FAULT_START, FAULT_END, END = 2_000.0, 5_000.0, 9_000.0  # ms
FAILING_READ_FRACTION = 0.1  # of the reads on connections to workers
MAX_CALL_ATTEMPTS = 10  # for a call-back that is not answered
SAFE_JOB_FRACTION = 0.8  # of the jobs
CLASSES = [
    {"name": "thumbs", "points": 2, "aim": 1_500, "deadline": 4_000, "effect": "safe"},
    {"name": "deck-build", "points": 5, "aim": 1_500, "deadline": 4_000, "effect": "unsafe"},
]


class RareFault(FaultPlan):
    """Fails a seeded random fraction of the reads on connections to some ports."""

    def __init__(self, error: int, seed: int) -> None:
        super().__init__()
        self.error = error
        self.rng = random.Random(seed)
        self.ports = [0]
        self.active = False
        self.occurrences = 0

    def next_error(self, call: str, port: int | None = None) -> int | None:
        if (
            not self.active
            or call != "recv"
            or port not in self.ports
            or self.rng.random() >= FAILING_READ_FRACTION
        ):
            return None
        self.occurrences += 1
        return self.error


@dataclass(slots=True)
class QueueingWorker:
    """A simulated worker that queues jobs until it has a free slot."""

    name: str
    queue: deque[str] = field(default_factory=deque)
    running: list[tuple[float, str]] = field(default_factory=list)  # a heap of (time of the end, request id)
    cancelled: set[str] = field(default_factory=set)

    def take(self, request_id: str) -> None:
        self.cancelled.discard(request_id)
        self.queue.append(request_id)

    def cancel(self, request_id: str) -> None:
        self.cancelled.add(request_id)
        if request_id in self.queue:
            self.queue.remove(request_id)

    def work(self, now: float, rng: random.Random) -> list[str]:
        """Start queued jobs in free slots; return the jobs that have ended."""
        while self.queue and len(self.running) < SLOTS:
            heapq.heappush(self.running, (now + MEAN_WORK_MS * rng.uniform(0.5, 1.5), self.queue.popleft()))
        ended = []
        while self.running and self.running[0][0] <= now:
            _, request_id = heapq.heappop(self.running)
            if request_id not in self.cancelled:
                ended.append(request_id)
        return ended


class ReadErrors(Loopback):
    """Jobs arrive at a constant mean rate; for three seconds some reads fail."""

    def play(self, error: int, seed: int) -> tuple[Counter[int], Counter[int]]:
        """Return answers by status: of jobs that arrived while reads failed, and of later jobs."""
        self.plan = install_faults(self, RareFault(error, seed))
        self.begin(workers=WORKERS, classes=CLASSES)
        ports = self.plan.ports = [sock.getsockname()[1] for sock in self.listeners]
        self.models = {port: QueueingWorker(f"w{n + 1}") for n, port in enumerate(ports)}
        rng = random.Random(seed)
        start = self.app.deadlines.now()
        waiting: dict[str, tuple[PeerSocket, float]] = {}
        during = Counter[int]()
        after = Counter[int]()
        due = 0.0
        count = 0
        while waiting or due < END:
            now = self.app.deadlines.now() - start
            self.plan.active = FAULT_START <= now < FAULT_END
            while due <= min(now, END):
                job_class = "thumbs" if rng.random() < SAFE_JOB_FRACTION else "deck-build"
                side = self.client()
                side.send(self.job(f"j{count}", job_class, 4_000))
                waiting[f"j{count}"] = side, now
                due, count = due + rng.expovariate(JOBS_PER_SECOND / 1_000), count + 1
            self.work(now, rng)
            for request_id, (side, came) in list(waiting.items()):
                side.read()
                if side.messages:
                    if came >= FAULT_START:
                        (during if came < FAULT_END else after)[side.messages[0].status] += 1
                    side.sock.close()
                    del waiting[request_id]
            self.advance_clock_only(STEP_MS)
            self.turn(4)
        return during, after

    def work(self, now: float, rng: random.Random) -> None:
        """Accept or cancel the jobs that the workers received; call back for those that have ended."""
        for what, side in self.came():
            method, request_id = what.split()
            side.messages.pop(0)
            worker = self.models[side.sock.getsockname()[1]]
            if method == "DELETE":
                worker.cancel(request_id.removeprefix("/jobs/"))
            elif not side.ended:
                worker.take(request_id)
            if not side.ended:
                side.send(http.response(202 if method == "POST" else 200))
        for worker in self.models.values():
            for request_id in worker.work(now, rng):
                self.report_done(request_id, worker)

    def report_done(self, request_id: str, worker: QueueingWorker) -> None:
        """Send a call-back for a job, again until it is answered."""
        load = {"cpu_share": 0.5, "x0": SLOTS - len(worker.running)}
        call = {"id": request_id, "from": worker.name, "state": "done", "result": "x", "load": load}
        for _ in range(MAX_CALL_ATTEMPTS):
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
                    self.assertGreater(self.plan.occurrences, 3)
                    self.assertLessEqual(set(during), {200, 502})  # 502: not safe to repeat
                    self.assertEqual({200}, set(after))
                    self.end()


if __name__ == "__main__":
    unittest.main()
