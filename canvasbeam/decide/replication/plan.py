"""Whom a new view consists of, by the view before it and by who is alive."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from canvasbeam.decide.replication.contacts import Contacts
from canvasbeam.decide.replication.types import Epoch, MemberId, View, member_ip


class ViewPlanner:
    """Proposes views of one member as the primary.

    `is_caught_up` tells of a member that is to join a view whether it has nearly everything.
    """

    def __init__(
        self,
        me: MemberId,
        contacts: Contacts,
        tolerated_machines: int,
        is_caught_up: Callable[[MemberId], bool] = lambda _: True,
    ) -> None:
        self._me = me
        self._contacts = contacts
        self._tolerated_machines = tolerated_machines
        self._is_caught_up = is_caught_up

    def plan(
        self, base: View, settled: bool, epoch: Epoch, promised: frozenset[MemberId] | None, now: int
    ) -> View | None:
        """The view to propose. `promised` are the healthy members that answered a candidate, if there is one.

        Members that are to join and have not caught up are used by a candidate alone, and only where it needs them.
        """
        usable = [each for each in self._known(base) if self._is_usable(each, base, promised, now)]
        ready = [each for each in usable if each in base.replicas or each == self._me or self._is_caught_up(each)]
        view = self._plan_of(base, settled, epoch, ready, now)
        if view is None and promised is not None:
            view = self._plan_of(base, settled, epoch, usable, now)
        return view

    def followers(self, view: View, now: int) -> list[MemberId]:
        """Who is heard and no replica: a primary brings these up to date, so that each may join when it has a place."""
        alive = [each for each in self._known(view) if each != self._me and self._contacts.is_alive(each, now)]
        return [each for each in alive if each not in view.replicas]

    def _known(self, base: View) -> list[MemberId]:
        return list(dict.fromkeys((self._me, *base.members, *sorted(self._contacts.known()))))

    def _plan_of(self, base: View, settled: bool, epoch: Epoch, usable: Sequence[MemberId], now: int) -> View | None:
        return plan_view(
            base,
            settled,
            epoch=epoch,
            primary=self._me,
            usable=usable,
            is_gone=lambda member: self._contacts.is_gone(member, now),
            tolerated_machines=self._tolerated_machines,
        )

    def wants_change(self, view: View, now: int) -> bool:
        """Whether a primary should change its view: a member is silent, is back, or has a successor."""
        planned = self.plan(view, True, view.epoch, None, now)
        if planned is None:
            return False
        return set(planned.replicas) != set(view.replicas) or set(planned.witnesses) != set(view.witnesses)

    def _is_usable(self, member: MemberId, base: View, promised: frozenset[MemberId] | None, now: int) -> bool:
        if member == self._me:
            return True
        if promised is not None and member in base.members:
            return member in promised and self._contacts.is_alive(member, now)
        if member in base.replicas:
            return self._contacts.is_alive(member, now)
        return self._contacts.is_steady(member, now)


def plan_view(
    base: View,
    settled: bool,
    *,
    epoch: Epoch,
    primary: MemberId,
    usable: Sequence[MemberId],
    is_gone: Callable[[MemberId], bool],
    tolerated_machines: int,
) -> View | None:
    """The view that the primary should propose, or None where too few members are usable.

    The witnesses change only on top of a view that is known to be in force: at most one step of the electorate is
    open at any time. Every usable witness is a replica.
    """
    witnesses = base.witnesses
    previous = base.previous_witnesses
    if settled:
        previous = base.witnesses
        witnesses = plan_witnesses(base.witnesses, usable, is_gone, 2 * tolerated_machines + 1)
    replicas = tuple(each for each in (primary, *witnesses) if each in usable)
    replicas = tuple(dict.fromkeys(replicas))
    if primary not in witnesses or len(replicas) < fewest_replicas(len(witnesses), tolerated_machines):
        return None
    return View(epoch, primary, replicas, witnesses, previous)


def fewest_replicas(witnesses: int, tolerated_machines: int) -> int:
    """One more than may be lost; less only while the system is smaller than its final size."""
    return min(tolerated_machines + 1, witnesses // 2 + 1)


def plan_witnesses(
    witnesses: Sequence[MemberId],
    usable: Sequence[MemberId],
    is_gone: Callable[[MemberId], bool],
    wanted: int,
) -> tuple[MemberId, ...]:
    """Put new members in the places of those that lost their disk or are gone; grow by pairs up to `wanted`."""
    planned = list(witnesses)
    spares = [each for each in usable if each not in planned]
    for spare in list(spares):
        place = _place_for(spare, planned, usable, is_gone)
        if place is not None:
            planned[place] = spare
            spares.remove(spare)
    while len(planned) < wanted:
        step = 2 if len(planned) % 2 else 1
        if len(spares) < step:
            break
        planned += spares[:step]
        del spares[:step]
    return tuple(planned)


def _place_for(
    spare: MemberId,
    planned: Sequence[MemberId],
    usable: Sequence[MemberId],
    is_gone: Callable[[MemberId], bool],
) -> int | None:
    for place, witness in enumerate(planned):
        if member_ip(witness) == member_ip(spare):
            return place
    for place, witness in enumerate(planned):
        if witness not in usable and is_gone(witness):
            return place
    return None
