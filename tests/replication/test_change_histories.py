"""Check histories of operators' API calls against the sequential specification in `tests.support.change_history`.

The tests run random histories (`ORDER_HISTORIES` sets the number of seeds) and one scenario for each rule of the
specification. They also plant faults, each of which a scenario or the random histories must detect.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Coroutine
from contextlib import AbstractContextManager, nullcontext, suppress
from typing import Any
from unittest import mock

import pytest

from canvasbeam.control_plane import changes, operator_api
from canvasbeam.control_plane.evacuation_fence import EvacuationFence
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.calls import PendingCall
from canvasbeam.replication.control_state import Change, Committed, ControlState
from canvasbeam.replication.messages import Action, Reply
from canvasbeam.replication.primary import Primary
from canvasbeam.replication.primary_role import PrimaryRole
from canvasbeam.replication.roles import Outcome
from tests.support.change_history import Call, HistoryError
from tests.support.change_operators import end_evacuation, evacuate, patch, put, run_operators
from tests.support.change_simulation import IPS, ChangeSimulation, Faults, Node
from tests.support.virtual_time import run_in_virtual_time

DAYS = int(os.environ.get("ORDER_HISTORIES", "30"))
DAYS_WITH_A_FAULT = 150
CLEAR_WITHIN_S = 60.0
Scenario = Callable[[ChangeSimulation], Coroutine[Any, Any, None]]
NO_FENCE = Faults(needs_caller=False, knows_connections=False)
Plant = Callable[[], AbstractContextManager[object]]


@pytest.mark.parametrize("seed", range(DAYS))
def test_random_day(seed: int) -> None:
    """Three operators change configurations and evacuate zones under random faults, and the history is consistent."""
    run_operators(seed)


@pytest.mark.parametrize("seed", range(DAYS // 3))
def test_random_day_of_two_operators(seed: int) -> None:
    """The same random histories with two operators follow the specification."""
    run_operators(10_000 + seed, operators=2)


def test_a_day_has_something_of_everything() -> None:
    """Random histories check little if they lack successes, refusals, reads, evacuations or concurrent calls."""
    calls = [call for seed in range(10) for call in run_operators(seed).history.calls]
    orders = [call for call in calls if call.is_configuration_order]
    assert {call.status for call in orders} >= {200, 400, 412, 503, None}
    assert sum(call.status == 200 for call in orders) > 100
    assert sum(call.status == 412 for call in orders) > 100
    assert sum(call.status == 200 and call.document is not None for call in calls) > 100
    assert sum(call.status == 200 and call.change is not None and call.change.zone != "" for call in calls) > 100
    assert max(sum(other.sent_at <= call.sent_at < other.ended_at for other in calls) for call in calls) >= 8


# --- scenarios ------------------------------------------------------------------------------------------------------


def play(scenario: Scenario, faults: Faults | None = None, answers_may_differ: bool = False) -> None:
    """Run a scenario on a new cluster and check the history of its calls."""

    async def body() -> None:
        simulation = ChangeSimulation(faults=faults)
        await simulation.primary_in_force()
        with suppress(AssertionError) if answers_may_differ else nullcontext():
            await scenario(simulation)
        await asyncio.sleep(5.0)
        simulation.check()

    run_in_virtual_time(body())


async def until_clear(
    simulation: ChangeSimulation, caller: str, change: Change | None = None, ip: str | None = None
) -> Call:
    """Repeat a call at `ip`, or at all nodes in turn, until its status is below 500; fail after `CLEAR_WITHIN_S`."""
    give_up_at = simulation.now() + CLEAR_WITHIN_S
    while simulation.now() < give_up_at:
        for each in (ip,) if ip else IPS:
            call = await simulation.call(caller, each, change)
            if call.status is not None and call.status < 500:
                return call
            await asyncio.sleep(0.1)
    raise AssertionError(f"{change} got no status below 500 within {CLEAR_WITHIN_S} s")


async def other_primary(simulation: ChangeSimulation, than: Node) -> Node:
    """Wait until a node other than `than` is the primary, and return that node."""
    async with asyncio.timeout(CLEAR_WITHIN_S):
        while (node := simulation.primary()) is None or node is than:
            await asyncio.sleep(0.05)
    return node


async def configured(simulation: ChangeSimulation) -> Node:
    """Put configuration version 5 in force and return the primary."""
    assert (await until_clear(simulation, "a", put(5, 0))).status == 200
    primary = simulation.primary()
    assert primary is not None
    return primary


async def race_on_one_number(simulation: ChangeSimulation) -> None:
    """Of four concurrent changes on one version, exactly one is accepted."""
    await configured(simulation)
    version, statuses = 5, []
    for _ in range(5):
        one, other, higher = version + 2, version + 3, version + 4
        orders = [put(one, version, "a"), patch(one, version, "b"), put(other, version), patch(higher, version)]
        racing = [until_clear(simulation, f"o{number}", order, IPS[number % 3]) for number, order in enumerate(orders)]
        calls = await asyncio.gather(*racing)
        statuses.append(sorted(call.status or 0 for call in calls))
        read = await until_clear(simulation, "o1")
        assert read.document is not None
        version = read.document["generation"]
    assert statuses == [[200, 412, 412, 412]] * 5


async def race_with_equal_bodies(simulation: ChangeSimulation) -> None:
    """Three callers concurrently send the same change; all three get 200, and the change is applied once."""
    await configured(simulation)
    calls = await asyncio.gather(*(until_clear(simulation, ip, put(7, 5, "same"), ip) for ip in IPS))
    assert [call.status for call in calls] == [200, 200, 200]
    assert sum(state.state.generation == 7 for state in simulation.history.states.values()) == 1


async def answer_lost_and_sent_again_after_a_failover(simulation: ChangeSimulation) -> None:
    """A change whose answer was lost is acknowledged, but not applied twice, when retried after a failover."""
    primary = await configured(simulation)
    order = patch(7, 5, "a")
    await simulation.call("a", primary.ip, order, is_answer_lost=True)
    primary.kill()
    successor = await other_primary(simulation, primary)
    assert (await until_clear(simulation, "a", order, successor.ip)).status == 200
    assert (await until_clear(simulation, "b", put(9, 7, "b"))).status == 200
    assert (await until_clear(simulation, "a", order)).status == 200
    read = await until_clear(simulation, "a")
    assert read.document is not None
    assert read.document["generation"] == 9


async def sent_again_to_all_at_once_and_late(simulation: ChangeSimulation) -> None:
    """Copies of a change at all nodes, and retries after later versions, are acknowledged again."""
    await configured(simulation)
    order = put(7, 5, "a")
    calls = await asyncio.gather(*(until_clear(simulation, ip, order, ip) for ip in (*IPS, *IPS)))
    assert {call.status for call in calls} == {200}
    for generation in range(8, 20):
        assert (await until_clear(simulation, "b", patch(generation, generation - 1, "b"))).status == 200
        assert (await until_clear(simulation, "a", order)).status == 200


async def thawed_primary_is_read(simulation: ChangeSimulation) -> None:
    """A resumed primary receives a read before the messages of the member that took over."""
    old = await configured(simulation)
    old.freeze()
    await other_primary(simulation, old)
    assert (await until_clear(simulation, "b", put(7, 5, "b"))).status == 200
    reading = asyncio.create_task(simulation.call("a", old.ip))
    await asyncio.sleep(0.1)
    old.thaw(("call", "tick", "message"), messages_after_s=0.2)
    await reading


async def refused_over_a_winner_that_is_lost(simulation: ChangeSimulation) -> None:
    """A partitioned primary must not refuse a change because of a competing change that is not replicated.

    After the failover, the refused change may be the one that is accepted.
    """
    old = await configured(simulation)
    simulation.partitions |= {(old.ip, ip) for ip in IPS if ip != old.ip}
    winner = asyncio.create_task(simulation.call("a", old.ip, put(7, 5, "a")))
    await asyncio.sleep(0.1)
    loser = asyncio.create_task(simulation.call("b", old.ip, put(7, 5, "b")))
    await asyncio.gather(winner, loser)
    await other_primary(simulation, old)
    assert (await until_clear(simulation, "b", put(7, 5, "b"))).status == 200
    assert (await until_clear(simulation, "a", put(7, 5, "a"))).status == 412


async def late_copy_of_an_evacuation(simulation: ChangeSimulation) -> None:
    """A delayed copy of an evacuation request arrives after the evacuation has ended."""
    primary = await configured(simulation)
    held = asyncio.create_task(simulation.call("a", primary.ip, evacuate("z1"), held_s=3.0))
    await asyncio.sleep(1.0)
    assert (await until_clear(simulation, "a", evacuate("z1"))).status == 200
    assert (await until_clear(simulation, "a", end_evacuation("z1"))).status == 200
    await held


async def late_copy_of_the_end_of_an_evacuation(simulation: ChangeSimulation) -> None:
    """A delayed copy of a request to end an evacuation arrives after the zone has been evacuated again."""
    primary = await configured(simulation)
    assert (await until_clear(simulation, "a", evacuate("z1"))).status == 200
    held = asyncio.create_task(simulation.call("a", primary.ip, end_evacuation("z1"), held_s=3.0))
    await asyncio.sleep(1.0)
    assert (await until_clear(simulation, "a", end_evacuation("z1"))).status == 200
    assert (await until_clear(simulation, "a", evacuate("z1"))).status == 200
    await held


async def late_copy_of_a_caller_that_does_not_close(simulation: ChangeSimulation) -> None:
    """A delayed copy of an evacuation request arrives on a connection that its caller has left open."""
    primary = await configured(simulation)
    held = asyncio.create_task(simulation.call("a", primary.ip, evacuate("z1"), held_s=3.0, closes=False))
    await asyncio.sleep(1.0)
    assert (await until_clear(simulation, "a", evacuate("z1"))).status == 200
    assert (await until_clear(simulation, "a", end_evacuation("z1"))).status == 200
    await held


async def late_copy_at_a_primary_that_followed(simulation: ChangeSimulation) -> None:
    """A delayed copy of an evacuation request reaches a node that became the primary after the evacuation had ended."""
    primary = await configured(simulation)
    other = next(ip for ip in IPS if ip != primary.ip)
    held = [
        asyncio.create_task(simulation.call("a", ip, evacuate("z1"), held_s=8.0, closes=False))
        for ip in IPS
        if ip != primary.ip
    ]
    await asyncio.sleep(0.5)
    assert (await until_clear(simulation, "a", evacuate("z1"), other)).status == 200
    assert (await until_clear(simulation, "a", end_evacuation("z1"), other)).status == 200
    primary.kill()
    await other_primary(simulation, primary)
    await asyncio.gather(*held)
    await asyncio.sleep(8.0)


async def evacuation_at_a_thawed_primary(simulation: ChangeSimulation) -> None:
    """An evacuation request reaches a resumed primary that still has an equal request pending.

    The pending evacuation was stored by all members, and the new primary has ended that evacuation since.
    """
    old = await configured(simulation)
    first = asyncio.create_task(simulation.call("a", old.ip, evacuate("z1")))
    while old.member is None or old.member.state.replica.state.evacuated_zones != ("z1",):
        await asyncio.sleep(0.001)
    old.freeze()
    await first
    successor = await other_primary(simulation, old)
    assert (await until_clear(simulation, "a", evacuate("z1"), successor.ip)).status == 200
    assert (await until_clear(simulation, "a", end_evacuation("z1"), successor.ip)).status == 200
    again = asyncio.create_task(simulation.call("a", old.ip, evacuate("z1")))
    await asyncio.sleep(0.1)
    simulation.latency = (0.1, 0.12)  # keeps the members' refusals of the old epoch from arriving earlier
    old.thaw(("call", "message", "tick"), messages_after_s=0.03)
    await again


async def order_on_a_version_that_is_still_to_come(simulation: ChangeSimulation) -> None:
    """One copy of a change is processed before the version in its If-Match is committed, another copy afterwards."""
    primary = await configured(simulation)
    follow_up = put(9, 7, "a")
    early = asyncio.create_task(simulation.call("a", primary.ip, follow_up))
    held = asyncio.create_task(simulation.call("a", primary.ip, follow_up, held_s=0.6))
    await asyncio.sleep(0.2)
    assert (await until_clear(simulation, "a", put(7, 5, "a"), primary.ip)).status == 200
    assert (await early).status == 503
    assert (await held).status == 200


async def loser_comes_again_after_a_failover(simulation: ChangeSimulation) -> None:
    """A change that lost the race for a version is refused again after a failover."""
    primary = await configured(simulation)
    loser = put(8, 5, "b")
    assert (await until_clear(simulation, "a", put(7, 5, "a"))).status == 200
    assert (await until_clear(simulation, "b", loser)).status == 412
    held = [asyncio.create_task(simulation.call("b", ip, loser, held_s=0.5 + n)) for n, ip in enumerate(IPS)]
    primary.kill()
    successor = await other_primary(simulation, primary)
    assert (await until_clear(simulation, "b", loser, successor.ip)).status == 412
    await asyncio.gather(*held)


async def primary_is_wiped_after_its_acknowledgement(simulation: ChangeSimulation) -> None:
    """An acknowledged change survives the loss of the primary's disk."""
    primary = await configured(simulation)
    order = put(7, 5, "a")
    assert (await until_clear(simulation, "a", order, primary.ip)).status == 200
    primary.wipe()
    primary.start()
    assert (await until_clear(simulation, "a", order)).status == 200
    assert (await until_clear(simulation, "b", put(8, 5, "b"))).status == 412
    assert (await until_clear(simulation, "a")).document == changes_document(order)


async def all_are_killed_after_an_acknowledgement(simulation: ChangeSimulation) -> None:
    """An acknowledged change survives a restart of all nodes."""
    await configured(simulation)
    order = patch(7, 5, "a")
    assert (await until_clear(simulation, "a", order)).status == 200
    for node in simulation.nodes.values():
        node.kill()
        node.start()
    read = await until_clear(simulation, "b")
    assert read.document is not None
    assert read.document["generation"] == 7
    assert (await until_clear(simulation, "a", order)).status == 200


async def invalid_orders(simulation: ChangeSimulation) -> None:
    """Every node answers an invalid change with 400."""
    await configured(simulation)
    for order in (put(7, 5, service="nobody"), patch(7, 5, service="nobody"), put(5, 5, "x"), patch(4, 5)):
        calls = await asyncio.gather(*(until_clear(simulation, ip, order, ip) for ip in IPS))
        assert [call.status for call in calls] == [400, 400, 400]


SCENARIOS: list[Scenario] = [
    race_on_one_number,
    race_with_equal_bodies,
    answer_lost_and_sent_again_after_a_failover,
    sent_again_to_all_at_once_and_late,
    thawed_primary_is_read,
    refused_over_a_winner_that_is_lost,
    late_copy_of_an_evacuation,
    late_copy_of_the_end_of_an_evacuation,
    late_copy_of_a_caller_that_does_not_close,
    late_copy_at_a_primary_that_followed,
    evacuation_at_a_thawed_primary,
    order_on_a_version_that_is_still_to_come,
    loser_comes_again_after_a_failover,
    primary_is_wiped_after_its_acknowledgement,
    all_are_killed_after_an_acknowledgement,
    invalid_orders,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_story(scenario: Scenario) -> None:
    """The history of each scenario follows the specification."""
    play(scenario)


def test_refused_order_is_not_in_force_though_its_late_copies_have_effect() -> None:
    """A refused change stays refused after a failover, even if the servers execute delayed copies of the change."""
    play(loser_comes_again_after_a_failover, NO_FENCE)


@pytest.mark.parametrize("scenario", [late_copy_of_an_evacuation, late_copy_of_the_end_of_an_evacuation])
@pytest.mark.parametrize("faults", [Faults(needs_caller=False), Faults(knows_connections=False)])
def test_each_fence_alone_keeps_out_the_late_copy_of_a_caller_that_closed(scenario: Scenario, faults: Faults) -> None:
    """A delayed copy is rejected since its connection has ended, or since that connection is too old."""
    play(scenario, faults)


WAYS = ("both", "it is heard", "it hears")
CUT_S, LEADS_ON_S = 20.0, 1.5


def cut_off_primary(ways: str) -> Scenario:
    """Return a scenario that partitions the primary for `CUT_S` seconds, with changes and reads on both sides.

    The old primary must stop leading within `LEADS_ON_S` seconds.
    """

    async def scenario(simulation: ChangeSimulation) -> None:
        old = await configured(simulation)
        others = [ip for ip in IPS if ip != old.ip]
        if ways != "it is heard":
            simulation.partitions |= {(old.ip, other) for other in others}
        if ways != "it hears":
            simulation.partitions |= {(other, old.ip) for other in others}
        cut_at = simulation.now()
        version = 5
        while simulation.now() < cut_at + CUT_S:
            orders = (put(version + 1, version, "x"), put(version + 1, version, "y"), evacuate("z2"), None)
            await asyncio.gather(*(simulation.call("a", old.ip, order) for order in orders))
            assert not old.is_primary or simulation.now() < cut_at + LEADS_ON_S
            call = await until_clear(simulation, "b", put(version + 1, version, "z"), others[0])
            read = await until_clear(simulation, "b", None, others[1])
            assert call.status in (200, 412)
            assert read.document is not None
            version = read.document["generation"]
        simulation.partitions.clear()

    return scenario


@pytest.mark.parametrize("ways", WAYS)
def test_cut_off_primary_neither_confirms_nor_refuses_nor_tells(ways: str) -> None:
    """A partitioned primary that continued to lead would answer calls from an outdated state."""
    play(cut_off_primary(ways))


def changes_document(order: Change) -> Any:
    state = changes.apply(ControlState(generation=order.if_match), order)
    assert isinstance(state, ControlState)
    return state.configuration


# --- planted faults -----------------------------------------------------------------------------------------------


def any_match(state: ControlState, change: Change) -> Failure | None:
    """Accept a change whatever its If-Match, so that two changes on one version can both be accepted."""
    return None


def read_without_confirmation(self: Primary, call: int, now: int) -> list[Action]:
    """Answer a read without the confirmation of a quorum."""
    return [Reply(call, Committed(self._replica.state_at(self._committed)))]


await_confirmation = Primary._await_confirmation


def refuse_without_confirmation(self: Primary, pending: PendingCall, now: int) -> list[Action]:
    """Refuse a change without the confirmation of a quorum."""
    if pending.failure is not None:
        return [Reply(pending.call, pending.failure)]
    return await_confirmation(self, pending, now)


def tick_without_doubt(self: PrimaryRole, now: int) -> Outcome:
    """Tick a primary that never steps down, whether or not the witnesses answer."""
    return Outcome(self.primary.tick(now))


REFUSES_EARLY_ORDERS = {**operator_api.STATUS_OF_CODE, ResultCode.CONFIG_UNKNOWN_MATCH: 412}


@pytest.mark.parametrize(
    ("scenario", "faults", "plant"),
    [
        (race_on_one_number, None, lambda: mock.patch.object(changes, "_check_match", any_match)),
        (answer_lost_and_sent_again_after_a_failover, Faults(forgets_at_failover=True), nullcontext),
        (thawed_primary_is_read, None, lambda: mock.patch.object(Primary, "read", read_without_confirmation)),
        (
            refused_over_a_winner_that_is_lost,
            None,
            lambda: mock.patch.object(Primary, "_await_confirmation", refuse_without_confirmation),
        ),
        (late_copy_of_an_evacuation, NO_FENCE, nullcontext),
        (late_copy_of_the_end_of_an_evacuation, NO_FENCE, nullcontext),
        (late_copy_of_a_caller_that_does_not_close, Faults(knows_connections=False), nullcontext),
        (late_copy_at_a_primary_that_followed, Faults(knows_connections=False), nullcontext),
        (
            late_copy_at_a_primary_that_followed,
            None,
            lambda: mock.patch.object(EvacuationFence, "become_primary", lambda self, now: None),
        ),
        (evacuation_at_a_thawed_primary, Faults(joins_evacuations=True), nullcontext),
        (
            order_on_a_version_that_is_still_to_come,
            None,
            lambda: mock.patch.object(operator_api, "STATUS_OF_CODE", REFUSES_EARLY_ORDERS),
        ),
    ],
    ids=[
        "two winners",
        "repeats are not remembered across a failover",
        "a read is not confirmed",
        "a refusal is not confirmed",
        "a late copy evacuates",
        "a late copy ends an evacuation",
        "a late copy on an open connection",
        "a late copy at a primary that followed",
        "the begin of the lead is not noted",
        "an evacuation joins an older one",
        "an early order is refused",
    ],
)
def test_story_finds_a_planted_fault(scenario: Scenario, faults: Faults | None, plant: Plant) -> None:
    """A scenario that passes with its planted fault would check nothing."""
    with plant(), pytest.raises(HistoryError):
        play(scenario, faults, answers_may_differ=True)


@pytest.mark.parametrize(
    ("faults", "plant"),
    [
        (None, lambda: mock.patch.object(changes, "_check_match", any_match)),
        (Faults(forgets_at_failover=True), nullcontext),
        (NO_FENCE, nullcontext),
        (None, lambda: mock.patch.object(Primary, "read", read_without_confirmation)),
        (None, lambda: mock.patch.object(Primary, "_await_confirmation", refuse_without_confirmation)),
    ],
    ids=["two winners", "repeats forgotten", "late copies", "reads not confirmed", "refusals not confirmed"],
)
def test_days_find_a_planted_fault(faults: Faults | None, plant: Plant) -> None:
    """Random histories that pass with a planted fault would check nothing."""
    with plant(), pytest.raises(HistoryError):
        for seed in range(DAYS_WITH_A_FAULT):
            run_operators(seed, faults=faults)


def test_primary_that_does_not_notice_its_cut_is_found() -> None:
    """The scenario detects a partitioned primary that never steps down and so leads longer than `LEADS_ON_S`.

    The fault replaces all of `tick`. Without `has_lost_contact` alone, a primary still stops leading: it proposes a
    view without the unreachable members, and cannot win that view. The partition must cut both directions. If only the
    primary's own messages are lost, the primary receives messages from its successor; if only the others' messages are
    lost, no other member takes over.
    """
    with mock.patch.object(PrimaryRole, "tick", tick_without_doubt), pytest.raises(AssertionError):
        play(cut_off_primary("both"))
