"""Provide the replicated control state as a service of the control process.

Connects the parts of the service and owns their tasks:

| part | owns |
| --- | --- |
| `MemberDisk` | the store and the disk thread: loads the member at the start, makes the member's saves durable |
| `MemberDriver` | the member and its outbox: passes in messages, time and calls, carries out the member's actions |
| `ReplicationLink` | the messages to and from the other members, and the incarnation of this process |
| `PendingCalls` | the operators' calls that wait for a result |
| `ReplicationListeners` | the listeners for committed states, primaries and electorates |
| `ChangeCheck` | the checks of large changes in a thread, outside the event loop |

The driver exists only once the member is loaded from the disk; until then, calls get a `Failure`. This module decides
nothing about replication: `canvasbeam.replication.member.Member` takes these decisions.
"""

from __future__ import annotations

import os
import time
from collections.abc import Sequence

from canvasbeam.control_plane.change_check import ChangeCheck
from canvasbeam.control_plane.departure_wait import leave_view
from canvasbeam.control_plane.member_disk import MemberDisk
from canvasbeam.control_plane.member_driver import MemberDriver
from canvasbeam.control_plane.member_records import LoadedMember
from canvasbeam.control_plane.owned_tasks import OwnedTasks
from canvasbeam.control_plane.pending_calls import PendingCalls
from canvasbeam.control_plane.replication_codec import ReplicationCodec
from canvasbeam.control_plane.replication_link import ReplicationLink, ReplicationTransport
from canvasbeam.control_plane.replication_listeners import (
    CommitListener,
    ElectorateListener,
    PrimaryListener,
    ReplicationListeners,
)
from canvasbeam.control_plane.replication_status import DISK_OK, ReplicationStatus, status_of
from canvasbeam.control_plane.state_codec import ControlStateCodec, DecodeState, EncodeState
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.control_state import Change, Committed, ControlState
from canvasbeam.replication.durable_state import DurableState, MemberSettings
from canvasbeam.replication.member import Member
from canvasbeam.replication.removal import Removal
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import GENESIS_DISK, ApplyChange, genesis_view, member_id, member_ip
from canvasbeam.runtime.logs import get_logger
from canvasbeam.runtime.settings import Address, ProcessSettings
from canvasbeam.storage.disk import Disk

STOP_SECONDS = 0.3
DISK_ID_BYTES = 8

log = get_logger(__name__)


class ReplicatedControlState:
    """Implements `ControlStateService`. The constructor only starts the idle disk thread; `start` does the rest."""

    def __init__(
        self,
        settings: ProcessSettings,
        transport: ReplicationTransport,
        apply: ApplyChange,
        encode_state: EncodeState,
        decode_state: DecodeState,
        *,
        apply_checked: ApplyChange | None = None,
        disk: Disk | None = None,
        timing: ReplicationTiming | None = None,
    ) -> None:
        self._settings = settings
        self._timing = timing or ReplicationTiming()
        self._apply_checked = apply_checked or apply
        self._change_check = ChangeCheck(apply, self._apply_checked)
        self._state_codec = ControlStateCodec(encode_state, decode_state)
        self._link = ReplicationLink(transport, ReplicationCodec(self._state_codec), settings.control_peer_port)
        self._disk = MemberDisk(disk, settings.data_dir, self._state_codec, self._apply_checked, self._on_disk_health)
        self._calls = PendingCalls()
        self._listeners = ReplicationListeners()
        self._tasks = OwnedTasks()
        self._seed_ips = tuple(seed.host for seed in settings.seeds)
        self._driver: MemberDriver | None = None  # None until the member is loaded from the disk

    async def start(self) -> None:
        """Start a background task that loads the member, however slow the disk is, and takes part in replication."""
        self._link.register()
        self._tasks.start(self._start_member(), "replication start")

    async def leave(self, within_s: float) -> None:
        """Leave the view; return once this member may end, or after `within_s` seconds."""
        if self._driver is not None:
            await leave_view(self._driver, within_s)

    def remove(self, ip: str) -> Removal | Failure:
        """Remove the control process at an IP address permanently; return the progress, also when called again."""
        driver = self._driver
        if driver is None:
            return self._not_ready_failure()
        outcome = driver.remove(ip)
        if not isinstance(outcome, Failure):
            log.info("removal requested ip={} state={}", ip, outcome.value)
        return outcome

    async def stop(self) -> None:
        """Resign if this node is the primary, and stop; pending calls fail with `PRIMARY_LOST`."""
        if self._driver is not None:
            self._driver.resign()
        self._tasks.cancel()
        await self._tasks.wait(STOP_SECONDS)
        self._disk.close()
        self._calls.fail_all(Failure(ResultCode.PRIMARY_LOST, "this process is ending"))

    async def submit(self, change: Change) -> Committed | Failure:
        """Apply a change on every replica of the view; `ControlStateService` describes the failures."""
        driver = self._driver
        if driver is None:
            return self._not_ready_failure()
        if driver.is_primary:
            await self._change_check.begin(driver.member.state.replica.state, change)
        try:
            with self._calls.open() as call:
                driver.submit(call.number, change)
                return await call.result
        finally:
            self._change_check.end(change)

    async def read(self) -> ControlState | Failure:
        """Return the newest state, confirmed by a majority of the witnesses after the call began."""
        driver = self._driver
        if driver is None:
            return self._not_ready_failure()
        with self._calls.open() as call:
            driver.read(call.number)
            result = await call.result
        return result.state if isinstance(result, Committed) else result

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Replace the seeds after a change of the settings."""
        self._seed_ips = tuple(seed.host for seed in seeds)
        if self._driver is not None:
            self._driver.set_seed_ips(self._seed_ips)

    @property
    def state(self) -> ControlState:
        """The newest state that this node knows to be committed; newer states may be committed elsewhere."""
        return self._listeners.state

    @property
    def primary_ip(self) -> str | None:
        """The IP address of the primary; None if no primary is known."""
        if self._driver is None or not self._driver.member.state.known_primary.member:
            return None
        return member_ip(self._driver.member.state.known_primary.member)

    @property
    def is_primary(self) -> bool:
        """True if this node is the primary, as far as the node knows."""
        return self._driver is not None and self._driver.is_primary

    def add_commit_listener(self, listener: CommitListener) -> None:
        """Call `listener` with each newer state that this node learns to be committed, in order."""
        self._listeners.add_commit_listener(listener)

    def add_primary_listener(self, listener: PrimaryListener) -> None:
        """Call `listener` with the IP address of each new primary, or with None when no primary is known any more."""
        self._listeners.add_primary_listener(listener)

    def add_electorate_listener(self, listener: ElectorateListener) -> None:
        """Call `listener` with the IP addresses of the electorates of each newer view that this node learns of.

        A view in force has one electorate, its witnesses. A view not yet in force has two electorates: its own
        witnesses and the witnesses of the previous view.
        """
        self._listeners.add_electorate_listener(listener)

    @property
    def status(self) -> ReplicationStatus:
        """The status of this member, as reported by `/v1/status`."""
        fault = self._disk.fault
        disk = DISK_OK if fault is None else str(fault)
        if self._driver is None:
            return ReplicationStatus(disk=disk)
        return status_of(
            self._driver.member,
            committed_index=self.state.index,
            disk=disk,
            stale_answers=self._link.stale_answers,
            tolerated_machines=int(self._settings.tolerate.machines),
        )

    async def _start_member(self) -> None:
        loaded = await self._disk.load(self._new_member)
        if loaded is None:
            return
        driver = MemberDriver(self._make_member(loaded), self._link, self._disk, self._calls, self._listeners)
        self._driver = driver
        driver.begin()
        log.info("member started id={} index={}", loaded.member, loaded.durable.state.index)
        self._tasks.start(driver.run_writes(), "replication writes")
        self._tasks.start(driver.run_ticks(), "replication ticks")

    def _make_member(self, loaded: LoadedMember) -> Member:
        settings = MemberSettings(
            loaded.member,
            self._seed_ips,
            int(self._settings.tolerate.machines),
            self._timing,
            seed=int.from_bytes(os.urandom(DISK_ID_BYTES), "big"),
        )
        return Member(
            settings,
            loaded.durable,
            self._change_check.apply,
            self._apply_checked,
            time.monotonic_ns(),
            codec=self._state_codec,
        )

    def _new_member(self) -> LoadedMember:
        """Return the member for an empty disk.

        A seed with the setting `bootstrap` gets a member of the genesis view, any other node a member that joins later.
        """
        seed_ips = {seed.host for seed in self._settings.seeds}
        ip = self._settings.ip
        if self._settings.bootstrap and ip in seed_ips:
            return LoadedMember(member_id(ip, GENESIS_DISK), DurableState.genesis(genesis_view(seed_ips)))
        return LoadedMember(member_id(ip, os.urandom(DISK_ID_BYTES).hex()), DurableState())

    def _on_disk_health(self, fault: Failure | None) -> None:
        if fault is None:
            log.info("disk recovered")
        else:
            log.error("disk unhealthy failure={}", fault)
        if self._driver is not None:
            self._driver.set_healthy(fault is None)

    def _not_ready_failure(self) -> Failure:
        return self._disk.start_failure or Failure(ResultCode.NO_PRIMARY, "this node is still starting")
