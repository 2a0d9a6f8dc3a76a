"""The records that a replication member stores on disk, and the member that the next start loads from the records."""

from __future__ import annotations

from canvasbeam.cluster.compression import MIN_COMPRESSED_BYTES
from canvasbeam.control_plane.changes import apply
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.member_records import MAX_CHANGES, LoadedMember, RecordWriter, load_member
from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import Change, ChangeKind, ControlState
from canvasbeam.replication.durable_state import DurableState
from canvasbeam.replication.messages import SaveChange, SaveCommitted, SaveInstalled, SaveWitness
from canvasbeam.replication.views import Epoch, MemberId, View
from canvasbeam.storage.frames import Updates

EPOCH = Epoch(7, MemberId("10.0.0.1/0"))
VIEW = View(
    EPOCH,
    MemberId("10.0.0.1/0"),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/x")),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/x"), MemberId("10.0.0.3/0")),
    (MemberId("10.0.0.1/0"),),
)
STATE = ControlState(index=3, generation=9, configuration={"generation": 9, "routes": ["r"] * MIN_COMPRESSED_BYTES})


def state_codec() -> ControlStateCodec:
    return ControlStateCodec(encode_state, decode_state)


def evacuation_saves(count: int) -> list[SaveChange]:
    saves: list[SaveChange] = []
    state = ControlState()
    for number in range(count):
        change = Change(ChangeKind.START_EVACUATION, zone=f"z{number:03d}")
        new_state = apply(state, change)
        assert isinstance(new_state, ControlState)
        state = new_state
        saves.append(SaveChange(change, state))
    return saves


def test_loaded_member_equals_saved_member() -> None:
    stored: dict[str, bytes] = {}
    writer = RecordWriter(state_codec(), stored)
    save_updates(stored, writer.first(MemberId("10.0.0.2/x"), DurableState()))
    saves = evacuation_saves(3 * MAX_CHANGES + 5)
    for save in saves:
        save_updates(stored, writer.updates([save]))
        assert len(stored) <= MAX_CHANGES + 6
    save_updates(stored, writer.updates([SaveWitness(EPOCH, VIEW, True), SaveInstalled(EPOCH, None), SaveCommitted(4)]))
    expected = DurableState(EPOCH, VIEW, True, EPOCH, saves[-1].state, 4)
    assert load_member(stored, state_codec(), apply) == LoadedMember(MemberId("10.0.0.2/x"), expected)


def test_installed_state_replaces_stored_changes() -> None:
    stored: dict[str, bytes] = {}
    writer = RecordWriter(state_codec(), stored)
    save_updates(stored, writer.first(MemberId("10.0.0.2/x"), DurableState()))
    save_updates(stored, writer.updates(evacuation_saves(3)))
    save_updates(stored, writer.updates([SaveInstalled(EPOCH, STATE)]))
    loaded = load_member(stored, state_codec(), apply)
    assert isinstance(loaded, LoadedMember)
    assert loaded.durable.state == STATE


def test_empty_store_loads_none_and_partial_store_fails() -> None:
    assert load_member({}, state_codec(), apply) is None
    loaded = load_member({"member": b"10.0.0.2/x"}, state_codec(), apply)
    assert isinstance(loaded, Failure)
    assert loaded.code is ResultCode.DISK_CORRUPT


def save_updates(stored: dict[str, bytes], updates: Updates) -> None:
    for name, value in updates.items():
        if value is None:
            stored.pop(name, None)
        else:
            stored[name] = value
