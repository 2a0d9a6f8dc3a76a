"""The worker registry's HTTP handler at several control nodes, which a simulated network connects."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import pytest

from canvasbeam.cluster.member import Member
from canvasbeam.cluster.transport import Channel, PeerInfo
from canvasbeam.cluster.worker_items import worker_item, worker_of
from canvasbeam.control_plane.registry import INSTANCES_PREFIX, RegistryService
from canvasbeam.control_plane.web import Answer, Request
from canvasbeam.item_table.items import Item, ItemKind, ItemTable
from canvasbeam.runtime.settings import Address, ProcessSettings
from canvasbeam.service_discovery.worker_registry import (
    DECLARED_MISSING,
    Publication,
    Worker,
    WorkerRegistry,
    WorkerState,
    WorkerVersion,
)

MS = 1_000_000
HEARTBEAT_MS = 1000
ZONES = {"z1": "r1", "z2": "r1", "z3": "r2"}


@dataclass
class Network:
    """Simulated network of control nodes, one in each zone; a node in `cut_off` can reach no other node."""

    now_ns: int = 0
    nodes: list[FakeNode] = field(default_factory=list)
    cut_off: set[str] = field(default_factory=set)

    def can_communicate(self, first_ip: str, second_ip: str) -> bool:
        return first_ip == second_ip or not {first_ip, second_ip} & self.cut_off

    def advance(self, milliseconds: int) -> None:
        """Advance the clock in steps of the registry's tick (500 ms), and run a tick of every node at each step."""
        for _ in range(milliseconds // 500):
            self.now_ns += 500 * MS
            for node in self.nodes:
                node.service.tick()


@dataclass
class FakeNode:
    """Fake of a cluster node and of the node's transport, as far as the registry uses them."""

    network: Network
    member: Member
    table: ItemTable = field(default_factory=ItemTable)
    callbacks: dict[Channel, Callable[[PeerInfo, bytes], None]] = field(default_factory=dict)
    live: list[Member] = field(default_factory=list)
    may_write: bool = True  # False: `write` fails, as if no majority of the control nodes had confirmed

    def __post_init__(self) -> None:
        settings = ProcessSettings(
            node=self.member.name, role="core", node_class="core", serves=("control",), ip=self.member.ip,
            zone=self.member.zone, region=self.member.region, port_range=(7660, 7675), seeds=(),
            heartbeat_ms=HEARTBEAT_MS, zones=ZONES, listen={"control": Address(self.member.ip, 8146)},
        )  # fmt: skip
        self.service = RegistryService(settings, self, lambda: self.network.now_ns)  # type: ignore[arg-type]

    @property
    def transport(self) -> FakeNode:
        return self

    def register(self, channel: Channel, callback: Callable[[PeerInfo, bytes], None]) -> None:
        self.callbacks[channel] = callback

    def send_to_many(self, addresses: Iterable[Address], channel: Channel, payload: bytes) -> None:
        sender = PeerInfo(self.member.name, self.peer_address(self.member))
        for address in addresses:
            for node in self.network.nodes:
                if node.member.ip == address.host and self.network.can_communicate(self.member.ip, address.host):
                    node.callbacks[channel](sender, payload)

    def publish(self, items: Iterable[Item]) -> list[Item]:
        merged = self.table.merge(items)
        for node in self.network.nodes:
            if node is not self and self.network.can_communicate(self.member.ip, node.member.ip):
                node.table.merge(merged)
        return merged

    def control_nodes(self) -> Sequence[Member]:
        return self.live

    def peer_address(self, member: Member) -> Address:
        return Address(member.ip, 7660)

    def has_recent_contact(self, within_ns: int) -> bool:
        return self.member.ip not in self.network.cut_off

    async def write(self, items: Iterable[Item], within_s: float) -> bool:
        if not self.may_write:
            return False
        written = tuple(items)
        reached = [node for node in self.network.nodes if self.network.can_communicate(self.member.ip, node.member.ip)]
        for node in reached:
            node.table.merge(written)
        return 2 * len(reached) > len(self.network.nodes)

    def call(self, method: str, worker_id: str, body: bytes = b"") -> Answer:
        return asyncio.run(self.service.instances(Request(method, INSTANCES_PREFIX + worker_id, body=body)))

    def heartbeat(self, worker_id: str, sequence: int, **fields: Any) -> Answer:
        document = {"service": "llm", "address": f"{worker_id}:1", "zone": "z1", "state": "ready", "seq": sequence}
        return self.call("PUT", worker_id, json.dumps(document | fields).encode())

    def worker(self, worker_id: str) -> Worker | None:
        """Return the worker from this node's table, or None if the worker has left or is unknown."""
        item = self.table.get(ItemKind.WORKER, worker_id)
        if item is None or item.deleted:
            return None
        worker = worker_of(item)
        assert isinstance(worker, Worker)
        return worker

    def state(self, worker_id: str) -> WorkerState | None:
        worker = self.worker(worker_id)
        return None if worker is None else worker.state


def make_network(*zones: str) -> Network:
    network = Network()
    for number, zone in enumerate(zones, 1):
        member = Member(f"core-{number}", "core", "core", f"10.{number}.0.1", zone, ZONES[zone], "", True, 1, True)
        network.nodes.append(FakeNode(network, member))
    for node in network.nodes:
        node.live = [node.member for node in network.nodes]
    network.advance(500)
    return network


def test_heartbeat_is_published_before_it_is_acknowledged() -> None:
    network = make_network("z1", "z2", "z3")
    assert network.nodes[1].heartbeat("i-1", 1).status == 200
    assert [node.state("i-1") for node in network.nodes] == [WorkerState.READY] * 3
    assert network.nodes[2].heartbeat("i-1", 2, state="draining").status == 200
    assert [node.state("i-1") for node in network.nodes] == [WorkerState.DRAINING] * 3
    assert network.nodes[0].call("DELETE", "i-1").status == 200
    assert [node.state("i-1") for node in network.nodes] == [None] * 3


def test_answer_is_small_and_names_a_node_local_to_the_worker() -> None:
    network = make_network("z1", "z2", "z3")
    for zone, ip in (("z1", "10.1.0.1"), ("z2", "10.2.0.1"), ("z3", "10.3.0.1")):
        answer = network.nodes[0].heartbeat(f"i-{zone}", 1, zone=zone)
        assert json.loads(answer.body) == {"beat_url": f"http://{ip}:8146/v1/instances/i-{zone}"}
        assert len(answer.body) < 4096


def test_answer_names_a_node_of_the_region_if_the_zone_has_none() -> None:
    network = make_network("z2", "z3")
    assert "10.1.0.1" in json.loads(network.nodes[1].heartbeat("i-1", 1, zone="z1").body)["beat_url"]


def test_answer_names_no_node_if_none_is_local() -> None:
    network = make_network("z1", "z2")
    assert json.loads(network.nodes[0].heartbeat("i-1", 1, zone="z3").body) == {}
    assert json.loads(network.nodes[0].heartbeat("i-2", 1, zone="z9").body) == {}


def test_answer_names_no_stopping_or_dead_node() -> None:
    network = make_network("z1", "z2", "z3")
    first = network.nodes[0]
    first.service.stop()
    assert "10.2.0.1" in json.loads(first.heartbeat("i-1", 1).body)["beat_url"]
    first.live = [network.nodes[2].member]
    assert json.loads(first.heartbeat("i-1", 2).body) == {}


def test_worker_with_heartbeats_to_another_node_is_not_missing() -> None:
    network = make_network("z1", "z2", "z3")
    for sequence in range(1, 20):
        network.nodes[2].heartbeat("i-1", sequence)
        network.advance(1000)
    assert network.nodes[0].state("i-1") is WorkerState.READY


def test_worker_without_heartbeats_is_missing_on_all_nodes_until_next_heartbeat() -> None:
    network = make_network("z1", "z2", "z3")
    network.nodes[1].heartbeat("i-1", 1)
    network.advance(3000)
    assert network.nodes[2].state("i-1") is WorkerState.READY
    network.advance(2000)
    assert [node.state("i-1") for node in network.nodes] == [WorkerState.MISSING] * 3
    network.nodes[2].heartbeat("i-1", 2)
    assert [node.state("i-1") for node in network.nodes] == [WorkerState.READY] * 3


def test_only_the_registrar_declares_workers_missing() -> None:
    network = make_network("z1", "z2", "z3")
    network.nodes[1].heartbeat("i-1", 1)
    for node in network.nodes[:2]:
        node.live = [network.nodes[0].member, network.nodes[1].member]
    network.nodes[2].live = [network.nodes[0].member, network.nodes[2].member]
    network.now_ns += 60_000 * MS
    for node in network.nodes[1:]:
        for _ in range(3):
            node.service.tick()
    assert network.nodes[1].state("i-1") is WorkerState.READY


def test_new_registrar_declares_only_worker_without_heartbeats_missing() -> None:
    network = make_network("z1", "z2", "z3")
    for sequence in range(1, 30):
        if sequence == 10:
            network.nodes.pop(0)
            for node in network.nodes:
                node.live = [node.member for node in network.nodes]
        network.nodes[-1].heartbeat("i-1", sequence)
        if sequence < 20:
            network.nodes[-1].heartbeat("i-2", sequence)
        network.advance(1000)
        assert network.nodes[0].state("i-1") is WorkerState.READY
    assert network.nodes[0].state("i-2") is WorkerState.MISSING


def record_missing(network: Network) -> list[str]:
    """Return a list that grows by a worker's id whenever a node's table receives the worker as missing."""
    missing: list[str] = []

    def on_items(items: Sequence[Item]) -> None:
        for item in items:
            worker = None if item.kind is not ItemKind.WORKER or item.deleted else worker_of(item)
            if isinstance(worker, Worker) and worker.state is WorkerState.MISSING:
                missing.append(item.key)

    for node in network.nodes:
        node.table.add_listener(on_items)
    return missing


def send_heartbeats_past_timeout(network: Network, receiver: FakeNode) -> None:
    """Send heartbeats for 10 s, so that a worker's first publication alone cannot keep the worker `READY`."""
    for sequence in range(1, 11):
        receiver.heartbeat("i-1", sequence)
        network.advance(1000)


@pytest.mark.parametrize("receiver", [0, 1, 2])
@pytest.mark.parametrize("successor_delay_ticks", [0, 1, 2])
@pytest.mark.parametrize("other_delay_ticks", [0, 1, 2])
@pytest.mark.parametrize("next_receiver", [1, 2])
@pytest.mark.parametrize("ticks_in_node_order", [True, False])
def test_planned_stop_of_registrar_makes_no_live_worker_missing(
    receiver: int,
    successor_delay_ticks: int,
    other_delay_ticks: int,
    next_receiver: int,
    ticks_in_node_order: bool,
) -> None:
    """Regression: a new registrar applied the time-out to workers whose heartbeats only the old registrar knew.

    Each of the two remaining nodes learns of the registrar's stop after a delay of 0 to 2 ticks of 500 ms, and the
    worker sends its next heartbeat to one of the two nodes.
    """
    network = make_network("z1", "z2", "z3")
    send_heartbeats_past_timeout(network, network.nodes[receiver])
    missing = record_missing(network)
    nodes = list(network.nodes)
    network.nodes = nodes[1:] if ticks_in_node_order else nodes[:0:-1]
    for step in range(40):
        if step == successor_delay_ticks:
            nodes[1].live = [nodes[1].member, nodes[2].member]
        if step == other_delay_ticks:
            nodes[2].live = [nodes[1].member, nodes[2].member]
        if step % 2:
            nodes[next_receiver].heartbeat("i-1", 11 + step)
        network.advance(500)
    assert missing == []


@pytest.mark.parametrize("is_planned", [True, False])
def test_worker_lost_with_registrar_is_missing_one_timeout_after_loss_of_contact(
    is_planned: bool,
) -> None:
    network = make_network("z1", "z2", "z3")
    send_heartbeats_past_timeout(network, network.nodes[0])
    missing = record_missing(network)
    network.nodes.pop(0)
    if is_planned:  # the other nodes learn of a planned stop at once, and of a crash only by missing announcements
        for node in network.nodes:
            node.live = [other.member for other in network.nodes]
    network.advance(1500 + 3500)
    assert missing == []
    network.advance(1000)
    assert set(missing) == {"i-1"}


def test_partitioned_node_answers_503_and_declares_no_worker_missing() -> None:
    network = make_network("z1", "z2", "z3")
    network.nodes[1].heartbeat("i-1", 1)
    network.cut_off.add("10.1.0.1")
    assert network.nodes[0].heartbeat("i-2", 1).status == 503
    assert network.nodes[0].call("DELETE", "i-2").status == 503
    network.advance(60_000)
    assert network.nodes[0].state("i-1") is WorkerState.READY


@pytest.mark.parametrize("end", ["draining", "DELETE"])
def test_end_of_worker_is_acknowledged_only_after_majority_stored_it(end: str) -> None:
    """Guards against acknowledging the end of a worker because the node's contact lease is still valid.

    A valid lease does not show that a majority of the control nodes has stored what the node publishes now.
    """
    network = make_network("z1", "z2", "z3")
    first, second, third = network.nodes

    def end_worker(node: FakeNode, sequence: int) -> int:
        if end == "DELETE":
            return node.call("DELETE", "i-1").status
        return node.heartbeat("i-1", sequence, state="draining").status

    assert first.heartbeat("i-1", 1).status == 200
    first.may_write = False
    assert end_worker(first, 2) == 503
    assert first.heartbeat("i-2", 1).status == 200
    assert end_worker(first, 3) == 503  # nothing new to publish, but no majority has confirmed the first publication
    first.may_write = True
    for node in (second, third):
        node.table.forget(ItemKind.WORKER, "i-1")
    assert end_worker(first, 4) == 200
    expected = None if end == "DELETE" else WorkerState.DRAINING
    assert [node.state("i-1") for node in network.nodes] == [expected] * 3


def test_warm_up_is_acknowledged_only_after_majority_stored_it() -> None:
    """Guards against too many requests to a worker whose warm-up all control nodes forget when they restart at once."""
    network = make_network("z1", "z2", "z3")
    first = network.nodes[0]
    assert first.heartbeat("i-1", 1).status == 200
    first.may_write = False
    assert first.heartbeat("i-1", 2, cold_left_ms=8000).status == 503
    assert first.heartbeat("i-1", 3, cold_left_ms=7000).status == 503  # nothing new, but not stored by a majority
    first.may_write = True
    assert first.heartbeat("i-1", 4, cold_left_ms=6000).status == 200
    network.advance(500)
    first.may_write = False
    assert first.heartbeat("i-1", 5, cold_left_ms=5500).status == 200  # stored already
    assert first.heartbeat("i-1", 6, cold_left_ms=9000).status == 503  # another warm-up
    assert first.heartbeat("i-1", 7, cold_left_ms=0).status == 200
    assert network.nodes[2].heartbeat("i-1", 8, cold_left_ms=4000).status == 200


def test_workers_of_partitioned_node_have_one_timeout_to_reach_another_node() -> None:
    network = make_network("z1", "z2", "z3")
    for sequence in range(1, 4):
        network.nodes[2].heartbeat("i-1", sequence)
        network.advance(1000)
    network.cut_off.add("10.3.0.1")
    network.advance(4500)
    assert network.nodes[0].state("i-1") is WorkerState.READY
    network.nodes[1].heartbeat("i-1", 8)
    network.advance(3500)
    assert network.nodes[0].state("i-1") is WorkerState.READY
    network.advance(1000)
    assert network.nodes[0].state("i-1") is WorkerState.MISSING


def test_stalled_node_restarts_timeouts_of_workers() -> None:
    network = make_network("z1")
    network.nodes[0].heartbeat("i-1", 1)
    network.now_ns += 10_000 * MS
    network.nodes[0].service.tick()
    network.advance(3000)
    assert network.nodes[0].state("i-1") is WorkerState.READY
    network.advance(1000)
    assert network.nodes[0].state("i-1") is WorkerState.MISSING


def test_restarted_node_declares_no_worker_missing_within_one_timeout() -> None:
    network = make_network("z1", "z2")
    network.nodes[1].heartbeat("i-1", 1)
    network.nodes.remove(network.nodes[0])
    restarted = FakeNode(network, Member("core-1", "core", "core", "10.1.0.1", "z1", "r1", "", True, 2, True))
    network.nodes.insert(0, restarted)
    for node in network.nodes:
        node.live = [node.member for node in network.nodes]
    restarted.table.merge(network.nodes[1].table)
    network.advance(3000)
    assert restarted.state("i-1") is WorkerState.READY


def test_malformed_requests_change_nothing() -> None:
    network = make_network("z1")
    node = network.nodes[0]
    assert node.call("PUT", "i-1", b"{").status == 400
    assert node.heartbeat("i-1", -1).status == 400
    assert node.heartbeat("", 1).status == 400
    assert node.heartbeat("i" * 300, 1).status == 400
    assert node.call("GET", "i-1").status == 405
    node.callbacks[Channel.REGISTRY](PeerInfo("x", Address("10.9.0.1", 7660)), b"\xff\xff")
    assert len(node.table) == 0


def test_correction_is_published_although_another_item_of_the_batch_raises(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a worker that stays missing: a correction is returned only once, and was lost by an exception."""
    network = make_network("z1")
    (node,) = network.nodes
    node.heartbeat("w", 5)
    node.heartbeat("w", 7)
    missing = Worker("llm", "w:1", "z1", state=WorkerState.MISSING)
    on_published = WorkerRegistry.on_published

    def fail_for_one(registry: WorkerRegistry, publication: Publication, now_ns: int) -> list[Publication]:
        if publication.worker_id == "poison":
            raise RuntimeError("planted fault at one item")
        return on_published(registry, publication, now_ns)

    monkeypatch.setattr(WorkerRegistry, "on_published", fail_for_one)
    poison = worker_item(Publication("poison", WorkerVersion(1), missing))
    with pytest.raises(RuntimeError):
        node.publish([worker_item(Publication("w", WorkerVersion(5, DECLARED_MISSING), missing)), poison])
    assert node.state("w") is WorkerState.READY
