"""Fidelity of the emulator: days of the operators' simulator, described as scripts and played by both.

    python -m benchmarks.fidelity --reference COMMAND --days FOLDER [--noises 4] [--seeds 8] [--json FILE]

FOLDER holds day files as the simulator draws them; COMMAND runs one of them and prints its figures as JSON.
Each day is played under several noises there and under several seeds here, as one play of a heavy-tailed day
says little. Calibrated are the arrival rate, which is that of the reference's own plays, and where long jobs
are cut: what is compared is what becomes of the jobs.
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

NOISES = (
    2301020008297118,
    771020008297118,
    92301020118297,
    5502301020008297,
    81230971234771,
    660120997120045,
)
WHY = "Reference for the fidelity of the rehearsal emulator"


def ms(us: float) -> str:
    return f"{us / 1000:.6g}ms"


def script_of(day: dict[str, Any], name: str, rate: float) -> str:
    """Describe a day as a scenario's script."""
    tier, clients, net = day["tiers"][0], day["clients"], day["net"]
    lines = [
        f"name {name}",
        f"length {ms(day['length'])}",
        f"tail {ms(day['tail'])}",
        "<network>",
        f"  delay {net['same'] / 1000:.6g}ms",
        f"  client-delay {net['client'] / 1000:.6g}ms",
        f"  jitter {net['jitter']:.6g}",
        f"  handshake-trips {tier['handshake_rtts']:.6g}",
        f"  connect-timeout {ms(tier['connect_timeout'])}",
        f"  idle-close {ms(tier['conn_idle'])}",
        "</network>",
        "<rules>",
        "  slack 8ms",
        f"  drain-grace {ms(day['drain_grace'])}",
        f"  cold-share {tier['stated_cold_from']}",
        f"  cold-for {ms(tier['stated_cold'])}",
        f"  push-multiple {day['fall_multiple']:g}",
        f"  push-window {ms(day['fall_for'])}",
        f"  max-attempts {day['allow']['max_attempts']}",
        f"  tick {ms(day['tick'])}",
        f"  cpu-per-second {day['allow']['cpu_us_per_s']:g}",
        f"  cpu-per-job {day['allow']['cpu_us_per_request']:g}",
        f"  over-share-worth {day['traffic']['over_share_worth']:g}",
        "</rules>",
        "<list>",
        f"  notice {ms(day['discovery']['notice'])}",
        f"  silent-notice {ms(day['discovery']['silent_notice'])}",
        f"  add {ms(day['discovery']['add'])}",
        f"  period {ms(day['discovery']['period'])}",
        f"  spread {ms(day['discovery']['spread'])}",
        f"  lines-per-second {day['discovery']['lines_per_s']:g}",
        "</list>",
        "<reports>",
        f"  period {ms(tier['report_period'])}",
        f"  delay {ms(tier['report_delay'])}",
        f"  noise {tier['report_noise']:.6g}",
        f"  progress {ms(day['fam']['progress'])}",
        f"  checkpoint {ms(day['fam']['checkpoint'])}",
        "</reports>",
        "<clients>",
        f"  retries {clients['retries']:g}",
        f"  backoff {ms(clients['backoff_us'])}",
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
    for n, k in enumerate(tier["kinds"]):
        speeds = [s["speed"] for s in day["servers"] if s["kind"] == n]
        lines += [
            f"<kind {k['name']}>",
            f"  cores {k['cores']}",
            f"  slots {k['slots']}",
            f"  queue {k['queue']}",
            f"  cold-share {k['cold_from']:.6g}",
            f"  cold-for {ms(k['cold'])}",
            f"  cancel {'waiting' if k['cancel'] == 'queued' else 'none'}",
            f"  drops-expired {'yes' if k['drops_expired'] else 'no'}",
            f"  connection-work {tier['handshake_work'] / 1000:.6g}ms",
            f"  connection-tax {tier['conn_full_tax']:.6g}",
            f"  connections {int(tier['conn_cap_per_core'] * k['cores'])}",
            f"  errors {k['error_rate']:.8f}",
            "</kind>",
        ]
        if speeds:
            lines += [
                f"<workers k{n}>",
                f"  kind {k['name']}",
                f"  count {len(speeds)}",
                "  zone bog-1",
                "  speeds " + " ".join(f"{x:.6g}" for x in speeds),
                "</workers>",
            ]
    for c, need in zip(day["classes"], day["fam"]["needs"], strict=True):
        lines += [
            f"<class {c['name']}>",
            f"  share {c['share']:.6g}",
            f"  work {ms(c['work'])}",
            f"  longest {ms(c['deadline'] / 2)}",  # the reference's longest jobs are of that work
            f"  spread {c['cv']:.6g}",
            f"  distribution {c['dist']}",
            f"  noise {c['attempt_noise']:.6g}",
            f"  hint-spread {day['traffic']['hint_cv']:.6g}",
            f"  aim {ms(c['aim'])}",
            f"  stretch {need['stretch']:g}",
            f"  deadline {ms(c['deadline'])}",
            f"  worth {c['worth']:g}",
            f"  effect {c['effect']}",
            "</class>",
        ]
    per_job = sum(c["share"] * c["work"] for c in day["classes"]) / 1e6
    power = sum(s["speed"] * tier["kinds"][s["kind"]]["cores"] for s in day["servers"])
    for t in day["tenants"]:
        lines += [
            f"<tenant {t['name']}>",
            f"  share {t['traffic']:.6g}",
            f"  quota {t['quota'] * power / per_job:.6g}",
            "</tenant>",
        ]
    names = [
        f"k{s['kind']}-{sum(o['kind'] == s['kind'] for o in day['servers'][:n]) + 1}"
        for n, s in enumerate(day["servers"])
    ]
    for t in day["troubles"]:
        lines += [
            f"<{t['kind'].replace('_', '-')}>",
            f"  at {ms(t['at'])}",
            f"  for {ms(t['len'])}",
            f"  factor {t['size']:.6g}",
        ]
        if t["kind"] == "slow":
            lines.append("  workers " + " ".join(names[n] for n in t["on"]))
        elif t["kind"] == "heavy_tail":
            lines += [f"  class {day['classes'][t['which']]['name']}", f"  chance {t['extra']:.6g}"]
        elif t["kind"] == "burst":
            lines.append(f"  ramp {ms(min(t['extra'] * 1e6, t['len'] / 2))}")
        lines.append(f"</{t['kind'].replace('_', '-')}>")
    return "\n".join(lines) + "\n"


def reference(command: list[str], day: dict[str, Any], folder: Path, name: str, noise: int) -> dict[str, Any]:
    path = folder / f"{name}-{noise}.json"
    write_text_atomically(path, json.dumps({**day, "noise": noise}))
    done = subprocess.run(
        [*command, str(path), "--json", "--why", WHY], capture_output=True, text=True, check=False
    )  # its status speaks of broken rules, which the figures tell too
    figures: dict[str, Any] = json.loads(done.stdout)
    if figures["fault"] or figures["breaks"]:
        raise SystemExit(f"{name}: the reference broke off: {figures['fault']} {figures['breaks']}")
    return figures


def emulate(args: tuple[str, int]) -> dict[str, Any]:
    scenario, _ = read(Path(args[0]))
    return play(scenario, args[1])


def spearman(a: list[float], b: list[float]) -> float:
    ranks = [np.argsort(np.argsort(x)) for x in (a, b)]
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
            theirs = list(
                pool.map(
                    lambda noise, day=day, path=path: reference(command, day, args.work, path.stem, noise),
                    NOISES[: args.noises],
                )
            )
        rate = fmean(o["requests"] for o in theirs) / (day["length"] / 1e6)
        script = args.work / f"{path.stem}.conf"
        write_text_atomically(script, script_of(day, path.stem, rate))
        with ProcessPoolExecutor() as procs:
            ours = list(procs.map(emulate, [(str(script), seed + 1) for seed in range(args.seeds)]))
        classes = [c["name"] for c in day["classes"]]
        row = {
            "day": path.stem,
            "theirs": fmean(o["g"] for o in theirs),
            "ours": fmean(o["figure"] for o in ours),
            "rate": rate,
            "whole": (fmean(o["whole"] for o in theirs), fmean(o["service"]["whole"] for o in ours)),
            "worst": (
                fmean(o["worst_window"] for o in theirs),
                fmean(o["service"]["worst_10_s"] for o in ours),
            ),
            "spread": float(np.std([o["g"] for o in theirs])),
            "broken": sum(o["rules"]["broken"] for o in ours),
            "classes": {
                name: (
                    fmean(o["classes"][n]["served"] / o["classes"][n]["offered"] for o in theirs),
                    fmean(o["classes"][name]["service"] for o in ours),
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
    theirs_all, ours_all = [r["theirs"] for r in rows], [r["ours"] for r in rows]
    result = {
        "days": len(rows),
        "mean_abs_difference": fmean(abs(a - b) for a, b in zip(theirs_all, ours_all, strict=True)),
        "mean_abs_difference_whole": fmean(abs(r["whole"][0] - r["whole"][1]) for r in rows),
        "mean_abs_difference_class": fmean(abs(a - b) for r in rows for a, b in r["classes"].values()),
        "spearman": spearman(theirs_all, ours_all),
    }
    print(json.dumps(result))
    if args.json:
        write_text_atomically(args.json, json.dumps({"rows": rows, **result}, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
