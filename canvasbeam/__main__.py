"""The real scheduler: reads the environment and LB_CONFIG, fills the limits, wires the parts, signals.

It owns the order of what it is told: at start the environment goes before the file, on SIGHUP the file's
discovery goes first, since only the file can have changed. It must never decide, and never end or change a
running scheduler over a file that cannot be used.
"""

from __future__ import annotations

import gc
import json
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from canvasbeam import interface as ci
from canvasbeam.net.core import Core
from canvasbeam.net.forward import Forwarder
from canvasbeam.net.limits import MICROSECOND, Limits
from canvasbeam.net.listener import Listener
from canvasbeam.net.loop import READ, Endpoint, Loop
from canvasbeam.net.target_group import TargetGroup, read_address, read_list
from canvasbeam.settings import WireError, need, plain_report_names, read_settings, section, whole

if TYPE_CHECKING:
    from canvasbeam.peers.carrier import Station
    from canvasbeam.peers.settings import Peers

log = logging.getLogger(__name__)
# All but the first two come of a value of another type or size than the settings' page gives.
CONFIGURATION_ERRORS = (
    ValueError,
    WireError,
    TypeError,
    AttributeError,
    LookupError,
    ArithmeticError,
    RecursionError,
)


@dataclass(frozen=True, slots=True)
class Configuration:
    """What this scheduler was told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    mgmt: tuple[str, int] | None  # the management address, for operators and their tools
    peers: str  # the operator's own file on peers; empty for none
    seed: int
    sockets: int
    memory_mb: int
    known: dict[str, Any]
    options: dict[str, Any]


def read_configuration(environment: Mapping[str, str]) -> Configuration:
    """LB_CONFIG's file, with the variables of the environment before it; a ValueError says what is wrong."""
    path = environment.get("LB_CONFIG")
    if not path:
        raise ValueError("LB_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            fields = json.load(file)
    except (OSError, ValueError) as error:
        raise ValueError(f"LB_CONFIG cannot be read: {error}") from error
    if not isinstance(fields, dict):
        raise ValueError("LB_CONFIG holds no object")
    known = section(fields, "known")
    if known:
        read_list(known, timedelta(0))
    mgmt = environment.get("LB_MGMT") or str(fields.get("mgmt") or "")
    return Configuration(
        name=environment.get("LB_NAME") or str(fields.get("name") or "scheduler"),
        listen=read_address(environment.get("LB_LISTEN") or str(need(fields, "listen"))),
        discovery=read_address(environment.get("LB_DISCOVERY") or str(need(fields, "discovery"))),
        mgmt=read_address(mgmt) if mgmt else None,
        peers=environment.get("LB_PEERS") or str(fields.get("peers") or ""),
        seed=int(str(fields.get("seed") or "0"), 16),
        sockets=whole(section(fields, "limits"), "sockets", 1024),
        memory_mb=whole(section(fields, "limits"), "memory_mb", 192),
        known=known,
        options=section(fields, "settings"),
    )


def read_peers(configuration: Configuration, settings: ci.Settings) -> Peers | None:
    """The operator's file on peers, or None: without one, or where the settings forbid them.

    A ValueError says what is wrong. Imported only where it is used: a scheduler without peers pays nothing for them.
    """
    if not configuration.peers or not settings.limits.peers:
        return None
    try:
        from canvasbeam.peers.settings import read  # noqa: PLC0415
    except ImportError as error:
        raise ValueError(f"peers need a library that is not installed: {error.name}") from error
    return read(configuration.peers)


def read_new_discovery(environment: Mapping[str, str]) -> tuple[str, int]:
    """Where the file now says that discovery is; the whole file must be as good as at a start.

    LB_DISCOVERY is as old as the process: it must not hide the file's new address.
    """
    kept = {name: value for name, value in environment.items() if name != "LB_DISCOVERY"}
    configuration = read_configuration(kept)
    settings, _ = read_settings(configuration.options)
    Limits.of(settings, configuration.sockets, configuration.memory_mb)
    return configuration.discovery


class Signals(Endpoint):
    """Turns signals into events of the loop. They are caught from the first moment and wait until it runs."""

    NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        listener: Listener,
        group: TargetGroup,
        station: Station | None = None,
    ) -> None:
        super().__init__(loop, sock)
        self._listener = listener
        self._group = group
        self._station = station
        self.wants(READ)

    @classmethod
    def catch(cls) -> socket.socket:
        """Have signals written to a socket; the end to read from."""
        mine, theirs = socket.socketpair()
        theirs.setblocking(False)
        signal.set_wakeup_fd(theirs.detach(), warn_on_full_buffer=False)
        for number in cls.NUMBERS:
            signal.signal(number, lambda *_: None)
        return mine

    def on_event(self, mask: int) -> None:
        numbers = self.sock.recv(256)
        if signal.SIGTERM in numbers or signal.SIGINT in numbers:
            begins = self._listener.drain()
            log.info("draining" if begins else "the end has begun already: nothing changes")
            if begins and self._station is not None:
                self._station.leave()
        if signal.SIGHUP in numbers:  # once for many: each reads the same file
            self._reload()

    def _reload(self) -> None:
        """Follow the file's discovery, also during a drain: what is held may still need the list."""
        try:
            address = read_new_discovery(os.environ)
        except CONFIGURATION_ERRORS as error:
            log.error("LB_CONFIG is not taken up, all stays as it was: %s", " ".join(str(error).split()))
            return
        if address == self._group.address:
            log.info("LB_CONFIG read again: discovery stays at %s:%d", *address)
            return
        log.info("LB_CONFIG read again: discovery moves from %s:%d to %s:%d", *self._group.address, *address)
        self._group.move(address)

    def on_failure(self) -> None:
        log.error("a signal could not be handled")


def figures(core: Core, forwarder: Forwarder, listener: Listener) -> str:
    """What has been done since the start, and what is open now, for a line of the log."""
    told = {
        "clients": len(listener.connections),
        "open": core.open_requests,
        "targets": len(core.targets),
        "connections": forwarder.connections,
        "idle": forwarder.idle,
        "opened": forwarder.opened,
        "list_age": round((core.loop.now - core.listed_at).total_seconds(), 2),
        "lists_lost": core.lists_lost,
        "cpu": round(time.process_time(), 2),
        "passes": core.loop.passes,
    }
    told |= {each.value: count for each, count in core.answers.items() if count}
    told |= {f"forward {each.value}": count for each, count in core.ended.items() if count}
    told |= {f"probe {each.value}": count for each, count in core.probed.items() if count}
    return json.dumps(told)


def serve(
    configuration: Configuration,
    settings: ci.Settings,
    limits: Limits,
    report_names: Mapping[str, str],
    signals: socket.socket,
    *,
    peers: Peers | None = None,
) -> None:
    """Run until drained."""
    loop = Loop(limits.slow_pass)
    born = time.time_ns() // 1000 * MICROSECOND - loop.read_clock()
    core = Core(loop, settings, limits, configuration.seed, born)
    forwarder = core.carrier = Forwarder(loop, core, limits, report_names)
    listener = Listener.bind(loop, core, limits, configuration.listen)
    whose = f"{configuration.seed:x} {configuration.name}"
    group = TargetGroup(loop, core, limits, configuration.discovery, born, whose=whose)
    group.start(configuration.known)
    station = None
    if peers is not None:
        from canvasbeam.peers.carrier import Station  # noqa: PLC0415

        station = Station(loop, peers, configuration.name, time.time_ns() // 1_000_000)
    elif configuration.peers:
        log.warning("peers stay off: the settings forbid them, whatever %s says", configuration.peers)
    Signals(loop, signals, listener, group, station)
    if configuration.mgmt is not None:
        # Imported only where it is asked for: a scheduler without a management address pays nothing for it.
        from canvasbeam.mgmt.handover import Handover, path_for  # noqa: PLC0415
        from canvasbeam.mgmt.operations import SchedulerOperations  # noqa: PLC0415
        from canvasbeam.mgmt.server import ManagementListener  # noqa: PLC0415

        handover = Handover(path_for(os.environ.get("TMPDIR") or "/tmp", configuration.listen))
        operations = SchedulerOperations(core, listener, handover, station.report if station else None)
        ManagementListener.bind(loop, limits, operations, configuration.mgmt)
        log.info("the management address is %s:%d", *configuration.mgmt)

    def end_of_pass() -> None:
        core.end_of_pass()
        if listener.must_leave or (listener.is_drained and not core.open_requests):
            loop.stop()

    loop.end_of_pass = end_of_pass

    def tell() -> None:
        log.info("figures %s", figures(core, forwarder, listener))
        loop.after(limits.figures_every, tell)

    loop.after(limits.figures_every, tell)
    number, count = settings.own_number, settings.dispatchers
    log.info("number %d of %d schedulers, %d targets known", number, count, len(core.targets))
    # What stands now stands for good: keep it out of every later collection.
    gc.collect()
    gc.freeze()
    log.info("%s listens on %s:%d", configuration.name, *configuration.listen)
    origin = "LB_DISCOVERY" if os.environ.get("LB_DISCOVERY") else "LB_CONFIG"
    log.info("discovery is at %s:%d, by %s", *configuration.discovery, origin)
    loop.run()
    told = ", ".join(f"{count} {kind.value}" for kind, count in core.answers.items())
    log.info("drained: %s; longest pass %.1f ms", told, loop.longest_pass.total_seconds() * 1000)
    loop.close()


def main() -> int:
    """Serve; 1 with one line on standard error where the configuration is bad."""
    signals = Signals.catch()
    logging.basicConfig(format="%(asctime)s %(levelname)s %(name)s: %(message)s", level=logging.INFO)
    try:
        configuration = read_configuration(os.environ)
        settings, names = read_settings(configuration.options)
        limits = Limits.of(settings, configuration.sockets, configuration.memory_mb)
        peers = read_peers(configuration, settings)
    except CONFIGURATION_ERRORS as error:
        print(f"canvasbeam: bad configuration: {error}", file=sys.stderr)
        return 1
    try:
        serve(configuration, settings, limits, plain_report_names(names), signals, peers=peers)
    except OSError as error:
        print(f"canvasbeam: cannot listen or serve: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    if len(sys.argv) > 1:
        # Any argument is for the command line, whose libraries a bare scheduler must not load.
        from canvasbeam.cli import main as command_line

        command_line()
    sys.exit(main())
