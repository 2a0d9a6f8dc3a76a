"""The HTTP servers of a data-plane node: for clients, for readiness checks and, if an address is set, for metrics.

`NodeServers` owns the servers and the order in which they start. `DataPlane.stop` defines the order of shutdown.
"""

from __future__ import annotations

from canvasbeam.data_plane.routes import ClientLimits
from canvasbeam.errors import Failure
from canvasbeam.runtime.http_server import App, HttpLimits, HttpServer
from canvasbeam.runtime.listeners import Listeners
from canvasbeam.runtime.process_budget import ProcessBudget
from canvasbeam.runtime.settings import Address, ProcessSettings

AUXILIARY_BACKLOG = 32  # connections that wait to be accepted for readiness checks or metrics
# Minimum of the HTTP parser's limit on the request head. A connection keeps the parser limit with which the connection
# was opened, while the configured limit may be unknown at that time or be raised later; `Ingress` enforces the
# configured limit.
MIN_PARSER_HEADER_BYTES = 65536


class NodeServers:
    """The HTTP servers of one data-plane node."""

    def __init__(
        self,
        settings: ProcessSettings,
        listeners: Listeners,
        *,
        ingress: App,
        readiness: App,
        metrics: App,
        metrics_address: Address | None,
        budget: ProcessBudget,
    ) -> None:
        initial_limits = HttpLimits(max_header_bytes=MIN_PARSER_HEADER_BYTES)
        self.front = HttpServer(
            ingress, settings.listen["front"], initial_limits, listeners.get("front"), budget=budget
        )
        self._readiness = HttpServer(readiness, settings.listen["ready"], budget=budget, backlog=AUXILIARY_BACKLOG)
        self._metrics = None
        if metrics_address is not None:
            self._metrics = HttpServer(metrics, metrics_address, budget=budget, backlog=AUXILIARY_BACKLOG)

    async def start(self) -> Failure | None:
        """Start all servers; return the first failure, or None."""
        for server in (self._readiness, self.front, *self._optional_servers()):
            failure = await server.start()
            if failure is not None:
                return failure
        return None

    def apply_client_limits(self, limits: ClientLimits) -> None:
        """Apply the limits of a configuration to client connections."""
        self.front.apply_limits(
            HttpLimits(
                max_header_bytes=max(MIN_PARSER_HEADER_BYTES, limits.max_header_bytes),
                header_timeout_s=limits.header_timeout_ms / 1000,
                idle_timeout_s=limits.idle_timeout_ms / 1000,
            )
        )

    async def close(self) -> None:
        """Close all servers, beginning with the server for clients."""
        await self.front.close()
        for server in (self._readiness, *self._optional_servers()):
            await server.close()

    def _optional_servers(self) -> tuple[HttpServer, ...]:
        return () if self._metrics is None else (self._metrics,)
