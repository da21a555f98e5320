"""``elderstall simulate``: run scenarios, compare them, explain the history of a request."""

from __future__ import annotations

import time
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from elderstall.cli.output import EXIT_FAILED, EXIT_OK, EXIT_USAGE, print_error, write_json
from elderstall.simulation.audit import history_lines
from elderstall.simulation.reading import SCENARIO_SUFFIX, SHIPPED_SCENARIOS, ScenarioError, find, read
from elderstall.simulation.scenario import Scenario
from elderstall.simulation.world import World

override_option = click.option(
    "--set",
    "changes",
    multiple=True,
    metavar="KEY=VALUE",
    help="override a value of the scenario, such as load/rate=40 or slow/factor=3",
)
seed_option = click.option("--seed", type=click.IntRange(0), help="instead of the scenario's")


def load_scenario(name: str, changes: Sequence[str]) -> Scenario:
    """Return a checked scenario and print its warnings; an invalid one ends the command."""
    try:
        scenario, warnings = read(find(name), changes)
    except ScenarioError as error:
        print_error(str(error))
        raise click.exceptions.Exit(EXIT_USAGE) from None
    for warning in warnings:
        print_error(f"warning: {warning}")
    return scenario


def make_console() -> Console:
    """Return a console for tables on standard output."""
    return Console(highlight=False)


def progress_bar(description: str) -> Progress:
    """Return a progress bar on standard error, disabled where that is no terminal."""
    console = Console(stderr=True)
    return Progress(
        TextColumn(description),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=console,
        disable=not console.is_terminal,
        transient=True,
    )


def run_scenario(
    scenario: Scenario, seed: int | None, explain: int | None = None
) -> tuple[dict[str, Any], World, float]:
    """Run a scenario with a progress bar; return its figures, its world and the CPU seconds used."""
    world = World(scenario, seed, explain)
    started_at = time.process_time()
    with progress_bar(scenario.name) as bar:
        task = bar.add_task("", total=100)
        figures = world.play(lambda share: bar.update(task, completed=round(100 * share)))
    return figures, world, time.process_time() - started_at


def percent(value: float | None) -> str:
    """Return a fraction as text in percent."""
    return "-" if value is None else f"{100 * value:.1f}%"


def print_figures(figures: dict[str, Any], cpu: float) -> None:
    """Print a scenario's figures as tables."""
    out = make_console()
    service = figures["service"]
    core_time = figures["core_time"]

    def print_line(*parts: str) -> None:
        out.print("".join(parts), soft_wrap=True)

    print_line(
        f"[bold]{figures['night']}[/bold], seed {figures['seed']}: {figures['requests']} requests, ",
        f"{figures['workers']} workers, {figures['dispatchers']} dispatchers, {figures['length_s']:g} s",
    )
    print_line(
        f"figure [bold]{figures['figure'] or 0:.3f}[/bold]   service {percent(service['whole'])}, ",
        f"worst 10 s {percent(service['worst_10_s'])} from {service['worst_10_s_from']} s, ",
        f"worst class {percent(service['worst_class'])}, worst tenant {percent(service['worst_tenant'])}",
    )
    table = Table(box=None, pad_edge=False)
    for name in ("class", "service", "served", "late", "refused", "failed", "p50 ms", "p99 ms"):
        table.add_column(name, justify="left" if name == "class" else "right")
    listed_endings = ("served", "late", "refused")
    for name, class_figures in figures["classes"].items():
        endings = class_figures["endings"]
        latency = class_figures["latency_ms"]
        failed = sum(n for what, n in endings.items() if what not in (*listed_endings, "left"))
        table.add_row(
            name,
            percent(class_figures["service"]),
            *(str(endings.get(e, 0)) for e in listed_endings),
            str(failed),
            *(f"{latency[q]:.0f}" if latency else "-" for q in ("p50", "p99")),
        )
    out.print(table)
    print_line(
        f"{figures['attempts']} attempts, {figures['retries']} retries, ",
        f"{figures['connections']} connections; ",
        f"cores {percent(core_time['busy'])} busy, {percent(core_time['overhead'])} connections, ",
        f"{percent(core_time['down'] + core_time['paused'])} down or paused; ",
        f"{figures['work']['wasted_s']:.0f} of {figures['work']['core_s']:.0f} core s wasted",
    )
    for fault in figures["troubles"]:
        print_line(
            f"  {fault['at_s']:g} s  {fault['kind']}",
            f" for {fault['for_s']:g} s" if fault["for_s"] else "",
            ": " + ", ".join(fault["struck"][:6]) if fault["struck"] else "",
            " ..." if len(fault["struck"]) > 6 else "",
        )
    if figures["most_lost"]:
        print_line(
            "most worth lost with requests ",
            ", ".join(
                f"{row['request']} ({row['class']}, {row['ending']}, {percent(row['share_of_worth'])})"
                for row in figures["most_lost"][:3]
            ),
        )
    print_line(f"{1e6 * cpu / max(1, figures['requests']):.0f} us of CPU a request on this machine")


def print_violations(figures: dict[str, Any]) -> None:
    """Print the first violated rules, each with the whole history of its request."""
    rules = figures["rules"]
    for violation in rules["first"]:
        print_error(f"rule {violation['rule']} broken at {violation['at_s']:g} s: {violation['what']}")
        for line in violation["history"]:
            click.echo(f"    {line}", err=True)
    print_error(
        f"{rules['broken']} times a rule was broken"
        + (f", of which {len(rules['first'])} are shown" if rules["broken"] > len(rules["first"]) else "")
    )


@click.group()
def simulate() -> None:
    """Simulate faults and overload in virtual time, with the real engine and decisions."""


@simulate.command()
@click.argument("script")
@seed_option
@override_option
@click.option("--json", "json_path", metavar="FILE", help="write the figures there; - for standard output")
@click.option("--report", metavar="FILE", help="write a report with plots there, as HTML")
def run(
    script: str, seed: int | None, changes: tuple[str, ...], json_path: str | None, report: str | None
) -> int:
    """Run the scenario SCRIPT, a file or the name of one that comes with the program.

    Exit status 1 if a rule was broken.
    """
    scenario = load_scenario(script, changes)
    figures, world, cpu = run_scenario(scenario, seed)
    if json_path:
        write_json(figures, json_path)
    if report:
        from elderstall.simulation.report import write

        write(world, figures, Path(report), cpu)
    if json_path != "-":
        print_figures(figures, cpu)
    if figures["rules"]["broken"]:
        print_violations(figures)
        return EXIT_FAILED
    return EXIT_OK


@simulate.command()
@click.argument("script")
@override_option
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def check(script: str, changes: tuple[str, ...], as_json: bool) -> int:
    """Check the scenario SCRIPT and print a summary, without running it."""
    scenario = load_scenario(script, changes)
    summary = summarize(scenario)
    if as_json:
        write_json(summary, "-")
    else:
        make_console().print(
            f"{scenario.name}: {summary['workers']} workers, {summary['dispatchers']} dispatchers, "
            f"{summary['rate']:g} jobs a second for {summary['length_s']:g} s, "
            f"{percent(summary['load'])} of the fleet's capacity, {len(scenario.faults)} faults"
        )
    return EXIT_OK


def summarize(scenario: Scenario) -> dict[str, Any]:
    """Return a scenario's main figures."""
    rate = scenario.load.rate
    return {
        "name": scenario.name,
        "describe": scenario.describe,
        "length_s": scenario.length / 1000,
        "workers": len(scenario.workers),
        "dispatchers": len(scenario.dispatchers.weights),
        "rate": round(rate, 3),
        "load": round(rate * scenario.mean_work / 1000 / scenario.capacity, 4),
        "troubles": [fault.kind for fault in scenario.faults],
    }


@simulate.command(name="list")
@click.option("--json", "as_json", is_flag=True, help="print JSON")
@click.option(
    "--folder",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=SHIPPED_SCENARIOS,
    help="where the scenarios are",
    show_default=False,
)
def list_scenarios(as_json: bool, folder: Path) -> int:
    """List the scenarios that come with the program."""
    rows = []
    all_valid = True
    for path in sorted(folder.glob(f"*{SCENARIO_SUFFIX}")):
        try:
            rows.append({**summarize(read(path)[0]), "name": path.stem})
        except ScenarioError as error:
            print_error(str(error))
            all_valid = False
    if as_json:
        write_json(rows, "-")
    else:
        table = Table(box=None, pad_edge=False)
        for name in ("scenario", "s", "workers", "jobs/s", "description"):
            table.add_column(name, justify="right" if name in ("s", "workers", "jobs/s") else "left")
        for row in rows:
            table.add_row(
                row["name"],
                f"{row['length_s']:g}",
                str(row["workers"]),
                f"{row['rate']:.0f}",
                row["describe"],
            )
        make_console().print(table)
    return EXIT_OK if all_valid else EXIT_USAGE


def parse_seeds(_: click.Context, __: click.Parameter, text: str) -> list[int]:
    """Return the seeds in ``1-8`` or ``1,4,9``, without repeats."""
    seeds: list[int] = []
    for item in text.split(","):
        first, dash, last = item.strip().partition("-")
        if not first.isdigit() or (dash and not last.isdigit()):
            raise click.BadParameter(f"{item!r} is neither a seed nor a range such as 1-8")
        seeds += range(int(first), int(last if dash else first) + 1)
    if not seeds or len(seeds) > 1_000:
        raise click.BadParameter("between 1 and 1000 seeds are needed")
    return list(dict.fromkeys(seeds))


@simulate.command()
@click.argument("first")
@click.argument("second")
@click.option(
    "--seeds",
    default="1-8",
    callback=parse_seeds,
    metavar="1-8",
    show_default=True,
    help="both scenarios run with each",
)
@click.option(
    "--set", "changes", multiple=True, metavar="KEY=VALUE", help="override a value of both scenarios"
)
@click.option(
    "--set-second",
    "second_changes",
    multiple=True,
    metavar="KEY=VALUE",
    help="override a value of the second alone, to compare two settings of one scenario",
)
@click.option(
    "--processes", type=click.IntRange(1), help="simulations at a time (default: one for each core)"
)
@click.option("--json", "json_path", metavar="FILE", help="write the comparison there; - for standard output")
def compare(
    first: str,
    second: str,
    seeds: list[int],
    changes: tuple[str, ...],
    second_changes: tuple[str, ...],
    processes: int | None,
    json_path: str | None,
) -> int:
    """Compare the scenarios FIRST and SECOND, paired by seed, with 95% intervals of the difference."""
    from elderstall.simulation.compare import compare as compare_pairs

    scenarios = load_scenario(first, changes), load_scenario(second, (*changes, *second_changes))
    with progress_bar(f"{scenarios[0].name}, {scenarios[1].name}") as bar:
        task = bar.add_task("", total=2 * len(seeds))
        table, pairs = compare_pairs(scenarios, seeds, lambda: bar.advance(task), processes)
    broken = sum(side["rules"]["broken"] for pair in pairs for side in pair)
    if json_path:
        write_json(
            {
                "first": first,
                "second": second,
                "seeds": seeds,
                "broken": broken,
                "pairs": [[side["figure"] for side in pair] for pair in pairs],
                "measures": [asdict(d) for d in table],
            },
            json_path,
        )
    if json_path != "-":
        out = Table(box=None, pad_edge=False)
        for name in ("", first, second if second != first else "second", "difference", "95% interval"):
            out.add_column(name, justify="left" if not name else "right")
        for d in table:
            low = d.difference - (d.half or 0.0)
            high = d.difference + (d.half or 0.0)
            out.add_row(
                d.name,
                f"{d.first:.4f}",
                f"{d.second:.4f}",
                f"{d.difference:+.4f}",
                "-" if d.half is None else f"{low:+.4f} to {high:+.4f}{' *' if d.clear else '  '}",
            )
        make_console().print(out)
        make_console().print(f"{len(seeds)} pairs; * where the interval excludes zero")
    if broken:
        print_error(f"{broken} times a rule was broken")
    return EXIT_FAILED if broken else EXIT_OK


def parse_addresses(_: click.Context, __: click.Parameter, texts: tuple[str, ...]) -> list[tuple[str, int]]:
    """Return the addresses in texts such as ``127.0.0.1:3000``."""
    found = []
    for text in texts:
        host, colon, port = text.rpartition(":")
        if not colon or not port.isdigit() or not 0 < int(port) < 65536 or not host.startswith("127."):
            raise click.BadParameter(
                f"{text!r} is not a loopback address with a port, such as 127.0.0.1:3000"
            )
        found.append((host, int(port)))
    return found


@simulate.command()
@click.argument("script")
@click.option(
    "--dispatcher",
    "dispatchers",
    multiple=True,
    required=True,
    callback=parse_addresses,
    metavar="HOST:PORT",
    help="where a dispatcher will listen; may be given several times",
)
@click.option(
    "--write",
    "folder",
    type=click.Path(file_okay=False, path_type=Path),
    default="build/serve",
    show_default=True,
    help="where a configuration for each dispatcher is written",
)
@click.option("--for", "seconds", type=click.FloatRange(0, min_open=True), help="stop after so many seconds")
@seed_option
@override_option
def serve(
    script: str,
    dispatchers: list[tuple[str, int]],
    folder: Path,
    seconds: float | None,
    seed: int | None,
    changes: tuple[str, ...],
) -> int:
    """Serve the workers, the list and the faults of SCRIPT on loopback sockets, in real time.

    Dispatchers are started by hand with the configuration written for each. At the end, or at an interrupt,
    what ran is printed as JSON; exit status 1 if a job of a class that must not repeat has run twice.
    """
    from elderstall.net import monotonic_reactor
    from elderstall.simulation.serve import SimulatedPlatform

    loop: Any = monotonic_reactor.install()  # this process has no reactor yet
    platform = SimulatedPlatform(
        load_scenario(script, changes), loop, time.monotonic, time.time() * 1000, dispatchers, seed
    )
    platform.begin()
    for path in platform.write(folder):
        click.echo(f"elderstall --config {path}", err=True)
    for kind in platform.unsupported_faults:
        print_error(f"warning: {kind} is left out, as it would affect a part that is not simulated here")
    if seconds is not None:
        loop.callLater(seconds, loop.stop)
    loop.run()
    figures = platform.figures()
    write_json(figures, "-")
    return EXIT_FAILED if figures["broken"] else EXIT_OK


@simulate.command()
@click.argument("script")
@click.argument("job", type=click.IntRange(1))
@seed_option
@override_option
@click.option("--json", "as_json", is_flag=True, help="print JSON")
def explain(script: str, job: int, seed: int | None, changes: tuple[str, ...], as_json: bool) -> int:
    """Run SCRIPT and print the whole history of request JOB, by its number."""
    figures, world, _ = run_scenario(load_scenario(script, changes), seed, job)
    request = world.explained
    if request is None:
        print_error(f"there is no request {job}; the simulation had {figures['requests']}")
        return EXIT_FAILED
    lines = history_lines(request)
    summary = {
        "request": job,
        "class": request.load.cls.name,
        "tenant": request.tenant,
        "ending": request.ended,
        "asked_s": round(request.arrived_at / 1000, 4),
        "wanted_s": round(request.latency_objective_at / 1000, 4),
        "work_ms": round(request.work, 3),
        "slots": request.slots,
        "in_share": request.within_quota,
    }
    if as_json:
        write_json({**summary, "history": lines}, "-")
    else:
        click.echo(
            f"request {job}: {request.load.cls.name} of {request.tenant or 'nobody'}, "
            f"{request.work:.0f} ms of work, asked at {request.arrived_at / 1000:.4f} s, "
            f"wanted by {request.latency_objective_at / 1000:.4f} s, ended {request.ended}"
        )
        for line in lines:
            click.echo(line)
    return EXIT_OK
