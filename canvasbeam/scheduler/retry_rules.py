"""The operators' rules on repeating a request, by what its class says a second run would do.

Pure functions over a request's attempts. The dispatcher keeps these rules too; the coordinator asks here once more at
the moment of writing, since attempts may have changed after the decision.
"""

from __future__ import annotations

from datetime import timedelta

from canvasbeam.dispatch.settings import Effect, RequestClass, Scope
from canvasbeam.scheduler.limits import span_of
from canvasbeam.scheduler.requests import Attempt, Request
from canvasbeam.scheduler.worker_table import WorkerTable


def may_retry(
    attempt: Attempt, request_class: RequestClass, now: timedelta, table: WorkerTable, second_copies: bool
) -> bool:
    """Return whether an attempt may be written beside the other attempts of its request.

    `second_copies` says whether two attempts of one request may be out at once.
    """
    if len(attempt.request.attempts) == 1:
        return True
    others = [
        other for other in attempt.request.possibly_executed() if other is not attempt and other.written is not None
    ]
    if any(other.outcome is None for other in others) and not second_copies:
        return False
    if not others or request_class.effect is Effect.SAFE:
        return True
    if request_class.effect is Effect.UNSAFE:
        return False
    first = min(other.written for other in others if other.written is not None)
    in_window = now < first + span_of(request_class.window_ns)
    return in_window and all(table.same_group(request_class.scope, other.worker, attempt.worker) for other in others)


def is_rejection_harmless(request: Request, request_class: RequestClass) -> bool:
    """Return whether a client may retry a rejected request without running it twice."""
    keyed_everywhere = request_class.effect is Effect.KEYED and request_class.scope is Scope.ALL
    return not request.possibly_executed() or request_class.effect is Effect.SAFE or keyed_everywhere
