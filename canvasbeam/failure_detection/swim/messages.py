"""The datagrams between the instances of a fleet, and the events and actions of the membership.

The numbers of `DatagramKind` and `MemberStatus` are written on the wire (`canvasbeam/gossip/codec.py`); the names in
this module are not.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from canvasbeam.failure_detection.member_status import MemberStatus

UPDATE_OVERHEAD_BYTES = 24  # maximum size in bytes of an encoded update without its strings


class DatagramKind(IntEnum):
    """The purpose of a datagram; the numbers are written on the wire."""

    PING = 0  # a ping that the receiver answers by `ACK`
    ACK = 1  # the answer to the ping with the same `number`
    PING_REQUEST = 2  # a request to ping `target` at `address` for the sender: ping-req in SWIM
    NACK = 3  # the answer to a ping request whose target did not answer the helper either
    UPDATES = 4  # a datagram that carries only updates


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """The claimed status of one member."""

    name: str
    address: str
    status: MemberStatus
    start: int  # start of the process, in milliseconds since the epoch; the latest process of a name is the member
    incarnation: int
    suspected_by: str = ""  # name of the suspecting member; empty if the status is not SUSPECT

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sort key for updates of the same name; the update with the highest rank takes precedence."""
        return self.start, self.incarnation, int(self.status)

    @property
    def size(self) -> int:
        """Maximum encoded size of this update in a datagram, in bytes."""
        return len(self.name) + len(self.address) + len(self.suspected_by) + UPDATE_OVERHEAD_BYTES

    def is_of_same_incarnation(self, other: MemberUpdate) -> bool:
        """Return True if both updates concern the same incarnation of the same process."""
        return (self.start, self.incarnation) == (other.start, other.incarnation)


@dataclass(frozen=True, slots=True)
class Datagram:
    """The content of a datagram; its sender is kept in `Sender`."""

    kind: DatagramKind
    number: int = 0
    target: str = ""  # name of the pinged member; empty if only its address is known
    address: str = ""  # address of the target of a ping request; empty in other kinds
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Sender:
    """The sender claimed in a datagram, and the source address of the datagram."""

    name: str
    start: int
    incarnation: int
    address: str


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """A valid datagram of this fleet was received; malformed and replayed ones are dropped earlier."""

    sender: Sender
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class Ticked:
    """The wake-up time was reached without any other event."""


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The planned shutdown of this instance has begun."""


Event = DatagramReceived | Ticked | LeaveRequested


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram to an address."""

    address: str
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class ReportChange:
    """Report a state change of a member or of this instance, with its reason."""

    name: str
    before: str
    after: str
    why: str


Action = SendDatagram | ReportChange
