"""The report of a simulation: an HTML page with tables and plots as inline SVG, by jinja2 and matplotlib."""

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
MAX_HEAT_MAP_ROWS = 200  # maximum workers in the heat map; larger fleets are sampled at even steps
FAULT_COLORS = ("#d9a441", "#7a9cc6", "#b07aa1", "#86b875", "#c97064")


def render_svg(figure: Figure) -> str:
    """Return a figure as SVG, without metadata that changes from run to run."""
    out = io.StringIO()
    with mpl.rc_context({"svg.hashsalt": "elderstall", "svg.fonttype": "none"}):
        figure.savefig(out, format="svg", metadata={"Date": None, "Creator": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def shade_faults(axes: Axes, figures: dict[str, Any]) -> None:
    """Shade the time of each fault, and annotate its start with its kind."""
    for index, fault in enumerate(figures["troubles"]):
        color = FAULT_COLORS[index % len(FAULT_COLORS)]
        axes.axvspan(
            fault["at_s"], fault["at_s"] + max(fault["for_s"], 0.3), color=color, alpha=0.18, linewidth=0
        )
        axes.annotate(
            fault["kind"],
            (fault["at_s"], 1.0),
            xycoords=("data", "axes fraction"),
            fontsize=7,
            rotation=90,
            va="top",
            color="#555",
        )


def service_plot(figures: dict[str, Any]) -> str:
    """Return the plot of service and load by window."""
    windows = figures["windows"]
    # A window is ``WINDOW_BINS`` (5) seconds long: its middle is at 2.5 s, and its bar is a little narrower.
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
    lower.set_xlabel("seconds of the simulation")
    lower.legend(fontsize=7, loc="upper left")
    for axes in (upper, lower):
        shade_faults(axes, figures)
    return render_svg(figure)


def heat_map(world: World, figures: dict[str, Any]) -> str:
    """Return the plot of the fraction of cores in use, by worker and second; "" without samples."""
    rows = np.array([b.busy for b in world.tally.bins if b.busy]).T
    if not rows.size:
        return ""
    step = -(-len(rows) // MAX_HEAT_MAP_ROWS)
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
    axes.set_xlabel("seconds of the simulation")
    figure.colorbar(image, ax=axes, label="cores in use", format=PercentFormatter(1.0))
    for fault in figures["troubles"]:
        axes.axvline(fault["at_s"], color="white", linewidth=0.8, linestyle=":")
    return render_svg(figure)


def write(world: World, figures: dict[str, Any], path: Path, cpu: float) -> None:
    """Write the report. ``cpu`` is the CPU seconds that the simulation took on this machine."""
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
