"""This instance's own state, start time and incarnation, and its refutation of wrong updates about itself.

This module owns the published start time and incarnation of this instance. Both must never decrease, because the other
instances ignore lower updates. The package's docstring has the table of states.
"""

from __future__ import annotations

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim.actions import PendingActions
from canvasbeam.failure_detection.swim.gossip import Gossip
from canvasbeam.failure_detection.swim.local_health import LocalHealth
from canvasbeam.failure_detection.swim.messages import MemberUpdate, Sender
from canvasbeam.failure_detection.swim.parameters import SwimParameters
from canvasbeam.failure_detection.swim.view import OwnState

# Reconnect intervals without an answer from the newer process, after which a displaced instance reclaims its name.
RECLAIM_INTERVALS = 10


class OwnInstance:
    """The state, start time and incarnation of this instance."""

    def __init__(
        self, me: Sender, parameters: SwimParameters, health: LocalHealth, gossip: Gossip, actions: PendingActions
    ) -> None:
        self.name, self.address = me.name, me.address
        self.start, self.incarnation = me.start, me.incarnation
        self.state = OwnState.JOINING
        self._parameters = parameters
        self._health = health
        self._gossip = gossip
        self._actions = actions
        self._latest_start = me.start  # latest start claimed for any process with this name, in ms since the epoch
        self._reclaim_at = 0  # while displaced: time in nanoseconds at which the name is reclaimed

    @property
    def is_displaced(self) -> bool:
        """True if a newer process owns this instance's name."""
        return self.state is OwnState.DISPLACED

    def update(self) -> MemberUpdate:
        """Return the current update of this instance about itself."""
        status = MemberStatus.LEFT if self.state is OwnState.LEAVING else MemberStatus.ALIVE
        return MemberUpdate(self.name, self.address, status, self.start, self.incarnation)

    def set_state(self, state: OwnState, why: str) -> None:
        """Set the state of this instance. Every state change of this instance goes through this method."""
        before, self.state = self.state, state
        self._actions.report(self.name, before.name.lower(), state.name.lower(), why)

    def on_update(self, now: int, update: MemberUpdate) -> str | None:
        """Refute a wrong update about this instance.

        Return the address of a newer process with this name if the update claims one; the caller must ping this
        address. Otherwise return None.
        """
        if self.state in (OwnState.LEAVING, OwnState.DISPLACED) or update.start < self.start:
            return None
        self.note_start(update.start)
        if update.start > self.start:
            if update.address != self.address and update.status <= MemberStatus.SUSPECT:
                return update.address
            # The update stems from an earlier process: the clock was set back over a restart, or that process has gone.
            self.refute(now, update.start + 1, 0, "an earlier process of this name started later by its clock")
        elif update.status is not MemberStatus.ALIVE and update.incarnation >= self.incarnation:
            self._health.worsen()
            self.refute(now, self.start, update.incarnation + 1, f"called {update.status.name.lower()}")
        elif update.incarnation > self.incarnation:
            self.refute(now, self.start, update.incarnation + 1, "an incarnation that we never had")
        return None

    def note_start(self, start: int) -> None:
        """Record the claimed start of a process with this name, in milliseconds since the epoch."""
        self._latest_start = max(self._latest_start, start)

    def refute(self, now: int, start: int, incarnation: int, why: str) -> None:
        """Switch to this start and incarnation, above the claimed ones, and spread the update at once."""
        before = f"incarnation {self.incarnation}"
        self.start, self.incarnation = start, incarnation
        self._actions.report(self.name, before, f"incarnation {incarnation}", why)
        self._gossip.spread(self.update())
        self._gossip.send_at_once(now)

    def claim_name(self, now: int, why: str) -> None:
        """Claim the name with a start later than any start claimed for the name."""
        self.refute(now, self._latest_start + 1, 0, why)

    def on_newer_process(self, now: int, address: str) -> None:
        """Become displaced by a newer process with this name that has answered a ping and therefore is the member."""
        if not self.is_displaced:
            self.set_state(OwnState.DISPLACED, f"a newer process of this name answers at {address}")
        self._postpone_reclaim(now)

    def reclaim_name_if_free(self, now: int) -> None:
        """Rejoin under this name if the newer process has not answered for `RECLAIM_INTERVALS` intervals."""
        if self.is_displaced and now >= self._reclaim_at:
            self._postpone_reclaim(now)
            self.set_state(OwnState.JOINING, "the other process of this name answers no more")
            self.claim_name(now, "taken up again")

    def _postpone_reclaim(self, now: int) -> None:
        self._reclaim_at = now + RECLAIM_INTERVALS * self._parameters.reconnect_interval
