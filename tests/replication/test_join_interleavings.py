"""Two small replication scenarios in all interleavings: a join with one loss, and a resent change with a failover.

By default, the tests try a sample of the points at which a fault can occur, which takes seconds; with
`EXPLORER_FULL=1` they try all of them, which takes some minutes.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from itertools import islice
from unittest import mock

import pytest

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import Change, ControlState
from canvasbeam.replication.messages import Prepare
from tests.replication.test_replication_interleavings import deliver_nth, run_event_by_event, simulation_with_primary
from tests.support import replication_simulation
from tests.support.replication_simulation import ANY_VERSION, STEP_NS, InvariantError, ReplicationSimulation, apply_tag

FULL = bool(os.environ.get("EXPLORER_FULL"))
MOMENT_STRIDE = 1 if FULL else 5
RESEND_STRIDE = 1 if FULL else 11
DEPTH = 5 if FULL else 3
JOIN_STEPS = 40  # steps of `STEP_NS`, after which the new machine is a witness in every member's view
FAILOVER_STEPS = 26
NEW_IP = "10.0.1.1"

Loss = Callable[[ReplicationSimulation, str], None]


def power_is_lost(simulation: ReplicationSimulation, ip: str) -> None:
    """Cut the power of a machine, which stays down until `recover`; unsynced writes are lost."""
    simulation.crash(ip, keep_unsynced=False)


def power_cycles(simulation: ReplicationSimulation, ip: str) -> None:
    """Cut the power of a machine and restart the machine at once; unsynced writes are lost."""
    simulation.crash(ip, keep_unsynced=False)
    simulation.start(ip)


def process_is_killed(simulation: ReplicationSimulation, ip: str) -> None:
    """Kill the process of a machine; writes in progress are completed."""
    simulation.crash(ip, keep_unsynced=True)


LOSSES: dict[str, Loss] = {loss.__name__: loss for loss in (power_is_lost, power_cycles, process_is_killed)}


# --- one join and one loss ------------------------------------------------------------------------------------------


def join(simulation: ReplicationSimulation) -> Iterator[None]:
    """Remove a machine other than the primary for good, and let a new machine join in its place amid changes."""
    primary = simulation.primary()
    assert primary is not None
    simulation.submit(primary)
    simulation.settle()
    gone = next(ip for ip in simulation.machines if ip != primary)
    simulation.remove(gone)
    simulation.add(NEW_IP, tuple(simulation.machines))
    yield from run_event_by_event(simulation, JOIN_STEPS)
    simulation.submit(simulation.primary() or primary)
    yield from run_event_by_event(simulation, 3)


@pytest.mark.parametrize("loss", LOSSES)
@pytest.mark.parametrize("number", range(3))
def test_join_survives_a_loss_at_every_moment(number: int, loss: str) -> None:
    """The cluster recovers when one machine is lost at any point of a join.

    Each of the three machines, including the joining one, is lost once at each tested point.
    """
    length = sum(1 for _ in join(simulation_with_primary()))
    first = (7 * number + len(loss)) % MOMENT_STRIDE  # each parametrized case tests different points of the join
    for moment in range(first, length, MOMENT_STRIDE):
        simulation = simulation_with_primary()
        scenario = join(simulation)
        for _ in islice(scenario, moment + 1):
            pass
        LOSSES[loss](simulation, list(simulation.machines)[number])
        for _ in scenario:
            pass
        simulation.recover()


def test_join_survives_one_loss_in_every_order_of_events() -> None:
    """The cluster recovers after every order of the first `DEPTH` events of a view change.

    At most one of the events is a power loss, at any position.
    """
    assert sum(1 for _ in explore_join_orders(())) > 2**DEPTH


def explore_join_orders(choices: tuple[int, ...]) -> Iterator[None]:
    """Replay the chosen events, extend them by every possible event up to `DEPTH`, and yield once per order."""
    simulation = simulation_before_view_change()
    has_lost_power = False
    for choice in choices:
        event, is_loss = possible_join_events(simulation, has_lost_power)[choice]
        event()
        has_lost_power = has_lost_power or is_loss
    possible = len(possible_join_events(simulation, has_lost_power))
    if len(choices) < DEPTH and possible:
        for choice in range(possible):
            yield from explore_join_orders((*choices, choice))
        return
    simulation.recover()
    yield


def simulation_before_view_change() -> ReplicationSimulation:
    """Run the join until the primary requests promises for a view with the new machine, and return the simulation."""
    simulation = simulation_with_primary()
    for _ in join(simulation):
        if any(isinstance(packet.message, Prepare) for packet in simulation.packets):
            return simulation
    raise AssertionError(simulation.describe())


def possible_join_events(
    simulation: ReplicationSimulation, has_lost_power: bool
) -> list[tuple[Callable[[], None], bool]]:
    """Return the events that can happen next, each with a flag that is True for a power loss.

    Time advances, any message arrives, any write completes or, unless `has_lost_power`, any machine loses power.
    """
    possible: list[tuple[Callable[[], None], bool]] = [(lambda: advance_time(simulation), False)]
    for number in range(len(simulation.packets)):
        possible.append((lambda number=number: deliver_nth(simulation, number), False))  # type: ignore[misc]
    for ip, machine in simulation.machines.items():
        if machine.writing is not None:
            possible.append((lambda ip=ip: simulation.sync(ip), False))  # type: ignore[misc]
        if not has_lost_power:
            possible.append((lambda ip=ip: power_is_lost(simulation, ip), True))  # type: ignore[misc]
    return possible


def advance_time(simulation: ReplicationSimulation) -> None:
    """Advance the time by one step and tick all machines."""
    simulation.now += STEP_NS
    for ip in simulation.machines:
        simulation.tick(ip)


# --- one change, a resend and a failover -----------------------------------------------------------------------------


def change_with_resend(simulation: ReplicationSimulation, failover: int, resend: int, target: int) -> bool:
    """Submit a change on the first version, crash the primary, and send the change again to another machine.

    The crash comes after `failover` events, and the resend `resend` events after the crash. Return True if at least
    `resend` events followed the crash.
    """
    primary = simulation.primary()
    assert primary is not None
    tag = simulation.submit(primary, if_match=0)
    others = [ip for ip in simulation.machines if ip != primary]
    for _ in islice(run_event_by_event(simulation, 2), failover):
        pass
    simulation.crash(primary, keep_unsynced=False)
    after_failover = run_event_by_event(simulation, FAILOVER_STEPS)
    elapsed = sum(1 for _ in islice(after_failover, resend))
    simulation.submit(others[target], tag, if_match=0)
    for _ in after_failover:
        pass
    for ip in simulation.machines:
        simulation.submit(ip, tag, if_match=0)
    for _ in run_event_by_event(simulation, 3):
        pass
    simulation.recover()
    return elapsed == resend


@pytest.mark.parametrize("target", range(2))
def test_resent_change_is_not_both_refused_and_committed_at_a_failover(target: int) -> None:
    """A change that is sent again around a failover must not be refused by one primary and committed by another."""
    length = sum(1 for _ in first_change())
    for failover in range(length + 1):
        for resend in range(failover % RESEND_STRIDE, 10**6, RESEND_STRIDE):
            if not change_with_resend(simulation_with_primary(), failover, resend, target):
                break


def first_change() -> Iterator[None]:
    """Submit a change on the first version, and yield after each event of two time steps."""
    simulation = simulation_with_primary()
    primary = simulation.primary()
    assert primary is not None
    simulation.submit(primary, if_match=0)
    yield from run_event_by_event(simulation, 2)


def apply_without_duplicate_detection(state: ControlState, change: Change) -> ControlState | Failure:
    """Apply a change without checking whether the same change was applied before."""
    if change.if_match not in (ANY_VERSION, state.index):
        return Failure(ResultCode.CONFIG_STALE_MATCH, "another version is current")
    return apply_tag(state, change)


def test_missing_duplicate_detection_is_detected() -> None:
    """The checks detect the refusal of a resent change that was committed before but is not recognized."""
    with (
        mock.patch.object(replication_simulation, "apply_tag", apply_without_duplicate_detection),
        pytest.raises(InvariantError),
    ):
        for failover in range(12, 40):
            for resend in range(200, 300, 25):
                change_with_resend(simulation_with_primary(), failover, resend, 0)
