"""Signals as events of the loop: SIGTERM and SIGINT begin the drain, SIGHUP has the file read again.

It owns the socket to which the signals are written, from the first moment of the process. It must never end or change a
running scheduler over a file that cannot be used.
"""

from __future__ import annotations

import logging
import os
import signal
import socket
from typing import TYPE_CHECKING

from canvasbeam.scheduler.configuration import CONFIGURATION_ERRORS, read_new_discovery
from canvasbeam.scheduler.listener import Listener
from canvasbeam.scheduler.loop import READ, Endpoint, Loop
from canvasbeam.scheduler.worker_discovery import WorkerDiscovery

if TYPE_CHECKING:
    from canvasbeam.gossip.datagram_node import PeerNode

log = logging.getLogger(__name__)
MAX_SIGNALS_PER_PASS = 256


class Signals(Endpoint):
    """Turns signals into events of the loop. They are caught from the first moment and wait until it runs."""

    NUMBERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        listener: Listener,
        group: WorkerDiscovery,
        peer_node: PeerNode | None = None,
    ) -> None:
        super().__init__(loop, sock)
        self._listener = listener
        self._group = group
        self._peer_node = peer_node
        self.wants(READ)

    @classmethod
    def catch(cls) -> socket.socket:
        """Have signals written to a socket; return its reading end."""
        reading_end, writing_end = socket.socketpair()
        writing_end.setblocking(False)
        signal.set_wakeup_fd(writing_end.detach(), warn_on_full_buffer=False)
        for number in cls.NUMBERS:
            signal.signal(number, lambda *_: None)
        return reading_end

    def on_event(self, mask: int) -> None:
        """Handle the signals that have come, each kind once."""
        numbers = self.sock.recv(MAX_SIGNALS_PER_PASS)
        if signal.SIGTERM in numbers or signal.SIGINT in numbers:
            has_begun = self._listener.drain()
            log.info("draining" if has_begun else "the end has begun already: nothing changes")
            if has_begun and self._peer_node is not None:
                self._peer_node.leave()
        if signal.SIGHUP in numbers:  # once, however many came: each would read the same file
            self._reload()

    def _reload(self) -> None:
        """Move to the discovery that the file names, also during a drain: pending requests may still need the list."""
        try:
            address = read_new_discovery(os.environ)
        except CONFIGURATION_ERRORS as error:
            # The text says what is wrong in the file; a traceback would say nothing of it.
            log.error(  # noqa: TRY400
                "LB_CONFIG is not taken up, all stays as it was: %s", " ".join(str(error).split())
            )
            return
        if address == self._group.address:
            log.info("LB_CONFIG read again: discovery stays at %s:%d", *address)
            return
        log.info("LB_CONFIG read again: discovery moves from %s:%d to %s:%d", *self._group.address, *address)
        self._group.move(address)

    def on_failure(self) -> None:
        """Log it, and keep the socket: later signals must still be handled."""
        log.error("a signal could not be handled")
