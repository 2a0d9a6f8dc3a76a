"""Encode and decode the records that a member stores on its disk.

`member_records` defines the names of the records. A record that cannot be decoded is a `Failure` of code
`DISK_CORRUPT`: the digest over the record was intact, so the record was written wrongly or by an unknown release.
"""

from __future__ import annotations

from dataclasses import dataclass

from google.protobuf.message import DecodeError

from canvasbeam.cluster import replication_pb2 as wire
from canvasbeam.control_plane.replication_records import (
    change_of,
    change_record,
    epoch_of,
    epoch_record,
    optional_view_of,
    optional_view_record,
)
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import Change
from canvasbeam.replication.views import Epoch, View


@dataclass(frozen=True, slots=True)
class StoredWitness:
    """The state that a witness has stored on its disk."""

    promised: Epoch
    accepted: View | None
    in_force: bool  # True if the accepted view is in force; `settled` in the record


def encode_witness(promised: Epoch, accepted: View | None, in_force: bool) -> bytes:
    """Return the encoded record of the epoch that a witness promised and the view that the witness accepted."""
    record = wire.WitnessRecord(
        promised=epoch_record(promised), accepted=optional_view_record(accepted), settled=in_force
    )
    return record.SerializeToString()


def decode_witness(data: bytes) -> StoredWitness | Failure:
    """Return the stored state of a witness, or a failure of code `DISK_CORRUPT`."""
    try:
        record = wire.WitnessRecord.FromString(data)
    except DecodeError as error:
        return Failure(ResultCode.DISK_CORRUPT, f"the witness's record: {error}")
    return StoredWitness(epoch_of(record.promised), optional_view_of(record), record.settled)


def encode_epoch(epoch: Epoch) -> bytes:
    """Return the encoded record of an epoch."""
    return epoch_record(epoch).SerializeToString()


def decode_epoch(data: bytes) -> Epoch | Failure:
    """Return the epoch of an encoded record, or a failure of code `DISK_CORRUPT`."""
    try:
        return epoch_of(wire.EpochRecord.FromString(data))
    except DecodeError as error:
        return Failure(ResultCode.DISK_CORRUPT, f"an epoch: {error}")


def encode_change(change: Change) -> bytes:
    """Return the encoded record of a change."""
    return change_record(change).SerializeToString()


def decode_change(data: bytes) -> Change | Failure:
    """Return the change of an encoded record, or a failure of code `DISK_CORRUPT`."""
    try:
        return change_of(wire.ChangeRecord.FromString(data))
    except (DecodeError, ValueError) as error:
        return Failure(ResultCode.DISK_CORRUPT, f"a change: {error}")
