"""The data-plane process: its components, and the order of startup and shutdown.

`DataPlane` owns the components and connects them; each component owns its own state. Components receive changes of the
item table and of the configuration in the order in which `DataPlane` constructs the components.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator, Sequence

from canvasbeam.cluster.member import Member
from canvasbeam.cluster.node import ClusterNode
from canvasbeam.data_plane.configuration_view import ConfigurationListener, ConfigurationView
from canvasbeam.data_plane.endpoint_list import EndpointList
from canvasbeam.data_plane.ingress import Ingress
from canvasbeam.data_plane.metrics import MetricsApp, gauge_lines, outcome_lines
from canvasbeam.data_plane.outcome_recorder import OutcomeRecorder
from canvasbeam.data_plane.placement import Placement
from canvasbeam.data_plane.readiness import ReadinessApp, ReadinessPublisher
from canvasbeam.data_plane.router import RequestRouter, monotonic_ns
from canvasbeam.data_plane.routes import Configuration
from canvasbeam.data_plane.servers import NodeServers
from canvasbeam.data_plane.shutdown import GracefulShutdown
from canvasbeam.data_plane.startup import StartupCheck
from canvasbeam.data_plane.worker_connections import WorkerConnections
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.item_table.items import Item, ItemKind
from canvasbeam.runtime import logs
from canvasbeam.runtime.allocator import MemoryTrimmer
from canvasbeam.runtime.listeners import Listeners
from canvasbeam.runtime.process import LEAVE_FLUSH_S, run_process, run_until_terminated
from canvasbeam.runtime.process_budget import ProcessBudget
from canvasbeam.runtime.settings import Address, ProcessSettings

# Lower bound of the assumed number of data-plane nodes, among which the connections to a worker are divided. A starting
# node learns of the other nodes one by one, so its own count is too low at first.
MIN_ASSUMED_NODES = 4
# Memory of a data-plane process without any caller: its libraries, a large item table, and the kernel's buffers of the
# connections that wait to be accepted.
OWN_MEMORY_MB = 56

log = logs.get_logger(__name__)


class DataPlane:
    """All components of one data-plane node."""

    def __init__(
        self, settings: ProcessSettings, listeners: Listeners | None = None, metrics: Address | None = None
    ) -> None:
        self._settings = settings
        self._budget = ProcessBudget.of(settings.limits, OWN_MEMORY_MB)
        self._budget.on_much_released = MemoryTrimmer().request
        self._cluster = ClusterNode(settings, is_control=False, budget=self._budget)
        self._connections = WorkerConnections()
        self._placement = Placement(settings, self._cluster)
        self._shutdown = GracefulShutdown(settings, monotonic_ns)
        self._outcomes = OutcomeRecorder(settings.region, monotonic_ns, self._placement.expectations)
        self._router = RequestRouter(
            lambda: self._placement.make_dispatcher(self._settings),
            self._connections,
            outcomes=self._outcomes,
            on_served=self._shutdown.record_served,
        )
        self._view = ConfigurationView(self._cluster.table)
        self._startup = StartupCheck(
            monotonic_ns,
            has_configuration=lambda: self._view.current is not None,
            has_contact=self._cluster.has_majority,
            is_behind=lambda: self._cluster.is_behind,
        )
        self._servers = self._make_servers(listeners or {}, metrics)
        for listener in self._configuration_listeners():
            self._view.add_listener(listener)
        self._endpoints = self._make_endpoint_list()
        self._readiness = ReadinessPublisher(self.is_ready, self._cluster.set_ready)
        self._cluster.add_members_listener(self._on_members)
        self._cluster.table.add_listener(self._on_items)

    def _make_endpoint_list(self) -> EndpointList:
        return EndpointList(
            self._cluster.table,
            self._view,
            self._router,
            self._connections,
            regions=self._settings.zones,
            live_nodes=MIN_ASSUMED_NODES,
        )

    def _make_servers(self, listeners: Listeners, metrics: Address | None) -> NodeServers:
        ingress = Ingress(
            self._view,
            self._router,
            self._shutdown,
            random.Random(),
            is_configuration_current=self._is_configuration_current,
            on_rejected=self._outcomes.record_rejection,
        )
        return NodeServers(
            self._settings,
            listeners,
            ingress=ingress,
            readiness=ReadinessApp(self.is_ready),
            metrics=MetricsApp(self._metric_lines),
            metrics_address=metrics,
            budget=self._budget,
        )

    def _on_members(self, members: Sequence[Member]) -> None:
        """Divide the connections to each worker among the live data-plane nodes."""
        nodes = sum(not member.is_control for member in members)
        self._endpoints.set_live_nodes(max(nodes, MIN_ASSUMED_NODES))

    def _configuration_listeners(self) -> tuple[ConfigurationListener, ...]:
        """Return the parts that adopt a configuration, each for itself: a fault in one must not stop the others."""
        return (
            self._apply_client_limits,
            self._placement.change_warm_up_rates,
            self._placement.change_engines,
            self._router.change_configuration,
        )

    def _apply_client_limits(self, configuration: Configuration) -> None:
        self._servers.apply_client_limits(configuration.limits)

    def _metric_lines(self) -> Iterator[str]:
        """Yield the lines of the metrics page of this process."""
        yield from outcome_lines(self._outcomes.counters)
        yield from gauge_lines(
            {
                "open_requests": self._router.open_requests,
                "live_workers": self._router.live_workers,
                "listed_workers": self._router.listed_workers,
                "worker_items": len(self._cluster.table.of_kind(ItemKind.WORKER)),
                "configuration_generation": self._view.current.generation if self._view.current else 0,
                "configuration_is_behind": self._cluster.is_behind,
                "listeners_behind": self._cluster.listeners_behind + self._view.listeners_behind,
            }
        )

    def _is_configuration_current(self) -> bool:
        """Return True if rejections may rely on the configuration: the lease is in force, no newer version is known."""
        return self._cluster.has_majority() and not self._cluster.is_behind

    def _on_items(self, items: Sequence[Item]) -> None:
        """Check readiness, after the other components have processed these items."""
        self._readiness.check_soon()

    def is_ready(self) -> bool:
        """Return True if load balancers may send clients to this node."""
        return self._startup.is_done() and self._router.live_workers > 0 and not self._shutdown.has_begun

    async def start(self) -> Failure | None:
        """Start the servers and join the cluster; return the first failure, such as `ADDRESS_IN_USE`, or None."""
        failure = await self._servers.start()
        if failure is not None:
            return failure
        try:
            await self._cluster.start()
        except OSError as error:
            return Failure(ResultCode.ADDRESS_IN_USE, f"{self._cluster.address}: {error}")
        log.info("serving clients address={}", self._settings.listen["front"])
        self._readiness.start()
        return None

    def change_settings(self, settings: ProcessSettings) -> None:
        """Apply changed settings; those that describe the deployment, such as seed peers, take effect at once."""
        self._settings = settings
        self._cluster.set_seeds(settings.seed_peers)
        self._endpoints.refresh()

    async def stop(self) -> None:
        """Shut down: publish not ready, answer all open requests, leave the cluster, and close all connections."""
        self._readiness.stop()
        shutdown = asyncio.ensure_future(self._shutdown.run(self._servers.front, self._router))
        self._cluster.set_ready(False)
        await shutdown
        self._cluster.leave()
        await asyncio.sleep(LEAVE_FLUSH_S)
        await self._cluster.stop()
        await self._servers.close()
        self._connections.close()


async def run(settings: ProcessSettings, listeners: Listeners | None = None, metrics_port: int | None = None) -> int:
    """Run one data-plane node until a signal ends it; a metrics address in the settings overrides `metrics_port`."""
    metrics = settings.listen.get("metrics")
    if metrics is None and metrics_port is not None:
        metrics = Address(settings.ip, metrics_port)
    return await run_until_terminated(DataPlane(settings, listeners, metrics), settings)


def main(listeners: Listeners | None = None, metrics_port: int | None = None) -> int:
    """Run the data-plane process; return its exit status."""
    return run_process(lambda settings: run(settings, listeners, metrics_port))
