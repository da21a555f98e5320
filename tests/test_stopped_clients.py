"""Clients that stop in the middle of a request and stay: each has its error or its close within 3 s.

On real sockets, by the clock that the test moves; see docs/design/crossings.md, 'What production adds'.
"""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable

from elderstall.net import http
from tests.loopback import Loopback, Side

OWED_WITHIN = 3_000.0  # ms in which a bad client is owed its error or its close
STEP = 50.0  # ms between looks at the clients
LINGER = 1_100.0  # ms after which the connection of one that stays has been closed, too
UP = http.request("GET", "/up", "x")
SLOW_PIECE = 400.0  # ms between the pieces of a slow client
MANY = 100  # clients that stop at once


def head_of(data: bytes) -> bytes:
    return data[: data.index(b"\r\n\r\n") + 4]


def chunked(data: bytes) -> bytes:
    return head_of(data).replace(b"Content-Length: 4", b"Transfer-Encoding: chunked")


def expecting(data: bytes) -> bytes:
    return head_of(data)[:-2] + b"Expect: 100-continue\r\n\r\n"


# What a client has sent of its job when it stops.
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
    """What is common to the clients that stop."""

    def ended_after(self, sides: list[Side], most: float = OWED_WITHIN) -> float:
        """Wait until each client has an answer or its connection's end; gives how long that took, ms."""
        waited = 0.0
        while any(not (side.ended or self.final(side)) for side in sides):
            self.assertLess(waited, most)
            self.wait(STEP)
            waited += STEP
            for side in sides:
                side.read()
        return waited

    def final(self, side: Side) -> list[int]:
        return [m.status for m in side.messages if m.status >= 200]

    def closed(self) -> None:
        """See that nothing is kept of clients that stay."""
        self.wait(LINGER)
        self.assertEqual([], list(self.app.server.connections))
        self.assertEqual(0, self.app.server.kept_bytes)
        self.assertEqual({}, self.app.engine.jobs.by_request_id)

    def served(self, side: Side, request_id: str = "good") -> None:
        side.send(self.job(request_id))
        self.take(f"POST {request_id}").send(http.response(202))
        self.call_back(request_id)
        self.assertEqual(200, self.answer(side).status)

    def slowly(self, side: Side, data: bytes) -> None:
        """Send byte by byte, as slow clients do."""
        for n in range(len(data)):
            side.send(data[n : n + 1])
            self.wait(SLOW_PIECE)


class StopsInARequest(Stopped):
    """One client, wherever in its request it stops."""

    def test_on_a_new_connection(self) -> None:
        self.begin()
        for where, part in STOPS.items():
            with self.subTest(where):
                side = self.client()
                side.send(part(self.job("a1")))
                self.ended_after([side])
                self.assertEqual([408], self.final(side))
                self.closed()
        self.nothing()

    def test_on_a_connection_that_was_quiet_at_first(self) -> None:
        """The time until its first byte is its own; from that byte on it has no more than the 3 s."""
        self.begin()
        for where, part in STOPS.items():
            with self.subTest(where):
                side = self.client()
                self.wait(2_300)
                side.send(part(self.job("a1")))
                self.ended_after([side])
                self.closed()
        self.nothing()

    def test_on_a_connection_that_has_rested(self) -> None:
        self.begin()
        for n, (where, part) in enumerate(STOPS.items()):
            with self.subTest(where):
                side = self.client()
                self.served(side, f"good{n}")
                self.jump(30_000)
                self.turn()
                side.send(part(self.job("a1")))
                self.ended_after([side])
                self.assertEqual([408], self.final(side))
                self.closed()

    def test_on_one_that_has_only_asked_for_up(self) -> None:
        self.begin()
        for where, part in STOPS.items():
            with self.subTest(where):
                side = self.client()
                side.send(UP)
                self.assertEqual(200, self.answer(side).status)
                self.jump(10_000)
                self.turn()
                side.send(part(self.job("a1")))
                self.ended_after([side])
                self.assertEqual([408], self.final(side))
                self.closed()

    def test_behind_a_request_that_is_answered_late(self) -> None:
        """Its own time counts from the answer before it."""
        for where, part in STOPS.items():
            with self.subTest(where):
                self.begin()
                side = self.client()
                side.send(self.job("good") + part(self.job("a1")))
                self.take("POST good").send(http.response(202))
                self.wait(4_000)
                self.call_back("good")
                self.assertEqual(200, self.answer(side).status)
                self.ended_after([side])
                self.assertEqual([408], self.final(side))
                self.closed()

    def test_on_the_front_for_streams(self) -> None:
        self.begin(progress=True)
        for where, part in STOPS.items():
            with self.subTest(where):
                side = self.client()
                side.send(part(self.job("a1", accept="text/event-stream")))
                self.ended_after([side])
                self.assertEqual([408], self.final(side))
                self.closed()

    def test_a_workers_call_back(self) -> None:
        self.begin()
        call = {"id": "a1", "from": "w1", "state": "done", "result": "deck"}
        data = http.request("POST", "/callback", "n1", (), json.dumps(call).encode())
        for n in (1, 20, len(head_of(data)), len(data) - 1):
            with self.subTest(n):
                side = self.client()
                side.send(data[:n])
                self.ended_after([side])
                self.assertEqual([408], self.final(side))
                self.closed()

    def test_after_an_empty_line_only(self) -> None:
        self.begin()
        side = self.client()
        self.served(side)
        side.send(b"\r\n")
        self.ended_after([side])
        self.closed()

    def test_many_at_once_and_a_good_client_among_them(self) -> None:
        self.begin()
        parts = [part(self.job(f"a{n}")) for n, part in enumerate(list(STOPS.values()) * 8)][:MANY]
        sides = [self.client() for _ in parts]
        self.turn()
        for side, part in zip(sides, parts, strict=True):
            side.send(part)
        good = self.client()
        self.served(good)
        self.ended_after(sides)
        self.assertEqual({(408,)}, {tuple(self.final(side)) for side in sides})
        self.served(good, "later")
        good.sock.close()
        self.closed()

    def test_at_sigterm_it_holds_the_end_up_no_longer_than_that(self) -> None:
        for where, part in STOPS.items():
            with self.subTest(where):
                self.begin()
                side = self.client()
                side.send(part(self.job("a1")))
                self.turn()
                self.app.sigterm()
                self.ended_after([side])
                self.wait(LINGER + 1_000)
                self.assertTrue(self.loop.stopped)


class Slow(Stopped):
    """A client that still sends is slow, until it stops."""

    def test_one_that_still_sends_its_body_is_not_cut(self) -> None:
        self.begin()
        side = self.client()
        data = self.job("a1", "deck-build", 20_000).replace(b"Content-Length: 4", b"Content-Length: 20")
        side.send(head_of(data))
        self.slowly(side, b"x" * 20)
        self.take("POST a1").send(http.response(202))
        self.call_back("a1")
        self.assertEqual(200, self.answer(side).status)

    def test_one_that_stops_after_a_while_is_ended_within_3_s_of_its_last_byte(self) -> None:
        for pieces in (1, 4, 6, 7, 15):
            with self.subTest(pieces):
                self.begin()
                side = self.client()
                data = self.job("a1").replace(b"Content-Length: 4", b"Content-Length: 20")
                side.send(head_of(data))
                self.slowly(side, b"x" * pieces)
                self.ended_after([side], OWED_WITHIN - SLOW_PIECE)
                self.assertEqual([408], self.final(side))
                self.closed()

    def test_one_whose_last_bytes_come_in_the_turn_of_its_time_out_is_served(self) -> None:
        for where, part in STOPS.items():
            if "chunk" in where:
                continue  # framed otherwise than the rest that is sent here
            with self.subTest(where):
                self.begin()
                side = self.client()
                data = self.job("a1", "deck-build")
                first = part(data) if "continue" not in where else head_of(data)
                side.send(first)
                self.turn()
                self.jump(2_400)
                self.turn()
                side.send(data[len(first) :])
                self.jump(150)  # the process is held up past the time-out
                self.take("POST a1").send(http.response(202))
                self.call_back("a1")
                self.assertEqual(200, self.answer(side).status)

    def test_one_that_sends_in_that_turn_and_still_not_all_is_ended(self) -> None:
        self.begin()
        side = self.client()
        data = self.job("a1", "deck-build")
        side.send(data[:40])
        self.turn()
        self.jump(2_400)
        self.turn()
        side.send(data[40:50])
        self.jump(150)
        self.ended_after([side], 300.0)
        self.assertEqual([408], self.final(side))
        self.closed()

    def test_a_body_that_never_ends_is_cut_in_the_end(self) -> None:
        self.begin()
        side = self.client()
        data = self.job("a1").replace(b"Content-Length: 4", b"Content-Length: 2000")
        side.send(head_of(data))
        for _ in range(60):
            if not side.ended and not side.messages:
                side.send(b"x")
            self.wait(SLOW_PIECE)
            side.read()
        self.assertEqual([408], self.final(side))
        self.assertEqual([], list(self.app.server.connections))


if __name__ == "__main__":
    unittest.main()
