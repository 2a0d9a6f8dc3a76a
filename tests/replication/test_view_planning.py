"""Tests of which members a candidate waits for before it proposes a view."""

from __future__ import annotations

from collections.abc import Collection

from canvasbeam.replication.member_liveness import MemberLiveness
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.view_planning import ViewPlanner
from canvasbeam.replication.views import Epoch, MemberId, View
from tests.support.membership_simulation import (
    SECOND,
)

A, B, C = (MemberId(f"10.0.0.{number}/0") for number in range(1, 4))


def test_candidate_waits_briefly_for_promises_of_staying_members() -> None:
    """A candidate that has the promise of a leaving member waits `answer_grace_ns` for the promise of a staying member.

    That promise may still be in flight, and a view without the leaving member is preferred.
    """
    timing = ReplicationTiming()
    liveness = MemberLiveness(timing)
    for member in (B, C):
        liveness.record_message(member, SECOND)
    liveness.record_leaving(B, SECOND)
    planner = ViewPlanner(A, liveness, 1, timing.answer_grace_ns)
    view = View(Epoch(1, A), A, (A, B, C), (A, B, C), (A, B, C))

    def planned(promised: Collection[MemberId], now: int) -> View | None:
        return planner.plan(view, True, Epoch(2, A), frozenset(promised), now)

    assert planned((A, B), SECOND) is None
    staying = planned((A, B, C), SECOND + 1)
    assert staying is not None
    assert staying.replicas == (A, C)
    leaving = planned((A, B), SECOND + timing.answer_grace_ns)
    assert leaving is not None
    assert leaving.replicas == (A, B)
