"""Log of the control-plane and data-plane processes: one line per record on standard error, rate-limited by call site.

The format of a line is `time LEVEL node epoch=N channel: message [request=ID] [suppressed=COUNT]`. Each call site may
write `BURST` records in a window of `WINDOW_S` seconds; further records are suppressed and counted. The next line of
the same call site reports the count; if there is none by the end of the window, a separate line reports the count.
logbook replaces each `{}` in a message with an argument.

    log = get_logger(__name__)
    log.warning("worker {} closed the connection", worker_id, extra={"request_id": request_id})
"""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from types import CodeType
from typing import Any, TextIO

import logbook

from canvasbeam.runtime.settings import ProcessSettings

BURST = 20
WINDOW_S = 10.0
MAX_MESSAGE_CHARACTERS = 2000
PACKAGE_PREFIX = "canvasbeam."
SUPPRESSED_MESSAGE = "{} records of {}:{} were suppressed"

EpochSource = Callable[[], int]
Clock = Callable[[], float]
CallSite = tuple[CodeType | None, int]


@dataclass(slots=True)
class _SiteWindow:
    """Numbers of records of a call site: written since `started_at`, and suppressed but not yet reported."""

    started_at: float
    written: int = 0
    suppressed: int = 0


class RateLimit:
    """Limits the records of each call site to `burst` in each fixed window of `window_s` seconds."""

    def __init__(self, clock: Clock, burst: int = BURST, window_s: float = WINDOW_S) -> None:
        self._clock = clock
        self._burst = burst
        self._window_s = window_s
        self._sites: dict[CallSite, _SiteWindow] = {}
        self._next_sweep_at = clock() + window_s

    def admit(self, site: CallSite) -> bool:
        """Return True if the call site may write another record now; otherwise count the record as suppressed."""
        now = self._clock()
        window = self._sites.get(site)
        if window is None:
            window = self._sites[site] = _SiteWindow(now)
        elif now - window.started_at >= self._window_s:
            window.started_at = now
            window.written = 0
        if window.written >= self._burst:
            window.suppressed += 1
            return False
        window.written += 1
        return True

    def pop_suppressed(self, site: CallSite) -> int:
        """Return the number of suppressed records of a call site, and reset the number to 0."""
        window = self._sites[site]
        suppressed, window.suppressed = window.suppressed, 0
        return suppressed

    def pop_finished_windows(self, *, all_windows: bool = False) -> list[tuple[CallSite, int]]:
        """Return the call sites with suppressed records in a finished window, and reset the numbers of these records.

        Each item is a call site and its number of suppressed records. With `all_windows`, include unfinished windows;
        otherwise, scan the call sites at most once every `window_s` seconds and return an empty list in between.
        """
        now = self._clock()
        if now < self._next_sweep_at and not all_windows:
            return []
        self._next_sweep_at = now + self._window_s
        finished = [
            site
            for site, window in self._sites.items()
            if window.suppressed and (all_windows or now - window.started_at >= self._window_s)
        ]
        return [(site, self.pop_suppressed(site)) for site in finished]


class LineHandler(logbook.Handler):  # type: ignore[misc]  # logbook has no type hints
    """Writes each record that the rate limit admits as one line."""

    def __init__(
        self, node: str, stream: TextIO, *, level: int = logbook.INFO, clock: Clock = time.monotonic, burst: int = BURST
    ) -> None:
        super().__init__(level=level)
        self.epoch: EpochSource = int
        self._node = node
        self._stream = stream
        self._limit = RateLimit(clock, burst)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write the record, or count the record as suppressed if its call site exceeds the rate limit."""
        frame = record.calling_frame
        site: CallSite = (None, 0) if frame is None else (frame.f_code, frame.f_lineno)
        if not self._limit.admit(site):
            return
        self.report_suppressed()
        suppressed = self._limit.pop_suppressed(site)
        message = _one_line(_message_of(record))
        request_id = record.extra.get("request_id")
        if request_id:
            message = f"{message} request={_one_line(str(request_id))}"
        if suppressed:
            message = f"{message} suppressed={suppressed}"
        self._write(record.level_name, record.channel or "", message)

    def report_suppressed(self, *, all_windows: bool = False) -> None:
        """Log the number of suppressed records of each call site that wrote nothing after the end of its window."""
        for (code, line), count in self._limit.pop_finished_windows(all_windows=all_windows):
            file = "unknown" if code is None else code.co_filename.rpartition("/")[2]
            self._write("WARNING", __name__, SUPPRESSED_MESSAGE.format(count, file, line))

    def close(self) -> None:
        """Log all numbers of suppressed records that were not reported yet."""
        self.report_suppressed(all_windows=True)

    def _write(self, level: str, channel: str, message: str) -> None:
        now = time.time()
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(now))
        short = channel.removeprefix(PACKAGE_PREFIX)
        line = f"{stamp}.{int(now * 1000) % 1000:03d}Z {level} {self._node} epoch={self.epoch()} {short}: {message}\n"
        try:
            self._stream.write(line)
            self._stream.flush()
        except (OSError, ValueError):
            # The stream is closed or broken; the program must continue without its log.
            return


def _message_of(record: logbook.LogRecord) -> str:
    message = str(record.message)
    if record.exc_info is None:
        return message
    return f"{message}\n{record.formatted_exception}"


def _one_line(text: str) -> str:
    """Escape control characters and truncate long text, so that a record is one line for any quoted input.

    The middle is left out, because the last line of a traceback names the exception and the place that raised it.
    """
    if len(text) > MAX_MESSAGE_CHARACTERS:
        half = MAX_MESSAGE_CHARACTERS // 2
        text = f"{text[:half]}... ({len(text)} characters) ...{text[-half:]}"
    if text.isprintable():
        return text
    return "".join(character if character.isprintable() else repr(character)[1:-1] for character in text)


class _StandardLibraryHandler(logging.Handler):
    """Forwards records of the standard library's `logging`, which libraries use, to the log of the process."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record of `logging` to the log of the process."""
        exception: Any = record.exc_info  # logbook has no type hints
        get_logger(record.name).log(
            logbook.WARNING if record.levelno < logging.ERROR else logbook.ERROR, "{}", record.getMessage(),
            exc_info=exception,
        )  # fmt: skip


_group = logbook.LoggerGroup(level=logbook.INFO)
_handler: LineHandler | None = None
_standard_library = _StandardLibraryHandler(logging.WARNING)


def get_logger(name: str) -> logbook.Logger:
    """Return the logger of the module `name`; may be called before `configure`."""
    logger = logbook.Logger(name)
    _group.add_logger(logger)
    return logger


def log_exceptions(logger: logbook.Logger, message: str, exceptions: Iterable[Exception]) -> None:
    """Log an error record with `message` and the traceback for each exception."""
    for exception in exceptions:
        logger.error(message, exc_info=(type(exception), exception, exception.__traceback__))


def configure(settings: ProcessSettings, *, epoch: EpochSource | None = None, stream: TextIO | None = None) -> None:
    """Write the log of the process to `stream` (default: standard error) at the log level of the settings."""
    global _handler  # noqa: PLW0603
    shut_down()
    _handler = LineHandler(settings.node, stream or sys.stderr, level=logbook.lookup_level(settings.log_level.upper()))
    _group.level = _handler.level
    _handler.push_application()
    if epoch is not None:
        _handler.epoch = epoch
    logging.getLogger().addHandler(_standard_library)


def set_epoch(epoch: EpochSource) -> None:
    """Set the function that returns the epoch for each further record; no effect before `configure`."""
    if _handler is not None:
        _handler.epoch = epoch


def shut_down() -> None:
    """Log the numbers of suppressed records, and stop writing to the stream of `configure`."""
    global _handler  # noqa: PLW0603
    if _handler is None:
        return
    _handler.close()
    _handler.pop_application()
    logging.getLogger().removeHandler(_standard_library)
    _handler = None
