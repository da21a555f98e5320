"""Decisions and figures of the shipped scenarios equal the recorded ones (benchmarks/decision_digest.py).

All scenarios are run in full with two seeds. After an intended change of decisions,
``python -m benchmarks.decision_digest --write`` records them again.
"""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import dataclass, replace

import pytest

from benchmarks.decision_digest import (
    ACTIONS,
    SEEDS,
    Digest,
    Recorder,
    UnmappedNameError,
    canonical_action,
    difference,
    digest,
    figures_text,
    read_recorded,
    run_names,
    run_scenario,
    scenario_names,
    write_recorded,
)
from benchmarks.random_events import drive
from elderstall.interface import LogLine, RejectJob, SendAttempt, WatchEndpoints
from tests.simulation_scenarios import scenario


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", run_names())
def test_decisions_and_figures_are_as_recorded(name: str, seed: int) -> None:
    assert difference(read_recorded().get((name, seed)), digest(name, seed)) == ""


def test_every_shipped_scenario_is_recorded_with_every_seed() -> None:
    assert set(read_recorded()) == {(name, seed) for name in run_names() for seed in SEEDS}
    assert set(scenario_names()) <= set(run_names())


@pytest.mark.parametrize(
    ("name", "action"),
    [
        ("events-polled", "probes"),
        ("events-pulled", "probes"),
        ("events-subset", "probes"),
        ("events-keys", "sends"),
        ("events-starts", "refused"),
    ],
)
def test_random_events_cover_the_paths_that_the_scenarios_do_not(name: str, action: str) -> None:
    assert drive(name, SEEDS[0])[action] > 50


def test_digest_does_not_depend_on_the_hash_seed() -> None:
    command = "from benchmarks.decision_digest import digest; print(digest('cold-rush', 1))"
    outputs = {
        subprocess.run(
            [sys.executable, "-c", command],
            check=True,
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("0", "1", "4242")
    }
    assert len(outputs) == 1
    assert outputs == {f"{digest('cold-rush', 1)}\n"}


def test_one_changed_decision_changes_the_digest(monkeypatch: pytest.MonkeyPatch) -> None:
    small = scenario(length=3_000.0)
    before, _ = run_scenario(small, 1, Recorder())
    assert run_scenario(small, 1, Recorder())[0] == before
    original = SendAttempt.__init__
    seen = 0

    def later(self: SendAttempt, job: int, worker: str, time_out: float = 0.0) -> None:
        nonlocal seen
        seen += 1
        original(self, job, worker, time_out + (1e-9 if seen == 20 else 0.0))

    monkeypatch.setattr(SendAttempt, "__init__", later)
    after, _ = run_scenario(small, 1, Recorder())
    assert seen >= 20
    assert after.decisions != before.decisions
    assert "decisions" in difference(before, after)


def test_actions_are_written_by_canonical_names_and_exact_values() -> None:
    assert canonical_action(SendAttempt(7, "w", 0.1)) == (
        'send job=7 time_out=0x1.999999999999ap-4 worker="w"'
    )
    assert canonical_action(RejectJob(7, 200.0, "full fleet")) == (
        'refuse job=7 retry_after=0x1.9000000000000p+7 why="full fleet"'
    )
    assert canonical_action(WatchEndpoints()) == "follow_list"
    assert canonical_action(LogLine("pace 1.25, -3 jobs held")) == "log text=[1.25 -3]"


def test_an_action_that_the_mapping_lacks_is_an_error() -> None:
    @dataclass(frozen=True)
    class SendAttempt:
        job: int
        worker: str

    with pytest.raises(UnmappedNameError, match="SendAttempt has the fields"):
        canonical_action(SendAttempt(1, "w"))
    with pytest.raises(UnmappedNameError, match="ACTIONS has no int"):
        canonical_action(1)
    with pytest.raises(UnmappedNameError, match="REASONS has no"):
        canonical_action(RejectJob(1, 0.0, "other"))


def test_an_unmapped_action_fails_the_run_although_the_engine_continues(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.delitem(ACTIONS, "SetTimer")
    with pytest.raises(UnmappedNameError, match="ACTIONS has no SetTimer"):
        run_scenario(scenario(length=1_000.0), 1, Recorder())


def test_figures_do_not_depend_on_the_order_of_their_keys() -> None:
    assert (
        figures_text({"b": 0.5, "a": [1, None]})
        == figures_text({"a": [1, None], "b": 0.5})
        == ('{"a":[1,null],"b":"0x1.0000000000000p-1"}')
    )


def test_writing_keeps_the_rows_of_other_scenarios(tmp_path_factory: pytest.TempPathFactory) -> None:
    path = tmp_path_factory.mktemp("digests") / "d.json"
    row = Digest("f", "d", 7, 3)
    write_recorded({("calm", 1): row}, path)
    write_recorded({("calm", 2): replace(row, actions=1)}, path)
    assert read_recorded(path) == {("calm", 1): row, ("calm", 2): replace(row, actions=1)}
    assert difference(row, row) == ""
    assert difference(row, replace(row, decisions="e", actions=1)) == "decisions, 1 actions, recorded 7"
    assert difference(None, row) == "not recorded"
