"""Exchange notices of attempts at model workers between data-plane nodes, so that each node can estimate worker queues.

A node sends each notice as a datagram to the nodes of its own region and of the worker's region. Notices are hints: a
lost or late notice makes an expectation less accurate but violates no rule. In a very large region a node notifies only
some other nodes, chosen by rendezvous hashing. `PlacementNotices` owns the list of notified nodes; the dispatcher owns
the expectations.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from hashlib import blake2b

from google.protobuf.message import DecodeError

from canvasbeam.cluster import placement_pb2
from canvasbeam.cluster.node import ClusterNode
from canvasbeam.cluster.transport import Channel
from canvasbeam.dispatch.events import PromptEstimate, PromptPart, WorkerEntry
from canvasbeam.dispatch.language_model.expectations import EngineExpectations
from canvasbeam.runtime.settings import Address

# Minimum prompt length for a notice, in tokens; the prefill of a shorter prompt is too short to justify a message.
MIN_PROMPT_TOKENS = 400
# Maximum number of other nodes that a node notifies in each region. A node that receives notices of only some attempts
# sends requests to workers at which the requests of other nodes already queue.
MAX_PEERS_PER_REGION = 40
NO_PROMPT = PromptEstimate(0, 0)
MICROSECOND = 1_000  # nanoseconds
MAX_EVENT_GAP_US = (1 << 32) - 1
# Lifetime of the list of notified nodes, in nanoseconds; the list is then recomputed.
PEER_LIST_LIFETIME_NS = 500_000_000


class PlacementNotices:
    """Sends notices of this node's attempts, and adds the notices of other nodes to the expectations."""

    def __init__(self, cluster: ClusterNode, expectations: EngineExpectations, node: str, region: str) -> None:
        self._cluster = cluster
        self._expectations = expectations
        self._node = node
        self._region = region
        self._peers: dict[str, list[Address]] = {}  # addresses of the notified nodes, by region
        self._peers_until = 0
        expectations.on_attempt = self._send_prompt_notice
        expectations.on_timeout = self._send_timeout_notice
        cluster.transport.register_datagrams(self._on_datagram, Channel.PLACEMENT)

    def _send_prompt_notice(self, entry: WorkerEntry, prompt: PromptEstimate) -> None:
        if prompt.tokens_in >= MIN_PROMPT_TOKENS:
            event_gap_ns = self._expectations.event_gap_to_report_ns(time.monotonic_ns(), entry.worker)
            self._send(entry, PlacementNotice(entry.worker, prompt, event_gap_ns))

    def _send_timeout_notice(self, entry: WorkerEntry) -> None:
        self._send(entry, PlacementNotice(entry.worker, NO_PROMPT, is_unresponsive=True))

    def _send(self, entry: WorkerEntry, notice: PlacementNotice) -> None:
        payload = encode_notice(notice)
        for region in sorted({self._region, entry.zone}):
            for address in self._peers_in(region):
                self._cluster.transport.send_datagram(address, payload, Channel.PLACEMENT)

    def _peers_in(self, region: str) -> list[Address]:
        """Return the addresses of the nodes of a region that this node notifies."""
        now = time.monotonic_ns()
        if now >= self._peers_until:
            self._peers_until = now + PEER_LIST_LIFETIME_NS
            self._peers.clear()
        if region not in self._peers:
            members = [
                member
                for member in self._cluster.members()
                if not member.is_control and member.region == region and member.name != self._node
            ]
            members.sort(key=lambda member: _pair_hash(self._node, member.name))
            self._peers[region] = [self._cluster.peer_address(member) for member in members[:MAX_PEERS_PER_REGION]]
        return self._peers[region]

    def _on_datagram(self, sender: Address, payload: bytes) -> None:
        notice = decode_notice(payload)
        if notice is None:
            return
        now = time.monotonic_ns()
        if notice.is_unresponsive:
            self._expectations.note_remote_timeout(now, notice.worker)
        else:
            self._expectations.note_remote_attempt(now, notice.worker, notice.prompt, notice.event_gap_ns)


@dataclass(frozen=True, slots=True)
class PlacementNotice:
    """Notice that a prompt was sent to a worker, or that the worker is unresponsive.

    `event_gap_ns` is the gap between events of the worker's streams that the sender observed recently, in nanoseconds;
    0 = none. In the protobuf message `event_gap_ns` is `pause_us`, in microseconds, and `is_unresponsive` is
    `is_silent`.
    """

    worker: str
    prompt: PromptEstimate
    event_gap_ns: float = 0.0
    is_unresponsive: bool = False


def encode_notice(notice: PlacementNotice) -> bytes:
    """Return a notice serialized as a protobuf message."""
    prompt = notice.prompt
    parts = [placement_pb2.PromptPart(name=part.name, tokens=part.tokens) for part in prompt.parts]
    return placement_pb2.PlacementNotice(
        worker=notice.worker,
        tokens_in=prompt.tokens_in,
        parts=parts,
        pause_us=min(MAX_EVENT_GAP_US, round(notice.event_gap_ns / MICROSECOND)),
        is_silent=notice.is_unresponsive,
    ).SerializeToString()


def decode_notice(payload: bytes) -> PlacementNotice | None:
    """Return the notice in a datagram's payload, or None if the payload cannot be parsed."""
    notice = placement_pb2.PlacementNotice()
    try:
        notice.ParseFromString(payload)
    except DecodeError:
        return None
    parts = tuple(PromptPart(part.name, part.tokens) for part in notice.parts)
    prompt = PromptEstimate(notice.tokens_in, 0, parts)
    return PlacementNotice(notice.worker, prompt, notice.pause_us * MICROSECOND, notice.is_silent)


def _pair_hash(one: str, other: str) -> bytes:
    """Return a hash of two nodes that does not depend on their order, so that nodes tend to notify each other."""
    return blake2b("\0".join(sorted((one, other))).encode(), digest_size=8).digest()
