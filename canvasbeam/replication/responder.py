"""Answers of a member's witness and replica to requests of a primary or candidate.

Every request in an epoch below the promised epoch is refused. An answer that confirms data on disk always follows the
`Save` of that data, and the driver delays the answer until the save is synced (`durability.Outbox`).
"""

from __future__ import annotations

from canvasbeam.errors import Failure
from canvasbeam.replication.messages import (
    Accept,
    Accepted,
    Action,
    Append,
    Appended,
    Fetch,
    Fetched,
    Install,
    Installed,
    Prepare,
    Promise,
    Refused,
    SaveInstalled,
    Send,
    SnapshotId,
)
from canvasbeam.replication.replica import Replica
from canvasbeam.replication.snapshots import SnapshotSource
from canvasbeam.replication.views import Epoch, MemberId
from canvasbeam.replication.witness import Witness

LeaderRequest = Prepare | Fetch | Install | Accept | Append


def epoch_of(message: LeaderRequest) -> Epoch:
    """Return the epoch in which the sender leads or is a candidate."""
    return message.view.epoch if isinstance(message, Accept) else message.epoch


class Responder:
    """Updates one member's witness and replica as a primary or candidate requests, in the same way for every role."""

    def __init__(self, witness: Witness, replica: Replica, snapshots: SnapshotSource) -> None:
        self._witness = witness
        self._replica = replica
        self._snapshots = snapshots

    def answer(self, sender: MemberId, message: LeaderRequest, healthy: bool) -> list[Action]:
        """Execute or refuse a request; return the saves and the answer."""
        epoch = epoch_of(message)
        if self._witness.refuses(epoch):
            return [Send(sender, Refused(epoch, self._witness.promised))]
        match message:
            case Prepare():
                return self._promise(sender, epoch, healthy)
            case Fetch():
                return self._send_state(sender, epoch)
            case Install():
                return self._install(sender, message)
            case Accept():
                return self._accept(sender, message)
            case Append():
                return self._append(sender, message)

    def _promise(self, sender: MemberId, epoch: Epoch, healthy: bool) -> list[Action]:
        witness = self._witness
        actions: list[Action] = []
        if epoch != witness.promised:
            witness.promise(epoch)
            actions.append(witness.save_action())
        # The answer is sent only after the promise and every change up to the replica's position are synced.
        promise = Promise(epoch, witness.accepted, witness.in_force, self._replica.position, healthy)
        return [*actions, Send(sender, promise)]

    def _send_state(self, sender: MemberId, epoch: Epoch) -> list[Action]:
        if epoch != self._witness.promised:
            return []
        offered = self._snapshots.offer(self._replica.state)
        return [Send(sender, Fetched(epoch, self._replica.position, offered))]

    def needs_install(self, message: Install) -> bool:
        """Return True if `message` would change the replica: the epoch differs, or the offered state is newer."""
        replica = self._replica
        if replica.epoch != message.epoch:
            return True
        return message.state is not None and message.position.index > replica.state.index

    def _install(self, sender: MemberId, message: Install) -> list[Action]:
        replica = self._replica
        state = message.state
        actions: list[Action] = []
        if self.needs_install(message):
            if isinstance(state, SnapshotId) or (state is None and replica.position != message.position):
                return [Send(sender, Installed(message.epoch, stored=False))]
            self._witness.promise(message.epoch)
            replica.install(message.epoch, replica.state if state is None else state)
            actions = [self._witness.save_action(), SaveInstalled(message.epoch, state)]
        # The answer is sent only after the state and the promise are synced.
        return [*actions, Send(sender, Installed(message.epoch, stored=True, index=replica.state.index))]

    def _accept(self, sender: MemberId, message: Accept) -> list[Action]:
        witness = self._witness
        before = witness.save_action()
        witness.accept(message.view, message.in_force)
        actions: list[Action] = [] if witness.save_action() == before else [witness.save_action()]
        # The answer is sent only after the accepted view is synced.
        return [*actions, Send(sender, Accepted(message.view.epoch, witness.in_force))]

    def _append(self, sender: MemberId, message: Append) -> list[Action]:
        replica = self._replica
        if message.epoch != replica.epoch:
            return []
        saves = replica.append(message.previous, message.changes)
        if isinstance(saves, Failure):
            return []
        # The answer is sent only after the changes are synced.
        return [*saves, Send(sender, Appended(message.epoch, replica.state.index))]
