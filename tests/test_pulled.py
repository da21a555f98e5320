"""Polls of workers that report their load only when polled, in small fleets, when a job is queued."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from elderstall import Dispatcher
from elderstall.decisions.capacity import MAX_ATTEMPTS_PER_WORKER
from elderstall.decisions.polling import WORKERS_POLLED_FOR_QUEUED
from elderstall.interface import (
    Ending,
    Endpoint,
    EndpointListUpdate,
    JobArrived,
    JobClass,
    ListScope,
    LoadPolled,
    PollLoad,
    SendAttempt,
    Settings,
    Started,
)
from elderstall.settings import parse_settings

CLASSES = (JobClass("build", 3.0, 300.0, 5_000.0, stretch=1.75),)


def module(workers: int, reports_only_when_polled: bool = True, dispatchers: int = 2) -> Dispatcher:
    d = Dispatcher(
        Settings(
            CLASSES,
            dispatchers=dispatchers,
            max_attempts=6,
            report_free_slots=0,
            probes=True,
            reports_only_when_polled=reports_only_when_polled,
            connect_timeout=250.0,
            tick=2.0,
        ),
        1,
    )
    d.handle(0.0, Started())
    d.handle(0.0, EndpointListUpdate(ListScope.WHOLE, tuple(Endpoint(f"w{n}", "k") for n in range(workers))))
    return d


def burst(d: Dispatcher, jobs: int, now: float, free: float | None) -> tuple[int, int]:
    """Let jobs arrive at one moment and answer polls; return the numbers of attempts sent and of polls."""
    sent = polls = 0
    for job in range(jobs):
        todo = d.handle(now, JobArrived(job, "build", 5_000.0, work_hint=400.0))
        while todo:
            action = todo.pop(0)
            if isinstance(action, SendAttempt):
                sent += 1
            elif isinstance(action, PollLoad):
                polls += 1
                if free is not None:
                    todo += d.handle(now, LoadPolled(action.worker, Ending.SERVED, (free,)))
    return sent, polls


class PolledForQueued(unittest.TestCase):
    def test_a_busy_dispatcher_sends_more_than_one_job_to_workers_that_report_free_slots(self) -> None:
        """Without polls, no report would ever show more than one slot of such a worker."""
        sent, polls = burst(module(9), 16, 1_000.0, 3.0)
        self.assertEqual(16, sent)
        self.assertGreater(polls, 0)
        self.assertEqual((9, 0), burst(module(9, reports_only_when_polled=False), 16, 1_000.0, 3.0))

    def test_nothing_is_polled_while_slots_are_free(self) -> None:
        self.assertEqual((9, 0), burst(module(9), 9, 1_000.0, 3.0))

    @settings(max_examples=40, deadline=None)
    @given(st.integers(1, 40), st.integers(1, 120), st.floats(0.0, 4.0))
    def test_polls_and_jobs_per_worker_are_bounded(self, workers: int, jobs: int, free: float) -> None:
        d = module(workers)
        sent, polls = burst(d, jobs, 1_000.0, free)
        self.assertLessEqual(polls, workers)  # at one moment: one poll of each in REPORT_FRESH_MS
        self.assertLessEqual(polls, WORKERS_POLLED_FOR_QUEUED * max(0, jobs))
        self.assertLessEqual(
            max(w.slots_in_flight for w in d.endpoints.workers.values()), MAX_ATTEMPTS_PER_WORKER
        )
        if free < 0.9:
            self.assertLessEqual(sent, workers)

    def test_a_worker_that_never_answers_delays_nothing_else(self) -> None:
        sent, polls = burst(module(9), 30, 1_000.0, None)
        self.assertEqual((9, 9), (sent, polls))

    def test_the_settings_determine_how_reports_arrive(self) -> None:
        raw = {
            "classes": [{"name": "a", "points": 1, "aim": 100, "deadline": 1000, "effect": "safe"}],
            "balancers": 2,
            "load_report": {"fields": ["x0"], "source": "pull"},
        }
        self.assertTrue(parse_settings(raw).reports_only_when_polled)
        raw["load_report"] = {"fields": ["x0"], "source": "piggyback"}
        self.assertFalse(parse_settings(raw).reports_only_when_polled)


if __name__ == "__main__":
    unittest.main()
