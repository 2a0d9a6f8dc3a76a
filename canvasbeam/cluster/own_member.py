"""The member item that this process publishes about itself, and the refutation of a wrong status."""

from __future__ import annotations

import random
from dataclasses import replace

from canvasbeam.cluster.member import Member, member_item
from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.item_table.items import Item, ItemKind, Version

MAX_FIRST_INCARNATION = 1 << 16


class OwnMember:
    """The member item of this process.

    The first incarnation is random, so that the item has another version than the item of an earlier process with the
    same key. If the earlier item has the higher version, the refutation uses a higher incarnation.
    """

    def __init__(self, member: Member, rng: random.Random) -> None:
        self.member = replace(member, incarnation=rng.randrange(1, MAX_FIRST_INCARNATION))
        self.has_left = False

    def item(self) -> Item:
        """Return the current member item of this process."""
        return member_item(self.member, MemberStatus.LEFT if self.has_left else MemberStatus.ALIVE)

    def set_ready(self, ready: bool) -> Item | None:
        """Return the item that publishes whether this process accepts client requests; None if unchanged."""
        if ready == self.member.ready or self.has_left:
            return None
        self._advance(self.member.incarnation, ready)
        return self.item()

    def leave(self) -> Item:
        """Return the item that publishes a planned shutdown; later claims are not refuted."""
        self.has_left = True
        return self.item()

    def refute(self, version: Version) -> Item | None:
        """Return the item that refutes a newer version from another node; None if it is not newer, or after `leave`."""
        own = self.item().version
        if self.has_left or version <= own:
            return None
        self._advance(version.major, self.member.ready)
        return self.item()

    def is_own(self, item: Item) -> bool:
        """Return True if `item` is the member item of this process."""
        return item.kind is ItemKind.MEMBER and item.key == self.member.key

    def _advance(self, incarnation: int, ready: bool) -> None:
        """Set the readiness, and the incarnation to `incarnation + 1`; the only method that changes `member`."""
        self.member = replace(self.member, incarnation=incarnation + 1, ready=ready)
