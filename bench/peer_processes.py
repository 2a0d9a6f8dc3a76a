"""Real instances of the program on loopback, with faults between them: how soon each learns of the others."""

from __future__ import annotations

import os
import random
import signal
import statistics
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from canvasbeam.simulator.links import PeerFleet
from canvasbeam.simulator.model.links import LinkFault

Row = dict[str, Any]


def cpu_of(pid: int) -> float:
    """Processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Memory that a process holds."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


def spread(values: Sequence[float]) -> str:
    """Median and worst."""
    return f"{statistics.median(values):.2f}, {max(values):.2f}"


@dataclass(frozen=True, slots=True)
class Plan:
    """What is done to the fleet; a time of zero leaves that part out."""

    kills: int
    heals: int
    cut_s: float
    loss_s: float
    quarter_s: float


def measure(fleet: PeerFleet, row: Row, plan: Plan) -> None:
    """Start the fleet, carry the plan out, and put the figures into the row."""
    for name in fleet.members:
        fleet.start(name)
    row["joined_s"] = round(fleet.until(fleet.agree), 2)
    fleet.run(3)
    _rest(fleet, row)
    _kills(fleet, row, plan.kills)
    _leaves(fleet, row)
    _heals(fleet, row, plan)
    if plan.loss_s:
        _loss(fleet, row, plan.loss_s)
    if plan.quarter_s:
        row |= {"quarter_s": plan.quarter_s, "quarter_false_deaths": _at_a_quarter(fleet, plan.quarter_s)}
    row["changes_not_told"] = fleet.counted("more changes of members were not told")


def _rest(fleet: PeerFleet, row: Row) -> None:
    """Measure what the processes use while nothing happens."""
    fleet.looking = False
    pids = [member.running.pid for member in fleet.members.values() if member.running]
    before = [cpu_of(pid) for pid in pids]
    fleet.run(20)
    used = [(cpu_of(pid) - begun) / 20 for pid, begun in zip(pids, before, strict=True)]
    row |= {"cpu_share": f"{statistics.median(used):.4f}", "resident_mb": round(max(map(resident_mb, pids)), 1)}
    fleet.looking = True


def _kills(fleet: PeerFleet, row: Row, kills: int) -> None:
    rng = random.Random(3)
    known = []
    for _ in range(kills):
        victim = rng.choice(list(fleet.members))
        fleet.run(rng.random())
        fleet.signal(victim, signal.SIGKILL)
        known.append(fleet.until(lambda victim=victim: fleet.all_know_gone(victim)))  # type: ignore[misc]
        fleet.start(victim)
        fleet.until(fleet.agree)
    if known:
        row["kill_s"] = spread(known)


def _leaves(fleet: PeerFleet, row: Row) -> None:
    ends = []
    for victim in list(fleet.members)[: min(5, len(fleet.members))]:
        fleet.signal(victim, signal.SIGTERM)
        ends.append(fleet.until(lambda victim=victim: fleet.all_know_gone(victim)))  # type: ignore[misc]
        fleet.run(4)
        fleet.start(victim)
        fleet.until(fleet.agree)
    row["leave_s"] = spread(ends)


def _heals(fleet: PeerFleet, row: Row, plan: Plan) -> None:
    healed = []
    for number in range(plan.heals):
        _with(fleet, [LinkFault(kind="cut", at_s=0, for_s=1e6, parts=2)], number)
        fleet.run(plan.cut_s)
        _with(fleet, [], number)
        healed.append(fleet.until(fleet.agree))
    if healed:
        row["heal_s"] = spread(healed)


def _loss(fleet: PeerFleet, row: Row, loss_s: float) -> None:
    deaths = fleet.counted(": dead, before")
    _with(fleet, [LinkFault(kind="lose", at_s=0, for_s=1e6, size=0.2)], 1)
    fleet.run(loss_s)
    _with(fleet, [], 1)
    row |= {"loss_s": loss_s, "loss_false_deaths": fleet.counted(": dead, before") - deaths}
    fleet.until(fleet.agree)


def _with(fleet: PeerFleet, faults: list[LinkFault], seed: int) -> None:
    links = fleet.relay.links
    fleet.relay.links = type(links)(links.zones, faults, seed)


def _at_a_quarter(fleet: PeerFleet, span_s: float) -> int:
    """Each process is stopped for 75 of each 100 ms, at a time of its own."""
    deaths = fleet.counted(": dead, before")
    pids = [member.running.pid for member in fleet.members.values() if member.running]
    end = time.monotonic() + span_s

    def turn(pid: int, on: bool) -> None:
        if time.monotonic() > end:
            os.kill(pid, signal.SIGCONT)
            return
        os.kill(pid, signal.SIGCONT if on else signal.SIGSTOP)
        fleet.later(0.025 if on else 0.075, lambda: turn(pid, not on))

    rng = random.Random(5)
    starts: list[Callable[[], None]] = [lambda pid=pid: turn(pid, True) for pid in pids]  # type: ignore[misc]
    for start in starts:
        fleet.later(0.1 * rng.random(), start)
    fleet.run(span_s + 1)
    fleet.until(fleet.agree)
    return fleet.counted(": dead, before") - deaths
