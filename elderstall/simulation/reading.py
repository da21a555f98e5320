"""Reads a scenario from an operator's file in the format of ZConfig, and checks it completely.

Every error names file, line and key. A value that is unusual but can be simulated is a warning.
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
# Optional sections that may occur at most once; ``load`` is required.
SINGLE_SECTIONS = ("network", "rules", "list", "reports", "clients", "dispatchers", "goal")
UNUSED_OVERRIDE = "a section or key that it names is not in the scenario file"
OVERRIDE_SOURCE = "--set"  # stands for a file name at overridden values
MAX_WORKERS = 5_000  # a mistyped larger number is rejected before it exhausts the machine's memory
MAX_DISPATCHERS = 1_000
MAX_JOBS = 50_000_000
LOAD_WARNING_THRESHOLD = 5.0  # times the fleet's capacity; a higher load can be simulated
SHIPPED_SCENARIOS = Path(__file__).parent.parent.parent / "deploy" / "rehearsals"
SCENARIO_SUFFIX = ".conf"


class ScenarioError(Exception):
    """A scenario file that cannot be simulated: file, line, key and reason."""

    def __init__(self, path: str, line: int | None, key: str, reason: str) -> None:
        location = f"{path}:{line}" if line is not None and line > 0 else path
        super().__init__(f"{location}: {key}: {reason}" if key else f"{location}: {reason}")
        self.path = path
        self.line = line
        self.key = key
        self.reason = reason


@dataclass(frozen=True, slots=True)
class SourcePosition:
    """The position of a section and of its keys in the scenario file."""

    section: str
    path: str
    line: int
    keys: dict[str, int]

    def qualified_key(self, key: str) -> str:
        """Return the key with its section, as errors name it."""
        return f"<{self.section}> {key}" if self.section else key


def path_from_url(url: str | None) -> str:
    """Return the path of a file's URL, relative to the working directory where it is below it."""
    path = unquote(urlsplit(url or "").path)
    return path.removeprefix(f"{Path.cwd()}/")


class Parser(ZConfigParser):  # type: ignore[misc]  # ZConfig has no types
    """Parses a scenario file and records the line of each section and key."""

    def start_section(self, section: Any, rest: str) -> Any:
        """Begin a section and record its position."""
        child = super().start_section(section, rest)
        if child is not section:
            self.context.open_positions[id(child)] = SourcePosition(
                rest.rstrip("/ "), path_from_url(self.url), self.lineno, {}
            )
            self.context.retained.append(child)
        return child

    def handle_key_value(self, section: Any, rest: str) -> None:
        """Record the line of a key and pass the key on."""
        key = rest.split(None, 1)[0].lower()
        position = self.context.open_positions.get(id(section), self.context.root_position)
        position.keys.setdefault(key, self.lineno)
        self.context.keys_by_line[path_from_url(self.url), self.lineno] = position.qualified_key(key)
        super().handle_key_value(section, rest)


class Loader(ExtendedConfigLoader):  # type: ignore[misc]
    """Loads a scenario file and keeps the positions of its sections and keys."""

    def __init__(self, schema: Any) -> None:
        super().__init__(schema)
        self.root_position = SourcePosition("", "", 1, {})
        self.open_positions: dict[int, SourcePosition] = {}
        self.value_positions: dict[int, SourcePosition] = {}
        self.keys_by_line: dict[tuple[str, int], str] = {}
        self.retained: list[Any] = []  # keeps sections alive, so that no id() is reused

    def endSection(self, parent: Any, type_: str, name: str, matcher: Any) -> None:  # noqa: N802
        """Finish a section's value, and keep its position."""
        value = matcher.finish()
        self.retained.append(value)
        self.value_positions[id(value)] = self.open_positions[id(matcher)]
        parent.addSection(type_, name, value)

    def _parse_resource(self, matcher: Any, resource: Any, defines: Any = None) -> None:
        Parser(resource, self, defines).parse(matcher)


class Reader:
    """Converts what ZConfig has read to a scenario."""

    def __init__(self, path: str, loader: Loader, root: Any) -> None:
        self.path = path
        self.loader = loader
        self.root = root
        self.warnings: list[str] = []

    def position(self, section: Any) -> SourcePosition:
        """Return the position of a section; that of the start of the file where it has none."""
        return self.loader.value_positions.get(id(section), self.loader.root_position)

    def line(self, section: Any, key: str) -> int:
        """Return the line of a key, or of its section where the key is missing."""
        position = self.position(section)
        return position.keys.get(key, position.line)

    def fail(self, section: Any, key: str, reason: str) -> NoReturn:
        """Raise ScenarioError for a key."""
        position = self.position(section)
        raise ScenarioError(
            position.path or self.path, self.line(section, key), position.qualified_key(key), reason
        )

    def warn(self, section: Any, key: str, reason: str) -> None:
        """Record a warning for a key."""
        position = self.position(section)
        location = f"{position.path or self.path}:{self.line(section, key)}"
        self.warnings.append(f"{location}: {position.qualified_key(key)}: {reason}")

    # ---- sections ----

    def record(self, section: Any, record_type: Any, **renamed: str) -> Any:
        """Return a record of this type with a section's keys as its fields; defaults for no section."""
        if section is None:
            return record_type()
        names = record_type.__dataclass_fields__
        return record_type(
            **{
                name: getattr(section, renamed.get(name, name))
                for name in names
                if hasattr(section, renamed.get(name, name))
            }
        )

    def kinds(self) -> dict[str, Kind]:
        """Return the kinds of worker by name."""
        kinds: dict[str, Kind] = {}
        for section in self.root.kinds:
            name = section.getSectionName()
            if section.slots < section.cores:
                self.warn(
                    section,
                    "slots",
                    f"{section.slots} slots leave some of {section.cores} cores without work",
                )
            kinds[name] = Kind(
                name,
                section.cores,
                section.slots,
                section.speed,
                section.speed_spread,
                section.queue,
                section.cold_share,
                section.cold_for,
                section.warm_by == "work",
                section.cancel,
                section.drops_expired,
                section.hands_back,
                section.connections,
                section.connection_work,
                self.fraction(section, "connection-tax"),
                section.crowd_at,
                section.crowd_cost,
                self.fraction(section, "errors"),
            )
        return kinds

    def fraction(self, section: Any, key: str, name: str = "") -> Any:
        """Return the value of a key, a share of at most 100%. Raises ScenarioError where it is larger."""
        value = getattr(section, name or key.replace("-", "_"))
        if value is not None and value > 1:
            self.fail(section, key, f"{value:.0%} is above the maximum of 100%")
        return value

    def workers(self, kinds: dict[str, Kind]) -> tuple[Worker, ...]:
        """Return the workers of the fleet, named by their group and a number."""
        workers: list[Worker] = []
        for group in self.root.workers:
            if group.kind not in kinds:
                self.fail(group, "kind", f"there is no kind {group.kind!r}; known: {', '.join(kinds)}")
            if len(workers) + group.count > MAX_WORKERS:
                self.fail(
                    group,
                    "count",
                    f"{len(workers) + group.count} workers in all; at most {MAX_WORKERS} can be simulated",
                )
            if group.speeds and len(group.speeds) != group.count:
                self.fail(
                    group,
                    "speeds",
                    f"{len(group.speeds)} speeds for {group.count} workers; one for each is needed",
                )
            if any(speed <= 0 for speed in group.speeds):
                self.fail(group, "speeds", "each speed must be above zero")
            for index in range(group.count):
                cell = sum(worker.zone == group.zone for worker in workers) // group.cell_size
                workers.append(
                    Worker(
                        f"{group.getSectionName()}-{index + 1}",
                        group.kind,
                        group.zone,
                        cell,
                        group.speeds[index] if group.speeds else None,
                    )
                )
        return tuple(workers)

    def classes(self) -> tuple[ClassLoad, ...]:
        """Return the classes of jobs."""
        classes = []
        for section in self.root.classes:
            if section.aim > section.deadline:
                self.warn(section, "aim", "is after the deadline, so that no late answer earns anything")
            if not sum(section.slots):
                self.fail(section, "slots", "the shares must sum to more than zero")
            cls = JobClass(
                section.getSectionName(),
                section.worth,
                section.aim,
                section.deadline,
                Effect(section.effect),
                stretch=section.stretch,
            )
            classes.append(
                ClassLoad(
                    cls,
                    section.share,
                    section.work,
                    section.spread,
                    section.distribution,
                    section.noise,
                    section.hint_spread if section.hints else None,
                    section.slots,
                    math.inf if section.longest is None else section.longest,
                )
            )
        if not sum(load.share for load in classes):
            self.fail(self.root.classes[0], "share", "the shares of all classes must sum to more than zero")
        return tuple(classes)

    def dispatchers(self) -> Dispatchers:
        """Return the number of dispatchers, and their weights."""
        section = self.root.dispatchers
        if section is None:
            return Dispatchers()
        if section.count > MAX_DISPATCHERS:
            self.fail(section, "count", f"at most {MAX_DISPATCHERS} dispatchers can be simulated")
        if section.weights and len(section.weights) != section.count:
            self.fail(
                section,
                "weights",
                f"{len(section.weights)} weights for {section.count} dispatchers; one for each is needed",
            )
        if section.weights and not sum(section.weights):
            self.fail(section, "weights", "the weights must sum to more than zero")
        return Dispatchers(section.weights or (1.0,) * section.count, section.start_spread, section.drain_for)

    def load(self, scenario: Scenario) -> Traffic:
        """Return the traffic, given as jobs a second or as a share of the fleet's capacity."""
        section = self.root.load
        if (section.rate is None) == (section.level is None):
            self.fail(
                section,
                "rate",
                "give either rate, in jobs a second, or level, a share of the fleet's capacity",
            )
        rate = section.rate or section.level * scenario.capacity * 1000 / scenario.mean_work
        jobs = rate * scenario.length / 1000
        relative_load = rate * scenario.mean_work / 1000 / scenario.capacity
        if jobs > MAX_JOBS:
            self.fail(section, "rate", f"{jobs:.0f} jobs; at most {MAX_JOBS} can be simulated")
        if relative_load > LOAD_WARNING_THRESHOLD:
            self.warn(section, "rate", f"the load is {relative_load:.0f} times the fleet's capacity")
        return Traffic(rate, self.fraction(section, "swing"), section.swing_period, section.shape)

    def faults(self, scenario: Scenario) -> tuple[Fault, ...]:
        """Return the faults by start time. Raises ScenarioError for unknown targets or times past the end."""
        worker_names = [worker.name for worker in scenario.workers]
        dispatcher_names = [f"n{rank + 1}" for rank in range(len(scenario.dispatchers.weights))]
        return tuple(
            sorted(
                (
                    self.fault(section, scenario, worker_names, dispatcher_names)
                    for section in self.root.troubles
                ),
                key=lambda fault: fault.at,
            )
        )

    def fault(
        self, section: Any, scenario: Scenario, worker_names: list[str], dispatcher_names: list[str]
    ) -> Fault:
        """Return the fault that a section describes."""
        kind = section.getSectionType()
        values = {
            name: getattr(section, name) for name in Fault.__dataclass_fields__ if hasattr(section, name)
        }
        fault = Fault(kind, **values)
        if fault.at >= scenario.length:
            end = scenario.length / 1000
            self.fail(section, "at", f"{fault.at / 1000:g} s is past the end of the scenario at {end:g} s")
        if fault.ends > scenario.length:
            self.warn(
                section,
                "for",
                f"lasts until {fault.ends / 1000:g} s, past the last arrival at {scenario.length / 1000:g} s",
            )
        if fault.ramp * 2 > fault.length:
            self.fail(
                section,
                "ramp",
                "rise and fall take longer than the fault itself: ramp may be at most half of for",
            )
        if kind == "burst" and fault.factor <= 1:
            self.fail(section, "factor", "the factor of a burst must be above 1")
        for key in ("share", "chance", "after"):
            if hasattr(section, key):
                self.fraction(section, key)
        self.check_targets(section, fault, worker_names, dispatcher_names)
        if fault.job_class and fault.job_class not in {load.cls.name for load in scenario.classes}:
            self.fail(section, "class", f"there is no class {fault.job_class!r}")
        return fault

    def check_targets(
        self, section: Any, fault: Fault, worker_names: list[str], dispatcher_names: list[str]
    ) -> None:
        """Check that the targets named exist, and that names and a share are not both given."""
        for key, known in (("workers", worker_names), ("dispatchers", dispatcher_names)):
            for name in getattr(fault, key):
                if not select(name, known):
                    self.fail(
                        section,
                        key,
                        f"there is no {name!r}; known: {', '.join(known[:4])}"
                        f"{' ...' if len(known) > 4 else ''}",
                    )
        if fault.share is not None and (
            fault.workers or (fault.kind == "dispatcher-restart" and fault.dispatchers)
        ):
            self.fail(section, "share", "give either a share or names, not both")

    def tenants(self) -> tuple[TenantLoad, ...]:
        """Return the tenants."""
        tenants = tuple(
            TenantLoad(section.getSectionName(), section.share, section.quota)
            for section in self.root.tenants
        )
        if tenants and not sum(tenant.share for tenant in tenants):
            self.fail(self.root.tenants[0], "share", "the shares of all tenants must sum to more than zero")
        return tenants

    def scenario(self) -> Scenario:
        """Return the scenario. Raises ScenarioError for what cannot be simulated."""
        root = self.root
        if root.load is None:
            self.fail(None, "<load>", "the section is missing")
        kinds = self.kinds()
        clients = self.record(root.clients, Clients)
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
            self.record(root.network, Network),
            self.record(root.rules, Rules),
            self.record(root.list, Listing),
            self.record(root.reports, Reports),
            clients,
            self.dispatchers(),
            self.record(root.goal, Goal),
        )
        scenario = with_parts(scenario, load=self.load(scenario))
        return with_parts(scenario, faults=self.faults(scenario))


def with_parts(scenario: Scenario, **changes: Any) -> Scenario:
    """Return the scenario with some fields replaced."""
    return Scenario(
        **{name: changes.get(name, getattr(scenario, name)) for name in Scenario.__dataclass_fields__}
    )


def select(name: str, known: Iterable[str]) -> list[str]:
    """Return the known names that a name selects: one, or all of a group with ``group-*``."""
    if name.endswith("*"):
        return [candidate for candidate in known if candidate.startswith(name[:-1])]
    return [candidate for candidate in known if candidate == name]


def find(name: str, folder: Path | None = None) -> Path:
    """Return the path of a scenario file, given by path or by name among those that come with the program.

    Raises ScenarioError where there is none.
    """
    path = Path(name)
    shipped = (folder or SHIPPED_SCENARIOS) / f"{name}{SCENARIO_SUFFIX}"
    if path.is_file():
        return path
    if shipped.is_file():
        return shipped
    raise ScenarioError(
        name, None, "", "no such file, and no scenario of this name in " + str(folder or SHIPPED_SCENARIOS)
    )


def read(path: Path, changes: Sequence[str] = ()) -> tuple[Scenario, list[str]]:
    """Return the scenario of a file, with values overridden, and the warnings.

    An override has the form ``key=value`` or ``section/key=value``.
    Raises ScenarioError for what cannot be simulated.
    """
    location = path_from_url(path.resolve().as_uri())
    for change in changes:
        if not re.fullmatch(r"[^=/]+(/[^=/]+)*=.*", change):
            raise ScenarioError(location, None, "--set", f"{change!r} is not of the form KEY=VALUE")
    try:
        return read_with_sections(path, location, changes, ())
    except ScenarioError as error:
        # ZConfig rejects an override in a section that the file leaves out, so such sections are added empty.
        absent = sorted({change.partition("/")[0] for change in changes} & set(SINGLE_SECTIONS))
        if error.reason != UNUSED_OVERRIDE or not absent:
            raise
        for count in range(len(absent), 0, -1):
            for names in combinations(absent, count):
                with suppress(ScenarioError):
                    return read_with_sections(path, location, changes, names)
        raise


def read_with_sections(
    path: Path,
    location: str,
    changes: Sequence[str],
    empty_sections: Sequence[str],
) -> tuple[Scenario, list[str]]:
    """Return the scenario and the warnings of a file to which these empty sections are added."""
    loader = Loader(ZConfig.loadSchema(str(SCHEMA)))
    try:
        for change in changes:
            loader.addOption(change, (0, 0, OVERRIDE_SOURCE))
        text = path.read_text(encoding="utf-8")
        text += "".join(f"\n<{name}>\n</{name}>" for name in empty_sections)
        root, _ = loader.loadFile(StringIO(text), path.resolve().as_uri())
    except OSError as error:
        raise ScenarioError(location, None, "", error.strerror or str(error)) from None
    except UnicodeDecodeError:
        raise ScenarioError(location, None, "", "is not UTF-8 text") from None
    except ZConfig.ConfigurationError as error:
        line = getattr(error, "lineno", None)
        url = getattr(error, "url", None)
        if url == OVERRIDE_SOURCE or not isinstance(line, int) or line < 0:
            overrides = "--set " + ", ".join(changes) if changes else ""
            reason = error.message or str(error)
            raise ScenarioError(
                location,
                None,
                overrides,
                # ZConfig's text for an override that matches no section or key of the file
                UNUSED_OVERRIDE if "not all command line" in reason else reason,
            ) from None
        error_path = path_from_url(url) if isinstance(url, str) else location
        raise ScenarioError(
            error_path, line, loader.keys_by_line.get((error_path, line), ""), error.message
        ) from None
    reader = Reader(location, loader, root)
    return reader.scenario(), reader.warnings
