"""A node that lost its disk receives a large configuration in chunks, over real sockets on loopback."""

from __future__ import annotations

import json
import random

from canvasbeam.cluster.transport import Channel
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.replication_codec import ReceivedMessage, ReplicationCodec
from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.replication.control_state import Change, ChangeKind, Committed, ControlState
from canvasbeam.replication.messages import Chunk
from canvasbeam.replication.snapshots import CHUNK_BYTES
from canvasbeam.runtime.settings import Address
from tests.control_plane.test_replicated_state import IPS, Node, System, run, start_three_nodes, stop_all
from tests.support.model_disk import ModelDisk

SERVICES = 4000


def large_change() -> Change:
    generator = random.Random(1)
    services = [{"name": generator.randbytes(20).hex()} for _ in range(SERVICES)]
    body = json.dumps({"generation": 1, "routes": [], "services": services}).encode()
    return Change(ChangeKind.PUT_CONFIGURATION, body, 0)


async def submit_until_committed(system: System, change: Change) -> ControlState:
    while True:
        node = await system.primary()
        result = await node.service.submit(change)
        if isinstance(result, Committed):
            return result.state
        await system.until(lambda: True)


def record_chunk_sizes(*nodes: Node) -> list[int]:
    """Return a list of the sizes, in bytes, of the chunks that the nodes send; the list grows with each chunk."""
    sizes: list[int] = []
    for node in nodes:
        record_sent_chunks(node, sizes)
    return sizes


def record_sent_chunks(node: Node, sizes: list[int]) -> None:
    codec = ReplicationCodec(ControlStateCodec(encode_state, decode_state))
    send = node.transport.send

    def recording_send(address: Address, channel: Channel, payload: bytes) -> None:
        received = codec.decode(payload)
        assert isinstance(received, ReceivedMessage)
        if isinstance(received.message, Chunk):
            sizes.append(len(received.message.data))
        send(address, channel, payload)

    node.transport.send = recording_send  # type: ignore[method-assign]


def test_wiped_node_receives_large_state_in_chunks_and_recognizes_repeated_change() -> None:
    async def work() -> None:
        system = await start_three_nodes()
        change = large_change()
        state = await submit_until_committed(system, change)
        primary = await system.primary()
        wiped, other = (ip for ip in IPS if ip != primary.settings.ip)
        await system.stop(wiped)
        chunk_sizes = record_chunk_sizes(*system.nodes.values())  # under load another node may become the primary
        node = await system.start(wiped, ModelDisk(), bootstrap=False)
        await system.until(lambda: node.service.state == state)
        assert len(chunk_sizes) > 2
        assert max(chunk_sizes) <= CHUNK_BYTES
        number = 0
        while node.service.status.member not in primary.service.status.replicas:
            number += 1
            state = await system.evacuate(f"zone-{number}")
        await system.stop(primary.settings.ip)
        assert await submit_until_committed(system, change) == state
        assert {other, wiped} == set(system.nodes)
        await stop_all(system)

    run(work)
