"""1,024 workers and as many dispatchers, in settings and endpoint lists: used, removed and replaced."""

from __future__ import annotations

import json
import tracemalloc
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from elderstall import Dispatcher
from elderstall.config import parse_config
from elderstall.interface import (
    AttemptEnded,
    Effect,
    Ending,
    EndpointListUpdate,
    JobArrived,
    JobClass,
    LoadPolled,
    PollLoad,
    SendAttempt,
    Settings,
    Started,
)
from elderstall.net.discovery import MAX_LIST_BYTES, parse_list
from elderstall.net.jsonlines import JsonLines
from tests.scenario import platform

FLEET_SIZE = 1_024
CLASSES = (
    JobClass("fetch", 2.0, 250.0, 5_000.0, stretch=2.0),
    JobClass("purchase", 10.0, 150.0, 5_000.0, Effect.NOT_IDEMPOTENT, stretch=1.75),
)
MAX_MEMORY_BYTES = 8 * 1024 * 1024  # of the decisions for 1,024 workers, beside the process's 24 MB


def entry(n: int, status: str = "in_service", since: int = 0) -> dict[str, object]:
    return {
        "name": f"s-{n:05x}",
        "address": f"127.1.{n % 65536 // 256}.{n % 256}:3000",
        "zone": "z",
        "type": "k",
        "group": n % 9,
        "status": status,
        "weight": 1.0,
        "since_ms": since,
    }


def whole_list(numbers: range, indent: int | None = None) -> str:
    return json.dumps({"index": 1, "snapshot": True, "endpoints": [entry(n) for n in numbers]}, indent=indent)


def dispatcher_with(workers: int, dispatchers: int, rank: int) -> Dispatcher:
    d = Dispatcher(
        Settings(
            CLASSES,
            dispatchers=dispatchers,
            rank=rank,
            max_attempts=5,
            report_free_slots=0,
            probes=True,
            connect_timeout=250.0,
            tick=2.0,
            slow_start_share=0.4,
            slow_start_duration=5_000.0,
            slow_start_multiple=4.0,
        ),
        rank,
    )
    d.handle(0.0, Started())
    _, scope, pairs = parse_list(json.loads(whole_list(range(workers))), False)
    d.handle(0.0, EndpointListUpdate(scope, tuple(listed for listed, _ in pairs)))
    return d


def attempts_of_job(d: Dispatcher, job: int, now: float) -> int:
    """Run one job and answer its polls and attempts; return the number of attempts."""
    pending = d.handle(
        now, JobArrived(job, "purchase" if job % 5 == 0 else "fetch", 5_000.0, work_hint=120.0)
    )
    attempts = 0
    while pending:
        action = pending.pop(0)
        if isinstance(action, PollLoad):
            pending += d.handle(now + 2.0, LoadPolled(action.worker, Ending.SERVED, (2.0,)))
        elif isinstance(action, SendAttempt):
            attempts += 1
            assert d.endpoints.workers[action.worker].up
            pending += d.handle(now + 130.0, AttemptEnded(job, 0, action.worker, Ending.SERVED, final=True))
    return attempts


class Sizes(unittest.TestCase):
    def test_a_settings_file_may_have_1024_workers_and_as_many_dispatchers(self) -> None:
        raw = platform(sockets=256)
        raw["settings"]["balancers"], raw["settings"]["rank"] = FLEET_SIZE, FLEET_SIZE - 1
        raw["known"] = json.loads(whole_list(range(FLEET_SIZE)))
        config = parse_config(raw, {})
        self.assertEqual(FLEET_SIZE, config.settings.dispatchers)
        self.assertLess(config.worker_connections, FLEET_SIZE)  # fewer than workers; see test_wire.py

    def test_replacing_60_percent_of_1024_workers_needs_bounded_memory(self) -> None:
        tracemalloc.start()
        try:
            d = dispatcher_with(FLEET_SIZE, FLEET_SIZE, FLEET_SIZE - 1)
            self.assertEqual(60, sum(attempts_of_job(d, n, 100.0 + 10 * n) for n in range(60)))
            gone = range(0, FLEET_SIZE * 6 // 10)
            new = range(2_000, 2_000 + len(gone))
            steps = (("terminating", gone, 0), ("in_service", new, 1), ("terminated", gone, 0))
            for state, numbers, since in steps:
                update = {
                    "index": 2,
                    "snapshot": False,
                    "endpoints": [entry(n, state, since) for n in numbers],
                }
                _, scope, pairs = parse_list(json.loads(json.dumps(update)), False)
                d.handle(5_000.0, EndpointListUpdate(scope, tuple(listed for listed, _ in pairs)))
            self.assertEqual(FLEET_SIZE, sum(w.up for w in d.endpoints.workers.values()))
            self.assertEqual(60, sum(attempts_of_job(d, 100 + n, 20_000.0 + 10 * n) for n in range(60)))
            self.assertLess(tracemalloc.get_traced_memory()[1], MAX_MEMORY_BYTES)
        finally:
            tracemalloc.stop()

    @settings(max_examples=15, deadline=None)
    @given(st.integers(1, FLEET_SIZE), st.integers(1, FLEET_SIZE), st.integers(0, 2**16))
    def test_jobs_are_served_at_any_size(self, workers: int, dispatchers: int, rank: int) -> None:
        d = dispatcher_with(workers, dispatchers, rank % dispatchers)
        self.assertEqual(20, sum(attempts_of_job(d, n, 100.0 + 200 * n) for n in range(20)))

    def test_lists_of_1024_workers_are_parsed_indented_or_not_from_pieces_of_any_size(self) -> None:
        plain = whole_list(range(FLEET_SIZE))
        for indent, size in ((None, 1_000), (1, 1), (2, 4_096), (None, 10**6)):
            lines = JsonLines(MAX_LIST_BYTES)
            values = []
            data = (whole_list(range(FLEET_SIZE), indent) + "\n\n" + plain + "\n").encode()
            for start in range(0, len(data), size):
                values += list(lines.feed(data[start : start + size]))
            self.assertEqual([json.loads(plain), None, json.loads(plain)], values)

    @given(st.integers(1, 400), st.sampled_from((None, 1)))
    def test_an_incomplete_list_is_refused_at_the_next_keep_alive_at_the_latest(
        self, kept: int, indent: int | None
    ) -> None:
        lines = JsonLines(MAX_LIST_BYTES)
        text = whole_list(range(3), indent)[:kept].strip()
        try:
            json.loads(text)
        except ValueError:
            with self.assertRaises(ValueError):
                list(lines.feed(text.encode() + b"\n\n"))

    @given(st.binary(max_size=200))
    def test_any_bytes_yield_values_or_raise_a_value_error(self, data: bytes) -> None:
        lines = JsonLines(100)
        try:
            list(lines.feed(data))
        except (ValueError, RecursionError):
            return
        self.assertLessEqual(len(lines.text) + len(lines.rest), 100)


if __name__ == "__main__":
    unittest.main()
