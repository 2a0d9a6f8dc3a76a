"""The serving system for its operators: status, configuration, evacuation, storage and result codes.

It owns these commands' options and what they print; `canvasbeam/cli/control_options.py` sends their requests.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from pathlib import Path
from urllib.parse import quote

import click

from canvasbeam.cli.commands import CommandError, examples_as_written, guarded
from canvasbeam.cli.control_options import MIN_TIMEOUT_S, ControlOptions, JsonObject, control_options
from canvasbeam.cli.exit_codes import EXIT_CODE_HELP, ExitCode
from canvasbeam.cli.explain import explain
from canvasbeam.cli.output import as_json_text, outline, report

REMOVAL_PREFIX = "/v1/control/remove/"
REMOVAL_POLL_S = 0.3


@click.group(epilog=EXIT_CODE_HELP)
@examples_as_written
def system() -> None:
    r"""Operate the serving system: its configuration, evacuations, members and disks.

    \b
    Examples:
      canvasbeam system status --control 127.0.0.11:8146
      canvasbeam system config validate example/system/configuration.json
    """


system.add_command(explain)


@system.command(epilog=EXIT_CODE_HELP)
@control_options
@examples_as_written
def status(options: ControlOptions) -> None:
    r"""Show the view, the replicas, the members and the workers as a control process knows them.

    \b
    Example:
      canvasbeam system status --control 127.0.0.11:8146 --control 127.0.0.12:8146
    """
    body = options.send("GET", "/v1/status")
    report(body, "\n".join(outline(body)), options.as_json)


@system.group(epilog=EXIT_CODE_HELP)
def config() -> None:
    """Read, check and change the operator's configuration."""


@config.command("get", epilog=EXIT_CODE_HELP)
@control_options
@click.option("--output", type=click.Path(dir_okay=False, path_type=Path), help="Write to this file.")
@examples_as_written
def config_get(options: ControlOptions, output: Path | None) -> None:
    r"""Print the newest configuration, whole; it is JSON with or without --json.

    \b
    Example:
      canvasbeam system config get --control 127.0.0.11:8146 --output config.json
    """
    text = as_json_text(options.send("GET", "/v1/config"))
    if output is None:
        click.echo(text)
    else:
        output.write_text(text + "\n", encoding="utf-8")


def change_options(command: Callable[..., None]) -> Callable[..., None]:
    """Give a command the file and the options of a change of the configuration."""
    command = click.option(
        "--if-match",
        type=click.IntRange(min=0),
        help="The generation that the change builds on; the current one where it is not given, 0 for the first.",
    )(command)
    return click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))(command)


@config.command("put", epilog=EXIT_CODE_HELP)
@change_options
@control_options
@examples_as_written
def config_put(options: ControlOptions, file: Path, if_match: int | None) -> None:
    r"""Replace the configuration by FILE.

    \b
    Example:
      canvasbeam system config put config.json --if-match 7 --control 127.0.0.11:8146
    """
    change_configuration("PUT", file, if_match, options)


@config.command("patch", epilog=EXIT_CODE_HELP)
@change_options
@control_options
@examples_as_written
def config_patch(options: ControlOptions, file: Path, if_match: int | None) -> None:
    r"""Add, replace and remove the named items of FILE (`generation`, `upsert`, `remove`).

    \b
    Example:
      canvasbeam system config patch patch.json --if-match 7 --control 127.0.0.11:8146
    """
    change_configuration("PATCH", file, if_match, options)


@config.command("validate", epilog=EXIT_CODE_HELP)
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--base",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The configuration that FILE builds on; wanted where FILE is a patch.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@guarded
@examples_as_written
def config_validate(file: Path, base: Path | None, as_json: bool) -> None:
    r"""Check FILE, a whole configuration or a patch, as the system would; nothing is sent.

    \b
    Examples:
      canvasbeam system config validate config.json
      canvasbeam system config validate patch.json --base config.json
    """
    from canvasbeam.cli.validation import validate  # noqa: PLC0415

    failure = validate(file.read_bytes(), None if base is None else base.read_bytes())
    if failure is None:
        report({"file": str(file), "valid": True}, f"{file}: valid", as_json)
        return
    result: JsonObject = {"file": str(file), "valid": False, "code": int(failure.code), "reason": failure.reason}
    report(result, f"{file}: {failure}", as_json)
    raise click.exceptions.Exit(ExitCode.USAGE)


@system.group(epilog=EXIT_CODE_HELP)
def evacuate() -> None:
    """Send nothing more to the workers of a zone, or take that back."""


@evacuate.command("start", epilog=EXIT_CODE_HELP)
@click.argument("zone")
@control_options
@examples_as_written
def evacuate_start(options: ControlOptions, zone: str) -> None:
    r"""Ask that nothing more be sent to the workers of ZONE.

    \b
    Example:
      canvasbeam system evacuate start buc-h1 --control 127.0.0.11:8146
    """
    options.send("POST", f"/v1/evacuate/{quote(zone, safe='')}")
    report({"zone": zone, "evacuated": True}, f"{zone}: evacuated", options.as_json)


@evacuate.command("end", epilog=EXIT_CODE_HELP)
@click.argument("zone")
@control_options
@examples_as_written
def evacuate_end(options: ControlOptions, zone: str) -> None:
    r"""Let requests go to the workers of ZONE again.

    \b
    Example:
      canvasbeam system evacuate end buc-h1 --control 127.0.0.11:8146
    """
    options.send("DELETE", f"/v1/evacuate/{quote(zone, safe='')}")
    report({"zone": zone, "evacuated": False}, f"{zone}: in use", options.as_json)


@system.group(epilog=EXIT_CODE_HELP)
def control() -> None:
    """Change which control processes make up the core."""


@control.command("remove", epilog=EXIT_CODE_HELP)
@click.argument("node_or_ip")
@control_options
@examples_as_written
def control_remove(options: ControlOptions, node_or_ip: str) -> None:
    r"""Take the control process NODE_OR_IP out for good, and wait until another has its vote and its copy.

    It is refused where no other control process could take its place. The process itself goes on: stop it afterwards.

    \b
    Example:
      canvasbeam system control remove core-a1 --timeout 30 --control 127.0.0.11:8146
    """
    ip = control_ip(options, node_or_ip)
    await_removal(options, ip)
    report({"ip": ip, "removed": True}, f"{ip}: removed; its process may be stopped for good", options.as_json)


def control_ip(options: ControlOptions, node_or_ip: str) -> str:
    """Return the address of a control process by its name; what is no known name is taken for an address."""
    members = options.send("GET", "/v1/status").get("members", [])
    addresses = (member["ip"] for member in members if member["name"] == node_or_ip and member["is_control"])
    return next(addresses, node_or_ip)


def await_removal(options: ControlOptions, ip: str) -> None:
    """Order the removal again and again until it is done; end the command as unknown at the time-out."""
    deadline = time.monotonic() + options.timeout_s
    while True:
        left_s = max(MIN_TIMEOUT_S, deadline - time.monotonic())
        answer = options.send("POST", f"{REMOVAL_PREFIX}{quote(ip)}", timeout_s=left_s)
        if answer.get("removal") == "done":
            return
        if time.monotonic() > deadline:
            raise CommandError(ExitCode.UNKNOWN, f"{ip}: the removal is still in progress; give the same command again")
        time.sleep(REMOVAL_POLL_S)


@system.group(epilog=EXIT_CODE_HELP)
def storage() -> None:
    """Look at the disk folder of a control process."""


@storage.command("inspect", epilog=EXIT_CODE_HELP)
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@guarded
@examples_as_written
def storage_inspect(folder: Path, as_json: bool) -> None:
    r"""Read FOLDER, the data_dir of a control process, and check every checksum; nothing is written.

    \b
    Example:
      canvasbeam system storage inspect /var/lib/canvasbeam
    """
    from canvasbeam.cli.storage_report import inspect_storage  # noqa: PLC0415
    from canvasbeam.errors import Failure  # noqa: PLC0415

    outcome = inspect_storage(folder)
    if isinstance(outcome, Failure):
        raise CommandError(ExitCode.FAILED, f"{folder}: {outcome}")
    report(outcome.as_json(), "\n".join(outline(outcome.as_json())), as_json)


@system.command("codes", epilog=EXIT_CODE_HELP)
@click.option("--markdown", is_flag=True, help="Print the page docs/result-codes.md.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@examples_as_written
def codes(markdown: bool, as_json: bool) -> None:
    r"""Print the result codes that logs and answers carry.

    \b
    Example:
      canvasbeam system codes
    """
    from canvasbeam.cli import result_codes  # noqa: PLC0415

    if markdown:
        click.echo(result_codes.markdown_page(), nl=False)
    elif as_json:
        click.echo(as_json_text(result_codes.records()))
    else:
        click.echo("\n".join(result_codes.text_lines()))


def change_configuration(method: str, file: Path, if_match: int | None, options: ControlOptions) -> None:
    """Send a file as a change of the configuration, unchanged however often it is sent."""
    body = file.read_bytes()
    base = current_generation(options) if if_match is None else if_match
    options.send(method, "/v1/config", body, {"If-Match": str(base)})
    generation = json.loads(body)["generation"]
    report({"generation": generation, "if_match": base}, f"generation {generation} is current", options.as_json)


def current_generation(options: ControlOptions) -> int:
    """Return the generation of the newest configuration, 0 where there is none yet."""
    body = options.send("GET", "/v1/config", if_missing={"generation": 0})
    return int(body.get("generation", 0))
