"""Signal handlers of a process, and reloading of the settings file after a signal or a change of the file."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.runtime.settings import Address, ProcessSettings, load_settings
from canvasbeam.runtime.signals import ProcessSignals, SettingsWatch
from tests.runtime.test_logs import EXAMPLE_SETTINGS

DEADLINE_S = 10.0


def write(path: Path, text: str) -> None:
    """Replace the file by renaming a new file over it, as many editors do."""
    other = path.with_suffix(".new")
    other.write_text(text)
    other.replace(path)


class WatchedSettings:
    """A settings file, its `SettingsWatch`, and the settings that the listener received."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "local.toml"
        self.path.write_text(EXAMPLE_SETTINGS)
        loaded = load_settings(self.path)
        assert isinstance(loaded, ProcessSettings)
        self.received: list[ProcessSettings] = []
        self.is_faulty = False
        self.changed = asyncio.Event()
        self.watch = SettingsWatch(self.path, loaded, self._on_change)

    def _on_change(self, settings: ProcessSettings) -> None:
        if self.is_faulty:
            raise RuntimeError("planted fault in the listener")
        self.received.append(settings)
        self.changed.set()


@pytest.fixture
def watched(tmp_path: Path) -> WatchedSettings:
    return WatchedSettings(tmp_path)


def test_changed_file_is_passed_to_the_listener_once(watched: WatchedSettings) -> None:
    watched.watch.poll()
    assert not watched.received
    write(watched.path, EXAMPLE_SETTINGS.replace("127.0.0.1:8146", "127.0.0.9:8146"))
    watched.watch.poll()
    watched.watch.poll()
    assert [settings.seeds for settings in watched.received] == [(Address("127.0.0.9", 8146),)]


def test_file_rewritten_with_equal_settings_is_not_passed_to_the_listener(watched: WatchedSettings) -> None:
    write(watched.path, EXAMPLE_SETTINGS + "# a remark\n")
    watched.watch.poll()
    assert not watched.received


@pytest.mark.parametrize("is_polled", [True, False])
def test_settings_whose_listener_raised_are_applied_by_a_later_try(watched: WatchedSettings, is_polled: bool) -> None:
    """Guards against settings that count as applied although a part of the process did not get them."""
    write(watched.path, EXAMPLE_SETTINGS.replace("127.0.0.1:8146", "127.0.0.9:8146"))
    watched.is_faulty = True
    for _ in range(2):
        watched.watch.poll()
        assert not watched.received
    watched.is_faulty = False
    for _ in range(2):
        watched.watch.poll() if is_polled else watched.watch.reload()
    assert [settings.seeds for settings in watched.received] == [(Address("127.0.0.9", 8146),)]


def test_invalid_file_keeps_the_settings_and_a_later_valid_file_is_applied(watched: WatchedSettings) -> None:
    """Guards against invalid settings that reach the listener, and against a watch that stops after an invalid file."""
    write(watched.path, EXAMPLE_SETTINGS.replace('zone = "z1"', ""))
    outcome = watched.watch.reload()
    assert isinstance(outcome, Failure)
    assert outcome.code is ResultCode.SETTINGS_INVALID
    watched.path.unlink()
    watched.watch.poll()
    assert not watched.received
    write(watched.path, EXAMPLE_SETTINGS.replace("z1", "z2"))
    watched.watch.poll()
    assert [settings.zone for settings in watched.received] == ["z2"]


def test_sighup_reloads_the_settings_and_sigterm_ends_the_wait(watched: WatchedSettings) -> None:
    async def run_signals() -> None:
        signals = ProcessSignals.install(watched.watch)
        write(watched.path, EXAMPLE_SETTINGS.replace("z1", "z3"))
        os.kill(os.getpid(), signal.SIGHUP)
        await watched.changed.wait()
        assert not signals.is_terminating
        os.kill(os.getpid(), signal.SIGTERM)
        await signals.wait_for_termination()
        assert signals.is_terminating
        signals.close()

    asyncio.run(asyncio.wait_for(run_signals(), DEADLINE_S))
    assert [settings.zone for settings in watched.received] == ["z3"]


def test_changed_file_is_reloaded_without_a_signal(watched: WatchedSettings, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a change of the settings file that is ignored because no SIGHUP was sent."""
    monkeypatch.setattr("canvasbeam.runtime.signals.POLL_INTERVAL_S", 0.001)

    async def run_signals() -> None:
        signals = ProcessSignals.install(watched.watch)
        write(watched.path, EXAMPLE_SETTINGS.replace("z1", "z4"))
        await watched.changed.wait()
        signals.close()

    asyncio.run(asyncio.wait_for(run_signals(), DEADLINE_S))
    assert [settings.zone for settings in watched.received] == ["z4"]
