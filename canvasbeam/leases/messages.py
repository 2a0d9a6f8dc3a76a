"""The messages by which control nodes request and grant contact leases, and the action that sends such a message.

Data types only. The module does not depend on the transport: `distribution` sends these messages along with its own.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.item_table.items import Item
from canvasbeam.leases.contact import ControlVersions
from canvasbeam.runtime.settings import Address


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A control node requests a grant from another control node."""

    number: int
    items: tuple[Item, ...] = ()  # items that the receiver must store before it grants the request


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The sender grants the `LeaseRequest` with this number, and has stored its items."""

    number: int
    versions: ControlVersions  # the granter's own versions


LeaseMessage = LeaseRequest | LeaseGrant


@dataclass(frozen=True, slots=True)
class SendLeaseMessage:
    """The action of sending one message to several control nodes."""

    addresses: tuple[Address, ...]
    message: LeaseMessage
