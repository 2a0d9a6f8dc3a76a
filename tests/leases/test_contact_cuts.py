"""Contact leases and delivery of changes in a simulated network with cut or stalled links and paused processes."""

from __future__ import annotations

import pytest

from canvasbeam.distribution.messages import Message, Update
from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.leases.contact import ControlVersions
from canvasbeam.leases.messages import LeaseGrant
from canvasbeam.runtime.settings import Address
from tests.support.cluster_network import MS, SECOND, Host, Network

CONTACT_TIMEOUT = 1_200 * MS
IN_FORCE_LIMIT = 3 * SECOND  # documented time from the acknowledgement of a change until it is in force on all nodes
REPARENT_LIMIT = 1_600 * MS  # children leave a parent out of contact and hold the newest configuration within this time
SEEDS = range(1, 5)


def fleet(regions: int = 3, edges: int = 7, seed: int = 1) -> tuple[Network, list[Host], list[Host]]:
    network = Network(seed=seed)
    controls, others = network.fleet(regions=regions, edges=edges)
    network.run_until(lambda: network.all_know(network.running()), 3 * SECOND)
    network.run(6 * SECOND)
    return network, controls, others


def is_in_contact(network: Network, host: Host) -> bool:
    return host.core.has_majority(network.now)


def contact_age(network: Network, host: Host) -> int:
    found = host.core.contact_age(network.now)
    assert found is not None
    return found


def others_than(network: Network, *hosts: Host) -> list[Host]:
    return [host for host in network.running() if host not in hosts]


def children_of(network: Network, host: Host) -> list[Host]:
    return [child for child in network.running() if child.core.distribution.link.is_parent(host.address)]


# --- without faults -------------------------------------------------------------------------------


def test_contact_ages_without_faults_stay_below_heartbeat_limit() -> None:
    network, controls, edges = fleet()
    for _ in range(1_000):
        network.run(7 * MS)
        assert all(contact_age(network, control) <= 400 * MS for control in controls)
        assert all(contact_age(network, edge) <= 600 * MS for edge in edges)


def test_contact_ages_at_55_ms_delay_stay_below_heartbeat_limit() -> None:
    """With one-way delays of 55 ms, the contact age stays below the 600 ms above which no heartbeat is acknowledged."""
    network, controls, _ = fleet()
    for control in controls:
        network.choke(control, 10 * MS)
    network.run(SECOND)
    for _ in range(1_000):
        network.run(7 * MS)
        assert all(contact_age(network, control) <= 420 * MS for control in controls)


def test_no_node_changes_its_parent_without_faults() -> None:
    network, _, edges = fleet(edges=60)
    before = [edge.core.distribution.link.changes for edge in edges]
    network.run(60 * SECOND)
    assert [edge.core.distribution.link.changes for edge in edges] == before


def test_contact_ages_below_relays_stay_below_contact_timeout() -> None:
    network, _controls, edges = fleet(edges=60)
    deepest = max(edge.core.distribution.node_status.depth for edge in edges)
    assert deepest == 2
    for _ in range(300):
        network.run(13 * MS)
        assert all(contact_age(network, edge) <= 700 * MS for edge in edges)


# --- one control node is cut off ------------------------------------------------------------------

OUTGOING_LOST, INCOMING_LOST = "its messages are lost", "others' messages are lost"
OUTGOING_STALLED, INCOMING_STALLED = "its messages are stalled", "others' messages are stalled"
ONE_WAY_FAULTS = [OUTGOING_LOST, INCOMING_LOST, OUTGOING_STALLED, INCOMING_STALLED]


def cut_one_way(network: Network, host: Host, direction: str, others: list[Host]) -> None:
    """Cut or stall one direction between `host` and `others`.

    A cut loses messages, and the connections end some time later. A stall only holds messages back: the connections
    stay open and the other direction works.
    """
    match direction:
        case "its messages are lost":
            network.cut([host], others)
        case "others' messages are lost":
            network.cut(others, [host])
        case "its messages are stalled":
            network.stall([host], others)
        case _:
            network.stall(others, [host])


@pytest.mark.parametrize("direction", ONE_WAY_FAULTS)
def test_control_node_cut_one_way_from_peers_is_out_of_contact(direction: str) -> None:
    network, controls, _ = fleet()
    cut_one_way(network, controls[0], direction, controls[1:])
    network.run(CONTACT_TIMEOUT + 10 * MS)
    assert not is_in_contact(network, controls[0])
    for _ in range(100):
        network.run(100 * MS)
        assert not is_in_contact(network, controls[0])
        assert all(is_in_contact(network, control) for control in controls[1:])


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("direction", ONE_WAY_FAULTS)
def test_children_leave_parent_out_of_contact_and_receive_later_changes(direction: str, seed: int) -> None:
    """Children must leave a parent that is out of contact although they still receive its messages.

    Only the links between control nodes are cut.
    """
    network, controls, _ = fleet(seed=seed)
    assert children_of(network, controls[0])
    cut_one_way(network, controls[0], direction, controls[1:])
    cut_at = network.now
    item = network.publish(controls[1], 1)
    others = others_than(network, controls[0])
    assert network.run_until(lambda: network.have(others, item), 3 * SECOND) <= REPARENT_LIMIT
    network.run_until(lambda: not children_of(network, controls[0]), cut_at + REPARENT_LIMIT - network.now)
    for number in range(2, 10):
        network.run(SECOND)
        item = network.publish(controls[number % 2 + 1], number)
        assert network.run_until(lambda: network.have(others, item), SECOND) <= 200 * MS  # noqa: B023
        assert not children_of(network, controls[0])


@pytest.mark.parametrize("after", range(0, 3_000, 300))
@pytest.mark.parametrize("direction", ONE_WAY_FAULTS)
def test_change_published_during_cut_is_in_force_in_time(direction: str, after: int) -> None:
    network, controls, _ = fleet()
    others = others_than(network, controls[0])
    cut_one_way(network, controls[0], direction, controls[1:])
    network.run(after * MS)
    item = network.publish(controls[1], 1)
    assert network.run_until(lambda: network.have(others, item), IN_FORCE_LIMIT) <= REPARENT_LIMIT


@pytest.mark.parametrize("direction", ONE_WAY_FAULTS)
def test_change_published_just_before_cut_is_in_force_in_time(direction: str) -> None:
    network, controls, _edges = fleet()
    network.run(130 * MS)
    item = network.publish(controls[1], 1)
    network.run(10 * MS)
    cut_one_way(network, controls[0], direction, controls[1:])
    others = others_than(network, controls[0])
    assert network.run_until(lambda: network.have(others, item), IN_FORCE_LIMIT) <= REPARENT_LIMIT


@pytest.mark.parametrize("direction", ONE_WAY_FAULTS)
def test_children_of_control_node_cut_one_way_from_all_nodes_receive_changes(direction: str) -> None:
    network, controls, _ = fleet()
    others = others_than(network, controls[0])
    cut_one_way(network, controls[0], direction, others)
    item = network.publish(controls[2], 1)
    assert network.run_until(lambda: network.have(others, item), 3 * SECOND) <= REPARENT_LIMIT


def test_two_control_nodes_of_five_cut_off_together_are_out_of_contact() -> None:
    network, controls, edges = fleet(regions=5, edges=15)
    cut, rest = controls[:2], controls[2:]
    network.cut(cut, rest)
    network.run(CONTACT_TIMEOUT + 10 * MS)
    assert not any(is_in_contact(network, node) for node in cut)
    assert all(is_in_contact(network, control) for control in rest)
    item = network.publish(rest[0], 1)
    assert (
        network.run_until(lambda: network.have([*rest, *edges], item), 3 * SECOND) <= REPARENT_LIMIT - CONTACT_TIMEOUT
    )
    assert all(is_in_contact(network, edge) for edge in edges)


def test_reconnected_node_is_in_contact_only_with_configuration_of_majority() -> None:
    network, controls, _ = fleet()
    network.cut_both_ways([controls[0]], controls[1:])
    network.run(3 * SECOND)
    item = network.publish(controls[1], 1)
    network.run(100 * MS)
    is_lost = [True]
    network.lose_message = lambda source, target, message: (
        is_lost[0] and target == controls[0].address and isinstance(message, Update)
    )
    network.heal()
    network.run(3 * SECOND)
    assert not network.have([controls[0]], item)
    assert not is_in_contact(network, controls[0])
    is_lost[0] = False
    network.run_until(lambda: is_in_contact(network, controls[0]), 2 * SECOND)
    assert network.have([controls[0]], item)


def test_only_a_node_in_contact_declares_members_dead() -> None:
    network, controls, _ = fleet()
    network.cut([controls[0]], controls[1:])
    network.run(1_500 * MS)
    others = others_than(network, controls[0])
    monitoring = controls[0].core.monitoring
    network.cut(controls[1:], [controls[0]])
    for _ in range(40):
        network.run(100 * MS)
        held = [controls[0].core.table.get(ItemKind.MEMBER, other.member.key) for other in others]
        assert not any(item is None or item.deleted for item in held)
    assert any(monitoring.is_unresponsive(control.member.key) for control in controls[1:])


# --- stalled links --------------------------------------------------------------------------------


def test_age_of_stalled_keepalives_counts_from_their_sending() -> None:
    network, controls, _edges = fleet()
    child = children_of(network, controls[0])[0]
    before = child.core.distribution.node_status.contact_instant
    network.stall(controls, [child])
    network.run(SECOND)
    held_until = network.now
    network.lose_message = lambda source, target, message: target == child.address  # the child receives nothing newer
    network.run(2 * SECOND)
    assert not is_in_contact(network, child)
    network.lose_message = lambda source, target, message: False
    network.release()
    network.lose_message = lambda source, target, message: target == child.address
    for _ in range(300):
        network.run(10 * MS)
        instant = child.core.distribution.node_status.contact_instant
        assert before is not None
        assert instant is not None
        assert before <= instant <= held_until
        assert not is_in_contact(network, child)


def test_stalled_grants_do_not_renew_an_old_lease() -> None:
    network, controls, _ = fleet()
    network.stall(controls[1:], [controls[0]])
    network.run(3 * SECOND)
    assert not is_in_contact(network, controls[0])
    held_since = network.now
    network.cut([controls[0]], controls[1:])
    network.release()
    network.run(60 * MS)
    instant = controls[0].core.distribution.node_status.contact_instant
    assert instant is not None
    assert instant <= held_since
    network.run(CONTACT_TIMEOUT)
    assert not is_in_contact(network, controls[0])


# --- paused processes -----------------------------------------------------------------------------


def test_paused_control_node_has_no_contact_until_a_new_request_is_granted() -> None:
    network, controls, _ = fleet()
    contact = controls[0].core.distribution.lease
    network.run_until(lambda: bool(contact._requests), 300 * MS)  # lease grants then arrive while the process is frozen
    network.freeze(controls[0], 4 * SECOND)
    frozen_at = network.now
    network.run(4 * SECOND + MS)
    assert not is_in_contact(network, controls[0])
    assert not controls[0].core.has_recent_exchange(network.now)
    instant = controls[0].core.distribution.node_status.contact_instant
    assert instant is not None
    assert instant <= frozen_at
    network.run_until(lambda: is_in_contact(network, controls[0]), 500 * MS)
    assert controls[0].core.has_recent_exchange(network.now)


def test_resumed_parent_does_not_confirm_child_without_newest_configuration() -> None:
    network, controls, _ = fleet()
    child = children_of(network, controls[0])[0]
    network.cut([child], controls[1:])
    network.cut(controls[1:], [child])
    network.run(2 * SECOND)
    network.freeze(controls[0], 3 * SECOND)
    network.run(1_500 * MS)
    item = network.publish(controls[1], 1)
    for _ in range(500):
        network.run(10 * MS)
        assert network.have([child], item) or not is_in_contact(network, child)
    assert network.have([child], item)


def test_contact_below_a_paused_relay_ends_and_returns() -> None:
    network, controls, edges = fleet(edges=60)
    relay = next(edge for edge in edges if children_of(network, edge))
    children = children_of(network, relay)
    network.freeze(relay, 4 * SECOND)
    network.run(CONTACT_TIMEOUT + 100 * MS)
    item = network.publish(controls[0], 1)
    rest = [edge for edge in edges if edge is not relay]
    assert network.run_until(lambda: network.have(rest, item), 2 * SECOND) <= REPARENT_LIMIT - CONTACT_TIMEOUT
    network.run(3 * SECOND)
    network.run_until(lambda: all(is_in_contact(network, node) for node in [relay, *children]), SECOND)
    assert network.have(network.running(), item)


# --- starts during a cut --------------------------------------------------------------------------


def test_edge_restarted_during_cut_finds_the_majority() -> None:
    network, controls, edges = fleet()
    network.cut([controls[0]], controls[1:])
    network.run(2 * SECOND)
    item = network.publish(controls[1], 1)
    edge = network.restart(edges[0])
    assert network.run_until(lambda: network.have([edge], item), 3 * SECOND) <= REPARENT_LIMIT
    network.run_until(lambda: is_in_contact(network, edge), SECOND)


def test_edge_with_seeds_on_minority_side_finds_majority_by_member_list() -> None:
    network, controls, edges = fleet()
    network.cut(controls[:1], controls[1:])
    item = network.publish(controls[1], 1)
    network.seeds = [controls[0].address]
    edge = network.restart(edges[0])
    assert network.run_until(lambda: network.have([edge], item), 4 * SECOND) <= IN_FORCE_LIMIT
    network.run_until(lambda: is_in_contact(network, edge), SECOND)


def test_edge_without_other_candidates_keeps_parent_out_of_contact() -> None:
    network, controls, edges = fleet()
    side = [controls[0], *(edge for edge in edges if edge.member.region == "region-0")]
    network.cut_both_ways(side, others_than(network, *side))
    network.run(8 * SECOND)
    for edge in side[1:]:
        assert not is_in_contact(network, edge)
        assert edge.core.distribution.link.is_parent(controls[0].address)
    assert controls[0].core.has_recent_exchange(network.now)
    assert {node.member.name for node in side[1:]} <= network.names(controls[0])


def test_control_node_that_receives_nothing_has_no_recent_exchange() -> None:
    network, controls, _ = fleet()
    network.cut(others_than(network, controls[0]), [controls[0]])
    network.run(2_100 * MS)
    assert not controls[0].core.has_recent_exchange(network.now)


# --- the electorate -------------------------------------------------------------------------------


def set_electorates(network: Network, controls: list[Host], *electorates: list[Host]) -> None:
    for control in controls:
        control.core.set_electorates(network.now, [[member.member.ip for member in group] for group in electorates])


def test_contact_needs_a_majority_of_the_witnesses_of_a_known_view() -> None:
    """A majority of the control nodes must not suffice where a majority of the witnesses is on the other side of a cut.

    Two of the three witnesses are on one side, three of the five control nodes on the other.
    """
    network, controls, _ = fleet(regions=5, edges=10)
    set_electorates(network, controls, controls[:3])
    network.cut_both_ways(controls[:2], controls[2:])
    network.run(2 * SECOND)
    assert all(is_in_contact(network, control) for control in controls[:2])
    assert not any(is_in_contact(network, control) for control in controls[2:])


def test_change_of_electorate_keeps_contact_while_both_majorities_answer() -> None:
    network, controls, _ = fleet(regions=5, edges=10)
    former, later, running = controls[:3], controls[2:], controls[1:]
    network.lose_power(controls[0])
    for electorates in ([former, later], [later]):
        set_electorates(network, running, *electorates)
        for _ in range(40):
            network.run(50 * MS)
            assert all(is_in_contact(network, host) for host in running)


def test_change_of_electorate_ends_contact_without_both_majorities_until_settled() -> None:
    network, controls, _ = fleet(regions=5, edges=10)
    former, later = controls[:3], controls[2:]
    set_electorates(network, controls, later, former)
    network.lose_power(controls[0])
    network.lose_power(controls[1])
    network.run(2 * SECOND)
    assert not any(is_in_contact(network, control) for control in later)
    set_electorates(network, later, later)
    network.run_until(lambda: all(is_in_contact(network, control) for control in later), 500 * MS)


# --- writes to a majority -------------------------------------------------------------------------


def worker(sequence: int) -> Item:
    return Item(ItemKind.WORKER, "w1", Version(sequence), b"worker")


def test_completed_write_is_held_by_a_majority() -> None:
    network, controls, _ = fleet()
    item = worker(1)
    network.publish_items(controls[0], [item])
    number = controls[0].core.begin_write(network.now, [item])
    network._perform(controls[0])
    network.run_until(lambda: controls[0].core.is_written(number), 150 * MS)
    assert sum(network.have([control], item) for control in controls[1:]) >= 1
    network.run_until(lambda: network.have(network.running(), item), 200 * MS)


@pytest.mark.parametrize("direction", ONE_WAY_FAULTS)
def test_write_of_a_node_cut_one_way_never_completes(direction: str) -> None:
    network, controls, _ = fleet()
    cut_one_way(network, controls[0], direction, controls[1:])
    number = controls[0].core.begin_write(network.now, [worker(1)])
    network._perform(controls[0])
    network.run(5 * SECOND)
    assert not controls[0].core.is_written(number)


def test_write_is_sent_again_after_lost_messages() -> None:
    network, controls, _ = fleet()
    lost = [2]

    def lose(source: Address, target: Address, message: Message) -> bool:
        is_lost = source == controls[0].address and lost[0] > 0
        lost[0] -= is_lost
        return is_lost

    network.lose_message = lose
    number = controls[0].core.begin_write(network.now, [worker(1)])
    network._perform(controls[0])
    assert network.run_until(lambda: controls[0].core.is_written(number), SECOND) <= 500 * MS
    assert any(network.have([control], worker(1)) for control in controls[1:])


def test_granters_report_the_versions_that_they_hold() -> None:
    network, controls, _ = fleet()
    reported: list[ControlVersions] = []

    def watch(source: Address, target: Address, message: Message) -> bool:
        if isinstance(message, LeaseGrant) and source == controls[1].address:
            reported.append(message.versions)
        return False

    network.lose_message = watch
    network.publish(controls[1], 4)
    network.run(SECOND)
    assert reported[-1] == ControlVersions(configuration=4)


# --- parent candidates that failed before ---------------------------------------------------------


@pytest.mark.parametrize("seed", range(1, 25))
def test_edge_retries_failed_parent_candidates_when_no_other_is_left(seed: int) -> None:
    """An edge must retry parent candidates that failed earlier when no other candidate is left.

    The edge is cut off from all nodes for 2 s; right after it has found a parent again, that parent receives nothing
    from the other control nodes.
    """
    network, controls, edges = fleet(seed=seed)
    edge = edges[0]
    network.cut_both_ways([edge], others_than(network, edge))
    network.run(2 * SECOND)
    network.heal()
    network.run_until(lambda: any(edge in children_of(network, control) for control in controls), 4 * SECOND)
    network.run(100 * MS)
    parent = next(control for control in controls if edge in children_of(network, control))
    others = [control for control in controls if control is not parent]
    network.stall(others, [parent])
    item = network.publish(others[0], 1)
    assert network.run_until(lambda: network.have([edge], item), 4 * SECOND) <= REPARENT_LIMIT
