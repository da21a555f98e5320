"""A scenario's report: one HTML page with tables and, as SVG inside it, plots; by jinja2 and matplotlib."""

from __future__ import annotations

import io
from pathlib import Path
from typing import TYPE_CHECKING, Any

import matplotlib as mpl
import numpy as np
from jinja2 import Environment, FileSystemLoader, StrictUndefined
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.ticker import PercentFormatter

from elderstall.atomic_file import write_text_atomically

if TYPE_CHECKING:
    from elderstall.simulation.world import World

TEMPLATE = "report.html.j2"
MOST_ROWS = 200  # workers in the heat map; of more, every so many-th
SHADES = ("#d9a441", "#7a9cc6", "#b07aa1", "#86b875", "#c97064")


def svg_of(figure: Figure) -> str:
    """Draw a figure as SVG, without what changes from run to run."""
    out = io.StringIO()
    with mpl.rc_context({"svg.hashsalt": "elderstall", "svg.fonttype": "none"}):
        figure.savefig(out, format="svg", metadata={"Date": None, "Creator": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def shade(axes: Axes, figures: dict[str, Any]) -> None:
    """Shade the faults, and name each at its begin."""
    for n, t in enumerate(figures["troubles"]):
        color = SHADES[n % len(SHADES)]
        axes.axvspan(t["at_s"], t["at_s"] + max(t["for_s"], 0.3), color=color, alpha=0.18, linewidth=0)
        axes.annotate(
            t["kind"],
            (t["at_s"], 1.0),
            xycoords=("data", "axes fraction"),
            fontsize=7,
            rotation=90,
            va="top",
            color="#555",
        )


def service_plot(figures: dict[str, Any]) -> str:
    """Plot service and load by window."""
    windows = figures["windows"]
    middle = [w["from_s"] + 2.5 for w in windows]
    figure = Figure(figsize=(9, 4.6), layout="constrained")
    upper, lower = figure.subplots(2, 1, sharex=True, height_ratios=(2, 1))
    for name in figures["classes"]:
        values = [w["classes"].get(name) for w in windows]
        upper.plot(
            middle,
            [np.nan if v is None else v for v in values],
            linewidth=1,
            label=name,
            marker=".",
            markersize=3,
        )
    upper.plot(
        middle,
        [np.nan if w["service"] is None else w["service"] for w in windows],
        color="black",
        linewidth=2,
        label="all, by worth",
    )
    upper.set_ylim(0, 1.03)
    upper.yaxis.set_major_formatter(PercentFormatter(1.0))
    upper.set_ylabel("service")
    upper.legend(fontsize=7, loc="lower left")
    lower.bar(middle, [w["requests"] / 5 for w in windows], width=4.6, color="#9aa5b1")
    lower.bar(
        middle,
        [w["endings"].get("refused", 0) / 5 for w in windows],
        width=4.6,
        color="#c97064",
        label="refused",
    )
    lower.set_ylabel("requests a second")
    lower.set_xlabel("seconds of the night")
    lower.legend(fontsize=7, loc="upper left")
    for axes in (upper, lower):
        shade(axes, figures)
    return svg_of(figure)


def heat_map(world: World, figures: dict[str, Any]) -> str:
    """Plot how busy each worker's cores are, second by second."""
    rows = np.array([b.busy for b in world.tally.bins if b.busy]).T
    if not rows.size:
        return ""
    step = -(-len(rows) // MOST_ROWS)
    names = list(world.worker_hosts)[::step]
    figure = Figure(figsize=(9, min(9.0, 1.2 + 0.16 * len(names))), layout="constrained")
    axes = figure.subplots()
    image = axes.imshow(
        rows[::step],
        aspect="auto",
        interpolation="nearest",
        cmap="viridis",
        vmin=0,
        vmax=1,
        extent=(0, rows.shape[1], len(names), 0),
    )
    if len(names) <= 40:
        axes.set_yticks([n + 0.5 for n in range(len(names))], names, fontsize=7)
    axes.set_xlabel("seconds of the night")
    figure.colorbar(image, ax=axes, label="cores in use", format=PercentFormatter(1.0))
    for t in figures["troubles"]:
        axes.axvline(t["at_s"], color="white", linewidth=0.8, linestyle=":")
    return svg_of(figure)


def write(world: World, figures: dict[str, Any], path: Path, cpu: float) -> None:
    """Write the report. ``cpu`` is the CPU seconds that the play took on this machine."""
    env = Environment(
        loader=FileSystemLoader(Path(__file__).parent),
        autoescape=True,
        undefined=StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    page = env.get_template(TEMPLATE).render(
        f=figures,
        scenario=world.scenario,
        cpu_us=1e6 * cpu / max(1, figures["requests"]),
        service_plot=service_plot(figures),
        heat_map=heat_map(world, figures),
    )
    write_text_atomically(path, page)
