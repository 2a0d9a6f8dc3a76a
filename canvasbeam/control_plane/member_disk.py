"""Load a replication member from its disk at the start, and make the member's saves durable.

Owns the store, the disk thread, and the failure that makes the disk unusable. A save is never discarded: a batch of
saves is retried until the batch is durable. Damage found at the start is final: the process then takes no part in
replication, because the promises that the member made to other members are unknown.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

from canvasbeam.control_plane.disk_worker import DiskWorker, HealthListener
from canvasbeam.control_plane.member_records import LoadedMember, RecordWriter, load_member
from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.messages import Save
from canvasbeam.replication.views import ApplyChange
from canvasbeam.runtime.logs import get_logger
from canvasbeam.storage.disk import Disk, FolderDisk
from canvasbeam.storage.store import DEFAULT_FILES, Store

log = get_logger(__name__)


class MemberDisk:
    """The disk of one member. Call `load` before `write`; `close` ends the disk thread."""

    def __init__(
        self,
        disk: Disk | None,
        data_dir: Path | None,
        state_codec: ControlStateCodec,
        apply: ApplyChange,
        on_health: HealthListener,
    ) -> None:
        self._disk = disk
        self._data_dir = data_dir  # folder of the store if `disk` is None
        self._state_codec = state_codec
        self._apply = apply  # replays the stored changes on the last snapshot
        self._worker = DiskWorker(on_health)
        self._store: Store | None = None
        self._records: RecordWriter | None = None
        self._start_failure: Failure | None = None

    @property
    def start_failure(self) -> Failure | None:
        """The failure that prevents the start, or delays the start until a retry; None if no failure is known."""
        return self._start_failure

    @property
    def fault(self) -> Failure | None:
        """The failure that makes the disk unusable at present; None if the disk works."""
        return self._start_failure or self._worker.fault

    async def load(self, new_member: Callable[[], LoadedMember]) -> LoadedMember | None:
        """Return the stored member, or `new_member()` on an empty disk; return None if the disk is damaged or missing.

        Other disk errors are retried until the store opens, without a time limit.
        """
        loaded = await self._load(new_member)
        if isinstance(loaded, Failure):
            self._start_failure = loaded
            log.error("disk unusable failure={}", loaded)
            return None
        return loaded

    async def write(self, saves: Sequence[Save]) -> None:
        """Write a batch of saves, retrying until the batch is durable. Raises `RuntimeError` if nothing was loaded."""
        if self._store is None or self._records is None:
            raise RuntimeError("MemberDisk.write was called before MemberDisk.load")
        updates = self._records.updates(saves)
        await self._worker.write(self._store, updates)

    def close(self) -> None:
        """End the disk thread, without waiting for a running write."""
        self._worker.close()

    async def _load(self, new_member: Callable[[], LoadedMember]) -> LoadedMember | Failure:
        store = await self._open()
        if isinstance(store, Failure):
            return store
        self._store = store
        self._records = RecordWriter(self._state_codec, store.values)
        loaded = await self._worker.run(lambda: load_member(store.values, self._state_codec, self._apply))
        if loaded is None:
            loaded = new_member()
            # The member's id must be durable before the first message carries the id.
            await self._worker.write(store, self._records.first(loaded.member, loaded.durable))
        return loaded

    async def _open(self) -> Store | Failure:
        """Open the store, retrying after disk errors; damage to the stored data is not retried."""
        disk = self._disk
        if disk is None:
            if self._data_dir is None:
                return Failure(ResultCode.SETTINGS_INVALID, "data_dir: a control process needs a disk")
            disk = FolderDisk(self._data_dir)
        return await self._worker.open(disk, DEFAULT_FILES, self._set_start_failure)

    def _set_start_failure(self, failure: Failure | None) -> None:
        self._start_failure = failure
