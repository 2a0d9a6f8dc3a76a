"""The follower role: starts a candidacy when the election timer expires, and sends hellos to learn the view.

Owns only the time of its last hello. The follower must not promise, accept or store anything:
`responder.Responder` does so in the same way for every role.
"""

from __future__ import annotations

from collections.abc import Sequence

from canvasbeam.replication.calls import PendingCall, primary_lost_replies
from canvasbeam.replication.messages import Action, Hello, SendToAddress
from canvasbeam.replication.role_machine import RoleMachine
from canvasbeam.replication.roles import Outcome, Role, RoleEvent
from canvasbeam.replication.shared_state import SharedState
from canvasbeam.replication.views import member_ip


class Follower(RoleMachine):
    """The state machine of the role FOLLOWER; a member keeps one instance as long as the process runs."""

    def __init__(self, shared: SharedState) -> None:
        super().__init__(Role.FOLLOWER, shared)
        self._last_hello = 0

    def enter(self, event: RoleEvent, pending: Sequence[PendingCall], now: int) -> list[Action]:
        """Fail the calls of the previous role, and restart the election timer.

        After a lost pre-vote, which left no promises behind, the timer waits only for this member's delay by rank.
        """
        shared = self._shared
        shared.election.restart(shared.known_view.view, now)
        if event is RoleEvent.PRE_VOTE_LOST:
            shared.election.expire_after_rank_delay(shared.known_view.view, now)
        shared.known_primary.stop_leading()
        return [*primary_lost_replies(pending)]

    def tick(self, now: int) -> Outcome:
        """Forget a primary that has expired; start a candidacy if the election timer expired, or send a due hello."""
        shared = self._shared
        if shared.election.is_primary_expired(now):
            shared.known_primary.forget()
        if self._may_lead() and shared.election.has_expired(now):
            return Outcome(event=RoleEvent.ELECTION_TIMEOUT)
        is_hello_due = now - self._last_hello >= shared.timing.hello_interval_ns
        if shared.election.is_primary_unresponsive(now) and is_hello_due:
            return Outcome(self._send_hello(now))
        return Outcome()

    def _may_lead(self) -> bool:
        """Return True if this member may lead: it is healthy, not leaving, and a witness of the known view."""
        shared = self._shared
        if not shared.healthy or shared.departure.has_begun:
            return False
        view = shared.known_view.view
        return view is not None and shared.me in view.witnesses

    def _send_hello(self, now: int) -> list[SendToAddress]:
        self._last_hello = now
        shared = self._shared
        ips = (*shared.seed_ips, *(member_ip(member) for member in shared.known_view.members))
        my_ip = member_ip(shared.me)
        return [SendToAddress(ip, Hello(shared.healthy)) for ip in dict.fromkeys(ips) if ip != my_ip]
