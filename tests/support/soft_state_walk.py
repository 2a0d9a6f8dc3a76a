"""Random walks through a `soft_state_world.World`.

Every kind of fault, several at once, while operators and workers go on. A walk is drawn from its seed alone, so that it
can be repeated.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.views import member_ip
from canvasbeam.runtime.settings import Address
from canvasbeam.units import MILLISECOND, SECOND
from tests.support.soft_state_invariants import Invariants, NoRecoveryError
from tests.support.soft_state_network import Passage, Trouble
from tests.support.soft_state_world import (
    Call,
    ControlProcess,
    Drained,
    Machine,
    Shape,
    World,
    seconds,
)

STEP = 50 * MILLISECOND
WARM_UP = 3 * SECOND
RECOVERY = 12 * SECOND
LONG_CUT = 20.0
LONGEST_LEAVE = 7 * SECOND
MOST_TROUBLES = 3
SHAPES = (
    Shape(controls=3),
    Shape(controls=5),
    Shape(controls=3, edges=12, edge_regions=1),
    Shape(controls=5, edges=8),
)


TroubleKind = Callable[["Walk"], None]


@dataclass
class Worker:
    """A worker, which says once a second how it stands, and drains at some time."""

    name: str
    sequence: int = 0
    is_draining: bool = False
    is_acknowledged: bool = False
    next_beat_at: int = 0


@dataclass
class Operator:
    """Orders one configuration after the other; what was not answered is sent again, perhaps elsewhere."""

    open_orders: list[tuple[bytes, int]] = field(default_factory=list)  # body and generation
    count: int = 0


class Walk:
    """One walk: `run` raises a violation where an invariant does not hold."""

    def __init__(self, seed: int, shape: Shape | None = None, kinds: Sequence[TroubleKind] = ()) -> None:
        chance = self.chance = random.Random(seed)
        self.world = World(seed, shape or chance.choice(SHAPES))
        self.watch = Invariants(self.world)
        self.story: list[str] = []
        self.events = 0
        self._operator = Operator()
        self._workers = [Worker(f"w{number}", next_beat_at=number * 100 * MILLISECOND) for number in range(4)]
        self._rate = chance.choice((0.02, 0.05, 0.1))  # of trouble in each step
        self._kinds = kinds or chance.sample(TROUBLES, chance.randrange(1, 5))
        self._ends: list[tuple[int, Callable[[], None]]] = []

    # --- the walk -----------------------------------------------------------------------------------

    def run(self, span: int) -> None:
        """A calm start, then trouble, then its end: all must get well."""
        self.world.begin()
        self._pass(WARM_UP, with_trouble=False)
        self._pass(span, with_trouble=True)
        self._end_all()
        self._pass(RECOVERY, with_trouble=False)
        self._check_recovered()

    def _pass(self, span: int, *, with_trouble: bool) -> None:
        end = self.world.now + span
        while self.world.now < end:
            self.events += self.world.run(STEP)
            self.watch.check()
            self._operate()
            self._beat()
            self._end_due()
            if not with_trouble:
                self._start_all()  # one that was still leaving has ended
            if with_trouble and len(self._ends) < MOST_TROUBLES and self.chance.random() < self._rate:
                kind = self.chance.choice(self._kinds)
                self._tell(kind.__name__)
                kind(self)

    def _check_recovered(self) -> None:
        acknowledged = [change for change in self.world.acknowledged if change.at > self.world.now - RECOVERY]
        if not acknowledged:
            raise NoRecoveryError(f"no order was acknowledged in the {RECOVERY / SECOND} s after all trouble")
        missing = [edge.machine.name for edge in self.world.edges() if not self.watch.is_in_touch(edge)]
        if missing:
            raise NoRecoveryError(f"these are not in touch: {missing}")

    def _tell(self, text: str) -> None:
        self.story.append(f"{self.world.now / SECOND:7.2f} {text}")

    # --- operators and workers ----------------------------------------------------------------------

    def _operate(self) -> None:
        chance, operator = self.chance, self._operator
        if chance.random() > 0.15:
            return
        controls = [control for control in self.world.controls() if not control.is_frozen]
        if not controls:
            return
        process = chance.choice(controls)
        kind = chance.random()
        if kind < 0.15 or self._was_refused():
            self._read(process)
        elif kind < 0.45 and operator.open_orders:
            self._order(process, *chance.choice(operator.open_orders[-4:]))
        else:
            operator.count += 1
            order = f"order {operator.count}".encode("ascii"), self.world.generation
            operator.open_orders.append(order)
            self._order(process, *order)
            if kind > 0.85:  # a rival for the same generation
                operator.count += 1
                rival = f"order {operator.count}".encode("ascii"), order[1]
                self._order(chance.choice(controls), *rival)

    def _was_refused(self) -> bool:
        """Whether the last order was for another generation than the current one: then that is asked for."""
        if not self.world.answers:
            return False
        result = self.world.answers[-1][1]
        return isinstance(result, Failure) and result.code is ResultCode.CONFIG_STALE_MATCH

    def _order(self, process: ControlProcess, body: bytes, generation: int) -> None:
        """Order at a control process, and at the primary where that is handed on at once."""
        primary = self._handed_on_to(process, self.world.order(process, body, generation))
        if primary is not None:
            self.world.order(primary, body, generation)

    def _read(self, process: ControlProcess) -> None:
        """Read at a control process, and at the primary where that is handed on at once."""
        primary = self._handed_on_to(process, self.world.read(process))
        if primary is not None:
            self.world.read(primary)

    def _handed_on_to(self, process: ControlProcess, call: Call | None) -> ControlProcess | None:
        """The primary, where the answer to a call names it."""
        if call is None or not self.world.answers:
            return None
        answered, result = self.world.answers[-1]
        if answered is call and isinstance(result, Failure) and result.code is ResultCode.NOT_PRIMARY:
            return self._process_at(member_ip(process.member.state.known_primary.member))
        return None

    def _process_at(self, ip: str) -> ControlProcess | None:
        return next((control for control in self.world.controls() if control.machine.ip == ip), None)

    def _beat(self) -> None:
        for worker in self._workers:
            if self.world.now >= worker.next_beat_at:
                self._send_heartbeat(worker)

    def _send_heartbeat(self, worker: Worker) -> None:
        now, chance = self.world.now, self.chance
        controls = [control for control in self.world.controls() if not control.is_frozen]
        if not worker.is_draining and chance.random() < 0.05:
            worker.is_draining = True
        worker.sequence += 1
        worker.next_beat_at = now + SECOND
        if not controls:
            return
        process, sequence, is_draining = chance.choice(controls), worker.sequence, worker.is_draining

        def on_answer(is_acknowledged: bool) -> None:
            if not is_acknowledged:
                worker.next_beat_at = min(worker.next_beat_at, self.world.now + 200 * MILLISECOND)
                return
            self.watch.on_worker_acknowledged(process)
            if is_draining and not worker.is_acknowledged:
                worker.is_acknowledged = True
                self.watch.drained.append(Drained(worker.name, sequence, self.world.now))

        process.begin_heartbeat(worker.name, sequence, "draining" if is_draining else "ready", on_answer)

    # --- trouble ------------------------------------------------------------------------------------

    def until(self, least_s: float, most_s: float, end: Callable[[], None]) -> None:
        """Let this trouble end after a while."""
        duration = seconds(self.chance.uniform(least_s, most_s))
        self._ends.append((self.world.now + duration, end))

    def _end_due(self) -> None:
        due = [end for at, end in self._ends if at <= self.world.now]
        self._ends = [(at, end) for at, end in self._ends if at > self.world.now]
        for end in due:
            end()

    def _end_all(self) -> None:
        ends, self._ends = self._ends, []
        for _, end in ends:
            end()
        self._start_all()

    def _start_all(self) -> None:
        for machine in list(self.world.machines.values()):
            self.world.start(machine)

    def cut(self, sources: list[Machine], targets: list[Machine], passage: Passage, most_s: float = 6.0) -> None:
        """Cut one direction for a while."""
        trouble: Trouble = self.world.cut(sources, targets, passage)
        self._tell(f"{passage.name} {_names(sources)} -> {_names(targets)}")
        least = min(0.3, most_s)
        if self.chance.random() < 0.2:
            least, most_s = LONG_CUT / 2, LONG_CUT
        self.until(least, most_s, lambda: self._end_cut(trouble))

    def _end_cut(self, trouble: Trouble) -> None:
        self._tell(f"ends: {trouble.passage.name} from {sorted(trouble.sources)}")
        self.world.end_trouble(trouble)

    def cut_some_way(self, one: list[Machine], other: list[Machine]) -> None:
        """Cut both ways, or one way, or hold one direction."""
        way = self.chance.randrange(5)
        if way == 0:
            for trouble in self.world.cut_both_ways(one, other):
                self.until(0.3, LONG_CUT, lambda each=trouble: self._end_cut(each))  # type: ignore[misc]
            self._tell(f"cut {_names(one)} | {_names(other)}")
        elif way in (1, 2):
            self.cut(*self._either(one, other), Passage.LOSING)
        else:
            self.cut(*self._either(one, other), Passage.HOLDING)

    def _either(self, one: list[Machine], other: list[Machine]) -> tuple[list[Machine], list[Machine]]:
        return (one, other) if self.chance.random() < 0.5 else (other, one)

    def a_control(self) -> Machine:
        """Any control machine, the primary's more often."""
        primary = self.world.primary()
        if primary is not None and self.chance.random() < 0.4:
            return primary.machine
        return self.chance.choice(self.world.control_machines())

    def an_edge(self) -> Machine:
        """Any edge."""
        return self.chance.choice(self.world.edge_machines())

    def set_seeds(self, edge: Machine, seeds: list[Address]) -> None:
        """The settings of an edge name others from now on, and it reads them again."""
        edge.seeds = seeds
        if edge.process is not None and edge.process.is_running:
            edge.process.core.distribution.set_seeds(edge.process.now, seeds)

    def may_stop_a_control(self) -> bool:
        """Whether no more control machines would be without a process than the system bears."""
        machines = self.world.control_machines()
        up = {control.machine.name for control in self.world.controls() if not control.is_leaving}
        return sum(machine.name not in up for machine in machines) < self.world.tolerated


def _names(machines: list[Machine]) -> str:
    return ",".join(machine.name for machine in machines)


# --- the kinds of trouble -------------------------------------------------------------------------------------------


def a_control_is_cut_from_the_others(walk: Walk) -> None:
    one = walk.a_control()
    walk.cut_some_way(
        [one], [control_machine for control_machine in walk.world.control_machines() if control_machine is not one]
    )


def a_control_is_cut_from_everybody(walk: Walk) -> None:
    one = walk.a_control()
    walk.cut_some_way([one], [machine for machine in walk.world.machines.values() if machine is not one])


def a_region_is_cut(walk: Walk) -> None:
    region = walk.chance.choice(sorted(set(walk.world.zones.values())))
    inside = [machine for machine in walk.world.machines.values() if machine.region == region]
    walk.cut_some_way(inside, [machine for machine in walk.world.machines.values() if machine.region != region])


def any_sides_are_cut(walk: Walk) -> None:
    machines = list(walk.world.machines.values())
    one = walk.chance.sample(machines, walk.chance.randrange(1, len(machines)))
    walk.cut_some_way(one, [machine for machine in machines if machine not in one])


def an_edge_is_cut_from_a_control(walk: Walk) -> None:
    controls = walk.world.control_machines()
    walk.cut_some_way([walk.an_edge()], walk.chance.sample(controls, walk.chance.randrange(1, len(controls) + 1)))


def a_process_stands_still(walk: Walk) -> None:
    machine = walk.a_control() if walk.chance.random() < 0.6 else walk.an_edge()
    process = machine.process
    if process is not None and process.is_running and not process.is_frozen:
        walk.world.freeze(process)
        walk.until(0.3, 8.0, lambda: walk.world.thaw(process))


def an_edge_ends(walk: Walk) -> None:
    machine = walk.an_edge()
    walk.world.kill(machine, is_planned=walk.chance.random() < 0.5)
    walk.until(0.1, 12.0, lambda: walk.world.start(machine))


def an_edge_loses_power(walk: Walk) -> None:
    machine = walk.an_edge()
    walk.world.lose_power(machine)
    walk.until(0.5, 12.0, lambda: walk.world.start(machine))


def a_herd_loses_power(walk: Walk) -> None:
    world = walk.world
    herd = walk.chance.sample(world.edge_machines(), len(world.edge_machines()) // 2)
    if walk.may_stop_a_control():
        herd.append(walk.a_control())
    for machine in herd:
        world.lose_power(machine)
        walk.until(0.5, 6.0, lambda each=machine: world.start(each))  # type: ignore[misc]


def a_control_restarts(walk: Walk) -> None:
    machine = walk.a_control()
    if not walk.may_stop_a_control():
        return
    if walk.chance.random() < 0.5:
        walk.world.kill(machine, is_planned=walk.chance.random() < 0.5)
    else:
        walk.world.lose_power(machine)
    walk.until(0.1, 8.0, lambda: walk.world.start(machine))


def a_control_ends_as_planned(walk: Walk) -> None:
    """It asks the others to let it go first, and ends some seconds later in any case."""
    process = walk.a_control().process
    if isinstance(process, ControlProcess) and process.is_running and not process.is_frozen:
        if not walk.may_stop_a_control():
            return
        process.leave_view(LONGEST_LEAVE)
        walk.until(8.0, 16.0, lambda: walk.world.start(process.machine))


def a_control_loses_its_disk(walk: Walk) -> None:
    machine = walk.a_control()
    if walk.may_stop_a_control() and walk.world.is_whole(machine):
        walk.world.wipe(machine)
        walk.until(0.2, 6.0, lambda: walk.world.start(machine))


def a_control_is_replaced(walk: Walk) -> None:
    """The new machine knows some of the others; the edges' seeds change too, or only where they must."""
    machine, world = walk.a_control(), walk.world
    if not walk.may_stop_a_control() or not world.is_whole(machine):
        return
    others = [control_machine.address for control_machine in world.control_machines() if control_machine is not machine]
    new = world.replace_control(machine, walk.chance.sample(others, walk.chance.randrange(1, len(others) + 1)))
    walk.story.append(f"        {machine.name} is replaced by {new.name}")
    is_told_to_all = walk.chance.random() < 0.7
    for edge in world.edge_machines():
        if is_told_to_all or not any(other in edge.seeds for other in others):
            walk.set_seeds(edge, [*others, new.address])


def an_edge_restarts_into_a_cut(walk: Walk) -> None:
    """Some control nodes are cut off from the others, and the edge begins with them."""
    world, edge = walk.world, walk.an_edge()
    one = walk.a_control()
    far = [control_machine for control_machine in world.control_machines() if control_machine is not one]
    walk.cut_some_way([one], far)
    if walk.chance.random() < 0.5:
        edge.seeds = [one.address]
    world.kill(edge)
    walk.until(0.1, 1.0, lambda: world.start(edge))


def all_seeds_are_on_the_wrong_side(walk: Walk) -> None:
    """The edges begin anew, and know only a control node that is cut off from the others."""
    world, one = walk.world, walk.a_control()
    far = [other for other in world.control_machines() if other is not one]
    walk.cut_some_way([one], far)
    for edge in walk.chance.sample(world.edge_machines(), 4):
        edge.seeds = [one.address]
        world.kill(edge)
        walk.until(0.1, 1.0, lambda each=edge: world.start(each))  # type: ignore[misc]


TROUBLES: tuple[TroubleKind, ...] = (
    a_control_is_cut_from_the_others,
    a_control_is_cut_from_everybody,
    a_region_is_cut,
    any_sides_are_cut,
    an_edge_is_cut_from_a_control,
    a_process_stands_still,
    an_edge_ends,
    an_edge_loses_power,
    a_herd_loses_power,
    a_control_restarts,
    a_control_ends_as_planned,
    a_control_loses_its_disk,
    a_control_is_replaced,
    an_edge_restarts_into_a_cut,
    all_seeds_are_on_the_wrong_side,
)
