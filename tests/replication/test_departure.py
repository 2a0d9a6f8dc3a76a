"""Tests of `Departure`, the state machine of a member that leaves the cluster."""

from __future__ import annotations

from canvasbeam.replication.departure import Departure
from canvasbeam.replication.member_liveness import MemberLiveness
from canvasbeam.replication.messages import (
    Leave,
    LeaveGranted,
    Send,
)
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import Epoch, MemberId, View
from tests.support.membership_simulation import (
    SECOND,
    leave,
    member_of,
    others,
    primary_of,
    started,
)

A, B, C, D = (MemberId(f"10.0.0.{number}/0") for number in range(1, 5))


def test_departure_passes_through_its_states() -> None:
    """A member passes through STAYING, LEAVING, ALONE, LEAVING and GRANTED; a grant while STAYING has no effect."""
    view = View(Epoch(1, A), A, (A, B, C), (A, B, C), (A, B, C))
    liveness = MemberLiveness(ReplicationTiming())
    liveness.record_message(D, SECOND)
    departure = Departure(A, ReplicationTiming())
    assert departure.tick(view, liveness, SECOND) == []
    departure.record_grant(2)
    assert departure.state.name == "STAYING"
    assert departure.begin(view, liveness, SECOND) == [Send(member, Leave(standbys=(D,))) for member in (B, C)]
    assert departure.begin(view, liveness, SECOND) == []
    assert departure.state.name == "LEAVING"
    liveness.record_leaving(B, SECOND)
    liveness.record_leaving(C, SECOND)
    departure.tick(view, liveness, SECOND + 1)
    assert departure.state.name == "LEAVING"
    departure.tick(view, liveness, SECOND + 1 + ReplicationTiming().unresponsive_after_ns)
    assert departure.state.name == "ALONE"
    liveness.record_message(B, 2 * SECOND)
    assert departure.tick(view, liveness, 2 * SECOND) == [Send(member, Leave()) for member in (B, C)]
    assert departure.state.name == "LEAVING"
    departure.record_grant(2)
    liveness.record_leaving(B, 2 * SECOND)
    departure.tick(view, liveness, 2 * SECOND + 1)
    assert departure.state.name == "GRANTED"
    assert departure.may_end


def test_grant_of_an_older_view_does_not_release_a_member() -> None:
    """A delayed `LeaveGranted` of an older view must not release a member that the current view may still need."""
    simulation = started()
    ip = others(simulation, primary_of(simulation))[0]
    member = member_of(simulation, ip)
    leave(simulation, ip)
    member.receive(member.state.known_primary.member, LeaveGranted(Epoch(0, A), 2), simulation.now)
    assert not member.state.departure.may_end
