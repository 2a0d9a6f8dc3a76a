"""Split the bytes of a `text/event-stream` answer into events, and read the id of each event.

The format is server-sent events (WHATWG HTML, 9.2.5 and 9.2.6). The bytes of an event are forwarded unchanged; `id` is
the only field that is parsed.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
_MAX_END_BYTES = 4
MAX_EVENT_BYTES = 1 << 20


class EventTooLargeError(Exception):
    """An event is longer than `MAX_EVENT_BYTES`."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """The bytes of one event as received, including the final blank line, and the event's id if any."""

    data: bytes
    event_id: bytes | None = None


class EventSplitter:
    """Buffers the bytes of a stream until an event is complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched_bytes = 0

    @property
    def partial(self) -> bytes:
        """The bytes received of an incomplete event; empty between events."""
        return bytes(self._buffer)

    @property
    def partial_bytes(self) -> int:
        """Number of bytes received of an incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append bytes and return the completed events; raise `EventTooLargeError` if an event is too long."""
        self._buffer += data
        events = []
        while (end := _EVENT_END.search(self._buffer, max(0, self._searched_bytes - _MAX_END_BYTES))) is not None:
            events.append(_read_event(bytes(self._buffer[: end.end()])))
            del self._buffer[: end.end()]
            self._searched_bytes = 0
        self._searched_bytes = len(self._buffer)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError
        return events


def _read_event(data: bytes) -> StreamEvent:
    found = _ID_LINE.search(data)
    return StreamEvent(data, found.group(1).strip() if found else None)


def is_after(event_id: bytes, earlier: bytes) -> bool:
    """Return True if `event_id` is a higher number than `earlier`; ids that are not numbers only need to differ."""
    if event_id.isdigit() and earlier.isdigit():
        return int(event_id) > int(earlier)
    return event_id != earlier
