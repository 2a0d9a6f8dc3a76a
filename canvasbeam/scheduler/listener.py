"""The clients' listening socket: who is accepted, who is closed for a newcomer, and the planned shutdown.

It owns the table of clients' connections. It must never let clients that hold a connection and send nothing keep others
out, and never close a connection on which a request has come but was not read.
"""

from __future__ import annotations

import logging
import socket

from canvasbeam.runtime.planned_shutdown import Phase
from canvasbeam.scheduler.client_connection import ClientConnection, ClientState
from canvasbeam.scheduler.limits import Limits
from canvasbeam.scheduler.loop import READ, Deadline, Endpoint, Loop
from canvasbeam.scheduler.request_coordinator import RequestCoordinator
from canvasbeam.scheduler.worker_discovery import SCARCE

log = logging.getLogger(__name__)
# Linux and the BSDs have it; where it is missing the kernel rejects the option, which is logged.
REUSE_PORT: int = getattr(socket, "SO_REUSEPORT", 15)


class Listener(Endpoint):
    """Accepts clients, within the limit on their connections.

    It owns their table, the bytes of their bodies in memory, and the steps of the planned shutdown on sockets.
    """

    rank = 2

    def __init__(self, loop: Loop, coordinator: RequestCoordinator, limits: Limits, sock: socket.socket) -> None:
        super().__init__(loop, sock)
        self.coordinator = coordinator
        self.limits = limits
        self.connections: dict[int, ClientConnection] = {}
        self.must_leave = False  # the planned shutdown is over, whoever is still connected
        self.bodies = 0  # bytes of bodies that are read or still to be answered
        self._paused: Deadline | None = None
        self.wants(READ)

    @classmethod
    def bind(cls, loop: Loop, coordinator: RequestCoordinator, limits: Limits, address: tuple[str, int]) -> Listener:
        """Return a listener on this address, beside another process that listens there too (SO_REUSEPORT).

        Guards an upgrade: the next version starts while this one still serves, and the kernel spreads new
        connections over both until one closes its socket. OSError where the address cannot be bound.
        """
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.setsockopt(socket.SOL_SOCKET, REUSE_PORT, 1)
            except OSError as error:  # a system without it listens alone
                log.warning("the clients' address cannot be shared: %s", error)
            sock.bind(address)
            sock.listen(limits.backlog)
        except OSError:
            sock.close()
            raise
        return cls(loop, coordinator, limits, sock)

    @property
    def draining(self) -> bool:
        """Whether a planned shutdown has begun."""
        return self.coordinator.phase > Phase.SERVING

    @property
    def is_ready(self) -> bool:
        """Whether clients should send requests here."""
        return not self.draining and self.coordinator.can_serve()

    def on_event(self, mask: int) -> None:
        """Accept clients, at most so many in one pass."""
        self.accept_all(self.limits.accepts_per_pass)

    def accept_all(self, most: int) -> bool:
        """Accept at most `most` waiting clients; return whether none waits any more.

        Over the limit one connection is closed for each newcomer; when none may be, the rest waits in the backlog.
        """
        closable: list[ClientConnection] | None = None
        for _ in range(most):
            leaving = None
            if len(self.connections) >= self.limits.client_connections:
                closable = self._closable() if closable is None else closable
                leaving = self._next_to_close(closable)
                if leaving is None:
                    self._pause()
                    return False
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return True
            except OSError as error:
                if error.errno in SCARCE:
                    # Guards against a spin: the listening socket stays readable while no descriptor is left.
                    log.warning("cannot accept: %s", error)
                    leaving = leaving or self._next_to_close(self._closable())
                    self._pause()
                    if leaving is not None:
                        leaving.make_room()
                    return False
                continue  # the client disconnected before it was accepted
            # Only now that a client was accepted: else a full table would lose a connection for nothing.
            if leaving is not None:
                leaving.make_room()
            ClientConnection(self, sock)
        return False

    def _closable(self) -> list[ClientConnection]:
        """Return the connections that may be closed for a newcomer, the next one last.

        First those that never sent anything, then those that have been longest in their state.

        Guards usual clients against hundreds that connect and send nothing: those go first. Then a request in the
        middle of being written and a connection idle between requests are alike, and the older goes: a request
        that takes seconds to write is young, a connection that asked once and stays idle grows old. None goes that
        was only just opened or answered, as its next request may be on its way.
        """
        latest = self.loop.now - self.limits.client_grace
        connections = self.connections.values()
        closable = [
            connection
            for connection in connections
            if connection.state < ClientState.BUSY and connection.since <= latest
        ]
        return sorted(closable, key=lambda each: (min(each.state, ClientState.UNFINISHED), each.since))[::-1]

    def _next_to_close(self, closable: list[ClientConnection]) -> ClientConnection | None:
        """Take the next connection to close from the list; one whose request has come but was not read stays open."""
        while closable:
            connection = closable.pop()
            if not connection.closed and (connection.state is ClientState.LEAVING or connection.is_quiet()):
                return connection
        return None

    def remove(self, connection: ClientConnection) -> None:
        """Take a closed connection out of the table, and accept who waits in the backlog for its place."""
        self.connections.pop(connection.handle, None)
        if self._paused is not None and not self.closed:
            self.loop.cancel(self._paused)
            self._resume()

    def _pause(self) -> None:
        """Accept nobody for a while."""
        if self._paused is None:
            self.wants(0)
            self._paused = self.loop.after(self.limits.accept_pause, self._resume, self)

    def _resume(self) -> None:
        """Accept again."""
        self._paused = None
        self.wants(READ)

    def on_failure(self) -> None:
        """Accept again after a while: a failed accept must not end the listener."""
        self._pause()

    # --- planned shutdown -------------------------------------------------------------------------

    def drain(self) -> bool:
        """Begin the planned shutdown; return False where it had begun."""
        changes = self.coordinator.begin_shutdown()
        if not changes:
            return False
        window_ends, last_call, _, leave = changes
        self.loop.at(window_ends, self._end_window)
        self.loop.at(last_call, self._close_idle)
        self.loop.at(leave, self._leave)
        return True

    def _end_window(self) -> None:
        """Accept who has already connected, then listen no more; the connections stay."""
        if self.closed:
            return
        if self.accept_all(self.limits.backlog):
            self.close()
        else:
            # Guards clients that connect meanwhile: closed now, who waits in the backlog would be reset unanswered.
            self.loop.after(self.limits.accept_pause, self._end_window)

    def _close_idle(self) -> None:
        """Close, again and again, the connections on which no request waits for its answer."""
        for connection in tuple(self.connections.values()):
            connection.leave_if_idle()
        self.loop.after(self.limits.accept_pause, self._close_idle)

    def _leave(self) -> None:
        """Have the program end, whoever is still connected."""
        self.must_leave = True

    @property
    def is_drained(self) -> bool:
        """Whether the socket is closed and no client is connected."""
        return self.closed and not self.connections
