"""The commands and scripts that start the two programs of the serving system."""

from __future__ import annotations

import os
import runpy

import click

from canvasbeam.cli.commands import examples_as_written
from canvasbeam.cli.exit_codes import EXIT_CODE_HELP

SETTINGS_HELP = "The settings file (TOML); CANVASBEAM_SETTINGS where it is not given."


@click.command("data-plane", epilog=EXIT_CODE_HELP)
@click.option("--settings", type=click.Path(dir_okay=False), help=SETTINGS_HELP)
@click.option("--metrics", metavar="PORT/PATH", help="Serve the metrics there; `listen.metrics` goes before it.")
@examples_as_written
def data_plane(settings: str | None, metrics: str | None) -> None:
    r"""Run one data-plane process until SIGTERM: clients in front, workers behind.

    \b
    Example:
      canvasbeam data-plane --settings example/system/edge-1.toml
    """
    del metrics  # the program reads it from the command line itself, which starts it without click
    use_settings(settings)
    run_data_plane()


@click.command("control-plane", epilog=EXIT_CODE_HELP)
@click.option("--settings", type=click.Path(dir_okay=False), help=SETTINGS_HELP)
@examples_as_written
def control_plane(settings: str | None) -> None:
    r"""Run one control-plane process until SIGTERM: the operator's API, the registry of workers, the directory.

    \b
    Example:
      canvasbeam control-plane --settings example/system/core-1.toml
    """
    use_settings(settings)
    run_control_plane()


def use_settings(path: str | None) -> None:
    """Name the settings file as the platform does: in the environment."""
    from canvasbeam.runtime.settings import SETTINGS_VARIABLE  # noqa: PLC0415

    if path is not None:
        os.environ[SETTINGS_VARIABLE] = path


def run_data_plane() -> None:
    """Run what `python -m canvasbeam.data_plane` runs: the script `canvasbeam-data-plane`."""
    runpy.run_module("canvasbeam.data_plane", run_name="__main__", alter_sys=True)


def run_control_plane() -> None:
    """Run what `python -m canvasbeam.control_plane` runs: the script `canvasbeam-control-plane`."""
    runpy.run_module("canvasbeam.control_plane", run_name="__main__", alter_sys=True)
