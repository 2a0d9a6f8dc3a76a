"""The outer frame of a process: its settings, its log, its event loop, its signals, and the exit codes.

It knows no program: each hands in its parts as a `Program`.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from canvasbeam.errors import Failure
from canvasbeam.runtime import logs
from canvasbeam.runtime.settings import ProcessSettings, load_settings, settings_path
from canvasbeam.runtime.signals import ProcessSignals, SettingsWatch

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_START = 3
LEAVE_FLUSH_S = 0.05  # between the notice that a process leaves the cluster and the close of its connections

log = logs.get_logger(__name__)


class Program(Protocol):
    """The parts of one process."""

    async def start(self) -> Failure | None:
        """Begin to serve; return the failure where that is not possible."""

    def change_settings(self, settings: ProcessSettings) -> None:
        """Apply changed settings."""

    async def stop(self) -> None:
        """End in order."""


async def run_until_terminated(program: Program, settings: ProcessSettings) -> int:
    """Run one program until a signal ends it; return the exit code."""
    watch = SettingsWatch(settings_path(), settings, program.change_settings)
    signals = ProcessSignals.install(watch)
    failure = await program.start()
    if failure is not None:
        log.error("start failed failure={}", failure)
        return EXIT_START
    await signals.wait_for_termination()
    await program.stop()
    signals.close()
    return EXIT_OK


def run_process(run: Callable[[ProcessSettings], Coroutine[Any, Any, int]]) -> int:
    """Read the settings and run the program to its end; return the exit code."""
    settings = load_settings(settings_path())
    if isinstance(settings, Failure):
        print(settings, file=sys.stderr)
        return EXIT_SETTINGS
    logs.configure(settings)
    try:
        return asyncio.run(run(settings))
    finally:
        logs.shut_down()
