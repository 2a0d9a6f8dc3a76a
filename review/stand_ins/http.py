"""A small HTTP/1.1 client and server for the stand-ins: one request at a time on a connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 64 << 10


@dataclass
class Message:
    """One request or answer: its first line, headers (names in lower case) and body."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first_line.split(" ", 2)[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first_line.split(" ", 1)[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first_line.split(" ", 2)[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message; raise `asyncio.IncompleteReadError` if the connection ends before the message is complete."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    message = Message(head[0], {name.strip().lower(): value.strip() for name, _, value in pairs})
    if "chunked" in message.headers.get("transfer-encoding", ""):
        message.body = await _read_chunks(reader)
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", 0)))
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if size == 0:
            return body


def encode(first_line: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a message with a Content-Length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    *,
    body: bytes = b"",
    wait_s: float = 1.0,
) -> Message | None:
    """Send one request on a new connection; return the complete answer, or None if none came in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES)
            writer.write(encode(f"{method} {target} HTTP/1.1", {"Host": address, **(headers or {})}, body))
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


async def serve(address: str, handler: Handler) -> asyncio.Server:
    """Serve an address; `handler` writes the answer to each request."""
    host, _, port = address.rpartition(":")

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            while True:
                await handler(await read_message(reader), writer)
                await writer.drain()
        writer.close()

    return await asyncio.start_server(on_connection, host, int(port), limit=MAX_HEAD_BYTES)
