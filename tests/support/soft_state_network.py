"""Links between simulated machines in virtual time: one ordered connection a pair of processes, and datagrams.

Each direction between two machines is open, loses everything, or holds everything and delivers it later, in order.
Where packets are lost, TCP gives a connection up after `USER_TIMEOUT`; where they are held, as by a proxy that stands
still, neither end notices.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol

from canvasbeam.cluster.connection import USER_TIMEOUT_MS
from canvasbeam.cluster.transport import CONNECT_TIMEOUT_S
from canvasbeam.runtime.settings import Address
from canvasbeam.units import MILLISECOND, SECOND

USER_TIMEOUT = USER_TIMEOUT_MS * MILLISECOND
CONNECT_WITHIN = round(CONNECT_TIMEOUT_S * SECOND)
CONNECT_RETRY = 100 * MILLISECOND
BACK_OFF = 200 * MILLISECOND
WITHIN_REGION = MILLISECOND
BETWEEN_REGIONS = 35 * MILLISECOND

Payload = object
Event = Callable[[], None]


class Passage(IntEnum):
    """What becomes of packets of one direction; the worst of several troubles counts."""

    OPEN = 0
    HOLDING = 1
    LOSING = 2


class Endpoint(Protocol):
    """One incarnation of a process, as the network sees it."""

    @property
    def address(self) -> Address:
        """Where it takes messages."""

    @property
    def region(self) -> str:
        """Where its machine stands."""

    @property
    def is_running(self) -> bool:
        """Whether this incarnation goes on."""

    @property
    def is_frozen(self) -> bool:
        """Whether the process stands still; its kernel goes on."""

    @property
    def has_power(self) -> bool:
        """Whether the machine refuses what comes for a process that has ended."""

    def on_message(self, sender: Address, payload: Payload) -> None:
        """A message came over a connection."""

    def on_datagram(self, sender: Address, payload: Payload) -> None:
        """A datagram came."""

    def on_disconnected(self, address: Address) -> None:
        """A connection failed, or did not come up."""


@dataclass(frozen=True, slots=True)
class Trouble:
    """Packets of these machines to those are lost or held."""

    sources: frozenset[str]
    targets: frozenset[str]
    passage: Passage


@dataclass(frozen=True, slots=True)
class Sent:
    """A message in a connection."""

    payload: Payload
    sent_at: int
    due_at: int


@dataclass(eq=False, slots=True)
class Connection:
    """One connection; the ends are incarnations of processes. The second is not known until it is open."""

    opener: Endpoint
    target: Address
    began_at: int
    accepter: Endpoint | None = None
    closed: list[Endpoint] = field(default_factory=list)
    queues: dict[Address, deque[Sent]] = field(default_factory=dict)  # by sender
    is_given_up: bool = False

    def end(self, address: Address) -> Endpoint | None:
        """The process at the end with this address."""
        return self.opener if address == self.opener.address else self.accepter

    def other(self, address: Address) -> Endpoint | None:
        """The process at the other end."""
        return self.accepter if address == self.opener.address else self.opener

    def serves(self, sender: Endpoint) -> bool:
        """Whether this process may send on it."""
        if self.is_given_up or sender in self.closed:
            return False
        is_awaited = self.accepter is None and sender.address == self.target
        return sender is self.opener or sender is self.accepter or is_awaited


class Network:
    """All links, and the clock of the world."""

    def __init__(self) -> None:
        self.now = 0
        self.endpoints: dict[Address, Endpoint] = {}
        self._troubles: list[Trouble] = []
        self._passages: dict[tuple[str, str], Passage] = {}
        self._losing_since: dict[tuple[str, str], int] = {}
        self._connections: dict[tuple[Address, Address], Connection] = {}
        self._back_off: dict[tuple[Address, Address], int] = {}
        self._held: list[tuple[Address, Address, Payload]] = []  # datagrams
        self._events: list[tuple[int, int, Event]] = []
        self._counter = itertools.count()

    # --- time -------------------------------------------------------------------------------------

    def at(self, when: int, event: Event) -> None:
        """Let this happen at a time."""
        heapq.heappush(self._events, (when, next(self._counter), event))

    def run_until(self, end: int) -> int:
        """Let time pass; tells how many events there were."""
        events = self._events
        count = 0
        while events and events[0][0] <= end:
            self.now, _, event = heapq.heappop(events)
            event()
            count += 1
        self.now = end
        return count

    # --- trouble ----------------------------------------------------------------------------------

    def add_trouble(self, sources: Iterable[str], targets: Iterable[str], passage: Passage) -> Trouble:
        """From now on these machines' packets to those are lost or held."""
        trouble = Trouble(frozenset(sources), frozenset(targets), passage)
        self._troubles.append(trouble)
        self._on_changed()
        return trouble

    def end_trouble(self, trouble: Trouble) -> None:
        """This trouble is over; others may go on."""
        self._troubles = [other for other in self._troubles if other is not trouble]
        self._on_changed()

    def end_all_trouble(self) -> None:
        """All links are well again."""
        self._troubles.clear()
        self._on_changed()

    def passage(self, source: str, target: str) -> Passage:
        """How one direction between two machines stands."""
        return self._passages.get((source, target), Passage.OPEN)

    def is_two_way(self, one: str, other: str) -> bool:
        """Whether packets pass both ways."""
        return not self._passages.get((one, other)) and not self._passages.get((other, one))

    def _on_changed(self) -> None:
        self._passages = self._combine(self._troubles)
        losing = [pair for pair, passage in self._passages.items() if passage is Passage.LOSING]
        self._losing_since = {pair: self._losing_since.get(pair, self.now) for pair in losing}
        self.resume()

    @staticmethod
    def _combine(troubles: Collection[Trouble]) -> dict[tuple[str, str], Passage]:
        passages: dict[tuple[str, str], Passage] = {}
        for trouble in troubles:
            for source, target in itertools.product(sorted(trouble.sources), sorted(trouble.targets)):
                if source != target:
                    known = passages.get((source, target), Passage.OPEN)
                    passages[source, target] = max(known, trouble.passage)
        return passages

    def resume(self) -> None:
        """A direction opened or a process thawed: what waited goes on, in order."""
        for connection in list(self._connections.values()):
            for sender in sorted(connection.queues, key=str):
                self._pump(connection, sender)
        held, self._held = self._held, []
        for source, target, payload in held:
            self._deliver_datagram(source, target, payload)

    # --- connections ------------------------------------------------------------------------------

    def send(self, sender: Endpoint, target: Address, payload: Payload) -> None:
        """Send one message; a connection is opened for it where there is none."""
        pair = _pair(sender.address, target)
        connection = self._connections.get(pair)
        if connection is None or not connection.serves(sender):
            if self._back_off.get((sender.address, target), 0) > self.now:
                return
            connection = self._connections[pair] = Connection(sender, target, self.now)
            self.at(self.now + 2 * self._delay(sender.address, target), lambda: self._open(connection))
        due = self.now + self._delay(sender.address, target)
        connection.queues.setdefault(sender.address, deque()).append(Sent(payload, self.now, due))
        if connection.accepter is not None:
            self.at(due, lambda: self._pump(connection, sender.address))

    def _open(self, connection: Connection) -> None:
        """The handshake has come round, or is tried again."""
        opener, target = connection.opener, connection.target
        if not opener.is_running or self._current(connection) is not connection:
            connection.is_given_up = True
        if connection.is_given_up:
            return
        accepter = self.endpoints.get(target)
        is_passing = self.is_two_way(opener.address.host, target.host)
        if is_passing and accepter is not None and accepter.is_running:
            connection.accepter = accepter
            for sender in list(connection.queues):
                self._pump(connection, sender)
        elif self._is_refused(accepter, is_passing) or self.now - connection.began_at >= CONNECT_WITHIN:
            self._fail_to_open(connection)
        else:
            self.at(self.now + CONNECT_RETRY, lambda: self._open(connection))

    def _fail_to_open(self, connection: Connection) -> None:
        opener, target = connection.opener, connection.target
        connection.is_given_up = True
        waiting = [opener.address, *(queue for queue in connection.queues if queue != opener.address)]
        for address in waiting:
            other = target if address == opener.address else opener.address
            self._back_off[address, other] = self.now + BACK_OFF
            endpoint = self.endpoints.get(address)
            if endpoint is not None:
                self._tell_disconnected(endpoint, other)

    @staticmethod
    def _is_refused(accepter: Endpoint | None, is_passing: bool) -> bool:
        return is_passing and accepter is not None and accepter.has_power and not accepter.is_running

    def _current(self, connection: Connection) -> Connection | None:
        return self._connections.get(_pair(connection.opener.address, connection.target))

    def _pump(self, connection: Connection, sender: Address) -> None:
        """Deliver what is due in one direction, or find out that the connection has failed."""
        queue = connection.queues.get(sender)
        while queue and connection.accepter is not None and not connection.is_given_up:
            head = queue[0]
            receiver = connection.other(sender)
            if head.due_at > self.now or receiver is None:
                return
            passage = self.passage(sender.host, receiver.address.host)
            if passage is Passage.HOLDING:
                return
            is_refused = receiver in connection.closed or (receiver.has_power and not receiver.is_running)
            if passage is Passage.LOSING or not receiver.has_power or is_refused:
                self._on_unanswered(connection, sender, receiver, head, is_refused)
                return
            if receiver.is_frozen:
                return
            queue.popleft()
            self._expect_acknowledgement(connection, sender, receiver)
            receiver.on_message(sender, head.payload)

    def _on_unanswered(
        self, connection: Connection, sender: Address, receiver: Endpoint, head: Sent, is_refused: bool
    ) -> None:
        """Nothing came of the oldest message: a reset comes back, or the time for an acknowledgement runs out."""
        gives_up_at = head.sent_at + USER_TIMEOUT
        is_reset = is_refused and self.is_two_way(sender.host, receiver.address.host)
        if is_reset or self.now >= gives_up_at:
            self._break(connection, sender)
        else:
            self.at(gives_up_at, lambda: self._pump(connection, sender))

    def _expect_acknowledgement(self, connection: Connection, sender: Address, receiver: Endpoint) -> None:
        """Where packets of the way back are lost, the sender gives up although everything arrives."""
        back = receiver.address.host, sender.host
        if back in self._losing_since:
            lost_from = self.now

            def check() -> None:
                if self._losing_since.get(back, self.now) <= lost_from:
                    self._break(connection, sender)

            self.at(self.now + USER_TIMEOUT, check)

    def _break(self, connection: Connection, sender: Address) -> None:
        """One end gives the connection up; the other learns of it if the reset gets there."""
        own, other = connection.end(sender), connection.other(sender)
        if own is None or other is None or own in connection.closed:
            return
        connection.closed.append(own)
        connection.queues.pop(sender, None)
        if self._current(connection) is connection:
            self._tell_disconnected(own, other.address)
        if self.passage(sender.host, other.address.host) is Passage.OPEN and other not in connection.closed:
            connection.closed.append(other)
            connection.queues.pop(other.address, None)
            delay = self._delay(sender, other.address)
            self.at(self.now + delay, lambda: self._on_reset(connection, other, sender))

    def _on_reset(self, connection: Connection, endpoint: Endpoint, sender: Address) -> None:
        """A reset came; that of a connection older than the present one is of no interest."""
        if self._current(connection) is connection:
            self._tell_disconnected(endpoint, sender)

    def reset_connections(self, ended: Endpoint) -> None:
        """A process ended on a machine that goes on: the others hear of it where packets pass."""
        for pair, connection in list(self._connections.items()):
            if ended.address not in pair or ended in connection.closed:
                continue
            if ended is connection.opener or ended is connection.accepter:
                self._break(connection, ended.address)

    def _tell_disconnected(self, endpoint: Endpoint, other: Address) -> None:
        if endpoint.is_running:
            if endpoint.is_frozen:
                self.at(self.now + CONNECT_RETRY, lambda: self._tell_disconnected(endpoint, other))
            else:
                endpoint.on_disconnected(other)

    # --- datagrams --------------------------------------------------------------------------------

    def send_datagram(self, sender: Endpoint, target: Address, payload: Payload) -> None:
        """Send a datagram, which is lost or held with all other packets."""
        source = sender.address
        self.at(self.now + self._delay(source, target), lambda: self._deliver_datagram(source, target, payload))

    def _deliver_datagram(self, source: Address, target: Address, payload: Payload) -> None:
        receiver = self.endpoints.get(target)
        passage = self.passage(source.host, target.host)
        if receiver is None or not receiver.is_running or passage is Passage.LOSING:
            return
        if passage is Passage.HOLDING or receiver.is_frozen:
            self._held.append((source, target, payload))
        else:
            receiver.on_datagram(source, payload)

    def _delay(self, source: Address, target: Address) -> int:
        one, other = self.endpoints.get(source), self.endpoints.get(target)
        is_near = one is not None and other is not None and one.region == other.region
        return WITHIN_REGION if is_near else BETWEEN_REGIONS


def _pair(one: Address, other: Address) -> tuple[Address, Address]:
    return (one, other) if one.host < other.host else (other, one)
