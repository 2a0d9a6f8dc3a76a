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
LONG_CUT = 20 * SECOND
ORDER_EVERY = 10  # simulation steps between two changes by the operator


class Story:
    """A running world with its invariants; while time passes, an operator reads and changes state at the primary."""

    def __init__(self, shape: Shape | None = None) -> None:
        self.world = World(1, shape or Shape())
        self.watch = Invariants(self.world)
        self._steps = 0
        self._orders = 0
        self.world.begin()
        self.run(6 * SECOND)

    def run(self, span: int) -> None:
        """Advance the simulated time by `span` nanoseconds and check the invariants after each step."""
        for _ in range(span // STEP):
            self.world.run(STEP)
            self.watch.check()
            self._steps += 1
            if self._steps % ORDER_EVERY == 0:
                self._order()

    def _order(self) -> None:
        leader = self.world.primary()
        if leader is not None:
            self.world.read(leader)
            self._orders += 1
            self.world.order(leader, f"order {self._orders}".encode("ascii"), self.world.generation)

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
@pytest.mark.parametrize("way", ["mute", "deaf", "both"])
@pytest.mark.parametrize("who", ["the primary", "another"])
def test_one_of_three_is_cut_from_the_others_for_twenty_seconds(who: str, way: str, passage: Passage) -> None:
    is_cut_for_twenty_seconds(Story(Shape(controls=3)), who, way, passage)


@pytest.mark.parametrize("way", ["mute", "deaf", "both"])
def test_one_of_five_is_cut_from_the_others_for_twenty_seconds(way: str) -> None:
    is_cut_for_twenty_seconds(Story(Shape(controls=5)), "the primary", way, Passage.HOLDING)


def is_cut_for_twenty_seconds(story: Story, who: str, way: str, passage: Passage) -> None:
    """Cut one control machine off and check the others and the edges.

    The edges choose other parents, changes go on at the other control machines, and the cut-off control machine
    neither claims contact with a majority nor answers.
    """
    primary = story.primary_machine()
    cut = primary if who == "the primary" else story.control_machines(primary)[0]
    others = story.control_machines(cut)
    begun = story.world.now
    if way in ("mute", "both"):
        story.world.cut([cut], others, passage)
    if way in ("deaf", "both"):
        story.world.cut(others, [cut], passage)
    story.run(LONG_CUT)
    assert story.acknowledged_since(begun + 3 * SECOND) > 10
    story.assert_all_are_up_to_date(story.world.edges())
    process = cut.process
    assert process is not None
    assert not process.core.has_majority(process.now)
    story.watch.on_change()
    story.world.network.end_all_trouble()
    story.run(CONTACT + 2 * SECOND)
    assert process.core.has_majority(process.now)


def test_edges_that_begin_with_seeds_on_the_wrong_side_find_the_others() -> None:
    """Guards against edges that stay with their only seed while that seed is cut off from the other control machines.

    The seed still lists the other control machines, so the edges can learn their addresses from the seed.
    """
    story = Story()
    cut = story.machine("core-1")
    story.world.cut_both_ways([cut], story.control_machines(cut))
    edges = story.world.edge_machines()[:4]
    for edge in edges:
        edge.seeds = [cut.address]
        story.world.kill(edge)
        story.run(200 * MILLISECOND)
        story.world.start(edge)
    story.run(CONTACT + 2 * SECOND)
    story.assert_all_are_up_to_date([edge.process for edge in edges if edge.process is not None])


def test_a_parent_stands_still_and_goes_on() -> None:
    """Guards against a resumed process that claims contact with a majority from before its stall."""
    story = Story()
    process = story.machine("core-2").process
    assert process is not None
    for _ in range(3):
        story.world.freeze(process)
        story.run(3 * SECOND)
        story.world.thaw(process)
        assert not process.core.has_majority(process.now)
        story.run(2 * SECOND)
    story.run(CONTACT + SECOND)
    story.assert_all_are_up_to_date(story.world.edges())


def test_a_worker_drains_at_a_control_machine_that_is_cut_off() -> None:
    """Guards against a cut-off control machine that acknowledges the draining of a worker.

    Another control machine acknowledges the draining, and 3 s later every edge must act on it.
    """
    story = Story()
    cut = story.machine("core-0")
    told: list[bool] = []
    heartbeat(story, "core-1", 1, "ready", told)
    story.run(SECOND)
    story.world.cut([cut], story.control_machines(cut), Passage.HOLDING)
    story.run(2 * SECOND)
    heartbeat(story, "core-0", 2, "draining", told)
    story.run(SECOND)
    heartbeat(story, "core-2", 3, "draining", told)
    story.run(SECOND)
    assert told == [True, False, True]
    story.watch.drained.append(Drained("w0", 3, story.world.now))
    story.run(IN_FORCE + SECOND)


def heartbeat(story: Story, name: str, sequence: int, state: str, told: list[bool]) -> None:
    process = next(control for control in story.world.controls() if control.machine.name == name)
    process.begin_heartbeat("w0", sequence, state, told.append)


def test_a_cut_off_primary_confirms_and_refuses_nothing() -> None:
    """Changes and reads at a cut-off primary must end with an unknown outcome or a redirect to another node."""
    story = Story()
    cut = story.primary_machine()
    process = next(control for control in story.world.controls() if control.machine is cut)
    story.world.cut_both_ways([cut], story.control_machines(cut))
    before = len(story.world.answers)
    for number in range(40):
        story.world.read(process)
        story.world.order(process, f"at the cut one {number}".encode("ascii"), number % 3)
        story.run(500 * MILLISECOND)
    answers = [result for call, result in story.world.answers[before:] if call.process is process]
    assert len(answers) > 40
    assert not any(isinstance(answer, Committed) for answer in answers)


# --- a member whose messages arrive, but that receives none ---------------------------------------------------------

MOST_VIEWS = 2  # the view without the member, and one more if a competing candidate preempts the first


def test_a_member_that_hears_nobody_is_left_out_of_the_view_once() -> None:
    assert views_while_a_member_hears_nobody() <= MOST_VIEWS


def test_taking_in_whoever_is_heard_is_found() -> None:
    """Planted fault: the primary adds a member to the view that only sends and receives nothing.

    The view would change again and again, and changes wait each time. Two rules prevent the repeated view changes:
    a member joins the view only if the member answers, and only if the member has caught up.
    """
    with (
        mock.patch.object(MemberLiveness, "is_answering", lambda self, member, now: True),
        mock.patch.object(CatchUp, "is_nearly_caught_up", lambda self, member, now: True),
    ):
        assert views_while_a_member_hears_nobody() > 5 * MOST_VIEWS


def views_while_a_member_hears_nobody() -> int:
    """Return the number of epochs in 20 simulated seconds while one member receives nothing."""
    story = Story()
    primary = story.primary_machine()
    deaf = story.control_machines(primary)[0]
    story.world.cut(story.control_machines(deaf), [deaf], Passage.HOLDING)
    epochs = set()
    for _ in range(LONG_CUT // STEP):
        story.run(STEP)
        leader = story.world.primary()
        assert leader is not None
        epochs.add(leader.member.state.known_primary.epoch)
    return len(epochs)


# --- a joining machine ----------------------------------------------------------------------------------------------


def test_a_joining_machine_vouches_for_nothing_before_it_knows_a_view() -> None:
    joins_by_a_cut_off_seed()


def test_a_joining_machine_that_counts_itself_is_found() -> None:
    real = NodeCore.set_electorates

    def ignore_that_there_is_none(self: NodeCore, now: int, electorates: Sequence[Sequence[str]]) -> None:
        if any(electorates):
            real(self, now, electorates)

    with (
        mock.patch.object(NodeCore, "set_electorates", ignore_that_there_is_none),
        pytest.raises(ViolationError) as found,
    ):
        joins_by_a_cut_off_seed()
    assert found.type is VouchedWithoutContactError


def joins_by_a_cut_off_seed() -> None:
    """Replace one of three control machines while the new machine reaches only one, cut-off control machine.

    The new machine and the cut-off control machine are no majority, so neither may claim contact with one.
    """
    story = Story()
    seed, gone, far = (story.machine(f"core-{number}") for number in range(3))
    story.world.remove(gone)
    story.run(4 * SECOND)
    story.world.cut_both_ways([seed], [far])
    new = story.world.replace_control(gone, [seed.address, far.address])
    story.world.cut_both_ways([new], [far])
    story.run(5 * SECOND)
    assert new.process is not None
    assert not new.process.core.has_majority(new.process.now)


def test_the_control_process_begins_with_nobody_who_can_grant_it_contact(tmp_path: Path) -> None:
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
