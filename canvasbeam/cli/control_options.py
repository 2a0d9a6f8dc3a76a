"""What the commands that send requests to the control plane share: their options, and how their requests end.

It owns the translation of an answer, or of none, to an exit code. How a request is sent, and sent again, lies in
`canvasbeam/cli/control_client.py`.
"""

from __future__ import annotations

import functools
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Concatenate, ParamSpec

import click

from canvasbeam.cli.commands import CommandError, guarded
from canvasbeam.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from canvasbeam.runtime.settings import Address

CONTROL_VARIABLE = "CANVASBEAM_CONTROL"
DEFAULT_TIMEOUT_S = 10.0
MIN_TIMEOUT_S = 0.1
PRECONDITION_FAILED = 412
NOT_FOUND = 404
Parameters = ParamSpec("Parameters")
JsonObject = dict[str, Any]  # the value of a key is whatever JSON can say


@dataclass(frozen=True, slots=True)
class ControlOptions:
    """The options that every command has that sends requests to the control plane."""

    addresses: tuple[str, ...]
    timeout_s: float
    as_json: bool

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        *,
        timeout_s: float | None = None,
        if_missing: JsonObject | None = None,
    ) -> JsonObject:
        """Send a request; return the body of its answer, or end the command where it failed.

        `timeout_s` replaces the time of the options; `if_missing` is returned for a 404.
        """
        from canvasbeam.cli.control_client import ControlClient, ControlRequest, NoAnswer  # noqa: PLC0415

        client = ControlClient(parse_addresses(self.addresses), self.timeout_s if timeout_s is None else timeout_s)
        answer = client.send(ControlRequest(method, path, body, headers or {}))
        if isinstance(answer, NoAnswer):
            is_order = method != "GET"
            code = ExitCode.UNKNOWN if is_order and answer.may_be_done else ExitCode.FAILED
            raise CommandError(code, f"no answer from the system; the last try: {answer.reason}")
        if answer.status == NOT_FOUND and if_missing is not None:
            return if_missing
        if not answer.is_success:
            code = ExitCode.CONFLICT if answer.status == PRECONDITION_FAILED else ExitCode.USAGE
            raise CommandError(code, f"{answer.address} answered {answer.status}: {error_text(answer.body)}")
        parsed = json.loads(answer.body) if answer.body.strip() else {}
        return parsed if isinstance(parsed, dict) else {"answer": parsed}


def control_options(command: Callable[Concatenate[ControlOptions, Parameters], None]) -> Callable[..., None]:
    """Give a command the options of `ControlOptions`, and hand it their values as its first argument."""

    @click.option(
        "--control",
        "control",
        multiple=True,
        required=True,
        envvar=CONTROL_VARIABLE,
        metavar="HOST:PORT",
        help=f"A control address; may be repeated. {CONTROL_VARIABLE} where it is not given, divided at spaces.",
    )
    @click.option(
        "--timeout",
        "timeout_s",
        type=click.FloatRange(min=MIN_TIMEOUT_S),
        default=DEFAULT_TIMEOUT_S,
        show_default=True,
        help="Seconds for which the call is tried at one address after the other.",
    )
    @click.option("--json", "as_json", is_flag=True, help="Print JSON.")
    @guarded
    @functools.wraps(command)
    def wrapped(
        control: tuple[str, ...], timeout_s: float, as_json: bool, *args: Parameters.args, **kwargs: Parameters.kwargs
    ) -> None:
        command(ControlOptions(control, timeout_s, as_json), *args, **kwargs)

    return wrapped


def parse_addresses(texts: tuple[str, ...]) -> list[Address]:
    """Return the addresses that the texts (`host:port`) name; a wrong one ends the command."""
    from canvasbeam.runtime.settings import Address  # noqa: PLC0415

    try:
        return [Address.parse(text) for text in texts]
    except ValueError as error:
        raise CommandError(ExitCode.USAGE, str(error)) from error


def error_text(body: bytes) -> str:
    """Return the result code and the reason of an answer's body, or the body as it came."""
    try:
        error = json.loads(body)["error"]
        return f"{error['code']} {error['name'].lower()}: {error['reason']}"
    except (ValueError, LookupError, TypeError, AttributeError):
        return body.decode("utf-8", "replace").strip()
