"""The real scheduler: reads the environment and LB_CONFIG, fills the limits, wires the parts, signals."""

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
from typing import Any

from canvasbeam import interface as ci
from canvasbeam.net.core import Core
from canvasbeam.net.forward import Forwarder
from canvasbeam.net.limits import MICROSECOND, Limits
from canvasbeam.net.listener import Listener
from canvasbeam.net.loop import READ, Endpoint, Loop
from canvasbeam.net.target_group import TargetGroup, read_address, read_list
from canvasbeam.settings import WireError, need, plain_report_names, read_settings, section, whole

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Configuration:
    """What this scheduler was told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
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
    return Configuration(
        name=environment.get("LB_NAME") or str(fields.get("name") or "scheduler"),
        listen=read_address(environment.get("LB_LISTEN") or str(need(fields, "listen"))),
        discovery=read_address(environment.get("LB_DISCOVERY") or str(need(fields, "discovery"))),
        seed=int(str(fields.get("seed") or "0"), 16),
        sockets=whole(section(fields, "limits"), "sockets", 1024),
        known=known,
        options=section(fields, "settings"),
    )


class Signals(Endpoint):
    """Turns a signal into an event of the loop."""

    def __init__(self, loop: Loop, sock: socket.socket, listener: Listener) -> None:
        super().__init__(loop, sock)
        self._listener = listener
        self.wants(READ)

    def on_event(self, mask: int) -> None:
        self.sock.recv(64)
        if not self._listener.draining:
            log.info("draining")
            self._listener.drain()

    def on_failure(self) -> None:
        log.error("a signal could not be handled")


def serve(
    configuration: Configuration, settings: ci.Settings, limits: Limits, report_names: Mapping[str, str]
) -> None:
    """Run until drained."""
    loop = Loop(limits.slow_pass)
    born = time.time_ns() // 1000 * MICROSECOND - loop.read_clock()
    core = Core(loop, settings, limits, configuration.seed, born)
    core.carrier = Forwarder(loop, core, limits, report_names)
    listener = Listener.bind(loop, core, limits, configuration.listen)
    TargetGroup(loop, core, limits, configuration.discovery, born).start(configuration.known)
    mine, theirs = socket.socketpair()
    theirs.setblocking(False)
    Signals(loop, mine, listener)
    signal.set_wakeup_fd(theirs.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)

    def end_of_pass() -> None:
        core.end_of_pass()
        if listener.is_drained and not core.open_requests:
            loop.stop()

    loop.end_of_pass = end_of_pass
    # What stands now stands for good: keep it out of every later collection.
    gc.collect()
    gc.freeze()
    log.info("%s listens on %s:%d", configuration.name, *configuration.listen)
    loop.run()
    told = ", ".join(f"{count} {kind.value}" for kind, count in core.answers.items())
    log.info("drained: %s; longest pass %.1f ms", told, loop.longest_pass.total_seconds() * 1000)
    loop.close()


def main() -> int:
    """Serve; 1 with one line on standard error where the configuration is bad."""
    logging.basicConfig(format="%(asctime)s %(levelname)s %(name)s: %(message)s", level=logging.INFO)
    try:
        configuration = read_configuration(os.environ)
        settings, names = read_settings(configuration.options)
        limits = Limits.of(settings.limits, configuration.sockets)
    except (ValueError, WireError, TypeError, AttributeError) as error:
        # The last two come of a value of another type than the settings' page gives.
        print(f"canvasbeam: bad configuration: {error}", file=sys.stderr)
        return 1
    try:
        serve(configuration, settings, limits, plain_report_names(names))
    except OSError as error:
        print(f"canvasbeam: cannot listen or serve: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
