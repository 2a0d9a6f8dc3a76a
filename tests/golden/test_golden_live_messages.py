"""The messages that only a running part of the program makes and takes, byte for byte.

Each part runs here alone: a connection over a transport that records, a registry over a node that records, and a node
on loopback that probes and is probed.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from canvasbeam.cluster.connection import Connection, PeerInfo
from canvasbeam.cluster.member import Member, member_item
from canvasbeam.cluster.node import ClusterNode
from canvasbeam.cluster.transport import Channel, Transport
from canvasbeam.control_plane.registry import RegistryService
from canvasbeam.control_plane.web import Request
from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.item_table.items import Item, ItemKind, ItemTable
from canvasbeam.runtime.process_incarnation import IncarnationCheck
from canvasbeam.runtime.settings import Address, ProcessSettings
from tests.golden.files import MESSAGES, read_bytes_by_name

LIFE = 0x1122334455667788
PEER_LIFE = 0x0A0B0C0D0E0F1011
FORMER_PEER_LIFE = 0x0102030405060709
PEER = Address("10.0.0.9", 8147)
LIMIT_S = 20
MILLISECOND = 1_000_000


def golden(name: str) -> bytes:
    return read_bytes_by_name(MESSAGES)[f"live/{name}"]


def framed(message: bytes) -> bytes:
    """A message behind its length, as it goes over a connection."""
    return len(message).to_bytes(4, "big") + message


# --- connections --------------------------------------------------------------------------------------------------


class RecordingTransport(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes] = []

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return ("10.0.0.9", 40_000) if name == "peername" else default

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written.append(bytes(data))

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0


def transport() -> Transport:
    """The sender of the golden frames."""
    made = Transport("nöde-1", Address("10.0.0.1", 8146))
    made.incarnation_check = IncarnationCheck(LIFE)
    return made


def peer_transport() -> Transport:
    """The sender of the golden introductions."""
    made = Transport("nöde-2", PEER)
    made.incarnation_check = IncarnationCheck(PEER_LIFE)
    return made


async def _frames() -> dict[str, bytes]:
    """What a transport writes to a peer that introduces itself, and to one that is in another life than it expects."""
    owner, wire = transport(), RecordingTransport()
    connection = Connection(owner, None)
    connection.connection_made(wire)
    connection.data_received(peer_transport().hello(LIFE))
    owner.send(PEER, Channel.DISTRIBUTION, b"\x00pay\xffload")
    _, frame = wire.written
    expecting, other_wire = Connection(transport(), PEER, FORMER_PEER_LIFE), RecordingTransport()
    expecting.connection_made(other_wire)
    expecting.data_received(peer_transport().hello(LIFE))
    _, frame_of_life = other_wire.written
    return {"frame": frame, "frame_of_life": frame_of_life}


def encoded_envelopes() -> dict[str, bytes]:
    """Introductions and frames, behind their lengths, as the code makes them now."""
    hellos = {
        "hello_to_unknown_life": peer_transport().hello(0),
        "hello_to_known_life": peer_transport().hello(LIFE),
    }
    return hellos | asyncio.run(_frames())


def test_introductions_and_frames_are_encoded_to_the_golden_bytes() -> None:
    expected = {name: framed(golden(name)) for name in encoded_envelopes()}
    assert encoded_envelopes() == expected
    assert set(expected) == {"hello_to_unknown_life", "hello_to_known_life", "frame", "frame_of_life"}


def test_golden_introductions_and_frames_are_taken() -> None:
    async def body() -> None:
        owner = transport()
        taken: list[tuple[PeerInfo, bytes]] = []
        owner.register(Channel.DISTRIBUTION, lambda sender, payload: taken.append((sender, payload)))
        connection = Connection(owner, None)
        connection.connection_made(RecordingTransport())
        connection.data_received(framed(golden("hello_to_known_life")) + framed(golden("frame")))
        assert taken == [(PeerInfo("nöde-2", Address("10.0.0.9", 8147), 0x0A0B0C0D0E0F1011), b"\x00pay\xffload")]
        connection.data_received(framed(golden("frame_of_life")) + framed(golden("frame")))
        assert len(taken) == 1  # what follows is for another life than this one
        assert owner.incarnation_check.dropped == 1

    asyncio.run(body())


def test_an_introduction_to_an_unknown_life_is_taken() -> None:
    async def body() -> None:
        owner, wire = transport(), RecordingTransport()
        connection = Connection(owner, None)
        connection.connection_made(wire)
        connection.data_received(framed(golden("hello_to_unknown_life")))
        assert connection.peer == PeerInfo("nöde-2", Address("10.0.0.9", 8147), 0x0A0B0C0D0E0F1011)
        assert len(wire.written) == 1  # the own introduction, and no correction

    asyncio.run(body())


# --- the registry -------------------------------------------------------------------------------------------------


@dataclass
class RecordingNode:
    """What the registry needs of a cluster node; it keeps what is sent to other nodes."""

    table: ItemTable = field(default_factory=ItemTable)
    sent: list[tuple[list[Address], bytes]] = field(default_factory=list)
    take: Callable[[PeerInfo, bytes], None] = lambda sender, payload: None

    @property
    def transport(self) -> RecordingNode:
        return self

    def register(self, channel: Channel, callback: Callable[[PeerInfo, bytes], None]) -> None:
        assert channel is Channel.REGISTRY
        self.take = callback

    def send_to_many(self, addresses: Iterable[Address], channel: Channel, payload: bytes) -> None:
        assert channel is Channel.REGISTRY
        self.sent.append((list(addresses), payload))

    def publish(self, items: Iterable[Item]) -> list[Item]:
        return self.table.merge(items)

    def control_nodes(self) -> Sequence[Member]:
        return [
            Member(f"core-{number}", "core", "core", f"10.{number}.0.1", "z1", "r1", "", True, 1, True)
            for number in (1, 2, 3)
        ]

    def peer_address(self, member: Member) -> Address:
        return Address(member.ip, 7660)

    def has_recent_contact(self, within_ns: int) -> bool:
        return True

    async def write(self, items: Iterable[Item], within_s: float) -> bool:
        return True


def settings(ip: str, port: int) -> ProcessSettings:
    return ProcessSettings(
        node="core-2", role="core", node_class="core", serves=("control",), ip=ip, zone="z1", region="r1",
        port_range=(port, port + 9), seeds=(), zones={"z1": "r1"}, listen={"control": Address(ip, 8146)},
    )  # fmt: skip


def registry(node: RecordingNode) -> RegistryService:
    return RegistryService(settings("10.2.0.1", 7660), node, lambda: 1_000 * MILLISECOND)  # type: ignore[arg-type]


def beat(service: RegistryService, worker: str, sequence: int) -> None:
    document = {"service": "llm", "address": f"{worker}:1", "zone": "z1", "state": "ready", "seq": sequence}
    answer = asyncio.run(
        service.instances(Request("PUT", f"/v1/instances/{worker}", body=json.dumps(document).encode()))
    )
    assert answer.status == 200


def told_heartbeats() -> list[tuple[list[Address], bytes]]:
    """What a registry tells the registrar and the other control nodes after two heartbeats."""
    node = RecordingNode()
    service = registry(node)
    node.take(PeerInfo("core-1", Address("10.1.0.1", 7660)), b"")
    service.tick()
    node.sent.clear()
    beat(service, "wörker-1", 300)
    beat(service, "worker-2", 1)
    service.tick()
    return node.sent


def test_heartbeats_are_told_with_the_golden_bytes() -> None:
    assert told_heartbeats() == [
        ([Address("10.1.0.1", 7660)], golden("heard_heartbeats")),
        ([Address("10.3.0.1", 7660)], golden("heard_no_heartbeats")),
    ]
    assert golden("heard_no_heartbeats") == b""


def test_golden_heartbeats_are_heard() -> None:
    """A heartbeat whose number was heard from another control node says nothing new here; the next one does."""
    node = RecordingNode()
    service = registry(node)
    node.take(PeerInfo("core-1", Address("10.1.0.1", 7660)), golden("heard_heartbeats"))
    beat(service, "wörker-1", 300)
    beat(service, "worker-2", 1)
    assert node.table.of_kind(ItemKind.WORKER) == []
    beat(service, "wörker-1", 301)
    beat(service, "worker-2", 2)
    assert [(item.key, item.version.major) for item in node.table.of_kind(ItemKind.WORKER)] == [
        ("wörker-1", 301),
        ("worker-2", 2),
    ]


# --- probes -------------------------------------------------------------------------------------------------------

NODE_IP, OTHER_IP = "127.0.38.1", "127.0.38.2"
OTHER = Member("core-9", "core", "core", OTHER_IP, "z2", "r2", "", True, 300, True)


class Datagrams(asyncio.DatagramProtocol):
    """A socket that keeps what comes."""

    def __init__(self) -> None:
        self.came: asyncio.Queue[bytes] = asyncio.Queue()
        self.wire: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        self.wire = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.came.put_nowait(data)

    def say(self, data: bytes, address: Address) -> None:
        assert self.wire is not None
        self.wire.sendto(data, (address.host, address.port))

    async def next(self, is_wanted: Callable[[bytes], bool]) -> bytes:
        """The next one that is wanted."""
        while not is_wanted(data := await self.came.get()):
            pass
        return data


async def _with_node(talk: Callable[[ClusterNode, Datagrams], Any]) -> Any:
    """Talk with a node that knows one other, whose datagrams come to the given socket."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probing:
        probing.bind((OTHER_IP, 0))
        port = probing.getsockname()[1]
    node = ClusterNode(settings(NODE_IP, port), is_control=True)
    node.transport.incarnation_check = IncarnationCheck(LIFE)
    _, other = await asyncio.get_running_loop().create_datagram_endpoint(Datagrams, (OTHER_IP, port))
    await node.start()
    try:
        return await asyncio.wait_for(talk(node, other), LIMIT_S)
    finally:
        await node.stop()
        assert other.wire is not None
        other.wire.close()


def is_answer(data: bytes) -> bool:
    return data[:2] == b"\x08\x01"


def is_probe(data: bytes) -> bool:
    return data[:1] == b"\x10"


def test_a_golden_probe_is_answered_with_the_golden_bytes() -> None:
    async def talk(node: ClusterNode, other: Datagrams) -> bytes:
        other.say(golden("probe"), node.address)
        return await other.next(is_answer)

    assert asyncio.run(_with_node(talk)) == golden("probe_answer")


def test_a_golden_probe_of_a_suspect_is_refuted() -> None:
    async def talk(node: ClusterNode, other: Datagrams) -> tuple[bytes, int]:
        other.say(golden("probe_of_suspect"), node.address)
        answer = await other.next(is_answer)
        item = node.table.get(ItemKind.MEMBER, "core-2/control")
        assert item is not None
        return answer, item.version.major

    answer, incarnation = asyncio.run(_with_node(talk))
    assert answer == golden("probe_answer")
    assert incarnation > 1 << 61  # the one that the probe calls suspect


def test_probes_are_encoded_as_the_golden_ones() -> None:
    """The number of a probe is drawn, so its bytes are compared around it."""

    async def talk(node: ClusterNode, other: Datagrams) -> tuple[bytes, bytes]:
        node.publish([member_item(OTHER)])
        probe = await other.next(is_probe)
        node.publish([member_item(OTHER, MemberStatus.SUSPECT)])
        return probe, await other.next(lambda data: is_probe(data) and b"\x18\xac\x02\x20\x01" in data)

    probe, probe_of_suspect = asyncio.run(_with_node(talk))
    end = b"\x29\x88\x77\x66\x55\x44\x33\x22\x11"
    assert is_varint(between(probe, b"\x10", end))
    assert is_varint(between(probe_of_suspect, b"\x10", b"\x18\xac\x02\x20\x01" + end))
    assert golden("probe") == b"\x10\xac\x02" + end
    assert golden("probe_of_suspect") == b"\x10\xac\x02\x18\x80\x80\x80\x80\x80\x80\x80\x80\x20\x20\x01" + end


def between(data: bytes, start: bytes, end: bytes) -> bytes:
    assert data.startswith(start)
    assert data.endswith(end)
    return data[len(start) : len(data) - len(end)]


def is_varint(data: bytes) -> bool:
    return bool(data) and all(part & 0x80 for part in data[:-1]) and not data[-1] & 0x80


def test_datagrams_of_other_channels_stand_behind_a_golden_byte() -> None:
    """Those of membership go as they are, which the probes above show."""

    async def talk(node: ClusterNode, other: Datagrams) -> tuple[bytes, bytes]:
        taken: asyncio.Queue[bytes] = asyncio.Queue()
        node.transport.register_datagrams(lambda sender, payload: taken.put_nowait(payload), Channel.PLACEMENT)
        other.say(b"\xa7notice to the node", node.address)
        to_node = await taken.get()
        node.transport.send_datagram(Address(OTHER_IP, node.address.port), b"notice of the node", Channel.PLACEMENT)
        return to_node, await other.next(lambda data: data.endswith(b"notice of the node"))

    assert asyncio.run(_with_node(talk)) == (b"notice to the node", b"\xa7notice of the node")
