"""The simulator's commands (`canvasbeam lab`): run, sweep, compare, report, list, and the demo."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from canvasbeam.cli.commands import examples_as_written, guarded, is_quiet
from canvasbeam.cli.exit_codes import EXIT_CODE_HELP, ExitCode

if TYPE_CHECKING:
    from canvasbeam.simulator.engine_sockets import SocketWorld
    from canvasbeam.simulator.model.spec import Scenario
    from canvasbeam.simulator.result import Result

DEFAULT_FOLDER = Path("runs")


def parse_value(text: str) -> object:  # whatever TOML can say
    """Return a value given on the command line, as TOML would read it; a bare word is a text."""
    import tomllib  # noqa: PLC0415

    try:
        document = tomllib.loads(f"value = {text}")
    except tomllib.TOMLDecodeError:
        return text
    return document["value"]


def parse_changes(pairs: tuple[str, ...]) -> dict[str, object]:
    """Return the changes of a scenario that `key=value` pairs name."""
    changes = {}
    for pair in pairs:
        key, equals, value = pair.partition("=")
        if not equals:
            raise click.BadParameter(f"{pair!r} is not key=value")
        changes[key.strip()] = parse_value(value.strip())
    return changes


@click.group(epilog=EXIT_CODE_HELP)
def lab() -> None:
    """Play scenarios, compare runs, and draw them."""


@lab.command("list", help="The scenarios that ship.")
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
@guarded
def list_(as_json: bool) -> None:
    """Print the scenarios that ship, as a table or as JSON."""
    from canvasbeam.simulator.scenario import SHIPPED, load  # noqa: PLC0415

    scenarios = [load(path.stem) for path in sorted(SHIPPED.glob("*.toml"))]
    if as_json:
        records = [
            {"name": scenario.name, "about": scenario.about, "length_s": scenario.length_s} for scenario in scenarios
        ]
        click.echo(json.dumps(records))
        return
    for scenario in scenarios:
        click.echo(
            f"{scenario.name:26} {scenario.length_s:5.0f} s  {scenario.fleet.workers:4} workers  {scenario.about}"
        )


@lab.command()
@click.argument("scenario")
@click.option("--engine", type=click.Choice(["sim", "sockets"]), default="sim", show_default=True)
@click.option("--seed", type=int, help="Another seed than the scenario's.")
@click.option("--set", "pairs", multiple=True, metavar="KEY=VALUE", help="Change a key; may be repeated.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), default=DEFAULT_FOLDER, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
@click.option("--report/--no-report", default=True, help="Draw the report as well.")
@guarded
@examples_as_written
def run(
    scenario: str, engine: str, seed: int | None, pairs: tuple[str, ...], out: Path, as_json: bool, report: bool
) -> None:
    r"""Play one scenario.

    \b
    Examples:
      canvasbeam lab run tuesday
      canvasbeam lab run wednesday --engine sockets
      canvasbeam lab run calm --set fleet.workers=40 --set traffic.load=0.8
    """
    from canvasbeam.simulator.scenario import load  # noqa: PLC0415

    changes = parse_changes(pairs)
    if seed is not None:
        changes["seed"] = seed
    path = _play(load(scenario, changes), engine, out)
    _show(path, as_json, report)


def _play(scenario: Scenario, engine: str, out: Path) -> Path:
    """Play a scenario and write its files; return the result's."""
    import msgspec  # noqa: PLC0415

    from canvasbeam.simulator import result as results  # noqa: PLC0415

    out.mkdir(parents=True, exist_ok=True)
    path = out / f"{scenario.name}-{engine}-seed{scenario.seed}.json"
    if engine == "sim":
        from canvasbeam.simulator import engine_sim  # noqa: PLC0415

        result, cost = engine_sim.play(scenario)
        path.with_suffix(".cost").write_bytes(msgspec.json.encode(cost))
    else:
        result = _play_in_real_time(scenario, out / f"{path.stem}.logs")
    results.write(result, path)
    return path


def _play_in_real_time(scenario: Scenario, folder: Path) -> Result:
    """Play a scenario with sockets and processes, and draw how far it has come."""
    from canvasbeam.simulator import engine_sockets  # noqa: PLC0415

    if is_quiet():
        return engine_sockets.play(scenario, folder)
    from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn  # noqa: PLC0415

    columns = (TextColumn("{task.description}"), BarColumn(), TimeRemainingColumn())
    with Progress(*columns, transient=True) as bar:
        task = bar.add_task(scenario.name, total=scenario.length_s)

        def show_progress(at_s: float, _simulation: SocketWorld) -> None:
            bar.update(task, completed=max(0.0, at_s))

        return engine_sockets.play(scenario, folder, tick=show_progress)


def _show(path: Path, as_json: bool, report: bool) -> None:
    """Print a result, draw its report, and end with 3 where a rule was broken."""
    from canvasbeam.simulator import result as results  # noqa: PLC0415

    result = results.read(path)
    page = path.with_suffix(".html")
    if report:
        from canvasbeam.simulator import report as reports  # noqa: PLC0415

        reports.write([path], page)
    if as_json:
        click.echo(path.read_text())
    else:
        _print_table(result)
        click.echo(f"result {path}" + (f", report {page}" if report else ""))
    for broken in result.broken:
        click.echo(f"broken rule [{broken.rule}] {broken.text}", err=True)
    if not result.holds:
        raise click.exceptions.Exit(ExitCode.BROKEN)


def _print_table(result: Result) -> None:
    """Print the figures by class and department, and a line about the run as a whole."""
    from rich.console import Console  # noqa: PLC0415
    from rich.table import Table  # noqa: PLC0415

    table = Table(box=None, pad_edge=False)
    for name in ("", "jobs", "in time", "late", "refused", "failed", "left", "service", "p50 ms", "p99 ms"):
        table.add_column(name, justify="left" if not name else "right")
    for group in (*result.classes, *result.departments):
        latency_ms = group.latency_ms
        counts = (group.jobs, group.in_time, group.late, group.refused, group.failed, group.left)
        table.add_row(
            group.name, *(str(count) for count in counts), f"{group.service:.3f}", f"{latency_ms.get('p50', 0):.0f}",
            f"{latency_ms.get('p99', 0):.0f}",
        )  # fmt: skip
    console = Console()
    console.print(table)
    console.print(
        f"{result.scenario} ({result.engine}, seed {result.seed}): service {result.service:.4f}, worst 10 s "
        f"{result.worst_window:.3f} from {result.worst_window_at_s:g} s, G {result.g:.4f}, "
        f"{result.crossed:.0%} crossed zones, {result.broken_count} broken rules"
    )
    for at_s, text in result.marks:
        console.print(f"[bold red]{at_s:.1f} s: {text}[/]")


@lab.command()
@click.argument("scenario")
@click.option("--seeds", default="1-8", show_default=True, help="Seeds: 1-8, or 1,5,9.")
@click.option("--grid", "pairs", multiple=True, metavar="KEY=V1,V2", help="Values of a key; may be repeated.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), required=True, help="The sweep's folder.")
@click.option("--jobs", type=click.IntRange(min=0), default=0, help="Processes; 0: one for each core.")
@guarded
@examples_as_written
def sweep(scenario: str, seeds: str, pairs: tuple[str, ...], out: Path, jobs: int) -> None:
    r"""Play a grid of a scenario's keys with several seeds, over all cores; goes on where it was interrupted.

    \b
    Example:
      canvasbeam lab sweep tuesday --seeds 1-8 --grid traffic.load=0.6,0.7,0.8 --out runs/load
    """
    from canvasbeam.simulator import experiments  # noqa: PLC0415

    grid: dict[str, list[Any]] = {}
    for pair in pairs:
        key, equals, values = pair.partition("=")
        if not equals:
            raise click.BadParameter(f"{pair!r} is not key=value,value")
        grid[key] = [parse_value(part) for part in values.split(",")]
    try:
        numbers = experiments.seeds_of(seeds)
    except ValueError as error:
        raise click.BadParameter(f"{seeds!r} are no seeds") from error
    if is_quiet():
        paths = experiments.sweep(scenario, grid, numbers, out, jobs)
    else:
        from rich.progress import Progress  # noqa: PLC0415

        with Progress(transient=True) as bar:
            task = bar.add_task(scenario)
            paths = experiments.sweep(
                scenario, grid, numbers, out, jobs, lambda done, of: bar.update(task, completed=done, total=of)
            )
    _print_sweep(paths)


def _print_sweep(paths: list[Path]) -> None:
    """Print the means of each cell, and end with 3 where a rule was broken."""
    from canvasbeam.simulator import result as results  # noqa: PLC0415

    cells: dict[str, list[Result]] = {}
    for path in paths:
        cells.setdefault(path.stem.rpartition("-seed")[0], []).append(results.read(path))
    broken_count = 0
    for name, runs in cells.items():
        keys = ("g", "service", "worst_window")
        mean = {key: sum(getattr(run, key) for run in runs) / len(runs) for key in keys}
        broken_count += sum(run.broken_count for run in runs)
        click.echo(
            f"{name:40} {len(runs):3} runs  G {mean['g']:.4f}  service {mean['service']:.4f}  "
            f"worst 10 s {mean['worst_window']:.3f}"
        )
    if broken_count:
        click.echo(f"{broken_count} broken rules", err=True)
        raise click.exceptions.Exit(ExitCode.BROKEN)


@lab.command()
@click.argument("a", type=click.Path(exists=True, path_type=Path))
@click.argument("b", type=click.Path(exists=True, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
@guarded
@examples_as_written
def compare(a: Path, b: Path, as_json: bool) -> None:
    r"""Compare two sweeps, or two results, paired by cell and seed.

    \b
    Example:
      canvasbeam lab compare runs/before runs/after
    """
    import msgspec  # noqa: PLC0415

    from canvasbeam.simulator import experiments  # noqa: PLC0415

    comparisons = experiments.compare(a, b)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(comparisons), indent=1).decode())
        return
    click.echo(f"{'':18} {'A':>9} {'B':>9} {'B - A':>9}   95% interval          {comparisons[0].pairs} pairs")
    for comparison in comparisons:
        click.echo(
            f"{comparison.metric:18} {comparison.a:9.4f} {comparison.b:9.4f} {comparison.mean:+9.4f}   "
            f"{comparison.low:+.4f} to {comparison.high:+.4f}   {comparison.verdict}"
        )


@lab.command()
@click.argument("results", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="The page; else beside the first result.")
@guarded
@examples_as_written
def report(results: tuple[Path, ...], out: Path | None) -> None:
    r"""Draw results into one page that needs nothing beside it.

    \b
    Example:
      canvasbeam lab report runs/tuesday-sim-seed1.json runs/tuesday-sockets-seed1.json --out both.html
    """
    from canvasbeam.simulator import report as reports  # noqa: PLC0415

    page = out or results[0].with_suffix(".html")
    reports.write(results, page)
    click.echo(str(page))


@click.command(epilog=EXIT_CODE_HELP)
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), default=DEFAULT_FOLDER, show_default=True)
@guarded
@examples_as_written
def demo(out: Path) -> None:
    r"""Start 4 schedulers and 12 workers, let a quarter of the workers die, and draw what became of it.

    \b
    Example:
      canvasbeam demo
    """
    from canvasbeam.simulator.scenario import load  # noqa: PLC0415

    click.echo("4 schedulers and 12 workers in 4 zones, for 30 s; after 8 s a quarter of the workers dies")
    path = _play(load("demo"), "sockets", out)
    _show(path, as_json=False, report=True)
