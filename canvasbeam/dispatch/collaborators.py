"""Define the optional collaborators of a dispatcher: fleet-wide limits, and a model of inference engines.

A dispatcher passes the current time with each call, in nanoseconds on the clock of the events. A collaborator must
never call the dispatcher, and its results must depend on nothing except the arguments of its calls.
"""

from __future__ import annotations

from collections.abc import Container
from typing import Protocol

from canvasbeam.dispatch.events import RequestArrived, WorkerEntry


class FleetLimiter(Protocol):
    """Limits on the sum over all dispatchers; each dispatcher enforces its own share of the limits."""

    def arrived(self, now: int, kind: str) -> None:
        """Count the arrival of a request for this kind of worker."""

    def may_retry(self, now: int, kind: str) -> bool:
        """Return True if one more retry may be sent to a worker of this kind."""

    def may_send_while_warming_up(self, now: int, worker: str) -> bool:
        """Return True if one more request may be sent to this worker, which may be warming up."""

    def sent(self, now: int, kind: str, worker: str, is_retry: bool) -> None:
        """Count an attempt; `is_retry` is True if the request was sent before."""

    def listed(self, now: int, entry: WorkerEntry) -> None:
        """Update the state of a worker from its entry in an endpoint list."""

    def retain(self, workers: Container[str]) -> None:
        """Forget all workers but these, which a complete endpoint list contains."""


class EngineModel(Protocol):
    """Expected load and latency of workers that run language models, derived from this dispatcher's own attempts."""

    def has_capacity(self, now: int, entry: WorkerEntry, request: RequestArrived, time_left_ns: int) -> bool:
        """Return True if the worker can start the request within `time_left_ns`, the time to the latency target."""

    def first_token_ns(self, now: int, entry: WorkerEntry, request: RequestArrived) -> float:
        """Return the expected time until the first token of the request (TTFT) at the worker, in nanoseconds."""

    def sent(self, now: int, entry: WorkerEntry, request: RequestArrived) -> None:
        """Count an attempt of the request at the worker."""

    def started(self, now: int, worker: str, request_id: str) -> None:
        """Record that the worker has produced the first token of the request."""

    def ended(self, now: int, worker: str, request_id: str) -> None:
        """Record that the request no longer occupies the worker."""

    def listed(self, now: int, entry: WorkerEntry) -> None:
        """Update the state of a worker from its entry in an endpoint list."""

    def retain(self, workers: Container[str]) -> None:
        """Forget all workers but these, which a complete endpoint list contains."""
