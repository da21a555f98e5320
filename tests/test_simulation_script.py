"""Scenario files: errors name file, line and key, and the command line prints them and exits with 2."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from elderstall.__main__ import main as run_main
from elderstall.cli.group import tools
from elderstall.simulation import values
from elderstall.simulation.compare import difference
from elderstall.simulation.draws import Draws
from elderstall.simulation.reading import SHIPPED_SCENARIOS, ScenarioError, find, read

TEXT = """name test
length 4s
tail 5s
<load>
  rate 20
</load>
<kind box>
  speed 2
</kind>
<workers w>
  kind box
  count 3
</workers>
<class fetch>
  share 1
  work 100ms
  aim 300ms
  deadline 2s
  worth 1
</class>
<slow>
  at 1s
  for 2s
  share 50%
  factor 3
</slow>
"""


@pytest.fixture
def scenario_file(tmp_path: Path) -> Path:
    path = tmp_path / "test.conf"
    path.write_text(TEXT)
    return path


@pytest.mark.parametrize(
    ("old", "new", "line", "key", "reason"),
    [
        ("at 1s", "at -1s", 22, "<slow> at", "not a time of at least 0"),
        ("at 1s", "at 9s", 22, "<slow> at", "past the end of the scenario"),
        ("share 50%", "workers w-9", 24, "<slow> workers", "there is no 'w-9'"),
        ("share 50%", "share 150%", 24, "<slow> share", "above the maximum of 100%"),
        ("factor 3", "factor 0", 25, "<slow> factor", "above zero"),
        ("factor 3", "factr 3", 25, "<slow> factr", "not a known key"),
        ("factor 3", "factor 3\n  ramp 2s", 26, "<slow> ramp", "longer than the fault itself"),
        ("count 3", "count 10000", 12, "<workers w> count", "at most 5000"),
        ("count 3", "count 3\n  speeds 1 2", 13, "<workers w> speeds", "2 speeds for 3 workers"),
        ("kind box\n", "kind bax\n", 11, "<workers w> kind", "there is no kind 'bax'"),
        ("rate 20", "", 4, "<load> rate", "give either rate"),
        ("rate 20", "rate 2000000000", 5, "<load> rate", "jobs; at most"),
        ("<slow>", "<sloow>", 21, "", "unknown type name"),
        ("share 1\n", "", 19, "", "no value"),
        ("name test", "nonsense 1\nname test", 1, "nonsense", "not a known key"),
        ("work 100ms", "work 100", 16, "<class fetch> work", "not a time"),
        ("share 1\n", "share 0\n", 15, "<class fetch> share", "must sum to more than zero"),
    ],
)
def test_errors_name_file_line_and_key(
    scenario_file: Path, old: str, new: str, line: int, key: str, reason: str
) -> None:
    scenario_file.write_text(TEXT.replace(old, new, 1))
    with pytest.raises(ScenarioError) as caught:
        read(scenario_file)
    assert (caught.value.line, caught.value.key) == (line, key) and reason in str(caught.value)
    assert f"test.conf:{line}" in str(caught.value)


def test_an_error_in_an_included_file_names_that_file(scenario_file: Path) -> None:
    (scenario_file.parent / "more.inc").write_text("<tenant a>\n  share x\n  quota 1\n</tenant>\n")
    scenario_file.write_text(TEXT + "%include more.inc\n")
    with pytest.raises(ScenarioError, match=r"more\.inc:2: <tenant a> share"):
        read(scenario_file)


def test_unusual_values_are_warnings(scenario_file: Path) -> None:
    scenario_file.write_text(TEXT.replace("for 2s", "for 30s").replace("rate 20", "rate 2000"))
    _, warnings = read(scenario_file)
    assert [w.split(": ")[1] for w in warnings] == ["<load> rate", "<slow> for"]


def test_overrides_replace_values_and_are_checked(scenario_file: Path) -> None:
    scenario, _ = read(scenario_file, ["load/rate=5", "slow/factor=2", "seed=9"])
    assert (scenario.load.rate, scenario.faults[0].factor, scenario.seed) == (5.0, 2.0, 9)
    scenario, _ = read(scenario_file, ["clients/retries=3", "rules/max-attempts=2", "load/rate=6"])
    assert (scenario.clients.retries, scenario.rules.max_attempts, scenario.load.rate) == (3.0, 2, 6.0)
    for change in ("load/rate=x", "nobody/rate=1", "load/rate", "slow/at=99s", "clients/nothing=1"):
        with pytest.raises(ScenarioError):
            read(scenario_file, [change])


def test_a_level_is_a_share_of_the_fleets_capacity(scenario_file: Path) -> None:
    scenario_file.write_text(TEXT.replace("rate 20", "level 50%"))
    scenario, _ = read(scenario_file)
    assert scenario.load.rate == pytest.approx(
        0.5 * 3 * 2 * 2.0 / 0.1
    )  # workers x cores x speed / s of a job


@pytest.mark.parametrize(("text", "ms"), [("250ms", 250.0), ("1.5s", 1_500.0), ("2m", 120_000.0), ("0s", 0)])
def test_durations(text: str, ms: float) -> None:
    assert values.duration(text) == ms


@pytest.mark.parametrize("text", ["", "5", "-5s", "1 hour", "nan", "infs", "1e3s"])
def test_malformed_durations_are_rejected(text: str) -> None:
    with pytest.raises(ValueError):
        values.duration(text)


# ---- the command line ----


def run(*arguments: str) -> Any:
    return CliRunner().invoke(tools, ["simulate", *arguments], standalone_mode=False)


def test_run_prints_tables_and_writes_json_and_a_report(
    scenario_file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    out = scenario_file.with_name("out.json")
    report = scenario_file.with_name("out.html")
    assert run_main(["simulate", "run", str(scenario_file), "--json", str(out), "--report", str(report)]) == 0
    figures = json.loads(out.read_text())
    assert figures["night"] == "test" and sum(figures["endings"].values()) == figures["requests"] > 40
    shown = capsys.readouterr().out
    assert "worst 10 s" in shown and "fetch" in shown and "slow for 2 s: w-" in shown
    page = report.read_text()
    assert page.count("<svg") == 2 and "All four kept" in page


def test_json_is_the_only_text_on_standard_output(scenario_file: Path) -> None:
    done = run("run", str(scenario_file), "--json", "-")
    assert json.loads(done.output)["rules"]["broken"] == 0


def test_exit_status_and_messages(scenario_file: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert run_main(["simulate", "check", str(scenario_file)]) == 0
    assert run_main(["simulate", "check", "no-such-night"]) == 2
    assert "no such file" in capsys.readouterr().err
    scenario_file.write_text(TEXT.replace("factor 3", "factor 0"))
    assert run_main(["simulate", "run", str(scenario_file)]) == 2
    assert "test.conf:25: <slow> factor" in capsys.readouterr().err
    assert run_main(["simulate", "run"]) == 2
    assert run_main(["simulate", "nonsense"]) == 2
    assert run_main(["nonsense"]) == 2
    scenario_file.write_text(TEXT)
    assert (
        run_main(
            ["simulate", "run", str(scenario_file), "--json", str(scenario_file.parent / "no" / "x.json")]
        )
        == 1
    )


def test_the_former_command_works_with_one_line_of_notice(
    scenario_file: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_main(["simulate", "run", str(scenario_file), "--json", "-"]) == 0
    current = capsys.readouterr()
    assert run_main(["rehearse", "run", str(scenario_file), "--json", "-"]) == 0
    former = capsys.readouterr()
    notice = "elderstall: 'rehearse' is now 'simulate'; the old name works for this version only\n"
    assert "core_time" in current.out and without_times(current.out) == without_times(former.out)
    assert former.err == notice + current.err
    assert run_main(["rehearse", "check", "no-such-night"]) == 2
    assert capsys.readouterr().err.startswith(notice)
    assert run_main(["rehearse", "nonsense"]) == 2
    shown = CliRunner().invoke(tools, ["--help"]).output
    assert "simulate" in shown and "rehearse" not in shown


def without_times(figures: str) -> Any:
    """Return the figures without ``core_time``."""
    return {key: value for key, value in json.loads(figures).items() if key != "core_time"}


def test_a_broken_rule_is_printed_with_its_history_and_exit_status_1(
    scenario_file: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    scenario_file.write_text(
        TEXT.replace("tail 5s", "tail 5s\n<rules>\n  slack 0ms\n</rules>")
        .replace("factor 3", "factor 60")
        .replace("deadline 2s", "deadline 400ms")
    )
    monkeypatch.setattr("elderstall.engine.answers.Answers._overdue", lambda self, job: None)
    monkeypatch.setattr("elderstall.engine.attempts.Attempts.timed_out", lambda self, a: None)
    monkeypatch.setattr("elderstall.decisions.urgency.Urgency.is_out_of_time", lambda self, job: False)
    assert run_main(["simulate", "run", str(scenario_file)]) == 1
    errors = capsys.readouterr().err
    assert "rule 1 broken" in errors and "attempt 0 sent to w-" in errors and "try 1 of fetch at n1" in errors


def test_explain_prints_the_whole_history_of_a_request(scenario_file: Path) -> None:
    done = run("explain", str(scenario_file), "7", "--json")
    request = json.loads(done.output)
    assert request["request"] == 7 and request["class"] == "fetch" and request["ending"] == "served"
    assert [line.split("s  ")[1].split(" ")[0] for line in request["history"]] == [
        "try",
        "attempt",
        "attempt",
        "attempt",
        "try",
    ]
    assert run("explain", str(scenario_file), "99999").return_value == 1


def test_list_names_the_scenarios_that_come_with_the_program() -> None:
    rows = json.loads(run("list", "--json").output)
    assert {row["name"] for row in rows} >= {
        "calm",
        "slow-quarter",
        "paused-worker",
        "outage",
        "exam-week",
        "rolling-restart",
        "cold-rush",
    }
    assert all(row["describe"] and row["workers"] for row in rows)


def test_compare_pairs_by_seed(scenario_file: Path) -> None:
    done = run(
        "compare",
        str(scenario_file),
        str(scenario_file),
        "--set-second",
        "slow/factor=30",
        "--seeds",
        "1-3",
        "--processes",
        "2",
        "--json",
        "-",
    )
    comparison = json.loads(done.output)
    service = next(m for m in comparison["measures"] if m["name"] == "service, whole")
    assert len(comparison["pairs"]) == 3 and service["difference"] < 0
    same = run("compare", str(scenario_file), str(scenario_file), "--seeds", "2", "--json", "-")
    assert all(m["difference"] == 0 and m["half"] is None for m in json.loads(same.output)["measures"])
    assert "neither a seed nor a range" in str(run("compare", "a", "b", "--seeds", "x").exception)


def test_the_interval_is_students_paired_t() -> None:
    result = difference("x", [1.0, 2.0, 3.0, 4.0], [1.5, 2.1, 3.6, 4.4])
    # differences .5 .1 .6 .4: mean .4, s .2160; 3.182 s / 2 = .3437
    assert (
        result.difference == pytest.approx(0.4)
        and result.half == pytest.approx(0.3437, abs=1e-4)
        and result.clear
    )


# ---- random numbers ----


def test_a_stream_depends_only_on_its_name_and_the_seed() -> None:
    def first_draws(seed: int, *stream_name: str) -> list[float]:
        stream = Draws(seed).uniform(*stream_name)
        return [next(stream) for _ in range(40)]

    assert first_draws(1, "a", "b") == first_draws(1, "a", "b")
    assert len({tuple(first_draws(*args)) for args in ((1, "a"), (1, "b"), (2, "a"), (1, "a", "b"))}) == 4


@pytest.mark.parametrize("shape", ["lognormal", "pareto", "exponential", "constant"])
def test_drawn_work_has_the_mean_asked_for(shape: str) -> None:
    draws = Draws(3).work(shape, 200.0, 1.0, "w")
    assert sum(next(draws) for _ in range(20_000)) / 20_000 == pytest.approx(200.0, rel=0.05)


def test_a_scenario_is_found_by_path_before_name() -> None:
    assert find("calm") == SHIPPED_SCENARIOS / "calm.conf"
    with pytest.raises(ScenarioError):
        find("calm.conff")
