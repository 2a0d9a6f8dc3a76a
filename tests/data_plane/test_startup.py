"""The startup check: a new node serves after first contact or a bounded wait, unless it knows a newer configuration."""

from __future__ import annotations

from dataclasses import dataclass, field

from canvasbeam.data_plane.startup import MAX_CONTACT_WAIT_NS, StartupCheck
from canvasbeam.units import MILLISECOND, SECOND


@dataclass
class StartingNode:
    """The state of a node that `StartupCheck` reads, and its clock in nanoseconds."""

    now: int = 5 * SECOND
    has_configuration: bool = False
    has_contact: bool = False
    is_behind: bool = False
    check: StartupCheck = field(init=False)

    def __post_init__(self) -> None:
        self.check = StartupCheck(
            lambda: self.now,
            has_configuration=lambda: self.has_configuration,
            has_contact=lambda: self.has_contact,
            is_behind=lambda: self.is_behind,
        )


def test_node_does_not_serve_with_an_outdated_configuration() -> None:
    """Regression: a node that had just started served requests with the outdated generation 14 of the configuration.

    Generation 14 came from a control node that was itself behind; generation 30 followed 23 ms later.
    """
    node = StartingNode(has_configuration=True)
    assert not node.check.is_done()
    node.now += 23 * MILLISECOND
    node.is_behind = True  # the node learns that generation 30 exists
    node.has_contact = True
    assert not node.check.is_done()
    node.is_behind = False  # the node has received generation 30
    assert node.check.is_done()


def test_node_in_contact_with_current_configuration_serves_at_once() -> None:
    assert StartingNode(has_configuration=True, has_contact=True).check.is_done()


def test_node_without_a_configuration_never_serves() -> None:
    node = StartingNode(has_contact=True)
    assert not node.check.is_done()
    node.now += 2 * MAX_CONTACT_WAIT_NS
    assert not node.check.is_done()


def test_node_without_contact_serves_after_the_contact_wait() -> None:
    node = StartingNode(now=0, has_configuration=False)
    node.now += 10 * MAX_CONTACT_WAIT_NS
    assert not node.check.is_done()
    node.has_configuration = True
    assert not node.check.is_done()  # the wait for contact starts with the first configuration
    node.now += MAX_CONTACT_WAIT_NS - 1
    assert not node.check.is_done()
    node.now += 1
    assert node.check.is_done()


def test_node_without_contact_that_is_behind_does_not_serve() -> None:
    node = StartingNode(has_configuration=True, is_behind=True)
    assert not node.check.is_done()
    node.now += 2 * MAX_CONTACT_WAIT_NS
    assert not node.check.is_done()
    node.is_behind = False
    assert node.check.is_done()


def test_serving_node_stays_ready_after_lost_contact_or_newer_configuration() -> None:
    node = StartingNode(has_configuration=True, has_contact=True)
    assert node.check.is_done()
    node.has_contact = False
    node.is_behind = True
    assert node.check.is_done()
