"""Clients that stop in the middle of a request and stay connected get an error or a close within 3 s.

The tests use real sockets and a clock that they move; see docs/design/crossings.md, 'What production adds'.
"""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable

from elderstall.net import http
from tests.loopback import Loopback, PeerSocket

MAX_END_DELAY_MS = 3_000.0  # within which a bad client must get an error or a close
CHECK_INTERVAL_MS = 50.0  # between checks of the clients
LINGER_TIMEOUT_MS = 1_100.0  # after which the connection of a client that stays is closed as well
UP = http.request("GET", "/up", "x")
SLOW_SEND_INTERVAL_MS = 400.0  # between the bytes of a slow client
STOPPED_CLIENTS = 100  # that stop at once


def head_of(data: bytes) -> bytes:
    return data[: data.index(b"\r\n\r\n") + 4]


def chunked(data: bytes) -> bytes:
    return head_of(data).replace(b"Content-Length: 4", b"Transfer-Encoding: chunked")


def expecting(data: bytes) -> bytes:
    return head_of(data)[:-2] + b"Expect: 100-continue\r\n\r\n"


# The data of its request that a client has sent when it stops.
STOPS: dict[str, Callable[[bytes], bytes]] = {
    "after one byte": lambda data: data[:1],
    "in the request line": lambda data: data[:9],
    "after the request line": lambda data: data[: data.index(b"\r\n") + 2],
    "in a header field": lambda data: data[:60],
    "one byte before the head's end": lambda data: head_of(data)[:-1],
    "between head and body": head_of,
    "after 100-continue": expecting,
    "in the body after 100-continue": lambda data: expecting(data) + b"bo",
    "in the body": lambda data: data[:-2],
    "in a chunk's size": lambda data: chunked(data) + b"4",
    "in a chunk": lambda data: chunked(data) + b"4\r\nbo",
    "between chunks": lambda data: chunked(data) + b"2\r\nbo\r\n",
    "before the last chunk's end": lambda data: chunked(data) + b"4\r\nbody\r\n0\r\n",
}


class Stopped(Loopback):
    """Helpers for clients that stop."""

    def wait_until_ended(self, sides: list[PeerSocket], max_delay: float = MAX_END_DELAY_MS) -> float:
        """Wait until each client has an answer or its connection has ended; return the time waited, ms."""
        waited = 0.0
        while any(not (side.ended or self.final_statuses(side)) for side in sides):
            self.assertLess(waited, max_delay)
            self.wait(CHECK_INTERVAL_MS)
            waited += CHECK_INTERVAL_MS
            for side in sides:
                side.read()
        return waited

    def final_statuses(self, side: PeerSocket) -> list[int]:
        return [m.status for m in side.messages if m.status >= 200]

    def assert_nothing_kept(self) -> None:
        """Assert that no state is kept for clients that stay connected."""
        self.wait(LINGER_TIMEOUT_MS)
        self.assertEqual([], list(self.app.server.connections))
        self.assertEqual(0, self.app.server.kept_bytes)
        self.assertEqual({}, self.app.engine.jobs.by_request_id)

    def serve(self, side: PeerSocket, request_id: str = "good") -> None:
        side.send(self.job(request_id))
        self.take(f"POST {request_id}").send(http.response(202))
        self.call_back(request_id)
        self.assertEqual(200, self.answer(side).status)

    def send_slowly(self, side: PeerSocket, data: bytes) -> None:
        """Send byte by byte at the interval of a slow client."""
        for n in range(len(data)):
            side.send(data[n : n + 1])
            self.wait(SLOW_SEND_INTERVAL_MS)


class StopsInARequest(Stopped):
    """One client that stops at any point of its request."""

    def test_on_a_new_connection(self) -> None:
        self.begin()
        for where, part in STOPS.items():
            with self.subTest(where):
                side = self.client()
                side.send(part(self.job("a1")))
                self.wait_until_ended([side])
                self.assertEqual([408], self.final_statuses(side))
                self.assert_nothing_kept()
        self.assert_nothing_received()

    def test_on_a_connection_that_was_silent_at_first(self) -> None:
        """The limit of 3 s counts from the first byte of the request."""
        self.begin()
        for where, part in STOPS.items():
            with self.subTest(where):
                side = self.client()
                self.wait(2_300)
                side.send(part(self.job("a1")))
                self.wait_until_ended([side])
                self.assert_nothing_kept()
        self.assert_nothing_received()

    def test_on_a_connection_that_was_idle(self) -> None:
        self.begin()
        for n, (where, part) in enumerate(STOPS.items()):
            with self.subTest(where):
                side = self.client()
                self.serve(side, f"good{n}")
                self.advance_clock_only(30_000)
                self.turn()
                side.send(part(self.job("a1")))
                self.wait_until_ended([side])
                self.assertEqual([408], self.final_statuses(side))
                self.assert_nothing_kept()

    def test_on_a_connection_that_has_only_requested_up(self) -> None:
        self.begin()
        for where, part in STOPS.items():
            with self.subTest(where):
                side = self.client()
                side.send(UP)
                self.assertEqual(200, self.answer(side).status)
                self.advance_clock_only(10_000)
                self.turn()
                side.send(part(self.job("a1")))
                self.wait_until_ended([side])
                self.assertEqual([408], self.final_statuses(side))
                self.assert_nothing_kept()

    def test_behind_a_request_that_is_answered_late(self) -> None:
        """Its time-out counts from the previous answer."""
        for where, part in STOPS.items():
            with self.subTest(where):
                self.begin()
                side = self.client()
                side.send(self.job("good") + part(self.job("a1")))
                self.take("POST good").send(http.response(202))
                self.wait(4_000)
                self.call_back("good")
                self.assertEqual(200, self.answer(side).status)
                self.wait_until_ended([side])
                self.assertEqual([408], self.final_statuses(side))
                self.assert_nothing_kept()

    def test_on_the_listener_for_streams(self) -> None:
        self.begin(progress=True)
        for where, part in STOPS.items():
            with self.subTest(where):
                side = self.client()
                side.send(part(self.job("a1", accept="text/event-stream")))
                self.wait_until_ended([side])
                self.assertEqual([408], self.final_statuses(side))
                self.assert_nothing_kept()

    def test_a_workers_callback(self) -> None:
        self.begin()
        call = {"id": "a1", "from": "w1", "state": "done", "result": "deck"}
        data = http.request("POST", "/callback", "n1", (), json.dumps(call).encode())
        for n in (1, 20, len(head_of(data)), len(data) - 1):
            with self.subTest(n):
                side = self.client()
                side.send(data[:n])
                self.wait_until_ended([side])
                self.assertEqual([408], self.final_statuses(side))
                self.assert_nothing_kept()

    def test_after_an_empty_line_only(self) -> None:
        self.begin()
        side = self.client()
        self.serve(side)
        side.send(b"\r\n")
        self.wait_until_ended([side])
        self.assert_nothing_kept()

    def test_a_good_client_among_many_that_stop_at_once(self) -> None:
        self.begin()
        parts = [part(self.job(f"a{n}")) for n, part in enumerate(list(STOPS.values()) * 8)][:STOPPED_CLIENTS]
        sides = [self.client() for _ in parts]
        self.turn()
        for side, part in zip(sides, parts, strict=True):
            side.send(part)
        good = self.client()
        self.serve(good)
        self.wait_until_ended(sides)
        self.assertEqual({(408,)}, {tuple(self.final_statuses(side)) for side in sides})
        self.serve(good, "later")
        good.sock.close()
        self.assert_nothing_kept()

    def test_a_stopped_client_delays_shutdown_no_longer(self) -> None:
        for where, part in STOPS.items():
            with self.subTest(where):
                self.begin()
                side = self.client()
                side.send(part(self.job("a1")))
                self.turn()
                self.app.sigterm()
                self.wait_until_ended([side])
                self.wait(LINGER_TIMEOUT_MS + 1_000)
                self.assertTrue(self.loop.stopped)


class Slow(Stopped):
    """A client that sends slowly, and may stop."""

    def test_client_that_still_sends_its_body_is_not_cut_off(self) -> None:
        self.begin()
        side = self.client()
        data = self.job("a1", "deck-build", 20_000).replace(b"Content-Length: 4", b"Content-Length: 20")
        side.send(head_of(data))
        self.send_slowly(side, b"x" * 20)
        self.take("POST a1").send(http.response(202))
        self.call_back("a1")
        self.assertEqual(200, self.answer(side).status)

    def test_client_that_stops_after_a_while_is_ended_within_3_s_of_its_last_byte(self) -> None:
        for pieces in (1, 4, 6, 7, 15):
            with self.subTest(pieces):
                self.begin()
                side = self.client()
                data = self.job("a1").replace(b"Content-Length: 4", b"Content-Length: 20")
                side.send(head_of(data))
                self.send_slowly(side, b"x" * pieces)
                self.wait_until_ended([side], MAX_END_DELAY_MS - SLOW_SEND_INTERVAL_MS)
                self.assertEqual([408], self.final_statuses(side))
                self.assert_nothing_kept()

    def test_client_whose_last_bytes_arrive_in_the_turn_of_its_time_out_is_served(self) -> None:
        for where, part in STOPS.items():
            if "chunk" in where:
                continue  # the rest that is sent here is not chunked
            with self.subTest(where):
                self.begin()
                side = self.client()
                data = self.job("a1", "deck-build")
                first = part(data) if "continue" not in where else head_of(data)
                side.send(first)
                self.turn()
                self.advance_clock_only(2_400)
                self.turn()
                side.send(data[len(first) :])
                self.advance_clock_only(150)  # the process is delayed past the time-out
                self.take("POST a1").send(http.response(202))
                self.call_back("a1")
                self.assertEqual(200, self.answer(side).status)

    def test_client_that_sends_only_a_part_in_that_turn_is_ended(self) -> None:
        self.begin()
        side = self.client()
        data = self.job("a1", "deck-build")
        side.send(data[:40])
        self.turn()
        self.advance_clock_only(2_400)
        self.turn()
        side.send(data[40:50])
        self.advance_clock_only(150)
        self.wait_until_ended([side], 300.0)
        self.assertEqual([408], self.final_statuses(side))
        self.assert_nothing_kept()

    def test_a_body_that_never_ends_is_cut_off(self) -> None:
        self.begin()
        side = self.client()
        data = self.job("a1").replace(b"Content-Length: 4", b"Content-Length: 2000")
        side.send(head_of(data))
        for _ in range(60):
            if not side.ended and not side.messages:
                side.send(b"x")
            self.wait(SLOW_SEND_INTERVAL_MS)
            side.read()
        self.assertEqual([408], self.final_statuses(side))
        self.assertEqual([], list(self.app.server.connections))


if __name__ == "__main__":
    unittest.main()
