"""Failure detector of the members: the last message of each member, and whether the member is usable as a replica.

The detector is unreliable (Chandra, Toueg, "Unreliable Failure Detectors for Reliable Distributed Systems", 1996): its
verdict on any member may be wrong at any time, so no safety property may depend on the detector.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import MemberId, member_ip
from canvasbeam.units import SECOND

_NEVER = -(1 << 62)
FORGET_AFTER_NS = 600 * SECOND  # the entry of a member that was not seen for this time is removed


@dataclass(slots=True)
class _Liveness:
    last_seen: int
    seen_since: int  # start of the current period without a gap of `unresponsive_after_ns` between messages
    healthy: bool = True
    failed_at: int = _NEVER
    leaving_at: int = _NEVER  # time of the last `Leave` message
    answered_at: int = _NEVER


class MemberLiveness:
    """Records the messages and answers of the other members, and judges from them which members are usable."""

    def __init__(self, timing: ReplicationTiming) -> None:
        self._timing = timing
        self._seen: dict[MemberId, _Liveness] = {}

    def record_message(self, member: MemberId, now: int, healthy: bool | None = None) -> None:
        """Record a message of a member; `healthy` is the state of its disk if the message contains it."""
        seen = self._seen.get(member)
        if seen is None:
            self._forget_lost(now)
            seen = self._seen[member] = _Liveness(now, now)
        if now - seen.last_seen > self._timing.unresponsive_after_ns:
            seen.seen_since = now
        seen.last_seen = now
        if healthy is not None:
            seen.healthy = healthy

    def discount_stall(self, stall: int) -> None:
        """Exclude a stall of this process, in nanoseconds, from the time without messages."""
        for seen in self._seen.values():
            seen.last_seen += stall
            seen.leaving_at += stall
            seen.answered_at += stall

    def record_failure(self, member: MemberId, now: int) -> None:
        """Record that a member failed to store data in time; the member stays unused for `readmission_delay_ns`."""
        self.record_message(member, self.last_seen(member))
        self._seen[member].failed_at = now

    def record_leaving(self, member: MemberId, now: int) -> None:
        """Record a `Leave` message of a member."""
        self.record_message(member, now)
        self._seen[member].leaving_at = now

    def is_leaving(self, member: MemberId) -> bool:
        """Return True if a member was announcing its departure when last seen; a restarted member does not do so."""
        seen = self._seen.get(member)
        return seen is not None and seen.last_seen - seen.leaving_at <= self._timing.unresponsive_after_ns

    def record_answer(self, member: MemberId, now: int) -> None:
        """Record that a member answered a heartbeat of this primary, so both directions of the link work."""
        self.record_message(member, now)
        self._seen[member].answered_at = now

    def last_seen(self, member: MemberId) -> int:
        """Return the time of the last message of a member; `_NEVER`, far in the past, if none was received."""
        seen = self._seen.get(member)
        return _NEVER if seen is None else seen.last_seen

    def is_alive(self, member: MemberId, now: int) -> bool:
        """Return True if a member was seen recently, is healthy, did not fail recently and was not superseded."""
        seen = self._seen.get(member)
        if seen is None or not seen.healthy or now - seen.failed_at < self._timing.readmission_delay_ns:
            return False
        return now - seen.last_seen <= self._timing.unresponsive_after_ns and not self._is_superseded(member)

    def is_steady(self, member: MemberId, now: int) -> bool:
        """Return True if a member is alive and was seen without a gap for at least `steady_after_ns`."""
        seen = self._seen.get(member)
        return seen is not None and now - seen.seen_since >= self._timing.steady_after_ns and self.is_alive(member, now)

    def is_answering(self, member: MemberId, now: int) -> bool:
        """Return True if a member answered this primary recently; a member may be seen although it receives nothing."""
        seen = self._seen.get(member)
        return seen is not None and now - seen.answered_at <= self._timing.unresponsive_after_ns

    def may_join(self, member: MemberId, now: int) -> bool:
        """Return True if a member may join a view: it is steady and answers this primary."""
        return self.is_steady(member, now) and self.is_answering(member, now)

    def is_replaceable(self, member: MemberId, now: int) -> bool:
        """Return True if a member was not seen for more than `replaceable_after_ns` and another may replace it."""
        return now - self.last_seen(member) > self._timing.replaceable_after_ns

    def usable_outside(self, members: Collection[MemberId], now: int) -> list[MemberId]:
        """Return all members that are alive, are not leaving, and are not among `members`."""
        return [
            member
            for member in self._seen
            if member not in members and self.is_alive(member, now) and not self.is_leaving(member)
        ]

    def known(self) -> list[MemberId]:
        """Return all recorded members, in the order of their first message."""
        return list(self._seen)

    def _forget_lost(self, now: int) -> None:
        """Remove members not seen for `FORGET_AFTER_NS`: every lost disk leaves a member id that never returns."""
        for member in [member for member, seen in self._seen.items() if now - seen.last_seen > FORGET_AFTER_NS]:
            del self._seen[member]

    def _is_superseded(self, member: MemberId) -> bool:
        """Return True if another member was seen later at the same address, which means that the disk was replaced."""
        ip = member_ip(member)
        last = self.last_seen(member)
        return any(
            other != member and member_ip(other) == ip and seen.last_seen > last for other, seen in self._seen.items()
        )
