"""Takes notes while a run goes on, and works out its figures.

It must never leave a broken rule out.
"""

from __future__ import annotations

from array import array
from collections.abc import Sequence

from canvasbeam.simulator.model import draw, faults, spec
from canvasbeam.simulator.model.machine import Machine
from canvasbeam.simulator.model.request_log import MOST_TOLD, End, Ledger
from canvasbeam.simulator.model.units import SECOND
from canvasbeam.simulator.model.worker_messages import Said
from canvasbeam.simulator.result import BrokenRow, FaultRow, Group, Result, WindowRow, WorkerRow, histogram, percentiles

WINDOW_S = 1.0
WORST_WINDOW_S = 10
# Of a run's service; the operators' weights.
WHOLE, WORST, CLASS, DEPARTMENT = 0.45, 0.05, 0.40, 0.10


class Recorder:
    """Takes notes while a run goes on. All its times are the engine's, in nanoseconds from `begun`."""

    def __init__(self, scenario: spec.Scenario, fleet: Sequence[Machine], begun: int) -> None:
        self._scenario = scenario
        self._fleet = list(fleet)
        self.begun = begun
        self._asked_ns = array("q")
        self._cls = array("b")
        self._department = array("b")
        self._end = array("b")
        self._end_ns = array("q")
        self._rows = {
            worker.name: WorkerRow(
                name=worker.name, zone=worker.zone, model=worker.model, capacity=round(worker.capacity, 4)
            )
            for worker in fleet
        }
        self._steps: list[faults.Step] = []
        self._marks: list[tuple[float, str]] = []
        self.probes = 0

    # --- notes ------------------------------------------------------------------------------------

    def asked(self, job: int, cls: int, department: int, at: int) -> None:
        """Note that a job came; jobs come in the order of their numbers."""
        assert job == len(self._asked_ns)
        self._asked_ns.append(at - self.begun)
        self._cls.append(cls)
        self._department.append(department)
        self._end.append(End.OPEN)
        self._end_ns.append(0)

    def settled(self, job: int, at: int, end: End) -> None:
        """Note that a job's last try ended."""
        self._end[job] = end
        self._end_ns[job] = at - self.begun

    def offered(self, name: str, own_zone: bool) -> None:
        """Note that a request came to a worker."""
        row = self._rows[name]
        row.offered += 1
        row.crossed += not own_zone

    def worked(self, name: str, said: Said) -> None:
        """Note that a worker ended a job."""
        row = self._rows[name]
        row.served += said is Said.DONE
        row.failed += said is Said.FAILED
        row.killed += said is Said.LOST

    def step(self, step: faults.Step) -> None:
        """Note a change of the timetable that will be played."""
        self._steps.append(step)

    def away(self) -> dict[str, list[tuple[float, float]]]:
        """When each scheduler was killed, ended or stopped, and until when, in seconds of the run."""
        found: dict[str, list[tuple[float, float]]] = {}
        for step in sorted(self._steps, key=lambda each: each.at_ns):
            if step.what in ("kill", "term", "stop"):
                found.setdefault(step.member, []).append((step.at_ns / SECOND, self._scenario.length_s + 1))
            elif step.what in ("start", "go_on") and found.get(step.member):
                begun, _ = found[step.member][-1]
                found[step.member][-1] = (begun, step.at_ns / SECOND)
        return found

    def mark(self, at: int, text: str) -> None:
        """Something to draw into the pictures."""
        self._marks.append((round((at - self.begun) / SECOND, 3), text))

    # --- figures ----------------------------------------------------------------------------------

    def _worths(self, works: Sequence[int]) -> tuple[list[float], list[bool]]:
        """Return each job's value, and whether it lies beyond its department's share, where it has little."""
        scenario = self._scenario
        departments = scenario.departments
        full = [scenario.classes[class_name].worth for class_name in self._cls]
        if scenario.traffic.worth_by == "work":
            full = [worth * work / SECOND for worth, work in zip(full, works, strict=True)]
        beyond = [False] * len(full)
        if not departments:
            return full, beyond
        per_s = draw.capacity(self._fleet) / draw.mean_work(scenario) * scenario.traffic.quota_of_capacity
        rates = [per_s * department.share / SECOND for department in departments]
        saved = [rate * 2 * SECOND for rate in rates]
        then = [0] * len(departments)
        for job, at in enumerate(self._asked_ns):
            place = self._department[job]
            most = rates[place] * 2 * SECOND
            saved[place] = min(most, saved[place] + rates[place] * (at - then[place]))
            then[place] = at
            if saved[place] >= 1:
                saved[place] -= 1
            else:
                full[job] *= scenario.traffic.over_share_worth
                beyond[job] = scenario.traffic.over_share_worth < 1
        return full, beyond

    def result(self, engine: str, scenario: spec.Scenario, ledger: Ledger, jobs: draw.Jobs) -> Result:
        """Return the run's figures."""
        first = round(scenario.warm_up_s * SECOND)
        tally = _Tally(scenario)
        worths, beyond = self._worths(jobs.work_ns)
        for job, (at, worth) in enumerate(zip(self._asked_ns, worths, strict=True)):
            if at >= first:
                took, end = self._end_ns[job] - at, End(self._end[job])
                tally.add(self._cls[job], self._department[job], end, at, took, worth, jobs.work_ns[job], beyond[job])
        tally.close()
        worst, worst_at = _worst(tally.windows, first // SECOND, int(scenario.length_s))
        service = _ratio(tally.earned, tally.asked)
        worst_class = min(
            (request_class.service for request_class in tally.classes if request_class.jobs), default=service
        )
        worst_department = min(
            (department.service for department in tally.departments if department.jobs), default=service
        )
        offered = sum(row.offered for row in self._rows.values())
        broken = ledger.broken()
        ends: dict[str, int] = {}
        for end_ns in self._end:
            ends[End(end_ns).name.lower()] = ends.get(End(end_ns).name.lower(), 0) + 1
        return Result(
            scenario=scenario.name,
            about=scenario.about,
            engine=engine,
            seed=scenario.seed,
            length_s=scenario.length_s,
            workers=len(self._fleet),
            schedulers=scenario.schedulers.count,
            jobs=tally.jobs,
            requests=len(ledger.job),
            service=service,
            worst_window=worst,
            worst_window_at_s=worst_at,
            worst_class=worst_class,
            worst_department=worst_department,
            g=round(WHOLE * service + WORST * worst + CLASS * worst_class + DEPARTMENT * worst_department, 6),
            crossed=_ratio(sum(row.crossed for row in self._rows.values()), offered),
            probes=self.probes,
            ends=dict(sorted(ends.items())),
            classes=tally.classes,
            departments=tally.departments,
            windows=tally.windows,
            traffic=list(self._rows.values()),
            faults=self._fault_rows(),
            marks=self._marks,
            broken=[BrokenRow(rule=rule.rule, text=rule.text) for rule in broken[:MOST_TOLD]],
            broken_count=len(broken),
        )

    def _fault_rows(self) -> list[FaultRow]:
        rows = []
        for number, fault in enumerate(self._scenario.faults):
            mine = [step for step in self._steps if step.fault == number]
            members = list(dict.fromkeys(item.member for item in mine if item.member))
            until = max((item.at_ns / SECOND for item in mine), default=fault.end_s)
            rows.append(
                FaultRow(kind=fault.kind, at_s=fault.at_s, until_s=round(until, 3), members=members, size=fault.size)
            )
        return rows


class _Tally:
    """Adds up jobs by class, department and second."""

    def __init__(self, scenario: spec.Scenario) -> None:
        self._scenario = scenario
        self.jobs = 0
        self.asked = self.earned = 0.0
        self.classes = [Group(name=request_class.name) for request_class in scenario.classes]
        self.departments = [Group(name=department.name) for department in scenario.departments]
        self.windows = [WindowRow(at_s=at * WINDOW_S, ends={}) for at in range(int(scenario.length_s) + 1)]
        self._hists = [histogram() for _ in (*self.classes, *self.departments)]
        self._sums = [[0.0, 0.0] for _ in self._hists]
        self._took_us: dict[int, list[int]] = {}

    def add(
        self, cls: int, department: int, end: End, at: int, took: int, worth: float, work: int, beyond: bool
    ) -> None:
        """One job: when it came, how it ended, after how long, and what it is worth."""
        kind = self._scenario.classes[cls]
        in_time = took <= kind.aim_s * SECOND + kind.stretch * work
        self.jobs += 1
        places = [cls, *([len(self.classes) + department] if self.departments else [])]
        groups = [*self.classes, *self.departments]
        for place in places:
            _count(groups[place], end, in_time)
        if end is End.LEFT:
            return  # nobody is there to be served
        gained = 0.0
        row = self.windows[min(len(self.windows) - 1, int(at // SECOND))]
        if end is End.SERVED:
            gained = worth if in_time else worth * kind.late_worth
            micros = max(1, took // 1000)
            for place in places:
                self._hists[place].record_value(micros)
            self._took_us.setdefault(int(row.at_s), []).append(micros)
        self.asked, self.earned = self.asked + worth, self.earned + gained
        row.jobs += 1
        row.asked += worth
        row.earned += gained
        name = ("in time" if in_time else "late") if end is End.SERVED else end.name.lower()
        row.ends[name] = row.ends.get(name, 0) + 1
        for place in places:
            # A department is judged within its share; what it sends beyond is worth less, and left out.
            if place < len(self.classes) or not beyond:
                self._sums[place][0] += worth
                self._sums[place][1] += gained

    def close(self) -> None:
        """Work out what is a figure of many jobs."""
        for row in self.windows:
            row.asked, row.earned = round(row.asked, 6), round(row.earned, 6)
            took = sorted(self._took_us.get(int(row.at_s), ()))
            if took:
                row.p50_ms = round(took[len(took) // 2] / 1000, 3)
                row.p99_ms = round(took[min(len(took) - 1, len(took) * 99 // 100)] / 1000, 3)
        for group, (of, got), made in zip((*self.classes, *self.departments), self._sums, self._hists, strict=True):
            group.service, group.latency_ms = _ratio(got, of), percentiles(made)


def _count(group: Group, end: End, in_time: bool) -> None:
    group.jobs += 1
    match end:
        case End.SERVED:
            group.in_time += in_time
            group.late += not in_time
        case End.REFUSED:
            group.refused += 1
        case End.LEFT:
            group.left += 1
        case _:
            group.failed += 1


def _ratio(part: float, whole: float) -> float:
    return round(part / whole, 6) if whole else 0.0


def _worst(windows: list[WindowRow], first: int, last: int) -> tuple[float, float]:
    """Return the worst ten seconds, and when they begin."""
    span = min(WORST_WINDOW_S, max(1, last - first))
    worst, at = 1.0, float(first)
    for begin in range(first, max(first + 1, last - span + 1)):
        rows = windows[begin : begin + span]
        asked = sum(row.asked for row in rows)
        value = sum(row.earned for row in rows) / asked if asked else 1.0
        if value < worst:
            worst, at = value, float(begin)
    return round(worst, 6), at
