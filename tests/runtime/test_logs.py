"""The log of a process: the format of lines, and the rate limit of each call site."""

from __future__ import annotations

import io
import logging
from collections.abc import Iterator
from pathlib import Path

import pytest

from canvasbeam.runtime import logs
from canvasbeam.runtime.settings import ProcessSettings, load_settings

EXAMPLE_SETTINGS = """
node = "core-1"
role = "control-plane"
class = "core"
serves = ["control"]
ip = "127.0.0.1"
zone = "z1"
region = "r1"
port_range = [7660, 7675]
seeds = ["127.0.0.1:8146"]
"""


class Clock:
    """A clock that changes only when a test sets `now`."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def settings(tmp_path: Path) -> ProcessSettings:
    path = tmp_path / "local.toml"
    path.write_text(EXAMPLE_SETTINGS)
    loaded = load_settings(path)
    assert isinstance(loaded, ProcessSettings)
    return loaded


@pytest.fixture
def stream(settings: ProcessSettings) -> Iterator[io.StringIO]:
    stream = io.StringIO()
    logs.configure(settings, epoch=lambda: 7, stream=stream)
    yield stream
    logs.shut_down()


def lines(stream: io.StringIO) -> list[str]:
    return stream.getvalue().splitlines()


def test_line_contains_time_level_node_epoch_channel_and_request_id(stream: io.StringIO) -> None:
    logger = logs.get_logger("canvasbeam.data_plane.ingress")
    logger.warning("worker {} closed", "i-1", extra={"request_id": "9c41"})
    logger.info("ready")
    logger.debug("a record below the level INFO")
    first, second = lines(stream)
    stamp, level, rest = first.split(" ", 2)
    assert stamp.endswith("Z")
    assert len(stamp) == len("2026-12-02T05:00:00.000Z")
    assert level == "WARNING"
    assert rest == "core-1 epoch=7 data_plane.ingress: worker i-1 closed request=9c41"
    assert second.endswith("INFO core-1 epoch=7 data_plane.ingress: ready")


def test_set_epoch_changes_the_epoch_of_further_records(stream: io.StringIO) -> None:
    logs.set_epoch(lambda: 8)
    logs.get_logger("x").info("a record after set_epoch")
    assert " epoch=8 " in lines(stream)[0]


def test_record_with_control_characters_or_long_text_is_one_short_line(stream: io.StringIO) -> None:
    """Guards against forged or oversized log lines: a client may send control characters or very long values."""
    logger = logs.get_logger("x")
    logger.info("from a client: {}", "a\nWARNING forged\x1b[0m")
    logger.info("long {}", "y" * 10_000)
    try:
        raise ValueError("broken")
    except ValueError:
        logger.exception("an exception")
    written = lines(stream)
    assert len(written) == 3
    assert r"a\nWARNING forged\x1b[0m" in written[0]
    assert len(written[1]) < logs.MAX_MESSAGE_CHARACTERS + 100
    assert "ValueError: broken" in written[2]


def test_long_traceback_keeps_the_exception_and_the_place_that_raised_it(stream: io.StringIO) -> None:
    """Guards against a log that cannot tell causes apart: a long traceback was cut before its last line."""

    def even(depth: int) -> None:
        if depth == 0:
            raise KeyError("retired")
        odd(depth - 1)

    def odd(depth: int) -> None:
        even(depth - 1)  # two functions, because a traceback shows equal consecutive calls only once

    try:
        even(20)
    except KeyError:
        logs.get_logger("x").exception("listener failed")
    (written,) = lines(stream)
    assert "listener failed" in written
    assert 'raise KeyError("retired")' in written
    assert written.endswith("KeyError: 'retired'")
    assert len(written) < 2 * logs.MAX_MESSAGE_CHARACTERS


def test_records_over_the_rate_limit_of_a_call_site_are_suppressed_and_counted() -> None:
    """Guards against a call site that floods the log in a loop or suppresses the records of other call sites."""
    clock, stream = Clock(), io.StringIO()
    handler = logs.LineHandler("n", stream, clock=clock, burst=3)
    logger, other = logs.get_logger("storm"), logs.get_logger("other")

    def write_records(count: int) -> None:
        for number in range(count):
            logger.warning("refused {}", number)

    with handler.applicationbound():
        write_records(10)
        other.info("another place is not held up")
        assert [line.partition(": ")[2] for line in lines(stream)] == [
            "refused 0", "refused 1", "refused 2", "another place is not held up",
        ]  # fmt: skip
        clock.now += logs.WINDOW_S
        write_records(1)
        assert lines(stream)[-1].endswith("refused 0 suppressed=7")


def test_suppressed_count_of_a_silent_call_site_is_logged_with_the_next_record_and_at_close() -> None:
    """Guards against a lost count of suppressed records when the call site writes no further record."""
    clock, stream = Clock(), io.StringIO()
    handler = logs.LineHandler("n", stream, clock=clock, burst=1)
    logger = logs.get_logger("storm")
    with handler.applicationbound():
        for _ in range(5):
            logger.info("a repeated record")
        clock.now += logs.WINDOW_S
        logs.get_logger("other").info("later")
        assert "4 records of test_logs.py:" in lines(stream)[1]
        assert lines(stream)[2].endswith("later")
        for _ in range(3):
            logger.info("a record of a second call site")
        handler.close()
    assert "2 records of test_logs.py:" in lines(stream)[-1]


def test_records_of_standard_library_logging_are_forwarded(stream: io.StringIO) -> None:
    logging.getLogger("asyncio").error("task %s was lost", "t")
    logging.getLogger("asyncio").info("a record below the level WARNING")
    (line,) = lines(stream)
    assert line.endswith("ERROR core-1 epoch=7 asyncio: task t was lost")


def test_log_call_with_a_closed_stream_does_not_raise(settings: ProcessSettings) -> None:
    """Guards against an exception from a log call after the reader of standard error has gone."""
    stream = io.StringIO()
    logs.configure(settings, stream=stream)
    stream.close()
    logs.get_logger("x").info("a record for a closed stream")
    logs.shut_down()
