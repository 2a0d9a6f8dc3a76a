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
from tests.runtime.test_logs import EXAMPLE

DEADLINE_S = 10.0


def write(path: Path, text: str) -> None:
    """Replace the file by renaming a new file over it, as many editors do."""
    other = path.with_suffix(".new")
    other.write_text(text)
    other.replace(path)


class Watched:
    """A settings file, its `SettingsWatch`, and the settings that the listener received."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "local.toml"
        self.path.write_text(EXAMPLE)
        loaded = load_settings(self.path)
        assert isinstance(loaded, ProcessSettings)
        self.heard: list[ProcessSettings] = []
        self.changed = asyncio.Event()
        self.watch = SettingsWatch(self.path, loaded, self._listen)

    def _listen(self, settings: ProcessSettings) -> None:
        self.heard.append(settings)
        self.changed.set()


@pytest.fixture
def watched(tmp_path: Path) -> Watched:
    return Watched(tmp_path)


def test_a_changed_file_is_heard_once(watched: Watched) -> None:
    watched.watch.poll()
    assert not watched.heard
    write(watched.path, EXAMPLE.replace("127.0.0.1:8146", "127.0.0.9:8146"))
    watched.watch.poll()
    watched.watch.poll()
    assert [peer.seeds for peer in watched.heard] == [(Address("127.0.0.9", 8146),)]


def test_a_file_written_again_with_the_same_settings_is_not_heard(watched: Watched) -> None:
    write(watched.path, EXAMPLE + "# a remark\n")
    watched.watch.poll()
    assert not watched.heard


def test_a_bad_file_keeps_the_former_settings_and_a_good_one_is_taken_after_it(watched: Watched) -> None:
    """Guards against invalid settings that reach the listener, and against a watch that stops after an invalid file."""
    write(watched.path, EXAMPLE.replace('zone = "z1"', ""))
    outcome = watched.watch.reload()
    assert isinstance(outcome, Failure)
    assert outcome.code is ResultCode.SETTINGS_INVALID
    watched.path.unlink()
    watched.watch.poll()
    assert not watched.heard
    write(watched.path, EXAMPLE.replace("z1", "z2"))
    watched.watch.poll()
    assert [peer.zone for peer in watched.heard] == ["z2"]


def test_hangup_reads_the_settings_and_sigterm_ends_the_wait_once(watched: Watched) -> None:
    async def scene() -> None:
        signals = ProcessSignals.install(watched.watch)
        write(watched.path, EXAMPLE.replace("z1", "z3"))
        os.kill(os.getpid(), signal.SIGHUP)
        await watched.changed.wait()
        assert not signals.is_terminating
        os.kill(os.getpid(), signal.SIGTERM)
        await signals.wait_for_termination()
        assert signals.is_terminating
        signals.close()

    asyncio.run(asyncio.wait_for(scene(), DEADLINE_S))
    assert [peer.zone for peer in watched.heard] == ["z3"]


def test_the_file_is_polled_without_a_signal(watched: Watched, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a change of the settings file that is ignored because no SIGHUP was sent."""
    monkeypatch.setattr("canvasbeam.runtime.signals.POLL_INTERVAL_S", 0.001)

    async def scene() -> None:
        signals = ProcessSignals.install(watched.watch)
        write(watched.path, EXAMPLE.replace("z1", "z4"))
        await watched.changed.wait()
        signals.close()

    asyncio.run(asyncio.wait_for(scene(), DEADLINE_S))
    assert [peer.zone for peer in watched.heard] == ["z4"]
