"""Reload of the settings at SIGHUP: what a running program applies and what it rejects."""

from __future__ import annotations

import copy
import json
import tempfile
import unittest
from typing import Any

from elderstall.config import ConfigError, load, parse_config
from elderstall.decisions import Dispatcher
from elderstall.interface import (
    AttemptEnded,
    Ending,
    Endpoint,
    EndpointListUpdate,
    JobArrived,
    JobClass,
    JobTakenOver,
    LearnedStateReceived,
    ListScope,
    RejectJob,
    SendAttempt,
    Settings,
    SettingsChanged,
    Started,
)
from tests.driver import Driver
from tests.scenario import CLASSES, Scenario, platform

LATE = {"name": "deck-late", "points": 3, "aim": 300, "deadline": 4000, "effect": "unsafe"}


class Reloads(Scenario):
    """Classes are added and removed while jobs are in progress."""

    def reload_settings(self, classes: list[dict[str, Any]], **limits: Any) -> None:
        raw = copy.deepcopy(self.world.raw)
        raw["settings"]["classes"] = classes
        raw["settings"]["limits"].update(limits)
        self.world.raw = raw
        self.line("hup", "send", "")

    def test_a_new_class_is_accepted_and_a_removed_one_is_not(self) -> None:
        self.play("""
            c send job a1 deck-late
            c expect 400
            c2 send job a2 deck-fetch
            w expect POST a2
            w send 202
        """)
        self.reload_settings([CLASSES[1], LATE])
        self.play("""
            log expect reload classes are deck-build, deck-late; 5 attempts
            w send call done a2 hello
            c2 expect 200 hello
            c2 send job a3 deck-fetch
            c2 expect 400
            c3 send job a4 deck-late
            w expect POST a4
            w send 500
            c3 expect 502
            o send GET /api/telemetry
            o expect 200 handled.deck-fetch.passed=1
            o send GET /api/telemetry
            o expect 200 handled.deck-late.bad_gateway=1
        """)

    def test_accepted_jobs_keep_their_class(self) -> None:
        """A job is retried, or not, by the effect of its class when it was accepted."""
        self.play(
            """
            c send job a1 deck-fetch
            w expect POST a1
            w send 202
            c2 send job a2 deck-build
            w2 expect POST a2
            w2 send 202
        """,
            workers=3,
        )
        stricter, milder = ({**c, "effect": e} for c, e in zip(CLASSES, ("unsafe", "safe"), strict=True))
        self.reload_settings([stricter, milder])
        self.play("""
            w2 send call lost a2
            c2 expect 502
            w send call lost a1
            w expect POST a1
            w send 202
            w send call done a1 hello
            c expect 200 hello
            c3 send job a3 deck-fetch
            w expect POST a3
            w send 500
            c3 expect 502
        """)

    def test_a_lower_attempt_limit_applies_to_accepted_jobs(self) -> None:
        self.play(
            """
            c send job a1 deck-fetch
            w expect POST a1
            w send 503 X-Rejected: 1
            w expect POST a1
            w send 202
        """,
            workers=3,
        )
        self.reload_settings(CLASSES, max_attempts=2)
        self.play("""
            w send call returned a1
            c expect 503
            w expect nothing
        """)

    def test_a_head_read_under_other_settings_is_checked_again(self) -> None:
        """Its class may be gone when the body arrives: that raised KeyError and was answered with 500."""
        head = (
            "POST /deck-fetch HTTP/1.1\\r\\nHost: x\\r\\nX-Call-Id: a1\\r\\nX-Call-Class: deck-fetch"
            "\\r\\nX-Caller: norte\\r\\nX-Budget-Ms: 5000\\r\\nContent-Length: 4\\r\\n\\r\\n"
        )
        self.play(f"""
            c send raw {head}
        """)
        self.reload_settings([CLASSES[1]])
        self.play("""
            c expect 400
        """)

    def test_no_part_of_an_invalid_file_is_applied(self) -> None:
        self.begin()
        good = copy.deepcopy(self.world.raw)
        for key, value in (
            ("deadline", 0),
            ("deadline", -5),
            ("deadline", "5000"),
            ("deadline", True),
            ("deadline", float("inf")),
            ("aim", None),
        ):
            classes: list[dict[str, Any]] = [LATE, {**CLASSES[0], key: value}]
            self.world.raw = copy.deepcopy(good)
            self.world.raw["discovery"] = "127.0.0.1:7"
            with self.subTest(key=key, value=value):
                self.reload_settings(classes)
                self.assertEqual({"deck-fetch", "deck-build"}, set(self.world.app.engine.classes))
        for name in ("probes", "cancel"):
            with self.subTest(name), self.assertRaisesRegex(ConfigError, name):
                raw = platform()
                raw["settings"]["limits"][name] = "no"
                parse_config(raw, {})
        for attempts in (0, -1, "3", None, 1e999):
            self.world.raw = copy.deepcopy(good)
            with self.subTest(attempts=attempts):
                self.reload_settings([LATE], max_attempts=attempts)
                self.assertEqual({"deck-fetch", "deck-build"}, set(self.world.app.engine.classes))
        self.assertEqual(
            (0, 11),
            (
                self.world.app.engine.counters.settings_loads,
                self.world.app.engine.counters.settings_load_errors,
            ),
        )
        self.line(
            "d", "expect", "watch 41"
        )  # the watch of the start; the rejected files' address was not called

    def test_a_file_that_lacks_a_key_in_use_is_rejected_naming_the_key(self) -> None:
        """A truncated file must not be completed with defaults or the environment."""
        for path in (
            "discovery",
            "seed",
            "known",
            "limits",
            "settings.rules",
            "settings.limits.max_attempts",
            "settings.rules.cold",
            "settings.classes.1.points",
            "settings.projects.0.quota_per_s",
        ):
            self.begin()
            raw = copy.deepcopy(self.world.raw)
            *parents, last = path.split(".")
            at: Any = raw
            for key in parents:
                at = at[int(key)] if key.isdigit() else at[key]
            del at[last]
            self.world.raw = raw
            with self.subTest(path=path):
                self.line("hup", "send", "")
                self.assertEqual(1, self.world.app.engine.counters.settings_load_errors)
                self.assertTrue(
                    [x for x in self.world.lines if x.startswith("reload nothing changed: ") and last in x],
                    self.world.lines,
                )

    def test_a_file_with_invalid_json_is_rejected(self) -> None:
        with tempfile.NamedTemporaryFile("w") as file:
            raw = platform()
            raw["settings"]["classes"] = [{**CLASSES[0], "deadline": float("nan")}]
            json.dump(raw, file)
            file.flush()
            with self.assertRaisesRegex(ConfigError, "RELAY_CONFIG: .*NaN"):
                load(file.name, {})

    def test_zero_attempts_are_not_replaced_by_the_default(self) -> None:
        with self.assertRaisesRegex(ConfigError, "max_attempts"):
            parse_config(platform(limits={"max_attempts": 0}), {})


class DecisionState(unittest.TestCase):
    """State that the decisions keep when the settings change, and state that they derive again."""

    def settings(self, *weights: float, attempts: int = 3) -> Settings:
        classes = (
            JobClass(f"c{n}", priority_weight=weight, latency_objective=100.0, deadline=5_000.0)
            for n, weight in enumerate(weights)
        )
        return Settings(tuple(classes), max_attempts=attempts)

    def test_learned_state_is_kept_and_held_jobs_continue(self) -> None:
        d = Driver(self.settings(1.0, 10.0), 1)
        d.listed(tuple(Endpoint(f"w{n}", "k") for n in range(4)))
        module = d.dispatcher
        for n in range(12):
            d.arrive(n, d.s.classes[n % 2])
        held = sum(len(jobs) for jobs in module.queue.buckets)
        self.assertGreater(held, 0)
        module.endpoints.workers["w0"].work_done = module.endpoints.workers["w0"].run_time = 77.0
        d.tell(SettingsChanged(self.settings(1.0, 10.0, 100.0, 5.0)))
        self.assertEqual(3, module.context.mode.tiers)
        self.assertEqual(77.0, module.endpoints.workers["w0"].work_done)
        self.assertEqual(held, sum(len(jobs) for jobs in module.queue.buckets))
        self.assertEqual({"w0", "w1", "w2", "w3"}, {w.name for pool in module.pools.pools for w in pool})
        d.tell(SettingsChanged(self.settings(2.0)))
        self.assertEqual(1, module.context.mode.tiers)
        while d.outs():
            d.end(d.outs()[0], Ending.SERVED)
        self.assertEqual(0, sum(len([job for job in jobs if job.queued]) for jobs in module.queue.buckets))

    def test_a_held_job_at_the_new_attempt_limit_is_answered(self) -> None:
        """A held job is sent without another check of the limit, which would be one attempt too many."""
        module = Dispatcher(self.settings(1.0), 1)
        module.handle(0.0, Started())
        module.handle(0.0, EndpointListUpdate(ListScope.WHOLE, (Endpoint("w0"),)))
        module.handle(0.0, JobArrived(1, "c0", 5_000.0))
        module.handle(1.0, AttemptEnded(1, 0, "w0", Ending.FULL))
        self.assertTrue(any(module.queue.buckets))
        actions = module.handle(2.0, SettingsChanged(self.settings(1.0, attempts=1)))
        self.assertEqual([1], [a.job for a in actions if isinstance(a, RejectJob)])

    def test_learned_state_is_handed_over_to_the_successor(self) -> None:
        """Without the learned state, the successor would send non-idempotent jobs to failing workers."""
        listed = EndpointListUpdate(ListScope.WHOLE, tuple(Endpoint(f"w{n}", "k") for n in range(4)))
        old = Dispatcher(self.settings(1.0, 10.0), 1)
        new = Dispatcher(self.settings(1.0, 10.0), 2)
        for module in (old, new):
            module.handle(0.0, Started())
            module.handle(0.0, listed)
        sent = [a for a in old.handle(0.0, JobArrived(1, "c0", 5_000.0)) if isinstance(a, SendAttempt)]
        old.handle(50.0, AttemptEnded(1, 0, sent[0].worker, Ending.ERROR))
        new.handle(60.0, LearnedStateReceived(json.loads(json.dumps(old.learned()))))
        self.assertEqual(old.unavailable(60.0), new.unavailable(60.0))
        self.assertEqual({sent[0].worker}, new.unavailable(60.0))
        self.assertEqual(
            (old.estimates.mean, old.capacity.fleet_fraction, old.pools.policy),
            (new.estimates.mean, new.capacity.fleet_fraction, new.pools.policy),
        )
        new.handle(
            61.0,
            JobTakenOver(
                7, new.context.mode.classes["c1"], 0.0, 5_000.0, attempts=1, worker="w3", sent_at=9.0
            ),
        )
        self.assertEqual(1, new.endpoints.workers["w3"].slots_in_flight)
        new.handle(99.0, AttemptEnded(7, 0, "w3", Ending.SERVED, True))
        self.assertEqual((0, {}), (new.endpoints.workers["w3"].slots_in_flight, new.answers.open))
