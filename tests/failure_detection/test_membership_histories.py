"""SWIM membership under random histories of faults, and planted faults that the same histories must reveal.

The referee, which checks the rules of membership, and the histories are in `tests/support/peering.py`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import (
    Datagram,
    Member,
    Membership,
    MemberUpdate,
    OwnState,
    Sender,
)
from canvasbeam.failure_detection.swim.member_updates import MemberUpdates
from canvasbeam.failure_detection.swim.own_instance import OwnInstance
from canvasbeam.failure_detection.swim.ping_exchange import PingExchange
from canvasbeam.failure_detection.swim.reachability import Reachability
from canvasbeam.failure_detection.swim.suspicion import SuspicionRules
from canvasbeam.simulator.model.units import SECOND
from tests.support.peering import STEPS, WAITS, BrokenError, Fleet, apply_step, run_history, with_parts

NAMES = ("n0", "n1", "n2", "n3")


class Histories(RuleBasedStateMachine):
    """Four instances on a network that loses, delays, duplicates and reorders datagrams, and recovers at the end."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        self.fleet = Fleet(len(NAMES), seed=seed)
        self.rng = random.Random(seed)
        for name in NAMES:
            self.fleet.start(name)
        self.fleet.run(1)

    @rule(what=st.sampled_from(STEPS), pair=st.permutations(NAMES), wait=st.sampled_from(WAITS))
    def step(self, what: str, pair: Sequence[str], wait: float) -> None:
        apply_step(self.fleet, what, pair[0], pair[1], self.rng)
        self.fleet.run(wait)
        self.fleet.mark()

    @rule()
    @precondition(lambda self: self.fleet.past)
    def the_past_comes_again(self) -> None:
        self.fleet.replay()

    @invariant()
    def each_counts_itself(self) -> None:
        for host in self.fleet.running() if hasattr(self, "fleet") else ():
            assert host.members is not None
            inside = host.members.own_state in (OwnState.JOINING, OwnState.MEMBER)
            assert (host.name in self.fleet.view(host.name)) is inside

    def teardown(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.settle()


Histories.TestCase.settings = settings(
    max_examples=25, stateful_step_count=15, deadline=None, derandomize=True,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.filter_too_much],
)  # fmt: skip
TestHistories = Histories.TestCase


@pytest.mark.parametrize("seed", range(12))
def test_random_histories_keep_membership_rules(seed: int) -> None:
    run_history(seed)


# --- planted faults: each breaks one rule, and the histories must reveal each fault -------------------


class NeverRefutes(OwnInstance):
    def on_update(self, now: int, update: MemberUpdate) -> str | None:
        return None


class LowersIncarnation(OwnInstance):
    def refute(self, now: int, start: int, incarnation: int, why: str) -> None:
        super().refute(now, start, incarnation - 2 if incarnation > 2 else incarnation, why)


class NeverCutOff(Reachability):
    def is_cut_off(self, now: int) -> bool:
        return False

    def quiet_time(self, now: int) -> int:
        return 0


class AlwaysDeclaresDeath(SuspicionRules):
    def may_declare_dead(self, member: Member, now: int) -> bool:
        return True


class AcceptsLowerRank(MemberUpdates):
    def apply(self, now: int, update: MemberUpdate, source: str) -> None:
        member = self._members.get(update.name)
        if member is not None and update.status is MemberStatus.ALIVE and update.rank < member.known.rank:
            self.set_known(now, member, update, "accepted an update of lower rank")
        super().apply(now, update, source)


class TrustsUnverifiedSenders(Membership):
    def _on_unverified(self, now: int, sender: Sender, datagram: Datagram) -> None:
        alive = MemberUpdate(sender.name, sender.address, MemberStatus.ALIVE, sender.start, 99)
        self.updates.apply(now, alive, sender.name)


class NeverReconnects(PingExchange):
    def reconnect(self, now: int) -> None:
        if self._own.state is OwnState.JOINING:
            super().reconnect(now)
        else:
            self._next_reconnect_at = now + SECOND


class NeverPings(PingExchange):
    def ping_next_member(self, now: int) -> None:
        pass


class DeadByHearsay(MemberUpdates):
    """Accepts a death by hearsay at once, so that members of the own side are declared dead when a partition heals."""

    def apply(self, now: int, update: MemberUpdate, source: str) -> None:
        member = self._members.get(update.name)
        if member is not None and update.status is MemberStatus.DEAD and update.rank > member.known.rank:
            self.set_known(now, member, update, f"told by {source}")
        else:
            super().apply(now, update, source)


PLANTED_FAULTS: dict[str, Callable[..., Membership]] = {
    "never refutes": with_parts(OwnInstance=NeverRefutes),
    "lowers its own incarnation": with_parts(OwnInstance=LowersIncarnation),
    "declares deaths while cut off": with_parts(Reachability=NeverCutOff, SuspicionRules=AlwaysDeclaresDeath),
    "accepts updates of lower rank": with_parts(MemberUpdates=AcceptsLowerRank),
    "trusts unverified senders": TrustsUnverifiedSenders,
    "never reconnects to dead members": with_parts(PingExchange=NeverReconnects),
    "never pings members": with_parts(PingExchange=NeverPings),
    "accepts deaths by hearsay": with_parts(MemberUpdates=DeadByHearsay),
}


@pytest.mark.parametrize("planted_fault", PLANTED_FAULTS)
def test_histories_reveal_planted_fault(planted_fault: str) -> None:
    for seed in range(60):
        try:
            run_history(seed, PLANTED_FAULTS[planted_fault])
        except BrokenError:
            return
    raise AssertionError(f"no history revealed the planted fault: {planted_fault}")
