"""Discovery and three toy workers on loopback, to try the scheduler with. Ctrl-C ends it.

It speaks the workers' and discovery's side of the protocol and nothing else: every job takes a tenth of
a second, tells that it started, and comes back with a result that names its worker.
"""

from __future__ import annotations

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

DISCOVERY = 8500
WORKERS = {
    "s-one": ("rennes-nord", 8601),
    "s-two": ("rennes-nord", 8602),
    "s-three": ("rennes-sud", 8603),
}


class Quiet(BaseHTTPRequestHandler):
    """HTTP/1.1 with connections that stay."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_: Any) -> None:
        """Say nothing of each request."""

    def answer(self, body: bytes) -> None:
        """A whole answer."""
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Discovery(Quiet):
    """Tells the same list for ever; a watch waits out its hold."""

    def do_GET(self) -> None:
        """The whole list, or a watch that has nothing new."""
        asked = parse_qs(urlsplit(self.path).query)
        if "from" in asked:
            time.sleep(int(asked.get("hold_ms", ["0"])[0]) / 1000)
        hosts = [
            {
                "host": name, "dial": f"127.0.0.1:{port}", "site": zone, "class": "gen-a", "block": 0,
                "health": "Ready", "share": 1.0, "born_ms": 0,
            }
            for name, (zone, port) in WORKERS.items()
        ]  # fmt: skip
        told = {"seq": 1, "whole": "from" not in asked, "hosts": [] if "from" in asked else hosts}
        self.answer(json.dumps(told).encode())


class Worker(Quiet):
    """Takes every job."""

    def do_GET(self) -> None:
        """A probe."""
        self.answer(b"util=0.1,x0=4")

    def do_POST(self) -> None:
        """A job: started, then done."""
        call_id, body = self.headers["X-Call-Id"], self.rfile.read(int(self.headers["Content-Length"]))
        port = self.connection.getsockname()[1]
        name = next(name for name, (_, listening) in WORKERS.items() if listening == port)
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.line({"id": call_id, "from": name, "state": "started"})
        time.sleep(0.1)
        result = f"{name} did {len(body)} bytes"
        self.line({"id": call_id, "from": name, "state": "done", "result": result, "load": {"util": 0.2}})
        self.wfile.write(b"0\r\n\r\n")

    def line(self, said: dict[str, Any]) -> None:
        """One JSON line as one chunk."""
        data = json.dumps(said).encode() + b"\n"
        self.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        self.wfile.flush()


def main() -> None:
    """Serve until interrupted."""
    ports = {DISCOVERY: Discovery, **{port: Worker for _, port in WORKERS.values()}}
    for port, handler in ports.items():
        server = ThreadingHTTPServer(("127.0.0.1", port), handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print(f"discovery on 127.0.0.1:{DISCOVERY}, workers {', '.join(WORKERS)}", flush=True)
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        print("ended")


if __name__ == "__main__":
    main()
