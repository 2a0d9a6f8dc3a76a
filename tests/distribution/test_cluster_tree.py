"""The relay tree and the distribution of items through it, in a simulated network."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from canvasbeam.distribution.messages import Message, Update
from canvasbeam.distribution.relay_tree import FANOUT, parent_order, relays_of
from canvasbeam.failure_detection.node_location import NodeLocation
from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.runtime.settings import Address
from tests.support.cluster_network import MS, SECOND, Host, Network


def make_location(name: str, region: str, zone: str, is_control: bool = False) -> NodeLocation:
    return NodeLocation(name, Address(name, 1), zone, region, is_control)


def small_fleet() -> tuple[Network, list[Host], list[Host]]:
    network = Network()
    controls, edges = network.fleet(regions=3, edges=7)
    network.run_until(lambda: network.all_know(network.running()), 3 * SECOND)
    network.run(6 * SECOND)
    return network, controls, edges


def parent_of(network: Network, host: Host) -> Host | None:
    parent = host.core.distribution.link.parent
    return network.hosts[parent.address] if parent else None


# --- choice of parents ----------------------------------------------------------------------------


def test_small_region_attaches_to_nearest_control_node_first() -> None:
    locations = [make_location(f"e{number}", "r1", "z1") for number in range(FANOUT)]
    locations += [
        make_location("c1", "r1", "z2", True),
        make_location("c2", "r2", "z3", True),
        make_location("c3", "r1", "z1", True),
    ]
    order = parent_order(locations[0], locations, [Address("seed", 1)])
    assert [name.host for name in order] == ["c3", "c1", "c2", "seed"]


def test_large_region_attaches_to_relays_of_same_zone() -> None:
    locations = [make_location(f"e{number}", "r1", f"z{number % 2}") for number in range(40)]
    locations.append(make_location("c", "r2", "z9", True))
    relays = relays_of("r1", locations)
    assert len(relays) == 6
    for each in locations[:40]:
        first = parent_order(each, locations, [])[0]
        if each in relays:
            assert first.host == "c"
        else:
            parent = next(relay for relay in relays if relay.address == first)
            assert parent.zone == each.zone


def test_departed_relay_is_replaced_and_other_relays_stay() -> None:
    locations = [make_location(f"e{number}", "r1", "z1") for number in range(80)]
    before = {relay.key for relay in relays_of("r1", locations)}
    lost = next(location for location in locations if location.key in before)
    after = {relay.key for relay in relays_of("r1", [location for location in locations if location is not lost])}
    assert len(before - after - {lost.key}) == 0
    assert len(after - before) <= 1


# --- distribution ---------------------------------------------------------------------------------


def test_item_of_control_node_reaches_small_fleet_within_120_ms() -> None:
    network, controls, _ = small_fleet()
    item = network.publish(controls[0], 1)
    assert network.run_until(lambda: network.have(network.running(), item), SECOND) <= 120 * MS


def test_item_of_edge_reaches_small_fleet_within_150_ms() -> None:
    network, _, edges = small_fleet()
    item = network.publish(edges[3], 1)
    assert network.run_until(lambda: network.have(network.running(), item), SECOND) <= 150 * MS


def test_contact_is_gained_soon_after_start_and_lost_during_partition() -> None:
    network = Network()
    controls, edges = network.fleet(regions=3, edges=7)
    network.run_until(lambda: all(host.core.has_majority(network.now) for host in network.running()), 300 * MS)
    network.cut_both_ways(controls, edges)
    network.run(2 * SECOND)
    assert not any(edge.core.has_majority(network.now) for edge in edges)
    assert all(control.core.has_majority(network.now) for control in controls)


def test_parent_without_power_is_replaced_and_item_still_arrives() -> None:
    network, controls, edges = small_fleet()
    network.lose_power(controls[0])
    item = network.publish(controls[1], 1)
    assert network.run_until(lambda: network.have(network.running(), item), 3 * SECOND) <= 1_500 * MS
    assert all(parent_of(network, edge) in controls[1:] for edge in edges)


def test_killed_parent_is_replaced_within_300_ms() -> None:
    network, controls, edges = small_fleet()
    network.kill(controls[0])
    network.run_until(lambda: all(parent_of(network, edge) in controls[1:] for edge in edges), 300 * MS)


@pytest.mark.parametrize("direction", ["down", "up"])
def test_parent_cut_off_in_one_direction_is_replaced(direction: str) -> None:
    network, controls, _ = small_fleet()
    others = [host for host in network.running() if host is not controls[0]]
    if direction == "down":
        network.cut([controls[0]], others)
    else:
        network.cut(others, [controls[0]])
    item = network.publish(controls[1], 1)
    network.run_until(lambda: network.have(others, item), 3 * SECOND)


def test_preferred_parent_is_chosen_again_after_partition() -> None:
    network, controls, edges = small_fleet()
    preferred = {edge.address: parent_of(network, edge) for edge in edges}
    network.cut_both_ways([controls[0]], [host for host in network.running() if host is not controls[0]])
    network.run(5 * SECOND)
    network.heal()
    network.run_until(lambda: all(parent_of(network, edge) is preferred[edge.address] for edge in edges), 12 * SECOND)


def test_children_leave_control_node_that_lost_its_peers() -> None:
    """Guards against edges that miss new items because their parent is cut off from the other control nodes."""
    network, controls, edges = small_fleet()
    network.cut_both_ways([controls[0]], controls[1:])
    item = network.publish(controls[1], 1)
    network.run_until(lambda: network.have([*edges, *controls[1:]], item), 4 * SECOND)


def test_isolated_region_catches_up_after_partition_heals() -> None:
    network, controls, _edges = small_fleet()
    region = [host for host in network.running() if host.member.region == "region-0"]
    others = [host for host in network.running() if host.member.region != "region-0"]
    network.cut_both_ways(region, others)
    network.run(5 * SECOND)
    item = network.publish(controls[1], 1)
    network.run_until(lambda: network.have(others, item), SECOND)
    assert not network.have(region, item)
    network.heal()
    assert network.run_until(lambda: network.have(region, item), 2 * SECOND) <= 1_500 * MS
    network.run_until(lambda: network.all_know(network.running()), 3 * SECOND)


def test_restarted_control_node_receives_current_item() -> None:
    network, controls, _ = small_fleet()
    item = network.publish(controls[0], 5)
    network.run(SECOND)
    network.kill(controls[0])
    network.run(SECOND)
    network.restart(controls[0])
    network.run_until(lambda: network.have(network.running(), item), SECOND)


def test_anti_entropy_repairs_lost_push() -> None:
    network, controls, edges = small_fleet()
    lost: list[Message] = []

    def lose(source: Address, target: Address, message: Message) -> bool:
        is_lost = isinstance(message, Update) and target == edges[0].address and not lost
        if is_lost:
            lost.append(message)
        return is_lost

    network.lose_message = lose
    worker = Item(ItemKind.WORKER, "w1", Version(1), b"worker")
    network.publish_items(controls[0], [worker])
    network.run(500 * MS)
    assert lost
    assert not network.have([edges[0]], worker)
    network.run_until(lambda: network.have([edges[0]], worker), 3 * SECOND)


def test_lost_configuration_push_is_requested_after_next_keepalive() -> None:
    network, controls, edges = small_fleet()
    lost: list[Message] = []

    def lose(source: Address, target: Address, message: Message) -> bool:
        is_lost = isinstance(message, Update) and target == edges[0].address and not lost
        if is_lost:
            lost.append(message)
        return is_lost

    network.lose_message = lose
    item = network.publish(controls[0], 1)
    assert network.run_until(lambda: network.have([edges[0]], item), SECOND) <= 500 * MS
    assert lost


def test_node_behind_slow_link_stays_attached() -> None:
    """Guards against a node that changes its parent again and again because messages arrive late."""
    network, controls, edges = small_fleet()
    network.choke(edges[0], 800 * MS)
    network.run(10 * SECOND)
    before = edges[0].core.distribution.link.changes
    item = network.publish(controls[0], 1)
    network.run_until(lambda: network.have(network.running(), item), 3 * SECOND)
    network.run(20 * SECOND)
    assert edges[0].core.distribution.link.changes - before <= 4


def test_stalled_process_keeps_its_parent_and_suspects_nobody() -> None:
    """Guards against a process that takes its own stall for the silence of its parent and of other members."""
    network, controls, edges = small_fleet()
    parent = parent_of(network, edges[0])
    others = [host for host in network.running() if host is not edges[0]]
    before = [other.core.own_member.member.incarnation for other in others]
    network.freeze(edges[0], 3 * SECOND)
    item = network.publish(controls[0], 1)
    network.run(3_400 * MS)
    assert parent_of(network, edges[0]) is parent
    assert network.have(network.running(), item)
    network.run_until(lambda: network.all_know(network.running()), 2 * SECOND)
    assert [other.core.own_member.member.incarnation for other in others] == before


def test_read_repair_fetches_newer_version() -> None:
    network, controls, edges = small_fleet()
    network.lose_message = lambda source, target, message: isinstance(message, Update) and target == edges[0].address
    item = network.publish(controls[0], 1)
    network.run(200 * MS)
    network.lose_message = lambda source, target, message: False
    edges[0].core.distribution.refresh(item.kind, item.key)
    edges[0].core.tick(network.now)
    network.run_until(lambda: network.have([edges[0]], item), 500 * MS)


def test_tombstones_reach_all_nodes_and_expire() -> None:
    network, controls, edges = small_fleet()
    worker = Item(ItemKind.WORKER, "w1", Version(1), b"worker")
    network.publish(controls[0], 1)
    controls[0].core.publish(network.now, [worker])
    network.run(SECOND)
    assert network.have(network.running(), worker)
    gone = Item(ItemKind.WORKER, "w1", Version(2), deleted=True)
    edges[0].core.publish(network.now, [gone])
    network.run(SECOND)
    assert network.have(network.running(), gone)
    network.run(65 * SECOND)
    assert all(host.core.table.get(ItemKind.WORKER, "w1") is None for host in network.running())


def test_idle_traffic_stays_within_byte_budget() -> None:
    network, _, edges = small_fleet()
    before = {edge.address: edge.bytes_sent for edge in network.running()}
    network.run(10 * SECOND)
    for edge in edges:
        assert edge.bytes_sent - before[edge.address] < 10 * 100
    parents = sum(host.bytes_sent - before[host.address] for host in network.running() if host not in edges)
    assert parents < 10 * 1_000 * len(edges)


def test_large_fleet_receives_items_within_bound_also_after_relay_loss() -> None:
    network = Network()
    controls, edges = network.fleet(regions=3, edges=350)
    network.run_until(lambda: network.all_know(network.running()), 10 * SECOND)
    network.run(8 * SECOND)
    children = [len(host.core.distribution.children) for host in network.running()]
    assert max(children) <= 4 * FANOUT
    item = network.publish(controls[0], 1)
    assert network.run_until(lambda: network.have(network.running(), item), SECOND) <= 300 * MS
    relays = {parent_of(network, edge) for edge in edges} - set(controls)
    victim = next(relay for relay in relays if relay is not None)
    network.lose_power(victim)
    item = network.publish(controls[1], 2)
    assert network.run_until(lambda: network.have(network.running(), item), 3 * SECOND) <= 1_800 * MS


@settings(max_examples=15, deadline=None)
@given(
    seed=st.integers(0, 1 << 16),
    cuts=st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9), st.integers(1, 3_000)), max_size=8),
    publishers=st.lists(st.integers(0, 9), min_size=1, max_size=6),
)
def test_adopted_versions_only_grow_and_nodes_agree_after_any_partitions(
    seed: int, cuts: list[tuple[int, int, int]], publishers: list[int]
) -> None:
    network = Network(seed=seed, datagram_loss=0.02)
    controls, edges = network.fleet(regions=3, edges=7)
    hosts = [*controls, *edges]
    network.run(2 * SECOND)
    for index, (one, other, span) in enumerate(cuts):
        network.cut([hosts[one]], [hosts[other]])
        network.publish(hosts[publishers[index % len(publishers)]], index + 1, size=100)
        network.run(span * MS)
    network.heal()
    item = network.publish(hosts[publishers[0]], 1_000, size=100)
    network.run_until(lambda: network.have(hosts, item), 4 * SECOND)
    network.run_until(lambda: network.all_know(hosts), 10 * SECOND)
    for host in hosts:
        assert host.adopted == sorted(host.adopted)
