"""Listeners to the live members of a node: they are called after each change, also where no item reports it."""

from __future__ import annotations

import pytest

from canvasbeam.cluster.member import Member, member_item
from canvasbeam.cluster.member_list import STATUS_GRACE_NS
from canvasbeam.cluster.member_listeners import CHECK_INTERVAL_NS
from canvasbeam.cluster.node_core import NodeCore, Ports
from canvasbeam.distribution.distribution import ProcessStart
from canvasbeam.failure_detection.member_status import MemberStatus

START = 10_000_000_000


def make_member(name: str, incarnation: int = 1) -> Member:
    return Member(name, "edge", "data", f"127.0.0.{name[-1]}", "z1", "r1", "", True, incarnation)


class Node:
    """A node without links, and the names of the live members in each call of its listener."""

    def __init__(self) -> None:
        self.failures: list[Exception] = []
        start = ProcessStart(1, START)
        self.core = NodeCore(make_member("edge-1"), Ports(7660, 7661), (), start, self.failures.extend)
        self.calls: list[list[str]] = []
        self.is_faulty = False
        self.core.member_listeners.add(self._on_members)
        self.core.begin(START)

    def _on_members(self, members: tuple[Member, ...]) -> None:
        if self.is_faulty:
            raise RuntimeError("planted fault in a listener")
        self.calls.append([member.name for member in members])


def test_members_listener_is_called_at_once_for_a_member_that_joins_or_leaves() -> None:
    node = Node()
    node.core.publish(START, [member_item(make_member("edge-2"))])
    assert node.calls[-1] == ["edge-1", "edge-2"]
    count = len(node.calls)
    node.core.tick(START + CHECK_INTERVAL_NS)
    assert len(node.calls) == count
    node.core.publish(START, [member_item(make_member("edge-2"), MemberStatus.LEFT)])
    assert node.calls[-1] == ["edge-1"]


def test_member_that_was_declared_dead_is_reported_once_its_grace_period_ends() -> None:
    """Guards against a share of the fleet-wide limits that counts a dead node until some other member changes."""
    node = Node()
    node.core.publish(START, [member_item(make_member("edge-2"))])
    node.core.publish(START, [member_item(make_member("edge-2"), MemberStatus.DEAD)])
    assert node.calls[-1] == ["edge-1", "edge-2"]
    node.core.tick(START + STATUS_GRACE_NS + CHECK_INTERVAL_NS)
    assert node.calls[-1] == ["edge-1"]


def test_member_that_this_node_finds_unresponsive_is_reported_without_an_item(monkeypatch: pytest.MonkeyPatch) -> None:
    node = Node()
    node.core.publish(START, [member_item(make_member("edge-2"))])
    unresponsive = {"edge-2/data"}
    monkeypatch.setattr(node.core.monitoring, "is_unresponsive", unresponsive.__contains__)
    node.core.tick(START + CHECK_INTERVAL_NS)
    assert node.calls[-1] == ["edge-1"]
    unresponsive.clear()
    node.core.tick(START + 2 * CHECK_INTERVAL_NS)
    assert node.calls[-1] == ["edge-1", "edge-2"]


def test_members_listener_that_raised_is_called_again_without_a_further_change() -> None:
    node = Node()
    node.is_faulty = True
    node.core.publish(START, [member_item(make_member("edge-2"))])
    assert [str(failure) for failure in node.failures] == ["planted fault in a listener"]
    assert node.core.listeners_behind == 1
    node.is_faulty = False
    node.core.tick(START + CHECK_INTERVAL_NS)
    assert node.calls[-1] == ["edge-1", "edge-2"]
    assert node.core.listeners_behind == 0
