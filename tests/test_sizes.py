"""1,024 workers and as many dispatchers, in settings and lists: chosen from, dropped and replaced."""

from __future__ import annotations

import json
import tracemalloc
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from elderstall import Dispatcher
from elderstall.config import config_of
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

MANY = 1_024
CLASSES = (
    JobClass("fetch", 2.0, 250.0, 5_000.0, stretch=2.0),
    JobClass("purchase", 10.0, 150.0, 5_000.0, Effect.NOT_IDEMPOTENT, stretch=1.75),
)
MEMORY = 8 * 1024 * 1024  # bytes that 1,024 workers may take of the module, beside the program's 24 MB


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


def whole(numbers: range, indent: int | None = None) -> str:
    return json.dumps({"index": 1, "snapshot": True, "endpoints": [entry(n) for n in numbers]}, indent=indent)


def module(workers: int, dispatchers: int, rank: int) -> Dispatcher:
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
    _, scope, pairs = parse_list(json.loads(whole(range(workers))), False)
    d.handle(0.0, EndpointListUpdate(scope, tuple(listed for listed, _ in pairs)))
    return d


def served(d: Dispatcher, job: int, now: float) -> int:
    """Bring one job and answer what is asked; give how many attempts it had."""
    todo = d.handle(now, JobArrived(job, "purchase" if job % 5 == 0 else "fetch", 5_000.0, work_hint=120.0))
    sent = 0
    while todo:
        action = todo.pop(0)
        if isinstance(action, PollLoad):
            todo += d.handle(now + 2.0, LoadPolled(action.worker, Ending.SERVED, (2.0,)))
        elif isinstance(action, SendAttempt):
            sent += 1
            assert d.endpoints.workers[action.worker].up
            todo += d.handle(now + 130.0, AttemptEnded(job, 0, action.worker, Ending.SERVED, final=True))
    return sent


class Sizes(unittest.TestCase):
    def test_a_file_names_1024_workers_and_as_many_dispatchers(self) -> None:
        raw = platform(sockets=256)
        raw["settings"]["balancers"], raw["settings"]["rank"] = MANY, MANY - 1
        raw["known"] = json.loads(whole(range(MANY)))
        config = config_of(raw, {})
        self.assertEqual(MANY, config.settings.dispatchers)
        self.assertLess(config.worker_connections, MANY)  # fewer than workers; see test_wire.py

    def test_six_in_ten_of_1024_workers_are_dropped_and_replaced_in_bounded_memory(self) -> None:
        tracemalloc.start()
        try:
            d = module(MANY, MANY, MANY - 1)
            self.assertEqual(60, sum(served(d, n, 100.0 + 10 * n) for n in range(60)))
            gone = range(0, MANY * 6 // 10)
            new = range(2_000, 2_000 + len(gone))
            steps = (("terminating", gone, 0), ("in_service", new, 1), ("terminated", gone, 0))
            for state, numbers, since in steps:
                told = {"index": 2, "snapshot": False, "endpoints": [entry(n, state, since) for n in numbers]}
                _, scope, pairs = parse_list(json.loads(json.dumps(told)), False)
                d.handle(5_000.0, EndpointListUpdate(scope, tuple(listed for listed, _ in pairs)))
            self.assertEqual(MANY, sum(w.up for w in d.endpoints.workers.values()))
            self.assertEqual(60, sum(served(d, 100 + n, 20_000.0 + 10 * n) for n in range(60)))
            self.assertLess(tracemalloc.get_traced_memory()[1], MEMORY)
        finally:
            tracemalloc.stop()

    @settings(max_examples=15, deadline=None)
    @given(st.integers(1, MANY), st.integers(1, MANY), st.integers(0, 2**16))
    def test_any_size_serves(self, workers: int, dispatchers: int, rank: int) -> None:
        d = module(workers, dispatchers, rank % dispatchers)
        self.assertEqual(20, sum(served(d, n, 100.0 + 200 * n) for n in range(20)))

    def test_a_watch_takes_lists_of_1024_indented_or_not_in_pieces_of_any_size(self) -> None:
        plain = whole(range(MANY))
        for indent, size in ((None, 1_000), (1, 1), (2, 4_096), (None, 10**6)):
            lines, got = JsonLines(MAX_LIST_BYTES), []
            data = (whole(range(MANY), indent) + "\n\n" + plain + "\n").encode()
            for at in range(0, len(data), size):
                got += list(lines.feed(data[at : at + size]))
            self.assertEqual([json.loads(plain), None, json.loads(plain)], got)

    @given(st.integers(1, 400), st.sampled_from((None, 1)))
    def test_a_list_broken_off_is_refused_at_the_next_sign_of_life_at_the_latest(
        self, kept: int, indent: int | None
    ) -> None:
        lines = JsonLines(MAX_LIST_BYTES)
        text = whole(range(3), indent)[:kept].strip()
        try:
            json.loads(text)
        except ValueError:
            with self.assertRaises(ValueError):
                list(lines.feed(text.encode() + b"\n\n"))

    @given(st.binary(max_size=200))
    def test_any_bytes_are_values_or_an_error_of_value(self, data: bytes) -> None:
        lines = JsonLines(100)
        try:
            list(lines.feed(data))
        except (ValueError, RecursionError):
            return
        self.assertLessEqual(len(lines.text) + len(lines.rest), 100)


if __name__ == "__main__":
    unittest.main()
