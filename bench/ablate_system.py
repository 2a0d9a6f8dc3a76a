"""What each mechanism of the serving system's placement is worth: the same days with it and without it.

    .venv/bin/python bench/ablate_system.py names
    .venv/bin/python bench/ablate_system.py play --bench PATH --copies DIR --site SITE --days quiet-1,scale-1 \
        --seeds 1,2 [--only NAME,...] [--extra=--no-cpu] OUT.json
    .venv/bin/python bench/ablate_system.py table OUT.json...

It owns the list of mechanisms, each a change to the text of one file of the program, and the paired comparison with the
program as it is. It changes nothing but copies of the program, which it makes under DIR, and counts no day of which one
side is missing. `play` calls an operator's bench, which is named and not shipped, in those copies.

A difference is the program as it is less the program without the mechanism, in worth, with its standard error over the
pairs: above 0, the mechanism gains.
"""

from __future__ import annotations

import json
import re
import shutil
import subprocess
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from math import sqrt
from pathlib import Path
from statistics import mean, stdev

import click

ROOT = Path(__file__).resolve().parents[1]
AS_IT_IS = "as-it-is"
NOT_COPIED = shutil.ignore_patterns(".git", ".venv", "journal", "target", "__pycache__", ".*_cache")
_WORTH = re.compile(r"^worth (\S+) =", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class Mechanism:
    """A mechanism, and the text that takes it out."""

    what: str
    file: str
    text: str
    without: str

    def take_out(self, copy: Path) -> None:
        """Change a copy of the program; raises `ValueError` where the program no longer has the text."""
        path = copy / self.file
        source = path.read_text(encoding="utf-8")
        if self.text not in source:
            raise ValueError(f"{self.file} no longer has {self.text!r}")
        path.write_text(source.replace(self.text, self.without, 1), encoding="utf-8")


EXPECTATIONS = "canvasbeam/dispatch/language_model/expectations.py"
LATENCIES = "canvasbeam/dispatch/language_model/learned_latencies.py"
WORKER_MODEL = "canvasbeam/dispatch/language_model/worker_model.py"
ZONES = "canvasbeam/dispatch/language_model/zone_liveness.py"
PREFILL_QUEUE = "canvasbeam/dispatch/language_model/prefill_queue.py"
NOTICES = "canvasbeam/data_plane/placement_notices.py"
SETTINGS = "canvasbeam/data_plane/dispatcher_settings.py"
CLASSES = "canvasbeam/data_plane/prompt_headers.py"
MECHANISMS: dict[str, Mechanism] = {
    "notices": Mechanism("notices of sends to other nodes", NOTICES, "PEERS_PER_REGION = 40", "PEERS_PER_REGION = 0"),
    "notices to all": Mechanism(
        "notices to more than 8 nodes", NOTICES, "PEERS_PER_REGION = 40", "PEERS_PER_REGION = 8"
    ),
    "soonest first": Mechanism("turns that differ for a first token", SETTINGS, "TURNS = 4.0", "TURNS = 0.0"),
    "pauses": Mechanism(
        "pauses count in a first token", EXPECTATIONS, "BEFORE_FIRST_TOKEN = 1.0", "BEFORE_FIRST_TOKEN = 0.0"
    ),
    "silence told": Mechanism(
        "silence that others tell of", EXPECTATIONS, "TIMEOUT_VALID_NS = 500 * MILLISECOND", "TIMEOUT_VALID_NS = 0"
    ),
    "overdue": Mechanism("overdue workers are busy", WORKER_MODEL, "OVERDUE_TIMES = 1.5", "OVERDUE_TIMES = 1e9"),
    "silent zones": Mechanism(
        "zones from which nothing comes are busy", ZONES, "if zone == self._own_zone:", "if zone is not None:"
    ),
    "learning": Mechanism("reading speed and ways are learned", LATENCIES, "LEARN_STEP = 0.12", "LEARN_STEP = 0.0"),
    "kept parts": Mechanism("parts that are kept", EXPECTATIONS, "CACHE_FRACTION = 0.5", "CACHE_FRACTION = 0.0"),
    "delays": Mechanism(
        "delays that were not expected", PREFILL_QUEUE, "DELAY_DECAY_NS = 300 * MILLISECOND", "DELAY_DECAY_NS = 1e-3"
    ),
    "short prompts first": Mechanism(
        "longer prompts are less urgent at workers", CLASSES, "PRIORITY_STEP = 2", "PRIORITY_STEP = 0"
    ),
    "early refusal": Mechanism("refusals before a quarter of the aim", SETTINGS, "SHARE = 0.18", "SHARE = 0.0"),
    "health checks": Mechanism("health checks in place of trials", SETTINGS, "probes=True", "probes=False"),
}  # fmt: skip


@click.group()
def cli() -> None:
    """Take mechanisms out of the serving system's placement, one at a time."""


@cli.command()
def names() -> None:
    """List the mechanisms."""
    for name, mechanism in MECHANISMS.items():
        click.echo(f"{name:20} {mechanism.what}")


@dataclass(frozen=True, slots=True)
class Play:
    """One day of one copy."""

    name: str
    day: str
    seed: int | None

    @property
    def key(self) -> str:
        """The day, as it is paired."""
        return f"{self.day} {'as drawn' if self.seed is None else self.seed}"


@cli.command()
@click.option("--bench", required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--copies", required=True, type=click.Path(file_okay=False, path_type=Path))
@click.option("--site", required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--days", required=True, help="Names of the site's days, divided by commas.")
@click.option("--seeds", default="", help="Seeds, divided by commas; the days' own where none is given.")
@click.option("--only", default="", help="Names of mechanisms, divided by commas; all of them where none is given.")
@click.option("--at-once", default=4, show_default=True)
@click.option("--extra", multiple=True, help="Further words for the bench.")
@click.argument("output", type=click.Path(path_type=Path))
def play(
    *,
    bench: Path,
    copies: Path,
    site: Path,
    days: str,
    seeds: str,
    only: str,
    at_once: int,
    extra: tuple[str, ...],
    output: Path,
) -> None:
    """Play days with and without each mechanism."""
    chosen = [AS_IT_IS, *(only.split(",") if only else MECHANISMS)]
    for name in chosen:
        make_copy(copies, name)
    numbers = [int(seed) for seed in seeds.split(",")] if seeds else [None]
    plays = [Play(name, day, seed) for day in days.split(",") for seed in numbers for name in chosen]
    with ThreadPoolExecutor(at_once) as pool:
        worths = list(pool.map(lambda each: worth_of(each, bench, copies, site, extra), plays))
    results: dict[str, dict[str, float]] = defaultdict(dict)
    for each, worth in zip(plays, worths, strict=True):
        if worth is not None:
            results[each.name][each.key] = worth
    output.write_text(json.dumps({"site": site.stem, "worths": results}, indent=1) + "\n", encoding="utf-8")


def make_copy(copies: Path, name: str) -> None:
    """Make a fresh copy of the program, without one mechanism."""
    copy = folder(copies, name)
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(ROOT, copy, ignore=NOT_COPIED)
    if name != AS_IT_IS:
        MECHANISMS[name].take_out(copy)


def folder(copies: Path, name: str) -> Path:
    """Where a copy is."""
    return copies / name.replace(" ", "-")


def worth_of(each: Play, bench: Path, copies: Path, site: Path, extra: tuple[str, ...]) -> float | None:
    """Return the worth of one day; none where it was not played."""
    command = [str(bench), "run", str(site), each.day, "--why", f"Ablation: {each.name}, {each.key}", *extra]
    if each.seed is not None:
        command += ["--seed", str(each.seed)]
    run = subprocess.run(command, cwd=folder(copies, each.name), capture_output=True, text=True, check=False)
    found = _WORTH.search(run.stdout)
    return float(found[1]) if found else None


@cli.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
def table(files: tuple[Path, ...]) -> None:
    """Print the differences as a table of Markdown."""
    documents = [json.loads(path.read_text(encoding="utf-8")) for path in files]
    sites = [document["site"] for document in documents]
    click.echo(f"| without | {' | '.join(sites)} |")
    click.echo("| --- " * (len(sites) + 1) + "|")
    for name in MECHANISMS:
        cells = [difference(document["worths"], name) for document in documents]
        click.echo(f"| {name} | {' | '.join(cells)} |")


def difference(worths: dict[str, dict[str, float]], name: str) -> str:
    """Return the mean difference and its standard error over the days that both sides have."""
    whole, without = worths.get(AS_IT_IS, {}), worths.get(name, {})
    found = [whole[day] - without[day] for day in whole if day in without]
    if not found:
        return "not played"
    error = stdev(found) / sqrt(len(found)) if len(found) > 1 else float("nan")
    return f"{mean(found):+.3f} ± {error:.3f} ({len(found)})"


if __name__ == "__main__":
    cli()
