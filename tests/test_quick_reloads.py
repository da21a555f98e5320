"""Reloads of the settings in quick succession, and discovery that is slow or overloaded.

On real sockets, with a clock controlled by the test; see docs/design/crossings.md, 'What production adds'.
"""

from __future__ import annotations

import json
import socket
import unittest
from typing import Any

from elderstall.net import http
from tests.loopback import CHUNKED, Loopback, PeerSocket, address_of
from tests.scenario import CLASSES, RULES, entry

HEAD = http.encode_head("HTTP/1.1 200 OK", CHUNKED)
FLEETS: tuple[dict[str, Any], ...] = ({}, {"balancers": 200}, {"discovery": "automatic", "balancers": 200})
OTHER_CLASSES = [{**c, "deadline": 900} for c in CLASSES]


class Reloading(Loopback):
    """Helpers for reloads and list calls."""

    def discovery_listeners(self, count: int) -> list[socket.socket]:
        """Return listeners to use as addresses of discovery."""
        return [self.listener() for _ in range(count)]

    def reload(self, lists: socket.socket, **settings: Any) -> None:
        """Reload settings that name an address of discovery."""
        self.raw = {
            **self.raw,
            "discovery": address_of(lists),
            "settings": {**self.raw["settings"], **settings},
        }
        self.app.sighup()

    def calls_at(self, lists: socket.socket) -> list[PeerSocket]:
        """Return the open list calls received at an address."""
        found: list[PeerSocket] = []
        self.accept(lists, found)
        for side in found:
            self.addCleanup(side.sock.close)
            side.read()
        return [side for side in found if not side.ended]

    def send_list_on(self, side: PeerSocket, index: int, whole: bool = False, **states: str) -> None:
        """Send a list on a call."""
        head = b"" if side.message.status else HEAD
        side.message.status = 200
        entries = [
            entry(name, state, address_of(self.listeners[int(name[1:]) - 1]))
            for name, state in states.items()
        ]
        line = json.dumps({"index": index, "snapshot": whole, "endpoints": entries}).encode()
        side.send(head + http.chunk(line + b"\n"))
        self.turn()

    def open_calls(self) -> int:
        return len(self.app.discovery.calls) + (self.app.discovery.previous_call is not None)


class InOneTurn(Reloading):
    """Several SIGHUPs within one reactor iteration."""

    def test_only_the_last_address_is_called_and_the_former_watch_is_read_until_it_answers(self) -> None:
        for more in FLEETS:
            with self.subTest(**more):
                self.begin(workers=2, **more)
                former = self.watches[-1]
                self.send_list_on(former, 42, w1="up")
                listeners = self.discovery_listeners(5)
                for n in range(20):
                    self.reload(listeners[n % 5], classes=[CLASSES, OTHER_CLASSES][n % 2])
                self.assertEqual(2, self.open_calls())
                self.wait(100)
                calls = [self.calls_at(listener) for listener in listeners]
                self.assertEqual([0, 0, 0, 0, 1], [len(found) for found in calls])
                self.assertEqual(
                    ["/discovery/hosts?watch=1&from=0"], [m.target for m in calls[4][0].messages]
                )
                self.send_list_on(former, 43, w1="draining")
                self.assertEqual("draining", self.app.engine.view.state("w1").value)
                self.send_list_on(calls[4][0], 7, whole=True, w1="draining", w2="up")
                former.read()
                self.assertTrue(former.ended)
                self.assertEqual(1, self.open_calls())
                self.assertEqual(7, self.app.discovery.index)

    def test_a_return_to_the_former_address_requests_the_whole_list(self) -> None:
        """The settings name another address and then the former one again."""
        self.begin(workers=2)
        former, home, other = self.watches[-1], self.lists, self.listener()
        self.send_list_on(former, 42, w1="up")
        self.reload(other)
        self.reload(home)
        self.wait(50)
        self.assertEqual([], self.calls_at(other))
        self.asked_lists()
        self.assertEqual(2, len(self.watches))
        self.send_list_on(self.watches[-1], 44, whole=True, w1="draining", w2="up")
        former.read()
        self.assertTrue(former.ended)
        self.assertEqual("draining", self.app.engine.view.state("w1").value)

    def test_a_job_in_progress_and_one_being_read_get_their_answers(self) -> None:
        self.begin(workers=2)
        in_progress = self.client()
        incomplete = self.client()
        in_progress.send(self.job("a1", "deck-build"))
        worker = self.take("POST a1")
        data = self.job("a2")
        incomplete.send(data[:-2])
        self.turn()
        listeners = self.discovery_listeners(3)
        for n in range(12):
            self.reload(
                listeners[n % 3],
                classes=[OTHER_CLASSES, CLASSES][n % 2],
                rules={**RULES, "stop_sending_within": 300 + n},
            )
        incomplete.send(data[-2:])
        other = self.take("POST a2")
        for side, job in ((worker, "a1"), (other, "a2")):
            side.send(http.response(202))
            self.turn()
            ports = [sock.getsockname()[1] for sock in self.listeners]
            self.call_back(job, worker=f"w{ports.index(side.sock.getsockname()[1]) + 1}")
        self.assertEqual([200, 200], [self.answer(side).status for side in (in_progress, incomplete)])

    def test_invalid_settings_among_them_have_no_effect(self) -> None:
        self.begin(workers=2)
        first, last = self.discovery_listeners(2)
        self.reload(first)
        good = self.raw
        self.raw = {**good, "discovery": "nowhere"}
        self.app.sighup()
        self.raw = {**good, "settings": {}}
        self.app.sighup()
        self.raw = good
        self.reload(last)
        self.wait(50)
        self.assertEqual([0, 1], [len(self.calls_at(listener)) for listener in (first, last)])
        self.assertEqual(2, self.app.engine.counters.settings_load_errors)


class InQuickSuccession(Reloading):
    """Further SIGHUPs before discovery has answered."""

    def test_addresses_that_never_answer_leave_the_former_watch_in_force(self) -> None:
        for more in FLEETS:
            with self.subTest(**more):
                self.begin(workers=2, **more)
                former = self.watches[-1]
                self.send_list_on(former, 42, w1="up")
                listeners = self.discovery_listeners(4)
                calls: list[PeerSocket] = []
                for n in range(20):  # 12 s without an answer from any address
                    self.reload(listeners[n % 4])
                    for _ in range(6):
                        self.wait(100)
                        former.send(http.chunk(b"\n"))
                        self.assertLessEqual(self.open_calls(), 3)  # the former watch and two calls
                    calls += [side for listener in listeners for side in self.calls_at(listener)]
                self.send_list_on(former, 43, w1="draining")
                self.assertEqual("draining", self.app.engine.view.state("w1").value)
                for side in calls:
                    side.read()
                self.assertLessEqual(len([side for side in calls if not side.ended]), 2)
                self.send_list_on(
                    [side for side in calls if not side.ended][-1], 3, whole=True, w1="up", w2="up"
                )
                self.assertEqual("up", self.app.engine.view.state("w1").value)

    def test_addresses_that_refuse_connections_are_retried_and_the_next_one_is_called_at_once(self) -> None:
        for more in FLEETS:
            with self.subTest(**more):
                self.begin(workers=2, **more)
                self.send_list_on(self.watches[-1], 42, w1="up")
                for _ in range(5):
                    gone = socket.create_server(("127.0.0.1", 0))
                    self.reload(gone)  # the address is closed in the same reactor iteration
                    gone.close()
                    self.wait(700)
                last = self.listener()
                self.reload(last)
                self.wait(50)
                (call,) = self.calls_at(last)
                self.send_list_on(call, 3, whole=True, w1="draining", w2="up")
                self.assertEqual("draining", self.app.engine.view.state("w1").value)

    def test_the_last_change_of_the_former_watch_outlives_its_end(self) -> None:
        self.begin(workers=2)
        former = self.watches[-1]
        self.send_list_on(former, 42, w1="up")
        first, last = self.discovery_listeners(2)
        self.reload(first)
        self.wait(300)
        self.send_list_on(former, 43, w1="draining")
        former.sock.close()
        self.wait(100)
        self.reload(last)
        self.wait(100)
        self.assertEqual("draining", self.app.engine.view.state("w1").value)
        (call,) = self.calls_at(last)
        self.send_list_on(call, 1, whole=True, w1="draining", w2="up")
        self.assertEqual("draining", self.app.engine.view.state("w1").value)

    def test_sigterm_between_reloads(self) -> None:
        self.begin(workers=2)
        listeners = self.discovery_listeners(3)
        for n in range(6):
            self.reload(listeners[n % 3])
            if n == 2:
                self.app.sigterm()
        self.wait(900)
        self.assertTrue(self.loop.stopped)
        self.assertEqual(0, self.open_calls())


class SlowDiscovery(Reloading):
    """Discovery answers slowly, or queues calls for long."""

    def test_a_long_list_that_arrives_slowly_is_read_to_its_end(self) -> None:
        """Arriving bytes restart the timeout: a list that was requested anew each time never arrived."""
        for more in FLEETS:
            with self.subTest(**more):
                self.begin(workers=2, **more)
                entries = [entry(f"w{n + 1}", address=address_of(self.listeners[n % 2])) for n in range(400)]
                line = json.dumps({"index": 50, "snapshot": True, "endpoints": entries}).encode() + b"\n"
                data = HEAD + http.chunk(line)
                step = len(data) // 100 + 1
                for at in range(0, len(data), step):  # 10 s
                    self.asked_lists()
                    self.assertFalse(self.watches[0].ended)
                    self.watches[0].send(data[at : at + step])
                    self.wait(100)
                self.assertEqual(400, len(self.app.engine.view.entries))

    def test_a_long_list_that_stalls_is_requested_again_in_time(self) -> None:
        self.begin(workers=2)
        entries = [entry(f"w{n + 1}", address=address_of(self.listeners[n % 2])) for n in range(400)]
        line = json.dumps({"index": 50, "snapshot": True, "endpoints": entries}).encode() + b"\n"
        self.watches[0].send(HEAD)
        for at in range(0, 30_000, 6_000):
            self.watches[0].send(http.chunk(line[at : at + 6_000]))
            self.wait(500)
        called, waited = len(self.asked_lists()), 0.0
        while len(self.asked_lists()) == called:
            self.wait(50)
            waited += 50
            self.assertLess(waited, 5_300)

    def test_a_trickling_line_does_not_restart_the_timeout(self) -> None:
        self.begin(workers=2)
        self.send_list_on(self.watches[0], 42, w1="up")
        line = json.dumps({"index": 43, "snapshot": False, "endpoints": []}).encode()
        data = http.chunk(line)
        called, sent = len(self.asked_lists()), 0
        while len(self.asked_lists()) == called:
            if not self.watches[0].ended:
                self.watches[0].send(data[sent : sent + 1])
            sent += 1
            self.wait(400)
            self.assertLess(sent, 13)

    def test_calls_that_fail_after_3_s_in_its_queue_are_retried_in_time(self) -> None:
        for more in FLEETS:
            with self.subTest(**more):
                self.begin(workers=2, **more)
                for _ in range(3):
                    self.wait(2_900)
                    self.asked_lists()
                    calls = [side for side in self.watches if not side.ended]
                    for side in calls:
                        side.send(http.response(503))
                    called, waited = len(self.watches), 0.0
                    while len(self.asked_lists()) == called:
                        self.wait(50)
                        waited += 50
                        self.assertLessEqual(waited, 10_000)
                self.send_list(60, whole=True, w1="draining", w2="up")
                self.assertEqual("draining", self.app.engine.view.state("w1").value)


class IdleConnections(Reloading):
    """A request arrives while its idle connection is being closed."""

    def idle_connections(self, count: int) -> dict[int, PeerSocket]:
        """Return clients by port whose idle connections each hold an unread request."""
        sides = [self.client() for _ in range(count)]
        for side in sides:
            side.send(http.request("GET", "/up", "x"))
        self.turn()
        for side in sides:
            self.assertEqual(200, self.answer(side).status)
        self.read: set[int] = set()  # ports of clients from which data is read from now on
        for c in self.app.server.connections:
            self.record(c, self.read)
        for n, side in enumerate(sides):
            side.send(self.job(f"a{n}", "deck-build", 300))
        return {side.sock.getsockname()[1]: side for side in sides}

    def assert_no_request_lost(self, sides: dict[int, PeerSocket]) -> None:
        """Check that every request was answered, so that no connection was closed with a request unread."""
        self.wait(1_500)
        for side in sides.values():
            side.read()
        answered = {port for port, side in sides.items() if side.messages}
        self.assertEqual(set(sides), answered)
        self.assertEqual(self.read, answered)

    def test_lowering_the_limits_by_sighup_loses_no_request(self) -> None:
        self.begin(workers=2)
        sides = self.idle_connections(60)
        self.raw = {**self.raw, "limits": {"sockets": 64}}
        self.app.sighup()
        self.assert_no_request_lost(sides)

    def test_a_shortage_of_descriptors_loses_no_request(self) -> None:
        self.begin(workers=2, sockets=96)
        sides = self.idle_connections(self.app.server.shedding_threshold)
        for _ in range(40):
            self.client().send(http.request("GET", "/up", "x"))
        self.advance_clock_only(200)
        self.app.port.doRead()  # the listener's queue is read before the idle connections
        self.assert_no_request_lost(sides)

    def record(self, c: Any, read: set[int]) -> None:
        """Record the client's port when its connection reads data."""
        receive, port = c.dataReceived, c.transport.getPeer().port

        def receive_and_record(data: bytes) -> None:
            read.add(port)
            receive(data)

        c.dataReceived = receive_and_record


if __name__ == "__main__":
    unittest.main()
