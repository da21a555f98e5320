"""The rules that the core keeps, whatever it is asked for: the module here asks for the wrong things."""

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
    """Notes what it is given; the test ends it."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Deferred[Outcome | None]]] = []
        self.recalls: list[Deferred[bool]] = []
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
        self.recalls.append(Deferred())
        return self.recalls[-1]

    def probe(self, worker: str) -> Deferred[Outcome]:
        done: Deferred[Outcome] = Deferred()
        self.probes.append((worker, done))
        return done

    def drop_idle(self, worker: str) -> None:
        pass


class Client:
    """Keeps its answers."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self.gone = False

    def answered(self, answer: Answer) -> None:
        self.answers.append(answer)

    def progressed(self, share: float, text: str) -> None:
        pass

    def is_connected(self) -> bool:
        return not self.gone


class One(unittest.TestCase):
    """One job, and a module that the test speaks for."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.carrier = AttemptTransport()
        self.client = Client()
        deadlines = Deadlines(self.clock, self.clock.seconds, 0.0)
        log = Log(deadlines.now)
        log.print = lambda now, code, text: None  # type: ignore[method-assign]
        self.engine = Engine(Settings(CLASSES, max_attempts=2), 1, deadlines, self.carrier, log)
        self.events: list[Event] = []
        self.asked: list[Action] = []
        self.engine.decisions.handle = self.handle  # type: ignore[method-assign]
        self.engine.endpoints.take(ListScope.WHOLE, (Endpoint("w"), Endpoint("v")))

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append(event)
        actions = self.asked
        self.asked = []
        return actions

    def job(self, job_class: str) -> int:
        return self.engine.accept(JobRequest("a1", job_class, 2_000.0, None), self.client)

    def ask(self, *actions: Action) -> None:
        self.asked = list(actions)
        self.engine.feed.feed(TimerFired(9))

    def never_sent(self) -> int:
        ends = [e for e in self.events if isinstance(e, AttemptEnded)]
        return sum(e.ending is Ending.NEVER_SENT for e in ends)


class Rules(One):
    """What the module asks for against the rules is not done."""

    def test_no_second_copy_no_unknown_worker_no_attempt_too_many(self) -> None:
        job = self.job("safe")
        self.ask(SendAttempt(job, "nobody"), SendAttempt(job, "w"), SendAttempt(job, "v"))
        self.assertEqual(["w"], [worker for worker, _ in self.carrier.sent])
        self.assertEqual(2, self.never_sent())

    def test_nothing_goes_to_a_worker_told_draining(self) -> None:
        job = self.job("safe")
        self.engine.endpoints.take(ListScope.CHANGES, (Endpoint("w", state=WorkerState.DRAINING),))
        self.engine.endpoints.take(ListScope.WHOLE, (Endpoint("w", state=WorkerState.DRAINING),))
        self.clock.advance(1.0)
        self.engine.endpoints.take(ListScope.CHANGES, (Endpoint("w", state=WorkerState.GONE),))
        self.clock.advance(0.6)  # the later news does not set the clock back
        self.ask(SendAttempt(job, "w"), SendAttempt(job, "v"))
        self.assertEqual(([], 2), (self.carrier.sent, self.never_sent()))

    def test_the_time_for_drains_is_that_of_the_settings(self) -> None:
        """A deployment may allow 500 ms; the core held each to what the first one allows."""
        self.engine.change_settings(Settings(CLASSES, max_attempts=2, stop_sending_within=500.0), 8.0, 100)
        job = self.job("safe")
        self.engine.endpoints.take(ListScope.CHANGES, (Endpoint("w", state=WorkerState.DRAINING),))
        self.clock.advance(0.4)
        self.ask(SendAttempt(job, "w"))
        self.assertEqual(([], 1), (self.carrier.sent, self.never_sent()))

    def test_an_unsafe_job_that_may_have_run_is_neither_sent_nor_refused(self) -> None:
        job = self.job("unsafe")
        self.ask(SendAttempt(job, "w"))
        self.carrier.sent[0][1].callback(Outcome(Ending.BROKEN))
        self.ask(SendAttempt(job, "v"), RejectJob(job, 100.0))
        self.assertEqual((1, [Failed()]), (len(self.carrier.sent), self.client.answers))

    def test_an_unsafe_job_that_never_ran_is_refused_with_the_modules_advice(self) -> None:
        job = self.job("unsafe")
        self.ask(SendAttempt(job, "w"))
        self.carrier.sent[0][1].callback(Outcome(Ending.FULL))
        self.ask(RejectJob(job, 100.0), RejectJob(job, 5.0), SendAttempt(job, "v"))
        self.assertEqual((1, [Rejected(100.0)]), (len(self.carrier.sent), self.client.answers))

    def test_the_next_attempt_waits_until_the_worker_knows_of_the_last_ones_end(self) -> None:
        job = self.job("safe")
        self.ask(SendAttempt(job, "w", 300.0))
        self.carrier.sent[0][1].callback(None)
        self.clock.advance(0.31)
        self.ask(SendAttempt(job, "v"))
        self.assertEqual((1, 1), (len(self.carrier.sent), len(self.carrier.recalls)))
        self.carrier.recalls[0].callback(True)
        self.assertEqual(["w", "v"], [worker for worker, _ in self.carrier.sent])
        self.carrier.sent[1][1].callback(Outcome(Ending.SERVED, b"deck"))
        self.assertEqual([Served(b"deck")], self.client.answers)

    def test_where_the_worker_cannot_be_told_the_job_is_not_sent_again(self) -> None:
        """The worker may have the job still: the next attempt would be a second copy."""
        job = self.job("safe")
        self.ask(SendAttempt(job, "w", 300.0))
        self.carrier.sent[0][1].callback(None)
        self.clock.advance(0.31)
        self.ask(SendAttempt(job, "v"))
        self.carrier.recalls[0].callback(False)
        self.assertEqual(["w"], [worker for worker, _ in self.carrier.sent])
        self.assertEqual([Rejected()], self.client.answers)
        self.assertEqual(1, self.never_sent())

    def test_a_send_that_waits_for_that_is_over_with_its_job(self) -> None:
        """The module counted it as out for ever, and its worker's slot as used."""
        job = self.job("safe")
        self.ask(SendAttempt(job, "w", 300.0))
        self.carrier.sent[0][1].callback(None)
        self.clock.advance(0.31)
        self.ask(SendAttempt(job, "v"))
        self.engine.client_disconnected(job)
        ends = [e for e in self.events if isinstance(e, AttemptEnded) and e.number == 1]
        self.assertEqual([("v", Ending.NEVER_SENT, True)], [(e.worker, e.ending, e.final) for e in ends])
        self.carrier.recalls[0].callback(True)
        self.assertEqual(1, len(self.carrier.sent))

    def test_a_client_found_gone_at_the_send_ends_its_job(self) -> None:
        job = self.job("safe")
        self.client.gone = True
        self.ask(SendAttempt(job, "w"))
        self.assertEqual(([], [], 1), (self.carrier.sent, self.client.answers, self.never_sent()))
        self.assertEqual(0, len(self.engine.jobs))

    def test_a_ban_is_no_news_of_discoverys(self) -> None:
        self.engine.endpoints.started = True
        self.engine.endpoints.take(ListScope.CHANGES, (Endpoint("w"),))
        self.clock.advance(1.0)
        self.engine.endpoints.ban("w")
        self.assertEqual(1_000.0, self.engine.figures().list_age)

    def test_a_carrier_that_fails_leaves_the_job_as_one_that_may_have_run(self) -> None:
        job = self.job("unsafe")
        self.ask(SendAttempt(job, "w"))
        self.asked = [RejectJob(job)]
        self.carrier.sent[0][1].errback(RuntimeError("odd"))
        self.assertEqual([Failed()], self.client.answers)


class Moves(One):
    """A job goes from one process to the next."""

    def moved(self, job_class: str) -> tuple[Engine, list[Event]]:
        number = self.job(job_class)
        self.assertIsNotNone(self.engine.jobs.get(number))
        self.ask(SendAttempt(number, "w"))
        self.assertIsNone(self.engine.export_job(number), "its worker has not confirmed it")
        self.carrier.sent[-1][1].callback(None)
        return self.next_process(number)

    def exported(self, number: int) -> dict[str, Any]:
        """Let go of a job; gives the message."""
        transfer = self.engine.export_job(number)
        assert transfer is not None
        return self.engine.encode_transfer(transfer)

    def next_process(self, number: int) -> tuple[Engine, list[Event]]:
        state = json.loads(json.dumps(self.exported(number)))
        self.assertEqual((0, False), (len(self.engine.jobs), self.engine.jobs.knows("a1")))
        deadlines = self.engine.deadlines
        other = Engine(Settings(CLASSES, max_attempts=2), 2, deadlines, self.carrier, self.engine.log)
        events: list[Event] = []
        other.decisions.handle = lambda now, event: events.append(event) or []  # type: ignore
        other.endpoints.take(ListScope.WHOLE, (Endpoint("w"), Endpoint("v")))
        other.jobs.taken_by_other_process.add("a1")
        other.import_job(other.decode_transfer(state), None, self.client)
        return other, events

    def test_its_attempt_goes_on_there_and_its_client_is_answered_once(self) -> None:
        other, events = self.moved("unsafe")
        self.assertEqual(["w"], [e.worker for e in events if isinstance(e, JobTakenOver)])
        with self.assertRaises(RepeatedIdError):
            self.engine.accept(JobRequest("a1", "unsafe", 2_000.0, None), self.client)
        live = other.jobs.live_attempt("a1", "w")
        assert live is not None
        other.attempts.worker_ended(live, Outcome(Ending.SERVED, b"deck"))
        self.clock.advance(10)
        self.assertEqual([Served(b"deck")], self.client.answers)

    def test_there_it_is_not_sent_again_if_it_may_have_run(self) -> None:
        other, _ = self.moved("unsafe")
        live = other.jobs.live_attempt("a1", "w")
        assert live is not None
        other.attempts.worker_ended(live, Outcome(Ending.BROKEN))
        job = other.jobs.by_request_id["a1"]
        other.attempts.send(SendAttempt(job.number, "v"))
        self.assertEqual(1, len(self.carrier.sent))
        other.answers.reject(RejectJob(job.number))
        self.assertEqual([Failed()], self.client.answers)

    def test_its_time_runs_out_there(self) -> None:
        other, events = self.moved("unsafe")
        self.clock.advance(2.1)
        self.assertIn(Ending.TIMED_OUT, [e.ending for e in events if isinstance(e, AttemptEnded)])
        self.assertEqual(1, len(self.client.answers))
        self.assertEqual(1, len(self.carrier.recalls))

    def test_a_worker_that_handed_it_back_binds_it_to_nobody_there(self) -> None:
        """Rule 2 binds a keyed job to where it may have run; what never ran may go anywhere."""
        number = self.job("safe")
        self.ask(SendAttempt(number, "w"))
        self.carrier.sent[-1][1].callback(None)
        live = self.engine.jobs.live_attempt("a1", "w")
        assert live is not None
        self.engine.attempts.worker_ended(live, Outcome(Ending.FULL))
        other, events = self.next_process(number)
        self.assertEqual([None], [e.ran_on for e in events if isinstance(e, JobTakenOver)])
        self.assertEqual({"w"}, other.jobs.by_request_id["a1"].returned_by)

    def test_with_its_client_gone_its_worker_is_told(self) -> None:
        number = self.job("unsafe")
        self.ask(SendAttempt(number, "w"))
        self.carrier.sent[-1][1].callback(None)
        state = self.engine.export_job(number)
        assert state is not None
        self.engine.abandon_transfer(state)
        self.assertEqual(1, len(self.carrier.recalls))
