"""The commands and options of the command line, the exit codes, and the programs' module and script names."""

from __future__ import annotations

import importlib.util
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import pytest
from click.testing import CliRunner

from canvasbeam.cli.commands import cli
from canvasbeam.cli.exit_codes import ExitCode
from tests.golden.answer_files import REPOSITORY, as_text, assert_matches

FILE = "commands.json"
# What operators start: `python -m MODULE`.
MODULES = ("canvasbeam", "canvasbeam.adapter", "canvasbeam.control_plane", "canvasbeam.data_plane")
SCRIPTS = ("canvasbeam", "canvasbeam-control-plane", "canvasbeam-data-plane")


def commands() -> dict[str, Any]:
    """Each command by its whole name with its parameters, and the exit codes by their numbers."""
    found = dict(_commands(cli, "canvasbeam"))
    return {"commands": found, "exit codes": sorted(int(code) for code in ExitCode)}


TEXTS = {FILE: lambda: as_text(commands())}


def _commands(
    command: click.Command, name: str, parent: click.Context | None = None
) -> Iterator[tuple[str, dict[str, Any]]]:
    """A command and all below it, in the order of the help."""
    context = click.Context(command, parent=parent, info_name=name.rpartition(" ")[2], **command.context_settings)
    parameters = [_parameter(parameter, context) for parameter in command.get_params(context)]
    yield name, {"group": isinstance(command, click.Group), "hidden": command.hidden, "parameters": parameters}
    if isinstance(command, click.Group):
        for each in command.list_commands(context):
            below = command.get_command(context, each)
            assert below is not None, each
            yield from _commands(below, f"{name} {each}", context)


def _parameter(parameter: click.Parameter, context: click.Context) -> dict[str, Any]:
    """What a user types for a parameter. An argument's name is what the usage line shows, not the code's name."""
    if isinstance(parameter, click.Argument):
        names = [parameter.make_metavar(context)]
    else:
        names = [*parameter.opts, *parameter.secondary_opts]
    described: dict[str, Any] = {
        "names": names,
        "required": parameter.required,
        "many": parameter.multiple or parameter.nargs == -1,
    }
    if isinstance(parameter, click.Option):
        described["flag"] = parameter.is_flag
    if isinstance(parameter.type, click.Choice):
        described["choices"] = list(parameter.type.choices)
    default = parameter.get_default(context, call=False)
    if isinstance(default, str | int | float | tuple | list):
        described["default"] = default
    elif isinstance(default, Path):
        described["default"] = str(default)
    if parameter.envvar is not None:
        described["variable"] = parameter.envvar
    return described


def test_the_commands_and_options_are_as_before() -> None:
    assert_matches(FILE, commands())


@pytest.mark.parametrize("name", [" ".join(name.split()[1:]) for name, _ in _commands(cli, "canvasbeam")])
def test_each_command_tells_its_help(name: str) -> None:
    result = CliRunner().invoke(cli, [*name.split(), "--help"], prog_name="canvasbeam")
    assert result.exit_code == 0, result.output
    assert result.output.startswith(f"Usage: canvasbeam {name}".strip())


@pytest.mark.parametrize("module", MODULES)
def test_each_program_can_be_started_as_a_module(module: str) -> None:
    found = importlib.util.find_spec(module)
    assert found is not None
    if found.submodule_search_locations is not None:
        assert importlib.util.find_spec(f"{module}.__main__") is not None


def test_the_scripts_have_their_names_and_lead_to_functions() -> None:
    project = tomllib.loads((REPOSITORY / "pyproject.toml").read_text(encoding="utf-8"))["project"]
    assert sorted(project["scripts"]) == list(SCRIPTS)
    for target in project["scripts"].values():
        module, _, function = target.partition(":")
        assert callable(getattr(importlib.import_module(module), function))


def test_the_version_is_told_as_before() -> None:
    result = CliRunner().invoke(cli, ["--version"], prog_name="canvasbeam")
    assert (result.exit_code, result.output) == (0, "canvasbeam, version 0.2.0\n")
