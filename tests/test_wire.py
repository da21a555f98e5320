"""Scenarios of the platform's protocol, in the language that scenario.py defines."""

from __future__ import annotations

from tests.scenario import Scenario

UP_REQUEST = "GET /up HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n"
JOB_HEAD = (
    "POST /deck-fetch HTTP/1.1\\r\\nHost: x\\r\\nX-Call-Id: {0}\\r\\nX-Call-Class: deck-fetch\\r\\n"
    "X-Caller: norte\\r\\nX-Budget-Ms: 5000\\r\\nContent-Length: {1}\\r\\n\\r\\n"
)


class Jobs(Scenario):
    """Outcomes of jobs as the protocol's table of outcomes lists them."""

    def test_a_job_is_served_by_a_call_back_and_its_connection_reused(self) -> None:
        self.play("""
            c send job a1 deck-fetch
            w expect POST a1
            w send 202
            c expect nothing
            w send call done a1 hello
            c expect 200 hello
            c send job a2 deck-fetch
            w expect POST a2
            w send 202
            w send call done a2 again
            c expect 200 again
        """)
        self.assertEqual(1, len(self.world.workers))

    def test_a_call_back_may_come_before_the_202_and_the_connection_is_busy_until_then(self) -> None:
        self.play("""
            c send job a1 deck-fetch
            w expect POST a1
            w send call done a1 early
            c expect 200 early
            c send job a2 deck-fetch
            w2 expect POST a2
            w send 202
        """)
        self.assertEqual(2, len(self.world.workers))

    def test_call_backs_that_match_no_live_attempt_are_ignored(self) -> None:
        """Guards against late and repeated call-backs and those from another worker."""
        self.play("""
            c send job a1 deck-build
            w expect POST a1
            w send 202
            w send call done a1 stolen from=w9
            w send call done zz lost
            c expect nothing
            w send call running a1
            w send call odd a1
            w send call done a1 mine
            c expect 200 mine
            w send call done a1 mine
            w send call lost a1
            c expect nothing
        """)

    def test_a_rejected_job_goes_elsewhere_and_an_error_ends_an_unsafe_one(self) -> None:
        self.play(
            """
            c send job a1 deck-build
            w expect POST a1
            w send 503 X-Rejected: 1
            w expect POST a1
            w send 500
            c expect 502
            w expect nothing
        """,
            workers=2,
        )

    def test_a_503_without_x_rejected_may_have_run(self) -> None:
        self.play(
            """
            c send job a1 deck-build
            w expect POST a1
            w send 503
            c expect 502
            w expect nothing
        """,
            workers=2,
        )

    def test_a_job_returned_unstarted_is_sent_to_another_worker(self) -> None:
        self.play(
            """
            c send job a1 deck-build
            w expect POST a1
            w send 202
            wait 300
            w send call returned a1
            w expect POST a1 left=4700
            w send 202
            w send call failed a1
            c expect 502
        """,
            workers=2,
        )

    def test_a_lost_job_is_sent_again_only_if_its_class_is_safe(self) -> None:
        self.play(
            """
            c send job a1 deck-fetch
            w expect POST a1
            w send 202
            w send call lost a1
            w expect POST a1
            w send 202
            w send call done a1 second
            c expect 200 second
            c send job a2 deck-build
            w expect POST a2
            w send 202
            w send call lost a2
            c expect 502
            w expect nothing
        """,
            workers=2,
        )

    def test_a_connection_lost_before_the_202_may_have_run(self) -> None:
        """Guards against a resend after a stale connection: a job that was written may have run."""
        self.play(
            """
            c send job a1 deck-build
            w expect POST a1
            w close
            c expect 502
            w expect nothing
        """,
            workers=2,
        )

    def test_a_connection_lost_before_the_last_byte_was_written_never_ran(self) -> None:
        self.begin(workers=2)
        connect = self.world.connect

        def connect_stalled(address: str, factory: object) -> object:
            connection = connect(address, factory)
            self.world.app.workers.connect = connect
            return connection

        self.play("c send job a0 deck-fetch\nw expect POST a0\nw send 202\nw send call done a0")
        self.world.app.workers.connect = connect_stalled  # type: ignore[assignment]
        wire = self.world.workers[0].wire
        self.play("w close reading\nc expect 200\nc send job a1 deck-build")
        if wire.unread:  # the rotation chose the connection whose peer does not read
            wire.lose()
            self.play("w2 expect POST a1")
            self.world.workers[0].messages.clear()
        self.play("c expect nothing")

    def test_a_job_whose_connection_is_refused_never_ran(self) -> None:
        self.play("""
            w close listener
            c send job a1 deck-build budget=400
            c expect nothing
            wait 450
            c expect 503 Retry-After: 0.2
        """)

    def test_a_job_whose_connection_times_out_never_ran(self) -> None:
        self.play("""
            w close silent
            c send job a1 deck-build budget=900
            wait 1000
            c expect 503
            log expect connect
        """)

    def test_a_malformed_response_of_a_worker_ends_the_attempt(self) -> None:
        self.play("""
            c send job a1 deck-build
            w expect POST a1
            w send raw HTTP/1.1 two hundred\\r\\n\\r\\n
            c expect 502
            log expect end:bad-answer
        """)

    def test_a_timeout_cancels_the_attempt_and_answers_by_the_deadline(self) -> None:
        self.play("""
            c send job a1 deck-build budget=700
            w expect POST a1
            w send 202
            wait 695
            c expect nothing
            wait 10
            c expect 504
            w expect DELETE a1
        """)

    def test_a_timeout_before_the_202_closes_the_connection(self) -> None:
        self.play("""
            c send job a1 deck-fetch budget=300
            w expect POST a1
            wait 310
            c expect 503
            w expect nothing
            log expect end:given-up
        """)

    def test_the_job_of_a_client_that_disconnects_is_cancelled(self) -> None:
        self.play("""
            c send job a1 deck-build
            w expect POST a1
            w send 202
            c close
            w expect DELETE a1
            w send 200
            log expect end:client-gone
        """)
        self.assertEqual(0, len(self.world.app.engine.jobs))

    def test_a_late_end_of_an_earlier_attempt_causes_no_duplicate_execution(self) -> None:
        """Guards against 'lost' of an earlier broken attempt being applied to the live attempt."""
        self.play("""
            c send job a1 deck-fetch
            w expect POST a1
            w close
            wait 130
            w expect DELETE a1
            w expect nothing
            w send 200
            w expect POST a1
            w send 202
            w send call lost a1
            w expect DELETE a1
            c expect nothing
            w send 200
            wait 150
            c expect 503
        """)

    def test_the_deadline_guard_answers_what_the_decisions_miss(self) -> None:
        self.begin()
        self.world.app.engine.decisions.handle = lambda now, event: []  # type: ignore[method-assign]
        self.play("""
            c send job a1 deck-fetch budget=300
            wait 303
            c expect nothing
            wait 5
            c expect 503
            log expect guard
        """)

    def test_an_error_in_the_decisions_stops_neither_job_nor_program(self) -> None:
        self.begin()

        def raise_error(now: float, event: object) -> list[object]:
            raise KeyError("no such thing")

        self.world.app.engine.decisions.handle = raise_error  # type: ignore[method-assign, assignment]
        self.play("""
            c send job a1 deck-fetch budget=300
            wait 310
            c expect 503
            log expect bug
        """)


class Connections(Scenario):
    """Connection pools, parsing and bounded memory."""

    def test_idle_connections_are_closed_before_the_worker_closes_them(self) -> None:
        self.play("""
            c send job a1 deck-fetch
            w expect POST a1
            w send 202
            w send call done a1
            wait 7900
            log expect start
            wait 200
            log expect end:idle
        """)

    def test_a_restart_drops_the_pool(self) -> None:
        self.play("""
            d send beat
            c send job a1 deck-fetch
            w expect POST a1
            w send 202
            w send call done a1
            d send changes 42 w1=up@990000
            c expect 200
            c send job a2 deck-fetch
            w expect POST a2
        """)
        self.assertEqual(2, len(self.world.workers))

    def test_an_unresponsive_kept_connection_is_abandoned_early(self) -> None:
        """Guards against a silent kept connection on which jobs waited until their deadlines."""
        self.play("""
            c send job a1 deck-fetch
            w expect POST a1
            w send 202
            w send call done a1
            c expect 200
            c send job a2 deck-fetch
            w expect POST a2
            wait 240
            w expect nothing
            wait 20
            log expect silent
            log expect end:given-up
            c expect 503
            wait 300
            c send job a3 deck-build
            w expect POST a3
            w send call done a3 early
            c expect 200 early
            c send job a4 deck-build
            w expect POST a4
            wait 990
            c expect nothing
            wait 20
            c expect 502
        """)

    def test_idle_connections_that_break_shorten_the_idle_timeout(self) -> None:
        """Guards unsafe jobs: one written to a broken idle connection may have run and is not retried."""
        finish_job = "w send 202\nw send call done {0}\nc expect 200\n"
        send_job = "c send job {0} deck-fetch\nw expect POST {0}\n"
        self.play(send_job.format("a1") + finish_job.format("a1") + "wait 400\n" + send_job.format("a2"))
        cancelled_and_resent = "w expect DELETE a2\nw send 200\nw expect POST a2\n"
        self.play("w close\nlog expect stale\nwait 60\n" + cancelled_and_resent + finish_job.format("a2"))
        keep_alive = self.world.app.workers.keep_alive
        self.assertAlmostEqual(200, keep_alive.idle_timeout, delta=5)
        self.play("wait 50\nc send job b1 deck-build\nw expect POST b1\n" + finish_job.format("b1"))
        self.assertEqual(3, len(self.world.workers))
        self.play(
            "wait 190\n" + send_job.format("a3") + finish_job.format("a3") + "wait 220\nlog expect end:idle"
        )
        self.assertEqual(3, len(self.world.workers))
        self.play(send_job.format("a4") + finish_job.format("a4") + "wait 60000")
        self.assertEqual((4, keep_alive.max_idle_timeout), (len(self.world.workers), keep_alive.idle_timeout))

    def test_breaks_of_new_connections_do_not_shorten_the_idle_timeout(self) -> None:
        """Guards against a handshake for each job where workers reset both kept and new connections."""
        finish_job = "w send 202\nw send call done {0}\nc expect 200\n"
        send_job = "c send job {0} deck-fetch\nw expect POST {0}\n"
        cancelled_and_resent = "w expect DELETE {0}\nw send 200\nw expect POST {0}\n"
        self.play(
            send_job.format("a1")
            + "w close\nwait 150\n"
            + cancelled_and_resent.format("a1")
            + finish_job.format("a1")
        )
        self.play(
            "wait 300\n" + send_job.format("a2") + "w close\nwait 100\n" + cancelled_and_resent.format("a2")
        )
        self.play(finish_job.format("a2"))
        keep_alive = self.world.app.workers.keep_alive
        self.assertEqual(keep_alive.max_idle_timeout, keep_alive.idle_timeout)
        keep_alive.new_connections.breaks = 1.0  # one new connection in twenty breaks too
        keep_alive.new_connections.uses, keep_alive.reused_connections.uses = 20.0, 5.0
        self.play("wait 300\n" + send_job.format("a3") + "w close\nlog expect stale")
        self.assertFalse(keep_alive.prefers_new_connections)

    def test_input_split_anywhere_is_read(self) -> None:
        self.play("""
            c send bytewise job a1 deck-fetch
            w expect POST a1
            w send 202
            w send call done a1 hello
            c expect 200 hello
        """)

    def test_pipelined_input_is_answered_in_order_and_bounded(self) -> None:
        self.begin()
        more = "".join(
            f"c send job b{n} deck-fetch\n" for n in range(600)
        )  # more than one request of the maximum size
        self.play(f"""
            c send job a1 deck-fetch
            c send raw GET /up HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n
            w expect POST a1
            {more}
            w send 202
            w send call done a1 first
            c expect 200 first
            c expect 200 up
            w expect POST b0
        """)
        self.assertTrue(self.world.peers["c"].wire.paused)

    def test_a_slow_reader_is_disconnected(self) -> None:
        self.begin()
        result = "x" * 40_000
        self.play(f"""
            c close reading
            c send job a1 deck-fetch
            w expect POST a1
            w send 202
            w send call done a1 {result}
            c send job a2 deck-fetch
            w expect nothing
            wait 20100
            log expect end:slow-reader
        """)

    def test_bad_requests_reach_no_worker(self) -> None:
        head = "Host: x\\r\\nContent-Length: 0\\r\\n"
        good = "X-Call-Id: i\\r\\nX-Call-Class: deck-fetch\\r\\nX-Caller: norte\\r\\nX-Budget-Ms: 50\\r\\n"
        cases = {
            "GARBAGE\\r\\n\\r\\n": 400,
            f"POST /deck-fetch HTTP/1.1\\r\\n{head}Transfer-Encoding: chunked\\r\\n\\r\\n": 400,
            f"POST /deck-fetch HTTP/1.1\\r\\n{head}Content-Length: 1\\r\\n\\r\\n": 400,
            f"POST /deck-fetch HTTP/1.1\\r\\n{head}\\r\\n": 400,
            f"POST /deck-fetch HTTP/1.1\\r\\n{head}{good.replace('norte', 'nobody')}\\r\\n": 400,
            f"POST /deck-fetch HTTP/1.1\\r\\n{head}{good.replace('50', 'soon')}\\r\\n": 400,
            f"POST /deck-fetch HTTP/1.1\\r\\n{head}{good.replace('50', '1_0')}\\r\\n": 400,
            f"POST /deck-fetch HTTP/1.1\\r\\n{head}{good}{good}\\r\\n": 400,
            f"POST /deck-buy HTTP/1.1\\r\\n{head}{good}\\r\\n": 400,
            f"POST /deck-fetch HTTP/1.1\\r\\n{good}\\r\\n": 400,
            f"POST /nowhere HTTP/1.1\\r\\n{head}\\r\\n": 404,
            f"GET /deck-fetch HTTP/1.1\\r\\n{head}{good}\\r\\n": 405,
            f"DELETE /up HTTP/1.1\\r\\n{head}\\r\\n": 405,
            f"GET /callback HTTP/1.1\\r\\n{head}\\r\\n": 405,
            f"POST /callback HTTP/1.1\\r\\n{head}\\r\\n": 400,
            "POST /deck-fetch HTTP/1.1\\r\\nHost: x\\r\\nContent-Length: 65537\\r\\n\\r\\n": 413,
            f"POST /deck-fetch HTTP/1.1\\r\\nHost: x\\r\\n{good}Transfer-Encoding: chunked"
            "\\r\\n\\r\\n10001\\r\\n": 413,
            "POST /deck-fetch HTTP/1.1\\r\\nHost: x\\r\\nContent-Length: 9\\r\\n\\r\\n": 400,
            f"POST http://[x/deck-fetch HTTP/1.1\\r\\n{head}{good}\\r\\n": 400,
            "POST /deck-fetch HTTP/2.0\\r\\nHost: x\\r\\n\\r\\n": 505,
            f"GET /up HTTP/1.1\\r\\nHost: x\\r\\nX: {'y' * 17000}\\r\\n\\r\\n": 431,
        }
        for n, (text, status) in enumerate(cases.items()):
            self.play(f"c{n} send raw {text}\nc{n} expect {status}\nw expect nothing")
        self.assertEqual(0, len(self.world.app.engine.jobs))

    def test_a_live_request_id_is_rejected(self) -> None:
        self.play("""
            c send job a1 deck-fetch
            w expect POST a1
            c2 send job a1 deck-fetch
            c2 expect 400 live
            w expect nothing
        """)

    def test_a_program_error_affects_only_one_request(self) -> None:
        self.begin()
        self.world.app.server.handle_job = None  # type: ignore[method-assign, assignment]
        self.play("""
            c send job a1 deck-fetch
            c expect 500
            c expect closed
            log expect bug
            c2 send raw GET /up HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n
            c2 expect 200
        """)

    def test_connections_being_opened_to_workers_are_bounded(self) -> None:
        self.begin(workers=2)
        self.world.app.workers.connections.limit = 1
        self.play("""
            w close silent
            c send job a1 deck-build
            c2 send job a2 deck-build
            log expect limit
            w expect nothing
            wait 260
            log expect connect
        """)
        self.assertLessEqual(self.world.app.workers.connections.opening, 1)

    def test_with_fewer_connections_than_workers_the_longest_idle_one_is_closed(self) -> None:
        self.begin(workers=5)
        self.world.app.workers.connections.limit = 2
        for n in range(1, 11):  # each worker in rotation order, twice
            self.play(f"""
                c send job a{n} deck-fetch
                w expect POST a{n}
                w send 202
                w send call done a{n} x
                c expect 200 x
                wait 20
            """)
            self.assertLessEqual(len(self.world.app.workers.connections), 2)
        self.assertFalse(self.world.app.workers.connections.closing)
        self.assertEqual(10, self.world.app.engine.counters.attempts_written)
        self.assertFalse(self.world.app.engine.counters.rejected["deck-fetch"])

    def test_over_the_limit_of_jobs_the_answer_is_503(self) -> None:
        self.begin(limits={"max_open": 1})
        self.play("""
            c send job a1 deck-fetch
            c2 send job a2 deck-fetch
            c2 expect 503 Retry-After: 1
        """)

    def test_past_the_shedding_threshold_idle_clients_are_closed(self) -> None:
        """Keeps descriptors for call-backs: silent clients are closed first, those with a valid head stay."""
        self.begin(workers=2, sockets=64)
        server = self.world.app.server
        idle = "".join(f"c{n} send raw {UP_REQUEST}\n" for n in range(5))
        rest = "".join(f"c{n} send raw P\n" for n in range(5, server.max_connections - 6))
        more = "".join(f"c{n} send raw P\n" for n in range(60, 65))
        self.play(f"""
            c99 send job a1 deck-fetch
            w expect POST a1
            w send 202
            c98 send job a0 deck-fetch
            w2 expect POST a0
            w2 send 202
            w2 send call done a0 zero
            c98 expect 200 zero
            {idle}
            wait 100
            {rest}
            c0 expect 200
            c0 expect closed
            wait 110
            {more}
            c5 expect closed
            c98 send job a2 deck-fetch
            w2 expect POST a2
            w2 send 202
            w send call done a1 hello
            c99 expect 200 hello
            w2 send call done a2 hello
            c98 expect 200 hello
        """)
        self.assertLessEqual(len(server.connections), server.shedding_threshold)

    def test_silent_connections_do_not_keep_clients_out(self) -> None:
        """Keeps clients and call-backs served: accepting stops at the limit and resumes by itself."""
        self.begin(sockets=64)
        server = self.world.app.server
        n = 0
        while server.accepting:
            self.client(f"c{n}")
            n += 1
        self.assertEqual(server.max_connections, len(server.connections))
        self.play("wait 110")
        self.assertTrue(server.accepting)
        self.play("""
            c999 send job a1 deck-fetch
            w expect POST a1
            w send 202
            w send call done a1 hello
            c999 expect 200 hello
        """)

    def test_a_client_without_a_whole_request_is_disconnected_within_3_s(self) -> None:
        """Guards against silence, endless heads and unfinished bodies: a further piece extends no timeout."""
        self.play(f"""
            c0 expect nothing
            c1 send raw POST /deck-fetch HTTP/1.1\\r\\n
            c2 send raw {JOB_HEAD.format("i", 9)}half
            c3 send raw {JOB_HEAD.format("i", 9)}h
            wait 1000
            c1 send raw X-More: 1\\r\\n
            wait 1000
            c1 send raw X-More: 1\\r\\n
            wait 400
            c3 send raw al
            wait 200
            c0 expect closed
            c1 expect 408
            c2 expect 408
            c1 expect closed
            c3 expect nothing
            c3 send raw f-done
            log expect end:silent
        """)
        self.assertEqual(1, len(self.world.app.engine.jobs))

    def test_a_refused_head_closes_its_connection_and_the_rest_is_not_read(self) -> None:
        """Guards against hundreds of bad requests sent at once, and again after each response."""
        bad = JOB_HEAD.format(1, 9).replace("deck-fetch", "deck-buy")
        self.play(f"""
            c send raw {bad * 300}
            c expect 400
            c expect closed
            c send raw {bad}
            c expect nothing
        """)
        self.assertEqual(0, self.world.app.server.kept_bytes)

    def test_an_answered_request_id_is_rejected(self) -> None:
        """Guards against a reused request id, which reached workers once the first job was done."""
        self.play("""
            c send job a1 deck-fetch
            w expect POST a1
            w send 202
            w send call done a1 hello
            c expect 200 hello
            c2 send job a1 deck-fetch
            c2 expect 400 answered
            w expect nothing
        """)

    def test_bodies_received_at_once_are_bounded_in_total(self) -> None:
        """Bounds memory: past the limit, requests with unfinished bodies are refused, whole jobs are not."""
        self.begin()
        server = self.world.app.server
        server.kept_bytes_limit = 100_000
        body_prefix = "x" * 40_000
        self.play(
            "".join(f"c{n} send raw {JOB_HEAD.format(n, 60_000)}{body_prefix}\n" for n in range(5))
            + """
            c0 expect nothing
            c1 expect nothing
            c2 expect 503 Retry-After: 1
            c2 expect closed
            c3 expect 503
            c9 send job a1 deck-fetch
            w expect POST a1
        """
        )
        self.assertLessEqual(server.kept_bytes, server.kept_bytes_limit)

    def test_after_sigterm_jobs_are_accepted_until_sigkill(self) -> None:
        """Guards against seconds without service after SIGTERM, before the next dispatcher is back."""
        self.play(
            """
            c send job a0 deck-fetch
            w expect POST a0
            w send 202
            w send call done a0 zero
            c expect 200 zero
            term send
            wait 900
            c send job a1 deck-fetch budget=5000
            w expect POST a1 left=2500
            w send 202
            c2 send job a2 deck-build budget=15000 X-Call-Cost=3000000
            c2 expect 503 Retry-After: 0
            c2 expect closed
            wait 2600
            c expect 503
            w expect DELETE a1
            c expect closed
            c3 send job a3 deck-fetch
            c3 expect 503 shutting down
            c close
            c2 close
            c3 close
            wait 300
            term expect exit
        """,
            workers=1,
        )

    def test_idle_clients_are_closed_in_time_to_reach_the_next_dispatcher(self) -> None:
        """Guards against clients held in a rolling restart until the next dispatcher ends as well."""
        self.play("""
            c send job a0 deck-fetch
            w expect POST a0
            w send 202
            w send call done a0 zero
            c expect 200 zero
            term send
            wait 1900
            c expect open
            wait 200
            c expect closed
            c2 send job a1 deck-fetch
            w expect POST a1 left=1300
            w send 202
            w send call done a1 one
            c2 expect 200 one
            c2 expect closed
        """)

    def test_after_sigterm_jobs_are_served_then_rejected_until_exit(self) -> None:
        self.play(
            """
            c send job a1 deck-build budget=9000
            c2 send raw GET /up HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n
            c2 expect 200
            w expect POST a1
            w send 202
            term send
            c2 send raw GET /up HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n
            c2 expect 503
            wait 300
            c3 send job a0 deck-fetch
            w2 expect POST a0
            w2 send 202
            w2 send call done a0 zero
            c3 expect 200 zero
            wait 200
            c3 send job a2 deck-fetch
            w2 expect POST a2
            w2 send 202
            wait 1400
            c3 expect nothing
            wait 1600
            c4 send job a3 deck-fetch
            c4 expect 503 Retry-After: 1
            c4 expect closed
            w2 send call done a2 two
            c3 expect 200 two
            c3 expect closed
            wait 1500
            term expect running
            w send call done a1 one
            c expect 200 one
            c close
            c3 close
            c4 close
            wait 300
            term expect exit
        """,
            workers=2,
        )


class Polls(Scenario):
    """Workers polled for their load, as one of many dispatchers does before it sends a job."""

    MANY_DISPATCHERS = {
        "balancers": 40,
        "limits": {
            "conn_idle": 10000,
            "connect_timeout": 250,
            "max_attempts": 5,
            "max_open": 50,
            "probes": True,
        },
    }

    def test_a_job_uses_the_poll_connection_of_the_worker_with_free_slots(self) -> None:
        self.play(
            """
            c send job a1 deck-build
            w expect GET /metrics/load
            w2 expect GET /metrics/load
            w send load 0
            w expect nothing
            w2 send load 2
            w2 expect POST a1
            w2 send 202
            w2 send call done a1 hello
            c expect 200 hello
        """,
            workers=2,
            **self.MANY_DISPATCHERS,
        )
        self.assertEqual(2, len(self.world.workers))

    def test_a_silent_worker_costs_the_job_30_ms(self) -> None:
        self.play(
            """
            c send job a1 deck-build
            w expect GET /metrics/load
            w2 expect GET /metrics/load
            w2 send load 1
            wait 28
            w expect nothing
            wait 4
            w2 expect POST a1
            wait 230
            log expect end:given-up
        """,
            workers=2,
            **self.MANY_DISPATCHERS,
        )

    def test_a_failed_poll_stops_no_job(self) -> None:
        """Covers a refused poll, an unreadable report and a connection that breaks."""
        for answer in (
            "send 503",
            "send raw HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\n{]",
            "send raw HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\n[]",
            "close",
        ):
            with self.subTest(answer):
                self.play(
                    f"""
                    c send job a1 deck-build
                    w expect GET /metrics/load
                    w {answer}
                    wait 200
                    w expect POST a1
                """,
                    workers=1,
                    **self.MANY_DISPATCHERS,
                )

    def test_a_worker_listed_as_draining_is_not_polled(self) -> None:
        self.play(
            """
            # with many dispatchers the first list call is delayed by 2.5 s at most
            wait 2500
            d expect watch 41
            d send changes 42 w1=draining
            c send job a1 deck-build
            w expect GET /metrics/load
            w send load 1
            w2 expect POST a1
            w expect nothing
        """,
            workers=2,
            **self.MANY_DISPATCHERS,
        )


class Reloads(Scenario):
    """SIGHUP reloads the settings."""

    def test_the_watch_moves_at_once_and_jobs_continue(self) -> None:
        """Guards against SIGHUP ending the program and a list version being sent to another address."""
        self.play("""
            d expect watch 41
            d send changes 44 w2=up
            c send job a1 deck-build
            w expect POST a1
            w send 202
            hup send discovery=127.0.0.1:2
            d expect watch 0
            d send changes 7 w3=up
            w send call done a1 hello
            c expect 200 hello
            c send job a2 deck-fetch
            w expect POST a2
            log expect end:moved
            d close
            wait 400
            d expect watch 7
        """)
        self.assertEqual({"w1", "w2", "w3"}, set(self.world.app.discovery.addresses))

    def test_the_previous_watch_is_read_until_the_new_one_responds(self) -> None:
        """Guards the rule on drains: a change written just before the move counts as notified."""
        self.play("d expect watch 41\nd send beat\nhup send discovery=127.0.0.1:2")
        new_watch = self.world.watches.pop()
        self.play("d send changes 50 w1=draining\nc send job a1 deck-fetch\nw expect nothing\nd close")
        self.world.watches.append(new_watch)
        self.play("d expect watch 0\nd send changes 3 w1=up\nwait 100\nw expect POST a1")
        self.assertEqual(3, self.world.app.discovery.index)

    def test_a_faulty_file_changes_nothing_and_its_key_is_logged(self) -> None:
        self.play("""
            d expect watch 41
            hup send discovery=nowhere
            log expect reload nothing changed: discovery
            hup send discovery=127.0.0.1:2 seed=xyz
            log expect reload nothing changed: seed
            d expect nothing
            hup send seed=6 name=n2
            log expect reload only a restart changes name
            d expect watch 0
        """)

    def test_repeated_reloads_unchanged_files_and_a_shutdown_in_progress(self) -> None:
        self.play("""
            d expect watch 41
            d send beat
            hup send
            d expect nothing
            c send job a1 deck-build
            w expect POST a1
            w send 202
            term send
            hup send discovery=127.0.0.1:2
            hup send discovery=127.0.0.1:3
            hup send
        """)
        self.assertEqual([False, True, False], [peer.wire.shut for peer in self.world.watches])
        self.play("""
            d send changes 9 w1=up
            wait 800
            w send call done a1 hello
            c expect 200 hello
            c close
            wait 1200
            term expect exit
        """)
        self.assertTrue(all(peer.wire.shut for peer in self.world.watches))

    def test_a_move_does_not_wait_for_earlier_failures(self) -> None:
        """Guards against a call being opened, or a backoff after a failure, delaying the move."""
        self.play("d expect watch 41\nd close silent\nd close\nwait 1000")
        del self.world.shut["d"]
        self.play("hup send discovery=127.0.0.1:2\nd expect watch 0")

    def test_new_limits_apply_at_once(self) -> None:
        self.begin()
        old_threshold = self.world.app.server.shedding_threshold
        self.world.raw["limits"] = {"sockets": 128, "memory_mb": 64}
        self.play("hup send")
        self.assertLess(self.world.app.server.shedding_threshold, old_threshold / 4)
        self.assertEqual(5 * 1024 * 1024, self.world.app.server.kept_bytes_limit)


class Lists(Scenario):
    """The watch of discovery and the lists that it sends."""

    def test_the_watch_starts_from_the_known_list_and_resumes(self) -> None:
        self.play("""
            d expect watch 41
            d send changes 44 w2=up
            d close
            wait 400
            d expect watch 44
        """)
        self.assertEqual({"w1", "w2"}, set(self.world.app.discovery.addresses))

    def test_a_silent_watch_is_closed_and_opened_again(self) -> None:
        """Guards the rule on drains: a silent watch must not hide a change for 6 s."""
        self.play("""
            d expect watch 41
            d send beat
            wait 2000
            d send beat
            wait 2400
            d expect nothing
            wait 400
            d expect watch 41
            log expect watch silent
        """)

    def test_a_malformed_list_ends_the_watch(self) -> None:
        for n, bad in enumerate(("{oops", '{"index":1}', '{"index":1,"endpoints":[{"name":"x"}]}', "[1]")):
            self.begin()
            self.play("d expect watch 41\nd send beat")
            self.play(f"d send raw {len(bad) + 1:x}\\r\\n{bad}\\n\\r\\nwait 400".replace("wait", "\nwait"))
            with self.subTest(case=n):
                self.play("d expect watch 41\nlog expect watch bad-list")

    def test_discovery_that_is_down_is_called_again(self) -> None:
        self.play("""
            d expect watch 41
            d close listener
            d close
            wait 3000
            log expect watch no-discovery
        """)
        del self.world.shut["d"]
        for _ in range(25):  # 2.5 s: an unanswered call is made a second time 2 s later
            self.play("wait 100")
            if any(peer.messages for peer in self.world.watches):
                break
        self.play("d expect watch 41")

    def test_nothing_new_goes_to_a_draining_worker_and_its_jobs_finish(self) -> None:
        self.play("""
            d send beat
            c send job a1 deck-build
            w expect POST a1
            w send 202
            d send changes 42 w1=draining
            c2 send job a2 deck-fetch
            w expect nothing
            w send call done a1 hello
            c expect 200 hello
            w expect nothing
            wait 3000
            c2 expect 503
        """)
