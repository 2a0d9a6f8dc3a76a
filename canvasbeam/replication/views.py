"""Epochs, views and the names of members: the vocabulary of replication.

Views and their numbers are those of Viewstamped Replication (Oki, Liskov, 1988); the epoch is the view number. Values
only: nothing here changes state, and nothing here knows of messages or time.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import NewType

from canvasbeam.errors import Failure
from canvasbeam.replication.control_state import Change, ControlState

MemberId = NewType("MemberId", str)  # "ip/disk": a machine with one incarnation of its disk
ApplyChange = Callable[[ControlState, Change], ControlState | Failure]

GENESIS_DISK = "0"
NO_MEMBER = MemberId("")


def member_id(ip: str, disk: str) -> MemberId:
    """Return the name of a member."""
    return MemberId(f"{ip}/{disk}")


def member_ip(member: MemberId) -> str:
    """Return the address of a member's machine."""
    return member.partition("/")[0]


@dataclass(frozen=True, slots=True, order=True)
class Epoch:
    """The number of a view. The candidate's name makes the epochs of two candidates differ."""

    number: int = 0
    candidate: MemberId = NO_MEMBER


NO_EPOCH = Epoch(-1)
GENESIS_EPOCH = Epoch()


@dataclass(frozen=True, slots=True)
class View:
    """Who stores the state and who votes, in one epoch.

    While the view is not known to be in force, its quorums need a majority of `previous_witnesses` too: the witnesses
    of the view that it was built on.
    """

    epoch: Epoch
    primary: MemberId
    replicas: tuple[MemberId, ...]
    witnesses: tuple[MemberId, ...]
    previous_witnesses: tuple[MemberId, ...]

    @property
    def members(self) -> tuple[MemberId, ...]:
        """Everybody who has a part in the view, each once."""
        return tuple(dict.fromkeys((*self.replicas, *self.witnesses, *self.previous_witnesses)))

    def has_quorum(self, votes: Collection[MemberId], in_force: bool) -> bool:
        """Return whether these members decide for the view."""
        if not is_majority(votes, self.witnesses):
            return False
        return in_force or is_majority(votes, self.previous_witnesses)


def is_majority(votes: Collection[MemberId], electorate: Collection[MemberId]) -> bool:
    """Return whether more than half of an electorate is among the votes."""
    return 2 * sum(1 for member in electorate if member in votes) > len(electorate)


def genesis_view(seed_ips: Collection[str]) -> View:
    """Return the view that every member of the first start begins with: no primary, and an empty state."""
    members = tuple(member_id(ip, GENESIS_DISK) for ip in sorted(set(seed_ips)))
    return View(GENESIS_EPOCH, NO_MEMBER, members, members, members)


@dataclass(frozen=True, slots=True)
class Position:
    """How far a replica is: the epoch for which it was installed, and the index of its state."""

    epoch: Epoch
    index: int

    def precedes(self, other: Position) -> bool:
        """Return whether the other is strictly more advanced."""
        return (self.epoch, self.index) < (other.epoch, other.index)
