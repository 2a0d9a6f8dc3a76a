"""Run the control process: create its parts, and start and stop the parts in order.

Owns every part, and the background tasks that no part owns. All decisions belong to the parts: this module must not
take any.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

from canvasbeam.cluster.node import ClusterNode
from canvasbeam.control_plane.changes import apply, apply_checked
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.directory import RESOLVE_PATH, Directory
from canvasbeam.control_plane.home_regions import HomeRegions
from canvasbeam.control_plane.operator_api import (
    CONFIGURATION_PATH,
    EVACUATION_PREFIX,
    REMOVAL_PREFIX,
    STATUS_PATH,
    OperatorApi,
)
from canvasbeam.control_plane.owned_tasks import OwnedTasks
from canvasbeam.control_plane.publisher import StatePublisher
from canvasbeam.control_plane.registry import INSTANCES_PREFIX, RegistryService
from canvasbeam.control_plane.replicated_state import ReplicatedControlState
from canvasbeam.control_plane.status import status_document
from canvasbeam.control_plane.web import Endpoint, WebApp, json_bytes
from canvasbeam.control_plane.worker_storage import WorkerStorage
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime import logs
from canvasbeam.runtime.allocator import MemoryTrimmer
from canvasbeam.runtime.http_server import HttpServer
from canvasbeam.runtime.listeners import Listeners
from canvasbeam.runtime.process import LEAVE_FLUSH_S, run_process, run_until_terminated
from canvasbeam.runtime.process_budget import ProcessBudget
from canvasbeam.runtime.settings import ProcessSettings

MAX_IGNORED_BODY_BYTES = 4096  # body limit of requests whose body is ignored
# Memory of a control process without any caller: its libraries, a large control state, and the kernel's buffers of the
# connections that wait to be accepted.
OWN_MEMORY_MB = 72
DRAIN_S = 1.0
RESIGN_S = 2.0
LEAVE_MARGIN_S = 3.0  # part of `grace_s` reserved after the leave: `RESIGN_S`, and one second before SIGKILL
MIN_LEAVE_S = 0.3
# Electorates of a control node that knows no view yet. The only electorate is empty, so that nobody can grant a contact
# lease, because the node may not be a member of the current view.
NO_ELECTORATE = ((),)


class ControlPlane:
    """One control node: owns all parts of the node, and starts and stops the parts."""

    def __init__(self, settings: ProcessSettings, listeners: Listeners | None = None) -> None:
        self._settings = settings
        self._budget = ProcessBudget.of(settings.limits, OWN_MEMORY_MB)
        self._budget.on_much_released = MemoryTrimmer().request
        self._node = ClusterNode(settings, is_control=True, budget=self._budget)
        self._service = ReplicatedControlState(
            settings, self._node.transport, apply, encode_state, decode_state, apply_checked=apply_checked
        )
        self._publisher = StatePublisher(self._node)
        self._service.add_commit_listener(self._publisher.on_committed)
        self._registry = RegistryService(settings, self._node)
        self._node.set_electorates(NO_ELECTORATE)
        self._service.add_electorate_listener(self._node.set_electorates)
        home_regions = HomeRegions(self._node.table)
        self._directory = Directory(settings, self._node.members, home_regions, self._node.has_recent_exchange)
        self._operator = OperatorApi(
            settings, self._service, self._is_reachable, lambda: status_document(settings, self._node, self._service)
        )
        self._service.add_primary_listener(self._operator.on_primary_changed)
        self._servers = self._make_servers(settings, listeners or {})
        self._worker_storage = WorkerStorage(self._node, settings.data_dir) if settings.data_dir is not None else None
        self._tasks = OwnedTasks()

    def _make_servers(self, settings: ProcessSettings, listeners: Listeners) -> list[HttpServer]:
        endpoints = {"control": self._control_endpoints(), "directory": self._directory_endpoints()}
        return [
            HttpServer(WebApp(endpoints[name]), settings.listen[name], None, listeners.get(name), budget=self._budget)
            for name in endpoints
            if name in settings.listen
        ]

    def _control_endpoints(self) -> list[Endpoint]:
        operator, registry = self._operator, self._registry
        return [
            Endpoint(
                INSTANCES_PREFIX,
                registry.instances,
                registry.max_body_bytes,
                too_large=ResultCode.REGISTRATION_TOO_LARGE,
            ),
            Endpoint(
                CONFIGURATION_PATH,
                operator.configuration,
                operator.max_body_bytes,
                needs_caller=True,
                document_bytes=json_bytes,
            ),
            Endpoint(EVACUATION_PREFIX, operator.evacuation, _ignored_body_limit, needs_caller=True),
            Endpoint(REMOVAL_PREFIX, operator.removal, _ignored_body_limit, needs_caller=True),
            Endpoint(STATUS_PATH, operator.status, _ignored_body_limit),
        ]

    def _directory_endpoints(self) -> list[Endpoint]:
        return [Endpoint(RESOLVE_PATH, self._directory.resolve, _ignored_body_limit)]

    def _is_reachable(self, ip: str) -> bool:
        """Return True if callers may be redirected to the control process at an IP address.

        A node without a contact lease redirects no callers, because the node may know only a former primary.
        """
        return self._node.has_majority() and any(member.ip == ip for member in self._node.control_nodes())

    async def start(self) -> Failure | None:
        """Join the cluster, open the storage, and serve; return a failure if an address cannot be opened."""
        try:
            await self._node.start()
        except OSError as error:
            return Failure(ResultCode.ADDRESS_IN_USE, f"{self._node.address}: {error}")
        await self._service.start()
        if self._worker_storage is not None:
            self._tasks.start(self._worker_storage.run(), "worker storage")
        logs.set_epoch(lambda: self._service.status.epoch)
        for server in self._servers:
            failure = await server.start()
            if failure is not None:
                return failure
        self._tasks.start(self._registry.run(), "registry ticks")
        self._node.set_ready(True)
        return None

    def change_settings(self, settings: ProcessSettings) -> None:
        """Apply changed settings. Only the seeds can change while the process runs."""
        self._node.set_seeds(settings.seed_peers)
        self._service.set_seeds(settings.seeds)

    async def stop(self) -> None:
        """Stop in order: answer the requests in progress, leave the view, resign, and notify the other nodes."""
        began_at_s = time.monotonic()
        self._registry.stop()
        self._node.set_ready(False)
        await asyncio.gather(*(server.drain(DRAIN_S) for server in self._servers))
        leave_by_s = began_at_s + self._settings.bounds.grace_s - LEAVE_MARGIN_S
        await self._service.leave(max(MIN_LEAVE_S, leave_by_s - time.monotonic()))
        with suppress(TimeoutError):
            async with asyncio.timeout(RESIGN_S):
                await self._service.stop()
        self._tasks.cancel()
        if self._worker_storage is not None:
            self._worker_storage.close()
        self._node.leave()
        await asyncio.sleep(LEAVE_FLUSH_S)
        for server in self._servers:
            await server.close()
        await self._node.stop()


def _ignored_body_limit() -> int:
    return MAX_IGNORED_BODY_BYTES


async def run(settings: ProcessSettings, listeners: Listeners | None = None) -> int:
    """Run one control node until a termination signal; return the exit code of the process."""
    return await run_until_terminated(ControlPlane(settings, listeners), settings)


def main(listeners: Listeners | None = None) -> int:
    """Run the program; return the exit code of the process."""
    return run_process(lambda settings: run(settings, listeners))
