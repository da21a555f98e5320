"""Races that could cause a duplicate execution, forced on real sockets: see docs/design/crossings.md.

A duplicate execution is an attempt that arrives completely while an earlier one has neither ended nor been
cancelled. Closing a connection cancels an attempt only before the worker has written its 202.
"""

from __future__ import annotations

import socket
import struct
import unittest
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import TimeoutError as ConnectTimeoutError

from elderstall.net import http
from tests.loopback import Loopback, PeerSocket, address_of, reactor
from tests.scenario import CLASSES, CLOSED

THUMBS_CLASS = {"name": "thumbs", "points": 3, "aim": 3000, "deadline": 9000, "effect": "safe"}
ACCEPTED = http.response(202)


class DuplicateExecutions(Loopback):
    """One job, two workers, and messages that cross."""

    def begin(self, workers: int = 2, **more: Any) -> None:  # type: ignore[override]
        super().begin(workers, classes=[*CLASSES, THUMBS_CLASS], **more)

    def send_job(self, request_id: str = "a1", job_class: str = "thumbs") -> tuple[PeerSocket, PeerSocket]:
        """Send a job; return its client and the worker's connection that received it."""
        side = self.client()
        side.send(self.job(request_id, job_class))
        return side, self.take(f"POST {request_id}")

    def open_idle_connections(self, workers: int = 2) -> None:
        """Open an idle connection to each worker: an attempt is then written in the turn that decides it."""
        for n in range(3 * workers):
            _, worker = self.send_job(f"k{n}")
            worker.send(ACCEPTED)
            self.turn()
            self.call_back(f"k{n}", worker=self.name(worker))
        self.turn()
        self.assertEqual({f"w{n + 1}" for n in range(workers)}, {self.name(side) for side in self.sides})

    def name(self, worker: PeerSocket) -> str:
        ports = [sock.getsockname()[1] for sock in self.listeners]
        return f"w{ports.index(worker.sock.getsockname()[1]) + 1}"

    def next_attempt_after_close(
        self, first: PeerSocket, request_id: str = "a1", turns: int = 40
    ) -> PeerSocket:
        """Check that the next attempt arrives only after the first connection has ended; return its side."""
        for _ in range(turns):
            reactor.iterate(0)
            if f"POST {request_id}" in [name for name, _ in self.came()]:
                first.read()
                self.assertTrue(first.ended, "another attempt arrived while the first connection was open")
                return self.take(f"POST {request_id}")
        return self.fail(f"no second attempt; {self.lines}")

    def advance_in_reactor(self, ms: float) -> None:
        """Advance time within a turn of the reactor, as in the program: timers run before sockets."""
        reactor.callLater(0, self.advance_clock_only, ms)

    def finish_job(self, side: PeerSocket, worker: PeerSocket, request_id: str = "a1") -> None:
        worker.send(ACCEPTED)
        self.turn()
        self.call_back(request_id, worker=self.name(worker))
        self.assertEqual(200, self.answer(side).status)

    def confirm_cancel(self, first: PeerSocket, request_id: str = "a1") -> None:
        """Check that the job is cancelled on the worker before it is sent again."""
        self.confirm_cancel_at(self.name(first), request_id)

    def confirm_cancel_at(self, worker: str, request_id: str = "a1") -> None:
        """Check that the job is cancelled on the worker of a name before it is sent again."""
        self.turn()
        self.assertNotIn(f"POST {request_id}", [name for name, _ in self.came()])
        asked = self.take(f"DELETE /jobs/{request_id}")
        self.assertEqual(worker, self.name(asked))
        asked.send(http.response(200))

    def next_attempt(self, request_id: str = "a1") -> PeerSocket:
        """Wait until the job is sent again; return the connection."""
        for _ in range(200):
            if f"POST {request_id}" in [name for name, _ in self.came()]:
                break
            self.wait(10)
        return self.take(f"POST {request_id}")

    # ---- the worker's answer crosses the attempt's timeout ----

    def test_a_202_that_is_unread_at_the_timeout_counts(self) -> None:
        self.begin()
        side, worker = self.send_job()
        worker.send(ACCEPTED)
        self.advance_clock_only(260)  # the program was busy in another turn meanwhile
        self.wait(400)
        self.assert_nothing_received()
        self.call_back("a1", worker=self.name(worker))
        self.assertEqual(200, self.answer(side).status)

    def test_half_a_202_at_the_timeout_is_cancelled_before_a_retry(self) -> None:
        self.begin()
        side, worker = self.send_job()
        worker.send(ACCEPTED[:20])
        self.wait(600)
        self.confirm_cancel(worker)
        self.finish_job(side, self.take("POST a1"))

    def test_after_a_begun_answer_an_unconfirmed_cancel_prevents_a_retry(self) -> None:
        self.begin()
        side, worker = self.send_job()
        worker.send(ACCEPTED[:20])
        self.wait(3_000)  # its DELETE is never answered
        self.assertEqual(503, self.answer(side).status)
        self.assertEqual(["DELETE /jobs/a1"], [name for name, _ in self.came()])

    def test_a_silent_worker_is_sent_a_cancel_before_the_next_attempt(self) -> None:
        """Its 202 may be on the way, so that closing the connection does not cancel the attempt."""
        self.begin()
        side, worker = self.send_job()
        self.wait(255)
        self.confirm_cancel(worker)
        self.finish_job(side, self.take("POST a1"))

    def test_a_silent_worker_that_ignores_the_cancel_delays_the_job_only_briefly(self) -> None:
        self.begin()
        side, worker = self.send_job()
        self.wait(255)
        self.assertEqual(["DELETE /jobs/a1"], [name for name, _ in self.came()])
        self.wait(120)
        self.finish_job(side, self.take("POST a1"))

    def test_the_timeout_starts_when_the_job_is_written_not_when_the_connection_is_opened(self) -> None:
        """A slow connection would use up the timeout, and the 202 would arrive too late."""
        self.begin()
        self.held = []
        side = self.client()
        side.send(self.job("a1", "thumbs"))
        self.until(lambda: bool(self.held))
        self.wait(240)
        self.release_connections()
        worker = self.take("POST a1")
        self.wait(200)
        self.finish_job(side, worker)
        self.assert_nothing_received()

    def test_an_unreadable_answer_is_cancelled_before_a_retry(self) -> None:
        """The unreadable answer may have been a 202."""
        self.begin()
        side, worker = self.send_job()
        worker.send(b"HTTP/1.1 202 Accepted\r\nno field\r\n\r\n")
        self.confirm_cancel(worker)
        self.finish_job(side, self.take("POST a1"))

    def test_half_a_202_and_the_end_of_the_connection_are_cancelled_before_a_retry(self) -> None:
        self.begin()
        side, worker = self.send_job()
        worker.send(ACCEPTED[:20])
        self.turn()
        worker.sock.shutdown(socket.SHUT_RDWR)
        self.confirm_cancel(worker)
        self.finish_job(side, self.take("POST a1"))

    def test_a_reset_that_may_have_crossed_the_202_is_cancelled_before_a_retry(self) -> None:
        self.begin()
        side, worker = self.send_job()
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        name = self.name(worker)
        worker.sock.close()
        self.turn()
        self.assertEqual(["DELETE /jobs/a1"], [what for what, _ in self.came()])
        asked = self.take("DELETE /jobs/a1")
        self.assertEqual(name, self.name(asked))
        asked.send(http.response(404))  # it has no such job
        self.finish_job(side, self.take("POST a1"))

    def reset(self, worker: PeerSocket) -> str:
        """Reset a worker's connection, so that what it had written is lost; return the worker's name."""
        name = self.name(worker)
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        worker.sock.close()
        return name

    def fail_connections(self, worker: str, count: int) -> None:
        """Let the next connections to a worker time out instead of coming up."""
        connect = self.app.workers.connect
        failing_address = address_of(self.listeners[int(worker[1:]) - 1])
        failures = iter(range(count))

        def time_out(_: object) -> None:
            raise ConnectTimeoutError

        def connect_late(address: str, pool: Any) -> Deferred[Any]:
            if address != failing_address or next(failures, None) is None:
                return connect(address, pool)
            late: Deferred[Any] = Deferred()
            clock: Any = self.loop.clock
            late.addTimeout(self.app.workers.connect_timeout / 1000, clock)
            return late.addErrback(time_out)

        self.app.workers.connect = connect_late

    def test_after_a_reset_a_job_waits_for_a_cancel_whose_connection_is_late(self) -> None:
        """Incident 2026-12-05, 2: a second copy went out 0.1 s after a reset that had lost the 202."""
        self.begin()
        side, worker = self.send_job()
        name = self.reset(worker)
        self.held = []  # the connection for the DELETE does not come up yet
        self.wait(200)
        self.assert_nothing_received()
        self.release_connections()
        self.confirm_cancel_at(name)
        self.finish_job(side, self.take("POST a1"))

    def test_after_a_reset_a_cancel_is_repeated_while_connections_time_out(self) -> None:
        self.begin()
        side, worker = self.send_job()
        name = self.reset(worker)
        self.fail_connections(name, 5)  # 250 ms each
        self.wait(1_000)
        self.assert_nothing_received()
        self.wait(500)
        self.confirm_cancel_at(name)
        self.finish_job(side, self.take("POST a1"))

    def test_after_a_reset_an_unconfirmed_cancel_prevents_a_retry(self) -> None:
        self.begin()
        side, worker = self.send_job()
        self.fail_connections(self.reset(worker), 100)
        self.wait(2_100)
        self.assertEqual(503, self.answer(side).status)
        self.assert_nothing_received()

    def test_after_a_reset_a_worker_that_is_not_listed_any_more_is_sent_the_cancel(self) -> None:
        self.begin()
        side, worker = self.send_job()
        name = self.reset(worker)
        self.held = []  # the connection for the DELETE
        self.until(lambda: bool(self.held))
        self.send_list(50, whole=False, **{name: "gone"})
        self.release_connections()
        self.confirm_cancel_at(name)
        self.finish_job(side, self.take("POST a1"))

    def test_a_worker_that_left_the_list_before_the_reset_is_sent_the_cancel(self) -> None:
        self.begin()
        side, worker = self.send_job()
        self.send_list(50, whole=False, **{self.name(worker): "gone"})
        self.confirm_cancel_at(self.reset(worker))
        self.finish_job(side, self.take("POST a1"))

    def test_an_answer_that_may_be_an_earlier_jobs_and_an_unconfirmed_cancel_prevent_a_retry(self) -> None:
        """The job may have been taken just before its connection was closed here."""
        self.begin()
        self.open_idle_connections()
        side, worker = self.send_job()
        self.fail_connections(self.name(worker), 100)
        other = [connection for connection in self.app.workers.connections if connection.exchange is None]
        for connection in other:
            connection.close_idle()
        worker.send(http.response(503, headers=(("X-Rejected", "1"),)))
        self.wait(2_100)
        self.assertEqual(503, self.answer(side).status)
        self.assert_nothing_received()

    def test_if_the_workers_process_has_ended_the_job_is_retried_at_once(self) -> None:
        self.begin()
        side, worker = self.send_job()
        number = int(self.name(worker)[1:]) - 1
        self.listeners[number].close()
        worker.sock.shutdown(socket.SHUT_RDWR)
        again = self.take_elsewhere(number)
        again.send(ACCEPTED)
        self.turn()
        self.call_back("a1", worker=f"w{2 - number}")
        self.assertEqual(200, self.answer(side).status)

    def take_elsewhere(self, gone: int) -> PeerSocket:
        """Receive the job at the other worker, without advancing time."""
        del self.listeners[gone]
        return self.take("POST a1")

    def test_a_202_read_together_with_the_connections_end_counts(self) -> None:
        self.begin()
        side, worker = self.send_job()
        worker.send(ACCEPTED)
        worker.sock.shutdown(socket.SHUT_RDWR)
        self.wait(400)
        self.assert_nothing_received()
        self.call_back("a1", worker=self.name(worker))
        self.assertEqual(200, self.answer(side).status)

    # ---- call-backs cross ----

    def test_a_start_reported_before_the_202_and_a_reset_are_cancelled_before_a_retry(self) -> None:
        self.begin()
        side, worker = self.send_job()
        self.call_back("a1", "started", self.name(worker))
        worker.sock.shutdown(socket.SHUT_RDWR)
        self.confirm_cancel(worker)
        self.finish_job(side, self.take("POST a1"))

    def test_a_repeated_return_during_a_later_attempt_at_the_worker_cancels_that_attempt(self) -> None:
        """An unanswered call-back is repeated up to ten times: one may arrive during the next attempt."""
        for early in (False, True):  # the call before the 202
            with self.subTest(early=early):
                self.begin(workers=1)
                side, worker = self.send_job()
                for what in (None, ACCEPTED) if early else (ACCEPTED, None):
                    if what is not None:
                        worker.send(what)
                        self.turn()
                    else:
                        self.call_back("a1", "returned")
                self.next_attempt().send(ACCEPTED)
                self.turn()
                self.call_back("a1", "returned")
                self.confirm_cancel(worker)
                self.finish_job(side, self.next_attempt())

    # ---- what is closed, and when ----

    def test_the_next_attempt_is_not_written_before_the_silent_connection_is_closed(self) -> None:
        """abortConnection closes in the reactor's next turn; an idle connection is written to in this one."""
        self.begin()
        self.open_idle_connections()
        _, worker = self.send_job()
        self.advance_in_reactor(255)
        self.turn(2)
        self.assertNotIn("POST a1", [name for name, _ in self.came()])
        worker.read()
        self.assertTrue(worker.ended)

    def test_an_answer_that_may_be_the_second_of_an_earlier_job_closes_the_connection_and_is_cancelled(
        self,
    ) -> None:
        """A second answer to an earlier job, 500 or 503, arrives late and could end the job just sent."""
        for status, more in ((500, ()), (503, (("X-Rejected", "1"),))):
            with self.subTest(status):
                self.begin()
                self.open_idle_connections()
                side, worker = self.send_job()
                worker.send(http.response(status, headers=more))
                self.turn()
                worker.read()
                self.assertTrue(worker.ended)
                self.confirm_cancel(worker)
                self.finish_job(side, self.take("POST a1"))

    def test_on_the_streaming_listener_a_200_without_a_stream_may_be_such_an_answer(self) -> None:
        self.begin(progress=True)
        self.open_idle_connections()
        side, worker = self.send_job()
        worker.send(http.response(200, b"{}"))
        self.confirm_cancel(worker)
        self.finish_job(side, self.take("POST a1"))

    def test_such_an_answer_followed_by_this_jobs_own_does_not_end_the_job(self) -> None:
        for own in (ACCEPTED, ACCEPTED[:20]):
            with self.subTest(own):
                self.begin()
                self.open_idle_connections()
                side, worker = self.send_job()
                worker.send(http.response(503, headers=(("X-Rejected", "1"),)) + own)
                self.wait(600)  # the DELETE must be confirmed and is not answered
                self.assertEqual(["DELETE /jobs/a1"], [name for name, _ in self.came()])
                self.confirm_cancel(worker)
                self.finish_job(side, self.take("POST a1"))

    def test_an_answer_that_can_only_be_this_jobs_keeps_the_connection(self) -> None:
        self.begin()
        side, worker = self.send_job()
        worker.send(http.response(503, headers=(("X-Rejected", "1"),)))
        self.finish_job(side, self.take("POST a1"))
        worker.read()
        self.assertFalse(worker.ended)

    def test_a_client_that_disconnects_as_the_202_arrives_has_its_job_cancelled(self) -> None:
        self.begin()
        side, worker = self.send_job()
        worker.send(ACCEPTED)
        c = next(c for c in self.app.server.connections if c.job is not None)
        side.sock.close()
        c.transport.connectionLost(CLOSED)  # the reactor handles the client first
        self.take("DELETE /jobs/a1")

    def test_a_connection_being_opened_to_a_previous_process_carries_no_job(self) -> None:
        """The list shows the worker as gone, or at another address, while the connection is set up."""
        for change in ("gone", "moved"):
            with self.subTest(change):
                self.begin()
                self.held = []
                side = self.client()
                side.send(self.job("a1", "thumbs"))
                self.until(lambda: bool(self.held))
                name = next(
                    name for name, pool in self.app.workers.pools.items() if pool is self.held[0][1].pool
                )
                if change == "moved":
                    self.came()
                    self.listeners[int(name[1:]) - 1] = self.listener()
                self.send_list(42, False, **{name: "up" if change == "moved" else "gone"})
                before = len(self.sides)
                self.release_connections()
                self.wait(100)
                self.assertEqual([], [m for s in self.sides[:before] for m in s.messages])
                self.finish_job(side, self.next_attempt())

    def test_a_job_that_was_not_written_completely_is_retried_without_a_cancel(self) -> None:
        """It cannot have run, as the worker never received all of it."""
        self.begin()
        for sock in self.listeners:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        self.held = []
        side = self.client()
        side.send(self.job("a1", "thumbs").replace(b"Length: 4", b"Length: 60000") + b"x" * 59_996)
        self.until(lambda: bool(self.held))
        late, connection = self.held[0]
        connection.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2_048)
        self.came()
        self.held = None
        late.callback(connection)
        for _ in range(60):  # the worker does not read
            self.advance_clock_only(10)
            for _ in range(3):
                reactor.iterate(0)
        first = self.sides.pop()
        self.finish_job(side, self.take("POST a1"))
        first.sock.close()
        self.assert_nothing_received()

    def test_a_connection_that_ends_as_it_opens_is_not_written_to_and_the_job_never_ran(self) -> None:
        self.begin()
        self.held = []
        side = self.client()
        side.send(self.job("a1", "deck-build"))  # not to be repeated
        self.until(lambda: bool(self.held))
        self.came()
        self.sides[-1].sock.shutdown(socket.SHUT_RDWR)
        self.release_connections()
        self.finish_job(side, self.next_attempt())

    # ---- settings without cancels ----

    def disable_cancels(self) -> None:
        """Reload settings with `limits.cancel` false while a job is in progress."""
        settings = self.raw["settings"]
        self.raw["settings"] = {**settings, "limits": {**settings["limits"], "cancel": False}}
        self.app.sighup()
        self.turn()

    def test_without_cancels_a_job_that_a_worker_may_have_is_not_retried(self) -> None:
        self.begin()
        side, worker = self.send_job()
        self.disable_cancels()
        worker.send(ACCEPTED[:20])
        self.wait(600)
        self.assertEqual(503, self.answer(side).status)
        self.assert_nothing_received()

    def test_without_cancels_a_silent_workers_job_is_retried_once_its_connection_is_closed(self) -> None:
        self.begin()
        self.open_idle_connections()
        side, worker = self.send_job()
        self.disable_cancels()
        self.advance_clock_only(255)
        self.finish_job(side, self.next_attempt_after_close(worker))

    def test_without_cancels_a_client_that_disconnects_causes_no_cancel(self) -> None:
        self.begin()
        side, worker = self.send_job()
        worker.send(ACCEPTED)
        self.turn()
        self.disable_cancels()
        side.sock.close()
        self.assert_nothing_received()
        self.assertNotIn("a1", self.app.engine.jobs.by_request_id)


if __name__ == "__main__":
    unittest.main()
