"""Planning of the next view from the previous view and the liveness of the members.

The module owns only the time for which a candidacy has waited for members that are not leaving; `view_rules` contains
the membership rules. The planner proposes views, and never puts a view in force.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from canvasbeam.replication.member_liveness import MemberLiveness
from canvasbeam.replication.view_rules import min_replicas, plan_view, plan_witnesses
from canvasbeam.replication.views import NO_EPOCH, Epoch, MemberId, View


class ViewPlanner:
    """Proposes views with this member as the primary.

    `is_caught_up(member, now)` returns True if a joining member lacks only recent changes.
    """

    def __init__(
        self,
        me: MemberId,
        liveness: MemberLiveness,
        tolerated_machines: int,
        answer_grace_ns: int,
        is_caught_up: Callable[[MemberId, int], bool] = lambda _member, _now: True,
    ) -> None:
        self._me = me
        self._liveness = liveness
        self._tolerated_machines = tolerated_machines
        self._answer_grace_ns = answer_grace_ns
        self._is_caught_up = is_caught_up
        # Epoch of the candidacy that found too few members that are not leaving, and the time since which it waits.
        self._shortage_epoch = NO_EPOCH
        self._shortage_since = 0

    def plan(self, base: View, in_force: bool, epoch: Epoch, promised: frozenset[MemberId], now: int) -> View | None:
        """Return the view that a candidate should propose, or None if the candidate should wait for more promises.

        `promised` are the healthy members that answered the candidate. The view excludes leaving members, unless too
        few other members are usable or answer within `answer_grace_ns`. The view includes joining members that have
        not caught up only if too few other members are usable.
        """
        usable = self._usable(base, promised, now)
        ready = self._ready(usable, base, now)
        view = self._propose(self._staying(ready), base, in_force, epoch, now)
        if view is not None:
            return view
        if self._staying(usable) != usable and not self._has_waited_for_staying(epoch, now):
            return None
        return self._propose(ready, base, in_force, epoch, now) or self._propose(usable, base, in_force, epoch, now)

    def needs_view_change(self, view: View, now: int) -> bool:
        """Return True if a primary should change its view: a member is lost, is back, leaves, or can be replaced."""
        ready = self._ready(self._usable(view, None, now), view, now)
        planned = self._propose(self._staying(ready), view, True, view.epoch, now)
        return _is_change(planned or self._propose(ready, view, True, view.epoch, now), view)

    def will_need_view_change(self, view: View, now: int) -> bool:
        """Return True if a primary should change its view now, or once the joining members have caught up."""
        staying = self._staying(self._usable(view, None, now))
        return _is_change(self._propose(staying, view, True, view.epoch, now), view)

    def members_to_catch_up(self, view: View, now: int) -> list[MemberId]:
        """Return the live non-replicas, which a primary keeps caught up so that each of them may join at any time."""
        staying = self._staying(self._known(view))
        others = [member for member in staying if member not in (self._me, *view.replicas)]
        return [member for member in others if self._liveness.is_alive(member, now)]

    def can_remove(self, member: MemberId, view: View, now: int) -> bool:
        """Return True if the remaining members, without `member` and leaving ones, can keep as many voters."""
        staying = [other for other in self._staying(self._usable(view, None, now)) if other != member]
        planned = plan_witnesses(
            view.witnesses,
            staying,
            lambda other: other == member or self._is_replaceable(other, now),
            2 * self._tolerated_machines + 1,
        )
        if any(witness == member or self._liveness.is_leaving(witness) for witness in planned):
            return False
        copies = sum(1 for witness in planned if witness in staying)
        return copies >= min_replicas(len(planned), self._tolerated_machines)

    def _known(self, base: View) -> list[MemberId]:
        return list(dict.fromkeys((self._me, *base.members, *sorted(self._liveness.known()))))

    def _usable(self, base: View, promised: frozenset[MemberId] | None, now: int) -> list[MemberId]:
        """Return the members usable in a view planned by a candidate with these promises, or by a primary (None)."""
        return [member for member in self._known(base) if self._is_usable(member, base, promised, now)]

    def _ready(self, usable: Sequence[MemberId], base: View, now: int) -> list[MemberId]:
        """Return the usable members that are this member, replicas of `base`, or caught up."""
        present = (self._me, *base.replicas)
        return [member for member in usable if member in present or self._is_caught_up(member, now)]

    def _staying(self, members: Sequence[MemberId]) -> list[MemberId]:
        return [member for member in members if member == self._me or not self._liveness.is_leaving(member)]

    def _propose(self, members: Sequence[MemberId], base: View, in_force: bool, epoch: Epoch, now: int) -> View | None:
        return plan_view(
            base,
            in_force,
            epoch=epoch,
            primary=self._me,
            usable=members,
            is_replaceable=lambda member: self._is_replaceable(member, now),
            tolerated_machines=self._tolerated_machines,
        )

    def _has_waited_for_staying(self, epoch: Epoch, now: int) -> bool:
        if self._shortage_epoch != epoch:
            self._shortage_epoch = epoch
            self._shortage_since = now
        return now - self._shortage_since >= self._answer_grace_ns

    def _is_replaceable(self, member: MemberId, now: int) -> bool:
        return self._liveness.is_leaving(member) or self._liveness.is_replaceable(member, now)

    def _is_usable(self, member: MemberId, base: View, promised: frozenset[MemberId] | None, now: int) -> bool:
        if member == self._me:
            return True
        if promised is not None and member in base.members:
            return member in promised and self._liveness.is_alive(member, now)
        if member in base.replicas:
            return self._liveness.is_alive(member, now)
        # A primary adds only members that answer its messages: a view with an unreachable member would not last.
        if promised is None:
            return self._liveness.may_join(member, now)
        return self._liveness.is_steady(member, now)


def _is_change(planned: View | None, view: View) -> bool:
    """Return True if the planned view has other replicas or witnesses than the current view."""
    if planned is None:
        return False
    return set(planned.replicas) != set(view.replicas) or set(planned.witnesses) != set(view.witnesses)
