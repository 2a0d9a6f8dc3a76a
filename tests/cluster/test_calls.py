"""Calls between nodes: a node counts an answer only if the answer names its current incarnation and an open call.

A restarted process numbers its calls from the start again, so the call number alone cannot tell a late answer
to a call of the previous incarnation from an answer to a current call.
"""

from __future__ import annotations

import asyncio
import random
import threading
from collections.abc import Awaitable, Callable

import pytest

from canvasbeam.cluster import membership_pb2
from canvasbeam.cluster.node import ClusterNode
from canvasbeam.cluster.transport import Channel, PeerInfo, Transport
from canvasbeam.control_plane.changes import apply
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.replicated_state import ReplicatedControlState
from canvasbeam.control_plane.replication_codec import ReceivedMessage, ReplicationCodec
from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.monitoring import KnownMember, Monitoring, MonitoringParameters, SendPing
from canvasbeam.failure_detection.node_location import NodeLocation
from canvasbeam.replication.candidate_role import CandidateRole
from canvasbeam.replication.durable_state import DurableState, MemberSettings
from canvasbeam.replication.member import Member
from canvasbeam.replication.messages import (
    Hello,
    Message,
    Prepare,
    PreVote,
    PreVoteRequest,
    Promise,
    Refused,
    Send,
)
from canvasbeam.replication.roles import Role
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import (
    GENESIS_DISK,
    GENESIS_EPOCH,
    Epoch,
    MemberId,
    genesis_view,
    member_id,
    member_ip,
)
from canvasbeam.runtime.process_incarnation import IncarnationCheck, draw_incarnation
from canvasbeam.runtime.settings import Address, ProcessSettings
from canvasbeam.units import MILLISECOND, SECOND
from tests.support.connections import is_connected
from tests.support.free_ports import free_port
from tests.support.model_disk import ModelDisk

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
MEMBERS = tuple(member_id(ip, GENESIS_DISK) for ip in IPS)
PORT = 7000
TIMEOUT_S = 10.0
FAST_TIMING = ReplicationTiming(
    first_election_timeout_ns=10 * MILLISECOND, election_rank_step_ns=0, resend_interval_ns=20 * MILLISECOND
)


def run(work: Callable[[], Awaitable[None]]) -> None:
    async def with_timeout() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            await work()

    asyncio.run(with_timeout())


def test_drawn_incarnations_are_distinct_and_nonzero() -> None:
    generator = random.Random(1)
    incarnations = {draw_incarnation(generator) for _ in range(1000)}
    assert len(incarnations) == 1000
    assert 0 not in incarnations


class SentMessages:
    """Stand-in for one member's transport: records sent messages and delivers messages that the test makes up."""

    def __init__(self) -> None:
        self.sent: asyncio.Queue[tuple[str, ReceivedMessage]] = asyncio.Queue()
        self.codec = ReplicationCodec(ControlStateCodec(encode_state, decode_state))
        self._deliver: Callable[[PeerInfo, bytes], None] | None = None

    def send(self, address: Address, channel: Channel, payload: bytes) -> None:
        received = self.codec.decode(payload)
        assert isinstance(received, ReceivedMessage)
        self.sent.put_nowait((address.host, received))

    def register(self, channel: Channel, callback: Callable[[PeerInfo, bytes], None]) -> None:
        self._deliver = callback

    def deliver(self, sender: MemberId, message: Message, incarnation: int = 77, answered_incarnation: int = 0) -> None:
        assert self._deliver is not None
        peer = PeerInfo(sender, Address(member_ip(sender), PORT))
        self._deliver(peer, self.codec.encode(sender, message, incarnation, answered_incarnation))

    async def next(self, kind: type[Message], to: str = IPS[1]) -> ReceivedMessage:
        """Wait for the next sent message of type `kind` to the IP address `to`."""
        while True:
            ip, received = await self.sent.get()
            if ip == to and isinstance(received.message, kind):
                return received


async def start_member(disk: ModelDisk) -> tuple[SentMessages, ReplicatedControlState]:
    transport = SentMessages()
    settings = ProcessSettings(
        node="core-1", role="control-plane", node_class="core", serves=("control",), ip=IPS[0], zone="z", region="r",
        port_range=(PORT, PORT + 9), seeds=tuple(Address(ip, 8146) for ip in IPS), bootstrap=True,
    )  # fmt: skip
    service = ReplicatedControlState(
        settings, transport, apply, encode_state, decode_state, disk=disk, timing=FAST_TIMING
    )
    await service.start()
    return transport, service


def granted_pre_vote(number: int) -> PreVote:
    """Return the pre-vote of a member that no longer receives anything from the primary."""
    return PreVote(number, True, True, GENESIS_EPOCH, genesis_view(IPS), True)


async def deliver_answers_to_previous_incarnation() -> None:
    disk = ModelDisk()
    transport, service = await start_member(disk)
    first = await transport.next(PreVoteRequest)
    assert isinstance(first.message, PreVoteRequest)
    await service.stop()
    transport, service = await start_member(disk.after_kill())
    second = await transport.next(PreVoteRequest)
    assert second.message == first.message, "the restarted process did not repeat the call number"
    assert second.incarnation != first.incarnation
    for member in MEMBERS[1:]:
        transport.deliver(member, granted_pre_vote(first.message.number), answered_incarnation=first.incarnation)
    assert not requests_promises(service), "an answer to a previous incarnation was counted"
    assert service.status.stale_answers == 2
    for member in MEMBERS[1:]:
        transport.deliver(member, granted_pre_vote(first.message.number), answered_incarnation=second.incarnation)
    assert requests_promises(service)
    await service.stop()


def requests_promises(service: ReplicatedControlState) -> bool:
    """Return True if the member is a candidate that won its pre-vote and now requests promises."""
    assert service._driver is not None
    machine = service._driver.member._machine
    return isinstance(machine, CandidateRole) and machine.candidate.has_prepared


def test_answer_to_previous_incarnation_is_dropped_and_counted() -> None:
    """Guards against a restarted candidate that counts a late answer to a call of its previous incarnation.

    The restarted process numbers its first call like the first call before the restart.
    """
    run(deliver_answers_to_previous_incarnation)


def test_member_that_accepts_any_incarnation_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted fault: the incarnation check accepts every incarnation."""
    monkeypatch.setattr(IncarnationCheck, "accepts", lambda check, addressed: True)
    with pytest.raises(AssertionError, match="an answer to a previous incarnation was counted"):
        run(deliver_answers_to_previous_incarnation)


class BlockingDisk(ModelDisk):
    """Disk whose `sync` blocks until the event `sync_allowed` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.sync_allowed = threading.Event()
        self.sync_allowed.set()

    def sync(self, name: str) -> None:
        self.sync_allowed.wait(TIMEOUT_S)
        super().sync(name)


def test_answer_names_calling_incarnation_after_slow_sync() -> None:
    """Guards against a promise that names the caller's newest incarnation, although an earlier one sent the call.

    The promise waits for the sync of the disk; meanwhile the caller restarts and sends another call.
    """

    async def work() -> None:
        disk = BlockingDisk()
        transport, service = await start_member(disk)
        await transport.next(PreVoteRequest)
        transport.deliver(MEMBERS[1], PreVoteRequest(5), incarnation=77)
        assert (await transport.next(PreVote)).answered_incarnation == 77
        disk.sync_allowed.clear()
        transport.deliver(MEMBERS[1], Prepare(Epoch(9, MEMBERS[1])), incarnation=77)
        transport.deliver(MEMBERS[1], Hello(True), incarnation=78)  # the calling process has restarted
        transport.deliver(MEMBERS[1], PreVoteRequest(6), incarnation=78)
        assert (await transport.next(PreVote)).answered_incarnation == 78
        disk.sync_allowed.set()
        assert (await transport.next(Promise)).answered_incarnation == 77
        await service.stop()

    run(work)


def make_member() -> Member:
    settings = MemberSettings(MEMBERS[0], IPS, timing=FAST_TIMING)
    return Member(settings, DurableState.genesis(genesis_view(IPS)), apply, apply, 0)


def test_answer_to_other_call_is_ignored_and_counted() -> None:
    member = make_member()
    sends = [action for action in member.tick(SECOND) if isinstance(action, Send)]
    probe = sends[0].message
    assert isinstance(probe, PreVoteRequest)
    assert member.role is Role.CANDIDATE
    for sender in MEMBERS:
        assert member.receive(sender, granted_pre_vote(probe.number + 1), SECOND) == []
        assert member.receive(sender, Refused(Epoch(probe.number + 5, MEMBERS[0]), Epoch(99)), SECOND) == []
    assert member.stale_answers == 6
    assert member.role is Role.CANDIDATE
    for sender in MEMBERS[:2]:
        member.receive(sender, granted_pre_vote(probe.number), SECOND)
    assert member.stale_answers == 6
    assert member.state.witness.promised.candidate == MEMBERS[0], "the candidate went on to ask for promises"


# --- incarnations on connections between nodes ----------------------------------------------------


class Inbox:
    """Queue of the replication messages that a transport receives, in the order of their arrival."""

    def __init__(self, owner: Transport) -> None:
        self.queue: asyncio.Queue[tuple[PeerInfo, bytes]] = asyncio.Queue()
        owner.register(Channel.REPLICATION, lambda sender, payload: self.queue.put_nowait((sender, payload)))

    async def next(self) -> tuple[PeerInfo, bytes]:
        return await self.queue.get()


async def connect_and_replace(one: Transport, other: Transport) -> tuple[Transport, Inbox]:
    """Connect both transports, stop `other`, and return a successor with a new incarnation, not started yet."""
    inbox = Inbox(other)
    one.send(other.listen, Channel.REPLICATION, b"hello")
    peer, _ = await inbox.next()
    assert peer.incarnation == one.incarnation_check.incarnation
    while one._peers[other.listen].incarnation != other.incarnation_check.incarnation:
        await asyncio.sleep(0.001)
    await other.stop()
    while is_connected(one, other.listen):
        await asyncio.sleep(0.001)
    successor = Transport("other", other.listen)
    return successor, Inbox(successor)


async def start_pair() -> tuple[Transport, Transport]:
    port = free_port()
    one, other = Transport("one", Address("127.0.6.1", port)), Transport("other", Address("127.0.6.2", port))
    await one.start()
    await other.start()
    return one, other


def test_frames_queued_for_previous_incarnation_are_dropped_when_new_one_connects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against frames that were queued for a stopped process and reach its restarted successor."""

    async def hang(address: Address) -> None:
        await asyncio.Event().wait()

    async def work() -> None:
        one, other = await start_pair()
        successor, inbox = await connect_and_replace(one, other)
        monkeypatch.setattr(one, "connect", hang)
        one.send(other.listen, Channel.REPLICATION, b"for the earlier life")
        await successor.start()
        successor.send(one.listen, Channel.REPLICATION, b"here again")
        while one._peers[other.listen].incarnation != successor.incarnation_check.incarnation:
            await asyncio.sleep(0.001)
        one.send(other.listen, Channel.REPLICATION, b"for this life")
        assert (await inbox.next())[1] == b"for this life"
        assert one.counters.other_incarnation == 1
        await one.stop()
        await successor.stop()

    run(work)


def send_until_new_incarnation_is_known() -> None:
    async def work() -> None:
        one, other = await start_pair()
        previous_incarnation = other.incarnation_check.incarnation
        successor, inbox = await connect_and_replace(one, other)
        await successor.start()
        one._peers[other.listen].incarnation = previous_incarnation
        while successor.incarnation_check.dropped == 0:
            one.send(other.listen, Channel.REPLICATION, b"for the earlier life")
            await asyncio.sleep(0.005)
        while one._peers[other.listen].incarnation != successor.incarnation_check.incarnation:
            await asyncio.sleep(0.001)
        one.send(other.listen, Channel.REPLICATION, b"for this life")
        received = await inbox.next()
        await one.stop()
        await successor.stop()
        assert received[1] == b"for this life", "a frame for a previous incarnation was accepted"

    run(work)


def test_frames_for_previous_incarnation_are_dropped_until_sender_learns_new_one() -> None:
    send_until_new_incarnation_is_known()


def test_transport_that_accepts_any_incarnation_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted fault: the incarnation check counts a frame for another incarnation, but accepts the frame."""

    def count_and_accept(check: IncarnationCheck, addressed_incarnation: int) -> bool:
        check.dropped += addressed_incarnation != check.incarnation
        return True

    monkeypatch.setattr(IncarnationCheck, "accepts", count_and_accept)
    with pytest.raises(AssertionError, match="a frame for a previous incarnation was accepted"):
        send_until_new_incarnation_is_known()


# --- probes ---------------------------------------------------------------------------------------


def make_monitoring() -> tuple[Monitoring, Address, int]:
    """Return a node's monitoring of one member, the address of that member, and the number of the first probe."""
    me, other = (
        NodeLocation(f"n{number}/control", Address(f"10.0.0.{number}", PORT), "z", "r", True) for number in (1, 2)
    )
    monitoring = Monitoring(me, MonitoringParameters(), 0)
    monitoring.set_members(0, [KnownMember(member, 1, MemberStatus.ALIVE) for member in (me, other)])
    probes = [action for action in monitoring.tick(SECOND, has_majority=True) if isinstance(action, SendPing)]
    return monitoring, other.address, probes[0].number


def test_answer_to_old_probe_does_not_make_target_responsive() -> None:
    """Guards against a late answer to an old probe that hides that the target no longer answers."""
    monitoring, address, number = make_monitoring()
    monitoring.on_answer(SECOND, address, number)
    now = SECOND
    while now < 10 * SECOND:
        now += monitoring.parameters.ping_interval
        monitoring.on_received(now)
        monitoring.tick(now, has_majority=False)
    assert monitoring.is_unresponsive("n2/control")
    monitoring.on_answer(now, address, number)
    assert monitoring.is_unresponsive("n2/control")
    assert monitoring.stale_answers == 1
    newest = monitoring.tick(now + monitoring.parameters.ping_interval, has_majority=False)[-1]
    assert isinstance(newest, SendPing)
    monitoring.on_answer(now + SECOND, address, newest.number)
    assert not monitoring.is_unresponsive("n2/control")


def test_answer_to_probe_of_previous_incarnation_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        settings = ProcessSettings(
            node="core-1", role="control-plane", node_class="core", serves=("control",), ip=IPS[0], zone="z",
            region="r", port_range=(PORT, PORT + 9), seeds=(),
        )  # fmt: skip
        node = ClusterNode(settings, is_control=True)
        answered: list[int] = []
        monkeypatch.setattr(node._core, "on_answer", lambda now, sender, number: answered.append(number))
        for number, incarnation in enumerate(
            (node.transport.incarnation_check.incarnation + 2, node.transport.incarnation_check.incarnation)
        ):
            answer = membership_pb2.Probe(is_answer=True, number=number, life=incarnation)
            node._on_datagram(Address(IPS[1], PORT), answer.SerializeToString())
        assert answered == [1]
        assert node.transport.incarnation_check.dropped == 1

    run(work)
