"""Signals of a process, and its settings file read again when it changes.

SIGTERM and SIGINT ask the process to end, once; SIGHUP asks it to read its settings. The file may also change without
any signal, so its state on the disk is looked at every `POLL_INTERVAL_S`.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from canvasbeam.errors import Failure
from canvasbeam.runtime.logs import get_logger
from canvasbeam.runtime.settings import ProcessSettings, load_settings

POLL_INTERVAL_S = 1.0
TERMINATION_SIGNALS = (signal.SIGTERM, signal.SIGINT)

log = get_logger(__name__)

SettingsListener = Callable[[ProcessSettings], None]
FileStamp = tuple[int, int, int]


class SettingsWatch:
    """Reads the settings file again where it has changed; settings that break a rule are logged and not applied."""

    def __init__(self, path: Path, current: ProcessSettings, listener: SettingsListener) -> None:
        self._path = path
        self._current = current
        self._listener = listener
        self._stamp = _stamp_of(path)

    def poll(self) -> None:
        """Read the file if it was replaced or written since the last call."""
        stamp = _stamp_of(self._path)
        if stamp != self._stamp:
            self._stamp = stamp
            self.reload()

    def reload(self) -> ProcessSettings | Failure:
        """Read the file now; the listener gets settings that differ from the current ones."""
        loaded = load_settings(self._path)
        if isinstance(loaded, Failure):
            log.error("settings rejected action=the former ones stay failure={}", loaded)
            return loaded
        if loaded != self._current:
            self._current = loaded
            log.info("settings applied path={}", self._path)
            self._listener(loaded)
        return loaded


class ProcessSignals:
    """The signals of this process, on the running event loop.

    signals = ProcessSignals.install(watch)
    await signals.wait_for_termination()
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, watch: SettingsWatch) -> None:
        self._loop = loop
        self._watch = watch
        self._terminated = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None

    @classmethod
    def install(cls, watch: SettingsWatch) -> ProcessSignals:
        """Handle the signals from now on, and poll the settings file."""
        signals = cls(asyncio.get_running_loop(), watch)
        for number in TERMINATION_SIGNALS:
            signals._loop.add_signal_handler(number, signals.terminate, number)
        signals._loop.add_signal_handler(signal.SIGHUP, signals._on_hangup)
        signals._schedule_poll()
        return signals

    @property
    def is_terminating(self) -> bool:
        """Whether the process was asked to end."""
        return self._terminated.is_set()

    async def wait_for_termination(self) -> None:
        """Return once the process was asked to end."""
        await self._terminated.wait()

    def terminate(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Ask the process to end, as the signal does."""
        if not self._terminated.is_set():
            log.info("signal received name={}", number.name)
        self._terminated.set()

    def close(self) -> None:
        """Stop polling; the signals stay handled, so that a second one does not cut the end short."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_hangup(self) -> None:
        self._watch.reload()

    def _schedule_poll(self) -> None:
        self._timer = self._loop.call_later(POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        self._schedule_poll()
        self._watch.poll()


def _stamp_of(path: Path) -> FileStamp | None:
    """Return what changes with every write and every replacement of a file; None where there is none."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
