"""The pings in flight: this instance's own and those relayed for other members (SWIM, section 3.1)."""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.failure_detection.swim.messages import Datagram, DatagramKind, Sender

MAX_PING_NUMBER = 0xFFFFFFFF


@dataclass(slots=True)
class PendingPing:
    """An own ping in flight, sent at `sent_at` nanoseconds; `name` is empty if only the address is known."""

    name: str
    address: str
    sent_at: int
    raises_suspicion: bool  # True if a failure of this ping makes the member suspect
    is_indirect: bool = False  # True once ping requests were sent to other members
    nacks: int = 0  # NACKs received from helpers
    helpers: int = 0  # members that were sent a ping request


@dataclass(slots=True)
class RelayedPing:
    """A ping in flight on behalf of another member; `expires_at` in nanoseconds."""

    address: str  # address of the requesting member
    number: int  # ping number in the ping request
    target: str
    expires_at: int


class PendingPings:
    """The pings in flight by ping number, which each answer repeats."""

    def __init__(self, number: int) -> None:
        self.own: dict[int, PendingPing] = {}
        self.relayed: dict[int, RelayedPing] = {}
        self._number = number

    def add(self, ping: PendingPing) -> int:
        """Register an own ping and return its number."""
        number = self._next_number()
        self.own[number] = ping
        return number

    def add_relayed(self, ping: RelayedPing) -> int:
        """Register a ping on behalf of another member and return its number."""
        number = self._next_number()
        self.relayed[number] = ping
        return number

    def _next_number(self) -> int:
        self._number = self._number + 1 & MAX_PING_NUMBER
        return self._number

    def answered_by(self, sender: Sender, datagram: Datagram) -> PendingPing | None:
        """Return the own ping that this datagram answers from the pinged address; None if there is no such ping."""
        ping = self.own.get(datagram.number) if datagram.kind is DatagramKind.ACK else None
        if ping is None or ping.address != sender.address or ping.name not in ("", sender.name):
            return None
        return ping

    def drop_suspicion_raising(self) -> None:
        """Drop the own pings in flight whose failure would raise a suspicion."""
        self.own = {number: ping for number, ping in self.own.items() if not ping.raises_suspicion}

    def not_raising_suspicion(self) -> list[PendingPing]:
        """Return the pings to unverified senders, dead members and missing seeds."""
        return [ping for ping in self.own.values() if not ping.raises_suspicion]

    def is_in_flight_to(self, address: str) -> bool:
        """Return True if an own ping to this address is in flight."""
        return any(ping.address == address for ping in self.own.values())
