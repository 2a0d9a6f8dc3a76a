"""Other ways for instances to know each other, played beside the membership: heartbeats, a leader, no suspicion."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import (
    Action,
    Datagram,
    DatagramKind,
    DatagramReceived,
    Event,
    LeaveRequested,
    Member,
    Membership,
    MemberUpdate,
    OwnState,
    ReportChange,
    SendDatagram,
    Sender,
    SwimParameters,
)
from canvasbeam.simulator.peers_sim import PeerWorld
from canvasbeam.units import MILLISECOND as MS
from canvasbeam.units import SECOND


class Heartbeats(Membership):
    """Everybody tells everybody that it is there; who is silent for a second is dead. The list of all is given."""

    BEAT = 250 * MS
    everybody: tuple[str, ...] = ()

    def __init__(self, me: Sender, seeds: Iterable[str], parameters: SwimParameters, seed: int, now: int) -> None:
        super().__init__(me, seeds, parameters, seed, now)
        self._now = now
        self._sent: list[Action] = []
        self._next_beat_at = self.pings.next_ping_at

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Beats in and out."""
        self._now, self._sent = now, []
        for event in events:
            if isinstance(event, DatagramReceived):
                self._beat(event.sender, event.datagram)
            elif isinstance(event, LeaveRequested):
                self.own.state = OwnState.LEAVING
                self._to(self.everybody, Datagram(DatagramKind.UPDATES, updates=(self.own.update(),)))
        for member in self.members.values():
            if member.known.status is MemberStatus.ALIVE and now - member.last_received_at > SECOND:
                self._become(member, MemberStatus.DEAD)
        if now >= self._next_beat_at and self.own_state is not OwnState.LEAVING:
            self._next_beat_at = now + self.BEAT
            self._send_beats()
        self._wake = max(now + MS, min(self._next_beat_at, now + 50 * MS))
        return self._sent

    def _beat(self, sender: Sender, datagram: Datagram) -> None:
        member = self.members.get(sender.name)
        left = any(update.status is MemberStatus.LEFT for update in datagram.updates if update.name == sender.name)
        status = MemberStatus.LEFT if left else MemberStatus.ALIVE
        update = MemberUpdate(sender.name, sender.address, status, sender.start, 0)
        if member is None:
            member = self.members[sender.name] = Member(update, self._now)
        member.last_received_at = self._now
        if member.known.status is not status:
            self._become(member, status)

    def _become(self, member: Member, status: MemberStatus) -> None:
        before, member.known = member.known.status, replace(member.known, status=status)
        self._sent.append(ReportChange(member.known.name, before.name.lower(), status.name.lower(), "by its beats"))

    def _send_beats(self) -> None:
        self._to(self.everybody, Datagram(DatagramKind.UPDATES))

    def _to(self, addresses: Sequence[str], datagram: Datagram) -> None:
        self._sent += [SendDatagram(address, datagram) for address in addresses if address != self.address]


class Leader(Heartbeats):
    """Each beats to the first that it takes to be there; that one tells all who is."""

    def _first(self) -> str:
        there = [member.known.name for member in self.members.values() if member.known.status is MemberStatus.ALIVE]
        return min([*there, self.name])

    def _send_beats(self) -> None:
        first = self._first()
        if first == self.name:
            updates = tuple(member.known for member in self.members.values())
            for begin in range(0, len(updates) or 1, 24):
                self._to(
                    self.everybody,
                    Datagram(DatagramKind.UPDATES, updates=(self.own.update(), *updates[begin : begin + 24])),
                )
        else:
            known = {member.known.address for member in self.members.values()}
            beyond = [node for node in self.everybody if node not in known]
            self._to([self.members[first].known.address, *beyond], Datagram(DatagramKind.UPDATES))

    def _beat(self, sender: Sender, datagram: Datagram) -> None:
        super()._beat(sender, datagram)
        if sender.name > self._first():
            return
        for update in datagram.updates:
            member = self.members.get(update.name)
            if update.name == self.name:
                continue
            if member is None:
                member = self.members[update.name] = Member(update, self._now)
            member.last_received_at = self._now if update.status is MemberStatus.ALIVE else member.last_received_at
            if member.known.status is not update.status and update.name != sender.name:
                self._become(member, update.status)


def scheme(name: str, count: int, **more: Any) -> PeerWorld:
    """Return a fleet by the name of how it knows itself."""
    if name == "swim":
        return PeerWorld(count, **more)
    if name == "no suspicion":
        terms = SwimParameters(min_suspicion=1, max_suspicion=1)
        return PeerWorld(count, terms=terms, **more)
    kind: type[Heartbeats] = {"heartbeats": Heartbeats, "leader": Leader}[name]
    everybody = tuple(PeerWorld._address(place) for place in range(count))
    made = type(kind.__name__, (kind,), {"everybody": everybody})
    return PeerWorld(count, make=made, **more)


SCHEMES = ("swim", "heartbeats", "leader", "no suspicion")
