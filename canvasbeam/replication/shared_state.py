"""The state that a member has in every role, created once at startup and shared by the state machines of the roles.

Each component changes through its own methods; only `healthy` and `seed_ips` are plain attributes, set by the member.
"""

from __future__ import annotations

from collections.abc import Callable

from canvasbeam.replication.departure import Departure
from canvasbeam.replication.durable_state import DurableState, MemberSettings
from canvasbeam.replication.election_timer import ElectionTimer
from canvasbeam.replication.known_view import EpochNumbers, KnownPrimary, KnownView
from canvasbeam.replication.member_liveness import MemberLiveness
from canvasbeam.replication.messages import PreVote
from canvasbeam.replication.replica import Replica
from canvasbeam.replication.snapshots import SnapshotReceiver, SnapshotSource, StateCodec
from canvasbeam.replication.view_planning import ViewPlanner
from canvasbeam.replication.views import ApplyChange, Epoch, MemberId
from canvasbeam.replication.witness import Witness


class SharedState:
    """Owns the witness, the replica, and the knowledge about the other members."""

    def __init__(
        self,
        settings: MemberSettings,
        durable: DurableState,
        apply: ApplyChange,
        apply_checked: ApplyChange,
        now: int,
        *,
        codec: StateCodec | None,
        is_caught_up: Callable[[MemberId, int], bool],
    ) -> None:
        self.me = settings.me
        self.timing = settings.timing
        self.apply = apply  # validates a change fully; `apply_checked` relies on an earlier validation
        self.seed_ips = settings.seed_ips
        self.healthy = True  # False while the disk stalls, fails or is full
        self.witness = Witness(durable.promised, durable.accepted, durable.in_force)
        self.replica = Replica(apply_checked, durable.installed, durable.state, durable.committed)
        self.snapshots = SnapshotSource(codec, settings.chunk_bytes)
        self.receiver = SnapshotReceiver(codec, settings.chunk_bytes)
        self.liveness = MemberLiveness(settings.timing)
        self.known_view = KnownView(durable.accepted, durable.in_force)
        self.known_primary = KnownPrimary(settings.me)
        self.epoch_numbers = EpochNumbers(durable.promised.number)
        self.departure = Departure(settings.me, settings.timing)
        self.election = ElectionTimer(settings.me, settings.timing, settings.seed, durable.accepted, now)
        self.planner = ViewPlanner(
            settings.me,
            self.liveness,
            settings.tolerated_machines,
            settings.timing.answer_grace_ns,
            is_caught_up=is_caught_up,
        )

    def finds_primary_unresponsive(self, now: int) -> bool:
        """Return True if no primary is known, or the known primary has been silent for too long."""
        return self.election.is_primary_unresponsive(now) or not self.known_primary.is_known

    def pre_vote(self, number: int, finds_primary_unresponsive: bool) -> PreVote:
        """Return the answer to the pre-vote request of a candidate with epoch number `number`."""
        return PreVote(
            number,
            finds_primary_unresponsive,
            self.healthy,
            max(self.witness.promised, Epoch(self.epoch_numbers.highest)),
            self.known_view.view,
            self.known_view.in_force,
        )
