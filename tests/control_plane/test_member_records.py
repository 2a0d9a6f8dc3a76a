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


def states() -> ControlStateCodec:
    return ControlStateCodec(encode_state, decode_state)


def evacuated(count: int) -> list[SaveChange]:
    saves: list[SaveChange] = []
    state = ControlState()
    for number in range(count):
        change = Change(ChangeKind.START_EVACUATION, zone=f"z{number:03d}")
        after = apply(state, change)
        assert isinstance(after, ControlState)
        state = after
        saves.append(SaveChange(change, state))
    return saves


def test_a_member_is_found_again_as_it_was_saved() -> None:
    stored: dict[str, bytes] = {}
    writer = RecordWriter(states(), stored)
    keep(stored, writer.first(MemberId("10.0.0.2/x"), DurableState()))
    saves = evacuated(3 * MAX_CHANGES + 5)
    for save in saves:
        keep(stored, writer.updates([save]))
        assert len(stored) <= MAX_CHANGES + 6
    keep(stored, writer.updates([SaveWitness(EPOCH, VIEW, True), SaveInstalled(EPOCH, None), SaveCommitted(4)]))
    expected = DurableState(EPOCH, VIEW, True, EPOCH, saves[-1].state, 4)
    assert load_member(stored, states(), apply) == LoadedMember(MemberId("10.0.0.2/x"), expected)


def test_an_installed_state_replaces_the_changes() -> None:
    stored: dict[str, bytes] = {}
    writer = RecordWriter(states(), stored)
    keep(stored, writer.first(MemberId("10.0.0.2/x"), DurableState()))
    keep(stored, writer.updates(evacuated(3)))
    keep(stored, writer.updates([SaveInstalled(EPOCH, STATE)]))
    loaded = load_member(stored, states(), apply)
    assert isinstance(loaded, LoadedMember)
    assert loaded.durable.state == STATE


def test_an_empty_store_is_no_member_and_a_partial_one_a_failure() -> None:
    assert load_member({}, states(), apply) is None
    found = load_member({"member": b"10.0.0.2/x"}, states(), apply)
    assert isinstance(found, Failure)
    assert found.code is ResultCode.DISK_CORRUPT


def keep(stored: dict[str, bytes], updates: Updates) -> None:
    for name, value in updates.items():
        if value is None:
            stored.pop(name, None)
        else:
            stored[name] = value
