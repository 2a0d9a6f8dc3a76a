"""Reads one response of a worker as it comes, within the limits on its size.

It owns the parser (httptools) and what was received of the response. It must never take a second response, or what an
interim one said, for the response itself.

Two other readers of responses stand in the code. The data plane has httpcore read a worker's response
(`canvasbeam/data_plane/worker_connections.py`), on asyncio and as a stream of events; this one is fed by the
scheduler's own loop, which must see a second response behind the first and a connection's end to know whether a request
was executed. The simulator's clients (`canvasbeam/simulator/wire.py`) read what the scheduler answers: a complete body,
without limits on hostile peers.
"""

from __future__ import annotations

import contextlib
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import httptools

from canvasbeam.scheduler.limits import Limits
from canvasbeam.scheduler.load_report import read_report

FIRST_FINAL_STATUS = 200  # a response with a lower status is an interim one (RFC 9110, 15.2)


class WorkerResponseReader:
    """The response to one attempt or health check."""

    def __init__(self, limits: Limits, report_names: Mapping[str, str]) -> None:
        self._limits = limits
        self._report_names = report_names
        self._parser: Any = httptools.HttpResponseParser(self)  # httptools has no types
        self.is_head_complete = False
        self.is_health_check = False
        self.status = 0
        self.is_stream = False  # JSON lines, the last of which says how the request ended
        self.head_size = 0
        self.is_complete = False
        self.keep_alive = False
        self.has_second = False  # a second response came behind the first
        self.is_malformed = False
        self.is_rejection = False
        self.report: dict[str, float] | None = None
        self.body = bytearray()

    def feed(self, data: bytes) -> None:
        """Parse what has come; what cannot be parsed makes the response a malformed one."""
        if not self.is_head_complete:
            self.head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_malformed = True

    def next_line(self) -> bytes | None:
        """Return the next JSON line, None until it is complete; it may come split anywhere, across chunks as well."""
        while not self.is_malformed:
            end = self.body.find(b"\n")
            if end >= 0:
                line = bytes(self.body[:end])
                del self.body[: end + 1]
            elif self.is_complete and self.body:
                line = bytes(self.body)
                self.body.clear()
            else:
                return None
            if line.strip():
                return line
        return None

    def check_size(self) -> None:
        """Mark the response as malformed where its head or a line is too long."""
        if len(self.body) > self._limits.line:
            self.is_malformed = True
        if not self.is_head_complete and self.head_size > self._limits.head:
            self.is_malformed = True

    def end(self) -> None:
        """Note the connection's end: a response that is framed by it (RFC 9112, 6.3) is complete now."""
        with contextlib.suppress(httptools.HttpParserError):
            self._parser.feed_data(b"")

    # --- callbacks of the parser ------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Note that a response begins, from the parser.

        Guards what the first one said: a second right behind it would be read in its place.
        """
        self.has_second = self.is_complete
        self.is_rejection = (
            self.is_rejection and self.has_second
        )  # what an interim response said is not of the final one

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read one header, from the parser."""
        if self.has_second:
            return
        name = name.lower()
        if name == b"x-rejected":
            self.is_rejection = value.strip() == b"1"
        elif name == b"x-load-report":
            self.report = read_report(value.decode("latin-1"), self._report_names)

    def on_headers_complete(self) -> None:
        """Read the status at the end of the head, from the parser."""
        if self.has_second:
            return
        self.status = self._parser.get_status_code()
        self.is_head_complete = self.status >= FIRST_FINAL_STATUS
        self.is_stream = self.status == HTTPStatus.OK and not self.is_health_check

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body, from the parser."""
        if not self.has_second:
            self.body += data

    def on_message_complete(self) -> None:
        """Note the end of a response, from the parser; an interim one is none."""
        self.is_complete = self.status >= FIRST_FINAL_STATUS
        # Asked here: once the parser has left this callback it answers no, and nothing would be reused.
        self.keep_alive = self._parser.should_keep_alive()
