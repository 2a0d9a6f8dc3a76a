"""Tests of how long directories list a stopped machine: real failure detection and distribution, simulated time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

import pytest

from canvasbeam.control_plane.directory import Directory
from canvasbeam.control_plane.home_regions import HomeRegions
from canvasbeam.control_plane.web import Request
from canvasbeam.item_table.items import ItemTable
from canvasbeam.runtime.settings import Bounds, ProcessSettings
from tests.support.cluster_network import MS, SECOND, Host, Network

BOUNDS = Bounds()
NAMED_AT_MOST = round(BOUNDS.contact_ms * MS) + 3 * SECOND
SETTINGS = ProcessSettings(
    node="core", role="core", node_class="core", serves=("control", "directory"), ip="10.0.0.2", zone="region-0",
    region="region-0", port_range=(7660, 7675), seeds=(), bounds=BOUNDS,
)  # fmt: skip


class Fleet:
    """A simulated fleet of three or more control nodes with directories, and of ready data-plane nodes."""

    def __init__(self, controls: int, edges: int, seed: int, datagram_loss: float = 0.0) -> None:
        self.network = Network(seed, datagram_loss)
        self.controls, self.edges = self.network.fleet(controls, edges)
        self.network.run_until(lambda: self.network.all_know(self.network.running()), 5 * SECOND)
        for edge in self.edges:
            self.network.set_ready(edge, True)
        self.network.run_until(
            lambda: all(self.named_at(control) == self.fronts() for control in self.controls), SECOND
        )

    def fronts(self) -> set[str]:
        return {edge.member.front for edge in self.edges}

    def named_at(self, control: Host) -> set[str]:
        """Return the addresses that a control node gives to at least one client."""
        members = control.core.members(self.network.now)
        directory = Directory(SETTINGS, lambda: members, HomeRegions(ItemTable()))
        named: set[str] = set()
        for region in {edge.member.region for edge in self.edges}:
            request = Request("GET", "/v1/resolve", {"name": "a.example", "region": region, "zone": region})
            answer = asyncio.run(directory.resolve(request))
            if answer.status == 200:
                named |= set(json.loads(answer.body)["addresses"])
        return named

    def is_named(self, *ended: Host) -> bool:
        fronts = {action.member.front for action in ended}
        return any(self.named_at(control) & fronts for control in self.controls if control.is_running)


def lose_power(fleet: Fleet, host: Host) -> None:
    fleet.network.lose_power(host)


def kill(fleet: Fleet, host: Host) -> None:
    fleet.network.kill(host)


def end_as_planned(fleet: Fleet, host: Host) -> None:
    fleet.network.set_ready(host, False)
    fleet.network.leave(host)
    fleet.network.kill(host)


ENDS = [lose_power, kill, end_as_planned]


@pytest.mark.parametrize("datagram_loss", [0.0, 0.05])
@pytest.mark.parametrize("end", ENDS)
def test_directories_name_no_machine_that_ended_a_while_ago(
    end: Callable[[Fleet, Host], None], datagram_loss: float
) -> None:
    for seed in range(1, 4):
        fleet = Fleet(3, 6, seed, datagram_loss)
        end(fleet, fleet.edges[0])
        fleet.network.run_until(lambda: not fleet.is_named(fleet.edges[0]), NAMED_AT_MOST)  # noqa: B023
        fleet.network.run(3 * SECOND)
        assert not fleet.is_named(fleet.edges[0])


@pytest.mark.parametrize("end", ENDS)
def test_directories_name_no_machine_that_ended_together_with_those_that_watch_it(
    end: Callable[[Fleet, Host], None],
) -> None:
    fleet = Fleet(3, 9, 1)
    lost = [edge for edge in fleet.edges if edge.member.region == "region-0"]
    lose_power(fleet, fleet.controls[0])
    for item in lost:
        end(fleet, item)
    fleet.network.run_until(lambda: not fleet.is_named(*lost), NAMED_AT_MOST)


def test_a_machine_that_ends_as_planned_is_named_no_longer_at_once() -> None:
    fleet = Fleet(3, 6, 1)
    fleet.network.set_ready(fleet.edges[0], False)
    fleet.network.run_until(lambda: not fleet.is_named(fleet.edges[0]), 200 * MS)
    assert fleet.named_at(fleet.controls[0]) == fleet.fronts() - {fleet.edges[0].member.front}


def test_a_machine_that_has_started_again_is_named_again() -> None:
    fleet = Fleet(3, 6, 1)
    kill(fleet, fleet.edges[0])
    fleet.network.run(500 * MS)
    restarted = fleet.network.restart(fleet.edges[0])
    fleet.network.run(SECOND)
    fleet.network.set_ready(restarted, True)
    fleet.network.run_until(
        lambda: all(fleet.named_at(control) == fleet.fronts() for control in fleet.controls), SECOND
    )
