"""New configurations in a row and in quick succession, and discovery that is slow or crowded.

On real sockets, by the clock that the test moves; see docs/design/crossings.md, 'What production adds'.
"""

from __future__ import annotations

import json
import socket
import unittest
from typing import Any

from elderstall.net import http
from tests.loopback import CHUNKED, Loopback, Side, address_of
from tests.scenario import CLASSES, RULES, entry

HEAD = http.head_of("HTTP/1.1 200 OK", CHUNKED)
FLEETS: tuple[dict[str, Any], ...] = ({}, {"balancers": 200}, {"discovery": "automatic", "balancers": 200})
OTHER_CLASSES = [{**c, "deadline": 900} for c in CLASSES]


class Reloading(Loopback):
    """What is common."""

    def places(self, count: int) -> list[socket.socket]:
        """Give discovery's addresses."""
        return [self.listener() for _ in range(count)]

    def reload(self, lists: socket.socket, **settings: Any) -> None:
        """Have a new configuration name an address of discovery."""
        self.raw = {
            **self.raw,
            "discovery": address_of(lists),
            "settings": {**self.raw["settings"], **settings},
        }
        self.app.sighup()

    def calls_at(self, lists: socket.socket) -> list[Side]:
        """Give the calls that have come at an address and are still open."""
        found: list[Side] = []
        self.accept(lists, found)
        for side in found:
            self.addCleanup(side.sock.close)
            side.read()
        return [side for side in found if not side.ended]

    def say(self, side: Side, index: int, whole: bool = False, **states: str) -> None:
        """Tell a list on a call."""
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
        return len(self.app.discovery.calls) + (self.app.discovery.former is not None)


class InOneTurn(Reloading):
    """SIGHUP several times before the reactor turns."""

    def test_only_the_last_address_is_called_and_the_former_watch_is_heard_until_it_speaks(self) -> None:
        for more in FLEETS:
            with self.subTest(**more):
                self.begin(workers=2, **more)
                former = self.watches[-1]
                self.say(former, 42, w1="up")
                places = self.places(5)
                for n in range(20):
                    self.reload(places[n % 5], classes=[CLASSES, OTHER_CLASSES][n % 2])
                self.assertEqual(2, self.open_calls())
                self.wait(100)
                calls = [self.calls_at(place) for place in places]
                self.assertEqual([0, 0, 0, 0, 1], [len(found) for found in calls])
                self.assertEqual(
                    ["/discovery/hosts?watch=1&from=0"], [m.target for m in calls[4][0].messages]
                )
                self.say(former, 43, w1="draining")
                self.assertEqual("draining", self.app.engine.view.state("w1").value)
                self.say(calls[4][0], 7, whole=True, w1="draining", w2="up")
                former.read()
                self.assertTrue(former.ended)
                self.assertEqual(1, self.open_calls())
                self.assertEqual(7, self.app.discovery.index)

    def test_there_and_back_again(self) -> None:
        """The file names the former address once more: it is asked for the whole list anew."""
        self.begin(workers=2)
        former, home, other = self.watches[-1], self.lists, self.listener()
        self.say(former, 42, w1="up")
        self.reload(other)
        self.reload(home)
        self.wait(50)
        self.assertEqual([], self.calls_at(other))
        self.asked_lists()
        self.assertEqual(2, len(self.watches))
        self.say(self.watches[-1], 44, whole=True, w1="draining", w2="up")
        former.read()
        self.assertTrue(former.ended)
        self.assertEqual("draining", self.app.engine.view.state("w1").value)

    def test_a_job_under_way_and_one_that_is_being_read_get_their_answers(self) -> None:
        self.begin(workers=2)
        out, half = self.client(), self.client()
        out.send(self.job("a1", "deck-build"))
        worker = self.take("POST a1")
        data = self.job("a2")
        half.send(data[:-2])
        self.turn()
        places = self.places(3)
        for n in range(12):
            self.reload(
                places[n % 3],
                classes=[OTHER_CLASSES, CLASSES][n % 2],
                rules={**RULES, "stop_sending_within": 300 + n},
            )
        half.send(data[-2:])
        other = self.take("POST a2")
        for side, job in ((worker, "a1"), (other, "a2")):
            side.send(http.response(202))
            self.turn()
            ports = [sock.getsockname()[1] for sock in self.listeners]
            self.call_back(job, worker=f"w{ports.index(side.sock.getsockname()[1]) + 1}")
        self.assertEqual([200, 200], [self.answer(side).status for side in (out, half)])

    def test_a_faulty_one_among_them_changes_nothing(self) -> None:
        self.begin(workers=2)
        first, last = self.places(2)
        self.reload(first)
        good = self.raw
        self.raw = {**good, "discovery": "nowhere"}
        self.app.sighup()
        self.raw = {**good, "settings": {}}
        self.app.sighup()
        self.raw = good
        self.reload(last)
        self.wait(50)
        self.assertEqual([0, 1], [len(self.calls_at(place)) for place in (first, last)])
        self.assertEqual(2, self.app.engine.counters.settings_load_errors)


class InQuickSuccession(Reloading):
    """SIGHUP again before discovery has answered."""

    def test_addresses_that_never_answer_leave_the_former_watch_in_force(self) -> None:
        for more in FLEETS:
            with self.subTest(**more):
                self.begin(workers=2, **more)
                former = self.watches[-1]
                self.say(former, 42, w1="up")
                places = self.places(4)
                calls: list[Side] = []
                for n in range(20):  # 12 s, in which none of them says anything
                    self.reload(places[n % 4])
                    for _ in range(6):
                        self.wait(100)
                        former.send(http.chunk(b"\n"))
                        self.assertLessEqual(self.open_calls(), 3)  # the former and two calls
                    calls += [side for place in places for side in self.calls_at(place)]
                self.say(former, 43, w1="draining")
                self.assertEqual("draining", self.app.engine.view.state("w1").value)
                for side in calls:
                    side.read()
                self.assertLessEqual(len([side for side in calls if not side.ended]), 2)
                self.say([side for side in calls if not side.ended][-1], 3, whole=True, w1="up", w2="up")
                self.assertEqual("up", self.app.engine.view.state("w1").value)

    def test_addresses_that_refuse_are_called_again_and_the_next_one_at_once(self) -> None:
        for more in FLEETS:
            with self.subTest(**more):
                self.begin(workers=2, **more)
                self.say(self.watches[-1], 42, w1="up")
                for _ in range(5):
                    gone = socket.create_server(("127.0.0.1", 0))
                    self.reload(gone)  # its address is taken down in the same turn
                    gone.close()
                    self.wait(700)
                last = self.listener()
                self.reload(last)
                self.wait(50)
                (call,) = self.calls_at(last)
                self.say(call, 3, whole=True, w1="draining", w2="up")
                self.assertEqual("draining", self.app.engine.view.state("w1").value)

    def test_what_the_former_one_sent_last_is_not_undone_by_its_end(self) -> None:
        self.begin(workers=2)
        former = self.watches[-1]
        self.say(former, 42, w1="up")
        first, last = self.places(2)
        self.reload(first)
        self.wait(300)
        self.say(former, 43, w1="draining")
        former.sock.close()
        self.wait(100)
        self.reload(last)
        self.wait(100)
        self.assertEqual("draining", self.app.engine.view.state("w1").value)
        (call,) = self.calls_at(last)
        self.say(call, 1, whole=True, w1="draining", w2="up")
        self.assertEqual("draining", self.app.engine.view.state("w1").value)

    def test_sigterm_between_them(self) -> None:
        self.begin(workers=2)
        places = self.places(3)
        for n in range(6):
            self.reload(places[n % 3])
            if n == 2:
                self.app.sigterm()
        self.wait(900)
        self.assertTrue(self.loop.stopped)
        self.assertEqual(0, self.open_calls())


class SlowDiscovery(Reloading):
    """Discovery answers slowly, or works through calls for long."""

    def test_a_long_list_that_comes_slowly_is_read_to_its_end(self) -> None:
        """Bytes that still come are a sign of life: given up and asked for anew, it never came whole."""
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

    def test_a_long_list_that_stops_on_its_way_is_asked_for_anew_in_time(self) -> None:
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

    def test_a_line_that_drips_is_no_sign_of_life(self) -> None:
        self.begin(workers=2)
        self.say(self.watches[0], 42, w1="up")
        line = json.dumps({"index": 43, "snapshot": False, "endpoints": []}).encode()
        data = http.chunk(line)
        called, sent = len(self.asked_lists()), 0
        while len(self.asked_lists()) == called:
            if not self.watches[0].ended:
                self.watches[0].send(data[sent : sent + 1])
            sent += 1
            self.wait(400)
            self.assertLess(sent, 13)

    def test_calls_that_wait_3_s_in_its_queue_and_fail_are_made_again_in_time(self) -> None:
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
                self.tell(60, whole=True, w1="draining", w2="up")
                self.assertEqual("draining", self.app.engine.view.state("w1").value)


class RestingConnections(Reloading):
    """A request crosses the end of a resting connection."""

    def resting(self, count: int) -> dict[int, Side]:
        """Give clients, by their ports, whose connections rest, a request unread on each."""
        sides = [self.client() for _ in range(count)]
        for side in sides:
            side.send(http.request("GET", "/up", "x"))
        self.turn()
        for side in sides:
            self.assertEqual(200, self.answer(side).status)
        self.read: set[int] = set()  # clients' ports from which something is read from here on
        for c in self.app.server.connections:
            self.record(c, self.read)
        for n, side in enumerate(sides):
            side.send(self.job(f"a{n}", "deck-build", 300))
        return {side.sock.getsockname()[1]: side for side in sides}

    def none_is_lost(self, sides: dict[int, Side]) -> None:
        """See that no connection was ended over its unread request: each has its answer."""
        self.wait(1_500)
        for side in sides.values():
            side.read()
        answered = {port for port, side in sides.items() if side.messages}
        self.assertEqual(set(sides), answered)
        self.assertEqual(self.read, answered)

    def test_limits_lowered_by_sighup_lose_no_request_that_was_read(self) -> None:
        self.begin(workers=2)
        sides = self.resting(60)
        self.raw = {**self.raw, "limits": {"sockets": 64}}
        self.app.sighup()
        self.none_is_lost(sides)

    def test_descriptors_that_run_short_lose_no_request_that_was_read(self) -> None:
        self.begin(workers=2, sockets=96)
        sides = self.resting(self.app.server.shedding_threshold)
        for _ in range(40):
            self.client().send(http.request("GET", "/up", "x"))
        self.jump(200)
        self.app.port.doRead()  # the listener's queue is read before the connections that rest
        self.none_is_lost(sides)

    def record(self, c: Any, read: set[int]) -> None:
        """Note from which client a connection reads."""
        receive, port = c.dataReceived, c.transport.getPeer().port

        def noted(data: bytes) -> None:
            read.add(port)
            receive(data)

        c.dataReceived = noted


if __name__ == "__main__":
    unittest.main()
