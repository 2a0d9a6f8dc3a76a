"""The table of an instance's known members by name, with the alive and the suspect members."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim.messages import MemberUpdate


@dataclass(slots=True, eq=False)
class Member:
    """Another instance: its current update and the state of its suspicion, times in nanoseconds."""

    known: MemberUpdate  # the highest update received for this member
    since: int  # time of the last status change, or start of the current suspicion
    last_received_at: int = 0  # time of the last datagram from this member; 0 = never
    suspected_by: set[str] = field(default_factory=set)
    corrected_at: int = 0  # time when this instance last sent the member its own status to refute

    @property
    def is_present(self) -> bool:
        """True if this member counts as part of the fleet: alive or suspect."""
        return self.known.status <= MemberStatus.SUSPECT


class MemberTable(dict[str, Member]):
    """All members by name; every change of a member's status must be followed by `on_status_changed`."""

    def __init__(self) -> None:
        super().__init__()
        self.suspects: dict[str, Member] = {}
        self._alive: list[Member] | None = None  # cached list of alive members; None = recompute

    def on_status_changed(self, member: Member) -> None:
        """Update the index of suspects and invalidate the cached list of alive members."""
        self._alive = None
        if member.known.status is MemberStatus.SUSPECT:
            self.suspects[member.known.name] = member
        else:
            self.suspects.pop(member.known.name, None)

    def forget(self, name: str) -> None:
        """Remove this member from the table."""
        del self[name]
        self._alive = None
        self.suspects.pop(name, None)

    def alive(self) -> list[Member]:
        """Return the members that are alive."""
        if self._alive is None:
            self._alive = [member for member in self.values() if member.known.status is MemberStatus.ALIVE]
        return self._alive

    def present(self) -> list[Member]:
        """Return the members that are alive or suspect, in the order in which they became known."""
        return [member for member in self.values() if member.is_present]

    def absent(self) -> list[Member]:
        """Return the members that are dead or have left."""
        return [member for member in self.values() if not member.is_present]

    @property
    def fleet_size(self) -> int:
        """Number of present instances, including this instance."""
        return 1 + len(self.alive()) + len(self.suspects)

    def sample(self, count: int, rng: random.Random, excluded: str = "") -> list[Member]:
        """Return at most `count` alive members at random, without the member named `excluded`."""
        candidates = self.alive()
        if excluded:
            candidates = [member for member in candidates if member.known.name != excluded]
        return candidates if len(candidates) <= count else rng.sample(candidates, count)

    def longest_absent(self) -> str | None:
        """Return the name of the longest absent member, the first to be evicted; None if no member is absent."""
        absent = self.absent()
        return min(absent, key=lambda member: (member.since, member.known.name)).known.name if absent else None
