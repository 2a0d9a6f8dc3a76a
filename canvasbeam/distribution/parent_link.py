"""The link of a data-plane node to its parent in the relay tree.

The module does no I/O: events and the time are its input, messages are its output.

| state | from | to |
| --- | --- | --- |
| detached | process start; the parent timed out, refused or disconnected | attached: a candidate answered |
| attached | | attached: a better candidate answered; detached |

The node is attached if `parent` is not None.

While detached, the node sends `Subscribe` to one candidate after another without waiting for earlier answers; the first
candidate that answers becomes the parent. While attached, the node tries a better candidate at intervals, and keeps the
parent until a better candidate answers.

The age of a parent's contact with the control nodes is counted from the send time of the parent's keepalive, not from
its arrival, because a keepalive can be delayed in transit. A parent with stale contact is replaced by the first
candidate that is in contact. The link owns the parent, the candidates and the addresses to avoid; the caller provides
the preference order of parents.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from canvasbeam.distribution.messages import (
    Keepalive,
    Renew,
    Send,
    Subscribe,
    Unsubscribe,
)
from canvasbeam.distribution.parameters import DistributionParameters
from canvasbeam.leases.peer_clock import PeerClocks, SendTime
from canvasbeam.runtime.settings import Address

MAX_TIMEOUT_DOUBLINGS = 2  # maximum number of doublings of the parent's timeout over slow links

ParentOrder = Callable[[], Sequence[Address]]


@dataclass(slots=True)
class Parent:
    """The parent, as of its newest keepalive. Times except `keepalive_time` are nanoseconds of the local clock."""

    address: Address
    since: int
    last_seen_at: int
    contact_at: int  # contact instant of the parent
    depth: int  # hops from the parent to a control node
    keepalive_time: SendTime  # send time of the newest keepalive, on the parent's clock


class ParentLink:
    """The parent of one node, and the search for a parent."""

    def __init__(
        self,
        parameters: DistributionParameters,
        order: ParentOrder,
        subscribe: Callable[[], Subscribe],
        *,
        seed: int,
        now: int,
    ) -> None:
        self.parent: Parent | None = None
        self.changes = 0  # number of changes of the parent since process start
        self._clocks = PeerClocks(now)
        self._was_stale = True
        self._parameters = parameters
        self._parent_order = order
        self._subscribe = subscribe
        self._random = random.Random(seed)
        self._candidates: dict[Address, int] = {}  # send time of `Subscribe`, by candidate
        self._avoided: dict[Address, int] = {}  # time until which each address is avoided
        self._timeout_doublings = 0  # doublings of the parent's timeout, because late answers indicated slow links
        self._next_attempt_at = now
        self._next_improvement_at = now
        self._next_renewal_at = now
        self._tick_expected_at = now  # expected time of the next `tick`; a much later `tick` means a stall

    def contact_age(self, now: int) -> int | None:
        """Return the nanoseconds since the parent's contact instant, or None while detached."""
        return None if self.parent is None else now - self.parent.contact_at

    def is_parent(self, address: Address) -> bool:
        """Return True if `address` is the address of the parent."""
        return self.parent is not None and self.parent.address == address

    def wake(self) -> int:
        """Return the time by which `tick` must be called next."""
        times = [requested_at + self._parameters.candidate_timeout_ns for requested_at in self._candidates.values()]
        if self.parent is None:
            times.append(self._next_attempt_at)
        else:
            times += [self.parent.last_seen_at + self._timeout(), self._next_improvement_at, self._next_renewal_at]
            if not self._was_stale:
                times.append(self.parent.contact_at + self._parameters.contact_timeout_ns + 1)
        return min(times)

    def on_message(self, now: int, sender: Address) -> None:
        """Record a message from `sender`: any message from the parent restarts the parent's timeout."""
        if self.parent is not None and self.parent.address == sender:
            self.parent.last_seen_at = now

    def on_keepalive(self, now: int, sender: Address, message: Keepalive) -> list[Send]:
        """Handle a keepalive: a status update of the parent, or the answer of a candidate."""
        self._clocks.learn(now, sender, message.time)
        contact_at = self._contact_at(now, sender, message)
        if self.parent is not None and self.parent.address == sender:
            return self._on_parent_keepalive(now, self.parent, message, contact_at)
        if sender not in self._candidates:
            return self._on_unexpected_keepalive(now, sender, message, contact_at)
        if contact_at is None:
            return []  # a keepalive sent before the candidate received the `Subscribe` is not an answer
        del self._candidates[sender]
        if not self._is_better(now, sender, contact_at):
            self._avoid(now, sender)
            return [Send((sender,), Unsubscribe())]
        return self._attach(now, sender, message, contact_at)

    def _on_parent_keepalive(self, now: int, parent: Parent, message: Keepalive, contact_at: int | None) -> list[Send]:
        parent.last_seen_at = now
        parent.depth = message.depth
        parent.keepalive_time = message.time
        if contact_at is None:
            return [Send((parent.address,), Renew(now))]
        parent.contact_at = contact_at
        return []

    def _on_unexpected_keepalive(
        self, now: int, sender: Address, message: Keepalive, contact_at: int | None
    ) -> list[Send]:
        """Handle the answer of a candidate after its timeout; while detached, any candidate becomes the parent.

        A late answer shows that links are slow, so attaching to the candidate also doubles the parent's timeout.
        """
        if self.parent is not None and (contact_at is None or not self._is_better(now, sender, contact_at)):
            return [Send((sender,), Unsubscribe())]
        if contact_at is None:
            return [Send((sender,), Renew(now))]
        self._timeout_doublings = min(self._timeout_doublings + 1, MAX_TIMEOUT_DOUBLINGS)
        return [*self._attach(now, sender, message, contact_at), Send((sender,), Renew())]

    def _contact_at(self, now: int, sender: Address, message: Keepalive) -> int | None:
        """Return the sender's earliest possible contact instant on the local clock; None if the offset is unknown."""
        sent_at = self._clocks.sent_at(now, sender, message.time)
        return None if sent_at is None else sent_at - message.contact_age

    def on_refuse(self, now: int, sender: Address) -> None:
        """Handle the refusal of a candidate or of the parent."""
        self._candidates.pop(sender, None)
        self._avoid(now, sender)
        if self.is_parent(sender):
            self._detach(now)

    def on_disconnected(self, now: int, address: Address) -> None:
        """Drop a candidate or the parent without waiting for the timeout, because its connection failed."""
        if address in self._candidates or self.is_parent(address):
            self.on_refuse(now, address)
            self._next_attempt_at = now

    def tick(self, now: int) -> list[Send]:
        """Run all timers that are due; return the messages to send."""
        if now - self._tick_expected_at >= self._parameters.process_stall_ns:
            self._on_stall(now)
        actions = self._run_timers(now)
        self._tick_expected_at = max(self.wake(), now)
        return actions

    def _run_timers(self, now: int) -> list[Send]:
        parameters = self._parameters
        for address, requested_at in tuple(self._candidates.items()):
            if now - requested_at >= parameters.candidate_timeout_ns:
                del self._candidates[address]
                self._avoid(now, address)
        if self.parent is not None and now - self.parent.last_seen_at >= self._timeout():
            self._avoid(now, self.parent.address)
            self._detach(now)
        if self.parent is None:
            return self._attempt_next(now)
        return self._improve(now) + self._renew(now)

    def _on_stall(self, now: int) -> None:
        """Extend the timeouts of parent and candidates after a stall: messages received meanwhile are still unread."""
        if self.parent is not None:
            self.parent.last_seen_at = max(self.parent.last_seen_at, now - self._parameters.peer_timeout_ns // 2)
        self._candidates = dict.fromkeys(self._candidates, now)

    def _attach(self, now: int, address: Address, message: Keepalive, contact_at: int) -> list[Send]:
        """Enter state `attached` or change the parent; no other method does either."""
        dropped = [*self._candidates, *([self.parent.address] if self.parent else [])]
        self._candidates.clear()
        self._clocks.retain_only(address)
        self.parent = Parent(address, now, now, contact_at, message.depth, message.time)
        self._was_stale = self._is_stale(now)
        self.changes += 1
        self._next_improvement_at = now + self._jittered(self._improve_interval(now))
        self._next_renewal_at = now + self._parameters.renew_interval_ns
        return [Send(tuple(dropped), Unsubscribe())] if dropped else []

    def _detach(self, now: int) -> None:
        """Enter state `detached`; no other method enters this state."""
        self.parent = None
        self._next_attempt_at = now

    def _is_better(self, now: int, sender: Address, contact_at: int) -> bool:
        """Return True if a candidate is better than the parent: by contact first, then by the preference order."""
        age = self.contact_age(now)
        if age is None:
            return True
        stale_after_ns = self._parameters.contact_timeout_ns
        candidate_age = now - contact_at
        if (age > stale_after_ns) != (candidate_age > stale_after_ns):
            return age > stale_after_ns
        if age > stale_after_ns:
            return candidate_age < age // 2
        order = list(self._parent_order())
        assert self.parent is not None
        if self.parent.address not in order:
            return True
        return sender in order and order.index(sender) < order.index(self.parent.address)

    def _attempt_next(self, now: int) -> list[Send]:
        if now < self._next_attempt_at:
            return []
        self._next_attempt_at = now + self._parameters.candidate_interval_ns
        order = [address for address in self._parent_order() if address not in self._candidates]
        if not order:
            return []
        allowed = [address for address in order if self._avoided.get(address, 0) <= now]
        address = allowed[0] if allowed else min(order, key=lambda avoided: self._avoided[avoided])
        return self._subscribe_to(now, address)

    def _improve(self, now: int) -> list[Send]:
        is_stale = self._is_stale(now)
        if is_stale and not self._was_stale:
            self._next_improvement_at = now
        self._was_stale = is_stale
        if now < self._next_improvement_at or self.parent is None:
            return []
        self._next_improvement_at = now + self._jittered(self._improve_interval(now))
        if self._candidates and not is_stale:
            return []
        for address in self._parent_order():
            if address == self.parent.address:
                if not is_stale:
                    return []
            elif address not in self._candidates and self._avoided.get(address, 0) <= now:
                return self._subscribe_to(now, address)
        return self._attempt_avoided(now, self.parent) if is_stale else []

    def _attempt_avoided(self, now: int, parent: Parent) -> list[Send]:
        """Subscribe to the node whose avoidance ends first; used if the parent is stale and all others are avoided."""
        others = [other for other in self._parent_order() if other != parent.address and other not in self._candidates]
        return self._subscribe_to(now, min(others, key=lambda other: self._avoided[other])) if others else []

    def _renew(self, now: int) -> list[Send]:
        if now < self._next_renewal_at or self.parent is None:
            return []
        if now - self.parent.since >= self._parameters.stable_parent_ns:
            self._timeout_doublings = 0
        self._next_renewal_at = now + self._parameters.renew_interval_ns
        requested_at = now if self._clocks.should_request(now, self.parent.address) else None
        return [Send((self.parent.address,), Renew(requested_at, self.parent.keepalive_time))]

    def _subscribe_to(self, now: int, address: Address) -> list[Send]:
        self._candidates[address] = now
        return [Send((address,), replace(self._subscribe(), requested_at=now))]

    def _avoid(self, now: int, address: Address) -> None:
        self._avoided = {avoided: until for avoided, until in self._avoided.items() if until > now}
        is_urgent = self.parent is not None and self._is_stale(now)
        duration = self._parameters.avoid_while_stale_ns if is_urgent else self._parameters.avoid_ns
        self._avoided[address] = now + self._jittered(duration)

    def _is_stale(self, now: int) -> bool:
        age = self.contact_age(now)
        return age is not None and age > self._parameters.contact_timeout_ns

    def _timeout(self) -> int:
        return self._parameters.peer_timeout_ns << self._timeout_doublings

    def _improve_interval(self, now: int) -> int:
        return (
            self._parameters.improve_interval_while_stale_ns
            if self._is_stale(now)
            else self._parameters.improve_interval_ns
        )

    def _jittered(self, duration: int) -> int:
        return round(duration * (0.75 + 0.5 * self._random.random()))
