"""Whole simulation runs: no request is lost, runs are reproducible byte for byte, faults break no rule."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import Phase, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from elderstall.engine import Engine
from elderstall.engine.answers import Answers
from elderstall.engine.attempts import Attempts
from elderstall.engine.endpoint_feed import EndpointFeed
from elderstall.engine.rules import Rules as EngineRules
from elderstall.interface import Effect, Ending, Endpoint, JobClass
from elderstall.messages import Outcome, Rejected
from elderstall.simulation.audit import MAX_KEPT_VIOLATIONS, history_lines
from elderstall.simulation.reading import find, read
from elderstall.simulation.requests import Request, Try
from elderstall.simulation.scenario import (
    ClassLoad,
    Clients,
    Dispatchers,
    Fault,
    Kind,
    Reports,
    Rules,
    Traffic,
    Worker,
)
from elderstall.simulation.world import World, play
from tests.simulation_scenarios import QUICK_LIST, scenario, shorter

ROOT = Path(__file__).parent.parent
SHIPPED = sorted(path.stem for path in (ROOT / "deploy" / "rehearsals").glob("*.conf"))


def run_simulation(*faults: Fault, seed: int = 1, **changes: Any) -> tuple[dict[str, Any], World]:
    world = World(scenario(*faults, **changes), seed)
    return world.play(), world


def check_conservation(figures: dict[str, Any], world: World) -> None:
    """Check that every request ends once, every try is closed, and all core time is accounted for."""
    audit = world.audit
    assert sum(figures["endings"].values()) == figures["requests"] == world.clients.count
    assert not world.clients.open and not audit.open_tries
    assert (
        audit.received_count == audit.answered_count + audit.dispatcher_ended_count + audit.client_left_count
    )
    for worker_host in world.worker_hosts.values():
        assert worker_host.model.ledger.total == pytest.approx(worker_host.kind.cores * world.loop.now)
    assert sum(figures["core_time"].values()) == pytest.approx(1.0, abs=1e-4)
    assert not [line for line in world.log.kept if line.startswith("bug")]
    for worker_host in world.worker_hosts.values():
        assert len(worker_host.links) == worker_host.model.connections


def test_a_run_without_faults_serves_nearly_all() -> None:
    figures, world = run_simulation()
    check_conservation(figures, world)
    assert figures["service"]["whole"] > 0.97 and figures["rules"]["broken"] == 0
    assert 500 < figures["requests"] < 800


def figures_json(hash_seed: str, zone: str, where: Path) -> bytes:
    """Run a scenario in a new process with this hash seed and time zone, and return its JSON output."""
    env = {**os.environ, "PYTHONHASHSEED": hash_seed, "TZ": zone}
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "elderstall",
            "simulate",
            "run",
            str(where),
            "--seed",
            "5",
            "--json",
            "-",
            "--set",
            "length=20s",
            "--set",
            "slow/at=5s",
            "--set",
            "slow/for=10s",
            "--set",
            "burst/at=5s",
            "--set",
            "burst/for=10s",
        ],
        cwd=ROOT,
        env=env,
        capture_output=True,
        check=True,
    )
    return done.stdout


def test_two_processes_give_the_same_figures_byte_for_byte() -> None:
    where = ROOT / "deploy" / "rehearsals" / "slow-quarter.conf"
    first = figures_json("1", "UTC", where)
    second = figures_json("77", "America/Bogota", where)
    assert first == second and json.loads(first)["requests"] > 300


def test_another_seed_changes_the_requests_and_a_burst_only_adds_to_them() -> None:
    def requests_of(*faults: Fault, seed: int = 1) -> set[tuple[float, float, str]]:
        world = World(scenario(*faults), seed)
        seen: set[tuple[float, float, str]] = set()
        count = world.tally.count_request

        def record(request: Request) -> None:
            seen.add((request.arrived_at, request.work, request.load.cls.name))
            count(request)

        world.tally.count_request = record  # type: ignore[method-assign]
        world.play()
        return seen

    calm = requests_of()
    burst = requests_of(Fault("burst", 4_000.0, 3_000.0, factor=2.0))
    assert calm < burst and len(burst - calm) > 40
    assert not calm & requests_of(seed=2)


def test_a_quarter_of_the_workers_slow_while_traffic_doubles() -> None:
    calm, _ = run_simulation()
    hard, world = run_simulation(
        Fault("slow", 3_000.0, 6_000.0, share=0.25, factor=6.0),
        Fault("burst", 3_000.0, 6_000.0, factor=2.0),
    )
    check_conservation(hard, world)
    assert hard["rules"]["broken"] == 0
    assert hard["service"]["worst_10_s"] < calm["service"]["worst_10_s"]
    assert len(hard["troubles"][0]["struck"]) == 2


def test_a_paused_worker_makes_its_reports_when_the_pause_ends() -> None:
    world = World(
        scenario(Fault("pause", 4_000.0, 3_000.0, workers=("w-1",)), reports=Reports(progress=500.0)), 3
    )
    calls_at: list[float] = []
    worker_host = world.worker_hosts["w-1"]
    call = worker_host.call_back

    def record(*args: Any) -> None:
        calls_at.append(world.loop.now)
        call(*args)

    worker_host.call_back = record  # type: ignore[method-assign, assignment]
    figures = world.play()
    check_conservation(figures, world)
    assert not [at for at in calls_at if 4_000.0 < at < 7_000.0]
    assert len([at for at in calls_at if at == 7_000.0]) >= 2
    assert figures["core_time"]["paused"] > 0 and figures["rules"]["broken"] == 0


def test_a_killed_dispatcher_loses_its_jobs_and_breaks_no_rule() -> None:
    figures, world = run_simulation(
        Fault("slow", 3_000.0, 6_000.0, factor=3.0),
        Fault("dispatcher-restart", 5_000.0, 1_000.0, dispatchers=("n1",), planned=False),
    )
    check_conservation(figures, world)
    assert world.audit.dispatcher_ended_count > 0 and world.dispatcher_hosts[0].process_count == 2
    assert figures["endings"].get("lost", 0) > 0, "a request that is not idempotent is not retried"
    assert figures["rules"]["broken"] == 0


def test_a_planned_restart_answers_all_accepted_jobs() -> None:
    figures, world = run_simulation(Fault("dispatcher-restart", 5_000.0, 500.0, dispatchers=("n1",)))
    check_conservation(figures, world)
    assert world.dispatcher_hosts[0].process_count == 2 and world.audit.dispatcher_ended_count == 0


def test_a_cold_worker_is_overloaded_while_it_runs_jobs_that_are_not_idempotent() -> None:
    world = World(scenario(), 1)

    def restart() -> None:
        world.worker_hosts["w-1"].die()
        world.worker_hosts["w-1"].start()

    def overload() -> None:
        """Add work over the cold limit from senders that did not know of the start."""
        worker_host = world.worker_hosts["w-1"]
        worker_host.model.cold_sends.append((world.loop.now, 1e6, False))
        worker_host.model.cold_work_sent += 1e6

    world.loop.at(4_000.0, restart)
    world.loop.at(4_600.0, overload)
    figures = world.play()
    check_conservation(figures, world)
    model = world.worker_hosts["w-1"].model
    assert not model.up and model.informed_fraction < 0.5
    assert figures["rules"]["broken"] == 0, "dispatchers that were not notified of the start break no rule"
    assert figures["endings"].get("failed", 0) > 0


@pytest.mark.parametrize("name", SHIPPED)
def test_the_shipped_scenarios_run_without_broken_rules(name: str) -> None:
    base, warnings = read(find(name))
    assert not warnings
    world = World(shorter(base, 15_000.0), 2)
    figures = world.play()
    check_conservation(figures, world)
    assert figures["rules"]["broken"] == 0


def test_service_recovers_after_all_workers_restart() -> None:
    figures, world = run_simulation(Fault("restart", 3_000.0, 3_000.0, apart=50.0))
    check_conservation(figures, world)
    assert figures["windows"][-1]["service"] > 0.9 and figures["core_time"]["down"] > 0.1


def test_a_retry_of_a_lost_idempotent_job_continues_from_its_checkpoint() -> None:
    """A long idempotent job whose worker crashes late ends sooner than a run from the start would."""
    long = ClassLoad(JobClass("long", 1.0, 9_000.0, 20_000.0), 1.0, 4_000.0)
    figures, world = run_simulation(
        Fault("restart", 3_000.0, 500.0, workers=("w-0",)),
        classes=(long,),
        tenants=(),
        length=1_000.0,
        workers=(Worker("w-0", "box", speed=1.0),),
        kinds=(Kind("box", cold_for=0.0),),
        tail=20_000.0,
        load=Traffic(1.0),
        dispatchers=Dispatchers((1.0,)),
        seed=7,
    )
    check_conservation(figures, world)
    assert figures["requests"] == figures["endings"]["served"] == 1
    # It starts in the first second and has saved 2 s of work at the crash: 2 s are left at 3.5 s, not 4 s.
    assert 4_400.0 < figures["classes"]["long"]["latency_ms"]["p50"] < 6_400.0 and figures["attempts"] == 2


def test_clients_with_the_librarys_policy_keep_its_retry_budget_in_an_outage() -> None:
    fault = Fault("restart", 3_000.0, 4_000.0, apart=50.0)
    naive, _ = run_simulation(fault, clients=Clients(retries=3, honour=0.0, impatient=0.0))
    library, world = run_simulation(fault, clients=Clients(policy="library", max_tries=4, impatient=0.0))
    check_conservation(library, world)
    assert library["rules"]["broken"] == 0 and not world.clients.library.calls  # type: ignore[union-attr]
    assert library["retries"] < naive["retries"] / 2
    for budget in world.clients.library.budgets:  # type: ignore[union-attr]
        assert budget.retries <= budget.reserve + budget.share * budget.calls + budget.refill_per_s * 20


def test_clients_reconnect_gradually_to_a_restarted_dispatcher() -> None:
    def early(spread: float) -> int:
        """Return the number of tries in the first 400 ms after the restart."""
        killed = Fault("dispatcher-restart", 4_000.0, 1_500.0, dispatchers=("n1",), planned=False)
        world = World(
            scenario(killed, clients=Clients(retries=4, backoff=400.0, reconnect=spread, impatient=0.0)), 1
        )
        seen: list[float] = []
        record_received = world.audit.record_received

        def record(client_try: Try) -> None:
            if client_try.request.dispatcher_host is world.dispatcher_hosts[0] and world.loop.now > 5_500.0:
                seen.append(world.loop.now)
            record_received(client_try)

        world.audit.record_received = record  # type: ignore[method-assign]
        figures = world.play()
        check_conservation(figures, world)
        assert figures["rules"]["broken"] == 0
        return sum(at < 5_900.0 for at in seen)

    assert early(2_000.0) < early(0.0) / 2


FAULT_KINDS = st.sampled_from(
    [
        "slow",
        "pause",
        "fail",
        "vanish",
        "reset",
        "restart",
        "drain",
        "cold",
        "burst",
        "heavy-tail",
        "list-down",
        "cut-off",
        "dispatcher-restart",
    ]
)
faults = st.builds(
    Fault,
    FAULT_KINDS,
    at=st.floats(0.0, 4_500.0),
    length=st.floats(200.0, 3_000.0),
    apart=st.sampled_from([0.0, 300.0]),
    share=st.floats(0.1, 1.0),
    factor=st.floats(0.5, 6.0),
    chance=st.floats(0.0, 1.0),
    job_class=st.just("fetch"),
    planned=st.booleans(),
)


@hypothesis_settings(max_examples=25, deadline=None, derandomize=True, phases=[Phase.generate])
@given(
    st.lists(faults, max_size=4),
    st.integers(0, 1_000),
    st.booleans(),
    st.sampled_from(["plain", "library"]),
)
def test_random_faults_lose_no_request_and_break_no_rule(
    planned: list[Fault], seed: int, must_ask: bool, policy: str
) -> None:
    listing = replace(QUICK_LIST, must_ask=must_ask)
    figures, world = run_simulation(
        *sorted(planned, key=lambda fault: fault.at),
        seed=seed,
        length=5_000.0,
        listing=listing,
        clients=Clients(policy=policy, reconnect=300.0),
    )
    check_conservation(figures, world)
    # A cold worker that is also slow can do less than dispatchers are notified of, so rule 4 can't be kept.
    has_slow_fault = any(fault.kind == "slow" for fault in planned)
    assert not [b for b in world.audit.broken if b.rule != 4 or not has_slow_fault]


# ---- the auditor, with defects planted in the dispatcher ----


def violations(world: World) -> list[tuple[int, str]]:
    figures = world.play()
    assert min(figures["rules"]["broken"], MAX_KEPT_VIOLATIONS) == len(world.audit.broken) > 0
    assert all(b.history for b in world.audit.broken if b.request is not None)
    return [(b.rule, b.what) for b in world.audit.broken]


def test_the_auditor_finds_a_job_that_runs_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """The planted defect: jobs that may have run are repeated."""
    monkeypatch.setattr(EngineRules, "find_violation", lambda self, job, send: None)
    ended = Attempts._ended

    def ended_as_full(self: Attempts, attempt: Any, outcome: Outcome) -> None:
        """Treat an error as proof that the job never ran."""
        ended(self, attempt, Outcome(Ending.FULL) if outcome.ending is Ending.ERROR else outcome)

    monkeypatch.setattr(Attempts, "_ended", ended_as_full)
    found = violations(World(scenario(Fault("fail", 2_000.0, 6_000.0, chance=0.5)), 1))
    assert any(rule == 2 and "may have run" in what for rule, what in found)
    assert any(rule == 2 and "has run 2 times" in what for rule, what in found)


def test_the_auditor_finds_answers_past_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Answers, "_overdue", lambda self, job: None)
    monkeypatch.setattr(Attempts, "timed_out", lambda self, a: None)
    monkeypatch.setattr("elderstall.decisions.urgency.Urgency.is_out_of_time", lambda self, job: False)
    found = violations(World(scenario(Fault("slow", 1_000.0, 9_000.0, factor=40.0), tail=60_000.0), 1))
    assert any(rule == 1 and "past its deadline" in what for rule, what in found)


def test_the_auditor_finds_an_attempt_sent_to_a_drained_worker(monkeypatch: pytest.MonkeyPatch) -> None:
    """The planted defect: the engine ignores list updates, while the auditor receives them."""
    monkeypatch.setattr(EndpointFeed, "handle_list_update", lambda self, scope, entries=(): None)
    listed = Engine.start

    def start(self: Engine, known: tuple[Endpoint, ...], learned: Any = None) -> None:
        monkeypatch.undo()
        listed(self, known, learned)
        self.endpoints.handle_list_update = lambda scope, entries=(): None  # type: ignore[method-assign]

    monkeypatch.setattr(Engine, "start", start)
    world = World(
        scenario(Fault("drain", 2_000.0, 9_000.0, workers=("w-1",)), dispatchers=Dispatchers((1.0,))), 1
    )
    found = violations(world)
    assert any(rule == 3 and "told draining or gone" in what for rule, what in found)


def test_the_auditor_finds_a_cold_worker_that_was_overloaded(monkeypatch: pytest.MonkeyPatch) -> None:
    """The planted defect: the decisions ignore that a worker is cold."""
    monkeypatch.setattr("elderstall.decisions.slow_start.SlowStart.admits", lambda self, w, job: True)
    monkeypatch.setattr(
        "elderstall.decisions.in_flight.InFlight.is_saturated", lambda self, late=False: False
    )
    monkeypatch.setattr("elderstall.decisions.capacity.CapacityModel.max_slots_in_flight", lambda self, w: 50)
    rules = Rules(cold_for=2_000.0, push_multiple=1.2, push_window=600.0)
    world = World(
        scenario(Fault("restart", 3_000.0, 500.0), Fault("burst", 3_000.0, 6_000.0, factor=4.0), rules=rules),
        1,
    )
    found = violations(world)
    assert any(rule == 4 and "pushed over" in what for rule, what in found)


def test_the_auditor_finds_duplicate_attempts_and_rejections_of_jobs_that_may_have_run() -> None:
    world = World(scenario(), 1)
    world.begin()
    world.loop.run(3_000.0)
    process = world.dispatcher_hosts[0].process
    assert process is not None
    job = next(
        j for j in process.engine.jobs.live if j.attempt is not None and j.cls.effect is Effect.NOT_IDEMPOTENT
    )
    other = next(name for name in world.worker_hosts if name != job.attempt.worker)  # type: ignore[union-attr]
    process.upstream.send(
        other, job.request, process.deadlines.now() + 100.0, lambda share, text: None, lambda: None
    )
    process.engine.answers.close(job, Rejected())
    found = [b.what for b in world.audit.broken]
    assert any("second copy" in what for what in found) and any(
        "refused, but it may have run" in what for what in found
    )
    assert any("sent to" in line for line in history_lines(job.request.original.request))  # type: ignore[attr-defined]


def test_two_runs_in_one_process_give_the_same_figures() -> None:
    assert play(scenario(), 4) == play(scenario(), 4)


def test_many_dispatchers_that_poll_workers_lose_no_request() -> None:
    """One worker pauses and one vanishes while they are polled."""
    faults = (
        Fault("pause", at=3_000.0, length=2_000.0, workers=("w-1",)),
        Fault("vanish", at=5_000.0, length=1_500.0, workers=("w-2",)),
    )
    many_dispatchers = Dispatchers((1.0,) * 24)
    figures, world = run_simulation(*faults, dispatchers=many_dispatchers, reports=Reports(asked=True))
    check_conservation(figures, world)
    assert world.tally.probes > figures["requests"]
    unpolled, unpolled_world = run_simulation(*faults, dispatchers=many_dispatchers)
    check_conservation(unpolled, unpolled_world)
    assert unpolled_world.tally.probes == 0
