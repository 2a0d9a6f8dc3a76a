"""Long-lived views: the primary keeps a bounded amount of changes, and keeps each change that a replica still needs."""

from __future__ import annotations

from unittest import mock

import pytest

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.calls import MAX_BYTES_IN_FLIGHT
from canvasbeam.replication.change_log import MAX_APPEND_BYTES, ChangeLog
from canvasbeam.replication.control_state import Change, ChangeKind
from canvasbeam.replication.member import Member
from canvasbeam.replication.messages import Action, Append, Reply, Send, SendToAddress
from canvasbeam.replication.primary import MAX_CATCH_UP_BYTES, Primary
from canvasbeam.replication.views import member_ip
from tests.replication.test_replication_times import primary_of, started
from tests.support.replication_simulation import Machine, ReplicationSimulation, primary_part_of

CHANGE_COUNT = 300


def member_of(simulation: ReplicationSimulation, ip: str) -> Member:
    member = simulation.machines[ip].member
    assert member is not None
    return member


def primary_part(simulation: ReplicationSimulation) -> Primary:
    primary = primary_part_of(member_of(simulation, primary_of(simulation)))
    assert primary is not None
    return primary


def submit_many(simulation: ReplicationSimulation, count: int = CHANGE_COUNT) -> None:
    for _ in range(count):
        tag = simulation.submit(primary_of(simulation))
        simulation.settle()
        assert tag in simulation.acknowledged


# --- the log of the primary ---------------------------------------------------------------------------------------


def test_log_returns_changes_after_an_index_up_to_the_size_of_a_message() -> None:
    log = ChangeLog(5)
    changes = [Change(ChangeKind.PUT_CONFIGURATION, bytes(MAX_APPEND_BYTES // 2), number) for number in range(5)]
    for change in changes:
        log.append(change, 1000 + change.if_match)
    assert log.end == 10
    assert [log.lag_of(index, 1010) for index in (5, 9, 10)] == [10, 6, 0]
    assert log.after(5) == tuple(changes[:2])
    assert log.after(9) == tuple(changes[4:])
    log.trim(8)
    assert log.after(8) == tuple(changes[3:])
    assert log.reaches_back_to(8)
    assert not log.reaches_back_to(7)
    assert log.size == log.size_after(0) == MAX_APPEND_BYTES


def test_long_lived_view_keeps_no_change_that_all_replicas_have() -> None:
    simulation = started()
    submit_many(simulation)
    simulation.run(1)
    primary = primary_part(simulation)
    assert len(primary._log) == 0
    assert not primary._rounds.sent_at or len(primary._rounds.sent_at) < 10
    assert set(primary._rounds.answered) <= set(primary.view.witnesses)
    for ip in simulation.machines:
        assert len(member_of(simulation, ip).state.replica._uncommitted) <= 1


def test_replica_that_missed_changes_receives_them_in_the_same_view() -> None:
    check_replica_receives_missed_changes(started())


def test_trimming_of_a_change_that_is_still_needed_is_detected() -> None:
    """Planted fault: the primary trims each change from its log as soon as its own disk has stored the change."""
    original = Primary._commit

    def commit(self: Primary, now: int) -> list[Action]:
        self._log.trim(self._progress[self.me].flow.index)
        return original(self, now)

    with mock.patch.object(Primary, "_commit", commit), pytest.raises((AssertionError, IndexError, ValueError)):
        check_replica_receives_missed_changes(started())


def check_replica_receives_missed_changes(simulation: ReplicationSimulation) -> None:
    """Lose changes on the link to one replica; the replica must stay in the view and receive the changes later."""
    primary = primary_of(simulation)
    view = primary_part(simulation).view
    backup = next(ip for ip in simulation.machines if ip != primary)
    simulation.partition(primary, backup, both_ways=False)
    tags = [simulation.submit(primary) for _ in range(5)]
    simulation.settle()
    assert not simulation.acknowledged.intersection(tags)
    simulation.partitions.clear()
    simulation.run(8)
    assert simulation.acknowledged.issuperset(tags)
    assert primary_part(simulation).view == view


# --- the bound on changes kept for members that are catching up ---------------------------------------------------


class AppendLossSimulation(ReplicationSimulation):
    """Drops `Append` messages to the machine `append_lost_to` and delivers all other messages."""

    append_lost_to = ""

    def _send(self, machine: Machine, action: Send | SendToAddress) -> None:
        if (
            isinstance(action, Send)
            and isinstance(action.message, Append)
            and member_ip(action.to) == self.append_lost_to
        ):
            return
        super()._send(machine, action)


def test_member_that_falls_behind_the_log_gets_another_snapshot() -> None:
    simulation = AppendLossSimulation()
    simulation.run(30)
    simulation.change_bytes = 100_000
    late = next(ip for ip in simulation.machines if ip != primary_of(simulation))
    simulation.crash(late, keep_unsynced=False)
    simulation.run(40)
    submit_many(simulation, 10)
    simulation.append_lost_to = late
    simulation.start(late)
    primary = primary_part(simulation)
    largest_log_size = 0
    for _ in range(CHANGE_COUNT // 5):
        simulation.run(1)
        submit_many(simulation, 5)
        largest_log_size = max(largest_log_size, primary._log.size)
    assert primary is primary_part(simulation)  # the late member caused no change of the view
    assert MAX_CATCH_UP_BYTES // 2 < largest_log_size <= MAX_CATCH_UP_BYTES + simulation.change_bytes
    simulation.append_lost_to = ""
    simulation.run(60)
    assert len(simulation.machines[late].durable.state.evacuated_zones) == CHANGE_COUNT + 10
    assert simulation.machines[late].me in primary_part(simulation).view.replicas
    simulation.recover()


# --- the bound on bytes in flight ---------------------------------------------------------------------------------


def large_change(number: int) -> Change:
    return Change(ChangeKind.START_EVACUATION, bytes(MAX_BYTES_IN_FLIGHT // 4), -1, f"large-{number}")


def test_changes_above_the_bound_are_refused_until_some_are_committed() -> None:
    simulation = started()
    ip = primary_of(simulation)
    member = member_of(simulation, ip)
    calls = range(1000, 1010)
    for call in calls:
        simulation._perform(simulation.machines[ip], member.submit(call, large_change(call), simulation.now))
    assert primary_part(simulation)._log.size <= MAX_BYTES_IN_FLIGHT
    [reply] = member.submit(2000, large_change(2000), simulation.now)
    assert isinstance(reply, Reply)
    assert isinstance(reply.result, Failure)
    assert reply.result.code is ResultCode.OVERLOADED
    simulation.settle()
    assert primary_part(simulation).has_capacity_for(large_change(3000))


def test_single_change_above_the_bound_is_accepted_when_none_is_in_flight() -> None:
    primary = primary_part(started())
    assert primary.has_capacity_for(Change(ChangeKind.PUT_CONFIGURATION, bytes(2 * MAX_BYTES_IN_FLIGHT)))
