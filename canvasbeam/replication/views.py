"""The basic types of replication: epochs, views and member ids.

Views are those of Viewstamped Replication (Oki, Liskov, 1988); the epoch is the view number. The module contains only
immutable types, and depends neither on messages nor on time.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import NewType

from canvasbeam.errors import Failure
from canvasbeam.replication.control_state import Change, ControlState

MemberId = NewType("MemberId", str)  # "ip/disk": the IP address of a machine and the id of its current disk
ApplyChange = Callable[[ControlState, Change], ControlState | Failure]

GENESIS_DISK = "0"
NO_MEMBER = MemberId("")


def member_id(ip: str, disk: str) -> MemberId:
    """Return the id of the member at an IP address with a disk id."""
    return MemberId(f"{ip}/{disk}")


def member_ip(member: MemberId) -> str:
    """Return the IP address of a member's machine."""
    return member.partition("/")[0]


@dataclass(frozen=True, slots=True, order=True)
class Epoch:
    """The number of a view; the candidate's id makes epochs of different candidates with the same number distinct."""

    number: int = 0
    candidate: MemberId = NO_MEMBER


NO_EPOCH = Epoch(-1)
GENESIS_EPOCH = Epoch()


@dataclass(frozen=True, slots=True)
class View:
    """The members of one epoch: replicas store the state, witnesses vote.

    While the view is not known to be in force, its quorums also need a majority of `previous_witnesses`, which are the
    witnesses of the base view.
    """

    epoch: Epoch
    primary: MemberId
    replicas: tuple[MemberId, ...]
    witnesses: tuple[MemberId, ...]
    previous_witnesses: tuple[MemberId, ...]

    @property
    def members(self) -> tuple[MemberId, ...]:
        """Return all replicas, witnesses and previous witnesses, without duplicates."""
        return tuple(dict.fromkeys((*self.replicas, *self.witnesses, *self.previous_witnesses)))

    def has_quorum(self, votes: Collection[MemberId], in_force: bool) -> bool:
        """Return True if the members in `votes` form a quorum of the view."""
        if not is_majority(votes, self.witnesses):
            return False
        return in_force or is_majority(votes, self.previous_witnesses)


def is_majority(votes: Collection[MemberId], electorate: Collection[MemberId]) -> bool:
    """Return True if more than half of the electorate is among `votes`."""
    return 2 * sum(1 for member in electorate if member in votes) > len(electorate)


def genesis_view(seed_ips: Collection[str]) -> View:
    """Return the initial view of a new system, without a primary, with all seed members as replicas and witnesses."""
    members = tuple(member_id(ip, GENESIS_DISK) for ip in sorted(set(seed_ips)))
    return View(GENESIS_EPOCH, NO_MEMBER, members, members, members)


@dataclass(frozen=True, slots=True)
class Position:
    """The progress of a replica: the epoch in which its state was installed, and the index of the state."""

    epoch: Epoch
    index: int

    def precedes(self, other: Position) -> bool:
        """Return True if `other` is strictly more advanced."""
        return (self.epoch, self.index) < (other.epoch, other.index)
