"""Jobs with the same key go to few workers where their data has to be fetched."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from elderstall import Dispatcher
from elderstall.interface import EndpointListUpdate, JobArrived, ListScope, SendAttempt
from tests.driver import SAFE, Driver, fleet, settings
from tests.test_mechanism import sends, serve_all


def spread(fetch_price: float) -> float:
    """Return the mean number of workers that each key's jobs went to."""
    d = Driver(settings(classes=(SAFE,), dispatchers=1, fetch_price=fetch_price))
    d.listed(fleet(8))
    seen: defaultdict[str, set[str]] = defaultdict(set)
    for job in range(160):
        key = f"key{job % 7}"
        seen[key].update(sends(d.arrive(job, SAFE, key=key)))
        serve_all(d, 20.0)
    return sum(len(ws) for ws in seen.values()) / len(seen)


def test_keys_use_few_workers_where_fetching_costs() -> None:
    assert spread(0.1) <= 2.0
    assert spread(0.0) > 3.0


def test_a_key_whose_worker_is_gone_moves_to_another() -> None:
    d = Driver(settings(classes=(SAFE,), fetch_price=0.1))
    d.listed(fleet(4))
    (first,) = sends(d.arrive(1, SAFE, key="k"))
    serve_all(d)
    d.listed(tuple(e for e in fleet(4) if e.worker != first))
    assert sends(d.arrive(2, SAFE, key="k")) not in ([], [first])


def at_weights(held: dict[str, float], slots: int = 1) -> list[str]:
    """Send one job with a key from each of many dispatchers, with listed jobs per core ``held`` by worker."""
    sent = []
    for rank in range(50):
        d = Driver(settings(classes=(SAFE,), dispatchers=50, rank=rank, fetch_price=0.1))
        d.listed(fleet(12))
        d.listed(tuple(replace(e, weight=1 / (1 + held.get(e.worker, 0.0))) for e in fleet(12)))
        for n, w in enumerate(d.dispatcher.endpoints.workers.values()):
            w.capacity = 1.0 + n * (rank + 1) % 7  # each has learned other speeds
        sent += sends(d.arrive(1, SAFE, key="k", slots=slots))
    return sent


def test_many_dispatchers_agree_on_a_key_s_worker() -> None:
    assert len(set(at_weights({}))) == 1


def test_a_key_s_jobs_leave_a_worker_that_is_listed_as_busy() -> None:
    """Otherwise many dispatchers all send the jobs of a popular key to one worker (L60d3ed)."""
    (first,) = set(at_weights({}))
    assert first not in at_weights({first: 3.0})
    assert set(at_weights({first: 0.7})) == {first}  # it has slots left
    assert first not in at_weights({first: 0.7}, slots=4)  # but not for a big job


def test_keys_stay_at_their_workers_when_the_whole_fleet_is_busy() -> None:
    """Otherwise fetches grow with load; a worker is skipped only if it is busier than the mean."""
    assert set(at_weights({f"k{n}": 3.0 for n in range(12)})) == set(at_weights({}))


def test_a_key_whose_workers_in_its_pool_are_all_busy_goes_to_those_of_another_pool() -> None:
    """Otherwise it goes by rotation, which differs at each dispatcher: fetches on all workers (L60d3ed)."""
    d = Dispatcher(settings(dispatchers=50, fetch_price=0.1), 1)
    d.handle(0.0, EndpointListUpdate(ListScope.WHOLE, fleet(40)))
    home, other = d.pools.pools[2], d.pools.pools[1]
    held = {w.name for w in home}
    d.handle(
        1.0,
        EndpointListUpdate(
            ListScope.CHANGES, tuple(replace(e, weight=0.1 if e.worker in held else 1.0) for e in fleet(40))
        ),
    )
    (send,) = [
        a for a in d.handle(2.0, JobArrived(1, "safe", 2_000.0, key="k")) if isinstance(a, SendAttempt)
    ]
    assert (
        send.worker in {w.name for w in d.pools.key_candidates(1, "k")}
        and d.endpoints.workers[send.worker] in other
    )
