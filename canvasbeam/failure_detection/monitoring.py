"""Failure detection of the cluster's nodes: each member is pinged by a few monitors.

The module is pure: input is events and the time in whole nanoseconds, output is actions. `monitor_choice.py` assigns
monitors to members.

| state of a target | from | to |
| --- | --- | --- |
| answering | first monitored; the target answered or refuted a suspicion | unresponsive: no answer within the timeout |
| unresponsive | | answering |

Every state change goes through `Monitoring._set_state`. A monitor publishes an unresponsive target as suspect. The
target refutes the suspicion by publishing a higher incarnation; a target that does not refute in time is declared dead.
A node that receives nothing suspects no member, and only a node in contact with most of the control nodes declares a
member dead.

This detector differs from `swim/`, the failure detector of schedulers in service, which have no control plane. In SWIM
every instance pings every other one in turn, suspicions spread by gossip, and each suspecting instance declares a death
by itself. Here members and suspicions are replicated items, which exist anyway; a member's timeout grows with each
refutation; and declaring a death needs contact with a majority. Both detectors suppress suspicions or deaths while the
node is cut off and after a stall, but the suppressed steps differ too much to share code.

On the wire a ping is a `Probe` (`cluster/membership.proto`); `cluster/node.py` translates between the two.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.monitor_choice import MonitorCandidates, control_monitors, region_monitors
from canvasbeam.failure_detection.node_location import NodeLocation
from canvasbeam.runtime.settings import Address
from canvasbeam.units import MILLISECOND, SECOND

PING_NUMBER_MODULUS = 1 << 15  # ping numbers wrap around to 0 at this value


@dataclass(frozen=True, slots=True)
class MonitoringParameters:
    """Intervals and timeouts of monitoring, in nanoseconds."""

    ping_interval: int = 300 * MILLISECOND  # time between two pings to the same target
    answer_timeout: int = 900 * MILLISECOND  # time without an answer after which a target is unresponsive
    max_answer_timeout: int = 7_200 * MILLISECOND  # upper bound of `answer_timeout`, which doubles per refutation
    suspicion_timeout: int = 600 * MILLISECOND  # time that a suspect has to refute the suspicion
    receive_timeout: int = 500 * MILLISECOND  # time without any message after which a node counts as cut off
    stall_threshold: int = 400 * MILLISECOND  # a tick late by more than this means that the process stalled
    assignment_interval: int = 300 * MILLISECOND  # minimum time between two assignments of monitors
    recovery_time: int = 15_000 * MILLISECOND  # time of steady answers that resets the answer timeout


@dataclass(frozen=True, slots=True)
class KnownMember:
    """A member as described by its current replicated item."""

    location: NodeLocation
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class SendPing:
    """Send a ping to a target. The ping carries the target's published status, which the target may refute."""

    address: Address
    number: int
    incarnation: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class PublishStatus:
    """Publish a new status of a member as a replicated item."""

    key: str
    incarnation: int
    status: MemberStatus


class TargetState(IntEnum):
    """The state of a monitored target: answering or unresponsive."""

    ANSWERING = 0
    UNRESPONSIVE = 1


@dataclass(slots=True)
class Target:
    """A member that this node monitors, with the times of its signs of life in nanoseconds."""

    known: KnownMember
    last_received_at: int
    answer_timeout: int
    state: TargetState = TargetState.ANSWERING
    answering_since: int = 0
    last_message_at: int = -SECOND  # when the target last sent a message of its own over a connection


class Monitoring:
    """Failure detection by one node; owns the node's targets and the start time of each suspicion."""

    def __init__(self, me: NodeLocation, parameters: MonitoringParameters, now: int) -> None:
        self.me = me
        self.parameters = parameters
        self.stale_answers = 0
        self._targets: dict[str, Target] = {}
        self._targets_by_address: dict[Address, Target] = {}
        self._members: dict[str, KnownMember] = {}
        self._suspected_at: dict[str, int] = {}
        self._eligible: frozenset[str] = frozenset()  # keys of alive members; only these may be monitors
        self._assigned_at = now - parameters.assignment_interval
        self._is_assigned = True
        self._last_received_at = now
        self._ping_number = 0
        self._next_ping_at = now + parameters.ping_interval
        self._ticked_at = now

    # --- events -------------------------------------------------------------------------------------------------------

    def set_members(self, now: int, members: Sequence[KnownMember]) -> None:
        """Replace the list of alive and suspect members by the members of the current items."""
        self._members = {member.location.key: member for member in members}
        self._suspected_at = {
            member.location.key: self._suspected_at.get(member.location.key, now)
            for member in members
            if member.status is MemberStatus.SUSPECT
        }
        for key, target in self._targets.items():
            known = self._members.get(key)
            if known is not None:
                self._set_known(now, target, known)
        eligible = frozenset(member.location.key for member in members if member.status is MemberStatus.ALIVE)
        if eligible != self._eligible or self._members.keys() - self._eligible:
            self._eligible = eligible
            self._is_assigned = False

    def on_received(self, now: int) -> None:
        """Record that a message arrived, which shows that this node is not cut off."""
        self._last_received_at = now

    def on_message(self, now: int, sender: Address) -> None:
        """Record a message over a connection; a target that sends such messages often is not pinged."""
        self._on_sign_of_life(now, sender)
        target = self._targets_by_address.get(sender)
        if target is not None:
            target.last_message_at = now

    def on_answer(self, now: int, sender: Address, number: int) -> None:
        """Record a target's answer to a ping; only count the answer to an old ping, which is no sign of life now."""
        age = (self._ping_number - number) % PING_NUMBER_MODULUS * self.parameters.ping_interval
        if age > self.parameters.max_answer_timeout:
            self.stale_answers += 1
        else:
            self._on_sign_of_life(now, sender)

    def _on_sign_of_life(self, now: int, sender: Address) -> None:
        self.on_received(now)
        target = self._targets_by_address.get(sender)
        if target is None:
            return
        target.last_received_at = now
        self._set_state(now, target, TargetState.ANSWERING)
        if now - target.answering_since > self.parameters.recovery_time:
            target.answer_timeout = self.parameters.answer_timeout

    def tick(self, now: int, has_majority: bool) -> list[SendPing | PublishStatus]:
        """Return the pings and status changes that are due.

        `has_majority` is True if this node is in contact with most of the control nodes.
        """
        if now - self._ticked_at > self.parameters.stall_threshold + self.parameters.ping_interval:
            self._on_stall(now)
        self._ticked_at = now
        if not self._is_assigned and now - self._assigned_at >= self.parameters.assignment_interval:
            self._assign(now)
        if now < self._next_ping_at:
            return []
        self._next_ping_at = now + self.parameters.ping_interval
        return [*self._detect_failures(now, has_majority), *self._pings(now)]

    def wake(self) -> int:
        """Return the time in nanoseconds at which `tick` must next be called at the latest."""
        return self._next_ping_at

    def is_unresponsive(self, key: str) -> bool:
        """Return True if this node monitors this member and receives no answer from the member."""
        target = self._targets.get(key)
        return target is not None and target.state is TargetState.UNRESPONSIVE

    def _is_cut_off(self, now: int) -> bool:
        return now - self._last_received_at >= self.parameters.receive_timeout

    # --- decisions ----------------------------------------------------------------------------------------------------

    def _detect_failures(self, now: int, has_majority: bool) -> list[PublishStatus]:
        if self._is_cut_off(now):
            return []
        detected = [self._suspect(now, target) for target in self._targets.values()]
        if has_majority:
            detected += [self._declare_dead(now, key, since) for key, since in self._suspected_at.items()]
        return [status for status in detected if status is not None]

    def _suspect(self, now: int, target: Target) -> PublishStatus | None:
        known = target.known
        if now - target.last_received_at < target.answer_timeout:
            return None
        self._set_state(now, target, TargetState.UNRESPONSIVE)
        if known.status is not MemberStatus.ALIVE:
            return None
        return PublishStatus(known.location.key, known.incarnation, MemberStatus.SUSPECT)

    def _declare_dead(self, now: int, key: str, since: int) -> PublishStatus | None:
        """Declare a suspect dead when its suspicion has timed out.

        Control nodes and monitors need no vote to agree, because they all publish the same item.
        """
        if now - since < self.parameters.suspicion_timeout or not (self.me.is_control or key in self._targets):
            return None
        return PublishStatus(key, self._members[key].incarnation, MemberStatus.DEAD)

    def _pings(self, now: int) -> list[SendPing]:
        self._ping_number = (self._ping_number + 1) % PING_NUMBER_MODULUS
        return [
            SendPing(target.known.location.address, self._ping_number, target.known.incarnation, target.known.status)
            for target in self._targets.values()
            if now - target.last_message_at >= self.parameters.ping_interval
        ]

    def _set_known(self, now: int, target: Target, known: KnownMember) -> None:
        """Store a member's new item; double the timeout of a target that refuted, because the target is alive."""
        has_refuted = known.incarnation > target.known.incarnation and target.known.status is MemberStatus.SUSPECT
        target.known = known
        if has_refuted and target.state is TargetState.UNRESPONSIVE:
            target.answer_timeout = min(2 * target.answer_timeout, self.parameters.max_answer_timeout)
            target.last_received_at = now
            self._set_state(now, target, TargetState.ANSWERING)

    def _set_state(self, now: int, target: Target, state: TargetState) -> None:
        """Set the state of a target. Every state change of a target goes through this method."""
        if state is TargetState.ANSWERING and target.state is TargetState.UNRESPONSIVE:
            target.answering_since = now
        target.state = state

    def _assign(self, now: int) -> None:
        """Recompute which members this node monitors."""
        self._is_assigned = True
        self._assigned_at = now
        candidates = MonitorCandidates.of(
            member.location for key, member in self._members.items() if key in self._eligible or key == self.me.key
        )
        targets: dict[str, Target] = {}
        for key, known in self._members.items():
            if key != self.me.key and self._is_monitor_of(known.location, candidates):
                fresh = Target(known, now, self.parameters.answer_timeout, answering_since=now)
                targets[key] = self._targets.get(key, fresh)
        self._targets = targets
        self._targets_by_address = {target.known.location.address: target for target in targets.values()}

    def _is_monitor_of(self, target: NodeLocation, candidates: MonitorCandidates) -> bool:
        if self.me.is_control:
            return self.me in control_monitors(target, candidates)
        return target.region == self.me.region and self.me in region_monitors(target, candidates)

    def _on_stall(self, now: int) -> None:
        """Restart the timeouts of all targets and suspicions after a stall.

        Messages that this process did not receive during its stall say nothing about the targets.
        """
        for target in self._targets.values():
            target.last_received_at = max(target.last_received_at, now - self.parameters.ping_interval)
        self._suspected_at = dict.fromkeys(self._suspected_at, now)
