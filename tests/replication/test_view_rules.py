"""Tests of the rules for the replicas and witnesses of a new view, and for the quorums that decide on the view."""

from __future__ import annotations

from collections.abc import Collection

import pytest

from canvasbeam.replication.view_rules import min_replicas, plan_view, plan_witnesses
from canvasbeam.replication.views import Epoch, MemberId, View, genesis_view

A, B, C, D, E, F = (MemberId(f"10.0.0.{number}/0") for number in range(1, 7))
C_WIPED = MemberId("10.0.0.3/new")
NEXT = Epoch(5, A)
BASE = View(Epoch(4, A), A, (A, B, C), (A, B, C), (A, B, C))


def plan(
    usable: Collection[MemberId], in_force: bool = True, replaceable: Collection[MemberId] = (), tolerated: int = 1
) -> View | None:
    return plan_view(
        BASE,
        in_force,
        epoch=NEXT,
        primary=A,
        usable=tuple(usable),
        is_replaceable=lambda member: member in replaceable,
        tolerated_machines=tolerated,
    )


def test_unusable_replica_is_left_out_but_stays_a_witness() -> None:
    """An unusable member leaves the replicas of the next view, but keeps its vote as a witness."""
    assert plan((A, B)) == View(NEXT, A, (A, B), (A, B, C), (A, B, C))


def test_too_few_replicas_make_no_view() -> None:
    """A view with one replica could not tolerate the loss of a machine, so no view is planned."""
    assert plan((A,)) is None


def test_new_member_of_a_wiped_machine_replaces_the_old_one() -> None:
    """The new member at the address of a wiped machine replaces the old member at once."""
    planned = plan((A, B, C_WIPED))
    assert planned == View(NEXT, A, (A, B, C_WIPED), (A, B, C_WIPED), (A, B, C))


def test_other_machine_replaces_only_a_replaceable_witness() -> None:
    """A member at another address replaces a witness only when that witness is replaceable."""
    patient = plan((A, B, D))
    assert patient is not None
    assert patient.witnesses == (A, B, C)
    replaced = plan((A, B, D), replaceable=(C,))
    assert replaced is not None
    assert replaced.witnesses == (A, B, D)


def test_witnesses_are_kept_on_a_view_that_may_not_be_in_force() -> None:
    """With two open changes of the electorate, disjoint majorities could decide on different views."""
    unsettled = View(Epoch(4, A), A, (A, B, D), (A, B, D), (A, B, C))
    planned = plan_view(
        unsettled,
        False,
        epoch=NEXT,
        primary=A,
        usable=(A, D, E),
        is_replaceable=lambda member: member == B,
        tolerated_machines=1,
    )
    assert planned is not None
    assert planned.witnesses == unsettled.witnesses
    assert planned.previous_witnesses == unsettled.previous_witnesses


def test_electorate_grows_by_pairs() -> None:
    """The electorate grows by two members at a time, so that an odd size stays odd."""
    assert plan_witnesses((A, B, C), (A, B, C, D), lambda _: False, 5) == (A, B, C)
    assert plan_witnesses((A, B, C), (A, B, C, D, E), lambda _: False, 5) == (A, B, C, D, E)
    assert plan_witnesses((A, B, C), (A, B, C, D, E, F), lambda _: False, 3) == (A, B, C)


@pytest.mark.parametrize(("witnesses", "tolerated", "fewest"), [(3, 1, 2), (5, 2, 3), (3, 2, 2), (1, 1, 1)])
def test_fewest_replicas(witnesses: int, tolerated: int, fewest: int) -> None:
    """A view needs one replica more than may be lost, or a majority of the witnesses where that is fewer."""
    assert min_replicas(witnesses, tolerated) == fewest


def test_a_view_that_may_not_be_in_force_needs_both_majorities() -> None:
    """An open change of the electorate needs a majority of the old and of the new witnesses."""
    view = View(NEXT, A, (A, D), (A, D, E), (A, B, C))
    assert not view.has_quorum((A, D), in_force=False)
    assert view.has_quorum((A, D), in_force=True)
    assert view.has_quorum((A, B, D), in_force=False)
    assert not view.has_quorum((A, B, C), in_force=True)


def test_genesis_view_is_independent_of_the_seed_order() -> None:
    """Members with the same seeds in a different order must start from the same genesis view."""
    assert genesis_view(("10.0.0.2", "10.0.0.1")) == genesis_view(("10.0.0.1", "10.0.0.2"))


def test_surplus_witnesses_are_dropped_by_pairs_unusable_first() -> None:
    """Surplus witnesses are dropped two at a time, unusable ones first; a single surplus witness stays."""
    assert plan_witnesses((A, B, C, D, E), (C, A, B, D), lambda _: False, 3) == (A, B, C)
    assert plan_witnesses((A, B, C, D), (A, B, C, D), lambda _: False, 3) == (A, B, C, D)
