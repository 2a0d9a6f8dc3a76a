"""Sends datagrams with piggybacked updates.

This module owns no member state. A displaced instance must never spread updates, because the newer process with its
name is the member.
"""

from __future__ import annotations

import random
from dataclasses import replace

from canvasbeam.failure_detection.swim.actions import PendingActions
from canvasbeam.failure_detection.swim.gossip import Gossip
from canvasbeam.failure_detection.swim.member_table import MemberTable
from canvasbeam.failure_detection.swim.messages import Datagram, DatagramKind, MemberUpdate
from canvasbeam.failure_detection.swim.own_instance import OwnInstance
from canvasbeam.failure_detection.swim.parameters import SwimParameters

LEAVE_RECIPIENTS = 20  # maximum number of members that are sent the planned shutdown directly


class DatagramSender:
    """Adds updates to outgoing datagrams, and sends datagrams that carry only updates."""

    def __init__(
        self,
        *,
        parameters: SwimParameters,
        own: OwnInstance,
        members: MemberTable,
        gossip: Gossip,
        actions: PendingActions,
        rng: random.Random,
    ) -> None:
        self._parameters = parameters
        self._own = own
        self._members = members
        self._gossip = gossip
        self._actions = actions
        self._rng = rng

    def send(self, address: str, datagram: Datagram, first: tuple[MemberUpdate, ...] = ()) -> None:
        """Send a datagram with the updates in `first`, followed by other updates that are being spread."""
        if not self._own.is_displaced:
            updates = self._gossip.piggyback(self._own.update(), address, first)
            datagram = replace(datagram, updates=updates)
        self._actions.send(address, datagram)

    def send_member_list(self, address: str) -> None:
        """Send the complete member list to a process that has just joined through this instance."""
        for updates in self._gossip.member_list(self._own.update()):
            self._actions.send(address, Datagram(DatagramKind.UPDATES, updates=updates))

    def send_gossip(self, now: int) -> None:
        """Send the updates that are still being spread to a few members, if the gossip interval has elapsed."""
        if not self._gossip.is_due(now):
            return
        self._gossip.postpone(now)
        for member in self._members.sample(self._parameters.gossip_fanout, self._rng):
            if not self._gossip.spreading_count:
                return
            self.send(member.known.address, Datagram(DatagramKind.UPDATES))

    def send_leave(self) -> None:
        """Send this instance's planned shutdown to a bounded number of members, which spread the update."""
        leave = self._own.update()
        self._gossip.spread_alone(leave)
        for member in self._members.sample(LEAVE_RECIPIENTS, self._rng):
            self._actions.send(member.known.address, Datagram(DatagramKind.UPDATES, updates=(leave,)))
