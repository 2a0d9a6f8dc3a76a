"""Both engines on the same scenarios and seeds: how far apart their service and each worker's traffic lie.

    .venv/bin/python bench/engines.py calm tuesday site-overload broken-streams --seeds 1-2

Scenarios on sockets run in real time, one after another. One line a run; --from DIR takes sockets' results that are
there already.
"""

from __future__ import annotations

import tempfile
from pathlib import Path

import click

from canvasbeam.simulator import engine_sim, engine_sockets, experiments, scenario
from canvasbeam.simulator import result as results
from canvasbeam.simulator.result import Result


def worst_share(one: Result, other: Result) -> tuple[float, str, float]:
    """Return the worker whose part of the traffic differs most, the mean difference, both relative."""
    totals = [sum(row.offered for row in result.traffic) for result in (one, other)]
    apart = {
        a.name: abs(b.offered / totals[1] - a.offered / totals[0]) / (a.offered / totals[0])
        for a, b in zip(one.traffic, other.traffic, strict=True)
        if a.offered
    }
    name = max(apart, key=lambda each: apart[each])
    return apart[name], name, sum(apart.values()) / len(apart)


@click.command()
@click.argument("names", nargs=-1, required=True)
@click.option("--seeds", default="1", show_default=True)
@click.option("--from", "folder", type=click.Path(path_type=Path), help="Where sockets' results lie already.")
def main(names: tuple[str, ...], seeds: str, folder: Path | None) -> None:
    """Print one line for each scenario and seed."""
    for name in names:
        for seed in experiments.seeds_of(seeds):
            played = scenario.load(name, {"seed": seed})
            simulated, _ = engine_sim.play(played)
            path = folder / f"{name}-sockets-seed{seed}.json" if folder else None
            if path is not None and path.exists():
                real = results.read(path)
            else:
                with tempfile.TemporaryDirectory() as logs:
                    real = engine_sockets.play(played, Path(logs))
                if path is not None:
                    results.write(real, path)
            apart, worker, mean = worst_share(simulated, real)
            print(
                f"{name:26} seed {seed}  service {simulated.service:.4f} simulated, {real.service:.4f} on sockets "
                f"({real.service - simulated.service:+.4f})  traffic: {worker} {apart:.1%} apart, mean {mean:.1%}  "
                f"broken {simulated.broken_count}/{real.broken_count}"
            )


if __name__ == "__main__":
    main()
