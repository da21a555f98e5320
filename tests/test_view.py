"""The view of the fleet at one dispatcher: what it holds, forgets and passes on to the decisions."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred

from elderstall.decisions import Dispatcher
from elderstall.interface import (
    AttemptEnded,
    Effect,
    Ending,
    Endpoint,
    EndpointListUpdate,
    Event,
    JobArrived,
    JobClass,
    ListScope,
    LoadPolled,
    SendAttempt,
    Settings,
    SettingsChanged,
    Started,
    WorkersForgotten,
    WorkerState,
)
from elderstall.messages import Failed, Outcome, Served
from elderstall.routing.subset import MIN_SUBSET_SIZE, SIZE_TOLERANCE_FRACTION
from elderstall.routing.view import (
    ENTER_FRACTION,
    ENTER_INTERVAL_MS,
    GONE_RETENTION_MS,
    MIN_GONE_LIMIT,
    FleetView,
)
from tests.test_core import CLASSES as CORE_CLASSES
from tests.test_core import EngineCase

CLASSES = (
    JobClass("deck", 2.0, 500.0, 5_000.0),
    JobClass("build", 4.0, 500.0, 5_000.0, Effect.NOT_IDEMPOTENT),
)
SETTINGS = Settings(CLASSES, dispatchers=60, rank=3)
LARGE = 4_000
UP, DRAINING, GONE = WorkerState.UP, WorkerState.DRAINING, WorkerState.GONE
WITHIN = 2_000.0  # ms that the drain rule allows


def entry(n: int, state: WorkerState = UP, started: float | None = None) -> Endpoint:
    return Endpoint(f"w{n}", f"kind-{n % 2}", f"zone-{n % 10}", n // 4, started, state)


def entries(count: int, first: int = 0) -> tuple[Endpoint, ...]:
    return tuple(entry(n) for n in range(first, first + count))


class View(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[str] = []
        self.view = FleetView(SETTINGS, log=lambda code, text: self.lines.append(f"{code} {text}"))

    def whole(self, listed: tuple[Endpoint, ...], now: float = 0.0) -> list[Event]:
        return self.view.update(now, ListScope.WHOLE, listed)

    def change(self, *listed: Endpoint, now: float = 0.0) -> list[Event]:
        return self.view.update(now, ListScope.CHANGES, listed)

    def latest_states(self, events: list[Event]) -> dict[str, WorkerState]:
        """Return the latest state of each worker in the events for the decisions."""
        lists = [event for event in events if isinstance(event, EndpointListUpdate)]
        return {e.worker: e.state for event in lists for e in event.entries}


class WholeFleet(View):
    """Up to 1,024 workers: the decisions get the lists of discovery unchanged."""

    def test_lists_and_changes_are_passed_on_unchanged(self) -> None:
        listed = entries(1_000)
        self.assertEqual([EndpointListUpdate(ListScope.WHOLE, listed)], self.whole(listed))
        change = entry(1, DRAINING)
        self.assertEqual([EndpointListUpdate(ListScope.CHANGES, (change,))], self.change(change))
        self.assertEqual([EndpointListUpdate(ListScope.SILENT)], self.view.update(0.0, ListScope.SILENT))
        self.assertEqual(0.0, self.view.subset_dispatchers_per_worker)

    def test_a_ban_overrides_the_list_and_its_end_counts_as_a_new_start(self) -> None:
        self.whole(entries(3))
        self.view.ban("w1", 5.0)
        self.assertEqual({"w1": DRAINING}, self.latest_states(self.view.refresh("w1", 5.0)))
        self.assertEqual(DRAINING, self.latest_states(self.whole(entries(3), 6.0))["w1"])
        self.assertFalse(self.view.may_send("w1", 5.0 + WITHIN + 1.0, WITHIN))
        self.view.end_ban("w1", 7.0)
        (update,) = self.view.refresh("w1", 7.0)
        assert isinstance(update, EndpointListUpdate)
        self.assertEqual((UP, 7.0), (update.entries[0].state, update.entries[0].started))
        self.assertTrue(self.view.may_send("w1", 1e9, WITHIN))


class Drains(View):
    """What the drain rule needs, in a list of any size."""

    def test_the_drain_clock_keeps_running_from_draining_to_gone(self) -> None:
        for count in (10, LARGE):
            self.setUp()
            self.whole(entries(count))
            self.change(entry(1, DRAINING), now=1_000.0)
            self.change(entry(1, GONE), now=2_500.0)
            self.assertTrue(self.view.may_send("w1", 3_000.0, WITHIN))
            self.assertFalse(self.view.may_send("w1", 3_001.0, WITHIN))
            self.change(entry(1, DRAINING), now=4_000.0)
            self.assertFalse(self.view.may_send("w1", 4_001.0, WITHIN))
            self.change(entry(1), now=5_000.0)
            self.assertTrue(self.view.may_send("w1", 1e9, WITHIN))

    def test_a_worker_missing_from_a_whole_list_is_gone(self) -> None:
        self.whole(entries(10))
        self.whole(entries(9), now=10.0)
        self.assertEqual(GONE, self.view.state("w9"))
        self.assertTrue(self.view.may_send("w9", 10.0 + WITHIN, WITHIN))
        self.assertFalse(self.view.may_send("w9", 10.1 + WITHIN, WITHIN))

    def test_nothing_may_be_sent_to_an_unknown_worker(self) -> None:
        self.assertFalse(self.view.may_send("w1", 0.0, 1e9))


class Forgetting(View):
    """State is bounded by the size of the current list, not by its history."""

    def replace_workers(self, first: int, count: int) -> None:
        for n in range(first, first + 2_000):
            now = 1_000.0 * n
            self.change(entry(n, DRAINING), now=now)
            self.change(entry(n, GONE), now=now + 100.0)
            self.change(entry(n + count), now=now + 200.0)

    def container_sizes(self) -> list[int]:
        view = self.view
        subset = view.subset.kinds_and_zones if view.subset is not None else {}
        return [
            len(view.entries),
            len(view.unavailable),
            len(view.gone),
            len(view.gone_for_decisions),
            len(view.members),
            len(view.waiting),
            len(subset),
        ]

    def test_continuous_replacement_of_workers_leaves_nothing_behind(self) -> None:
        for count in (200, 1_500):
            self.setUp()
            self.whole(entries(count))
            self.replace_workers(0, count)
            first = self.container_sizes()
            self.replace_workers(2_000, count)
            listed, unavailable, gone, closed, members, waiting, on_rings = self.container_sizes()
            self.assertEqual([listed, unavailable, gone, on_rings], [*first[:3], first[6]])
            self.assertLessEqual(closed, max(MIN_GONE_LIMIT, (members or listed) // 4))
            self.assertLessEqual(members, (1 + SIZE_TOLERANCE_FRACTION) * MIN_SUBSET_SIZE + 4)
            self.assertLessEqual(waiting, 16)
            self.assertLessEqual(len(self.view.gone), max(MIN_GONE_LIMIT, count // 4))
            self.assertLessEqual(len(self.view.gone_for_decisions), max(MIN_GONE_LIMIT, count // 4))
            self.assertGreater(self.view.counts.forgotten, 1_500)

    def test_gone_workers_expire_also_in_small_fleets(self) -> None:
        self.whole(entries(100))
        self.change(entry(1, GONE), now=1.0)
        self.assertTrue(self.view.is_known("w1"))
        events = self.change(entry(2), now=GONE_RETENTION_MS + 2.0)
        self.assertEqual([WorkersForgotten(("w1",))], events[1:])
        self.assertFalse(self.view.is_known("w1"))

    def test_bans_outlive_their_worker(self) -> None:
        self.whole(entries(100))
        self.view.ban("w1", 0.0)
        self.change(entry(1, GONE), now=1.0)
        self.change(entry(2), now=GONE_RETENTION_MS + 2.0)
        self.assertEqual(
            DRAINING, self.latest_states(self.change(entry(1), now=GONE_RETENTION_MS + 3.0))["w1"]
        )


class BadInput(View):
    """Irregular lists are counted and logged; lists too large for memory are refused, and the view stays."""

    def test_a_list_too_large_for_memory_is_refused(self) -> None:
        self.view = FleetView(SETTINGS, 50, lambda code, text: self.lines.append(f"{code} {text}"))
        self.whole(entries(40))
        self.assertEqual([], self.whole(entries(51)))
        self.assertEqual(1, self.view.counts.lists_refused)
        self.assertIn("list refused: 51 entries", self.lines[-1])
        self.assertEqual(40, len(self.view.entries))
        self.assertTrue(self.view.may_send("w39", 1e9, WITHIN))

    def test_changes_that_would_make_the_list_too_large_are_refused(self) -> None:
        self.view = FleetView(SETTINGS, 50)
        self.whole(entries(50))
        for n in range(1, 4):
            self.change(*entries(30, 100 * n))
        self.assertEqual(2, self.view.counts.lists_refused)
        self.assertLessEqual(len(self.view.entries), 100)

    def test_missing_zones_or_kinds_and_duplicate_names_are_counted(self) -> None:
        odd = (Endpoint("a", "k", None), Endpoint("b", "", "z"), Endpoint("b", "k", "z"))
        self.whole(entries(3) + odd)
        self.assertEqual({"no zone": 1, "no kind": 1, "duplicate name": 1}, self.view.counts.odd_entries)
        self.assertIn("list accepted, but 1 with duplicate name, 1 with no kind, 1 with no zone", self.lines)
        self.assertEqual(5, len(self.view.entries))

    def test_a_list_without_any_zones_is_regular(self) -> None:
        self.whole((Endpoint("a"), Endpoint("b")))
        self.assertEqual(0, self.view.counts.odd_entries.total())

    def test_irregular_entries_are_accepted_in_a_large_list_too(self) -> None:
        events = self.whole(entries(LARGE) + tuple(Endpoint(f"x{n}") for n in range(100)))
        self.assertGreater(len([name for name in self.latest_states(events) if name[0] == "x"]), 20)


class InSubset(View):
    """Above 1,024 workers: a subset, and only the changes within it."""

    def setUp(self) -> None:
        super().setUp()
        self.first = self.latest_states(self.whole(entries(LARGE)))
        self.inside = list(self.first)
        self.outside = [f"w{n}" for n in range(LARGE) if f"w{n}" not in self.first]

    def number(self, name: str) -> int:
        return int(name[1:])

    def test_its_size_and_its_dispatchers_per_worker(self) -> None:
        self.assertTrue(MIN_SUBSET_SIZE <= len(self.first) <= MIN_SUBSET_SIZE + 4)
        self.assertAlmostEqual(60 * len(self.first) / LARGE, self.view.subset_dispatchers_per_worker)

    def test_a_change_outside_the_subset_is_not_passed_on(self) -> None:
        uncovered = [name for name in self.outside if not self.is_covered(name)]
        for name in uncovered[:50]:
            self.assertEqual([], self.change(entry(self.number(name), started=5.0)))
            self.assertEqual([], self.change(entry(self.number(name), DRAINING)))
        self.assertEqual(DRAINING, self.view.state(uncovered[0]))

    def is_covered(self, name: str) -> bool:
        assert self.view.subset is not None
        return any(arc.is_affected_by(name) for arc in self.view.subset.arcs())

    def test_a_change_inside_passes_on_that_worker_and_its_replacement(self) -> None:
        name = self.inside[5]
        self.assertEqual(
            {name: UP}, self.latest_states(self.change(entry(self.number(name), started=5.0), now=10.0))
        )
        states = self.latest_states(self.change(entry(self.number(name), DRAINING), now=2_000.0))
        self.assertEqual(DRAINING, states.pop(name))
        self.assertEqual([UP], list(states.values()))
        self.assertIn(next(iter(states)), self.outside)

    def test_a_flapping_worker_changes_no_other_member(self) -> None:
        name = self.inside[5]
        self.change(entry(self.number(name), GONE), now=2_000.0)
        members = set(self.view.members)
        for n in range(1, 30):
            now = 2_000.0 + 1_000.0 * n
            up, gone = entry(self.number(name)), entry(self.number(name), GONE)
            self.assertEqual({name: UP}, self.latest_states(self.change(up, now=now)))
            self.assertEqual({name: GONE}, self.latest_states(self.change(gone, now=now)))
        self.assertEqual(members, set(self.view.members))

    def test_a_lost_zone_is_replaced_gradually_and_surplus_members_leave_at_its_return(self) -> None:
        lost = [entry(n, GONE) for n in range(0, LARGE, 10)] + [entry(n, GONE) for n in range(1, LARGE, 10)]
        inside = [e for e in lost if e.worker in self.first]
        now = 10_000.0
        states = self.latest_states(self.change(*lost, now=10_000.0))
        entered = sum(state is UP for state in states.values())
        max_per_interval = ENTER_FRACTION * MIN_SUBSET_SIZE
        self.assertLessEqual(entered, max_per_interval)
        while self.view.due is not None:
            now = self.view.due
            newly_entered = len(self.latest_states(self.view.admit_waiting(now)))
            self.assertLessEqual(newly_entered, max_per_interval)
            entered += newly_entered
        self.assertAlmostEqual(len(inside), entered, delta=4)  # sizes by kind are rounded again
        self.assertGreaterEqual(now, 10_000.0 + ENTER_INTERVAL_MS)
        self.change(*(entry(n, started=now) for n in range(0, LARGE, 10)), now=now + 5_000.0)
        self.change(*(entry(n, started=now) for n in range(1, LARGE, 10)), now=now + 5_000.0)
        for _ in range(5):
            self.view.admit_waiting(now := now + 10_000.0)
        self.assertLessEqual(len(self.view.members), (1 + SIZE_TOLERANCE_FRACTION) * len(self.first) + 1)
        returned = set(self.first) & set(self.view.members)  # except for rounding of the shares of kinds
        self.assertGreaterEqual(len(returned), 0.98 * len(self.first))

    def test_unreachable_workers_are_supplemented_by_reachable_ones(self) -> None:
        unreachable = [name for name in self.inside if self.number(name) % 10 == 3]
        for name in unreachable[:3]:
            self.assertEqual([], self.view.record_ending(name, Ending.UNREACHABLE, True, 50_000.0))
        events: list[Event] = []
        for name in self.inside:  # the other zones answer, which shows that they are reachable
            if name not in unreachable:
                events += self.view.record_ending(name, Ending.SERVED, False, 50_000.0)
            if len(self.view.reach.answering) == 9:
                break
        assert self.view.subset is not None
        self.assertEqual(len(unreachable), self.view.subset.widened)
        entered = [name for name, state in self.latest_states(events).items() if state is UP]
        self.assertTrue(entered)
        self.assertEqual([], [name for name in entered if self.number(name) % 10 == 3])
        self.assertLessEqual({*self.inside}, {*self.view.members})  # the unreachable ones are still tried
        self.view.record_ending(unreachable[0], Ending.SERVED, False, 60_000.0)
        self.assertEqual(0, self.view.subset.widened)
        self.assertIn("view all zones reachable", self.lines)

    def test_only_settings_that_affect_the_subset_rebuild_it(self) -> None:
        self.assertEqual([], self.view.change_settings(replace(SETTINGS, max_attempts=4), 1.0))
        (update,) = self.view.change_settings(replace(SETTINGS, rank=4), 1.0)
        assert isinstance(update, EndpointListUpdate)
        self.assertIs(ListScope.WHOLE, update.scope)
        self.assertNotEqual(set(self.first), {e.worker for e in update.entries})

    def test_a_shrinking_fleet_returns_to_the_whole_list_with_hysteresis(self) -> None:
        for n in range(LARGE - 1, 0, -1):
            events = self.change(entry(n, GONE))
            if self.view.subset is None:
                break
        self.assertEqual(MIN_SUBSET_SIZE, n)
        self.assertEqual(MIN_SUBSET_SIZE, len(self.latest_states(events)))
        self.assertEqual([entry(5_000)], list(self.change(entry(5_000))[0].entries))  # type: ignore[union-attr]
        self.assertIsNone(self.view.subset)

    @settings(max_examples=25, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, 60), st.sampled_from([UP, UP, DRAINING, GONE]), st.booleans()),
            max_size=50,
        )
    )
    def test_the_decisions_and_the_view_agree_after_any_updates(
        self, steps: list[tuple[int, WorkerState, bool]]
    ) -> None:
        """The workers that the decisions hold as up are the view's members, and all of them are up."""
        view = FleetView(SETTINGS)
        known_states = self.latest_states(view.update(0.0, ListScope.WHOLE, entries(LARGE)))
        now = 0.0
        for n, state, whole in steps:
            now += 700.0
            number = self.number(self.inside[n]) if n < 50 else self.number(self.outside[n])
            if whole:
                listed = tuple(e for e in view.entries.values() if e.worker != f"w{number}")
                events = view.update(now, ListScope.WHOLE, listed)
            else:
                events = view.update(now, ListScope.CHANGES, (entry(number, state),))
            events += view.admit_waiting(now + 1.0)
            known_states |= self.latest_states(events)
            up = {worker for worker, known in known_states.items() if known is UP}
            self.assertEqual(up, set(view.members))
            self.assertEqual([], [worker for worker in up if view.state(worker) is not UP])


class Attempts(EngineCase):
    """A worker leaves the subset with an attempt in progress: the attempt continues under all rules."""

    def setUp(self) -> None:
        super().setUp()
        self.engine.change_settings(replace(SETTINGS, classes=CORE_CLASSES, max_attempts=3), 8.0, 1_000)
        self.engine.endpoints.handle_list_update(ListScope.WHOLE, entries(LARGE))
        assert self.engine.view.subset is not None
        self.member = next(iter(self.engine.view.members))
        self.events.clear()

    def start_attempt(self, job_class: str = "safe") -> Deferred[Any]:
        self.number = self.job(job_class)
        self.request(SendAttempt(self.number, self.member))
        return self.transport.sent[-1][1]

    def leave_subset(self) -> None:
        """Remove the worker from the subset while it is up, as when returning workers replace it."""
        view = self.engine.view
        del view.members[self.member]
        departure = replace(view.entry_of(self.member), state=GONE)
        self.engine.endpoints.notify([EndpointListUpdate(ListScope.CHANGES, (departure,))])

    def test_its_answer_is_accepted(self) -> None:
        sending = self.start_attempt()
        self.leave_subset()
        sending.callback(Outcome(Ending.SERVED, b"deck"))
        self.assertEqual([Served(b"deck")], self.client.answers)

    def test_it_is_cancelled_at_its_deadline_and_not_sent_again(self) -> None:
        sending = self.start_attempt("unsafe")
        sending.callback(None)
        self.leave_subset()
        self.clock.advance(2.1)
        self.assertEqual(1, len(self.transport.cancels))
        self.assertEqual(1, len(self.transport.sent))
        self.assertIsInstance(self.client.answers[0], Failed)

    def test_its_drain_clock_keeps_running(self) -> None:
        self.leave_subset()
        number = int(self.member[1:])
        self.engine.endpoints.handle_list_update(ListScope.CHANGES, (entry(number, DRAINING),))
        self.clock.advance(2.1)
        job = self.job("safe")
        self.request(SendAttempt(job, self.member))
        self.assertEqual([], self.transport.sent)

    def test_the_decisions_learn_the_dispatchers_per_worker_before_the_list(self) -> None:
        self.engine.endpoints.handle_list_update(ListScope.WHOLE, entries(2 * LARGE))
        kinds = [type(event) for event in self.events]
        self.assertLess(kinds.index(SettingsChanged), kinds.index(EndpointListUpdate))
        settings_changed = next(event for event in self.events if isinstance(event, SettingsChanged))
        self.assertAlmostEqual(
            self.engine.view.subset_dispatchers_per_worker, settings_changed.settings.dispatchers_per_worker
        )

    def test_a_list_update_without_changes_in_the_subset_still_ends_the_list_call(self) -> None:
        self.engine.endpoints.call()
        outside = next(w for w in self.engine.view.entries if w not in self.engine.view.members)
        self.engine.endpoints.handle_list_update(ListScope.CHANGES, (entry(int(outside[1:]), started=1.0),))
        self.engine.endpoints.handle_list_update(ListScope.CHANGES, (entry(int(outside[1:]), started=2.0),))
        self.assertEqual([EndpointListUpdate(ListScope.CHANGES)], self.events)

    def test_waiting_workers_are_admitted_by_a_timer(self) -> None:
        members = [int(name[1:]) for name in self.engine.view.members]
        self.clock.advance(10.0)
        self.engine.endpoints.handle_list_update(
            ListScope.CHANGES, tuple(entry(n, GONE) for n in members[:400])
        )
        before = len(self.engine.view.members)
        self.assertTrue(self.engine.view.waiting)
        for _ in range(12):
            self.clock.advance(1.1)
        self.assertFalse(self.engine.view.waiting)
        self.assertEqual(before + 400 - int(ENTER_FRACTION * MIN_SUBSET_SIZE), len(self.engine.view.members))


class ForgottenByTheDecisions(unittest.TestCase):
    """The decisions also forget a worker, once it has no attempt or poll in progress."""

    def test_a_worker_with_an_attempt_or_a_poll_in_progress_is_kept_until_it_ends(self) -> None:
        d = Dispatcher(replace(SETTINGS, dispatchers=1), 1)
        d.handle(0.0, Started())
        d.handle(0.0, EndpointListUpdate(ListScope.WHOLE, entries(2)))
        (send,) = [a for a in d.handle(1.0, JobArrived(1, "deck", 5_000.0)) if isinstance(a, SendAttempt)]
        polled = next(name for name in d.endpoints.workers if name != send.worker)
        d.endpoints.workers[polled].poll_pending = True
        d.handle(2.0, EndpointListUpdate(ListScope.WHOLE))
        d.handle(3.0, WorkersForgotten(("w0", "w1", "nobody")))
        self.assertEqual({"w0", "w1"}, set(d.endpoints.workers))
        d.handle(4.0, AttemptEnded(1, 0, send.worker, Ending.SERVED, True))
        d.handle(5.0, LoadPolled(polled, Ending.SERVED))
        d.handle(6.0, WorkersForgotten(()))
        self.assertEqual({}, d.endpoints.workers)

    def test_a_worker_that_is_up_again_is_kept(self) -> None:
        d = Dispatcher(replace(SETTINGS, dispatchers=1), 1)
        d.handle(0.0, EndpointListUpdate(ListScope.WHOLE, entries(2)))
        d.handle(3.0, WorkersForgotten(("w0",)))
        self.assertEqual({"w0", "w1"}, set(d.endpoints.workers))


if __name__ == "__main__":
    unittest.main()
