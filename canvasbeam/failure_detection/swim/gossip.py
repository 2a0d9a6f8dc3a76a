"""Selects the updates to piggyback on datagrams: updates still being spread, least sent first, then others in turn.

SWIM, section 4.1. This module counts how often each update was sent. The updates on one datagram must never exceed
`SwimParameters.max_update_bytes`.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from math import ceil, log2

from canvasbeam.failure_detection.swim.member_table import MemberTable
from canvasbeam.failure_detection.swim.messages import MemberUpdate
from canvasbeam.failure_detection.swim.parameters import SwimParameters
from canvasbeam.units import SECOND

NEWCOMER_TIME = 2 * SECOND  # nanoseconds; datagrams to a newcomer are filled with member-list updates for this long


@dataclass(slots=True)
class SpreadingUpdate:
    """An update that is still being spread, with the number of times it was sent."""

    update: MemberUpdate
    sent_count: int = 0


class Gossip:
    """The updates still being spread, and the order of the filler updates that use the remaining space."""

    def __init__(self, parameters: SwimParameters, members: MemberTable, rng: random.Random, now: int) -> None:
        self._parameters = parameters
        self._members = members
        self._rng = rng
        self._spreading: dict[str, SpreadingUpdate] = {}
        self._newcomers: dict[str, int] = {}  # address of a newcomer -> end of its newcomer time, in nanoseconds
        self._fill_order: list[str] = []  # names whose updates are the next fillers, last one first
        self._next_at = now

    @property
    def spreading_count(self) -> int:
        """Number of updates that are still being spread."""
        return len(self._spreading)

    @property
    def next_at(self) -> int | None:
        """Time of the next datagrams that carry only updates, in nanoseconds; None if no update is being spread."""
        return self._next_at if self._spreading else None

    def is_due(self, now: int) -> bool:
        """Return True if datagrams that carry only updates are due now."""
        return bool(self._spreading) and now >= self._next_at

    def postpone(self, now: int) -> None:
        """Schedule the next datagrams that carry only updates one gossip interval from now."""
        self._next_at = now + self._parameters.gossip_interval

    def send_at_once(self, now: int) -> None:
        """Make the next datagrams that carry only updates due now."""
        self._next_at = now

    def spread(self, update: MemberUpdate) -> None:
        """Start spreading an update, in place of any earlier update of the same member."""
        self._spreading[update.name] = SpreadingUpdate(update)

    def spread_alone(self, update: MemberUpdate) -> None:
        """Spread only this update, and stop spreading all others."""
        self._spreading = {update.name: SpreadingUpdate(update)}

    def drop(self, name: str) -> None:
        """Stop spreading the update of this member."""
        self._spreading.pop(name, None)

    def add_newcomer(self, address: str, now: int) -> None:
        """Fill datagrams to a new process with updates for a while, because it needs the complete member list soon."""
        self._newcomers[address] = now + NEWCOMER_TIME

    def expire_newcomers(self, now: int) -> None:
        """Remove newcomers whose newcomer time has elapsed."""
        self._newcomers = {address: until for address, until in self._newcomers.items() if until > now}

    def piggyback(self, own: MemberUpdate, address: str, first: tuple[MemberUpdate, ...]) -> tuple[MemberUpdate, ...]:
        """Return the updates of one datagram: those in `first`, then updates being spread, then fillers."""
        updates = list(first)
        space = self._parameters.max_update_bytes - sum(update.size for update in updates)
        names = {update.name for update in updates}
        for update in self._take_spreading(names, space):
            space -= update.size
            updates.append(update)
        self._fill(own, address, updates, names, space)
        return tuple(updates)

    def _take_spreading(self, names: set[str], space: int) -> Iterator[MemberUpdate]:
        max_sent = self._parameters.retransmit_factor * ceil(log2(self._members.fleet_size + 1))
        for spreading in sorted(self._spreading.values(), key=lambda candidate: candidate.sent_count):
            update = spreading.update
            if update.name in names or update.size > space:
                continue
            space -= update.size
            names.add(update.name)
            spreading.sent_count += 1
            if spreading.sent_count >= max_sent:
                del self._spreading[update.name]
            yield update

    def _fill(self, own: MemberUpdate, address: str, updates: list[MemberUpdate], names: set[str], space: int) -> None:
        """Add updates that are no longer being spread, in turn.

        Fillers repair updates that were lost, and bring the complete member list to newcomers.
        """
        is_newcomer = address in self._newcomers
        space = min(space, self._parameters.max_update_bytes if is_newcomer else self._parameters.filler_bytes)
        for _ in range(len(self._members) + 1):
            if not self._fill_order:
                self._fill_order = [own.name, *self._members]
                self._rng.shuffle(self._fill_order)
            name = self._fill_order[-1]
            update = self._update_of(name, own)
            if update is not None and update.size > space:
                return
            self._fill_order.pop()
            if update is not None and name not in names:
                names.add(name)
                updates.append(update)
                space -= update.size

    def _update_of(self, name: str, own: MemberUpdate) -> MemberUpdate | None:
        if name == own.name:
            return own
        member = self._members.get(name)
        return member.known if member else None

    def member_list(self, own: MemberUpdate) -> list[tuple[MemberUpdate, ...]]:
        """Return the updates of all present members, split into one tuple per datagram, for a process that just joined.

        With filler updates alone, the new process would miss the last few names for many seconds.
        """
        updates = [member.known for member in self._members.present()]
        self._rng.shuffle(updates)
        parts: list[tuple[MemberUpdate, ...]] = []
        part: list[MemberUpdate] = [own]
        for update in updates:
            if sum(listed.size for listed in part) + update.size > self._parameters.max_update_bytes:
                parts.append(tuple(part))
                part = []
            part.append(update)
        return [*parts, tuple(part)]
