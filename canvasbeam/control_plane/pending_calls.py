"""Track the operators' calls that wait for a result from the replicated control state.

Owns the call numbers, by which the member's results are matched to calls, and the futures that the callers await. Every
call has exactly one result: the member's result, or the failure of `fail_all` when the process stops. A call is removed
if its caller is cancelled.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import count

from canvasbeam.errors import Failure
from canvasbeam.replication.control_state import Committed

CallResult = Committed | Failure


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call: the number that identifies the call to the member, and the future that the caller awaits."""

    number: int
    result: asyncio.Future[CallResult]


class PendingCalls:
    """The calls of this process that have no result yet."""

    def __init__(self) -> None:
        self._numbers = count()
        self._pending: dict[int, PendingCall] = {}

    @contextmanager
    def open(self) -> Iterator[PendingCall]:
        """Register a new call, and remove the call when the `with` block exits, also if the caller is cancelled."""
        call = PendingCall(next(self._numbers), asyncio.get_running_loop().create_future())
        self._pending[call.number] = call
        try:
            yield call
        finally:
            self._pending.pop(call.number, None)

    def resolve(self, number: int, result: CallResult) -> None:
        """Set the result of a call, if the call is still pending."""
        call = self._pending.pop(number, None)
        if call is not None and not call.result.done():
            call.result.set_result(result)

    def fail_all(self, failure: Failure) -> None:
        """Resolve every pending call with the same failure."""
        for number in list(self._pending):
            self.resolve(number, failure)
