"""Collects the actions that the parts of the membership decide on, in order of decision."""

from __future__ import annotations

from canvasbeam.failure_detection.swim.messages import Action, Datagram, ReportChange, SendDatagram


class PendingActions:
    """The actions of the current call of `Membership.handle`; all parts of the membership append to this list."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def clear(self) -> None:
        """Drop the actions left over from a call that ended in an exception."""
        self._actions = []

    def send(self, address: str, datagram: Datagram) -> None:
        """Queue a datagram for sending, without adding updates."""
        self._actions.append(SendDatagram(address, datagram))

    def report(self, name: str, before: str, after: str, why: str) -> None:
        """Queue a report of a state change of a member or of this instance."""
        self._actions.append(ReportChange(name, before, after, why))

    def take(self) -> list[Action]:
        """Return the queued actions and clear the queue."""
        actions, self._actions = self._actions, []
        return actions
