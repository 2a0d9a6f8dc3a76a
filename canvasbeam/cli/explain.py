"""`canvasbeam system explain`: what became of the requests, from the metrics of data-plane processes.

It reads the names and labels of those metrics; their texts are part of the operators' interface and stay as they are.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

import click
import httpcore

from canvasbeam.cli.commands import CommandError, examples_as_written, guarded
from canvasbeam.cli.exit_codes import EXIT_CODE_HELP, ExitCode

TIMEOUT_S = 3.0
MS_PER_S = 1000
WORD_COLUMNS = 3
_SAMPLE = re.compile(r"canvasbeam_request_(\w+)\{(.*)\} (\S+)")
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')
_HEADINGS = ("class", "ring", "cause", "requests", "share", "attempts", "wait ms", "first ms", "unexpected ms")


@dataclass(frozen=True, slots=True, order=True)
class RowKey:
    """What the requests of one row have in common."""

    request_class: str
    ring: str
    cause: str


Figures = dict[str, float]  # summed samples by the metric's name, without its prefix


@click.command("explain", epilog=EXIT_CODE_HELP)
@click.argument("sources", nargs=-1, required=True, metavar="SOURCE...")
@click.option("--by-class", is_flag=True, help="A row for each class; without it, one for each cause.")
@guarded
@examples_as_written
def explain(sources: tuple[str, ...], by_class: bool) -> None:
    r"""Show why requests were late or not served, summed over processes.

    A SOURCE is the metrics address of a data-plane process, HOST:PORT, or a file with what it answered.

    \b
    Example:
      canvasbeam system explain 127.0.0.21:9464 127.0.0.22:9464
    """
    rows: dict[RowKey, Figures] = {}
    for source in sources:
        add_samples(rows, read_source(source), by_class)
    if not rows:
        raise CommandError(ExitCode.FAILED, "no request has ended yet")
    click.echo("\n".join(table(rows)))


def read_source(source: str) -> str:
    """Return the text of a file, or of a process's answer; CommandError where it does not answer."""
    path = Path(source)
    if path.is_file():
        return path.read_text(encoding="utf-8")
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    try:
        response = httpcore.request("GET", f"http://{source}/metrics", extensions={"timeout": timeouts})
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        raise CommandError(ExitCode.FAILED, f"{source}: {error or type(error).__name__}") from error
    return response.content.decode()


def add_samples(rows: dict[RowKey, Figures], text: str, by_class: bool) -> None:
    """Add the samples of one process, in the Prometheus text format, to the rows."""
    for line in text.splitlines():
        sample = _SAMPLE.fullmatch(line)
        if sample is None:
            continue
        labels = dict(_LABEL.findall(sample[2]))
        request_class = labels.get("class", "") if by_class else "all"
        figures = rows.setdefault(RowKey(request_class, labels.get("ring", ""), labels.get("cause", "")), {})
        figures[sample[1]] = figures.get(sample[1], 0.0) + float(sample[3])


def table(rows: dict[RowKey, Figures]) -> Iterator[str]:
    """Yield the rows as lines of text, the most frequent first within each class."""
    totals: dict[str, float] = {}
    for key, figures in rows.items():
        totals[key.request_class] = totals.get(key.request_class, 0.0) + figures.get("total", 0.0)
    ordered = sorted(rows, key=lambda key: (key.request_class, -rows[key].get("total", 0.0), key))
    cells = [_HEADINGS, *(_cells(key, rows[key], totals[key.request_class]) for key in ordered)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(_HEADINGS))]
    for row in cells:
        yield "  ".join(_aligned(row, widths)).rstrip()


def _cells(key: RowKey, figures: Figures, class_total: float) -> tuple[str, ...]:
    """Return the cells of one row; `class_total` counts the requests of its class."""
    requests = figures.get("total", 0.0)
    means = [
        figures.get(f"{name}_seconds_total", 0.0) / max(1.0, requests) * MS_PER_S
        for name in ("wait", "first_answer", "unexpected")
    ]
    counts = (f"{requests:.0f}", f"{requests / max(1.0, class_total):.1%}", f"{figures.get('attempts_total', 0.0):.0f}")
    return (key.request_class, key.ring, key.cause, *counts, *(f"{mean:.0f}" for mean in means))


def _aligned(row: Iterable[str], widths: Iterable[int]) -> Iterator[str]:
    """Yield the cells of a row as wide as their columns: words to the left, figures to the right."""
    for column, (cell, width) in enumerate(zip(row, widths, strict=True)):
        yield cell.ljust(width) if column < WORD_COLUMNS else cell.rjust(width)
