"""Faults planted in the contact lease and its users: each must make the test listed beside it in `FAULTS` fail."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest

from canvasbeam.cluster.node_core import NodeCore
from canvasbeam.control_plane.heartbeat_exchange import RECENT_CONTACT_NS
from canvasbeam.control_plane.registry import RegistryService
from canvasbeam.control_plane.web import Answer
from canvasbeam.distribution import reconciliation as reconcile
from canvasbeam.distribution.distribution import Distribution
from canvasbeam.distribution.messages import Message
from canvasbeam.distribution.parent_link import ParentLink
from canvasbeam.failure_detection.monitoring import Monitoring
from canvasbeam.leases.contact import ContactLease, ControlVersions
from canvasbeam.leases.messages import LeaseGrant, LeaseRequest
from canvasbeam.leases.peer_clock import PeerClocks
from canvasbeam.runtime.settings import Address
from tests.control_plane import test_registry as registry
from tests.distribution import test_cluster_tree as tree
from tests.leases import test_contact_cuts as cuts
from tests.leases import test_contact_lease as lease

FaultInjection = Callable[[pytest.MonkeyPatch], None]


def contact_from_received_messages(patch: pytest.MonkeyPatch) -> None:
    """Move the contact instant when messages arrive from most control nodes, without a granted request."""
    receive = Distribution.receive

    def broken(self: Distribution, now: int, sender: Address, message: Message) -> None:
        receive(self, now, sender, message)
        mesh = self.control_peers.mesh
        if 2 * (1 + len(mesh.responsive(now))) > 1 + len(mesh.peers):
            self.lease.instant = now

    patch.setattr(Distribution, "receive", broken)


def lease_counted_from_receipt(patch: pytest.MonkeyPatch) -> None:
    """Count the lease from the receipt of a grant instead of from the sending of its request."""
    on_grant = Distribution._on_lease_grant

    def broken(self: Distribution, now: int, sender: Address, message: LeaseGrant) -> None:
        before = self.lease.instant
        on_grant(self, now, sender, message)
        if self.lease.instant != before:
            self.lease.instant = now

    patch.setattr(Distribution, "_on_lease_grant", broken)


def keepalive_counted_from_receipt(patch: pytest.MonkeyPatch) -> None:
    """Take the time of receipt of a keepalive as its sending time."""
    patch.setattr(PeerClocks, "sent_at", lambda self, now, address, time: now)


def versions_not_compared(patch: pytest.MonkeyPatch) -> None:
    """Move the contact instant without comparing the versions that this node holds with those of the granters."""
    patch.setattr(ControlVersions, "covers", lambda self, other: True)


def one_electorate_of_two(patch: pytest.MonkeyPatch) -> None:
    """Require grants of the witnesses of the newest view only, even before the change of the view is settled."""
    set_electorates = ContactLease.set_electorates
    patch.setattr(ContactLease, "set_electorates", lambda self, each: set_electorates(self, list(each)[:1]))


def electorate_ignored(patch: pytest.MonkeyPatch) -> None:
    """Require a majority of all known control nodes instead of a majority of the witnesses."""
    patch.setattr(Distribution, "set_electorates", lambda self, now, electorates: None)


def any_later_request_confirms_a_write(patch: pytest.MonkeyPatch) -> None:
    """Count a write as done once a majority has granted any later request."""
    patch.setattr(
        ContactLease,
        "is_written",
        lambda self, number: self.instant is not None and self.instant >= self._writes[number].sent_at,
    )


def stale_parent_is_kept(patch: pytest.MonkeyPatch) -> None:
    """Treat a parent that is out of contact like any other parent."""
    patch.setattr(ParentLink, "_is_stale", lambda self, now: False)


def write_granted_before_items_are_held(patch: pytest.MonkeyPatch) -> None:
    """Grant a write before the granting control node holds the items of the write."""

    def broken(self: Distribution, now: int, sender: Address, message: LeaseRequest) -> None:
        self._outbox.send((sender,), LeaseGrant(message.number, ControlVersions.of(self.table)))

    patch.setattr(Distribution, "_on_lease_request", broken)


def write_sent_once(patch: pytest.MonkeyPatch) -> None:
    """Never send a write again whose first messages were lost."""
    patch.setattr(ContactLease, "missing_writes", lambda self, peer: [])


def death_declared_without_contact(patch: pytest.MonkeyPatch) -> None:
    """Let a node declare members dead without being in contact with most of the control nodes."""
    tick = Monitoring.tick
    patch.setattr(Monitoring, "tick", lambda self, now, has_majority: tick(self, now, True))


def newer_versions_not_requested(patch: pytest.MonkeyPatch) -> None:
    """Request no newer versions after a keepalive or a grant has named them."""
    patch.setattr(reconcile, "request_newer", lambda table, versions: ())


def worker_end_acknowledged_on_earlier_lease(patch: pytest.MonkeyPatch) -> None:
    """Acknowledge the end of a worker on an earlier lease, without a majority that holds the end."""

    async def broken(self: RegistryService, worker_id: str, document: dict[str, str]) -> Answer:
        return self._acknowledge(document, self._node.has_recent_contact(RECENT_CONTACT_NS))

    patch.setattr(RegistryService, "_acknowledge_end", broken)


def exchange_always_recent(patch: pytest.MonkeyPatch) -> None:
    """Let a directory serve callers right after a pause, before another node has answered a message of this node."""
    patch.setattr(NodeCore, "has_recent_exchange", lambda self, now: True)


FAULTS: list[tuple[FaultInjection, Callable[[], None]]] = [
    (contact_from_received_messages,
     partial(cuts.test_control_node_cut_one_way_from_peers_is_out_of_contact, cuts.OUTGOING_LOST)),
    (contact_from_received_messages,
     partial(cuts.test_children_leave_parent_out_of_contact_and_receive_later_changes, cuts.OUTGOING_STALLED, 1)),
    (lease_counted_from_receipt, cuts.test_stalled_grants_do_not_renew_an_old_lease),
    (lease_counted_from_receipt,
     cuts.test_paused_control_node_has_no_contact_until_a_new_request_is_granted),
    (keepalive_counted_from_receipt, cuts.test_age_of_stalled_keepalives_counts_from_their_sending),
    (versions_not_compared,
     cuts.test_reconnected_node_is_in_contact_only_with_configuration_of_majority),
    (one_electorate_of_two, lease.test_two_electorates_must_both_have_a_majority_while_a_view_is_not_settled),
    (one_electorate_of_two,
     cuts.test_change_of_electorate_ends_contact_without_both_majorities_until_settled),
    (electorate_ignored, cuts.test_contact_needs_a_majority_of_the_witnesses_of_a_known_view),
    (any_later_request_confirms_a_write, lease.test_write_completes_only_by_grants_of_its_own_request),
    (write_granted_before_items_are_held, cuts.test_write_is_sent_again_after_lost_messages),
    (write_sent_once, cuts.test_write_is_sent_again_after_lost_messages),
    (death_declared_without_contact, cuts.test_only_a_node_in_contact_declares_members_dead),
    (newer_versions_not_requested,
     tree.test_lost_configuration_push_is_requested_after_next_keepalive),
    (worker_end_acknowledged_on_earlier_lease,
     partial(registry.test_end_of_worker_is_acknowledged_only_after_majority_stored_it, "draining")),
    (exchange_always_recent,
     cuts.test_paused_control_node_has_no_contact_until_a_new_request_is_granted),
    (exchange_always_recent, cuts.test_control_node_that_receives_nothing_has_no_recent_exchange),
    (stale_parent_is_kept,
     partial(cuts.test_children_leave_parent_out_of_contact_and_receive_later_changes, cuts.OUTGOING_STALLED, 1)),
]  # fmt: skip


def _name(value: object) -> str:
    function = value.func if isinstance(value, partial) else value
    return str(getattr(function, "__name__", value)).removeprefix("test_")


@pytest.mark.parametrize(("inject_fault", "named_test"), FAULTS, ids=_name)
def test_a_planted_fault_fails_its_test(
    inject_fault: FaultInjection, named_test: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    named_test()
    inject_fault(monkeypatch)
    with pytest.raises(AssertionError):
        named_test()
