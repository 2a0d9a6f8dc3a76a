"""A control process on loopback that answers by a script."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from canvasbeam.errors import ResultCode


@dataclass(frozen=True)
class Reply:
    """A scripted answer; without a status the connection is closed instead."""

    status: int | None
    body: Any = None
    location: str = ""


@dataclass
class Control:
    """A control process that answers by a script and remembers what it was asked."""

    server: ThreadingHTTPServer
    script: Callable[[str, str], Reply] = lambda method, path: Reply(200, {})
    asked: list[tuple[str, str, str | None, bytes]] = field(default_factory=list)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.server_address[1]}"


def error(code: ResultCode, reason: str) -> dict[str, Any]:
    """The body of a rejection."""
    return {"error": {"code": int(code), "name": code.name, "reason": reason}}


def start_control() -> Control:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def _answer(self) -> None:
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            control.asked.append((self.command, self.path, self.headers.get("If-Match"), body))
            reply = control.script(self.command, self.path)
            if reply.status is None:
                self.close_connection = True
                return
            content = json.dumps(reply.body).encode() if reply.body is not None else b""
            self.send_response(reply.status)
            if reply.location:
                self.send_header("Location", reply.location)
            self.send_header("Content-Length", str(len(content)))
            with suppress(ConnectionError):  # the caller has given up
                self.end_headers()
                self.wfile.write(content)

        # The names that http.server calls.
        do_GET = do_PUT = do_PATCH = do_POST = do_DELETE = _answer  # noqa: N815

        def log_message(self, format: str, *args: Any) -> None:
            del format, args

    control = Control(ThreadingHTTPServer(("127.0.0.1", 0), Handler))
    threading.Thread(target=control.server.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True).start()
    return control
