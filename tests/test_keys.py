"""Jobs whose data has to be fetched keep to few workers."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from elderstall import Dispatcher
from elderstall.interface import EndpointListUpdate, JobArrived, ListScope, SendAttempt
from tests.driver import SAFE, Driver, fleet, settings
from tests.test_mechanism import sends, serve_all


def spread(fetch_price: float) -> float:
    """Mean number of workers that each key's jobs went to."""
    d = Driver(settings(classes=(SAFE,), dispatchers=1, fetch_price=fetch_price))
    d.listed(fleet(8))
    seen: defaultdict[str, set[str]] = defaultdict(set)
    for job in range(160):
        key = f"key{job % 7}"
        seen[key].update(sends(d.arrive(job, SAFE, key=key)))
        serve_all(d, 20.0)
    return sum(len(ws) for ws in seen.values()) / len(seen)


def test_keys_keep_to_few_workers_where_fetching_costs() -> None:
    assert spread(0.1) <= 2.0
    assert spread(0.0) > 3.0


def test_a_key_whose_worker_is_gone_moves_on() -> None:
    d = Driver(settings(classes=(SAFE,), fetch_price=0.1))
    d.listed(fleet(4))
    (first,) = sends(d.arrive(1, SAFE, key="k"))
    serve_all(d)
    d.listed(tuple(e for e in fleet(4) if e.worker != first))
    assert sends(d.arrive(2, SAFE, key="k")) not in ([], [first])


def at_weights(held: dict[str, float], slots: int = 1) -> list[str]:
    """Send one keyed job from each of many dispatchers under a list that shows jobs held by each worker."""
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


def test_a_key_s_jobs_move_on_from_a_worker_that_the_list_shows_to_hold_many() -> None:
    """Guards against many dispatchers that all send a much-asked key to one worker (L60d3ed)."""
    (first,) = set(at_weights({}))
    assert first not in at_weights({first: 3.0})
    assert set(at_weights({first: 0.7})) == {first}  # it has slots left
    assert first not in at_weights({first: 0.7}, slots=4)  # but not for a big job


def test_keys_stay_where_the_whole_fleet_holds_many() -> None:
    """Guards against fetches that grow with load: nobody is left out when all are full."""
    assert set(at_weights({f"k{n}": 3.0 for n in range(12)})) == set(at_weights({}))


def test_where_all_keepers_of_its_pool_hold_many_a_key_goes_to_another_pool_s() -> None:
    """Guards against fetches all over the fleet: each dispatcher's rotation is at another place (L60d3ed)."""
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
