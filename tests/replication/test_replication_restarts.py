"""A member that returns after many changes never leads with outdated state, and catches up."""

from __future__ import annotations

import random
from functools import cache
from unittest import mock

import pytest

from canvasbeam.control_plane.changes import apply
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.member_records import LoadedMember, RecordWriter, load_member
from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.replication.candidate import Candidate, Phase
from canvasbeam.replication.control_state import Change, ChangeKind, ControlState
from canvasbeam.replication.durable_state import DurableState
from canvasbeam.replication.messages import (
    Install,
    Installed,
    Promise,
    SaveChange,
    SaveInstalled,
    SaveWitness,
    Send,
)
from canvasbeam.replication.replica import Replica
from canvasbeam.replication.responder import Responder
from canvasbeam.replication.snapshots import SnapshotSource
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import Epoch, MemberId, Position, View, member_ip
from canvasbeam.replication.witness import Witness
from canvasbeam.storage.frames import Updates
from canvasbeam.storage.store import MAX_LOG_BYTES, Store, open_store
from tests.replication.test_replication_long_lives import submit_many
from tests.replication.test_replication_times import (
    REJOIN_LIMIT,
    SECOND,
    primary_of,
    started,
    time_until_acknowledged,
    time_until_complete,
)
from tests.support.model_disk import ModelDisk, PowerLostError
from tests.support.replication_simulation import ReplicationSimulation

MISSED_CHANGES = 300


def backups(simulation: ReplicationSimulation) -> list[str]:
    return [ip for ip in simulation.machines if ip != primary_of(simulation)]


# --- returns after many changes -----------------------------------------------------------------------------------


def test_a_member_that_missed_hundreds_of_changes_is_a_replica_again() -> None:
    simulation = started()
    late = backups(simulation)[0]
    simulation.crash(late, keep_unsynced=False)
    simulation.run_between_regions(2 * SECOND)
    submit_many(simulation, MISSED_CHANGES)
    simulation.start(late)
    time_until_complete(simulation, REJOIN_LIMIT)
    simulation.recover()


def test_a_member_behind_hundreds_of_changes_does_not_lead_when_the_primary_is_lost() -> None:
    simulation = started()
    late, other = backups(simulation)
    simulation.crash(late, keep_unsynced=False)
    simulation.run_between_regions(2 * SECOND)
    submit_many(simulation, MISSED_CHANGES)
    simulation.crash(primary_of(simulation), keep_unsynced=False)
    simulation.start(late)
    time_until_acknowledged(simulation, 4 * SECOND)
    assert simulation.primary() == other
    simulation.recover()


def test_members_with_outdated_disks_alone_elect_no_primary() -> None:
    """The three of five members that hold the last 300 changes are down: the other two must wait for one of them."""
    simulation = started(machines=5, tolerated=2)
    old = backups(simulation)[:2]
    for ip in old:
        simulation.crash(ip, keep_unsynced=False)
    simulation.run_between_regions(3 * SECOND)
    submit_many(simulation, MISSED_CHANGES)
    new = [ip for ip in simulation.machines if ip not in old]
    for ip in new:
        simulation.crash(ip, keep_unsynced=False)
    for ip in old:
        simulation.start(ip)
    simulation.run_between_regions(3 * SECOND)
    assert simulation.primary() is None
    simulation.start(new[0])
    time_until_acknowledged(simulation, 4 * SECOND)
    simulation.recover()


def test_member_that_restarts_repeatedly_catches_up() -> None:
    simulation = started()
    late = backups(simulation)[0]
    for _ in range(5):
        simulation.crash(late, keep_unsynced=False)
        simulation.run_between_regions(SECOND)
        submit_many(simulation, 50)
        simulation.start(late)
        simulation.run_between_regions(SECOND // 5)
    time_until_complete(simulation, REJOIN_LIMIT)
    simulation.recover()


# --- a member that is catching up provides no state for a view ----------------------------------------------------


def test_a_member_that_was_catching_up_does_not_lead_with_old_state() -> None:
    check_no_primary_without_replicas()


def any_source_of_base_view(self: Candidate) -> MemberId | None:
    """Planted fault: take any member with a state of the base view as source, even one that was only catching up."""
    usable = {
        member: promise for member, promise in self._promises.items() if promise.position.epoch >= self.base.epoch
    }
    return max(usable, key=lambda member: (usable[member].position.epoch, usable[member].position.index), default=None)


def test_leading_with_an_old_snapshot_is_detected() -> None:
    with mock.patch.object(Candidate, "_best_source", any_source_of_base_view), pytest.raises(AssertionError):
        check_candidate_waits_for_replica()


def test_a_candidate_waits_for_a_replica_of_the_view() -> None:
    check_candidate_waits_for_replica()


def check_candidate_waits_for_replica() -> None:
    """A candidate with the promises of three of five voters must wait until a replica of the base view promises too.

    Of the three voters, one was catching up in the base view, and two have states of an older view.
    """
    one, two, three, four, five = (MemberId(f"10.0.0.{number}/0") for number in range(1, 6))
    voters = (one, two, three, four, five)
    base = View(Epoch(4, one), one, (one, two), voters, voters)
    attempt = Epoch(6, four)
    planned = View(attempt, four, (four, three, two), voters, voters)
    candidate = Candidate(
        four,
        base,
        True,
        number=attempt.number,
        plan=lambda *_: planned,
        is_alive=lambda *_: True,
        timing=ReplicationTiming(answer_grace_ns=0),
        snapshots=SnapshotSource(None),
    )
    candidate.begin(False, 0)
    promises = {three: Position(base.epoch, 3), four: Position(Epoch(2, one), 1), five: Position(Epoch(2, one), 1)}
    for member, position in promises.items():
        candidate.handle(member, Promise(attempt, base, True, position, True), 0)
    assert candidate.phase is Phase.PREPARING
    candidate.handle(two, Promise(attempt, base, True, Position(base.epoch, 9), True), 0)
    assert candidate.source == two


def check_no_primary_without_replicas() -> None:
    """Check that no member leads after both replicas of a view of five members are lost.

    A third member has an old snapshot of that view, and two members with older state return.
    """
    simulation = ReplicationSimulation(5, 1)
    simulation.run(30)
    primary = primary_of(simulation)
    third, second, *old = backups(simulation)
    for ip in old:
        simulation.crash(ip, keep_unsynced=False)
    simulation.set_healthy(third, False)
    simulation.run(40)
    view = simulation.machines[primary].durable.accepted
    assert view is not None
    assert {member_ip(replica) for replica in view.replicas} == {primary, second}
    submit_many(simulation, 1)
    simulation.set_healthy(third, True)
    while simulation.machines[third].durable.installed != view.epoch:
        simulation.run(1)
    simulation.set_healthy(third, False)  # before this member becomes a replica
    for _ in range(20):
        submit_many(simulation, 1)
        simulation.run(1)
    assert len(simulation.machines[third].durable.state.evacuated_zones) < len(simulation.acknowledged)
    for ip in (primary, second):
        simulation.crash(ip, keep_unsynced=False)
    for ip in old:
        simulation.start(ip)
    simulation.run(60)
    leader = simulation.primary()
    if leader is not None:
        simulation.submit(leader)
        simulation.run(20)
    assert leader is None
    simulation.end_faults()
    simulation.run(60)
    tag = simulation.submit(primary_of(simulation))
    simulation.settle()
    assert tag in simulation.acknowledged  # the simulation also checks that no acknowledged change is missing


def test_late_duplicate_of_an_install_does_not_revert_a_replica() -> None:
    epoch = Epoch(4, MemberId("10.0.0.1/0"))
    earlier, later = (ControlState(index=index) for index in (3, 5))
    replica = Replica(apply, epoch, later, 0)
    responder = Responder(Witness(epoch, None, False), replica, SnapshotSource(None))
    install = Install(epoch, Position(epoch, earlier.index), earlier)
    answers = responder.answer(MemberId("10.0.0.1/0"), install, True)
    assert replica.state is later
    assert answers == [Send(MemberId("10.0.0.1/0"), Installed(epoch, stored=True, index=later.index))]


# --- power lost while a snapshot is written -----------------------------------------------------------------------

BEFORE = Epoch(3, MemberId("10.0.0.1/0"))
AFTER = Epoch(9, MemberId("10.0.0.3/0"))
ME = MemberId("10.0.0.2/x")


def codec() -> ControlStateCodec:
    return ControlStateCodec(encode_state, decode_state)


def saved_changes(count: int) -> list[SaveChange]:
    saves: list[SaveChange] = []
    state = ControlState()
    for number in range(count):
        change = Change(ChangeKind.START_EVACUATION, zone=f"zone-{number}")
        outcome = apply(state, change)
        assert isinstance(outcome, ControlState)
        state = outcome
        saves.append(SaveChange(change, state))
    return saves


def opened(disk: ModelDisk) -> Store:
    store = open_store(disk)
    assert isinstance(store, Store)
    return store


def disk_with_changes() -> tuple[ModelDisk, DurableState]:
    disk = ModelDisk()
    store = opened(disk)
    writer = RecordWriter(codec(), store.values)
    store.update(writer.first(ME, DurableState(BEFORE, None, False, BEFORE)))
    saves = saved_changes(5)
    for save in saves:
        store.update(writer.updates([save]))
    return disk, DurableState(BEFORE, None, False, BEFORE, saves[-1].state)


@cache
def newer_state(size: int) -> ControlState:
    configuration = {"generation": 7, "filling": random.Random(size).randbytes(size).hex()}
    return ControlState(40, 7, configuration, 40, ("north",), 12, (b"key-of-an-order-12b!",))


@cache
def snapshot_updates(size: int) -> Updates:
    writer = RecordWriter(codec(), opened(disk_with_changes()[0]).values)
    return writer.updates([SaveWitness(AFTER, None, False), SaveInstalled(AFTER, newer_state(size))])


@pytest.mark.parametrize("operation", range(1, 7))
@pytest.mark.parametrize("size", [10, MAX_LOG_BYTES + 4096])
def test_snapshot_is_stored_whole_or_not_at_all_after_power_loss(operation: int, size: int) -> None:
    """A power loss must not leave part of a snapshot on the disk.

    A small snapshot is one frame of the log: two disk operations. A large one is a slot and a new log header: four.
    """
    for seed in range(20):
        disk, before = disk_with_changes()
        store = opened(disk)
        disk.lose_power_at = disk.operations + operation
        finished = True
        try:
            store.update(snapshot_updates(size))
        except PowerLostError:
            finished = False
        left = opened(disk.after_power_loss(random.Random(seed)))
        loaded = load_member(left.values, codec(), apply)
        assert isinstance(loaded, LoadedMember)
        after = DurableState(AFTER, None, False, AFTER, newer_state(size))
        assert loaded.durable in ((after,) if finished else (before, after))
        assert finished == (operation > (2 if size < MAX_LOG_BYTES else 4))
