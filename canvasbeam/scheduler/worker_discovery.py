"""Discovery: the endpoint list, kept up to date by one watch after another.

It owns the connection to discovery, the version last told, and the reading of discovery's entries. It must
never judge a worker's health, never leave more than the allowed gap between two calls while discovery
answers, never drop the list because discovery is silent or has moved, never take news of a connection
that it has left, and never call a discovery that fails as often as one that answers.
"""

from __future__ import annotations

import errno
import ipaddress
import json
import logging
import random
import socket
from datetime import timedelta
from typing import Any

import httptools

from canvasbeam.dispatch.events import ListKind, WorkerState
from canvasbeam.dispatch.json_fields import Fields, WireError, number, required, text, whole_number
from canvasbeam.dispatch.settings import Discovery
from canvasbeam.scheduler.limits import Limits, span_of
from canvasbeam.scheduler.loop import Deadline, Loop, Stream
from canvasbeam.scheduler.request_coordinator import RequestCoordinator
from canvasbeam.scheduler.worker_table import ListedWorker

log = logging.getLogger(__name__)

STATES = {
    "Ready": WorkerState.LIVE,
    "Terminating": WorkerState.DRAINING,
    "Gone": WorkerState.GONE,
}

LONGEST_DOUBLING = 16  # guards against a power that no span holds

# What a system call fails with where this machine lacks descriptors, memory or ports.
SCARCE = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}


def read_address(text: str) -> tuple[str, int]:
    """Return a numeric address and its port; raise `ValueError` for any other text."""
    host, colon, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        # Guards the loop: looking up a name blocks, and there may be nobody to ask.
        ipaddress.ip_address(host)
    except ValueError:
        colon = ""
    if not colon or not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is not a numeric address and a port")
    return host, int(port)


def connect(address: tuple[str, int]) -> socket.socket:
    """Return a socket that is connecting; raise `OSError` where it fails at once."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setblocking(False)
    failed = sock.connect_ex(address)
    if failed not in (0, errno.EINPROGRESS):
        sock.close()
        raise OSError(failed, "connect")
    return sock


def read_worker(fields: Fields, born: timedelta) -> ListedWorker:
    """Return one entry of discovery's list; `born` is the Unix time of the loop's zero."""
    started = whole_number(fields, "born_ms", 0)
    return ListedWorker(
        name=text(fields, "host"),
        address=read_address(text(fields, "dial")),
        zone=text(fields, "site"),
        kind=str(fields.get("class") or ""),
        cell=whole_number(fields, "block", 0),
        # A state not known here is no invitation to send.
        state=STATES.get(text(fields, "health"), WorkerState.DRAINING),
        weight=number(fields, "share", 1.0),
        started=timedelta(milliseconds=started) - born if started > 0 else None,
    )


def read_list(message: Fields, born: timedelta) -> tuple[bool, list[ListedWorker], int]:
    """Return whether a list is complete, its workers, and its version."""
    hosts = required(message, "hosts")
    if not isinstance(hosts, list) or not all(isinstance(host, dict) for host in hosts):
        raise WireError("discovery: hosts is not a list of objects")
    workers = []
    for host in hosts:
        try:
            workers.append(read_worker(host, born))
        except (WireError, ValueError, OverflowError) as error:
            # Guards the list: one worker that cannot be read must not hide all others.
            log.warning("discovery names a target that cannot be used: %s", error)
    return bool(message.get("whole")), workers, whole_number(message, "seq")


def read_answer(status: int, body: bytes) -> Fields:
    """Return the message in an answer of discovery; raise `WireError` or `ValueError` where there is none."""
    if status != 200:
        raise WireError(f"discovery answered {status}")
    message = json.loads(body)
    if not isinstance(message, dict):
        raise WireError("discovery's answer is no object")
    return message


class WorkerDiscovery:
    """Keeps the coordinator's list as discovery tells it."""

    def __init__(
        self,
        loop: Loop,
        coordinator: RequestCoordinator,
        limits: Limits,
        address: tuple[str, int],
        born: timedelta,
        *,
        whose: str = "",
    ) -> None:
        """`whose` is unlike any other scheduler's, so that the calls of many that fail together part."""
        self._loop = loop
        self._coordinator = coordinator
        self._limits = limits
        self.address = address
        self._born = born
        self._version: int | None = None
        self._connection: _Discovery | None = None
        self._wait: Deadline | None = None
        self._asked = timedelta(0)
        self._fails = 0  # calls in a row
        # Who has not asked for the rules' time counts as told; a call that failed leaves four times as long.
        ask_every = span_of(coordinator.settings.rules.list_interval_ns) or limits.list_spread * 2
        self._spread_most = min(ask_every, limits.list_gap) * 0.9
        self._random = random.Random(whose)

    def start(self, known: Fields) -> None:
        """Begin with the list as it was last held, then ask for what changed since.

        Guards discovery: it is one service for all schedulers and works for each line that it sends. Many that
        start together and ask for the whole list keep each other from getting it.
        """
        if known:
            is_complete, workers, version = read_list(known, self._born)
            self._coordinator.listed(ListKind.WARM_COPY, workers, version)
            if is_complete and workers and "seq" in known:
                self._version = version
        if self._spares():
            spread = min(self._limits.list_spread, self._spread_most)
            self._wait = self._loop.after(spread * self._random.random(), self._ask)
        else:
            self._ask()

    def _spares(self) -> bool:
        """Return whether first calls are spread over time, and failed ones made again only after much longer.

        Guards discovery where lists must be asked for: each first call of a watch is work for it, also one that it
        turns away; what it tells a watch that stands is not. Of 40 schedulers that started together 16 got a
        watch, and the others' calls kept each other, and what the 16 were to be told, waiting for good.
        """
        lines = self._coordinator.settings.dispatchers * len(self._coordinator.workers)
        return self._coordinator.settings.discovery is Discovery.ASKED and lines > self._limits.spared_lines

    def move(self, address: tuple[str, int]) -> None:
        """Follow discovery at another address from now on; the list stays until the new one has told its own.

        The version belongs to the old one, so the whole list is asked for first.
        """
        self._loop.cancel(self._wait)
        self._hang_up()
        self.address = address
        self._version = None
        self._fails = 0
        self._ask()

    def _ask(self) -> None:
        """Make the next call: for the complete list first, then one watch after another."""
        self._wait = None
        self._asked = self._loop.now
        path, patience = "/registry/instances", self._limits.list_wait
        if self._version is not None:
            hold = self._limits.watch_hold
            path += f"?from={self._version}&hold_ms={hold // timedelta(milliseconds=1)}"
            patience = max(hold + self._limits.watch_slack, self._limits.list_wait)
        try:
            connection = self._connection
            if connection is None:
                sock = connect(self.address)
                connection = self._connection = _Discovery(self._loop, sock, self._limits, self)
        except OSError as error:
            self._failed(f"discovery is not reached: {error}")
            return
        host = f"{self.address[0]}:{self.address[1]}"
        # Guards against a watch that discovery never answers: the list would stand still unnoticed.
        self._wait = self._loop.after(patience, lambda: self.failed(connection, "discovery did not answer"))
        connection.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())

    def answered(self, connection: _Discovery, status: int, body: bytes, stays: bool) -> None:
        """Take an answer and ask again."""
        if connection is not self._connection:
            return  # guards the new discovery's list against what the one before it still says
        self._loop.cancel(self._wait)
        if not stays:
            self._hang_up()
        try:
            is_complete, workers, version = read_list(read_answer(status, body), self._born)
        except (WireError, ValueError) as error:
            self._failed(str(error))
            return
        first = self._version is None
        if self._fails:
            log.info("discovery answers again, after %d failed calls", self._fails)
        self._fails = 0
        if not is_complete and self._version is not None and version < self._version:
            # Guards the list against a discovery that began anew: what it counts is not what was known.
            log.warning("discovery is at version %d, before %d: the whole list is asked for", version, self._version)
            self._version = None
            self._ask()
            return
        if is_complete or workers:
            kind = ListKind.COMPLETE if is_complete else ListKind.CHANGES
            self._coordinator.listed(kind, workers, version)
        self._version = version  # after an exception above, the next call asks for the same changes again
        # Guards against a spin where answers come back at once; the gap is far under the one allowed.
        if not first and self._loop.now - self._asked < self._limits.watch_gap:
            self._wait = self._loop.after(self._limits.watch_gap, self._ask)
        else:
            self._ask()

    def failed(self, connection: _Discovery, why: str) -> None:
        """Take the failure of a connection. One that was left before fails late: its successor goes on."""
        if connection is self._connection:
            self._failed(why)

    def _failed(self, why: str) -> None:
        """Ask again on a new connection after a failed call, soon at first, then less and less often.

        Guards discovery: at 40 schedulers that each asked ten times a second nobody's call came through for as
        long as they went on. The pauses differ from one scheduler to the next, else all would ask together.
        """
        first, grows, most = self._limits.watch_retry, 2.0, self._limits.watch_retry_most
        if self._spares():
            first, grows, most = self._limits.list_spread, 1.5, 2 * self._spread_most
        # Guards the list: a change that this call missed counts as told, however many calls failed before it.
        longest = max(self._asked + self._limits.list_gap - self._loop.now, self._limits.watch_retry)
        pause = min(first * grows ** min(self._fails, LONGEST_DOUBLING), most, longest)
        pause *= self._random.uniform(0.5, 1.0)
        self._fails += 1
        log.warning("%s; asked again in %.2f s", why, pause.total_seconds())
        self._loop.cancel(self._wait)
        self._hang_up()
        self._coordinator.on_list_lost()
        self._wait = self._loop.after(pause, self._ask)

    def _hang_up(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class _Discovery(Stream):
    """The connection to discovery, and the answer being read on it."""

    rank = 0

    def __init__(self, loop: Loop, sock: socket.socket, limits: Limits, group: WorkerDiscovery) -> None:
        super().__init__(loop, sock, limits.read, connected=False)
        self._limits = limits
        self._group = group
        self._parser: Any = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._done = False
        self._stays = False

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body, from the parser."""
        self._body += data

    def on_message_complete(self) -> None:
        """Take the end of an answer, from the parser."""
        self._done = True
        self._stays = bool(self._parser.should_keep_alive())  # only known inside this callback

    def on_connected(self) -> None:
        self._write_out()

    def on_data(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._group.failed(self, f"discovery's answer is garbled: {error}")
            return
        if len(self._body) > self._limits.list_body:
            self._group.failed(self, "discovery's answer is too long")
        elif self._done:
            body, status = bytes(self._body), self._parser.get_status_code()
            self._body.clear()
            self._done = False
            self._group.answered(self, status, body, self._stays)

    def on_eof(self) -> None:
        self._group.failed(self, "discovery closed the connection")

    def on_broken(self, error: OSError) -> None:
        self._group.failed(self, f"discovery's connection broke: {error}")

    def on_failure(self) -> None:
        self._group.failed(self, "discovery's answer could not be handled")
