"""A small simulated system over the real replication modules: members, their disks, a network, and an operator.

Whoever drives it chooses each event; the world carries it out and checks after each one that what was acknowledged
holds. The control state is a list of tags: a change adds its tag once, at the version (index) that it names.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from enum import IntEnum
from functools import partial

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import Change, ChangeKind, Committed, ControlState
from canvasbeam.replication.durability import Outbox
from canvasbeam.replication.durable_state import DurableState, MemberSettings
from canvasbeam.replication.invariants import violated_invariants
from canvasbeam.replication.member import Member
from canvasbeam.replication.messages import (
    AFTER_SYNC,
    Action,
    Message,
    Publish,
    Reply,
    Save,
    SaveChange,
    SaveCommitted,
    SaveInstalled,
    SaveWitness,
    Send,
    SendToAddress,
)
from canvasbeam.replication.primary import Primary
from canvasbeam.replication.primary_role import PrimaryRole
from canvasbeam.replication.roles import Role
from canvasbeam.replication.snapshots import CHUNK_BYTES
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import GENESIS_DISK, Epoch, MemberId, genesis_view, member_id, member_ip

STEP_NS = 50_000_000
LATENCY_NS = 55_000_000  # one way, between regions
SYNC_TIME_NS = 5_000_000
ANY_VERSION = -1
Tags = tuple[str, ...]


class InvariantError(AssertionError):
    """An invariant does not hold."""


def apply_tag(state: ControlState, change: Change) -> ControlState | Failure:
    """Add a tag, if the version matches; a tag that is there already was taken before."""
    if change.zone in state.evacuated_zones:
        return state
    if change.if_match not in (ANY_VERSION, state.index):
        return Failure(ResultCode.CONFIG_STALE_MATCH, "another version is current")
    return replace(state, index=state.index + 1, evacuated_zones=(*state.evacuated_zones, change.zone))


class TagCodec:
    """The bytes of a state of tags, with more bytes that depend on it, so that a state may count as large."""

    def __init__(self, more_bytes: int) -> None:
        self._more_bytes = more_bytes

    def encode_state(self, state: ControlState) -> bytes:
        text = f"{state.index} {' '.join(state.evacuated_zones)}".encode()
        return text + b"\0" + random.Random(text).randbytes(self._more_bytes)

    def decode_state(self, data: bytes) -> ControlState | Failure:
        index, *tags = data.partition(b"\0")[0].decode().split()
        return ControlState(index=int(index), evacuated_zones=tuple(tags))


def stored(durable: DurableState, saves: Iterable[Save]) -> DurableState:
    """What is on the disk after more saves."""
    for save in saves:
        match save:
            case SaveWitness():
                durable = replace(durable, promised=save.promised, accepted=save.accepted, in_force=save.in_force)
            case SaveInstalled():
                state = durable.state if save.state is None else save.state
                durable = replace(durable, installed=save.epoch, state=state)
            case SaveChange():
                durable = replace(durable, state=save.state)
            case SaveCommitted():
                durable = replace(durable, committed=save.index)
    return durable


@dataclass
class Machine:
    """One machine: its disk, and its process while it runs."""

    ip: str
    me: MemberId
    durable: DurableState
    member: Member | None = None
    outbox: Outbox | None = None
    writing: list[Save] | None = None
    published: int = 0  # the highest index published in this life


@dataclass(frozen=True)
class Packet:
    """A message on its way."""

    sender: MemberId
    to_ip: str
    message: Message
    sent_at: int


@dataclass
class Call:
    """A call of the operator."""

    machine: str
    tag: str | None  # None of a read
    if_match: int
    acknowledged_before: frozenset[str]
    began: int


def primary_part_of(member: Member | None) -> Primary | None:
    """The primary's part of a member, while it acts as one."""
    machine = None if member is None else member._machine
    return machine.primary if isinstance(machine, PrimaryRole) else None


class ReplicationSimulation:
    """All of it, and the invariants."""

    def __init__(
        self,
        machines: int = 3,
        tolerated: int = 1,
        seeds: int | None = None,
        timing: ReplicationTiming | None = None,
        *,
        chunk_bytes: int | None = None,
        state_bytes: int = 0,
    ) -> None:
        """States go in pieces where `piece_bytes` is given; each counts `state_bytes` more than its tags."""
        self.now = 0
        self.chunk_bytes = chunk_bytes
        self.state_codec = TagCodec(state_bytes) if chunk_bytes else None
        self.change_bytes = 0  # of the body of each change
        self.timing = timing or ReplicationTiming()
        self.frozen: set[str] = set()
        self.tolerated = tolerated
        ips = [f"10.0.0.{number}" for number in range(1, machines + 1)]
        self.seed_ips = tuple(ips[: seeds or machines])
        view = genesis_view(self.seed_ips)
        self.machines: dict[str, Machine] = {}
        for ip in ips:
            me = member_id(ip, GENESIS_DISK if ip in self.seed_ips else "a")
            self.machines[ip] = Machine(ip, me, DurableState.genesis(view) if ip in self.seed_ips else DurableState())
        self.packets: list[Packet] = []
        self.partitions: set[tuple[str, str]] = set()
        self.calls: dict[int, Call] = {}
        self.acknowledged: set[str] = set()
        self.refused: set[str] = set()
        self.answers: list[tuple[Call, Committed | Failure]] = []
        self.longest: Tags = ()
        self.leaders: dict[Epoch, MemberId] = {}
        self._lost_tags: set[str] = set()  # of calls whose answer was lost
        self._calls = 0
        self._lives = 0
        self._tags = 0
        for ip in ips:
            self.start(ip)

    # --- events -----------------------------------------------------------------------------------------------

    def start(self, ip: str) -> None:
        machine = self.machines[ip]
        if machine.member is not None:
            return
        self._lives += 1
        settings = MemberSettings(
            machine.me,
            self.seed_ips,
            self.tolerated,
            self.timing,
            seed=self._lives,
            chunk_bytes=self.chunk_bytes or CHUNK_BYTES,
        )
        machine.outbox = Outbox()
        machine.writing = None
        machine.published = 0
        machine.member = Member(settings, machine.durable, apply_tag, apply_tag, self.now, codec=self.state_codec)
        self._perform(machine, machine.member.begin())

    def crash(self, ip: str, keep_unsynced: bool) -> None:
        """The process or the power goes; what was being written is there or not."""
        machine = self.machines[ip]
        if machine.writing is not None and keep_unsynced:
            machine.durable = stored(machine.durable, machine.writing)
        machine.member = machine.outbox = machine.writing = None
        self._drop_calls(ip)

    def remove(self, ip: str) -> None:
        """The machine is gone for good."""
        self.crash(ip, keep_unsynced=False)
        self.frozen.discard(ip)
        del self.machines[ip]

    def add(self, ip: str, seed_ips: tuple[str, ...]) -> str:
        """An empty machine, with its own list of seeds."""
        self._lives += 1
        self.seed_ips = seed_ips
        self.machines[ip] = Machine(ip, member_id(ip, f"n{self._lives}"), DurableState())
        self.start(ip)
        return ip

    def wipe(self, ip: str) -> None:
        """The machine is without power and its disk is lost: it will be a new member."""
        self.crash(ip, keep_unsynced=False)
        machine = self.machines[ip]
        self._lives += 1
        machine.me = member_id(ip, f"w{self._lives}")
        machine.durable = DurableState()

    def sync(self, ip: str) -> None:
        """The disk finishes what it writes, and begins the next batch."""
        machine = self.machines[ip]
        if machine.outbox is None or machine.writing is None:
            return
        machine.durable = stored(machine.durable, machine.writing)
        machine.writing = None
        for held in machine.outbox.batch_durable():
            self._send(machine, held)
        self._begin_write(machine)

    def deliver(self, packet: Packet) -> None:
        """A packet arrives, unless its way is cut or its receiver is down. It may be for one before it."""
        machine = self.machines.get(packet.to_ip)
        if packet.to_ip in self.frozen:
            self.packets.append(packet)
            return
        if machine is None or machine.member is None or (member_ip(packet.sender), packet.to_ip) in self.partitions:
            return
        self._perform(machine, machine.member.receive(packet.sender, packet.message, self.now))

    def tick(self, ip: str) -> None:
        machine = self.machines[ip]
        if machine.member is not None and ip not in self.frozen:
            self._perform(machine, machine.member.tick(self.now))

    def set_healthy(self, ip: str, healthy: bool) -> None:
        machine = self.machines[ip]
        if machine.member is not None:
            self._perform(machine, machine.member.set_healthy(healthy, self.now))

    def submit(self, ip: str, tag: str | None = None, if_match: int = ANY_VERSION) -> str:
        """Order a change at a machine; a new tag unless one is given."""
        if tag is None:
            self._tags += 1
            tag = f"t{self._tags}"
        self.refused.discard(tag)  # tried once more, it may be taken
        machine = self.machines[ip]
        if machine.member is not None and ip not in self.frozen:
            number = self._begin_call(ip, tag, if_match)
            change = Change(ChangeKind.START_EVACUATION, bytes(self.change_bytes), if_match, tag)
            self._perform(machine, machine.member.submit(number, change, self.now))
        return tag

    def read(self, ip: str) -> None:
        machine = self.machines[ip]
        if machine.member is not None and ip not in self.frozen:
            number = self._begin_call(ip, None, ANY_VERSION)
            self._perform(machine, machine.member.read(number, self.now))

    def partition(self, one: str, other: str, both_ways: bool = True) -> None:
        self.partitions.add((one, other))
        if both_ways:
            self.partitions.add((other, one))

    # --- orderly progress -------------------------------------------------------------------------------------

    def run(self, steps: int) -> None:
        """Time passes with every message and every write in order and in time."""
        for _ in range(steps):
            self.now += STEP_NS
            for ip in self.machines:
                self.tick(ip)
            self.settle()

    def settle(self) -> None:
        """Deliver and sync until nothing is on its way. Heartbeats alone never keep this going."""
        kept: list[Packet] = []
        while self.packets or any(machine.writing is not None for machine in self.machines.values()):
            while self.packets:
                packet = self.packets.pop(0)
                if packet.to_ip in self.frozen:
                    kept.append(packet)
                else:
                    self.deliver(packet)
            for ip in self.machines:
                self.sync(ip)
        self.packets = kept

    def run_between_regions(self, duration: int) -> None:
        """Time passes; a message between machines takes `LATENCY`, a write `SYNC_TIME`."""
        end = self.now + duration
        while self.now < end:
            self.now += SYNC_TIME_NS
            if self.now % STEP_NS == 0:
                for ip in self.machines:
                    self.tick(ip)
            for ip in self.machines:
                self.sync(ip)
            self._deliver_due()

    def _deliver_due(self) -> None:
        due = [packet for packet in self.packets if self._is_due(packet)]
        while due:
            self.packets = [packet for packet in self.packets if packet not in due]
            for packet in due:
                self.deliver(packet)
            due = [packet for packet in self.packets if self._is_due(packet) and packet.to_ip not in self.frozen]

    def _is_due(self, packet: Packet) -> bool:
        local = member_ip(packet.sender) == packet.to_ip
        return local or self.now - packet.sent_at >= LATENCY_NS

    def primary(self) -> str | None:
        for ip, machine in self.machines.items():
            if machine.member is not None and machine.member.role is Role.PRIMARY and ip not in self.frozen:
                return ip
        return None

    def end_faults(self) -> None:
        self.partitions.clear()
        self.frozen.clear()
        for ip in self.machines:
            self.start(ip)
            self.set_healthy(ip, True)

    def recover(self) -> None:
        """Everything comes back, and within the bound for that a change is acknowledged and everything found."""
        self.end_faults()
        tag = None
        for _ in range(120):
            self.run(1)
            ip = self.primary()
            if ip is None:
                continue
            tag = self.submit(ip, tag)
            self.settle()
            if tag in self.acknowledged:
                break
        else:
            raise InvariantError(f"no change was acknowledged within 6 s of the end of all trouble: {self.describe()}")
        for _ in range(80):
            self.run(1)
            if self._is_recovered():
                break
        self._check_fully_replicated()

    def _is_recovered(self) -> bool:
        everybody = {machine.me for machine in self.machines.values()}
        views = [machine.durable.accepted for machine in self.machines.values()]
        return all(view is not None and view == views[0] and set(view.replicas) == everybody for view in views)

    # --- invariants -------------------------------------------------------------------------------------------

    def _check_fully_replicated(self) -> None:
        """After a recovery every machine is a replica again, and has everything."""
        ip = self.primary()
        if ip is None:
            raise InvariantError(f"no primary after the recovery: {self.describe()}")
        member = self.machines[ip].member
        assert member is not None
        assert member.state.known_view.view is not None
        everybody = {machine.me for machine in self.machines.values()}
        if set(member.state.known_view.view.replicas) != everybody:
            raise InvariantError(f"not everybody is a replica again: {self.describe()}")
        for machine in self.machines.values():
            if not self.acknowledged <= set(machine.durable.state.evacuated_zones):
                raise InvariantError(f"{machine.me} lacks what was acknowledged")

    def _check_member(self, machine: Machine) -> None:
        member = machine.member
        broken = [] if member is None else violated_invariants(member.state, member.role, member.leadership)
        if broken:
            raise InvariantError(f"{machine.me}: {'; '.join(broken)}")

    def _on_publish(self, machine: Machine, state: ControlState) -> None:
        if state.index <= machine.published:
            raise InvariantError(f"{machine.me} published {state.index} after {machine.published}")
        machine.published = state.index
        self._check_chain(state.evacuated_zones)

    def _check_chain(self, tags: Tags) -> None:
        """All committed states are beginnings of one list: one winner for each version."""
        shorter, longer = sorted((tags, self.longest), key=len)
        if longer[: len(shorter)] != shorter:
            raise InvariantError(f"two histories were committed: {shorter} and {longer}")
        self.longest = longer
        both = self.refused.intersection(longer)
        if both:
            raise InvariantError(f"{both} were refused and are committed")

    def _on_reply(self, machine: Machine, number: int, result: Committed | Failure) -> None:
        call = self.calls.pop(number, None)
        if call is None:
            return
        self.answers.append((call, result))
        if isinstance(result, Committed):
            self._on_committed(machine, call, result.state.evacuated_zones)
        elif result.code is ResultCode.CONFIG_STALE_MATCH:
            self._on_refused(call)

    def _on_committed(self, machine: Machine, call: Call, tags: Tags) -> None:
        self._check_chain(tags)
        missing = call.acknowledged_before.difference(tags)
        if missing:
            raise InvariantError(f"{missing} were acknowledged before a call that was answered without them")
        if call.tag is not None:
            if call.tag not in tags:
                raise InvariantError(f"{call.tag} was acknowledged with a state that lacks it")
            self.acknowledged.add(call.tag)
        assert machine.member is not None
        epoch = machine.member.state.known_primary.epoch
        if self.leaders.setdefault(epoch, machine.me) != machine.me:
            raise InvariantError(f"two primaries acknowledged in {epoch}")

    def _on_refused(self, call: Call) -> None:
        if call.tag in call.acknowledged_before:
            raise InvariantError(f"{call.tag} was refused after it had been acknowledged")
        if call.tag is not None and not self._is_tried_elsewhere(call.tag):
            self.refused.add(call.tag)
            self._check_chain(self.longest)

    def _is_tried_elsewhere(self, tag: str) -> bool:
        """Whether another call carries the tag, which may then be taken after this refusal."""
        tries = [call for call, _ in self.answers if call.tag == tag]
        return len(tries) > 1 or any(call.tag == tag for call in self.calls.values()) or tag in self._lost_tags

    # --- machinery --------------------------------------------------------------------------------------------

    def _begin_call(self, ip: str, tag: str | None, if_match: int) -> int:
        self._calls += 1
        self.calls[self._calls] = Call(ip, tag, if_match, frozenset(self.acknowledged), self.now)
        return self._calls

    def _drop_calls(self, ip: str) -> None:
        for number in [name for name, call in self.calls.items() if call.machine == ip]:
            call = self.calls.pop(number)
            if call.tag is not None:
                self._lost_tags.add(call.tag)

    def _perform(self, machine: Machine, actions: list[Action]) -> None:
        assert machine.outbox is not None
        for action in machine.outbox.take(actions):
            match action:
                case Send() | SendToAddress():
                    self._send(machine, action)
                case Reply(call=call, result=result):
                    self._on_reply(machine, call, result)
                case Publish(state=state):
                    self._on_publish(machine, state)
        self._check_member(machine)
        self._begin_write(machine)

    def _begin_write(self, machine: Machine) -> None:
        if machine.outbox is not None and machine.writing is None and machine.outbox.has_unwritten:
            machine.writing = machine.outbox.next_batch()

    def _send(self, machine: Machine, action: Send | SendToAddress) -> None:
        if isinstance(action, SendToAddress):
            self.packets.append(Packet(machine.me, action.ip, action.message, self.now))
        else:
            self.packets.append(Packet(machine.me, member_ip(action.to), action.message, self.now))

    def describe(self) -> str:
        """For the message of a violation."""
        lines = []
        for machine in self.machines.values():
            member = machine.member
            role = "down" if member is None else f"{member.role.name} knows {member.state.known_view.view}"
            lines.append(f"{machine.me}: {role}; disk {machine.durable}")
        return "\n".join(lines)


# Members that give up on each other at once: what is safe must not depend on patience.
IMPATIENT_TIMING = ReplicationTiming(
    unresponsive_after_ns=2 * STEP_NS,
    election_timeout_ns=2 * STEP_NS,
    election_rank_step_ns=0,
    first_election_timeout_ns=STEP_NS,
    phase_timeout_ns=40 * STEP_NS,
    answer_grace_ns=0,
    steady_after_ns=STEP_NS,
    readmission_delay_ns=STEP_NS,
    replaceable_after_ns=10 * STEP_NS,
)


def is_fully_replicated(simulation: ReplicationSimulation, except_for: str = "") -> bool:
    """Whether every other machine has stored the same settled view with everybody in it: one may lose its disk."""
    others = [machine for machine in simulation.machines.values() if machine.ip != except_for]
    accepted = others[0].durable.accepted
    everybody = {machine.me for machine in simulation.machines.values()}
    if accepted is None or set(accepted.replicas) != everybody or set(accepted.witnesses) != everybody:
        return False
    return all(
        other.durable.accepted == accepted and other.durable.in_force and other.durable.installed == accepted.epoch
        for other in others
    )


class FaultKind(IntEnum):
    """What a walk may do to a machine; a walk draws some of them."""

    CRASH = 0
    CRASH_ALL = 1
    LOSE_DISK = 2
    PARTITION = 3
    ISOLATE = 4
    CHANGE_HEALTH = 5
    CRASH_PRIMARY = 6
    FREEZE_OR_THAW = 7
    BLINK = 8
    LOSE_MACHINE = 9


class RandomWalk:
    """Chooses events by chance: mostly progress, with every kind of trouble in between."""

    def __init__(self, seed: int, machines: int = 3, tolerated: int = 1, seeds: int = 3) -> None:
        self._chance = random.Random(seed)
        is_impatient = self._chance.random() < 0.4
        chunk_bytes = self._chance.choice((None, 16, 100))
        self.simulation = ReplicationSimulation(
            machines, tolerated, seeds, IMPATIENT_TIMING if is_impatient else None, chunk_bytes=chunk_bytes
        )
        self.is_tolerable = not is_impatient  # no more was lost than is tolerated, so that all must come back
        self._delayed_packets: list[Packet] = []
        self._replaced = 0
        self._kinds = self._chance.sample(range(len(FaultKind)), self._chance.randrange(1, 5))
        self._recovery_rate = self._chance.choice((0.02, 0.05, 0.1))
        self._long_delay_rate = self._chance.choice((0.0, 0.0, 0.05))
        self._loss_rate = self._chance.choice((0.0, 0.02, 0.1))
        self._delay_rate = self._chance.choice((0.0, 0.1, 0.4))
        self._fault_rate = self._chance.choice((0.01, 0.04, 0.1))
        self._sync_rate = self._chance.choice((0.15, 0.4, 0.9))
        self._strike_rate = self._chance.choice((0.0, 0.1, 0.3))  # at once after an acknowledgement
        self._power_blink_rate = self._chance.choice(
            (0.0, 0.05, 0.3)
        )  # the sender of what vouches for its disk loses power
        self._extra_disk_losses = self._chance.choice((0, 0, 1, 3))  # whatever else is lost
        self._recent_tags: list[str] = []

    def run(self, steps: int) -> None:
        """Trouble first, then its end: everything must come back where it was bearable."""
        for _ in range(steps):
            self.step()
        if self.is_tolerable:
            self.simulation.recover()
        else:
            self.simulation.end_faults()
            self.simulation.run(60)

    def step(self) -> None:
        simulation, chance = self.simulation, self._chance
        simulation.now += STEP_NS
        ips = list(simulation.machines)
        for ip in ips:
            if chance.random() < 0.95:
                simulation.tick(ip)
        if chance.random() < 0.5:
            self._operate(chance.choice(ips))
        if chance.random() < self._fault_rate:
            self._inject_fault(chance.choice(ips))
        if chance.random() < self._recovery_rate:
            simulation.end_faults()
        if self._delayed_packets and chance.random() < 0.2:
            simulation.packets.append(self._delayed_packets.pop(chance.randrange(len(self._delayed_packets))))
        self._pass_messages()

    def _pass_messages(self) -> None:
        """Deliver what is in flight, in any order, with losses, copies and delays."""
        simulation, chance = self.simulation, self._chance
        for _ in range(chance.choice((1, 3, 6))):
            packets, simulation.packets = simulation.packets, []
            chance.shuffle(packets)
            for packet in packets:
                self._pass_message(packet)
            for ip in simulation.machines:
                if chance.random() < self._sync_rate:
                    self._sync_one(ip)

    def _pass_message(self, packet: Packet) -> None:
        simulation, chance = self.simulation, self._chance
        fate = chance.random()
        if fate < self._delay_rate:
            simulation.packets.append(packet)
            return
        if fate < self._delay_rate + self._loss_rate:
            return
        if chance.random() < self._long_delay_rate:
            self._delayed_packets.append(packet)
            return
        acknowledged = len(simulation.acknowledged)
        simulation.deliver(packet)
        if len(simulation.acknowledged) > acknowledged and chance.random() < self._strike_rate:
            self._strike_after_acknowledgement()
        if isinstance(packet.message, AFTER_SYNC) and chance.random() < self._power_blink_rate:
            self._lose_power_for_a_moment(member_ip(packet.sender))
        if chance.random() < 0.03:
            simulation.packets.append(packet)
        if chance.random() < self._fault_rate / 40:
            self._inject_fault(chance.choice(list(simulation.machines)))

    def _operate(self, ip: str) -> None:
        simulation, chance = self.simulation, self._chance
        primary = simulation.primary()
        if primary is not None and chance.random() < 0.7:
            ip = primary
        kind = chance.random()
        if kind < 0.25:
            simulation.read(ip)
        elif kind < 0.45 and self._recent_tags:
            simulation.submit(ip, chance.choice(self._recent_tags[-4:]))
        elif kind < 0.75:
            version = len(simulation.longest)
            for _ in range(2):
                self._recent_tags.append(simulation.submit(chance.choice((ip, *simulation.machines)), if_match=version))
        else:
            self._recent_tags.append(simulation.submit(ip))

    def _inject_fault(self, ip: str) -> None:
        other = self._chance.choice(list(self.simulation.machines))
        faults: dict[int, Callable[[str], None]] = {
            FaultKind.CRASH: self._crash,
            FaultKind.CRASH_ALL: self._crash_all,
            FaultKind.LOSE_DISK: partial(self._lose_disk, replaced=False),
            FaultKind.PARTITION: partial(self._partition, other),
            FaultKind.ISOLATE: self._isolate,
            FaultKind.CHANGE_HEALTH: self._change_health,
            FaultKind.CRASH_PRIMARY: self._crash_primary,
            FaultKind.FREEZE_OR_THAW: self._freeze_or_thaw,
            FaultKind.BLINK: self._lose_power_for_a_moment,
            FaultKind.LOSE_MACHINE: partial(self._lose_disk, replaced=True),
        }
        faults[self._chance.choice(self._kinds)](ip)

    def _partition(self, other: str, ip: str) -> None:
        if ip != other:
            self.simulation.partition(ip, other, both_ways=self._chance.random() < 0.6)

    def _crash(self, ip: str) -> None:
        self.simulation.crash(ip, keep_unsynced=self._chance.random() < 0.5)

    def _crash_all(self, _ip: str) -> None:
        for ip in self.simulation.machines:
            self._crash(ip)

    def _crash_primary(self, ip: str) -> None:
        self._crash(self.simulation.primary() or ip)

    def _isolate(self, ip: str) -> None:
        for other in self.simulation.machines:
            if other != ip:
                self.simulation.partition(ip, other, both_ways=self._chance.random() < 0.8)

    def _change_health(self, ip: str) -> None:
        self.simulation.set_healthy(ip, self._chance.random() < 0.5)

    def _lose_disk(self, ip: str, replaced: bool) -> None:
        if not self._may_wipe(ip):
            return
        if replaced:
            self._replace(ip)
        else:
            self._wipe(ip)

    def _replace(self, ip: str) -> None:
        """A machine is gone for good; an empty one comes at another address, and the seeds may be others."""
        simulation, chance = self.simulation, self._chance
        simulation.remove(ip)
        self._replaced += 1
        others = list(simulation.machines)
        new = simulation.add(
            f"10.0.1.{self._replaced}", tuple(chance.sample(others, chance.randrange(1, len(others) + 1)))
        )
        if chance.random() < 0.5:
            simulation.crash(new, keep_unsynced=False)

    def _freeze_or_thaw(self, ip: str) -> None:
        """A primary stands still, or goes on and answers calls before it has noticed."""
        frozen = sorted(self.simulation.frozen)
        if not frozen:
            self.simulation.frozen.add(self.simulation.primary() or ip)
            return
        self.simulation.frozen.clear()
        for each in frozen:
            self.simulation.read(each)
            self._recent_tags.append(self.simulation.submit(each))

    def _sync_one(self, ip: str) -> None:
        acknowledged = len(self.simulation.acknowledged)
        self.simulation.sync(ip)
        if len(self.simulation.acknowledged) > acknowledged and self._chance.random() < self._strike_rate:
            self._strike_after_acknowledgement()

    def _lose_power_for_a_moment(self, ip: str) -> None:
        if ip not in self.simulation.machines:
            return
        self.simulation.crash(ip, keep_unsynced=False)
        self.simulation.start(ip)

    def _strike_after_acknowledgement(self) -> None:
        """The worst moment: all lose power, or one its disk and perhaps the others power."""
        simulation, chance = self.simulation, self._chance
        ip = chance.choice(list(simulation.machines))
        if self._may_wipe(ip) and chance.random() < 0.5:
            self._wipe(ip)
        else:
            for machine in simulation.machines:
                simulation.crash(machine, keep_unsynced=chance.random() < 0.3)
        for machine in simulation.machines:
            if chance.random() < 0.8:
                simulation.start(machine)

    def _may_wipe(self, ip: str) -> bool:
        if is_fully_replicated(self.simulation, ip):
            return True
        if self._extra_disk_losses <= 0:
            return False
        self._extra_disk_losses -= 1
        self.is_tolerable = False
        return True

    def _wipe(self, ip: str) -> None:
        simulation, chance = self.simulation, self._chance
        if chance.random() < 0.5:
            for machine in simulation.machines:
                simulation.crash(machine, keep_unsynced=chance.random() < 0.5)
        simulation.wipe(ip)
