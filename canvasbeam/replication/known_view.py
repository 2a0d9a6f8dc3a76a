"""A member's knowledge of views, epochs and the primary, learned from received messages.

This knowledge may be outdated at any time, so no safety property depends on it.
"""

from __future__ import annotations

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.messages import Heartbeat, Message, Prepare, PreVote, Refused, Send, ViewNotice
from canvasbeam.replication.views import NO_EPOCH, NO_MEMBER, Epoch, MemberId, View, member_ip


class KnownView:
    """The view with the highest epoch that the member has received, and whether this view is in force."""

    def __init__(self, view: View | None, in_force: bool) -> None:
        self.view = view
        self.in_force = in_force

    @property
    def epoch(self) -> Epoch:
        """Return the epoch of the known view, or `NO_EPOCH` if no view is known."""
        return NO_EPOCH if self.view is None else self.view.epoch

    @property
    def members(self) -> tuple[MemberId, ...]:
        """Return all replicas, witnesses and previous witnesses of the known view; empty if no view is known."""
        return () if self.view is None else self.view.members

    @property
    def is_reconfiguration_complete(self) -> bool:
        """Return True if the known view contains no unfinished change of the electorate."""
        view = self.view
        return view is None or self.in_force or set(view.witnesses) == set(view.previous_witnesses)

    def learn(self, view: View, in_force: bool) -> None:
        """Replace the known view by a view with a higher epoch, or record that the known view is in force."""
        if self.view is None or view.epoch > self.view.epoch:
            self.view = view
            self.in_force = in_force
        elif view.epoch == self.view.epoch:
            self.in_force = self.in_force or in_force

    def notices_for(self, member: MemberId) -> list[Send]:
        """Return a `ViewNotice` of the known view, addressed to `member`; empty if no view is known."""
        return [] if self.view is None else [Send(member, ViewNotice(self.view, self.in_force))]


class KnownPrimary:
    """The primary that this member knows: the sender of the newest heartbeat, or this member itself."""

    def __init__(self, me: MemberId) -> None:
        self.member = NO_MEMBER  # `NO_MEMBER` while no primary is known
        self.epoch = NO_EPOCH  # epoch of the last known primary, kept after `forget`
        self._me = me

    @property
    def is_known(self) -> bool:
        """Return True if a primary is known."""
        return self.member != NO_MEMBER

    def follow(self, member: MemberId, epoch: Epoch) -> None:
        """Set the known primary and its epoch."""
        self.member = member
        self.epoch = epoch

    def forget(self) -> None:
        """Clear the known primary."""
        self.member = NO_MEMBER

    def stop_leading(self) -> None:
        """Clear the known primary if this member is the known primary."""
        if self.member == self._me:
            self.forget()

    def has_resigned(self, sender: MemberId, epoch: Epoch) -> bool:
        """Return True if a resignation by `sender` in `epoch` comes from the known primary and is not outdated."""
        return sender == self.member and epoch >= self.epoch

    def refusal(self) -> Failure:
        """Return the failure with which a member that is not the primary answers a client call."""
        if self.is_known and self.member != self._me:
            return Failure(ResultCode.NOT_PRIMARY, f"the primary is {member_ip(self.member)}")
        return Failure(ResultCode.NO_PRIMARY, "no primary is known at present")


class EpochNumbers:
    """The highest epoch number that this member has received or used; a new candidacy uses a higher number."""

    def __init__(self, highest: int) -> None:
        self.highest = highest

    def observe(self, message: Message) -> None:
        """Update the highest epoch number from a message that contains an epoch."""
        match message:
            case PreVote(promised=epoch) | Refused(promised=epoch) | Prepare(epoch=epoch) | Heartbeat(epoch=epoch):
                self.highest = max(self.highest, epoch.number)

    def draw(self) -> int:
        """Return a new epoch number, higher than all numbers received or used before."""
        self.highest += 1
        return self.highest
