"""Subsets of a large fleet: evenly distributed, stable under changes, widened within a bound."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from elderstall.hashing import stable_hash
from elderstall.interface import Ending
from elderstall.routing.reach import FAILURE_RETENTION_MS, MIN_FAILING_WORKERS, ZoneReach
from elderstall.routing.subset import (
    MAX_WIDENING_FACTOR,
    MIN_DISPATCHERS_PER_WORKER,
    MIN_SUBSET_SIZE,
    MIN_WORKERS_PER_KIND,
    SIZE_TOLERANCE_FRACTION,
    Ring,
    RingArc,
    Subset,
    dispatcher_point,
    subset_size,
)

NAMES = [f"s-{n * 2654435761 % 2**32:08x}" for n in range(6_000)]
Fleet = list[tuple[str, str, str | None]]
ZONES: frozenset[str | None] = frozenset(f"zone-{n}" for n in range(40))


def fleet(count: int, kinds: int = 4, zones: int = 40) -> Fleet:
    return [(NAMES[n], f"kind-{n % kinds}", f"zone-{n % zones}") for n in range(count)]


def subset_of(workers: Fleet, rank: int = 3, dispatchers: int = 60, home: str | None = None) -> Subset:
    subset = Subset(rank, dispatchers, home)
    subset.fill(workers)
    return subset


class Sizes(unittest.TestCase):
    def test_subset_is_the_whole_fleet_up_to_1024_workers(self) -> None:
        for dispatchers in (1, 8, 40, 23_000):
            self.assertGreaterEqual(subset_size(MIN_SUBSET_SIZE, dispatchers), MIN_SUBSET_SIZE)
        self.assertEqual(MIN_SUBSET_SIZE, subset_size(100, 40))

    def test_each_worker_has_a_minimum_number_of_dispatchers(self) -> None:
        for workers, dispatchers in ((23_000, 230), (23_000, 100), (5_000, 10), (23_000, 23_000)):
            size = subset_size(workers, dispatchers)
            self.assertGreaterEqual(size * dispatchers, MIN_DISPATCHERS_PER_WORKER * workers)


class Evenness(unittest.TestCase):
    """Over all dispatchers; they share one ring object, as it is the same at each."""

    def dispatchers_by_worker(self, workers: int, dispatchers: int, length: int) -> Counter[str]:
        ring = Ring(NAMES[:workers])
        held: Counter[str] = Counter(dict.fromkeys(NAMES[:workers], 0))
        for rank in range(dispatchers):
            arc = RingArc(ring, dispatcher_point(rank), length)
            arc.recompute(lambda name: False)
            held.update(arc.members)
        return held

    def test_each_worker_has_nearly_the_same_number_of_dispatchers(self) -> None:
        for dispatchers in (230, 500):
            held = self.dispatchers_by_worker(5_000, dispatchers, 500)
            mean = dispatchers * 500 / 5_000
            self.assertLessEqual(max(held.values()), 1.25 * mean)
            self.assertGreaterEqual(min(held.values()), 0.75 * mean)


class IndependentOfReservedWorkers(unittest.TestCase):
    def test_each_subset_has_its_fraction_of_any_range_of_name_hashes(self) -> None:
        """Reserved workers are such a range: a subset of them alone had none for long jobs."""
        workers = fleet(6_000, kinds=1)
        for rank in range(60):
            wanted = subset_of(workers, rank, 60).wanted()
            reserved_fraction = sum(stable_hash(name) < 2**32 / 4 for name in wanted) / len(wanted)
            self.assertTrue(0.15 < reserved_fraction < 0.35, reserved_fraction)


class OwnedWorkers(unittest.TestCase):
    def test_owned_workers_are_as_evenly_distributed_as_all(self) -> None:
        """A dispatcher owns the workers for which it has one of the first preference positions."""
        workers = fleet(2_400, kinds=2)
        owners: Counter[str] = Counter(dict.fromkeys((name for name, *_ in workers), 0))
        for rank in range(60):
            subset = subset_of(workers, rank, 60)
            owners.update(name for name in subset.wanted() if subset.preference_position(name) < 0.2)
        mean = sum(owners.values()) / len(workers)
        self.assertAlmostEqual(0.2 * 60 * MIN_SUBSET_SIZE / 2_400, mean, delta=0.6)
        self.assertLessEqual(max(owners.values()), mean + 2)
        self.assertGreaterEqual(min(owners.values()), mean - 2)


class Stability(unittest.TestCase):
    def test_removing_a_worker_changes_one_entry_at_its_dispatchers_and_none_elsewhere(self) -> None:
        workers = fleet(3_000, kinds=1)
        moved = dispatchers = 0
        for rank in range(40):
            subset = subset_of(workers, rank, 40)
            before = subset.wanted()
            self.assertEqual(workers[7][0] in before, subset.remove(workers[7][0]))
            after = subset.wanted()
            moved += len(before ^ after)
            dispatchers += workers[7][0] in before
        self.assertEqual(2 * dispatchers, moved)  # one worker leaves and the next one enters
        self.assertLess(dispatchers, 40)

    def test_adding_a_dispatcher_changes_no_other_subset_of_the_same_size(self) -> None:
        workers = fleet(3_000)
        for rank in range(5):
            self.assertEqual(subset_of(workers, rank, 60).wanted(), subset_of(workers, rank, 61).wanted())

    @settings(max_examples=30, deadline=None)
    @given(st.lists(st.integers(0, 1_599), max_size=60), st.integers(0, 59))
    def test_incremental_changes_equal_a_rebuild(self, toggles: list[int], rank: int) -> None:
        workers = fleet(1_600)
        present = dict.fromkeys(range(1_500))
        subset = subset_of(workers[:1_500], rank, home="zone-2")
        before = subset.wanted()
        for n in toggles:
            name, kind, zone = workers[n]
            if n in present:
                del present[n]
                changed = subset.remove(name)
            else:
                present[n] = None
                changed = subset.add(name, kind, zone)
            after = subset.wanted()
            self.assertTrue(changed or before == after)
            before = after
        fresh = subset_of([workers[n] for n in present], rank, home="zone-2")
        if subset.sized_for == fresh.sized_for:
            self.assertEqual(fresh.wanted(), before)
        else:  # sizes are recomputed only when the fleet has changed by more than the tolerance
            self.assertLessEqual(
                abs(subset.sized_for - len(present)), SIZE_TOLERANCE_FRACTION * subset.sized_for
            )
            self.assertLessEqual(len(fresh.wanted() ^ before), len(toggles) + 4)


class Coverage(unittest.TestCase):
    def test_each_kind_and_the_home_zone_are_included(self) -> None:
        workers = fleet(5_000, kinds=1) + [(f"rare-{n}", "rare", "zone-1") for n in range(30)]
        subset = subset_of(workers, home="zone-5")
        wanted = subset.wanted()
        self.assertEqual(30, sum(name.startswith("rare") for name in wanted))
        home_workers = [name for name, _, zone in workers if name in wanted and zone == "zone-5"]
        self.assertGreaterEqual(len(home_workers), MIN_WORKERS_PER_KIND)
        self.assertLessEqual(len(wanted), subset.size + 2 * MIN_WORKERS_PER_KIND + 2)

    def test_many_kinds_enlarge_it_by_a_bounded_number(self) -> None:
        subset = subset_of(fleet(5_000, kinds=500))
        self.assertLessEqual(len(subset.wanted()), subset.size + 500)


class Widening(unittest.TestCase):
    def test_each_unreachable_worker_is_replaced_by_a_reachable_one(self) -> None:
        workers = fleet(5_000, kinds=1)
        subset = subset_of(workers)
        usual = subset.wanted()
        subset.update_reach(frozenset({"zone-1", "zone-2"}), frozenset())
        self.assertEqual(usual, subset.wanted())  # no other zone has answered since
        subset.update_reach(frozenset({"zone-1", "zone-2"}), ZONES - {"zone-1", "zone-2"})
        lost = {name for name, _, zone in workers if zone in ("zone-1", "zone-2")}
        extra = subset.wanted() - usual
        self.assertEqual(len(usual & lost), len(extra))
        self.assertEqual(set(), extra & lost)
        self.assertEqual(len(extra), subset.widened)
        subset.update_reach(frozenset(), frozenset())
        self.assertEqual(usual, subset.wanted())
        self.assertEqual(0, subset.widened)

    def test_subset_is_bounded_and_covers_the_reachable_workers_when_regions_are_partitioned(self) -> None:
        workers = fleet(6_000, kinds=1)
        subset = subset_of(workers, dispatchers=600)
        usual = len(subset.wanted())
        unreachable = frozenset(f"zone-{n}" for n in range(36))  # nine in ten
        subset.update_reach(unreachable, ZONES - unreachable)
        reachable = {name for name, _, zone in workers if zone in {f"zone-{n}" for n in range(36, 40)}}
        self.assertLessEqual(len(subset.wanted()), MAX_WIDENING_FACTOR * usual)
        self.assertEqual(
            reachable, reachable & subset.wanted()
        )  # all 600 reachable workers, where 1,024 would fit
        subset.update_reach(ZONES, frozenset())
        self.assertEqual(usual, len(subset.wanted()))

    def test_dispatchers_do_not_all_choose_the_same_replacements(self) -> None:
        ring = Ring(NAMES[:5_000])
        lost = frozenset(NAMES[:5_000:10])  # a tenth
        extra: Counter[str] = Counter()
        for rank in range(250):
            arc = RingArc(ring, dispatcher_point(rank), 500)
            arc.recompute(lambda name: False)
            usual = arc.members
            arc.recompute(lost.__contains__, lambda name: name not in lost)
            extra.update(arc.members - usual)
        self.assertGreater(len(extra), 0.8 * 4_500)
        self.assertLessEqual(max(extra.values()), 3 * sum(extra.values()) / 4_500)


class Reach(unittest.TestCase):
    def after_failures(self, reach: ZoneReach, *workers: str, now: float = 0.0) -> frozenset[str | None]:
        for worker in workers:
            reach.record_ending(worker, "a", Ending.UNREACHABLE, True, now)
        return reach.unreachable

    def after_ending(self, reach: ZoneReach, worker: str, zone: str, ending: Ending) -> frozenset[str | None]:
        reach.record_ending(worker, zone, ending, False, 1.0)
        return reach.unreachable

    def test_repeated_failures_of_one_worker_do_not_make_its_zone_unreachable(self) -> None:
        self.assertEqual(frozenset(), self.after_failures(ZoneReach(), *["w1"] * 20))

    def test_failures_of_several_workers_in_a_row_do_until_one_answers(self) -> None:
        reach = ZoneReach()
        self.assertEqual({"a"}, self.after_failures(reach, "w1", "w2", "w3"))
        for inconclusive in (Ending.CANCELLED, Ending.NEVER_SENT, Ending.TIMED_OUT, Ending.UNREACHABLE):
            self.assertEqual({"a"}, self.after_ending(reach, "w4", "a", inconclusive))
        self.assertEqual(frozenset(), reach.answering)
        self.assertEqual({"a"}, self.after_ending(reach, "v1", "b", Ending.SERVED))
        self.assertEqual({"b"}, reach.answering)
        self.assertEqual(frozenset(), self.after_ending(reach, "w1", "a", Ending.FULL))
        self.assertEqual(frozenset(), reach.answering)
        self.assertEqual(frozenset(), self.after_failures(reach, "w1", "w2"))

    def test_lack_of_descriptors_makes_no_zone_unreachable(self) -> None:
        reach = ZoneReach()
        for name in NAMES[:50]:
            self.assertEqual(frozenset(), self.after_ending(reach, name, "a", Ending.UNREACHABLE))

    def test_old_failures_do_not_count_and_their_number_is_bounded(self) -> None:
        reach = ZoneReach()
        self.after_failures(reach, "w1", "w2")
        self.assertEqual(frozenset(), self.after_failures(reach, "w3", now=FAILURE_RETENTION_MS + 1.0))
        self.after_failures(reach, *NAMES[:500], now=FAILURE_RETENTION_MS + 2.0)
        self.assertEqual(MIN_FAILING_WORKERS, len(reach.failing["a"]))


if __name__ == "__main__":
    unittest.main()
