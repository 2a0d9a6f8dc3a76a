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
CHUNK_SIZE = 100
CODEC = TagCodec(1000)
STATE = ControlState(index=2, evacuated_zones=("t1", "t2"))
LARGE_STATE_BYTES = 4 << 20
TRANSFER_NS = LARGE_STATE_BYTES * SECOND // FIVE_MBIT  # time to send a large state over a slow link


def offer_of(source: SnapshotSource, state: ControlState = STATE, epoch: Epoch = EPOCH) -> Install:
    return Install(epoch, Position(epoch, state.index), source.offer(state))


def source_and_receiver() -> tuple[SnapshotSource, SnapshotReceiver]:
    return SnapshotSource(CODEC, CHUNK_SIZE), SnapshotReceiver(CODEC, CHUNK_SIZE)


def chunks_for(source: SnapshotSource, sends: list[Send]) -> list[Chunk]:
    requests = [send.message for send in sends]
    assert all(isinstance(request, FetchChunk) for request in requests)
    found = [source.chunk(request) for request in requests if isinstance(request, FetchChunk)]
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


def test_small_state_is_offered_whole_and_a_large_one_by_its_id() -> None:
    assert SnapshotSource(TagCodec(10), CHUNK_SIZE).offer(STATE) is STATE
    assert isinstance(SnapshotSource(CODEC, CHUNK_SIZE).offer(STATE), SnapshotId)


def test_all_chunks_together_restore_the_state() -> None:
    source, receiver = source_and_receiver()
    sends = receiver.take_offer(MemberId("a"), offer_of(source), 0)
    assert len(sends) == INITIAL_CHUNKS_IN_FLIGHT
    assert collect(source, receiver, sends, 0) == replace(offer_of(source), state=STATE)
    assert receiver.received_bytes == 0


def test_only_the_lost_chunk_is_requested_again() -> None:
    source, receiver = source_and_receiver()
    sends = receiver.take_offer(MemberId("a"), offer_of(source), 0)
    lost, *others = chunks_for(source, sends)
    for chunk in others:
        receiver.take_chunk(chunk, 0)
    more = receiver.tick(CHUNK_RETRY_NS - 1)
    assert FetchChunk(lost.snapshot, lost.number) not in [send.message for send in more]
    for chunk in chunks_for(source, more):
        receiver.take_chunk(chunk, CHUNK_RETRY_NS - 1)
    again = receiver.tick(CHUNK_RETRY_NS)
    assert FetchChunk(lost.snapshot, lost.number) in [send.message for send in again]
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
def test_damaged_chunk_is_dropped(damage: Damage) -> None:
    source, receiver = source_and_receiver()
    sends = receiver.take_offer(MemberId("a"), offer_of(source), 0)
    receiver.take_chunk(damage(chunks_for(source, sends)[0]), 0)
    assert receiver.received_bytes == 0


def test_chunks_that_do_not_form_the_offered_snapshot_are_dropped() -> None:
    source, receiver = source_and_receiver()
    offer = offer_of(source)
    for chunk in chunks_for(source, receiver.take_offer(MemberId("a"), offer, 0)):
        other = bytes(len(chunk.data))
        receiver.take_chunk(replace(chunk, data=other, checksum=zlib.crc32(other)), 0)
    with pytest.raises(AssertionError):
        collect(source, receiver, receiver.tick(0), 0)
    assert receiver.received_bytes == 0
    assert collect(source, receiver, receiver.take_offer(MemberId("a"), offer, 0), 0).state == STATE


def test_chunks_are_kept_when_another_source_offers_the_same_state() -> None:
    source, receiver = source_and_receiver()
    for chunk in chunks_for(source, receiver.take_offer(MemberId("a"), offer_of(source), 0)):
        receiver.take_chunk(chunk, 0)
    held = receiver.received_bytes
    second = SnapshotSource(CODEC, CHUNK_SIZE)
    offer = offer_of(second, epoch=replace(EPOCH, number=4))
    sends = receiver.take_offer(MemberId("b"), offer, 0)
    assert held == INITIAL_CHUNKS_IN_FLIGHT * CHUNK_SIZE == receiver.received_bytes
    assert {send.to for send in sends} == {"b"}
    assert collect(second, receiver, sends, 0) == replace(offer, state=STATE)


def test_newer_offer_restarts_the_transfer_and_an_older_one_is_ignored() -> None:
    source, receiver = source_and_receiver()
    old = offer_of(source)
    for chunk in chunks_for(source, receiver.take_offer(MemberId("a"), old, 0)):
        receiver.take_chunk(chunk, 0)
    newer = ControlState(index=3, evacuated_zones=("t1", "t2", "t3"))
    sends = receiver.take_offer(MemberId("a"), offer_of(source, newer), 0)
    assert receiver.received_bytes == 0
    assert receiver.take_offer(MemberId("a"), old, 0) == []
    assert collect(source, receiver, sends, 0).state == newer


def test_incomplete_snapshot_is_dropped_after_the_idle_time() -> None:
    source, receiver = source_and_receiver()
    for chunk in chunks_for(source, receiver.take_offer(MemberId("a"), offer_of(source), 0)):
        receiver.take_chunk(chunk, 0)
    assert receiver.tick(SNAPSHOT_IDLE_NS + 1) == []
    assert receiver.received_bytes == 0


def test_source_bounds_its_cached_snapshots() -> None:
    source = SnapshotSource(CODEC, CHUNK_SIZE)
    for index in range(20):
        source.offer(ControlState(index=index))
    assert len(source._cached) == snapshots.MAX_CACHED_SNAPSHOTS
    source.tick(0)
    source.tick(SNAPSHOT_IDLE_NS)
    assert source._cached
    source.tick(SNAPSHOT_IDLE_NS + 1)
    assert not source._cached


# --- over slow links ----------------------------------------------------------------------------------------------


def slow_simulation(machines: int = 3, tolerated: int = 1) -> SlowLinkSimulation:
    simulation = SlowLinkSimulation(machines, tolerated, state_bytes=LARGE_STATE_BYTES)
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


def restart_outdated_backup(simulation: SlowLinkSimulation) -> None:
    ip = next(machine for machine in simulation.machines if machine != primary_of(simulation))
    simulation.crash(ip, keep_unsynced=False)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, SECOND)
    simulation.start(ip)


@pytest.mark.parametrize(
    ("change_bytes", "steps_between"), [(0, 4), (10_000, 10), (20_000, 2), (50_000, 6), (100_000, 12)]
)
@pytest.mark.parametrize("is_new", [True, False])
def test_changes_are_acknowledged_while_a_member_catches_up_over_a_slow_link(
    change_bytes: int, steps_between: int, is_new: bool
) -> None:
    simulation = slow_simulation()
    if is_new:
        wipe_a_backup(simulation)
    else:
        restart_outdated_backup(simulation)
    simulation.change_bytes = change_bytes
    simulation.acknowledgement_times_ns.clear()
    simulation.answers.clear()
    began = simulation.now
    while not is_complete(simulation):
        assert simulation.now - began < 4 * TRANSFER_NS, simulation.describe()
        simulation.run_with_changes(steps_between * STEP_NS, steps_between)
    assert simulation.now - began > TRANSFER_NS // 2  # the slow link determined the duration of the transfer
    simulation.change_bytes = 0
    simulation.run_between_regions(2 * SECOND)
    assert all(isinstance(answer, Committed) for _, answer in simulation.answers)
    assert len(simulation.acknowledgement_times_ns) >= TRANSFER_NS // STEP_NS // steps_between - 1
    assert max(simulation.acknowledgement_times_ns) < SECOND
    simulation.recover()


def test_snapshot_transfer_survives_lost_chunks() -> None:
    check_member_joins_despite_lost_chunks()


def test_missing_repeat_of_chunk_requests_is_detected() -> None:
    """Planted fault: a chunk that was requested once is never requested again."""
    without_repeats = mock.patch.object(snapshots, "CHUNK_RETRY_NS", 1 << 62)
    with without_repeats, pytest.raises(AssertionError):
        check_member_joins_despite_lost_chunks()


def check_member_joins_despite_lost_chunks() -> None:
    simulation = slow_simulation()
    simulation.lose_one_chunk_in = 9
    wipe_a_backup(simulation)
    time_until_complete(simulation, 2 * TRANSFER_NS)


def test_large_state_is_installed_after_the_loss_of_the_primary() -> None:
    check_large_state_is_installed()


def test_candidate_that_does_not_wait_for_chunks_is_detected() -> None:
    """Planted fault: chunks in flight do not count as progress of a candidate."""
    without_progress = mock.patch.object(Candidate, "record_progress", lambda self, now: None)
    with without_progress, pytest.raises(AssertionError):
        check_large_state_is_installed()


def check_large_state_is_installed() -> None:
    """The primary is lost while an outdated backup returns: the other backup must install the large state there."""
    simulation = slow_simulation()
    primary = primary_of(simulation)
    behind, other = (machine for machine in simulation.machines if machine != primary)
    simulation.crash(behind, keep_unsynced=False)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, SECOND)
    simulation.crash(primary, keep_unsynced=False)
    simulation.start(behind)
    simulation.run_between_regions(2 * SECOND)
    before = highest_promise(simulation)
    time_until_acknowledged(simulation, TRANSFER_NS + 4 * SECOND)
    assert highest_promise(simulation) == before  # a single candidacy was enough for the failover
    assert simulation.primary() == other
    simulation.recover()


def test_no_other_candidate_appears_while_one_of_five_members_catches_up() -> None:
    simulation = slow_simulation(5, 2)
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
    time_until_acknowledged(simulation, TRANSFER_NS + 4 * SECOND)
    assert highest_promise(simulation) == before  # no other member became a candidate meanwhile


def test_failover_does_not_wait_for_an_unneeded_member() -> None:
    simulation = slow_simulation(5, 2)
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
    simulation.run_between_regions(TRANSFER_NS + 3 * SECOND)
    view = simulation.machines[new].durable.accepted
    assert view is not None
    assert simulation.machines[behind].me in view.replicas


@pytest.mark.parametrize("is_new", [True, False])
def test_member_joins_over_a_fast_link_under_many_large_changes(is_new: bool) -> None:
    simulation = SlowLinkSimulation(state_bytes=LARGE_STATE_BYTES, bytes_a_second=FIVE_MBIT * 200)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, 2 * SECOND)
    if is_new:
        wipe_a_backup(simulation)
    else:
        restart_outdated_backup(simulation)
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


def test_more_chunks_are_requested_at_a_time_on_a_fast_link() -> None:
    simulation = SlowLinkSimulation(state_bytes=LARGE_STATE_BYTES, bytes_a_second=FIVE_MBIT * 200)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, 2 * SECOND)
    wipe_a_backup(simulation)
    assert time_until_complete(simulation, 10 * SECOND) < 3 * SECOND


# --- recognition of repeated changes ------------------------------------------------------------------------------


def configuration_change(number: int) -> Change:
    """Return a change to configuration `number`: service names are always the same, so only a digest finds repeats."""
    services = [{"name": f"s{place}", "health_check": f"/{number}/{place}"} for place in range(50)]
    body = json.dumps({"generation": number, "routes": [], "services": services}).encode()
    return Change(ChangeKind.PUT_CONFIGURATION, body, number - 1)


def state_after(count: int) -> ControlState:
    state = ControlState()
    for number in range(1, count + 1):
        outcome = apply(state, configuration_change(number))
        assert isinstance(outcome, ControlState)
        state = outcome
    return state


def transferred_in_chunks(state: ControlState, encode: Callable[[ControlState], bytes]) -> ControlState:
    codec = ControlStateCodec(encode, decode_state)
    source, receiver = SnapshotSource(codec, CHUNK_SIZE), SnapshotReceiver(codec, CHUNK_SIZE)
    offer = Install(EPOCH, Position(EPOCH, state.index), source.offer(state))
    received = collect(source, receiver, receiver.take_offer(MemberId("a"), offer, 0), 0).state
    assert isinstance(received, ControlState)
    return received


def test_snapshot_carries_the_keys_of_applied_changes() -> None:
    received = transferred_in_chunks(state_after(5), encode_state)
    assert received == state_after(5)
    for number in range(1, 6):
        assert apply(received, configuration_change(number)) is received
    refused = apply(received, replace(configuration_change(4), if_match=1))
    assert isinstance(refused, Failure)
    assert refused.code is ResultCode.CONFIG_STALE_MATCH


def test_snapshot_without_the_keys_of_applied_changes_refuses_a_repeat() -> None:
    """Planted fault: the snapshot lacks the digests of the changes that were applied."""
    received = transferred_in_chunks(state_after(5), lambda state: encode_state(replace(state, applied_change_keys=())))
    assert isinstance(apply(received, configuration_change(3)), Failure)


def test_a_backup_is_lost_while_the_third_member_catches_up() -> None:
    simulation = slow_simulation()
    primary = primary_of(simulation)
    behind, lost = (machine for machine in simulation.machines if machine != primary)
    simulation.crash(behind, keep_unsynced=False)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, SECOND)
    simulation.start(behind)
    simulation.run_between_regions(SECOND)
    simulation.crash(lost, keep_unsynced=False)
    time_until_acknowledged(simulation, TRANSFER_NS + 4 * SECOND)
    simulation.recover()
