"""Limits on write, failover and rejoin times, in simulated time: 55 ms one way between members, 5 ms a disk write."""

from __future__ import annotations

from canvasbeam.replication.views import member_ip
from tests.support.replication_simulation import STEP_NS, ReplicationSimulation

SECOND = 1_000_000_000
FAILOVER_LIMIT = 2 * SECOND
REJOIN_LIMIT = 3 * SECOND


def started(machines: int = 3, tolerated: int = 1, seeds: int = 3) -> ReplicationSimulation:
    """Return a running simulation in which every machine is a replica and a witness."""
    simulation = ReplicationSimulation(machines, tolerated, seeds)
    simulation.run_between_regions(6 * SECOND)
    assert is_complete(simulation), simulation.describe()
    return simulation


def is_complete(simulation: ReplicationSimulation) -> bool:
    primary = simulation.primary()
    if primary is None:
        return False
    member = simulation.machines[primary].member
    assert member is not None
    view = member.state.known_view.view
    everybody = {machine.me for machine in simulation.machines.values()}
    return view is not None and set(view.replicas) == everybody == set(view.witnesses)


def time_until_acknowledged(simulation: ReplicationSimulation, limit: int) -> int:
    """Submit a change to each primary until it is acknowledged; return the nanoseconds taken, at most `limit`."""
    began = simulation.now
    tag = None
    while simulation.now - began < limit:
        primary = simulation.primary()
        if primary is not None and not any(call.tag == tag for call in simulation.calls.values()):
            tag = simulation.submit(primary, tag)
        simulation.run_between_regions(STEP_NS)
        if tag in simulation.acknowledged:
            return simulation.now - began
    raise AssertionError(f"no change was acknowledged within {limit / SECOND} s: {simulation.describe()}")


def time_until_complete(simulation: ReplicationSimulation, limit: int) -> int:
    began = simulation.now
    while simulation.now - began < limit:
        simulation.run_between_regions(STEP_NS)
        if is_complete(simulation):
            return simulation.now - began
    raise AssertionError(
        f"not all machines are replicas and witnesses within {limit / SECOND} s: {simulation.describe()}"
    )


def primary_of(simulation: ReplicationSimulation) -> str:
    primary = simulation.primary()
    assert primary is not None
    return primary


def test_first_start_acknowledges_a_change_in_time() -> None:
    simulation = ReplicationSimulation()
    time_until_acknowledged(simulation, 2 * SECOND)


def test_write_without_faults_takes_one_round_trip() -> None:
    simulation = started()
    assert time_until_acknowledged(simulation, SECOND) <= 150_000_000


def test_change_is_acknowledged_after_the_primary_loses_power() -> None:
    simulation = started()
    simulation.crash(primary_of(simulation), keep_unsynced=False)
    time_until_acknowledged(simulation, FAILOVER_LIMIT)


def test_change_is_acknowledged_after_a_one_way_cut_of_the_primary() -> None:
    for outgoing in (True, False):
        simulation = started()
        primary = primary_of(simulation)
        for ip in simulation.machines:
            if ip != primary:
                simulation.partition(*((primary, ip) if outgoing else (ip, primary)), both_ways=False)
        time_until_acknowledged(simulation, FAILOVER_LIMIT)


def test_change_is_acknowledged_after_a_backup_loses_power() -> None:
    simulation = started()
    backup = next(ip for ip in simulation.machines if ip != primary_of(simulation))
    simulation.crash(backup, keep_unsynced=False)
    time_until_acknowledged(simulation, FAILOVER_LIMIT)


def test_change_is_acknowledged_after_the_disk_of_the_primary_stalls() -> None:
    simulation = started()
    simulation.set_healthy(primary_of(simulation), False)
    time_until_acknowledged(simulation, FAILOVER_LIMIT)


def test_a_wiped_machine_is_a_replica_again() -> None:
    for is_primary in (True, False):
        simulation = started()
        primary = primary_of(simulation)
        ip = next(machine for machine in simulation.machines if (machine == primary) == is_primary)
        simulation.wipe(ip)
        simulation.run_between_regions(SECOND)
        simulation.start(ip)
        time_until_complete(simulation, REJOIN_LIMIT)


def test_recovery_after_one_disk_is_wiped_while_the_others_lose_power() -> None:
    simulation = started()
    time_until_acknowledged(simulation, SECOND)
    wiped = primary_of(simulation)
    for ip in simulation.machines:
        simulation.crash(ip, keep_unsynced=False)
    simulation.wipe(wiped)
    for ip in simulation.machines:
        simulation.start(ip)
    time_until_acknowledged(simulation, FAILOVER_LIMIT)
    time_until_complete(simulation, REJOIN_LIMIT)
    simulation.recover()


def test_a_machine_that_returns_is_a_replica_again() -> None:
    simulation = started()
    backup = next(ip for ip in simulation.machines if ip != primary_of(simulation))
    simulation.crash(backup, keep_unsynced=False)
    simulation.run_between_regions(3 * SECOND)
    simulation.start(backup)
    time_until_complete(simulation, REJOIN_LIMIT)


def test_empty_machine_at_another_address_replaces_a_removed_one() -> None:
    for seeds_are_old in (True, False):
        simulation = started()
        gone = next(ip for ip in simulation.machines if ip != primary_of(simulation))
        simulation.remove(gone)
        simulation.run_between_regions(SECOND)
        new = simulation.add(
            "10.0.0.9", simulation.seed_ips if seeds_are_old else ("10.0.0.9", "10.0.0.8", primary_of(simulation))
        )
        time_until_complete(simulation, REJOIN_LIMIT)
        assert member_ip(simulation.machines[new].me) == new


def test_five_machines_joined_from_three_seeds_tolerate_two_losses() -> None:
    simulation = started(machines=5, tolerated=2)
    lost = [primary_of(simulation), next(ip for ip in simulation.machines if ip != primary_of(simulation))]
    for ip in lost:
        simulation.crash(ip, keep_unsynced=False)
    time_until_acknowledged(simulation, FAILOVER_LIMIT)
    for ip in lost:
        simulation.wipe(ip)
        simulation.start(ip)
    time_until_complete(simulation, REJOIN_LIMIT)


def test_a_member_left_out_of_a_failover_joins_at_once() -> None:
    simulation = started(machines=5, tolerated=2)
    primary = primary_of(simulation)
    behind = next(ip for ip in simulation.machines if ip != primary)
    simulation.crash(behind, keep_unsynced=False)
    simulation.run_between_regions(2 * SECOND)
    time_until_acknowledged(simulation, SECOND)
    simulation.start(behind)
    simulation.crash(primary, keep_unsynced=False)
    time_until_acknowledged(simulation, FAILOVER_LIMIT)
    began = simulation.now
    while not is_replica(simulation, behind):
        assert simulation.now - began < SECOND, simulation.describe()
        simulation.run_between_regions(STEP_NS)


def is_replica(simulation: ReplicationSimulation, ip: str) -> bool:
    primary = simulation.primary()
    view = None if primary is None else simulation.machines[primary].durable.accepted
    return view is not None and simulation.machines[ip].me in view.replicas
