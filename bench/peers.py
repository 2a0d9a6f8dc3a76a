"""Measurements of instances that know each other: simulated fleets, real processes, cost, and rubbish.

Each command prints its table and writes its figures to a JSON file. `sim` plays the membership beside three others
(heartbeats to all, a leader, gossip without suspicion) on the same links; `processes` starts real instances of the
program on loopback and puts faults between them; `cost` is what an instance spends at rest; `rubbish` feeds the
carrier's decoder and the membership datagrams that are broken in drawn ways.
"""

from __future__ import annotations

import json
import os
import random
import signal
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from canvasbeam.decide.member_status import Status
from canvasbeam.decide.membership import (
    MS,
    SECOND,
    Action,
    Changed,
    Event,
    Fact,
    Kind,
    Leave,
    Member,
    Membership,
    Message,
    Received,
    Sender,
    Standing,
    Tell,
    Terms,
)
from canvasbeam.lab.links import PeerFleet
from canvasbeam.lab.model.links import LinkFault
from canvasbeam.lab.peers_sim import PeerWorld
from canvasbeam.peers.wire import Codec

Row = dict[str, Any]


# --- the others, for comparison ---------------------------------------------------------------------


class Heartbeats(Membership):
    """Everybody tells everybody that it is there; who is silent for a second is dead. The list of all is given."""

    BEAT = 250 * MS
    everybody: tuple[str, ...] = ()

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Beats in and out."""
        self._now, self._actions = now, []
        for event in events:
            if isinstance(event, Received):
                self._beat(event.sender, event.message)
            elif isinstance(event, Leave):
                self.standing = Standing.LEAVING
                self._to(self.everybody, Message(Kind.NEWS, facts=(self._self(),)))
        for member in self.members.values():
            if member.fact.status is Status.ALIVE and now - member.heard > SECOND:
                self._become(member, Status.DEAD)
        if now >= self._next_probe and self.standing is not Standing.LEAVING:
            self._next_probe = now + self.BEAT
            self._send_beats()
        self._wake = max(now + MS, min(self._next_probe, now + 50 * MS))
        return self._actions

    def _beat(self, sender: Sender, message: Message) -> None:
        member = self.members.get(sender.name)
        left = any(each.status is Status.LEFT for each in message.facts if each.name == sender.name)
        status = Status.LEFT if left else Status.ALIVE
        fact = Fact(sender.name, sender.address, status, sender.start, 0)
        if member is None:
            member = self.members[sender.name] = Member(fact, self._now)
        member.heard = self._now
        if member.fact.status is not status:
            self._become(member, status)

    def _become(self, member: Member, status: Status) -> None:
        before, member.fact = member.fact.status, replace(member.fact, status=status)
        self._actions.append(Changed(member.fact.name, before.name.lower(), status.name.lower(), "by its beats"))

    def _send_beats(self) -> None:
        self._to(self.everybody, Message(Kind.NEWS))

    def _to(self, addresses: Sequence[str], message: Message) -> None:
        self._actions += [Tell(each, message) for each in addresses if each != self.address]


class Leader(Heartbeats):
    """Each beats to the first that it takes to be there; that one tells all who is."""

    def _first(self) -> str:
        there = [each.fact.name for each in self.members.values() if each.fact.status is Status.ALIVE]
        return min([*there, self.name])

    def _send_beats(self) -> None:
        first = self._first()
        if first == self.name:
            facts = tuple(each.fact for each in self.members.values())
            for begin in range(0, len(facts) or 1, 24):
                self._to(self.everybody, Message(Kind.NEWS, facts=(self._self(), *facts[begin : begin + 24])))
        else:
            known = {each.fact.address for each in self.members.values()}
            beyond = [each for each in self.everybody if each not in known]
            self._to([self.members[first].fact.address, *beyond], Message(Kind.NEWS))

    def _beat(self, sender: Sender, message: Message) -> None:
        super()._beat(sender, message)
        if sender.name > self._first():
            return
        for fact in message.facts:
            member = self.members.get(fact.name)
            if fact.name == self.name:
                continue
            if member is None:
                member = self.members[fact.name] = Member(fact, self._now)
            member.heard = self._now if fact.status is Status.ALIVE else member.heard
            if member.fact.status is not fact.status and fact.name != sender.name:
                self._become(member, fact.status)


def scheme(name: str, count: int, **more: Any) -> PeerWorld:
    """A fleet by the name of how it knows itself."""
    if name == "swim":
        return PeerWorld(count, **more)
    if name == "no suspicion":
        terms = Terms(least_suspicion=1, most_suspicion=1)
        return PeerWorld(count, terms=terms, **more)
    kind: type[Heartbeats] = {"heartbeats": Heartbeats, "leader": Leader}[name]
    everybody = tuple(PeerWorld._address(place) for place in range(count))
    made = type(kind.__name__, (kind,), {"everybody": everybody})
    return PeerWorld(count, make=made, **more)


SCHEMES = ("swim", "heartbeats", "leader", "no suspicion")


def ready(world: PeerWorld) -> PeerWorld:
    """All started within a second; as many seconds more as they take to agree, 20 at most."""
    world.start_all()
    world.run(1.01)
    world.until(world.agree, 20, 0.05)
    return world


def simulated(job: tuple[str, int, int, float]) -> Row:
    """All figures of one scheme at one size."""
    name, count, kills, loss_s = job
    rng = random.Random(count)
    world = ready(scheme(name, count, seed=count))
    joined = world.now / SECOND - 1
    world.run(5)
    datagrams, octets = sum(world.sent.values()), world.bytes
    world.run(5)
    row: Row = {
        "scheme": name, "instances": count, "joined_s": round(joined, 2),
        "datagrams_s": round((sum(world.sent.values()) - datagrams) / count / 5, 1),
        "bytes_s": round((world.bytes - octets) / count / 5),
    }  # fmt: skip
    known, back = [], []
    for _ in range(kills):
        victim = rng.choice(list(world.instances))
        world.run(rng.random())
        world.kill(victim)
        known.append(world.until(lambda victim=victim: world.all_know_gone(victim), 10))  # type: ignore[misc]
        world.run(0.3)
        world.start(victim)
        back.append(world.until(world.agree, 20, 0.02))
    row |= {"kill_median_s": round(statistics.median(known), 2), "kill_worst_s": round(max(known), 2),
            "back_median_s": round(statistics.median(back), 2), "back_worst_s": round(max(back), 2)}  # fmt: skip
    world.leave("n1")
    row["leave_s"] = round(world.until(lambda: world.all_know_gone("n1"), 10), 2)
    cut_s = 60 if count <= 40 else 15
    world = ready(scheme(name, count, seed=count, faults=[LinkFault(kind="cut", at_s=25, for_s=cut_s, parts=2)]))
    world.run(25.01 + cut_s - world.now / SECOND)
    healed = world.now
    row["heal_s"] = round(world.until(world.agree, 20, 0.02), 2)
    row["heal_false_deaths"] = len(world.false_deaths(healed))
    world = ready(scheme(name, count, seed=count, faults=[LinkFault(kind="lose", at_s=25, for_s=10_000, size=0.2)]))
    world.run(25 - world.now / SECOND)
    datagrams = sum(world.sent.values())
    begun = world.now
    world.run(loss_s)
    row |= {"loss_s": loss_s, "loss_false_deaths": len(world.false_deaths(begun)),
            "loss_datagrams_s": round((sum(world.sent.values()) - datagrams) / count / loss_s, 1)}  # fmt: skip
    return row


def table(rows: Sequence[Row]) -> str:
    """Rows as a table."""
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    return "\n".join([*lines, *("| " + " | ".join(str(row.get(name, "")) for name in names) + " |" for row in rows)])


def tell(rows: Sequence[Row], out: Path | None) -> None:
    """Print, and keep."""
    click.echo(table(rows))
    if out is not None:
        out.write_text(json.dumps(list(rows), indent=1) + "\n")


@click.group()
def main() -> None:
    """Measure instances that know each other."""


OUT = click.option("--out", type=click.Path(path_type=Path), help="Write the figures here as JSON.")


@main.command()
@click.option("--counts", default="5,40,200", show_default=True)
@click.option("--schemes", default=",".join(SCHEMES), show_default=True)
@click.option("--kills", default=50, show_default=True, help="At 200 instances a fifth of them.")
@click.option("--loss-s", default=600.0, show_default=True, help="At 20% loss; at 40 a tenth, at 200 a fortieth.")
@click.option("--jobs", default=8, show_default=True)
@OUT
def sim(  # noqa: PLR0917
    counts: str, schemes: str, kills: int, loss_s: float, jobs: int, out: Path | None
) -> None:
    """Simulated fleets."""
    work = []
    for count in sorted(map(int, counts.split(",")), reverse=True):
        part = 40 if count >= 200 else 10 if count >= 40 else 1
        work += [(name, count, kills // 5 if count >= 200 else kills, loss_s / part) for name in schemes.split(",")]
    with ProcessPoolExecutor(jobs) as pool:
        rows = list(pool.map(simulated, work))
    tell(sorted(rows, key=lambda row: (row["instances"], SCHEMES.index(row["scheme"]))), out)


# --- cost ---------------------------------------------------------------------------------------------


def spent(count: int, seconds: float = 20.0) -> Row:
    """One instance of a fleet at rest: its own datagrams through encoder, decoder and decisions, timed alone."""
    world = ready(PeerWorld(count, seed=7))
    world.run(5)
    one = world.instances["n1"]
    inner = one.members
    assert inner is not None
    codecs = {name: Codec("lab", 2_000) for name in world.instances}
    mine, taken = Codec("lab", 2_000), [0, 0, 0]
    handle = inner.handle

    def timed(now: int, events: Sequence[Event]) -> list[Action]:
        raw = []
        for event in events:
            if isinstance(event, Received):
                raw.append((codecs[event.sender.name].encode(event.sender, event.message) or b"", event.sender.address))
        begun = time.perf_counter_ns()
        back: list[Event] = [each for each in events if not isinstance(each, Received)]
        for data, address in raw:
            told = mine.decode(data, address)
            if told is not None:
                back.append(told)
        actions = handle(now, back)
        me = Sender(inner.name, inner.start, inner.incarnation, inner.address)
        sent = [mine.encode(me, each.message) or b"" for each in actions if isinstance(each, Tell)]
        taken[0] += time.perf_counter_ns() - begun
        taken[1] += len(sent) + len(raw)
        taken[2] += sum(map(len, sent)) + sum(len(data) for data, _ in raw)
        return actions

    inner.handle = timed  # type: ignore[method-assign]
    world.run(seconds)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    copy = Membership(Sender("x", 1, 0, "127.0.0.1:9"), (), Terms(), 1, 0)
    copy.members = {name: Member(replace(each.fact), each.since) for name, each in inner.members.items()}
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "instances": count, "datagrams_s": round(taken[1] / seconds, 1), "bytes_s": round(taken[2] / seconds),
        "cpu_us_s": round(taken[0] / seconds / 1000), "memory_kb": round(memory / 1024, 1),
    }  # fmt: skip


@main.command()
@click.option("--counts", default="5,40,200", show_default=True)
@click.option("--plot", type=click.Path(path_type=Path), help="Draw the figures here, as SVG.")
@OUT
def cost(counts: str, plot: Path | None, out: Path | None) -> None:
    """What one instance spends at rest: both ways' datagrams, and CPU without the kernel's part."""
    rows = [spent(int(each)) for each in counts.split(",")]
    tell(rows, out)
    if plot is not None:
        draw(rows, plot)


def draw(rows: Sequence[Row], to: Path) -> None:
    """The cost by the number of instances."""
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use("svg")
    from matplotlib import pyplot as plt  # noqa: PLC0415

    figure, all_axes = plt.subplots(1, 3, figsize=(11, 2.8))
    at = [row["instances"] for row in rows]
    for axes, name, unit in zip(
        all_axes, ("datagrams_s", "bytes_s", "cpu_us_s"),
        ("datagrams a second, in and out", "bytes a second, in and out", "microseconds of CPU a second"), strict=True,
    ):  # fmt: skip
        axes.plot(at, [row[name] for row in rows], "o-", color="#0072B2")
        axes.set_ylim(0)
        axes.set_xscale("log")
        axes.set_xticks(at, [str(each) for each in at])
        axes.minorticks_off()
        axes.set_title(unit, fontsize=9, loc="left")
        axes.set_xlabel("instances")
        axes.spines[["top", "right"]].set_visible(False)
    figure.tight_layout()
    figure.savefig(to, format="svg", metadata={"Date": None})


# --- rubbish ------------------------------------------------------------------------------------------


@main.command()
@click.option("--count", default=1_000_000, show_default=True)
@OUT
def rubbish(count: int, out: Path | None) -> None:
    """Broken datagrams: none may raise, and none may take long."""
    rng = random.Random(1)
    theirs, codec = Codec("lab", 100), Codec("lab", 100)
    facts = tuple(Fact(f"n{place}", f"127.0.0.1:{place + 1}", Status.SUSPECT, 5, place, "n1") for place in range(20))
    good = theirs.encode(Sender("n0", 5, 0, ""), Message(Kind.ASK, 7, "n3", "127.0.0.1:4", facts))
    assert good is not None
    members = Membership(Sender("me", 9, 0, "127.0.0.1:1"), (), Terms(), 1, 0)
    longest = whole = passed = 0
    for number in range(count):
        data = broken(good, rng)
        begun = time.perf_counter_ns()
        event = codec.decode(data, "127.0.0.1:5")
        if event is not None:
            passed += 1
            members.handle(number * MS, [event])
        took = time.perf_counter_ns() - begun
        longest, whole = max(longest, took), whole + took
    row = {"datagrams": count, "passed the decoder": passed, "mean_us": round(whole / count / 1000, 2),
           "longest_us": round(longest / 1000), "members": len(members.members)}  # fmt: skip
    row |= {each.value: number for each, number in codec.dropped.items()}
    tell([row], out)


def broken(good: bytes, rng: random.Random) -> bytes:
    """A datagram that is broken in one of several ways."""
    match rng.randrange(6):
        case 0:
            return rng.randbytes(rng.randrange(1_400))
        case 1:
            return good[: rng.randrange(len(good))]
        case 2:
            return good[:4] + rng.randbytes(rng.randrange(1_200))
        case 3:
            place = rng.randrange(len(good))
            return good[:place] + rng.randbytes(rng.randrange(1, 5)) + good[place + 1 :]
        case 4:
            place = rng.randrange(4, len(good))
            return good[:4] + bytes([rng.choice((0xDD, 0xDF, 0xDB, 0xC6, 0x9F))]) * 8 + good[place:]
        case _:
            return b"cbp\x01" + b"\x91" * rng.randrange(1, 1_190)


# --- real processes -----------------------------------------------------------------------------------


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


@main.command()
@click.option("--count", default=5, show_default=True)
@click.option("--kills", default=50, show_default=True)
@click.option("--heals", default=5, show_default=True)
@click.option("--cut-s", default=10.0, show_default=True)
@click.option("--loss-s", default=600.0, show_default=True, help="Seconds at 20% loss; 0 for none.")
@click.option("--quarter-s", default=0.0, show_default=True, help="Seconds with each process at a quarter of its CPU.")
@OUT
def processes(  # noqa: PLR0917
    count: int, kills: int, heals: int, cut_s: float, loss_s: float, quarter_s: float, out: Path | None
) -> None:
    """Real instances on loopback, and faults between them."""
    look = 0.02 if count <= 10 else 0.25
    with tempfile.TemporaryDirectory() as folder:
        fleet = PeerFleet(count, Path(folder), look_every_s=look)
        row: Row = {"instances": count}
        try:
            _play(fleet, row, kills, heals, cut_s, loss_s, quarter_s)
        finally:
            fleet.close()
    tell([row], out)


def _play(  # noqa: PLR0917
    fleet: PeerFleet, row: Row, kills: int, heals: int, cut_s: float, loss_s: float, quarter_s: float
) -> None:
    rng = random.Random(3)
    for name in fleet.members:
        fleet.start(name)
    row["joined_s"] = round(fleet.until(fleet.agree), 2)
    fleet.run(3)
    fleet.looking = False
    pids = [each.running.pid for each in fleet.members.values() if each.running]
    before = [cpu_of(pid) for pid in pids]
    fleet.run(20)
    used = [(cpu_of(pid) - begun) / 20 for pid, begun in zip(pids, before, strict=True)]
    row |= {"cpu_share": f"{statistics.median(used):.4f}", "resident_mb": round(max(map(resident_mb, pids)), 1)}
    fleet.looking = True
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
    ends = []
    for victim in list(fleet.members)[: min(5, len(fleet.members))]:
        fleet.signal(victim, signal.SIGTERM)
        ends.append(fleet.until(lambda victim=victim: fleet.all_know_gone(victim)))  # type: ignore[misc]
        fleet.run(4)
        fleet.start(victim)
        fleet.until(fleet.agree)
    row["leave_s"] = spread(ends)
    healed = []
    for number in range(heals):
        _with(fleet, [LinkFault(kind="cut", at_s=0, for_s=1e6, parts=2)], number)
        fleet.run(cut_s)
        _with(fleet, [], number)
        healed.append(fleet.until(fleet.agree))
    if healed:
        row["heal_s"] = spread(healed)
    deaths = fleet.counted(": dead, before")
    if loss_s:
        _with(fleet, [LinkFault(kind="lose", at_s=0, for_s=1e6, size=0.2)], 1)
        fleet.run(loss_s)
        _with(fleet, [], 1)
        row |= {"loss_s": loss_s, "loss_false_deaths": fleet.counted(": dead, before") - deaths}
        fleet.until(fleet.agree)
    if quarter_s:
        row |= {"quarter_s": quarter_s, "quarter_false_deaths": _at_a_quarter(fleet, quarter_s)}
    row["changes_not_told"] = fleet.counted("more changes of members were not told")


def _with(fleet: PeerFleet, faults: list[LinkFault], seed: int) -> None:
    links = fleet.relay.links
    fleet.relay.links = type(links)(links.zones, faults, seed)


def _at_a_quarter(fleet: PeerFleet, span_s: float) -> int:
    """Each process is stopped for 75 of each 100 ms, at a time of its own."""
    deaths = fleet.counted(": dead, before")
    pids = [each.running.pid for each in fleet.members.values() if each.running]
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


if __name__ == "__main__":
    main()
