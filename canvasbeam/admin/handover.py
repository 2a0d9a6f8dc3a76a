"""Small file in which the old and the new process of an upgrade share the set of workers in maintenance mode.

The module owns that file in `$TMPDIR`, which is named after the clients' address so that schedulers on different
addresses use different files. Each write goes to a temporary file that is then renamed over the shared one, so a reader
sees either the old set or the new one, never a partial file. The file must never hold anything but that set, and the
module must never block on more than one small file. A file that cannot be read or written must never stop the
scheduler: the error is logged, and the set in memory stays in effect.

During an upgrade two versions of the program use the file, so the suffix (`hands`) and the keys (`version`, and `out`
for the workers in maintenance mode) stay as in earlier versions; only this module uses these names.
"""

from __future__ import annotations

import json
import logging
import os
from pathlib import Path
from typing import NamedTuple

log = logging.getLogger(__name__)

FORMAT_VERSION = 1
MAX_FILE_BYTES = 1024 * 1024  # bounds memory use if the path holds a file that the scheduler did not write


class FileStamp(NamedTuple):
    """Metadata of the file (from `stat`) that shows a change of its content without reading the file."""

    inode: int
    modified_ns: int
    size_bytes: int


def handover_path(directory: Path, address: tuple[str, int]) -> Path:
    """Return the path of the shared file for the scheduler that serves clients on this address."""
    host = address[0].replace(":", "_")
    return directory / f"canvasbeam-{host}-{address[1]}.hands.json"


class Handover:
    """Reads and writes the shared file; polls it with `stat` and reads it only when its stamp has changed.

    The object owns the file's path and the stamp of the content that this process last read or wrote.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self._stamp: FileStamp | None = None

    def read_if_changed(self) -> frozenset[str] | None:
        """Return the workers in the file if it is new, or has changed since this process last read or wrote it.

        Return None if the file is unchanged, absent, too large or unreadable; the last two cases are logged.
        """
        stamp = self._read_stamp()
        if stamp is None or stamp == self._stamp:
            return None
        self._stamp = stamp
        if stamp.size_bytes > MAX_FILE_BYTES:
            log.warning(
                "file of workers in maintenance mode ignored: path=%s has %d bytes, limit %d",
                self.path, stamp.size_bytes, MAX_FILE_BYTES,
            )  # fmt: skip
            return None
        try:
            return _parse(self.path.read_text(encoding="utf-8"))
        except (OSError, ValueError, TypeError, KeyError) as error:
            log.warning("file of workers in maintenance mode cannot be read: path=%s: %s", self.path, error)
            return None

    def write(self, workers: frozenset[str]) -> None:
        """Replace the file atomically by one with this set; on failure, log the error and keep the old file."""
        new_file = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            new_file.write_text(json.dumps({"version": FORMAT_VERSION, "out": sorted(workers)}), encoding="utf-8")
            new_file.replace(self.path)  # the rename is atomic because both paths are in one directory
        except OSError as error:
            log.warning("file of workers in maintenance mode cannot be written: path=%s: %s", self.path, error)
            return
        self._stamp = self._read_stamp()

    def _read_stamp(self) -> FileStamp | None:
        """Return the current stamp of the file, or None if `stat` fails, for example because the file is absent."""
        try:
            stat = self.path.stat()
        except OSError:
            return None
        return FileStamp(stat.st_ino, stat.st_mtime_ns, stat.st_size)


def _parse(text: str) -> frozenset[str]:
    """Return the workers listed in the file's text; raise ValueError, TypeError or KeyError on an invalid format."""
    fields = json.loads(text)
    workers = fields["out"]
    if fields.get("version") != FORMAT_VERSION or not all(isinstance(worker, str) for worker in workers):
        raise ValueError(f"expected worker names in format version {FORMAT_VERSION}")
    return frozenset(workers)
