"""Measurements of instances that know each other: simulated fleets, real processes, cost, and rubbish.

Each command prints its table and writes its figures to a JSON file. `sim` plays the membership beside three others
(heartbeats to all, a leader, gossip without suspicion) on the same links; `processes` starts real instances of the
program on loopback and puts faults between them; `cost` is what an instance spends at rest; `rubbish` feeds the
carrier's decoder and the membership datagrams that are broken in drawn ways.
"""

from __future__ import annotations

import json
import random
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from peer_processes import Plan, Row, measure
from peer_schemes import SCHEMES, scheme

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import (
    Action,
    Datagram,
    DatagramKind,
    DatagramReceived,
    Event,
    Member,
    Membership,
    MemberUpdate,
    SendDatagram,
    Sender,
    SwimParameters,
)
from canvasbeam.gossip.codec import Codec
from canvasbeam.simulator.links import PeerFleet
from canvasbeam.simulator.model.links import LinkFault
from canvasbeam.simulator.peers_sim import PeerWorld
from canvasbeam.units import MILLISECOND as MS
from canvasbeam.units import SECOND


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
        "scheme": name,
        "instances": count,
        "joined_s": round(joined, 2),
        "datagrams_s": round((sum(world.sent.values()) - datagrams) / count / 5, 1),
        "bytes_s": round((world.bytes - octets) / count / 5),
    }
    known, back = [], []
    for _ in range(kills):
        victim = rng.choice(list(world.instances))
        world.run(rng.random())
        world.kill(victim)
        known.append(world.until(lambda victim=victim: world.all_know_gone(victim), 10))  # type: ignore[misc]
        world.run(0.3)
        world.start(victim)
        back.append(world.until(world.agree, 20, 0.02))
    row |= {
        "kill_median_s": round(statistics.median(known), 2),
        "kill_worst_s": round(max(known), 2),
        "back_median_s": round(statistics.median(back), 2),
        "back_worst_s": round(max(back), 2),
    }
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
    row |= {
        "loss_s": loss_s,
        "loss_false_deaths": len(world.false_deaths(begun)),
        "loss_datagrams_s": round((sum(world.sent.values()) - datagrams) / count / loss_s, 1),
    }
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
    """Simulate fleets."""
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
            if isinstance(event, DatagramReceived):
                raw.append(
                    (codecs[event.sender.name].encode(event.sender, event.datagram) or b"", event.sender.address)
                )
        begun = time.perf_counter_ns()
        back: list[Event] = [event for event in events if not isinstance(event, DatagramReceived)]
        for data, address in raw:
            told = mine.decode(data, address)
            if told is not None:
                back.append(told)
        actions = handle(now, back)
        me = Sender(inner.name, inner.start, inner.incarnation, inner.address)
        sent = [mine.encode(me, action.datagram) or b"" for action in actions if isinstance(action, SendDatagram)]
        taken[0] += time.perf_counter_ns() - begun
        taken[1] += len(sent) + len(raw)
        taken[2] += sum(map(len, sent)) + sum(len(data) for data, _ in raw)
        return actions

    inner.handle = timed  # type: ignore[method-assign]
    world.run(seconds)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    copy = Membership(Sender("x", 1, 0, "127.0.0.1:9"), (), SwimParameters(), 1, 0)
    copy.members.update({name: Member(replace(member.known), member.since) for name, member in inner.members.items()})
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "instances": count,
        "datagrams_s": round(taken[1] / seconds, 1),
        "bytes_s": round(taken[2] / seconds),
        "cpu_us_s": round(taken[0] / seconds / 1000),
        "memory_kb": round(memory / 1024, 1),
    }


@main.command()
@click.option("--counts", default="5,40,200", show_default=True)
@click.option("--plot", type=click.Path(path_type=Path), help="Draw the figures here, as SVG.")
@OUT
def cost(counts: str, plot: Path | None, out: Path | None) -> None:
    """Print what one instance spends at rest: datagrams both ways, and CPU without the kernel's part."""
    rows = [spent(int(part)) for part in counts.split(",")]
    tell(rows, out)
    if plot is not None:
        draw(rows, plot)


def draw(rows: Sequence[Row], to: Path) -> None:
    """Print the cost by the number of instances."""
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use("svg")
    from matplotlib import pyplot as plt  # noqa: PLC0415

    figure, all_axes = plt.subplots(1, 3, figsize=(11, 2.8))
    at = [row["instances"] for row in rows]
    for axes, name, unit in zip(
        all_axes,
        ("datagrams_s", "bytes_s", "cpu_us_s"),
        ("datagrams a second, in and out", "bytes a second, in and out", "microseconds of CPU a second"),
        strict=True,
    ):
        axes.plot(at, [row[name] for row in rows], "o-", color="#0072B2")
        axes.set_ylim(0)
        axes.set_xscale("log")
        axes.set_xticks(at, [str(when) for when in at])
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
    updates = tuple(
        MemberUpdate(f"n{place}", f"127.0.0.1:{place + 1}", MemberStatus.SUSPECT, 5, place, "n1") for place in range(20)
    )
    good = theirs.encode(Sender("n0", 5, 0, ""), Datagram(DatagramKind.PING_REQUEST, 7, "n3", "127.0.0.1:4", updates))
    assert good is not None
    members = Membership(Sender("me", 9, 0, "127.0.0.1:1"), (), SwimParameters(), 1, 0)
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
    row = {
        "datagrams": count,
        "passed the decoder": passed,
        "mean_us": round(whole / count / 1000, 2),
        "longest_us": round(longest / 1000),
        "members": len(members.members),
    }
    row |= {name.value: number for name, number in codec.dropped.items()}
    tell([row], out)


def broken(good: bytes, rng: random.Random) -> bytes:
    """Return a datagram that is broken in one of several ways."""
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
            measure(fleet, row, Plan(kills, heals, cut_s, loss_s, quarter_s))
        finally:
            fleet.close()
    tell([row], out)


if __name__ == "__main__":
    main()
