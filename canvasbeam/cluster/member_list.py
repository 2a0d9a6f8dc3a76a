"""The list of members on this node, from the member items and from the node's own monitoring.

A status of suspect or dead that other nodes publish takes effect only after a grace period, because after a network
partition heals, each side briefly receives such a status for all members of the other side, until these members have
refuted the status.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from canvasbeam.cluster.member import Member, member_of, status_of
from canvasbeam.errors import Failure
from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.item_table.items import Item

STATUS_GRACE_NS = 400_000_000


@dataclass(frozen=True, slots=True)
class ListedMember:
    """A member, and the status in its member item."""

    member: Member
    status: MemberStatus


class MemberList:
    """The members that are alive or suspect, and the members published as dead until their grace periods end."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._statuses: dict[str, MemberStatus] = {}
        self._grace_ends: dict[str, int] = {}  # end of the grace period, by member key; nanoseconds

    def apply(self, now: int, item: Item) -> None:
        """Update the list from a changed member item."""
        key, status = item.key, status_of(item)
        if status is MemberStatus.LEFT:
            self._forget(key)
            return
        if not item.deleted:
            member = member_of(item)
            if isinstance(member, Failure):
                return
            self._members[key] = member
        if key not in self._members:
            return
        if status is MemberStatus.ALIVE:
            self._grace_ends.pop(key, None)
        elif self._statuses.get(key, MemberStatus.ALIVE) is MemberStatus.ALIVE:
            self._grace_ends[key] = now + STATUS_GRACE_NS
        self._statuses[key] = status
        self._remove_if_dead(key)

    def expire(self, now: int) -> bool:
        """End the grace periods that are over; return True if a dead member was removed."""
        expired = [key for key, until in self._grace_ends.items() if until <= now]
        for key in expired:
            del self._grace_ends[key]
            self._remove_if_dead(key)
        return any(key not in self._members for key in expired)

    def known(self) -> list[ListedMember]:
        """Return all listed members, with their statuses."""
        return [ListedMember(member, self._statuses[key]) for key, member in self._members.items()]

    def alive(self, now: int, is_unresponsive: Callable[[str], bool]) -> tuple[Member, ...]:
        """Return the members that are alive or within their grace period, and for which `is_unresponsive` is False."""
        return tuple(
            member for key, member in self._members.items() if self._is_listed(now, key) and not is_unresponsive(key)
        )

    def _is_listed(self, now: int, key: str) -> bool:
        return self._statuses[key] is MemberStatus.ALIVE or self._grace_ends.get(key, 0) > now

    def _remove_if_dead(self, key: str) -> None:
        if self._statuses[key] is MemberStatus.DEAD and key not in self._grace_ends:
            self._forget(key)

    def _forget(self, key: str) -> None:
        self._members.pop(key, None)
        self._statuses.pop(key, None)
        self._grace_ends.pop(key, None)
