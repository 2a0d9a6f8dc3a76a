"""The contact lease: the right to act for the control plane for a limited time, granted by a majority of control nodes.

A control node sends numbered requests to the other control nodes, which grant each request on receipt. The contact
instant is the time, on this node's monotonic clock, at which this node *sent* the newest request that a majority has
granted. Receiving a message proves nothing: the link in the other direction may be cut, or the message may have waited
in a buffer. A process that was suspended finds its lease expired when it resumes, because a lease never counts from the
arrival of a late message. (Gray, Cheriton, "Leases: an efficient fault-tolerant mechanism", 1989.)

A grant contains the versions of the configuration and of the evacuations that the granter stores. The contact instant
advances only when this node stores these versions too, so a node in contact stores everything that the majority stored
at the time of the request.

| state | from | to |
| --- | --- | --- |
| unconfirmed | process start | confirmed: a majority granted a request, and this node stores the granters' versions |
| confirmed | | confirmed: the same for a later request; lapsed: the contact instant is older than the lease duration |
| lapsed | | confirmed |

The state is computed from the contact instant and the clock alone, so leaving `confirmed` needs no event that could be
missed. A data-plane node gets its lease through its parent (`RelayedLease`), with the same contact instant and rules.
The module does no I/O; all times are integer nanoseconds of a monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from canvasbeam.item_table.items import CURRENT, Item, ItemKind, ItemTable
from canvasbeam.runtime.settings import Address

# Size of the random first request number: a grant to an earlier incarnation of the process then matches no request.
REQUEST_NUMBER_BITS = 48
MAX_PENDING_REQUESTS = 64


class ContactState(IntEnum):
    """The state of a contact lease; the module docstring has the transitions."""

    UNCONFIRMED = 0
    CONFIRMED = 1
    LAPSED = 2


@dataclass(frozen=True, slots=True)
class ControlVersions:
    """The versions of the configuration and the evacuations on a node: indexes of the control state, 0 where absent."""

    configuration: int = 0
    evacuations: int = 0

    @classmethod
    def of(cls, table: ItemTable) -> ControlVersions:
        """Return the versions of the configuration and the evacuations in `table`."""
        return cls(_version_index(table, ItemKind.CONFIGURATION), _version_index(table, ItemKind.EVACUATIONS))

    def covers(self, other: ControlVersions) -> bool:
        """Return True if both versions are at least as new as those of `other`."""
        return self.configuration >= other.configuration and self.evacuations >= other.evacuations

    def joined(self, other: ControlVersions) -> ControlVersions:
        """Return the newer configuration version and the newer evacuations version of the two."""
        return ControlVersions(
            max(self.configuration, other.configuration),
            max(self.evacuations, other.evacuations),
        )


def _version_index(table: ItemTable, kind: ItemKind) -> int:
    item = table.get(kind, CURRENT)
    return item.version.major if item is not None else 0


def contact_state(instant: int | None, now: int, lease: int) -> ContactState:
    """Return the state of a lease of `lease` nanoseconds from `instant`, which is None for a lease never confirmed."""
    if instant is None:
        return ContactState.UNCONFIRMED
    return ContactState.CONFIRMED if now - instant <= lease else ContactState.LAPSED


@dataclass(slots=True)
class PendingRequest:
    """A request sent to the other control nodes, and the nodes that have granted the request."""

    sent_at: int
    items: tuple[Item, ...] = ()  # items that a granter must store before it grants the request
    granters: set[Address] = field(default_factory=set)
    versions: ControlVersions = field(default_factory=ControlVersions)  # the newest versions in the grants


class ContactLease:
    """The contact lease of one control node: the pending requests and the contact instant."""

    def __init__(self, me: Address, seed: int) -> None:
        self.instant: int | None = None  # the contact instant; None before the first majority
        self.exchanged_at: int | None = None  # send time of the newest message that any other node has answered
        self._me = me
        self._electorates: tuple[frozenset[Address], ...] = (frozenset({me}),)
        self._number = random.Random(seed).getrandbits(REQUEST_NUMBER_BITS)
        self._requests: dict[int, PendingRequest] = {}
        self._writes: dict[int, PendingRequest] = {}

    def set_electorates(self, electorates: Iterable[Iterable[Address]]) -> None:
        """Require a majority of each electorate from now on; there are two while a view change is not yet in force.

        A lease that earlier electorates have granted stays valid until it expires.
        """
        self._electorates = tuple(frozenset(electorate) for electorate in electorates)

    # --- requests and writes ----------------------------------------------------------------------

    def begin_request(self, now: int, own_versions: ControlVersions) -> int:
        """Record a request sent at `now`; return its number. `own_versions` are the versions stored on this node."""
        number = self._next_number()
        self._requests[number] = PendingRequest(now)
        while len(self._requests) > MAX_PENDING_REQUESTS:
            del self._requests[next(iter(self._requests))]
        self.advance(own_versions)
        return number

    def begin_write(self, now: int, items: Iterable[Item]) -> int:
        """Record a write of `items` to a majority, sent at `now`; return its number, valid until `end_write`."""
        number = self._next_number()
        self._writes[number] = PendingRequest(now, tuple(items))
        return number

    def end_write(self, number: int) -> None:
        """Remove a write for which no caller waits any longer."""
        self._writes.pop(number, None)

    def is_written(self, number: int) -> bool:
        """Return True if a majority has granted the write, and therefore stores its items."""
        write = self._writes.get(number)
        return write is not None and self._has_majority(write)

    def items_of_write(self, number: int) -> tuple[Item, ...]:
        """Return the items that a node must store before it grants this write."""
        return self._writes[number].items

    def missing_writes(self, peer: Address) -> list[int]:
        """Return the numbers of the pending writes that `peer` has not granted."""
        return [number for number, write in self._writes.items() if peer not in write.granters]

    def on_grant(self, granter: Address, number: int, versions: ControlVersions, own_versions: ControlVersions) -> bool:
        """Record a grant by a control node; return True if the contact instant advanced."""
        granted = self._requests.get(number) or self._writes.get(number)
        if granted is None:
            return False
        granted.granters.add(granter)
        granted.versions = granted.versions.joined(versions)
        self.note_exchange(granted.sent_at)
        return self.advance(own_versions)

    def note_exchange(self, sent_at: int) -> None:
        """Record that another node acknowledged a message sent at `sent_at`: a lease request or a keepalive."""
        self.exchanged_at = sent_at if self.exchanged_at is None else max(self.exchanged_at, sent_at)

    def exchange_age(self, now: int) -> int | None:
        """Return the nanoseconds since the newest message answered by any other node was sent, or None if none was.

        The contact instant counts as such a message, so a control node that is its own majority has an age too.
        """
        known = [instant for instant in (self.instant, self.exchanged_at) if instant is not None]
        return now - max(known) if known else None

    def advance(self, own_versions: ControlVersions) -> bool:
        """Advance the contact instant as far as the grants and `own_versions` allow; return True if it advanced."""
        complete = [
            request.sent_at
            for request in (*self._requests.values(), *self._writes.values())
            if self._has_majority(request) and own_versions.covers(request.versions)
        ]
        newest = max(complete, default=None)
        if newest is None or (self.instant is not None and newest <= self.instant):
            return False
        self._set_instant(newest)
        return True

    # --- helpers ----------------------------------------------------------------------------------

    def _set_instant(self, instant: int) -> None:
        """Set the contact instant, which never decreases; no other method changes the contact instant."""
        self.instant = instant
        self._requests = {number: request for number, request in self._requests.items() if request.sent_at > instant}

    def _has_majority(self, request: PendingRequest) -> bool:
        granters = request.granters | {self._me}
        return all(2 * len(granters & electorate) > len(electorate) for electorate in self._electorates)

    def _next_number(self) -> int:
        self._number += 1
        return self._number


@dataclass(frozen=True, slots=True)
class RelayedGrant:
    """A parent's statement that a majority stored nothing newer than `versions` at `instant`."""

    instant: int  # the parent's contact instant, converted to the child's clock
    versions: ControlVersions


class RelayedLease:
    """The contact lease of a data-plane node, relayed by its parents."""

    def __init__(self) -> None:
        self.instant: int | None = None  # the contact instant; None before the first grant
        self._pending: RelayedGrant | None = None  # the newest grant, until this node stores its versions

    def on_grant(self, grant: RelayedGrant, own_versions: ControlVersions) -> bool:
        """Record a parent's grant; return True if the contact instant advanced."""
        self._pending = grant
        return self.advance(own_versions)

    def advance(self, own_versions: ControlVersions) -> bool:
        """Apply the pending grant if `own_versions` cover its versions; return True if the contact instant advanced."""
        pending = self._pending
        if pending is None or not own_versions.covers(pending.versions):
            return False
        self._pending = None
        if self.instant is not None and pending.instant <= self.instant:
            return False
        self.instant = pending.instant
        return True
