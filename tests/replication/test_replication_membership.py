"""Members that leave, are replaced or are lost, in as close a succession as the documentation allows.

A machine counts as lost until `CATCH_UP_LIMIT_NS` after its return, and a removed machine until its successor has run
for that time. While at most the tolerated number of machines is lost, the other machines acknowledge changes within
`RECOVERY_LIMIT_NS`, and no acknowledged change is missing (`replication_simulation` checks that at each answer). The
environment variable `EXPLORER_WALKS` sets the number of random walks.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Collection, Iterator
from functools import partial
from itertools import combinations, islice
from unittest import mock

import pytest

from canvasbeam.replication.candidate import Candidate, Phase
from canvasbeam.replication.departure import DepartureState
from canvasbeam.replication.member import Member
from canvasbeam.replication.messages import (
    Accept,
    Accepted,
    Action,
    Install,
    Leave,
    LeaveGranted,
    Send,
    ViewNotice,
)
from canvasbeam.replication.primary import Primary
from canvasbeam.replication.roles import Role
from canvasbeam.replication.views import MemberId, View, is_majority, member_ip
from tests.support.membership_simulation import (
    CATCH_UP_LIMIT_NS,
    LEAVE_LIMIT_NS,
    RECOVERY_LIMIT_NS,
    SECOND,
    acknowledge,
    copies,
    electorate,
    every_event,
    is_leading,
    leave,
    leave_for_good,
    lose_for_good,
    may_end,
    member_of,
    others,
    primary_of,
    run_until,
    started,
    view_of,
)
from tests.support.replication_simulation import (
    LATENCY_NS,
    SYNC_TIME_NS,
    InvariantError,
    Packet,
    RandomWalk,
    ReplicationSimulation,
    primary_part_of,
)

WALKS = int(os.environ.get("EXPLORER_WALKS", "40"))
UNKNOWN_MEMBER = MemberId("10.0.0.5/0")  # a member that no other member knows
NEW_MEMBER = "10.0.0.9"
PARTITION_STEPS = 60
FIRST_PRIMARY = "10.0.0.1"  # IP address of the first primary
REPLACED_MEMBER = "10.0.0.2"  # IP address of the member that `planned_replacement` replaces by default
SIZES = [(3, 1), (5, 2)]


# --- leaving -------------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("machines", "tolerated"), SIZES)
@pytest.mark.parametrize("leads", [True, False])
def test_restarting_member_is_released_and_keeps_its_vote(machines: int, tolerated: int, leads: bool) -> None:
    simulation = started(machines, tolerated)
    before = electorate(simulation)
    ip = primary_of(simulation) if leads else others(simulation, primary_of(simulation))[0]
    leave(simulation, ip)
    assert run_until(simulation, lambda: may_end(simulation, ip), 2 * SECOND) is not None
    assert member_of(simulation, ip).state.departure.copies == machines - 1
    assert ip not in copies(simulation)
    simulation.crash(ip, keep_unsynced=True)
    acknowledge(simulation)
    assert electorate(simulation) == before
    simulation.start(ip)
    assert run_until(simulation, lambda: ip in copies(simulation), 3 * SECOND) is not None
    assert electorate(simulation) == before


@pytest.mark.parametrize(("machines", "tolerated"), SIZES)
def test_leaving_member_is_released_in_time(machines: int, tolerated: int) -> None:
    """Between regions, a release takes a view change and one more round trip for the request and its grant."""
    simulation = started(machines, tolerated)
    leave(simulation, primary := primary_of(simulation))
    assert run_until(simulation, partial(may_end, simulation, primary), SECOND) is not None
    simulation = started(machines, tolerated)
    leave(simulation, backup := others(simulation, primary_of(simulation))[0])
    assert run_until(simulation, partial(may_end, simulation, backup), 3 * SECOND // 4) is not None


def is_reconfiguration_complete(member: Member) -> bool:
    """Return True if the member knows of no unfinished change of the electorate."""
    return (member.leadership or member.state.known_view).is_reconfiguration_complete


def test_the_end_of_a_replacement_is_settled_in_a_round_trip() -> None:
    simulation = started()
    simulation.add(NEW_MEMBER, (primary_of(simulation),))
    simulation.run_between_regions(CATCH_UP_LIMIT_NS)
    primary = member_of(simulation, primary_of(simulation))
    leave(simulation, others(simulation, primary_of(simulation), NEW_MEMBER)[0])
    assert (
        run_until(simulation, lambda: primary.role is Role.PRIMARY and not is_reconfiguration_complete(primary), SECOND)
        is not None
    )
    assert (
        run_until(simulation, lambda: is_reconfiguration_complete(primary), 2 * LATENCY_NS + 2 * SYNC_TIME_NS)
        is not None
    )


@pytest.mark.parametrize(("machines", "tolerated"), SIZES)
def test_electorate_stays_the_same_when_all_members_restart_in_turn(machines: int, tolerated: int) -> None:
    simulation = started(machines, tolerated)
    before = electorate(simulation)
    for ip in list(simulation.machines):
        leave(simulation, ip)
        assert run_until(simulation, partial(may_end, simulation, ip), LEAVE_LIMIT_NS) is not None
        assert member_of(simulation, ip).state.departure.state is DepartureState.GRANTED
        simulation.crash(ip, keep_unsynced=True)
        simulation.run_between_regions(SECOND)
        simulation.start(ip)
        acknowledge(simulation)
    simulation.run_between_regions(CATCH_UP_LIMIT_NS)
    assert copies(simulation) == electorate(simulation) == before


@pytest.mark.parametrize("leads", [True, False])
def test_one_of_the_last_two_replicas_is_released_once_a_third_is_back(leads: bool) -> None:
    """With one of three members down, the view needs both others: a leaving member serves until the third is back."""
    simulation = started()
    down = others(simulation, primary_of(simulation))[0]
    simulation.crash(down, keep_unsynced=False)
    acknowledge(simulation)
    ip = primary_of(simulation) if leads else others(simulation, down, primary_of(simulation))[0]
    leave(simulation, ip)
    assert run_until(simulation, lambda: may_end(simulation, ip), LEAVE_LIMIT_NS) is None
    acknowledge(simulation)
    assert primary_of(simulation) != ip
    simulation.start(down)
    assert run_until(simulation, lambda: may_end(simulation, ip), 3 * SECOND) is not None
    assert copies(simulation) == set(others(simulation, ip))
    simulation.remove(ip)
    acknowledge(simulation)


def test_members_that_all_leave_do_not_wait() -> None:
    simulation = started()
    for ip in simulation.machines:
        leave(simulation, ip)
    assert run_until(simulation, lambda: all(may_end(simulation, ip) for ip in simulation.machines), SECOND) is not None
    assert all(member_of(simulation, ip).state.departure.state is DepartureState.ALONE for ip in simulation.machines)


@pytest.mark.parametrize("third_may_lead", [True, False])
def test_restarted_member_does_not_count_as_leaving(third_may_lead: bool) -> None:
    """A follower must not end as the last member because of an outdated `Leave` message of the third member.

    The last message that the leaving follower received from the third member is the `Leave` before its restart.
    """
    simulation = started()
    primary = primary_of(simulation)
    leaving, third = others(simulation, primary)
    leave(simulation, third)
    assert run_until(simulation, partial(may_end, simulation, third), LEAVE_LIMIT_NS) is not None
    simulation.crash(third, keep_unsynced=True)
    simulation.start(third)
    simulation.run_between_regions(CATCH_UP_LIMIT_NS)
    assert member_of(simulation, leaving).state.liveness.is_leaving(simulation.machines[third].me)
    simulation.set_healthy(third, third_may_lead)
    leave(simulation, primary)
    leave(simulation, leaving)

    def is_alone() -> bool:
        return any(member_of(simulation, ip).state.departure.state is DepartureState.ALONE for ip in (primary, leaving))

    assert run_until(simulation, is_alone, LEAVE_LIMIT_NS) is None


def test_leaving_member_does_not_become_a_candidate() -> None:
    simulation = started()
    leaving = primary_of(simulation)
    leave(simulation, leaving)
    simulation.frozen.update(others(simulation, leaving))
    assert (
        run_until(simulation, lambda: member_of(simulation, leaving).role is not Role.FOLLOWER, LEAVE_LIMIT_NS) is None
    )


def test_staying_member_sends_its_view_to_a_leaving_member() -> None:
    simulation = started()
    member = member_of(simulation, others(simulation, primary_of(simulation))[0])
    assert member.state.known_view.view is not None
    assert Send(
        UNKNOWN_MEMBER, ViewNotice(member.state.known_view.view, member.state.known_view.in_force)
    ) in member.receive(UNKNOWN_MEMBER, Leave(), simulation.now)


def test_spares_are_notified_when_the_primary_resigns() -> None:
    """Spares must say hello as soon as the primary resigns.

    The next primary then knows the spares earlier than if the spares had to notice the silence of the old primary.
    """
    simulation = started()
    simulation.add(NEW_MEMBER, (primary_of(simulation),))
    simulation.run_between_regions(CATCH_UP_LIMIT_NS)
    assert leave_for_good(simulation, primary_of(simulation)) <= 3 * SECOND // 2


def test_voter_that_is_no_replica_waits_until_another_has_its_vote() -> None:
    simulation = started()
    simulation.add(NEW_MEMBER, (primary_of(simulation),))
    leaving = others(simulation, primary_of(simulation), NEW_MEMBER)[0]
    simulation.set_healthy(leaving, False)
    simulation.run_between_regions(CATCH_UP_LIMIT_NS)
    assert leaving in electorate(simulation) - copies(simulation)
    leave_for_good(simulation, leaving)
    assert NEW_MEMBER in electorate(simulation) & copies(simulation)


def test_leaving_primary_hands_over_in_time_although_it_is_needed() -> None:
    """With one of three members down, the next primary must use the leaving primary as a replica at once."""
    simulation = started()
    simulation.crash(others(simulation, primary_of(simulation))[0], keep_unsynced=False)
    acknowledge(simulation)
    leave(simulation, primary_of(simulation))
    assert acknowledge(simulation) <= 3 * SECOND // 2


def test_two_members_that_leave_at_once_are_released_one_after_the_other() -> None:
    simulation = started()
    staying = primary_of(simulation)
    first, second = others(simulation, staying)
    leave(simulation, first)
    leave(simulation, second)
    assert run_until(simulation, lambda: may_end(simulation, first) or may_end(simulation, second), 2 * SECOND) is None
    simulation.add(NEW_MEMBER, (staying,))
    assert (
        run_until(simulation, lambda: may_end(simulation, first) or may_end(simulation, second), 3 * SECOND) is not None
    )
    assert len(copies(simulation)) == 2
    removed = first if may_end(simulation, first) else second
    lose_for_good(simulation, removed)
    acknowledge(simulation)


def test_leaving_member_is_not_released_while_cut_off() -> None:
    simulation = started()
    ip = others(simulation, primary_of(simulation))[0]
    for other in others(simulation, ip):
        simulation.partition(ip, other)
    leave(simulation, ip)
    assert run_until(simulation, lambda: may_end(simulation, ip), LEAVE_LIMIT_NS) is None
    simulation.partitions.clear()
    assert run_until(simulation, lambda: may_end(simulation, ip), 2 * SECOND) is not None


# --- losses after a replacement ------------------------------------------------------------------------------------


@pytest.mark.parametrize(("machines", "tolerated"), SIZES)
@pytest.mark.parametrize("leads", [True, False])
def test_losses_right_after_a_planned_replacement_are_tolerated(machines: int, tolerated: int, leads: bool) -> None:
    """Add a new member, end an old member for good by SIGTERM, then lose the tolerated number of members at once."""
    for first_lost in range(machines):
        simulation = started(machines, tolerated)
        new = simulation.add(NEW_MEMBER, (primary_of(simulation),))
        simulation.run_between_regions(CATCH_UP_LIMIT_NS)
        old = primary_of(simulation) if leads else others(simulation, primary_of(simulation))[0]
        leave_for_good(simulation, old)
        for ip in rotated(others(simulation, old), first_lost)[:tolerated]:
            lose_for_good(simulation, ip)
        acknowledge(simulation)
        assert new not in simulation.machines or new in copies(simulation)


@pytest.mark.parametrize(("machines", "tolerated"), SIZES)
@pytest.mark.parametrize("leads", [True, False])
def test_losses_right_after_successors_have_caught_up_are_tolerated(machines: int, tolerated: int, leads: bool) -> None:
    """Lose the tolerated number of members without notice, add successors, then lose the same number again."""
    for first_lost in range(machines):
        simulation = started(machines, tolerated)
        removed = [primary_of(simulation)] if leads else []
        removed = [*removed, *others(simulation, primary_of(simulation))][:tolerated]
        for ip in removed:
            lose_for_good(simulation, ip)
        for number in range(tolerated):
            simulation.add(f"10.0.9.{number}", (others(simulation)[0],))
        simulation.run_between_regions(CATCH_UP_LIMIT_NS)
        for ip in rotated(list(simulation.machines), first_lost)[:tolerated]:
            lose_for_good(simulation, ip)
        acknowledge(simulation)


def rotated(ips: list[str], count: int) -> list[str]:
    return ips[count:] + ips[:count]


def test_two_replacements_in_a_row_end_with_complete_electorate() -> None:
    simulation = started()
    for number in range(2):
        simulation.add(f"10.0.9.{number}", (primary_of(simulation),))
        simulation.run_between_regions(CATCH_UP_LIMIT_NS)
        leave_for_good(simulation, others(simulation, primary_of(simulation))[0])
        acknowledge(simulation)
    simulation.run_between_regions(SECOND)
    assert copies(simulation) == electorate(simulation) == set(simulation.machines)


@pytest.mark.parametrize(("machines", "tolerated"), SIZES)
@pytest.mark.parametrize("planned", [True, False])
def test_all_seeds_are_replaced_one_after_the_other(machines: int, tolerated: int, planned: bool) -> None:
    simulation = started(machines, tolerated)
    for number, old in enumerate(list(simulation.machines)):
        seeds = (others(simulation, old)[0],)
        if planned:
            simulation.add(f"10.0.9.{number}", seeds)
            simulation.run_between_regions(CATCH_UP_LIMIT_NS)
            leave_for_good(simulation, old)
        else:
            lose_for_good(simulation, old)
            simulation.add(f"10.0.9.{number}", seeds)
            simulation.run_between_regions(CATCH_UP_LIMIT_NS)
        acknowledge(simulation)
    simulation.run_between_regions(CATCH_UP_LIMIT_NS)
    assert copies(simulation) == electorate(simulation) == set(simulation.machines)
    for ip in list(simulation.machines)[:tolerated]:
        lose_for_good(simulation, ip)
    acknowledge(simulation)


def test_last_original_member_rejoins_after_its_disk_is_wiped() -> None:
    """Replace all members but one, and wipe that last original member as soon as the successors have caught up."""
    simulation = started()
    oldest = primary_of(simulation)
    for number, old in enumerate(others(simulation, oldest)):
        simulation.add(f"10.0.9.{number}", (oldest,))
        simulation.run_between_regions(CATCH_UP_LIMIT_NS)
        leave_for_good(simulation, old)
        acknowledge(simulation)
    simulation.wipe(oldest)
    acknowledge(simulation)
    simulation.start(oldest)
    simulation.run_between_regions(CATCH_UP_LIMIT_NS)
    assert copies(simulation) == electorate(simulation) == set(simulation.machines)


def test_the_electorate_grows_and_shrinks_by_pairs() -> None:
    """The electorate grows from three to five members to tolerate two losses.

    When one loss is to be tolerated, the electorate shrinks to three members again and must survive one loss.
    """
    simulation = started(5, 2)
    assert len(electorate(simulation)) == 5
    sizes = set()
    simulation.tolerated = 1
    for ip in list(simulation.machines):
        leave(simulation, ip)
        assert run_until(simulation, partial(may_end, simulation, ip), LEAVE_LIMIT_NS) is not None
        simulation.crash(ip, keep_unsynced=True)
        simulation.start(ip)
        simulation.run_between_regions(CATCH_UP_LIMIT_NS)
        sizes.add(len(electorate(simulation)))
    assert sizes <= {3, 5}
    assert len(electorate(simulation)) == 3
    lose_for_good(simulation, primary_of(simulation))
    acknowledge(simulation)
    simulation.run_between_regions(CATCH_UP_LIMIT_NS)
    lose_for_good(simulation, primary_of(simulation))
    acknowledge(simulation)


# --- losses at every event of a replacement ------------------------------------------------------------------------


def planned_replacement(simulation: ReplicationSimulation, old: str = REPLACED_MEMBER) -> Iterator[None]:
    """Have member `old` leave, and remove its machine once the member may end; yield after each event, for 1 s more."""
    leave(simulation, old)
    for _ in every_event(simulation, 4 * SECOND):
        remove_released_members(simulation)
        yield
        if old not in simulation.machines:
            for _ in every_event(simulation, SECOND):
                yield
            return


def remove_released_members(simulation: ReplicationSimulation) -> None:
    for ip in [machine for machine in simulation.machines if may_end(simulation, machine)]:
        simulation.remove(ip)


def simulation_before_replacement(machines: int = 3, tolerated: int = 1) -> ReplicationSimulation:
    simulation = ReplicationSimulation(machines, tolerated, seeds=3)
    simulation.run(40)
    simulation.add(NEW_MEMBER, (primary_of(simulation),))
    simulation.run(20)
    simulation.submit(primary_of(simulation))
    simulation.settle()
    assert simulation.acknowledged
    return simulation


def lose_machine_after_every_event(victim: Callable[[ReplicationSimulation], str], old: str = REPLACED_MEMBER) -> int:
    """Replay a replacement up to each event in turn, remove the victim there, and check that the others recover.

    Return the number of events.
    """
    total = sum(1 for _ in planned_replacement(simulation_before_replacement(), old))
    for event in range(total):
        simulation = simulation_before_replacement()
        for _ in islice(planned_replacement(simulation, old), event + 1):
            pass
        lost = victim(simulation)
        if lost in simulation.machines:
            simulation.remove(lost)
        check_progress(simulation)
    return total


def check_progress(simulation: ReplicationSimulation) -> None:
    """Check that a change is acknowledged within `RECOVERY_LIMIT_NS`; remove leaving machines once they may end."""
    limit = simulation.now + RECOVERY_LIMIT_NS
    tag = None
    while simulation.now < limit:
        simulation.run(1)
        remove_released_members(simulation)
        ip = simulation.primary()
        if ip is not None:
            tag = simulation.submit(ip, tag)
            simulation.settle()
        if tag in simulation.acknowledged:
            return
    raise InvariantError(f"no change was acknowledged within {RECOVERY_LIMIT_NS / SECOND} s: {simulation.describe()}")


VICTIMS: dict[str, Callable[[ReplicationSimulation], str]] = {
    "the first primary": lambda simulation: FIRST_PRIMARY,
    "the current primary": lambda simulation: simulation.primary() or "none",
    "the new member": lambda simulation: NEW_MEMBER,
    "the third member": lambda simulation: "10.0.0.3",
}


@pytest.mark.parametrize("name", VICTIMS)
@pytest.mark.parametrize("old", [REPLACED_MEMBER, FIRST_PRIMARY])
def test_one_loss_after_any_event_of_a_replacement_is_tolerated(old: str, name: str) -> None:
    assert lose_machine_after_every_event(VICTIMS[name], old) > 50


@pytest.mark.parametrize("old", [REPLACED_MEMBER, FIRST_PRIMARY])
def test_two_losses_of_five_during_a_replacement_are_tolerated(old: str) -> None:
    """Lose two other machines after every seventh event of the replacement, another pair each time."""
    total = sum(1 for _ in planned_replacement(simulation_before_replacement(5, 2), old))
    pairs = list(combinations([ip for ip in simulation_before_replacement(5, 2).machines if ip != old], 2))
    assert total > 10 * len(pairs)
    for event in range(0, total, 7):
        simulation = simulation_before_replacement(5, 2)
        for _ in islice(planned_replacement(simulation, old), event + 1):
            pass
        for ip in pairs[event % len(pairs)]:
            simulation.remove(ip)
        check_progress(simulation)


def lose_cut_off_primary_after_every_event() -> None:
    """After each event in turn, cut the primary's messages to the staying members, and remove the primary 0.5 s later.

    If the cut begins just before the new electorate is in force, only the primary knows that this electorate is in
    force.
    """
    total = sum(1 for _ in planned_replacement(simulation_before_replacement()))
    for event in range(total):
        simulation = simulation_before_replacement()
        primary = primary_of(simulation)
        replacement = planned_replacement(simulation)
        for _ in islice(replacement, event + 1):
            pass
        for ip in others(simulation, primary, REPLACED_MEMBER):
            simulation.partition(primary, ip, both_ways=False)
        until = simulation.now + SECOND // 2
        for _ in replacement:
            if simulation.now > until:
                break
        simulation.partitions.clear()
        simulation.remove(primary)
        check_progress(simulation)


def test_loss_of_a_cut_off_primary_during_a_replacement_is_tolerated() -> None:
    lose_cut_off_primary_after_every_event()


def partition_after_events(stride: int) -> None:
    """Partition the first primary and the new member from the other two after every `stride`-th event of a replacement.

    Changes are submitted on both sides; the simulation raises an error if the sides acknowledge different histories.
    """
    total = sum(1 for _ in planned_replacement(simulation_before_replacement()))
    for event in range(0, total, stride):
        simulation = simulation_before_replacement()
        for _ in islice(planned_replacement(simulation), event + 1):
            pass
        for ip in others(simulation, FIRST_PRIMARY, NEW_MEMBER):
            simulation.partition(FIRST_PRIMARY, ip)
            simulation.partition(NEW_MEMBER, ip)
        for _ in range(PARTITION_STEPS):
            simulation.run(1)
            for ip in simulation.machines:
                if is_leading(simulation, ip):
                    simulation.submit(ip)
        simulation.partitions.clear()
        check_progress(simulation)


def test_partition_during_a_replacement_leaves_one_history() -> None:
    partition_after_events(stride=11)


def test_nothing_is_acknowledged_before_the_change_of_the_electorate_is_settled() -> None:
    """The primary must not answer calls before the new electorate is settled.

    Settled means that a majority of the new electorate has stored that the new electorate is in force.
    """
    answered = acknowledged_before_settled()
    assert answered == []


def acknowledged_before_settled() -> list[str]:
    """Return the changes acknowledged while no majority of the disks has stored the end of the replacement.

    The messages that announce the end of the replacement are lost for 0.5 s.
    """
    simulation = simulation_before_replacement()
    early: list[str] = []
    submitted_at = 0
    lost_until = simulation.now + SECOND // 2
    acknowledged = set(simulation.acknowledged)
    for _ in planned_replacement(simulation):
        if simulation.now < lost_until:
            lose_packets(simulation, announces_view_in_force)
        ip = simulation.primary()
        if ip is not None and simulation.now > submitted_at:
            submitted_at = simulation.now
            simulation.submit(ip)
        early += [change for change in simulation.acknowledged - acknowledged if not is_settled_on_disks(simulation)]
        acknowledged = set(simulation.acknowledged)
    return early


def is_settled_on_disks(simulation: ReplicationSimulation) -> bool:
    view = view_of(simulation)
    if set(view.witnesses) == set(view.previous_witnesses):
        return True
    confirmed = [
        machine.me
        for machine in simulation.machines.values()
        if machine.durable.accepted is not None
        and machine.durable.accepted.epoch == view.epoch
        and machine.durable.in_force
    ]
    return 2 * len(set(confirmed) & set(view.witnesses)) > len(view.witnesses)


def test_primary_asks_again_until_the_new_view_is_confirmed() -> None:
    """The primary must ask again when the first confirmations of the new view are lost, and then answer its calls."""
    simulation = simulation_before_replacement()
    lost_until = simulation.now + SECOND
    for _ in planned_replacement(simulation):
        if simulation.now < lost_until:
            lose_packets(simulation, lambda each: isinstance(each.message, Accepted) and each.message.in_force)
    check_progress(simulation)


def test_a_new_member_has_the_state_before_it_votes() -> None:
    check_new_members_catch_up_first()


def check_new_members_catch_up_first() -> None:
    """Check that in each stored view every new witness holds all acknowledged changes.

    `Install` messages to the new member are lost for 0.5 s.
    """
    simulation = simulation_before_replacement()
    lost_until = simulation.now + SECOND // 2
    for _ in planned_replacement(simulation):
        if simulation.now < lost_until:
            lose_packets(simulation, lambda each: isinstance(each.message, Install) and each.to_ip == NEW_MEMBER)
        for machine in simulation.machines.values():
            if machine.durable.accepted is not None:
                check_new_witnesses(simulation, machine.durable.accepted)


def lose_packets(simulation: ReplicationSimulation, is_lost: Callable[[Packet], bool]) -> None:
    simulation.packets = [packet for packet in simulation.packets if not is_lost(packet)]


def announces_view_in_force(packet: Packet) -> bool:
    """Return True if the packet tells another member than its sender that the view is in force."""
    to_itself = member_ip(packet.sender) == packet.to_ip
    return isinstance(packet.message, Accept) and packet.message.in_force and not to_itself


def check_new_witnesses(simulation: ReplicationSimulation, view: View) -> None:
    by_id = {machine.me: machine for machine in simulation.machines.values()}
    for witness in set(view.witnesses) - set(view.previous_witnesses):
        machine = by_id.get(witness)
        if machine is None:
            continue
        if machine.durable.installed < view.epoch or not simulation.acknowledged <= set(
            machine.durable.state.evacuated_zones
        ):
            raise InvariantError(f"witness {witness} of {view} lacks the installed state or an acknowledged change")


# --- planted faults ------------------------------------------------------------------------------------------------


def release_at_once(self: Member, sender: MemberId, standbys: Collection[MemberId], now: int) -> list[Action]:
    del standbys
    self.state.liveness.record_leaving(sender, now)
    primary = primary_part_of(self)
    if primary is None:
        return []
    return [Send(sender, LeaveGranted(primary.view.epoch, len(primary.view.replicas)))]


def accept_after_first_install(self: Candidate, sender: MemberId, stored: bool, now: int) -> list[Send]:
    return self._enter(Phase.ACCEPTING, now)


def skip_settled_step() -> mock._patch[bool]:
    return mock.patch.object(Primary, "is_reconfiguration_complete", True)


def test_early_release_of_a_member_is_detected() -> None:
    with mock.patch.object(Member, "_on_leave", release_at_once), pytest.raises(InvariantError):
        lose_machine_after_every_event(VICTIMS["the first primary"])


def test_early_release_of_one_of_the_last_two_replicas_is_detected() -> None:
    with mock.patch.object(Member, "_on_leave", release_at_once), pytest.raises(AssertionError):
        test_one_of_the_last_two_replicas_is_released_once_a_third_is_back(leads=False)


def test_skipped_settled_step_is_detected() -> None:
    with skip_settled_step(), pytest.raises(InvariantError):
        lose_cut_off_primary_after_every_event()


def quorum_of_the_new_electorate(self: View, votes: Collection[MemberId], in_force: bool) -> bool:
    del in_force
    return is_majority(votes, self.witnesses)


def test_change_of_electorate_without_quorum_of_the_old_one_is_detected() -> None:
    with (
        mock.patch.object(View, "has_quorum", quorum_of_the_new_electorate),
        pytest.raises(InvariantError, match="two histories"),
    ):
        partition_after_events(stride=3)


def test_answer_before_the_settled_step_is_detected() -> None:
    with skip_settled_step():
        assert acknowledged_before_settled() != []


def test_new_member_that_votes_without_the_state_is_detected() -> None:
    with mock.patch.object(Candidate, "_take_installed", accept_after_first_install), pytest.raises(InvariantError):
        check_new_members_catch_up_first()


# --- random walks with members that leave --------------------------------------------------------------------------


class LeavingWalk(RandomWalk):
    """Random faults and random SIGTERMs: a leaving member restarts once it may end, or after `LEAVE_LIMIT_NS`."""

    def __init__(self, seed: int, machines: int = 3, tolerated: int = 1) -> None:
        super().__init__(seed, machines, tolerated)
        self._leaves_at: dict[MemberId, int] = {}

    def step(self) -> None:
        super().step()
        for machine in list(self.simulation.machines.values()):
            until = self._leaves_at.get(machine.me)
            if machine.member is None or until is None:
                continue
            if machine.member.state.departure.may_end or self.simulation.now >= until:
                self._restart(machine.ip)
        if self._chance.random() < 0.03:
            self._leave(self._chance.choice(list(self.simulation.machines)))

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.step()
        for machine in list(self.simulation.machines.values()):
            if machine.me in self._leaves_at:
                self._restart(machine.ip)
        super().run(0)

    def _leave(self, ip: str) -> None:
        me = self.simulation.machines[ip].me
        if me not in self._leaves_at:
            self._leaves_at[me] = self.simulation.now + LEAVE_LIMIT_NS
            leave(self.simulation, ip)

    def _restart(self, ip: str) -> None:
        del self._leaves_at[self.simulation.machines[ip].me]
        self.simulation.crash(ip, keep_unsynced=True)
        self.simulation.start(ip)


@pytest.mark.parametrize("seed", range(WALKS))
def test_random_walks_of_three_with_leaving_members(seed: int) -> None:
    LeavingWalk(seed).run(250)


@pytest.mark.parametrize("seed", range(WALKS // 4))
def test_random_walks_of_five_with_leaving_members(seed: int) -> None:
    LeavingWalk(seed, machines=5, tolerated=2).run(250)
