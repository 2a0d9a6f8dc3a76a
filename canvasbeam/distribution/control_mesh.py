"""The full mesh of control nodes: the other control nodes, and which of them are responsive.

The module does no I/O: events and the time are its input, addresses are its output. Every control node sends its
changes to every other control node, and probes unresponsive ones at a longer interval. Responsiveness of a peer decides
only what is sent to that peer. The contact of this node with the control plane is decided by its lease
(`leases/contact.py`), never here.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from canvasbeam.distribution.parameters import DistributionParameters
from canvasbeam.runtime.settings import Address

NEVER = -(10**18)  # an instant earlier than any time of a monotonic clock, in nanoseconds


@dataclass(slots=True)
class MeshPeer:
    """Another control node. All times are nanoseconds of the local monotonic clock."""

    added_at: int
    is_member: bool  # True for a current member; False for a seed or any other node that sent a message
    last_seen_at: int = NEVER
    probed_at: int = NEVER


class ControlMesh:
    """All control nodes except this node, with the arrival time of the newest message from each of them."""

    def __init__(self, parameters: DistributionParameters) -> None:
        self.peers: dict[Address, MeshPeer] = {}
        self._parameters = parameters

    def update_peers(self, now: int, members: Iterable[Address], seeds: Iterable[Address]) -> None:
        """Set the current members, and add the members and the seeds to the peers.

        No peer is removed here: `remove_lost_peers` removes peers that are not members.
        """
        member_set = set(members)
        for address, peer in self.peers.items():
            peer.is_member = address in member_set
        for address in sorted(member_set | set(seeds), key=str):
            if address not in self.peers:
                self.peers[address] = MeshPeer(now, address in member_set)

    def member_addresses(self) -> tuple[Address, ...]:
        """Return the addresses of the peers that are current members."""
        return tuple(address for address, peer in self.peers.items() if peer.is_member)

    def addresses(self) -> Iterable[Address]:
        """Return the addresses of all peers."""
        return self.peers.keys()

    def on_message(self, now: int, address: Address) -> bool:
        """Record a message from `address`, adding an unknown peer; return True if the peer was unresponsive before."""
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = MeshPeer(now, False)
        was_unresponsive = not self._is_responsive(now, peer)
        peer.last_seen_at = now
        return was_unresponsive

    def responsive(self, now: int) -> tuple[Address, ...]:
        """Return the peers from which a message was received within `peer_timeout_ns`."""
        return tuple(address for address, peer in self.peers.items() if self._is_responsive(now, peer))

    def take_due_retries(self, now: int) -> tuple[Address, ...]:
        """Return the unresponsive peers whose retry interval has elapsed, and restart the interval for each of them."""
        due = []
        for address, peer in self.peers.items():
            if not self._is_responsive(now, peer) and now - peer.probed_at >= self._parameters.mesh_retry_interval_ns:
                peer.probed_at = now
                due.append(address)
        return tuple(due)

    def remove_lost_peers(self, now: int) -> bool:
        """Remove non-member peers that sent nothing for `mesh_forget_after_ns`; return True if any was removed.

        Remove none while fewer than half of the control nodes, including this node, are responsive.
        """
        responsive = 1 + len(self.responsive(now))
        total = 1 + len(self.peers)
        if 2 * responsive < total:
            return False
        lost = [address for address, peer in self.peers.items() if self._is_lost(now, peer)]
        for address in lost:
            del self.peers[address]
        return bool(lost)

    def _is_lost(self, now: int, peer: MeshPeer) -> bool:
        age = now - max(peer.last_seen_at, peer.added_at)
        return not peer.is_member and age > self._parameters.mesh_forget_after_ns

    def _is_responsive(self, now: int, peer: MeshPeer) -> bool:
        return now - peer.last_seen_at < self._parameters.peer_timeout_ns
