"""Decide, without I/O, what is published about the workers that send heartbeats to one control node.

| state | entered by | next states |
| --- | --- | --- |
| ready | the first heartbeat | draining, missing, left |
| draining | a heartbeat with the state draining | ready, missing, left |
| missing | no heartbeat within the timeout, declared by the registrar | ready or draining by a later heartbeat; left |
| left | deregistration of the worker, or use of its address by another id | none: ids are never reused |

`_set_version` is the only function that changes a state. Every control node accepts heartbeats. The version of a
publication is the sequence number of the heartbeat that caused it, so the publication of the latest heartbeat wins,
whichever control node received that heartbeat. A heartbeat that reports no change is not published; control nodes only
announce its sequence number to each other, so that the worker is not declared missing. The registrar is the only
control node that applies the heartbeat timeout.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum

from canvasbeam.units import MILLISECOND, SECOND

WARM_UP_TOLERANCE_MS = 250  # milliseconds; a warm-up that ends later than expected by at most this is not a new warm-up
FORGET_AFTER_NS = 600 * SECOND  # a worker sends no request this long after it left
LEFT_SEQUENCE = 1 << 62  # higher than the sequence number of any heartbeat
# Values of `WorkerVersion.revision`, sent on the wire as the minor part of an item's version.
AS_REPORTED = 0
DECLARED_MISSING = 1


class WorkerState(IntEnum):
    """The state of a worker, which decides whether requests are sent to the worker. The values are sent on the wire."""

    READY = 1
    DRAINING = 2
    MISSING = 3
    LEFT = 4


@dataclass(frozen=True, slots=True)
class Model:
    """A model that a worker has loaded."""

    name: str
    generation: int = 0
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Worker:
    """The state that a worker reports about itself; its two durations count from the time of the report.

    The body of a heartbeat and the record on the wire use the name `cold_left_ms` for `warm_up_left_ms`;
    `heartbeats.parse_heartbeat` and `canvasbeam.cluster.worker_items` translate the name.
    """

    service: str
    address: str
    zone: str
    software_generation: str = ""
    slots: int = 0
    state: WorkerState = WorkerState.READY
    warm_up_left_ms: int = 0
    remaining_ms: int | None = None  # milliseconds until a draining worker stops; None if not announced
    stage: str = ""
    models: tuple[Model, ...] = ()


@dataclass(frozen=True, slots=True, order=True)
class WorkerVersion:
    """The sequence number of a heartbeat; the revision is higher if the worker went missing after the heartbeat."""

    sequence: int
    revision: int = AS_REPORTED


@dataclass(frozen=True, slots=True)
class Publication:
    """A new version of a worker, to be stored by all nodes."""

    worker_id: str
    version: WorkerVersion
    worker: Worker | None  # state of the worker; None if the worker has left


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """The sequence number of a heartbeat that a control node received from a worker."""

    worker_id: str
    sequence: int


@dataclass(slots=True)
class _Entry:
    """The published and the reported state of one worker, as known to this node."""

    version: WorkerVersion  # version of the published state
    worker: Worker | None = None  # published state; None if the worker has left or is not published yet
    published_at_ns: int = 0
    last_sequence: int = -1  # highest sequence number known to this node, -1 before the first heartbeat
    last_seen_at_ns: int = 0  # time at which this node learned of heartbeat `last_sequence`
    reported: Worker | None = None  # state in the last heartbeat received by this node
    reported_sequence: int = -1
    reported_at_ns: int = 0

    @property
    def state(self) -> WorkerState | None:
        """The published state; None before the first publication."""
        if self.version.sequence >= LEFT_SEQUENCE:
            return WorkerState.LEFT
        return self.worker.state if self.worker is not None else None


@dataclass(slots=True)
class WorkerRegistry:
    """Decides what is published about workers. The caller passes times, as integer nanoseconds of a monotonic clock."""

    heartbeat_timeout_ns: int
    timeouts_since_ns: int
    _entries: dict[str, _Entry] = field(default_factory=dict)
    _unannounced: dict[str, int] = field(default_factory=dict)

    def heartbeat(self, worker_id: str, sequence: int, worker: Worker, now_ns: int) -> list[Publication]:
        """Process a heartbeat; return the publications that must be sent before the heartbeat is acknowledged."""
        entry = self._entry(worker_id, now_ns)
        if entry.state is WorkerState.LEFT or sequence <= entry.last_sequence:
            return []
        entry.reported, entry.reported_sequence, entry.reported_at_ns = worker, sequence, now_ns
        self._record_sequence(entry, sequence, now_ns)
        self._unannounced[worker_id] = sequence
        if not _differs_from_published(entry, worker, now_ns):
            return []
        return [
            *self._deregister_previous_at(worker.address, worker_id, now_ns),
            self._publish_reported(worker_id, entry, now_ns),
        ]

    def deregister(self, worker_id: str, now_ns: int) -> list[Publication]:
        """Mark a worker as left, because it stopped or another worker has its address; return the publication, if any.

        No more requests are sent to a worker that has left.
        """
        entry = self._entry(worker_id, now_ns)
        if entry.state is WorkerState.LEFT:
            return []
        version = WorkerVersion(LEFT_SEQUENCE)
        _set_version(entry, version, None, now_ns)
        return [Publication(worker_id, version, None)]

    def on_published(self, publication: Publication, now_ns: int) -> list[Publication]:
        """Process a publication of any node; return a correction if a later heartbeat contradicts a missing state."""
        entry = self._entry(publication.worker_id, now_ns)
        if publication.version <= entry.version:
            return []
        _set_version(entry, publication.version, publication.worker, now_ns)
        if publication.version.revision == AS_REPORTED:
            self._record_sequence(entry, publication.version.sequence, now_ns)
            return []
        entry.last_sequence = max(entry.last_sequence, publication.version.sequence)
        is_overtaken = entry.reported is not None and entry.reported_sequence > publication.version.sequence
        if not is_overtaken or now_ns - entry.reported_at_ns > self.heartbeat_timeout_ns:
            return []
        return [self._publish_reported(publication.worker_id, entry, now_ns)]

    def record_remote_heartbeats(self, heartbeats: Iterable[ReceivedHeartbeat], now_ns: int) -> None:
        """Process the sequence numbers of heartbeats that another control node received."""
        for heartbeat in heartbeats:
            self._record_sequence(self._entry(heartbeat.worker_id, now_ns), heartbeat.sequence, now_ns)

    def pop_unannounced(self) -> list[ReceivedHeartbeat]:
        """Return the heartbeats received by this node since the last call, for announcement to other control nodes."""
        unannounced = [ReceivedHeartbeat(worker_id, sequence) for worker_id, sequence in self._unannounced.items()]
        self._unannounced.clear()
        return unannounced

    def restart_timeouts(self, now_ns: int) -> None:
        """Restart the heartbeat timeouts of all workers, because this node may have missed heartbeats until now."""
        self.timeouts_since_ns = now_ns

    def declare_missing(self, now_ns: int) -> list[Publication]:
        """Declare all timed-out workers missing; return their publications. Only the registrar may call this method."""
        return [
            self._publish_missing(worker_id, entry, entry.worker, now_ns)
            for worker_id, entry in self._entries.items()
            if entry.worker is not None and self._is_timed_out(entry, now_ns)
        ]

    def forget_left(self, now_ns: int) -> None:
        """Drop the entries of workers that left long ago, and old entries that have only a sequence number."""
        old = [worker_id for worker_id, entry in self._entries.items() if _is_forgettable(entry, now_ns)]
        for worker_id in old:
            del self._entries[worker_id]

    def _is_timed_out(self, entry: _Entry, now_ns: int) -> bool:
        if entry.state not in (WorkerState.READY, WorkerState.DRAINING):
            return False
        return now_ns - max(entry.last_seen_at_ns, self.timeouts_since_ns) > self.heartbeat_timeout_ns

    def _publish_missing(self, worker_id: str, entry: _Entry, worker: Worker, now_ns: int) -> Publication:
        version = WorkerVersion(max(entry.last_sequence, entry.version.sequence), DECLARED_MISSING)
        _set_version(entry, version, replace(worker, state=WorkerState.MISSING), now_ns)
        return Publication(worker_id, version, entry.worker)

    def _publish_reported(self, worker_id: str, entry: _Entry, now_ns: int) -> Publication:
        """Publish the state in the last heartbeat received by this node."""
        version = WorkerVersion(entry.reported_sequence)
        _set_version(entry, version, entry.reported, now_ns)
        return Publication(worker_id, version, entry.reported)

    def _deregister_previous_at(self, address: str, worker_id: str, now_ns: int) -> list[Publication]:
        """Deregister all other workers that are published with the address of a worker."""
        former = [
            other_id
            for other_id, other in self._entries.items()
            if other_id != worker_id and other.worker is not None and other.worker.address == address
        ]
        return [publication for other_id in former for publication in self.deregister(other_id, now_ns)]

    def _record_sequence(self, entry: _Entry, sequence: int, now_ns: int) -> None:
        if entry.last_sequence < sequence < LEFT_SEQUENCE:
            entry.last_sequence = sequence
            entry.last_seen_at_ns = now_ns

    def _entry(self, worker_id: str, now_ns: int) -> _Entry:
        entry = self._entries.get(worker_id)
        if entry is None:
            entry = self._entries[worker_id] = _Entry(WorkerVersion(-1), last_seen_at_ns=now_ns)
        return entry


def _is_forgettable(entry: _Entry, now_ns: int) -> bool:
    return entry.worker is None and now_ns - max(entry.last_seen_at_ns, entry.published_at_ns) > FORGET_AFTER_NS


def _set_version(entry: _Entry, version: WorkerVersion, worker: Worker | None, now_ns: int) -> None:
    """Set the version and the published state of a worker; the new version must be higher than the current one."""
    assert version > entry.version
    entry.version = version
    entry.worker = worker
    entry.published_at_ns = now_ns


def _differs_from_published(entry: _Entry, reported: Worker, now_ns: int) -> bool:
    published = entry.worker
    if published is None:
        return True
    if (reported.remaining_ms is None) != (published.remaining_ms is None):
        return True
    if _warm_up_changed(entry, published.warm_up_left_ms, reported.warm_up_left_ms, now_ns):
        return True
    return (
        replace(reported, warm_up_left_ms=published.warm_up_left_ms, remaining_ms=published.remaining_ms) != published
    )


def _warm_up_changed(entry: _Entry, published_ms: int, reported_ms: int, now_ns: int) -> bool:
    """Return True if a worker has started a new warm-up, or has finished a warm-up that is published as unfinished."""
    elapsed_ms = (now_ns - entry.published_at_ns) // MILLISECOND
    expected_ms = max(0, published_ms - elapsed_ms)
    has_warmed_up = reported_ms == 0 and published_ms > 0
    return has_warmed_up or reported_ms > expected_ms + WARM_UP_TOLERANCE_MS
