"""Checking a configuration or a scenario without starting anything, and the shell's completion."""

from __future__ import annotations

import json
from pathlib import Path

import click

from canvasbeam.cli.commands import CommandError, cli, examples_as_written
from canvasbeam.cli.exit_codes import EXIT_CODE_HELP, ExitCode


@click.command(epilog=EXIT_CODE_HELP)
@click.argument("file", nargs=-1, required=True)
@click.option("--json", "as_json", is_flag=True, help="Print the verdicts as JSON.")
@examples_as_written
def check(file: tuple[str, ...], as_json: bool) -> None:
    r"""Check configurations (.json) and scenarios (.toml, or the name of one that ships).

    \b
    Examples:
      canvasbeam check example/config.json
      canvasbeam check wednesday scenarios/large-300.toml
    """
    verdicts = [{"file": name, "problem": _problem(name)} for name in file]
    has_problem = any(verdict["problem"] for verdict in verdicts)
    if as_json:
        click.echo(json.dumps(verdicts, indent=1))
    else:
        for verdict in verdicts:
            click.echo(verdict["problem"] or f"{verdict['file']}: good")
    if has_problem:
        raise click.exceptions.Exit(ExitCode.USAGE)


def _problem(name: str) -> str | None:
    """Return what is wrong with a configuration or a scenario, None where it is good."""
    if name.endswith(".json"):
        return _configuration_problem(name)
    from canvasbeam.simulator.scenario import ScenarioError, load  # noqa: PLC0415

    try:
        load(name)
    except ScenarioError as error:
        return str(error)
    return None


def _configuration_problem(name: str) -> str | None:
    """Return what is wrong with a scheduler's configuration, its settings and its peers file."""
    from canvasbeam.dispatch.settings_json import read_settings  # noqa: PLC0415
    from canvasbeam.scheduler.configuration import CONFIGURATION_ERRORS, read_configuration, read_peers  # noqa: PLC0415
    from canvasbeam.scheduler.limits import Limits  # noqa: PLC0415

    if not Path(name).exists():
        return f"{name}: there is no such file"
    try:
        configuration = read_configuration({"LB_CONFIG": name})
        settings, _ = read_settings(configuration.options)
        Limits.of(settings, configuration.sockets, configuration.memory_mb)
        read_peers(configuration, settings)
    except CONFIGURATION_ERRORS as error:
        return f"{name}: {' '.join(str(error).split())}"
    return None


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@examples_as_written
def completion(shell: str) -> None:
    r"""Print the completion script of a shell.

    \b
    Example, in ~/.bashrc:
      eval "$(canvasbeam completion bash)"
    """
    from click.shell_completion import get_completion_class  # noqa: PLC0415

    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise CommandError(ExitCode.FAILED, f"no completion for {shell}")
    click.echo(completion_class(cli, {}, "canvasbeam", "_CANVASBEAM_COMPLETE").source())
