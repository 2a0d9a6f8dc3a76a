"""The command that keeps emulated workers and discovery up, on loopback alone."""

from __future__ import annotations

import tempfile
from pathlib import Path

import click

from canvasbeam.cli.commands import examples_as_written, guarded
from canvasbeam.cli.exit_codes import EXIT_CODE_HELP


def parse_loopback_address(text: str) -> tuple[str, int]:
    """Return the address that HOST:PORT names; click's BadParameter where it is none, or not on loopback."""
    from canvasbeam.scheduler.worker_discovery import read_address  # noqa: PLC0415

    try:
        host, port = read_address(text)
    except ValueError as error:
        raise click.BadParameter(str(error)) from error
    if not host.startswith("127."):
        raise click.BadParameter(f"{host} is not a loopback address (127.0.0.0/8)")
    return host, port


@click.command(epilog=EXIT_CODE_HELP)
@click.argument("scenario", default="rennes")
@click.option("--discovery", default="127.0.0.1:8500", show_default=True, help="Where discovery listens; each further "
              "scheduler's agent takes the next port.")  # fmt: skip
@click.option("--schedulers", type=click.IntRange(1, 32), default=1, show_default=True, help="How many will come.")
@click.option("--workers", type=click.IntRange(1, 200), help="As many workers, not the scenario's.")
@click.option("--faults", is_flag=True, help="Play the scenario's faults, from the start.")
@click.option("--seed", type=int, help="Another seed than the scenario's.")
@guarded
@examples_as_written
def emulate(
    scenario: str, discovery: str, schedulers: int, workers: int | None, faults: bool, seed: int | None
) -> None:
    r"""Keep a scenario's workers and discovery up, to try a scheduler with curl. Ctrl-C ends it.

    \b
    Example, in two terminals:
      canvasbeam emulate
      canvasbeam serve --config example/config.json
      curl -i 'http://127.0.0.1:5000/api?sid=7f3a' -H 'X-Call-Id: 1' \
           -H 'X-Call-Class: file-read' -H 'X-Budget: 5' -d hello
    """
    from canvasbeam.simulator.emulate import Emulation  # noqa: PLC0415
    from canvasbeam.simulator.interrupts import interrupted  # noqa: PLC0415
    from canvasbeam.simulator.scenario import load  # noqa: PLC0415

    changes: dict[str, object] = {"schedulers.count": schedulers}
    if workers is not None:
        changes["fleet.workers"] = workers
    if seed is not None:
        changes["seed"] = seed
    with tempfile.TemporaryDirectory() as folder, interrupted() as interruption:
        emulation = Emulation(load(scenario, changes), parse_loopback_address(discovery), Path(folder))
        addresses = ", ".join(f"{host}:{port}" for host, port in emulation.discovery)
        click.echo(
            f"discovery on {addresses}; {len(emulation.machines)} workers in {len(emulation.scenario.zones)} zones"
        )
        emulation.serve(interruption, faults)
    click.echo("ended")
