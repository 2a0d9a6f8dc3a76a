"""UDP socket through which this instance exchanges gossip datagrams with its peers, on the scheduler's event loop.

The module owns the socket, the rate limits, the timer for the membership's next deadline, and the bind retries while an
older process still uses the address. It must never decide which instances are members, never send to or accept
datagrams from an address outside the configured networks, and never read more than MAX_READS_PER_PASS datagrams in a
pass of the loop. A failure in this module must never affect more than the datagram concerned.
"""

from __future__ import annotations

import errno
import logging
import os
import socket
from collections import Counter

from canvasbeam.failure_detection.swim import (
    DatagramReceived,
    Event,
    LeaveRequested,
    Membership,
    ReportChange,
    SendDatagram,
    Sender,
    Ticked,
)
from canvasbeam.gossip.change_log import ChangeLog
from canvasbeam.gossip.codec import MAX_DATAGRAM_BYTES, Codec, DropReason
from canvasbeam.gossip.rate_limits import SourceRateLimits, TokenBucket
from canvasbeam.gossip.report import Report, build_report, report_without_address
from canvasbeam.gossip.settings import AllowedNetworks, PeerSettings, address_of
from canvasbeam.scheduler.limits import nanoseconds, seconds, span_of
from canvasbeam.scheduler.loop import READ, Deadline, Endpoint, Loop

log = logging.getLogger(__name__)

MAX_READS_PER_PASS = 32
BIND_RETRY_DELAY = seconds(0.2)  # retry interval while an older process of the same name still uses the address
CLOSE_DELAY = seconds(0.3)  # delay between announcing a planned shutdown and closing the socket


class GossipNode(Endpoint):
    """Passes received datagrams and timer events to this instance's membership, and executes its actions."""

    rank = 9  # served after discovery, targets and clients, so that a flood of datagrams cannot delay a request

    def __init__(self, loop: Loop, sock: socket.socket, peers: PeerSettings, name: str, start_ms: int) -> None:
        super().__init__(loop, sock)
        sender = Sender(name, start_ms, 0, peers.address)
        now = nanoseconds(loop.now)
        seed = int.from_bytes(os.urandom(8))
        self.members = Membership(sender, peers.seeds, peers.swim_parameters(), seed, now)
        self.codec = Codec(peers.fleet, 2 * peers.sizes.members)
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self._networks = AllowedNetworks(peers.networks)
        self._send_limit = TokenBucket(peers.sizes.sent_per_s, now)
        self._receive_limit = TokenBucket(peers.sizes.taken_per_s, now)
        self._source_limits = SourceRateLimits(peers.sizes.taken_per_s_of_one, 2 * peers.sizes.members)
        self._change_log = ChangeLog(now)
        self._deadline: Deadline | None = None
        self.wants(READ)
        self._handle([Ticked()])

    @classmethod
    def bind(cls, loop: Loop, peers: PeerSettings, name: str, start_ms: int) -> GossipNode:
        """Return a node bound to the listen address of the settings; raise OSError if the address cannot be bound."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind(address_of(peers.listen or peers.address))
        except OSError:
            sock.close()
            raise
        return cls(loop, sock, peers, name, start_ms)

    def on_event(self, mask: int) -> None:
        """Read up to MAX_READS_PER_PASS datagrams, and pass all valid ones to the membership in one call."""
        events: list[Event] = []
        for _ in range(MAX_READS_PER_PASS):
            try:
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # delivery error of an earlier sent datagram: its receiver was unreachable
                continue
            event = self._admit_and_decode(data, f"{source[0]}:{source[1]}")
            if event is not None:
                events.append(event)
        if events:
            self._handle(events)

    def _admit_and_decode(self, data: bytes, source: str) -> DatagramReceived | None:
        now, dropped = nanoseconds(self.loop.now), self.codec.dropped
        if source not in self._networks:
            dropped[DropReason.ADDRESS_NOT_ALLOWED] += 1
            return None
        if not self._source_limits.admit(source, now) or not self._receive_limit.admit(now):
            dropped[DropReason.RATE_LIMITED] += 1
            return None
        event = self.codec.decode(data, source)
        if event is not None:
            self.received["datagrams"] += 1
            self.received["bytes"] += len(data)
        return event

    def leave(self) -> None:
        """Announce the planned shutdown to the other members."""
        if not self.closed:
            self._handle([LeaveRequested()])

    def _handle(self, events: list[Event]) -> None:
        now = nanoseconds(self.loop.now)
        for action in self.members.handle(now, events):
            match action:
                case SendDatagram():
                    self._send(action)
                case ReportChange():
                    self._change_log.report(action, now)
        self.loop.cancel(self._deadline)
        self._deadline = self.loop.at(span_of(self.members.wake), self._on_timer, self)

    def _on_timer(self) -> None:
        self._handle([Ticked()])

    def _send(self, action: SendDatagram) -> None:
        dropped = self.codec.dropped
        if action.address not in self._networks:
            dropped[DropReason.ADDRESS_NOT_ALLOWED] += 1
            return
        if not self._send_limit.admit(nanoseconds(self.loop.now)):
            dropped[DropReason.NOT_SENT] += 1
            return
        members = self.members
        sender = Sender(members.name, members.start, members.incarnation, members.address)
        data = self.codec.encode(sender, action.datagram)
        if data is None:
            return
        try:
            self.sock.sendto(data, address_of(action.address))
        except OSError:
            dropped[DropReason.NOT_SENT] += 1
            return
        self.sent["datagrams"] += 1
        self.sent["bytes"] += len(data)

    def on_failure(self) -> None:
        """Keep the socket open after a failure, and schedule the membership timer again after `gossip_interval`."""
        self.loop.cancel(self._deadline)
        self._deadline = self.loop.after(span_of(self.members.parameters.gossip_interval), self._on_timer, self)

    def report(self) -> Report:
        """Return the membership and the datagram counts, for operators."""
        return build_report(self.members, nanoseconds(self.loop.now), self.sent, self.received, self.codec.dropped)


class PeerNode:
    """Owns this instance's `GossipNode`: creates the node once the address is free, and closes it at shutdown."""

    def __init__(self, loop: Loop, peers: PeerSettings, name: str, start_ms: int) -> None:
        self._loop = loop
        self._peers = peers
        self._name, self._start_ms = name, start_ms
        self._is_leaving = False
        self.node: GossipNode | None = None
        self._bind()

    def _bind(self) -> None:
        """Bind the address; retry later if it is in use, as in an upgrade, where the old process still has it."""
        if self._is_leaving:
            return
        address = self._peers.listen or self._peers.address
        try:
            self.node = GossipNode.bind(self._loop, self._peers, self._name, self._start_ms)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            log.info("gossip address in use, retrying: address=%s", address)
            self._loop.after(BIND_RETRY_DELAY, self._bind)
            return
        seed_count = len(self._peers.seeds)
        log.info(
            "gossip started: name=%s fleet=%s address=%s seeds=%d", self._name, self._peers.fleet, address, seed_count
        )

    def leave(self) -> None:
        """Announce the planned shutdown, and close the socket after CLOSE_DELAY, which frees the address."""
        self._is_leaving = True
        if self.node is not None:
            self.node.leave()
            self._loop.after(CLOSE_DELAY, self.node.close, self.node)

    def report(self) -> Report:
        """Return the node's report, or a report that this instance is waiting for its address."""
        if self.node is None:
            return report_without_address(self._name, self._peers.address)
        return self.node.report()
