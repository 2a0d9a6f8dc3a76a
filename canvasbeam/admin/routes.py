"""Maps the method and path of an operator's request to the complete HTTP response.

The module owns the paths (`GET /healthcheck`, `GET /stats`, `GET /peers`, `POST /workers/ID/maint`,
`POST /workers/ID/ready`), their methods and the response formats; `Operations` implements the effect of each request.
The module must never use a socket. Response texts must not change, because operators' tools read these texts; the word
"call" in a response text means a request.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import unquote

from canvasbeam.scheduler.http_responses import head_only, response, text_response

JsonObject = dict[str, Any]  # values: any JSON type
HEALTH_PATH, STATS_PATH, PEERS_PATH, WORKERS_PREFIX = b"/healthcheck", b"/stats", b"/peers", b"/workers/"
MAX_WORKER_ID_CHARACTERS = 256


class Operations(Protocol):
    """Operations behind the paths of the management address; every operation returns without blocking."""

    def can_serve(self) -> bool:
        """Return True if this process can currently serve clients."""

    def stats(self) -> JsonObject:
        """Return the counters and gauges for `/stats`."""

    def peers(self) -> JsonObject | None:
        """Return the membership of the fleet, or None if this scheduler has no peers."""

    def enter_maintenance(self, worker: str) -> bool:
        """Put a worker into maintenance mode; return False if the worker is unknown."""

    def leave_maintenance(self, worker: str) -> bool:
        """Take a worker out of maintenance mode; return False if the worker is unknown."""


def plain_response(status: HTTPStatus, reason: str, extra: str = "") -> bytes:
    """Return a plain-text response with `Connection: close`; `extra` holds complete header lines."""
    return text_response(status, reason, True, extra)


def respond(operations: Operations, method: bytes, path: bytes) -> bytes:
    """Execute a request and return the complete HTTP response; `path` has no query string."""
    if path == HEALTH_PATH:
        return _respond_if(method, b"GET", lambda: _health_response(operations.can_serve()))
    if path == STATS_PATH:
        return _respond_if(method, b"GET", lambda: _json_response(operations.stats()))
    if path == PEERS_PATH:
        return _respond_if(method, b"GET", lambda: _peers_response(operations.peers()))
    if path.startswith(WORKERS_PREFIX):
        return _respond_for_worker(operations, method, path[len(WORKERS_PREFIX) :])
    return _not_found()


def _respond_for_worker(operations: Operations, method: bytes, rest: bytes) -> bytes:
    """Execute a request about one worker; `rest` is the path after `/workers/`."""
    worker, slash, verb = rest.rpartition(b"/")
    name = unquote(worker.decode("latin-1"))
    if not slash or verb not in (b"maint", b"ready") or not 0 < len(name) <= MAX_WORKER_ID_CHARACTERS or "/" in name:
        return _not_found()
    operation = operations.enter_maintenance if verb == b"maint" else operations.leave_maintenance
    return _respond_if(method, b"POST", lambda: _maintenance_response(operation(name), name, verb.decode()))


def _respond_if(method: bytes, allowed: bytes, operation: Callable[[], bytes]) -> bytes:
    """Return the operation's response if the method is allowed, else 405; HEAD is allowed wherever GET is."""
    if method != allowed and not (allowed == b"GET" and method == b"HEAD"):
        allow_header = f"Allow: {allowed.decode()}\r\n"
        return plain_response(HTTPStatus.METHOD_NOT_ALLOWED, "not by this method", allow_header)
    full_response = operation()
    return head_only(full_response) if method == b"HEAD" else full_response


def _not_found() -> bytes:
    return plain_response(HTTPStatus.NOT_FOUND, "no such call")


def _health_response(can_serve: bool) -> bytes:
    if can_serve:
        return plain_response(HTTPStatus.OK, "ok")
    return plain_response(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")


def _peers_response(membership: JsonObject | None) -> bytes:
    if membership is None:
        return plain_response(HTTPStatus.NOT_FOUND, "no peers here")
    return _json_response(membership)


def _maintenance_response(is_known: bool, worker: str, verb: str) -> bytes:
    if is_known:
        return plain_response(HTTPStatus.OK, f"{worker} {verb}")
    return plain_response(HTTPStatus.NOT_FOUND, f"no worker {worker} is known here")


def _json_response(body: JsonObject) -> bytes:
    content = json.dumps(body, separators=(",", ":")).encode()
    return response(HTTPStatus.OK, content, True, "application/json")
