"""The engine enforces its rules even if the decisions request forbidden actions."""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from elderstall.deadlines import Deadlines
from elderstall.engine import Engine, RepeatedIdError
from elderstall.interface import (
    Action,
    AttemptEnded,
    Effect,
    Ending,
    Endpoint,
    Event,
    JobClass,
    JobTakenOver,
    ListScope,
    RejectJob,
    SendAttempt,
    Settings,
    TimerFired,
    WorkerState,
)
from elderstall.log import Log
from elderstall.messages import Answer, Failed, JobRequest, Outcome, Rejected, Served

CLASSES = (
    JobClass("safe", 1.0, 100.0, 2_000.0),
    JobClass("unsafe", 1.0, 100.0, 2_000.0, Effect.NOT_IDEMPOTENT),
)


class AttemptTransport:
    """Records attempts, cancels and polls; the test fires their Deferreds."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Deferred[Outcome | None]]] = []
        self.cancels: list[Deferred[bool]] = []
        self.probes: list[tuple[str, Deferred[Outcome]]] = []

    def send(
        self,
        worker: str,
        request: JobRequest,
        ends_at: float,
        on_progress: Callable[[float, str], None],
        forbidden_by: Callable[[], str | None],
    ) -> Deferred[Outcome | None]:
        done: Deferred[Outcome | None] = Deferred()
        self.sent.append((worker, done))
        return done

    def cancel_job(self, worker: str, request_id: str, confirmation_required: bool = True) -> Deferred[bool]:
        self.cancels.append(Deferred())
        return self.cancels[-1]

    def poll_load(self, worker: str) -> Deferred[Outcome]:
        done: Deferred[Outcome] = Deferred()
        self.probes.append((worker, done))
        return done

    def close_pool(self, worker: str) -> None:
        pass


class Client:
    """Records its answers."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self.gone = False

    def answered(self, answer: Answer) -> None:
        self.answers.append(answer)

    def progressed(self, share: float, text: str) -> None:
        pass

    def is_connected(self) -> bool:
        return not self.gone


class EngineCase(unittest.TestCase):
    """An engine with one job, whose decisions the test replaces."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.transport = AttemptTransport()
        self.client = Client()
        deadlines = Deadlines(self.clock, self.clock.seconds, 0.0)
        log = Log(deadlines.now)
        log.print = lambda now, code, text: None  # type: ignore[method-assign]
        self.engine = Engine(Settings(CLASSES, max_attempts=2), 1, deadlines, self.transport, log)
        self.events: list[Event] = []
        self.requested: list[Action] = []
        self.engine.decisions.handle = self.handle  # type: ignore[method-assign]
        self.engine.endpoints.handle_list_update(ListScope.WHOLE, (Endpoint("w"), Endpoint("v")))

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append(event)
        actions = self.requested
        self.requested = []
        return actions

    def job(self, job_class: str) -> int:
        return self.engine.accept(JobRequest("a1", job_class, 2_000.0, None), self.client)

    def request(self, *actions: Action) -> None:
        self.requested = list(actions)
        self.engine.feed.feed(TimerFired(9))

    def never_sent(self) -> int:
        ends = [e for e in self.events if isinstance(e, AttemptEnded)]
        return sum(e.ending is Ending.NEVER_SENT for e in ends)


class Rules(EngineCase):
    """Actions against the rules are not carried out."""

    def test_second_attempt_unknown_worker_and_excess_attempt_are_not_sent(self) -> None:
        job = self.job("safe")
        self.request(SendAttempt(job, "nobody"), SendAttempt(job, "w"), SendAttempt(job, "v"))
        self.assertEqual(["w"], [worker for worker, _ in self.transport.sent])
        self.assertEqual(2, self.never_sent())

    def test_nothing_is_sent_to_a_draining_worker(self) -> None:
        job = self.job("safe")
        self.engine.endpoints.handle_list_update(
            ListScope.CHANGES, (Endpoint("w", state=WorkerState.DRAINING),)
        )
        self.engine.endpoints.handle_list_update(
            ListScope.WHOLE, (Endpoint("w", state=WorkerState.DRAINING),)
        )
        self.clock.advance(1.0)
        self.engine.endpoints.handle_list_update(ListScope.CHANGES, (Endpoint("w", state=WorkerState.GONE),))
        self.clock.advance(0.6)  # the later update does not restart the grace period
        self.request(SendAttempt(job, "w"), SendAttempt(job, "v"))
        self.assertEqual(([], 2), (self.transport.sent, self.never_sent()))

    def test_the_grace_period_of_draining_workers_follows_the_settings(self) -> None:
        """The grace period was fixed, where a deployment's settings may allow only 500 ms."""
        self.engine.change_settings(Settings(CLASSES, max_attempts=2, stop_sending_within=500.0), 8.0, 100)
        job = self.job("safe")
        self.engine.endpoints.handle_list_update(
            ListScope.CHANGES, (Endpoint("w", state=WorkerState.DRAINING),)
        )
        self.clock.advance(0.4)
        self.request(SendAttempt(job, "w"))
        self.assertEqual(([], 1), (self.transport.sent, self.never_sent()))

    def test_an_unsafe_job_that_may_have_run_is_neither_sent_nor_rejected(self) -> None:
        job = self.job("unsafe")
        self.request(SendAttempt(job, "w"))
        self.transport.sent[0][1].callback(Outcome(Ending.BROKEN))
        self.request(SendAttempt(job, "v"), RejectJob(job, 100.0))
        self.assertEqual((1, [Failed()]), (len(self.transport.sent), self.client.answers))

    def test_an_unsafe_job_that_never_ran_is_rejected_with_the_retry_time_of_the_decisions(self) -> None:
        job = self.job("unsafe")
        self.request(SendAttempt(job, "w"))
        self.transport.sent[0][1].callback(Outcome(Ending.FULL))
        self.request(RejectJob(job, 100.0), RejectJob(job, 5.0), SendAttempt(job, "v"))
        self.assertEqual((1, [Rejected(100.0)]), (len(self.transport.sent), self.client.answers))

    def test_the_next_attempt_waits_until_the_cancel_of_the_last_one_is_confirmed(self) -> None:
        job = self.job("safe")
        self.request(SendAttempt(job, "w", 300.0))
        self.transport.sent[0][1].callback(None)
        self.clock.advance(0.31)
        self.request(SendAttempt(job, "v"))
        self.assertEqual((1, 1), (len(self.transport.sent), len(self.transport.cancels)))
        self.transport.cancels[0].callback(True)
        self.assertEqual(["w", "v"], [worker for worker, _ in self.transport.sent])
        self.transport.sent[1][1].callback(Outcome(Ending.SERVED, b"deck"))
        self.assertEqual([Served(b"deck")], self.client.answers)

    def test_if_the_cancel_is_not_confirmed_the_job_is_not_sent_again(self) -> None:
        """The worker may still run the job, so that another attempt could be a duplicate execution."""
        job = self.job("safe")
        self.request(SendAttempt(job, "w", 300.0))
        self.transport.sent[0][1].callback(None)
        self.clock.advance(0.31)
        self.request(SendAttempt(job, "v"))
        self.transport.cancels[0].callback(False)
        self.assertEqual(["w"], [worker for worker, _ in self.transport.sent])
        self.assertEqual([Rejected()], self.client.answers)
        self.assertEqual(1, self.never_sent())

    def test_a_send_deferred_for_a_cancel_ends_with_its_job(self) -> None:
        """Without an end, the decisions would count it as in flight, and its slot as used, for ever."""
        job = self.job("safe")
        self.request(SendAttempt(job, "w", 300.0))
        self.transport.sent[0][1].callback(None)
        self.clock.advance(0.31)
        self.request(SendAttempt(job, "v"))
        self.engine.client_disconnected(job)
        ends = [e for e in self.events if isinstance(e, AttemptEnded) and e.number == 1]
        self.assertEqual([("v", Ending.NEVER_SENT, True)], [(e.worker, e.ending, e.final) for e in ends])
        self.transport.cancels[0].callback(True)
        self.assertEqual(1, len(self.transport.sent))

    def test_a_client_that_is_found_disconnected_at_the_send_ends_its_job(self) -> None:
        job = self.job("safe")
        self.client.gone = True
        self.request(SendAttempt(job, "w"))
        self.assertEqual(([], [], 1), (self.transport.sent, self.client.answers, self.never_sent()))
        self.assertEqual(0, len(self.engine.jobs))

    def test_a_ban_does_not_count_as_a_list_update(self) -> None:
        self.engine.endpoints.started = True
        self.engine.endpoints.handle_list_update(ListScope.CHANGES, (Endpoint("w"),))
        self.clock.advance(1.0)
        self.engine.endpoints.ban("w")
        self.assertEqual(1_000.0, self.engine.figures().list_age)

    def test_after_an_exception_in_the_transport_the_job_may_have_run(self) -> None:
        job = self.job("unsafe")
        self.request(SendAttempt(job, "w"))
        self.requested = [RejectJob(job)]
        self.transport.sent[0][1].errback(RuntimeError("odd"))
        self.assertEqual([Failed()], self.client.answers)


class Transfers(EngineCase):
    """A job is transferred to the successor."""

    def transfer_to_successor(self, job_class: str) -> tuple[Engine, list[Event]]:
        number = self.job(job_class)
        self.assertIsNotNone(self.engine.jobs.get(number))
        self.request(SendAttempt(number, "w"))
        self.assertIsNone(self.engine.export_job(number), "not yet accepted by its worker")
        self.transport.sent[-1][1].callback(None)
        return self.import_into_successor(number)

    def exported(self, number: int) -> dict[str, Any]:
        """Release a job and return the message."""
        transfer = self.engine.export_job(number)
        assert transfer is not None
        return self.engine.encode_transfer(transfer)

    def import_into_successor(self, number: int) -> tuple[Engine, list[Event]]:
        state = json.loads(json.dumps(self.exported(number)))
        self.assertEqual((0, False), (len(self.engine.jobs), self.engine.jobs.is_known("a1")))
        deadlines = self.engine.deadlines
        other = Engine(Settings(CLASSES, max_attempts=2), 2, deadlines, self.transport, self.engine.log)
        events: list[Event] = []
        other.decisions.handle = lambda now, event: events.append(event) or []  # type: ignore
        other.endpoints.handle_list_update(ListScope.WHOLE, (Endpoint("w"), Endpoint("v")))
        other.jobs.taken_by_other_process.add("a1")
        other.import_job(other.decode_transfer(state), None, self.client)
        return other, events

    def test_its_attempt_goes_on_there_and_its_client_is_answered_once(self) -> None:
        other, events = self.transfer_to_successor("unsafe")
        self.assertEqual(["w"], [e.worker for e in events if isinstance(e, JobTakenOver)])
        with self.assertRaises(RepeatedIdError):
            self.engine.accept(JobRequest("a1", "unsafe", 2_000.0, None), self.client)
        live = other.jobs.live_attempt("a1", "w")
        assert live is not None
        other.attempts.worker_ended(live, Outcome(Ending.SERVED, b"deck"))
        self.clock.advance(10)
        self.assertEqual([Served(b"deck")], self.client.answers)

    def test_there_it_is_not_sent_again_if_it_may_have_run(self) -> None:
        other, _ = self.transfer_to_successor("unsafe")
        live = other.jobs.live_attempt("a1", "w")
        assert live is not None
        other.attempts.worker_ended(live, Outcome(Ending.BROKEN))
        job = other.jobs.by_request_id["a1"]
        other.attempts.send(SendAttempt(job.number, "v"))
        self.assertEqual(1, len(self.transport.sent))
        other.answers.reject(RejectJob(job.number))
        self.assertEqual([Failed()], self.client.answers)

    def test_its_attempt_times_out_there(self) -> None:
        other, events = self.transfer_to_successor("unsafe")
        self.clock.advance(2.1)
        self.assertIn(Ending.TIMED_OUT, [e.ending for e in events if isinstance(e, AttemptEnded)])
        self.assertEqual(1, len(self.client.answers))
        self.assertEqual(1, len(self.transport.cancels))

    def test_a_worker_that_returned_it_does_not_restrict_it_there(self) -> None:
        """Rule 2 restricts a keyed job to where it may have run; a job that never ran may go anywhere."""
        number = self.job("safe")
        self.request(SendAttempt(number, "w"))
        self.transport.sent[-1][1].callback(None)
        live = self.engine.jobs.live_attempt("a1", "w")
        assert live is not None
        self.engine.attempts.worker_ended(live, Outcome(Ending.FULL))
        other, events = self.import_into_successor(number)
        self.assertEqual([None], [e.ran_on for e in events if isinstance(e, JobTakenOver)])
        self.assertEqual({"w"}, other.jobs.by_request_id["a1"].returned_by)

    def test_with_its_client_disconnected_it_is_cancelled_on_its_worker(self) -> None:
        number = self.job("unsafe")
        self.request(SendAttempt(number, "w"))
        self.transport.sent[-1][1].callback(None)
        state = self.engine.export_job(number)
        assert state is not None
        self.engine.abandon_transfer(state)
        self.assertEqual(1, len(self.transport.cancels))
