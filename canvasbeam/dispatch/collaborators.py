"""Describe the parts that may be given to a dispatcher: limits over all dispatchers, and a language model's workers.

A dispatcher calls them with the current time, in nanoseconds on the clock of the events; they must never call it back,
and must not depend on anything else than what they were told.
"""

from __future__ import annotations

from typing import Protocol

from canvasbeam.dispatch.events import RequestArrived, WorkerEntry


class FleetLimiter(Protocol):
    """Limits that bind the sum over all dispatchers, of which this one keeps its quota share."""

    def arrived(self, now: int, kind: str) -> None:
        """Count a request for a kind of worker that arrived."""

    def may_retry(self, now: int, kind: str) -> bool:
        """Return whether one more retry may be sent to a worker of this kind."""

    def may_send_while_warming_up(self, now: int, worker: str) -> bool:
        """Return whether one more request may be sent to a worker, which may be warming up."""

    def sent(self, now: int, kind: str, worker: str, is_retry: bool) -> None:
        """Count an attempt; `is_retry` where the request had been sent before."""

    def listed(self, now: int, entry: WorkerEntry) -> None:
        """Take what discovery lists of a worker."""


class EngineModel(Protocol):
    """What is expected of workers that run language models, from this dispatcher's own attempts."""

    def has_capacity(self, now: int, entry: WorkerEntry, request: RequestArrived, time_left_ns: int) -> bool:
        """Return whether the worker can start the request within what is left until its latency target."""

    def first_token_ns(self, now: int, entry: WorkerEntry, request: RequestArrived) -> float:
        """Return the time until the worker is expected to give the request's first token, in nanoseconds."""

    def sent(self, now: int, entry: WorkerEntry, request: RequestArrived) -> None:
        """Count an attempt of the request at the worker."""

    def started(self, now: int, worker: str, request_id: str) -> None:
        """Take the request's first token from the worker."""

    def ended(self, now: int, worker: str, request_id: str) -> None:
        """Count the request off, which no longer occupies the worker."""

    def listed(self, now: int, entry: WorkerEntry) -> None:
        """Take what discovery lists of a worker."""
