"""Every request read between SIGTERM and the earliest SIGKILL is answered before that.

SIGKILL may come as early as the longest deadline (3 s at most) plus 0.7 s after SIGTERM. Requests of the
first 0.7 s keep their own deadline; all later ones must be answered by then.
"""

from __future__ import annotations

from dataclasses import dataclass
from unittest import mock

from elderstall.net import http
from tests.loopback import Loopback, PeerSocket

MAX_COUNTED_DEADLINE_MS = 3_000.0  # limit up to which the longest deadline counts
SERVING_PERIOD_MS = 700.0  # SIGKILL comes this long after that; jobs are accepted as usual in it
REQUEST_INTERVAL_MS = 50.0  # between requests of one client
PROCESS_PAUSE_MS = 150.0  # for which the process may be paused


@dataclass
class SentRequest:
    """A request that was sent on an open connection."""

    request_id: str
    at: float  # ms after SIGTERM
    client: PeerSocket
    answered: int = 0  # status code; 0: none yet


class Window(Loopback):
    """Clients send on every open connection until the earliest SIGKILL."""

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
        self.sent_requests: list[SentRequest] = []
        self.count = 0

    def send(self, client: PeerSocket) -> None:
        self.count += 1
        request_id = f"j{self.count}"
        job_class = "deck-build" if self.count % 2 else "deck-fetch"
        client.send(self.job(request_id, job_class, int(self.deadline)))
        self.sent_requests.append(SentRequest(request_id, self.since_term(), client))

    def since_term(self) -> float:
        return 1000 * self.loop.clock.seconds() - self.term

    def collect(self, serve: bool) -> None:
        """Read messages at workers and clients; workers accept jobs, and finish them if ``serve`` is set."""
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
        for request in self.sent_requests:
            request.client.read()
            if not request.answered and request.client.messages:
                request.answered = request.client.messages.pop(0).status

    def play(self, deadline: float, serve: bool, paused: bool = False) -> None:
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
            if paused and self.kill_at - self.since_term() < 2 * PROCESS_PAUSE_MS:
                self.advance_clock_only(PROCESS_PAUSE_MS)  # one pause, just before the end
                self.turn()
                paused = False
            self.collect(serve)
            for n, client in enumerate(clients):
                client.read()
                own = [a for a in self.sent_requests if a.client is client]
                may_start = bool(own) or n * self.kill_at / len(clients) < self.since_term()
                in_progress = own and not own[-1].answered
                if (
                    may_start
                    and not in_progress
                    and not client.ended
                    and self.since_term() < self.kill_at - REQUEST_INTERVAL_MS
                ):
                    self.send(client)
            self.turn()
        self.collect(serve)
        self.assertLessEqual(self.since_term(), self.kill_at)

    def unanswered(self, since: float) -> list[tuple[str, float]]:
        return [(a.request_id, a.at) for a in self.sent_requests if not a.answered and a.at >= since]

    def test_every_request_read_is_answered_before_sigkill_may_come(self) -> None:
        for deadline in (300.0, 3_000.0, 60_000.0):
            for serve in (True, False):  # False: all workers accept jobs and hang
                for paused in (False, True):
                    with self.subTest(deadline=deadline, serve=serve, paused=paused):
                        self.play(deadline, serve, paused)
                        if deadline <= MAX_COUNTED_DEADLINE_MS:
                            self.assertEqual([], self.unanswered(0.0))
                        # A job of the first 0.7 s keeps its deadline, which is after the earliest SIGKILL.
                        self.assertEqual([], self.unanswered(SERVING_PERIOD_MS + 1))
                        self.assertGreater(
                            len([a for a in self.sent_requests if a.at > SERVING_PERIOD_MS]), 1
                        )

    def test_request_that_comes_late_on_an_open_connection_is_answered(self) -> None:
        """It is sent just before the earliest SIGKILL, on a connection without earlier requests."""
        for deadline in (300.0, 3_000.0, 60_000.0):
            with self.subTest(deadline=deadline):
                self.start(deadline)
                unanswered_client = self.client()
                late = self.client()
                self.term = 1000 * self.loop.clock.seconds()
                self.send(unanswered_client)  # its worker hangs, which keeps the process running
                self.take("POST j1").send(http.response(202))
                self.turn()
                self.app.sigterm()
                self.wait(self.kill_at - PROCESS_PAUSE_MS - 60)
                late.read()
                if not late.ended and not self.loop.stopped:
                    self.send(late)
                    self.advance_clock_only(PROCESS_PAUSE_MS)
                    self.turn()
                    self.assertEqual(503, self.answer(late).status)
                    self.assertLessEqual(self.since_term(), self.kill_at)


class PausedWindow(Window):
    """The platform counts from when it sends SIGTERM, which may be before this process sees it."""

    def start_idle(self) -> PeerSocket:
        """Begin with classes of long deadlines, workers that hang, and a client that is connected."""
        self.start(60_000.0)
        client = self.client()
        client.send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(200, self.answer(client).status)
        self.term = 1000 * self.loop.clock.seconds()
        return client

    def pause_with_data_read_first(self, ms: float) -> None:
        """Pause the process in its wait for events: what has arrived is read before any timer runs."""
        self.loop.clock.rightNow += ms / 1000
        self.turn()
        self.loop.clock.advance(0)

    def assert_answered_before_sigkill(self, client: PeerSocket) -> None:
        """See that the client's job is answered when SIGKILL may come, though its worker hangs."""
        while self.since_term() < self.kill_at - PROCESS_PAUSE_MS:
            self.wait(REQUEST_INTERVAL_MS)
            self.collect(serve=False)
        self.assertEqual([], self.unanswered(0.0))
        self.assertEqual(504, self.sent_requests[0].answered)

    def test_a_job_after_the_serving_period_is_answered_if_sigterm_met_a_paused_process(self) -> None:
        """Incident 2026-12-05, 1: a job kept a deadline behind SIGKILL, as time counted from the handler."""
        client = self.start_idle()
        self.advance_clock_only(PROCESS_PAUSE_MS)  # the signal waits for the process
        self.app.sigterm()
        self.wait(SERVING_PERIOD_MS + 1 - self.since_term())
        self.send(client)
        self.collect(serve=False)
        self.assert_answered_before_sigkill(client)

    def test_a_job_after_the_serving_period_is_answered_if_the_reactor_turns_late(self) -> None:
        """The handler of SIGTERM runs at once, and the reactor's turn comes after a long one."""
        client = self.start_idle()
        with mock.patch.object(self.loop, "callFromThread") as call_later:
            self.app.sigterm()
        self.advance_clock_only(400)
        call, *args = call_later.call_args.args
        call(*args)
        self.wait(SERVING_PERIOD_MS + 1 - self.since_term())
        self.send(client)
        self.collect(serve=False)
        self.assert_answered_before_sigkill(client)

    def test_a_job_read_in_a_pause_that_crosses_the_serving_period_is_answered(self) -> None:
        """The job is read before the timers that were due in the pause have run."""
        client = self.start_idle()
        self.app.sigterm()
        self.wait(SERVING_PERIOD_MS - PROCESS_PAUSE_MS - 10)
        self.loop.clock.rightNow += (PROCESS_PAUSE_MS + 11) / 1000
        self.send(client)
        self.assertGreater(self.sent_requests[0].at, SERVING_PERIOD_MS)
        self.pause_with_data_read_first(1)
        self.collect(serve=False)
        self.assert_answered_before_sigkill(client)

    def test_jobs_keep_their_deadline_while_sigkill_excuses_them(self) -> None:
        """A job of the serving period, less the longest pause, is not cut short."""
        client = self.start_idle()
        self.app.sigterm()
        self.wait(SERVING_PERIOD_MS - PROCESS_PAUSE_MS - 60)
        self.send(client)
        self.collect(serve=False)
        job = self.app.engine.jobs.by_request_id["j1"]
        self.assertEqual(60_000.0, job.deadline - job.arrived)
