"""The command that shows the membership of the fleet as one instance sees it, asked on its management address.

The keys of that answer are those of the wire (`there`, `gone`, `heard_s`, `silent_s`), as are the printed words.
"""

from __future__ import annotations

import http.client
import json
from typing import Any

import click

from canvasbeam.cli.commands import CommandError, examples_as_written, guarded
from canvasbeam.cli.exit_codes import EXIT_CODE_HELP, ExitCode

TIMEOUT_S = 2.0
JsonObject = dict[str, Any]  # the value of a key is whatever JSON can say


@click.command(epilog=EXIT_CODE_HELP)
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="Print the answer as it came.")
@guarded
@examples_as_written
def peers(address: str, as_json: bool) -> None:
    r"""Show the members that the instance at ADDRESS (its management address) knows.

    \b
    Examples:
      canvasbeam peers 127.0.0.1:5001
      canvasbeam peers 127.0.0.1:5001 --json
    """
    membership = request_membership(address)
    click.echo(json.dumps(membership, indent=1) if as_json else membership_text(membership))


def request_membership(address: str) -> JsonObject:
    """Return the answer to GET /peers of one instance; CommandError where it gives none."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise CommandError(ExitCode.USAGE, f"{address}: must be an address and a port")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        connection.request("GET", "/peers")
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise CommandError(ExitCode.FAILED, f"{address}: {error or type(error).__name__}") from error
    finally:
        connection.close()
    if response.status != 200:
        raise CommandError(ExitCode.FAILED, f"{address}: {body.decode('utf-8', 'replace').strip()}")
    membership: JsonObject = json.loads(body)
    return membership


def membership_text(membership: JsonObject) -> str:
    """Return the answer of `request_membership` as lines for a terminal."""
    own = membership["me"]
    lines = [f"{own['name']} at {own['address']}: {own['state']}"]
    if "there" not in membership:
        return lines[0]
    silent_s, unanswered_s = membership["silent_s"], membership["unanswered_s"]
    lines[0] += (
        f", incarnation {own['incarnation']}, health {own['health']} (0 is well), {100 * membership['sure']:.0f}% sure"
    )
    if silent_s is not None:
        lines.append(f"has heard nothing for {silent_s:.1f} s")
    elif unanswered_s is not None:
        lines.append(f"hears others, and has been answered by nobody for {unanswered_s:.1f} s")
    lines.append(f"{len(membership['there'])} there, {len(membership['gone'])} gone")
    for member in membership["members"]:
        last_seen = "never" if member["heard_s"] is None else f"{member['heard_s']:.1f} s ago"
        suspected = f", suspected by {', '.join(member['suspected_by'])}" if member["suspected_by"] else ""
        lines.append(
            f"  {member['name']:12} {member['address']:21} {member['state']:8} for {member['for_s']:.1f} s,"
            f" incarnation {member['incarnation']}, heard {last_seen}{suspected}"
        )
    for name in ("sent", "taken", "dropped"):
        counts = ", ".join(f"{count} {what}" for what, count in sorted(membership[name].items()))
        lines.append(f"{name}: {counts or 'nothing'}")
    return "\n".join(lines)
