"""Name the records that a member stores, and convert the member's saves into updates of these records.

| name | value |
| --- | --- |
| `member` | the member's id |
| `witness` | promised epoch, accepted view |
| `installed` | the epoch of the replica |
| `committed` | the index up to which every change is known to be committed |
| `state` | the state at the last snapshot |
| `change/…` | the changes since the last snapshot, one record each, named by index |
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.control_plane.stored_records import (
    decode_change,
    decode_epoch,
    decode_witness,
    encode_change,
    encode_epoch,
    encode_witness,
)
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import ControlState
from canvasbeam.replication.durable_state import DurableState
from canvasbeam.replication.messages import Save, SaveChange, SaveCommitted, SaveInstalled, SaveWitness
from canvasbeam.replication.views import ApplyChange, MemberId
from canvasbeam.storage.frames import Updates

MEMBER = "member"
WITNESS = "witness"
INSTALLED = "installed"
COMMITTED = "committed"
STATE = "state"
CHANGE_PREFIX = "change/"
MAX_CHANGES = 64  # maximum number of changes stored since the last snapshot
MAX_CHANGES_BYTES = 1 << 20  # maximum total size of all changes stored since the last snapshot


@dataclass(frozen=True, slots=True)
class LoadedMember:
    """A member's id and durable state, as loaded from its store."""

    member: MemberId
    durable: DurableState


class RecordWriter:
    """Converts a member's saves into updates of its records; a snapshot replaces the stored changes beyond a limit.

    Owns the sizes of the changes stored since the last snapshot.
    """

    def __init__(self, codec: ControlStateCodec, stored: Mapping[str, bytes]) -> None:
        self._codec = codec
        self._change_bytes = {name: len(value) for name, value in stored.items() if name.startswith(CHANGE_PREFIX)}

    def first(self, member: MemberId, durable: DurableState) -> Updates:
        """Return the records of a new member."""
        return {
            MEMBER: member.encode(),
            WITNESS: encode_witness(durable.promised, durable.accepted, durable.in_force),
            INSTALLED: encode_epoch(durable.installed),
            STATE: self._codec.encode_state(durable.state),
        }

    def updates(self, saves: Iterable[Save]) -> Updates:
        """Return one update of the store for a batch of saves, applied in order."""
        updates: dict[str, bytes | None] = {}
        for save in saves:
            match save:
                case SaveWitness():
                    updates[WITNESS] = encode_witness(save.promised, save.accepted, save.in_force)
                case SaveInstalled():
                    updates[INSTALLED] = encode_epoch(save.epoch)
                    if save.state is not None:
                        self._add_snapshot(updates, save.state)
                case SaveChange():
                    self._add_change(updates, save)
                case SaveCommitted():
                    updates[COMMITTED] = str(save.index).encode()
        return updates

    def _add_change(self, updates: dict[str, bytes | None], save: SaveChange) -> None:
        value = encode_change(save.change)
        if len(self._change_bytes) >= MAX_CHANGES or sum(self._change_bytes.values()) + len(value) > MAX_CHANGES_BYTES:
            self._add_snapshot(updates, save.state)
            return
        name = f"{CHANGE_PREFIX}{save.state.index:016d}"
        self._change_bytes[name] = len(value)
        updates[name] = value

    def _add_snapshot(self, updates: dict[str, bytes | None], state: ControlState) -> None:
        updates[STATE] = self._codec.encode_state(state)
        updates.update(dict.fromkeys(self._change_bytes))
        self._change_bytes.clear()


def load_member(
    stored: Mapping[str, bytes], codec: ControlStateCodec, apply: ApplyChange
) -> LoadedMember | Failure | None:
    """Return the stored member, None if the store is empty, or a failure of code `DISK_CORRUPT`."""
    if not stored:
        return None
    missing = [name for name in (MEMBER, WITNESS, INSTALLED, STATE) if name not in stored]
    if missing:
        return Failure(ResultCode.DISK_CORRUPT, f"the store lacks {', '.join(missing)}")
    witness = decode_witness(stored[WITNESS])
    if isinstance(witness, Failure):
        return witness
    installed = decode_epoch(stored[INSTALLED])
    if isinstance(installed, Failure):
        return installed
    state = _load_state(stored, codec, apply)
    if isinstance(state, Failure):
        return state
    committed = int(stored.get(COMMITTED, b"0"))
    durable = DurableState(witness.promised, witness.accepted, witness.in_force, installed, state, committed)
    return LoadedMember(MemberId(stored[MEMBER].decode()), durable)


def _load_state(stored: Mapping[str, bytes], codec: ControlStateCodec, apply: ApplyChange) -> ControlState | Failure:
    state = codec.decode_state(stored[STATE])
    for name in sorted(key for key in stored if key.startswith(CHANGE_PREFIX)):
        if isinstance(state, Failure):
            return state
        change = decode_change(stored[name])
        if isinstance(change, Failure):
            return change
        state = apply(state, change)
    return state
