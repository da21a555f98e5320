"""The subset of a large fleet that one dispatcher works with: even, small moves, bounded widening."""

from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from elderstall.hashing import stable_hash
from elderstall.interface import Ending
from elderstall.routing.reach import MIN_FAILING_WORKERS, SEEN_FOR, ZoneReach
from elderstall.routing.subset import (
    MIN_SUBSET_SIZE,
    MIN_WORKERS_PER_KIND,
    REPLICAS,
    SLACK,
    WIDEN_MOST,
    Arc,
    Ring,
    Subset,
    point,
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
    def test_up_to_1024_it_is_the_whole_fleet(self) -> None:
        for dispatchers in (1, 8, 40, 23_000):
            self.assertGreaterEqual(subset_size(MIN_SUBSET_SIZE, dispatchers), MIN_SUBSET_SIZE)
        self.assertEqual(MIN_SUBSET_SIZE, subset_size(100, 40))

    def test_each_worker_has_so_many_holders_at_least(self) -> None:
        for workers, dispatchers in ((23_000, 230), (23_000, 100), (5_000, 10), (23_000, 23_000)):
            size = subset_size(workers, dispatchers)
            self.assertGreaterEqual(size * dispatchers, REPLICAS * workers)


class Evenness(unittest.TestCase):
    """Over all dispatchers, with the ring shared among them as it is the same at each."""

    def holders(self, workers: int, dispatchers: int, length: int) -> Counter[str]:
        ring = Ring(NAMES[:workers])
        held: Counter[str] = Counter(dict.fromkeys(NAMES[:workers], 0))
        for rank in range(dispatchers):
            arc = Arc(ring, point(rank), length)
            arc.cut(lambda name: False)
            held.update(arc.members)
        return held

    def test_holders_of_a_worker_are_nearly_as_many_for_each(self) -> None:
        for dispatchers in (230, 500):
            held = self.holders(5_000, dispatchers, 500)
            mean = dispatchers * 500 / 5_000
            self.assertLessEqual(max(held.values()), 1.25 * mean)
            self.assertGreaterEqual(min(held.values()), 0.75 * mean)


class Independent(unittest.TestCase):
    def test_each_subset_has_its_part_of_any_share_of_the_names_hashes(self) -> None:
        """The lane for urgent jobs is such a share: a subset all in it had no worker for long jobs."""
        workers = fleet(6_000, kinds=1)
        for rank in range(60):
            wanted = subset_of(workers, rank, 60).wanted()
            lane = sum(stable_hash(name) < 2**32 / 4 for name in wanted) / len(wanted)
            self.assertTrue(0.15 < lane < 0.35, lane)


class Own(unittest.TestCase):
    def test_those_first_in_line_are_as_even_as_all(self) -> None:
        """A dispatcher counts as its own the workers for which it stands first in line."""
        workers = fleet(2_400, kinds=2)
        owners: Counter[str] = Counter(dict.fromkeys((name for name, *_ in workers), 0))
        for rank in range(60):
            subset = subset_of(workers, rank, 60)
            owners.update(name for name in subset.wanted() if subset.preference_position(name) < 0.2)
        mean = sum(owners.values()) / len(workers)
        self.assertAlmostEqual(0.2 * 60 * MIN_SUBSET_SIZE / 2_400, mean, delta=0.6)
        self.assertLessEqual(max(owners.values()), mean + 2)
        self.assertGreaterEqual(min(owners.values()), mean - 2)


class Moves(unittest.TestCase):
    def test_one_workers_change_moves_one_entry_at_its_holders_and_none_elsewhere(self) -> None:
        workers = fleet(3_000, kinds=1)
        moved = holders = 0
        for rank in range(40):
            subset = subset_of(workers, rank, 40)
            before = subset.wanted()
            self.assertEqual(workers[7][0] in before, subset.remove(workers[7][0]))
            after = subset.wanted()
            moved += len(before ^ after)
            holders += workers[7][0] in before
        self.assertEqual(2 * holders, moved)  # out, and the next one in
        self.assertLess(holders, 40)

    def test_one_dispatcher_more_moves_nothing_at_the_others_while_the_size_stays(self) -> None:
        workers = fleet(3_000)
        for rank in range(5):
            self.assertEqual(subset_of(workers, rank, 60).wanted(), subset_of(workers, rank, 61).wanted())

    @settings(max_examples=30, deadline=None)
    @given(st.lists(st.integers(0, 1_599), max_size=60), st.integers(0, 59))
    def test_changes_one_by_one_come_to_the_same_as_a_fresh_start(
        self, toggles: list[int], rank: int
    ) -> None:
        workers = fleet(1_600)
        there = dict.fromkeys(range(1_500))
        subset = subset_of(workers[:1_500], rank, home="zone-2")
        before = subset.wanted()
        for n in toggles:
            name, kind, zone = workers[n]
            if n in there:
                del there[n]
                changed = subset.remove(name)
            else:
                there[n] = None
                changed = subset.add(name, kind, zone)
            after = subset.wanted()
            self.assertTrue(changed or before == after)
            before = after
        fresh = subset_of([workers[n] for n in there], rank, home="zone-2")
        if subset.sized_for == fresh.sized_for:
            self.assertEqual(fresh.wanted(), before)
        else:  # sizes are worked out anew only when the fleet has changed by more than the slack
            self.assertLessEqual(abs(subset.sized_for - len(there)), SLACK * subset.sized_for)
            self.assertLessEqual(len(fresh.wanted() ^ before), len(toggles) + 4)


class Present(unittest.TestCase):
    def test_each_kind_and_the_own_zone_are_there(self) -> None:
        workers = fleet(5_000, kinds=1) + [(f"rare-{n}", "rare", "zone-1") for n in range(30)]
        subset = subset_of(workers, home="zone-5")
        wanted = subset.wanted()
        self.assertEqual(30, sum(name.startswith("rare") for name in wanted))
        own = [name for name, _, zone in workers if name in wanted and zone == "zone-5"]
        self.assertGreaterEqual(len(own), MIN_WORKERS_PER_KIND)
        self.assertLessEqual(len(wanted), subset.size + 2 * MIN_WORKERS_PER_KIND + 2)

    def test_many_kinds_do_not_make_it_larger_without_a_bound(self) -> None:
        subset = subset_of(fleet(5_000, kinds=500))
        self.assertLessEqual(len(subset.wanted()), subset.size + 500)


class Widening(unittest.TestCase):
    def test_for_each_worker_out_of_reach_one_is_taken_that_is_not(self) -> None:
        workers = fleet(5_000, kinds=1)
        subset = subset_of(workers)
        usual = subset.wanted()
        subset.lose(frozenset({"zone-1", "zone-2"}), frozenset())
        self.assertEqual(usual, subset.wanted())  # nobody else has answered since
        subset.lose(frozenset({"zone-1", "zone-2"}), ZONES - {"zone-1", "zone-2"})
        lost = {name for name, _, zone in workers if zone in ("zone-1", "zone-2")}
        extra = subset.wanted() - usual
        self.assertEqual(len(usual & lost), len(extra))
        self.assertEqual(set(), extra & lost)
        self.assertEqual(len(extra), subset.widened)
        subset.lose(frozenset(), frozenset())
        self.assertEqual(usual, subset.wanted())
        self.assertEqual(0, subset.widened)

    def test_it_is_bounded_and_reaches_the_part_that_is_left_when_regions_part(self) -> None:
        workers = fleet(6_000, kinds=1)
        subset = subset_of(workers, dispatchers=600)
        usual = len(subset.wanted())
        cut = frozenset(f"zone-{n}" for n in range(36))  # nine in ten
        subset.lose(cut, ZONES - cut)
        left = {name for name, _, zone in workers if zone in {f"zone-{n}" for n in range(36, 40)}}
        self.assertLessEqual(len(subset.wanted()), WIDEN_MOST * usual)
        self.assertEqual(left, left & subset.wanted())  # 600: all there are, of the 1,024 that it would take
        subset.lose(ZONES, frozenset())
        self.assertEqual(usual, len(subset.wanted()))

    def test_dispatchers_do_not_all_fall_on_the_same_workers(self) -> None:
        ring = Ring(NAMES[:5_000])
        lost = frozenset(NAMES[:5_000:10])  # a tenth
        extra: Counter[str] = Counter()
        for rank in range(250):
            arc = Arc(ring, point(rank), 500)
            arc.cut(lambda name: False)
            usual = arc.members
            arc.cut(lost.__contains__, lambda name: name not in lost)
            extra.update(arc.members - usual)
        self.assertGreater(len(extra), 0.8 * 4_500)
        self.assertLessEqual(max(extra.values()), 3 * sum(extra.values()) / 4_500)


class Reach(unittest.TestCase):
    def fails(self, reach: ZoneReach, *workers: str, now: float = 0.0) -> frozenset[str | None]:
        for worker in workers:
            reach.record_ending(worker, "a", Ending.UNREACHABLE, True, now)
        return reach.lost

    def takes(self, reach: ZoneReach, worker: str, zone: str, ending: Ending) -> frozenset[str | None]:
        reach.record_ending(worker, zone, ending, False, 1.0)
        return reach.lost

    def test_one_worker_however_often_says_nothing_of_its_zone(self) -> None:
        self.assertEqual(frozenset(), self.fails(ZoneReach(), *["w1"] * 20))

    def test_several_in_a_row_do_until_one_answers(self) -> None:
        reach = ZoneReach()
        self.assertEqual({"a"}, self.fails(reach, "w1", "w2", "w3"))
        for nothing in (Ending.CANCELLED, Ending.NEVER_SENT, Ending.TIMED_OUT, Ending.UNREACHABLE):
            self.assertEqual({"a"}, self.takes(reach, "w4", "a", nothing))
        self.assertEqual(frozenset(), reach.answering)
        self.assertEqual({"a"}, self.takes(reach, "v1", "b", Ending.SERVED))
        self.assertEqual({"b"}, reach.answering)
        self.assertEqual(frozenset(), self.takes(reach, "w1", "a", Ending.FULL))
        self.assertEqual(frozenset(), reach.answering)
        self.assertEqual(frozenset(), self.fails(reach, "w1", "w2"))

    def test_want_of_descriptors_says_nothing_of_any_zone(self) -> None:
        reach = ZoneReach()
        for name in NAMES[:50]:
            self.assertEqual(frozenset(), self.takes(reach, name, "a", Ending.UNREACHABLE))

    def test_failures_long_ago_do_not_count_and_what_is_kept_is_bounded(self) -> None:
        reach = ZoneReach()
        self.fails(reach, "w1", "w2")
        self.assertEqual(frozenset(), self.fails(reach, "w3", now=SEEN_FOR + 1.0))
        self.fails(reach, *NAMES[:500], now=SEEN_FOR + 2.0)
        self.assertEqual(MIN_FAILING_WORKERS, len(reach.failing["a"]))


if __name__ == "__main__":
    unittest.main()
