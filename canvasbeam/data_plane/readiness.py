"""Whether this node can serve clients, and the app that tells the platform."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

READY_PATH = "/v1/readyz"


class ReadinessApp:
    """Answers 200 at `/v1/readyz` while the node is ready, else 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope: MutableMapping[str, Any], receive: Receive, send: Send) -> None:
        """Answer one check."""
        if scope["type"] != "http":
            return
        status = self._status(scope["path"])
        await send({"type": "http.response.start", "status": status, "headers": [(b"content-length", b"0")]})
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    def _status(self, path: str) -> int:
        if path != READY_PATH:
            return 404
        return 200 if self._is_ready() else 503
