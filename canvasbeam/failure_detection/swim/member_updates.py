"""Applies updates to the member table, starts and expires suspicions, and removes absent members.

This module owns every change of the member table. A lower update must never replace a higher one. A reported death must
never be accepted at once, because otherwise a partition that heals would kill members. The package's docstring has the
table of member states.
"""

from __future__ import annotations

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim.actions import PendingActions
from canvasbeam.failure_detection.swim.datagram_sender import DatagramSender
from canvasbeam.failure_detection.swim.gossip import Gossip
from canvasbeam.failure_detection.swim.member_table import Member, MemberTable
from canvasbeam.failure_detection.swim.messages import Datagram, DatagramKind, MemberUpdate
from canvasbeam.failure_detection.swim.parameters import SwimParameters
from canvasbeam.failure_detection.swim.ping_order import PingOrder
from canvasbeam.failure_detection.swim.suspicion import SuspicionRules


class MemberUpdates:
    """Changes the member table on updates from other members, on failed pings, and on timeouts."""

    def __init__(
        self,
        *,
        own_name: str,
        parameters: SwimParameters,
        members: MemberTable,
        rules: SuspicionRules,
        order: PingOrder,
        gossip: Gossip,
        sender: DatagramSender,
        actions: PendingActions,
    ) -> None:
        self._own_name = own_name
        self._parameters = parameters
        self._members = members
        self._rules = rules
        self._order = order
        self._gossip = gossip
        self._sender = sender
        self._actions = actions

    # --- updates from other members -----------------------------------------------------------------------------------

    def apply(self, now: int, update: MemberUpdate, source: str) -> None:
        """Apply an update about another member, received from `source`, if the update is higher than the known one."""
        member = self._members.get(update.name)
        if member is None:
            self._add(now, update, source)
            return
        if update.status is MemberStatus.SUSPECT and update.rank == member.known.rank:
            self._confirm(member, update)
        if update.rank <= member.known.rank:
            return
        is_reported_death = update.status is MemberStatus.DEAD and member.is_present
        if is_reported_death and not self._rules.may_accept_death(update, member, now):
            # The source of the reported death counts as one more suspecting member. The member reported dead is sent
            # the suspicion at once, so that it can refute.
            suspicion = MemberUpdate(
                update.name, update.address, MemberStatus.SUSPECT, update.start, update.incarnation, source
            )
            self.apply(now, suspicion, source)
            self.send_claims(now, member)
            return
        self.set_known(now, member, update, _reason(update, source))

    def _add(self, now: int, update: MemberUpdate, source: str) -> None:
        if update.status > MemberStatus.SUSPECT or not self._make_space():
            return
        member = self._members[update.name] = Member(update, now, suspected_by={update.suspected_by})
        self._order.add(update.name)
        self._gossip.add_newcomer(update.address, now)
        self._members.on_status_changed(member)
        self._report(member, "unknown", _reason(update, source))
        self._gossip.spread(update)

    def set_known(self, now: int, member: Member, update: MemberUpdate, why: str) -> None:
        """Store an update as the known one. Every change of a member's status goes through this method."""
        before = member.known
        member.known = update
        if update.start > before.start:
            member.last_received_at = 0
            self._gossip.add_newcomer(update.address, now)
        if update.status is MemberStatus.SUSPECT:
            # Also if an older incarnation was suspect: the suspicion of the newer incarnation starts now, not at the
            # start of the older suspicion.
            member.suspected_by = {update.suspected_by}
            member.since = now
        if update.status is not before.status:
            member.since = now
            self._members.on_status_changed(member)
            self._report(member, before.status.name.lower(), why)
        self._gossip.spread(update)

    def _confirm(self, member: Member, update: MemberUpdate) -> None:
        """Count one more suspecting member: each shortens the suspicion, and the first few confirmations are spread."""
        suspecting = update.suspected_by
        has_enough = len(member.suspected_by) > self._parameters.confirmations
        if suspecting and suspecting not in member.suspected_by and not has_enough:
            member.suspected_by.add(suspecting)
            self._gossip.spread(update)

    # --- suspicions ---------------------------------------------------------------------------------------------------

    def suspect(self, now: int, member: Member, why: str) -> None:
        """Suspect a member that answered neither direct nor indirect pings, and send the member the suspicion."""
        known = member.known
        suspicion = MemberUpdate(
            known.name, known.address, MemberStatus.SUSPECT, known.start, known.incarnation, self._own_name
        )
        if known.status is MemberStatus.SUSPECT:
            self._confirm(member, suspicion)
        elif known.status is MemberStatus.ALIVE:
            self.set_known(now, member, suspicion, why)
            self._sender.send(known.address, Datagram(DatagramKind.UPDATES), (suspicion,))

    def expire_suspicions(self, now: int) -> None:
        """Declare dead each member whose suspicion has timed out."""
        for member in tuple(self._members.suspects.values()):
            if now < self._rules.deadline(member, now):
                continue
            known = member.known
            death = MemberUpdate(known.name, known.address, MemberStatus.DEAD, known.start, known.incarnation)
            by = ", ".join(sorted(member.suspected_by))
            evidence = "not heard of" if self._rules.may_declare_dead(member, now) else "nothing heard at all"
            self.set_known(now, member, death, f"suspected by {by}, and {evidence}")

    def next_deadline(self, now: int) -> int | None:
        """Return the time in nanoseconds at which the next suspicion times out; None if no member is suspect."""
        return min((self._rules.deadline(member, now) for member in self._members.suspects.values()), default=None)

    # --- claims that a member may refute ------------------------------------------------------------------------------

    def claims_about(self, name: str) -> tuple[MemberUpdate, ...]:
        """Return the update that calls this member suspect or dead, for the member to refute; () if none exists."""
        member = self._members.get(name)
        if member is None or member.known.status not in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            return ()
        return (member.known,)

    def send_claims(self, now: int, member: Member) -> None:
        """Send a member its own suspect or dead status to refute, at most once per `direct_ping_timeout`."""
        claims = self.claims_about(member.known.name)
        if claims and now - member.corrected_at >= self._parameters.direct_ping_timeout:
            member.corrected_at = now
            self._sender.send(member.known.address, Datagram(DatagramKind.UPDATES), claims)

    # --- bounds -------------------------------------------------------------------------------------------------------

    def forget_expired(self, now: int) -> None:
        """Remove members that have been dead for `dead_retention` or have left for `left_retention`."""
        for member in self._members.absent():
            has_left = member.known.status is MemberStatus.LEFT
            retention = self._parameters.left_retention if has_left else self._parameters.dead_retention
            if now - member.since >= retention:
                self._forget(member.known.name)

    def _make_space(self) -> bool:
        """Return True if a new member fits into the table, after evicting the longest absent member if necessary."""
        if len(self._members) < self._parameters.max_members:
            return True
        name = self._members.longest_absent()
        if name is None:
            return False
        self._forget(name)
        return True

    def _forget(self, name: str) -> None:
        self._members.forget(name)
        self._gossip.drop(name)

    def _report(self, member: Member, before: str, why: str) -> None:
        self._actions.report(member.known.name, before, member.known.status.name.lower(), why)


def _reason(update: MemberUpdate, source: str) -> str:
    return "it answered us itself" if update.name == source else f"told by {source}"
