"""What a job and a decision cost as the fleet grows: simulated runs of 12, 100, 300 and 1,000 workers.

    .venv/bin/python bench/cost_curve.py --out docs/figures

Each size is played in a process of its own, one after another; cost.json and cost.svg are written. With --quick the
runs last a few seconds. A decision is one pass of a scheduler's core, the module's call included.
"""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import click
import matplotlib as mpl

mpl.use("svg")
from matplotlib import pyplot as plt

ROOT = Path(__file__).resolve().parents[1]
SIZES = {"calm": 12, "large-100": 100, "large-300": 300, "large-1000": 1000}
PLAY = """
import sys, msgspec
from canvasbeam.simulator import engine_sim
from canvasbeam.simulator import scenario
changes = {"length_s": float(sys.argv[2]), "faults": []} if sys.argv[2] != "0" else {}
result, cost = engine_sim.play(scenario.load(sys.argv[1], changes))
print(msgspec.json.encode(cost).decode())
print(result.summary(), file=sys.stderr)
"""


def measured(seconds: float) -> dict[str, Any]:
    """Return the cost of each size, by scenario."""
    found = {}
    for name, workers in SIZES.items():
        made = subprocess.run(
            [sys.executable, "-c", PLAY, name, str(seconds)], cwd=ROOT, stdout=subprocess.PIPE, text=True, check=True
        )
        found[name] = {"workers": workers, **json.loads(made.stdout)}
    return found


def draw(found: dict[str, Any], to: Path) -> None:
    """Three pictures over the number of workers."""
    rows = sorted(found.values(), key=lambda each: each["workers"])
    workers = [row["workers"] for row in rows]
    figure, axes = plt.subplots(1, 3, figsize=(11, 3))
    titles = {"us_per_job": "microseconds a job", "us_per_pass": "microseconds a pass", "peak_mb": "peak memory, MB"}
    for place, (key, title) in enumerate(titles.items()):
        values = [row[key] for row in rows]
        axes[place].plot(workers, values, marker="o", color="#0072B2")
        for at, value in zip(workers, values, strict=True):
            axes[place].annotate(f"{value:.0f}", (at, value), xytext=(0, 6), textcoords="offset points", ha="center")
        axes[place].set_xscale("log")
        axes[place].set_ylim(0, max(values) * 1.2)
        axes[place].set_title(title, loc="left", fontsize=10)
        axes[place].set_xlabel("workers")
        axes[place].spines[["top", "right"]].set_visible(False)
    figure.tight_layout()
    figure.savefig(to, metadata={"Date": None})


@click.command()
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), default=Path("runs"), show_default=True)
@click.option("--quick", is_flag=True, help="A few seconds of each, without faults.")
def main(out: Path, quick: bool) -> None:
    """Measure, print and draw."""
    found = measured(4.0 if quick else 0)
    out.mkdir(parents=True, exist_ok=True)
    (out / "cost.json").write_text(json.dumps(found, indent=1) + "\n")
    draw(found, out / "cost.svg")
    for name, each in found.items():
        print(
            f"{name:12} {each['workers']:5} workers {each['jobs']:7} jobs {each['wall_s']:7.1f} s  "
            f"{each['us_per_job']:7.0f} us a job  {each['us_per_pass']:6.1f} us a pass "
            f"(p99 {each['pass_us']['p99']:.0f})  {each['peak_mb']:.0f} MB"
        )


if __name__ == "__main__":
    main()
