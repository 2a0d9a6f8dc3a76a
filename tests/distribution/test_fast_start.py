"""Short start-up: sockets listen before the program is imported, near seeds first, readiness published at once."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path

import pytest

from canvasbeam.cluster.member import member_of
from canvasbeam.cluster.worker_items import worker_item
from canvasbeam.data_plane import readiness
from canvasbeam.data_plane.program import DataPlane
from canvasbeam.distribution.relay_tree import sort_by_shared_prefix
from canvasbeam.errors import Failure
from canvasbeam.item_table.items import Item, ItemKind
from canvasbeam.runtime.http_server import HttpServer
from canvasbeam.runtime.listeners import open_listener, open_listeners
from canvasbeam.runtime.settings import SETTINGS_VARIABLE, Address, ProcessSettings
from canvasbeam.service_discovery.worker_registry import Publication, Worker, WorkerVersion
from tests.data_plane.test_data_plane_items import configuration_item
from tests.runtime.test_http_server import GET, answer_ok, read_head
from tests.support.free_ports import free_port


def test_request_sent_before_server_runs_is_answered() -> None:
    async def body() -> None:
        listener = open_listener(Address("127.0.0.1", 0))
        host, port = listener.getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(GET)
        server = HttpServer(answer_ok, Address(host, port), listener=listener)
        assert await server.start() is None
        assert (await read_head(reader)).startswith(b"HTTP/1.1 200")
        writer.close()
        await server.close()

    asyncio.run(body())


def test_listeners_follow_settings_file_and_skip_ports_in_use(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    settings = tmp_path / "local.toml"
    monkeypatch.setenv(SETTINGS_VARIABLE, str(settings))
    assert open_listeners(("front",)) == {}
    with socket.create_server(("127.0.0.1", 0)) as taken:
        settings.write_text(
            'node = "e"\nip = "127.0.0.1"\nzone = "z"\nregion = "r"\nrole = "data-plane"\nclass = "edge"\n'
            "port_range = [7000, 7001]\nseeds = []\nserves = []\n"
            f'[listen]\nfront = "127.0.0.1:{free_port()}"\nready = "127.0.0.1:{taken.getsockname()[1]}"\n'
        )
        opened = open_listeners(("front", "ready", "directory"))
    assert set(opened) == {"front"}
    with socket.create_connection(opened["front"].getsockname()):
        opened["front"].close()


def test_seeds_sharing_address_prefix_come_first_and_ties_keep_order() -> None:
    seeds = [Address(host, 1) for host in ("10.2.0.9", "10.1.7.7", "10.1.0.9", "10.3.0.9")]
    ordered = sort_by_shared_prefix(Address("10.1.0.4", 1), seeds)
    assert [name.host for name in ordered] == ["10.1.0.9", "10.1.7.7", "10.2.0.9", "10.3.0.9"]


def data_plane_settings() -> ProcessSettings:
    """Return settings with a loopback address that depends on the process id, so that parallel tests share no ports."""
    ip = f"127.80.{os.getpid() >> 8 & 255}.{os.getpid() & 255 or 1}"
    return ProcessSettings(
        node="e1", role="edge", node_class="edge", serves=("edge",), ip=ip, zone="z1", region="r1",
        port_range=(7101, 7102), seeds=(), zones={"z1": "r1"},
        listen={"front": Address(ip, 7103), "ready": Address(ip, 7104)},
    )  # fmt: skip


def test_readiness_is_published_when_first_worker_is_known(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(readiness, "READINESS_CHECK_INTERVAL_S", 60.0)

    async def body() -> None:
        data_plane = DataPlane(data_plane_settings())
        assert await data_plane.start() is None
        table = data_plane._cluster.table
        ready = asyncio.Event()

        def note(items: list[Item]) -> None:
            for item in items:
                member = member_of(item) if item.kind is ItemKind.MEMBER else None
                if member is not None and not isinstance(member, Failure) and member.ready:
                    ready.set()

        table.add_listener(note)  # type: ignore[arg-type]
        await asyncio.sleep(0)
        worker = Worker(service="svc", address="127.0.0.1:9", zone="z1", slots=1)
        table.merge([configuration_item(1), worker_item(Publication("i-1", WorkerVersion(1), worker))])
        async with asyncio.timeout(5):
            await ready.wait()
        await data_plane.stop()

    asyncio.run(body())
