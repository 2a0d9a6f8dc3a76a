"""Experiments: many runs of the simulated engine over a grid and seeds, and what differs between two sets of them.

It owns the folder of a sweep (a file for each run, so that an interrupted one goes on where it stopped), the
processes that play it, and the statistics of a comparison. It must never mix runs of different scenarios in one
folder, count a run twice, or call a difference what chance may have made.
"""

from __future__ import annotations

import itertools
import os
import signal
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from canvasbeam.simulator import engine_sim
from canvasbeam.simulator import result as results
from canvasbeam.simulator.interrupts import interrupted
from canvasbeam.simulator.model import spec
from canvasbeam.simulator.result import Result
from canvasbeam.simulator.scenario import load

METRICS = ("g", "service", "worst_window", "worst_class", "worst_department", "crossed")
RESAMPLES = 10_000
FEWEST_PAIRS = 3
MANIFEST = "sweep.json"


class Manifest(msgspec.Struct, kw_only=True):
    """What a sweep's folder holds."""

    scenario: str
    digest: str
    grid: dict[str, list[Any]] = {}
    seeds: list[int] = []


class SweepInterruptedError(Exception):
    """A sweep was stopped; what was done is kept."""


@dataclass(frozen=True, slots=True)
class Cell:
    """One run of a sweep."""

    name: str
    changes: tuple[tuple[str, Any], ...]
    seed: int

    def path(self, folder: Path) -> Path:
        """Its result file."""
        return folder / f"{self.name}-seed{self.seed}.json"


def cells(grid: dict[str, list[Any]], seeds: Sequence[int]) -> list[Cell]:
    """Every point of the grid with every seed, in an order of their own that never changes."""
    keys = sorted(grid)
    made = []
    for values in itertools.product(*(grid[key] for key in keys)):
        changes = tuple(zip(keys, values, strict=True))
        name = "+".join(f"{key}={value}" for key, value in changes) or "base"
        safe = "".join(character if character.isalnum() or character in "=+.-_" else "_" for character in name)
        made += [Cell(safe, changes, seed) for seed in seeds]
    return made


def digest(scenario: spec.Scenario) -> str:
    """Return a name for a scenario's text, whatever files it came from; its seed does not count."""
    data = msgspec.json.encode(msgspec.structs.replace(scenario, seed=0), order="deterministic")
    return blake2b(data, digest_size=8).hexdigest()


INTERRUPT_CHECK_S = 0.2


def _leave_interrupts() -> None:
    """SIGINT is the parent's to handle: a run that has begun is finished."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def _play(name: str, cell: Cell, folder: str) -> str:
    """One run, in a process of its own."""
    scenario = load(name, {**dict(cell.changes), "seed": cell.seed})
    result, cost = engine_sim.play(scenario)
    path = cell.path(Path(folder))
    results.write(result, path)
    path.with_suffix(".cost").write_bytes(msgspec.json.encode(cost))
    return str(path)


def sweep(
    name: str,
    grid: dict[str, list[Any]],
    seeds: Sequence[int],
    folder: Path,
    workers: int = 0,
    progress: Callable[[int, int], None] | None = None,
) -> list[Path]:
    """Play what is not there yet; the files of all runs. SweepInterruptedError: SIGINT came, what is done stays."""
    _write_manifest(name, grid, seeds, folder)
    todo = cells(grid, seeds)
    missing = [task for task in todo if not _is_whole(task.path(folder))]
    done = len(todo) - len(missing)
    if progress is not None:
        progress(done, len(todo))
    most = workers or os.cpu_count() or 1
    pool = ProcessPoolExecutor(most, initializer=_leave_interrupts)
    with interrupted((signal.SIGINT,)) as is_interrupted:
        try:
            for _ in _played(pool, most, name, missing, folder, is_interrupted):
                done += 1
                if progress is not None:
                    progress(done, len(todo))
        finally:
            pool.shutdown(wait=True, cancel_futures=True)
    count = sum(_is_whole(task.path(folder)) for task in todo)
    if is_interrupted() and count < len(todo):
        raise SweepInterruptedError(f"{count} of {len(todo)} runs are in {folder}; the same command goes on from there")
    return [task.path(folder) for task in todo]


def _write_manifest(name: str, grid: dict[str, list[Any]], seeds: Sequence[int], folder: Path) -> None:
    """Say in the folder what is played there; a ValueError where it holds runs of something else."""
    base = load(name)
    for cell in cells(grid, seeds[:1]):
        load(name, dict(cell.changes))  # a key that leads nowhere must fail now, not in the tenth process
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / MANIFEST
    manifest = Manifest(scenario=name, digest=digest(base), grid=grid, seeds=list(seeds))
    if path.exists():
        before = msgspec.json.decode(path.read_bytes(), type=Manifest)
        if before.digest != manifest.digest:
            raise ValueError(f"{folder} holds runs of another scenario, or of another version of {before.scenario}")
    path.write_bytes(msgspec.json.format(msgspec.json.encode(manifest), indent=1))


def _played(
    pool: ProcessPoolExecutor,
    most: int,
    name: str,
    missing: Sequence[Cell],
    folder: Path,
    is_interrupted: Callable[[], bool],
) -> Iterator[Future[str]]:
    """Play the cells, no more at once than there are processes, so that an interrupt has little to wait for."""
    waiting = iter(missing)

    def begin(count: int) -> set[Future[str]]:
        return {pool.submit(_play, name, entry, str(folder)) for entry in itertools.islice(waiting, count)}

    running = begin(most)
    while running and not is_interrupted():
        ended, running = wait(running, INTERRUPT_CHECK_S, return_when=FIRST_COMPLETED)
        for future in ended:
            future.result()
            yield future
        running |= begin(len(ended))


def _is_whole(path: Path) -> bool:
    if not path.exists():
        return False
    try:
        results.read(path)
    except ValueError:
        return False
    return True


# --- comparison -----------------------------------------------------------------------------------


class Difference(msgspec.Struct, kw_only=True):
    """How B differs from A in one figure, over pairs of the same cell and seed."""

    metric: str
    pairs: int
    a: float
    b: float
    mean: float
    low: float
    high: float
    verdict: str


def gather(path: Path) -> dict[tuple[str, str, int], Result]:
    """Return the results of a folder or of one file, by cell, scenario and seed."""
    paths = sorted(path.glob("*.json")) if path.is_dir() else [path]
    found = {}
    for each in paths:
        if each.name == MANIFEST:
            continue
        result = results.read(each)
        cell = each.stem.rpartition("-seed")[0] if path.is_dir() else ""
        found[cell, result.scenario, result.seed] = result
    if not found:
        raise ValueError(f"{path} holds no results")
    return found


def compare(a: Path, b: Path, metrics: Sequence[str] = METRICS) -> list[Difference]:
    """Paired by cell and seed, with a bootstrap interval of 95% for the mean difference (Efron, 1979)."""
    left, right = gather(a), gather(b)
    keys = sorted(set(left) & set(right))
    if not keys:
        keys_by_seed = _by_seed(left, right)
        if not keys_by_seed:
            raise ValueError(f"{a} and {b} have no seed in common")
    else:
        keys_by_seed = [(key, key) for key in keys]
    return [
        _difference(
            metric, [(getattr(left[one], metric), getattr(right[other], metric)) for one, other in keys_by_seed]
        )
        for metric in metrics
    ]


def _by_seed(left: dict[Any, Result], right: dict[Any, Result]) -> list[tuple[Any, Any]]:
    """Pairs by seed alone, where cells or scenarios have other names on the two sides; one of a seed a side."""
    ones = {key[2]: key for key in left}
    others = {key[2]: key for key in right}
    if len(ones) != len(left) or len(others) != len(right):
        return []
    return [(ones[seed], others[seed]) for seed in sorted(set(ones) & set(others))]


def _difference(metric: str, pairs: list[tuple[float, float]]) -> Difference:
    values = np.array(pairs, dtype=float)
    apart = values[:, 1] - values[:, 0]
    mean = float(apart.mean())
    rng = np.random.Generator(np.random.PCG64(20261201))
    picks = rng.integers(0, len(apart), size=(RESAMPLES, len(apart)))
    low, high = (float(bound) for bound in np.percentile(apart[picks].mean(axis=1), (2.5, 97.5)))
    if not apart.any():
        verdict = "the same"
    elif len(apart) < FEWEST_PAIRS:
        verdict = f"too few pairs to say ({len(apart)})"
    elif low <= 0 <= high:
        verdict = "no difference seen"
    else:
        verdict = "B is higher" if mean > 0 else "B is lower"
    a, b = (round(float(average), 6) for average in values.mean(axis=0))
    return Difference(
        metric=metric,
        pairs=len(apart),
        a=a,
        b=b,
        mean=round(mean, 6),
        low=round(low, 6),
        high=round(high, 6),
        verdict=verdict,
    )


def seeds_of(text: str) -> list[int]:
    """Seeds from `1,2,5` or `1-8`."""
    return list(_seeds(text))


def _seeds(text: str) -> Iterator[int]:
    for part in text.split(","):
        first, dash, last = part.partition("-")
        yield from range(int(first), int(last) + 1) if dash else (int(first),)
