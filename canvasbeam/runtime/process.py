"""Runs a program as a process: reads the settings, sets up the log, event loop and signals, and returns the exit code.

The module imports no program: each program passes its parts as a `Program`.
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
LEAVE_FLUSH_S = 0.05  # seconds between sending the leave message to the cluster and closing the connections

log = logs.get_logger(__name__)


class Program(Protocol):
    """Interface that the program of a process implements."""

    async def start(self) -> Failure | None:
        """Start serving; return a `Failure` if the program cannot start."""

    def change_settings(self, settings: ProcessSettings) -> None:
        """Apply the changed settings."""

    async def stop(self) -> None:
        """Shut down gracefully."""


async def run_until_terminated(program: Program, settings: ProcessSettings) -> int:
    """Run a program until SIGTERM or SIGINT, then stop the program; return the exit code."""
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
    """Read the settings, set up the log and run `run` to its end; return the exit code."""
    settings = load_settings(settings_path())
    if isinstance(settings, Failure):
        print(settings, file=sys.stderr)
        return EXIT_SETTINGS
    logs.configure(settings)
    try:
        return asyncio.run(run(settings))
    finally:
        logs.shut_down()
