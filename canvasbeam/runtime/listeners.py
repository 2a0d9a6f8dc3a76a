"""Listening sockets that are opened before the other modules of a program are imported.

Imports take most of the startup time. A client that connects during the imports waits in the backlog of the socket and
is served once the program runs; without the open socket, the connection would be refused.
"""

from __future__ import annotations

import socket
from collections.abc import Iterable, Mapping

from canvasbeam.errors import Failure
from canvasbeam.runtime.settings import Address, load_settings, settings_path

LISTEN_BACKLOG = 256  # connections that wait to be accepted, each with up to twice `RECEIVE_BUFFER_BYTES`
# Kernel buffers of an accepted connection. The kernel doubles these sizes for its own bookkeeping, and without them it
# lets each buffer grow to several megabytes if this process or the peer does not read.
RECEIVE_BUFFER_BYTES = 16384
SEND_BUFFER_BYTES = 16384
CONNECTION_KERNEL_BYTES = 2 * (RECEIVE_BUFFER_BYTES + SEND_BUFFER_BYTES)

Listeners = Mapping[str, socket.socket]


def open_listener(address: Address) -> socket.socket:
    """Return a non-blocking socket that listens on `address`; raise `OSError` if the address cannot be bound."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listener.setblocking(False)
        listener.bind((address.host, address.port))
        listener.listen(LISTEN_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def open_listeners(names: Iterable[str]) -> dict[str, socket.socket]:
    """Open a listener for each of the given names that has an address in the `listen` table of the settings file.

    Listeners that cannot be opened are omitted without an error, and so are all listeners if the settings file is
    invalid: the program then gets the same error when it starts, and reports the error.
    """
    settings = load_settings(settings_path())
    if isinstance(settings, Failure):
        return {}
    opened = {}
    for name in names:
        if name in settings.listen:
            try:
                opened[name] = open_listener(settings.listen[name])
            except OSError:
                continue
    return opened
