"""The outer frame of a process: its settings, its log, its event loop, and the exit codes."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from canvasbeam.errors import Failure
from canvasbeam.runtime import logs
from canvasbeam.runtime.settings import ProcessSettings, load_settings, settings_path

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_START = 3


def run_process(run: Callable[[ProcessSettings], Coroutine[Any, Any, int]]) -> int:
    """Read the settings and run the program to its end; the exit code."""
    settings = load_settings(settings_path())
    if isinstance(settings, Failure):
        print(settings, file=sys.stderr)
        return EXIT_SETTINGS
    logs.configure(settings)
    try:
        return asyncio.run(run(settings))
    finally:
        logs.shut_down()
