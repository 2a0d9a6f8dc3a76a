"""A reader of the item table or of a configuration that raises: the others adopt the change, and a retry does too."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import pytest

from canvasbeam.cluster.worker_items import worker_item
from canvasbeam.data_plane import endpoint_list
from canvasbeam.data_plane.program import DataPlane
from canvasbeam.data_plane.worker_records import WorkerRecord, decode_worker
from canvasbeam.errors import Failure
from canvasbeam.item_table.items import Item, ItemKind
from canvasbeam.service_discovery.worker_registry import Publication, Worker, WorkerVersion
from tests.data_plane.test_drawn_batches import fresh_state
from tests.support.drawn_batches import BatchSource, Ticks, make_settings, reader_state

# By reader: the object that raises, its method, and the parts of the state that may then be out of date.
READERS: dict[str, tuple[Callable[[DataPlane], object], str, set[str]]] = {
    "client limits": (lambda plane: plane._servers, "apply_client_limits", {"client limits"}),
    "warm-up rates": (lambda plane: plane._placement._limits, "services", {"limits' workers"}),
    "engines": (lambda plane: plane._placement.expectations, "set_engines", {"engines"}),
    "request classes": (lambda plane: plane._router._classes, "change_configuration", {"dispatcher's kinds"}),
    "member list": (
        lambda plane: plane._cluster._core._members, "apply", {"members", "limits' schedulers", "pools"},
    ),
    "schedulers": (lambda plane: plane._placement._limits, "members", {"limits' schedulers"}),
    "endpoints": (
        lambda plane: plane._router, "change_endpoints",
        {"endpoints", "pools", "dispatcher's workers", "limits' workers", "engines' workers"},
    ),
    "documents": (lambda plane: plane._cluster._core.distribution.documents, "on_items", set()),
    "readiness": (lambda plane: plane._readiness, "check_soon", set()),
}  # fmt: skip


class Faults:
    """Planted faults of one data plane: a method raises while its reader is in `active`."""

    def __init__(self, data_plane: DataPlane, monkeypatch: pytest.MonkeyPatch) -> None:
        self.active: set[str] = set()
        for reader, (part_of, method, _) in READERS.items():
            part = part_of(data_plane)
            monkeypatch.setattr(part, method, self._faulty(reader, getattr(part, method)))

    def _faulty(self, reader: str, call: Callable[..., object]) -> Callable[..., object]:
        def planted(*arguments: object) -> object:
            if reader in self.active:
                raise RuntimeError(f"planted fault: {reader}")
            return call(*arguments)

        return planted


@pytest.mark.parametrize("is_retried", [True, False])
@pytest.mark.parametrize("reader", READERS)
def test_reader_that_raises_hides_no_change_from_others_and_catches_up(
    reader: str, is_retried: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a configuration or member list in force in part, since one reader raised and stopped the rest."""

    async def main() -> None:
        data_plane = DataPlane(make_settings())
        faults, ticks = Faults(data_plane, monkeypatch), Ticks(data_plane)
        source = BatchSource(random.Random(reader))
        for _ in range(12):
            data_plane._cluster.publish(source.batch())
        faults.active.add(reader)
        batch = [item for _ in range(12) for item in source.batch()]
        data_plane._cluster.publish(batch)
        ticks.pass_second()
        await asyncio.sleep(0)
        behind = READERS[reader][2]
        state, fresh = reader_state(data_plane), await fresh_state(data_plane)
        assert {key: state[key] for key in state if key not in behind} == {
            key: fresh[key] for key in fresh if key not in behind
        }
        assert "canvasbeam_listeners_behind 0" not in data_plane._metric_lines()
        tombstones = {item.name for item in batch if item.deleted and item.kind is ItemKind.WORKER}
        assert tombstones <= data_plane._cluster._core.distribution._pushes._tombstones._tombstones.keys()

        faults.active.clear()
        if not is_retried:
            data_plane._cluster.publish([item for _ in range(12) for item in source.batch()])
        ticks.pass_second()
        await asyncio.sleep(0)
        assert reader_state(data_plane) == await fresh_state(data_plane)
        assert "canvasbeam_listeners_behind 0" in data_plane._metric_lines()

    asyncio.run(main())


@pytest.mark.parametrize("seed", range(15))
def test_readers_that_raise_at_drawn_times_end_in_the_state_of_fresh_readers(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        rng = random.Random(seed)
        source = BatchSource(rng)
        data_plane = DataPlane(make_settings())
        faults, ticks = Faults(data_plane, monkeypatch), Ticks(data_plane)
        for _ in range(40):
            faults.active = {reader for reader in READERS if rng.random() < 0.15}
            data_plane._cluster.publish(source.batch())
            if rng.random() < 0.3:
                ticks.pass_second()
            await asyncio.sleep(0)
        faults.active.clear()
        ticks.pass_second()  # a retry, which may begin the grace period of a dead member
        ticks.pass_second()  # the end of that grace period
        await asyncio.sleep(0)
        assert reader_state(data_plane) == await fresh_state(data_plane)

    asyncio.run(main())


@pytest.mark.parametrize("seed", range(10))
def test_worker_item_that_always_raises_keeps_no_other_item_from_the_readers(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a reader that one item stops for good: ends of workers after it would have no effect."""

    async def main() -> None:
        source = BatchSource(random.Random(seed))
        data_plane = DataPlane(make_settings())
        ticks = Ticks(data_plane)
        decode = decode_worker

        def fail_for_one(item: Item) -> WorkerRecord | Failure:
            if item.key == "poison":
                raise RuntimeError("planted fault at one item")
            return decode(item)

        def without_poison(state: dict[str, Any]) -> dict[str, Any]:
            return {
                key: {name: part for name, part in value.items() if name != "poison"}
                for key, value in state.items()
                if isinstance(value, dict)
            }

        worker = Worker("chat", "127.0.0.1:9000", "z1")
        poison = worker_item(Publication("poison", WorkerVersion(1), worker))
        with monkeypatch.context() as patch:
            patch.setattr(endpoint_list, "decode_worker", fail_for_one)
            data_plane._cluster.publish([*source.batch(), poison, *source.batch()])
            for _ in range(20):
                data_plane._cluster.publish(source.batch())
                ticks.pass_second()
                await asyncio.sleep(0)
                state = without_poison(reader_state(data_plane))
                patch.undo()
                assert state == without_poison(await fresh_state(data_plane))
                patch.setattr(endpoint_list, "decode_worker", fail_for_one)
            assert "canvasbeam_listeners_behind 0" not in data_plane._metric_lines()
        ticks.pass_second()
        await asyncio.sleep(0)
        assert reader_state(data_plane) == await fresh_state(data_plane)

    asyncio.run(main())
