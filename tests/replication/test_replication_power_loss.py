"""Acknowledged changes survive the loss of disks at the acknowledgement while all other machines lose power."""

from __future__ import annotations

from itertools import combinations
from unittest import mock

import pytest

from canvasbeam.replication import durability
from canvasbeam.replication.messages import AFTER_SYNC, Appended
from tests.support.replication_simulation import InvariantError, ReplicationSimulation

MACHINES, TOLERATED = 5, 2
PAIRS = list(combinations(range(MACHINES), TOLERATED))


def lose_disks_after_acknowledgement(lost: tuple[int, ...]) -> None:
    """Lose some disks at the moment of an acknowledgement; all other machines lose their unsynced writes."""
    simulation = ReplicationSimulation(machines=MACHINES, tolerated=TOLERATED)
    simulation.run(30)
    primary = simulation.primary()
    assert primary is not None
    tag = simulation.submit(primary)
    step_until_acknowledged(simulation, tag)
    machines = list(simulation.machines)
    for number, ip in enumerate(machines):
        if number in lost:
            simulation.wipe(ip)
        else:
            simulation.crash(ip, keep_unsynced=False)
    simulation.packets.clear()
    for ip in machines:
        simulation.start(ip)
    simulation.recover()
    assert tag in simulation.acknowledged


def step_until_acknowledged(simulation: ReplicationSimulation, tag: str) -> None:
    """Deliver one packet or sync one disk at a time, and stop as soon as the operator has the answer."""
    for _ in range(1000):
        if tag in simulation.acknowledged:
            return
        if simulation.packets:
            simulation.deliver(simulation.packets.pop(0))
            continue
        for ip in simulation.machines:
            if simulation.machines[ip].writing is not None:
                simulation.sync(ip)
                break
        else:
            simulation.run(1)
    raise AssertionError("the change was not acknowledged within 1000 steps")


@pytest.mark.parametrize("lost", PAIRS)
def test_acknowledged_change_survives_lost_disks_and_power_loss_of_the_others(lost: tuple[int, ...]) -> None:
    lose_disks_after_acknowledgement(lost)


def test_acknowledgement_before_the_sync_is_detected() -> None:
    unsynced = tuple(message for message in AFTER_SYNC if message is not Appended)
    with mock.patch.object(durability, "AFTER_SYNC", unsynced), pytest.raises(InvariantError):
        for lost in PAIRS:
            lose_disks_after_acknowledgement(lost)
