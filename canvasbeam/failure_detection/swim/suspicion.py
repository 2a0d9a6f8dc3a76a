"""Rules for suspicion timeouts, and for declaring a suspect dead or accepting a reported death.

SWIM, section 4.2; Lifeguard's suspicion timeouts, which shrink with the number of suspecting members. This module
contains only the rules; `member_updates.py` applies them to members.

Without these rules, an instance that is cut off, even in one direction only, would declare all others dead. After a
partition, each side reports the other side dead, and by such reports an instance would also accept deaths of members on
its own side.
"""

from __future__ import annotations

from math import log

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim.gossip import Gossip
from canvasbeam.failure_detection.swim.local_health import LocalHealth
from canvasbeam.failure_detection.swim.member_table import Member, MemberTable
from canvasbeam.failure_detection.swim.messages import MemberUpdate
from canvasbeam.failure_detection.swim.parameters import SwimParameters
from canvasbeam.failure_detection.swim.reachability import Reachability

SUSPICION_DOUBLING_UPDATES = 60  # number of updates being spread that doubles the length of suspicions


class SuspicionRules:
    """Computes suspicion timeouts from the local health, reachability and gossip load of this instance."""

    def __init__(
        self,
        parameters: SwimParameters,
        members: MemberTable,
        reachability: Reachability,
        health: LocalHealth,
        gossip: Gossip,
    ) -> None:
        self._parameters = parameters
        self._members = members
        self._reachability = reachability
        self._health = health
        self._gossip = gossip

    def may_declare_dead(self, member: Member, now: int) -> bool:
        """Return True if this instance receives datagrams, and a ping sent since the suspicion began was answered."""
        reachability = self._reachability
        is_receiving = now - reachability.last_received_at < self._parameters.min_suspicion
        return is_receiving and reachability.confirmed_at > member.since and reachability.is_confirmed(now)

    def may_accept_death(self, death: MemberUpdate, member: Member, now: int) -> bool:
        """Return True if a reported death may be accepted.

        The member must be suspect in the same incarnation, and silent for `min_suspicion` times the health factor.
        """
        known = member.known
        if known.status is not MemberStatus.SUSPECT or not death.is_of_same_incarnation(known):
            return False
        min_silence = self._parameters.min_suspicion * self._health.suspicion_factor
        return now >= max(member.since, member.last_received_at) + min_silence

    def deadline(self, member: Member, now: int) -> int:
        """Return the time in nanoseconds at which a suspect that has not refuted is declared dead.

        In a fleet of two, a partition looks like the death of the other instance; after `isolation_timeout` the
        remaining instance declares the death.
        """
        end = round(max(member.since, member.last_received_at) + self._timeout(member))
        if self.may_declare_dead(member, now):
            return end
        return max(end, now + self._parameters.isolation_timeout - self._reachability.quiet_time(now))

    def _timeout(self, member: Member) -> float:
        """Return the length of a suspicion in nanoseconds, which shrinks with the number of suspecting members.

        Lifeguard's formula, lengthened if this process itself is slow. The length also grows with the updates being
        spread: when half of a fleet returns, more updates are spread than datagrams hold, and refutations are late.
        """
        parameters = self._parameters
        others = max(1, self._members.fleet_size - 1)
        wanted = min(parameters.confirmations, others)
        share = log(min(max(1, len(member.suspected_by)), wanted + 1)) / log(wanted + 1)
        timeout = parameters.max_suspicion - share * (parameters.max_suspicion - parameters.min_suspicion)
        return timeout * (
            self._health.suspicion_factor * (1 + self._gossip.spreading_count / SUSPICION_DOUBLING_UPDATES)
        )

    def restart_all(self, now: int) -> None:
        """Restart all suspicions, because no member could refute while this instance was cut off."""
        for suspect in self._members.suspects.values():
            suspect.since = now

    def postpone_all(self, stall: int) -> None:
        """Postpone all suspicions by `stall` nanoseconds in which this process did not run."""
        for suspect in self._members.suspects.values():
            suspect.since += stall
