"""Drive `canvasbeam.replication.member.Member`: pass in messages, time and calls, and carry out the member's actions.

Owns the member and its outbox. Actions are carried out in the member's order, with one exception: a message that
confirms data on this member's disk (`messages.AFTER_SYNC`) waits in the outbox until every earlier save is durable. One
batch of saves is written at a time; saves made during a write form the next batch. All methods run on the event loop.
Only `run_writes` waits for the disk, and `run_writes` does nothing else.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import replace
from itertools import count

from canvasbeam.control_plane.member_disk import MemberDisk
from canvasbeam.control_plane.pending_calls import PendingCalls
from canvasbeam.control_plane.replication_codec import ReceivedMessage
from canvasbeam.control_plane.replication_link import ReplicationLink
from canvasbeam.control_plane.replication_listeners import ReplicationListeners
from canvasbeam.errors import Failure
from canvasbeam.replication.control_state import Change
from canvasbeam.replication.durability import Outbox, OutgoingMessage
from canvasbeam.replication.member import Member
from canvasbeam.replication.messages import ANSWERS, Action, Publish, Reply, Send, SendToAddress
from canvasbeam.replication.removal import Removal
from canvasbeam.replication.roles import Role
from canvasbeam.replication.views import member_ip

TICK_SECONDS = 0.05  # interval between the ticks of the replication member
LISTENER_RETRY_TICKS = 10  # ticks between calls of a listener that keeps raising


class MemberDriver:
    """Drives one member: call `begin` first, then run `run_ticks` and `run_writes` until cancelled."""

    def __init__(
        self,
        member: Member,
        link: ReplicationLink,
        disk: MemberDisk,
        calls: PendingCalls,
        listeners: ReplicationListeners,
    ) -> None:
        self._member = member
        self._link = link
        self._disk = disk
        self._calls = calls
        self._listeners = listeners
        self._outbox = Outbox()
        self._has_unwritten = asyncio.Event()

    @property
    def member(self) -> Member:
        """The member, for reading. Events must go through this driver, which carries out the resulting actions."""
        return self._member

    @property
    def is_primary(self) -> bool:
        """True if the member leads, as far as the member knows."""
        return self._member.role in (Role.PRIMARY, Role.REFORMING)

    def begin(self) -> None:
        """Begin to receive messages, and carry out the member's first actions."""
        self._link.set_receiver(self._receive)
        self._perform(self._member.begin())

    def submit(self, call: int, change: Change) -> None:
        """Submit a change to the member; the pending call with number `call` gets the result."""
        self._perform(self._member.submit(call, change, time.monotonic_ns()))

    def read(self, call: int) -> None:
        """Request a confirmed read of the state; the pending call with number `call` gets the result."""
        self._perform(self._member.read(call, time.monotonic_ns()))

    def set_healthy(self, is_healthy: bool) -> None:
        """Record whether this node's disk is healthy; a member whose disk is unhealthy does not lead."""
        self._perform(self._member.set_healthy(is_healthy, time.monotonic_ns()))

    def set_seed_ips(self, seed_ips: tuple[str, ...]) -> None:
        """Replace the seed IP addresses, at which other members may run."""
        self._member.set_seed_ips(seed_ips)

    def remove(self, ip: str) -> Removal | Failure:
        """Ask the member at an IP address to leave, if permitted; return the progress of the removal, or a failure."""
        outcome = self._member.removal(ip, time.monotonic_ns())
        if not isinstance(outcome, Failure):
            self._perform(self._member.request_leave(ip))
        return outcome

    def leave(self) -> None:
        """Begin to leave the view permanently."""
        self._perform(self._member.leave(time.monotonic_ns()))

    def resign(self) -> None:
        """Resign if this member is the primary."""
        self._perform(self._member.resign(time.monotonic_ns()))

    async def run_ticks(self) -> None:
        """Tick the member every `TICK_SECONDS` until cancelled."""
        for tick in count(1):
            self._perform(self._member.tick(time.monotonic_ns()))
            if tick % LISTENER_RETRY_TICKS == 0:
                self._listeners.retry()
            await asyncio.sleep(TICK_SECONDS)

    async def run_writes(self) -> None:
        """Write batches of saves until cancelled; after each batch, send the messages that waited for the batch."""
        while True:
            await self._has_unwritten.wait()
            self._has_unwritten.clear()
            await self._disk.write(self._outbox.next_batch())
            for message in self._outbox.batch_durable():
                self._send(message)

    def _perform(self, actions: Sequence[Action]) -> None:
        """Carry out the member's actions, and notify the listeners of its current view and leadership."""
        for action in self._outbox.take(actions):
            match action:
                case Send() | SendToAddress():
                    self._send(action)
                case Reply(call=call, result=result):
                    # `Committed` acknowledges a change, which is durable on every replica of the view: each replica
                    # synced the change by `MemberDisk.write`, and only then did the replica's `run_writes` send the
                    # `Appended` that the primary counted.
                    self._calls.resolve(call, result)
                case Publish(state=state):
                    self._listeners.on_committed(state)
        if self._outbox.has_unwritten:
            self._has_unwritten.set()
        self._listeners.on_view(self._member.state.known_view.view, self._member.state.known_view.in_force)
        self._listeners.on_leadership(self.is_primary, self._member.state.known_primary.member)

    def _receive(self, received: ReceivedMessage) -> None:
        actions = self._member.receive(received.sender, received.message, time.monotonic_ns())
        self._perform([_with_requester_incarnation(action, received) for action in actions])

    def _send(self, action: OutgoingMessage) -> None:
        me = self._member.me
        if isinstance(action, SendToAddress):
            self._link.send(me, action.ip, action.message)
        elif action.to == me:
            asyncio.get_running_loop().call_soon(self._receive, ReceivedMessage(me, action.message))
        else:
            self._link.send(me, member_ip(action.to), action.message, action.answered_incarnation)


def _with_requester_incarnation(action: Action, request: ReceivedMessage) -> Action:
    """Return an answer to a request with the incarnation of the requesting process, or any other action unchanged.

    The answer keeps this incarnation, however long the answer waits for the disk.
    """
    if isinstance(action, Send) and action.to == request.sender and isinstance(action.message, ANSWERS):
        return replace(action, answered_incarnation=request.incarnation)
    return action
