"""The file operations that the store needs, behind an interface that tests implement by a model disk."""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """Named files in one directory. Every operation may raise `OSError`."""

    def read(self, name: str) -> bytes | None:
        """Return the complete content of a file, or None if the file does not exist."""
        ...

    def create(self, name: str) -> None:
        """Create an empty file if the file does not exist."""
        ...

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write `data` at `offset` of an existing file, extending the file if needed; durable only after `sync`."""
        ...

    def sync(self, name: str) -> None:
        """Make all earlier writes to the file durable."""
        ...

    def sync_folder(self) -> None:
        """Make the directory entries of all files durable."""
        ...


class FolderDisk:
    """The files of a directory in the file system."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def read(self, name: str) -> bytes | None:
        """Return the complete content of a file, or None if the file does not exist."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def create(self, name: str) -> None:
        """Create an empty file, and its directory, if they do not exist."""
        self._folder.mkdir(parents=True, exist_ok=True)
        os.close(os.open(self._folder / name, os.O_RDWR | os.O_CREAT, 0o600))

    def write(self, name: str, offset: int, data: bytes) -> None:
        """Write `data` at `offset` of an existing file, extending the file if needed; durable only after `sync`."""
        with _open_file(self._folder / name, os.O_RDWR) as descriptor:
            os.lseek(descriptor, offset, os.SEEK_SET)
            _write_all(descriptor, data)

    def sync(self, name: str) -> None:
        """Make all earlier writes to the file durable."""
        with _open_file(self._folder / name, os.O_RDWR) as descriptor:
            os.fsync(descriptor)

    def sync_folder(self) -> None:
        """Make the directory entries of all files durable."""
        with _open_file(self._folder, os.O_RDONLY) as descriptor:
            os.fsync(descriptor)


@contextmanager
def _open_file(path: Path, flags: int) -> Iterator[int]:
    descriptor = os.open(path, flags)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        written = os.write(descriptor, view)
        view = view[written:]
