"""The command line. Each command is imported when it is asked for, so that none pays for another's libraries."""

from __future__ import annotations

import sys


def main() -> None:
    """The program `canvasbeam`; where a library is missing it says how to get it."""
    try:
        from canvasbeam.cli.commands import cli  # noqa: PLC0415
    except ModuleNotFoundError as error:
        print(f"canvasbeam: {error.name} is missing; install canvasbeam[system] or canvasbeam[lab]", file=sys.stderr)
        sys.exit(1)
    cli(prog_name="canvasbeam")
