"""Memory, disk and the time to catch up of control processes after many changes of a large configuration.

    .venv/bin/python bench/long_lives.py processes --changes 10 --changes 100 --changes 1000 --changes 10000
    .venv/bin/python bench/long_lives.py links --changes 10 --changes 100 --changes 1000 --changes 10000
    .venv/bin/python bench/long_lives.py loads

Three processes on loopback replicate the control state on disks of a temporary folder. One of them is ended; the other
two take the changes, each a whole configuration of another content. Then the third is started again with its old disk,
and the time is taken until the view has it as a replica. `links` takes that time over links of 5 Mbit/s, in the
simulated world of the tests, and `loads` takes it while changes go on.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from canvasbeam.cluster.transport import Transport
from canvasbeam.control_plane.changes import apply, apply_checked
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.replicated_state import ReplicatedControlState
from canvasbeam.replication.control_state import Change, ChangeKind, Committed
from canvasbeam.runtime.settings import Address, ProcessSettings
from tests.replication.test_replication_times import SECOND, is_complete, time_until_acknowledged, time_until_complete
from tests.support.replication_simulation import STEP_NS, primary_part_of
from tests.support.slow_links import SlowLinkSimulation

LARGE_STATE_BYTES = 4 << 20
CHANGE_BYTES = 100_000
IPS = ("127.0.9.1", "127.0.9.2", "127.0.9.3")
SERVICE_BYTES = 100
START_LIMIT_S = 20
SAMPLE_EVERY = 100
RETRY_S = 0.05
POLL_S = 0.005
LIMIT_S = 60


def order(generation: int, size: int) -> Change:
    """Return a configuration of about so many bytes, which compresses to about half."""
    chance = random.Random(generation)
    services = [{"name": f"s{number}-{chance.randbytes(40).hex()}"} for number in range(size // SERVICE_BYTES)]
    body = json.dumps({"generation": generation, "routes": [], "services": services}).encode()
    return Change(ChangeKind.PUT_CONFIGURATION, body, generation - 1)


def memory_kib(field: str) -> int:
    """Return a field of the kernel's figures on this process."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1])
    raise ValueError(field)


# --- one control process ------------------------------------------------------------------------------------------


@dataclass
class Node:
    """The replicated state of this process, and what the bench asks of it."""

    service: ReplicatedControlState
    data_dir: Path

    def status(self) -> dict[str, object]:
        """Its part in the view, and its figures."""
        status = self.service.status
        return {
            "leads": status.role == "primary",
            "member": status.member,
            "replicas": status.replicas,
            "index": self.service.state.index,
            "rss_kib": memory_kib("VmRSS"),
            "peak_kib": memory_kib("VmHWM"),
            "disk_bytes": sum(path.stat().st_size for path in self.data_dir.iterdir()),
        }

    async def change(self, first: int, count: int, size: int) -> dict[str, object]:
        """Order configurations one after the other, until this process does not lead any more.

        An order whose outcome is open is sent again, as the operator does.
        """
        most_rss = done = 0
        while done < count:
            change = order(first + done, size)
            result = await self.service.submit(change)
            if isinstance(result, Committed):
                done += 1
            elif not self.service.is_primary:
                break
            else:
                await asyncio.sleep(RETRY_S)
            if done % SAMPLE_EVERY == 0:
                most_rss = max(most_rss, memory_kib("VmRSS"))
        return {**self.status(), "done": done, "most_rss_kib": most_rss}


async def run_node(ip: str, port: int, data_dir: Path) -> None:
    """Take part, and answer one line with one."""
    settings = ProcessSettings(
        node=f"core-{ip}",
        role="control-plane",
        node_class="core",
        serves=("control",),
        ip=ip,
        zone="z",
        region="r",
        port_range=(port, port + 9),
        seeds=tuple(Address(ip, port) for ip in IPS),
        bootstrap=True,
        data_dir=data_dir,
    )
    transport = Transport(settings.node, Address(ip, port))
    service = ReplicatedControlState(
        settings, transport, apply, encode_state, decode_state, apply_checked=apply_checked
    )
    await transport.start()
    await service.start()
    node = Node(service, data_dir)
    while line := await asyncio.to_thread(sys.stdin.readline):
        command = json.loads(line)
        answer = await node.change(**command) if command else node.status()
        print(json.dumps(answer), flush=True)


# --- the bench ----------------------------------------------------------------------------------------------------


class Process:
    """A control process that the bench talks to."""

    def __init__(self, ip: str, port: int, folder: Path) -> None:
        data_dir = folder / ip
        data_dir.mkdir(exist_ok=True)
        command = [sys.executable, __file__, "node", ip, str(port), str(data_dir)]
        self._process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)

    def ask(self, **command: int) -> dict[str, object]:
        """One command, one answer."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        self._process.stdin.write(json.dumps(command) + "\n")
        self._process.stdin.flush()
        answer: dict[str, object] = json.loads(self._process.stdout.readline())
        return answer

    def kill(self) -> None:
        """End it as a loss of the process does."""
        self._process.kill()
        self._process.wait()


@contextmanager
def three_processes() -> Iterator[tuple[dict[str, Process], int, Path]]:
    """Three on free ports, killed in the end."""
    with socket.socket() as probe:
        probe.bind((IPS[0], 0))
        port = int(probe.getsockname()[1])
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        processes = {ip: Process(ip, port, folder) for ip in IPS}
        try:
            yield processes, port, folder
        finally:
            for process in processes.values():
                process.kill()


def primary_of(processes: dict[str, Process]) -> str:
    """Who leads, with everybody that runs as a replica."""
    end = time.monotonic() + START_LIMIT_S
    while time.monotonic() < end:
        for ip, process in processes.items():
            status = process.ask()
            if status["leads"] and len(status["replicas"]) == len(processes):  # type: ignore[arg-type]
                return ip
        time.sleep(0.02)
    raise TimeoutError("nobody leads")


def change(processes: dict[str, Process], first: int, count: int, size: int) -> tuple[str, dict[str, object], int]:
    """Order so many configurations at whoever leads: the last that led, its figures, and how many led before it."""
    done = 0
    for handovers in itertools.count():
        primary = primary_of(processes)
        answer = processes[primary].ask(first=first + done, count=count - done, size=size)
        done += int(str(answer["done"]))
        if done == count:
            return primary, answer, handovers
    raise AssertionError


def measure(changes: int, size: int) -> None:
    """One line of the table."""
    with three_processes() as (processes, port, folder):
        change(processes, 1, 1, size)
        late = next(ip for ip in IPS if ip != primary_of(processes))
        processes.pop(late).kill()
        began = time.monotonic()
        primary, after, handovers = change(processes, 2, changes, size)
        seconds = time.monotonic() - began
        backup = next(processes[ip].ask() for ip in processes if ip != primary)
        began = time.monotonic()
        processes[late] = Process(late, port, folder)
        while not processes[late].ask()["index"]:
            time.sleep(POLL_S)
        started = time.monotonic()
        while len(processes[primary].ask()["replicas"]) < len(IPS):  # type: ignore[arg-type]
            time.sleep(POLL_S)
        while processes[late].ask()["index"] != after["index"]:
            time.sleep(POLL_S)
        caught_up = time.monotonic()
    most_rss = after["most_rss_kib"] or after["rss_kib"]
    click.echo(
        f"| {changes} | {seconds:.1f} | {handovers} | {most_rss} / {after['peak_kib']} "
        f"| {backup['peak_kib']} | {after['disk_bytes']} | {started - began:.2f} | {caught_up - began:.2f} |"
    )


def measure_simulated(changes: int, state_bytes: int) -> None:
    """Measure the time to catch up over links of 5 Mbit/s, in simulated time; changes before it have no delay."""
    world = SlowLinkSimulation(state_bytes=state_bytes)
    world.run_between_regions(3 * SECOND)
    assert is_complete(world)
    late = next(ip for ip in world.machines if ip != world.primary())
    world.crash(late, keep_unsynced=False)
    world.run_between_regions(2 * SECOND)
    leading = world.machines[world.primary() or ""].member
    assert leading is not None
    epoch = leading.state.known_primary.epoch
    world.change_bytes = CHANGE_BYTES
    most_kept = 0
    for _ in range(changes):
        world.submit(world.primary() or "")
        primary = primary_part_of(leading)
        most_kept = max(most_kept, primary._log.size if primary is not None else 0)
        world.settle()
    assert leading.state.known_primary.epoch == epoch
    world.free_at.clear()
    world.start(late)
    seconds = time_until_complete(world, 60 * SECOND) / SECOND
    click.echo(f"| {changes} | {most_kept} | {state_bytes} | {seconds:.2f} |")


@dataclass(frozen=True)
class Load:
    """Links, and the changes that pass on them."""

    megabits: int
    change_bytes: int
    steps_between: int


LOADS = (
    Load(5, 20_000, 2),
    Load(5, 50_000, 10),
    Load(5, 50_000, 6),
    Load(5, 100_000, 12),
    Load(100, 100_000, 2),
    Load(1000, 100_000, 1),
)


def measure_under_load(load: Load, is_new: bool) -> None:
    """Measure the time until a member has joined, and whether all changes were acknowledged meanwhile."""
    world = SlowLinkSimulation(state_bytes=LARGE_STATE_BYTES, bytes_a_second=load.megabits * 1_000_000 // 8)
    world.run_between_regions(2 * SECOND)
    time_until_acknowledged(world, 2 * SECOND)
    late = next(ip for ip in world.machines if ip != world.primary())
    world.crash(late, keep_unsynced=False)
    world.run_between_regions(2 * SECOND)
    time_until_acknowledged(world, SECOND)
    if is_new:
        world.wipe(late)
    world.start(late)
    world.change_bytes = load.change_bytes
    world.answers.clear()
    world.acknowledgement_times_ns.clear()
    began = world.now
    while not is_complete(world) and world.now - began < LIMIT_S * SECOND:
        world.run_with_changes(load.steps_between * STEP_NS, load.steps_between)
    seconds = (world.now - began) / SECOND
    world.run_between_regions(2 * SECOND)
    failed = sum(not isinstance(answer, Committed) for _, answer in world.answers)
    longest = max(world.acknowledgement_times_ns) / SECOND
    every = load.steps_between * STEP_NS / SECOND
    click.echo(
        f"| {load.megabits} | {load.change_bytes} | {every:.2f} | {'new' if is_new else 'returning'} "
        f"| {seconds:.2f} | {len(world.acknowledgement_times_ns)} | {failed} | {longest:.2f} |"
    )


CHANGES = click.option("--changes", multiple=True, type=int, default=(10, 100, 1000), show_default=True)
SIZE = click.option("--size", default=100_000, show_default=True, help="Bytes of a configuration.")
HEADINGS = (
    "changes",
    "s for them",
    "changes of the primary meanwhile",
    "RSS (highest sampled) / peak of the primary, KiB",
    "peak of the backup, KiB",
    "disk of the primary, bytes",
    "s until the third has read its disk",
    "s until it is a replica again",
)


LOAD_HEADINGS = (
    "Mbit/s of a machine",
    "bytes of a change",
    "a change every, s",
    "member",
    "s until it is a replica",
    "changes acknowledged",
    "changes failed",
    "longest acknowledgement, s",
)
LINK_HEADINGS = (
    "changes missed, all in one view",
    "most bytes of changes that the primary kept",
    "bytes of the state",
    "s until it is a replica again",
)


def print_headings(*headings: str) -> None:
    """Print the head of a table."""
    click.echo(f"| {' | '.join(headings)} |")
    click.echo("| --- " * len(headings) + "|")


@click.group()
def main() -> None:
    """Long lives of control processes."""


@main.command()
@CHANGES
@SIZE
def processes(changes: tuple[int, ...], size: int) -> None:
    """Three processes on loopback."""
    print_headings(*HEADINGS)
    for count in changes:
        measure(count, size)


@main.command()
@CHANGES
@SIZE
def links(changes: tuple[int, ...], size: int) -> None:
    """Links of 5 Mbit/s, in simulated time."""
    print_headings(*LINK_HEADINGS)
    for count in changes:
        for state_bytes in (size, LARGE_STATE_BYTES):
            measure_simulated(count, state_bytes)


@main.command()
def loads() -> None:
    """Measure a state of 4 MiB while changes go on, in simulated time."""
    print_headings(*LOAD_HEADINGS)
    for load in LOADS:
        for is_new in (True, False):
            measure_under_load(load, is_new)


@main.command(hidden=True)
@click.argument("ip")
@click.argument("port", type=int)
@click.argument("data_dir", type=Path)
def node(ip: str, port: int, data_dir: Path) -> None:
    """One of the processes."""
    asyncio.run(run_node(ip, port, data_dir))


if __name__ == "__main__":
    main()
