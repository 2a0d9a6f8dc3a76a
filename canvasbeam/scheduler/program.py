"""One scheduler: its parts put together, run until drained."""

from __future__ import annotations

import gc
import json
import logging
import os
import socket
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING

from canvasbeam.dispatch.settings import Settings
from canvasbeam.scheduler.attempt_sender import AttemptSender
from canvasbeam.scheduler.configuration import Configuration
from canvasbeam.scheduler.limits import MICROSECOND, Limits
from canvasbeam.scheduler.listener import Listener
from canvasbeam.scheduler.loop import Loop
from canvasbeam.scheduler.process_signals import Signals
from canvasbeam.scheduler.request_coordinator import RequestCoordinator
from canvasbeam.scheduler.worker_discovery import WorkerDiscovery

if TYPE_CHECKING:
    from canvasbeam.gossip.datagram_node import PeerNode
    from canvasbeam.gossip.settings import PeerSettings

log = logging.getLogger(__name__)


def figures(coordinator: RequestCoordinator, forwarder: AttemptSender, listener: Listener) -> str:
    """Return what was done since the start, and what is open now, for a line of the log."""
    values = {
        "clients": len(listener.connections),
        "open": coordinator.open_requests,
        "targets": len(coordinator.workers),
        "connections": forwarder.connections,
        "idle": forwarder.idle,
        "opened": forwarder.opened,
        "list_age": round((coordinator.loop.now - coordinator.listed_at).total_seconds(), 2),
        "lists_lost": coordinator.lists_lost,
        "cpu": round(time.process_time(), 2),
        "passes": coordinator.loop.passes,
    }
    values |= {answer.value: count for answer, count in coordinator.answers.items() if count}
    values |= {f"forward {outcome.value}": count for outcome, count in coordinator.ended.items() if count}
    values |= {f"probe {outcome.value}": count for outcome, count in coordinator.health_checks_ended.items() if count}
    return json.dumps(values)


class Scheduler:
    """The parts of one scheduler, and its loop."""

    def __init__(
        self,
        configuration: Configuration,
        settings: Settings,
        limits: Limits,
        report_names: Mapping[str, str],
        signals: socket.socket,
        *,
        peers: PeerSettings | None,
    ) -> None:
        self._configuration = configuration
        self._settings = settings
        self._limits = limits
        loop = self._loop = Loop(limits.slow_pass)
        born = time.time_ns() // 1000 * MICROSECOND - loop.read_clock()
        coordinator = self._coordinator = RequestCoordinator(loop, settings, limits, configuration.seed, born)
        self._forwarder = coordinator.transport = AttemptSender(loop, coordinator, limits, report_names)
        self._listener = Listener.bind(loop, coordinator, limits, configuration.listen)
        whose = f"{configuration.seed:x} {configuration.name}"
        group = WorkerDiscovery(loop, coordinator, limits, configuration.discovery, born, whose=whose)
        group.start(configuration.known)
        self._peer_node = self._join_peers(peers)
        Signals(loop, signals, self._listener, group, self._peer_node)
        if configuration.mgmt is not None:
            self._listen_for_operators(configuration.mgmt)

    def _join_peers(self, peers: PeerSettings | None) -> PeerNode | None:
        if peers is None:
            if self._configuration.peers:
                path = self._configuration.peers
                log.warning("peers stay off: the settings forbid them, whatever %s says", path)
            return None
        from canvasbeam.gossip.datagram_node import PeerNode  # noqa: PLC0415

        return PeerNode(self._loop, peers, self._configuration.name, time.time_ns() // 1_000_000)

    def _listen_for_operators(self, address: tuple[str, int]) -> None:
        # Imported only where it is asked for: a scheduler without a management address pays nothing for it.
        from pathlib import Path  # noqa: PLC0415

        from canvasbeam.admin.handover import Handover, handover_path  # noqa: PLC0415
        from canvasbeam.admin.operations import SchedulerOperations  # noqa: PLC0415
        from canvasbeam.admin.server import ManagementListener  # noqa: PLC0415

        handover = Handover(handover_path(Path(os.environ.get("TMPDIR") or "/tmp"), self._configuration.listen))
        report = self._peer_node.report if self._peer_node else None
        operations = SchedulerOperations(self._coordinator, self._listener, handover, report)
        ManagementListener.bind(self._loop, self._limits, operations, address)
        log.info("the management address is %s:%d", *address)

    def _end_of_pass(self) -> None:
        self._coordinator.end_of_pass()
        listener = self._listener
        if listener.must_leave or (listener.is_drained and not self._coordinator.open_requests):
            self._loop.stop()

    def _log_figures(self) -> None:
        log.info("figures %s", figures(self._coordinator, self._forwarder, self._listener))
        self._loop.after(self._limits.figures_every, self._log_figures)

    def _log_start(self) -> None:
        configuration, settings = self._configuration, self._settings
        number, count = settings.own_number, settings.dispatchers
        log.info("number %d of %d schedulers, %d targets known", number, count, len(self._coordinator.workers))
        log.info("%s listens on %s:%d", configuration.name, *configuration.listen)
        origin = "LB_DISCOVERY" if os.environ.get("LB_DISCOVERY") else "LB_CONFIG"
        log.info("discovery is at %s:%d, by %s", *configuration.discovery, origin)

    def run(self) -> None:
        """Serve until drained."""
        loop = self._loop
        loop.end_of_pass = self._end_of_pass
        loop.after(self._limits.figures_every, self._log_figures)
        # What stands now stands for good: keep it out of every later collection.
        gc.collect()
        gc.freeze()
        self._log_start()
        loop.run()
        told = ", ".join(f"{count} {kind.value}" for kind, count in self._coordinator.answers.items())
        log.info("drained: %s; longest pass %.1f ms", told, loop.longest_pass.total_seconds() * 1000)
        loop.close()
