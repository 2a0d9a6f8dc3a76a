"""Build the request that is written to a worker for one attempt, from the client's request.

For each attempt, the headers in `REPLACED_HEADERS` and the `Last-Event-ID` of a resumed stream are replaced or dropped;
all other headers are forwarded unchanged. The caller supplies the current time, and this module keeps no state.
"""

from __future__ import annotations

from canvasbeam.data_plane.exchange import WorkerRequest
from canvasbeam.data_plane.headers import CONTENT_LENGTH, DEADLINE, LAST_EVENT_ID, PRIORITY, TARGET_INSTANCE, Headers
from canvasbeam.data_plane.prompt_headers import worker_priority
from canvasbeam.data_plane.requests import ClientRequest
from canvasbeam.units import MILLISECOND

REPLACED_HEADERS = frozenset((DEADLINE, TARGET_INSTANCE, PRIORITY, CONTENT_LENGTH, b"expect"))


def worker_request(request: ClientRequest, worker: str, now_ns: int) -> WorkerRequest:
    """Return the request as written to a worker, with the time left from `now_ns` until the deadline."""
    return WorkerRequest(
        request.identity,
        request.method,
        request.target,
        _headers(request, worker, now_ns),
        request.body,
        request.route.streams,
    )


def _headers(request: ClientRequest, worker: str, now_ns: int) -> Headers:
    resumes = request.last_event_id is not None
    headers = [
        (name, value)
        for name, value in request.headers
        if name not in REPLACED_HEADERS and not (resumes and name == LAST_EVENT_ID)
    ]
    remaining_ms = max(0, request.deadline_ns - now_ns) // MILLISECOND
    headers.append((DEADLINE, str(remaining_ms).encode()))
    headers.append((TARGET_INSTANCE, worker.encode()))
    headers.append((PRIORITY, worker_priority(request)))
    if request.last_event_id is not None:
        headers.append((LAST_EVENT_ID, request.last_event_id))
    if request.body or request.method not in (b"GET", b"HEAD"):
        headers.append((CONTENT_LENGTH, str(len(request.body)).encode()))
    return headers
