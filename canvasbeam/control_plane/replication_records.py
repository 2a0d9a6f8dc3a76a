"""Translate the values of replication into the records of `canvasbeam/cluster/replication.proto`, and back.

Both encodings are made of these records: messages between members (`replication_codec`) and what a member stores
(`stored_records`). Here and in `replication_codec` the names on the wire meet those of the code; nowhere else. The wire
keeps its own words for good: `settled` is "in force", `piece` a chunk, `life` an incarnation. The functions keep
the bytes of each value for good: members of other releases read them, and later starts on the same disk.
"""

from __future__ import annotations

from typing import Protocol

from canvasbeam.cluster import replication_pb2 as wire
from canvasbeam.cluster.compression import pack, unpack
from canvasbeam.replication.control_state import Change, ChangeKind
from canvasbeam.replication.messages import SnapshotId
from canvasbeam.replication.views import Epoch, MemberId, Position, View


class HasAcceptedView(Protocol):
    """A protobuf message with the optional field `accepted`."""

    @property
    def accepted(self) -> wire.ViewRecord:
        """Return the view, empty where the field is absent."""
        ...

    def HasField(self, field_name: str, /) -> bool:  # noqa: N802  # the name that protobuf gives it
        """Return whether a field is present."""
        ...


def epoch_record(epoch: Epoch) -> wire.EpochRecord:
    """Return the record of an epoch; -1, the absence of one, becomes 0."""
    return wire.EpochRecord(number_plus_one=epoch.number + 1, candidate=epoch.candidate)


def epoch_of(record: wire.EpochRecord) -> Epoch:
    """Return the epoch of a record."""
    return Epoch(record.number_plus_one - 1, MemberId(record.candidate))


def view_record(view: View) -> wire.ViewRecord:
    """Return the record of a view."""
    return wire.ViewRecord(
        epoch=epoch_record(view.epoch),
        primary=view.primary,
        replicas=view.replicas,
        witnesses=view.witnesses,
        previous_witnesses=view.previous_witnesses,
    )


def view_of(record: wire.ViewRecord) -> View:
    """Return the view of a record."""
    return View(
        epoch_of(record.epoch),
        MemberId(record.primary),
        tuple(map(MemberId, record.replicas)),
        tuple(map(MemberId, record.witnesses)),
        tuple(map(MemberId, record.previous_witnesses)),
    )


def optional_view_record(view: View | None) -> wire.ViewRecord | None:
    """Return the record of a view, or None, which leaves a field absent."""
    return None if view is None else view_record(view)


def optional_view_of(part: HasAcceptedView) -> View | None:
    """Return the accepted view of a message, or None where the field is absent."""
    return view_of(part.accepted) if part.HasField("accepted") else None


def position_record(position: Position) -> wire.PositionRecord:
    """Return the record of a position in the log."""
    return wire.PositionRecord(epoch=epoch_record(position.epoch), index=position.index)


def position_of(record: wire.PositionRecord) -> Position:
    """Return the position of a record."""
    return Position(epoch_of(record.epoch), record.index)


def snapshot_record(snapshot: SnapshotId) -> wire.SnapshotRecord:
    """Return the record of a snapshot's id."""
    return wire.SnapshotRecord(digest=snapshot.digest, size=snapshot.size)


def snapshot_of(record: wire.SnapshotRecord) -> SnapshotId:
    """Return the snapshot's id of a record."""
    return SnapshotId(record.digest, record.size)


def change_record(change: Change) -> wire.ChangeRecord:
    """Return the record of a change, its body compressed where that pays."""
    return wire.ChangeRecord(kind=int(change.kind), body=pack(change.body), if_match=change.if_match, zone=change.zone)


def change_of(record: wire.ChangeRecord) -> Change:
    """Return the change of a record; raise `ValueError` for an unknown kind or a damaged body."""
    return Change(ChangeKind(record.kind), unpack(record.body), record.if_match, record.zone)
