"""The store on a disk that loses power at any operation, is full, or is damaged."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.storage import store as store_module
from canvasbeam.storage.disk import FolderDisk
from canvasbeam.storage.frames import LOG_MAGIC, Updates, decode_frame
from canvasbeam.storage.store import LOG_FILE, MAX_LOG_RECORDS, SLOT_FILES, Store, open_store
from tests.support.model_disk import ModelDisk, PowerLostError

OUTCOMES_PER_STEP = 6
Values = dict[str, bytes]


def opened(disk: ModelDisk | FolderDisk) -> Store:
    store = open_store(disk)
    assert isinstance(store, Store), store
    return store


def sample_updates(length: int) -> list[Updates]:
    """Return updates of several names, with values of several sizes and with removals."""
    steps: list[Updates] = []
    for number in range(length):
        value = bytes([number % 251]) * (1 + 37 * number % 300)
        steps.append({f"name-{number % 5}": value, f"name-{(number + 2) % 5}": None if number % 3 == 0 else b"x"})
    return steps


def applied(values: Values, updates: Updates) -> Values:
    result = dict(values)
    for name, value in updates.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = value
    return result


def run_until_power_loss(disk: ModelDisk, steps: list[Updates], before: Values | None = None) -> tuple[Values, Values]:
    """Return the acknowledged values, and the values with the last attempted update, which may be stored as well."""
    acknowledged: Values = before or {}
    attempted = acknowledged
    try:
        store = opened(disk)
        acknowledged = attempted = dict(store.values)
        for updates in steps:
            attempted = applied(acknowledged, updates)
            assert store.update(updates) is None
            acknowledged = attempted
    except PowerLostError:
        pass
    return acknowledged, attempted


@pytest.fixture
def short_log(monkeypatch: pytest.MonkeyPatch) -> None:
    """Limit the log to four records, so that the store switches slots every few updates."""
    monkeypatch.setattr(store_module, "MAX_LOG_RECORDS", 4)


def test_empty_disk_has_no_values() -> None:
    assert dict(opened(ModelDisk()).values) == {}


def test_values_survive_on_a_real_folder(tmp_path: Path) -> None:
    store = opened(FolderDisk(tmp_path / "new"))
    expected: Values = {}
    for updates in sample_updates(3 * MAX_LOG_RECORDS):
        assert store.update(updates) is None
        expected = applied(expected, updates)
    assert dict(opened(FolderDisk(tmp_path / "new")).values) == expected
    assert store.generation == 3  # each slot takes one update, and 63 more follow the header in the log


@pytest.mark.usefixtures("short_log")
def test_power_loss_at_every_step_keeps_what_was_acknowledged() -> None:
    steps = sample_updates(11)
    undisturbed = ModelDisk()
    run_until_power_loss(undisturbed, steps)
    for step in range(1, undisturbed.operations + 1):
        disk = ModelDisk()
        disk.lose_power_at = step
        acknowledged, attempted = run_until_power_loss(disk, steps)
        for outcome in range(OUTCOMES_PER_STEP):
            left = disk.after_power_loss(random.Random(f"{step}/{outcome}"))
            assert dict(opened(left).values) in (acknowledged, attempted)


@pytest.mark.usefixtures("short_log")
def test_repeated_power_loss_keeps_acknowledged_values() -> None:
    for seed in range(150):
        generator = random.Random(seed)
        disk = ModelDisk()
        for _ in range(6):
            before = dict(opened(disk).values)
            disk.lose_power_at = disk.operations + generator.randrange(1, 40)
            acknowledged, attempted = run_until_power_loss(disk, sample_updates(generator.randrange(1, 12)), before)
            disk = disk.after_power_loss(generator) if generator.random() < 0.7 else disk.after_kill()
            assert dict(opened(disk.after_kill()).values) in (acknowledged, attempted)


@pytest.mark.usefixtures("short_log")
def test_unsynced_writes_of_a_killed_process_are_synced_before_they_are_read() -> None:
    disk = ModelDisk()
    acknowledged, attempted = run_until_power_loss(disk, sample_updates(2))
    disk.lose_power_at = disk.operations + 1
    with pytest.raises(PowerLostError):
        opened_again = opened_without_steps(disk)
        opened_again.update({"late": b"1"})
    killed = disk.after_kill()
    seen = dict(opened(killed).values)
    for outcome in range(20):
        assert dict(opened(killed.after_power_loss(random.Random(outcome))).values) == seen
    assert "late" in seen or seen in (acknowledged, attempted)


def opened_without_steps(disk: ModelDisk) -> Store:
    """Open the store without counting its disk operations towards the planned power loss."""
    at, disk.lose_power_at = disk.lose_power_at, None
    before = disk.operations
    store = opened(disk)
    disk.operations = before
    disk.lose_power_at = at
    return store


@pytest.mark.usefixtures("short_log")
def test_a_full_disk_is_reported_and_loses_nothing() -> None:
    for seed in range(60):
        generator = random.Random(seed)
        disk = ModelDisk()
        store = opened(disk)
        acknowledged: Values = {}
        for updates in sample_updates(20):
            disk.is_full = generator.random() < 0.4
            wanted = applied(dict(store.values), updates)
            failure = store.update(updates)
            if failure is None:
                acknowledged = wanted
            else:
                assert failure.code is ResultCode.DISK_FULL
        disk.is_full = False
        if failure is None:
            left = disk.after_power_loss(generator)
            assert dict(opened(left).values) == acknowledged


def test_disk_that_cannot_be_opened_does_not_count_as_empty() -> None:
    disk = ModelDisk()
    disk.is_full = True
    failure = open_store(disk)
    assert isinstance(failure, Failure)
    assert failure.code is ResultCode.DISK_FULL


@pytest.mark.usefixtures("short_log")
def test_damage_is_reported_or_harmless() -> None:
    """Flip every byte except in the last frame of the log, where damage looks like an append that never finished."""
    for length in (1, 4, 9, 13):
        disk = ModelDisk()
        acknowledged, _ = run_until_power_loss(disk, sample_updates(length))
        last = last_frame_offset(disk)
        for name in (*SLOT_FILES, LOG_FILE):
            for position in range(disk.size(name)):
                if name == LOG_FILE and position >= last:
                    break
                found = open_store(disk.flip(name, position))
                assert isinstance(found, Failure) or dict(found.values) == acknowledged
                if isinstance(found, Failure):
                    assert found.code is ResultCode.DISK_CORRUPT


def last_frame_offset(disk: ModelDisk) -> int:
    data = disk.read(LOG_FILE) or b""
    offset = last = 0
    generation = None
    while (frame := decode_frame(LOG_MAGIC, data, offset)) is not None:
        if generation not in (None, frame.generation):
            break
        generation = frame.generation
        last = offset
        offset += frame.size
    return last


@pytest.mark.usefixtures("short_log")
def test_missing_sync_is_detected() -> None:
    """Planted fault: without syncs, at least one power loss must lose an acknowledged update."""
    lost = 0
    for seed in range(30):
        disk = ModelDisk()
        disk.ignore_syncs = True
        acknowledged, _ = run_until_power_loss(disk, sample_updates(7))
        found = open_store(disk.after_power_loss(random.Random(seed)))
        lost += isinstance(found, Failure) or dict(found.values) != acknowledged
    assert lost > 0
