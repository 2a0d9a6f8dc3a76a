"""Convert the values of replication to the protobuf records of `canvasbeam/cluster/replication.proto`, and back.

Messages between members (`replication_codec`) and a member's stored data (`stored_records`) consist of these records.
Only this module and `replication_codec` translate between names on the wire and names in the code. Names on the wire
never change: `settled` is "in force", `piece` is a chunk, `life` is an incarnation. The encoded bytes of a value never
change either, because members of other releases and later starts on the same disk decode the bytes.
"""

from __future__ import annotations

from typing import Protocol

from canvasbeam.cluster import replication_pb2 as wire
from canvasbeam.cluster.compression import pack, unpack
from canvasbeam.replication.control_state import Change, ChangeKind
from canvasbeam.replication.messages import SnapshotId
from canvasbeam.replication.views import Epoch, MemberId, Position, View


class HasAcceptedView(Protocol):
    """A protobuf message with the optional field `accepted`, a view."""

    @property
    def accepted(self) -> wire.ViewRecord:
        """Return the accepted view; an absent field is an empty record."""
        ...

    def HasField(self, field_name: str, /) -> bool:  # noqa: N802  # protobuf defines the name
        """Return True if a field is present."""
        ...


def epoch_record(epoch: Epoch) -> wire.EpochRecord:
    """Return the record of an epoch; the number is stored plus one, so that `NO_EPOCH` (-1) becomes 0."""
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
    """Return the record of a view, or None for no view, which leaves the protobuf field absent."""
    return None if view is None else view_record(view)


def optional_view_of(part: HasAcceptedView) -> View | None:
    """Return the accepted view of a protobuf message, or None if the field is absent."""
    return view_of(part.accepted) if part.HasField("accepted") else None


def position_record(position: Position) -> wire.PositionRecord:
    """Return the record of a position in the log."""
    return wire.PositionRecord(epoch=epoch_record(position.epoch), index=position.index)


def position_of(record: wire.PositionRecord) -> Position:
    """Return the position of a record."""
    return Position(epoch_of(record.epoch), record.index)


def snapshot_record(snapshot: SnapshotId) -> wire.SnapshotRecord:
    """Return the record of a snapshot id."""
    return wire.SnapshotRecord(digest=snapshot.digest, size=snapshot.size)


def snapshot_of(record: wire.SnapshotRecord) -> SnapshotId:
    """Return the snapshot id of a record."""
    return SnapshotId(record.digest, record.size)


def change_record(change: Change) -> wire.ChangeRecord:
    """Return the record of a change; a large body is compressed."""
    return wire.ChangeRecord(kind=int(change.kind), body=pack(change.body), if_match=change.if_match, zone=change.zone)


def change_of(record: wire.ChangeRecord) -> Change:
    """Return the change of a record; raise `ValueError` for an unknown kind or a damaged body."""
    return Change(ChangeKind(record.kind), unpack(record.body), record.if_match, record.zone)
