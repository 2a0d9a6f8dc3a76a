"""A simulated system over the real pure modules: control nodes with their replication, edges, operators and workers.

Each process is driven as its driver in the product drives it: `NodeCore` for items and members, on control nodes also
`Member` with its outbox and disk, `StatePublisher`, `RegistryService` and the choice of the directory. Whoever drives
the world makes the trouble; `soft_state_invariants` watches.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable, Coroutine, Generator, Iterable, Sequence
from dataclasses import dataclass, field, replace
from functools import cached_property

from canvasbeam.cluster.member import Member as NodeMember
from canvasbeam.cluster.node_core import NodeCore, PingAnswer, Ports
from canvasbeam.cluster.transport import Channel, PeerInfo
from canvasbeam.control_plane.directory import RESOLVE_PATH, Directory
from canvasbeam.control_plane.home_regions import HomeRegions
from canvasbeam.control_plane.program import NO_ELECTORATE
from canvasbeam.control_plane.publisher import StatePublisher
from canvasbeam.control_plane.registry import INSTANCES_PREFIX, RegistryService
from canvasbeam.control_plane.web import Answer, Request
from canvasbeam.distribution.distribution import ProcessStart
from canvasbeam.distribution.messages import Send
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.failure_detection.monitoring import SendPing
from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.replication.control_state import Change, ChangeKind, Committed, ControlState
from canvasbeam.replication.durability import Outbox
from canvasbeam.replication.durable_state import DurableState, MemberSettings
from canvasbeam.replication.member import Member
from canvasbeam.replication.messages import Action as ReplicationAction
from canvasbeam.replication.messages import Message as ReplicationMessage
from canvasbeam.replication.messages import Publish, Reply, Save, SendToAddress
from canvasbeam.replication.messages import Send as ReplicationSend
from canvasbeam.replication.views import (
    GENESIS_DISK,
    NO_MEMBER,
    MemberId,
    View,
    genesis_view,
    member_id,
    member_ip,
)
from canvasbeam.runtime.settings import Address, ProcessSettings
from canvasbeam.units import MILLISECOND, SECOND
from tests.support.replication_simulation import stored
from tests.support.soft_state_network import Network, Passage, Trouble

PORTS = Ports(control=7660, data=7661)
LEAST_WAIT = 5 * MILLISECOND
REPLICATION_TICK = 50 * MILLISECOND
REGISTRY_TICK = 500 * MILLISECOND
SYNC_TIME = 5 * MILLISECOND
HEARTBEAT_MS = 1_000
ZONES_IN_A_REGION = 2
REGIONS = 3
OK = 200
HOMED_HOST = "homed.example"
ROUTES = ({"host": HOMED_HOST, "home_regions": ["region-0"]},)
MOST_CLOCK_OFFSET = 100_000 * SECOND


@dataclass(frozen=True, slots=True)
class DistributionPayload:
    """A message of the distribution of items."""

    message: object


@dataclass(frozen=True, slots=True)
class ReplicationPayload:
    """A message of replication."""

    sender: MemberId
    message: ReplicationMessage


@dataclass(frozen=True, slots=True)
class RegistryPayload:
    """A message of the registry, encoded."""

    data: bytes


@dataclass(eq=False)
class Machine:
    """A machine: what outlives its processes."""

    name: str
    ip: str
    zone: str
    region: str
    is_control: bool
    seeds: list[Address]
    has_power: bool = True
    is_removed: bool = False
    process: Process | None = None
    ended_at: int = 0  # when its last process ended, while none runs
    member: MemberId = NO_MEMBER
    durable: DurableState = field(default_factory=DurableState)

    @cached_property
    def address(self) -> Address:
        """Where its process takes messages."""
        return Address(self.ip, PORTS.control if self.is_control else PORTS.data)

    @property
    def key(self) -> str:
        """The key of its member item."""
        return f"{self.name}/{'control' if self.is_control else 'data'}"


@dataclass(eq=False)
class Call:
    """An order of an operator at one control process, or a read."""

    number: int
    process: ControlProcess
    change: Change | None
    began_at: int


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A configuration that an operator knows to be in force."""

    at: int
    index: int


@dataclass(frozen=True, slots=True)
class Drained:
    """A worker that was told that nothing will be sent to it any more."""

    worker: str
    sequence: int
    at: int


class Watcher:
    """What is told of the events of the world; the invariants override it."""

    def on_reply(self, call: Call, result: Committed | Failure) -> None:
        """A call was answered."""

    def on_adopted(self, process: Process, item: Item) -> None:
        """A process took a configuration."""

    def on_worker_acknowledged(self, process: ControlProcess) -> None:
        """A control process acknowledged what a worker said."""

    def on_parent(self, process: Process) -> None:
        """An edge has another parent, or none."""

    def on_change(self) -> None:
        """Links or processes are about to change, or have just changed."""


def configuration_of(order: str) -> dict[str, object]:
    """A configuration some of whose items stay, change, come and go from order to order."""
    drawn = random.Random(order)
    items = [{"name": f"item-{number}", "value": drawn.randrange(3)} for number in range(12) if drawn.random() < 0.6]
    return {"order": order, "routes": ROUTES, "items": items}


def apply_order(state: ControlState, change: Change) -> ControlState | Failure:
    """Put a configuration on the generation that the order names; the same order again changes nothing."""
    if change.body in state.applied_change_keys:
        return state
    if change.if_match != state.generation:
        return Failure(ResultCode.CONFIG_STALE_MATCH, "another generation is current")
    index = state.index + 1
    return replace(
        state,
        index=index,
        generation=state.generation + 1,
        configuration=configuration_of(change.body.decode("ascii")),
        configuration_index=index,
        applied_change_keys=(*state.applied_change_keys, change.body),
    )


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """What the handling of a call waits for: most of the control nodes hold some items, or the time is over."""

    number: int
    within: int

    def __await__(self) -> Generator[PendingWrite, bool, bool]:
        return (yield self)


@dataclass(eq=False)
class Handling:
    """A call of a worker while it is handled."""

    coroutine: Coroutine[PendingWrite, bool | None, Answer]
    on_answer: Callable[[Answer], None]
    write: int = 0
    is_late: bool = False


class Process:
    """One incarnation of a process: an edge, or what an edge and a control process share."""

    def __init__(self, world: World, machine: Machine, seed: int) -> None:
        self.world = world
        self.machine = machine
        self.address = machine.address
        self.region = machine.region
        self.is_running = True
        self.is_frozen = False
        self.began_at = world.now
        self._clock_offset = world.draw(MOST_CLOCK_OFFSET)
        self.adopted: list[Version] = []
        self.is_ready = False
        self.core = NodeCore(self._own_member(), PORTS, machine.seeds, ProcessStart(seed, self.now))
        self._woken_at = -1
        self._parent_changes = 0
        self.core.table.add_listener(self._on_items)

    @property
    def now(self) -> int:
        """The monotonic clock of this process, which says something else than that of any other."""
        return self.world.now + self._clock_offset

    @property
    def has_power(self) -> bool:
        """Whether the machine answers for a process that has ended."""
        return self.machine.has_power

    def begin(self) -> None:
        """The first event."""
        self.core.begin(self.now)
        self.perform()

    def set_ready(self) -> None:
        """Tell the others that this process takes clients."""
        if self.is_running and not self.is_frozen:
            self.is_ready = True
            self.core.set_ready(self.now, True)
            self.perform()

    def leave(self) -> None:
        """Tell the others that this process ends."""
        self.core.leave(self.now)
        self.perform()

    # --- the network --------------------------------------------------------------------------------

    def on_message(self, sender: Address, payload: object) -> None:
        """A message came over a connection."""
        if isinstance(payload, DistributionPayload):
            self.core.receive(self.now, sender, payload.message)  # type: ignore[arg-type]
            self.perform()

    def on_datagram(self, sender: Address, payload: object) -> None:
        """A probe or its answer came."""
        now = self.now
        if isinstance(payload, PingAnswer):
            self.core.on_answer(now, sender, payload.number)
        elif isinstance(payload, SendPing):
            self.core.on_ping(now, sender, payload.number, Version(payload.incarnation, int(payload.status)))
        self.perform()

    def on_disconnected(self, address: Address) -> None:
        """A connection failed."""
        self.core.on_disconnected(self.now, address)
        self.perform()

    def perform(self) -> None:
        """Send what the decisions ask for, and wake when they ask for it."""
        network = self.world.network
        for action in self.core.take_actions():
            match action:
                case Send(addresses, message):
                    payload = DistributionPayload(message)
                    for address in addresses:
                        network.send(self, address, payload)
                case SendPing(address) | PingAnswer(address):
                    network.send_datagram(self, address, action)
        self._note_parent()
        self._wake()

    def _note_parent(self) -> None:
        changes = self.core.distribution.link.changes
        if changes != self._parent_changes:
            self._parent_changes = changes
            self.world.watcher.on_parent(self)

    def _wake(self) -> None:
        now = self.world.now
        when = max(self.core.wake() - self._clock_offset, now + LEAST_WAIT)
        if self._woken_at <= now or when < self._woken_at:
            self._woken_at = when
            self.world.network.at(when, lambda: self._tick(when))

    def _tick(self, when: int) -> None:
        if self.is_running and not self.is_frozen and self._woken_at == when:
            self.core.tick(self.now)
            self.perform()

    def thaw(self) -> None:
        """Go on: what is overdue comes first, and then what waited in the sockets."""
        self.is_frozen = False
        self._woken_at = -1
        self.core.tick(self.now)
        self.perform()

    # --- what the watcher asks ----------------------------------------------------------------------

    @property
    def configuration_index(self) -> int:
        """The configuration in force here."""
        item = self.core.table.get(ItemKind.CONFIGURATION, "current")
        return 0 if item is None else item.version.major

    def _on_items(self, items: Sequence[Item]) -> None:
        for item in items:
            if item.kind is ItemKind.CONFIGURATION:
                self.world.watcher.on_adopted(self, item)
                self.adopted.append(item.version)

    def _own_member(self) -> NodeMember:
        machine = self.machine
        return NodeMember(
            name=machine.name,
            node_class="core" if machine.is_control else "edge",
            role="role",
            ip=machine.ip,
            zone=machine.zone,
            region=machine.region,
            front="" if machine.is_control else f"{machine.ip}:80",
            ready=False,
            incarnation=0,
            is_control=machine.is_control,
        )


class ControlProcess(Process):
    """A control process: replication, the publisher and the registry beside the core."""

    def __init__(self, world: World, machine: Machine, seed: int) -> None:
        super().__init__(world, machine, seed)
        self._outbox = Outbox()
        self._writing: list[Save] | None = None
        self.is_leaving = False
        self._told_view: tuple[View, bool] | None = None
        self._waiting: list[Handling] = []
        self.publisher = StatePublisher(self)
        seed_ips = tuple(seed.host for seed in machine.seeds)
        settings = MemberSettings(machine.member, seed_ips, world.tolerated, seed=seed)
        self.member = Member(settings, machine.durable, apply_order, apply_order, self.now)
        self.table = self.core.table
        self._callbacks: dict[Channel, Callable[[PeerInfo, bytes], None]] = {}
        self.registry = RegistryService(self._settings(), self, lambda: self.now)  # type: ignore[arg-type]
        self.directory = Directory(
            self._settings(), self.members, HomeRegions(self.table), lambda: self.core.has_recent_exchange(self.now)
        )

    def begin(self) -> None:
        """The first event of all parts."""
        self.core.set_electorates(self.now, NO_ELECTORATE)
        super().begin()
        self._carry_out(self.member.begin())
        self.set_ready()
        self.world.network.at(self.world.now + REPLICATION_TICK, self._tick_member)
        self.world.network.at(self.world.now + REGISTRY_TICK, self._tick_registry)

    def on_message(self, sender: Address, payload: object) -> None:
        """A message came for one of the parts."""
        if isinstance(payload, ReplicationPayload):
            self._carry_out(self.member.receive(payload.sender, payload.message, self.now))
        elif isinstance(payload, RegistryPayload):
            self._callbacks[Channel.REGISTRY](PeerInfo("", sender), payload.data)
            self.perform()
        else:
            super().on_message(sender, payload)

    def _tick_member(self) -> None:
        if self.is_running:
            if not self.is_frozen:
                self._carry_out(self.member.tick(self.now))
            self.world.network.at(self.world.now + REPLICATION_TICK, self._tick_member)

    def _tick_registry(self) -> None:
        if self.is_running:
            if not self.is_frozen:
                self.registry.tick()
                self.perform()
            self.world.network.at(self.world.now + REGISTRY_TICK, self._tick_registry)

    def thaw(self) -> None:
        """All parts notice what is overdue."""
        super().thaw()
        self._carry_out(self.member.tick(self.now))

    # --- replication --------------------------------------------------------------------------------

    def submit(self, call: Call) -> None:
        """An operator orders a change, or reads."""
        now = self.now
        if call.change is None:
            self._carry_out(self.member.read(call.number, now))
        else:
            self._carry_out(self.member.submit(call.number, call.change, now))

    def _carry_out(self, actions: list[ReplicationAction]) -> None:
        for action in self._outbox.take(actions):
            match action:
                case ReplicationSend() | SendToAddress():
                    self._send(action)
                case Reply(call=number, result=result):
                    self.world.on_reply(number, result)
                case Publish(state=state):
                    self.publisher.on_committed(state)
        self._begin_write()
        self._tell_electorates()
        self.perform()

    def _tell_electorates(self) -> None:
        """The witnesses of the newest view grant leases; while it is not settled, also those of the one before."""
        view, is_settled = self.member.state.known_view.view, self.member.state.known_view.in_force
        if view is None or (view, is_settled) == self._told_view:
            return
        self._told_view = view, is_settled
        electorates = [view.witnesses] if is_settled else [view.witnesses, view.previous_witnesses]
        ips = [[member_ip(member) for member in electorate] for electorate in electorates]
        self.core.set_electorates(self.now, ips)

    def _send(self, action: ReplicationSend | SendToAddress) -> None:
        ip = action.ip if isinstance(action, SendToAddress) else member_ip(action.to)
        payload = ReplicationPayload(self.member.me, action.message)
        if ip == self.machine.ip:
            self.world.network.at(self.world.now, lambda: self._deliver_own(payload))
        else:
            self.world.network.send(self, Address(ip, PORTS.control), payload)

    def _deliver_own(self, payload: ReplicationPayload) -> None:
        if self.is_running:
            self._carry_out(self.member.receive(payload.sender, payload.message, self.now))

    def _begin_write(self) -> None:
        if self._writing is None and self._outbox.has_unwritten:
            self._writing = self._outbox.next_batch()
            self.world.network.at(self.world.now + SYNC_TIME, self._on_synced)

    def _on_synced(self) -> None:
        if not self.is_running or self._writing is None:
            return
        self.machine.durable = stored(self.machine.durable, self._writing)
        self._writing = None
        for held in self._outbox.batch_durable():
            self._send(held)
        self._begin_write()

    def leave_view(self, within: int) -> None:
        """End as planned: ask to be let go, and end when that is granted or the time is over."""
        self.is_leaving = True
        self._carry_out(self.member.leave(self.now))
        self._end_when_let_go(self.world.now + within)

    def _end_when_let_go(self, until: int) -> None:
        if not self.is_running:
            return
        is_let_go = self.member.state.departure.may_end and not self.is_frozen
        if not is_let_go and self.world.now < until:
            self.world.network.at(self.world.now + REPLICATION_TICK, lambda: self._end_when_let_go(until))
            return
        if not self.is_frozen:
            self._carry_out(self.member.resign(self.now))
        self.world.kill(self.machine, is_planned=True)

    # --- the registry -------------------------------------------------------------------------------

    @property
    def transport(self) -> ControlProcess:
        """What the registry sends with."""
        return self

    def register(self, channel: Channel, callback: Callable[[PeerInfo, bytes], None]) -> None:
        """Give the messages of a channel to this function."""
        self._callbacks[channel] = callback

    def send_to_many(self, addresses: Iterable[Address], channel: Channel, payload: bytes) -> None:
        """Send a message of the registry."""
        assert channel is Channel.REGISTRY
        for address in addresses:
            self.world.network.send(self, address, RegistryPayload(payload))

    def publish(self, items: Iterable[Item]) -> list[Item]:
        """Merge items and bring them to all nodes."""
        return self.core.publish(self.now, items)

    def members(self) -> tuple[NodeMember, ...]:
        """The members that are alive and not suspected."""
        return self.core.members(self.now)

    def control_nodes(self) -> Sequence[NodeMember]:
        """The control nodes among them."""
        return [member for member in self.members() if member.is_control]

    def peer_address(self, member: NodeMember) -> Address:
        """Where a member takes messages."""
        return PORTS.address_of(member)

    def has_recent_contact(self, within_ns: int) -> bool:
        """Whether most control nodes were in contact lately."""
        age = self.core.contact_age(self.now)
        return age is not None and age <= within_ns

    def begin_heartbeat(self, worker: str, sequence: int, state: str, on_answer: Callable[[bool], None]) -> None:
        """A worker's heartbeat over HTTP; tells whether it was acknowledged, when it is answered."""
        document = {
            "service": "s",
            "address": f"10.9.0.1:{1000 + int(worker.removeprefix('w'))}",
            "zone": self.machine.zone,
            "slots": 1,
            "state": state,
            "seq": sequence,
        }
        self._begin_call("PUT", worker, json.dumps(document).encode("ascii"), on_answer)

    def begin_sign_off(self, worker: str, on_answer: Callable[[bool], None]) -> None:
        """A worker's DELETE over HTTP; tells whether it was acknowledged, when it is answered."""
        self._begin_call("DELETE", worker, b"", on_answer)

    def _begin_call(self, method: str, worker: str, body: bytes, on_answer: Callable[[bool], None]) -> None:
        handling = self.registry.instances(Request(method, f"{INSTANCES_PREFIX}{worker}", body=body))
        self._go_on(Handling(handling, lambda answer: on_answer(answer.status == OK)), None)
        self.perform()

    async def write(self, items: Iterable[Item], within_s: float) -> bool:
        """Have most of the control nodes hold these items; the registry waits for it."""
        number = self.core.begin_write(self.now, items)
        try:
            return await PendingWrite(number, round(within_s * SECOND))
        finally:
            self.core.end_write(number)

    def _go_on(self, handling: Handling, is_written: bool | None) -> None:
        """Run the handling of a call until it waits for a write, or ends."""
        try:
            pending = handling.coroutine.send(is_written)
        except StopIteration as done:
            handling.on_answer(done.value)
            return
        handling.write = pending.number
        self._waiting.append(handling)
        self.world.network.at(self.world.now + pending.within, lambda: self._end_write(handling, False))

    def _end_write(self, handling: Handling, is_written: bool) -> None:
        """The wait is over; a process that stands still then finds that out when it goes on."""
        if handling not in self._waiting or not self.is_running:
            return
        if self.is_frozen:
            handling.is_late = True
            return
        self._waiting.remove(handling)
        self._go_on(handling, is_written)

    def perform(self) -> None:
        """Also go on with what waited for a majority."""
        super().perform()
        for handling in tuple(self._waiting):
            if handling.is_late or self.core.is_written(handling.write):
                self._end_write(handling, not handling.is_late)

    # --- the directory ------------------------------------------------------------------------------

    def resolve(self, zone: str, host: str) -> list[str]:
        """Whom the directory names to a client of a host in a zone; nobody where it answers 503."""
        try:
            self.directory.resolve(Request("GET", RESOLVE_PATH, {"zone": zone, "name": host})).send(None)
        except StopIteration as done:
            answer: Answer = done.value
            addresses: list[str] = json.loads(answer.body)["addresses"] if answer.status == OK else []
            return addresses
        raise AssertionError("the directory waits")

    def _settings(self) -> ProcessSettings:
        machine = self.machine
        return ProcessSettings(
            node=machine.name, role="core", node_class="core", serves=("control",), ip=machine.ip, zone=machine.zone,
            region=machine.region, port_range=(7660, 7675), seeds=(), heartbeat_ms=HEARTBEAT_MS,
            zones=self.world.zones, listen={"control": Address(machine.ip, 8146)},
        )  # fmt: skip


@dataclass(frozen=True, slots=True)
class Shape:
    """How large a world is."""

    controls: int = 3
    edges: int = 12
    edge_regions: int = REGIONS  # in a single region of twelve, some edges are relays

    @property
    def tolerated(self) -> int:
        """How many control machines may be lost at once."""
        return (self.controls - 1) // 2


class World:
    """All machines, the network, and what operators and workers were told."""

    control_process: type[ControlProcess] = ControlProcess

    def __init__(self, seed: int = 0, shape: Shape | None = None) -> None:
        shape = shape or Shape()
        self.network = Network()
        self.watcher = Watcher()
        self.tolerated = shape.tolerated
        self.machines: dict[str, Machine] = {}
        self.machines_by_ip: dict[str, Machine] = {}
        self.zones: dict[str, str] = {}
        self.calls: dict[int, Call] = {}
        self.acknowledged: list[Acknowledged] = []
        self.answers: list[tuple[Call, Committed | Failure]] = []
        self._chance = random.Random(seed)
        self._calls = 0
        self._disks = 0
        controls = [f"10.0.1.{number}" for number in range(1, shape.controls + 1)]
        self.seeds = [Address(ip, PORTS.control) for ip in controls]
        view = genesis_view(controls)
        for number, ip in enumerate(controls):
            machine = self._add_machine(f"core-{number}", ip, (number % REGIONS, number // REGIONS), self.seeds)
            machine.is_control = True
            machine.member = member_id(ip, GENESIS_DISK)
            machine.durable = DurableState.genesis(view)
        for number in range(shape.edges):
            place = number % shape.edge_regions, number // shape.edge_regions
            self._add_machine(f"edge-{number}", f"10.0.2.{number + 1}", place, self.seeds)

    def _add_machine(self, name: str, ip: str, place: tuple[int, int], seeds: Sequence[Address]) -> Machine:
        """A machine in a region and a zone of it, by their numbers; it is not started yet."""
        region, zone = place
        zone_name = f"zone-{region}-{zone % ZONES_IN_A_REGION}"
        self.zones[zone_name] = f"region-{region}"
        machine = Machine(name, ip, zone_name, f"region-{region}", False, list(seeds))
        self.machines[name] = machine
        self.machines_by_ip[ip] = machine
        return machine

    def draw(self, below: int) -> int:
        """A number by chance."""
        return self._chance.randrange(below)

    def begin(self) -> None:
        """Start all machines at once."""
        for machine in self.machines.values():
            self.start(machine)

    @property
    def now(self) -> int:
        """The monotonic clock that all processes share."""
        return self.network.now

    def run(self, span: int) -> int:
        """Let time pass; tells how many events there were."""
        return self.network.run_until(self.now + span)

    # --- who is there -------------------------------------------------------------------------------

    def controls(self) -> list[ControlProcess]:
        """The control processes that run."""
        return [process for process in self._processes() if isinstance(process, ControlProcess)]

    def edges(self) -> list[Process]:
        """The edge processes that run."""
        return [process for process in self._processes() if not isinstance(process, ControlProcess)]

    def _processes(self) -> list[Process]:
        processes = (machine.process for machine in self.machines.values())
        return [process for process in processes if process is not None and process.is_running]

    def control_machines(self) -> list[Machine]:
        """The control machines that were not removed."""
        return [machine for machine in self.machines.values() if machine.is_control and not machine.is_removed]

    def edge_machines(self) -> list[Machine]:
        """The edge machines."""
        return [machine for machine in self.machines.values() if not machine.is_control]

    # --- machines -----------------------------------------------------------------------------------

    def start(self, machine: Machine) -> None:
        """A new process on a machine that has none."""
        if machine.is_removed or (machine.process is not None and machine.process.is_running):
            return
        self.watcher.on_change()
        machine.has_power = True
        kind = self.control_process if machine.is_control else Process
        process = kind(self, machine, self._chance.randrange(1 << 30))
        machine.process = process
        self.network.endpoints[machine.address] = process
        process.begin()
        if not machine.is_control:
            self.network.at(self.now + 200 * MILLISECOND, process.set_ready)
        self.watcher.on_change()
        self.network.resume()

    def kill(self, machine: Machine, is_planned: bool = False) -> None:
        """The process ends, and its connections are reset; where that is planned, it says so."""
        process = machine.process
        if process is None or not process.is_running:
            return
        if is_planned and not process.is_frozen:
            process.leave()
        self._end(machine, process)
        self.network.reset_connections(process)

    def lose_power(self, machine: Machine) -> None:
        """The machine says nothing any more."""
        if machine.process is not None and machine.process.is_running:
            machine.has_power = False
            self._end(machine, machine.process)

    def _end(self, machine: Machine, process: Process) -> None:
        self.watcher.on_change()
        process.is_running = False
        machine.ended_at = self.now
        for number in [number for number, call in self.calls.items() if call.process is process]:
            del self.calls[number]
        self.watcher.on_change()

    def freeze(self, process: Process) -> None:
        """The process stands still."""
        self.watcher.on_change()
        process.is_frozen = True
        self.watcher.on_change()

    def thaw(self, process: Process) -> None:
        """The process goes on."""
        if process.is_running and process.is_frozen:
            self.watcher.on_change()
            process.thaw()
            self.watcher.on_change()
            self.network.resume()

    def wipe(self, machine: Machine) -> None:
        """A machine without power loses its disk: it will be a new member."""
        self.lose_power(machine)
        self._disks += 1
        machine.member = member_id(machine.ip, f"w{self._disks}")
        machine.durable = DurableState()

    def remove(self, machine: Machine) -> None:
        """A machine is gone for good."""
        self.lose_power(machine)
        machine.is_removed = True

    def replace_control(self, machine: Machine, seeds: Sequence[Address]) -> Machine:
        """A control machine is gone for good; an empty one comes at another address, with its own seeds."""
        self.remove(machine)
        self._disks += 1
        number = len(self.machines)
        ip = f"10.0.3.{self._disks}"
        region = int(machine.region.removeprefix("region-"))
        new = self._add_machine(f"core-{number}", ip, (region, 0), seeds)
        new.is_control = True
        new.zone = machine.zone
        new.member = member_id(ip, f"n{self._disks}")
        self.start(new)
        return new

    def is_whole(self, besides: Machine) -> bool:
        """Whether every other control machine has stored the same settled view with all in it: one may be lost."""
        machines = self.control_machines()
        others = [machine for machine in machines if machine is not besides]
        accepted = others[0].durable.accepted
        everybody = {machine.member for machine in machines}
        if accepted is None or set(accepted.replicas) != everybody or set(accepted.witnesses) != everybody:
            return False
        return all(
            other.durable.accepted == accepted and other.durable.in_force and other.durable.installed == accepted.epoch
            for other in others
        )

    # --- links --------------------------------------------------------------------------------------

    def cut(self, sources: Iterable[Machine], targets: Iterable[Machine], passage: Passage) -> Trouble:
        """Packets of these machines to those are lost or held from now on."""
        self.watcher.on_change()
        trouble = self.network.add_trouble(
            [source.ip for source in sources], [target.ip for target in targets], passage
        )
        self.watcher.on_change()
        return trouble

    def cut_both_ways(self, one: Iterable[Machine], other: Iterable[Machine]) -> list[Trouble]:
        """Packets are lost in both directions from now on."""
        first, second = tuple(one), tuple(other)
        return [self.cut(first, second, Passage.LOSING), self.cut(second, first, Passage.LOSING)]

    def end_trouble(self, trouble: Trouble) -> None:
        """One trouble of the links is over."""
        self.watcher.on_change()
        self.network.end_trouble(trouble)
        self.watcher.on_change()

    # --- operators ----------------------------------------------------------------------------------

    def order(self, process: ControlProcess, body: bytes, generation: int) -> Call | None:
        """Order a configuration at a control process."""
        return self._begin(process, Change(ChangeKind.PUT_CONFIGURATION, body, generation))

    def read(self, process: ControlProcess) -> Call | None:
        """Ask a control process for the newest state."""
        return self._begin(process, None)

    def _begin(self, process: ControlProcess, change: Change | None) -> Call | None:
        if not process.is_running or process.is_frozen:
            return None
        self._calls += 1
        call = self.calls[self._calls] = Call(self._calls, process, change, self.now)
        process.submit(call)
        return call

    def on_reply(self, number: int, result: Committed | Failure) -> None:
        """A control process answers a call."""
        call = self.calls.pop(number, None)
        if call is None:
            return
        self.answers.append((call, result))
        self.watcher.on_reply(call, result)
        if isinstance(result, Committed):
            self.acknowledged.append(Acknowledged(self.now, result.state.configuration_index))

    @property
    def generation(self) -> int:
        """The generation that an operator believes to be current: each acknowledged order added one."""
        return self.acknowledged[-1].index if self.acknowledged else 0

    def primary(self) -> ControlProcess | None:
        """Who says that it leads, the newest epoch first."""
        leading = [
            each
            for each in self.controls()
            if each.member.state.known_primary.member == each.member.me and not each.is_frozen
        ]
        return max(leading, key=lambda each: each.member.state.known_primary.epoch, default=None)


def seconds(count: float) -> int:
    """Nanoseconds."""
    return round(count * SECOND)
