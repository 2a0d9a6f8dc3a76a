"""The link of a data-plane node to its parent in the relay tree.

Pure: events and the time in, messages out.

| state | from | to |
| --- | --- | --- |
| detached | the start; the parent timed out or refused | attached: a candidate answered |
| attached | | attached: a better candidate answered; detached |

The state is whether `parent` is set.

While detached, candidates are asked one after the other without waiting for the earlier ones, and the first that
answers is the parent. While attached, a better one is tried now and then, and the old one is kept until that answers.

How long ago a parent was in contact with the control nodes is counted from when it said so, not from when that arrived:
a keepalive that waited on the way is as old as it is. A parent whose contact is stale is left for the first candidate
that is in contact. The link owns the parent, the candidates and whom to avoid; the order of parents is given to it.
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

MAX_TIMEOUT_DOUBLINGS = 2

ParentOrder = Callable[[], Sequence[Address]]


@dataclass(slots=True)
class Parent:
    """The parent, as its last keepalive says. Times are nanoseconds of this node's clock, but for the last."""

    address: Address
    since: int
    last_seen_at: int
    contact_at: int  # its contact instant
    depth: int
    keepalive_time: SendTime  # when it sent its newest keepalive, by its own clock


class ParentLink:
    """One node's choice of a parent."""

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
        self.changes = 0  # of the parent, since the start
        self._clocks = PeerClocks(now)
        self._was_stale = True
        self._parameters = parameters
        self._order = order
        self._subscribe = subscribe
        self._random = random.Random(seed)
        self._candidates: dict[Address, int] = {}  # when each was sent a `Subscribe`
        self._avoided: dict[Address, int] = {}  # until when
        self._timeout_doublings = 0  # of the parent's time-out, because links were found to be slow
        self._next_attempt_at = now
        self._next_improvement_at = now
        self._next_renewal_at = now
        self._tick_expected_at = now  # when `tick` should come; where it is much later, the process stalled

    def contact_age(self, now: int) -> int | None:
        """Return how many nanoseconds ago the parent's contact instant was; none while detached."""
        return None if self.parent is None else now - self.parent.contact_at

    def is_parent(self, address: Address) -> bool:
        """Return whether this address is the parent's."""
        return self.parent is not None and self.parent.address == address

    def wake(self) -> int:
        """Return when `tick` has something to do at the latest."""
        times = [requested_at + self._parameters.candidate_timeout_ns for requested_at in self._candidates.values()]
        if self.parent is None:
            times.append(self._next_attempt_at)
        else:
            times += [self.parent.last_seen_at + self._timeout(), self._next_improvement_at, self._next_renewal_at]
            if not self._was_stale:
                times.append(self.parent.contact_at + self._parameters.contact_timeout_ns + 1)
        return min(times)

    def on_message(self, now: int, sender: Address) -> None:
        """Note that something was received: any message of the parent shows that it is there."""
        if self.parent is not None and self.parent.address == sender:
            self.parent.last_seen_at = now

    def on_keepalive(self, now: int, sender: Address, message: Keepalive) -> list[Send]:
        """Take the standing of the parent, or the answer of a candidate."""
        self._clocks.learn(now, sender, message.time)
        contact_at = self._contact_at(now, sender, message)
        if self.parent is not None and self.parent.address == sender:
            return self._on_parent_keepalive(now, self.parent, message, contact_at)
        if sender not in self._candidates:
            return self._on_unexpected_keepalive(now, sender, message, contact_at)
        if contact_at is None:
            return []  # sent before it was asked
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
        """Take the answer of a node that was given up: links are slow. While detached, it is as good as any."""
        if self.parent is not None and (contact_at is None or not self._is_better(now, sender, contact_at)):
            return [Send((sender,), Unsubscribe())]
        if contact_at is None:
            return [Send((sender,), Renew(now))]
        self._timeout_doublings = min(self._timeout_doublings + 1, MAX_TIMEOUT_DOUBLINGS)
        return [*self._attach(now, sender, message, contact_at), Send((sender,), Renew())]

    def _contact_at(self, now: int, sender: Address, message: Keepalive) -> int | None:
        """Return the sender's contact instant by our clock, or an earlier time; none where its clock is not known."""
        sent_at = self._clocks.sent_at(now, sender, message.time)
        return None if sent_at is None else sent_at - message.contact_age

    def on_refuse(self, now: int, sender: Address) -> None:
        """Take the refusal of a candidate, or of the parent."""
        self._candidates.pop(sender, None)
        self._avoid(now, sender)
        if self.is_parent(sender):
            self._detach(now)

    def on_disconnected(self, now: int, address: Address) -> None:
        """Give up a candidate or the parent, whose connection failed, without waiting for the time-out."""
        if address in self._candidates or self.is_parent(address):
            self.on_refuse(now, address)
            self._next_attempt_at = now

    def tick(self, now: int) -> list[Send]:
        """Do what is due."""
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
        """Give the parent and the candidates more time after a stall: what came meanwhile is still to be read."""
        if self.parent is not None:
            self.parent.last_seen_at = max(self.parent.last_seen_at, now - self._parameters.peer_timeout_ns // 2)
        self._candidates = dict.fromkeys(self._candidates, now)

    def _attach(self, now: int, address: Address, message: Keepalive, contact_at: int) -> list[Send]:
        """Enter `attached`, or change the parent; the one place that does."""
        left = [*self._candidates, *([self.parent.address] if self.parent else [])]
        self._candidates.clear()
        self._clocks.retain_only(address)
        self.parent = Parent(address, now, now, contact_at, message.depth, message.time)
        self._was_stale = self._is_stale(now)
        self.changes += 1
        self._next_improvement_at = now + self._jittered(self._improve_interval(now))
        self._next_renewal_at = now + self._parameters.renew_interval_ns
        return [Send(tuple(left), Unsubscribe())] if left else []

    def _detach(self, now: int) -> None:
        """Enter `detached`; the one place that does."""
        self.parent = None
        self._next_attempt_at = now

    def _is_better(self, now: int, sender: Address, contact_at: int) -> bool:
        """Return whether a candidate is better than the parent: by contact with the control nodes, then by order."""
        age = self.contact_age(now)
        if age is None:
            return True
        stale = self._parameters.contact_timeout_ns
        candidate_age = now - contact_at
        if (age > stale) != (candidate_age > stale):
            return age > stale
        if age > stale:
            return candidate_age < age // 2
        order = list(self._order())
        assert self.parent is not None
        if self.parent.address not in order:
            return True
        return sender in order and order.index(sender) < order.index(self.parent.address)

    def _attempt_next(self, now: int) -> list[Send]:
        if now < self._next_attempt_at:
            return []
        self._next_attempt_at = now + self._parameters.candidate_interval_ns
        order = [address for address in self._order() if address not in self._candidates]
        if not order:
            return []
        good = [address for address in order if self._avoided.get(address, 0) <= now]
        address = good[0] if good else min(order, key=lambda avoided: self._avoided[avoided])
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
        for address in self._order():
            if address == self.parent.address:
                if not is_stale:
                    return []
            elif address not in self._candidates and self._avoided.get(address, 0) <= now:
                return self._subscribe_to(now, address)
        return self._attempt_avoided(now, self.parent) if is_stale else []

    def _attempt_avoided(self, now: int, parent: Parent) -> list[Send]:
        """Try the node that was avoided first: the parent is stale, and all others were given up before."""
        others = [other for other in self._order() if other != parent.address and other not in self._candidates]
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
        span = self._parameters.avoid_while_stale_ns if is_urgent else self._parameters.avoid_ns
        self._avoided[address] = now + self._jittered(span)

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

    def _jittered(self, span: int) -> int:
        return round(span * (0.75 + 0.5 * self._random.random()))
