"""Tests that a control process deletes its state about members, workers and peers that are gone."""

from __future__ import annotations

import asyncio

from canvasbeam.cluster.transport import Channel, Transport
from canvasbeam.replication import member_liveness as liveness
from canvasbeam.replication.durability import Outbox
from canvasbeam.replication.member_liveness import MemberLiveness
from canvasbeam.replication.messages import Appended, SaveCommitted, Send
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import Epoch, MemberId
from canvasbeam.runtime.settings import Address
from canvasbeam.service_discovery import worker_registry
from canvasbeam.service_discovery.worker_registry import ReceivedHeartbeat, Worker, WorkerRegistry, WorkerState

EPOCH = Epoch(1, MemberId("10.0.0.1/0"))
WORKER = Worker("llm", "10.0.0.9:8080", "z1")


def test_members_with_lost_disks_are_forgotten_after_timeout() -> None:
    """A member that lost its disk returns under a new ID; without a limit, the old IDs would accumulate forever."""
    members = MemberLiveness(ReplicationTiming())
    for disk in range(100):
        members.record_message(MemberId(f"10.0.0.2/{disk}"), disk * liveness.FORGET_AFTER_NS // 10)
    assert len(members.known()) <= 11
    assert members.is_replaceable(MemberId("10.0.0.2/0"), 10 * liveness.FORGET_AFTER_NS)
    assert members.is_alive(MemberId("10.0.0.2/99"), 99 * liveness.FORGET_AFTER_NS // 10)


def test_deregistered_workers_are_forgotten_after_timeout_and_missing_ones_are_kept() -> None:
    """The registry must not keep deregistered workers forever, but must keep a missing worker, which may return."""
    registry = WorkerRegistry(heartbeat_timeout_ns=1, timeouts_since_ns=0)
    for number in range(100):
        registry.heartbeat(f"i-{number}", 1, Worker("llm", f"10.0.1.{number}:80", "z1"), 0)
        registry.deregister(f"i-{number}", 0)
    registry.heartbeat("i-silent", 1, WORKER, 0)
    [missing] = registry.declare_missing(2)
    assert missing.worker is not None
    assert missing.worker.state is WorkerState.MISSING
    registry.record_remote_heartbeats([ReceivedHeartbeat("i-unknown", 4)], 0)
    registry.forget_left(worker_registry.FORGET_AFTER_NS)
    assert len(registry._entries) == 102
    assert registry.heartbeat("i-7", 2, WORKER, worker_registry.FORGET_AFTER_NS) == []
    registry.forget_left(worker_registry.FORGET_AFTER_NS + 1)
    assert set(registry._entries) == {"i-silent"}


def test_repeated_message_is_queued_once_while_the_disk_stalls() -> None:
    """While a disk stalls, repeated confirmations would fill the outbox if equal messages were queued again."""
    outbox = Outbox()
    outbox.take([SaveCommitted(1)])
    for _ in range(100):
        assert outbox.take([Send(MemberId("10.0.0.1/0"), Appended(EPOCH, 1))]) == []
    outbox.take([Send(MemberId("10.0.0.1/0"), Appended(EPOCH, 2))])
    outbox.next_batch()
    assert outbox.batch_durable() == [Send(MemberId("10.0.0.1/0"), Appended(EPOCH, index)) for index in (1, 2)]


def test_transport_forgets_idle_peers_and_keeps_those_with_queued_messages() -> None:
    """A transport deletes its state for idle peers, and keeps a peer with a queued message."""

    async def work() -> None:
        transport = Transport("one", Address("127.0.6.1", 1))
        transport._peer(Address("127.0.6.2", 1))
        transport.send(Address("127.0.6.3", 1), Channel.REPLICATION, b"waits")
        transport.close_idle()
        assert list(transport._peers) == [Address("127.0.6.3", 1)]
        await transport.stop()

    asyncio.run(work())
