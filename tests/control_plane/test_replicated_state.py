"""`ReplicatedControlState` over real sockets on loopback, and `DiskWorker`. Tests wait for events and never sleep."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import pytest

from canvasbeam.cluster.transport import Channel, Transport
from canvasbeam.control_plane import disk_worker
from canvasbeam.control_plane.changes import apply
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.disk_worker import DiskWorker
from canvasbeam.control_plane.replicated_state import ReplicatedControlState
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import Change, ChangeKind, Committed, ControlState
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.runtime.settings import Address, ProcessSettings
from canvasbeam.storage.disk import Disk
from canvasbeam.storage.store import open_store
from canvasbeam.units import MILLISECOND
from tests.support.free_ports import free_port
from tests.support.model_disk import ModelDisk

IPS = ("127.0.5.1", "127.0.5.2", "127.0.5.3")
TEST_TIMEOUT_SECONDS = 20
FAST_TIMING = ReplicationTiming(
    heartbeat_interval_ns=20 * MILLISECOND,
    unresponsive_after_ns=150 * MILLISECOND,
    election_timeout_ns=200 * MILLISECOND,
    election_rank_step_ns=60 * MILLISECOND,
    first_election_timeout_ns=10 * MILLISECOND,
    steady_after_ns=50 * MILLISECOND,
    readmission_delay_ns=100 * MILLISECOND,
)


class Node:
    """One replication member with its transport; reports each committed state and each change of the primary."""

    def __init__(self, ip: str, port: int, disk: Disk, bootstrap: bool) -> None:
        self.settings = ProcessSettings(
            node=f"core-{ip}",
            role="control-plane",
            node_class="core",
            serves=("control",),
            ip=ip,
            zone="z",
            region="r",
            port_range=(port, port + 9),
            seeds=tuple(Address(ip, 8146) for ip in IPS),
            bootstrap=bootstrap,
        )
        self.disk = disk
        self.transport = Transport(self.settings.node, Address(ip, port))
        self.service = ReplicatedControlState(
            self.settings, self.transport, apply, encode_state, decode_state, disk=disk, timing=FAST_TIMING
        )

    async def start(self, on_event: Callable[[], None]) -> None:
        self.service.add_commit_listener(lambda state: on_event())
        self.service.add_primary_listener(lambda ip: on_event())
        await self.transport.start()
        await self.service.start()

    async def stop(self) -> None:
        await self.service.stop()
        await self.transport.stop()


class System:
    """The running nodes; `until` checks a condition again after each event of a node."""

    def __init__(self) -> None:
        self.port = free_port()
        self.nodes: dict[str, Node] = {}
        self._event = asyncio.Event()

    async def start(self, ip: str, disk: Disk | None = None, bootstrap: bool = True) -> Node:
        node = self.nodes[ip] = Node(ip, self.port, disk or ModelDisk(), bootstrap)
        await node.start(self.wake)
        return node

    def wake(self) -> None:
        """Make `until` check its condition again."""
        self._event.set()

    async def stop(self, ip: str) -> None:
        await self.nodes.pop(ip).stop()

    async def until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await self._event.wait()
            self._event.clear()

    async def primary(self, other_than: str = "") -> Node:
        await self.until(lambda: any(self._is_primary(ip, other_than) for ip in self.nodes))
        return next(node for ip, node in self.nodes.items() if self._is_primary(ip, other_than))

    def _is_primary(self, ip: str, other_than: str) -> bool:
        return ip != other_than and self.nodes[ip].service.is_primary

    async def evacuate(self, zone: str) -> ControlState:
        """Submit the evacuation until a primary commits it, like an operator who retries."""
        while True:
            node = await self.primary()
            result = await node.service.submit(Change(ChangeKind.START_EVACUATION, zone=zone))
            if isinstance(result, Committed):
                return result.state
            await self.until(lambda: True)


def run(work: Callable[[], Awaitable[None]]) -> None:
    async def with_timeout() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            await work()

    asyncio.run(with_timeout())


async def start_three_nodes() -> System:
    system = System()
    for ip in IPS:
        await system.start(ip)
    return system


async def stop_all(system: System) -> None:
    for ip in list(system.nodes):
        await system.stop(ip)


def test_change_reaches_every_node_and_only_primary_answers_reads() -> None:
    async def work() -> None:
        system = await start_three_nodes()
        state = await system.evacuate("north")
        assert state.evacuated_zones == ("north",)
        await system.until(lambda: all(node.service.state == state for node in system.nodes.values()))
        primary = await system.primary()
        for node in system.nodes.values():
            result = await node.service.read()
            if node is primary:
                assert result == state
            else:
                assert isinstance(result, Failure)
                assert result.code is ResultCode.NOT_PRIMARY
                assert node.service.primary_ip == primary.settings.ip
        assert len(primary.service.status.replicas) == len(IPS)
        await stop_all(system)

    run(work)


def test_electorate_listeners_receive_ip_addresses_of_witnesses() -> None:
    """Electorate listeners need the witnesses, because grants of the witnesses count for the contact lease."""

    async def work() -> None:
        system = System()
        notified: dict[str, list[list[set[str]]]] = {ip: [] for ip in IPS}

        def listener(received: list[list[set[str]]]) -> Callable[[Sequence[Sequence[str]]], None]:
            def record(electorates: Sequence[Sequence[str]]) -> None:
                received.append([set(electorate) for electorate in electorates])
                system.wake()

            return record

        for ip in IPS:
            node = system.nodes[ip] = Node(ip, system.port, ModelDisk(), bootstrap=True)
            node.service.add_electorate_listener(listener(notified[ip]))
            await node.start(system.wake)
        await system.evacuate("north")
        await system.until(lambda: all(notified[ip] and notified[ip][-1] == [set(IPS)] for ip in IPS))
        assert all(electorate == set(IPS) for ip in IPS for electorates in notified[ip] for electorate in electorates)
        await stop_all(system)

    run(work)


def test_another_node_becomes_primary_after_primary_stops() -> None:
    async def work() -> None:
        system = await start_three_nodes()
        await system.evacuate("north")
        first = await system.primary()
        await system.stop(first.settings.ip)
        state = await system.evacuate("south")
        assert state.evacuated_zones == ("north", "south")
        await stop_all(system)

    run(work)


def test_all_nodes_restart_from_their_disks(tmp_path: Path) -> None:
    async def work() -> None:
        system = await start_three_nodes()
        await system.evacuate("north")
        disks = {ip: node.disk for ip, node in system.nodes.items()}
        await stop_all(system)
        for ip, disk in disks.items():
            await system.start(ip, disk, bootstrap=False)
        state = await system.evacuate("south")
        assert state.evacuated_zones == ("north", "south")
        await stop_all(system)

    run(work)


def test_wiped_node_joins_as_new_member() -> None:
    async def work() -> None:
        system = await start_three_nodes()
        await system.evacuate("north")
        wiped = IPS[2]
        before = system.nodes[wiped].service.status.member
        await system.stop(wiped)
        node = await system.start(wiped, ModelDisk(), bootstrap=False)
        await system.until(lambda: node.service.state.evacuated_zones == ("north",))
        assert node.service.status.member != before
        assert before not in (await system.primary()).service.status.witnesses
        await stop_all(system)

    run(work)


def test_primary_with_full_disk_hands_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(disk_worker, "RETRY_SECONDS", 0.01)

    async def work() -> None:
        system = await start_three_nodes()
        await system.evacuate("north")
        full = await system.primary()
        assert isinstance(full.disk, ModelDisk)
        full.disk.is_full = True
        change = Change(ChangeKind.START_EVACUATION, zone="south")
        assert isinstance(await full.service.submit(change), Failure)
        await system.primary(other_than=full.settings.ip)
        state = await system.evacuate("south")
        assert "south" in state.evacuated_zones
        assert "DISK_FULL" in full.service.status.disk.upper()
        full.disk.is_full = False
        await system.until(lambda: full.service.state == state)
        assert full.service.status.disk == "ok"
        await stop_all(system)

    run(work)


def test_node_with_damaged_disk_refuses_changes() -> None:
    async def work() -> None:
        system = await start_three_nodes()
        await system.evacuate("north")
        damaged = IPS[1]
        disk = system.nodes[damaged].disk
        assert isinstance(disk, ModelDisk)
        await system.stop(damaged)
        flipped = disk.flip("slot-1", 60)  # "slot-1" is the only slot written so far
        node = await system.start(damaged, flipped, bootstrap=True)
        await system.evacuate("south")
        result = await node.service.submit(Change(ChangeKind.START_EVACUATION, zone="east"))
        assert isinstance(result, Failure)
        assert result.code is ResultCode.DISK_CORRUPT
        assert "DISK_CORRUPT" in node.service.status.disk.upper()
        await stop_all(system)

    run(work)


def test_invalid_messages_from_peer_are_dropped() -> None:
    async def work() -> None:
        system = await start_three_nodes()
        await system.evacuate("north")
        unknown_peer = Transport("stranger", Address("127.0.5.9", system.port))
        await unknown_peer.start()
        for payload in (b"", b"\xff" * 40, b"\x0a\x0a127.0.5.1/0\x12\x00"):
            unknown_peer.send(Address(IPS[0], system.port), Channel.REPLICATION, payload)
        state = await system.evacuate("south")
        assert state.evacuated_zones == ("north", "south")
        await unknown_peer.stop()
        await stop_all(system)

    run(work)


class StallingDisk(ModelDisk):
    """Model disk whose syncs block until the test allows them, for at most `TEST_TIMEOUT_SECONDS`."""

    def __init__(self) -> None:
        super().__init__()
        self.sync_allowed = threading.Event()
        self.sync_allowed.set()

    def sync(self, name: str) -> None:
        self.sync_allowed.wait(TEST_TIMEOUT_SECONDS)
        super().sync(name)


def test_disk_stall_is_reported_and_does_not_block_event_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(disk_worker, "SLOW_SECONDS", 0.0)

    async def work() -> None:
        notifications: asyncio.Queue[Failure | None] = asyncio.Queue()
        worker = DiskWorker(notifications.put_nowait)
        disk = StallingDisk()
        store = await worker.run(lambda: open_store(disk))
        assert not isinstance(store, Failure)
        disk.sync_allowed.clear()
        write = asyncio.create_task(worker.write(store, {"name": b"value"}))
        failure = await notifications.get()
        assert failure is not None
        assert failure.code is ResultCode.DISK_SLOW
        assert not write.done()
        disk.sync_allowed.set()
        await write
        assert await notifications.get() is None
        worker.close()

    run(work)


def test_exception_of_disk_call_is_raised_where_awaited() -> None:
    async def work() -> None:
        worker = DiskWorker(lambda failure: None)
        with pytest.raises(ZeroDivisionError):
            await worker.run(lambda: 1 // 0)
        assert await worker.run(lambda: 3) == 3
        worker.close()

    run(work)
