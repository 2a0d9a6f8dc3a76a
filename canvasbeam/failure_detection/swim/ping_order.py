"""Chooses the next member to ping, alternating between a fixed neighbour and the next of a random order.

The random order is that of SWIM (section 4.3): each pass pings every member once. The neighbour is the next member in
an order of names that is the same on all instances.
"""

from __future__ import annotations

import random
from zlib import crc32

from canvasbeam.failure_detection.swim.member_table import Member, MemberTable


class PingOrder:
    """The order of this instance's pings.

    With random orders alone, in one of a hundred cases no instance of a fleet of 40 pings a member that has just died
    for over a second. With neighbours alone, two neighbours that die together hide each other's death.
    """

    def __init__(self, own_name: str, members: MemberTable, rng: random.Random) -> None:
        self._own_name = own_name
        self._members = members
        self._rng = rng
        self._random_order: list[str] = []
        self._is_neighbour_next = False

    def add(self, name: str) -> None:
        """Insert a new member at a random position of the current random order."""
        self._random_order.insert(self._rng.randint(0, len(self._random_order)), name)

    def next(self) -> Member | None:
        """Return the next member to ping; None if no member is present."""
        self._is_neighbour_next = not self._is_neighbour_next
        neighbour = self._neighbour() if self._is_neighbour_next else None
        return neighbour or self._next_random()

    def _next_random(self) -> Member | None:
        while True:
            if not self._random_order:
                self._random_order = [member.known.name for member in self._members.present()]
                self._rng.shuffle(self._random_order)
                if not self._random_order:
                    return None
            member = self._members.get(self._random_order.pop())
            if member is not None and member.is_present:
                return member

    def _neighbour(self) -> Member | None:
        """Return the present member that follows this instance in the cyclic order of name checksums, or None."""
        own_position = _position(self._own_name)
        present = [*self._members.alive(), *self._members.suspects.values()]
        positions = [(_position(member.known.name), member) for member in present]
        after = [entry for entry in positions if entry[0] > own_position]
        return min(after or positions, key=lambda entry: entry[0])[1] if positions else None


def _position(name: str) -> tuple[int, str]:
    return crc32(name.encode()), name
