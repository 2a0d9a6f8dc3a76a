"""Snapshots sent in chunks: lost and damaged chunks, another source, slow links, and concurrent changes."""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

import pytest

from canvasbeam.control_plane.changes import apply
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication import snapshots
from canvasbeam.replication.candidate import Candidate
from canvasbeam.replication.control_state import Change, ChangeKind, Committed, ControlState
from canvasbeam.replication.messages import Chunk, FetchChunk, Fetched, Install, Send, SnapshotId
from canvasbeam.replication.snapshots import (
    CHUNK_RETRY_NS,
    INITIAL_CHUNKS_IN_FLIGHT,
    SNAPSHOT_IDLE_NS,
    SnapshotReceiver,
    SnapshotSource,
)
from canvasbeam.replication.views import Epoch, MemberId, Position
from tests.replication.test_replication_times import (
    SECOND,
    is_complete,
    primary_of,
    time_until_acknowledged,
    time_until_complete,
)
from tests.support.replication_simulation import STEP_NS, TagCodec
from tests.support.slow_links import FIVE_MBIT, SlowLinkSimulation

EPOCH = Epoch(3, MemberId("10.0.0.1/0"))
PIECE = 100
CODEC = TagCodec(1000)
STATE = ControlState(index=2, evacuated_zones=("t1", "t2"))
LARGE = 4 << 20
PASSAGE = LARGE * SECOND // FIVE_MBIT  # nanoseconds to send a state of `LARGE` bytes over a slow link


def offer_of(source: SnapshotSource, state: ControlState = STATE, epoch: Epoch = EPOCH) -> Install:
    return Install(epoch, Position(epoch, state.index), source.offer(state))


def pair() -> tuple[SnapshotSource, SnapshotReceiver]:
    return SnapshotSource(CODEC, PIECE), SnapshotReceiver(CODEC, PIECE)


def chunks_for(source: SnapshotSource, sends: list[Send]) -> list[Chunk]:
    wanted = [send.message for send in sends]
    assert all(isinstance(name, FetchChunk) for name in wanted)
    found = [source.chunk(name) for name in wanted if isinstance(name, FetchChunk)]
    return [chunk for chunk in found if chunk is not None]


def collect(source: SnapshotSource, receiver: SnapshotReceiver, sends: list[Send], now: int) -> Install | Fetched:
    """Answer chunk requests until the snapshot is complete; return the message that waited for the snapshot."""
    while sends:
        for chunk in chunks_for(source, sends):
            complete = receiver.take_chunk(chunk, now)
            if complete is not None:
                return complete[1]
        sends = receiver.tick(now)
    raise AssertionError("the receiver requests no more chunks although the snapshot is incomplete")


def test_a_small_state_goes_whole_and_a_large_one_by_its_id() -> None:
    assert SnapshotSource(TagCodec(10), PIECE).offer(STATE) is STATE
    assert isinstance(SnapshotSource(CODEC, PIECE).offer(STATE), SnapshotId)


def test_all_pieces_make_the_state_again() -> None:
    source, receiver = pair()
    sends = receiver.take_offer(MemberId("a"), offer_of(source), 0)
    assert len(sends) == INITIAL_CHUNKS_IN_FLIGHT
    assert collect(source, receiver, sends, 0) == replace(offer_of(source), state=STATE)
    assert receiver.received_bytes == 0


def test_a_lost_piece_is_asked_for_again_alone() -> None:
    source, receiver = pair()
    sends = receiver.take_offer(MemberId("a"), offer_of(source), 0)
    lost, *others = chunks_for(source, sends)
    for chunk in others:
        receiver.take_chunk(chunk, 0)
    more = receiver.tick(CHUNK_RETRY_NS - 1)
    assert FetchChunk(lost.snapshot, lost.number) not in [entry.message for entry in more]
    for chunk in chunks_for(source, more):
        receiver.take_chunk(chunk, CHUNK_RETRY_NS - 1)
    again = receiver.tick(CHUNK_RETRY_NS)
    assert FetchChunk(lost.snapshot, lost.number) in [repeat.message for repeat in again]
    assert collect(source, receiver, again, CHUNK_RETRY_NS).state == STATE


Damage = Callable[[Chunk], Chunk]


@pytest.mark.parametrize(
    "damage",
    [
        lambda chunk: replace(chunk, data=chunk.data[:-1] + b"?"),
        lambda chunk: replace(chunk, data=chunk.data[:-1]),
        lambda chunk: replace(chunk, number=99),
        lambda chunk: replace(chunk, number=-1),
        lambda chunk: replace(chunk, snapshot=replace(chunk.snapshot, size=7)),
    ],
)
def test_a_damaged_piece_is_not_kept(damage: Damage) -> None:
    source, receiver = pair()
    sends = receiver.take_offer(MemberId("a"), offer_of(source), 0)
    receiver.take_chunk(damage(chunks_for(source, sends)[0]), 0)
    assert receiver.received_bytes == 0


def test_pieces_that_do_not_make_the_snapshot_that_was_offered_are_dropped() -> None:
    source, receiver = pair()
    offer = offer_of(source)
    for chunk in chunks_for(source, receiver.take_offer(MemberId("a"), offer, 0)):
        other = bytes(len(chunk.data))
        receiver.take_chunk(replace(chunk, data=other, checksum=zlib.crc32(other)), 0)
    with pytest.raises(AssertionError):
        collect(source, receiver, receiver.tick(0), 0)
    assert receiver.received_bytes == 0
    assert collect(source, receiver, receiver.take_offer(MemberId("a"), offer, 0), 0).state == STATE


def test_pieces_are_kept_when_another_source_offers_the_same_state() -> None:
    source, receiver = pair()
    for chunk in chunks_for(source, receiver.take_offer(MemberId("a"), offer_of(source), 0)):
        receiver.take_chunk(chunk, 0)
    held = receiver.received_bytes
    second = SnapshotSource(CODEC, PIECE)
    offer = offer_of(second, epoch=replace(EPOCH, number=4))
    sends = receiver.take_offer(MemberId("b"), offer, 0)
    assert held == INITIAL_CHUNKS_IN_FLIGHT * PIECE == receiver.received_bytes
    assert {send.to for send in sends} == {"b"}
    assert collect(second, receiver, sends, 0) == replace(offer, state=STATE)


def test_another_state_begins_anew_and_an_older_offer_changes_nothing() -> None:
    source, receiver = pair()
    old = offer_of(source)
    for chunk in chunks_for(source, receiver.take_offer(MemberId("a"), old, 0)):
        receiver.take_chunk(chunk, 0)
    newer = ControlState(index=3, evacuated_zones=("t1", "t2", "t3"))
    sends = receiver.take_offer(MemberId("a"), offer_of(source, newer), 0)
    assert receiver.received_bytes == 0
    assert receiver.take_offer(MemberId("a"), old, 0) == []
    assert collect(source, receiver, sends, 0).state == newer


def test_an_unfinished_snapshot_is_dropped_when_nothing_comes_any_more() -> None:
    source, receiver = pair()
    for chunk in chunks_for(source, receiver.take_offer(MemberId("a"), offer_of(source), 0)):
        receiver.take_chunk(chunk, 0)
    assert receiver.tick(SNAPSHOT_IDLE_NS + 1) == []
    assert receiver.received_bytes == 0


def test_a_source_keeps_few_snapshots() -> None:
    source = SnapshotSource(CODEC, PIECE)
    for index in range(20):
        source.offer(ControlState(index=index))
    assert len(source._cached) == snapshots.MAX_CACHED_SNAPSHOTS
    source.tick(0)
    source.tick(SNAPSHOT_IDLE_NS)
    assert source._cached
    source.tick(SNAPSHOT_IDLE_NS + 1)
    assert not source._cached


# --- over slow links ----------------------------------------------------------------------------------------------


def slow(machines: int = 3, tolerated: int = 1) -> SlowLinkSimulation:
    simulation = SlowLinkSimulation(machines, tolerated, state_bytes=LARGE)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, 2 * SECOND)
    assert is_complete(simulation)
    return simulation


def highest_promise(simulation: SlowLinkSimulation) -> int:
    return max(machine.durable.promised.number for machine in simulation.machines.values())


def wipe_a_backup(simulation: SlowLinkSimulation) -> str:
    ip = next(machine for machine in simulation.machines if machine != primary_of(simulation))
    simulation.wipe(ip)
    simulation.run_between_regions(SECOND)
    simulation.start(ip)
    return ip


def leave_a_backup_behind(simulation: SlowLinkSimulation) -> None:
    ip = next(machine for machine in simulation.machines if machine != primary_of(simulation))
    simulation.crash(ip, keep_unsynced=False)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, SECOND)
    simulation.start(ip)


@pytest.mark.parametrize(
    ("change_bytes", "steps_between"), [(0, 4), (10_000, 10), (20_000, 2), (50_000, 6), (100_000, 12)]
)
@pytest.mark.parametrize("is_new", [True, False])
def test_changes_go_on_while_a_member_catches_up_over_a_slow_link(
    change_bytes: int, steps_between: int, is_new: bool
) -> None:
    simulation = slow()
    if is_new:
        wipe_a_backup(simulation)
    else:
        leave_a_backup_behind(simulation)
    simulation.change_bytes = change_bytes
    simulation.acknowledgement_times_ns.clear()
    simulation.answers.clear()
    began = simulation.now
    while not is_complete(simulation):
        assert simulation.now - began < 4 * PASSAGE, simulation.describe()
        simulation.run_with_changes(steps_between * STEP_NS, steps_between)
    assert simulation.now - began > PASSAGE // 2  # the link limited the transfer
    simulation.change_bytes = 0
    simulation.run_between_regions(2 * SECOND)
    assert all(isinstance(answer, Committed) for _, answer in simulation.answers)
    assert len(simulation.acknowledgement_times_ns) >= PASSAGE // STEP_NS // steps_between - 1
    assert max(simulation.acknowledgement_times_ns) < SECOND
    simulation.recover()


def test_a_snapshot_survives_lost_pieces() -> None:
    member_joins_although_chunks_are_lost()


def test_a_piece_lost_for_ever_is_found() -> None:
    """Planted fault: a chunk that was requested once is never requested again."""
    never = mock.patch.object(snapshots, "CHUNK_RETRY_NS", 1 << 62)
    with never, pytest.raises(AssertionError):
        member_joins_although_chunks_are_lost()


def member_joins_although_chunks_are_lost() -> None:
    simulation = slow()
    simulation.lose_one_chunk_in = 9
    wipe_a_backup(simulation)
    time_until_complete(simulation, 2 * PASSAGE)


def test_a_large_state_is_installed_when_nothing_else_is_left() -> None:
    the_rest_must_install_a_large_state()


def test_a_stage_that_does_not_wait_for_pieces_is_found() -> None:
    """Planted fault: chunks in flight do not count as progress of a candidate."""
    stubborn = mock.patch.object(Candidate, "record_progress", lambda self, now: None)
    with stubborn, pytest.raises(AssertionError):
        the_rest_must_install_a_large_state()


def the_rest_must_install_a_large_state() -> None:
    """The primary is lost while an outdated backup returns: the other backup must install the large state there."""
    simulation = slow()
    primary = primary_of(simulation)
    behind, other = (machine for machine in simulation.machines if machine != primary)
    simulation.crash(behind, keep_unsynced=False)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, SECOND)
    simulation.crash(primary, keep_unsynced=False)
    simulation.start(behind)
    simulation.run_between_regions(2 * SECOND)
    before = highest_promise(simulation)
    time_until_acknowledged(simulation, PASSAGE + 4 * SECOND)
    assert highest_promise(simulation) == before  # one candidacy was enough
    assert simulation.primary() == other
    simulation.recover()


def test_the_rest_of_five_keeps_calm_while_one_of_them_is_brought_up_to_date() -> None:
    simulation = slow(5, 2)
    primary = primary_of(simulation)
    behind, lost, *_ = (machine for machine in simulation.machines if machine != primary)
    for ip in (behind, lost):
        simulation.crash(ip, keep_unsynced=False)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, SECOND)
    simulation.crash(primary, keep_unsynced=False)
    simulation.run_between_regions(SECOND)
    simulation.start(behind)
    simulation.run_between_regions(2 * SECOND)
    before = highest_promise(simulation)
    time_until_acknowledged(simulation, PASSAGE + 4 * SECOND)
    assert highest_promise(simulation) == before  # no other member became a candidate meanwhile


def test_a_failover_does_not_wait_for_a_member_that_it_can_do_without() -> None:
    simulation = slow(5, 2)
    primary = primary_of(simulation)
    behind = next(machine for machine in simulation.machines if machine != primary)
    simulation.crash(behind, keep_unsynced=False)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, SECOND)
    simulation.start(behind)
    simulation.run_between_regions(SECOND)
    simulation.crash(primary, keep_unsynced=False)
    assert time_until_acknowledged(simulation, 2 * SECOND) < 2 * SECOND
    new = primary_of(simulation)
    view = simulation.machines[new].durable.accepted
    assert view is not None
    assert simulation.machines[behind].me not in view.replicas
    simulation.run_between_regions(PASSAGE + 3 * SECOND)
    view = simulation.machines[new].durable.accepted
    assert view is not None
    assert simulation.machines[behind].me in view.replicas


@pytest.mark.parametrize("is_new", [True, False])
def test_a_member_joins_over_a_quick_link_under_many_large_changes(is_new: bool) -> None:
    simulation = SlowLinkSimulation(state_bytes=LARGE, bytes_a_second=FIVE_MBIT * 200)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, 2 * SECOND)
    if is_new:
        wipe_a_backup(simulation)
    else:
        leave_a_backup_behind(simulation)
    simulation.change_bytes = 100_000
    began = simulation.now
    while not is_complete(simulation):
        assert simulation.now - began < 4 * SECOND, simulation.describe()
        simulation.run_with_changes(STEP_NS, 1)


def test_a_burst_of_large_changes_over_a_slow_link_does_not_change_the_view() -> None:
    simulation = SlowLinkSimulation(state_bytes=0)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, 2 * SECOND)
    before = highest_promise(simulation)
    simulation.change_bytes = 100_000
    primary = primary_of(simulation)
    tags = [simulation.submit(primary) for _ in range(8)]
    simulation.run_between_regions(3 * SECOND)
    assert simulation.acknowledged.issuperset(tags)
    assert highest_promise(simulation) == before


def test_more_pieces_are_asked_for_at_a_time_on_a_quick_link() -> None:
    simulation = SlowLinkSimulation(state_bytes=LARGE, bytes_a_second=FIVE_MBIT * 200)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, 2 * SECOND)
    wipe_a_backup(simulation)
    assert time_until_complete(simulation, 10 * SECOND) < 3 * SECOND


# --- recognition of repeated changes ------------------------------------------------------------------------------


def order(number: int) -> Change:
    """Return a change to generation `number`, with the same services each time, so that a digest finds repeats."""
    services = [{"name": f"s{place}", "health_check": f"/{number}/{place}"} for place in range(50)]
    body = json.dumps({"generation": number, "routes": [], "services": services}).encode()
    return Change(ChangeKind.PUT_CONFIGURATION, body, number - 1)


def state_after(count: int) -> ControlState:
    state = ControlState()
    for number in range(1, count + 1):
        outcome = apply(state, order(number))
        assert isinstance(outcome, ControlState)
        state = outcome
    return state


def passed_in_chunks(state: ControlState, encode: Callable[[ControlState], bytes]) -> ControlState:
    codec = ControlStateCodec(encode, decode_state)
    source, receiver = SnapshotSource(codec, PIECE), SnapshotReceiver(codec, PIECE)
    offer = Install(EPOCH, Position(EPOCH, state.index), source.offer(state))
    received = collect(source, receiver, receiver.take_offer(MemberId("a"), offer, 0), 0).state
    assert isinstance(received, ControlState)
    return received


def test_a_snapshot_carries_what_decides_repeats() -> None:
    received = passed_in_chunks(state_after(5), encode_state)
    assert received == state_after(5)
    for number in range(1, 6):
        assert apply(received, order(number)) is received
    refused = apply(received, replace(order(4), if_match=1))
    assert isinstance(refused, Failure)
    assert refused.code is ResultCode.CONFIG_STALE_MATCH


def test_a_snapshot_without_the_taken_orders_would_refuse_one_that_was_taken() -> None:
    """Planted fault: the snapshot lacks the digests of the changes that were applied."""
    received = passed_in_chunks(state_after(5), lambda state: encode_state(replace(state, applied_change_keys=())))
    assert isinstance(apply(received, order(3)), Failure)


def test_a_backup_is_lost_while_the_third_member_catches_up() -> None:
    simulation = slow()
    primary = primary_of(simulation)
    behind, lost = (machine for machine in simulation.machines if machine != primary)
    simulation.crash(behind, keep_unsynced=False)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, SECOND)
    simulation.start(behind)
    simulation.run_between_regions(SECOND)
    simulation.crash(lost, keep_unsynced=False)
    time_until_acknowledged(simulation, PASSAGE + 4 * SECOND)
    simulation.recover()
