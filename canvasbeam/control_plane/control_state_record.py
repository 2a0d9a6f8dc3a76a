"""Encode and decode the control state as a `ControlStateRecord` of `canvasbeam/cluster/control_state.proto`.

Members store these bytes and send the bytes to each other. The field names of the record never change, even where the
code has other names: `taken_orders` is `applied_change_keys`. Every member encodes a state to the same bytes.
"""

from __future__ import annotations

import json
from collections.abc import Mapping

from google.protobuf.message import DecodeError

from canvasbeam.cluster.control_state_pb2 import ControlStateRecord
from canvasbeam.control_plane.changes import CHANGE_KEY_BYTES
from canvasbeam.control_plane.json_documents import JsonValue
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import ControlState


def encode_state(state: ControlState) -> bytes:
    """Return the bytes of a state, which members store and send."""
    record = ControlStateRecord(
        index=state.index,
        generation=state.generation,
        configuration=b"" if state.configuration is None else _encode_configuration(state.configuration),
        configuration_index=state.configuration_index,
        evacuated_zones=state.evacuated_zones,
        evacuation_index=state.evacuation_index,
        taken_orders=state.applied_change_keys,
    )
    return record.SerializeToString(deterministic=True)


def decode_state(data: bytes) -> ControlState | Failure:
    """Return the state that was encoded, or a failure of code `DISK_CORRUPT`.

    Keys of applied changes are dropped if their length is not `CHANGE_KEY_BYTES`: earlier releases stored only digests.
    """
    try:
        record = ControlStateRecord.FromString(data)
        configuration = json.loads(record.configuration) if record.configuration else None
    except (DecodeError, ValueError) as error:
        return Failure(ResultCode.DISK_CORRUPT, f"the control state cannot be decoded: {error}")
    return ControlState(
        index=record.index,
        generation=record.generation,
        configuration=configuration,
        configuration_index=record.configuration_index,
        evacuated_zones=tuple(record.evacuated_zones),
        evacuation_index=record.evacuation_index,
        applied_change_keys=tuple(key for key in record.taken_orders if len(key) == CHANGE_KEY_BYTES),
    )


def _encode_configuration(configuration: Mapping[str, JsonValue]) -> bytes:
    """Return a configuration as compact JSON."""
    return json.dumps(configuration, separators=(",", ":")).encode("ascii")
