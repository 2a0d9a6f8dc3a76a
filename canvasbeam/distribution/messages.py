"""The messages that replicate item tables, except those of leases and documents, and the action of sending a message.

Data types only. `cluster/codec.py` defines the wire format of each message; some names on the wire differ.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from canvasbeam.distribution.document_messages import Announce, DocumentChunk, DocumentRequest
from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.leases.contact import ControlVersions
from canvasbeam.leases.messages import LeaseMessage
from canvasbeam.leases.peer_clock import SendTime
from canvasbeam.runtime.settings import Address
from canvasbeam.units import SECOND

NO_CONTACT = 1_000 * SECOND  # contact age that represents "never in contact"

Digests = Mapping[ItemKind, int]


@dataclass(frozen=True, slots=True)
class Subscribe:
    """The sender requests to become a child of the receiver, to which every later change is pushed."""

    digests: Digests
    requested_at: int | None = None  # send time on the child's clock; echoed in the answer


@dataclass(frozen=True, slots=True)
class Keepalive:
    """The contact, depth and versions of a parent: the answer to `Subscribe`, repeated at short intervals."""

    contact_age: int  # nanoseconds from the sender's contact instant to the send time; `NO_CONTACT` without contact
    depth: int  # hops to a control node
    digests: Digests = field(default_factory=dict)
    versions: ControlVersions = field(default_factory=ControlVersions)  # control versions stored on the sender
    time: SendTime = field(default_factory=SendTime)
    newest: int = 0  # index of the newest configuration known to the sender, stored or not


@dataclass(frozen=True, slots=True)
class Refuse:
    """The sender refuses to be the parent of the receiver."""


@dataclass(frozen=True, slots=True)
class Unsubscribe:
    """The sender is no longer a child of the receiver."""


@dataclass(frozen=True, slots=True)
class Renew:
    """A child renews its subscription at its parent."""

    requested_at: int | None = None  # send time on the child's clock, to be echoed in a keepalive; None for no answer
    received: SendTime | None = None  # send time of the newest keepalive that the child received from the parent


@dataclass(frozen=True, slots=True)
class Update:
    """Items that the receiver must merge into its table."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """The version of one item on a node."""

    key: str
    version: Version
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Versions:
    """The versions of all items of one kind in the sender's table."""

    kind: ItemKind
    records: tuple[VersionRecord, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """The sender requests these items, each if the receiver's version is at least the version in the record."""

    kind: ItemKind
    records: tuple[VersionRecord, ...]


@dataclass(frozen=True, slots=True)
class Compare:
    """The digests of the sender's table; the receiver answers for each kind of items whose digest differs."""

    digests: Digests


Message = (
    Subscribe
    | Keepalive
    | LeaseMessage
    | Refuse
    | Unsubscribe
    | Renew
    | Update
    | Versions
    | Request
    | Compare
    | Announce
    | DocumentRequest
    | DocumentChunk
)


@dataclass(frozen=True, slots=True)
class Send:
    """The action of sending one message to several addresses."""

    addresses: tuple[Address, ...]
    message: Message
