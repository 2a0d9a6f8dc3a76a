"""`canvasbeam system storage inspect`: what a folder holds, read without a change to it."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from canvasbeam.cli.commands import cli
from canvasbeam.cli.exit_codes import ExitCode
from canvasbeam.cli.storage_report import ReadOnlyDisk, StorageReport, inspect_storage
from canvasbeam.control_plane.changes import apply
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.member_records import RecordWriter
from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import Change, ChangeKind, ControlState
from canvasbeam.replication.durable_state import DurableState
from canvasbeam.replication.messages import SaveChange
from canvasbeam.replication.views import Epoch, MemberId, View
from canvasbeam.storage.disk import FolderDisk
from canvasbeam.storage.store import Store, open_store
from tests.cli.test_validation import CONFIGURATION

MEMBER = MemberId("127.0.0.11/0")


def changed(state: ControlState, change: Change) -> ControlState:
    outcome = apply(state, change)
    assert not isinstance(outcome, Failure)
    return outcome


def write_store(folder: Path) -> None:
    """A member of a view in epoch 4 with a configuration as its snapshot and an evacuation after it."""
    store = open_store(FolderDisk(folder))
    assert isinstance(store, Store)
    put = Change(ChangeKind.PUT_CONFIGURATION, json.dumps(CONFIGURATION).encode())
    state = changed(ControlState(), put)
    epoch = Epoch(4, MEMBER)
    view = View(epoch, MEMBER, (MEMBER, MemberId("127.0.0.12/0")), (MEMBER,), (MEMBER,))
    durable = DurableState(Epoch(5, MEMBER), view, True, epoch, state)
    writer = RecordWriter(ControlStateCodec(encode_state, decode_state), {})
    assert store.update(writer.first(MEMBER, durable)) is None
    evacuation = Change(ChangeKind.START_EVACUATION, zone="z1")
    saves = [SaveChange(evacuation, changed(state, evacuation))]
    assert store.update(writer.updates(saves)) is None


def content(folder: Path) -> dict[str, bytes]:
    return {path.name: path.read_bytes() for path in folder.iterdir()}


def test_a_store_is_reported_and_stays_as_it_was(tmp_path: Path) -> None:
    write_store(tmp_path)
    before = content(tmp_path)
    report = inspect_storage(tmp_path)
    assert isinstance(report, StorageReport)
    assert (report.generation, report.changes_since_snapshot) == (1, 1)
    member = report.member
    assert member is not None
    assert (member.member, member.promised_epoch, member.installed_epoch) == (MEMBER, 5, 4)
    assert member.view is not None
    assert member.view["replicas"] == [MEMBER, MemberId("127.0.0.12/0")]
    assert (member.state_index, member.configuration_generation, member.evacuated_zones) == (2, 3, ("z1",))
    assert content(tmp_path) == before


def test_the_command_prints_text_and_json(tmp_path: Path) -> None:
    write_store(tmp_path)
    text = CliRunner().invoke(cli, ["system", "storage", "inspect", str(tmp_path)])
    assert text.exit_code == ExitCode.OK
    assert "  promised_epoch: 5" in text.output.splitlines()
    printed = CliRunner().invoke(cli, ["system", "storage", "inspect", str(tmp_path), "--json"])
    assert json.loads(printed.output)["member"]["evacuated_zones"] == ["z1"]


def test_an_empty_folder_stays_empty_and_is_reported_as_such(tmp_path: Path) -> None:
    report = inspect_storage(tmp_path)
    assert isinstance(report, StorageReport)
    assert report.member is None
    assert not content(tmp_path)


def test_damage_is_reported_and_not_taken_for_an_empty_disk(tmp_path: Path) -> None:
    write_store(tmp_path)
    for name in ("slot-0", "slot-1"):
        file = tmp_path / name
        file.write_bytes(file.read_bytes()[:-1])
    result = CliRunner().invoke(cli, ["system", "storage", "inspect", str(tmp_path)])
    assert result.exit_code == ExitCode.FAILED
    assert f"{int(ResultCode.DISK_CORRUPT)} disk_corrupt" in result.output


def test_the_disk_of_a_report_refuses_to_write(tmp_path: Path) -> None:
    with pytest.raises(PermissionError):
        ReadOnlyDisk(tmp_path).write("slot-0", 0, b"x")
