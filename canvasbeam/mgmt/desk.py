"""What the second address asks of the running scheduler, and tells it.

It owns the answers to the operators' calls, read from the parts that count them where they happen, and carries out
what the module of workers out by hand (`canvasbeam/decide/hands.py`) decides. It must never touch a socket, never
decide which target gets a job, and never estimate a figure that is not counted.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from canvasbeam.decide import hands
from canvasbeam.mgmt.handover import Handover
from canvasbeam.net.core import Core
from canvasbeam.net.limits import nanoseconds, seconds, span_of
from canvasbeam.net.listener import Listener

LOOK_EVERY = seconds(0.1)  # at the shared file: another process's call is taken up within this


class OperatorDesk:
    """The calls of the second address, on one scheduler."""

    def __init__(
        self, core: Core, listener: Listener, handover: Handover | None = None,
        peers: Callable[[], dict[str, Any]] | None = None,
    ) -> None:  # fmt: skip
        self._core = core
        self._listener = listener
        self._handover = handover
        self._peers = peers
        self._hands = hands.Hands()
        if handover is not None:
            self._take_up()

    def can_serve(self) -> bool:
        """Yes once there is a live target to send to, and no planned end has begun."""
        return self._listener.is_ready

    def figures(self) -> dict[str, Any]:
        """The figures of the operators' page, as they stand in this pass."""
        core = self._core
        return {
            "downstream_requests": {name: dict(counts) for name, counts in core.by_class.items()},
            "upstream_requests": core.forwarded,
            "pending": core.pending,
            "members": len(core.targets),
            "members_unavailable": core.avoided(),
        }

    def peers(self) -> dict[str, Any] | None:
        """Who of the fleet is there; None where this scheduler has no peers."""
        return None if self._peers is None else self._peers()

    def take_out(self, worker: str) -> bool:
        """Out by hand from this pass on; False where nobody has this worker."""
        return self._call(hands.TakeOut(worker))

    def put_back(self, worker: str) -> bool:
        """Back by hand, cold; False where nobody has this worker."""
        return self._call(hands.PutBack(worker))

    def _call(self, call: hands.TakeOut | hands.PutBack) -> bool:
        answers = [each for each in self._carry_out([self._listed(), call]) if isinstance(each, hands.Answered)]
        return answers[-1].yes

    def _take_up(self) -> None:
        """What another process of this scheduler was told, within a tenth of a second."""
        assert self._handover is not None
        out = self._handover.changed()
        if out is not None:
            self._carry_out([self._listed(), hands.Handed(out)])
        self._core.loop.after(LOOK_EVERY, self._take_up)

    def _listed(self) -> hands.Listed:
        """The list as last told, with the starts it names on the loop's clock."""
        targets = self._core.targets.values()
        starts = {each.name: nanoseconds(each.started) for each in targets if each.started is not None}
        return hands.Listed(frozenset(self._core.targets), starts)

    def _carry_out(self, events: list[hands.Event]) -> list[hands.Action]:
        loop = self._core.loop
        actions = self._hands.handle(nanoseconds(loop.now), events)
        for action in actions:
            match action:
                case hands.Drain(worker):
                    self._core.hand_out(worker)
                case hands.Return(worker, started_ns):
                    self._core.hand_back(worker, span_of(started_ns))
                case hands.Keep(out) if self._handover is not None:
                    self._handover.write(out)
        return actions
