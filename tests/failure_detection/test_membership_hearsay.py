"""Deaths by hearsay: after a partition heals, no member that answers within the suspicion time-out is declared dead.

After a partition each side has declared the other dead. The death updates arrive late, and more than once, at instances
whose own information is newer. `EarlyHearsay` is the former, faulty rule: a member that was suspect for a quarter of a
second was declared dead at the next death update, however recently the member itself had sent a datagram.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import (
    Datagram,
    DatagramKind,
    DatagramReceived,
    Membership,
    MemberUpdate,
    SendDatagram,
    Sender,
    SwimParameters,
    Ticked,
)
from canvasbeam.failure_detection.swim.member_updates import MemberUpdates
from canvasbeam.simulator.model.units import MS, SECOND
from canvasbeam.simulator.peers_sim import Seen
from tests.support.peering import Fleet, run_history, with_parts

FEW, MANY = ("n0", "n1"), ("n2", "n3", "n4")


class EarlyHearsay(MemberUpdates):
    """Planted fault: accepts a death by hearsay after half of the minimum suspicion time-out."""

    def apply(self, now: int, update: MemberUpdate, source: str) -> None:
        member = self._members.get(update.name)
        if member is not None and update.status is MemberStatus.DEAD and member.known.status is MemberStatus.SUSPECT:
            same = (update.start, update.incarnation) == (member.known.start, member.known.incarnation)
            if same and now - member.since >= self._parameters.min_suspicion // 2:
                self.set_known(now, member, update, f"told by {source}")
                return
        super().apply(now, update, source)


WITH_EARLY_HEARSAY = with_parts(MemberUpdates=EarlyHearsay)


class Unrefereed(Fleet):
    """Fleet without the referee's check of deaths, which tolerates deaths for six seconds after a cut."""

    def _check_death(self, each: object, change: object) -> None:
        pass


def deaths_after_the_heal(seed: int, held_up_s: float, make: Callable[..., Membership] = Membership) -> list[Seen]:
    """Heal a partition while one instance is stalled; return the deaths that a member of the same part declared."""
    fleet = Unrefereed(len(FEW + MANY), make, seed)
    for name in fleet.instances:
        fleet.start(name)
    assert fleet.until(fleet.agree, 10) < 10
    for one in FEW:
        for other in MANY:
            fleet.cut(one, other)
    parted = fleet.until(lambda: all(fleet.view(name) == (FEW if name in FEW else MANY) for name in FEW + MANY), 20)
    assert parted < 20
    healed = fleet.now
    fleet.heal()
    fleet.stop("n3")
    fleet.run(held_up_s)
    fleet.go_on("n3")
    assert fleet.until(fleet.agree, 20) < 20
    deaths = [seen for seen in fleet.seen if seen.after == "dead" and seen.at_ns >= healed]
    return [seen for seen in deaths if (seen.name in FEW) is (seen.by in FEW)]


@pytest.mark.parametrize("held_up_s", [0.0, 0.2, 0.4])
def test_a_heal_kills_nobody_who_is_held_up_for_less_than_the_least_suspicion(held_up_s: float) -> None:
    assert SwimParameters().min_suspicion > held_up_s * SECOND
    assert [death for seed in range(40) for death in deaths_after_the_heal(seed, held_up_s)] == []


def test_the_heal_shows_deaths_that_are_believed_too_early() -> None:
    assert [death for seed in range(40) for death in deaths_after_the_heal(seed, 0.4, WITH_EARLY_HEARSAY)]


@pytest.mark.parametrize("seed", [42, 300, 384])
def test_drawn_histories_of_six_that_broke_the_rules_before(seed: int) -> None:
    run_history(seed, count=6)


# --- one instance, by hand ----------------------------------------------------------------------------


PLACES = {"m0": "127.0.0.2:1000", "m1": "127.0.0.2:1001"}


def said(teller: str, incarnation: int = 0, *updates: MemberUpdate) -> DatagramReceived:
    return DatagramReceived(
        Sender(teller, 1, incarnation, PLACES[teller]), Datagram(DatagramKind.UPDATES, updates=updates)
    )


def of_m1(status: MemberStatus, incarnation: int = 0, by: str = "") -> MemberUpdate:
    return MemberUpdate("m1", PLACES["m1"], status, 1, incarnation, by)


def with_two_members(make: Callable[..., Membership] = Membership) -> Membership:
    """Return an instance with the members `m0` and `m1`, known since the first second.

    The instance sends no pings, so that no missed answer lowers its local health (Lifeguard).
    """
    mine = make(Sender("n0", 100, 0, "127.0.0.1:1"), (), SwimParameters(ping_interval=60 * SECOND), 1, SECOND)
    for name, address in PLACES.items():
        mine.updates.apply(SECOND, MemberUpdate(name, address, MemberStatus.ALIVE, 1, 0), name)
    mine.on_received(SECOND, said("m0").sender, Datagram(DatagramKind.UPDATES))
    return mine


def test_a_death_told_again_and_again_is_not_believed_of_one_who_speaks() -> None:
    mine = with_two_members()
    for step in range(1, 30):
        now = SECOND + step * 100 * MS
        mine.handle(now, [said("m0", 0, of_m1(MemberStatus.DEAD)), said("m1")])
        assert mine.members["m1"].known.status is MemberStatus.SUSPECT


def test_the_same_words_kill_where_they_are_believed_too_early() -> None:
    mine = with_two_members(WITH_EARLY_HEARSAY)
    for step in range(1, 30):
        mine.handle(SECOND + step * 100 * MS, [said("m0", 0, of_m1(MemberStatus.DEAD)), said("m1")])
    assert mine.members["m1"].known.status is MemberStatus.DEAD


def test_who_is_told_dead_is_told_so_at_once_and_its_refutation_outweighs_later_words() -> None:
    mine = with_two_members()
    now = SECOND + 100 * MS
    actions = mine.handle(now, [said("m0", 0, of_m1(MemberStatus.DEAD))])
    told = [
        action.datagram for action in actions if isinstance(action, SendDatagram) and action.address == PLACES["m1"]
    ]
    assert of_m1(MemberStatus.SUSPECT, by="m0") in [update for datagram in told for update in datagram.updates]
    mine.handle(now + MS, [said("m1", 1)])
    mine.handle(now + 400 * MS, [said("m0", 0, of_m1(MemberStatus.DEAD))])
    assert (mine.members["m1"].known.status, mine.members["m1"].known.incarnation) == (MemberStatus.ALIVE, 1)


def judging(mine: Membership, now: int, *events: DatagramReceived) -> None:
    """Deliver a datagram and a recent ping answer of another member, so that this instance may declare deaths."""
    mine.reachability.confirm(now - MS)
    mine.handle(now, [said("m0"), *events])


def suspected(incarnation: int = 0) -> DatagramReceived:
    return said("m0", 0, of_m1(MemberStatus.SUSPECT, incarnation, "m0"))


def test_a_suspicion_runs_out_where_another_answers() -> None:
    mine = with_two_members()
    judging(mine, SECOND, suspected())
    for now in range(SECOND, SECOND + mine.parameters.max_suspicion + 100 * MS, 50 * MS):
        judging(mine, now)
    assert mine.members["m1"].known.status is MemberStatus.DEAD


def test_a_newer_incarnation_that_is_suspected_has_the_whole_time_of_a_suspicion() -> None:
    """Guards against a suspicion of a newer incarnation that inherits the elapsed time of the older suspicion.

    The fault needs a member that refuted the older suspicion with a refutation that was lost on its way here.
    """
    mine = with_two_members()
    judging(mine, SECOND, suspected())
    renewed = SECOND + 900 * MS
    for now in range(SECOND + 50 * MS, renewed, 50 * MS):
        judging(mine, now)
    assert mine.members["m1"].known.status is MemberStatus.SUSPECT
    judging(mine, renewed, suspected(incarnation=1))
    for now in range(renewed, renewed + mine.parameters.min_suspicion, 50 * MS):
        judging(mine, now)
        assert mine.members["m1"].known.status is MemberStatus.SUSPECT


def test_a_death_of_a_newer_incarnation_is_a_suspicion_of_that_one() -> None:
    mine = with_two_members()
    judging(mine, SECOND, suspected())
    later = SECOND + 700 * MS
    for now in range(SECOND + 50 * MS, later, 50 * MS):
        judging(mine, now)
    judging(mine, later, said("m0", 0, of_m1(MemberStatus.DEAD, incarnation=1)))
    assert (mine.members["m1"].known.status, mine.members["m1"].known.incarnation) == (MemberStatus.SUSPECT, 1)


def test_what_was_suspected_in_the_dark_has_its_time_once_others_are_heard_again() -> None:
    mine = with_two_members()
    judging(mine, SECOND, suspected())
    heard_again = SECOND + mine.parameters.receive_timeout + 500 * MS
    for now in range(SECOND + 50 * MS, heard_again, 50 * MS):
        mine.handle(now, [Ticked()])
    for now in range(heard_again, heard_again + mine.parameters.min_suspicion, 50 * MS):
        judging(mine, now)
        assert mine.members["m1"].known.status is MemberStatus.SUSPECT
