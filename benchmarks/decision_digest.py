"""Digests of all shipped rehearsals: their figures and every decision, in order.

    python -m benchmarks.decision_digest             # play all, print a table
    python -m benchmarks.decision_digest --check     # ... and compare with the recorded digests
    python -m benchmarks.decision_digest --write     # ... and record them: the one re-recording command

Each takes ``--only PLAY``, ``--processes N`` and a file in place of ``tests/data/decision_digests.json``.
``--lines FOLDER`` also writes the lines behind each digest, so that ``diff`` can compare two versions.

The scripts leave some paths of the decisions out (starts that are told, workers that are polled, many
dispatchers, keys with cached data), so two of them are played under other settings too, and
``random_events.py`` drives single dispatchers.

A change that must not alter behaviour keeps every digest. Both texts are independent of Python's hash seed
and of names that a renaming may change: ``ACTIONS``, ``REASONS`` and ``FIGURE_KEYS`` map today's names to
canonical ones. A renaming edits the left-hand names there, and nothing else. Numbers are exact: floats are
written in hexadecimal.
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
from elderstall.simulation.reading import ENDING, SHIPPED, find, read
from elderstall.simulation.scenario import Scenario
from elderstall.simulation.world import World

RECORDED = Path(__file__).parent.parent / "tests" / "data" / "decision_digests.json"
SEEDS = (1, 2)
VARIANTS: dict[str, tuple[str, tuple[str, ...]]] = {  # name: script, values laid over it
    "cold-rush+starts": ("cold-rush", ("reports/starts-told=yes",)),
    "slow-quarter+polled": (
        "slow-quarter",
        ("reports/asked=yes", "dispatchers/count=24", "dispatchers/weights="),
    ),
}

# ---- the mapping of names: today's on the left, canonical on the right ----

ACTIONS: dict[str, tuple[str, dict[str, str]]] = {
    "SendAttempt": ("send", {"job": "job", "worker": "worker", "time_out": "time_out"}),
    "PollLoad": ("probe", {"worker": "worker"}),
    "RejectJob": ("refuse", {"job": "job", "retry_after": "retry_after", "why": "why"}),
    "FailJob": ("fail", {"job": "job"}),
    "SetTimer": ("set_timer", {"token": "token", "delay": "delay"}),
    "WatchEndpoints": ("follow_list", {}),
    "LogLine": ("log", {"text": "text"}),
}
REASONS = {"": "", "full fleet": "full fleet"}  # the texts of ``Refuse.why``
REASON_FIELDS, TEXT_FIELDS = ("why",), ("text",)  # canonical names
FIGURE_KEYS: dict[str, str] = {}  # keys of the figures that are called otherwise than at the first recording

NUMBER = re.compile(r"-?\d+(?:\.\d+)?")


class UnmappedNameError(Exception):
    """A name that the mapping lacks: enter it beside the canonical one."""


def canonical_value(value: object) -> str:
    """Render one value of an action exactly."""
    if isinstance(value, bool) or value is None or isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, float):
        return value.hex()
    if isinstance(value, int):
        return str(value)
    raise UnmappedNameError(f"a value of type {type(value).__name__}: {value!r}")


def canonical_field(name: str, value: object) -> str:
    """Render one field of an action; of a log line its numbers alone, as its words may change."""
    if name in REASON_FIELDS:
        if value not in REASONS:
            raise UnmappedNameError(f"REASONS has no {value!r}")
        value = REASONS[str(value)]
    if name in TEXT_FIELDS:
        return f"{name}=[{' '.join(NUMBER.findall(str(value)))}]"
    return f"{name}={canonical_value(value)}"


def canonical_action(action: Any) -> str:
    """Render an action by its canonical name and fields, in the order of the names."""
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
    """Give figures with their keys by canonical names and their floats in hexadecimal."""
    if isinstance(value, dict):
        return {FIGURE_KEYS.get(key, key): canonical_figures(entry) for key, entry in value.items()}
    if isinstance(value, list | tuple):
        return [canonical_figures(entry) for entry in value]
    return value.hex() if isinstance(value, float) else value


def figures_text(figures: dict[str, Any]) -> str:
    """Write figures as canonical JSON."""
    return json.dumps(canonical_figures(figures), sort_keys=True, ensure_ascii=True, separators=(",", ":"))


# ---- playing ----


@dataclass(frozen=True, slots=True)
class Digest:
    """What one play came to."""

    figures: str  # SHA-256 of the canonical figures
    decisions: str  # SHA-256 of the lines, one an action
    actions: int
    requests: int


class Recorder:
    """Takes every action that any dispatcher's decision module returns."""

    def __init__(self, write: Callable[[str], object] | None = None) -> None:
        self.hash, self.actions = hashlib.sha256(), 0
        self.write = write
        self.error: UnmappedNameError | None = None  # the engine logs what is raised in an event and goes on
        self.numbers: dict[Dispatcher, int] = {}  # in the order of their first event, restarted ones anew

    def take(self, dispatcher: Dispatcher, now: float, actions: Iterable[Any]) -> None:
        """Take what one event has come to."""
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
def recorded(recorder: Recorder) -> Iterator[None]:
    """Have a recorder take the decisions of all dispatchers meanwhile."""
    original = Dispatcher.handle

    def handle(self: Dispatcher, now: float, event: Any) -> Any:
        actions = original(self, now, event)
        recorder.take(self, now, actions)
        return actions

    Dispatcher.handle = handle  # type: ignore[method-assign]
    try:
        yield
    finally:
        Dispatcher.handle = original  # type: ignore[method-assign]


def scripts() -> list[str]:
    """Name the shipped scripts."""
    return sorted(path.stem for path in SHIPPED.glob(f"*{ENDING}"))


def names() -> list[str]:
    """Name all plays."""
    return [*scripts(), *VARIANTS, *random_events.SETTINGS]


def digest(name: str, seed: int, folder: Path | None = None) -> Digest:
    """Make a play and give its digest; its lines are written to a folder where one is given."""
    if folder is None:
        return play(name, seed, Recorder())[0]
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / f"{name}-{seed}.decisions").open("w", encoding="utf-8") as lines:
        result, text = play(name, seed, Recorder(lines.write))
    (folder / f"{name}-{seed}.figures").write_text(text + "\n", encoding="utf-8")
    return result


def play(name: str, seed: int, recorder: Recorder) -> tuple[Digest, str]:
    """Make a play; gives its digest and the canonical figures."""
    if name in random_events.SETTINGS:
        with recorded(recorder):
            figures = random_events.drive(name, seed)
        return result_of(figures, recorder)
    script, changes = VARIANTS.get(name, (name, ()))
    return play_scenario(read(find(script), changes)[0], seed, recorder)


def play_scenario(scenario: Scenario, seed: int, recorder: Recorder) -> tuple[Digest, str]:
    """Play a scenario; gives its digest and the canonical figures."""
    with recorded(recorder):
        figures = World(scenario, seed).play()
    return result_of(figures, recorder)


def result_of(figures: dict[str, Any], recorder: Recorder) -> tuple[Digest, str]:
    """Give the digest of what was played and the canonical figures."""
    if recorder.error is not None:
        raise recorder.error
    text = figures_text(figures)
    sums = hashlib.sha256(text.encode()).hexdigest(), recorder.hash.hexdigest()
    return Digest(*sums, recorder.actions, figures["requests"]), text


# ---- the recorded digests ----

Key = tuple[str, int]  # play, seed


def read_recorded(path: Path = RECORDED) -> dict[Key, Digest]:
    """Read recorded digests."""
    data = json.loads(path.read_text(encoding="utf-8"))
    return {
        (name, int(seed)): Digest(**row) for name, by_seed in data.items() for seed, row in by_seed.items()
    }


def write_recorded(digests: dict[Key, Digest], path: Path = RECORDED) -> None:
    """Write digests; rows of other plays that the file has stay."""
    known = read_recorded(path) if path.exists() else {}
    data: dict[str, dict[str, dict[str, Any]]] = {}
    for (name, seed), row in sorted((known | digests).items()):
        data.setdefault(name, {})[str(seed)] = asdict(row)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")


def difference(want: Digest | None, got: Digest) -> str:
    """Say in a few words what differs; empty where nothing does."""
    if want is None:
        return "not recorded"
    parts = [name for name in ("figures", "decisions") if getattr(want, name) != getattr(got, name)]
    if parts and want.actions != got.actions:
        parts.append(f"{got.actions} actions, recorded {want.actions}")
    return ", ".join(parts)


# ---- the command ----


def plays(keys: Sequence[Key], folder: Path | None, processes: int) -> Iterator[tuple[Key, Digest]]:
    """Play all, in order."""
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
    parser.add_argument("--only", action="append", choices=names(), metavar="PLAY")
    parser.add_argument("--lines", type=Path, metavar="FOLDER", help="write what the digests are made of")
    parser.add_argument("--processes", type=int, default=1, help="plays at once")
    args = parser.parse_args(argv)
    keys = [(name, seed) for name in args.only or names() for seed in SEEDS]
    known = read_recorded(args.check) if args.check else {}
    digests: dict[Key, Digest] = {}
    wrong = 0
    for key, row in plays(keys, args.lines, args.processes):
        digests[key] = row
        verdict = ""
        if args.check:
            verdict = difference(known.get(key), row)
            wrong += bool(verdict)
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
        print(f"{len(digests) - wrong} of {len(digests)} equal")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
