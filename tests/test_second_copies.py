"""Ways to a second copy, on real sockets, the crossing forced: see docs/design/crossings.md.

A second copy is an attempt whose last byte has come while an earlier one has neither ended nor been given up.
To close a connection gives an attempt up only before the worker has written its 202.
"""

from __future__ import annotations

import socket
import struct
import unittest
from typing import Any

from elderstall.net import http
from tests.loopback import Loopback, Side, reactor
from tests.scenario import CLASSES, CLOSED

WAITING = {"name": "thumbs", "points": 3, "aim": 3000, "deadline": 9000, "effect": "safe"}
TAKEN = http.response(202)


class Copies(Loopback):
    """One job, two workers, and what may go wrong between them."""

    def begin(self, workers: int = 2, **more: Any) -> None:  # type: ignore[override]
        super().begin(workers, classes=[*CLASSES, WAITING], **more)

    def out(self, request_id: str = "a1", job_class: str = "thumbs") -> tuple[Side, Side]:
        """Give a client and the worker's connection that its job came over."""
        side = self.client()
        side.send(self.job(request_id, job_class))
        return side, self.take(f"POST {request_id}")

    def kept(self, workers: int = 2) -> None:
        """Have a connection kept to each worker: an attempt is then written in the turn that decides it."""
        for n in range(3 * workers):
            _, worker = self.out(f"k{n}")
            worker.send(TAKEN)
            self.turn()
            self.call_back(f"k{n}", worker=self.name(worker))
        self.turn()
        self.assertEqual({f"w{n + 1}" for n in range(workers)}, {self.name(side) for side in self.sides})

    def name(self, worker: Side) -> str:
        ports = [sock.getsockname()[1] for sock in self.listeners]
        return f"w{ports.index(worker.sock.getsockname()[1]) + 1}"

    def at_most_one(self, first: Side, request_id: str = "a1", turns: int = 40) -> Side:
        """See that the next attempt comes only when the first connection has ended; give the next one's."""
        for _ in range(turns):
            reactor.iterate(0)
            if f"POST {request_id}" in [name for name, _ in self.came()]:
                first.read()
                self.assertTrue(first.ended, "a second copy came while the first connection was open")
                return self.take(f"POST {request_id}")
        return self.fail(f"no second attempt; {self.lines}")

    def in_the_reactor(self, ms: float) -> None:
        """Let time pass in the reactor's own turn, as it does in the program: timers first, sockets after."""
        reactor.callLater(0, self.jump, ms)

    def served(self, side: Side, worker: Side, request_id: str = "a1") -> None:
        worker.send(TAKEN)
        self.turn()
        self.call_back(request_id, worker=self.name(worker))
        self.assertEqual(200, self.answer(side).status)

    def given_up(self, first: Side, request_id: str = "a1") -> None:
        """See that the worker is told to give the job up before it goes anywhere else."""
        self.turn()
        self.assertNotIn(f"POST {request_id}", [name for name, _ in self.came()])
        asked = self.take(f"DELETE /jobs/{request_id}")
        self.assertEqual(self.name(first), self.name(asked))
        asked.send(http.response(200))

    def in_time(self, request_id: str = "a1") -> Side:
        """Wait until the module sends the job again."""
        for _ in range(200):
            if f"POST {request_id}" in [name for name, _ in self.came()]:
                break
            self.wait(10)
        return self.take(f"POST {request_id}")

    # ---- the worker's word and the end of our patience cross ----

    def test_a_202_that_is_there_unread_when_patience_ends_counts(self) -> None:
        self.begin()
        side, worker = self.out()
        worker.send(TAKEN)
        self.jump(260)  # the program was in another turn all that time
        self.wait(400)
        self.nothing()
        self.call_back("a1", worker=self.name(worker))
        self.assertEqual(200, self.answer(side).status)

    def test_half_a_202_when_patience_ends_has_the_worker_told_first(self) -> None:
        self.begin()
        side, worker = self.out()
        worker.send(TAKEN[:20])
        self.wait(600)
        self.given_up(worker)
        self.served(side, self.take("POST a1"))

    def test_where_the_worker_that_began_an_answer_cannot_be_told_the_job_goes_nowhere_else(self) -> None:
        self.begin()
        side, worker = self.out()
        worker.send(TAKEN[:20])
        self.wait(3_000)  # its DELETE is never answered
        self.assertEqual(503, self.answer(side).status)
        self.assertEqual(["DELETE /jobs/a1"], [name for name, _ in self.came()])

    def test_a_worker_that_says_nothing_is_told_before_the_next_attempt(self) -> None:
        """Its 202 may be on the way: to close the connection gave nothing up then."""
        self.begin()
        side, worker = self.out()
        self.wait(255)
        self.given_up(worker)
        self.served(side, self.take("POST a1"))

    def test_one_that_does_not_answer_that_either_holds_the_job_up_for_a_moment_only(self) -> None:
        self.begin()
        side, worker = self.out()
        self.wait(255)
        self.assertEqual(["DELETE /jobs/a1"], [name for name, _ in self.came()])
        self.wait(120)
        self.served(side, self.take("POST a1"))

    def test_patience_begins_when_the_job_is_written_not_when_its_connection_is_asked_for(self) -> None:
        """Connections come up late: the 202 then met the end of a time that was nearly over."""
        self.begin()
        self.held = []
        side = self.client()
        side.send(self.job("a1", "thumbs"))
        self.until(lambda: bool(self.held))
        self.wait(240)
        self.let_up()
        worker = self.take("POST a1")
        self.wait(200)
        self.served(side, worker)
        self.nothing()

    def test_an_answer_that_cannot_be_read_has_the_worker_told_first(self) -> None:
        """It may have been the 202."""
        self.begin()
        side, worker = self.out()
        worker.send(b"HTTP/1.1 202 Accepted\r\nno field\r\n\r\n")
        self.given_up(worker)
        self.served(side, self.take("POST a1"))

    def test_half_a_202_and_the_connections_end_have_the_worker_told_first(self) -> None:
        self.begin()
        side, worker = self.out()
        worker.send(TAKEN[:20])
        self.turn()
        worker.sock.shutdown(socket.SHUT_RDWR)
        self.given_up(worker)
        self.served(side, self.take("POST a1"))

    def test_a_reset_that_may_have_met_the_202_on_its_way_has_the_worker_told_first(self) -> None:
        self.begin()
        side, worker = self.out()
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        name = self.name(worker)
        worker.sock.close()
        self.turn()
        self.assertEqual(["DELETE /jobs/a1"], [what for what, _ in self.came()])
        asked = self.take("DELETE /jobs/a1")
        self.assertEqual(name, self.name(asked))
        asked.send(http.response(404))  # it has no such job
        self.served(side, self.take("POST a1"))

    def test_where_the_workers_process_is_gone_with_it_the_job_goes_on_at_once(self) -> None:
        self.begin()
        side, worker = self.out()
        number = int(self.name(worker)[1:]) - 1
        self.listeners[number].close()
        worker.sock.shutdown(socket.SHUT_RDWR)
        again = self.take_elsewhere(number)
        again.send(TAKEN)
        self.turn()
        self.call_back("a1", worker=f"w{2 - number}")
        self.assertEqual(200, self.answer(side).status)

    def take_elsewhere(self, gone: int) -> Side:
        """Take the job at the other worker, with no time gone by."""
        del self.listeners[gone]
        return self.take("POST a1")

    def test_a_202_read_together_with_the_connections_end_counts(self) -> None:
        self.begin()
        side, worker = self.out()
        worker.send(TAKEN)
        worker.sock.shutdown(socket.SHUT_RDWR)
        self.wait(400)
        self.nothing()
        self.call_back("a1", worker=self.name(worker))
        self.assertEqual(200, self.answer(side).status)

    # ---- call-backs cross ----

    def test_a_start_told_before_the_202_and_a_reset_have_the_worker_told_first(self) -> None:
        self.begin()
        side, worker = self.out()
        self.call_back("a1", "started", self.name(worker))
        worker.sock.shutdown(socket.SHUT_RDWR)
        self.given_up(worker)
        self.served(side, self.take("POST a1"))

    def test_a_return_told_again_after_the_job_came_back_to_that_worker_ends_nothing_untold(self) -> None:
        """Until a call is answered it is tried again, ten times: the repeat may meet the next attempt."""
        for early in (False, True):  # the call before the 202
            with self.subTest(early=early):
                self.begin(workers=1)
                side, worker = self.out()
                for what in (None, TAKEN) if early else (TAKEN, None):
                    if what is not None:
                        worker.send(what)
                        self.turn()
                    else:
                        self.call_back("a1", "returned")
                self.in_time().send(TAKEN)
                self.turn()
                self.call_back("a1", "returned")
                self.given_up(worker)
                self.served(side, self.in_time())

    # ---- what is closed, and when ----

    def test_the_next_attempt_is_not_written_before_the_silent_connection_is_closed(self) -> None:
        """abortConnection closes in the reactor's next turn, and a kept connection is written to in this."""
        self.begin()
        self.kept()
        _, worker = self.out()
        self.in_the_reactor(255)
        self.turn(2)
        self.assertNotIn("POST a1", [name for name, _ in self.came()])
        worker.read()
        self.assertTrue(worker.ended)

    def test_an_answer_that_may_be_the_second_of_an_earlier_job_closes_its_connection_first(self) -> None:
        """Second answers come some milliseconds late: a 500 or 503 ended the job that had just gone out."""
        for status, more in ((500, ()), (503, (("X-Rejected", "1"),))):
            with self.subTest(status):
                self.begin()
                self.kept()
                side, worker = self.out()
                worker.send(http.response(status, headers=more))
                self.turn()
                worker.read()
                self.assertTrue(worker.ended)
                self.given_up(worker)
                self.served(side, self.take("POST a1"))

    def test_on_the_front_for_streams_a_200_that_is_no_stream_may_be_one_too(self) -> None:
        self.begin(progress=True)
        self.kept()
        side, worker = self.out()
        worker.send(http.response(200, b"{}"))
        self.given_up(worker)
        self.served(side, self.take("POST a1"))

    def test_one_with_this_jobs_own_behind_it_does_not_end_the_job(self) -> None:
        for own in (TAKEN, TAKEN[:20]):
            with self.subTest(own):
                self.begin()
                self.kept()
                side, worker = self.out()
                worker.send(http.response(503, headers=(("X-Rejected", "1"),)) + own)
                self.wait(600)  # nobody answers the DELETE, which has to be
                self.assertEqual(["DELETE /jobs/a1"], [name for name, _ in self.came()])
                self.given_up(worker)
                self.served(side, self.take("POST a1"))

    def test_where_it_can_only_be_this_jobs_the_connection_is_kept(self) -> None:
        self.begin()
        side, worker = self.out()
        worker.send(http.response(503, headers=(("X-Rejected", "1"),)))
        self.served(side, self.take("POST a1"))
        worker.read()
        self.assertFalse(worker.ended)

    def test_a_client_that_leaves_as_the_202_comes_has_its_worker_told(self) -> None:
        self.begin()
        side, worker = self.out()
        worker.send(TAKEN)
        c = next(c for c in self.app.server.connections if c.job is not None)
        side.sock.close()
        c.transport.connectionLost(CLOSED)  # the reactor comes to the client first
        self.take("DELETE /jobs/a1")

    def test_a_connection_on_its_way_to_the_process_before_carries_no_job_any_more(self) -> None:
        """The worker was started anew, at another address: its list says so while the connection comes up."""
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
                self.tell(42, False, **{name: "up" if change == "moved" else "gone"})
                before = len(self.sides)
                self.let_up()
                self.wait(100)
                self.assertEqual([], [m for s in self.sides[:before] for m in s.messages])
                self.served(side, self.in_time())

    def test_a_job_whose_last_byte_was_not_written_in_time_goes_on_with_nobody_told(self) -> None:
        """That it never ran is proven: the worker's machine takes no more of it."""
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
        for _ in range(60):  # it comes to nobody who reads
            self.jump(10)
            for _ in range(3):
                reactor.iterate(0)
        first = self.sides.pop()
        self.served(side, self.take("POST a1"))
        first.sock.close()
        self.nothing()

    def test_one_that_ends_as_it_comes_up_is_not_written_to_and_proves_that_nothing_ran(self) -> None:
        self.begin()
        self.held = []
        side = self.client()
        side.send(self.job("a1", "deck-build"))  # not to be repeated
        self.until(lambda: bool(self.held))
        self.came()
        self.sides[-1].sock.shutdown(socket.SHUT_RDWR)
        self.let_up()
        self.served(side, self.in_time())

    # ---- settings under which no worker is told to give a job up ----

    def forbid(self) -> None:
        """Take settings, amid the work, whose `limits.cancel` is false: another customer's."""
        settings = self.raw["settings"]
        self.raw["settings"] = {**settings, "limits": {**settings["limits"], "cancel": False}}
        self.app.sighup()
        self.turn()

    def test_there_a_job_that_a_worker_may_have_goes_nowhere_else(self) -> None:
        self.begin()
        side, worker = self.out()
        self.forbid()
        worker.send(TAKEN[:20])
        self.wait(600)
        self.assertEqual(503, self.answer(side).status)
        self.nothing()

    def test_there_one_that_a_silent_worker_had_goes_on_once_its_connection_is_closed(self) -> None:
        self.begin()
        self.kept()
        side, worker = self.out()
        self.forbid()
        self.jump(255)
        self.served(side, self.at_most_one(worker))

    def test_there_a_client_that_leaves_has_no_worker_told(self) -> None:
        self.begin()
        side, worker = self.out()
        worker.send(TAKEN)
        self.turn()
        self.forbid()
        side.sock.close()
        self.nothing()
        self.assertNotIn("a1", self.app.engine.jobs.by_request_id)


if __name__ == "__main__":
    unittest.main()
