"""Random walks over the replication protocol with injected faults, and planted bugs that the checks must detect.

`EXPLORER_WALKS` sets the number of walks; the default number takes seconds.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from unittest import mock

import pytest

from canvasbeam.replication import durability
from canvasbeam.replication.candidate import Candidate
from canvasbeam.replication.control_state import Committed
from canvasbeam.replication.durable_state import DurableState
from canvasbeam.replication.messages import AFTER_SYNC, Action, Appended, Fetched, Install, Promise, Reply
from canvasbeam.replication.primary import Primary
from canvasbeam.replication.views import MemberId, genesis_view
from canvasbeam.replication.witness import Witness
from tests.support.replication_simulation import STEP_NS, InvariantError, RandomWalk, ReplicationSimulation

WALKS = int(os.environ.get("EXPLORER_WALKS", "40"))
STEPS = 250


@pytest.mark.parametrize("seed", range(WALKS))
def test_random_walk_of_three_machines(seed: int) -> None:
    """The invariants hold under random faults on three machines, of which one may be lost."""
    RandomWalk(seed).run(STEPS)


@pytest.mark.parametrize("seed", range(WALKS // 4))
def test_random_walk_of_five_machines_with_two_losses(seed: int) -> None:
    """The invariants hold under random faults on five machines, of which two may be lost."""
    RandomWalk(seed, machines=5, tolerated=2).run(STEPS)


# --- planted faults -----------------------------------------------------------------------------------------------


def read_without_confirmation(self: Primary, call: int, now: int) -> list[Action]:
    """Answer a read without the confirmation of a quorum."""
    return [Reply(call, Committed(self._replica.state_at(self._committed)))]


def commit_without_other_replicas(self: Primary, now: int) -> list[Action]:
    """Commit a change that only the primary itself has stored."""
    committed = self._progress[self.me].flow.index
    if committed <= self._committed:
        return []
    self._committed = committed
    return self._answer() + self._publish() + self.new_round(now)


def source_of_first_promise(self: Candidate) -> MemberId | None:
    """Return the member that promised first, whether or not its state is the newest."""
    return next(iter(self._promises), None)


def wipe_but_keep_member_id(self: ReplicationSimulation, ip: str) -> None:
    """Wipe the disk of a machine but keep its member ID, so that the machine votes without its earlier promises."""
    self.crash(ip, keep_unsynced=False)
    self.machines[ip].durable = DurableState.genesis(genesis_view(self.seed_ips))


def after_sync_except(*messages: type) -> tuple[type, ...]:
    """Return `AFTER_SYNC` without the given message types, which are then sent before their state is durable."""
    return tuple(message for message in AFTER_SYNC if message not in messages)


FaultPatch = Callable[[], AbstractContextManager[object]]
FAULTS_DETECTED_BY_WALKS: dict[str, FaultPatch] = {
    "all messages are sent before their sync": lambda: mock.patch.object(durability, "AFTER_SYNC", ()),
    "a change is confirmed before its sync": lambda: mock.patch.object(
        durability, "AFTER_SYNC", after_sync_except(Appended)
    ),
    "a change is committed without the other replicas": lambda: mock.patch.object(
        Primary, "_commit", commit_without_other_replicas
    ),
    "the state is copied from any replica": lambda: mock.patch.object(
        Candidate, "_best_source", source_of_first_promise
    ),
}


@pytest.mark.parametrize("fault", FAULTS_DETECTED_BY_WALKS)
def test_random_walks_detect_planted_fault(fault: str) -> None:
    """Random walks that pass with a planted fault would check nothing."""
    with FAULTS_DETECTED_BY_WALKS[fault](), pytest.raises(InvariantError):
        for seed in range(200):
            RandomWalk(seed).run(STEPS)


def test_resumed_primary_answers_no_outdated_read() -> None:
    """A primary that was suspended while another machine took over must not answer a read from its outdated state."""
    read_from_resumed_primary(ReplicationSimulation())


def test_read_without_confirmation_is_detected() -> None:
    """The checks detect a read that a former primary answers from its outdated state."""
    with mock.patch.object(Primary, "read", read_without_confirmation), pytest.raises(InvariantError):
        read_from_resumed_primary(ReplicationSimulation())


def read_from_resumed_primary(simulation: ReplicationSimulation) -> None:
    """Suspend the primary until another takes over, then send the old primary a read before its next tick."""
    simulation.run(20)
    old = simulation.primary()
    assert old is not None
    simulation.frozen.add(old)
    simulation.now += 2_000_000_000
    acknowledge(simulation, simulation.submit)
    simulation.frozen.clear()
    simulation.read(old)
    simulation.submit(old)
    simulation.run(60)


def test_wiped_machine_does_not_vote() -> None:
    """A machine without its disk must not vote, because its earlier promises and changes are lost."""
    wiped_machine_and_outdated_replica(ReplicationSimulation())


def test_wiped_witness_that_votes_is_detected() -> None:
    """The checks detect the loss of a change after a wiped machine voted under its old member ID."""
    with mock.patch.object(ReplicationSimulation, "wipe", wipe_but_keep_member_id), pytest.raises(InvariantError):
        wiped_machine_and_outdated_replica(ReplicationSimulation())


def wiped_machine_and_outdated_replica(simulation: ReplicationSimulation) -> None:
    """Of three machines, one missed a change, one is down and one was wiped: no primary may lead without the change."""
    simulation.run(20)
    first, second, outdated = simulation.machines
    assert simulation.primary() == first
    simulation.partition(first, outdated)
    simulation.partition(second, outdated)
    simulation.run(30)
    acknowledge(simulation, simulation.submit)
    simulation.crash(second, keep_unsynced=False)
    simulation.wipe(first)
    simulation.partitions.clear()
    simulation.start(first)
    simulation.run(60)
    primary = simulation.primary()
    if primary is not None:
        simulation.submit(primary)
        simulation.run(20)
    simulation.recover()


def test_promise_fences_the_previous_primary() -> None:
    """After a replica has promised to a candidate, the previous primary must not commit a change with that replica."""
    replica_promises_to_a_candidate(ReplicationSimulation())


def test_accepted_lower_epoch_is_detected() -> None:
    """The checks detect a witness that accepts messages of an epoch lower than the promised one."""
    with mock.patch.object(Witness, "refuses", lambda self, epoch: False), pytest.raises(InvariantError):
        replica_promises_to_a_candidate(ReplicationSimulation())


def test_promise_survives_a_power_loss() -> None:
    """A replica that loses power after a promise must still refuse changes of the previous primary."""
    replica_promises_to_a_candidate(ReplicationSimulation(), loses_power=True)


def test_promise_sent_before_its_sync_is_detected() -> None:
    """The checks detect a promise that was sent before its sync and forgotten in a power loss."""
    sent_early = mock.patch.object(durability, "AFTER_SYNC", after_sync_except(Promise, Fetched))
    with sent_early, pytest.raises(InvariantError):
        replica_promises_to_a_candidate(ReplicationSimulation(), loses_power=True)


def replica_promises_to_a_candidate(simulation: ReplicationSimulation, loses_power: bool = False) -> None:
    """Let the only backup promise to a candidate; then let the previous primary send the backup a change.

    The candidate fetches the state of the backup before that change.
    """
    simulation.run(20)
    primary, candidate, backup = simulation.machines
    assert simulation.primary() == primary
    simulation.partition(candidate, primary)
    simulation.partition(candidate, backup)
    simulation.run(30)
    simulation.partitions.clear()
    simulation.packets.clear()
    simulation.now += 1_000_000_000
    for _ in range(60):
        simulation.now += STEP_NS
        simulation.tick(candidate)
        deliver_except_install(simulation, candidate, backup, sync_backup=not loses_power)
        if any(isinstance(packet.message, Install) for packet in simulation.packets):
            break
    if loses_power:
        simulation.crash(backup, keep_unsynced=False)
        simulation.start(backup)
    late = [packet for packet in simulation.packets if packet.to_ip != primary]
    simulation.packets = []
    simulation.submit(primary)
    simulation.settle()
    simulation.packets += late
    simulation.run(20)
    simulation.recover()


def deliver_except_install(simulation: ReplicationSimulation, candidate: str, backup: str, sync_backup: bool) -> None:
    """Deliver the messages addressed to the candidate and the backup, except `Install`."""
    for _ in range(6):
        for packet in list(simulation.packets):
            if packet.to_ip in (candidate, backup) and not isinstance(packet.message, Install):
                simulation.packets.remove(packet)
                simulation.deliver(packet)
        simulation.sync(candidate)
        if sync_backup:
            simulation.sync(backup)


def acknowledge(simulation: ReplicationSimulation, submit: Callable[[str], str]) -> None:
    """Submit changes to the primaries until one of the changes is acknowledged."""
    before = set(simulation.acknowledged)
    for primary in primaries(simulation):
        submit(primary)
        simulation.settle()
        if simulation.acknowledged - before:
            return
    raise AssertionError(simulation.describe())


def primaries(simulation: ReplicationSimulation) -> Iterator[str]:
    """Yield the current primary after each time step, for at most ten seconds."""
    for _ in range(200):
        simulation.run(1)
        primary = simulation.primary()
        if primary is not None:
            yield primary
