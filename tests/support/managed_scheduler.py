"""A scheduler in this process with a management address, and the callers of that address."""

from __future__ import annotations

import socket

from canvasbeam.admin.handover import Handover
from canvasbeam.admin.operations import SchedulerOperations
from canvasbeam.admin.server import ManagementListener
from canvasbeam.scheduler.limits import Limits
from tests.support.loopback import Peer, Server, World


class ManagedScheduler(World):
    """A scheduler, its workers and its clients on loopback, with a management address."""

    def __init__(self, *servers: Server, limits: Limits | None = None, handover: Handover | None = None) -> None:
        super().__init__(*servers, limits=limits)
        self.operations = SchedulerOperations(self.coordinator, self.listener, handover)
        self.mgmt = ManagementListener.bind(self.loop, self.limits, self.operations, ("127.0.0.1", 0))
        self.mgmt_address: tuple[str, int] = self.mgmt.sock.getsockname()

    def caller(self, data: bytes = b"") -> Peer:
        """A caller on the management address that has written this."""
        peer = Peer(socket.create_connection(self.mgmt_address))
        if data:
            peer.say(data)
        return peer

    def call(self, data: bytes) -> str:
        """The whole answer to one call, once the connection has ended."""
        peer = self.caller(data)
        self.until(lambda: peer.look() and peer.ended)
        return peer.got.decode()


def status(answer: str) -> int:
    return int(answer.split()[1])


def request_maintenance(world: ManagedScheduler, worker: str, verb: str = "maint") -> int:
    return status(world.call(f"POST /workers/{worker}/{verb} HTTP/1.1\r\n\r\n".encode()))
