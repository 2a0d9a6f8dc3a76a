"""The program's top-level group, and what every command shares: its errors, its exit codes, its help.

It owns the table of commands and the translation of errors to exit codes. What a command does lies in the packages
that it imports when it is called. The command line must never hold logic that a test could not reach without it.
"""

from __future__ import annotations

import functools
import importlib
import os
from collections.abc import Callable
from typing import ParamSpec, TypeVar

import click

from canvasbeam.cli.exit_codes import EXIT_CODE_HELP, ExitCode
from canvasbeam.version import VERSION

Parameters = ParamSpec("Parameters")
Returned = TypeVar("Returned")

# The module and the name of each command, imported when it is asked for.
LAZY = {
    "data-plane": "canvasbeam.cli.programs:data_plane",
    "control-plane": "canvasbeam.cli.programs:control_plane",
    "system": "canvasbeam.cli.system:system",
    "serve": "canvasbeam.cli.serve:serve",
    "check": "canvasbeam.cli.check:check",
    "peers": "canvasbeam.cli.peers:peers",
    "emulate": "canvasbeam.cli.emulate:emulate",
    "load": "canvasbeam.cli.load:load",
    "demo": "canvasbeam.cli.lab:demo",
    "lab": "canvasbeam.cli.lab:lab",
    "emulate-worker": "canvasbeam.cli.worker:emulate_worker",
    "completion": "canvasbeam.cli.check:completion",
}
# The simulator's errors by class name: to compare classes, every command would have to import the simulator.
EXIT_CODES_BY_ERROR_NAME = {
    "ScenarioError": ExitCode.USAGE,
    "UnplayableError": ExitCode.FAILED,
    "SweepInterruptedError": ExitCode.INTERRUPTED,
}


class LazyGroup(click.Group):
    """A group whose commands are imported one by one."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, in the order in which a newcomer meets them."""
        return list(LAZY)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import a command; return None where there is none of this name."""
        place = LAZY.get(cmd_name)
        if place is None:
            return None
        module, _, name = place.partition(":")
        command = getattr(importlib.import_module(module), name)
        assert isinstance(command, click.Command)
        return command


@click.group(
    cls=LazyGroup,
    help="A serving system for a language model, the scheduler it grew from, and the laboratory to try it in.",
    epilog=EXIT_CODE_HELP,
    context_settings={"help_option_names": ["-h", "--help"]},
)
@click.version_option(package_name=None, version=VERSION, prog_name="canvasbeam")
def cli() -> None:
    """Run the command that the arguments name."""


class CommandError(click.ClickException):
    """An error that ends a command with a line on standard error and an exit code."""

    def __init__(self, code: ExitCode, text: str) -> None:
        super().__init__(text)
        self.exit_code = int(code)  # type: ignore[misc]


def examples_as_written(command: Callable[Parameters, Returned]) -> Callable[Parameters, Returned]:
    r"""Have click print the paragraphs after a `\b` line of the docstring as they are written.

    Click's mark for this is the backspace character, which a raw docstring cannot hold.
    """
    if command.__doc__ is not None:  # absent under `python -OO`
        command.__doc__ = command.__doc__.replace("\\b", "\b")
    return command


def guarded(command: Callable[Parameters, Returned]) -> Callable[Parameters, Returned]:
    """Turn the errors that a command expects into a line on standard error and an exit code."""

    @functools.wraps(command)
    def wrapped(*args: Parameters.args, **kwargs: Parameters.kwargs) -> Returned:
        try:
            return command(*args, **kwargs)
        except KeyboardInterrupt:
            click.echo("interrupted", err=True)
            raise click.exceptions.Exit(ExitCode.INTERRUPTED) from None
        except (ValueError, OSError) as error:
            raise CommandError(ExitCode.FAILED, str(error)) from error
        except Exception as error:
            code = EXIT_CODES_BY_ERROR_NAME.get(type(error).__name__)
            if code is None:
                raise
            if code is ExitCode.INTERRUPTED:
                click.echo(str(error), err=True)
                raise click.exceptions.Exit(code) from error
            raise CommandError(code, str(error)) from error

    return wrapped


def is_quiet() -> bool:
    """Return whether progress should not be drawn."""
    return bool(os.environ.get("CI"))
