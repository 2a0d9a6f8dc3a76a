"""The command that emulates one worker of the serving system, on loopback alone."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import click

from canvasbeam.cli.commands import CommandError, examples_as_written, guarded
from canvasbeam.cli.control_options import CONTROL_VARIABLE, parse_addresses
from canvasbeam.cli.exit_codes import EXIT_CODE_HELP, ExitCode

if TYPE_CHECKING:
    from canvasbeam.simulator.model_worker import EmulatedWorker


@click.command("emulate-worker", epilog=EXIT_CODE_HELP)
@click.argument("address")
@click.option("--control", multiple=True, required=True, envvar=CONTROL_VARIABLE, metavar="HOST:PORT",
              help=f"A control address; may be repeated. {CONTROL_VARIABLE} where it is not given.")  # fmt: skip
@click.option("--service", default="model", show_default=True, help="The service that it belongs to.")
@click.option("--zone", default="z1", show_default=True, help="The zone that it stands in.")
@click.option("--events", type=click.IntRange(1), default=10, show_default=True, help="Events of a stream.")
@click.option("--pause", "pause_s", type=click.FloatRange(0), default=0.2, show_default=True,
              help="Seconds between events, and for an answer that is no stream.")  # fmt: skip
@guarded
@examples_as_written
def emulate_worker(
    address: str, control: tuple[str, ...], service: str, zone: str, events: int, pause_s: float
) -> None:
    r"""Emulate one worker at ADDRESS, on loopback, until Ctrl-C; it then leaves as planned.

    \b
    Example:
      canvasbeam emulate-worker 127.0.0.31:8080 --control 127.0.0.11:8146
    """
    from canvasbeam.simulator.model_worker import EmulatedWorker, WorkerSpec  # noqa: PLC0415

    (at,) = parse_addresses((address,))
    if not at.host.startswith("127."):
        raise CommandError(ExitCode.USAGE, f"{at.host} is not a loopback address (127.0.0.0/8)")
    instance = f"i-{at.host}-{at.port}".replace(".", "-")
    spec = WorkerSpec(instance, service, at, zone, events=events, pause_s=pause_s)
    asyncio.run(_serve(EmulatedWorker(spec, parse_addresses(control)), instance))


async def _serve(worker: EmulatedWorker, instance: str) -> None:
    """Run the worker until SIGINT or SIGTERM, and say what it did."""
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, ended.set)
    failure = await worker.start()
    if failure is not None:
        raise CommandError(ExitCode.FAILED, str(failure))
    await worker.registered.wait()
    click.echo(f"{instance} is registered")
    await ended.wait()
    await worker.stop()
    click.echo(f"{instance} ran {len(worker.counts.ran)} requests and refused {worker.counts.refused}")
