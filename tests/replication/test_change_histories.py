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

HISTORIES = int(os.environ.get("ORDER_HISTORIES", "30"))
SEEDS_WITH_PLANTED_FAULT = 150
ANSWER_TIMEOUT_S = 60.0
Scenario = Callable[[ChangeSimulation], Coroutine[Any, Any, None]]
NO_FENCE = Faults(needs_caller=False, knows_connections=False)
FaultPatch = Callable[[], AbstractContextManager[object]]


@pytest.mark.parametrize("seed", range(HISTORIES))
def test_random_history(seed: int) -> None:
    """Three operators change configurations and evacuate zones under random faults, and the history is consistent."""
    run_operators(seed)


@pytest.mark.parametrize("seed", range(HISTORIES // 3))
def test_random_history_of_two_operators(seed: int) -> None:
    """The same random histories with two operators follow the specification."""
    run_operators(10_000 + seed, operators=2)


def test_random_histories_cover_all_kinds_of_answers() -> None:
    """Random histories check little if they lack successes, refusals, reads, evacuations or concurrent calls."""
    calls = [call for seed in range(10) for call in run_operators(seed).history.calls]
    configuration_calls = [call for call in calls if call.is_configuration_order]
    assert {call.status for call in configuration_calls} >= {200, 400, 412, 503, None}
    assert sum(call.status == 200 for call in configuration_calls) > 100
    assert sum(call.status == 412 for call in configuration_calls) > 100
    assert sum(call.status == 200 and call.document is not None for call in calls) > 100
    assert sum(call.status == 200 and call.change is not None and call.change.zone != "" for call in calls) > 100
    assert max(sum(other.sent_at <= call.sent_at < other.ended_at for other in calls) for call in calls) >= 8


# --- scenarios ------------------------------------------------------------------------------------------------------


def run_scenario(scenario: Scenario, faults: Faults | None = None, ignore_scenario_assertions: bool = False) -> None:
    """Run a scenario on a new cluster and check the history of its calls."""

    async def body() -> None:
        simulation = ChangeSimulation(faults=faults)
        await simulation.primary_in_force()
        with suppress(AssertionError) if ignore_scenario_assertions else nullcontext():
            await scenario(simulation)
        await asyncio.sleep(5.0)
        simulation.check()

    run_in_virtual_time(body())


async def call_until_answered(
    simulation: ChangeSimulation, caller: str, change: Change | None = None, ip: str | None = None
) -> Call:
    """Repeat a call at `ip`, or at all nodes in turn, until its status is below 500; fail after `ANSWER_TIMEOUT_S`."""
    give_up_at = simulation.now() + ANSWER_TIMEOUT_S
    while simulation.now() < give_up_at:
        for each in (ip,) if ip else IPS:
            call = await simulation.call(caller, each, change)
            if call.status is not None and call.status < 500:
                return call
            await asyncio.sleep(0.1)
    raise AssertionError(f"{change} got no status below 500 within {ANSWER_TIMEOUT_S} s")


async def wait_for_other_primary(simulation: ChangeSimulation, previous: Node) -> Node:
    """Wait until a node other than `previous` is the primary, and return that node."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        while (node := simulation.primary()) is None or node is previous:
            await asyncio.sleep(0.05)
    return node


async def put_version_5(simulation: ChangeSimulation) -> Node:
    """Put configuration version 5 in force and return the primary."""
    assert (await call_until_answered(simulation, "a", put(5, 0))).status == 200
    primary = simulation.primary()
    assert primary is not None
    return primary


async def race_on_one_version(simulation: ChangeSimulation) -> None:
    """Of four concurrent changes on one version, exactly one is accepted."""
    await put_version_5(simulation)
    version, statuses = 5, []
    for _ in range(5):
        one, other, higher = version + 2, version + 3, version + 4
        competing = [put(one, version, "a"), patch(one, version, "b"), put(other, version), patch(higher, version)]
        racing = [
            call_until_answered(simulation, f"o{number}", change, IPS[number % 3])
            for number, change in enumerate(competing)
        ]
        calls = await asyncio.gather(*racing)
        statuses.append(sorted(call.status or 0 for call in calls))
        read = await call_until_answered(simulation, "o1")
        assert read.document is not None
        version = read.document["generation"]
    assert statuses == [[200, 412, 412, 412]] * 5


async def race_with_equal_bodies(simulation: ChangeSimulation) -> None:
    """Three callers concurrently send the same change; all three get 200, and the change is applied once."""
    await put_version_5(simulation)
    calls = await asyncio.gather(*(call_until_answered(simulation, ip, put(7, 5, "same"), ip) for ip in IPS))
    assert [call.status for call in calls] == [200, 200, 200]
    assert sum(state.state.generation == 7 for state in simulation.history.states.values()) == 1


async def lost_answer_and_retry_after_failover(simulation: ChangeSimulation) -> None:
    """A change whose answer was lost is acknowledged, but not applied twice, when retried after a failover."""
    primary = await put_version_5(simulation)
    change = patch(7, 5, "a")
    await simulation.call("a", primary.ip, change, is_answer_lost=True)
    primary.kill()
    successor = await wait_for_other_primary(simulation, primary)
    assert (await call_until_answered(simulation, "a", change, successor.ip)).status == 200
    assert (await call_until_answered(simulation, "b", put(9, 7, "b"))).status == 200
    assert (await call_until_answered(simulation, "a", change)).status == 200
    read = await call_until_answered(simulation, "a")
    assert read.document is not None
    assert read.document["generation"] == 9


async def concurrent_and_late_retries(simulation: ChangeSimulation) -> None:
    """Copies of a change at all nodes, and retries after later versions, are acknowledged again."""
    await put_version_5(simulation)
    change = put(7, 5, "a")
    calls = await asyncio.gather(*(call_until_answered(simulation, ip, change, ip) for ip in (*IPS, *IPS)))
    assert {call.status for call in calls} == {200}
    for generation in range(8, 20):
        assert (await call_until_answered(simulation, "b", patch(generation, generation - 1, "b"))).status == 200
        assert (await call_until_answered(simulation, "a", change)).status == 200


async def read_from_resumed_primary(simulation: ChangeSimulation) -> None:
    """A resumed primary receives a read before the messages of the member that took over."""
    old = await put_version_5(simulation)
    old.freeze()
    await wait_for_other_primary(simulation, old)
    assert (await call_until_answered(simulation, "b", put(7, 5, "b"))).status == 200
    reading = asyncio.create_task(simulation.call("a", old.ip))
    await asyncio.sleep(0.1)
    old.thaw(("call", "tick", "message"), messages_after_s=0.2)
    await reading


async def refusal_because_of_unreplicated_change(simulation: ChangeSimulation) -> None:
    """A partitioned primary must not refuse a change because of a competing change that is not replicated.

    After the failover, the refused change may be the one that is accepted.
    """
    old = await put_version_5(simulation)
    simulation.partitions |= {(old.ip, ip) for ip in IPS if ip != old.ip}
    winner = asyncio.create_task(simulation.call("a", old.ip, put(7, 5, "a")))
    await asyncio.sleep(0.1)
    loser = asyncio.create_task(simulation.call("b", old.ip, put(7, 5, "b")))
    await asyncio.gather(winner, loser)
    await wait_for_other_primary(simulation, old)
    assert (await call_until_answered(simulation, "b", put(7, 5, "b"))).status == 200
    assert (await call_until_answered(simulation, "a", put(7, 5, "a"))).status == 412


async def delayed_copy_of_evacuation(simulation: ChangeSimulation) -> None:
    """A delayed copy of an evacuation request arrives after the evacuation has ended."""
    primary = await put_version_5(simulation)
    delayed = asyncio.create_task(simulation.call("a", primary.ip, evacuate("z1"), held_s=3.0))
    await asyncio.sleep(1.0)
    assert (await call_until_answered(simulation, "a", evacuate("z1"))).status == 200
    assert (await call_until_answered(simulation, "a", end_evacuation("z1"))).status == 200
    await delayed


async def delayed_copy_of_evacuation_end(simulation: ChangeSimulation) -> None:
    """A delayed copy of a request to end an evacuation arrives after the zone has been evacuated again."""
    primary = await put_version_5(simulation)
    assert (await call_until_answered(simulation, "a", evacuate("z1"))).status == 200
    delayed = asyncio.create_task(simulation.call("a", primary.ip, end_evacuation("z1"), held_s=3.0))
    await asyncio.sleep(1.0)
    assert (await call_until_answered(simulation, "a", end_evacuation("z1"))).status == 200
    assert (await call_until_answered(simulation, "a", evacuate("z1"))).status == 200
    await delayed


async def delayed_copy_on_open_connection(simulation: ChangeSimulation) -> None:
    """A delayed copy of an evacuation request arrives on a connection that its caller has left open."""
    primary = await put_version_5(simulation)
    delayed = asyncio.create_task(simulation.call("a", primary.ip, evacuate("z1"), held_s=3.0, closes=False))
    await asyncio.sleep(1.0)
    assert (await call_until_answered(simulation, "a", evacuate("z1"))).status == 200
    assert (await call_until_answered(simulation, "a", end_evacuation("z1"))).status == 200
    await delayed


async def delayed_copy_at_new_primary(simulation: ChangeSimulation) -> None:
    """A delayed copy of an evacuation request reaches a node that became the primary after the evacuation had ended."""
    primary = await put_version_5(simulation)
    other = next(ip for ip in IPS if ip != primary.ip)
    delayed = [
        asyncio.create_task(simulation.call("a", ip, evacuate("z1"), held_s=8.0, closes=False))
        for ip in IPS
        if ip != primary.ip
    ]
    await asyncio.sleep(0.5)
    assert (await call_until_answered(simulation, "a", evacuate("z1"), other)).status == 200
    assert (await call_until_answered(simulation, "a", end_evacuation("z1"), other)).status == 200
    primary.kill()
    await wait_for_other_primary(simulation, primary)
    await asyncio.gather(*delayed)
    await asyncio.sleep(8.0)


async def evacuation_at_resumed_primary(simulation: ChangeSimulation) -> None:
    """An evacuation request reaches a resumed primary that still has an equal request pending.

    The pending evacuation was stored by all members, and the new primary has ended that evacuation since.
    """
    old = await put_version_5(simulation)
    first = asyncio.create_task(simulation.call("a", old.ip, evacuate("z1")))
    while old.member is None or old.member.state.replica.state.evacuated_zones != ("z1",):
        await asyncio.sleep(0.001)
    old.freeze()
    await first
    successor = await wait_for_other_primary(simulation, old)
    assert (await call_until_answered(simulation, "a", evacuate("z1"), successor.ip)).status == 200
    assert (await call_until_answered(simulation, "a", end_evacuation("z1"), successor.ip)).status == 200
    again = asyncio.create_task(simulation.call("a", old.ip, evacuate("z1")))
    await asyncio.sleep(0.1)
    simulation.latency = (0.1, 0.12)  # delays the messages that refuse the old primary's epoch
    old.thaw(("call", "message", "tick"), messages_after_s=0.03)
    await again


async def change_on_future_version(simulation: ChangeSimulation) -> None:
    """One copy of a change is processed before the version in its If-Match is committed, another copy afterwards."""
    primary = await put_version_5(simulation)
    follow_up = put(9, 7, "a")
    early = asyncio.create_task(simulation.call("a", primary.ip, follow_up))
    delayed = asyncio.create_task(simulation.call("a", primary.ip, follow_up, held_s=0.6))
    await asyncio.sleep(0.2)
    assert (await call_until_answered(simulation, "a", put(7, 5, "a"), primary.ip)).status == 200
    assert (await early).status == 503
    assert (await delayed).status == 200


async def refused_change_retried_after_failover(simulation: ChangeSimulation) -> None:
    """A change that lost the race for a version is refused again after a failover."""
    primary = await put_version_5(simulation)
    loser = put(8, 5, "b")
    assert (await call_until_answered(simulation, "a", put(7, 5, "a"))).status == 200
    assert (await call_until_answered(simulation, "b", loser)).status == 412
    delayed = [asyncio.create_task(simulation.call("b", ip, loser, held_s=0.5 + n)) for n, ip in enumerate(IPS)]
    primary.kill()
    successor = await wait_for_other_primary(simulation, primary)
    assert (await call_until_answered(simulation, "b", loser, successor.ip)).status == 412
    await asyncio.gather(*delayed)


async def primary_disk_lost_after_acknowledgement(simulation: ChangeSimulation) -> None:
    """An acknowledged change survives the loss of the primary's disk."""
    primary = await put_version_5(simulation)
    change = put(7, 5, "a")
    assert (await call_until_answered(simulation, "a", change, primary.ip)).status == 200
    primary.wipe()
    primary.start()
    assert (await call_until_answered(simulation, "a", change)).status == 200
    assert (await call_until_answered(simulation, "b", put(8, 5, "b"))).status == 412
    assert (await call_until_answered(simulation, "a")).document == document_after(change)


async def all_nodes_killed_after_acknowledgement(simulation: ChangeSimulation) -> None:
    """An acknowledged change survives a restart of all nodes."""
    await put_version_5(simulation)
    change = patch(7, 5, "a")
    assert (await call_until_answered(simulation, "a", change)).status == 200
    for node in simulation.nodes.values():
        node.kill()
        node.start()
    read = await call_until_answered(simulation, "b")
    assert read.document is not None
    assert read.document["generation"] == 7
    assert (await call_until_answered(simulation, "a", change)).status == 200


async def invalid_changes(simulation: ChangeSimulation) -> None:
    """Every node answers an invalid change with 400."""
    await put_version_5(simulation)
    for change in (put(7, 5, service="nobody"), patch(7, 5, service="nobody"), put(5, 5, "x"), patch(4, 5)):
        calls = await asyncio.gather(*(call_until_answered(simulation, ip, change, ip) for ip in IPS))
        assert [call.status for call in calls] == [400, 400, 400]


SCENARIOS: list[Scenario] = [
    race_on_one_version,
    race_with_equal_bodies,
    lost_answer_and_retry_after_failover,
    concurrent_and_late_retries,
    read_from_resumed_primary,
    refusal_because_of_unreplicated_change,
    delayed_copy_of_evacuation,
    delayed_copy_of_evacuation_end,
    delayed_copy_on_open_connection,
    delayed_copy_at_new_primary,
    evacuation_at_resumed_primary,
    change_on_future_version,
    refused_change_retried_after_failover,
    primary_disk_lost_after_acknowledgement,
    all_nodes_killed_after_acknowledgement,
    invalid_changes,
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_scenario(scenario: Scenario) -> None:
    """The history of each scenario follows the specification."""
    run_scenario(scenario)


def test_refused_change_stays_refused_without_fences() -> None:
    """A refused change stays refused after a failover, even if the servers execute delayed copies of the change."""
    run_scenario(refused_change_retried_after_failover, NO_FENCE)


@pytest.mark.parametrize("scenario", [delayed_copy_of_evacuation, delayed_copy_of_evacuation_end])
@pytest.mark.parametrize("faults", [Faults(needs_caller=False), Faults(knows_connections=False)])
def test_either_fence_alone_rejects_delayed_copy_of_closed_connection(scenario: Scenario, faults: Faults) -> None:
    """Either check alone, for an ended connection or for an old one, rejects the delayed copy of a request."""
    run_scenario(scenario, faults)


CUT_DIRECTIONS = ("both", "incoming", "outgoing")
PARTITION_S, MAX_LEAD_AFTER_PARTITION_S = 20.0, 1.5


def partitioned_primary(cut_directions: str) -> Scenario:
    """Return a scenario that partitions the primary for `PARTITION_S` seconds, with changes and reads on both sides.

    The old primary must stop leading within `MAX_LEAD_AFTER_PARTITION_S` seconds.
    """

    async def scenario(simulation: ChangeSimulation) -> None:
        old = await put_version_5(simulation)
        others = [ip for ip in IPS if ip != old.ip]
        if cut_directions != "incoming":
            simulation.partitions |= {(old.ip, other) for other in others}
        if cut_directions != "outgoing":
            simulation.partitions |= {(other, old.ip) for other in others}
        cut_at = simulation.now()
        version = 5
        while simulation.now() < cut_at + PARTITION_S:
            attempted = (put(version + 1, version, "x"), put(version + 1, version, "y"), evacuate("z2"), None)
            await asyncio.gather(*(simulation.call("a", old.ip, change) for change in attempted))
            assert not old.is_primary or simulation.now() < cut_at + MAX_LEAD_AFTER_PARTITION_S
            call = await call_until_answered(simulation, "b", put(version + 1, version, "z"), others[0])
            read = await call_until_answered(simulation, "b", None, others[1])
            assert call.status in (200, 412)
            assert read.document is not None
            version = read.document["generation"]
        simulation.partitions.clear()

    return scenario


@pytest.mark.parametrize("cut_directions", CUT_DIRECTIONS)
def test_partitioned_primary_stops_leading_and_history_is_consistent(cut_directions: str) -> None:
    """A partitioned primary that continued to lead would answer calls from an outdated state."""
    run_scenario(partitioned_primary(cut_directions))


def document_after(change: Change) -> Any:
    state = changes.apply(ControlState(generation=change.if_match), change)
    assert isinstance(state, ControlState)
    return state.configuration


# --- planted faults -----------------------------------------------------------------------------------------------


def accept_any_match(state: ControlState, change: Change) -> Failure | None:
    """Accept a change whatever its If-Match, so that two changes on one version can both be accepted."""
    return None


def read_without_confirmation(self: Primary, call: int, now: int) -> list[Action]:
    """Answer a read without the confirmation of a quorum."""
    return [Reply(call, Committed(self._replica.state_at(self._committed)))]


original_await_confirmation = Primary._await_confirmation


def refuse_without_confirmation(self: Primary, pending: PendingCall, now: int) -> list[Action]:
    """Refuse a change without the confirmation of a quorum."""
    if pending.failure is not None:
        return [Reply(pending.call, pending.failure)]
    return original_await_confirmation(self, pending, now)


def tick_without_stepping_down(self: PrimaryRole, now: int) -> Outcome:
    """Tick a primary that never steps down, whether or not the witnesses answer."""
    return Outcome(self.primary.tick(now))


STATUS_WITH_EARLY_REFUSAL = {**operator_api.STATUS_OF_CODE, ResultCode.CONFIG_UNKNOWN_MATCH: 412}


@pytest.mark.parametrize(
    ("scenario", "faults", "plant_fault"),
    [
        (race_on_one_version, None, lambda: mock.patch.object(changes, "_check_match", accept_any_match)),
        (lost_answer_and_retry_after_failover, Faults(forgets_at_failover=True), nullcontext),
        (read_from_resumed_primary, None, lambda: mock.patch.object(Primary, "read", read_without_confirmation)),
        (
            refusal_because_of_unreplicated_change,
            None,
            lambda: mock.patch.object(Primary, "_await_confirmation", refuse_without_confirmation),
        ),
        (delayed_copy_of_evacuation, NO_FENCE, nullcontext),
        (delayed_copy_of_evacuation_end, NO_FENCE, nullcontext),
        (delayed_copy_on_open_connection, Faults(knows_connections=False), nullcontext),
        (delayed_copy_at_new_primary, Faults(knows_connections=False), nullcontext),
        (
            delayed_copy_at_new_primary,
            None,
            lambda: mock.patch.object(EvacuationFence, "become_primary", lambda self, now: None),
        ),
        (evacuation_at_resumed_primary, Faults(joins_evacuations=True), nullcontext),
        (
            change_on_future_version,
            None,
            lambda: mock.patch.object(operator_api, "STATUS_OF_CODE", STATUS_WITH_EARLY_REFUSAL),
        ),
    ],
    ids=[
        "two changes win on one version",
        "applied changes are forgotten at a failover",
        "a read is answered without a quorum",
        "a refusal is answered without a quorum",
        "a delayed copy starts an evacuation",
        "a delayed copy ends an evacuation",
        "a delayed copy on an open connection",
        "a delayed copy at a new primary",
        "the start of the primary role is not recorded",
        "an evacuation request joins an older pending one",
        "a change on a future version is refused",
    ],
)
def test_scenario_detects_planted_fault(scenario: Scenario, faults: Faults | None, plant_fault: FaultPatch) -> None:
    """A scenario that passes with its planted fault would check nothing."""
    with plant_fault(), pytest.raises(HistoryError):
        run_scenario(scenario, faults, ignore_scenario_assertions=True)


@pytest.mark.parametrize(
    ("faults", "plant_fault"),
    [
        (None, lambda: mock.patch.object(changes, "_check_match", accept_any_match)),
        (Faults(forgets_at_failover=True), nullcontext),
        (NO_FENCE, nullcontext),
        (None, lambda: mock.patch.object(Primary, "read", read_without_confirmation)),
        (None, lambda: mock.patch.object(Primary, "_await_confirmation", refuse_without_confirmation)),
    ],
    ids=[
        "two changes win on one version",
        "applied changes are forgotten at a failover",
        "delayed copies have an effect",
        "a read is answered without a quorum",
        "a refusal is answered without a quorum",
    ],
)
def test_random_histories_detect_planted_fault(faults: Faults | None, plant_fault: FaultPatch) -> None:
    """Random histories that pass with a planted fault would check nothing."""
    with plant_fault(), pytest.raises(HistoryError):
        for seed in range(SEEDS_WITH_PLANTED_FAULT):
            run_operators(seed, faults=faults)


def test_partitioned_primary_that_never_steps_down_is_detected() -> None:
    """The scenario detects a partitioned primary that never steps down and leads for too long.

    The fault replaces all of `tick`. Without `has_lost_quorum` alone, a primary still stops leading: it proposes a
    view without the unreachable members, and cannot win that view. The partition must cut both directions. If only the
    primary's own messages are lost, the primary receives messages from its successor; if only the others' messages are
    lost, no other member takes over.
    """
    with mock.patch.object(PrimaryRole, "tick", tick_without_stepping_down), pytest.raises(AssertionError):
        run_scenario(partitioned_primary("both"))
