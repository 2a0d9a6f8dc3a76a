"""Signal handlers of a process, and reloading of the settings file when the file changes.

SIGTERM and SIGINT request termination; only the first signal has an effect. SIGHUP reloads the settings file. The
settings file may also change without a signal, so its modification time, size and inode are polled every
`POLL_INTERVAL_S` seconds.
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
    """Reloads the settings file when the file changes; invalid settings are logged and not applied."""

    def __init__(self, path: Path, current: ProcessSettings, listener: SettingsListener) -> None:
        self._path = path
        self._current = current
        self._listener = listener
        self._stamp = _stamp_of(path)

    def poll(self) -> None:
        """Reload the settings file if the file was written or replaced since the last call."""
        stamp = _stamp_of(self._path)
        if stamp != self._stamp:
            self._stamp = stamp
            self.reload()

    def reload(self) -> ProcessSettings | Failure:
        """Read the settings file; call the listener if the settings are valid and differ from the current settings."""
        loaded = load_settings(self._path)
        if isinstance(loaded, Failure):
            log.error("settings rejected action=previous settings kept failure={}", loaded)
            return loaded
        if loaded != self._current:
            self._apply(loaded)
        return loaded

    def _apply(self, settings: ProcessSettings) -> None:
        """Call the listener; if it raises, the settings count as not applied, and the next poll calls it again."""
        try:
            self._listener(settings)
        except Exception:
            log.exception("settings not applied action=retried path={}", self._path)
            self._stamp = None
            return
        self._current = settings
        log.info("settings applied path={}", self._path)


class ProcessSignals:
    """Signal handlers of this process on the running event loop, and polling of the settings file.

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
        """Install the signal handlers on the running event loop, and start polling the settings file."""
        signals = cls(asyncio.get_running_loop(), watch)
        for number in TERMINATION_SIGNALS:
            signals._loop.add_signal_handler(number, signals.terminate, number)
        signals._loop.add_signal_handler(signal.SIGHUP, signals._on_hangup)
        signals._schedule_poll()
        return signals

    @property
    def is_terminating(self) -> bool:
        """True if termination was requested."""
        return self._terminated.is_set()

    async def wait_for_termination(self) -> None:
        """Wait until termination is requested."""
        await self._terminated.wait()

    def terminate(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Request termination, as SIGTERM and SIGINT do."""
        if not self._terminated.is_set():
            log.info("signal received name={}", number.name)
        self._terminated.set()

    def close(self) -> None:
        """Stop polling. The signal handlers stay installed, so that a second signal does not interrupt the shutdown."""
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
    """Return modification time, size and inode, of which a write or replacement changes at least one.

    Return None if the file cannot be accessed.
    """
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
