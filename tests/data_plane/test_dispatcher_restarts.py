"""A dispatcher that raises is replaced; limits and expectations outlive it, without what only it could end."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence

import pytest

from canvasbeam.data_plane.program import DataPlane
from canvasbeam.dispatch.actions import Action
from canvasbeam.dispatch.events import Event, PromptEstimate, RequestArrived, WorkerEntry
from canvasbeam.dispatch.language_model.expectations import EngineCapacity
from canvasbeam.units import SECOND
from tests.data_plane.test_drawn_batches import fresh_state
from tests.support.drawn_batches import BatchSource, Ticks, make_settings, reader_state


def fail(now: int, events: Sequence[Event]) -> list[Action]:
    raise RuntimeError("planted fault in the dispatcher")


@pytest.mark.parametrize("seed", range(20))
def test_dispatcher_that_raises_is_replaced_by_one_with_the_workers_of_the_table(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against workers that stay in the limits, since their end was in the events of the failed pass."""

    async def main() -> None:
        rng = random.Random(seed)
        source = BatchSource(rng)
        data_plane = DataPlane(make_settings())
        ticks = Ticks(data_plane)
        for _ in range(25):
            if rng.random() < 0.3:
                monkeypatch.setattr(data_plane._router._driver._dispatcher, "handle", fail)
            data_plane._cluster.publish(source.batch())
            ticks.pass_second()
            for _ in range(2):
                await asyncio.sleep(0)
            assert reader_state(data_plane) == await fresh_state(data_plane)

    asyncio.run(main())


def test_attempts_of_a_replaced_dispatcher_neither_fill_a_worker_nor_make_it_overdue() -> None:
    """Guards against a worker that gets no more requests: nobody reports the ends of the former attempts."""

    async def main() -> None:
        data_plane = DataPlane(make_settings())
        expectations = data_plane._placement.expectations
        expectations.set_engines({"chat": EngineCapacity(10_000)})
        entry, now = WorkerEntry("i-1", "r1", "chat"), time.monotonic_ns()
        requests = [
            RequestArrived(name, "c", now + 9 * SECOND, prompt=PromptEstimate(6_000, 100)) for name in ("a", "b", "c")
        ]
        expectations.sent(now, entry, requests[0])
        expectations.started(now, "i-1", "a")
        expectations.sent(now, entry, requests[1])
        later = now + 30 * SECOND
        assert not expectations.has_capacity(later, entry, requests[2], SECOND)
        data_plane._placement.make_dispatcher(make_settings())
        assert expectations.has_capacity(later, entry, requests[2], SECOND)

    asyncio.run(main())
