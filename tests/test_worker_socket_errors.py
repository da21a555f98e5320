"""Tests of system calls that fail on connections to workers and to discovery, on real sockets.

A patched socket module in Twisted's transports raises each error that Linux documents for a call. In each
case the job must get its answer, the next job must be served, no descriptor may leak and nothing may loop.
"""

from __future__ import annotations

import errno
import signal
import socket
import unittest
from typing import Any

from twisted.python import log

from elderstall.engine.endpoint_feed import EndpointFeed
from elderstall.net import http
from elderstall.net.upstream.connect_errors import is_local_error
from tests.faulty_sockets import (
    ONE_BYTE_ONLY,
    Fault,
    FaultPlan,
    install_faults,
    no_descriptor_leaked,
    open_descriptors,
)
from tests.loopback import Loopback, PeerSocket

ACCEPTED = http.response(202)
SAFE, UNSAFE = "deck-fetch", "deck-build"
SOCKET_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (
    errno.ECONNREFUSED,
    errno.ECONNABORTED,
    errno.ENETUNREACH,
    errno.EADDRNOTAVAIL,
    errno.EPROTO,
    errno.EINTR,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.ENETDOWN,
)
READ_ERRORS = (
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.ECONNRESET,
    errno.EPIPE,
    errno.ECONNABORTED,
    errno.ENOBUFS,
    errno.ENOMEM,
)
WRITE_ERRORS = (
    errno.EPIPE,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.ECONNRESET,
    errno.ENOMEM,
)
MAX_LOG_LINES = 150  # of one test; the log's rate limit allows a burst of 100


class FailingCalls(Loopback):
    """A dispatcher whose socket calls fail as a ``FaultPlan`` says."""

    def begin(self, workers: int = 1, progress: bool = False, folder: str = "", **more: Any) -> None:
        self.plan = install_faults(self, FaultPlan())
        super().begin(workers, progress, folder, **more)
        self.ports = [sock.getsockname()[1] for sock in self.listeners]
        self.discovery_port = self.lists.getsockname()[1]
        self.send_list(42, whole=True, **{f"w{n + 1}": "up" for n in range(workers)})

    def wait_with_heartbeats(self, ms: float) -> None:
        """Advance the time while discovery sends heartbeats."""
        for _ in range(int(ms / 1_000)):
            self.watches[-1].send(http.chunk(b"\n"))
            self.wait(1_000)

    def name(self, worker: PeerSocket) -> str:
        return f"w{self.ports.index(worker.sock.getsockname()[1]) + 1}"

    def finish_jobs(self) -> None:
        """Accept and finish each job that the workers received, and confirm each cancel."""
        for what, side in self.came():
            method, request_id = what.split()
            side.messages.pop(0)
            if side.ended:
                continue
            if method != "POST":
                side.send(http.response(200))
                continue
            side.send(ACCEPTED)
            self.turn(3)
            self.call_back(request_id, worker=self.name(side))

    def submit(self, request_id: str, job_class: str = SAFE) -> PeerSocket:
        client = self.client()
        client.send(self.job(request_id, job_class))
        self.until(lambda: self.app.engine.jobs.is_known(request_id))
        return client

    def finish(self, client: PeerSocket, ms: float = 3_000) -> http.Message:
        """Return a client's answer; workers finish jobs for at most ``ms`` meanwhile."""
        end = self.app.deadlines.now() + ms
        while not client.messages and self.app.deadlines.now() < end:
            self.finish_jobs()
            self.wait(5)
            client.read()
        message = self.answer(client)
        client.sock.close()
        self.turn()
        return message

    def serve(self, request_id: str, job_class: str = SAFE) -> None:
        self.assertEqual(200, self.finish(self.submit(request_id, job_class)).status, self.lines)

    def close_ended(self) -> None:
        """Close the workers' ends of connections that the program has closed."""
        for sides in (self.sides, self.watches):
            for side in sides[:]:
                side.read()
                if side.ended:
                    side.sock.close()
                    sides.remove(side)

    def count_descriptors(self) -> int:
        """Return the number of open descriptors after closing all idle connections to workers."""
        for name in list(self.app.workers.pools):
            self.app.workers.close_pool(name)
        self.turn()
        self.came()
        self.close_ended()
        return open_descriptors()

    def assert_handled(self, fault: Fault, reported: int = 0) -> None:
        """Assert that the fault happened, and that exactly ``reported`` errors reached the reactor."""
        self.assertGreater(fault.occurrences, 0)
        self.assertEqual([], [line for line in self.lines if line.startswith("bug")])
        self.assertEqual(reported, len(self.reactor_errors), self.reactor_errors)
        del self.reactor_errors[:]
        self.assertLess(len(self.lines), MAX_LOG_LINES)

    def setUp(self) -> None:
        self.reactor_errors: list[Any] = []  # errors raised up to the reactor

        def record(event: dict[str, Any]) -> None:
            if event.get("isError"):
                self.reactor_errors.append(event.get("failure") or event)

        log.addObserver(record)
        self.addCleanup(log.removeObserver, record)


class Opening(FailingCalls):
    """``socket``, ``connect``, ``getsockopt`` and ``setsockopt`` fail once or for some seconds."""

    def assert_served_despite(self, call: str, error: int, reported: int = 0) -> None:
        """Fail one call: the job is still served, by another worker or over a new connection."""
        self.begin(workers=2)
        before = self.count_descriptors()
        fault = self.plan.add(call, error, 1, None if call == "socket" else self.ports[0])
        self.serve("a1")
        self.serve("a2")
        self.serve("a3")
        self.assert_handled(fault, reported)
        self.assertEqual(0, self.app.workers.connections.opening)
        self.assertEqual(before, self.count_descriptors())
        self.end()

    def test_socket_fails_once(self) -> None:
        for error in SOCKET_ERRORS:
            with self.subTest(error=errno.errorcode[error]):
                self.assert_served_despite("socket", error)

    def test_connect_fails_once(self) -> None:
        for error in CONNECT_ERRORS:
            with self.subTest(error=errno.errorcode[error]):
                self.assert_served_despite("connect", error)

    def test_getsockopt_fails_once(self) -> None:
        for error in (errno.ENOBUFS, errno.ENOMEM):
            with self.subTest(error=errno.errorcode[error]):
                self.assert_served_despite("getsockopt", error, reported=1)

    def test_setsockopt_fails_once(self) -> None:
        """Without handling the error, an established connection would never be reported as such."""
        for error in (errno.ENOBUFS, errno.ENOMEM, errno.EINVAL):
            with self.subTest(error=errno.errorcode[error]):
                self.assert_served_despite("setsockopt", error, reported=1)

    def test_an_error_raised_when_a_connection_is_started(self) -> None:
        """It ends the attempt; the connection must not stay counted as opening."""
        self.begin(workers=2)
        connect = self.app.workers.connect

        def fail_once(address: str, pool: Any) -> Any:
            self.app.workers.connect = connect
            raise OSError(errno.EMFILE, "no descriptor")

        self.app.workers.connect = fail_once
        self.serve("a1", UNSAFE)
        self.assertEqual(0, self.app.workers.connections.opening)

    def test_no_socket_for_three_seconds(self) -> None:
        """Nothing loops, each job is answered, and jobs are served again when sockets are available."""
        for error in SOCKET_ERRORS:
            with self.subTest(error=errno.errorcode[error]):
                self.begin(workers=4)
                before = self.count_descriptors()
                fault = self.plan.add("socket", error, None)
                clients = [self.submit(f"a{n}") for n in range(3)]
                self.wait_with_heartbeats(3_000)
                self.plan.faults.clear()
                for client in clients:
                    self.assertIn(self.finish(client).status, (200, 503))
                self.assertLess(fault.occurrences, 100)
                self.wait_with_heartbeats(2_000)
                self.serve("b1", UNSAFE)
                self.assert_handled(fault)
                self.assertEqual(0, self.app.workers.connections.opening)
                self.assertEqual(before, self.count_descriptors())
                self.end()

    def test_local_errors_do_not_count_as_an_unreachable_worker(self) -> None:
        """If exhausted local resources counted, zones would be taken for unreachable."""
        unreachable: list[bool] = []
        record_reachability = EndpointFeed.record_reachability

        def record(feed: EndpointFeed, worker: str, outcome: Any) -> None:
            unreachable.append(outcome.worker_unreachable)
            record_reachability(feed, worker, outcome)

        EndpointFeed.record_reachability = record  # type: ignore[method-assign, assignment]
        self.addCleanup(setattr, EndpointFeed, "record_reachability", record_reachability)
        local = {*SOCKET_ERRORS, errno.EADDRNOTAVAIL}
        for call, errors in (("socket", SOCKET_ERRORS), ("connect", CONNECT_ERRORS)):
            for error in errors:
                with self.subTest(call=call, error=errno.errorcode[error]):
                    self.begin()
                    unreachable.clear()
                    self.plan.add(call, error, 1, None if call == "socket" else self.ports[0])
                    self.submit("a1")
                    self.until(lambda: bool(unreachable))
                    self.assertEqual(error not in local, unreachable[0])
                    self.end()

    def test_which_errors_are_local(self) -> None:
        self.assertTrue(is_local_error(OSError(errno.EMFILE, "too many")))
        self.assertFalse(is_local_error(OSError(errno.ECONNREFUSED, "refused")))


class Writing(FailingCalls):
    """``send`` fails, or accepts fewer bytes."""

    def test_the_first_send_fails(self) -> None:
        """No byte was written, so the job never ran and goes elsewhere even if it must not be repeated."""
        for error in WRITE_ERRORS:
            with self.subTest(error=errno.errorcode[error]):
                self.begin(workers=2)
                before = self.count_descriptors()
                fault = self.plan.add("send", error, 1, self.ports[0])
                for n in range(4):
                    self.serve(f"a{n}", UNSAFE)
                self.assert_handled(fault)
                self.assertEqual(before, self.count_descriptors())
                self.end()

    def test_a_send_fails_over_a_reused_connection(self) -> None:
        for error in WRITE_ERRORS:
            with self.subTest(error=errno.errorcode[error]):
                self.begin()
                self.serve("a1", UNSAFE)
                fault = self.plan.add("send", error, 1, self.ports[0])
                self.serve("a2", UNSAFE)
                self.assert_handled(fault)
                self.assertEqual(2, len(self.sides))
                self.end()

    def test_a_send_fails_in_the_middle_of_a_request(self) -> None:
        """The last byte was not written, so the job never ran."""
        for error in WRITE_ERRORS:
            with self.subTest(error=errno.errorcode[error]):
                self.begin(workers=2)
                self.plan.add("send", ONE_BYTE_ONLY, 1, self.ports[0])
                fault = self.plan.add("send", error, 1, self.ports[0])
                for n in range(4):
                    self.serve(f"a{n}", UNSAFE)
                self.assert_handled(fault)
                self.end()

    def test_sends_are_interrupted_and_short(self) -> None:
        self.begin()
        interrupted = self.plan.add("send", errno.EINTR, 5, self.ports[0])
        short = self.plan.add("send", ONE_BYTE_ONLY, 20, self.ports[0])
        self.serve("a1", UNSAFE)
        self.assertEqual((5, 20), (interrupted.occurrences, short.occurrences))
        self.assertEqual(1, len(self.sides))

    def test_waits_and_calls_are_interrupted(self) -> None:
        """A signal each millisecond interrupts all system calls; the program continues."""
        self.begin()
        signals: list[int] = []
        previous_handler = signal.signal(signal.SIGALRM, lambda number, frame: signals.append(number))
        self.addCleanup(signal.signal, signal.SIGALRM, previous_handler)
        signal.setitimer(signal.ITIMER_REAL, 0.001, 0.001)
        try:
            for n in range(5):
                self.serve(f"a{n}", UNSAFE)
            self.until(lambda: bool(signals))
        finally:
            signal.setitimer(signal.ITIMER_REAL, 0)
        self.assertEqual([], self.reactor_errors)


class Reading(FailingCalls):
    """``recv`` fails, or returns fewer bytes."""

    def test_reads_are_short(self) -> None:
        self.begin()
        fault = self.plan.add("recv", ONE_BYTE_ONLY, 40, self.ports[0])
        self.serve("a1", UNSAFE)
        self.turn(60)  # its 202 comes byte by byte
        self.serve("a2", UNSAFE)
        self.assertEqual(40, fault.occurrences)
        self.assertEqual(1, len(self.sides))

    def test_the_read_of_a_202_fails(self) -> None:
        """A safe job goes to another worker once the first confirms the cancel; an unsafe job fails."""
        for error in READ_ERRORS:
            for job_class, status in ((SAFE, 200), (UNSAFE, 502)):
                with self.subTest(error=errno.errorcode[error], job_class=job_class):
                    self.begin(workers=4)
                    before = self.count_descriptors()
                    client = self.submit("a1", job_class)
                    fault = self.fail_202("a1", error)
                    self.assertEqual(status, self.finish(client).status, self.lines)
                    self.serve("a2", UNSAFE)
                    self.assert_handled(fault)
                    self.assertEqual(before, self.count_descriptors())
                    self.end()

    def fail_202(self, request_id: str, error: int) -> Fault:
        """Answer a job with a 202 whose read fails; return the fault."""
        worker = self.take(f"POST {request_id}")
        fault = self.plan.add("recv", error, 1, worker.sock.getsockname()[1])
        worker.send(ACCEPTED)
        self.turn()
        return fault

    def test_a_job_whose_attempt_broke_gets_the_first_slot_that_comes_free(self) -> None:
        """A retry that kept waiting at the head of its queue would block the jobs behind it.

        Both workers are full when the attempt breaks; a slot that becomes free is offered to
        held jobs at once.
        """
        for error in (errno.ETIMEDOUT, errno.EHOSTUNREACH):
            with self.subTest(error=errno.errorcode[error]):
                self.begin(workers=2)
                broken, other = self.submit("a1"), self.submit("a2")
                self.until(lambda: len(self.came()) == 2)
                fault = self.fail_202("a1", error)
                fresh = self.submit("a3")
                worker = self.take("POST a2")
                worker.send(ACCEPTED)
                self.turn()
                self.call_back("a2", worker=self.name(worker))
                self.assertEqual(["DELETE /jobs/a1"], [what for what, _ in self.came()])
                for client in (broken, other, fresh):
                    self.assertEqual(200, self.finish(client).status, self.lines)
                self.assert_handled(fault)
                self.end()


class Discovery(FailingCalls):
    """Calls on the watch fail: it is reopened, the known list stays in use, and nothing loops."""

    def test_the_watch_is_read_with_errors(self) -> None:
        for error in READ_ERRORS:
            with self.subTest(error=errno.errorcode[error]):
                self.begin()
                list_calls = len(self.asked_lists())
                fault = self.plan.add("recv", error, 1, self.discovery_port)
                self.send_list(43, whole=True, w1="up")
                self.serve("a1")
                self.wait_for_list_calls(list_calls + 1)
                self.assertEqual(1, fault.occurrences)
                self.send_list(44, whole=True, w1="draining")
                self.assertEqual("draining", self.app.engine.view.state("w1").value)
                self.assert_handled(fault)
                self.end()

    def wait_for_list_calls(self, times: int, ms: float = 10_000) -> None:
        end = self.app.deadlines.now() + ms
        while len(self.asked_lists()) < times and self.app.deadlines.now() < end:
            self.wait(50)
        self.assertGreaterEqual(len(self.asked_lists()), times, self.lines)

    def test_the_watch_is_read_in_short_pieces(self) -> None:
        self.begin()
        fault = self.plan.add("recv", ONE_BYTE_ONLY, 100, self.discovery_port)
        self.send_list(43, whole=True, w1="draining")
        self.turn(200)
        self.assertEqual(100, fault.occurrences)
        self.assertEqual("draining", self.app.engine.view.state("w1").value)

    def test_no_connection_for_some_seconds(self) -> None:
        for call, errors in (("connect", CONNECT_ERRORS), ("socket", SOCKET_ERRORS)):
            for error in errors:
                with self.subTest(call=call, error=errno.errorcode[error]):
                    self.begin()
                    list_calls = len(self.asked_lists())
                    before = open_descriptors()
                    self.watches[-1].sock.close()
                    del self.watches[:]
                    port = None if call == "socket" else self.discovery_port
                    fault = self.plan.add(call, error, None, port)
                    self.wait(5_000)
                    self.assertLess(fault.occurrences, 30)
                    self.plan.faults.clear()
                    self.wait_for_list_calls(1)
                    self.assertGreater(list_calls, 0)
                    self.serve("a1")
                    self.assert_handled(fault)
                    self.count_descriptors()
                    self.assertEqual(before, open_descriptors())
                    self.end()

    def test_the_call_for_the_list_is_written_with_errors(self) -> None:
        for error in WRITE_ERRORS:
            with self.subTest(error=errno.errorcode[error]):
                self.begin()
                self.watches[-1].sock.close()
                del self.watches[:]
                fault = self.plan.add("send", error, 1, self.discovery_port)
                self.wait_for_list_calls(1)
                self.assert_handled(fault)
                self.end()


class Counting(unittest.TestCase):
    """The check of these tests for leaked descriptors."""

    def test_a_leak_is_seen(self) -> None:
        with self.assertRaises(AssertionError), no_descriptor_leaked(self):
            leaked = socket.socket()
        leaked.close()


if __name__ == "__main__":
    unittest.main()
