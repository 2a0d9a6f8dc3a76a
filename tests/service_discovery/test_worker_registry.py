"""Tests of the worker registry: publications, workers declared missing, and heartbeats that override declarations."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from canvasbeam.cluster.worker_items import publication_of, worker_item
from canvasbeam.service_discovery.worker_registry import (
    DECLARED_MISSING,
    LEFT_SEQUENCE,
    Model,
    Publication,
    ReceivedHeartbeat,
    Worker,
    WorkerRegistry,
    WorkerState,
    WorkerVersion,
)

MS = 1_000_000
SILENCE = 4_200 * MS
READY = Worker("llm", "10.0.0.9:8080", "z1", "v1", 64, models=(Model("m", 1, ("a",)),), stage="hybrid")
DRAINING = replace(READY, state=WorkerState.DRAINING)
MISSING = replace(READY, state=WorkerState.MISSING)


def registry() -> WorkerRegistry:
    return WorkerRegistry(SILENCE, timeouts_since_ns=0)


def test_first_heartbeat_is_published_with_its_number() -> None:
    assert registry().heartbeat("i-1", 4, READY, 0) == [Publication("i-1", WorkerVersion(4), READY)]


def test_heartbeat_that_says_nothing_new_is_not_published() -> None:
    own = registry()
    own.heartbeat("i-1", 1, READY, 0)
    assert own.heartbeat("i-1", 2, READY, 1_200 * MS) == []
    assert own.heartbeat("i-1", 3, DRAINING, 2_400 * MS) == [Publication("i-1", WorkerVersion(3), DRAINING)]


def test_late_heartbeat_changes_nothing() -> None:
    own = registry()
    own.heartbeat("i-1", 5, DRAINING, 0)
    assert own.heartbeat("i-1", 4, READY, MS) == []
    assert own.heartbeat("i-1", 5, READY, MS) == []


def test_late_heartbeat_changes_nothing_where_a_later_one_was_taken_elsewhere() -> None:
    own = registry()
    own.on_published(Publication("i-1", WorkerVersion(5), DRAINING), 0)
    assert own.heartbeat("i-1", 4, READY, MS) == []


def test_warm_up_time_that_passes_is_not_published() -> None:
    own = registry()
    own.heartbeat("i-1", 1, replace(READY, warm_up_left_ms=3000), 0)
    assert own.heartbeat("i-1", 2, replace(READY, warm_up_left_ms=1800), 1_200 * MS) == []
    assert own.heartbeat("i-1", 3, replace(READY, warm_up_left_ms=700), 2_400 * MS) == []


def test_worker_that_has_warmed_up_is_published_once() -> None:
    own = registry()
    own.heartbeat("i-1", 1, replace(READY, warm_up_left_ms=3000), 0)
    assert own.heartbeat("i-1", 2, READY, 3_600 * MS) == [Publication("i-1", WorkerVersion(2), READY)]
    assert own.heartbeat("i-1", 3, READY, 4_800 * MS) == []


def test_worker_that_warms_up_again_is_published() -> None:
    own = registry()
    own.heartbeat("i-1", 1, READY, 0)
    cold = replace(READY, warm_up_left_ms=2500)
    assert own.heartbeat("i-1", 2, cold, 1_200 * MS) == [Publication("i-1", WorkerVersion(2), cold)]


def test_short_notice_is_published_once() -> None:
    own = registry()
    own.heartbeat("i-1", 1, DRAINING, 0)
    notice = replace(DRAINING, remaining_ms=2000)
    assert own.heartbeat("i-1", 2, notice, 0) == [Publication("i-1", WorkerVersion(2), notice)]
    assert own.heartbeat("i-1", 3, replace(notice, remaining_ms=800), 1_200 * MS) == []


def test_worker_without_heartbeats_is_missing_after_the_timeout() -> None:
    own = registry()
    own.heartbeat("i-1", 1, READY, 0)
    own.heartbeat("i-1", 2, READY, 1_200 * MS)
    assert own.declare_missing(1_200 * MS + SILENCE) == []
    assert own.declare_missing(1_200 * MS + SILENCE + 1) == [
        Publication("i-1", WorkerVersion(2, DECLARED_MISSING), MISSING)
    ]
    assert own.declare_missing(100_000 * MS) == []


def test_worker_whose_heartbeats_others_receive_is_not_missing() -> None:
    own = registry()
    own.on_published(Publication("i-1", WorkerVersion(1), READY), 0)
    own.received_elsewhere([ReceivedHeartbeat("i-1", 4)], 3_600 * MS)
    assert own.declare_missing(3_600 * MS + SILENCE) == []
    assert own.declare_missing(3_600 * MS + SILENCE + 1) == [
        Publication("i-1", WorkerVersion(4, DECLARED_MISSING), MISSING)
    ]


def test_number_that_is_announced_again_does_not_extend_the_timeout() -> None:
    own = registry()
    own.heartbeat("i-1", 4, READY, 0)
    own.received_elsewhere([ReceivedHeartbeat("i-1", 4), ReceivedHeartbeat("i-1", 3)], SILENCE)
    assert len(own.declare_missing(SILENCE + 1)) == 1


def test_node_that_has_just_started_declares_nobody_missing() -> None:
    own = WorkerRegistry(SILENCE, timeouts_since_ns=50_000 * MS)
    own.on_published(Publication("i-1", WorkerVersion(1), READY), 50_000 * MS)
    assert own.declare_missing(50_000 * MS + SILENCE) == []


def test_restarted_timeouts_count_no_time_from_before() -> None:
    own = registry()
    own.heartbeat("i-1", 1, READY, 0)
    own.restart_timeouts(10_000 * MS)
    assert own.declare_missing(10_000 * MS + SILENCE) == []
    assert len(own.declare_missing(10_000 * MS + SILENCE + 1)) == 1


def test_later_heartbeat_overrides_a_declaration() -> None:
    own = registry()
    own.heartbeat("i-1", 1, READY, 0)
    own.declare_missing(SILENCE + 1)
    assert own.heartbeat("i-1", 2, READY, SILENCE + 2) == [Publication("i-1", WorkerVersion(2), READY)]


def test_declaration_is_corrected_where_a_later_heartbeat_was_received() -> None:
    own = registry()
    own.heartbeat("i-1", 1, READY, 0)
    own.heartbeat("i-1", 9, READY, 9 * MS)
    assert own.on_published(Publication("i-1", WorkerVersion(5, DECLARED_MISSING), MISSING), 10 * MS) == [
        Publication("i-1", WorkerVersion(9), READY)
    ]


def test_declaration_is_not_corrected_by_a_heartbeat_of_long_ago() -> None:
    own = registry()
    own.heartbeat("i-1", 9, READY, 0)
    assert own.on_published(Publication("i-1", WorkerVersion(5, DECLARED_MISSING), MISSING), SILENCE + 1) == []


def test_declaration_after_the_last_heartbeat_stands() -> None:
    own = registry()
    own.heartbeat("i-1", 9, READY, 0)
    assert own.on_published(Publication("i-1", WorkerVersion(9, DECLARED_MISSING), MISSING), 10 * MS) == []
    assert own.heartbeat("i-1", 10, READY, 11 * MS) == [Publication("i-1", WorkerVersion(10), READY)]


def test_heartbeat_older_than_a_declaration_changes_nothing() -> None:
    own = registry()
    own.on_published(Publication("i-1", WorkerVersion(100, DECLARED_MISSING), MISSING), 0)
    assert own.heartbeat("i-1", 60, READY, MS) == []
    assert own.heartbeat("i-1", 101, READY, MS) == [Publication("i-1", WorkerVersion(101), READY)]


def test_worker_that_left_never_comes_back() -> None:
    own = registry()
    own.heartbeat("i-1", 1, DRAINING, 0)
    assert own.deregister("i-1", MS) == [Publication("i-1", WorkerVersion(LEFT_SEQUENCE), None)]
    assert own.deregister("i-1", MS) == []
    assert own.heartbeat("i-1", 2, READY, 2 * MS) == []
    assert own.on_published(Publication("i-1", WorkerVersion(3), READY), 2 * MS) == []
    assert own.declare_missing(100_000 * MS) == []


def test_deregistration_of_an_unknown_worker_is_published() -> None:
    assert registry().deregister("i-1", 0) == [Publication("i-1", WorkerVersion(LEFT_SEQUENCE), None)]


def test_address_that_is_used_again_ends_its_former_worker() -> None:
    own = registry()
    own.heartbeat("i-1", 7, READY, 0)
    own.declare_missing(SILENCE + 1)
    other = replace(READY, service="api")
    assert own.heartbeat("i-2", 1, other, SILENCE + 2) == [
        Publication("i-1", WorkerVersion(LEFT_SEQUENCE), None),
        Publication("i-2", WorkerVersion(1), other),
    ]


def test_only_heartbeats_received_here_are_announced_and_once() -> None:
    own = registry()
    own.heartbeat("i-1", 1, READY, 0)
    own.heartbeat("i-1", 2, READY, 0)
    own.received_elsewhere([ReceivedHeartbeat("i-2", 5)], 0)
    own.on_published(Publication("i-3", WorkerVersion(5), READY), 0)
    assert own.take_unannounced() == [ReceivedHeartbeat("i-1", 2)]
    assert own.take_unannounced() == []


def test_items_carry_workers_both_ways() -> None:
    for worker in (
        READY,
        DRAINING,
        MISSING,
        replace(READY, warm_up_left_ms=5, remaining_ms=0),
        Worker("s", "a:1", "z"),
    ):
        publication = Publication("i-1", WorkerVersion(3, DECLARED_MISSING), worker)
        assert publication_of(worker_item(publication)) == publication
    left = Publication("i-1", WorkerVersion(LEFT_SEQUENCE), None)
    assert worker_item(left).deleted
    assert publication_of(worker_item(left)) == left


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["beat", "drain", "tell", "judge", "goodbye", "wait"]),
        st.integers(0, 2),
        st.sampled_from(["i-1", "i-2"]),
    ),
    max_size=40,
)


@given(STEPS)
def test_three_nodes_agree_once_all_is_delivered(steps: list[tuple[str, int, str]]) -> None:
    """Guards against control nodes that keep different versions of a worker after every publication was delivered.

    Each publication reaches every node immediately. Versions must only increase, and at the end all nodes must have the
    latest version of each worker.
    """
    nodes = [registry() for _ in range(3)]
    held: dict[str, Publication] = {}
    sequence = now = 0

    def spread(publications: list[Publication]) -> None:
        queue = list(publications)
        while queue:
            publication = queue.pop(0)
            former = held.get(publication.worker_id)
            if former is None or publication.version > former.version:
                held[publication.worker_id] = publication
            for node in nodes:
                queue += node.on_published(publication, now)

    for step, index, worker_id in steps:
        now += 500 * MS
        node = nodes[index]
        if step in ("beat", "drain"):
            sequence += 1
            told = replace(READY if step == "beat" else DRAINING, address=f"{worker_id}:1")
            spread(node.heartbeat(worker_id, sequence, told, now))
        elif step == "tell":
            for other in nodes:
                other.received_elsewhere(node.take_unannounced(), now)
        elif step == "judge":
            spread(node.declare_missing(now))
        elif step == "goodbye":
            spread(node.deregister(worker_id, now))
        else:
            now += 5_000 * MS
    for worker_id, publication in held.items():
        for node in nodes:
            entry = node._entries[worker_id]
            assert (entry.version, entry.worker) == (publication.version, publication.worker)
