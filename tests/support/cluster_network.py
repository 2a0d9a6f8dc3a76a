"""A simulated network of cluster nodes in virtual time: ordered connections, datagrams, cuts that say nothing."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from canvasbeam.cluster import codec
from canvasbeam.cluster.member import Member
from canvasbeam.cluster.node_core import NodeCore, PingAnswer, Ports
from canvasbeam.distribution.distribution import ProcessStart
from canvasbeam.distribution.messages import Message, Send
from canvasbeam.failure_detection.monitoring import SendPing
from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.runtime.settings import Address

MS = 1_000_000
SECOND = 1_000 * MS
PORTS = Ports(control=7660, data=7661)
USER_TIMEOUT = 1_200 * MS
WITHIN_REGION = MS
BETWEEN_REGIONS = 35 * MS
CONFIGURATION = ItemKind.CONFIGURATION


@dataclass(eq=False)
class Host:
    """A machine with one process."""

    member: Member
    core: NodeCore
    is_running: bool = True
    woken_at: int = -1
    bytes_sent: int = 0
    messages_sent: int = 0
    adopted: list[Version] = field(default_factory=list)
    clock_offset: int = 0  # of its monotonic clock; only the network's own calls heed it

    def clock(self, now: int) -> int:
        """The time by the clock of this machine."""
        return now + self.clock_offset

    @property
    def address(self) -> Address:
        return PORTS.address_of(self.member)


class Network:
    """All nodes, and the links between them."""

    def __init__(self, seed: int = 1, datagram_loss: float = 0.0) -> None:
        self.now = 0
        self.hosts: dict[Address, Host] = {}
        self.seeds: list[Address] = []
        self.lose_message: Callable[[Address, Address, Message], bool] = lambda source, target, message: False
        self.clock_offset: Callable[[str], int] = lambda name: 0  # of each machine, by its name
        self._chance = random.Random(seed)
        self._datagram_loss = datagram_loss
        self._cut_since: dict[tuple[Address, Address], int] = {}
        self._stalled: dict[tuple[Address, Address], list[Message]] = {}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._counter = itertools.count()
        self._extra_delay: dict[Address, int] = {}
        self._frozen_until: dict[Address, int] = {}
        self._arrival: dict[tuple[Address, Address], int] = {}

    # --- building ---------------------------------------------------------------------------------

    def add(self, name: str, region: str, is_control: bool = False, zone: str | None = None) -> Host:
        """A machine that is started at once."""
        number = len(self.hosts) + 1
        ip = f"10.0.{number // 250}.{number % 250 + 1}"
        member = Member(name, "core" if is_control else "edge", "role", ip, zone or region, region,
                        "" if is_control else f"{ip}:80", False, 0, is_control)  # fmt: skip
        return self._start(member)

    def restart(self, host: Host) -> Host:
        """The same machine with a new process, which knows nothing."""
        host.is_running = False
        return self._start(host.member)

    def _start(self, member: Member) -> Host:
        offset = self.clock_offset(member.name)
        core = NodeCore(member, PORTS, self.seeds, ProcessStart(self._chance.randrange(1 << 30), self.now + offset))
        host = Host(member, core, clock_offset=offset)
        core.table.add_listener(lambda items: host.adopted.extend(
            item.version for item in items if item.kind is CONFIGURATION))  # fmt: skip
        self.hosts[host.address] = host
        core.begin(host.clock(self.now))
        self._perform(host)
        return host

    def fleet(self, regions: int, edges: int) -> tuple[list[Host], list[Host]]:
        """One control node a region, which are the seeds, and edges spread over the regions."""
        self.seeds = [Address(f"10.0.0.{number + 2}", PORTS.control) for number in range(regions)]
        controls = [self.add(f"core-{number}", f"region-{number}", is_control=True) for number in range(regions)]
        return controls, [self.add(f"edge-{number}", f"region-{number % regions}") for number in range(edges)]

    # --- trouble ----------------------------------------------------------------------------------

    def lose_power(self, host: Host) -> None:
        """The machine says nothing any more."""
        host.is_running = False

    def kill(self, host: Host) -> None:
        """The process ends: its connections are reset."""
        host.is_running = False
        for other in self.hosts.values():
            self._at(self.now + self._delay(host.address, other.address), self._disconnect(other, host.address))

    def cut(self, sources: Iterable[Host], targets: Iterable[Host]) -> None:
        """Nothing gets from these to those."""
        for source, target in itertools.product(tuple(sources), tuple(targets)):
            if source is not target:
                self._cut_since.setdefault((source.address, target.address), self.now)

    def cut_both_ways(self, one: Iterable[Host], other: Iterable[Host]) -> None:
        """Nothing gets through in either direction."""
        first, second = tuple(one), tuple(other)
        self.cut(first, second)
        self.cut(second, first)

    def stall(self, sources: Iterable[Host], targets: Iterable[Host]) -> None:
        """What these send to those waits until `release`; connections stand, and the other direction is well."""
        for source, target in itertools.product(tuple(sources), tuple(targets)):
            if source is not target:
                self._stalled.setdefault((source.address, target.address), [])

    def release(self) -> None:
        """What waited is on its way; datagrams were lost."""
        stalled, self._stalled = self._stalled, {}
        for (source, target), messages in stalled.items():
            for message in messages:
                self._send(self.hosts[source], target, message)

    def heal(self) -> None:
        """All links are well again."""
        self._cut_since.clear()

    # --- running ----------------------------------------------------------------------------------

    def run(self, span: int) -> None:
        """Let this much time pass."""
        self._run_until(self.now + span, lambda: False)

    def run_until(self, condition: Callable[[], bool], within: int) -> int:
        """Let time pass until the condition holds, and tell how much that was; fails where it takes longer."""
        begun = self.now
        assert self._run_until(begun + within, condition), f"not within {within / SECOND} s"
        return self.now - begun

    def publish(self, host: Host, major: int, size: int = 20_000) -> Item:
        """A new configuration, published by this node."""
        item = Item(CONFIGURATION, "current", Version(major), bytes(size))
        host.core.publish(host.clock(self.now), [item])
        self._perform(host)
        return item

    def publish_items(self, host: Host, items: Iterable[Item]) -> None:
        """Any items, published by this node."""
        host.core.publish(host.clock(self.now), items)
        self._perform(host)

    def set_ready(self, host: Host, ready: bool) -> None:
        host.core.set_ready(host.clock(self.now), ready)
        self._perform(host)

    def leave(self, host: Host) -> None:
        host.core.leave(host.clock(self.now))
        self._perform(host)

    def running(self) -> list[Host]:
        return [host for host in self.hosts.values() if host.is_running]

    def have(self, hosts: Iterable[Host], item: Item) -> bool:
        return all(host.core.table.get(item.kind, item.key) == item for host in hosts)

    def names(self, host: Host) -> set[str]:
        """The members that this node lists."""
        return {member.name for member in host.core.members(host.clock(self.now))}

    def all_know(self, hosts: Iterable[Host]) -> bool:
        """Whether these nodes list exactly each other."""
        each_of = tuple(hosts)
        wanted = {part.member.name for part in each_of}
        return all(self.names(part) == wanted for part in each_of)

    def _run_until(self, end: int, condition: Callable[[], bool]) -> bool:
        checked = -1
        while self._events and self._events[0][0] <= end:
            if self._events[0][0] - checked >= MS:
                checked = self.now
                if condition():
                    return True
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end
        return condition()

    def _at(self, when: int, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._counter), event))

    def _perform(self, host: Host) -> None:
        for action in host.core.take_actions():
            match action:
                case Send(addresses, message):
                    size = len(codec.encode(message)) + 8
                    for address in addresses:
                        host.bytes_sent += size
                        host.messages_sent += 1
                        self._send(host, address, message)
                case SendPing(address):
                    self._send_datagram(host, address, action)
                case PingAnswer(address):
                    self._send_datagram(host, address, action)
        self._wake(host)

    def _wake(self, host: Host) -> None:
        when = max(host.core.wake() - host.clock_offset, self.now + 5 * MS)
        if host.woken_at <= self.now or when < host.woken_at:
            host.woken_at = when
            self._at(when, lambda: self._tick(host, when))

    def _tick(self, host: Host, when: int) -> None:
        if host.is_running and host.woken_at == when and host.address not in self._frozen_until:
            host.core.tick(host.clock(self.now))
            self._perform(host)

    # --- links ------------------------------------------------------------------------------------

    def freeze(self, host: Host, span: int) -> None:
        """The process stands still; what comes meanwhile waits for it, and is read after what is overdue."""
        thawed_at = self.now + span
        self._frozen_until[host.address] = thawed_at
        self._at(thawed_at, lambda: self._thaw(host))

    def _thaw(self, host: Host) -> None:
        del self._frozen_until[host.address]
        host.core.tick(host.clock(self.now))
        self._perform(host)

    def choke(self, host: Host, delay: int) -> None:
        """Packets to and from this machine wait."""
        self._extra_delay[host.address] = delay

    def _delay(self, source: Address, target: Address) -> int:
        extra = self._extra_delay.get(source, 0) + self._extra_delay.get(target, 0)
        return extra + self._distance(source, target)

    def _distance(self, source: Address, target: Address) -> int:
        one, other = self.hosts.get(source), self.hosts.get(target)
        is_near = one and other and one.member.region == other.member.region
        return WITHIN_REGION if is_near else BETWEEN_REGIONS

    def _is_cut(self, source: Address, target: Address) -> bool:
        return (source, target) in self._cut_since

    def _is_connection_dead(self, source: Address, target: Address) -> bool:
        """A connection lives on for a while where only its acknowledgements are lost."""
        since = self._cut_since.get((target, source))
        return self._is_cut(source, target) or (since is not None and self.now - since > USER_TIMEOUT)

    def _send(self, host: Host, target: Address, message: Message) -> None:
        if self.lose_message(host.address, target, message):
            return
        link = host.address, target
        if link in self._stalled:
            self._stalled[link].append(message)
            return
        arrival = max(self.now + self._delay(*link), self._arrival.get(link, 0))
        self._arrival[link] = arrival
        self._at(arrival, lambda: self._deliver(host, target, message, self.now + USER_TIMEOUT))

    def _deliver(self, host: Host, target: Address, message: Message, until: int) -> None:
        other = self.hosts.get(target)
        if target in self._frozen_until:
            self._at(self._frozen_until[target], lambda: self._deliver(host, target, message, until))
        elif other is not None and other.is_running and not self._is_connection_dead(host.address, target):
            other.core.receive(other.clock(self.now), host.address, message)
            self._perform(other)
        elif self.now < until:
            self._at(self.now + 100 * MS, lambda: self._deliver(host, target, message, until))
        else:
            self._disconnect(host, target)()

    def _disconnect(self, host: Host, address: Address) -> Callable[[], None]:
        def event() -> None:
            if host.is_running:
                host.core.on_disconnected(host.clock(self.now), address)
                self._perform(host)

        return event

    def _send_datagram(self, host: Host, target: Address, action: SendPing | PingAnswer) -> None:
        if self._chance.random() >= self._datagram_loss:
            self._at(self.now + self._delay(host.address, target), lambda: self._deliver_datagram(host, target, action))

    def _deliver_datagram(self, host: Host, target: Address, action: SendPing | PingAnswer) -> None:
        other = self.hosts.get(target)
        if other is None or not other.is_running or self._is_cut(host.address, target):
            return
        if (host.address, target) in self._stalled:
            return
        if target in self._frozen_until:
            self._at(self._frozen_until[target], lambda: self._deliver_datagram(host, target, action))
            return
        if isinstance(action, PingAnswer):
            other.core.on_answer(other.clock(self.now), host.address, action.number)
        else:
            claim = Version(action.incarnation, int(action.status))
            other.core.on_ping(other.clock(self.now), host.address, action.number, claim)
        self._perform(other)
