"""The load tool's command: its options, its progress and the table that it prints."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from canvasbeam.cli.commands import examples_as_written, guarded, is_quiet
from canvasbeam.cli.emulate import parse_loopback_address

if TYPE_CHECKING:
    from canvasbeam.simulator.load_plan import Plan
    from canvasbeam.simulator.load_tally import Row, Summary
from canvasbeam.cli.exit_codes import EXIT_CODE_HELP, ExitCode


def parse_shares(text: str) -> tuple[tuple[str, float], ...]:
    """Return the names and shares of `name=share,name=share`; a share left out is 1."""
    shares = []
    for part in text.split(",") if text else ():
        name, _, share = part.partition("=")
        try:
            shares.append((name.strip(), float(share or 1)))
        except ValueError as error:
            raise click.BadParameter(f"{share!r} is no number") from error
    return tuple(shares)


@click.command(epilog=EXIT_CODE_HELP)
@click.argument("targets", nargs=-1, required=True, metavar="HOST:PORT...")
@click.option("--rate", type=click.FloatRange(min=0, min_open=True), help="Open arrivals, so many a second.")
@click.option("--clients", type=click.IntRange(min=1), help="Closed loops: so many clients, one request at a time.")
@click.option("--seconds", type=click.FloatRange(min=0, min_open=True), default=10.0, show_default=True)
@click.option("--classes", default="file-read", show_default=True, help="Classes and shares: file-read=3,hours-entry=1")
@click.option("--departments", default="", help="Departments and shares.")
@click.option("--budget", type=float, default=5.0, show_default=True, help="Seconds that a client waits.")
@click.option("--evenly", is_flag=True, help="Evenly spaced arrivals instead of a Poisson process.")
@click.option("--connections", type=click.IntRange(1, 50_000), default=512, show_default=True, help="At most so many.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print the summary as JSON.")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="Write the summary as JSON.")
@guarded
@examples_as_written
def load(
    targets: tuple[str, ...], rate: float | None, clients: int | None, seconds: float, classes: str, departments: str,
    budget: float, evenly: bool, connections: int, seed: int, as_json: bool, out: Path | None,
) -> None:  # fmt: skip
    r"""Load schedulers with requests and show how long the answers took.

    Latency counts from the time at which a request was meant to be sent. Where the tool falls behind its own plan,
    it says so and ends with 4.

    \b
    Examples:
      canvasbeam load 127.0.0.1:5000 --rate 500 --seconds 20
      canvasbeam load 127.0.0.1:5000 127.0.0.1:5001 --clients 64 --classes file-read=3,hours-entry=1
    """
    import msgspec  # noqa: PLC0415

    from canvasbeam.simulator.load import Load, raise_descriptors  # noqa: PLC0415
    from canvasbeam.simulator.load_plan import Plan  # noqa: PLC0415

    if (rate is None) == (clients is None):
        raise click.UsageError("give either --rate or --clients")
    plan = Plan(
        addresses=tuple(parse_loopback_address(text) for text in targets),
        rate=rate or 0.0, clients=clients or 0, seconds=seconds, seed=seed, evenly=evenly,
        classes=parse_shares(classes), departments=parse_shares(departments), budget_s=budget,
        connections=max(connections, clients or 0),
    )  # fmt: skip
    raise_descriptors(plan.connections + 64)
    summary = Load(plan).run() if as_json or is_quiet() else _with_progress(plan)
    data = msgspec.json.format(msgspec.json.encode(summary), indent=1)
    if out is not None:
        out.write_bytes(data + b"\n")
    if as_json:
        click.echo(data.decode())
    else:
        _show(summary)
    if summary.fell_behind:
        raise click.exceptions.Exit(ExitCode.BEHIND)


def _with_progress(plan: Plan) -> Summary:
    """Run the load and draw its figures as they change."""
    from rich.live import Live  # noqa: PLC0415
    from rich.text import Text  # noqa: PLC0415

    from canvasbeam.simulator.load import Load  # noqa: PLC0415

    with Live(Text(""), refresh_per_second=4, transient=True) as live:

        def show_progress(summary: Summary) -> None:
            p99 = summary.latency_ms.get("p99", 0.0)
            live.update(
                Text(
                    f"{summary.seconds:5.1f} s  sent {summary.sent}  served {summary.served}  "
                    f"refused {summary.refused}  failed {summary.failed}  {summary.per_s:.0f}/s  p99 {p99:.0f} ms"
                )
            )

        return Load(plan, show_progress).run()


def _show(summary: Summary) -> None:
    """Print the table of classes and departments, and a line about the run as a whole."""
    from rich.console import Console  # noqa: PLC0415
    from rich.table import Table  # noqa: PLC0415

    table = Table(box=None, pad_edge=False)
    for name in ("", "sent", "served", "refused", "failed", "no answer", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms"):
        table.add_column(name, justify="left" if not name else "right")

    def add_row(name: str, figures: Row | Summary) -> None:
        latency_ms = figures.latency_ms
        counts = (figures.sent, figures.served, figures.refused, figures.failed, figures.unanswered)
        table.add_row(
            name, *(str(count) for count in counts),
            *(f"{latency_ms.get(key, 0.0):.1f}" for key in ("p50", "p90", "p99", "p99.9")),
        )  # fmt: skip

    for group in (*summary.classes, *summary.departments):
        add_row(group.name, group)
    add_row("all", summary)
    console = Console()
    console.print(table)
    behind_ms = summary.behind_ms.get("p99", 0.0)
    console.print(
        f"{summary.per_s:.0f} served a second over {summary.seconds:.1f} s; "
        f"the tool used {summary.cpu_share:.0%} of a core, {summary.us_per_request:.0f} us a request, "
        f"and sent 99% within {behind_ms:.1f} ms of its plan"
    )
    for mark in summary.marks:
        console.print(f"[bold red]{mark}[/]")
