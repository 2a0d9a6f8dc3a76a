"""The entry point of the SWIM membership: routes events to the other modules and collects their actions.

This module only decides on the routing. `PingExchange` sends pings and processes answers, `MemberUpdates` changes
members, `OwnInstance` refutes, `Gossip` and `DatagramSender` spread updates. The package's docstring lists the
states of a member and of this instance. A sender that has not answered a ping from this instance must never add a
member, because its datagram may be outdated or forged.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim.actions import PendingActions
from canvasbeam.failure_detection.swim.datagram_sender import DatagramSender
from canvasbeam.failure_detection.swim.gossip import Gossip
from canvasbeam.failure_detection.swim.local_health import LocalHealth
from canvasbeam.failure_detection.swim.member_table import Member, MemberTable
from canvasbeam.failure_detection.swim.member_updates import MemberUpdates
from canvasbeam.failure_detection.swim.messages import (
    Action,
    Datagram,
    DatagramKind,
    DatagramReceived,
    Event,
    LeaveRequested,
    MemberUpdate,
    Sender,
    Ticked,
)
from canvasbeam.failure_detection.swim.own_instance import OwnInstance
from canvasbeam.failure_detection.swim.parameters import SwimParameters
from canvasbeam.failure_detection.swim.ping_exchange import PingExchange
from canvasbeam.failure_detection.swim.ping_order import PingOrder
from canvasbeam.failure_detection.swim.reachability import Reachability
from canvasbeam.failure_detection.swim.suspicion import SuspicionRules
from canvasbeam.failure_detection.swim.view import MembershipView, OwnState
from canvasbeam.units import MILLISECOND as MS
from canvasbeam.units import SECOND

CLEANUP_INTERVAL = SECOND  # nanoseconds between two checks for expired absent members
MIN_WAKE_DELAY = MS  # nanoseconds; minimum delay before work that could not be done now is retried


class Membership:
    """The membership protocol of one instance. Times in nanoseconds; randomness comes only from the seed."""

    def __init__(self, me: Sender, seeds: Iterable[str], parameters: SwimParameters, seed: int, now: int) -> None:
        rng = random.Random(seed)
        other_seeds = [address for address in dict.fromkeys(seeds) if address != me.address]
        self.parameters = parameters
        self.members = MemberTable()
        self._actions = PendingActions()
        self._health = LocalHealth(parameters.max_health_level)
        self._gossip = Gossip(parameters, self.members, rng, now)
        self._order = PingOrder(me.name, self.members, rng)
        self.reachability = Reachability(parameters, self.members, now)
        self.own = OwnInstance(me, parameters, self._health, self._gossip, self._actions)
        self._rules = SuspicionRules(parameters, self.members, self.reachability, self._health, self._gossip)
        self._sender = DatagramSender(
            parameters=parameters,
            own=self.own,
            members=self.members,
            gossip=self._gossip,
            actions=self._actions,
            rng=rng,
        )
        self.updates = MemberUpdates(
            own_name=me.name,
            parameters=parameters,
            members=self.members,
            rules=self._rules,
            order=self._order,
            gossip=self._gossip,
            sender=self._sender,
            actions=self._actions,
        )
        self.pings = PingExchange(
            parameters=parameters,
            own=self.own,
            members=self.members,
            updates=self.updates,
            rules=self._rules,
            order=self._order,
            reachability=self.reachability,
            health=self._health,
            sender=self._sender,
            rng=rng,
            seeds=other_seeds,
            now=now,
        )
        self._next_cleanup_at = now + CLEANUP_INTERVAL
        self._wake = now
        self._gossip.spread(self.own.update())

    # --- entry point and queries --------------------------------------------------------------------------------------

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Process events and due timers, and return the resulting actions; set `wake` to the next timer."""
        self._actions.clear()
        self._check_for_stall(now)
        for event in events:
            match event:
                case DatagramReceived(sender, datagram):
                    self.on_received(now, sender, datagram)
                case LeaveRequested():
                    self._on_leave()
                case Ticked():
                    pass
        self._run_due_work(now)
        self._wake = self._next_wake(now)
        return self._actions.take()

    @property
    def name(self) -> str:
        """Name of this instance."""
        return self.own.name

    @property
    def address(self) -> str:
        """Address at which other instances reach this instance."""
        return self.own.address

    @property
    def start(self) -> int:
        """Published start time of this process, in milliseconds since the epoch."""
        return self.own.start

    @property
    def incarnation(self) -> int:
        """Current incarnation of this instance."""
        return self.own.incarnation

    @property
    def own_state(self) -> OwnState:
        """State of this instance."""
        return self.own.state

    @property
    def health(self) -> int:
        """Local health level of this instance, from 0 (healthy) to `max_health_level`."""
        return self._health.level

    @property
    def wake(self) -> int:
        """Time in nanoseconds of the next call of `handle`, with `Ticked` if no other event has arrived."""
        return self._wake

    def view(self, now: int) -> MembershipView:
        """Return the present and absent members, with a confidence in this information."""
        present = [member.known.name for member in self.members.present()]
        absent = [member.known.name for member in self.members.absent()]
        is_cut_off, is_unanswered = self.reachability.is_cut_off(now), not self.reachability.is_confirmed(now)
        own = [self.name] if self.own.state in (OwnState.JOINING, OwnState.MEMBER) else []
        return MembershipView(
            present=tuple(sorted(present + own)),
            absent=tuple(sorted(absent)),
            confidence=0.0 if is_cut_off or is_unanswered else self._health.answered_share,
            nothing_received_since=self.reachability.last_received_at if is_cut_off else None,
            unanswered_since=self.reachability.confirmed_at if is_unanswered else None,
        )

    # --- time ---------------------------------------------------------------------------------------------------------

    def _check_for_stall(self, now: int) -> None:
        """Detect that this process did not run for a while, and restart its timeouts.

        After a stall every answer is overdue, so without this check the instance would declare all others dead.
        """
        stall = now - self._wake
        if stall < self.parameters.stall_threshold:
            return
        self._health.on_stall()
        self.reachability.on_stall(now)
        self.pings.on_stall()
        self._rules.postpone_all(stall)

    def _run_due_work(self, now: int) -> None:
        self.pings.expire(now)
        self.updates.expire_suspicions(now)
        self.pings.send_due(now)
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + CLEANUP_INTERVAL
            self.updates.forget_expired(now)
            self._gossip.expire_newcomers(now)
            self.own.reclaim_name_if_free(now)
        self._sender.send_gossip(now)

    def _next_wake(self, now: int) -> int:
        times = (
            self.pings.next_ping_at, self._gossip.next_at, self.pings.next_expiry(), self.updates.next_deadline(now),
        )  # fmt: skip
        return max(min(time for time in times if time is not None), now + MIN_WAKE_DELAY)

    # --- datagrams ----------------------------------------------------------------------------------------------------

    def on_received(self, now: int, sender: Sender, datagram: Datagram) -> None:
        """Route a datagram by the membership status of its sender."""
        if self.own.state is OwnState.LEAVING:
            return
        if sender.name == self.name:
            self._on_namesake(now, sender, datagram)
            return
        is_answer = self.pings.answered_by(sender, datagram) is not None
        member = self.members.get(sender.name)
        if member is None or sender.start > member.known.start:
            if not is_answer:
                self._on_unverified(now, sender, datagram)
                return
            member = self._admit(now, sender)
            if member is None:
                return
        elif sender.start < member.known.start:
            self._on_earlier_process(member, sender, datagram)
            return
        elif not member.is_present and not is_answer:
            self._on_absent(now, member, sender, datagram)
            return
        self._on_member(now, member, sender, datagram)

    def _admit(self, now: int, sender: Sender) -> Member | None:
        """Add a process that has answered a ping as a member; return None if the member table is full."""
        self.updates.apply(now, _alive(sender), sender.name)
        member = self.members.get(sender.name)
        if member is not None:
            self._sender.send_member_list(sender.address)
        return member

    def _on_earlier_process(self, member: Member, sender: Sender, datagram: Datagram) -> None:
        """Answer a ping from an earlier process of a name, or from a process whose clock was set back.

        The answer carries the known update of the name, so that a live process can claim a start above the known one.
        """
        if datagram.kind is DatagramKind.PING:
            self._sender.send(sender.address, Datagram(DatagramKind.ACK, datagram.number), (member.known,))

    def _on_absent(self, now: int, member: Member, sender: Sender, datagram: Datagram) -> None:
        """Ping back the sender of a datagram that is known as dead; ignore a sender that has left.

        The datagram alone may be outdated, so a dead member returns only by its own answer or refutation.
        """
        if member.known.status is MemberStatus.DEAD:
            self.updates.send_claims(now, member)
            self._on_unverified(now, sender, datagram)

    def _on_unverified(self, now: int, sender: Sender, datagram: Datagram) -> None:
        """Ping an unverified sender back before the sender may become a member.

        An outdated or forged datagram must not add a member.
        """
        if datagram.target not in ("", self.name) or self.own.is_displaced:
            return
        if datagram.kind is DatagramKind.PING:
            self._sender.send(sender.address, Datagram(DatagramKind.ACK, datagram.number))
        member = self.members.get(sender.name)
        is_known = member is not None and member.known.start == sender.start
        self.pings.verify(now, sender.name if is_known else "", sender.address)

    def _on_namesake(self, now: int, sender: Sender, datagram: Datagram) -> None:
        """Process a datagram from another process with this instance's name; ignore an echo of an own datagram."""
        if sender.address == self.address:
            return
        self.own.note_start(sender.start)
        is_newer = sender.start > self.start
        if is_newer and self.pings.answered_by(sender, datagram) is not None:
            self.own.on_newer_process(now, sender.address)
        elif datagram.kind is DatagramKind.PING:
            if not self.own.is_displaced:
                ack = Datagram(DatagramKind.ACK, datagram.number)
                self._sender.send(sender.address, ack, (self.own.update(),))
            if is_newer:
                self.pings.challenge(now, sender.address)

    def _on_member(self, now: int, member: Member, sender: Sender, datagram: Datagram) -> None:
        if self.reachability.is_cut_off(now):
            self._rules.restart_all(now)
        self.reachability.on_received(now)
        member.last_received_at = now
        if self.own.state is OwnState.JOINING:
            self.own.set_state(OwnState.MEMBER, f"{sender.name} answered")
        if sender.incarnation > member.known.incarnation and member.known.status is not MemberStatus.LEFT:
            self.updates.apply(now, _alive(sender), sender.name)
        for update in datagram.updates:
            self._apply(now, update, sender.name)
        self._answer(now, member, sender, datagram)

    def _apply(self, now: int, update: MemberUpdate, source: str) -> None:
        if update.name != self.name:
            self.updates.apply(now, update, source)
            return
        namesake_address = self.own.on_update(now, update)
        if namesake_address is not None:
            self.pings.challenge(now, namesake_address)

    def _answer(self, now: int, member: Member, sender: Sender, datagram: Datagram) -> None:
        """Respond to a member's datagram according to its kind."""
        match datagram.kind:
            case DatagramKind.PING if datagram.target in ("", self.name) and not self.own.is_displaced:
                ack = Datagram(DatagramKind.ACK, datagram.number)
                self._sender.send(sender.address, ack, self.updates.claims_about(member.known.name))
            case DatagramKind.ACK:
                self.pings.on_ack(now, datagram)
            case DatagramKind.NACK if self.pings.is_pending(datagram.number):
                self.pings.on_nack(datagram.number)
            case DatagramKind.PING_REQUEST:
                self.pings.on_ping_request(now, sender, datagram)
            case _:
                self.updates.send_claims(now, member)

    def _on_leave(self) -> None:
        """Announce the planned shutdown, unless this instance is displaced and another process owns its name."""
        if self.own.state is OwnState.LEAVING:
            return
        was_displaced = self.own.is_displaced
        self.own.set_state(OwnState.LEAVING, "the planned end")
        if not was_displaced:
            self._sender.send_leave()


def _alive(sender: Sender) -> MemberUpdate:
    return MemberUpdate(sender.name, sender.address, MemberStatus.ALIVE, sender.start, sender.incarnation)
