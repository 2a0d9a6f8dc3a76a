"""Random walks through cut, stalled and slow links, pauses and restarts, which check the contact lease at every step.

Invariant: a node with a contact instant holds every configuration that a majority of the control nodes held at that
instant. Each machine has a monotonic clock of its own.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from canvasbeam.item_table.items import Item, Version
from canvasbeam.leases.contact import ControlVersions
from tests.leases import test_contact_faults as faults
from tests.support.cluster_network import CONFIGURATION, MS, SECOND, Host, Network

CONTROLS = 3
EDGES = 7
STEP = 50 * MS
HOURS = 3_600 * SECOND


@dataclass
class History:
    """Records the time from which a majority of the control nodes holds each configuration."""

    network: Network
    holders: dict[int, set[str]] = field(default_factory=dict)
    times: list[int] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)

    def watch(self, control: Host) -> None:
        """Record each configuration that this control node adopts from now on."""

        def record(items: Sequence[Item]) -> None:
            for item in items:
                if item.kind is CONFIGURATION:
                    self._adopted(control, item.version)

        control.core.table.add_listener(record)

    def majority_at(self, time: int) -> int:
        """Return the newest configuration that a majority of the control nodes held at `time`; 0 if there is none."""
        count = bisect_right(self.times, time)
        return max(self.versions[:count], default=0)

    def _adopted(self, control: Host, version: Version) -> None:
        for major in range(1, version.major + 1):
            holders = self.holders.setdefault(major, set())
            holders.add(control.member.name)
            if 2 * len(holders) > CONTROLS and major not in self.versions:
                self.times.append(self.network.now)
                self.versions.append(major)


class Walk:
    """A simulated network with its history of configurations; `check` asserts the invariant on every node."""

    def __init__(self, seed: int) -> None:
        self.network = Network(seed=seed, datagram_loss=0.02)
        self.network.clock_offset = lambda name: sum(map(ord, name)) % 97 * HOURS
        self.controls, self.edges = self.network.fleet(regions=CONTROLS, edges=EDGES)
        self.history = History(self.network)
        for control in self.controls:
            self.history.watch(control)
        self.published = 0
        self.network.run(2 * SECOND)

    @property
    def hosts(self) -> list[Host]:
        return [*self.controls, *self.edges]

    def check(self) -> None:
        for host in self.hosts:
            instant = host.core.distribution.node_status.contact_instant
            if instant is None:
                continue
            held = ControlVersions.of(host.core.table).configuration
            assert instant <= host.clock(self.network.now)
            assert held >= self.history.majority_at(instant - host.clock_offset)

    def run(self, span: int) -> None:
        for _ in range(span // STEP):
            self.network.run(STEP)
            self.check()

    def publish(self, host: Host) -> None:
        self.published += 1
        self.network.publish(host, self.published, size=100)

    # --- faults ---------------------------------------------------------------------------------

    def cut(self, one: Host, other: Host) -> None:
        self.network.cut([one], [other])

    def cut_outgoing(self, one: Host, other: Host) -> None:
        self.network.cut([one], self.hosts)

    def cut_incoming(self, one: Host, other: Host) -> None:
        self.network.cut(self.hosts, [one])

    def stall(self, one: Host, other: Host) -> None:
        self.network.stall([one], [other])

    def stall_all(self, one: Host, other: Host) -> None:
        self.network.stall([one], self.hosts)

    def add_delay(self, one: Host, other: Host) -> None:
        self.network.choke(one, 400 * MS)

    def freeze(self, one: Host, other: Host) -> None:
        if one.address not in self.network._frozen_until:
            self.network.freeze(one, 1_500 * MS)

    def restart(self, one: Host, other: Host) -> None:
        if one in self.edges and one.address not in self.network._frozen_until:
            self.edges[self.edges.index(one)] = self.network.restart(one)

    def heal(self, one: Host, other: Host) -> None:
        self.network.heal()
        self.network.release()
        self.network.choke(one, 0)

    def end_faults(self) -> None:
        for host in self.hosts:
            self.heal(host, host)


FAULT_ACTIONS: list[Callable[[Walk, Host, Host], None]] = [
    Walk.cut, Walk.cut_outgoing, Walk.cut_incoming, Walk.stall, Walk.stall_all, Walk.add_delay, Walk.freeze,
    Walk.restart, Walk.heal, Walk.heal,
]  # fmt: skip

STEPS = st.lists(
    st.tuples(
        st.sampled_from(FAULT_ACTIONS),
        st.integers(0, CONTROLS + EDGES - 1),
        st.integers(0, CONTROLS + EDGES - 1),
        st.integers(0, CONTROLS - 1),
        st.integers(1, 30),
    ),
    min_size=1,
    max_size=8,
)


Steps = list[tuple[Callable[[Walk, Host, Host], None], int, int, int, int]]


def run_walk(seed: int, steps: Steps) -> None:
    """Inject each fault and publish a change after it; then end all faults and check that all nodes agree."""
    walk = Walk(seed)
    for inject_fault, one, other, publisher, span in steps:
        inject_fault(walk, walk.hosts[one], walk.hosts[other])
        walk.publish(walk.controls[publisher])
        walk.run(span * 100 * MS)
    walk.end_faults()
    walk.run(6 * SECOND)
    item = Item(CONFIGURATION, "current", Version(walk.published), bytes(100))
    assert walk.network.have(walk.hosts, item)
    assert all(host.core.has_majority(host.clock(walk.network.now)) for host in walk.hosts)


def random_walks(count: int) -> Callable[[], None]:
    """Return a function that runs `count` random walks, the same walks at each run."""
    walks = given(seed=st.integers(0, 1 << 16), steps=STEPS)(run_walk)
    return settings(max_examples=count, deadline=None, derandomize=True, phases=[Phase.generate])(walks)


def test_node_in_contact_holds_the_configurations_of_the_majority() -> None:
    random_walks(40)()


@pytest.mark.parametrize(
    "inject_fault",
    [
        faults.contact_from_received_messages,
        faults.lease_counted_from_receipt,
        faults.keepalive_counted_from_receipt,
        faults.versions_not_compared,
    ],
    ids=lambda inject_fault: str(inject_fault.__name__),
)
def test_walks_find_a_planted_fault(inject_fault: faults.FaultInjection, monkeypatch: pytest.MonkeyPatch) -> None:
    inject_fault(monkeypatch)
    with pytest.raises(AssertionError):
        random_walks(400)()
