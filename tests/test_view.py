"""The fleet as one dispatcher sees it: what it holds, forgets and hands the module."""

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
from elderstall.routing.subset import MIN_SUBSET_SIZE, SLACK
from elderstall.routing.view import (
    ENTER_FRACTION,
    ENTER_INTERVAL_MS,
    GONE_RETENTION_MS,
    MIN_GONE_RETAINED,
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
WITHIN = 2_000.0  # ms of the rule on drains


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

    def told(self, events: list[Event]) -> dict[str, WorkerState]:
        """Give what the module is told of workers, the last word of each."""
        lists = [event for event in events if isinstance(event, EndpointListUpdate)]
        return {e.worker: e.state for event in lists for e in event.entries}


class Whole(View):
    """Up to 1,024 workers: the module gets what discovery told, word for word."""

    def test_lists_and_changes_pass_as_they_are(self) -> None:
        listed = entries(1_000)
        self.assertEqual([EndpointListUpdate(ListScope.WHOLE, listed)], self.whole(listed))
        change = entry(1, DRAINING)
        self.assertEqual([EndpointListUpdate(ListScope.CHANGES, (change,))], self.change(change))
        self.assertEqual([EndpointListUpdate(ListScope.SILENT)], self.view.update(0.0, ListScope.SILENT))
        self.assertEqual(0.0, self.view.subset_dispatchers_per_worker)

    def test_a_ban_holds_whatever_the_list_says_and_ends_as_a_new_start(self) -> None:
        self.whole(entries(3))
        self.view.ban("w1", 5.0)
        self.assertEqual({"w1": DRAINING}, self.told(self.view.refresh("w1", 5.0)))
        self.assertEqual(DRAINING, self.told(self.whole(entries(3), 6.0))["w1"])
        self.assertFalse(self.view.may_send("w1", 5.0 + WITHIN + 1.0, WITHIN))
        self.view.end_ban("w1", 7.0)
        (news,) = self.view.refresh("w1", 7.0)
        assert isinstance(news, EndpointListUpdate)
        self.assertEqual((UP, 7.0), (news.entries[0].state, news.entries[0].started))
        self.assertTrue(self.view.may_send("w1", 1e9, WITHIN))


class Drains(View):
    """What the rule on drains needs, in a list of any size."""

    def test_from_draining_to_gone_the_clock_is_not_set_back(self) -> None:
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

    def test_missing_from_a_whole_list_is_gone(self) -> None:
        self.whole(entries(10))
        self.whole(entries(9), now=10.0)
        self.assertEqual(GONE, self.view.state("w9"))
        self.assertTrue(self.view.may_send("w9", 10.0 + WITHIN, WITHIN))
        self.assertFalse(self.view.may_send("w9", 10.1 + WITHIN, WITHIN))

    def test_what_is_not_known_may_not_be_sent_to(self) -> None:
        self.assertFalse(self.view.may_send("w1", 0.0, 1e9))


class Forgetting(View):
    """State is bounded by what is listed, not by what ever was."""

    def replace_workers(self, first: int, count: int) -> None:
        for n in range(first, first + 2_000):
            now = 1_000.0 * n
            self.change(entry(n, DRAINING), now=now)
            self.change(entry(n, GONE), now=now + 100.0)
            self.change(entry(n + count), now=now + 200.0)

    def held(self) -> list[int]:
        view = self.view
        subset = view.subset.places if view.subset is not None else {}
        return [
            len(view.entries),
            len(view.unavailable),
            len(view.gone),
            len(view.closed),
            len(view.members),
            len(view.waiting),
            len(subset),
        ]

    def test_workers_replaced_for_long_leave_nothing_behind(self) -> None:
        for count in (200, 1_500):
            self.setUp()
            self.whole(entries(count))
            self.replace_workers(0, count)
            first = self.held()
            self.replace_workers(2_000, count)
            listed, unavailable, gone, closed, members, waiting, placed = self.held()
            self.assertEqual([listed, unavailable, gone, placed], [*first[:3], first[6]])
            self.assertLessEqual(closed, max(MIN_GONE_RETAINED, (members or listed) // 4))
            self.assertLessEqual(members, (1 + SLACK) * MIN_SUBSET_SIZE + 4)
            self.assertLessEqual(waiting, 16)
            self.assertLessEqual(len(self.view.gone), max(MIN_GONE_RETAINED, count // 4))
            self.assertLessEqual(len(self.view.closed), max(MIN_GONE_RETAINED, count // 4))
            self.assertGreater(self.view.counts.forgotten, 1_500)

    def test_after_a_while_also_where_they_are_few(self) -> None:
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
        self.assertEqual(DRAINING, self.told(self.change(entry(1), now=GONE_RETENTION_MS + 3.0))["w1"])


class BadInput(View):
    """Odd lists are counted and logged; what cannot be held is refused and the last good view goes on."""

    def test_more_entries_than_memory_holds(self) -> None:
        self.view = FleetView(SETTINGS, 50, lambda code, text: self.lines.append(f"{code} {text}"))
        self.whole(entries(40))
        self.assertEqual([], self.whole(entries(51)))
        self.assertEqual(1, self.view.counts.lists_refused)
        self.assertIn("list refused: 51 entries", self.lines[-1])
        self.assertEqual(40, len(self.view.entries))
        self.assertTrue(self.view.may_send("w39", 1e9, WITHIN))

    def test_changes_that_would_make_it_too_many_are_refused_too(self) -> None:
        self.view = FleetView(SETTINGS, 50)
        self.whole(entries(50))
        for n in range(1, 4):
            self.change(*entries(30, 100 * n))
        self.assertEqual(2, self.view.counts.lists_refused)
        self.assertLessEqual(len(self.view.entries), 100)

    def test_entries_with_no_zone_or_kind_where_others_have_one_and_doubled_names(self) -> None:
        odd = (Endpoint("a", "k", None), Endpoint("b", "", "z"), Endpoint("b", "k", "z"))
        self.whole(entries(3) + odd)
        self.assertEqual({"no zone": 1, "no kind": 1, "doubled name": 1}, self.view.counts.odd_entries)
        self.assertIn("list taken, but 1 with doubled name, 1 with no kind, 1 with no zone", self.lines)
        self.assertEqual(5, len(self.view.entries))

    def test_where_none_names_a_zone_nothing_is_odd(self) -> None:
        self.whole((Endpoint("a"), Endpoint("b")))
        self.assertEqual(0, self.view.counts.odd_entries.total())

    def test_they_are_taken_in_a_large_list_too(self) -> None:
        events = self.whole(entries(LARGE) + tuple(Endpoint(f"x{n}") for n in range(100)))
        self.assertGreater(len([name for name in self.told(events) if name[0] == "x"]), 20)


class InSubset(View):
    """Above 1,024: a subset, and only what changes in it."""

    def setUp(self) -> None:
        super().setUp()
        self.first = self.told(self.whole(entries(LARGE)))
        self.inside = list(self.first)
        self.outside = [f"w{n}" for n in range(LARGE) if f"w{n}" not in self.first]

    def number(self, name: str) -> int:
        return int(name[1:])

    def test_its_size_and_how_many_share_it(self) -> None:
        self.assertTrue(MIN_SUBSET_SIZE <= len(self.first) <= MIN_SUBSET_SIZE + 4)
        self.assertAlmostEqual(60 * len(self.first) / LARGE, self.view.subset_dispatchers_per_worker)

    def test_a_change_elsewhere_tells_the_module_nothing(self) -> None:
        far = [name for name in self.outside if not self.near_the_end(name)]
        for name in far[:50]:
            self.assertEqual([], self.change(entry(self.number(name), started=5.0)))
            self.assertEqual([], self.change(entry(self.number(name), DRAINING)))
        self.assertEqual(DRAINING, self.view.state(far[0]))

    def near_the_end(self, name: str) -> bool:
        assert self.view.subset is not None
        return any(arc.covers(name) for arc in self.view.subset.arcs())

    def test_a_change_inside_tells_of_that_worker_and_of_its_successor(self) -> None:
        name = self.inside[5]
        self.assertEqual({name: UP}, self.told(self.change(entry(self.number(name), started=5.0), now=10.0)))
        told = self.told(self.change(entry(self.number(name), DRAINING), now=2_000.0))
        self.assertEqual(DRAINING, told.pop(name))
        self.assertEqual([UP], list(told.values()))
        self.assertIn(next(iter(told)), self.outside)

    def test_a_worker_that_comes_and_goes_moves_nothing_else(self) -> None:
        name = self.inside[5]
        self.change(entry(self.number(name), GONE), now=2_000.0)
        members = set(self.view.members)
        for n in range(1, 30):
            now = 2_000.0 + 1_000.0 * n
            up, gone = entry(self.number(name)), entry(self.number(name), GONE)
            self.assertEqual({name: UP}, self.told(self.change(up, now=now)))
            self.assertEqual({name: GONE}, self.told(self.change(gone, now=now)))
        self.assertEqual(members, set(self.view.members))

    def test_a_lost_zone_is_replaced_bit_by_bit_and_at_its_return_what_is_too_much_leaves(self) -> None:
        lost = [entry(n, GONE) for n in range(0, LARGE, 10)] + [entry(n, GONE) for n in range(1, LARGE, 10)]
        inside = [e for e in lost if e.worker in self.first]
        now, told = 10_000.0, self.told(self.change(*lost, now=10_000.0))
        came = sum(state is UP for state in told.values())
        most = ENTER_FRACTION * MIN_SUBSET_SIZE
        self.assertLessEqual(came, most)
        while self.view.due is not None:
            now = self.view.due
            news = len(self.told(self.view.admit_waiting(now)))
            self.assertLessEqual(news, most)
            came += news
        self.assertAlmostEqual(len(inside), came, delta=4)  # sizes by kind are rounded anew
        self.assertGreaterEqual(now, 10_000.0 + ENTER_INTERVAL_MS)
        self.change(*(entry(n, started=now) for n in range(0, LARGE, 10)), now=now + 5_000.0)
        self.change(*(entry(n, started=now) for n in range(1, LARGE, 10)), now=now + 5_000.0)
        for _ in range(5):
            self.view.admit_waiting(now := now + 10_000.0)
        self.assertLessEqual(len(self.view.members), (1 + SLACK) * len(self.first) + 1)
        back = set(self.first) & set(self.view.members)  # but for kinds whose share was rounded in between
        self.assertGreaterEqual(len(back), 0.98 * len(self.first))

    def test_zones_out_of_reach_have_others_taken_for_them(self) -> None:
        cut = [name for name in self.inside if self.number(name) % 10 == 3]
        for name in cut[:3]:
            self.assertEqual([], self.view.record_ending(name, Ending.UNREACHABLE, True, 50_000.0))
        events: list[Event] = []
        for name in self.inside:  # others answer, and so show that they are in reach
            if name not in cut:
                events += self.view.record_ending(name, Ending.SERVED, False, 50_000.0)
            if len(self.view.reach.answering) == 9:
                break
        assert self.view.subset is not None
        self.assertEqual(len(cut), self.view.subset.widened)
        came = [name for name, state in self.told(events).items() if state is UP]
        self.assertTrue(came)
        self.assertEqual([], [name for name in came if self.number(name) % 10 == 3])
        self.assertLessEqual({*self.inside}, {*self.view.members})  # those cut off are still tried
        self.view.record_ending(cut[0], Ending.SERVED, False, 60_000.0)
        self.assertEqual(0, self.view.subset.widened)
        self.assertIn("view all zones in reach", self.lines)

    def test_other_settings_cut_it_anew_and_the_same_ones_do_not(self) -> None:
        self.assertEqual([], self.view.change_settings(replace(SETTINGS, max_attempts=4), 1.0))
        (news,) = self.view.change_settings(replace(SETTINGS, rank=4), 1.0)
        assert isinstance(news, EndpointListUpdate)
        self.assertIs(ListScope.WHOLE, news.scope)
        self.assertNotEqual(set(self.first), {e.worker for e in news.entries})

    def test_a_fleet_that_shrinks_is_known_whole_again_and_not_at_the_first_worker(self) -> None:
        for n in range(LARGE - 1, 0, -1):
            events = self.change(entry(n, GONE))
            if self.view.subset is None:
                break
        self.assertEqual(MIN_SUBSET_SIZE, n)
        self.assertEqual(MIN_SUBSET_SIZE, len(self.told(events)))
        self.assertEqual([entry(5_000)], list(self.change(entry(5_000))[0].entries))  # type: ignore[union-attr]
        self.assertIsNone(self.view.subset)

    @settings(max_examples=25, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, 60), st.sampled_from([UP, UP, DRAINING, GONE]), st.booleans()),
            max_size=50,
        )
    )
    def test_the_module_and_the_view_agree_whatever_comes(
        self, steps: list[tuple[int, WorkerState, bool]]
    ) -> None:
        """What the module holds as up is what the view says it does; all of that is up."""
        view = FleetView(SETTINGS)
        module = self.told(view.update(0.0, ListScope.WHOLE, entries(LARGE)))
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
            module |= self.told(events)
            up = {worker for worker, known in module.items() if known is UP}
            self.assertEqual(up, set(view.members))
            self.assertEqual([], [worker for worker in up if view.state(worker) is not UP])


class Attempts(EngineCase):
    """A worker leaves the subset with an attempt out: the attempt goes on by all rules."""

    def setUp(self) -> None:
        super().setUp()
        self.engine.change_settings(replace(SETTINGS, classes=CORE_CLASSES, max_attempts=3), 8.0, 1_000)
        self.engine.endpoints.take(ListScope.WHOLE, entries(LARGE))
        assert self.engine.view.subset is not None
        self.member = next(iter(self.engine.view.members))
        self.events.clear()

    def out(self, job_class: str = "safe") -> Deferred[Any]:
        self.number = self.job(job_class)
        self.request(SendAttempt(self.number, self.member))
        return self.transport.sent[-1][1]

    def leave_subset(self) -> None:
        """Have the worker leave the subset while it is up, as when others come back in its place."""
        view = self.engine.view
        del view.members[self.member]
        told = replace(view.entry_of(self.member), state=GONE)
        self.engine.endpoints.notify([EndpointListUpdate(ListScope.CHANGES, (told,))])

    def test_its_answer_counts(self) -> None:
        sending = self.out()
        self.leave_subset()
        sending.callback(Outcome(Ending.SERVED, b"deck"))
        self.assertEqual([Served(b"deck")], self.client.answers)

    def test_it_is_told_to_give_up_at_its_time_and_nothing_is_sent_a_second_time(self) -> None:
        sending = self.out("unsafe")
        sending.callback(None)
        self.leave_subset()
        self.clock.advance(2.1)
        self.assertEqual(1, len(self.transport.cancels))
        self.assertEqual(1, len(self.transport.sent))
        self.assertIsInstance(self.client.answers[0], Failed)

    def test_the_clock_of_its_drain_runs_on(self) -> None:
        self.leave_subset()
        number = int(self.member[1:])
        self.engine.endpoints.take(ListScope.CHANGES, (entry(number, DRAINING),))
        self.clock.advance(2.1)
        job = self.job("safe")
        self.request(SendAttempt(job, self.member))
        self.assertEqual([], self.transport.sent)

    def test_the_module_is_told_of_its_dispatchers_per_worker_before_the_list(self) -> None:
        self.engine.endpoints.take(ListScope.WHOLE, entries(2 * LARGE))
        kinds = [type(event) for event in self.events]
        self.assertLess(kinds.index(SettingsChanged), kinds.index(EndpointListUpdate))
        settings_changed = next(event for event in self.events if isinstance(event, SettingsChanged))
        self.assertAlmostEqual(
            self.engine.view.subset_dispatchers_per_worker, settings_changed.settings.dispatchers_per_worker
        )

    def test_an_answer_of_discovery_with_nothing_for_the_module_ends_its_call_all_the_same(self) -> None:
        self.engine.endpoints.call()
        far = next(w for w in self.engine.view.entries if w not in self.engine.view.members)
        self.engine.endpoints.take(ListScope.CHANGES, (entry(int(far[1:]), started=1.0),))
        self.engine.endpoints.take(ListScope.CHANGES, (entry(int(far[1:]), started=2.0),))
        self.assertEqual([EndpointListUpdate(ListScope.CHANGES)], self.events)

    def test_those_that_wait_to_enter_come_by_themselves(self) -> None:
        members = [int(name[1:]) for name in self.engine.view.members]
        self.clock.advance(10.0)
        self.engine.endpoints.take(ListScope.CHANGES, tuple(entry(n, GONE) for n in members[:400]))
        before = len(self.engine.view.members)
        self.assertTrue(self.engine.view.waiting)
        for _ in range(12):
            self.clock.advance(1.1)
        self.assertFalse(self.engine.view.waiting)
        self.assertEqual(before + 400 - int(ENTER_FRACTION * MIN_SUBSET_SIZE), len(self.engine.view.members))


class ForgottenByTheModule(unittest.TestCase):
    """The module forgets too, once nothing of a worker is out."""

    def test_a_worker_with_an_attempt_or_a_question_out_is_kept_until_that_ends(self) -> None:
        d = Dispatcher(replace(SETTINGS, dispatchers=1), 1)
        d.handle(0.0, Started())
        d.handle(0.0, EndpointListUpdate(ListScope.WHOLE, entries(2)))
        (send,) = [a for a in d.handle(1.0, JobArrived(1, "deck", 5_000.0)) if isinstance(a, SendAttempt)]
        asked = next(name for name in d.endpoints.workers if name != send.worker)
        d.endpoints.workers[asked].poll_pending = True
        d.handle(2.0, EndpointListUpdate(ListScope.WHOLE))
        d.handle(3.0, WorkersForgotten(("w0", "w1", "nobody")))
        self.assertEqual({"w0", "w1"}, set(d.endpoints.workers))
        d.handle(4.0, AttemptEnded(1, 0, send.worker, Ending.SERVED, True))
        d.handle(5.0, LoadPolled(asked, Ending.SERVED))
        d.handle(6.0, WorkersForgotten(()))
        self.assertEqual({}, d.endpoints.workers)

    def test_one_that_is_up_again_is_kept(self) -> None:
        d = Dispatcher(replace(SETTINGS, dispatchers=1), 1)
        d.handle(0.0, EndpointListUpdate(ListScope.WHOLE, entries(2)))
        d.handle(3.0, WorkersForgotten(("w0",)))
        self.assertEqual({"w0", "w1"}, set(d.endpoints.workers))


if __name__ == "__main__":
    unittest.main()
