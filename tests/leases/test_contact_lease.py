"""Contact leases of control nodes, relayed leases of their children, and clocks of peers, at times set by the test."""

from __future__ import annotations

import pytest

from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.leases.contact import (
    MAX_PENDING_REQUESTS,
    ContactLease,
    ContactState,
    ControlVersions,
    RelayedGrant,
    RelayedLease,
    contact_state,
)
from canvasbeam.leases.peer_clock import RELEARN_AFTER_NS, PeerClocks, SendTime
from canvasbeam.runtime.settings import Address
from canvasbeam.units import MILLISECOND, SECOND

NODES = [Address(f"10.0.0.{number}", 7660) for number in range(1, 6)]
OLD = ControlVersions(10, 3)
NEW = ControlVersions(11, 3)
LEASE = 1_200 * MILLISECOND


def contact_of(count: int) -> ContactLease:
    contact = ContactLease(NODES[0], seed=7)
    contact.set_electorates([NODES[:count]])
    return contact


# --- the lease ------------------------------------------------------------------------------------


def test_lease_counts_from_the_sending_of_its_request() -> None:
    contact = contact_of(3)
    number = contact.begin_request(1 * SECOND, OLD)
    assert contact.on_grant(NODES[1], number, OLD, OLD)
    assert contact.instant == 1 * SECOND
    assert contact_state(contact.instant, 4 * SECOND, LEASE) is ContactState.LAPSED


def test_majority_of_five_needs_two_other_grants() -> None:
    contact = contact_of(5)
    number = contact.begin_request(0, OLD)
    assert not contact.on_grant(NODES[1], number, OLD, OLD)
    assert not contact.on_grant(NODES[1], number, OLD, OLD)
    assert contact.on_grant(NODES[2], number, OLD, OLD)


def test_grants_of_two_requests_make_no_majority() -> None:
    contact = contact_of(5)
    first, second = contact.begin_request(0, OLD), contact.begin_request(SECOND, OLD)
    contact.on_grant(NODES[1], first, OLD, OLD)
    contact.on_grant(NODES[2], second, OLD, OLD)
    assert contact.instant is None


def test_nodes_outside_the_electorate_do_not_count() -> None:
    contact = contact_of(3)
    number = contact.begin_request(0, OLD)
    contact.on_grant(NODES[3], number, OLD, OLD)
    contact.on_grant(NODES[4], number, OLD, OLD)
    assert contact.instant is None


def test_a_node_outside_the_electorate_needs_a_majority_of_the_others() -> None:
    contact = contact_of(3)
    contact.set_electorates([NODES[1:4]])
    number = contact.begin_request(0, OLD)
    assert not contact.on_grant(NODES[1], number, OLD, OLD)
    assert contact.on_grant(NODES[2], number, OLD, OLD)


def test_grown_electorate_keeps_the_lease_and_must_grant_the_next_request() -> None:
    contact = contact_of(3)
    contact.on_grant(NODES[1], contact.begin_request(0, OLD), OLD, OLD)
    contact.set_electorates([NODES])
    assert contact.instant == 0
    number = contact.begin_request(SECOND, OLD)
    contact.on_grant(NODES[1], number, OLD, OLD)
    assert contact.instant == 0
    contact.on_grant(NODES[4], number, OLD, OLD)
    assert contact.instant == SECOND


def test_two_electorates_must_both_have_a_majority_while_a_view_is_not_settled() -> None:
    contact = contact_of(3)
    contact.set_electorates([NODES[2:5], NODES[:3]])
    number = contact.begin_request(0, OLD)
    assert not contact.on_grant(NODES[3], number, OLD, OLD)
    assert not contact.on_grant(NODES[4], number, OLD, OLD)
    assert contact.on_grant(NODES[1], number, OLD, OLD)


def test_single_control_node_needs_no_grants() -> None:
    contact = contact_of(1)
    contact.begin_request(5, OLD)
    assert contact.instant == 5


def test_lease_waits_until_the_newer_version_of_a_granter_is_held() -> None:
    contact = contact_of(3)
    contact.on_grant(NODES[1], contact.begin_request(0, OLD), OLD, OLD)
    number = contact.begin_request(SECOND, OLD)
    assert not contact.on_grant(NODES[1], number, NEW, OLD)
    assert contact.instant == 0
    assert contact.advance(NEW)
    assert contact.instant == SECOND


def test_granter_with_older_version_does_not_delay_the_lease() -> None:
    contact = contact_of(3)
    assert contact.on_grant(NODES[1], contact.begin_request(0, NEW), OLD, NEW)


def test_late_grant_does_not_move_the_instant_back() -> None:
    contact = contact_of(3)
    first, second = contact.begin_request(0, OLD), contact.begin_request(SECOND, OLD)
    contact.on_grant(NODES[1], second, OLD, OLD)
    assert not contact.on_grant(NODES[2], first, OLD, OLD)
    assert contact.instant == SECOND


def test_grant_to_an_earlier_incarnation_is_ignored() -> None:
    earlier, later = contact_of(3), ContactLease(NODES[0], seed=8)
    later.set_electorates([NODES[:3]])
    number = earlier.begin_request(0, OLD)
    later.begin_request(SECOND, OLD)
    assert not later.on_grant(NODES[1], number, OLD, OLD)
    assert later.exchanged_at is None


def test_pending_requests_are_bounded() -> None:
    contact = contact_of(3)
    numbers = [contact.begin_request(now, OLD) for now in range(MAX_PENDING_REQUESTS + 5)]
    assert not contact.on_grant(NODES[1], numbers[4], OLD, OLD)
    assert contact.on_grant(NODES[1], numbers[5], OLD, OLD)


def test_write_completes_only_by_grants_of_its_own_request() -> None:
    item = Item(ItemKind.WORKER, "w", Version(1))
    contact = contact_of(5)
    write = contact.begin_write(0, [item])
    plain = contact.begin_request(SECOND, OLD)
    for granter in NODES[1:4]:
        contact.on_grant(granter, plain, OLD, OLD)
    assert contact.instant == SECOND
    assert not contact.is_written(write)
    contact.on_grant(NODES[1], write, OLD, OLD)
    assert contact.missing_writes(NODES[1]) == []
    assert contact.missing_writes(NODES[2]) == [write]
    assert contact.items_of_write(write) == (item,)
    contact.on_grant(NODES[2], write, OLD, OLD)
    assert contact.is_written(write)
    contact.end_write(write)
    assert not contact.is_written(write)


@pytest.mark.parametrize(
    ("instant", "now", "state"),
    [
        (None, 0, ContactState.UNCONFIRMED),
        (0, LEASE, ContactState.CONFIRMED),
        (0, LEASE + 1, ContactState.LAPSED),
    ],
)
def test_the_state_follows_from_the_instant_and_the_clock(instant: int | None, now: int, state: ContactState) -> None:
    assert contact_state(instant, now, LEASE) is state


# --- the relayed lease of a child -----------------------------------------------------------------


def test_child_is_in_contact_once_it_holds_the_granted_versions() -> None:
    relayed = RelayedLease()
    assert relayed.on_grant(RelayedGrant(0, OLD), OLD)
    assert not relayed.on_grant(RelayedGrant(SECOND, NEW), OLD)
    assert relayed.instant == 0
    assert relayed.advance(NEW)
    assert relayed.instant == SECOND


def test_older_relayed_grant_does_not_move_the_instant_back() -> None:
    relayed = RelayedLease()
    relayed.on_grant(RelayedGrant(SECOND, OLD), OLD)
    assert not relayed.on_grant(RelayedGrant(0, OLD), OLD)
    assert relayed.instant == SECOND


# --- the clock of another process -----------------------------------------------------------------

PARENT = NODES[1]


def test_age_of_a_delayed_message_counts_from_its_sending() -> None:
    clocks = PeerClocks(0)
    clocks.learn(110, PARENT, SendTime(1, 5_000, requested_at=100))
    assert clocks.sent_at(110, PARENT, SendTime(1, 5_000)) == 100
    assert clocks.sent_at(9_000, PARENT, SendTime(1, 5_250)) == 350


def test_estimated_sending_time_is_never_too_late() -> None:
    """The estimated sending time must not be later than the true one, whatever the delays of request and answer."""
    for out in (0, 5, 400):
        for back in (0, 5, 400):
            clocks = PeerClocks(0)
            asked, answered = 100, 100 + out  # the parent's clock is 7,000 ns ahead
            clocks.learn(answered + back, PARENT, SendTime(1, answered + 7_000, requested_at=asked))
            for sent in (answered, answered + 250, answered + 5_000):
                estimated = clocks.sent_at(sent + back, PARENT, SendTime(1, sent + 7_000))
                assert estimated is not None
                assert sent - out <= estimated <= sent


def test_faster_answer_improves_the_estimate_and_slower_one_is_ignored() -> None:
    clocks = PeerClocks(0)
    clocks.learn(900, PARENT, SendTime(1, 5_000, requested_at=100))
    clocks.learn(1_010, PARENT, SendTime(1, 5_205, requested_at=1_000))
    assert clocks.sent_at(2_000, PARENT, SendTime(1, 5_205)) == 1_000
    clocks.learn(2_900, PARENT, SendTime(1, 6_900, requested_at=2_000))
    assert clocks.sent_at(3_000, PARENT, SendTime(1, 5_205)) == 1_000


def test_another_incarnation_has_another_clock() -> None:
    clocks = PeerClocks(0)
    clocks.learn(110, PARENT, SendTime(1, 5_000, requested_at=100))
    assert clocks.sent_at(200, PARENT, SendTime(2, 5_050)) is None
    clocks.learn(310, PARENT, SendTime(2, 50, requested_at=300))
    assert clocks.sent_at(400, PARENT, SendTime(2, 60)) == 310


def test_answer_to_a_request_of_an_earlier_incarnation_is_ignored() -> None:
    clocks = PeerClocks(1_000)
    clocks.learn(1_100, PARENT, SendTime(1, 5_000, requested_at=900))
    assert clocks.sent_at(1_100, PARENT, SendTime(1, 5_000)) is None


def test_clock_offset_is_learned_again_to_follow_drift() -> None:
    clocks = PeerClocks(0)
    clocks.learn(10, PARENT, SendTime(1, 0, requested_at=10))
    assert not clocks.should_request(RELEARN_AFTER_NS, PARENT)
    assert clocks.should_request(RELEARN_AFTER_NS + 10, PARENT)
    drifted = RELEARN_AFTER_NS + 10
    clocks.learn(drifted, PARENT, SendTime(1, drifted + 500, requested_at=drifted))
    assert clocks.sent_at(drifted, PARENT, SendTime(1, drifted + 500)) == drifted
