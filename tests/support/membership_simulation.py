"""Members that leave, are replaced, join and are lost for good, in the simulated world of `replication_simulation`."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from canvasbeam.replication.member import Member
from canvasbeam.replication.roles import Role
from canvasbeam.replication.views import View, member_ip
from tests.replication.test_replication_interleavings import run_event_by_event
from tests.support.replication_simulation import STEP_NS, SYNC_TIME_NS, InvariantError, ReplicationSimulation

SECOND = 1_000_000_000
CATCH_UP_LIMIT_NS = 4 * SECOND  # a machine that returned or is new counts as lost for so long
LEAVE_LIMIT_NS = 5 * SECOND  # the longest that a member waits to be let go
RECOVERY_LIMIT_NS = 4 * SECOND  # within which the rest goes on after a bearable loss


def started(machines: int = 3, tolerated: int = 1) -> ReplicationSimulation:
    """A system that has come up between regions, with something acknowledged in it."""
    simulation = ReplicationSimulation(machines, tolerated, 3)
    simulation.run_between_regions(6 * SECOND)
    assert view_of(simulation).witnesses == tuple(view_of(simulation).witnesses[: 2 * tolerated + 1])
    acknowledge(simulation)
    return simulation


def member_of(simulation: ReplicationSimulation, ip: str) -> Member:
    member = simulation.machines[ip].member
    assert member is not None
    return member


def primary_of(simulation: ReplicationSimulation) -> str:
    """Who leads; while the view is being changed, time passes until somebody does."""
    assert run_until(simulation, lambda: simulation.primary() is not None, RECOVERY_LIMIT_NS) is not None, (
        simulation.describe()
    )
    primary = simulation.primary()
    assert primary is not None
    return primary


def view_of(simulation: ReplicationSimulation) -> View:
    """The newest view that any running member knows."""
    views = [
        machine.member.state.known_view.view for machine in simulation.machines.values() if machine.member is not None
    ]
    return max((view for view in views if view is not None), key=lambda view: view.epoch)


def electorate(simulation: ReplicationSimulation) -> set[str]:
    return {member_ip(witness) for witness in view_of(simulation).witnesses}


def copies(simulation: ReplicationSimulation) -> set[str]:
    return {member_ip(replica) for replica in view_of(simulation).replicas}


def others(simulation: ReplicationSimulation, *ips: str) -> list[str]:
    return [machine for machine in simulation.machines if machine not in ips]


def acknowledge(simulation: ReplicationSimulation, limit: int = RECOVERY_LIMIT_NS) -> int:
    """Order at every machine that leads until a change is acknowledged; tells how long that took."""
    began = simulation.now
    tag = None
    while simulation.now - began < limit:
        leading = [ip for ip in simulation.machines if is_leading(simulation, ip)]
        for ip in leading:
            if not any(call.tag == tag and call.machine == ip for call in simulation.calls.values()):
                tag = simulation.submit(ip, tag)
        simulation.run_between_regions(STEP_NS)
        if tag in simulation.acknowledged:
            return simulation.now - began
    raise InvariantError(f"no change was acknowledged in {limit / SECOND} s: {simulation.describe()}")


def is_leading(simulation: ReplicationSimulation, ip: str) -> bool:
    member = simulation.machines[ip].member
    return member is not None and member.role is Role.PRIMARY and ip not in simulation.frozen


def leave(simulation: ReplicationSimulation, ip: str) -> None:
    """SIGTERM."""
    machine = simulation.machines[ip]
    if machine.member is not None:
        simulation._perform(machine, machine.member.leave(simulation.now))


def may_end(simulation: ReplicationSimulation, ip: str) -> bool:
    machine = simulation.machines.get(ip)
    return machine is not None and machine.member is not None and machine.member.state.departure.may_end


def run_until(simulation: ReplicationSimulation, condition: Callable[[], bool], limit: int) -> int | None:
    """Time between regions passes until a condition holds; tells how long that took, None where it never held."""
    began = simulation.now
    while simulation.now - began < limit:
        if condition():
            return simulation.now - began
        simulation.run_between_regions(SYNC_TIME_NS)
    return simulation.now - began if condition() else None


def leave_for_good(simulation: ReplicationSimulation, ip: str, limit: int = LEAVE_LIMIT_NS) -> int:
    """SIGTERM, and the machine is gone once it has been let go; tells how long it waited."""
    leave(simulation, ip)
    waited = run_until(simulation, lambda: may_end(simulation, ip), limit)
    if waited is None:
        raise InvariantError(f"{ip} was not let go in {limit / SECOND} s: {simulation.describe()}")
    simulation.remove(ip)
    return waited


def lose_for_good(simulation: ReplicationSimulation, ip: str) -> None:
    """The machine is gone at once, with its disk."""
    simulation.remove(ip)


def every_event(simulation: ReplicationSimulation, duration: int) -> Iterator[None]:
    """Time passes in order; there is a moment after each single event."""
    yield from run_event_by_event(simulation, duration // STEP_NS)
