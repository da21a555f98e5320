"""The second address: operators' calls and the figures."""

from __future__ import annotations

from elderstall.config import ConfigError, config_of
from elderstall.net.console import CALLERS, PATIENCE
from elderstall.net.handover.messages import Callback
from tests.scenario import Scenario, platform


class Calls(Scenario):
    """One call a connection, whoever else is there."""

    def test_ready_until_the_planned_end_begins(self) -> None:
        self.play("""
            o send GET /api/ready
            o expect 200 ready
            o expect closed
            term send
            o send GET /api/ready
            o expect 503 not ready
        """)

    def test_what_is_no_call_is_a_no(self) -> None:
        self.play("""
            o send GET /api/nothing
            o expect 404
            o send POST /api/ready
            o expect 405 GET only
            o send raw nonsense\\r\\n\\r\\n
            o2 send raw nonsense\\r\\n\\r\\n
            o2 expect 400
            o2 expect closed
        """)

    def test_a_call_in_pieces_is_answered_once(self) -> None:
        self.play("""
            o send raw GET /api/rea
            wait 3000
            o expect nothing
            o send raw dy HTTP/1.1\\r\\nHost: x\\r\\n\\r\\nGET /api/ready HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n
            o expect 200 ready
            o expect nothing
        """)

    def test_silent_and_half_callers_delay_nobody_and_end(self) -> None:
        """Guards against callers that stay: they held every place for calls."""
        self.begin()
        for n in range(3 * CALLERS):
            self.line(f"o{n}", "send", "raw GET /api/ready HT" if n % 2 else "raw ")
        self.play("""
            o send GET /api/ready
            o expect 200 ready
            o0 expect closed
            log expect end:crowded console
        """)
        self.assertLessEqual(len(self.world.app.console.callers), CALLERS + 1)
        self.line("wait", str(int(PATIENCE) + 100), "")
        self.assertEqual(0, len(self.world.app.console.callers))

    def test_a_fault_in_one_call_is_met_there_only(self) -> None:
        self.begin()
        self.world.app.console.figures = lambda: 1 // 0  # type: ignore
        self.play("""
            o send GET /api/telemetry
            o expect 500
            log expect bug call: ZeroDivisionError
            o send GET /api/ready
            o expect 200
        """)

    def test_its_descriptors_are_kept_back_and_it_may_be_absent(self) -> None:
        alone, raw = config_of(platform(), {}), platform()
        self.assertIsNone(alone.console)
        self.assertEqual(("127.0.0.1", 9600), config_of(raw, {"RELAY_CONSOLE": "127.0.0.1:9600"}).console)
        raw["console"] = "127.0.0.1:9601"
        both = config_of(raw, {})
        self.assertEqual(("127.0.0.1", 9601), both.console)
        spared = [c.max_client_connections + c.worker_connections for c in (alone, both)]
        self.assertEqual(CALLERS + 1, spared[0] - spared[1])
        with self.assertRaisesRegex(ConfigError, "^console: "):
            config_of({**raw, "console": "nowhere"}, {})


class Telemetry(Scenario):
    """The figures are what clients and workers saw."""

    def figures(self, *lines: str) -> None:
        self.line("o", "send", "GET /api/telemetry")
        peer = self.world.peers["o"]
        peer.read()
        told = peer.messages.pop().body.decode().splitlines()
        for line in lines:
            self.assertIn(f"edge_relay.{line}", told)

    def figure(self, name: str) -> float:
        self.line("o", "send", "GET /api/telemetry")
        peer = self.world.peers["o"]
        peer.read()
        told = dict(line.split("=") for line in peer.messages.pop().body.decode().splitlines())
        return float(told[f"edge_relay.{name}"])

    def test_jobs_are_counted_where_they_end_and_attempts_when_written_whole(self) -> None:
        self.play(
            """
            c send job a1 deck-fetch
            w expect POST a1
            w send 202
        """,
            workers=2,
        )
        self.figures("in_progress=1", "upstream_tries=1", "handled.deck-fetch.passed=0")
        self.play("""
            w send call done a1 x
            c expect 200 x
            c send job a2 deck-fetch
            w expect POST a2
            w send 503 X-Rejected: 1
            w expect POST a2
            w send 202
            w send call done a2 x
            c expect 200 x
            c send job a3 deck-build
            w expect POST a3
            w send 500
            c expect 502
        """)
        self.figures(
            "in_progress=0",
            "upstream_tries=4",
            "handled.deck-fetch.passed=2",
            "handled.deck-build.bad_gateway=1",
            "handled.deck-build.dropped=0",
            "handled.deck-build.unserved.error=1",
        )

    def test_what_the_front_refuses_is_a_job_refused_and_bad_input_is_none(self) -> None:
        self.begin()
        self.world.app.server.shedding_threshold = -1
        self.play("""
            c send job a1 deck-fetch
            c expect 503
            c2 send job a2 nothing
            c2 expect 400
        """)
        self.figures("handled.deck-fetch.dropped=1", "handled.deck-fetch.unserved.no_room=1", "in_progress=0")

    def test_an_attempt_that_never_left_whole_is_not_counted(self) -> None:
        self.play("""
            w close listener
            c send job a1 deck-build budget=300
            wait 400
            c expect 503
        """)
        self.figures("upstream_tries=0", "handled.deck-build.dropped=1")

    def test_workers_listed_and_avoided(self) -> None:
        self.play(
            """
            d send changes 42 w2=draining
        """,
            workers=3,
        )
        self.figures("known_card_workers=3", "skipped_card_workers=1")
        self.play("""
            d send changes 43 w2=gone
            c send job a1 deck-build
            w expect POST a1
            w send 500
            c expect 502
        """)
        self.figures("known_card_workers=2", "skipped_card_workers=1")

    def test_files_taken_and_turned_down(self) -> None:
        self.play("""
            hup send
            hup send discovery=nowhere
            hup send discovery=127.0.0.1:7
        """)
        self.figures("loads=2", "load_errors=1")

    def test_calls_for_the_list_and_how_old_it_is(self) -> None:
        """A dispatcher that gets no list goes on with what it knows, and says so."""
        self.play("wait 10", workers=3)
        self.figures("list_calls=1", "list_calls_failed=0", "list_age_ms=-1")
        self.play("""
            d send changes 42 w2=draining
            wait 300
        """)
        self.figures("list_calls=1", "list_calls_failed=0")
        self.assertTrue(300 <= self.figure("list_age_ms") < 400)
        self.play("""
            d close
            wait 400
        """)
        self.figures("list_calls_failed=1")


class Bans(Scenario):
    """What operators say of a worker holds whatever discovery lists."""

    def test_a_banned_worker_gets_nothing_new_and_its_job_finishes(self) -> None:
        self.play("""
            c send job a1 deck-fetch
            w expect POST a1
            w send 202
            o send POST /api/exclude?id=w1
            o expect 200 yes
            c2 send job a2 deck-fetch
            wait 600
            c2 expect 503
            w send call done a1 hello
            c expect 200 hello
            d send list 50 w1=up
            d send changes 51 w1=up@5
            c2 send job a3 deck-fetch
            wait 600
            c2 expect 503
            w expect nothing
            o send GET /api/telemetry
            o expect 200 skipped_card_workers=1
        """)

    def test_a_worker_put_back_is_used_over_new_connections(self) -> None:
        """Guards against kept connections, skips and proof that were those of the process before the ban."""
        self.play("""
            c send job a1 deck-build
            w expect POST a1
            w send 500
            c expect 502
            o send POST /api/exclude?id=w1
            o send POST /api/exclude?id=w1
            o expect 200 yes
            wait 3000
            o send POST /api/include?id=w1
            o expect 200 yes
            c send job a2 deck-build
            w2 expect POST a2
            w2 send 202
            w2 send call done a2 hello
            c expect 200 hello
        """)
        self.assertEqual(2, len(self.world.workers))
        self.assertTrue(self.world.workers[0].wire.gone)

    def test_a_worker_put_back_counts_as_just_started_until_the_list_tells(self) -> None:
        """Guards rule 4: discovery may show the former start for seconds after a restart."""
        self.begin()
        module, clock = self.world.app.engine.decisions, self.world.app.deadlines
        self.play("""
            wait 100
            o send POST /api/exclude?id=w1
            wait 2000
            o send POST /api/include?id=w1
        """)
        back = module.endpoints.workers["w1"].started
        self.assertAlmostEqual(clock.now(), back or 0, delta=1)
        self.play("""
            d send changes 50 w1=up@7
        """)
        self.assertEqual(back, module.endpoints.workers["w1"].started)
        true = round(clock.now() - 1000)
        self.play(f"""
            d send changes 51 w1=up@{true}
        """)
        self.assertEqual(true, module.endpoints.workers["w1"].started)

    def test_an_id_that_was_never_listed_is_a_no_and_one_that_is_gone_is_none(self) -> None:
        self.play(
            """
            o send POST /api/exclude?id=w7
            o expect 404
            o send POST /api/include?id=w7
            o expect 404
            o send POST /api/exclude
            o expect 400
            d send changes 50 w2=gone
            o send POST /api/exclude?id=w2
            o expect 200
            d send changes 51 w2=up
            o send POST /api/include?id=w1
            o expect 200
            o send GET /api/telemetry
            o expect 200 skipped_card_workers=1
        """,
            workers=2,
        )


class Trouble(Scenario):
    """What the log tells of jobs that went wrong."""

    def test_a_failed_job_is_logged_with_the_end_of_its_last_attempt(self) -> None:
        self.play("""
            c send job a1 deck-build
            w expect POST a1
            w send 500
            c expect 502
            log expect failed job a1 of deck-build after 0 ms: error, attempt 0 at w1
        """)

    def test_a_call_back_for_a_job_on_its_way_to_the_next_process_is_to_come_again(self) -> None:
        """Guards against a job whose end is told between its leaving here and its arrival there."""
        self.begin()
        call = {"id": "a1", "from": "w1", "state": "done", "result": "deck"}
        self.world.app.server.ids_in_transfer.add("a1")
        self.assertFalse(self.world.app.upgrade.message_received(Callback(call), None))
        self.world.app.server.ids_in_transfer.clear()
        self.assertTrue(self.world.app.upgrade.message_received(Callback(call), None))
