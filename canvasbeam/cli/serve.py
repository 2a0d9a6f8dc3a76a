"""The command that runs one scheduler: the same as bare `python -m canvasbeam`."""

from __future__ import annotations

import os
import sys

import click

from canvasbeam.cli.commands import examples_as_written
from canvasbeam.cli.exit_codes import EXIT_CODE_HELP


@click.command(epilog=EXIT_CODE_HELP)
@click.option("--config", type=click.Path(dir_okay=False), help="The configuration; LB_CONFIG where it is not given.")
@examples_as_written
def serve(config: str | None) -> None:
    r"""Run one scheduler until SIGTERM.

    \b
    Example:
      canvasbeam serve --config example/config.json
    """
    from canvasbeam.__main__ import main  # noqa: PLC0415

    if config is not None:
        os.environ["LB_CONFIG"] = config
    sys.exit(main())
