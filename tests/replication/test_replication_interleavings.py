"""Each kind of fault at every point of a few short scenarios, and every order of events around a change of primary.

By default, the tests try a sample of the points at which a fault can occur, which takes seconds; with
`EXPLORER_FULL=1` they try all of them, which takes some minutes.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from functools import partial
from itertools import islice

import pytest

from canvasbeam.replication.messages import Append, Prepare
from tests.support.replication_simulation import STEP_NS, ReplicationSimulation, is_fully_replicated

FULL = bool(os.environ.get("EXPLORER_FULL"))
MOMENT_STRIDE = 1 if FULL else 29
DEPTH = 4 if FULL else 3

Scenario = Callable[[ReplicationSimulation], Iterator[None]]
Fault = Callable[[ReplicationSimulation], None]


def run_event_by_event(simulation: ReplicationSimulation, steps: int) -> Iterator[None]:
    """Run `steps` time steps of `STEP_NS`, and yield after each tick, delivery and write: a fault may occur there."""
    for _ in range(steps):
        simulation.now += STEP_NS
        for ip in simulation.machines:
            simulation.tick(ip)
            yield
        while (number := next_deliverable(simulation)) is not None or is_writing(simulation):
            if number is not None:
                deliver_nth(simulation, number)
                yield
            else:
                yield from sync_all(simulation)


def next_deliverable(simulation: ReplicationSimulation) -> int | None:
    return next(
        (number for number, packet in enumerate(simulation.packets) if packet.to_ip not in simulation.frozen), None
    )


def sync_all(simulation: ReplicationSimulation) -> Iterator[None]:
    """Complete the pending writes of all machines, and yield after each write."""
    for ip in simulation.machines:
        if simulation.machines[ip].writing is not None:
            simulation.sync(ip)
            yield


def is_writing(simulation: ReplicationSimulation) -> bool:
    return any(machine.writing is not None for machine in simulation.machines.values())


# --- the scenarios --------------------------------------------------------------------------------------------------


def two_writes_race(simulation: ReplicationSimulation) -> Iterator[None]:
    """Submit two changes on one version, send the accepted one again, and read."""
    primary = simulation.primary()
    assert primary is not None
    tag = simulation.submit(primary, if_match=0)
    simulation.submit(primary, if_match=0)
    yield from run_event_by_event(simulation, 3)
    simulation.submit(simulation.primary() or primary, tag, if_match=0)
    simulation.read(simulation.primary() or primary)
    yield from run_event_by_event(simulation, 4)


def primary_is_lost(simulation: ReplicationSimulation) -> Iterator[None]:
    """The primary loses power while a change is in flight; another machine takes over, and the change is sent again."""
    primary = simulation.primary()
    assert primary is not None
    tag = simulation.submit(primary)
    simulation.deliver(simulation.packets.pop(0))
    simulation.crash(primary, keep_unsynced=False)
    yield from run_event_by_event(simulation, 26)
    for ip in simulation.machines:
        simulation.submit(ip, tag)
    yield from run_event_by_event(simulation, 4)


def disk_is_lost(simulation: ReplicationSimulation) -> Iterator[None]:
    """A machine loses its disk, restarts and joins again, while changes continue."""
    primary = simulation.primary()
    assert primary is not None
    simulation.submit(primary)
    simulation.settle()
    simulation.wipe(next(ip for ip in simulation.machines if ip != primary))
    yield from run_event_by_event(simulation, 14)
    for ip in simulation.machines:
        simulation.start(ip)
    yield from run_event_by_event(simulation, 14)
    simulation.submit(simulation.primary() or primary)
    yield from run_event_by_event(simulation, 3)


SCENARIOS: dict[str, Scenario] = {each.__name__: each for each in (two_writes_race, primary_is_lost, disk_is_lost)}


# --- the faults -------------------------------------------------------------------------------------------------


def power_cycles(ip: str) -> Fault:
    """Return a fault that cuts the power of a machine and restarts the machine; unsynced writes are lost."""

    def fault(simulation: ReplicationSimulation) -> None:
        simulation.crash(ip, keep_unsynced=False)
        simulation.start(ip)

    return fault


def process_cycles(ip: str) -> Fault:
    """Return a fault that kills and restarts the process of a machine; writes in progress are completed."""

    def fault(simulation: ReplicationSimulation) -> None:
        simulation.crash(ip, keep_unsynced=True)
        simulation.start(ip)

    return fault


def is_cut_off(ip: str) -> Fault:
    """Return a fault that partitions a machine from all others in both directions."""

    def fault(simulation: ReplicationSimulation) -> None:
        for other in simulation.machines:
            simulation.partition(ip, other)

    return fault


def outgoing_link_is_cut(ip: str) -> Fault:
    """Return a fault that loses every message from a machine, while the machine still receives messages."""

    def fault(simulation: ReplicationSimulation) -> None:
        for other in simulation.machines:
            simulation.partition(ip, other, both_ways=False)

    return fault


def process_freezes_until_recovery(ip: str) -> Fault:
    """Return a fault that suspends the process of a machine until `recover`."""
    return lambda simulation: simulation.frozen.add(ip)


def disk_fails(ip: str) -> Fault:
    """Return a fault that marks the disk of a machine as unhealthy until `recover`."""
    return lambda simulation: simulation.set_healthy(ip, False)


def disk_is_wiped(ip: str) -> Fault:
    """Return a fault that cuts the power of all machines and wipes the disk of one.

    The fault does nothing unless all other machines have stored the same view with every machine as a replica: only
    then may one disk be lost.
    """

    def fault(simulation: ReplicationSimulation) -> None:
        if not is_fully_replicated(simulation, ip):
            return
        for machine in simulation.machines:
            simulation.crash(machine, keep_unsynced=False)
        simulation.wipe(ip)
        for machine in simulation.machines:
            simulation.start(machine)

    return fault


def all_power_cycles(simulation: ReplicationSimulation) -> None:
    """Cut the power of all machines and restart all machines; unsynced writes are lost."""
    for ip in simulation.machines:
        simulation.crash(ip, keep_unsynced=False)
        simulation.start(ip)


def next_message_is_lost(simulation: ReplicationSimulation) -> None:
    del simulation.packets[:1]


def next_message_comes_late(simulation: ReplicationSimulation) -> None:
    simulation.packets += [simulation.packets.pop(0)] if simulation.packets else []


def next_message_comes_twice(simulation: ReplicationSimulation) -> None:
    simulation.packets += simulation.packets[:1]


FAULTS_OF_ONE_MACHINE = (
    power_cycles,
    process_cycles,
    is_cut_off,
    outgoing_link_is_cut,
    process_freezes_until_recovery,
    disk_fails,
    disk_is_wiped,
)
OTHER_FAULTS = (all_power_cycles, next_message_is_lost, next_message_comes_late, next_message_comes_twice)
FAULTS: dict[str, Fault] = {
    **{f"{kind.__name__} {number}": kind(f"10.0.0.{number}") for kind in FAULTS_OF_ONE_MACHINE for number in (1, 2, 3)},
    **{kind.__name__: kind for kind in OTHER_FAULTS},
}


def simulation_with_primary() -> ReplicationSimulation:
    """Return a simulation that has elected its first primary."""
    simulation = ReplicationSimulation()
    simulation.run(14)
    assert simulation.primary() is not None
    return simulation


def count_moments(scenario: Scenario) -> int:
    return sum(1 for _ in scenario(simulation_with_primary()))


@pytest.mark.parametrize("name", FAULTS)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_cluster_recovers_from_a_fault_at_every_moment(scenario: str, name: str) -> None:
    """The cluster recovers, and loses no acknowledged change, when a fault occurs at any point of a scenario."""
    moment_count = count_moments(SCENARIOS[scenario])
    first = sum(name.encode()) % MOMENT_STRIDE  # each fault is tested at different points, which depend on its name
    for moment in range(first, moment_count, MOMENT_STRIDE):
        simulation = simulation_with_primary()
        run = SCENARIOS[scenario](simulation)
        for _ in islice(run, moment + 1):
            pass
        FAULTS[name](simulation)
        for _ in run:
            pass
        simulation.recover()


def test_cluster_recovers_in_every_order_of_events_around_a_failover() -> None:
    """The cluster recovers after every order of the next `DEPTH` events around a change of primary.

    A rival candidate has requested promises while a change from the primary is still in flight.
    """
    tried = sum(1 for _ in explore_orders(()))
    assert tried > 3**DEPTH


def explore_orders(choices: tuple[int, ...]) -> Iterator[None]:
    """Replay the chosen events, extend them by every possible event up to `DEPTH`, and yield once per order."""
    simulation = simulation_with_rival()
    for choice in choices:
        possible_events(simulation)[choice]()
    available = len(possible_events(simulation))
    if len(choices) < DEPTH and available:
        for choice in range(available):
            yield from explore_orders((*choices, choice))
        return
    simulation.recover()
    yield


def simulation_with_rival() -> ReplicationSimulation:
    """Return a simulation with a change of the primary in flight and a rival candidate.

    The rival received no message from the primary for a while, and has requested promises.
    """
    simulation = simulation_with_primary()
    primary = simulation.primary()
    assert primary is not None
    rival = next(ip for ip in simulation.machines if ip != primary)
    simulation.submit(primary)
    held_packets, simulation.packets = simulation.packets, []
    for _ in range(60):
        simulation.now += STEP_NS
        simulation.tick(rival)
        while simulation.packets and not any(isinstance(packet.message, Prepare) for packet in simulation.packets):
            simulation.deliver(simulation.packets.pop(0))
        simulation.sync(rival)
        if simulation.packets:
            break
    assert any(isinstance(packet.message, Prepare) for packet in simulation.packets)
    assert any(isinstance(packet.message, Append) for packet in held_packets)
    simulation.packets += held_packets
    return simulation


def possible_events(simulation: ReplicationSimulation) -> list[Callable[[], None]]:
    """Return the events that can happen next: a message arrives, a write completes or a machine loses power."""
    possible: list[Callable[[], None]] = [
        partial(deliver_nth, simulation, number) for number in range(len(simulation.packets))
    ]
    for ip, machine in simulation.machines.items():
        if machine.writing is not None:
            possible.append(partial(simulation.sync, ip))
        possible.append(partial(power_cycles(ip), simulation))
    return possible


def deliver_nth(simulation: ReplicationSimulation, number: int) -> None:
    simulation.deliver(simulation.packets.pop(number))
