"""One member of the replicated control state: receives events and the time, and returns actions.

`roles.TRANSITIONS` defines which event ends which role; only `Member._change_role` changes the role. Decisions that
depend on the role are made by the role's state machine: `follower.Follower`, `candidate_role.CandidateRole` or
`primary_role.PrimaryRole`. All other decisions (promises, votes, heartbeats, snapshots, the shutdown of a member) are
made by `Member` and the parts of `shared_state.SharedState`. The driver delays a message that confirms stored data
until every earlier save is synced (`durability.Outbox`).
"""

from __future__ import annotations

from collections.abc import Collection

from canvasbeam.errors import Failure
from canvasbeam.replication.candidate_role import CandidateRole
from canvasbeam.replication.control_state import Change
from canvasbeam.replication.durable_state import DurableState, MemberSettings
from canvasbeam.replication.follower import Follower
from canvasbeam.replication.messages import (
    Accept,
    Action,
    Answer,
    Append,
    Chunk,
    Fetch,
    FetchChunk,
    Fetched,
    Heartbeat,
    HeartbeatAck,
    Hello,
    Install,
    Leave,
    LeaveGranted,
    LeaveRequested,
    Message,
    Prepare,
    PreVote,
    PreVoteRequest,
    Promise,
    Publish,
    Refused,
    Resign,
    SaveCommitted,
    Send,
    SnapshotId,
    ViewNotice,
)
from canvasbeam.replication.primary import Primary
from canvasbeam.replication.primary_role import PrimaryRole
from canvasbeam.replication.removal import Removal, at_address
from canvasbeam.replication.responder import LeaderRequest, Responder, epoch_of
from canvasbeam.replication.role_machine import RoleMachine
from canvasbeam.replication.roles import TRANSITIONS, Outcome, Role, RoleEvent
from canvasbeam.replication.shared_state import SharedState
from canvasbeam.replication.snapshots import StateCodec
from canvasbeam.replication.views import NO_EPOCH, ApplyChange, Epoch, MemberId


class Member:
    """Facade that passes each event to the responsible part or state machine."""

    def __init__(
        self,
        settings: MemberSettings,
        durable: DurableState,
        apply: ApplyChange,
        apply_checked: ApplyChange,
        now: int,
        *,
        codec: StateCodec | None = None,
    ) -> None:
        self.stale_answers = 0  # answers to requests of earlier candidacies and views
        self._shared = SharedState(
            settings,
            durable,
            apply,
            apply_checked,
            now,
            codec=codec,
            is_caught_up=self._is_caught_up,
        )
        self._responder = Responder(self._shared.witness, self._shared.replica, self._shared.snapshots)
        self._follower = Follower(self._shared)
        self._machine: RoleMachine = self._follower
        self._last_tick = now

    # --- properties -------------------------------------------------------------------------------------------

    @property
    def me(self) -> MemberId:
        """The id of this member."""
        return self._shared.me

    @property
    def role(self) -> Role:
        """The current role."""
        return self._machine.role

    @property
    def state(self) -> SharedState:
        """The parts that exist in every role: witness, replica, and information about the other members."""
        return self._shared

    @property
    def leadership(self) -> Primary | None:
        """The `Primary` of the view that this member leads; None in any other role."""
        return self._machine.primary if isinstance(self._machine, PrimaryRole) else None

    # --- events -----------------------------------------------------------------------------------------------

    def begin(self) -> list[Action]:
        """Publish the state that was known to be committed before the restart. Must be the first event."""
        committed = self._shared.replica.committed
        return [Publish(committed)] if committed.index else []

    def receive(self, sender: MemberId, message: Message, now: int) -> list[Action]:
        """Process a message from another member or from this one."""
        self._record_sender(sender, message, now)
        match message:
            case Hello():
                return [*self._shared.known_view.notices_for(sender)]
            case ViewNotice():
                self._shared.known_view.learn(message.view, message.in_force)
                return []
            case PreVoteRequest():
                answer = self._shared.pre_vote(message.number, self._machine.finds_primary_unresponsive(now))
                return [Send(sender, answer)]
            case Install(state=SnapshotId()) | FetchChunk() | Chunk():
                return self._on_snapshot_message(sender, message, now)
            case Prepare() | Fetch() | Install() | Accept() | Append():
                return self._respond(sender, message, now)
            case Heartbeat():
                return self._on_heartbeat(sender, message, now)
            case Resign(epoch=epoch):
                return self._on_resign(sender, epoch, now)
            case Leave(standbys=standbys):
                return self._on_leave(sender, standbys, now)
            case LeaveRequested():
                return self.leave(now)
        return self._on_answer(sender, message, now)

    def tick(self, now: int) -> list[Action]:
        """Return the actions due at `now`. A gap above `stall_after_ns` between ticks is a stall of this process."""
        shared = self._shared
        self._discount_stall(now)
        shared.snapshots.tick(now)
        leave_notices = shared.departure.tick(self._shared.known_view.view, shared.liveness, now)
        requests = shared.receiver.tick(now)
        return [*leave_notices, *requests, *self._apply_outcome(self._machine.tick(now), now)]

    def submit(self, call: int, change: Change, now: int) -> list[Action]:
        """Submit a change ordered by the operator; the result is a `Reply` with the number of the call."""
        return self._machine.submit(call, change, now)

    def read(self, call: int, now: int) -> list[Action]:
        """Read the newest committed state for the operator; the result is a `Reply` with the number of the call."""
        return self._machine.read(call, now)

    def set_seed_ips(self, seed_ips: tuple[str, ...]) -> None:
        """Replace the seed addresses, to which hellos are sent."""
        self._shared.seed_ips = seed_ips

    def set_healthy(self, healthy: bool, now: int) -> list[Action]:
        """Record whether the disk works. A member whose disk stalls, fails or is full must not lead, so it resigns."""
        self._shared.healthy = healthy
        if healthy or self.role is Role.FOLLOWER:
            return []
        return self.resign(now)

    def resign(self, now: int) -> list[Action]:
        """Stop leading, and notify the other members."""
        known_view = self._shared.known_view
        epoch = known_view.epoch
        others = dict.fromkeys((*known_view.members, *self._shared.liveness.usable_outside(known_view.members, now)))
        was_primary = self.role in (Role.PRIMARY, Role.REFORMING)
        actions = self._change_role(RoleEvent.RESIGNED, now)
        if was_primary:
            actions += [Send(member, Resign(epoch)) for member in others if member != self.me]
        return actions

    def leave(self, now: int) -> list[Action]:
        """Resign and request a grant to leave (`departure.may_end`): the process will end, perhaps permanently."""
        leave_notices = self._shared.departure.begin(self._shared.known_view.view, self._shared.liveness, now)
        return [*leave_notices, *(self.resign(now) if self.role is not Role.FOLLOWER else [])]

    def removal(self, ip: str, now: int) -> Removal | Failure:
        """Return the progress of removing the member at an address, or a failure; only the primary can decide."""
        if isinstance(self._machine, PrimaryRole):
            return self._machine.removal(ip, now)
        return self._shared.known_primary.refusal()

    def request_leave(self, ip: str) -> list[Action]:
        """Ask all members at an address to leave; this member may be one of the receivers."""
        members = (*self._shared.known_view.members, *self._shared.liveness.known())
        return [Send(member, LeaveRequested()) for member in at_address(ip, members)]

    # --- role changes -----------------------------------------------------------------------------------------

    def _apply_outcome(self, outcome: Outcome, now: int) -> list[Action]:
        """Return the actions of an outcome, followed by the actions of the role change caused by its event."""
        if outcome.event is None:
            return [*outcome.actions]
        if outcome.event is RoleEvent.UNABLE_TO_LEAD:
            return [*outcome.actions, *self.resign(now)]
        return [*outcome.actions, *self._change_role(outcome.event, now)]

    def _change_role(self, event: RoleEvent, now: int) -> list[Action]:
        """Change the role by `TRANSITIONS`, and begin the new role. No other method changes the role."""
        old_machine = self._machine
        view = self._shared.known_view.view
        match TRANSITIONS[old_machine.role, event]:
            case Role.CANDIDATE | Role.REFORMING if view is not None:
                former_primary = old_machine.primary if isinstance(old_machine, PrimaryRole) else None
                candidacy = CandidateRole(self._shared, view, former_primary, now)
                self._machine = candidacy
                return self._apply_outcome(candidacy.begin(now), now)
            case Role.PRIMARY if isinstance(old_machine, CandidateRole) and old_machine.candidate.view is not None:
                leadership = PrimaryRole(self._shared, old_machine.candidate, old_machine.candidate.view, now)
                self._machine = leadership
                return leadership.begin(old_machine.candidate, old_machine.pending, now)
        self._machine = self._follower
        return self._follower.enter(event, old_machine.pending, now)

    def _step_down_for(self, sender: MemberId, now: int) -> list[Action]:
        """Restart the election timer and step down for a primary or candidate whose epoch is not refused."""
        self._shared.election.record_primary_activity(self._shared.known_view.view, now)
        if sender == self.me or self.role is Role.FOLLOWER:
            return []
        return self._change_role(RoleEvent.OTHER_LEADS, now)

    def _is_caught_up(self, member: MemberId, now: int) -> bool:
        return self._machine.is_caught_up(member, now)

    def _discount_stall(self, now: int) -> None:
        """Exclude a process stall from all timeouts: messages received during the stall are read only after this tick.

        A primary replaced during the stall still returns no stale state: the witnesses must confirm each of its calls.
        """
        stall = now - self._last_tick - self._shared.timing.stall_after_ns
        self._last_tick = now
        if stall <= 0:
            return
        self._shared.liveness.discount_stall(stall)
        self._shared.election.discount_stall(stall)
        self._machine.discount_stall(stall)

    # --- messages handled in every role -----------------------------------------------------------------------

    def _record_sender(self, sender: MemberId, message: Message, now: int) -> None:
        healthy = message.healthy if isinstance(message, Hello | PreVote | Promise | HeartbeatAck) else None
        self._shared.liveness.record_message(sender, now, healthy)
        self._shared.epoch_numbers.observe(message)

    def _on_answer(self, sender: MemberId, answer: Answer, now: int) -> list[Action]:
        """Pass an answer to the part that sent the request; count and drop an answer without a pending request."""
        is_awaited = (
            self._shared.departure.has_begun if isinstance(answer, LeaveGranted) else self._machine.awaits(answer)
        )
        if not is_awaited:
            self.stale_answers += 1
            return []
        match answer:
            case LeaveGranted(epoch=epoch, copies=copies):
                if epoch >= self._shared.witness.promised:
                    self._shared.departure.record_grant(copies)
                return []
            case Fetched(state=SnapshotId()):
                is_wanted = self._machine.awaits_state(answer)
                return [*self._shared.receiver.take_offer(sender, answer, now)] if is_wanted else []
        return self._apply_outcome(self._machine.take_answer(sender, answer, now), now)

    def _respond(self, sender: MemberId, message: LeaderRequest, now: int) -> list[Action]:
        """Answer a request as witness and replica; follow the sender unless its epoch is refused."""
        answers = self._responder.answer(sender, message, self._shared.healthy)
        if not isinstance(message, Prepare | Install | Accept) or self._shared.witness.refuses(epoch_of(message)):
            return answers
        step_down_actions = self._step_down_for(sender, now)
        if isinstance(message, Accept):
            self._shared.known_view.learn(message.view, message.in_force)
        return [*step_down_actions, *answers]

    def _on_heartbeat(self, sender: MemberId, message: Heartbeat, now: int) -> list[Action]:
        known_primary, witness = self._shared.known_primary, self._shared.witness
        newest = max(witness.promised, known_primary.epoch)
        if message.epoch < newest:
            return [Send(sender, Refused(message.epoch, newest))]
        step_down_actions = self._step_down_for(sender, now)
        known_primary.follow(sender, message.epoch)
        # The ack needs no sync: it states only that no higher epoch is promised, and promises reach memory first.
        accepted = NO_EPOCH if witness.accepted is None else witness.accepted.epoch
        ack = HeartbeatAck(message.epoch, message.sequence, self._shared.healthy, accepted, witness.in_force)
        return [*step_down_actions, Send(sender, ack), *self._commit(message.epoch, message.committed)]

    def _commit(self, epoch: Epoch, index: int) -> list[Action]:
        """Publish the state committed up to an index, and save the index; no answer depends on that save."""
        newer = self._shared.replica.commit(epoch, index)
        return [] if newer is None else [Publish(newer), SaveCommitted(newer.index)]

    def _on_resign(self, sender: MemberId, epoch: Epoch, now: int) -> list[Action]:
        shared = self._shared
        if shared.known_primary.has_resigned(sender, epoch):
            shared.known_primary.forget()
            if not shared.liveness.is_leaving(sender):
                shared.liveness.record_failure(sender, now)
            shared.election.record_resignation(self._shared.known_view.view, now)
        return []

    def _on_leave(self, sender: MemberId, standbys: Collection[MemberId], now: int) -> list[Action]:
        """Grant the sender's leave, or send the sender the view, which also shows that this member is alive."""
        self._shared.liveness.record_leaving(sender, now)
        granted = self._machine.grant_leave(sender, standbys, now)
        return [*self._shared.known_view.notices_for(sender)] if granted is None else [Send(sender, granted)]

    def _on_snapshot_message(self, sender: MemberId, message: FetchChunk | Chunk | Install, now: int) -> list[Action]:
        match message:
            case FetchChunk():
                self._machine.record_progress(now)  # a chunk request shows that the transfer makes progress
                chunk = self._shared.snapshots.chunk(message)
                return [] if chunk is None else [Send(sender, chunk)]
            case Chunk():
                return self._on_chunk(message, now)
        if self._shared.witness.refuses(message.epoch) or not self._responder.needs_install(message):
            return self._respond(sender, message, now)
        return [*self._step_down_for(sender, now), *self._shared.receiver.take_offer(sender, message, now)]

    def _on_chunk(self, chunk: Chunk, now: int) -> list[Action]:
        """Store a chunk; after the last chunk, process the message that waited for the state."""
        self._machine.record_progress(now)
        complete = self._shared.receiver.take_chunk(chunk, now)
        if complete is None:
            return [*self._shared.receiver.tick(now)]
        source, message = complete
        return self.receive(source, message, now)
