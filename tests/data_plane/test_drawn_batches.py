"""Drawn batches of changed items: the readers of a data plane end in the state of a fresh data plane."""

from __future__ import annotations

import asyncio
import random

import pytest

from canvasbeam.data_plane.program import DataPlane
from tests.support.drawn_batches import BatchSource, Ticks, current_items, make_settings, reader_state

SEEDS = range(40)
BATCHES = 25


async def fresh_state(data_plane: DataPlane) -> dict[str, object]:
    """The state of a new data plane that receives the items of another one."""
    fresh = DataPlane(make_settings())
    fresh._cluster.publish(current_items(data_plane._cluster.table))
    Ticks(fresh).pass_second()
    await asyncio.sleep(0)
    return reader_state(fresh)


@pytest.mark.parametrize("seed", SEEDS)
def test_readers_of_drawn_batches_hold_what_fresh_readers_hold(seed: int) -> None:
    """Guards against a reader that overlooks a part of a batch, such as the end of a worker beside evacuations."""

    async def main() -> None:
        source = BatchSource(random.Random(seed))
        data_plane = DataPlane(make_settings())
        ticks = Ticks(data_plane)
        for _ in range(BATCHES):
            data_plane._cluster.publish(source.batch())
            ticks.pass_second()
            await asyncio.sleep(0)
            assert reader_state(data_plane) == await fresh_state(data_plane)

    asyncio.run(main())
