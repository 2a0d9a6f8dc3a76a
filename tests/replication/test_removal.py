"""Tests of how an operator removes a control process for good, and of when such a removal is refused."""

from __future__ import annotations

import pytest

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.removal import Removal, removal_of
from canvasbeam.replication.views import Epoch, MemberId, View
from tests.support.membership_simulation import (
    CATCH_UP_LIMIT_NS,
    SECOND,
    acknowledge,
    copies,
    electorate,
    lose_for_good,
    member_of,
    others,
    primary_of,
    started,
)
from tests.support.replication_simulation import (
    LATENCY_NS,
    ReplicationSimulation,
)

A, B, C, D = (MemberId(f"10.0.0.{number}/0") for number in range(1, 5))
NEW = "10.0.0.9"


def request_removal(simulation: ReplicationSimulation, ip: str) -> Removal | Failure:
    """Request the removal of the member at `ip`; unless the primary refuses, start the departure of that member."""
    primary = simulation.machines[primary_of(simulation)]
    assert primary.member is not None
    outcome = primary.member.removal(ip, simulation.now)
    if not isinstance(outcome, Failure):
        simulation._perform(primary, primary.member.request_leave(ip))
    return outcome


@pytest.mark.parametrize("removes_primary", [True, False])
def test_operator_removes_a_member_that_a_spare_replaces(removes_primary: bool) -> None:
    """A spare member takes the place of the removed one, and the cluster then tolerates the loss of its primary."""
    simulation = started()
    simulation.add(NEW, (primary_of(simulation),))
    simulation.run_between_regions(CATCH_UP_LIMIT_NS)
    ip = primary_of(simulation) if removes_primary else others(simulation, primary_of(simulation), NEW)[0]
    assert request_removal(simulation, ip) is Removal.IN_PROGRESS
    simulation.run_between_regions(3 * SECOND)
    assert request_removal(simulation, ip) is Removal.DONE
    assert electorate(simulation) == copies(simulation) == set(others(simulation, ip))
    simulation.remove(ip)
    lose_for_good(simulation, primary_of(simulation))
    acknowledge(simulation)


def test_removal_without_a_spare_member_is_refused() -> None:
    """Without a spare member, a removal would leave the electorate with too few members."""
    simulation = started()
    for ip in simulation.machines:
        outcome = request_removal(simulation, ip)
        assert isinstance(outcome, Failure)
        assert outcome.code is ResultCode.MEMBER_NEEDED
    unknown = request_removal(simulation, NEW)
    assert isinstance(unknown, Failure)
    assert unknown.code is ResultCode.MEMBER_UNKNOWN
    assert not any(member_of(simulation, ip).state.departure.has_begun for ip in simulation.machines)


def test_one_spare_member_allows_one_removal_only() -> None:
    """Two removals at nearly the same time must not both count on the same spare member."""
    for first, second in ((1, 2), (2, 1)):
        simulation = started()
        simulation.add(NEW, (primary_of(simulation),))
        simulation.run_between_regions(CATCH_UP_LIMIT_NS)
        ips = list(simulation.machines)
        assert primary_of(simulation) == ips[0]
        assert request_removal(simulation, ips[first]) is Removal.IN_PROGRESS
        simulation.run_between_regions(2 * LATENCY_NS)
        outcome = request_removal(simulation, ips[second])
        assert isinstance(outcome, Failure)
        assert outcome.code is ResultCode.MEMBER_NEEDED


def test_backup_refuses_a_removal() -> None:
    """A backup answers a removal request with NOT_PRIMARY."""
    simulation = started()
    outcome = member_of(simulation, others(simulation, primary_of(simulation))[0]).removal(NEW, simulation.now)
    assert isinstance(outcome, Failure)
    assert outcome.code is ResultCode.NOT_PRIMARY


def test_removal_is_done_once_the_reconfiguration_is_complete() -> None:
    """While a reconfiguration is open, the removed member may still vote, so the removal is not done yet."""
    view = View(Epoch(1, A), A, (A, C, D), (A, C, D), (A, B, C))
    for is_reconfiguration_complete, expected in ((False, Removal.IN_PROGRESS), (True, Removal.DONE)):
        assert (
            removal_of("10.0.0.2", view, is_reconfiguration_complete, known=(B,), can_remove=lambda _: True) is expected
        )
