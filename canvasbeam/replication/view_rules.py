"""The membership rules of views: pure functions of the previous view and the usable members.

The functions must be deterministic, and must leave at most one electorate change incomplete at a time: two incomplete
changes could be decided by majorities without a common member.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from canvasbeam.replication.views import Epoch, MemberId, View, member_ip


def plan_view(
    base: View,
    in_force: bool,
    *,
    epoch: Epoch,
    primary: MemberId,
    usable: Sequence[MemberId],
    is_replaceable: Callable[[MemberId], bool],
    tolerated_machines: int,
) -> View | None:
    """Return the view that the primary should propose, or None if too few members are usable.

    The witnesses change only if the base view is known to be in force, so at most one electorate change is incomplete
    at any time. Every usable witness is a replica.
    """
    witnesses = base.witnesses
    previous = base.previous_witnesses
    if in_force:
        previous = base.witnesses
        witnesses = plan_witnesses(base.witnesses, usable, is_replaceable, 2 * tolerated_machines + 1)
    replicas = tuple(dict.fromkeys(member for member in (primary, *witnesses) if member in usable))
    if primary not in witnesses or len(replicas) < min_replicas(len(witnesses), tolerated_machines):
        return None
    return View(epoch, primary, replicas, witnesses, previous)


def min_replicas(witnesses: int, tolerated_machines: int) -> int:
    """Return one more than `tolerated_machines`, or a majority of the witnesses while the system is too small."""
    return min(tolerated_machines + 1, witnesses // 2 + 1)


def plan_witnesses(
    witnesses: Sequence[MemberId],
    usable: Sequence[MemberId],
    is_replaceable: Callable[[MemberId], bool],
    wanted: int,
) -> tuple[MemberId, ...]:
    """Return the witnesses of the next view.

    New members replace witnesses that lost their disk or are replaceable; the electorate grows or shrinks in pairs
    until its size is `wanted`.
    """
    planned = list(witnesses)
    standbys = [member for member in usable if member not in planned]
    for standby in list(standbys):
        place = _index_to_replace(standby, planned, usable, is_replaceable)
        if place is not None:
            planned[place] = standby
            standbys.remove(standby)
    while len(planned) < wanted:
        step = 2 if len(planned) % 2 else 1
        if len(standbys) < step:
            break
        planned += standbys[:step]
        del standbys[:step]
    return tuple(_without_surplus(planned, usable, wanted))


def _without_surplus(planned: Sequence[MemberId], usable: Sequence[MemberId], wanted: int) -> list[MemberId]:
    """Return the witnesses without the pairs beyond `wanted`: drop unusable ones first, then the last usable ones."""
    surplus = max(0, len(planned) - wanted) // 2 * 2
    ranked = sorted(planned, key=lambda member: usable.index(member) if member in usable else len(usable))
    kept = set(ranked[: len(planned) - surplus])
    return [member for member in planned if member in kept]


def _index_to_replace(
    standby: MemberId,
    planned: Sequence[MemberId],
    usable: Sequence[MemberId],
    is_replaceable: Callable[[MemberId], bool],
) -> int | None:
    """Return the index of the witness to replace: one at the address of `standby`, else an unusable replaceable one."""
    for place, witness in enumerate(planned):
        if member_ip(witness) == member_ip(standby):
            return place
    for place, witness in enumerate(planned):
        if witness not in usable and is_replaceable(witness):
            return place
    return None
