"""The home regions of hosts at a control node, over configurations that change and some that cannot be read."""

from __future__ import annotations

import random

import pytest

from canvasbeam.control_plane.home_regions import HomeRegions
from canvasbeam.item_table.document import Document
from canvasbeam.item_table.items import CURRENT, Item, ItemKind, ItemTable, Version
from tests.support.drawn_batches import BatchSource

HOST = "a.example"


def with_unreadable_route(item: Item) -> Item:
    """The item, with one route whose entry is no JSON."""
    assert item.document is not None
    entries = dict(item.document.entries)
    broken = next(key for key in entries if key.startswith("routes"))
    entries[broken] = b"{"
    return Item(item.kind, item.key, item.version, document=Document.of(entries))


def configuration(source: BatchSource) -> Item:
    """A drawn configuration that has routes."""
    while True:
        (item,) = source._configuration()
        if item.document is not None and any(key.startswith("routes") for key in item.document.entries):
            return item


@pytest.mark.parametrize("seed", range(20))
def test_home_regions_are_those_that_a_fresh_reader_finds(seed: int) -> None:
    """Guards against a configuration that is adopted in part, because a configuration before it could not be read."""
    rng = random.Random(seed)
    source = BatchSource(rng)
    table = ItemTable()
    reader = HomeRegions(table)
    in_force = reader.of_host(HOST)
    for _ in range(30):
        item = configuration(source)
        is_readable = rng.random() < 0.7
        table.merge([item if is_readable else with_unreadable_route(item)])
        if is_readable:
            in_force = HomeRegions(table).of_host(HOST)
        assert reader.of_host(HOST) == in_force


def test_unreadable_payload_keeps_the_home_regions_in_force() -> None:
    table = ItemTable()
    reader = HomeRegions(table)
    route = b'{"name": "r", "host": "A.example", "prefix": "/", "home_regions": ["r1"]}'
    payload = b'{"generation": 1, "routes": [%s]}' % route
    table.merge([Item(ItemKind.CONFIGURATION, CURRENT, Version(1), payload)])
    assert reader.of_host(HOST) == frozenset({"r1"})
    table.merge([Item(ItemKind.CONFIGURATION, CURRENT, Version(2), b"{")])
    assert reader.of_host(HOST) == frozenset({"r1"})
    table.merge([Item(ItemKind.CONFIGURATION, CURRENT, Version(3), payload.replace(b"r1", b"r2"))])
    assert reader.of_host(HOST) == frozenset({"r2"})
