"""No request that was read is closed over without an answer, whatever closes its connection.

Each test sends the request in the very moment of the close: the reactor turns and the clock moves only when
the test says so, see tests/loopback.py.
"""

from __future__ import annotations

import errno
import json
import os
import socket
import tempfile
from typing import Any

from elderstall.interface import Ending
from elderstall.messages import Outcome
from elderstall.net import http
from elderstall.net.handover.messages import ConnectionTransfer
from elderstall.net.peer import unread, unwritten
from elderstall.net.server.admission import MIN_SHED_AGE_MS
from elderstall.net.server.closing import DEPARTURE_CHECK_INTERVAL_MS, LINGER_TIMEOUT_MS
from elderstall.net.server.connection import ServerConnection
from tests.loopback import Loopback, Side, reactor

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
LET_GO_AT = 2_000.0  # ms after SIGTERM at which connections between requests are closed


class Closing(Loopback):
    """A dispatcher with one worker, and what its clients are owed."""

    def connection(self, client: Side) -> ServerConnection:
        """Find the program's end of a client's connection."""
        port = client.sock.getsockname()[1]
        return next(c for c in self.app.server.connections if c.transport.getPeer().port == port)

    def accepted(self) -> tuple[Side, ServerConnection]:
        client = self.client()
        self.turn()
        return client, self.connection(client)

    def kept(self, request_id: str) -> Side:
        """Give a client that has had an answer and keeps its connection."""
        client = self.client()
        client.send(self.job(request_id))
        self.serve(client, request_id)
        return client

    def serve(self, client: Side, request_id: str) -> http.Message:
        self.take(f"POST {request_id}").send(http.response(202))
        self.turn()
        attempt = self.app.engine.jobs.by_request_id[request_id].attempt
        assert attempt is not None
        self.call_back(request_id, worker=attempt.worker)
        message = self.answer(client)
        self.assertEqual((200, f"deck {request_id}".encode()), (message.status, message.body))
        return message

    def closed(self, client: Side) -> bool:
        client.read()
        return client.ended


class TimeOuts(Closing):
    """A connection's time is over while its request lies unread."""

    def test_request_on_a_new_connection_that_was_silent(self) -> None:
        self.begin()
        client, _ = self.accepted()
        client.send(self.job("a1"))
        self.jump(self.app.server.timeouts.request + 1)
        self.serve(client, "a1")

    def test_request_on_a_new_connection_with_the_process_held_up(self) -> None:
        self.begin()
        client, _ = self.accepted()
        self.wait(self.app.server.timeouts.request - 10)
        client.send(self.job("a1"))
        self.jump(150)
        self.serve(client, "a1")

    def test_rest_of_a_head(self) -> None:
        self.begin()
        client, _ = self.accepted()
        data = self.job("a1")
        client.send(data[:20])
        self.turn()
        client.send(data[20:])
        self.jump(self.app.server.timeouts.request + 1)
        self.serve(client, "a1")

    def test_rest_of_a_body(self) -> None:
        self.begin()
        client, _ = self.accepted()
        data = self.job("a1")
        client.send(data[:-2])
        self.turn()
        client.send(data[-2:])
        self.jump(self.app.server.timeouts.request + 1)
        self.serve(client, "a1")

    def test_client_that_sends_a_byte_in_that_moment_is_still_ended_within_3_s(self) -> None:
        self.begin()
        client, _ = self.accepted()
        client.send(self.job("a1")[:20])
        self.wait(self.app.server.timeouts.request - 10)
        for _ in range(48):  # from then on a byte lies unread at every look
            client.sock.send(b"x")
            self.jump(10)
            self.turn(3)
        self.assertEqual(408, self.answer(client).status)

    def test_silent_connection_is_still_ended(self) -> None:
        self.begin()
        client, _ = self.accepted()
        self.wait(self.app.server.timeouts.request + 10)
        self.assertTrue(self.closed(client))


class Drain(Closing):
    """The planned end closes connections between requests."""

    def test_request_that_crosses_the_close_is_not_read(self) -> None:
        """Its client sends it again, which it does not with one that was read."""
        self.begin()
        client = self.kept("a1")
        c = self.connection(client)
        self.app.sigterm()
        self.wait(LET_GO_AT - 10)
        self.jump(20)  # the close is decided on; nothing has come
        client.send(self.job("a2"))
        self.turn()
        self.assertTrue(self.closed(client))
        self.assertTrue(unread(c.transport))
        self.assertFalse(self.app.engine.jobs.knows("a2"))
        self.assertEqual([], client.messages)
        client.sock.close()
        self.wait(2 * DEPARTURE_CHECK_INTERVAL_MS)
        self.assertNotIn(c, list(self.app.server.connections))
        self.wait(2 * DEPARTURE_CHECK_INTERVAL_MS)
        self.assertTrue(self.loop.stopped)

    def test_connection_whose_client_stays_is_ended_after_the_lingering_time(self) -> None:
        self.begin()
        self.kept("a1")
        self.app.sigterm()
        self.wait(LET_GO_AT + LINGER_TIMEOUT_MS + 100)
        self.assertTrue(self.loop.stopped)
        self.assertEqual([], list(self.app.server.connections))

    def kept_past_letting_go(self) -> Side:
        """Give a client with no request yet, while the program stays for another one's job."""
        owed = self.client()
        owed.send(self.job("owed", "deck-build", 15_000))
        self.take("POST owed").send(http.response(202))
        client, _ = self.accepted()
        self.app.sigterm()
        self.wait(LET_GO_AT + 10)
        return client

    def test_requests_behind_one_another_are_all_answered_before_the_close(self) -> None:
        self.begin(workers=2)
        client = self.kept_past_letting_go()
        client.send(self.job("a1", budget=900) + self.job("a2", budget=900))
        self.assertIsNone(self.serve(client, "a1").headers.get("Connection"))
        self.assertEqual("close", self.serve(client, "a2").headers.get("Connection"))
        self.assertTrue(self.closed(client))

    def test_request_unread_when_the_one_before_is_answered(self) -> None:
        self.begin(workers=2)
        client = self.kept_past_letting_go()
        client.send(self.job("a1", budget=900))
        self.take("POST a1").send(http.response(202))
        self.turn()
        client.send(self.job("a2", budget=900))
        attempt = self.app.engine.jobs.by_request_id["a1"].attempt
        assert attempt is not None
        self.app.engine.attempts.worker_ended(attempt, Outcome(Ending.SERVED, b"deck a1"))
        self.assertEqual(200, self.answer(client).status)
        self.serve(client, "a2")

    def test_answer_that_the_system_has_not_taken_yet_holds_the_end(self) -> None:
        """An answer written in the turn before the program's end was dropped with it."""
        self.begin()
        self.app.sigterm()
        self.wait(690)
        for data, status in ((UP, 503), (self.job("a1").replace(b"/deck-fetch", b"/nowhere"), 400)):
            with self.subTest(status):
                client, c = self.accepted()
                client.send(data)
                for _ in range(100):
                    if unwritten(c.transport):
                        break
                    reactor.iterate(0)
                self.assertTrue(unwritten(c.transport))
                self.jump(100)  # the program looks whether all is answered before the next turn
                self.assertFalse(self.loop.stopped)
                self.assertEqual(status, self.answer(client).status)
        self.wait(100)
        self.assertTrue(self.loop.stopped)


class SlowReader(Closing):
    """A client that takes its answers late, the last of them smaller than the transport's buffer."""

    def answers_unread(self) -> tuple[Side, ServerConnection, int]:
        """Give answers to a client that does not read until the system takes one in part; then the last."""
        self.begin()
        client = self.client()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.turn()
        c = self.connection(client)
        c.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2_048)
        count = 0
        while not unwritten(c.transport):
            request_id, count = f"a{count}", count + 1
            client.send(self.job(request_id))
            self.take(f"POST {request_id}").send(http.response(202))
            self.turn()
            attempt = self.app.engine.jobs.live_attempt(request_id, "w1")
            assert attempt is not None
            self.app.engine.attempts.worker_ended(attempt, Outcome(Ending.SERVED, b"x" * 5_000))
            self.turn()
        client.send(b"nothing\r\n\r\n")
        self.turn()
        self.assertTrue(c.closing)
        self.assertFalse(c.blocked)
        return client, c, count

    def test_last_answers_are_not_cut_short(self) -> None:
        """They were, twice the lingering time after the last one was given."""
        client, _, count = self.answers_unread()
        self.wait(3 * LINGER_TIMEOUT_MS)
        for _ in range(count):
            self.assertEqual(5_000, len(self.answer(client).body))
        self.assertEqual(400, self.answer(client).status)

    def test_client_that_never_reads_is_ended(self) -> None:
        _, c, _ = self.answers_unread()
        self.wait(self.app.server.timeouts.write + 3 * LINGER_TIMEOUT_MS)
        self.assertNotIn(c, list(self.app.server.connections))


class Shedding(Closing):
    """Descriptors are short, and some connections have to go."""

    def keep_at_most(self, count: int) -> None:
        self.app.server.shedding_threshold = count
        self.app.server.enforce_limits()

    def test_connection_with_an_unread_request_is_passed_over(self) -> None:
        self.begin()
        first, second = self.kept("a1"), self.kept("a2")
        first.send(self.job("a3"))
        self.keep_at_most(1)
        self.serve(first, "a3")
        self.assertTrue(self.closed(second))

    def test_new_connection_with_an_unread_request_is_passed_over(self) -> None:
        self.begin()
        first, second = self.accepted()[0], self.accepted()[0]
        self.wait(MIN_SHED_AGE_MS + 10)
        first.send(self.job("a1"))
        self.keep_at_most(1)
        self.app.server.shedding_threshold = 500
        self.serve(first, "a1")
        self.assertTrue(self.closed(second))

    def test_client_in_the_middle_of_a_request_is_asked_to_come_back(self) -> None:
        for part in (20, -2):  # of the head, of the body
            with self.subTest(part):
                self.begin()
                client, _ = self.accepted()
                client.send(self.job("a1")[:part])
                self.wait(MIN_SHED_AGE_MS + 10)
                self.keep_at_most(0)
                message = self.answer(client)
                self.assertEqual((503, "1"), (message.status, message.headers.get("Retry-After")))
                self.assertTrue(self.closed(client))

    def test_answer_that_is_not_written_yet_is_not_cut_short(self) -> None:
        self.begin()
        client = self.client()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        client.send(self.job("a1").replace(b"Host:", b"Connection: close\r\nHost:"))
        self.take("POST a1").send(http.response(202))
        self.turn()
        c = self.connection(client)
        c.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2_048)
        attempt = self.app.engine.jobs.live_attempt("a1", "w1")
        assert attempt is not None
        self.app.engine.attempts.worker_ended(attempt, Outcome(Ending.SERVED, b"x" * 60_000))
        self.turn()
        self.assertTrue(c.closing)
        self.wait(MIN_SHED_AGE_MS + 10)
        self.keep_at_most(0)
        self.assertEqual(60_000, len(self.answer(client).body))

    def test_many_that_have_their_answers_go_without_recursion(self) -> None:
        self.begin()
        clients = [self.accepted()[0] for _ in range(200)]
        for client in clients:
            client.send(b"nothing\r\n\r\n")
        self.turn()
        self.wait(MIN_SHED_AGE_MS + 10)
        self.keep_at_most(0)
        self.wait(10)
        self.assertEqual([], list(self.app.server.connections))
        for client in clients:
            self.assertEqual(400, self.answer(client).status)


class HandOver(Closing):
    """A connection with its job goes to another process, or cannot."""

    def job_out(self) -> Side:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.begin(folder=folder.name)
        client = self.client()
        client.send(self.job("a1", "deck-build"))
        self.take("POST a1").send(http.response(202))
        self.turn()
        return client

    def finish(self, client: Side) -> None:
        self.call_back("a1")
        self.assertEqual(b"deck a1", self.answer(client).body)
        self.nothing()

    def test_other_process_gone_before_the_descriptor_is_sent(self) -> None:
        client = self.job_out()
        server = self.app.server
        can_hand_over, server.can_hand_over = server.can_hand_over, lambda: True
        server.hand_over_all()
        server.can_hand_over = can_hand_over
        self.assertEqual(0, len(self.app.engine.jobs))
        self.turn()
        self.finish(client)

    def successor(self) -> socket.socket:
        """Have a process ask for the listener and say that it serves; it reads no connection."""
        assert self.app.upgrade.handover is not None
        link = socket.socket(socket.AF_UNIX)
        self.addCleanup(link.close)
        link.connect(self.app.upgrade.handover.path)
        link.sendall(b'{"m": "hello", "version": 1}\n')
        self.turn()
        _, fds, _, _ = socket.recv_fds(link, 1 << 20, 4)
        for fd in fds:
            os.close(fd)
        link.sendall(b'{"m": "got"}\n{"m": "serving"}\n')
        self.turn()
        return link

    def test_other_process_dies_with_the_descriptor_on_its_way(self) -> None:
        client = self.job_out()
        link = self.successor()
        self.assertEqual(0, len(self.app.engine.jobs))
        link.close()
        self.turn()
        self.assertEqual(1, len(self.app.engine.jobs))
        self.finish(client)

    def test_other_process_dies_after_it_confirmed_the_descriptor(self) -> None:
        client = self.job_out()
        link = self.successor()
        _, fds, _, _ = socket.recv_fds(link, 1 << 20, 8)
        link.sendall(b'{"m": "got"}\n' * len(fds))
        self.turn()
        for fd in fds:
            os.close(fd)
        link.close()
        self.turn()
        self.assertEqual(0, len(self.app.engine.jobs))  # its connection was the other's alone
        self.assertTrue(self.closed(client))

    def test_descriptor_taken_is_confirmed_though_the_next_message_is_faulty(self) -> None:
        """Else the other process would take its connection back, and both would serve it."""
        self.job_out()
        fields, fd, client = self.moved()
        assert self.app.upgrade.handover is not None
        link = socket.socket(socket.AF_UNIX)
        self.addCleanup(link.close)
        link.connect(self.app.upgrade.handover.path)
        line = json.dumps({"m": "connection", "fd": 1, **fields, "job": {**fields["job"], "cid": "a2"}})
        socket.send_fds(link, [line.encode() + b"\nno message\n"], [fd])
        os.close(fd)
        self.turn()
        self.assertTrue(self.app.engine.jobs.knows("a2"))
        self.assertEqual(b'{"m": "got"}\n', link.recv(1_000))
        self.assertEqual(b"", link.recv(1_000))
        client.sock.close()

    def moved(self, **more: Any) -> tuple[dict[str, Any], int, Side]:
        """Give a job as another process hands it over, its connection's descriptor and its client."""
        server = socket.create_server(("127.0.0.1", 0))
        client = Side(socket.create_connection(server.getsockname()), responses=True)
        self.addCleanup(client.sock.close)
        accepted, _ = server.accept()
        accepted.setblocking(False)
        server.close()
        now = self.app.deadlines.now()
        state = {
            "cid": "a1",
            "cls": {
                "name": "deck-fetch",
                "worth": 2.0,
                "aim": 4_000.0,
                "deadline": 5_000.0,
                "effect": "safe",
                "scope": "all",
            },
            "tenant": "norte",
            "key": None,
            "hint": None,
            "slots": 1,
            "arrived": now,
            "deadline": now + 4_000,
            "sent": 0,
            "ran": False,
            "unsure": [],
            "attempt": None,
            **more,
        }
        message = http.Message((1, 1), http.Headers([("X-Call-Id", "a1")]), b"body", "POST", "/deck-fetch")
        fields = {
            "client": True,
            "worker": False,
            "asked": 1,
            "age": 1.0,
            "job": state,
            "parcel": json.loads(json.dumps(message.plain())),
            "last": False,
        }
        return fields, accepted.detach(), client

    def test_no_descriptor_is_free_for_a_connection_that_comes(self) -> None:
        for number in (errno.EMFILE, errno.ENFILE, errno.ENOMEM):
            with self.subTest(errno.errorcode[number]):
                self.begin()
                fields, fd, client = self.moved()
                adopt = self.loop.adoptStreamConnection
                self.loop.adoptStreamConnection = self.short_of(number)
                self.app.upgrade.message_received(ConnectionTransfer(fields), fd)
                self.wait(60)
                self.loop.adoptStreamConnection = adopt
                self.wait(200)
                self.serve(client, "a1")

    def short_of(self, number: int) -> Any:
        def adopt(fd: int, family: int, factory: Any) -> None:
            raise OSError(number, "short of it")

        return adopt

    def test_descriptors_stay_short(self) -> None:
        """Its client's connection ends with the job, its worker is notified, and no descriptor is left."""
        self.begin()
        fields, fd, client = self.moved()
        self.loop.adoptStreamConnection = self.short_of(errno.EMFILE)
        self.app.upgrade.message_received(ConnectionTransfer(fields), fd)
        self.wait(3_000)
        self.assertTrue(self.closed(client))
        with self.assertRaises(OSError):
            os.fstat(fd)

    def test_job_that_comes_where_no_more_are_taken(self) -> None:
        safe = {
            "name": "deck-fetch",
            "worth": 2.0,
            "aim": 250.0,
            "deadline": 5_000.0,
            "effect": "safe",
            "scope": "all",
        }
        for effect, attempt, status in (("safe", True, 503), ("unsafe", True, 502), ("unsafe", False, 503)):
            with self.subTest(effect=effect, attempt=attempt):
                self.begin()
                self.app.engine.jobs.live.max_items = 0
                now = self.app.deadlines.now()
                fields, fd, client = self.moved(
                    cls={**safe, "effect": effect}, attempt=["w1", now, now + 900] if attempt else None
                )
                self.app.upgrade.message_received(ConnectionTransfer(fields), fd)
                self.assertEqual(status, self.answer(client).status)
                if attempt:
                    self.take("DELETE /jobs/a1")
