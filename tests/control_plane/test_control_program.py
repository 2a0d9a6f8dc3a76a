"""The control-plane process on loopback: its HTTP servers, its shutdown, and the publication of committed states."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from canvasbeam.cluster.member import Member
from canvasbeam.control_plane.program import ControlPlane, main
from canvasbeam.control_plane.publisher import StatePublisher
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.item_table.document import Document
from canvasbeam.item_table.items import Item, ItemKind, ItemTable, Version
from canvasbeam.replication.control_state import ControlState
from canvasbeam.runtime.process import EXIT_SETTINGS
from canvasbeam.runtime.settings import SETTINGS_VARIABLE, Address, ProcessSettings
from tests.support.free_ports import free_port


def settings(data_dir: Path) -> ProcessSettings:
    control = Address("127.0.0.1", free_port())
    first = free_port()
    return ProcessSettings(
        node="c1", role="core", node_class="core", serves=("control", "directory"), ip="127.0.0.1", zone="z1",
        region="r1", port_range=(first, first + 1), seeds=(control,), bootstrap=True, data_dir=data_dir,
        zones={"z1": "r1"}, listen={"control": control, "directory": Address("127.0.0.1", free_port())},
    )  # fmt: skip


async def get(address: Address, path: str) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), body


@asynccontextmanager
async def running(node_settings: ProcessSettings) -> AsyncIterator[ControlPlane]:
    control_plane = ControlPlane(node_settings)
    assert await control_plane.start() is None
    try:
        yield control_plane
    finally:
        await control_plane.stop()


def test_control_and_directory_are_served_until_stop(tmp_path: Path) -> None:
    async def body() -> None:
        node_settings = settings(tmp_path)
        control, directory = node_settings.listen["control"], node_settings.listen["directory"]
        async with running(node_settings):
            status, document = await get(control, "/v1/status")
            assert status == 200
            assert json.loads(document)["node"] == "c1"
            assert (await get(directory, "/v1/resolve?name=a&zone=z1"))[0] == 503
            assert (await get(control, "/v1/resolve"))[0] == 404
        for address in (control, directory):
            with pytest.raises(ConnectionError):
                await get(address, "/v1/status")

    asyncio.run(body())


def test_control_node_is_reachable_only_with_majority(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def body() -> None:
        control_plane = ControlPlane(settings(tmp_path))
        member = Member("c2", "core", "core", "127.0.0.2", "z1", "r1", "", True, 1, True)
        monkeypatch.setattr(control_plane._node, "control_nodes", lambda: (member,))
        for has_majority in (False, True):
            monkeypatch.setattr(control_plane._node, "has_majority", lambda result=has_majority: result)
            assert control_plane._is_reachable("127.0.0.2") is has_majority
            assert not control_plane._is_reachable("127.0.0.3")

    asyncio.run(body())


def test_start_fails_if_address_is_in_use(tmp_path: Path) -> None:
    async def body() -> None:
        node_settings = settings(tmp_path)
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", node_settings.listen["directory"].port))
            listener.listen()
            control_plane = ControlPlane(node_settings)
            failure = await control_plane.start()
            assert isinstance(failure, Failure)
            assert failure.code is ResultCode.ADDRESS_IN_USE
            await control_plane.stop()

    asyncio.run(body())


def test_program_exits_if_settings_cannot_be_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv(SETTINGS_VARIABLE, str(tmp_path / "absent.toml"))
    assert main() == EXIT_SETTINGS
    assert "absent.toml" in capsys.readouterr().err


class RecordingPublisher:
    """Fake `ItemPublisher` that merges published items into a table and records the items that the table accepted."""

    def __init__(self) -> None:
        self.table = ItemTable()
        self.published: list[Item] = []

    def publish(self, items: Iterable[Item]) -> list[Item]:
        merged = self.table.merge(items)
        self.published += merged
        return merged


def test_each_changed_part_of_committed_state_is_published_once() -> None:
    node = RecordingPublisher()
    publisher = StatePublisher(node)
    publisher.on_committed(ControlState())
    assert node.published == []
    configured = ControlState(3, 7, {"generation": 7}, 2, ("z1",), 3)
    for _ in range(2):
        publisher.on_committed(configured)
    assert node.published == [
        Item(ItemKind.CONFIGURATION, "current", Version(2), document=Document.of({"": b'{"generation":7}'})),
        Item(ItemKind.EVACUATIONS, "current", Version(3), b'["z1"]'),
    ]
    publisher.on_committed(ControlState(4, 7, {"generation": 7}, 2, (), 4))
    assert node.published[2:] == [Item(ItemKind.EVACUATIONS, "current", Version(4), b"[]")]
