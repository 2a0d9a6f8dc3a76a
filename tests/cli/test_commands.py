"""What every command shares: the exit codes of errors, and the help as it is written."""

from __future__ import annotations

import click
import pytest
from click.testing import CliRunner

from canvasbeam.cli.commands import EXIT_CODES_BY_ERROR_NAME, CommandError, examples_as_written, guarded
from canvasbeam.cli.exit_codes import ExitCode
from canvasbeam.simulator import engine_sockets, experiments, scenario


def test_each_error_of_the_simulator_that_has_an_exit_code_exists_by_this_name() -> None:
    named = [vars(module).get(name) for module in (engine_sockets, experiments, scenario) for name in vars(module)]
    classes = {name.__name__ for name in named if isinstance(name, type) and issubclass(name, Exception)}
    assert set(EXIT_CODES_BY_ERROR_NAME) <= classes


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (KeyboardInterrupt(), ExitCode.INTERRUPTED),
        (ValueError("wrong"), ExitCode.FAILED),
        (OSError("wrong"), ExitCode.FAILED),
        (scenario.ScenarioError("wrong"), ExitCode.USAGE),
        (engine_sockets.UnplayableError("wrong"), ExitCode.FAILED),
        (experiments.SweepInterruptedError("wrong"), ExitCode.INTERRUPTED),
        (CommandError(ExitCode.BEHIND, "wrong"), ExitCode.BEHIND),
    ],
)
def test_an_expected_error_ends_a_command_with_its_exit_code(error: BaseException, code: ExitCode) -> None:
    @click.command()
    @guarded
    def failing() -> None:
        raise error

    assert CliRunner().invoke(failing).exit_code == code


def test_an_unexpected_error_is_raised() -> None:
    @click.command()
    @guarded
    def failing() -> None:
        raise LookupError("unexpected")

    assert isinstance(CliRunner().invoke(failing).exception, LookupError)


def test_examples_are_printed_as_written() -> None:
    @click.command()
    @examples_as_written
    def command() -> None:
        r"""Do something.

        \b
        Examples:
          one
          two
        """

    lines = CliRunner().invoke(command, ["--help"]).output.splitlines()
    assert [line.strip() for line in lines[lines.index("  Examples:") :][:3]] == ["Examples:", "one", "two"]
