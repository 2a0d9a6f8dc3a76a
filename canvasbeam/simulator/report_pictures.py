"""The pictures of a report: results drawn with matplotlib, as SVG to be put into a page."""

from __future__ import annotations

import io
from collections.abc import Sequence
from typing import Any

import matplotlib as mpl

from canvasbeam.simulator.engine_sim import Cost
from canvasbeam.simulator.result import PERCENTILES, Result

mpl.use("svg")
from matplotlib import pyplot as plt
from matplotlib.lines import Line2D
from matplotlib.patches import Rectangle
from matplotlib.ticker import FuncFormatter, LogLocator, NullFormatter

# Okabe and Ito's colours, told apart by most people.
COLOURS = ("#0072B2", "#E69F00", "#009E73", "#CC79A7", "#56B4E9", "#D55E00", "#F0E442", "#555555")
ENDS = {
    "in time": "#009E73",
    "late": "#E69F00",
    "refused": "#56B4E9",
    "failed": "#D55E00",
    "lost": "#CC79A7",
    "silent": "#000000",
}
FAULT_COLOURS = {
    "crash": "#D55E00",
    "slow": "#E69F00",
    "shared_slow": "#F0C808",
    "fast_errors": "#CC79A7",
    "burst": "#0072B2",
    "silent": "#444444",
    "breaking": "#A05195",
    "drain": "#009E73",
    "pause": "#888888",
}
WIDTH = 11.0


def _svg(figure: Any) -> str:
    """Return a figure as SVG to be put into the page, without its preamble."""
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    plt.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]


def _axes(height: float, title: str = "") -> tuple[Any, Any]:
    figure, axes = plt.subplots(figsize=(WIDTH, height))
    axes.spines[["top", "right"]].set_visible(False)
    if title:
        axes.set_title(title, loc="left", fontsize=11)
    return figure, axes


def _bands(axes: Any, result: Result) -> None:
    """Draw the faults as bands behind a picture over time, each named once above it."""
    top = axes.get_ylim()[1]
    rows: list[float] = []  # where the last name of each row ends, so that names do not lie on each other
    for fault in sorted(result.faults, key=lambda each: each.at_s):
        colour = FAULT_COLOURS.get(fault.kind, "#777777")
        axes.axvspan(fault.at_s, fault.until_s, color=colour, alpha=0.13, lw=0, zorder=0)
        name = fault.kind.replace("_", " ")
        if fault.size:
            name += f" {fault.size:g}"
        if len(fault.members) > 1:
            name += f" ({len(fault.members)})"
        width = 0.0088 * len(name) * result.length_s
        row = next((place for place, end in enumerate(rows) if end <= fault.at_s), len(rows))
        rows[row : row + 1] = [fault.at_s + width]
        axes.annotate(
            name,
            (fault.at_s, top),
            xytext=(0, 4 + 11 * row),
            textcoords="offset points",
            fontsize=8,
            color=colour,
            annotation_clip=False,
        )


def _in_time_units(axes: Any) -> None:
    """Set a logarithmic axis of milliseconds that names its ticks as people say them."""
    axes.set_yscale("log")
    axes.yaxis.set_major_locator(LogLocator(10, subs=(1.0, 2.0, 5.0)))
    axes.yaxis.set_major_formatter(FuncFormatter(lambda value, _: _said(value)))
    axes.yaxis.set_minor_formatter(NullFormatter())


def _said(ms: float) -> str:
    return f"{ms / 1000:.2g} s" if ms >= 1000 else f"{ms:.3g} ms"


def _smooth(values: list[tuple[float, float]], span: int) -> list[float]:
    """Return the ratio of two running sums over so many seconds."""
    made = []
    for place in range(len(values)):
        part = values[max(0, place - span + 1) : place + 1]
        whole = sum(element[1] for element in part)
        made.append(sum(element[0] for element in part) / whole if whole else 1.0)
    return made


def service_over_time(several: Sequence[Result]) -> str:
    """Service by the second and over three seconds, with the faults and the worst window."""
    figure, axes = _axes(3.4)
    lowest = 1.0
    for place, result in enumerate(several):
        rows = [row for row in result.windows if row.jobs]
        at = [row.at_s + 0.5 for row in rows]
        line = _smooth([(row.earned, row.asked) for row in rows], 3)
        lowest = min(lowest, *line) if line else lowest
        colour = COLOURS[place % len(COLOURS)]
        label = f"{result.scenario}, {result.engine}, seed {result.seed}"
        axes.plot(at, line, color=colour, lw=1.8, label=label)
        if len(several) == 1:
            by_second = [row.earned / row.asked if row.asked else 1.0 for row in rows]
            axes.plot(at, by_second, color=colour, lw=0.6, alpha=0.4)
    first = several[0]
    axes.set_ylim(max(0.0, min(0.6, lowest - 0.08)), 1.02)
    axes.set_xlim(0, first.length_s)
    axes.set_xlabel("seconds")
    axes.set_ylabel("service")
    if len(several) == 1:
        begin = first.worst_window_at_s
        level = [first.worst_window] * 2
        axes.plot([begin, begin + 10], level, color="#D55E00", lw=4, alpha=0.8, solid_capstyle="butt")
        axes.annotate(
            f"worst 10 s: {first.worst_window:.2f}",
            (begin + 5, first.worst_window),
            xytext=(0, -14),
            textcoords="offset points",
            ha="center",
            fontsize=9,
            color="#D55E00",
            bbox={"facecolor": "white", "alpha": 0.8, "lw": 0, "pad": 1},
        )
    else:
        axes.legend(frameon=False, fontsize=9, loc="lower right")
    _bands(axes, first)
    return _svg(figure)


def ends_over_time(result: Result) -> str:
    """Return what became of the jobs of each second."""
    figure, axes = _axes(2.8)
    at = [row.at_s + 0.5 for row in result.windows]
    below = [0] * len(at)
    for name, colour in ENDS.items():
        counts = [row.ends.get(name, 0) for row in result.windows]
        if any(counts):
            axes.bar(at, counts, bottom=below, width=0.95, color=colour, label=name)
            below = [one + other for one, other in zip(below, counts, strict=True)]
    axes.set_xlim(0, result.length_s)
    axes.set_ylim(0, max([1, *below]) * 1.05)
    axes.set_xlabel("seconds")
    axes.set_ylabel("jobs that came in the second")
    axes.legend(frameon=False, fontsize=9, ncols=6, loc="upper center", bbox_to_anchor=(0.5, -0.2))
    _bands(axes, result)
    return _svg(figure)


def latency_by_class(several: Sequence[Result]) -> str:
    """Percentiles of the latency of each class."""
    classes = [request_class.name for request_class in several[0].classes]
    figure, all_axes = plt.subplots(1, len(classes), figsize=(WIDTH, 3.0), squeeze=False, sharey=True)
    names = [f"p{percentile:g}" for percentile in PERCENTILES]
    for place, axes in enumerate(all_axes[0]):
        axes.spines[["top", "right"]].set_visible(False)
        axes.set_title(classes[place], loc="left", fontsize=10)
        for number, result in enumerate(several):
            made = result.classes[place].latency_ms
            values = [made.get(name, 0.0) for name in names]
            axes.plot(names, values, marker="o", ms=4, color=COLOURS[number % len(COLOURS)])
            if len(several) == 1:
                for name, value in zip(names, values, strict=True):
                    text = _said(round(value))
                    at: Any = (name, value)
                    axes.annotate(text, at, xytext=(0, 6), textcoords="offset points", ha="center", fontsize=8)
        _in_time_units(axes)
        axes.margins(y=0.18, x=0.1)
        axes.grid(axis="y", color="#eeeeee")
    figure.tight_layout()
    return _svg(figure)


def traffic(result: Result) -> str:
    """Jobs by worker, coloured by zone, beside what an even share by capacity would be."""
    figure, axes = _axes(3.0)
    rows = sorted(result.traffic, key=lambda each: (each.zone, each.name))
    zones = sorted({row.zone for row in rows})
    total, capacity = sum(row.offered for row in rows), sum(row.capacity for row in rows)
    own = [row.offered - row.crossed for row in rows]
    places = range(len(rows))
    colours = [COLOURS[zones.index(row.zone) % len(COLOURS)] for row in rows]
    axes.bar(places, own, color=colours, width=0.8)
    axes.bar(places, [row.crossed for row in rows], bottom=own, color=colours, alpha=0.4, width=0.8)
    even = [total * row.capacity / capacity for row in rows]
    many = len(rows) > 40
    axes.scatter(places, even, marker="_", s=12 if many else 260, color="#222222", zorder=3)
    axes.set_ylabel("requests")
    axes.set_xlim(-0.7, len(rows) - 0.3)
    if many:
        axes.set_xticks([])
        axes.set_xlabel(f"{len(rows)} workers, by zone")
    else:
        axes.set_xticks(list(places), [row.name for row in rows], rotation=60, fontsize=8)
    handles: list[Any] = [Rectangle((0, 0), 1, 1, color=COLOURS[place % len(COLOURS)]) for place in range(len(zones))]
    handles.append(Rectangle((0, 0), 1, 1, color="#888888", alpha=0.4))
    handles.append(Line2D([], [], color="#222222", lw=1.5))
    labels = [*zones, "from other zones", "even by capacity"]
    axes.legend(
        handles, labels, frameon=False, fontsize=8, ncols=len(labels), loc="lower left", bbox_to_anchor=(0, 1.0)
    )
    return _svg(figure)


def latency_over_time(result: Result) -> str:
    """Return the median and the 99th percentile of each second."""
    figure, axes = _axes(2.6)
    rows = [row for row in result.windows if row.p99_ms]
    at = [row.at_s + 0.5 for row in rows]
    half, most = [row.p50_ms for row in rows], [row.p99_ms for row in rows]
    axes.fill_between(at, half, most, color=COLOURS[0], alpha=0.2, lw=0)
    axes.plot(at, [row.p50_ms for row in rows], color=COLOURS[0], lw=1.6, label="half of the served took less")
    axes.plot(at, [row.p99_ms for row in rows], color=COLOURS[5], lw=1.0, label="99% of them took less")
    _in_time_units(axes)
    axes.set_xlim(0, result.length_s)
    axes.set_xlabel("seconds")
    axes.legend(frameon=False, fontsize=9, ncols=2, loc="upper center", bbox_to_anchor=(0.5, -0.2))
    _bands(axes, result)
    return _svg(figure)


def decision_cost(cost: Cost) -> str:
    """How long a pass of a scheduler's core took."""
    figure, axes = _axes(2.2)
    names = list(cost.pass_us)
    values = [cost.pass_us[name] for name in names]
    axes.barh(names, values, color=COLOURS[0], height=0.6)
    for place, value in enumerate(values):
        axes.annotate(f"{value:.0f} us", (value, place), xytext=(4, -3), textcoords="offset points", fontsize=9)
    axes.invert_yaxis()
    axes.set_xlabel("microseconds")
    axes.margins(x=0.12)
    return _svg(figure)
