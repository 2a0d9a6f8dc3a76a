"""What the disk folder of a control process holds, read without a change to it.

It must never write: also a store that would be repaired when opened is only read, through `ReadOnlyDisk`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from canvasbeam.control_plane.changes import apply_checked
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.member_records import CHANGE_PREFIX, LoadedMember, load_member
from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.errors import Failure
from canvasbeam.replication.views import View
from canvasbeam.storage.disk import FolderDisk
from canvasbeam.storage.frames import SLOT_MAGIC, decode_frame
from canvasbeam.storage.store import LOG_FILE, SLOT_FILES, open_store


class ReadOnlyDisk(FolderDisk):
    """A folder that nothing is written to."""

    def create(self, name: str) -> None:
        """Leave a missing file missing."""

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Refuse: a report never writes."""
        raise PermissionError(f"{name}: this disk is only read")

    def sync(self, name: str) -> None:
        """Nothing was written."""

    def sync_folder(self) -> None:
        """Nothing was made."""


@dataclass(frozen=True, slots=True)
class FileReport:
    """One file of the store."""

    name: str
    bytes: int
    generation: int | None  # of an intact slot; the log's is that of the store


@dataclass(frozen=True, slots=True)
class MemberReport:
    """The member of the replication that the store describes."""

    member: str
    promised_epoch: int
    installed_epoch: int
    view: Mapping[str, Any] | None
    state_index: int
    configuration_generation: int
    routes: int
    services: int
    tenants: int
    evacuated_zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StorageReport:
    """A whole folder. `member` is None where the store is empty."""

    folder: str
    files: tuple[FileReport, ...]
    generation: int
    changes_since_snapshot: int
    member: MemberReport | None

    def as_json(self) -> dict[str, Any]:
        """Return the report as a JSON object, with the keys of `canvasbeam system storage inspect --json`."""
        return asdict(self)


def inspect_storage(folder: Path) -> StorageReport | Failure:
    """Return what a folder holds, or a failure that says what is damaged."""
    disk = ReadOnlyDisk(folder)
    store = open_store(disk)
    if isinstance(store, Failure):
        return store
    loaded = load_member(store.values, ControlStateCodec(encode_state, decode_state), apply_checked)
    if isinstance(loaded, Failure):
        return loaded
    return StorageReport(
        folder=str(folder),
        files=tuple(_file_report(disk, name) for name in (*SLOT_FILES, LOG_FILE)),
        generation=store.generation,
        changes_since_snapshot=sum(name.startswith(CHANGE_PREFIX) for name in store.values),
        member=None if loaded is None else _member_report(loaded),
    )


def _file_report(disk: FolderDisk, name: str) -> FileReport:
    """Return the size of a file, 0 where it is missing, and the generation of an intact slot."""
    data = disk.read(name) or b""
    slot = decode_frame(SLOT_MAGIC, data) if name in SLOT_FILES else None
    return FileReport(name, len(data), None if slot is None else slot.generation)


def _member_report(loaded: LoadedMember) -> MemberReport:
    """Return what the store says of its member, and counts of its configuration."""
    durable = loaded.durable
    state = durable.state
    configuration = state.configuration or {}
    return MemberReport(
        member=loaded.member,
        promised_epoch=durable.promised.number,
        installed_epoch=durable.installed.number,
        view=None if durable.accepted is None else _view_report(durable.accepted, durable.in_force),
        state_index=state.index,
        configuration_generation=state.generation,
        routes=len(configuration.get("routes", ())),
        services=len(configuration.get("services", ())),
        tenants=len(configuration.get("tenants", ())),
        evacuated_zones=state.evacuated_zones,
    )


def _view_report(view: View, is_in_force: bool) -> Mapping[str, Any]:
    """Return the view that the member accepted last, as JSON."""
    return {
        "epoch": view.epoch.number,
        "primary": view.primary,
        "replicas": list(view.replicas),
        "witnesses": list(view.witnesses),
        "in_force": is_in_force,
    }
