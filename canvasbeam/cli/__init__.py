"""The command line: options, help, exit codes and printed text, for operators and for those who try the system.

It owns the wording of options, help and errors, and the exit codes. It must never hold logic that a test could not
reach without a command line: what a command does lies in the packages that it imports. Each command is imported when it
is asked for, so that none pays for another's libraries.

Start reading with `commands` (the table of commands, and how errors become exit codes), then `exit_codes`; `system`
with `control_options`, `control_client`, `explain`, `storage_report`, `validation`, `result_codes` and `output` (the
serving system for its operators); `programs` and `serve` (the processes); `check` and `peers` (the scheduler); `lab`,
`load`, `emulate` and `worker` (the simulator).
"""

from __future__ import annotations

import sys


def main() -> None:
    """Run the program `canvasbeam`; where a library is missing, say how to get it and end with 1."""
    try:
        from canvasbeam.cli.commands import cli  # noqa: PLC0415
    except ModuleNotFoundError as error:
        print(f"canvasbeam: {error.name} is missing; install canvasbeam[system] or canvasbeam[lab]", file=sys.stderr)
        sys.exit(1)
    cli(prog_name="canvasbeam")
