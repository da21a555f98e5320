"""Digests of simulation runs of all shipped scenarios: their figures and every decision, in order.

    python -m benchmarks.decision_digest             # run all, print a table
    python -m benchmarks.decision_digest --check     # ... and compare with the recorded digests
    python -m benchmarks.decision_digest --write     # ... and record them: the only command that does so

All forms accept ``--only PLAY`` and ``--processes N``; ``--check`` and ``--write`` accept a file to use in
place of ``tests/data/decision_digests.json``. ``--lines FOLDER`` also writes the lines behind each digest, so
that ``diff`` can compare two versions.

The shipped scenarios do not reach some code paths of the decisions (notified starts, polled workers, many
dispatchers, keys with cached data), so two of them also run under other settings, and ``random_events.py``
drives single dispatchers.

A change that must not alter behaviour keeps every digest. The hashed texts do not depend on Python's hash
seed or on names in the code: ``ACTIONS``, ``REASONS`` and ``FIGURE_KEYS`` map the current names to canonical
ones. A renaming edits the left-hand names there, and nothing else. Numbers are exact: floats are written in
hexadecimal.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import re
import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any

from benchmarks import random_events
from elderstall.decisions import Dispatcher
from elderstall.simulation.reading import SCENARIO_SUFFIX, SHIPPED_SCENARIOS, find, read
from elderstall.simulation.scenario import Scenario
from elderstall.simulation.world import World

RECORDED = Path(__file__).parent.parent / "tests" / "data" / "decision_digests.json"
SEEDS = (1, 2)
VARIANTS: dict[str, tuple[str, tuple[str, ...]]] = {  # run name: scenario, overridden settings
    "cold-rush+starts": ("cold-rush", ("reports/starts-told=yes",)),
    "slow-quarter+polled": (
        "slow-quarter",
        ("reports/asked=yes", "dispatchers/count=24", "dispatchers/weights="),
    ),
}

# ---- the mapping of names: current on the left, canonical on the right ----

ACTIONS: dict[str, tuple[str, dict[str, str]]] = {
    "SendAttempt": ("send", {"job": "job", "worker": "worker", "time_out": "time_out"}),
    "PollLoad": ("probe", {"worker": "worker"}),
    "RejectJob": ("refuse", {"job": "job", "retry_after": "retry_after", "why": "why"}),
    "FailJob": ("fail", {"job": "job"}),
    "SetTimer": ("set_timer", {"token": "token", "delay": "delay"}),
    "WatchEndpoints": ("follow_list", {}),
    "LogLine": ("log", {"text": "text"}),
}
REASONS = {"": "", "full fleet": "full fleet"}  # the texts of ``RejectJob.why``
REASON_FIELDS, TEXT_FIELDS = ("why",), ("text",)  # canonical names
FIGURE_KEYS: dict[str, str] = {}  # keys of the figures renamed since the first recording

NUMBER = re.compile(r"-?\d+(?:\.\d+)?")


class UnmappedNameError(Exception):
    """A name is missing from the mapping and has to be added beside its canonical name."""


def canonical_value(value: object) -> str:
    """Return one value of an action as exact text."""
    if isinstance(value, bool) or value is None or isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, float):
        return value.hex()
    if isinstance(value, int):
        return str(value)
    raise UnmappedNameError(f"no canonical form for a value of type {type(value).__name__}: {value!r}")


def canonical_field(name: str, value: object) -> str:
    """Return one field of an action as text; of a log line only the numbers, as its words may change."""
    if name in REASON_FIELDS:
        if value not in REASONS:
            raise UnmappedNameError(f"REASONS has no {value!r}")
        value = REASONS[str(value)]
    if name in TEXT_FIELDS:
        return f"{name}=[{' '.join(NUMBER.findall(str(value)))}]"
    return f"{name}={canonical_value(value)}"


def canonical_action(action: Any) -> str:
    """Return an action as its canonical name and fields, sorted by field name."""
    kind = type(action).__name__
    if kind not in ACTIONS:
        raise UnmappedNameError(f"ACTIONS has no {kind}")
    name, names = ACTIONS[kind]
    present = [f.name for f in fields(action)]
    if set(present) != set(names):
        raise UnmappedNameError(f"{kind} has the fields {present}, ACTIONS {list(names)}")
    parts = sorted(canonical_field(names[f], getattr(action, f)) for f in present)
    return " ".join([name, *parts])


def canonical_figures(value: Any) -> Any:
    """Return figures with canonical keys and with floats in hexadecimal."""
    if isinstance(value, dict):
        return {FIGURE_KEYS.get(key, key): canonical_figures(entry) for key, entry in value.items()}
    if isinstance(value, list | tuple):
        return [canonical_figures(entry) for entry in value]
    return value.hex() if isinstance(value, float) else value


def figures_text(figures: dict[str, Any]) -> str:
    """Return figures as canonical JSON."""
    return json.dumps(canonical_figures(figures), sort_keys=True, ensure_ascii=True, separators=(",", ":"))


# ---- the runs ----


@dataclass(frozen=True, slots=True)
class Digest:
    """The hashes and counts of one run."""

    figures: str  # SHA-256 of the canonical figures
    decisions: str  # SHA-256 of the lines, one per action
    actions: int
    requests: int


class Recorder:
    """Hashes every action that the decisions of any dispatcher return."""

    def __init__(self, write: Callable[[str], object] | None = None) -> None:
        self.hash = hashlib.sha256()
        self.actions = 0
        self.write = write
        self.error: UnmappedNameError | None = (
            None  # kept, as the engine logs an exception of an event and continues
        )
        self.numbers: dict[Dispatcher, int] = {}  # by first event; a restarted dispatcher gets a new number

    def record(self, dispatcher: Dispatcher, now: float, actions: Iterable[Any]) -> None:
        """Hash the actions that one event resulted in."""
        number = self.numbers.setdefault(dispatcher, len(self.numbers))
        for action in actions:
            try:
                line = f"{float(now).hex()} {number} {canonical_action(action)}\n"
            except UnmappedNameError as error:
                self.error = self.error or error
                continue
            self.hash.update(line.encode())
            self.actions += 1
            if self.write is not None:
                self.write(line)


@contextmanager
def recording(recorder: Recorder) -> Iterator[None]:
    """Record the decisions of all dispatchers while the context is open."""
    original = Dispatcher.handle

    def handle(self: Dispatcher, now: float, event: Any) -> Any:
        actions = original(self, now, event)
        recorder.record(self, now, actions)
        return actions

    Dispatcher.handle = handle  # type: ignore[method-assign]
    try:
        yield
    finally:
        Dispatcher.handle = original  # type: ignore[method-assign]


def scenario_names() -> list[str]:
    """Return the names of the shipped scenarios."""
    return sorted(path.stem for path in SHIPPED_SCENARIOS.glob(f"*{SCENARIO_SUFFIX}"))


def run_names() -> list[str]:
    """Return the names of all runs."""
    return [*scenario_names(), *VARIANTS, *random_events.SETTINGS]


def digest(name: str, seed: int, folder: Path | None = None) -> Digest:
    """Return the digest of one run; write its lines to ``folder`` if that is given."""
    if folder is None:
        return run(name, seed, Recorder())[0]
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / f"{name}-{seed}.decisions").open("w", encoding="utf-8") as lines:
        result, text = run(name, seed, Recorder(lines.write))
    (folder / f"{name}-{seed}.figures").write_text(text + "\n", encoding="utf-8")
    return result


def run(name: str, seed: int, recorder: Recorder) -> tuple[Digest, str]:
    """Carry out one run; return its digest and its canonical figures."""
    if name in random_events.SETTINGS:
        with recording(recorder):
            figures = random_events.drive(name, seed)
        return result_of(figures, recorder)
    scenario, overrides = VARIANTS.get(name, (name, ()))
    return run_scenario(read(find(scenario), overrides)[0], seed, recorder)


def run_scenario(scenario: Scenario, seed: int, recorder: Recorder) -> tuple[Digest, str]:
    """Run a scenario; return its digest and its canonical figures."""
    with recording(recorder):
        figures = World(scenario, seed).play()
    return result_of(figures, recorder)


def result_of(figures: dict[str, Any], recorder: Recorder) -> tuple[Digest, str]:
    """Return the digest and the canonical figures of a finished run."""
    if recorder.error is not None:
        raise recorder.error
    text = figures_text(figures)
    hashes = hashlib.sha256(text.encode()).hexdigest(), recorder.hash.hexdigest()
    return Digest(*hashes, recorder.actions, figures["requests"]), text


# ---- the recorded digests ----

Key = tuple[str, int]  # run name, seed


def read_recorded(path: Path = RECORDED) -> dict[Key, Digest]:
    """Return the recorded digests of a file."""
    data = json.loads(path.read_text(encoding="utf-8"))
    return {
        (name, int(seed)): Digest(**row) for name, by_seed in data.items() for seed, row in by_seed.items()
    }


def write_recorded(digests: dict[Key, Digest], path: Path = RECORDED) -> None:
    """Write digests; the rows of other runs in the file are kept."""
    known = read_recorded(path) if path.exists() else {}
    data: dict[str, dict[str, dict[str, Any]]] = {}
    for (name, seed), row in sorted((known | digests).items()):
        data.setdefault(name, {})[str(seed)] = asdict(row)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")


def difference(want: Digest | None, got: Digest) -> str:
    """Return a short text on what differs; empty if nothing does."""
    if want is None:
        return "not recorded"
    parts = [name for name in ("figures", "decisions") if getattr(want, name) != getattr(got, name)]
    if parts and want.actions != got.actions:
        parts.append(f"{got.actions} actions, recorded {want.actions}")
    return ", ".join(parts)


# ---- the command ----


def run_all(keys: Sequence[Key], folder: Path | None, processes: int) -> Iterator[tuple[Key, Digest]]:
    """Yield each run with its digest, in the order of ``keys``."""
    jobs = [(name, seed, folder) for name, seed in keys]
    if processes == 1:
        yield from ((key, digest(*job)) for key, job in zip(keys, jobs, strict=True))
        return
    with ProcessPoolExecutor(processes) as pool:
        yield from zip(keys, pool.map(digest, *zip(*jobs, strict=True)), strict=True)


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.decision_digest")
    parser.add_argument("--write", nargs="?", type=Path, const=RECORDED, metavar="FILE")
    parser.add_argument("--check", nargs="?", type=Path, const=RECORDED, metavar="FILE")
    parser.add_argument("--only", action="append", choices=run_names(), metavar="PLAY")
    parser.add_argument("--lines", type=Path, metavar="FOLDER", help="also write the lines that are hashed")
    parser.add_argument("--processes", type=int, default=1, help="concurrent runs")
    args = parser.parse_args(argv)
    keys = [(name, seed) for name in args.only or run_names() for seed in SEEDS]
    known = read_recorded(args.check) if args.check else {}
    digests: dict[Key, Digest] = {}
    different = 0
    for key, row in run_all(keys, args.lines, args.processes):
        digests[key] = row
        verdict = ""
        if args.check:
            verdict = difference(known.get(key), row)
            different += bool(verdict)
            verdict = f"  DIFFERS: {verdict}" if verdict else "  equal"
        name, seed = key
        print(
            f"{name:20} {seed}  {row.requests:7} requests {row.actions:8} actions  "
            f"figures {row.figures[:16]}  decisions {row.decisions[:16]}{verdict}",
            flush=True,
        )
    if args.write:
        write_recorded(digests, args.write)
    if args.check:
        print(f"{len(digests) - different} of {len(digests)} equal")
    return 1 if different else 0


if __name__ == "__main__":
    sys.exit(main())
