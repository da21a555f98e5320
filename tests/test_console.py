"""The operators' console: calls and figures."""

from __future__ import annotations

from elderstall.config import ConfigError, parse_config
from elderstall.net.console import CALL_TIMEOUT_MS, MAX_CONSOLE_CONNECTIONS
from elderstall.net.handover.messages import Callback
from tests.scenario import Scenario, platform


class Calls(Scenario):
    """One call per connection, whatever other connections do."""

    def test_ready_until_shutdown_begins(self) -> None:
        self.play("""
            o send GET /api/ready
            o expect 200 ready
            o expect closed
            term send
            o send GET /api/ready
            o expect 503 not ready
        """)

    def test_invalid_calls_are_refused(self) -> None:
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

    def test_a_call_received_in_pieces_is_answered_once(self) -> None:
        self.play("""
            o send raw GET /api/rea
            wait 3000
            o expect nothing
            o send raw dy HTTP/1.1\\r\\nHost: x\\r\\n\\r\\nGET /api/ready HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n
            o expect 200 ready
            o expect nothing
        """)

    def test_idle_connections_and_incomplete_calls_are_ended_and_delay_no_call(self) -> None:
        """Connections that stay open without a complete call used up all connections for calls."""
        self.begin()
        for n in range(3 * MAX_CONSOLE_CONNECTIONS):
            self.line(f"o{n}", "send", "raw GET /api/ready HT" if n % 2 else "raw ")
        self.play("""
            o send GET /api/ready
            o expect 200 ready
            o0 expect closed
            log expect end:crowded console
        """)
        self.assertLessEqual(len(self.world.app.console.callers), MAX_CONSOLE_CONNECTIONS + 1)
        self.line("wait", str(int(CALL_TIMEOUT_MS) + 100), "")
        self.assertEqual(0, len(self.world.app.console.callers))

    def test_an_exception_in_one_call_does_not_affect_the_next(self) -> None:
        self.begin()
        self.world.app.console.figures = lambda: 1 // 0  # type: ignore
        self.play("""
            o send GET /api/telemetry
            o expect 500
            log expect bug call: ZeroDivisionError
            o send GET /api/ready
            o expect 200
        """)

    def test_its_descriptors_are_reserved_and_it_is_optional(self) -> None:
        without_console = parse_config(platform(), {})
        raw = platform()
        self.assertIsNone(without_console.console)
        self.assertEqual(("127.0.0.1", 9600), parse_config(raw, {"RELAY_CONSOLE": "127.0.0.1:9600"}).console)
        raw["console"] = "127.0.0.1:9601"
        with_console = parse_config(raw, {})
        self.assertEqual(("127.0.0.1", 9601), with_console.console)
        connections = [
            c.max_client_connections + c.worker_connections for c in (without_console, with_console)
        ]
        self.assertEqual(MAX_CONSOLE_CONNECTIONS + 1, connections[0] - connections[1])
        with self.assertRaisesRegex(ConfigError, "^console: "):
            parse_config({**raw, "console": "nowhere"}, {})


class Telemetry(Scenario):
    """The figures match what clients and workers saw."""

    def assert_figures(self, *lines: str) -> None:
        self.line("o", "send", "GET /api/telemetry")
        peer = self.world.peers["o"]
        peer.read()
        shown = peer.messages.pop().body.decode().splitlines()
        for line in lines:
            self.assertIn(f"edge_relay.{line}", shown)

    def figure(self, name: str) -> float:
        self.line("o", "send", "GET /api/telemetry")
        peer = self.world.peers["o"]
        peer.read()
        values = dict(line.split("=") for line in peer.messages.pop().body.decode().splitlines())
        return float(values[f"edge_relay.{name}"])

    def test_jobs_are_counted_where_they_end_and_attempts_when_written_whole(self) -> None:
        self.play(
            """
            c send job a1 deck-fetch
            w expect POST a1
            w send 202
        """,
            workers=2,
        )
        self.assert_figures("in_progress=1", "upstream_tries=1", "handled.deck-fetch.passed=0")
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
        self.assert_figures(
            "in_progress=0",
            "upstream_tries=4",
            "handled.deck-fetch.passed=2",
            "handled.deck-build.bad_gateway=1",
            "handled.deck-build.dropped=0",
            "handled.deck-build.unserved.error=1",
        )

    def test_jobs_rejected_by_the_listener_are_counted_and_bad_requests_are_not(self) -> None:
        self.begin()
        self.world.app.server.shedding_threshold = -1
        self.play("""
            c send job a1 deck-fetch
            c expect 503
            c2 send job a2 nothing
            c2 expect 400
        """)
        self.assert_figures(
            "handled.deck-fetch.dropped=1", "handled.deck-fetch.unserved.no_room=1", "in_progress=0"
        )

    def test_an_attempt_that_was_not_completely_written_is_not_counted(self) -> None:
        self.play("""
            w close listener
            c send job a1 deck-build budget=300
            wait 400
            c expect 503
        """)
        self.assert_figures("upstream_tries=0", "handled.deck-build.dropped=1")

    def test_workers_listed_and_skipped(self) -> None:
        self.play(
            """
            d send changes 42 w2=draining
        """,
            workers=3,
        )
        self.assert_figures("known_card_workers=3", "skipped_card_workers=1")
        self.play("""
            d send changes 43 w2=gone
            c send job a1 deck-build
            w expect POST a1
            w send 500
            c expect 502
        """)
        self.assert_figures("known_card_workers=2", "skipped_card_workers=1")

    def test_settings_files_loaded_and_rejected(self) -> None:
        self.play("""
            hup send
            hup send discovery=nowhere
            hup send discovery=127.0.0.1:7
        """)
        self.assert_figures("loads=2", "load_errors=1")

    def test_list_calls_and_the_age_of_the_list(self) -> None:
        """A dispatcher that gets no list keeps the last one, and its figures show that."""
        self.play("wait 10", workers=3)
        self.assert_figures("list_calls=1", "list_calls_failed=0", "list_age_ms=-1")
        self.play("""
            d send changes 42 w2=draining
            wait 300
        """)
        self.assert_figures("list_calls=1", "list_calls_failed=0")
        self.assertTrue(300 <= self.figure("list_age_ms") < 400)
        self.play("""
            d close
            wait 400
        """)
        self.assert_figures("list_calls_failed=1")


class Bans(Scenario):
    """Operators' bans hold whatever discovery lists."""

    def test_a_banned_worker_gets_no_new_jobs_and_finishes_its_job(self) -> None:
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

    def test_a_worker_is_used_over_new_connections_after_its_ban(self) -> None:
        """Connections, skips and confirmations from before the ban belong to the previous process."""
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

    def test_a_worker_counts_as_started_at_the_end_of_its_ban_until_the_list_has_a_later_start(self) -> None:
        """Rule 4: discovery may list the previous start for seconds after a restart."""
        self.begin()
        decisions = self.world.app.engine.decisions
        clock = self.world.app.deadlines
        self.play("""
            wait 100
            o send POST /api/exclude?id=w1
            wait 2000
            o send POST /api/include?id=w1
        """)
        ban_end = decisions.endpoints.workers["w1"].started
        self.assertAlmostEqual(clock.now(), ban_end or 0, delta=1)
        self.play("""
            d send changes 50 w1=up@7
        """)
        self.assertEqual(ban_end, decisions.endpoints.workers["w1"].started)
        actual_start = round(clock.now() - 1000)
        self.play(f"""
            d send changes 51 w1=up@{actual_start}
        """)
        self.assertEqual(actual_start, decisions.endpoints.workers["w1"].started)

    def test_an_id_that_was_never_listed_is_refused_and_that_of_a_gone_worker_is_accepted(self) -> None:
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


class FailedJobs(Scenario):
    """Failed jobs in the log, and call-backs during a hand-over."""

    def test_a_failed_job_is_logged_with_the_ending_of_its_last_attempt(self) -> None:
        self.play("""
            c send job a1 deck-build
            w expect POST a1
            w send 500
            c expect 502
            log expect failed job a1 of deck-build after 0 ms: error, attempt 0 at w1
        """)

    def test_a_call_back_for_a_job_in_transfer_is_to_be_repeated(self) -> None:
        """The call-back that ends a job may arrive while the job is between two processes."""
        self.begin()
        call = {"id": "a1", "from": "w1", "state": "done", "result": "deck"}
        self.world.app.server.ids_in_transfer.add("a1")
        self.assertFalse(self.world.app.upgrade.message_received(Callback(call), None))
        self.world.app.server.ids_in_transfer.clear()
        self.assertTrue(self.world.app.upgrade.message_received(Callback(call), None))
