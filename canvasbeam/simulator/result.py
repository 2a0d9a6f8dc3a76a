"""What a run comes to: service, latency, traffic, and the file that holds it.

It owns the result's types and its file, which is the same to the byte for the same seed and engine in simulated time.
It must never hold anything that depends on the machine or the hour.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)
FORMAT = 1


def histogram() -> Any:
    """Return a histogram of latencies: 1 us to an hour, three digits."""
    return HdrHistogram(1, 3_600_000_000, 3)


def percentiles(made: Any) -> dict[str, float]:
    """Milliseconds at the usual percentiles."""
    if not made.get_total_count():
        return {}
    return {f"p{percentile:g}": round(made.get_value_at_percentile(percentile) / 1000, 3) for percentile in PERCENTILES}


class Group(msgspec.Struct, kw_only=True):
    """The figures of one class or department."""

    name: str
    jobs: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    service: float = 0.0
    latency_ms: dict[str, float] = {}


class WorkerRow(msgspec.Struct, kw_only=True):
    """The traffic of one worker."""

    name: str
    zone: str
    model: str
    capacity: float
    offered: int = 0
    served: int = 0
    failed: int = 0
    killed: int = 0
    crossed: int = 0


class WindowRow(msgspec.Struct, kw_only=True):
    """One second of a run, by the time at which its jobs came."""

    at_s: float
    jobs: int = 0
    asked: float = 0.0
    earned: float = 0.0
    ends: dict[str, int] = {}
    p50_ms: float = 0.0
    p99_ms: float = 0.0


class FaultRow(msgspec.Struct, kw_only=True):
    """One fault as it was played."""

    kind: str
    at_s: float
    until_s: float
    members: list[str] = []
    size: float = 0.0


class BrokenRow(msgspec.Struct, kw_only=True):
    """One broken rule."""

    rule: str
    text: str


class Result(msgspec.Struct, kw_only=True):
    """A whole run."""

    format: int = FORMAT
    scenario: str
    about: str = ""
    engine: str
    seed: int
    length_s: float
    workers: int
    schedulers: int
    jobs: int = 0
    requests: int = 0
    g: float = 0.0
    service: float = 0.0
    worst_window: float = 0.0
    worst_window_at_s: float = 0.0
    worst_class: float = 0.0
    worst_department: float = 0.0
    crossed: float = 0.0
    probes: int = 0
    ends: dict[str, int] = {}
    classes: list[Group] = []
    departments: list[Group] = []
    windows: list[WindowRow] = []
    traffic: list[WorkerRow] = []
    faults: list[FaultRow] = []
    marks: list[tuple[float, str]] = []
    strip: list[str] = []  # who could hear whom, second by second, where schedulers know each other
    broken: list[BrokenRow] = []
    broken_count: int = 0

    @property
    def holds(self) -> bool:
        """Whether no rule was broken."""
        return not self.broken_count

    def summary(self) -> str:
        """Return a line for a person."""
        return (
            f"{self.scenario} ({self.engine}, seed {self.seed}): service {self.service:.4f}, G {self.g:.4f}, "
            f"{self.jobs} jobs, {self.broken_count} broken rules"
        )


def write(result: Result, path: Path) -> None:
    """Write a result file, whole or not at all."""
    part = path.with_suffix(path.suffix + ".part")
    part.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    part.replace(path)


def read(path: Path) -> Result:
    """Read one; a ValueError says what is wrong with it."""
    try:
        result = msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.DecodeError) as error:
        raise ValueError(f"{path}: is no result file: {error}") from error
    if result.format != FORMAT:
        raise ValueError(f"{path}: has format {result.format}, not {FORMAT}")
    return result
