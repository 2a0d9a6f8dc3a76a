"""The transport between nodes and whole cluster nodes, over real loopback sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Coroutine, Iterable

import pytest

from canvasbeam.cluster import connection, envelope_pb2, peer_link, transport
from canvasbeam.cluster import node as node_module
from canvasbeam.cluster.framing import MAX_FRAME_BYTES, FrameDecoder, FrameTooLargeError, frame
from canvasbeam.cluster.node import ClusterNode
from canvasbeam.cluster.transport import Channel, PeerInfo, Transport
from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.runtime.settings import Address, ProcessSettings
from tests.support.connections import is_connected
from tests.support.free_ports import free_port

TIMEOUT_S = 10.0


def run(work: Coroutine[None, None, None]) -> None:
    async def with_timeout() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await work

    asyncio.run(with_timeout())


class Inbox:
    """Queue of the messages that a transport receives on one channel, in the order of their arrival."""

    def __init__(self, owner: Transport, channel: Channel = Channel.REPLICATION) -> None:
        self.queue: asyncio.Queue[tuple[PeerInfo, bytes]] = asyncio.Queue()
        owner.register(channel, lambda sender, payload: self.queue.put_nowait((sender, payload)))

    async def next(self) -> tuple[str, bytes]:
        sender, payload = await self.queue.get()
        return sender.name, payload


async def start_pair() -> tuple[Transport, Transport]:
    port = free_port()
    one, other = Transport("one", Address("127.0.3.1", port)), Transport("other", Address("127.0.3.2", port))
    await one.start()
    await other.start()
    return one, other


def test_decoder_reassembles_frames_from_any_chunk_size() -> None:
    messages = [b"", b"a", b"bc" * 1000]
    stream = b"".join(map(frame, messages))
    for size in (1, 3, len(stream)):
        decoder = FrameDecoder()
        found: list[bytes] = []
        for start in range(0, len(stream), size):
            found += decoder.feed(stream[start : start + size])
        assert found == messages


def test_frame_length_over_limit_raises() -> None:
    with pytest.raises(FrameTooLargeError):
        list(FrameDecoder().feed((MAX_FRAME_BYTES + 1).to_bytes(4, "big")))


def test_messages_arrive_in_order_and_answers_use_same_connection() -> None:
    async def work() -> None:
        one, other = await start_pair()
        inbox, answers = Inbox(other), Inbox(one, Channel.MEMBERSHIP)
        for number in range(100):
            one.send(other.listen, Channel.REPLICATION, str(number).encode())
        for number in range(100):
            assert await inbox.next() == ("one", str(number).encode())
        other.send(one.listen, Channel.MEMBERSHIP, b"answer")
        assert await answers.next() == ("other", b"answer")
        assert len(other._connections) == len(one._connections) == 1
        await one.stop()
        await other.stop()

    run(work())


def test_idle_connection_is_closed_and_reopened_on_send(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        one, other = await start_pair()
        inbox = Inbox(other)
        closed = asyncio.Event()
        other.register_disconnects(lambda address: closed.set())
        one.send(other.listen, Channel.REPLICATION, b"first")
        await inbox.next()
        one.close_idle()
        assert is_connected(one, other.listen)
        monkeypatch.setattr(transport, "IDLE_TIMEOUT_S", -1.0)
        one.close_idle()
        await closed.wait()
        one.send(other.listen, Channel.REPLICATION, b"second")
        assert await inbox.next() == ("one", b"second")
        await one.stop()
        await other.stop()

    run(work())


def test_large_message_arrives_while_another_peer_reads_nothing() -> None:
    async def work() -> None:
        one, other = await start_pair()
        inbox = Inbox(other)
        with socket.socket() as silent:  # the kernel accepts connections, but nobody reads from them
            silent.bind(("127.0.3.3", one.listen.port))
            silent.listen()
            for _ in range(50):
                one.send(Address("127.0.3.3", one.listen.port), Channel.REPLICATION, bytes(1 << 20))
            one.send(other.listen, Channel.REPLICATION, bytes(3 << 20))
            assert len((await inbox.next())[1]) == 3 << 20
            assert one.counters.overflowed > 0
        await one.stop()
        await other.stop()

    run(work())


def test_queue_to_unresponsive_address_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        one, other = await start_pair()
        hung = asyncio.Event()

        async def hang(address: Address) -> None:
            hung.set()
            await asyncio.Event().wait()

        monkeypatch.setattr(one, "connect", hang)
        for _ in range(20):
            one.send(Address("127.0.3.9", one.listen.port), Channel.REPLICATION, bytes(1 << 20))
        await hung.wait()
        assert one.counters.overflowed >= 16
        await one.stop()
        await other.stop()

    run(work())


def test_late_peer_is_reached_and_failures_are_reported() -> None:
    async def work() -> None:
        port = free_port()
        one = Transport("one", Address("127.0.3.1", port))
        failed = asyncio.Event()
        one.register_disconnects(lambda address: failed.set())
        await one.start()
        target = Address("127.0.3.2", port)
        one.send(target, Channel.REPLICATION, b"lost")
        await failed.wait()
        other = Transport("other", target)
        inbox = Inbox(other)
        await other.start()
        one.send(target, Channel.REPLICATION, b"kept")
        assert await inbox.next() == ("one", b"kept")
        failed.clear()
        await other.stop()
        await failed.wait()
        await one.stop()

    run(work())


def test_datagram_from_peer_ends_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        monkeypatch.setattr(peer_link, "MIN_BACKOFF_S", 1_000.0)
        monkeypatch.setattr(peer_link, "MAX_BACKOFF_S", 1_000.0)
        port = free_port()
        one = Transport("one", Address("127.0.3.1", port))
        failed, received = asyncio.Event(), asyncio.Event()
        one.register_disconnects(lambda address: failed.set())
        one.register_datagrams(lambda sender, payload: received.set())
        await one.start()
        target = Address("127.0.3.2", port)
        one.send(target, Channel.REPLICATION, b"lost")
        await failed.wait()
        other = Transport("other", target)
        inbox = Inbox(other)
        await other.start()
        one.send(target, Channel.REPLICATION, b"waits")
        other.send_datagram(one.listen, b"here")
        await received.wait()
        assert await inbox.next() == ("one", b"waits")
        await one.stop()
        await other.stop()

    run(work())


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        frame(b"\xff\xff\xff"),
        frame(envelope_pb2.Hello(magic=1, protocol_version=1, node="x", listen_port=1).SerializeToString()),
        frame(
            envelope_pb2.Hello(magic=connection.MAGIC, protocol_version=99, node="x", listen_port=1).SerializeToString()
        ),
    ],
    ids=["http", "undecodable_hello", "wrong_magic", "unsupported_version"],
)
def test_connection_with_invalid_hello_is_closed_and_counted(data: bytes) -> None:
    async def work() -> None:
        one, other = await start_pair()
        reader, writer = await asyncio.open_connection(one.listen.host, one.listen.port)
        writer.write(data)
        with pytest.raises(ConnectionResetError):
            while await reader.read(4096):
                pass
            raise ConnectionResetError  # an orderly close is as good as a reset
        assert one.counters.invalid == 1
        writer.close()
        await one.stop()
        await other.stop()

    run(work())


# --- whole nodes ----------------------------------------------------------------------------------


def node(number: int, port: int, is_control: bool) -> ClusterNode:
    ip = f"127.0.4.{number}"
    settings = ProcessSettings(
        node=f"node-{number}",
        role="role",
        node_class="core" if is_control else "edge",
        serves=(),
        ip=ip,
        zone="z",
        region="r",
        port_range=(port, port + 15),
        seeds=tuple(Address(f"127.0.4.{number}", 9) for number in (1, 2, 3)),
        listen={} if is_control else {"front": Address(ip, 80)},
    )
    return ClusterNode(settings, is_control)


async def wait_until(nodes: list[ClusterNode], condition: Callable[[], bool]) -> None:
    """Wait until `condition` is true, checking again after each change of a node's item table."""
    changed = asyncio.Event()
    for each in nodes:
        each.table.add_listener(lambda items: changed.set())
    while not condition():
        changed.clear()
        await changed.wait()


def run_with_nodes(work: Callable[[list[ClusterNode]], Awaitable[None]]) -> None:
    async def start_and_run() -> None:
        port = free_port()
        nodes = [node(number, port, is_control=number <= 3) for number in range(1, 6)]
        for each in nodes:
            await each.start()
        await wait_until(nodes, lambda: all(len(node.members()) == len(nodes) for node in nodes))
        await work(nodes)
        for each in nodes:
            await each.stop()

    run(start_and_run())


def test_nodes_discover_each_other_and_share_items() -> None:
    async def work(nodes: list[ClusterNode]) -> None:
        assert all(len(node.control_nodes()) == 3 for node in nodes)
        assert all(node.parent is not None for node in nodes[3:])
        item = Item(ItemKind.CONFIGURATION, "current", Version(1), bytes(3 << 20))
        nodes[0].publish([item])
        await wait_until(nodes, lambda: all(node.table.get(item.kind, item.key) == item for node in nodes))

    run_with_nodes(work)


def test_readiness_and_departure_reach_other_nodes() -> None:
    async def work(nodes: list[ClusterNode]) -> None:
        nodes[4].set_ready(True)
        await wait_until(nodes, lambda: all(any(member.ready for member in node.members()) for node in nodes))
        ready = next(member for member in nodes[0].members() if member.ready)
        assert (ready.name, ready.front) == ("node-5", "127.0.4.5:80")
        assert nodes[0].peer_address(ready) == nodes[4].address
        nodes[4].leave()
        await wait_until(nodes, lambda: all(len(node.members()) == 4 for node in nodes[:4]))

    run_with_nodes(work)


def test_write_is_confirmed_only_with_majority() -> None:
    async def work(nodes: list[ClusterNode]) -> None:
        item = Item(ItemKind.WORKER, "w1", Version(1), b"worker")
        nodes[0].publish([item])
        assert await nodes[0].write([item], within_s=20)
        assert sum(node.table.get(item.kind, item.key) == item for node in nodes[:3]) >= 2
        assert await nodes[0].write([], within_s=20)
        assert nodes[0].has_majority()
        assert nodes[0].has_recent_exchange()
        for each in nodes[1:3]:
            await each.stop()
        assert not await nodes[0].write([item], within_s=0.2)

    run_with_nodes(work)


class HeldItemStore:
    """An item store whose disk is stalled: `release` makes all items durable that were stored so far."""

    def __init__(self) -> None:
        self.stored: list[Item] = []
        self._waiting: list[Callable[[], None]] = []

    def store(self, items: Iterable[Item], on_durable: Callable[[], None]) -> None:
        self.stored.extend(items)
        self._waiting.append(on_durable)

    def release(self) -> None:
        waiting, self._waiting = self._waiting, []
        for on_durable in waiting:
            on_durable()


def test_write_is_confirmed_only_after_majority_has_it_on_disk() -> None:
    """Guards against the acknowledged end of a worker that is forgotten when all control nodes restart at once."""

    async def work(nodes: list[ClusterNode]) -> None:
        stores = [HeldItemStore() for _ in nodes[:3]]
        for each, store in zip(nodes, stores, strict=False):
            each.set_item_store(store)
        item = Item(ItemKind.WORKER, "w1", Version(1), b"worker")
        nodes[0].publish([item])
        write = asyncio.create_task(nodes[0].write([item], within_s=20))
        await wait_until(nodes, lambda: all(node.table.get(item.kind, item.key) == item for node in nodes))
        while not all(store.stored for store in stores):
            await asyncio.sleep(0.001)
        stores[0].release()
        done, _ = await asyncio.wait({write}, timeout=0.3)
        assert not done, "confirmed with one disk of three"
        stores[2].release()
        assert await write
        assert all(item in store.stored for store in stores)

    run_with_nodes(work)


def test_write_is_not_confirmed_without_the_own_disk() -> None:
    async def work(nodes: list[ClusterNode]) -> None:
        nodes[0].set_item_store(HeldItemStore())
        item = Item(ItemKind.WORKER, "w1", Version(1), b"worker")
        assert not await nodes[0].write([item], within_s=0.2)
        assert await nodes[0].write([], within_s=20)

    run_with_nodes(work)


def test_lost_and_regained_contact_are_each_logged_once(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[str] = []
    monkeypatch.setattr(node_module.log, "warning", lambda text, *values: lines.append("lost " + text.format(*values)))
    monkeypatch.setattr(node_module.log, "info", lambda text, *values: lines.append("back " + text.format(*values)))
    edge = node(4, 7660, is_control=False)
    edge.table.merge([Item(ItemKind.CONFIGURATION, "current", Version(7), b"")])
    for has_majority in (False, False, True, True, False, False, True):
        monkeypatch.setattr(edge._core, "has_majority", lambda now, answer=has_majority: answer)
        edge._log_contact(0)
    assert lines == [
        "lost contact lost configuration=7 evacuations=0",
        "back contact regained configuration=7 evacuations=0",
    ]


def test_restarted_control_node_receives_items_of_other_nodes() -> None:
    async def work(nodes: list[ClusterNode]) -> None:
        item = Item(ItemKind.CONFIGURATION, "current", Version(7), b"configuration")
        nodes[0].publish([item])
        await wait_until(nodes, lambda: all(node.table.get(item.kind, item.key) == item for node in nodes))
        await nodes[0].stop()
        port = nodes[0].address.port
        nodes[0] = node(1, port, is_control=True)
        await nodes[0].start()
        await wait_until(nodes, lambda: nodes[0].table.get(item.kind, item.key) == item)

    run_with_nodes(work)
