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
HEARTBEAT_TIMEOUT_NS = 4_200 * MS
READY = Worker("llm", "10.0.0.9:8080", "z1", "v1", 64, models=(Model("m", 1, ("a",)),), stage="hybrid")
DRAINING = replace(READY, state=WorkerState.DRAINING)
MISSING = replace(READY, state=WorkerState.MISSING)


def new_registry() -> WorkerRegistry:
    return WorkerRegistry(HEARTBEAT_TIMEOUT_NS, timeouts_since_ns=0)


def test_first_heartbeat_is_published_with_its_sequence_number() -> None:
    assert new_registry().heartbeat("i-1", 4, READY, 0) == [Publication("i-1", WorkerVersion(4), READY)]


def test_heartbeat_without_a_change_is_not_published() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 1, READY, 0)
    assert registry.heartbeat("i-1", 2, READY, 1_200 * MS) == []
    assert registry.heartbeat("i-1", 3, DRAINING, 2_400 * MS) == [Publication("i-1", WorkerVersion(3), DRAINING)]


def test_late_heartbeat_is_ignored() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 5, DRAINING, 0)
    assert registry.heartbeat("i-1", 4, READY, MS) == []
    assert registry.heartbeat("i-1", 5, READY, MS) == []


def test_late_heartbeat_is_ignored_after_publication_of_a_later_one() -> None:
    registry = new_registry()
    registry.on_published(Publication("i-1", WorkerVersion(5), DRAINING), 0)
    assert registry.heartbeat("i-1", 4, READY, MS) == []


def test_elapsed_warm_up_time_is_not_published() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 1, replace(READY, warm_up_left_ms=3000), 0)
    assert registry.heartbeat("i-1", 2, replace(READY, warm_up_left_ms=1800), 1_200 * MS) == []
    assert registry.heartbeat("i-1", 3, replace(READY, warm_up_left_ms=700), 2_400 * MS) == []


def test_end_of_warm_up_is_published_once() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 1, replace(READY, warm_up_left_ms=3000), 0)
    assert registry.heartbeat("i-1", 2, READY, 3_600 * MS) == [Publication("i-1", WorkerVersion(2), READY)]
    assert registry.heartbeat("i-1", 3, READY, 4_800 * MS) == []


def test_new_warm_up_is_published() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 1, READY, 0)
    warming_up = replace(READY, warm_up_left_ms=2500)
    assert registry.heartbeat("i-1", 2, warming_up, 1_200 * MS) == [Publication("i-1", WorkerVersion(2), warming_up)]


def test_remaining_time_is_published_once() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 1, DRAINING, 0)
    stopping = replace(DRAINING, remaining_ms=2000)
    assert registry.heartbeat("i-1", 2, stopping, 0) == [Publication("i-1", WorkerVersion(2), stopping)]
    assert registry.heartbeat("i-1", 3, replace(stopping, remaining_ms=800), 1_200 * MS) == []


def test_worker_without_heartbeats_is_missing_after_the_timeout() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 1, READY, 0)
    registry.heartbeat("i-1", 2, READY, 1_200 * MS)
    assert registry.declare_missing(1_200 * MS + HEARTBEAT_TIMEOUT_NS) == []
    assert registry.declare_missing(1_200 * MS + HEARTBEAT_TIMEOUT_NS + 1) == [
        Publication("i-1", WorkerVersion(2, DECLARED_MISSING), MISSING)
    ]
    assert registry.declare_missing(100_000 * MS) == []


def test_worker_with_heartbeats_at_other_nodes_is_not_missing() -> None:
    registry = new_registry()
    registry.on_published(Publication("i-1", WorkerVersion(1), READY), 0)
    registry.record_remote_heartbeats([ReceivedHeartbeat("i-1", 4)], 3_600 * MS)
    assert registry.declare_missing(3_600 * MS + HEARTBEAT_TIMEOUT_NS) == []
    assert registry.declare_missing(3_600 * MS + HEARTBEAT_TIMEOUT_NS + 1) == [
        Publication("i-1", WorkerVersion(4, DECLARED_MISSING), MISSING)
    ]


def test_repeated_announcement_of_a_sequence_number_does_not_extend_the_timeout() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 4, READY, 0)
    registry.record_remote_heartbeats([ReceivedHeartbeat("i-1", 4), ReceivedHeartbeat("i-1", 3)], HEARTBEAT_TIMEOUT_NS)
    assert len(registry.declare_missing(HEARTBEAT_TIMEOUT_NS + 1)) == 1


def test_started_node_declares_no_worker_missing_before_a_full_timeout() -> None:
    registry = WorkerRegistry(HEARTBEAT_TIMEOUT_NS, timeouts_since_ns=50_000 * MS)
    registry.on_published(Publication("i-1", WorkerVersion(1), READY), 50_000 * MS)
    assert registry.declare_missing(50_000 * MS + HEARTBEAT_TIMEOUT_NS) == []


def test_restarted_timeouts_ignore_earlier_time() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 1, READY, 0)
    registry.restart_timeouts(10_000 * MS)
    assert registry.declare_missing(10_000 * MS + HEARTBEAT_TIMEOUT_NS) == []
    assert len(registry.declare_missing(10_000 * MS + HEARTBEAT_TIMEOUT_NS + 1)) == 1


def test_later_heartbeat_overrides_missing_state() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 1, READY, 0)
    registry.declare_missing(HEARTBEAT_TIMEOUT_NS + 1)
    assert registry.heartbeat("i-1", 2, READY, HEARTBEAT_TIMEOUT_NS + 2) == [
        Publication("i-1", WorkerVersion(2), READY)
    ]


def test_missing_state_is_corrected_by_a_later_received_heartbeat() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 1, READY, 0)
    registry.heartbeat("i-1", 9, READY, 9 * MS)
    assert registry.on_published(Publication("i-1", WorkerVersion(5, DECLARED_MISSING), MISSING), 10 * MS) == [
        Publication("i-1", WorkerVersion(9), READY)
    ]


def test_missing_state_is_not_corrected_by_a_heartbeat_older_than_the_timeout() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 9, READY, 0)
    assert (
        registry.on_published(Publication("i-1", WorkerVersion(5, DECLARED_MISSING), MISSING), HEARTBEAT_TIMEOUT_NS + 1)
        == []
    )


def test_missing_state_after_the_last_heartbeat_is_not_corrected() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 9, READY, 0)
    assert registry.on_published(Publication("i-1", WorkerVersion(9, DECLARED_MISSING), MISSING), 10 * MS) == []
    assert registry.heartbeat("i-1", 10, READY, 11 * MS) == [Publication("i-1", WorkerVersion(10), READY)]


def test_heartbeat_older_than_the_missing_state_is_ignored() -> None:
    registry = new_registry()
    registry.on_published(Publication("i-1", WorkerVersion(100, DECLARED_MISSING), MISSING), 0)
    assert registry.heartbeat("i-1", 60, READY, MS) == []
    assert registry.heartbeat("i-1", 101, READY, MS) == [Publication("i-1", WorkerVersion(101), READY)]


def test_worker_that_left_stays_left() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 1, DRAINING, 0)
    assert registry.deregister("i-1", MS) == [Publication("i-1", WorkerVersion(LEFT_SEQUENCE), None)]
    assert registry.deregister("i-1", MS) == []
    assert registry.heartbeat("i-1", 2, READY, 2 * MS) == []
    assert registry.on_published(Publication("i-1", WorkerVersion(3), READY), 2 * MS) == []
    assert registry.declare_missing(100_000 * MS) == []


def test_deregistration_of_an_unknown_worker_is_published() -> None:
    assert new_registry().deregister("i-1", 0) == [Publication("i-1", WorkerVersion(LEFT_SEQUENCE), None)]


def test_reused_address_deregisters_its_previous_worker() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 7, READY, 0)
    registry.declare_missing(HEARTBEAT_TIMEOUT_NS + 1)
    other = replace(READY, service="api")
    assert registry.heartbeat("i-2", 1, other, HEARTBEAT_TIMEOUT_NS + 2) == [
        Publication("i-1", WorkerVersion(LEFT_SEQUENCE), None),
        Publication("i-2", WorkerVersion(1), other),
    ]


def test_only_locally_received_heartbeats_are_announced_once() -> None:
    registry = new_registry()
    registry.heartbeat("i-1", 1, READY, 0)
    registry.heartbeat("i-1", 2, READY, 0)
    registry.record_remote_heartbeats([ReceivedHeartbeat("i-2", 5)], 0)
    registry.on_published(Publication("i-3", WorkerVersion(5), READY), 0)
    assert registry.pop_unannounced() == [ReceivedHeartbeat("i-1", 2)]
    assert registry.pop_unannounced() == []


def test_worker_survives_conversion_to_an_item_and_back() -> None:
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
        st.sampled_from(["heartbeat", "drain", "announce", "declare_missing", "deregister", "wait"]),
        st.integers(0, 2),
        st.sampled_from(["i-1", "i-2"]),
    ),
    max_size=40,
)


@given(STEPS)
def test_three_nodes_agree_after_every_publication_is_delivered(steps: list[tuple[str, int, str]]) -> None:
    """Guards against control nodes that keep different versions of a worker after every publication was delivered.

    Each publication reaches every node immediately. Versions must only increase, and at the end all nodes must have the
    latest version of each worker.
    """
    nodes = [new_registry() for _ in range(3)]
    latest: dict[str, Publication] = {}
    sequence = now = 0

    def deliver(publications: list[Publication]) -> None:
        queue = list(publications)
        while queue:
            publication = queue.pop(0)
            previous = latest.get(publication.worker_id)
            if previous is None or publication.version > previous.version:
                latest[publication.worker_id] = publication
            for node in nodes:
                queue += node.on_published(publication, now)

    for step, index, worker_id in steps:
        now += 500 * MS
        node = nodes[index]
        if step in ("heartbeat", "drain"):
            sequence += 1
            reported = replace(READY if step == "heartbeat" else DRAINING, address=f"{worker_id}:1")
            deliver(node.heartbeat(worker_id, sequence, reported, now))
        elif step == "announce":
            for other in nodes:
                other.record_remote_heartbeats(node.pop_unannounced(), now)
        elif step == "declare_missing":
            deliver(node.declare_missing(now))
        elif step == "deregister":
            deliver(node.deregister(worker_id, now))
        else:
            now += 5_000 * MS
    for worker_id, publication in latest.items():
        for node in nodes:
            entry = node._entries[worker_id]
            assert (entry.version, entry.worker) == (publication.version, publication.worker)
