"""The witness of a member: the promised epoch and the accepted view.

The witness is the acceptor of Paxos (Lamport, "Paxos Made Simple", 2001), with views as values. Every change of the
witness must be saved before an answer that depends on the change is sent.
"""

from __future__ import annotations

from canvasbeam.replication.messages import SaveWitness
from canvasbeam.replication.views import Epoch, View


class Witness:
    """A promise is permanent: the member's witness and replica refuse every lower epoch."""

    def __init__(self, promised: Epoch, accepted: View | None, in_force: bool) -> None:
        self.promised = promised
        self.accepted = accepted
        self.in_force = in_force

    def refuses(self, epoch: Epoch) -> bool:
        """Return True if an epoch higher than `epoch` was promised."""
        return epoch < self.promised

    def promise(self, epoch: Epoch) -> bool:
        """Promise to refuse all lower epochs; return False if a higher epoch was promised."""
        if self.refuses(epoch):
            return False
        self.promised = epoch
        return True

    def accept(self, view: View, in_force: bool) -> bool:
        """Accept a view and promise its epoch; return False if a higher epoch was promised."""
        if not self.promise(view.epoch):
            return False
        same_view = self.accepted is not None and self.accepted.epoch == view.epoch
        self.in_force = in_force or (same_view and self.in_force)
        self.accepted = view
        return True

    def save_action(self) -> SaveWitness:
        """Return the save that must be durable before an answer that depends on the witness is sent."""
        return SaveWitness(self.promised, self.accepted, self.in_force)
