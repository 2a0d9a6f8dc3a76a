"""State machine of a candidate: changes the view, from the pre-vote until the new view is in force.

| phase | waits for | next phase |
| --- | --- | --- |
| PRE_VOTING | a quorum of the base view whose members find the primary unresponsive | PREPARING |
| PREPARING | promises from a quorum and an up-to-date replica of the base view; the rest only briefly | FETCHING |
| FETCHING | the state of the most advanced replica that promised | INSTALLING |
| INSTALLING | every replica of the new view to have the state on its disk | ACCEPTING |
| ACCEPTING | acceptances from a majority of the new witnesses and from a majority of the previous ones | WON |
| WON, LOST | nothing: the member becomes the primary, or a follower | |

The base view is the highest view known to the candidate. A higher view reported in a response replaces the base view,
and the candidate then asks the members of that view too. The pre-vote is that of Ongaro's thesis on Raft, section 9.6;
an acting primary that changes its own view skips the pre-vote. Promises and acceptances are those of Paxos (Lamport,
"Paxos Made Simple", 2001), whose value is the view.

Owns one attempt in one epoch. The candidate must not change its own member's witness or replica: it only sends requests
and processes the responses.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum, auto

from canvasbeam.replication.control_state import ControlState
from canvasbeam.replication.messages import (
    Accept,
    Accepted,
    Fetch,
    Fetched,
    Install,
    Installed,
    Message,
    Prepare,
    PreVote,
    PreVoteRequest,
    Promise,
    Refused,
    Send,
    SnapshotId,
)
from canvasbeam.replication.snapshots import SnapshotSource
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import NO_MEMBER, Epoch, MemberId, Position, View


class Phase(Enum):
    """Phase of a candidate's attempt; see the table in the module docstring."""

    PRE_VOTING = auto()
    PREPARING = auto()
    FETCHING = auto()
    INSTALLING = auto()
    ACCEPTING = auto()
    WON = auto()
    LOST = auto()


# Arguments: base view, whether the base view is in force, epoch, healthy members that promised, time in nanoseconds.
# Returns the view to propose, or None if the candidate should wait for more promises.
PlanView = Callable[[View, bool, Epoch, frozenset[MemberId], int], View | None]


class Candidate:
    """One attempt to put a view in force."""

    def __init__(
        self,
        me: MemberId,
        base: View,
        in_force: bool,
        *,
        number: int,
        plan: PlanView,
        is_alive: Callable[[MemberId, int], bool],
        timing: ReplicationTiming,
        snapshots: SnapshotSource,
    ) -> None:
        self.me = me
        self.base = base
        self.in_force = in_force
        self.epoch = Epoch(number, me)
        self.view: View | None = None
        self.phase = Phase.PRE_VOTING
        self.has_prepared = False
        self.source = NO_MEMBER
        self.source_position = Position(self.epoch, 0)
        self._plan = plan
        self._is_alive = is_alive
        self._timing = timing
        self._snapshots = snapshots
        self._phase_since = 0
        self._last_sent = 0
        self._quorum_since: int | None = None
        self._pre_votes: dict[MemberId, PreVote] = {}
        self._promises: dict[MemberId, Promise] = {}
        self._state: ControlState | None = None
        self._needs_state: set[MemberId] = set()
        self._installed: set[MemberId] = set()
        self._accepted: set[MemberId] = set()

    def begin(self, pre_vote: bool, now: int) -> list[Send]:
        """Return the first requests: for pre-votes, or for promises if `pre_vote` is False."""
        return self._enter(Phase.PRE_VOTING if pre_vote else Phase.PREPARING, now)

    def handle(self, sender: MemberId, message: Message, now: int) -> list[Send]:
        """Process a response. Responses to other candidates or to earlier attempts have no effect."""
        match message:
            case PreVote(number=number) if self.phase is Phase.PRE_VOTING and number == self.epoch.number:
                return self._take_pre_vote(sender, message, now)
            case Promise(epoch=epoch) if self.phase is Phase.PREPARING and epoch == self.epoch:
                return self._take_promise(sender, message, now)
            case Fetched(position=position, state=ControlState() as state) if self.awaits(message):
                return self._take_state(position, state, now)
            case Installed(epoch=epoch, stored=stored) if self.phase is Phase.INSTALLING and epoch == self.epoch:
                return self._take_installed(sender, stored, now)
            case Accepted(epoch=epoch) if self.phase is Phase.ACCEPTING and epoch == self.epoch:
                return self._take_accepted(sender, now)
            case Refused(epoch=epoch, promised=promised) if epoch == self.epoch and promised > epoch:
                return self._enter(Phase.LOST, now)
        return []

    def tick(self, now: int) -> list[Send]:
        """Resend unanswered requests, proceed without unresponsive members, or fail at the phase timeout."""
        if self.phase in (Phase.WON, Phase.LOST):
            return []
        if now - self._phase_since > self._timing.phase_timeout_ns:
            return self._enter(Phase.LOST, now)
        sends = self._advance(now)
        if not sends and now - self._last_sent >= self._timing.resend_interval_ns:
            sends = self._requests(now) + self._renew_promises()
        return sends

    def awaits(self, message: Fetched) -> bool:
        """Return True if `message` carries the state that the candidate requested."""
        return self.phase is Phase.FETCHING and message.epoch == self.epoch

    def record_progress(self, now: int) -> None:
        """Restart the phase timeout because chunks of a state are still being transferred."""
        if self.phase in (Phase.FETCHING, Phase.INSTALLING):
            self._phase_since = now

    def has_promise(self, member: MemberId) -> bool:
        """Return True if the member promised the epoch in the PREPARING phase and its disk is healthy."""
        answer = self._promises.get(member)
        return answer is not None and answer.healthy

    def has_source_state(self, member: MemberId) -> bool:
        """Return True if the member's replica has the state with which the new view will begin."""
        source = self._best_source()
        answer = self._promises.get(member)
        return source is not None and answer is not None and answer.position == self._promises[source].position

    def replicas_without_state(self) -> list[MemberId]:
        """Return the replicas of the new view that have not confirmed the state; empty outside the INSTALLING phase."""
        if self.view is None or self.phase is not Phase.INSTALLING:
            return []
        return [member for member in self.view.replicas if member not in self._installed]

    def provide_state(self, state: ControlState, now: int) -> list[Send]:
        """Continue with the state of this member's own replica, which is the most advanced replica."""
        return self._take_state(self.source_position, state, now)

    @property
    def needs_own_state(self) -> bool:
        """True if the member should call `provide_state`."""
        return self.phase is Phase.FETCHING and self.source == self.me

    def _enter(self, phase: Phase, now: int) -> list[Send]:
        """Change the phase and return the requests of the new phase. No other method changes the phase."""
        self.phase = phase
        self.has_prepared = self.has_prepared or phase is Phase.PREPARING
        self._phase_since = now
        self._quorum_since = None
        return self._requests(now)

    def _requests(self, now: int) -> list[Send]:
        """Return the current phase's requests for the members that have not answered."""
        self._last_sent = now
        match self.phase:
            case Phase.PRE_VOTING:
                return self._send_to_each(self._unanswered(self._pre_votes), PreVoteRequest(self.epoch.number))
            case Phase.PREPARING:
                return self._send_to_each(self._unanswered(self._promises), Prepare(self.epoch))
            case Phase.FETCHING if self.source != self.me:
                return [Send(self.source, Fetch(self.epoch))]
            case Phase.INSTALLING:
                return [Send(member, self._install_for(member)) for member in self.replicas_without_state()]
            case Phase.ACCEPTING:
                return self._accept_requests()
        return []

    def _send_to_each(self, members: Iterable[MemberId], message: Message) -> list[Send]:
        return [Send(member, message) for member in members]

    def _unanswered(self, answered: Iterable[MemberId]) -> list[MemberId]:
        known = set(answered)
        return [member for member in self._electorate() if member not in known]

    def _electorate(self) -> tuple[MemberId, ...]:
        return tuple(dict.fromkeys((self.me, *self.base.members)))

    def _adopt_higher_view(self, view: View | None, in_force: bool) -> bool:
        """Replace the base view if `view` is higher; return True if the new base view's members must be asked."""
        if view is None or view.epoch < self.base.epoch:
            return False
        if view.epoch == self.base.epoch:
            self.in_force = self.in_force or in_force
            return False
        self.base = view
        self.in_force = in_force
        self._quorum_since = None
        return True

    def _take_pre_vote(self, sender: MemberId, message: PreVote, now: int) -> list[Send]:
        self._pre_votes[sender] = message
        is_base_replaced = self._adopt_higher_view(message.accepted, message.in_force)
        return (self._requests(now) if is_base_replaced else []) + self._advance(now)

    def _take_promise(self, sender: MemberId, message: Promise, now: int) -> list[Send]:
        self._promises[sender] = message
        is_base_replaced = self._adopt_higher_view(message.accepted, message.in_force)
        return (self._requests(now) if is_base_replaced else []) + self._advance(now)

    def _advance(self, now: int) -> list[Send]:
        if self.phase is Phase.PRE_VOTING:
            return self._end_pre_voting(now)
        if self.phase is Phase.PREPARING:
            return self._end_preparing(now)
        return []

    def _end_pre_voting(self, now: int) -> list[Send]:
        electors = [member for member, answer in self._pre_votes.items() if answer.is_primary_unresponsive]
        if not self.base.has_quorum(electors, self.in_force):
            return []
        highest = max(answer.promised.number for answer in self._pre_votes.values())
        self.epoch = Epoch(max(self.epoch.number, highest + 1), self.me)
        return self._enter(Phase.PREPARING, now)

    def _end_preparing(self, now: int) -> list[Send]:
        source = self._best_source()
        if source is None or not self.base.has_quorum(self._promises, self.in_force):
            return []
        if self._quorum_since is None:
            self._quorum_since = now
        awaited = [member for member in self._unanswered(self._promises) if self._is_alive(member, now)]
        if awaited and now - self._quorum_since < self._timing.answer_grace_ns:
            return []
        promised = frozenset(member for member, answer in self._promises.items() if answer.healthy)
        view = self._plan(self.base, self.in_force, self.epoch, promised, now)
        if view is None:
            return []
        self.view = view
        self.source = source
        self.source_position = self._promises[source].position
        return self._enter(Phase.FETCHING, now)

    def _best_source(self) -> MemberId | None:
        """Return the most advanced replica that promised and has at least the base view's state; on a tie, this member.

        A member that was only catching up in the base view may lack changes that the base view acknowledged.
        """
        best: MemberId | None = None
        for member, answer in self._promises.items():
            if answer.position.epoch < self.base.epoch:
                continue
            if answer.position.epoch == self.base.epoch and member not in self.base.replicas:
                continue
            if best is None:
                best = member
                continue
            position = self._promises[best].position
            if position.precedes(answer.position) or (member == self.me and position == answer.position):
                best = member
        return best

    def _take_state(self, position: Position, state: ControlState, now: int) -> list[Send]:
        if self.view is None or position.precedes(self.source_position):
            return []
        self.source_position = position
        self._state = state
        self._needs_state = {member for member in self.view.replicas if self._is_at_other_position(member)}
        return self._enter(Phase.INSTALLING, now)

    def _is_at_other_position(self, member: MemberId) -> bool:
        """Return True if the member's promise has a position other than the source's; False without a promise."""
        answer = self._promises.get(member)
        return answer is not None and answer.position != self.source_position

    def _install_for(self, member: MemberId) -> Install:
        if self._state is None or member not in self._needs_state:
            return Install(self.epoch, self.source_position, None)
        state: ControlState | SnapshotId = self._state
        if member != self.me:
            state = self._snapshots.offer(self._state)
        return Install(self.epoch, self.source_position, state)

    def _take_installed(self, sender: MemberId, stored: bool, now: int) -> list[Send]:
        if not stored:
            self._needs_state.add(sender)
            return [Send(sender, self._install_for(sender))]
        self._installed.add(sender)
        if self.replicas_without_state():
            return []
        return self._enter(Phase.ACCEPTING, now)

    def _renew_promises(self) -> list[Send]:
        """Resend `Prepare` while a large state is transferred, so that no member's election timer expires."""
        if self.phase not in (Phase.FETCHING, Phase.INSTALLING):
            return []
        overdue = set(self.replicas_without_state())
        return self._send_to_each(
            [member for member in self._promises if member != self.me and member not in overdue], Prepare(self.epoch)
        )

    def _accept_requests(self) -> list[Send]:
        if self.view is None:
            return []
        waiting = [member for member in self.view.members if member not in self._accepted]
        return self._send_to_each(waiting, Accept(self.view, in_force=False))

    def _take_accepted(self, sender: MemberId, now: int) -> list[Send]:
        self._accepted.add(sender)
        if self.view is not None and self.view.has_quorum(self._accepted, in_force=False):
            return self._enter(Phase.WON, now)
        return []
