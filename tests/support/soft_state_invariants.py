"""What must hold in a `soft_state_world.World`, and who is in contact with whom.

The watcher knows the links, so that it can tell contact from what a node believes of it. Of every control machine it
keeps when packets last got from it to a majority, and from a majority to it: nothing that it vouches for may be newer.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache

from canvasbeam.cluster.worker_items import worker_of
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.replication.control_state import Committed
from canvasbeam.replication.views import NO_EPOCH, Epoch, View, member_ip
from canvasbeam.service_discovery.worker_registry import Worker, WorkerState
from canvasbeam.units import MILLISECOND, SECOND
from tests.support.soft_state_world import HOMED_HOST, Call, ControlProcess, Drained, Machine, Process, Watcher, World

CONTACT = 4 * SECOND  # of two-way paths and a stable core, before anything is asked of a node
IN_FORCE = 3 * SECOND  # from an acknowledgement until every node in touch acts on it
NAMED_AFTER_END = CONTACT + 3 * SECOND
DIRECTORY_CHECKS = 8  # the directory is asked at every so many checks
COMES_BACK_FOR = 1_500 * MILLISECOND  # a node back from a cut may tell of an ended one, until tables are compared
SLACK = 100 * MILLISECOND
NEVER = -(10**15)
MOST_HOPS = 4  # more than relays allow

Electorate = frozenset[str]  # the addresses of machines


class ViolationError(AssertionError):
    """An invariant does not hold."""


class OldConfigurationError(ViolationError):
    """An edge in touch runs a configuration that was replaced too long ago."""


class AdoptionWentBackError(ViolationError):
    """A process adopted a configuration that is not newer than the one before."""


class MixedConfigurationError(ViolationError):
    """A process adopted entries that are not those that were published under their version."""


class AnswerWithoutContactError(ViolationError):
    """A control node confirmed, refused or acknowledged something without contact with a majority."""


class VouchedWithoutContactError(ViolationError):
    """A node says that it is in contact with the control nodes, and nothing that vouches for it is."""


class EndedNodeNamedError(ViolationError):
    """A directory names a node that ended long ago."""


class EmptyDirectoryError(ViolationError):
    """A directory names nobody although there are nodes."""


class DrainedWorkerInUseError(ViolationError):
    """An edge in touch takes a worker for ready that was told that nothing comes any more."""


class NoRecoveryError(ViolationError):
    """All trouble is over, and the system does not get well."""


@dataclass(slots=True)
class Span:
    """Since when something holds without a break."""

    since: int | None = None

    def note(self, now: int, holds: bool) -> None:
        """It holds now, or does not."""
        if not holds:
            self.since = None
        elif self.since is None:
            self.since = now

    def lasts(self, now: int, duration: int) -> bool:
        """Whether it has held for so long."""
        return self.since is not None and now - self.since >= duration


@dataclass(slots=True)
class Reach:
    """When packets last got from a control machine to each other one, and to it from them."""

    to_them_at: dict[str, int] = field(default_factory=dict)
    from_them_at: dict[str, int] = field(default_factory=dict)
    in_touch: Span = field(default_factory=Span)

    def note(self, now: int, to_them: Iterable[str], from_them: Iterable[str]) -> None:
        """Packets pass to these and from those now."""
        self.to_them_at.update(dict.fromkeys(to_them, now))
        self.from_them_at.update(dict.fromkeys(from_them, now))

    def contact_at(self, electorates: Iterable[Electorate]) -> int:
        """When there was contact with a majority at the latest: no confirmed round trip can be newer."""
        found = (
            min(_majority_at(self.to_them_at, electorate), _majority_at(self.from_them_at, electorate))
            for electorate in electorates
        )
        return max(found, default=NEVER)


class Invariants(Watcher):
    """Watches a world, and raises a violation."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.checks = 0
        self._reaches: dict[str, Reach] = {}
        self._contacts: dict[str, int] = {}  # of this observation
        self._edge_touch: dict[Process, Span] = {}
        self._vouched_at: dict[Process, int] = {}
        self._named: dict[tuple[ControlProcess, Machine], Span] = {}
        self._pairs: dict[tuple[ControlProcess, Process], Span] = {}
        self._leadership: tuple[Process, Epoch] | None = None
        self._stable = Span()
        self._electorates: list[Electorate] = []
        self._newest_electorates: list[Electorate] = []
        self.drained: list[Drained] = []
        self.published: dict[Version, Mapping[str, bytes]] = {}
        world.watcher = self

    # --- events -------------------------------------------------------------------------------------

    def on_change(self) -> None:
        """Links or processes change."""
        self.observe()

    def on_parent(self, process: Process) -> None:
        """Whoever was the parent for a moment may have vouched."""
        self._observe_parent(process)

    def on_adopted(self, process: Process, item: Item) -> None:
        """Adoption is monotone within one incarnation, and what is adopted is what was published."""
        check_adoption_is_monotone(process, item.version)
        check_adopted_as_published(self, process, item)

    def on_reply(self, call: Call, result: Committed | Failure) -> None:
        """Whoever confirms or refuses had contact since the call began."""
        check_answered_in_contact(self, call, result)

    def on_worker_acknowledged(self, process: ControlProcess) -> None:
        """Whoever acknowledges a worker's heartbeat had contact lately."""
        check_acknowledged_in_contact(self, process)

    def check(self) -> None:
        """All that is asked of the nodes at this moment."""
        self.checks += 1
        self.observe()
        for control in self.world.controls():
            check_control_vouches_in_contact(self, control)
            if self.checks % DIRECTORY_CHECKS == 0:
                check_directory(self, control)
        wanted = self._index_in_force()
        for edge in self.world.edges():
            check_edge_is_vouched_for(self, edge)
            if self.is_in_touch(edge):
                check_newest_in_force(self, edge, wanted)
                check_drained_workers(self, edge)

    # --- what is asked ------------------------------------------------------------------------------

    def reach(self, machine: Machine) -> Reach:
        """What is known of a control machine."""
        return self._reaches.setdefault(machine.name, Reach())

    def contact_at(self, machine: Machine) -> int:
        """When a control machine had contact with a majority at the latest."""
        if machine.name not in self._contacts:
            self._contacts[machine.name] = self.reach(machine).contact_at(self._electorates)
        return self._contacts[machine.name]

    def vouched_at(self, edge: Process) -> int:
        """The newest contact that any parent of an edge had while it was the parent, or that of its own parents."""
        return self._vouched_at.get(edge, NEVER)

    def is_in_touch(self, edge: Process) -> bool:
        """Whether an edge could reach all that vouch, for long enough, while the core was stable."""
        now = self.world.now
        span = self._edge_touch.get(edge)
        return span is not None and span.lasts(now, CONTACT) and self._stable.lasts(now, CONTACT)

    def is_control_in_touch(self, control: ControlProcess, duration: int = CONTACT) -> bool:
        """Whether a control process had two-way paths to a majority for so long."""
        return self.reach(control.machine).in_touch.lasts(self.world.now, duration)

    def reaches(self, control: ControlProcess, edge: Process) -> bool:
        """Whether both had a two-way path to each other for long enough, and the edge knew of the control process."""
        span = self._pairs.get((control, edge))
        return span is not None and span.lasts(self.world.now, CONTACT)

    def has_long_been_named(self, control: ControlProcess, machine: Machine, is_named: bool) -> bool:
        """Whether a directory has named an ended node for longer than a comparison of tables takes."""
        span = self._named.setdefault((control, machine), Span())
        span.note(self.world.now, is_named)
        return span.lasts(self.world.now, COMES_BACK_FOR)

    def _index_in_force(self) -> int:
        until = self.world.now - IN_FORCE
        return max((change.index for change in self.world.acknowledged if change.at <= until), default=0)

    # --- contact ------------------------------------------------------------------------------------

    def observe(self) -> None:
        """Note who reaches whom now. Between two observations no link changes."""
        self._contacts.clear()
        self._observe_electorates()
        controls = self.world.controls()
        live = [control for control in controls if not control.is_frozen]
        for control in controls:
            self._observe_control(control, live)
        in_touch = [each for each in live if self.reach(each.machine).in_touch.since is not None]
        for edge in self.world.edges():
            self._observe_edge(edge, live, in_touch)
        self._observe_leadership()

    def _observe_electorates(self) -> None:
        views: list[View] = []
        for control in self.world.controls():
            views += [
                each
                for each in (control.member.state.known_view.view, control.member.state.witness.accepted)
                if each is not None
            ]
        newest = max(views, key=lambda view: view.epoch, default=None)
        self._electorates = list(dict.fromkeys(electorate for view in views for electorate in _electorates(view)))
        self._newest_electorates = [] if newest is None else _electorates(newest)

    def _observe_control(self, control: ControlProcess, live: list[ControlProcess]) -> None:
        now, network, reach = self.world.now, self.world.network, self.reach(control.machine)
        if control.is_frozen:
            reach.in_touch.note(now, False)
            return
        own = control.machine.ip
        others = [other.machine.ip for other in live if other is not control]
        to_them = [own, *(other for other in others if not network.passage(own, other))]
        # What was held on the way arrives when the way opens, even if its sender has ended since.
        senders = [machine.ip for machine in self.world.machines.values() if machine.is_control]
        from_them = [sender for sender in senders if not network.passage(sender, own)]
        both = [ip for ip in to_them if ip in from_them]
        reach.note(now, to_them, from_them)
        holds = bool(self._newest_electorates) and all(
            _is_majority(both, newest_electorate) for newest_electorate in self._newest_electorates
        )
        reach.in_touch.note(now, holds)

    def _observe_edge(self, edge: Process, live: list[ControlProcess], in_touch: list[ControlProcess]) -> None:
        now, network = self.world.now, self.world.network
        own = edge.machine.ip
        for control in live:
            span = self._pairs.setdefault((control, edge), Span())
            is_two_way = not edge.is_frozen and network.is_two_way(own, control.machine.ip)
            span.note(now, is_two_way and self._knows(edge, control))
        reaches_all = not edge.is_frozen and all(network.is_two_way(own, node.machine.ip) for node in in_touch)
        knows_one = reaches_all and any(self._knows(edge, node) for node in in_touch)
        span = self._edge_touch.setdefault(edge, Span())
        span.note(now, knows_one)
        self._observe_parent(edge)

    def _observe_parent(self, edge: Process, hops: int = 0) -> int:
        """Note what may have been vouched for by now, by way of all parents above an edge."""
        parent = edge.core.distribution.link.parent
        contact_at = NEVER
        if parent is not None and hops <= MOST_HOPS:
            machine = self.world.machines_by_ip[parent.address.host]
            if machine.is_control:
                contact_at = self.contact_at(machine)
            elif machine.process is not None:
                contact_at = self._observe_parent(machine.process, hops + 1)
        self._vouched_at[edge] = max(contact_at, self.vouched_at(edge))
        return self._vouched_at[edge]

    def _knows(self, edge: Process, control: ControlProcess) -> bool:
        if control.address in edge.machine.seeds:
            return True
        return edge.core.table.get(ItemKind.MEMBER, control.machine.key) is not None

    def _observe_leadership(self) -> None:
        primary = self.world.primary()
        leadership = None if primary is None else (primary, primary.member.state.known_primary.epoch)
        is_same = leadership is not None and leadership == self._leadership
        self._leadership = leadership
        leads = primary is not None and self.reach(primary.machine).in_touch.since is not None
        if not is_same:
            self._stable.note(self.world.now, False)
        self._stable.note(self.world.now, leads and leadership is not None and leadership[1] != NO_EPOCH)


# --- the invariants -------------------------------------------------------------------------------------------------


def check_newest_in_force(watch: Invariants, edge: Process, wanted: int) -> None:
    """In touch means in force within the bound."""
    if edge.configuration_index < wanted:
        raise OldConfigurationError(
            f"{edge.machine.name} runs {edge.configuration_index} at {watch.world.now / SECOND:.2f} s;"
            f" {wanted} was acknowledged over {IN_FORCE / SECOND} s before; parent {edge.core.distribution.link.parent}"
        )


def check_adoption_is_monotone(process: Process, version: Version) -> None:
    """Adoption never goes back within one incarnation of a process."""
    if process.adopted and version <= process.adopted[-1]:
        raise AdoptionWentBackError(f"{process.machine.name} adopted {version} after {process.adopted[-1]}")


def check_adopted_as_published(watch: Invariants, process: Process, item: Item) -> None:
    """The entries of a version are the same at all nodes: those of the control node that published it first."""
    assert item.document is not None
    entries = item.document.entries
    if watch.published.setdefault(item.version, entries) != entries:
        raise MixedConfigurationError(
            f"{process.machine.name} adopted other entries as {item.version} than were published"
        )


def check_answered_in_contact(watch: Invariants, call: Call, result: Committed | Failure) -> None:
    """A node confirms or refuses only what it could confirm with a majority since the call began."""
    if isinstance(result, Failure) and result.code is not ResultCode.CONFIG_STALE_MATCH:
        return
    watch.observe()
    contact_at = watch.contact_at(call.process.machine)
    if contact_at < call.began_at:
        raise AnswerWithoutContactError(
            f"{call.process.machine.name} answered {result} to a call of {call.began_at / SECOND:.2f} s,"
            f" and had its last contact at {contact_at / SECOND:.2f} s"
        )


def check_acknowledged_in_contact(watch: Invariants, control: ControlProcess) -> None:
    """A heartbeat is acknowledged only by a node whose last contact is recent."""
    watch.observe()
    silence = watch.world.now - watch.contact_at(control.machine)
    if silence > control.core.parameters.contact_timeout_ns + SLACK:
        raise AnswerWithoutContactError(
            f"{control.machine.name} acknowledged a worker {silence / SECOND:.2f} s after contact"
        )


def check_control_vouches_in_contact(watch: Invariants, control: ControlProcess) -> None:
    """A control node takes itself for in contact only for a short time after contact was possible."""
    if control.is_frozen:
        return
    silence = watch.world.now - watch.contact_at(control.machine)
    if silence > control.core.parameters.contact_timeout_ns + SLACK and control.core.has_majority(control.now):
        raise VouchedWithoutContactError(
            f"{control.machine.name} says so {silence / SECOND:.2f} s after its last contact"
        )


def check_edge_is_vouched_for(watch: Invariants, edge: Process) -> None:
    """The age that reaches an edge is that of the last contact of a parent, not of a hop."""
    if edge.is_frozen or not edge.core.has_majority(edge.now):
        return
    silence = watch.world.now - watch.vouched_at(edge)
    if silence > edge.core.parameters.contact_timeout_ns + SLACK:
        raise VouchedWithoutContactError(
            f"{edge.machine.name} takes itself for in touch {silence / SECOND:.2f} s after a parent was;"
            f" the present one: {edge.core.distribution.link.parent}"
        )


def check_directory(watch: Invariants, control: ControlProcess) -> None:
    """A directory in touch names nobody who ended long ago, and somebody while there is anybody.

    One that is told of an ended node anew, by a node that knows no better, finds that out at the next comparison.
    """
    if control.is_frozen or not watch.is_control_in_touch(control, NAMED_AFTER_END):
        return
    world = watch.world
    answers = {(zone, host): control.resolve(zone, host) for zone in sorted(world.zones) for host in ("", HOMED_HOST)}
    named = {front for answer in answers.values() for front in answer}
    for machine in world.edge_machines():
        is_ended = machine.process is None or not machine.process.is_running
        is_long_ended = is_ended and world.now - machine.ended_at > NAMED_AFTER_END
        if watch.has_long_been_named(control, machine, is_long_ended and f"{machine.ip}:80" in named):
            silence = (world.now - machine.ended_at) / SECOND
            raise EndedNodeNamedError(f"{control.machine.name} names {machine.name}, which ended {silence:.2f} s ago")
    if any(watch.reaches(control, edge) and edge.is_ready for edge in world.edges()):
        empty = [asked for asked, answer in answers.items() if not answer]
        if empty:
            raise EmptyDirectoryError(f"{control.machine.name} names nobody to clients of {empty}")


def check_drained_workers(watch: Invariants, edge: Process) -> None:
    """A worker that was acknowledged as draining gets nothing any more from an edge in touch."""
    for drained in watch.drained:
        if watch.world.now - drained.at < IN_FORCE:
            continue
        item = edge.core.table.get(ItemKind.WORKER, drained.worker)
        if item is None or item.deleted or item.version.major > drained.sequence:
            continue
        worker = worker_of(item)
        if isinstance(worker, Worker) and worker.state is WorkerState.READY:
            raise DrainedWorkerInUseError(f"{edge.machine.name} takes {drained.worker} for ready, {item.version}")


# --- majorities -----------------------------------------------------------------------------------------------------


@lru_cache(maxsize=1024)
def _electorates(view: View) -> list[Electorate]:
    return [
        frozenset(member_ip(witness) for witness in witnesses)
        for witnesses in (view.witnesses, view.previous_witnesses)
    ]


def _is_majority(ips: Iterable[str], electorate: Electorate) -> bool:
    return 2 * sum(ip in electorate for ip in ips) > len(electorate)


def _majority_at(times: dict[str, int], electorate: Electorate) -> int:
    """When the last one came that made a majority."""
    newest = sorted((times.get(member, NEVER) for member in electorate), reverse=True)
    return newest[len(electorate) // 2]
