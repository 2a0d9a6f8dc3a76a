"""Failure detection and the list of members, in a simulated network."""

from __future__ import annotations

import pytest

from canvasbeam.failure_detection.monitor_choice import (
    MONITORS_OF_MEMBER,
    MonitorCandidates,
    control_monitors,
    region_monitors,
)
from canvasbeam.failure_detection.node_location import NodeLocation
from canvasbeam.item_table.items import ItemKind
from canvasbeam.runtime.settings import Address
from tests.support.cluster_network import MS, SECOND, Host, Network


def make_location(name: str, region: str, is_control: bool = False) -> NodeLocation:
    return NodeLocation(name, Address(name, 1), region, region, is_control)


def monitors_of(target: NodeLocation, candidates: MonitorCandidates) -> list[NodeLocation]:
    return control_monitors(target, candidates) + region_monitors(target, candidates)


def small_fleet(datagram_loss: float = 0.0, seed: int = 1) -> tuple[Network, list[Host], list[Host]]:
    network = Network(seed=seed, datagram_loss=datagram_loss)
    controls, edges = network.fleet(regions=3, edges=7)
    network.run_until(lambda: network.all_know(network.running()), 3 * SECOND)
    network.run(4 * SECOND)
    return network, controls, edges


def all_except(network: Network, *hosts: Host) -> list[Host]:
    return [host for host in network.running() if host not in hosts]


def incarnations(hosts: list[Host]) -> list[int]:
    return [host.core.own_member.member.incarnation for host in hosts]


# --- choice of monitors ---------------------------------------------------------------------------


def test_edge_is_monitored_by_two_edges_of_its_region_and_remote_control_node() -> None:
    locations = [make_location(f"e{number}", "r1") for number in range(10)]
    locations += [make_location("c1", "r1", True), make_location("c2", "r2", True), make_location("c3", "r3", True)]
    for target in locations[:10]:
        monitors = monitors_of(target, MonitorCandidates.of(locations))
        assert len(monitors) == MONITORS_OF_MEMBER
        assert target not in monitors
        assert sum(not monitor.is_control and monitor.region == "r1" for monitor in monitors) == 2
        assert sum(monitor.is_control and monitor.region != "r1" for monitor in monitors) == 1


def test_edge_alone_in_region_is_monitored_by_control_nodes() -> None:
    locations = [make_location("e", "r1"), *(make_location(f"c{number}", f"r{number}", True) for number in range(1, 4))]
    assert {monitor.key for monitor in monitors_of(locations[0], MonitorCandidates.of(locations))} == {"c1", "c2", "c3"}


def test_control_node_is_monitored_by_other_control_nodes_and_edge_of_its_region() -> None:
    locations = [make_location(f"c{number}", f"r{number}", True) for number in range(1, 4)]
    locations += [make_location("e1", "r1"), make_location("e2", "r2")]
    assert {monitor.key for monitor in monitors_of(locations[0], MonitorCandidates.of(locations))} == {"c2", "c3", "e1"}


# --- detection ------------------------------------------------------------------------------------


def test_machine_without_power_is_unlisted_within_two_seconds() -> None:
    network, _, edges = small_fleet()
    network.lose_power(edges[0])
    rest = all_except(network, edges[0])
    assert network.run_until(lambda: network.all_know(rest), 3 * SECOND) <= 2 * SECOND
    network.run(3 * SECOND)
    assert all(edges[0].member.key not in [member.key for member in host.core.members(network.now)] for host in rest)


def test_cut_off_edge_is_unlisted_and_suspects_nobody() -> None:
    """Guards against a cut-off node that suspects all other members because it receives nothing."""
    network, controls, edges = small_fleet()
    rest = all_except(network, edges[0])
    before = incarnations(rest)
    network.cut_both_ways([edges[0]], rest)
    gone = edges[0].member.name
    assert (
        network.run_until(lambda: all(gone not in network.names(control) for control in controls), 3 * SECOND)
        <= 1_700 * MS
    )
    network.run(5 * SECOND)
    network.heal()
    network.run_until(lambda: network.all_know(network.running()), 3 * SECOND)
    assert incarnations(rest) == before


def test_partitioned_sides_unlist_each_other() -> None:
    network, _, _ = small_fleet()
    region = [host for host in network.running() if host.member.region == "region-0"]
    rest = all_except(network, *region)
    network.cut_both_ways(region, rest)
    assert network.run_until(lambda: network.all_know(rest), 3 * SECOND) <= 1_800 * MS
    network.run_until(lambda: network.all_know(region), 4 * SECOND)


def test_healed_partition_unlists_nobody() -> None:
    network, _, _ = small_fleet()
    region = [host for host in network.running() if host.member.region == "region-0"]
    rest = all_except(network, *region)
    network.cut_both_ways(region, rest)
    network.run(6 * SECOND)
    network.heal()
    listed = {host.address: network.names(host) for host in network.running()}
    end = network.now + 3 * SECOND
    while network.now < end:
        network.run(10 * MS)
        for host in network.running():
            assert network.names(host) >= listed[host.address]
    assert network.all_know(network.running())


def test_readiness_change_reaches_control_nodes_within_200_ms() -> None:
    network, controls, edges = small_fleet()

    def is_ready_at(host: Host) -> bool:
        return any(member.ready for member in host.core.members(network.now) if member.name == edges[0].member.name)

    network.set_ready(edges[0], True)
    network.run_until(lambda: all(map(is_ready_at, controls)), 200 * MS)
    network.set_ready(edges[0], False)
    network.run_until(lambda: not any(map(is_ready_at, controls)), 200 * MS)


def test_leaving_node_is_unlisted_within_200_ms_and_stays_unlisted() -> None:
    network, _, edges = small_fleet()
    network.leave(edges[0])
    rest = all_except(network, edges[0])
    network.run_until(lambda: network.all_know(rest), 200 * MS)
    network.lose_power(edges[0])
    network.run(5 * SECOND)
    assert network.all_know(rest)


def test_restarted_process_supersedes_item_of_its_previous_run() -> None:
    network, _, edges = small_fleet()
    for life in range(3):
        network.kill(edges[0])
        network.run(life * SECOND)
        edges[0] = network.restart(edges[0])
        network.run_until(lambda: network.all_know(network.running()), 3 * SECOND)
        network.run(SECOND)
        own = edges[0].core.own_member.item()
        assert all(host.core.table.get(ItemKind.MEMBER, own.key) == own for host in network.running())


def test_datagram_loss_causes_few_suspicions() -> None:
    network, controls, edges = small_fleet(datagram_loss=0.02)
    before = incarnations([*controls, *edges])
    network.run(60 * SECOND)
    after = incarnations([*controls, *edges])
    assert sum(after) - sum(before) <= 2
    assert network.all_know(network.running())


def test_repeatedly_refuted_monitor_suspects_rarely() -> None:
    """Guards against endless suspicions by the only monitor that cannot reach a target.

    The monitor's answer time-out for the target grows with each refutation.
    """
    network, controls, edges = small_fleet()
    network.cut_both_ways([controls[1]], [edges[0]])
    before = edges[0].core.own_member.member.incarnation
    network.run(30 * SECOND)
    assert edges[0].core.own_member.member.incarnation - before <= 8


@pytest.mark.parametrize("count", [1, 2])
def test_loss_of_control_nodes_leaves_other_nodes_listed(count: int) -> None:
    network, controls, _ = small_fleet()
    for control in controls[:count]:
        network.lose_power(control)
    rest = network.running()
    network.run_until(lambda: network.all_know(rest), 4 * SECOND)
    network.run(5 * SECOND)
    assert network.all_know(rest)
