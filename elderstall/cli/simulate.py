"""``elderstall simulate``: play scenarios, compare them, explain what became of a request."""

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

from elderstall.cli.output import BAD, FAILED, GOOD, print_error, write_json
from elderstall.simulation.audit import history_lines
from elderstall.simulation.reading import ENDING, SHIPPED, ScriptError, find, read
from elderstall.simulation.scenario import Scenario
from elderstall.simulation.world import World

settings = click.option(
    "--set",
    "changes",
    multiple=True,
    metavar="KEY=VALUE",
    help="lay a value over the script, such as load/rate=40 or slow/factor=3",
)
seed_option = click.option("--seed", type=click.IntRange(0), help="instead of the script's")


def opened(name: str, changes: Sequence[str]) -> Scenario:
    """Read a script, and say what is odd about it; a faulty one ends the command."""
    try:
        scenario, warnings = read(find(name), changes)
    except ScriptError as error:
        print_error(str(error))
        raise click.exceptions.Exit(BAD) from None
    for warning in warnings:
        print_error(f"warning: {warning}")
    return scenario


def shown() -> Console:
    """Give the console for tables: standard output."""
    return Console(highlight=False)


def progress_bar(what: str) -> Progress:
    """Make a progress bar on standard error, for people alone."""
    console = Console(stderr=True)
    return Progress(
        TextColumn(what),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=console,
        disable=not console.is_terminal,
        transient=True,
    )


def played(
    scenario: Scenario, seed: int | None, explain: int | None = None
) -> tuple[dict[str, Any], World, float]:
    """Play a scenario behind a progress bar; gives the CPU seconds that it took too."""
    world = World(scenario, seed, explain)
    before = time.process_time()
    with progress_bar(scenario.name) as bar:
        task = bar.add_task("", total=100)
        figures = world.play(lambda share: bar.update(task, completed=round(100 * share)))
    return figures, world, time.process_time() - before


def percent(value: float | None) -> str:
    """Write a share."""
    return "-" if value is None else f"{100 * value:.1f}%"


def show(figures: dict[str, Any], cpu: float) -> None:
    """Print a scenario's figures as tables."""
    out, service, core = shown(), figures["service"], figures["core_time"]

    def say(*parts: str) -> None:
        out.print("".join(parts), soft_wrap=True)

    say(
        f"[bold]{figures['night']}[/bold], seed {figures['seed']}: {figures['requests']} requests, ",
        f"{figures['workers']} workers, {figures['dispatchers']} dispatchers, {figures['length_s']:g} s",
    )
    say(
        f"figure [bold]{figures['figure'] or 0:.3f}[/bold]   service {percent(service['whole'])}, ",
        f"worst 10 s {percent(service['worst_10_s'])} from {service['worst_10_s_from']} s, ",
        f"worst class {percent(service['worst_class'])}, worst tenant {percent(service['worst_tenant'])}",
    )
    table = Table(box=None, pad_edge=False)
    for name in ("class", "service", "served", "late", "refused", "failed", "p50 ms", "p99 ms"):
        table.add_column(name, justify="left" if name == "class" else "right")
    shown_endings = ("served", "late", "refused")
    for name, c in figures["classes"].items():
        endings, latency = c["endings"], c["latency_ms"]
        failed = sum(n for what, n in endings.items() if what not in (*shown_endings, "left"))
        table.add_row(
            name,
            percent(c["service"]),
            *(str(endings.get(e, 0)) for e in shown_endings),
            str(failed),
            *(f"{latency[q]:.0f}" if latency else "-" for q in ("p50", "p99")),
        )
    out.print(table)
    say(
        f"{figures['attempts']} attempts, {figures['retries']} retries, ",
        f"{figures['connections']} connections; ",
        f"cores {percent(core['busy'])} busy, {percent(core['overhead'])} connections, ",
        f"{percent(core['down'] + core['paused'])} down or paused; ",
        f"{figures['work']['wasted_s']:.0f} of {figures['work']['core_s']:.0f} core s wasted",
    )
    for t in figures["troubles"]:
        say(
            f"  {t['at_s']:g} s  {t['kind']}",
            f" for {t['for_s']:g} s" if t["for_s"] else "",
            ": " + ", ".join(t["struck"][:6]) if t["struck"] else "",
            " ..." if len(t["struck"]) > 6 else "",
        )
    if figures["most_lost"]:
        say(
            "most worth lost with requests ",
            ", ".join(
                f"{row['request']} ({row['class']}, {row['ending']}, {percent(row['share_of_worth'])})"
                for row in figures["most_lost"][:3]
            ),
        )
    say(f"{1e6 * cpu / max(1, figures['requests']):.0f} us of CPU a request on this machine")


def show_broken(figures: dict[str, Any]) -> None:
    """Print the rules that were broken, each with its request's whole history."""
    rules = figures["rules"]
    for b in rules["first"]:
        print_error(f"rule {b['rule']} broken at {b['at_s']:g} s: {b['what']}")
        for line in b["history"]:
            click.echo(f"    {line}", err=True)
    print_error(
        f"{rules['broken']} times a rule was broken"
        + (f", of which {len(rules['first'])} are shown" if rules["broken"] > len(rules["first"]) else "")
    )


@click.group()
def simulate() -> None:
    """Simulate bad scenarios in virtual time, with the real core and decisions inside."""


@simulate.command()
@click.argument("script")
@seed_option
@settings
@click.option("--json", "json_path", metavar="FILE", help="write the figures there; - for standard output")
@click.option("--report", metavar="FILE", help="write a report with plots there, as HTML")
def run(
    script: str, seed: int | None, changes: tuple[str, ...], json_path: str | None, report: str | None
) -> int:
    """Play the scenario SCRIPT, a file or the name of one that comes with the program.

    Exit status 1 if a rule was broken.
    """
    scenario = opened(script, changes)
    figures, world, cpu = played(scenario, seed)
    if json_path:
        write_json(figures, json_path)
    if report:
        from elderstall.simulation.report import write

        write(world, figures, Path(report), cpu)
    if json_path != "-":
        show(figures, cpu)
    if figures["rules"]["broken"]:
        show_broken(figures)
        return FAILED
    return GOOD


@simulate.command()
@click.argument("script")
@settings
@click.option("--json", "as_json", is_flag=True, help="for programs")
def check(script: str, changes: tuple[str, ...], as_json: bool) -> int:
    """Check the scenario SCRIPT and say what it holds, without playing it."""
    scenario = opened(script, changes)
    summary = summary_of(scenario)
    if as_json:
        write_json(summary, "-")
    else:
        shown().print(
            f"{scenario.name}: {summary['workers']} workers, {summary['dispatchers']} dispatchers, "
            f"{summary['rate']:g} jobs a second for {summary['length_s']:g} s, "
            f"{percent(summary['load'])} of what the fleet can do, {len(scenario.faults)} troubles"
        )
    return GOOD


def summary_of(scenario: Scenario) -> dict[str, Any]:
    """Say in figures what a scenario holds."""
    rate = scenario.load.rate
    return {
        "name": scenario.name,
        "describe": scenario.describe,
        "length_s": scenario.length / 1000,
        "workers": len(scenario.workers),
        "dispatchers": len(scenario.dispatchers.weights),
        "rate": round(rate, 3),
        "load": round(rate * scenario.mean_work / 1000 / scenario.capacity, 4),
        "troubles": [t.kind for t in scenario.faults],
    }


@simulate.command(name="list")
@click.option("--json", "as_json", is_flag=True, help="for programs")
@click.option(
    "--folder",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=SHIPPED,
    help="where the scripts are",
    show_default=False,
)
def list_scripts(as_json: bool, folder: Path) -> int:
    """List the scenarios that come with the program."""
    rows, good = [], True
    for path in sorted(folder.glob(f"*{ENDING}")):
        try:
            rows.append({**summary_of(read(path)[0]), "name": path.stem})
        except ScriptError as error:
            print_error(str(error))
            good = False
    if as_json:
        write_json(rows, "-")
    else:
        table = Table(box=None, pad_edge=False)
        for name in ("night", "s", "workers", "jobs/s", "what happens"):
            table.add_column(name, justify="right" if name in ("s", "workers", "jobs/s") else "left")
        for row in rows:
            table.add_row(
                row["name"],
                f"{row['length_s']:g}",
                str(row["workers"]),
                f"{row['rate']:.0f}",
                row["describe"],
            )
        shown().print(table)
    return GOOD if good else BAD


def seeds_of(_: click.Context, __: click.Parameter, text: str) -> list[int]:
    """Read ``1-8`` or ``1,4,9``."""
    seeds: list[int] = []
    for item in text.split(","):
        first, dash, last = item.strip().partition("-")
        if not first.isdigit() or (dash and not last.isdigit()):
            raise click.BadParameter(f"{item!r} is neither a seed nor a range such as 1-8")
        seeds += range(int(first), int(last if dash else first) + 1)
    if not seeds or len(seeds) > 1_000:
        raise click.BadParameter("wants 1 to 1000 seeds")
    return list(dict.fromkeys(seeds))


@simulate.command()
@click.argument("first")
@click.argument("second")
@click.option(
    "--seeds",
    default="1-8",
    callback=seeds_of,
    metavar="1-8",
    show_default=True,
    help="each is played by both",
)
@click.option("--set", "changes", multiple=True, metavar="KEY=VALUE", help="lay a value over both scripts")
@click.option(
    "--set-second",
    "second_changes",
    multiple=True,
    metavar="KEY=VALUE",
    help="lay a value over the second alone, so that two settings of one night can be compared",
)
@click.option("--processes", type=click.IntRange(1), help="plays at once (all cores)")
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
    from elderstall.simulation.compare import compare as pair_up

    scenarios = opened(first, changes), opened(second, (*changes, *second_changes))
    with progress_bar(f"{scenarios[0].name}, {scenarios[1].name}") as bar:
        task = bar.add_task("", total=2 * len(seeds))
        table, pairs = pair_up(scenarios, seeds, lambda: bar.advance(task), processes)
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
            low, high = d.difference - (d.half or 0.0), d.difference + (d.half or 0.0)
            out.add_row(
                d.name,
                f"{d.first:.4f}",
                f"{d.second:.4f}",
                f"{d.difference:+.4f}",
                "-" if d.half is None else f"{low:+.4f} to {high:+.4f}{' *' if d.clear else '  '}",
            )
        shown().print(out)
        shown().print(f"{len(seeds)} pairs; * where the interval leaves out zero")
    if broken:
        print_error(f"{broken} times a rule was broken")
    return FAILED if broken else GOOD


def address(_: click.Context, __: click.Parameter, texts: tuple[str, ...]) -> list[tuple[str, int]]:
    """Read ``127.0.0.1:3000``."""
    found = []
    for text in texts:
        host, colon, port = text.rpartition(":")
        if not colon or not port.isdigit() or not 0 < int(port) < 65536 or not host.startswith("127."):
            raise click.BadParameter(f"{text!r} is no loopback address with a port, such as 127.0.0.1:3000")
        found.append((host, int(port)))
    return found


@simulate.command()
@click.argument("script")
@click.option(
    "--dispatcher",
    "dispatchers",
    multiple=True,
    required=True,
    callback=address,
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
@settings
def serve(
    script: str,
    dispatchers: list[tuple[str, int]],
    folder: Path,
    seconds: float | None,
    seed: int | None,
    changes: tuple[str, ...],
) -> int:
    """Put the workers, the list and the faults of SCRIPT on loopback sockets, in real time.

    Dispatchers are started by hand with the configuration written for each. At the end, or at an interrupt,
    what ran is printed as JSON; exit status 1 if a job of a class that must not repeat has run twice.
    """
    from elderstall.net import monotonic_reactor
    from elderstall.simulation.serve import SimulatedPlatform

    loop: Any = monotonic_reactor.install()  # in a process that has none yet
    platform = SimulatedPlatform(
        opened(script, changes), loop, time.monotonic, time.time() * 1000, dispatchers, seed
    )
    platform.begin()
    for path in platform.write(folder):
        click.echo(f"elderstall --config {path}", err=True)
    for kind in platform.unsupported_faults:
        print_error(f"warning: {kind} strikes what is real here, and is left out")
    if seconds is not None:
        loop.callLater(seconds, loop.stop)
    loop.run()
    figures = platform.figures()
    write_json(figures, "-")
    return FAILED if figures["broken"] else GOOD


@simulate.command()
@click.argument("script")
@click.argument("job", type=click.IntRange(1))
@seed_option
@settings
@click.option("--json", "as_json", is_flag=True, help="for programs")
def explain(script: str, job: int, seed: int | None, changes: tuple[str, ...], as_json: bool) -> int:
    """Play SCRIPT and tell the whole history of request JOB, by its number."""
    figures, world, _ = played(opened(script, changes), seed, job)
    request = world.explained
    if request is None:
        print_error(f"there is no request {job}; the night had {figures['requests']}")
        return FAILED
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
    return GOOD
