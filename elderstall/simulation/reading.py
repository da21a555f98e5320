"""Reads a scenario's script, an operator's file in the line-based manner of ZConfig, and checks it whole.

Every error names file, line and key. What is odd but can be played is a warning.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from io import StringIO
from itertools import combinations
from pathlib import Path
from typing import Any, NoReturn
from urllib.parse import unquote, urlsplit

import ZConfig
from ZConfig.cfgparser import ZConfigParser
from ZConfig.cmdline import ExtendedConfigLoader

from elderstall.interface import Effect, JobClass
from elderstall.simulation.scenario import (
    ClassLoad,
    Clients,
    Dispatchers,
    Fault,
    Goal,
    Kind,
    Listing,
    Network,
    Reports,
    Rules,
    Scenario,
    TenantLoad,
    Traffic,
    Worker,
)

SCHEMA = Path(__file__).with_name("schema.xml")
ALONE = ("network", "rules", "list", "reports", "clients", "dispatchers", "goal")  # one of each at most
UNUSED = "a section or key of these is not in the script"
LAID = "--set"  # in place of a file, for values laid over it
MOST_WORKERS = 5_000  # a typo's worth of further zeros is refused before it takes the machine's memory
MOST_DISPATCHERS = 1_000
MOST_JOBS = 50_000_000
ODD_LOAD = 5.0  # times what the fleet can do
SHIPPED = Path(__file__).parent.parent.parent / "deploy" / "rehearsals"
ENDING = ".conf"


class ScriptError(Exception):
    """A script that cannot be played: file, line, key and what is wrong."""

    def __init__(self, path: str, line: int | None, key: str, why: str) -> None:
        place = f"{path}:{line}" if line is not None and line > 0 else path
        super().__init__(f"{place}: {key}: {why}" if key else f"{place}: {why}")
        self.path, self.line, self.key, self.why = path, line, key, why


@dataclass(frozen=True, slots=True)
class Place:
    """Where a section and its keys stand."""

    section: str
    path: str
    line: int
    keys: dict[str, int]

    def named(self, key: str) -> str:
        """Name a key with its section."""
        return f"<{self.section}> {key}" if self.section else key


def path_of(url: str | None) -> str:
    """Give the path of a file's URL, as people write it."""
    path = unquote(urlsplit(url or "").path)
    return path.removeprefix(f"{Path.cwd()}/")


class Parser(ZConfigParser):  # type: ignore[misc]  # ZConfig has no types
    """Notes on which line each key stands."""

    def start_section(self, section: Any, rest: str) -> Any:
        """Begin a section."""
        child = super().start_section(section, rest)
        if child is not section:
            self.context.begun[id(child)] = Place(rest.rstrip("/ "), path_of(self.url), self.lineno, {})
            self.context.alive.append(child)
        return child

    def handle_key_value(self, section: Any, rest: str) -> None:
        """Take a key."""
        key = rest.split(None, 1)[0].lower()
        place = self.context.begun.get(id(section), self.context.top)
        place.keys.setdefault(key, self.lineno)
        self.context.by_line[path_of(self.url), self.lineno] = place.named(key)
        super().handle_key_value(section, rest)


class Loader(ExtendedConfigLoader):  # type: ignore[misc]
    """Loads a script and keeps the places of what it holds."""

    def __init__(self, schema: Any) -> None:
        super().__init__(schema)
        self.top = Place("", "", 1, {})
        self.begun: dict[int, Place] = {}
        self.places: dict[int, Place] = {}
        self.by_line: dict[tuple[str, int], str] = {}
        self.alive: list[Any] = []  # so that no id is used twice

    def endSection(self, parent: Any, type_: str, name: str, matcher: Any) -> None:  # noqa: N802
        """Make a section's value, and remember where it came from."""
        value = matcher.finish()
        self.alive.append(value)
        self.places[id(value)] = self.begun[id(matcher)]
        parent.addSection(type_, name, value)

    def _parse_resource(self, matcher: Any, resource: Any, defines: Any = None) -> None:
        Parser(resource, self, defines).parse(matcher)


class Reader:
    """Turns what ZConfig has read into a scenario."""

    def __init__(self, path: str, loader: Loader, root: Any) -> None:
        self.path, self.loader, self.root = path, loader, root
        self.warnings: list[str] = []

    def place(self, section: Any) -> Place:
        """Find where a section stands."""
        return self.loader.places.get(id(section), self.loader.top)

    def line(self, section: Any, key: str) -> int:
        """Find the line of a key, or of the section that lacks it."""
        place = self.place(section)
        return place.keys.get(key, place.line)

    def wrong(self, section: Any, key: str, why: str) -> NoReturn:
        """Turn the script down."""
        place = self.place(section)
        raise ScriptError(place.path or self.path, self.line(section, key), place.named(key), why)

    def odd(self, section: Any, key: str, why: str) -> None:
        """Note what is odd."""
        place = self.place(section)
        where = f"{place.path or self.path}:{self.line(section, key)}"
        self.warnings.append(f"{where}: {place.named(key)}: {why}")

    # ---- parts ----

    def part(self, section: Any, kind: Any, **renamed: str) -> Any:
        """Make a plain record of a section whose keys are its fields."""
        if section is None:
            return kind()
        names = kind.__dataclass_fields__
        return kind(
            **{
                name: getattr(section, renamed.get(name, name))
                for name in names
                if hasattr(section, renamed.get(name, name))
            }
        )

    def kinds(self) -> dict[str, Kind]:
        """Read the kinds of worker."""
        found: dict[str, Kind] = {}
        for k in self.root.kinds:
            name = k.getSectionName()
            if k.slots < k.cores:
                self.odd(k, "slots", f"{k.slots} slots leave some of {k.cores} cores without work")
            found[name] = Kind(
                name,
                k.cores,
                k.slots,
                k.speed,
                k.speed_spread,
                k.queue,
                k.cold_share,
                k.cold_for,
                k.warm_by == "work",
                k.cancel,
                k.drops_expired,
                k.hands_back,
                k.connections,
                k.connection_work,
                self.fraction(k, "connection-tax"),
                k.crowd_at,
                k.crowd_cost,
                self.fraction(k, "errors"),
            )
        return found

    def fraction(self, section: Any, key: str, name: str = "") -> Any:
        """Read a share that cannot be above the whole."""
        value = getattr(section, name or key.replace("-", "_"))
        if value is not None and value > 1:
            self.wrong(section, key, f"{value:.0%} is more than all")
        return value

    def workers(self, kinds: dict[str, Kind]) -> tuple[Worker, ...]:
        """Read the fleet: workers are named by their group and a number."""
        found: list[Worker] = []
        for group in self.root.workers:
            if group.kind not in kinds:
                self.wrong(group, "kind", f"there is no kind {group.kind!r}; known: {', '.join(kinds)}")
            if len(found) + group.count > MOST_WORKERS:
                self.wrong(
                    group,
                    "count",
                    f"{len(found) + group.count} workers in all; at most {MOST_WORKERS} are played",
                )
            if group.speeds and len(group.speeds) != group.count:
                self.wrong(group, "speeds", f"{len(group.speeds)} speeds for {group.count} workers")
            if any(speed <= 0 for speed in group.speeds):
                self.wrong(group, "speeds", "a speed must be above zero")
            for n in range(group.count):
                cell = sum(w.zone == group.zone for w in found) // group.cell_size
                found.append(
                    Worker(
                        f"{group.getSectionName()}-{n + 1}",
                        group.kind,
                        group.zone,
                        cell,
                        group.speeds[n] if group.speeds else None,
                    )
                )
        return tuple(found)

    def classes(self) -> tuple[ClassLoad, ...]:
        """Read the classes of jobs."""
        found = []
        for c in self.root.classes:
            if c.aim > c.deadline:
                self.odd(c, "aim", "is past the deadline, so that no answer earns anything late")
            if not sum(c.slots):
                self.wrong(c, "slots", "the shares sum to nothing")
            cls = JobClass(
                c.getSectionName(), c.worth, c.aim, c.deadline, Effect(c.effect), stretch=c.stretch
            )
            found.append(
                ClassLoad(
                    cls,
                    c.share,
                    c.work,
                    c.spread,
                    c.distribution,
                    c.noise,
                    c.hint_spread if c.hints else None,
                    c.slots,
                    math.inf if c.longest is None else c.longest,
                )
            )
        if not sum(c.share for c in found):
            self.wrong(self.root.classes[0], "share", "the classes' shares sum to nothing")
        return tuple(found)

    def dispatchers(self) -> Dispatchers:
        """Read how many dispatchers there are, and their weights."""
        d = self.root.dispatchers
        if d is None:
            return Dispatchers()
        if d.count > MOST_DISPATCHERS:
            self.wrong(d, "count", f"at most {MOST_DISPATCHERS} are played")
        if d.weights and len(d.weights) != d.count:
            self.wrong(d, "weights", f"{len(d.weights)} weights for {d.count} dispatchers")
        if d.weights and not sum(d.weights):
            self.wrong(d, "weights", "sum to nothing")
        return Dispatchers(d.weights or (1.0,) * d.count, d.start_spread, d.drain_for)

    def load(self, scenario: Scenario) -> Traffic:
        """Read the traffic: jobs a second, or a share of what the fleet can do."""
        section = self.root.load
        if (section.rate is None) == (section.level is None):
            self.wrong(section, "rate", "give rate, jobs a second, or level, a share of the fleet's capacity")
        rate = section.rate or section.level * scenario.capacity * 1000 / scenario.mean_work
        jobs, asked = rate * scenario.length / 1000, rate * scenario.mean_work / 1000 / scenario.capacity
        if jobs > MOST_JOBS:
            self.wrong(section, "rate", f"{jobs:.0f} jobs; at most {MOST_JOBS} are played")
        if asked > ODD_LOAD:
            self.odd(section, "rate", f"asks for {asked:.0f} times what the fleet can do")
        return Traffic(rate, self.fraction(section, "swing"), section.swing_period, section.shape)

    def faults(self, scenario: Scenario) -> tuple[Fault, ...]:
        """Read the faults, and check whom they strike and when."""
        names = [w.name for w in scenario.workers]
        dispatcher_names = [f"n{n + 1}" for n in range(len(scenario.dispatchers.weights))]
        return tuple(
            sorted(
                (self.fault(t, scenario, names, dispatcher_names) for t in self.root.troubles),
                key=lambda t: t.at,
            )
        )

    def fault(self, t: Any, scenario: Scenario, names: list[str], dispatcher_names: list[str]) -> Fault:
        """Read one."""
        kind = t.getSectionType()
        values = {name: getattr(t, name) for name in Fault.__dataclass_fields__ if hasattr(t, name)}
        fault = Fault(kind, **values)
        if fault.at >= scenario.length:
            end = scenario.length / 1000
            self.wrong(t, "at", f"{fault.at / 1000:g} s is past the night's end at {end:g} s")
        if fault.ends > scenario.length:
            self.odd(
                t,
                "for",
                f"lasts to {fault.ends / 1000:g} s, past the last arrival at {scenario.length / 1000:g} s",
            )
        if fault.ramp * 2 > fault.length:
            self.wrong(t, "ramp", "rise and fall take longer than the trouble itself")
        if kind == "burst" and fault.factor <= 1:
            self.wrong(t, "factor", "a burst has more requests come: its factor must be above 1")
        for key in ("share", "chance", "after"):
            if hasattr(t, key):
                self.fraction(t, key)
        self.check_targets(t, fault, names, dispatcher_names)
        if fault.job_class and fault.job_class not in {c.cls.name for c in scenario.classes}:
            self.wrong(t, "class", f"there is no class {fault.job_class!r}")
        return fault

    def check_targets(self, t: Any, fault: Fault, names: list[str], dispatcher_names: list[str]) -> None:
        """Check that the workers and dispatchers named exist, and that a share is not given beside names."""
        for key, known in (("workers", names), ("dispatchers", dispatcher_names)):
            for name in getattr(fault, key):
                if not select(name, known):
                    self.wrong(
                        t,
                        key,
                        f"there is no {name!r}; known: {', '.join(known[:4])}"
                        f"{' ...' if len(known) > 4 else ''}",
                    )
        if fault.share is not None and (
            fault.workers or (fault.kind == "dispatcher-restart" and fault.dispatchers)
        ):
            self.wrong(t, "share", "give a share or names, not both")

    def tenants(self) -> tuple[TenantLoad, ...]:
        """Read the tenants."""
        found = tuple(TenantLoad(t.getSectionName(), t.share, t.quota) for t in self.root.tenants)
        if found and not sum(t.share for t in found):
            self.wrong(self.root.tenants[0], "share", "the tenants' shares sum to nothing")
        return found

    def scenario(self) -> Scenario:
        """Put the scenario together."""
        root = self.root
        if root.load is None:
            self.wrong(None, "<load>", "is missing")
        kinds = self.kinds()
        clients = self.part(root.clients, Clients)
        for key in ("honour", "impatient"):
            if root.clients is not None:
                self.fraction(root.clients, key)
        scenario = Scenario(
            root.name,
            root.length,
            Traffic(1.0),
            tuple(kinds.values()),
            self.workers(kinds),
            self.classes(),
            root.describe,
            root.seed,
            root.tail,
            self.tenants(),
            (),
            self.part(root.network, Network),
            self.part(root.rules, Rules),
            self.part(root.list, Listing),
            self.part(root.reports, Reports),
            clients,
            self.dispatchers(),
            self.part(root.goal, Goal),
        )
        scenario = with_parts(scenario, load=self.load(scenario))
        return with_parts(scenario, faults=self.faults(scenario))


def with_parts(scenario: Scenario, **parts: Any) -> Scenario:
    """Give the scenario with some parts replaced."""
    return Scenario(
        **{name: parts.get(name, getattr(scenario, name)) for name in Scenario.__dataclass_fields__}
    )


def select(name: str, known: Iterable[str]) -> list[str]:
    """Give those that a name means: one, or all of a group by ``group-*``."""
    if name.endswith("*"):
        return [k for k in known if k.startswith(name[:-1])]
    return [k for k in known if k == name]


def find(name: str, folder: Path | None = None) -> Path:
    """Find a script by path, or by name among those that come with the program.

    Raises ScriptError where there is none.
    """
    path, shipped = Path(name), (folder or SHIPPED) / f"{name}{ENDING}"
    if path.is_file():
        return path
    if shipped.is_file():
        return shipped
    raise ScriptError(name, None, "", "no such file, and no such night in " + str(folder or SHIPPED))


def read(path: Path, changes: Sequence[str] = ()) -> tuple[Scenario, list[str]]:
    """Read a script, with ``section/key=value`` laid over it. Gives the scenario and the warnings.

    Raises ScriptError for what cannot be played.
    """
    where = path_of(path.resolve().as_uri())
    for change in changes:
        if not re.fullmatch(r"[^=/]+(/[^=/]+)*=.*", change):
            raise ScriptError(where, None, "--set", f"{change!r} is not KEY=VALUE")
    try:
        return read_with(path, where, changes, ())
    except ScriptError as error:
        # A value may be laid over a section that the script leaves at its defaults: then it is there, empty.
        lacking = sorted({change.partition("/")[0] for change in changes} & set(ALONE))
        if error.why != UNUSED or not lacking:
            raise
        for n in range(len(lacking), 0, -1):
            for names in combinations(lacking, n):
                with suppress(ScriptError):
                    return read_with(path, where, changes, names)
        raise


def read_with(
    path: Path,
    where: str,
    changes: Sequence[str],
    empty: Sequence[str],
) -> tuple[Scenario, list[str]]:
    """Read a script as if empty sections stood at its end."""
    loader = Loader(ZConfig.loadSchema(str(SCHEMA)))
    try:
        for change in changes:
            loader.addOption(change, (0, 0, LAID))
        text = path.read_text(encoding="utf-8")
        text += "".join(f"\n<{name}>\n</{name}>" for name in empty)
        root, _ = loader.loadFile(StringIO(text), path.resolve().as_uri())
    except OSError as error:
        raise ScriptError(where, None, "", error.strerror or str(error)) from None
    except UnicodeDecodeError:
        raise ScriptError(where, None, "", "is no text in UTF-8") from None
    except ZConfig.ConfigurationError as error:
        line, url = getattr(error, "lineno", None), getattr(error, "url", None)
        if url == LAID or not isinstance(line, int) or line < 0:
            laid = "--set " + ", ".join(changes) if changes else ""
            why = error.message or str(error)
            raise ScriptError(where, None, laid, UNUSED if "not all command line" in why else why) from None
        at = path_of(url) if isinstance(url, str) else where
        raise ScriptError(at, line, loader.by_line.get((at, line), ""), error.message) from None
    reader = Reader(where, loader, root)
    return reader.scenario(), reader.warnings
