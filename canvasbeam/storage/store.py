"""A durable table of named values, stored in two slot files written alternately and a short log of later updates.

The table names the files by default; a second store in the same directory needs other names (`StoreFiles`).

| file | content |
| --- | --- |
| `slot-0`, `slot-1` | the complete table, at alternating generations |
| `log` | the updates since the newest slot, one frame each; the first frame is empty and serves as the log's header |

An update appends one frame to the log and syncs the log. When the log is full, or an append failed, the complete table
is written to the slot that is *not* the newest durable one, and the slot is synced; then a header of the new generation
is written at the start of the log, and the log is synced. No file is ever renamed, truncated or removed, and a frame is
written only after everything before the frame was synced. When a store is opened, this order of writes implies:

| found | meaning |
| --- | --- |
| no intact slot and an empty log | an empty disk, or a disk whose first write never finished |
| a log of an older generation than the newest intact slot | power was lost before the log header was written |
| a damaged frame at the end of the log | an append that never finished, so the update was not acknowledged |
| an intact frame after a damaged one, or a log whose slot is damaged | synced data was damaged: a `Failure` |

All calls block, so callers should use a dedicated thread. At most one call may run at a time.
"""

from __future__ import annotations

import errno
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.storage.disk import Disk
from canvasbeam.storage.frames import (
    LOG_MAGIC,
    SLOT_MAGIC,
    Frame,
    Updates,
    decode_frame,
    decode_updates,
    encode_frame,
    encode_updates,
    frame_size,
)

SLOT_FILES = ("slot-0", "slot-1")
LOG_FILE = "log"
MAX_LOG_RECORDS = 64
MAX_LOG_BYTES = 1 << 20
_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


@dataclass(frozen=True, slots=True)
class StoreFiles:
    """The names of the files of one store; several stores may be in one directory under different names."""

    slots: tuple[str, str] = SLOT_FILES
    log: str = LOG_FILE

    @classmethod
    def with_prefix(cls, prefix: str) -> StoreFiles:
        """Return the default names, each after a prefix."""
        return cls((prefix + SLOT_FILES[0], prefix + SLOT_FILES[1]), prefix + LOG_FILE)


DEFAULT_FILES = StoreFiles()


@dataclass(frozen=True, slots=True)
class _LogContent:
    """The chain of intact frames at the start of the log, and the newest generation of later intact frames."""

    chain: tuple[Frame, ...]
    end: int  # offset in bytes after the last frame of the chain
    stray_generation: int  # newest generation of intact frames after the chain; 0 = none


class Store:
    """The durable table, created by `open_store`; owns the file position of the next write."""

    def __init__(
        self,
        disk: Disk,
        values: dict[str, bytes],
        newest_slot: int,
        generation: int,
        *,
        log: _LogContent | None,
        files: StoreFiles,
    ) -> None:
        self._disk = disk
        self._files = files
        self._values = values
        self._newest_slot = newest_slot
        self._generation = generation
        self._log_end = 0
        self._log_records = 0
        self._is_log_usable = False
        if log is not None:
            self._resume_log(log)

    @property
    def values(self) -> Mapping[str, bytes]:
        """Return the stored values: all updates that returned None, and possibly updates that failed."""
        return MappingProxyType(self._values)

    @property
    def generation(self) -> int:
        """Return the number of slots written since the disk was empty."""
        return self._generation

    def update(self, updates: Updates) -> Failure | None:
        """Set or remove values atomically; None = the update is durable, a failure = the update may or may not be."""
        body = encode_updates(updates)
        _apply_updates(self._values, updates)
        try:
            if self._fits_in_log(frame_size(len(body))):
                self._append(body)
            else:
                self._write_slot()
        except OSError as error:
            self._is_log_usable = False
            return disk_failure(error)
        return None

    def _fits_in_log(self, size: int) -> bool:
        return self._is_log_usable and self._log_records < MAX_LOG_RECORDS and self._log_end + size <= MAX_LOG_BYTES

    def _append(self, body: bytes) -> None:
        frame = Frame(self._generation, self._log_records, body)
        self._disk.write(self._files.log, self._log_end, encode_frame(LOG_MAGIC, frame))
        self._disk.sync(self._files.log)
        self._log_end += frame.size
        self._log_records += 1

    def _write_slot(self) -> None:
        """Write the complete table over the older slot, then restart the log."""
        self._is_log_usable = False
        target = 1 - self._newest_slot
        self._generation += 1
        frame = Frame(self._generation, 0, encode_updates(self._values))
        self._disk.write(self._files.slots[target], 0, encode_frame(SLOT_MAGIC, frame))
        self._disk.sync(self._files.slots[target])
        self._newest_slot = target
        self._log_end = self._log_records = 0
        self._append(b"")
        self._is_log_usable = True

    def _resume_log(self, log: _LogContent) -> None:
        for frame in log.chain:
            _apply_updates(self._values, decode_updates(frame.body))
        self._log_end = log.end
        self._log_records = len(log.chain)
        self._is_log_usable = bool(log.chain)


def _apply_updates(values: dict[str, bytes], updates: Updates) -> None:
    for name, value in updates.items():
        if value is None:
            values.pop(name, None)
        else:
            values[name] = value


def open_store(disk: Disk, files: StoreFiles = DEFAULT_FILES) -> Store | Failure:
    """Open the store in these files of a disk, creating missing files.

    Damage to synced data returns a failure with code `DISK_CORRUPT`; an I/O error returns `DISK_FULL` or `DISK_FAILED`.
    """
    try:
        return _open(disk, files)
    except OSError as error:
        return disk_failure(error)


def disk_failure(error: OSError) -> Failure:
    """Return the `Failure` for an `OSError`: `DISK_FULL` if no space or quota is left, else `DISK_FAILED`."""
    code = ResultCode.DISK_FULL if error.errno in _DISK_FULL_ERRNOS else ResultCode.DISK_FAILED
    return Failure(code, str(error))


def _open(disk: Disk, files: StoreFiles) -> Store | Failure:
    _create_files(disk, files)
    slots = [decode_frame(SLOT_MAGIC, disk.read(name) or b"") for name in files.slots]
    log = _read_log(disk.read(files.log) or b"")
    generations = [slot.generation if slot is not None else 0 for slot in slots]
    newest_slot = 1 if generations[1] > generations[0] else 0
    generation = generations[newest_slot]
    log_generation = log.chain[0].generation if log.chain else 0
    if log_generation > generation or log.stray_generation > generation:
        return Failure(ResultCode.DISK_CORRUPT, f"the slot of generation {max(log_generation, generation)} is damaged")
    if generation and log.stray_generation == generation:
        return Failure(
            ResultCode.DISK_CORRUPT, f"the log of generation {generation} is damaged before its last intact frame"
        )
    newest = slots[newest_slot]
    values = _decode_table(newest.body) if newest is not None else {}
    is_log_current = generation > 0 and log_generation == generation
    return Store(disk, values, newest_slot, generation, log=log if is_log_current else None, files=files)


def _create_files(disk: Disk, files: StoreFiles) -> None:
    """Create missing files and sync all: a killed process may have left unsynced writes, which recovery would read."""
    for name in (*files.slots, files.log):
        disk.create(name)
        disk.sync(name)
    disk.sync_folder()


def _decode_table(body: bytes) -> dict[str, bytes]:
    return {name: value for name, value in decode_updates(body).items() if value is not None}


def _read_log(data: bytes) -> _LogContent:
    chain: list[Frame] = []
    offset = 0
    while (frame := decode_frame(LOG_MAGIC, data, offset)) is not None and _continues(chain, frame):
        chain.append(frame)
        offset += frame.size
    stray = _newest_stray_generation(data, offset, len(chain), chain[0].generation if chain else 0)
    return _LogContent(tuple(chain), offset, stray)


def _continues(chain: list[Frame], frame: Frame) -> bool:
    generation = chain[0].generation if chain else frame.generation
    return frame.generation == generation and frame.sequence == len(chain)


def _newest_stray_generation(data: bytes, offset: int, next_sequence: int, chain_generation: int) -> int:
    """Return the newest generation of the intact frames after the chain that were written later than the chain."""
    newest = 0
    position = data.find(LOG_MAGIC, offset)
    while position >= 0:
        frame = decode_frame(LOG_MAGIC, data, position)
        if frame is not None and (frame.generation > chain_generation or frame.sequence >= next_sequence):
            newest = max(newest, frame.generation)
        position = data.find(LOG_MAGIC, position + 1)
    return newest
