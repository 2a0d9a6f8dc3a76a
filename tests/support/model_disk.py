"""A disk in memory that loses power: unsynced writes are then kept, lost or torn, each by generator."""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field


class PowerLostError(Exception):
    """The power went at this operation."""


@dataclass
class _File:
    durable: bytes = b""
    exists_durably: bool = False
    writes: list[tuple[int, bytes]] = field(default_factory=list)  # since the last sync

    def content(self) -> bytes:
        data = self.durable
        for offset, written in self.writes:
            data = _overwritten(data, offset, written)
        return data


class ModelDisk:
    """The `Disk` of the store, with faults to order."""

    def __init__(self, files: dict[str, bytes] | None = None) -> None:
        self._files = {name: _File(data, True) for name, data in (files or {}).items()}
        self.operations = 0
        self.lose_power_at: int | None = None
        self.is_full = False
        self.ignore_syncs = False  # a planted fault: a sync that does nothing

    def read(self, name: str) -> bytes | None:
        file = self._files.get(name)
        return None if file is None else file.content()

    def create(self, name: str) -> None:
        self._step()
        if name not in self._files:
            self._refuse_when_full()
            self._files[name] = _File()

    def write(self, name: str, offset: int, data: bytes) -> None:
        self._refuse_when_full()
        self._files[name].writes.append((offset, data))
        self._step()

    def sync(self, name: str) -> None:
        self._step()
        if self.ignore_syncs:
            return
        file = self._files[name]
        file.durable = file.content()
        file.exists_durably = True
        file.writes.clear()

    def sync_folder(self) -> None:
        self._step()
        for file in self._files.values():
            file.exists_durably = True

    def after_kill(self) -> ModelDisk:
        """The process died: the files are as it left them, and as little is durable as before."""
        disk = ModelDisk()
        disk._files = {
            name: _File(file.durable, file.exists_durably, list(file.writes)) for name, file in self._files.items()
        }
        return disk

    def after_power_loss(self, generator: random.Random) -> ModelDisk:
        """What is left: each unsynced write whole, torn or gone, independently of the others."""
        files: dict[str, bytes] = {}
        lose_all = generator.random() < 0.2
        for name, file in self._files.items():
            if not file.exists_durably and (lose_all or generator.random() < 0.5):
                continue
            data = file.durable
            for offset, written in file.writes:
                if not lose_all:
                    data = _overwritten(data, *_torn(offset, written, generator))
            files[name] = data
        return ModelDisk(files)

    def flip(self, name: str, position: int) -> ModelDisk:
        """A copy with one damaged byte."""
        files = {name: file.content() for name, file in self._files.items()}
        data = bytearray(files[name])
        data[position] ^= 0x55
        files[name] = bytes(data)
        return ModelDisk(files)

    def size(self, name: str) -> int:
        return len(self._files[name].content())

    def _step(self) -> None:
        self.operations += 1
        if self.lose_power_at is not None and self.operations >= self.lose_power_at:
            raise PowerLostError

    def _refuse_when_full(self) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "the model disk is full")


def _overwritten(data: bytes, offset: int, written: bytes) -> bytes:
    padded = data.ljust(offset, b"\0")
    return padded[:offset] + written + padded[offset + len(written) :]


def _torn(offset: int, written: bytes, generator: random.Random) -> tuple[int, bytes]:
    fate = generator.random()
    if fate < 0.3:
        return offset, b""
    if fate < 0.5:
        return offset, written[: generator.randrange(len(written) + 1)]
    if fate < 0.7:
        start = generator.randrange(len(written) + 1)
        return offset + start, written[start:]
    return offset, written
