"""The rules that the core keeps, whatever it is asked for: the module here asks for the wrong things."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from elderstall import interface as i
from elderstall.core import Answer, Ask, Core, Failed, Outcome, Refused, Served
from elderstall.deadlines import Deadlines
from elderstall.log import Log

CLASSES = (i.JobClass("safe", 1.0, 100.0, 2_000.0),
           i.JobClass("unsafe", 1.0, 100.0, 2_000.0, i.Effect.UNSAFE))


class Carrier:
    """Notes what it is given; the test ends it."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Deferred[Outcome | None]]] = []
        self.recalls: list[Deferred[None]] = []

    def send(self, worker: str, ask: Ask, budget: float, note: Callable[[float, str], None],
             ) -> Deferred[Outcome | None]:
        done: Deferred[Outcome | None] = Deferred()
        self.sent.append((worker, done))
        return done

    def recall(self, worker: str, cid: str) -> Deferred[None]:
        self.recalls.append(Deferred())
        return self.recalls[-1]

    def renew(self, worker: str) -> None:
        pass


class Client:
    """Keeps its answers."""

    def __init__(self) -> None:
        self.answers: list[Answer] = []

    def answered(self, answer: Answer) -> None:
        self.answers.append(answer)

    def progressed(self, share: float, text: str) -> None:
        pass


class Rules(unittest.TestCase):
    """One job, and a module that the test speaks for."""

    def setUp(self) -> None:
        self.clock, self.carrier, self.client = Clock(), Carrier(), Client()
        deadlines = Deadlines(self.clock, self.clock.seconds, 0.0)
        log = Log(deadlines.now)
        log.print = lambda now, code, text: None  # type: ignore[method-assign]
        self.core = Core(i.Settings(CLASSES, max_attempts=2), 1, deadlines, self.carrier, log)
        self.events: list[i.Event] = []
        self.asked: list[i.Action] = []
        self.core.module.handle = self.handle  # type: ignore[method-assign]
        self.core.listed(i.ListScope.WHOLE, (i.Listed("w"), i.Listed("v")))

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.events.append(event)
        actions, self.asked = self.asked, []
        return actions

    def job(self, job_class: str) -> int:
        return self.core.take(Ask("a1", job_class, 2_000.0, None), self.client)

    def ask(self, *actions: i.Action) -> None:
        self.asked = list(actions)
        self.core.feed(i.TimerFired(9))

    def never_sent(self) -> int:
        ends = [e for e in self.events if isinstance(e, i.AttemptEnded)]
        return sum(e.ending is i.Ending.NEVER_SENT for e in ends)

    def test_no_second_copy_no_unknown_worker_no_attempt_too_many(self) -> None:
        job = self.job("safe")
        self.ask(i.Send(job, "nobody"), i.Send(job, "w"), i.Send(job, "v"))
        self.assertEqual(["w"], [worker for worker, _ in self.carrier.sent])
        self.assertEqual(2, self.never_sent())

    def test_nothing_goes_to_a_worker_told_draining(self) -> None:
        job = self.job("safe")
        self.core.listed(i.ListScope.CHANGES, (i.Listed("w", state=i.WorkerState.DRAINING),))
        self.core.listed(i.ListScope.WHOLE, (i.Listed("w", state=i.WorkerState.DRAINING),))
        self.clock.advance(1.0)
        self.core.listed(i.ListScope.CHANGES, (i.Listed("w", state=i.WorkerState.GONE),))
        self.clock.advance(0.6)  # the later news does not set the clock back
        self.ask(i.Send(job, "w"), i.Send(job, "v"))
        self.assertEqual(([], 2), (self.carrier.sent, self.never_sent()))

    def test_an_unsafe_job_that_may_have_run_is_neither_sent_nor_refused(self) -> None:
        job = self.job("unsafe")
        self.ask(i.Send(job, "w"))
        self.carrier.sent[0][1].callback(Outcome(i.Ending.BROKEN))
        self.ask(i.Send(job, "v"), i.Refuse(job, 100.0))
        self.assertEqual((1, [Failed()]), (len(self.carrier.sent), self.client.answers))

    def test_an_unsafe_job_that_never_ran_is_refused_with_the_modules_advice(self) -> None:
        job = self.job("unsafe")
        self.ask(i.Send(job, "w"))
        self.carrier.sent[0][1].callback(Outcome(i.Ending.FULL))
        self.ask(i.Refuse(job, 100.0), i.Refuse(job, 5.0), i.Send(job, "v"))
        self.assertEqual((1, [Refused(100.0)]), (len(self.carrier.sent), self.client.answers))

    def test_the_next_attempt_waits_until_the_worker_knows_of_the_last_ones_end(self) -> None:
        job = self.job("safe")
        self.ask(i.Send(job, "w", 300.0))
        self.carrier.sent[0][1].callback(None)
        self.clock.advance(0.31)
        self.ask(i.Send(job, "v"))
        self.assertEqual((1, 1), (len(self.carrier.sent), len(self.carrier.recalls)))
        self.carrier.recalls[0].callback(None)
        self.assertEqual(["w", "v"], [worker for worker, _ in self.carrier.sent])
        self.carrier.sent[1][1].callback(Outcome(i.Ending.SERVED, b"deck"))
        self.assertEqual([Served(b"deck")], self.client.answers)

    def test_a_carrier_that_fails_leaves_the_job_as_one_that_may_have_run(self) -> None:
        job = self.job("unsafe")
        self.ask(i.Send(job, "w"))
        self.asked = [i.Refuse(job)]
        self.carrier.sent[0][1].errback(RuntimeError("odd"))
        self.assertEqual([Failed()], self.client.answers)
