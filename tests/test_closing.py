"""A request that was read is always answered, whatever closes its connection; another may be left unread.

The tests send requests around the moment of the close. A test drives the reactor and the clock, see
tests/loopback.py.
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
from elderstall.net.peer import has_unread_data, has_unwritten_data
from elderstall.net.server.admission import MIN_SHED_AGE_MS
from elderstall.net.server.closing import DEPARTURE_CHECK_INTERVAL_MS, LINGER_TIMEOUT_MS
from elderstall.net.server.connection import ServerConnection
from tests.loopback import Loopback, PeerSocket, reactor

UP = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
IDLE_CLOSE_DELAY_MS = 2_000.0  # after SIGTERM, at which connections between requests are closed


class Closing(Loopback):
    """A dispatcher with one worker, and helpers for its clients' connections."""

    def connection(self, client: PeerSocket) -> ServerConnection:
        """Return the server's end of a client's connection."""
        port = client.sock.getsockname()[1]
        return next(
            connection
            for connection in self.app.server.connections
            if connection.transport.getPeer().port == port
        )

    def accepted_client(self) -> tuple[PeerSocket, ServerConnection]:
        client = self.client()
        self.turn()
        return client, self.connection(client)

    def keep_alive_client(self, request_id: str) -> PeerSocket:
        """Return a client that has received an answer and keeps its connection open."""
        client = self.client()
        client.send(self.job(request_id))
        self.serve(client, request_id)
        return client

    def serve(self, client: PeerSocket, request_id: str) -> http.Message:
        self.take(f"POST {request_id}").send(http.response(202))
        self.turn()
        attempt = self.app.engine.jobs.by_request_id[request_id].attempt
        assert attempt is not None
        self.call_back(request_id, worker=attempt.worker)
        message = self.answer(client)
        self.assertEqual((200, f"deck {request_id}".encode()), (message.status, message.body))
        return message

    def is_closed(self, client: PeerSocket) -> bool:
        client.read()
        return client.ended


class TimeOuts(Closing):
    """A connection times out while its request is unread."""

    def test_request_on_a_new_connection_that_was_silent(self) -> None:
        self.begin()
        client, _ = self.accepted_client()
        client.send(self.job("a1"))
        self.advance_clock_only(self.app.server.timeouts.request + 1)
        self.serve(client, "a1")

    def test_request_on_a_new_connection_while_the_process_is_delayed(self) -> None:
        self.begin()
        client, _ = self.accepted_client()
        self.wait(self.app.server.timeouts.request - 10)
        client.send(self.job("a1"))
        self.advance_clock_only(150)
        self.serve(client, "a1")

    def test_rest_of_a_head(self) -> None:
        self.begin()
        client, _ = self.accepted_client()
        data = self.job("a1")
        client.send(data[:20])
        self.turn()
        client.send(data[20:])
        self.advance_clock_only(self.app.server.timeouts.request + 1)
        self.serve(client, "a1")

    def test_rest_of_a_body(self) -> None:
        self.begin()
        client, _ = self.accepted_client()
        data = self.job("a1")
        client.send(data[:-2])
        self.turn()
        client.send(data[-2:])
        self.advance_clock_only(self.app.server.timeouts.request + 1)
        self.serve(client, "a1")

    def test_client_that_keeps_sending_bytes_is_still_ended_within_3_s(self) -> None:
        self.begin()
        client, _ = self.accepted_client()
        client.send(self.job("a1")[:20])
        self.wait(self.app.server.timeouts.request - 10)
        for _ in range(48):  # from then on a byte is unread at every check
            client.sock.send(b"x")
            self.advance_clock_only(10)
            self.turn(3)
        self.assertEqual(408, self.answer(client).status)

    def test_silent_connection_is_still_ended(self) -> None:
        self.begin()
        client, _ = self.accepted_client()
        self.wait(self.app.server.timeouts.request + 10)
        self.assertTrue(self.is_closed(client))


class Drain(Closing):
    """A drain closes connections between requests."""

    def test_request_that_crosses_the_close_is_not_read(self) -> None:
        """A client sends an unread request again, but not one that was read."""
        self.begin()
        client = self.keep_alive_client("a1")
        connection = self.connection(client)
        self.app.sigterm()
        self.wait(IDLE_CLOSE_DELAY_MS - 10)
        self.advance_clock_only(20)  # the close has begun; no request has arrived
        client.send(self.job("a2"))
        self.turn()
        self.assertTrue(self.is_closed(client))
        self.assertTrue(has_unread_data(connection.transport))
        self.assertFalse(self.app.engine.jobs.is_known("a2"))
        self.assertEqual([], client.messages)
        client.sock.close()
        self.wait(2 * DEPARTURE_CHECK_INTERVAL_MS)
        self.assertNotIn(connection, list(self.app.server.connections))
        self.wait(2 * DEPARTURE_CHECK_INTERVAL_MS)
        self.assertTrue(self.loop.stopped)

    def test_connection_that_its_client_keeps_open_is_ended_after_the_linger_time(self) -> None:
        self.begin()
        self.keep_alive_client("a1")
        self.app.sigterm()
        self.wait(IDLE_CLOSE_DELAY_MS + LINGER_TIMEOUT_MS + 100)
        self.assertTrue(self.loop.stopped)
        self.assertEqual([], list(self.app.server.connections))

    def client_past_idle_close(self) -> PeerSocket:
        """Return a client without a request while another client's job keeps the process running."""
        owed = self.client()
        owed.send(self.job("owed", "deck-build", 15_000))
        self.take("POST owed").send(http.response(202))
        client, _ = self.accepted_client()
        self.app.sigterm()
        self.wait(IDLE_CLOSE_DELAY_MS + 10)
        return client

    def test_pipelined_requests_are_all_answered_before_the_close(self) -> None:
        self.begin(workers=2)
        client = self.client_past_idle_close()
        client.send(self.job("a1", budget=900) + self.job("a2", budget=900))
        self.assertIsNone(self.serve(client, "a1").headers.get("Connection"))
        self.assertEqual("close", self.serve(client, "a2").headers.get("Connection"))
        self.assertTrue(self.is_closed(client))

    def test_request_unread_when_the_previous_one_is_answered(self) -> None:
        self.begin(workers=2)
        client = self.client_past_idle_close()
        client.send(self.job("a1", budget=900))
        self.take("POST a1").send(http.response(202))
        self.turn()
        client.send(self.job("a2", budget=900))
        attempt = self.app.engine.jobs.by_request_id["a1"].attempt
        assert attempt is not None
        self.app.engine.attempts.worker_ended(attempt, Outcome(Ending.SERVED, b"deck a1"))
        self.assertEqual(200, self.answer(client).status)
        self.serve(client, "a2")

    def test_answer_that_is_not_written_yet_delays_the_end(self) -> None:
        """The process ends only after an answer of the last turn is written; otherwise it would be lost."""
        self.begin()
        self.app.sigterm()
        self.wait(690)
        for data, status in ((UP, 503), (self.job("a1").replace(b"/deck-fetch", b"/nowhere"), 400)):
            with self.subTest(status):
                client, connection = self.accepted_client()
                client.send(data)
                for _ in range(100):
                    if has_unwritten_data(connection.transport):
                        break
                    reactor.iterate(0)
                self.assertTrue(has_unwritten_data(connection.transport))
                self.advance_clock_only(100)  # the check for unwritten answers runs before the next turn
                self.assertFalse(self.loop.stopped)
                self.assertEqual(status, self.answer(client).status)
        self.wait(100)
        self.assertTrue(self.loop.stopped)


class SlowReader(Closing):
    """A client that reads its answers late, the last of them smaller than the transport's buffer."""

    def client_with_unread_answers(self) -> tuple[PeerSocket, ServerConnection, int]:
        """Answer a client that does not read until an answer is only partly written; then send a last one."""
        self.begin()
        client = self.client()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.turn()
        connection = self.connection(client)
        connection.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2_048)
        count = 0
        while not has_unwritten_data(connection.transport):
            request_id = f"a{count}"
            count += 1
            client.send(self.job(request_id))
            self.take(f"POST {request_id}").send(http.response(202))
            self.turn()
            attempt = self.app.engine.jobs.live_attempt(request_id, "w1")
            assert attempt is not None
            self.app.engine.attempts.worker_ended(attempt, Outcome(Ending.SERVED, b"x" * 5_000))
            self.turn()
        client.send(b"nothing\r\n\r\n")
        self.turn()
        self.assertTrue(connection.closing)
        self.assertFalse(connection.blocked)
        return client, connection, count

    def test_last_answers_are_not_truncated(self) -> None:
        """Guards against an abort two linger times after the last answer, while data is still unwritten."""
        client, _, count = self.client_with_unread_answers()
        self.wait(3 * LINGER_TIMEOUT_MS)
        for _ in range(count):
            self.assertEqual(5_000, len(self.answer(client).body))
        self.assertEqual(400, self.answer(client).status)

    def test_client_that_never_reads_is_ended(self) -> None:
        _, connection, _ = self.client_with_unread_answers()
        self.wait(self.app.server.timeouts.write + 3 * LINGER_TIMEOUT_MS)
        self.assertNotIn(connection, list(self.app.server.connections))


class Shedding(Closing):
    """Descriptors run short, and some connections are shed."""

    def limit_connections(self, count: int) -> None:
        self.app.server.shedding_threshold = count
        self.app.server.enforce_limits()

    def test_connection_with_an_unread_request_is_not_shed(self) -> None:
        self.begin()
        first = self.keep_alive_client("a1")
        second = self.keep_alive_client("a2")
        first.send(self.job("a3"))
        self.limit_connections(1)
        self.serve(first, "a3")
        self.assertTrue(self.is_closed(second))

    def test_new_connection_with_an_unread_request_is_not_shed(self) -> None:
        self.begin()
        first = self.accepted_client()[0]
        second = self.accepted_client()[0]
        self.wait(MIN_SHED_AGE_MS + 10)
        first.send(self.job("a1"))
        self.limit_connections(1)
        self.app.server.shedding_threshold = 500
        self.serve(first, "a1")
        self.assertTrue(self.is_closed(second))

    def test_a_client_sees_at_once_that_its_idle_connection_is_shed(self) -> None:
        """Incident 2026-12-05, 6: a job sent before the reactor's next turn was closed without an answer."""
        self.begin()
        client = self.keep_alive_client("a1")
        self.connection(client).shed()
        self.assertTrue(self.is_closed(client))  # before the reactor's next turn

    def test_a_client_sees_at_once_that_its_idle_connection_has_timed_out(self) -> None:
        self.begin()
        client = self.keep_alive_client("a1")
        self.advance_clock_only(self.app.server.timeouts.idle + 1)
        self.assertTrue(self.is_closed(client))

    def test_a_client_sees_at_once_that_its_idle_connection_ends_with_the_program(self) -> None:
        self.begin()
        client = self.keep_alive_client("a1")
        self.app.server.close_idle_clients()
        self.assertTrue(self.is_closed(client))

    def test_an_answer_that_is_unwritten_as_its_connection_is_shed_comes_before_the_end(self) -> None:
        self.begin()
        client = self.client()
        client.send(self.job("a1")[:-1])
        self.turn()
        self.connection(client).shed()
        self.assertFalse(self.is_closed(client))
        self.turn()
        self.assertTrue(self.is_closed(client))
        self.assertEqual(503, client.messages[0].status)

    def test_client_in_the_middle_of_a_request_is_told_to_retry(self) -> None:
        for part in (20, -2):  # of the head, of the body
            with self.subTest(part):
                self.begin()
                client, _ = self.accepted_client()
                client.send(self.job("a1")[:part])
                self.wait(MIN_SHED_AGE_MS + 10)
                self.limit_connections(0)
                message = self.answer(client)
                self.assertEqual((503, "1"), (message.status, message.headers.get("Retry-After")))
                self.assertTrue(self.is_closed(client))

    def test_answer_that_is_not_written_yet_is_not_truncated(self) -> None:
        self.begin()
        client = self.client()
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
        client.send(self.job("a1").replace(b"Host:", b"Connection: close\r\nHost:"))
        self.take("POST a1").send(http.response(202))
        self.turn()
        connection = self.connection(client)
        connection.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2_048)
        attempt = self.app.engine.jobs.live_attempt("a1", "w1")
        assert attempt is not None
        self.app.engine.attempts.worker_ended(attempt, Outcome(Ending.SERVED, b"x" * 60_000))
        self.turn()
        self.assertTrue(connection.closing)
        self.wait(MIN_SHED_AGE_MS + 10)
        self.limit_connections(0)
        self.assertEqual(60_000, len(self.answer(client).body))

    def test_many_answered_connections_are_shed_without_recursion(self) -> None:
        self.begin()
        clients = [self.accepted_client()[0] for _ in range(200)]
        for client in clients:
            client.send(b"nothing\r\n\r\n")
        self.turn()
        self.wait(MIN_SHED_AGE_MS + 10)
        self.limit_connections(0)
        self.wait(10)
        self.assertEqual([], list(self.app.server.connections))
        for client in clients:
            self.assertEqual(400, self.answer(client).status)


class HandOver(Closing):
    """Hand-over of a connection with its job to another process, and its failures."""

    def client_with_running_job(self) -> PeerSocket:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.begin(folder=folder.name)
        client = self.client()
        client.send(self.job("a1", "deck-build"))
        self.take("POST a1").send(http.response(202))
        self.turn()
        return client

    def finish(self, client: PeerSocket) -> None:
        self.call_back("a1")
        self.assertEqual(b"deck a1", self.answer(client).body)
        self.assert_nothing_received()

    def test_successor_ends_before_the_descriptor_is_sent(self) -> None:
        client = self.client_with_running_job()
        server = self.app.server
        can_hand_over = server.can_hand_over
        server.can_hand_over = lambda: True
        server.hand_over_all()
        server.can_hand_over = can_hand_over
        self.assertEqual(0, len(self.app.engine.jobs))
        self.turn()
        self.finish(client)

    def connect_successor(self) -> socket.socket:
        """Connect a successor that requests the hand-over and serves, but reads no connection."""
        assert self.app.upgrade.handover is not None
        link = socket.socket(socket.AF_UNIX)
        self.addCleanup(link.close)
        link.connect(self.app.upgrade.handover.path)
        link.sendall(b'{"m": "hello", "version": 1}\n')
        self.turn()
        _, descriptors, _, _ = socket.recv_fds(link, 1 << 20, 4)
        for descriptor in descriptors:
            os.close(descriptor)
        link.sendall(b'{"m": "got"}\n{"m": "serving"}\n')
        self.turn()
        return link

    def test_successor_dies_before_it_confirms_the_descriptor(self) -> None:
        client = self.client_with_running_job()
        link = self.connect_successor()
        self.assertEqual(0, len(self.app.engine.jobs))
        link.close()
        self.turn()
        self.assertEqual(1, len(self.app.engine.jobs))
        self.finish(client)

    def test_successor_dies_after_it_confirmed_the_descriptor(self) -> None:
        client = self.client_with_running_job()
        link = self.connect_successor()
        _, descriptors, _, _ = socket.recv_fds(link, 1 << 20, 8)
        link.sendall(b'{"m": "got"}\n' * len(descriptors))
        self.turn()
        for descriptor in descriptors:
            os.close(descriptor)
        link.close()
        self.turn()
        self.assertEqual(0, len(self.app.engine.jobs))  # only the successor had its connection
        self.assertTrue(self.is_closed(client))

    def test_received_descriptor_is_confirmed_although_the_next_message_is_malformed(self) -> None:
        """Otherwise the sender would take the connection back, and both processes would serve it."""
        self.client_with_running_job()
        fields, descriptor, client = self.handed_over_job()
        assert self.app.upgrade.handover is not None
        link = socket.socket(socket.AF_UNIX)
        self.addCleanup(link.close)
        link.connect(self.app.upgrade.handover.path)
        line = json.dumps({"m": "connection", "fd": 1, **fields, "job": {**fields["job"], "cid": "a2"}})
        socket.send_fds(link, [line.encode() + b"\nno message\n"], [descriptor])
        os.close(descriptor)
        self.turn()
        self.assertTrue(self.app.engine.jobs.is_known("a2"))
        self.assertEqual(b'{"m": "got"}\n', link.recv(1_000))
        self.assertEqual(b"", link.recv(1_000))
        client.sock.close()

    def handed_over_job(self, **more: Any) -> tuple[dict[str, Any], int, PeerSocket]:
        """Return a job as a predecessor encodes it, its connection's descriptor and its client."""
        server = socket.create_server(("127.0.0.1", 0))
        client = PeerSocket(socket.create_connection(server.getsockname()), responses=True)
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
            "parcel": json.loads(json.dumps(message.to_fields())),
            "last": False,
        }
        return fields, accepted.detach(), client

    def test_connection_is_adopted_once_a_descriptor_is_free(self) -> None:
        for number in (errno.EMFILE, errno.ENFILE, errno.ENOMEM):
            with self.subTest(errno.errorcode[number]):
                self.begin()
                fields, descriptor, client = self.handed_over_job()
                adopt = self.loop.adoptStreamConnection
                self.loop.adoptStreamConnection = self.failing_adoption(number)
                self.app.upgrade.message_received(ConnectionTransfer(fields), descriptor)
                self.wait(60)
                self.loop.adoptStreamConnection = adopt
                self.wait(200)
                self.serve(client, "a1")

    def failing_adoption(self, number: int) -> Any:
        def adopt(descriptor: int, family: int, factory: Any) -> None:
            raise OSError(number, "short of it")

        return adopt

    def test_no_descriptor_becomes_free(self) -> None:
        """The client's connection ends, and no descriptor leaks."""
        self.begin()
        fields, descriptor, client = self.handed_over_job()
        self.loop.adoptStreamConnection = self.failing_adoption(errno.EMFILE)
        self.app.upgrade.message_received(ConnectionTransfer(fields), descriptor)
        self.wait(3_000)
        self.assertTrue(self.is_closed(client))
        with self.assertRaises(OSError):
            os.fstat(descriptor)

    def test_job_handed_over_while_the_job_table_is_full(self) -> None:
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
                fields, descriptor, client = self.handed_over_job(
                    cls={**safe, "effect": effect}, attempt=["w1", now, now + 900] if attempt else None
                )
                self.app.upgrade.message_received(ConnectionTransfer(fields), descriptor)
                self.assertEqual(status, self.answer(client).status)
                if attempt:
                    self.take("DELETE /jobs/a1")
