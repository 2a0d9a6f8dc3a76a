"""Discovery's agent at one scheduler, on a socket: the list as it was sent, and the watches that wait for a change."""

from __future__ import annotations

import json
from collections.abc import Sequence
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

from canvasbeam.dispatch.events import WorkerState
from canvasbeam.simulator.model import faults
from canvasbeam.simulator.model.registry import Listed
from canvasbeam.simulator.model.units import MS
from canvasbeam.simulator.socket_simulation import LoopWorld
from canvasbeam.simulator.wire import Asked, ServerConnection, ServerSocket, answer

KEPT_CHANGES = 4096
LONGEST_HOLD_MS = 60_000


class DiscoveryAgent:
    """Discovery's agent at one scheduler: the list as it was sent, and one watch at a time."""

    def __init__(self, world: LoopWorld, place: int, address: tuple[str, int]) -> None:
        self.world = world
        self.place = place
        self.seq = 1
        self.list: dict[str, Listed] = {}
        self.changes: list[tuple[int, Listed]] = []
        self._waiting: list[tuple[ServerConnection, int]] = []
        self.server = ServerSocket(world.loop, address, self._asked, lambda _: None, self._left, world.now)

    def tell(self, entries: Sequence[Listed]) -> None:
        """Something new has been sent to this agent."""
        self.seq += 1
        for entry in entries:
            if entry.state is WorkerState.GONE:
                self.list.pop(entry.machine.name, None)
            else:
                self.list[entry.machine.name] = entry
            self.changes.append((self.seq, entry))
        del self.changes[: max(0, len(self.changes) - KEPT_CHANGES)]
        waiting, self._waiting = self._waiting, []
        for connection, since in waiting:
            self._answer(connection, since)

    def _left(self, connection: ServerConnection) -> None:
        self._waiting = [entry for entry in self._waiting if entry[0] is not connection]

    def _asked(self, connection: ServerConnection, asked: Asked) -> None:
        parts = urlsplit(asked.path)
        query = parse_qs(parts.query)
        if parts.path != "/registry/instances":
            connection.write(answer("404 Not Found"))
        elif "from" not in query:
            self._answer(connection, None)
        else:
            since = int(query["from"][0])
            hold = min(LONGEST_HOLD_MS, int(query.get("hold_ms", ["0"])[0]))
            if since < self.seq:
                self._answer(connection, since)
            else:
                self._waiting.append((connection, since))
                self.world.after(hold * MS, partial(self._held, connection, since))

    def _held(self, connection: ServerConnection, since: int) -> None:
        if (connection, since) in self._waiting:
            self._waiting.remove((connection, since))
            self._answer(connection, since)

    def _answer(self, connection: ServerConnection, since: int | None) -> None:
        whole = since is None or (bool(self.changes) and since + 1 < self.changes[0][0])
        if whole:
            entries = list(self.list.values())
        else:
            latest = {change.machine.name: change for seq, change in self.changes if since is not None and seq > since}
            entries = list(latest.values())
        self.world.told(faults.scheduler_name(self.place), entries)
        hosts = [self.world.host(entry, self.place) for entry in entries]
        body = json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}).encode()
        if not connection.closed:
            connection.write(answer("200 OK", body))

    def known(self) -> dict[str, Any]:
        """Return the list for a scheduler that starts again."""
        return {
            "seq": self.seq,
            "whole": True,
            "hosts": [self.world.host(entry, self.place) for entry in self.list.values()],
        }
