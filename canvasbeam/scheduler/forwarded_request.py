"""What an attempt writes to a worker: the client's request, with the header lines that the attempt adds.

It owns the form of that message (HTTP/1.1, RFC 9112). It must never change what the client sent.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from canvasbeam.scheduler.limits import ZERO


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A client's request, the same for each of its attempts.

    `headers` are whole lines, without those that an attempt adds; `request_id` stands in them as X-Call-Id.
    """

    request_id: str
    method: bytes
    path: bytes
    headers: bytes
    body: bytes

    def head(self, host: str, budget: timedelta) -> bytes:
        """Return the head for one attempt; the budget is how long the scheduler will wait from now, at least 0."""
        budget_s = max(budget, ZERO).total_seconds()
        return (
            self.method
            + b" "
            + self.path
            + b" HTTP/1.1\r\nHost: "
            + host.encode()
            + b"\r\n"
            + self.headers
            + f"X-Budget: {budget_s:.6f}\r\nContent-Length: {len(self.body)}\r\n\r\n".encode()
        )
