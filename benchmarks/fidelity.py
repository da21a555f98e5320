"""Fidelity of the simulation: days of the operators' simulator, written as scenarios and run by both.

    python -m benchmarks.fidelity --reference COMMAND --days FOLDER [--noises 4] [--seeds 8] [--json FILE]

FOLDER holds day files as the reference simulator generates them; COMMAND runs one of them and prints its
figures as JSON. Each day runs with several noise seeds in the reference and with several seeds here, as the
result of a single run varies too much under a heavy-tailed load. Two inputs are calibrated: the arrival rate
is that of the reference's runs, and job durations are capped as there. The jobs' outcomes are compared.
"""

from __future__ import annotations

import argparse
import json
import shlex
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from pathlib import Path
from statistics import fmean
from typing import Any

import numpy as np

from elderstall.atomic_file import write_text_atomically
from elderstall.simulation.reading import read
from elderstall.simulation.world import play

NOISE_SEEDS = (
    2301020008297118,
    771020008297118,
    92301020118297,
    5502301020008297,
    81230971234771,
    660120997120045,
)
REFERENCE_REASON = "Reference for the fidelity of the rehearsal emulator"


def milliseconds(duration_us: float) -> str:
    """Return a duration in the form of a scenario file."""
    return f"{duration_us / 1000:.6g}ms"


def scenario_text(day: dict[str, Any], name: str, rate: float) -> str:
    """Return a day as the text of a scenario file."""
    tier = day["tiers"][0]
    clients = day["clients"]
    net = day["net"]
    lines = [
        f"name {name}",
        f"length {milliseconds(day['length'])}",
        f"tail {milliseconds(day['tail'])}",
        "<network>",
        f"  delay {net['same'] / 1000:.6g}ms",
        f"  client-delay {net['client'] / 1000:.6g}ms",
        f"  jitter {net['jitter']:.6g}",
        f"  handshake-trips {tier['handshake_rtts']:.6g}",
        f"  connect-timeout {milliseconds(tier['connect_timeout'])}",
        f"  idle-close {milliseconds(tier['conn_idle'])}",
        "</network>",
        "<rules>",
        "  slack 8ms",
        f"  drain-grace {milliseconds(day['drain_grace'])}",
        f"  cold-share {tier['stated_cold_from']}",
        f"  cold-for {milliseconds(tier['stated_cold'])}",
        f"  push-multiple {day['fall_multiple']:g}",
        f"  push-window {milliseconds(day['fall_for'])}",
        f"  max-attempts {day['allow']['max_attempts']}",
        f"  tick {milliseconds(day['tick'])}",
        f"  cpu-per-second {day['allow']['cpu_us_per_s']:g}",
        f"  cpu-per-job {day['allow']['cpu_us_per_request']:g}",
        f"  over-share-worth {day['traffic']['over_share_worth']:g}",
        "</rules>",
        "<list>",
        f"  notice {milliseconds(day['discovery']['notice'])}",
        f"  silent-notice {milliseconds(day['discovery']['silent_notice'])}",
        f"  add {milliseconds(day['discovery']['add'])}",
        f"  period {milliseconds(day['discovery']['period'])}",
        f"  spread {milliseconds(day['discovery']['spread'])}",
        f"  lines-per-second {day['discovery']['lines_per_s']:g}",
        "</list>",
        "<reports>",
        f"  period {milliseconds(tier['report_period'])}",
        f"  delay {milliseconds(tier['report_delay'])}",
        f"  noise {tier['report_noise']:.6g}",
        f"  progress {milliseconds(day['fam']['progress'])}",
        f"  checkpoint {milliseconds(day['fam']['checkpoint'])}",
        "</reports>",
        "<clients>",
        f"  retries {clients['retries']:g}",
        f"  backoff {milliseconds(clients['backoff_us'])}",
        f"  backoff-doubles {'yes' if clients['backoff'] == 'exp' else 'no'}",
        f"  honour {clients['honour']:.6g}",
        f"  impatient {clients['impatient']:.6g}",
        "</clients>",
        "<dispatchers>",
        f"  count {len(day['balancers'])}",
        "  weights " + " ".join(f"{b['weight']:.6g}" for b in day["balancers"]),
        "</dispatchers>",
        "<load>",
        f"  rate {rate:.6g}",
    ]
    if day["traffic"]["shape"]:
        lines.append("  shape " + " ".join(f"{at:.6g}s={y:.6g}" for at, y in day["traffic"]["shape"]))
    lines.append("</load>")
    for number, kind in enumerate(tier["kinds"]):
        speeds = [s["speed"] for s in day["servers"] if s["kind"] == number]
        lines += [
            f"<kind {kind['name']}>",
            f"  cores {kind['cores']}",
            f"  slots {kind['slots']}",
            f"  queue {kind['queue']}",
            f"  cold-share {kind['cold_from']:.6g}",
            f"  cold-for {milliseconds(kind['cold'])}",
            f"  cancel {'waiting' if kind['cancel'] == 'queued' else 'none'}",
            f"  drops-expired {'yes' if kind['drops_expired'] else 'no'}",
            f"  connection-work {tier['handshake_work'] / 1000:.6g}ms",
            f"  connection-tax {tier['conn_full_tax']:.6g}",
            f"  connections {int(tier['conn_cap_per_core'] * kind['cores'])}",
            f"  errors {kind['error_rate']:.8f}",
            "</kind>",
        ]
        if speeds:
            lines += [
                f"<workers k{number}>",
                f"  kind {kind['name']}",
                f"  count {len(speeds)}",
                "  zone bog-1",
                "  speeds " + " ".join(f"{x:.6g}" for x in speeds),
                "</workers>",
            ]
    for job_class, need in zip(day["classes"], day["fam"]["needs"], strict=True):
        lines += [
            f"<class {job_class['name']}>",
            f"  share {job_class['share']:.6g}",
            f"  work {milliseconds(job_class['work'])}",
            f"  longest {milliseconds(job_class['deadline'] / 2)}",  # as in the reference
            f"  spread {job_class['cv']:.6g}",
            f"  distribution {job_class['dist']}",
            f"  noise {job_class['attempt_noise']:.6g}",
            f"  hint-spread {day['traffic']['hint_cv']:.6g}",
            f"  aim {milliseconds(job_class['aim'])}",
            f"  stretch {need['stretch']:g}",
            f"  deadline {milliseconds(job_class['deadline'])}",
            f"  worth {job_class['worth']:g}",
            f"  effect {job_class['effect']}",
            "</class>",
        ]
    work_per_job_s = sum(c["share"] * c["work"] for c in day["classes"]) / 1e6
    capacity = sum(s["speed"] * tier["kinds"][s["kind"]]["cores"] for s in day["servers"])
    for tenant in day["tenants"]:
        lines += [
            f"<tenant {tenant['name']}>",
            f"  share {tenant['traffic']:.6g}",
            f"  quota {tenant['quota'] * capacity / work_per_job_s:.6g}",
            "</tenant>",
        ]
    worker_names = [
        f"k{server['kind']}-{sum(earlier['kind'] == server['kind'] for earlier in day['servers'][:n]) + 1}"
        for n, server in enumerate(day["servers"])
    ]
    for fault in day["troubles"]:
        lines += [
            f"<{fault['kind'].replace('_', '-')}>",
            f"  at {milliseconds(fault['at'])}",
            f"  for {milliseconds(fault['len'])}",
            f"  factor {fault['size']:.6g}",
        ]
        if fault["kind"] == "slow":
            lines.append("  workers " + " ".join(worker_names[n] for n in fault["on"]))
        elif fault["kind"] == "heavy_tail":
            lines += [f"  class {day['classes'][fault['which']]['name']}", f"  chance {fault['extra']:.6g}"]
        elif fault["kind"] == "burst":
            lines.append(f"  ramp {milliseconds(min(fault['extra'] * 1e6, fault['len'] / 2))}")
        lines.append(f"</{fault['kind'].replace('_', '-')}>")
    return "\n".join(lines) + "\n"


def run_reference(
    command: list[str], day: dict[str, Any], folder: Path, name: str, noise: int
) -> dict[str, Any]:
    """Run a day in the reference simulator; return its figures."""
    path = folder / f"{name}-{noise}.json"
    write_text_atomically(path, json.dumps({**day, "noise": noise}))
    completed = subprocess.run(
        [*command, str(path), "--json", "--why", REFERENCE_REASON],
        capture_output=True,
        text=True,
        check=False,
    )  # its exit status reports broken rules, which the figures contain as well
    figures: dict[str, Any] = json.loads(completed.stdout)
    if figures["fault"] or figures["breaks"]:
        raise SystemExit(f"{name}: the reference run was aborted: {figures['fault']} {figures['breaks']}")
    return figures


def simulate(path_and_seed: tuple[str, int]) -> dict[str, Any]:
    """Run a scenario file in this project's simulation; return its figures."""
    scenario, _ = read(Path(path_and_seed[0]))
    return play(scenario, path_and_seed[1])


def spearman(first: list[float], second: list[float]) -> float:
    """Return the rank correlation of two lists; equal values are ranked in an arbitrary order."""
    ranks = [np.argsort(np.argsort(values)) for values in (first, second)]
    return float(np.corrcoef(ranks[0], ranks[1])[0, 1])


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--reference", required=True)
    parser.add_argument("--days", required=True, type=Path)
    parser.add_argument("--work", type=Path, default=Path("build/fidelity"))
    parser.add_argument("--noises", type=int, default=4)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    args.work.mkdir(parents=True, exist_ok=True)
    command = shlex.split(args.reference)
    rows = []
    for path in sorted(args.days.glob("*.json")):
        day = json.loads(path.read_text())
        with ThreadPoolExecutor(4) as pool:
            reference_runs = list(
                pool.map(
                    lambda noise, day=day, path=path: run_reference(
                        command, day, args.work, path.stem, noise
                    ),
                    NOISE_SEEDS[: args.noises],
                )
            )
        rate = fmean(run["requests"] for run in reference_runs) / (day["length"] / 1e6)
        scenario_path = args.work / f"{path.stem}.conf"
        write_text_atomically(scenario_path, scenario_text(day, path.stem, rate))
        with ProcessPoolExecutor() as processes:
            simulated_runs = list(
                processes.map(simulate, [(str(scenario_path), seed + 1) for seed in range(args.seeds)])
            )
        classes = [c["name"] for c in day["classes"]]
        row = {
            "day": path.stem,
            "theirs": fmean(run["g"] for run in reference_runs),
            "ours": fmean(run["figure"] for run in simulated_runs),
            "rate": rate,
            "whole": (
                fmean(run["whole"] for run in reference_runs),
                fmean(run["service"]["whole"] for run in simulated_runs),
            ),
            "worst": (
                fmean(run["worst_window"] for run in reference_runs),
                fmean(run["service"]["worst_10_s"] for run in simulated_runs),
            ),
            "spread": float(np.std([run["g"] for run in reference_runs])),
            "broken": sum(run["rules"]["broken"] for run in simulated_runs),
            "classes": {
                name: (
                    fmean(
                        run["classes"][n]["served"] / run["classes"][n]["offered"] for run in reference_runs
                    ),
                    fmean(run["classes"][name]["service"] for run in simulated_runs),
                )
                for n, name in enumerate(classes)
            },
        }
        rows.append(row)
        cells = "  ".join(f"{a:.2f}/{b:.2f}" for a, b in row["classes"].values())
        print(
            f"{row['day']:18s} figure {row['theirs']:.3f}/{row['ours']:.3f} "
            f"({row['ours'] - row['theirs']:+.3f}, noise {row['spread']:.3f})  "
            f"whole {row['whole'][0]:.3f}/{row['whole'][1]:.3f}  "
            f"worst {row['worst'][0]:.3f}/{row['worst'][1]:.3f}  classes {cells}  broken {row['broken']}",
            flush=True,
        )
    reference_values = [r["theirs"] for r in rows]
    simulated_values = [r["ours"] for r in rows]
    result = {
        "days": len(rows),
        "mean_abs_difference": fmean(
            abs(a - b) for a, b in zip(reference_values, simulated_values, strict=True)
        ),
        "mean_abs_difference_whole": fmean(abs(r["whole"][0] - r["whole"][1]) for r in rows),
        "mean_abs_difference_class": fmean(abs(a - b) for r in rows for a, b in r["classes"].values()),
        "spearman": spearman(reference_values, simulated_values),
    }
    print(json.dumps(result))
    if args.json:
        write_text_atomically(args.json, json.dumps({"rows": rows, **result}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
