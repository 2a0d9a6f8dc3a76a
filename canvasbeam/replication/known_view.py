"""What a member has received of views, epochs and the primary.

It may be behind the others at any time, so nothing that is safe depends on it.
"""

from __future__ import annotations

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.messages import Heartbeat, Message, Prepare, PreVote, Refused, Send, ViewNotice
from canvasbeam.replication.views import NO_EPOCH, NO_MEMBER, Epoch, MemberId, View, member_ip


class KnownView:
    """The highest view that the member received, and whether it is in force."""

    def __init__(self, view: View | None, in_force: bool) -> None:
        self.view = view
        self.in_force = in_force

    @property
    def epoch(self) -> Epoch:
        """The epoch of the view."""
        return NO_EPOCH if self.view is None else self.view.epoch

    @property
    def members(self) -> tuple[MemberId, ...]:
        """Everybody who has a part in the view."""
        return () if self.view is None else self.view.members

    @property
    def is_reconfiguration_complete(self) -> bool:
        """Whether no change of the electorate is open in the view."""
        view = self.view
        return view is None or self.in_force or set(view.witnesses) == set(view.previous_witnesses)

    def learn(self, view: View, in_force: bool) -> None:
        """Take a view that is higher, or that the known one is in force."""
        if self.view is None or view.epoch > self.view.epoch:
            self.view = view
            self.in_force = in_force
        elif view.epoch == self.view.epoch:
            self.in_force = self.in_force or in_force

    def notices_for(self, member: MemberId) -> list[Send]:
        """Return the notice of the view for a member that may not know it; none where no view is known."""
        return [] if self.view is None else [Send(member, ViewNotice(self.view, self.in_force))]


class KnownPrimary:
    """Who leads, as far as the member knows: the sender of the newest heartbeat, or the member itself."""

    def __init__(self, me: MemberId) -> None:
        self.member = NO_MEMBER  # empty while none is known
        self.epoch = NO_EPOCH  # of the last one that was known
        self._me = me

    @property
    def is_known(self) -> bool:
        """Whether there is a primary to name."""
        return self.member != NO_MEMBER

    def follow(self, member: MemberId, epoch: Epoch) -> None:
        """Take a member for the primary of an epoch."""
        self.member = member
        self.epoch = epoch

    def forget(self) -> None:
        """Name no primary any more."""
        self.member = NO_MEMBER

    def stop_leading(self) -> None:
        """Forget the primary where it is this member."""
        if self.member == self._me:
            self.forget()

    def has_resigned(self, sender: MemberId, epoch: Epoch) -> bool:
        """Return whether a resignation is that of the known primary."""
        return sender == self.member and epoch >= self.epoch

    def refusal(self) -> Failure:
        """Return the answer to a call that only a primary may take."""
        if self.is_known and self.member != self._me:
            return Failure(ResultCode.NOT_PRIMARY, f"the primary is {member_ip(self.member)}")
        return Failure(ResultCode.NO_PRIMARY, "no primary is known at present")


class EpochNumbers:
    """The highest epoch number that the member received, so that its own next one is higher."""

    def __init__(self, highest: int) -> None:
        self.highest = highest

    def observe(self, message: Message) -> None:
        """Take note of the epoch that a message tells of."""
        match message:
            case PreVote(promised=epoch) | Refused(promised=epoch) | Prepare(epoch=epoch) | Heartbeat(epoch=epoch):
                self.highest = max(self.highest, epoch.number)

    def draw(self) -> int:
        """Return a number above all that were received."""
        self.highest += 1
        return self.highest
