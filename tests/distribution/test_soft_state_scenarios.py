"""Scripted scenarios in the world of the soft-state explorer: operators' incidents, with all invariants checked."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from pathlib import Path
from unittest import mock

import pytest

from canvasbeam.cluster.node_core import NodeCore
from canvasbeam.control_plane.program import ControlPlane
from canvasbeam.replication.catch_up import CatchUp
from canvasbeam.replication.control_state import Committed
from canvasbeam.replication.member_liveness import MemberLiveness
from canvasbeam.runtime.settings import Address, ProcessSettings
from canvasbeam.units import MILLISECOND, SECOND
from tests.support.soft_state_invariants import (
    CONTACT,
    IN_FORCE,
    Invariants,
    ViolationError,
    VouchedWithoutContactError,
)
from tests.support.soft_state_network import Passage
from tests.support.soft_state_world import Drained, Machine, Process, Shape, World

STEP = 50 * MILLISECOND
CUT_DURATION_NS = 20 * SECOND
CHANGE_INTERVAL_STEPS = 10  # simulation steps between two changes by the operator


class Scenario:
    """A running world with its invariants; while time passes, an operator reads and changes state at the primary."""

    def __init__(self, shape: Shape | None = None) -> None:
        self.world = World(1, shape or Shape())
        self.watch = Invariants(self.world)
        self._steps = 0
        self._change_count = 0
        self.world.begin()
        self.run(6 * SECOND)

    def run(self, span: int) -> None:
        """Advance the simulated time by `span` nanoseconds and check the invariants after each step."""
        for _ in range(span // STEP):
            self.world.run(STEP)
            self.watch.check()
            self._steps += 1
            if self._steps % CHANGE_INTERVAL_STEPS == 0:
                self._submit_change()

    def _submit_change(self) -> None:
        leader = self.world.primary()
        if leader is not None:
            self.world.read(leader)
            self._change_count += 1
            self.world.order(leader, f"order {self._change_count}".encode("ascii"), self.world.generation)

    def machine(self, name: str) -> Machine:
        return self.world.machines[name]

    def control_machines(self, *without: Machine) -> list[Machine]:
        return [control_machine for control_machine in self.world.control_machines() if control_machine not in without]

    def others(self, *without: Machine) -> list[Machine]:
        return [
            machine for machine in self.world.machines.values() if machine not in without and not machine.is_removed
        ]

    def primary_machine(self) -> Machine:
        primary = self.world.primary()
        assert primary is not None
        return primary.machine

    def acknowledged_since(self, begun: int) -> int:
        """Return the number of changes acknowledged at or after `begun`, in simulated nanoseconds."""
        return sum(change.at >= begun for change in self.world.acknowledged)

    def assert_all_are_up_to_date(self, edges: Iterable[Process]) -> None:
        wanted = max(change.index for change in self.world.acknowledged if change.at <= self.world.now - IN_FORCE)
        assert all(edge.configuration_index >= wanted for edge in edges)
        assert all(self.watch.is_in_touch(edge) for edge in edges)


@pytest.mark.parametrize("passage", [Passage.LOSING, Passage.HOLDING], ids=["lost", "held"])
@pytest.mark.parametrize("direction", ["mute", "deaf", "both"])
@pytest.mark.parametrize("target_role", ["the primary", "another"])
def test_three_control_machines_tolerate_one_cut_off_for_twenty_seconds(
    target_role: str, direction: str, passage: Passage
) -> None:
    cut_for_twenty_seconds(Scenario(Shape(controls=3)), target_role, direction, passage)


@pytest.mark.parametrize("direction", ["mute", "deaf", "both"])
def test_five_control_machines_tolerate_one_cut_off_for_twenty_seconds(direction: str) -> None:
    cut_for_twenty_seconds(Scenario(Shape(controls=5)), "the primary", direction, Passage.HOLDING)


def cut_for_twenty_seconds(scenario: Scenario, target_role: str, direction: str, passage: Passage) -> None:
    """Cut one control machine off and check the others and the edges.

    The edges choose other parents, changes go on at the other control machines, and the cut-off control machine
    neither claims contact with a majority nor answers.
    """
    primary = scenario.primary_machine()
    cut = primary if target_role == "the primary" else scenario.control_machines(primary)[0]
    others = scenario.control_machines(cut)
    begun = scenario.world.now
    if direction in ("mute", "both"):
        scenario.world.cut([cut], others, passage)
    if direction in ("deaf", "both"):
        scenario.world.cut(others, [cut], passage)
    scenario.run(CUT_DURATION_NS)
    assert scenario.acknowledged_since(begun + 3 * SECOND) > 10
    scenario.assert_all_are_up_to_date(scenario.world.edges())
    process = cut.process
    assert process is not None
    assert not process.core.has_majority(process.now)
    scenario.watch.on_change()
    scenario.world.network.end_all_trouble()
    scenario.run(CONTACT + 2 * SECOND)
    assert process.core.has_majority(process.now)


def test_edges_restarted_with_cut_off_seed_find_other_control_machines() -> None:
    """Guards against edges that stay with their only seed while that seed is cut off from the other control machines.

    The seed still lists the other control machines, so the edges can learn their addresses from the seed.
    """
    scenario = Scenario()
    cut = scenario.machine("core-1")
    scenario.world.cut_both_ways([cut], scenario.control_machines(cut))
    edges = scenario.world.edge_machines()[:4]
    for edge in edges:
        edge.seeds = [cut.address]
        scenario.world.kill(edge)
        scenario.run(200 * MILLISECOND)
        scenario.world.start(edge)
    scenario.run(CONTACT + 2 * SECOND)
    scenario.assert_all_are_up_to_date([edge.process for edge in edges if edge.process is not None])


def test_stalled_parent_claims_no_contact_when_resumed() -> None:
    """Guards against a resumed process that claims contact with a majority from before its stall."""
    scenario = Scenario()
    process = scenario.machine("core-2").process
    assert process is not None
    for _ in range(3):
        scenario.world.freeze(process)
        scenario.run(3 * SECOND)
        scenario.world.thaw(process)
        assert not process.core.has_majority(process.now)
        scenario.run(2 * SECOND)
    scenario.run(CONTACT + SECOND)
    scenario.assert_all_are_up_to_date(scenario.world.edges())


def test_draining_is_acknowledged_only_by_control_machine_with_majority() -> None:
    """Guards against a cut-off control machine that acknowledges the draining of a worker.

    Another control machine acknowledges the draining, and 3 s later every edge must act on it.
    """
    scenario = Scenario()
    cut = scenario.machine("core-0")
    acknowledgements: list[bool] = []
    heartbeat(scenario, "core-1", 1, "ready", acknowledgements)
    scenario.run(SECOND)
    scenario.world.cut([cut], scenario.control_machines(cut), Passage.HOLDING)
    scenario.run(2 * SECOND)
    heartbeat(scenario, "core-0", 2, "draining", acknowledgements)
    scenario.run(SECOND)
    heartbeat(scenario, "core-2", 3, "draining", acknowledgements)
    scenario.run(SECOND)
    assert acknowledgements == [True, False, True]
    scenario.watch.drained.append(Drained("w0", 3, scenario.world.now))
    scenario.run(IN_FORCE + SECOND)


def heartbeat(scenario: Scenario, name: str, sequence: int, state: str, acknowledgements: list[bool]) -> None:
    process = next(control for control in scenario.world.controls() if control.machine.name == name)
    process.begin_heartbeat("w0", sequence, state, acknowledgements.append)


def test_cut_off_primary_confirms_no_change_or_read() -> None:
    """Changes and reads at a cut-off primary must end with an unknown outcome or a redirect to another node."""
    scenario = Scenario()
    cut = scenario.primary_machine()
    process = next(control for control in scenario.world.controls() if control.machine is cut)
    scenario.world.cut_both_ways([cut], scenario.control_machines(cut))
    before = len(scenario.world.answers)
    for number in range(40):
        scenario.world.read(process)
        scenario.world.order(process, f"at the cut one {number}".encode("ascii"), number % 3)
        scenario.run(500 * MILLISECOND)
    answers = [result for call, result in scenario.world.answers[before:] if call.process is process]
    assert len(answers) > 40
    assert not any(isinstance(answer, Committed) for answer in answers)


# --- a member whose messages arrive, but that receives none ---------------------------------------------------------

MAX_VIEWS = 2  # the view without the member, and one more if a competing candidate preempts the first


def test_member_that_receives_nothing_is_removed_from_view_once() -> None:
    assert count_epochs_while_member_receives_nothing() <= MAX_VIEWS


def test_adding_member_that_receives_nothing_is_detected() -> None:
    """Planted fault: the primary adds a member to the view that only sends and receives nothing.

    The view would change again and again, and changes wait each time. Two rules prevent the repeated view changes:
    a member joins the view only if the member answers, and only if the member has caught up.
    """
    with (
        mock.patch.object(MemberLiveness, "is_answering", lambda self, member, now: True),
        mock.patch.object(CatchUp, "is_nearly_caught_up", lambda self, member, now: True),
    ):
        assert count_epochs_while_member_receives_nothing() > 5 * MAX_VIEWS


def count_epochs_while_member_receives_nothing() -> int:
    """Return the number of epochs in 20 simulated seconds while one member receives nothing."""
    scenario = Scenario()
    primary = scenario.primary_machine()
    deaf = scenario.control_machines(primary)[0]
    scenario.world.cut(scenario.control_machines(deaf), [deaf], Passage.HOLDING)
    epochs = set()
    for _ in range(CUT_DURATION_NS // STEP):
        scenario.run(STEP)
        leader = scenario.world.primary()
        assert leader is not None
        epochs.add(leader.member.state.known_primary.epoch)
    return len(epochs)


# --- a joining machine ----------------------------------------------------------------------------------------------


def test_joining_machine_claims_no_contact_before_it_has_a_view() -> None:
    join_through_cut_off_seed()


def test_joining_machine_that_counts_itself_is_detected() -> None:
    real = NodeCore.set_electorates

    def ignore_empty_electorates(self: NodeCore, now: int, electorates: Sequence[Sequence[str]]) -> None:
        if any(electorates):
            real(self, now, electorates)

    with (
        mock.patch.object(NodeCore, "set_electorates", ignore_empty_electorates),
        pytest.raises(ViolationError) as found,
    ):
        join_through_cut_off_seed()
    assert found.type is VouchedWithoutContactError


def join_through_cut_off_seed() -> None:
    """Replace one of three control machines while the new machine reaches only one, cut-off control machine.

    The new machine and the cut-off control machine are no majority, so neither may claim contact with one.
    """
    scenario = Scenario()
    seed, gone, far = (scenario.machine(f"core-{number}") for number in range(3))
    scenario.world.remove(gone)
    scenario.run(4 * SECOND)
    scenario.world.cut_both_ways([seed], [far])
    new = scenario.world.replace_control(gone, [seed.address, far.address])
    scenario.world.cut_both_ways([new], [far])
    scenario.run(5 * SECOND)
    assert new.process is not None
    assert not new.process.core.has_majority(new.process.now)


def test_control_process_starts_without_contact(tmp_path: Path) -> None:
    own = Address("127.0.0.1", 8146)
    settings = ProcessSettings(
        node="c1", role="core", node_class="core", serves=("control",), ip=own.host, zone="z1", region="r1",
        port_range=(7660, 7661), seeds=(own,), bootstrap=True, data_dir=tmp_path, zones={"z1": "r1"},
        listen={"control": own},
    )  # fmt: skip
    core = ControlPlane(settings)._node._core
    number = core.begin_write(0, ())
    core.tick(0)
    assert not core.is_written(number)
    assert core.contact_age(0) is None
