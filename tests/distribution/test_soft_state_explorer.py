"""Random walks through the soft state with every kind of fault, and planted faults that the walks must find.

`EXPLORER_WALKS` sets the number of walks and `EXPLORER_FIRST` the seed of the first; the default number of walks takes
seconds. A walk depends on its seed alone, so that its seed reproduces a failed walk.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import AbstractContextManager, ExitStack
from dataclasses import dataclass
from unittest import mock

import pytest

from canvasbeam.cluster.member import Member
from canvasbeam.cluster.member_list import MemberList
from canvasbeam.control_plane.registry import RegistryService
from canvasbeam.control_plane.web import Answer
from canvasbeam.distribution import reconciliation as reconcile
from canvasbeam.distribution.distribution import Distribution
from canvasbeam.distribution.document_history import DocumentHistory
from canvasbeam.distribution.document_receiver import DocumentReceiver
from canvasbeam.distribution.messages import Message
from canvasbeam.distribution.node_status import NodeStatus
from canvasbeam.distribution.parent_link import ParentLink
from canvasbeam.distribution.pushes import Pushes
from canvasbeam.item_table import items
from canvasbeam.item_table.document import Document, DocumentDelta
from canvasbeam.item_table.items import Item, ItemKind, ItemTable, Version
from canvasbeam.leases.messages import LeaseGrant
from canvasbeam.leases.peer_clock import PeerClocks, SendTime
from canvasbeam.replication.control_state import Committed
from canvasbeam.replication.messages import Action, Reply
from canvasbeam.replication.primary import Primary
from canvasbeam.runtime.settings import Address
from canvasbeam.units import SECOND
from tests.distribution.test_documents import assemble_unchecked
from tests.support import soft_state_walk as walk_faults
from tests.support.soft_state_invariants import (
    AdoptionWentBackError,
    AnswerWithoutContactError,
    DrainedWorkerInUseError,
    EmptyDirectoryError,
    EndedNodeNamedError,
    MixedConfigurationError,
    OldConfigurationError,
    ViolationError,
    VouchedWithoutContactError,
)
from tests.support.soft_state_walk import TroubleKind, Walk

WALKS = int(os.environ.get("EXPLORER_WALKS", "12"))
FIRST_SEED = int(os.environ.get("EXPLORER_FIRST", "0"))
WALK_DURATION_NS = 20 * SECOND
WALKS_TO_FIND = 40


@dataclass
class ExplorationTotals:
    """Totals over the walks of a test process: wall-clock seconds, walks, events and checked states."""

    seconds: float = 0.0
    walks: int = 0
    events: int = 0
    checks: int = 0

    def __str__(self) -> str:
        took = max(self.seconds, 1e-9)
        return (
            f"soft state: {self.walks} walks in {took:.1f} s, {self.walks / took:.2f} a second,"
            f" with {self.events / took:.0f} events and {self.checks / took:.0f} checked states a second"
        )


@pytest.fixture(scope="module")
def exploration_totals(request: pytest.FixtureRequest) -> Iterator[ExplorationTotals]:
    """Collect the totals over the walks of this process and print them after the last walk."""
    exploration_totals = ExplorationTotals()
    yield exploration_totals
    capture = request.config.pluginmanager.getplugin("capturemanager")
    assert capture is not None
    with capture.global_and_fixture_disabled():
        print(f"\n{exploration_totals}", file=sys.stderr)  # pytest-xdist passes on only stderr


def run_walk(seed: int) -> Walk:
    """Run one walk; add its seed and its log of faults to the message of a violation."""
    walk = Walk(seed)
    try:
        walk.run(WALK_DURATION_NS)
    except ViolationError as violation:
        fault_log = "\n".join(walk.story)
        raise type(violation)(f"EXPLORER_FIRST={seed} EXPLORER_WALKS=1: {violation}\n{fault_log}") from violation
    return walk


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + WALKS))
def test_walk_violates_no_invariant(seed: int, exploration_totals: ExplorationTotals) -> None:
    began = time.perf_counter()
    walk = run_walk(seed)
    exploration_totals.seconds += time.perf_counter() - began
    exploration_totals.walks += 1
    exploration_totals.events += walk.events
    exploration_totals.checks += walk.watch.checks


# --- a walk is reproducible from its seed ---------------------------------------------------------------------------


def test_walk_with_same_seed_repeats_exactly() -> None:
    assert trace(5) == trace(5)


def test_wall_clock_jumps_do_not_change_walk() -> None:
    """Guards against code that reads the wall clock, which jumps here at each reading.

    A stall of a process shows in the monotonic clock.
    """
    plain = trace(5)
    jumps = iter(range(10**9))
    with (
        mock.patch.object(time, "time", lambda: (-1) ** next(jumps) * 10.0**6),
        mock.patch.object(time, "time_ns", lambda: (-1) ** next(jumps) * 10**15),
    ):
        assert trace(5) == plain


def trace(seed: int) -> list[object]:
    """Run a walk and return its number of events, log of faults, adopted versions and answers."""
    walk = run_walk(seed)
    adopted = [(process.machine.name, tuple(process.adopted)) for process in walk.world.edges()]
    answers = [(call.number, call.began_at, str(result)) for call, result in walk.world.answers]
    return [walk.events, walk.story, adopted, answers]


# --- planted faults -------------------------------------------------------------------------------------------------


def contact_from_received_messages(self: NodeStatus) -> int | None:
    """Planted fault: a control node counts contact by received messages, even if its own messages reach nobody."""
    if not self._is_control:
        return self._relayed_lease.instant
    heard = sorted((peer.last_seen_at for peer in self._control_peers.mesh.peers.values()), reverse=True)
    return heard[len(heard) // 2 - 1] if len(heard) > 1 else None


REAL_ON_GRANT = Distribution._on_lease_grant


def lease_counted_from_receipt(self: Distribution, now: int, sender: Address, message: LeaseGrant) -> None:
    """Planted fault: a lease runs from the receipt of the grant, where it must run from the sending of the request."""
    granted = self.lease._requests.get(message.number)
    if granted is not None:
        granted.sent_at = now
    REAL_ON_GRANT(self, now, sender, message)


def keepalive_counted_from_receipt(self: PeerClocks, now: int, address: Address, time: SendTime) -> int | None:
    """Planted fault: the age of a keepalive counts from its receipt, so that a delayed keepalive looks new."""
    return now


def accept_any_version(self: ItemTable, item: Item) -> bool:
    """Planted fault: the table replaces an item by one of any other version, also an older one."""
    held = self._items.get(item.name)
    if held is not None and held.version == item.version:
        return False
    self._items[item.name] = item
    self._digests[item.kind] ^= items._fingerprint(item) ^ (items._fingerprint(held) if held else 0)
    return True


def list_all_members(self: MemberList, now: int, is_silent: Callable[[str], bool]) -> tuple[Member, ...]:
    """Planted fault: the list of live members includes suspected and dead members."""
    return tuple(self._members.values())


def answer_nothing(*_: object) -> Iterator[Message]:
    """Planted fault: a node does not answer digests that differ from its own."""
    return iter(())


REAL_DIGEST = ItemTable.digest


def digest_without_workers(self: ItemTable, kind: ItemKind) -> int:
    """Planted fault: the digest of the workers is constant, so that anti-entropy never compares workers."""
    return 0 if kind is ItemKind.WORKER else REAL_DIGEST(self, kind)


MAX_PUSHED_SEQUENCE = 2  # heartbeat sequence number; up to here a worker's item is new to the nodes and is still pushed
REAL_SEND_ITEMS = Pushes._send_items


def push_no_workers(self: Pushes, receivers: list[Address], pushed: list[Item]) -> None:
    """Planted fault: nodes do not push updates of known workers, so that only anti-entropy can deliver them."""
    is_first = {item.name for item in pushed if item.version.major <= MAX_PUSHED_SEQUENCE}
    allowed = [item for item in pushed if item.kind is not ItemKind.WORKER or item.name in is_first]
    REAL_SEND_ITEMS(self, receivers, allowed)


async def acknowledge_at_once(self: RegistryService, worker_id: str, document: dict[str, str]) -> Answer:
    """Planted fault: acknowledges the end of a worker before any other node has stored it."""
    return self._acknowledge(document, True)


def reply_without_confirmation(self: Primary, call: int, now: int) -> list[Action]:
    """Planted fault: the primary answers a read from its local state without confirmation by a majority."""
    return [Reply(call, Committed(self._replica.state_at(self._committed)))]


REAL_DELTA_OF = Document.delta_of


def delta_without_removals(self: Document, keys: Iterable[str]) -> DocumentDelta:
    """Planted fault: a delta leaves out the removed keys."""
    return DocumentDelta(REAL_DELTA_OF(self, keys).changed)


def keys_of_last_change(self: DocumentHistory, base: Version) -> frozenset[str] | None:
    """Planted fault: the history returns the keys of the last change alone, whatever the base version."""
    return self._changes[-1].keys if self._changes else None


PatchFactory = Callable[[], AbstractContextManager[object]]


@dataclass(frozen=True)
class PlantedFault:
    """A planted fault: its patches, the violation that must reveal it, and the kinds of network fault to draw from."""

    patches: tuple[PatchFactory, ...]
    expected_violation: type[ViolationError]
    kinds: tuple[TroubleKind, ...] = ()


def patch_attribute(owner: object, name: str, broken: object) -> PatchFactory:
    """Return a factory of a patch that replaces the attribute `name` of `owner` with `broken`."""
    return lambda: mock.patch.object(owner, name, broken)


FAULTS: dict[str, PlantedFault] = {
    "contact counted from received messages": PlantedFault(
        (patch_attribute(NodeStatus, "contact_instant", property(contact_from_received_messages)),),
        VouchedWithoutContactError,
        (walk_faults.a_control_is_cut_from_the_others,),
    ),
    "a lease counted from receipt": PlantedFault(
        (patch_attribute(Distribution, "_on_lease_grant", lease_counted_from_receipt),),
        VouchedWithoutContactError,
        (walk_faults.a_control_is_cut_from_the_others, walk_faults.a_process_stands_still),
    ),
    "a keepalive counted from receipt": PlantedFault(
        (patch_attribute(PeerClocks, "sent_at", keepalive_counted_from_receipt),),
        VouchedWithoutContactError,
        (walk_faults.any_sides_are_cut,),
    ),
    "a stale parent is kept": PlantedFault(
        (patch_attribute(ParentLink, "_is_stale", lambda self, now: False),),
        OldConfigurationError,
        (walk_faults.a_control_is_cut_from_the_others,),
    ),
    "older versions accepted": PlantedFault(
        (patch_attribute(ItemTable, "_store", accept_any_version),),
        AdoptionWentBackError,
    ),
    "delta without removals and digest unchecked": PlantedFault(
        (
            patch_attribute(Document, "delta_of", delta_without_removals),
            patch_attribute(DocumentReceiver, "_assemble", assemble_unchecked),
        ),
        MixedConfigurationError,
    ),
    "history of the last change only and digest unchecked": PlantedFault(
        (
            patch_attribute(DocumentHistory, "keys_since", keys_of_last_change),
            patch_attribute(DocumentReceiver, "_assemble", assemble_unchecked),
        ),
        MixedConfigurationError,
        (walk_faults.any_sides_are_cut, walk_faults.a_process_stands_still),
    ),
    "a directory that ignores suspicions": PlantedFault(
        (
            patch_attribute(MemberList, "alive", list_all_members),
            patch_attribute(MemberList, "_forget", lambda self, key: None),
        ),
        EndedNodeNamedError,
        (walk_faults.an_edge_loses_power,),
    ),
    "no anti-entropy after a reconnect": PlantedFault(
        (patch_attribute(reconcile, "answer_digests", answer_nothing),),
        EmptyDirectoryError,
        (walk_faults.a_control_restarts,),
    ),
    "neither pushes nor anti-entropy of workers": PlantedFault(
        (
            patch_attribute(ItemTable, "digest", digest_without_workers),
            patch_attribute(Pushes, "_send_items", push_no_workers),
        ),
        DrainedWorkerInUseError,
        (walk_faults.an_edge_is_cut_from_a_control,),
    ),
    "a worker's end acknowledged at once": PlantedFault(
        (patch_attribute(RegistryService, "_acknowledge_end", acknowledge_at_once),),
        AnswerWithoutContactError,
        (walk_faults.a_control_is_cut_from_the_others,),
    ),
    "a read without confirmation": PlantedFault(
        (patch_attribute(Primary, "read", reply_without_confirmation),),
        AnswerWithoutContactError,
        (walk_faults.a_control_is_cut_from_the_others,),
    ),
}


@pytest.mark.parametrize("name", FAULTS)
def test_walks_reveal_planted_fault(name: str) -> None:
    fault = FAULTS[name]
    with ExitStack() as stack:
        for each in fault.patches:
            stack.enter_context(each())
        assert any(reveals_fault(seed, fault) for seed in range(WALKS_TO_FIND))


def reveals_fault(seed: int, fault: PlantedFault) -> bool:
    """Return True if the walk of this seed ends in the violation that the planted fault must cause."""
    try:
        Walk(seed, kinds=fault.kinds).run(WALK_DURATION_NS)
    except fault.expected_violation:
        return True
    except ViolationError:
        return False
    return False
