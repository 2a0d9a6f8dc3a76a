"""Forward a worker's event stream to the client, also when another worker resumes the stream.

The client receives the status and headers of the first worker only. `ClientRequest.last_event_id` is the id of the last
event sent to the client, so that no event with an id is sent twice; only this module changes that field. This module
does not choose workers.
"""

from __future__ import annotations

from collections.abc import Callable

from canvasbeam.data_plane.event_stream import StreamEvent, is_after
from canvasbeam.data_plane.headers import Headers
from canvasbeam.data_plane.requests import AnswerState, ClientRequest


class StreamForwarder:
    """Forwards the events of one exchange to the client, except events that an earlier exchange forwarded."""

    def __init__(
        self, request: ClientRequest, on_opened: Callable[[], None], on_forwarded: Callable[[ClientRequest, int], None]
    ) -> None:
        self._request = request
        self._on_opened = on_opened
        self._on_forwarded = on_forwarded

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the status and headers, unless this exchange resumes the stream of an earlier worker."""
        self._on_opened()
        if self._request.answer.state is AnswerState.WAITING:
            await self._request.answer.begin(status, headers)

    async def send_events(self, events: list[StreamEvent]) -> None:
        """Send the events that the client has not received yet."""
        new_events = [event for event in events if self._is_new(event)]
        if new_events:
            self._on_forwarded(self._request, len(new_events))
            await self._request.answer.send_chunk(b"".join(event.data for event in new_events))

    async def send_remainder(self, data: bytes) -> None:
        """Send the bytes after the last event of a stream that ended without an error."""
        await self._request.answer.send_chunk(data)

    def _is_new(self, event: StreamEvent) -> bool:
        if event.event_id is None:
            return True
        last = self._request.last_event_id
        if last is not None and not is_after(event.event_id, last):
            return False
        self._request.last_event_id = event.event_id
        return True


def can_resume(request: ClientRequest) -> bool:
    """Return True if an interrupted stream may be resumed at another worker."""
    return (
        request.route.resume
        and request.answer.state is AnswerState.STREAMING
        and request.last_event_id is not None
        and request.attempts_written < request.route.max_attempts
    )
