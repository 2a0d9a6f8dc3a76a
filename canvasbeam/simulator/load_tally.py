"""The tally of a run of the load tool: what became of each request, how late, by class and by department."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgspec

from canvasbeam.simulator.load_plan import Plan
from canvasbeam.simulator.model.units import MS
from canvasbeam.simulator.result import histogram, percentiles

# Behind its plan by more than this at the 99th percentile, a run is marked.
BEHIND = 10 * MS
LONGEST_US = 3_600_000_000


class Ended(Enum):
    """What became of a request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNANSWERED = "unanswered"


class Row(msgspec.Struct, kw_only=True):
    """The figures of one class or department."""

    name: str
    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    latency_ms: dict[str, float] = {}


class Summary(msgspec.Struct, kw_only=True):
    """What came of a run."""

    planned: int = 0
    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    seconds: float = 0.0
    per_s: float = 0.0
    latency_ms: dict[str, float] = {}
    classes: list[Row] = []
    departments: list[Row] = []
    behind_ms: dict[str, float] = {}
    cpu_share: float = 0.0
    us_per_request: float = 0.0
    connections: int = 0
    fell_behind: bool = False
    marks: list[str] = []


@dataclass(slots=True)
class _Count:
    """One row as it grows."""

    row: Row
    made: Any = field(default_factory=histogram)

    def end(self, how: Ended, took_us: int) -> None:
        match how:
            case Ended.SERVED:
                self.row.served += 1
                self.made.record_value(min(took_us, LONGEST_US))
            case Ended.REFUSED:
                self.row.refused += 1
            case Ended.FAILED:
                self.row.failed += 1
            case Ended.UNANSWERED:
                self.row.unanswered += 1


class Tally:
    """What has come of a run so far."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._classes = [_Count(Row(name=name)) for name, _ in plan.classes]
        self._departments = [_Count(Row(name=name)) for name, _ in plan.departments]
        self._all = _Count(Row(name="all"))
        self._behind = histogram()

    def sent(self, cls: int, department: int) -> None:
        """Note that a request of this class and department is to be sent."""
        for count in self._counts(cls, department):
            count.row.sent += 1

    def left(self, late_us: int) -> None:
        """Note that a request left, so late after it was meant to."""
        self._behind.record_value(max(1, late_us))

    def ended(self, cls: int, department: int, how: Ended, took_us: int) -> None:
        """Note that a request ended, so long after it was meant to be sent."""
        for count in self._counts(cls, department):
            count.end(how, max(1, took_us))

    def _counts(self, cls: int, department: int) -> list[_Count]:
        own = [self._departments[department]] if self._departments else []
        return [self._all, self._classes[cls], *own]

    def summary(self, seconds: float, planned: int | None, connections: int) -> Summary:
        """Return the figures of so many seconds; `planned` is None where as many are planned as are sent."""
        for count in (self._all, *self._classes, *self._departments):
            count.row.latency_ms = percentiles(count.made)
        row = self._all.row
        behind = percentiles(self._behind)
        fell_behind = behind.get("p99", 0.0) * MS > BEHIND
        marks = []
        if fell_behind:
            marks.append(f"fell behind its plan: 1% of the sends left {behind['p99']:.0f} ms late or more")
        if connections >= self._plan.connections:
            marks.append(f"all {self._plan.connections} connections were in use at once: requests waited for one")
        return Summary(
            planned=row.sent if planned is None else planned,
            sent=row.sent,
            served=row.served,
            refused=row.refused,
            failed=row.failed,
            unanswered=row.unanswered,
            seconds=round(seconds, 3),
            per_s=round(row.served / seconds, 1) if seconds else 0.0,
            latency_ms=row.latency_ms,
            classes=[request_class.row for request_class in self._classes],
            departments=[department.row for department in self._departments],
            behind_ms=behind,
            connections=connections,
            fell_behind=fell_behind,
            marks=marks,
        )
