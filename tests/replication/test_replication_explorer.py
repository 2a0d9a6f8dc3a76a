"""Replication under an explorer: random walks with every kind of trouble, and planted faults that it must find.

`EXPLORER_WALKS` sets the number of walks; what is run here by default takes seconds.
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
def test_three_machines(seed: int) -> None:
    RandomWalk(seed).run(STEPS)


@pytest.mark.parametrize("seed", range(WALKS // 4))
def test_five_machines_of_which_two_may_be_lost(seed: int) -> None:
    RandomWalk(seed, machines=5, tolerated=2).run(STEPS)


# --- planted faults -----------------------------------------------------------------------------------------------


def reply_without_confirmation(self: Primary, call: int, now: int) -> list[Action]:
    return [Reply(call, Committed(self._replica.state_at(self._committed)))]


def commit_without_the_others(self: Primary, now: int) -> list[Action]:
    committed = self._progress[self.me].flow.index
    if committed <= self._committed:
        return []
    self._committed = committed
    return self._answer() + self._publish() + self.new_round(now)


def first_source(self: Candidate) -> MemberId | None:
    return next(iter(self._promises), None)


def wipe_and_vote_as_before(self: ReplicationSimulation, ip: str) -> None:
    self.crash(ip, keep_unsynced=False)
    self.machines[ip].durable = DurableState.genesis(genesis_view(self.seed_ips))


def without(*messages: type) -> tuple[type, ...]:
    return tuple(message for message in AFTER_SYNC if message not in messages)


Plant = Callable[[], AbstractContextManager[object]]
FOUND_BY_WALKS: dict[str, Plant] = {
    "everything is told before its sync": lambda: mock.patch.object(durability, "AFTER_SYNC", ()),
    "a change is confirmed before its sync": lambda: mock.patch.object(durability, "AFTER_SYNC", without(Appended)),
    "a silent replica is skipped": lambda: mock.patch.object(Primary, "_commit", commit_without_the_others),
    "the state is taken from any replica": lambda: mock.patch.object(Candidate, "_best_source", first_source),
}


@pytest.mark.parametrize("fault", FOUND_BY_WALKS)
def test_walks_find_a_planted_fault(fault: str) -> None:
    with FOUND_BY_WALKS[fault](), pytest.raises(InvariantError):
        for seed in range(200):
            RandomWalk(seed).run(STEPS)


def test_a_thawed_primary_answers_no_old_state() -> None:
    thawed_primary_is_read(ReplicationSimulation())


def test_a_read_without_confirmation_is_found() -> None:
    with mock.patch.object(Primary, "read", reply_without_confirmation), pytest.raises(InvariantError):
        thawed_primary_is_read(ReplicationSimulation())


def thawed_primary_is_read(simulation: ReplicationSimulation) -> None:
    """The primary stands still while another takes over; then it is asked before its clock tells it anything."""
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


def test_a_wiped_machine_does_not_vote() -> None:
    wiped_machine_meets_one_left_behind(ReplicationSimulation())


def test_a_wiped_witness_that_votes_is_found() -> None:
    with mock.patch.object(ReplicationSimulation, "wipe", wipe_and_vote_as_before), pytest.raises(InvariantError):
        wiped_machine_meets_one_left_behind(ReplicationSimulation())


def wiped_machine_meets_one_left_behind(simulation: ReplicationSimulation) -> None:
    """Of three, one has missed a change, one is down and one was wiped: nobody may go on without the change."""
    simulation.run(20)
    first, second, left_behind = simulation.machines
    assert simulation.primary() == first
    simulation.partition(first, left_behind)
    simulation.partition(second, left_behind)
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


def test_a_promise_fences_the_primary_before() -> None:
    replica_promises_to_a_candidate(ReplicationSimulation())


def test_a_lower_epoch_that_is_accepted_is_found() -> None:
    with mock.patch.object(Witness, "refuses", lambda self, epoch: False), pytest.raises(InvariantError):
        replica_promises_to_a_candidate(ReplicationSimulation())


def test_a_promise_survives_the_loss_of_power() -> None:
    replica_promises_to_a_candidate(ReplicationSimulation(), loses_power=True)


def test_a_promise_told_before_its_sync_is_found() -> None:
    told_early = mock.patch.object(durability, "AFTER_SYNC", without(Promise, Fetched))
    with told_early, pytest.raises(InvariantError):
        replica_promises_to_a_candidate(ReplicationSimulation(), loses_power=True)


def replica_promises_to_a_candidate(simulation: ReplicationSimulation, loses_power: bool = False) -> None:
    """The only backup promises to a candidate that takes its state; then the primary before sends it a change."""
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
        exchange(simulation, candidate, backup, sync_backup=not loses_power)
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


def exchange(simulation: ReplicationSimulation, candidate: str, backup: str, sync_backup: bool) -> None:
    """Deliver what these two say to each other, but no state to install."""
    for _ in range(6):
        for packet in list(simulation.packets):
            if packet.to_ip in (candidate, backup) and not isinstance(packet.message, Install):
                simulation.packets.remove(packet)
                simulation.deliver(packet)
        simulation.sync(candidate)
        if sync_backup:
            simulation.sync(backup)


def acknowledge(simulation: ReplicationSimulation, submit: Callable[[str], str]) -> None:
    """Run until some change has been acknowledged."""
    before = set(simulation.acknowledged)
    for primary in primaries(simulation):
        submit(primary)
        simulation.settle()
        if simulation.acknowledged - before:
            return
    raise AssertionError(simulation.describe())


def primaries(simulation: ReplicationSimulation) -> Iterator[str]:
    """Who leads, asked again after each moment, for at most ten seconds."""
    for _ in range(200):
        simulation.run(1)
        primary = simulation.primary()
        if primary is not None:
            yield primary
