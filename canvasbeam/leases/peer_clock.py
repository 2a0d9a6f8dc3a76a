"""Estimates of the clock offsets of other processes, each measured by one round trip.

A process cannot read the monotonic clock of another process, but it knows that an answer was sent after its request.
The request's send time (local clock) and the answer's send time (peer's clock) bound the offset between the clocks.
With this offset, each later message of the peer gets an earliest possible send time on the local clock. An age computed
from the earliest send time is never too short, and it is too long by at most the round-trip time.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.runtime.settings import Address
from canvasbeam.units import MILLISECOND, SECOND

RELEARN_AFTER_NS = 10 * SECOND  # an offset is measured again after this time, because clocks drift apart
LARGE_ERROR_NS = 300 * MILLISECOND  # an offset with a larger maximum error is measured again at once


@dataclass(frozen=True, slots=True)
class SendTime:
    """The send time of a message on the sender's clock, in nanoseconds."""

    incarnation: int = 0  # incarnation of the sender's process; each incarnation may have a different clock
    sent_at: int = 0
    # Send time of the request that the message answers, on the requester's clock; None for other messages.
    requested_at: int | None = None


@dataclass(frozen=True, slots=True)
class _PeerClock:
    incarnation: int
    offset: int  # peer's send time + offset = earliest possible send time on the local clock
    learned_at: int
    error: int  # nanoseconds by which the offset is too low at most


class PeerClocks:
    """The clock offset of each peer, with the maximum error of the offset."""

    def __init__(self, now: int) -> None:
        self._begun_at = now
        self._clocks: dict[Address, _PeerClock] = {}

    def learn(self, now: int, address: Address, time: SendTime) -> None:
        """Update the offset of a peer from an answer to a request of this process; ignore other messages."""
        if time.requested_at is None or not self._begun_at <= time.requested_at <= now:
            return
        learned = _PeerClock(time.incarnation, time.requested_at - time.sent_at, now, now - time.requested_at)
        known = self._clocks.get(address)
        if known is None or self._is_outdated(now, known, time.incarnation) or learned.offset > known.offset:
            self._clocks[address] = learned

    def sent_at(self, now: int, address: Address, time: SendTime) -> int | None:
        """Return the earliest possible send time of a message on the local clock, or None if the offset is unknown."""
        known = self._clocks.get(address)
        if known is None or known.incarnation != time.incarnation:
            return None
        return min(time.sent_at + known.offset, now)

    def should_request(self, now: int, address: Address) -> bool:
        """Return True if the offset of a peer is unknown, too inaccurate or too old, so that it should be measured."""
        known = self._clocks.get(address)
        return known is None or known.error > LARGE_ERROR_NS or now - known.learned_at >= RELEARN_AFTER_NS

    def retain_only(self, address: Address) -> None:
        """Remove the offsets of all peers except `address`."""
        known = self._clocks.get(address)
        self._clocks = {} if known is None else {address: known}

    def _is_outdated(self, now: int, known: _PeerClock, incarnation: int) -> bool:
        return known.incarnation != incarnation or now - known.learned_at >= RELEARN_AFTER_NS
