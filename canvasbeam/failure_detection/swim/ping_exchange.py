"""Sends direct and indirect pings to members, and pings absent members, seeds and unverified senders.

SWIM, section 3.1, with Lifeguard's local health and negative acknowledgements. This module owns the pings in flight and
the times of the next pings. This module changes no member: a failed ping is passed to `MemberUpdates.suspect`.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from canvasbeam.failure_detection.swim.datagram_sender import DatagramSender
from canvasbeam.failure_detection.swim.local_health import LocalHealth
from canvasbeam.failure_detection.swim.member_table import MemberTable
from canvasbeam.failure_detection.swim.member_updates import MemberUpdates
from canvasbeam.failure_detection.swim.messages import Datagram, DatagramKind, Sender
from canvasbeam.failure_detection.swim.own_instance import OwnInstance
from canvasbeam.failure_detection.swim.parameters import SwimParameters
from canvasbeam.failure_detection.swim.ping_order import PingOrder
from canvasbeam.failure_detection.swim.pings import PendingPing, PendingPings, RelayedPing
from canvasbeam.failure_detection.swim.reachability import Reachability
from canvasbeam.failure_detection.swim.suspicion import SuspicionRules
from canvasbeam.failure_detection.swim.view import OwnState

MAX_ADDED_INTERVALS = 2  # maximum number of ping intervals that bad local health adds between two pings


class PingExchange:
    """Sends pings when they are due, and processes their answers."""

    def __init__(
        self,
        *,
        parameters: SwimParameters,
        own: OwnInstance,
        members: MemberTable,
        updates: MemberUpdates,
        rules: SuspicionRules,
        order: PingOrder,
        reachability: Reachability,
        health: LocalHealth,
        sender: DatagramSender,
        rng: random.Random,
        seeds: Iterable[str],
        now: int,
    ) -> None:
        self._parameters = parameters
        self._own = own
        self._members = members
        self._updates = updates
        self._rules = rules
        self._order = order
        self._reachability = reachability
        self._health = health
        self._sender = sender
        self._rng = rng
        self._seeds = tuple(seeds)
        self._pings = PendingPings(rng.getrandbits(31))
        self._join_interval = parameters.join_interval
        self.next_ping_at = now + round(parameters.ping_interval * rng.random())
        self._next_reconnect_at = now

    @property
    def pending_count(self) -> int:
        """Number of this instance's own pings in flight."""
        return len(self._pings.own)

    # --- time ---------------------------------------------------------------------------------------------------------

    def expire(self, now: int) -> None:
        """End the pings whose timeout has elapsed, and send ping requests for pings that are late."""
        self._expire_own(now)
        self._expire_relayed(now)

    def send_due(self, now: int) -> None:
        """Send the next ping to a member and the next ping to an absent member or a seed, if either is due."""
        if now >= self.next_ping_at:
            intervals = 1 + min(self._health.level, MAX_ADDED_INTERVALS)
            self.next_ping_at = now + self._jittered(self._parameters.ping_interval * intervals)
            self.ping_next_member(now)
        if now >= self._next_reconnect_at:
            self.reconnect(now)

    def next_expiry(self) -> int | None:
        """Return the time in nanoseconds of the next timeout of a ping in flight; None if no ping is in flight.

        Pings to dead members and seeds get no wake-up of their own and are sent at the wake-ups for member pings,
        because a wake-up costs more than its work.
        """
        times = [ping.sent_at + self._wait_of(ping) for ping in self._pings.own.values()]
        times += [ping.expires_at for ping in self._pings.relayed.values()]
        return min(times, default=None)

    def on_stall(self) -> None:
        """Drop the pings to members after a stall, because their answers are late through a fault of this process."""
        self._pings.drop_suspicion_raising()

    def _wait_of(self, ping: PendingPing) -> int:
        if ping.is_indirect or not ping.raises_suspicion:
            return self._timeout()
        return self._parameters.direct_ping_timeout

    def _timeout(self) -> int:
        """Return the timeout of a ping in nanoseconds; a slow instance allows others more time."""
        return self._parameters.ping_timeout * (1 + self._health.level)

    def _jittered(self, interval: int) -> int:
        """Return the interval with a random jitter of at most 10 percent.

        Without jitter, instances that were started together would all ping at the same moments.
        """
        return round(interval * (0.9 + 0.2 * self._rng.random()))

    # --- sending pings ------------------------------------------------------------------------------------------------

    def ping_next_member(self, now: int) -> None:
        """Ping the next member of the ping order."""
        if self._own.state is not OwnState.MEMBER:
            return
        member = self._order.next()
        if member is not None:
            self._ping(now, member.known.name, member.known.address, raises_suspicion=True)

    def reconnect(self, now: int) -> None:
        """Ping an absent member or a seed that is not a member, so that partitions heal and a new instance joins.

        Members that have left are pinged, too: such a member may have been restarted, and if all seeds are gone, no
        other instance would learn of the restart.
        """
        is_joining = self._own.state is OwnState.JOINING
        interval = self._join_interval if is_joining else self._parameters.reconnect_interval
        self._next_reconnect_at = now + self._jittered(interval)
        if is_joining:
            self._join_interval = min(self._join_interval * 2, self._parameters.max_join_interval)
        if self._own.state not in (OwnState.JOINING, OwnState.MEMBER):
            return
        present = {member.known.address for member in self._members.present()}
        absent = {(member.known.name, member.known.address) for member in self._members.absent()}
        known = present | {address for _, address in absent}
        candidates = sorted(absent) + [("", seed) for seed in self._seeds if seed not in known]
        if candidates:
            name, address = self._rng.choice(candidates)
            self._ping(now, name, address, raises_suspicion=False)

    def verify(self, now: int, name: str, address: str) -> None:
        """Ping an unverified sender back, with at most `max_unverified` pings in flight and one per address."""
        pending = self._pings.not_raising_suspicion()
        is_pending = any(ping.address == address for ping in pending)
        if len(pending) < self._parameters.max_unverified and not is_pending:
            self._ping(now, name, address, raises_suspicion=False)

    def challenge(self, now: int, address: str) -> None:
        """Ping a process with this instance's name; the newer of the two processes keeps the name if it answers."""
        if not self._pings.is_in_flight_to(address):
            self._ping(now, self._own.name, address, raises_suspicion=False)

    def _ping(self, now: int, name: str, address: str, *, raises_suspicion: bool) -> None:
        number = self._pings.add(PendingPing(name, address, now, raises_suspicion))
        self._sender.send(address, Datagram(DatagramKind.PING, number, name), self._updates.claims_about(name))

    # --- ping timeouts ------------------------------------------------------------------------------------------------

    def _expire_own(self, now: int) -> None:
        for number, ping in tuple(self._pings.own.items()):
            age = now - ping.sent_at
            if age >= self._timeout():
                del self._pings.own[number]
                self._on_failed(now, ping)
            elif ping.raises_suspicion and not ping.is_indirect and age >= self._parameters.direct_ping_timeout:
                self._send_ping_requests(number, ping)

    def _send_ping_requests(self, number: int, ping: PendingPing) -> None:
        ping.is_indirect = True
        # Also repeat the direct ping, because most often only a single datagram was lost.
        again = Datagram(DatagramKind.PING, number, ping.name)
        self._sender.send(ping.address, again, self._updates.claims_about(ping.name))
        for helper in self._members.sample(self._parameters.indirect_pings, self._rng, excluded=ping.name):
            ping.helpers += 1
            request = Datagram(DatagramKind.PING_REQUEST, number, ping.name, ping.address)
            self._sender.send(helper.known.address, request)

    def _on_failed(self, now: int, ping: PendingPing) -> None:
        if ping.name == self._own.name:
            # The other process with this name does not answer, so this instance claims the name with a later start.
            if not self._own.is_displaced:
                self._own.claim_name(now, f"nobody of this name answers at {ping.address}")
            return
        if not ping.raises_suspicion:
            return
        self._health.on_ping_ended(is_answered=False)
        # Lifeguard: helpers that cannot reach the target send a NACK. Missing NACKs suggest that the fault is this
        # instance's own.
        if ping.nacks < ping.helpers or not ping.helpers:
            self._health.worsen()
        member = self._members.get(ping.name)
        if member is None or member.last_received_at >= ping.sent_at or self._is_own_fault_likely(now):
            return
        self._updates.suspect(now, member, "it answered neither us nor others for us")

    def _is_own_fault_likely(self, now: int) -> bool:
        """Return True if the silence is longer than `receive_timeout` but below half of `isolation_timeout`.

        Within these bounds this instance attributes the silence to a fault of its own.
        """
        quiet_time = self._reachability.quiet_time(now)
        return self._parameters.receive_timeout < quiet_time < self._parameters.isolation_timeout // 2

    def _expire_relayed(self, now: int) -> None:
        for number, ping in tuple(self._pings.relayed.items()):
            if now >= ping.expires_at:
                del self._pings.relayed[number]
                self._sender.send(ping.address, Datagram(DatagramKind.NACK, ping.number, ping.target))

    # --- answers and requests -----------------------------------------------------------------------------------------

    def answered_by(self, sender: Sender, datagram: Datagram) -> PendingPing | None:
        """Return the own pending ping that this datagram answers; None if there is none."""
        return self._pings.answered_by(sender, datagram)

    def is_pending(self, number: int) -> bool:
        """Return True if an own ping with this number is in flight."""
        return number in self._pings.own

    def on_nack(self, number: int) -> None:
        """Count a helper that got no answer from the target either; the ping must be in flight."""
        self._pings.own[number].nacks += 1

    def on_ack(self, now: int, datagram: Datagram) -> None:
        """Process the answer to an own ping, or forward the answer to a ping relayed for another member."""
        relayed = self._pings.relayed.pop(datagram.number, None)
        if relayed is not None:
            self._sender.send(relayed.address, Datagram(DatagramKind.ACK, relayed.number, relayed.target))
            return
        ping = self._pings.own.pop(datagram.number, None)
        if ping is None:
            return
        self._confirm_contact(now, ping)
        if ping.raises_suspicion:
            self._health.on_ping_ended(is_answered=True)
            self._health.improve()

    def _confirm_contact(self, now: int, ping: PendingPing) -> None:
        """Confirm contact as of the sending of the ping, because datagrams sent later may have been lost."""
        if not self._reachability.is_confirmed(now):
            self._rules.restart_all(now)
        self._reachability.confirm(ping.sent_at)

    def on_ping_request(self, now: int, sender: Sender, datagram: Datagram) -> None:
        """Ping a member on behalf of another member, with at most `max_unverified` relayed pings in flight."""
        if self._own.state is not OwnState.MEMBER or len(self._pings.relayed) >= self._parameters.max_unverified:
            return
        if not datagram.target or datagram.target == self._own.name:
            return
        expires_at = now + self._parameters.ping_timeout - self._parameters.direct_ping_timeout
        number = self._pings.add_relayed(RelayedPing(sender.address, datagram.number, datagram.target, expires_at))
        ping = Datagram(DatagramKind.PING, number, datagram.target)
        self._sender.send(datagram.address, ping, self._updates.claims_about(datagram.target))
