"""The time between SIGTERM and the earliest SIGKILL: every request read is answered in it.

SIGKILL may come as early as the longest deadline (3 s at most) plus 0.7 s after SIGTERM. Requests of the
first 0.7 s have their own deadline; of those that come later none may be unanswered then.
"""

from __future__ import annotations

from dataclasses import dataclass

from elderstall.net import http
from tests.loopback import Loopback, Side

MAX_COUNTED_DEADLINE_MS = 3_000.0  # ms that the longest deadline counts for
SERVING_PERIOD_MS = 700.0  # ms that SIGKILL comes later than that, and for which jobs are taken as always
REQUEST_INTERVAL_MS = 50.0  # ms between requests of one client
PROCESS_PAUSE_MS = 150.0  # ms for which the process may be held up


@dataclass
class Asked:
    """A request that is out, on a connection that was open then."""

    request_id: str
    at: float  # ms after SIGTERM
    client: Side
    answered: int = 0  # the status


class Window(Loopback):
    """Clients send on every connection that is open, until the earliest SIGKILL."""

    def start(self, deadline: float) -> None:
        classes = [
            {"name": "deck-fetch", "points": 2, "aim": deadline / 2, "deadline": deadline, "effect": "safe"},
            {
                "name": "deck-build",
                "points": 5,
                "aim": deadline / 2,
                "deadline": deadline,
                "effect": "unsafe",
            },
        ]
        self.begin(workers=2, classes=classes)
        self.deadline = deadline
        self.kill_at = min(deadline, MAX_COUNTED_DEADLINE_MS) + SERVING_PERIOD_MS
        self.asked: list[Asked] = []
        self.count = 0

    def send(self, client: Side) -> None:
        self.count += 1
        request_id = f"j{self.count}"
        job_class = "deck-build" if self.count % 2 else "deck-fetch"
        client.send(self.job(request_id, job_class, int(self.deadline)))
        self.asked.append(Asked(request_id, self.since_term(), client))

    def since_term(self) -> float:
        return 1000 * self.loop.clock.seconds() - self.term

    def collect(self, serve: bool) -> None:
        """Read what has come, at workers and at clients."""
        for what, worker in self.came():
            worker.messages.pop(0)
            worker.send(http.response(202 if what.startswith("POST") else 200))
            if serve and what.startswith("POST"):
                self.turn()
                request_id = what.split()[1]
                job = self.app.engine.jobs.by_request_id.get(request_id)
                if job is not None and job.attempt is not None:
                    self.call_back(request_id, worker=job.attempt.worker)
        self.turn()
        for asked in self.asked:
            asked.client.read()
            if not asked.answered and asked.client.messages:
                asked.answered = asked.client.messages.pop(0).status

    def play(self, deadline: float, serve: bool, held_up: bool = False) -> None:
        self.start(deadline)
        clients = [self.client() for _ in range(8)]
        self.turn()
        self.term = 1000 * self.loop.clock.seconds()
        for client in clients[:3]:
            self.send(client)
        self.app.sigterm()
        self.collect(serve)
        while self.since_term() < self.kill_at - REQUEST_INTERVAL_MS and not self.loop.stopped:
            self.wait(REQUEST_INTERVAL_MS)
            if held_up and self.kill_at - self.since_term() < 2 * PROCESS_PAUSE_MS:
                self.jump(PROCESS_PAUSE_MS)  # once, just before the end
                self.turn()
                held_up = False
            self.collect(serve)
            for n, client in enumerate(clients):
                client.read()
                own = [a for a in self.asked if a.client is client]
                begins = bool(own) or n * self.kill_at / len(clients) < self.since_term()
                out = own and not own[-1].answered
                if (
                    begins
                    and not out
                    and not client.ended
                    and self.since_term() < self.kill_at - REQUEST_INTERVAL_MS
                ):
                    self.send(client)
            self.turn()
        self.collect(serve)
        self.assertLessEqual(self.since_term(), self.kill_at)

    def unanswered(self, since: float) -> list[tuple[str, float]]:
        return [(a.request_id, a.at) for a in self.asked if not a.answered and a.at >= since]

    def test_every_request_read_is_answered_before_sigkill_may_come(self) -> None:
        for deadline in (300.0, 3_000.0, 60_000.0):
            for serve in (True, False):  # or all workers take jobs and hang
                for held_up in (False, True):
                    with self.subTest(deadline=deadline, serve=serve, held_up=held_up):
                        self.play(deadline, serve, held_up)
                        if deadline <= MAX_COUNTED_DEADLINE_MS:
                            self.assertEqual([], self.unanswered(0.0))
                        # A job of the first 0.7 s keeps a deadline that lies behind the earliest SIGKILL.
                        self.assertEqual([], self.unanswered(SERVING_PERIOD_MS + 1))
                        self.assertGreater(len([a for a in self.asked if a.at > SERVING_PERIOD_MS]), 1)

    def test_request_that_comes_late_on_an_open_connection_is_answered(self) -> None:
        """One just before the earliest SIGKILL, on a connection that had no request before."""
        for deadline in (300.0, 3_000.0, 60_000.0):
            with self.subTest(deadline=deadline):
                self.start(deadline)
                owed, late = self.client(), self.client()
                self.term = 1000 * self.loop.clock.seconds()
                self.send(owed)  # its worker hangs: the program stays for it
                self.take("POST j1").send(http.response(202))
                self.turn()
                self.app.sigterm()
                self.wait(self.kill_at - PROCESS_PAUSE_MS - 60)
                late.read()
                if not late.ended and not self.loop.stopped:
                    self.send(late)
                    self.jump(PROCESS_PAUSE_MS)
                    self.turn()
                    self.assertEqual(503, self.answer(late).status)
                    self.assertLessEqual(self.since_term(), self.kill_at)
