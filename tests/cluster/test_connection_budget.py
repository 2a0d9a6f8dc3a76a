"""Messages to a node that does not read them are in the budget of the process."""

from __future__ import annotations

import asyncio

from canvasbeam.cluster.connection import CONNECTION_BYTES, QUEUE_ALLOWANCE_BYTES, Connection
from canvasbeam.cluster.transport import Transport
from canvasbeam.runtime.process_budget import ProcessBudget
from canvasbeam.runtime.settings import Address

ROOM_BYTES = 100_000


class UnreadTransport(asyncio.Transport):
    """A transport whose peer reads only when a test says so."""

    def __init__(self) -> None:
        super().__init__()
        self.unread_bytes = 0
        self.is_aborted = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.unread_bytes += len(data)

    def get_write_buffer_size(self) -> int:
        return self.unread_bytes

    def is_closing(self) -> bool:
        return self.is_aborted

    def abort(self) -> None:
        self.is_aborted = True


def test_unread_messages_reserve_memory_until_they_are_sent() -> None:
    async def body() -> None:
        budget = ProcessBudget(CONNECTION_BYTES + ROOM_BYTES, 10)
        connection, wire = Connection(Transport("one", Address("127.0.0.1", 7660), budget), None), UnreadTransport()
        connection.connection_made(wire)
        hello_bytes = wire.unread_bytes
        assert connection.write(b"x" * (QUEUE_ALLOWANCE_BYTES - hello_bytes))
        assert budget.reserved_bytes == CONNECTION_BYTES
        assert connection.write(b"x" * ROOM_BYTES)
        assert not connection.write(b"x")
        assert budget.reserved_bytes == CONNECTION_BYTES + ROOM_BYTES
        wire.unread_bytes = 0
        assert connection.write(b"x")
        assert budget.reserved_bytes == CONNECTION_BYTES
        connection.connection_lost(None)
        assert (budget.reserved_bytes, budget.connection_count) == (0, 0)

    asyncio.run(body())


def test_connection_without_a_place_in_the_budget_is_closed() -> None:
    async def body() -> None:
        budget = ProcessBudget(CONNECTION_BYTES - 1, 10)
        connection, wire = Connection(Transport("one", Address("127.0.0.1", 7660), budget), None), UnreadTransport()
        connection.connection_made(wire)
        assert wire.is_aborted
        connection.connection_lost(None)
        assert (budget.reserved_bytes, budget.connection_count) == (0, 0)

    asyncio.run(body())
