"""One member of the replicated control state: events and the time in, actions out.

`roles.TRANSITIONS` says which event ends which role; `Member._become` is the only place where the role changes. What
depends on the role is decided by its machine: `follower.Follower`, `candidate_role.CandidateRole` or
`primary_role.PrimaryRole`. What does not (promises, votes, heartbeats, snapshots, the end of a member) is decided here
and by the parts of `shared_state.SharedState`. A message that vouches for the disk is held back by the driver until
what was saved before it is synced (`durability.Outbox`).
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
from canvasbeam.replication.responder import Responder, ToResponder, epoch_of
from canvasbeam.replication.role_machine import RoleMachine
from canvasbeam.replication.roles import TRANSITIONS, Outcome, Role, RoleEvent
from canvasbeam.replication.shared_state import SharedState
from canvasbeam.replication.snapshots import StateCodec
from canvasbeam.replication.views import NO_EPOCH, ApplyChange, Epoch, MemberId


class Member:
    """The façade: gives each event to the part or the machine that it concerns."""

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
        self.stale_answers = 0  # to calls of earlier candidacies and views
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

    # --- what others may know of the member -------------------------------------------------------------------

    @property
    def me(self) -> MemberId:
        """The member's own name."""
        return self._shared.me

    @property
    def role(self) -> Role:
        """The present role."""
        return self._machine.role

    @property
    def state(self) -> SharedState:
        """What the member has in every role: its promises, its copy of the state, and what it knows of the others."""
        return self._shared

    @property
    def leadership(self) -> Primary | None:
        """What the member does as the primary; none while it is not."""
        return self._machine.primary if isinstance(self._machine, PrimaryRole) else None

    # --- events -----------------------------------------------------------------------------------------------

    def begin(self) -> list[Action]:
        """Tell, as the first event, the state that was known to be committed when this member last ran."""
        committed = self._shared.replica.committed
        return [Publish(committed)] if committed.index else []

    def receive(self, sender: MemberId, message: Message, now: int) -> list[Action]:
        """Take a message of another member, or of this one."""
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
        """Act on the time that has passed. Ticks further apart than `stall_after_ns` mean that this process stalled."""
        shared = self._shared
        self._discount_stall(now)
        shared.snapshots.tick(now)
        farewells = shared.departure.tick(self._shared.known_view.view, shared.liveness, now)
        requests = shared.receiver.tick(now)
        return [*farewells, *requests, *self._carry_out(self._machine.tick(now), now)]

    def submit(self, call: int, change: Change, now: int) -> list[Action]:
        """Take a change that the operator orders; a `Reply` with the number of the call answers it."""
        return self._machine.submit(call, change, now)

    def read(self, call: int, now: int) -> list[Action]:
        """Take the operator's question for the newest state; a `Reply` with the number of the call answers it."""
        return self._machine.read(call, now)

    def set_seed_ips(self, seed_ips: tuple[str, ...]) -> None:
        """Take other addresses to say hello to."""
        self._shared.seed_ips = seed_ips

    def set_healthy(self, healthy: bool, now: int) -> list[Action]:
        """Take note that the disk works, or stalls, fails or is full. Without its disk a member does not lead."""
        self._shared.healthy = healthy
        if healthy or self.role is Role.FOLLOWER:
            return []
        return self.resign(now)

    def resign(self, now: int) -> list[Action]:
        """Stop leading, and let the others know."""
        known_view = self._shared.known_view
        epoch = known_view.epoch
        others = dict.fromkeys((*known_view.members, *self._shared.liveness.usable_outside(known_view.members, now)))
        was_primary = self.role in (Role.PRIMARY, Role.REFORMING)
        actions = self._become(RoleEvent.RESIGNED, now)
        if was_primary:
            actions += [Send(member, Resign(epoch)) for member in others if member != self.me]
        return actions

    def leave(self, now: int) -> list[Action]:
        """Hand the view on, and ask to be released (`departure.may_end`): the process is to end, perhaps for good."""
        farewells = self._shared.departure.begin(self._shared.known_view.view, self._shared.liveness, now)
        return [*farewells, *(self.resign(now) if self.role is not Role.FOLLOWER else [])]

    def removal(self, ip: str, now: int) -> Removal | Failure:
        """Return, as the primary, how far the removal of the member at an address is, or why it may not be removed."""
        if isinstance(self._machine, PrimaryRole):
            return self._machine.removal(ip, now)
        return self._shared.known_primary.refusal()

    def request_leave(self, ip: str) -> list[Action]:
        """Tell the members at an address to leave; it may be this one."""
        members = (*self._shared.known_view.members, *self._shared.liveness.known())
        return [Send(member, LeaveRequested()) for member in at_address(ip, members)]

    # --- the role ---------------------------------------------------------------------------------------------

    def _carry_out(self, outcome: Outcome, now: int) -> list[Action]:
        """Return a machine's actions, followed by those of the change of role that it asks for."""
        if outcome.event is None:
            return [*outcome.actions]
        if outcome.event is RoleEvent.UNABLE_TO_LEAD:
            return [*outcome.actions, *self.resign(now)]
        return [*outcome.actions, *self._become(outcome.event, now)]

    def _become(self, event: RoleEvent, now: int) -> list[Action]:
        """Change the role as the table says, and begin the new one. The only place where the role changes."""
        left = self._machine
        view = self._shared.known_view.view
        match TRANSITIONS[left.role, event]:
            case Role.CANDIDATE | Role.REFORMING if view is not None:
                reformed = left.primary if isinstance(left, PrimaryRole) else None
                candidacy = CandidateRole(self._shared, view, reformed, now)
                self._machine = candidacy
                return self._carry_out(candidacy.begin(now), now)
            case Role.PRIMARY if isinstance(left, CandidateRole) and left.candidate.view is not None:
                leadership = PrimaryRole(self._shared, left.candidate, left.candidate.view, now)
                self._machine = leadership
                return leadership.begin(left.candidate, left.pending, now)
        self._machine = self._follower
        return self._follower.enter(event, left.pending, now)

    def _yield_to(self, sender: MemberId, now: int) -> list[Action]:
        """Follow another member that leads, or is about to, in an epoch that this member does not refuse."""
        self._shared.election.record_sign_of_primary(self._shared.known_view.view, now)
        if sender == self.me or self.role is Role.FOLLOWER:
            return []
        return self._become(RoleEvent.OTHER_LEADS, now)

    def _is_caught_up(self, member: MemberId, now: int) -> bool:
        return self._machine.is_caught_up(member, now)

    def _discount_stall(self, now: int) -> None:
        """Blame nobody for a stall of this process: what came meanwhile is read after this tick.

        A primary that was replaced meanwhile still answers nothing old: its calls are confirmed by the witnesses.
        """
        stall = now - self._last_tick - self._shared.timing.stall_after_ns
        self._last_tick = now
        if stall <= 0:
            return
        self._shared.liveness.discount_stall(stall)
        self._shared.election.discount_stall(stall)
        self._machine.discount_stall(stall)

    # --- messages, whatever the role --------------------------------------------------------------------------

    def _record_sender(self, sender: MemberId, message: Message, now: int) -> None:
        healthy = message.healthy if isinstance(message, Hello | PreVote | Promise | HeartbeatAck) else None
        self._shared.liveness.record_message(sender, now, healthy)
        self._shared.epoch_numbers.observe(message)

    def _on_answer(self, sender: MemberId, answer: Answer, now: int) -> list[Action]:
        """Give an answer to whoever made the call; one that nobody awaits is counted and dropped."""
        is_awaited = (
            self._shared.departure.has_begun if isinstance(answer, LeaveGranted) else self._machine.awaits(answer)
        )
        if not is_awaited:
            self.stale_answers += 1
            return []
        match answer:
            case LeaveGranted(epoch=epoch, copies=copies):
                if epoch >= self._shared.witness.promised:
                    self._shared.departure.take_grant(copies)
                return []
            case Fetched(state=SnapshotId()):
                is_wanted = self._machine.awaits_state(answer)
                return [*self._shared.receiver.take_offer(sender, answer, now)] if is_wanted else []
        return self._carry_out(self._machine.take_answer(sender, answer, now), now)

    def _respond(self, sender: MemberId, message: ToResponder, now: int) -> list[Action]:
        """Obey, as a witness and a replica, whoever leads in an epoch that is not refused."""
        answers = self._responder.answer(sender, message, self._shared.healthy)
        if not isinstance(message, Prepare | Install | Accept) or self._shared.witness.refuses(epoch_of(message)):
            return answers
        yielding = self._yield_to(sender, now)
        if isinstance(message, Accept):
            self._shared.known_view.learn(message.view, message.in_force)
        return [*yielding, *answers]

    def _on_heartbeat(self, sender: MemberId, message: Heartbeat, now: int) -> list[Action]:
        known_primary, witness = self._shared.known_primary, self._shared.witness
        newest = max(witness.promised, known_primary.epoch)
        if message.epoch < newest:
            return [Send(sender, Refused(message.epoch, newest))]
        yielding = self._yield_to(sender, now)
        known_primary.follow(sender, message.epoch)
        # Says only that no higher epoch is promised, which memory knows no later than the disk.
        accepted = NO_EPOCH if witness.accepted is None else witness.accepted.epoch
        ack = HeartbeatAck(message.epoch, message.sequence, self._shared.healthy, accepted, witness.in_force)
        return [*yielding, Send(sender, ack), *self._commit(message.epoch, message.committed)]

    def _commit(self, epoch: Epoch, index: int) -> list[Action]:
        """Tell that everything up to an index is committed, and store that, which nothing waits for."""
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
        """Release a member that is to end, or tell it the view, and with it that this member is there."""
        self._shared.liveness.record_leaving(sender, now)
        granted = self._machine.release(sender, standbys, now)
        return [*self._shared.known_view.notices_for(sender)] if granted is None else [Send(sender, granted)]

    def _on_snapshot_message(self, sender: MemberId, message: FetchChunk | Chunk | Install, now: int) -> list[Action]:
        match message:
            case FetchChunk():
                self._machine.record_progress(now)  # whoever asks for a chunk makes progress
                chunk = self._shared.snapshots.chunk(message)
                return [] if chunk is None else [Send(sender, chunk)]
            case Chunk():
                return self._on_chunk(message, now)
        if self._shared.witness.refuses(message.epoch) or not self._responder.needs(message):
            return self._respond(sender, message, now)
        return [*self._yield_to(sender, now), *self._shared.receiver.take_offer(sender, message, now)]

    def _on_chunk(self, chunk: Chunk, now: int) -> list[Action]:
        """Keep a chunk; with the last one, take the message that waited for the state."""
        self._machine.record_progress(now)
        complete = self._shared.receiver.take_chunk(chunk, now)
        if complete is None:
            return [*self._shared.receiver.tick(now)]
        source, message = complete
        return self.receive(source, message, now)
