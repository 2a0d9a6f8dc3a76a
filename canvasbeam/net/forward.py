"""Forwards and probes: the connections to targets and what travels on them.

It owns every connection to a target, the idle ones kept for reuse, and the reading of a target's answer
into one outcome. It must never send a request a second time, never call a forward unrun unless its last
byte was provably not written, and never choose or judge a target.
"""

from __future__ import annotations

import contextlib
import json
import logging
import math
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import httptools

from canvasbeam.interface import Effect, Outcome
from canvasbeam.net.core import Core
from canvasbeam.net.limits import ZERO, Limits
from canvasbeam.net.loop import Deadline, Loop, Stream
from canvasbeam.net.requests import Attempt
from canvasbeam.net.target_group import SCARCE, connect
from canvasbeam.net.target_table import Target

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Call:
    """What a forward carries. `headers` are whole lines, without the ones that a forward writes itself."""

    call_id: str
    method: bytes
    path: bytes
    headers: bytes
    body: bytes

    def head(self, host: str, budget: timedelta) -> bytes:
        """The request's head; the budget is what the scheduler will wait from now."""
        left = max(budget, ZERO).total_seconds()
        return (
            self.method + b" " + self.path + b" HTTP/1.1\r\nHost: " + host.encode() + b"\r\n" + self.headers
            + f"X-Budget: {left:.6f}\r\nContent-Length: {len(self.body)}\r\n\r\n".encode()
        )  # fmt: skip


def read_report(value: object, names: Mapping[str, str]) -> dict[str, float] | None:
    """A load report, from an object or from `name=value,name=value`; what is not a number is skipped."""
    if isinstance(value, str):
        value = dict(each.strip().partition("=")[::2] for each in value.split(","))
    if not isinstance(value, dict):
        return None
    report = {}
    for name, figure in value.items():
        try:
            read = float(figure)
        except (TypeError, ValueError, OverflowError):
            continue
        if math.isfinite(read):  # guards the decisions, which reckon with it
            report[names.get(name, name)] = read
    return report or None


class Forwarder:
    """Carries the core's forwards and probes to targets."""

    def __init__(self, loop: Loop, core: Core, limits: Limits, report_names: Mapping[str, str]) -> None:
        self.loop = loop
        self.core = core
        self.limits = limits
        self.report_names = report_names
        self.connections = 0
        self.opened = 0
        self._distrust_until = ZERO
        self._idle: dict[str, list[TargetConnection]] = {}  # the newest last

    # --- what the core asks for -------------------------------------------------------------------

    def send(self, attempt: Attempt, target: Target) -> None:
        """Start a forward on the newest idle connection, or on a new one."""
        # Guards jobs that must not run twice: a kept connection may break at a request's very last byte,
        # when nothing is proved any more. New ones were not seen to.
        is_new = attempt.effect is Effect.UNSAFE and self.loop.now < self._distrust_until
        connection = self._connection_to(target, is_new, attempt.effect is not Effect.SAFE)
        if connection is None:
            self.core.attempt_ended(attempt, Outcome.MOOT)
        elif isinstance(connection, OSError):
            self.core.attempt_ended(attempt, Outcome.CONNECT_FAILED)
        else:
            attempt.carrier = connection
            connection.carry(attempt)

    def withdraw(self, attempt: Attempt) -> bool:
        """Stop a forward by closing its connection; whether its last byte had been written."""
        connection = attempt.carrier
        if not isinstance(connection, TargetConnection) or connection.attempt is not attempt:
            return attempt.written is not None
        written = attempt.written is not None and not connection.unwritten
        connection.attempt = None
        connection.close()
        return written

    def probe(self, target: Target) -> None:
        """Ask a target for its load report."""
        connection = self._connection_to(target)
        if isinstance(connection, TargetConnection):
            connection.carry(Probe(target.name, self.loop.now))
        else:
            self.core.probe_ended(target.name, Outcome.CONNECT_FAILED, ZERO)

    def close_idle(self, target: str) -> None:
        """Close the idle connections to a target."""
        for connection in tuple(self._idle.get(target, ())):
            connection.close()

    # --- connections ------------------------------------------------------------------------------

    @property
    def idle(self) -> int:
        """Connections that stand idle."""
        return sum(map(len, self._idle.values()))

    def kept_broke(self) -> None:
        """A kept connection broke under a request, before a byte of its answer."""
        self._distrust_until = self.loop.now + self.limits.distrust

    def _connection_to(
        self, target: Target, is_new: bool = False, settled: bool = False
    ) -> TargetConnection | OSError | None:
        """An idle connection or a new one; an error where that failed at once, None where none is left.

        A settled one has been quiet for long enough that nothing more of its last answer is to come.
        """
        kept = [] if is_new else self._idle.get(target.name, [])
        since = self.loop.now - (self.limits.settle if settled else ZERO)
        for connection in reversed(tuple(kept)):  # the newest first
            if connection.idle_since > since:
                continue
            if connection.address == target.address and connection.is_quiet():
                kept.remove(connection)
                return connection
            connection.close()
        if self.connections >= self.limits.target_connections and not self._close_oldest_idle():
            log.warning("no connection left for target %s", target.name)
            return None
        try:
            sock = connect(target.address)
        except OSError as error:
            # What is lacking here is no fault of the target's: it must not be rested for it.
            return None if error.errno in SCARCE else error
        return TargetConnection(self, target, sock)

    def _close_oldest_idle(self) -> bool:
        idle = [kept[0] for kept in self._idle.values() if kept]
        if idle:
            min(idle, key=lambda each: each.idle_since).close()
        return bool(idle)

    def keep(self, connection: TargetConnection) -> None:
        """A connection is idle: keep it while its target is in the list under that address."""
        target = self.core.targets.get(connection.target)
        if target is None or target.address != connection.address:
            connection.close()
        else:
            kept = self._idle.setdefault(connection.target, [])
            kept.append(connection)
            # Guards a target's table of connections, and ours, against all that were opened for one job each.
            if len(kept) > self.limits.kept_idle:
                kept[0].close()

    def forget(self, connection: TargetConnection) -> None:
        """A connection was closed."""
        self.connections -= 1
        kept = self._idle.get(connection.target)
        if kept is not None and connection in kept:
            kept.remove(connection)
            if not kept:
                del self._idle[connection.target]


@dataclass(slots=True, eq=False)
class Probe:
    """One probe that is out."""

    target: str
    begun: timedelta


class TargetConnection(Stream):
    """One connection to a target: connecting, carrying one forward or probe, reading its tail, or idle."""

    rank = 1

    def __init__(self, owner: Forwarder, target: Target, sock: socket.socket) -> None:
        super().__init__(owner.loop, sock, owner.limits.read, connected=False)
        owner.connections += 1
        owner.opened += 1
        self.owner = owner
        self.target = target.name
        self.address = target.address
        self.attempt: Attempt | None = None
        self.probe: Probe | None = None
        self.idle_since = ZERO
        self._busy = False
        self._is_kept = False
        self._held = b""
        self._made = self.loop.now
        self._came_up_in = ZERO
        self._wait: Deadline | None = None
        self._reset()
        self._wait = self.loop.after(owner.limits.connect, self._not_connected, self)

    def _reset(self) -> None:
        self._parser: Any = httptools.HttpResponseParser(self)
        self._status = 0
        self._streams = False
        self._head_done = False
        self._head_size = 0
        self._complete = False
        self._stays = False
        self._speaks_on = False  # a second answer came behind the first
        self._garbled = False
        self._rejected = False
        self._report: dict[str, float] | None = None
        self._body = bytearray()

    # --- carrying ---------------------------------------------------------------------------------

    def carry(self, what: Attempt | Probe) -> None:
        """Take a forward or a probe; it is written once the connection is up."""
        if isinstance(what, Attempt):
            self.attempt = what
        else:
            self.probe = what
        self._busy = True
        if self.connected:
            self.loop.cancel(self._wait)
            self._begin()

    def _begin(self) -> None:
        host = f"{self.address[0]}:{self.address[1]}"
        if self.probe is not None:
            left = self.probe.begun + self.owner.limits.probe - self.loop.now
            self._wait = self.loop.after(left, self._probe_late, self)
            self.write(f"GET /stats HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            return
        attempt = self.attempt
        # Guards against a target that drains, or a client that leaves, while the connection comes up.
        if attempt is None or not self.owner.core.may_send(attempt):
            self.attempt = None
            self._be_idle()
            if attempt is not None:
                self.owner.core.attempt_ended(attempt, Outcome.MOOT)
            return
        call = attempt.request.payload
        assert isinstance(call, Call)
        self.owner.core.attempt_written(attempt)
        message = call.head(host, attempt.request.due - self.loop.now) + call.body
        if attempt.effect is Effect.SAFE:
            self.write(message)
            return
        # Guards jobs that must not run twice: a kept connection that the target has left, or a new one that
        # it drops, breaks at the first bytes. While the last byte is still here, the job provably never ran.
        self._held = message[-1:]
        self.write(message[:-1])
        self._write_last_later()

    @property
    def unwritten(self) -> int:
        return super().unwritten + len(self._held)

    def _write_last_later(self) -> None:
        limits = self.owner.limits
        span = min(max(limits.proof, 2 * self._came_up_in), limits.longest_proof)
        self.loop.after(span, self._write_last, self)

    def _write_last(self) -> None:
        if self._held and self.attempt is not None:
            if not self.owner.core.may_finish(self.attempt):
                # Guards the repeat window and the client's time, which go on while the last byte is held.
                self._finish(Outcome.MOOT)
                self.close()
            elif self.is_quiet():
                last, self._held = self._held, b""
                self.write(last)
            else:  # what has come is read in this pass, and may be the connection's end
                self._write_last_later()

    def on_written(self) -> None:
        if self.attempt is not None and not self._held and self.attempt.written is not None:
            self.owner.core.attempt_sent_whole(self.attempt)

    def on_connected(self) -> None:
        self.loop.cancel(self._wait)
        self._came_up_in = self.loop.now - self._made
        # Written once every socket of this pass has been read: a client that left in the same pass, or a
        # drain told in it, must still stop the forward.
        self.loop.at(self.loop.now, self._begin, self)

    def _not_connected(self) -> None:
        self._finish(Outcome.CONNECT_FAILED)
        self.close()

    def _probe_late(self) -> None:
        self._finish(Outcome.TIMED_OUT)
        self.close()

    def _be_idle(self) -> None:
        """Wait for the next forward, well within the time the target allows."""
        self._busy = False
        self._is_kept = True
        self.idle_since = self.loop.now
        self._reset()
        self.loop.cancel(self._wait)
        self._wait = self.loop.after(self.owner.limits.target_idle, self.close, self)
        self.owner.keep(self)

    # --- the answer -------------------------------------------------------------------------------

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header, from the parser."""
        if self._speaks_on:
            return
        name = name.lower()
        if name == b"x-rejected":
            self._rejected = value.strip() == b"1"
        elif name == b"x-load-report":
            self._report = read_report(value.decode("latin-1"), self.owner.report_names)

    def on_headers_complete(self) -> None:
        """The end of the head, from the parser."""
        if self._speaks_on:
            return
        self._status = self._parser.get_status_code()
        self._head_done = self._status >= 200
        self._streams = self._status == 200 and self.probe is None

    def on_body(self, data: bytes) -> None:
        """A part of the body, from the parser."""
        if not self._speaks_on:
            self._body += data

    def on_message_begin(self) -> None:
        """An answer begins, from the parser.

        Guards what the first one said: a second right behind it would be read in its place.
        """
        self._speaks_on = self._complete
        self._rejected = self._rejected and self._speaks_on  # what an interim answer said is not of the final one

    def on_message_complete(self) -> None:
        """The end of an answer, from the parser; an interim one is none."""
        self._complete = self._status >= 200
        # Asked here: once the parser has left this callback it answers no, and nothing would be reused.
        self._stays = self._parser.should_keep_alive()

    def on_data(self, data: bytes) -> None:
        """Read the answer. JSON lines may be split anywhere, across chunks as well."""
        if not self._busy:
            self.close()  # it must not speak unasked
            return
        if not self._head_done:
            self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._garbled = True
        if self._streams:
            self._read_lines()
        if len(self._body) > self.owner.limits.line:
            self._garbled = True
        if not self._head_done and self._head_size > self.owner.limits.head:
            self._garbled = True
        if self._garbled:
            # What came before may have run the job: a garbled answer is a connection that broke.
            self._break()
        elif self._complete:
            self._end_message()
        else:
            # A start that is told 40 ms late keeps the target shut to the next job for as long: with 0.1 s jobs
            # on three such targets, 48 jobs a second were served instead of 627.
            self.acknowledge()

    def _read_lines(self) -> None:
        while not self._garbled and (end := self._body.find(b"\n")) >= 0:
            line = bytes(self._body[:end])
            del self._body[: end + 1]
            if line.strip():
                self._read_line(line)
        if self._complete and self._body.strip() and not self._garbled:
            line = bytes(self._body)
            self._body.clear()
            self._read_line(line)

    def _read_line(self, line: bytes) -> None:
        """One object of a target's answer. After the last one only the framing's end is to come."""
        attempt = self.attempt
        if attempt is None:
            return
        call = attempt.request.payload
        try:
            said = json.loads(line)
            state = said["state"]
            if isinstance(call, Call) and said.get("id", call.call_id) != call.call_id:
                raise ValueError("another request's answer")
            if "load" in said:
                self._report = read_report(said["load"], self.owner.report_names)
            core = self.owner.core
            if state == "started":
                core.attempt_started(attempt)
            elif state == "running":
                core.attempt_progressed(attempt, float(said.get("share", 0.0)))
            elif state == "done":
                self._finish(Outcome.OK, said["result"].encode())
            elif state in ENDS:
                self._finish(ENDS[state])
            else:
                raise ValueError("unknown state")
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError):
            self._garbled = True

    def _end_message(self) -> None:
        if self.probe is not None:
            if self._status == 200 and self._body:
                text = self._body.decode("latin-1").strip()
                report: object = text
                if text.startswith("{"):
                    try:
                        report = json.loads(text)
                    except (ValueError, RecursionError):
                        report = None
                self._report = read_report(report, self.owner.report_names) or self._report
            self._finish(Outcome.OK if self._status == 200 else Outcome.ERROR)
        elif self.attempt is not None:
            if self._status == 200:
                self._finish(Outcome.BROKEN)  # it ended before the last line
            elif self._status in (503, 504) and self._rejected:
                self._finish(Outcome.FULL)
            elif self._status in UNUSABLE:
                attempt, self.attempt = self.attempt, None
                self.owner.core.attempt_unusable(attempt, self._report)
                self._finish(Outcome.CANCELLED)
            else:
                self._finish(Outcome.ERROR)
        if self.unwritten or not self._stays or self._speaks_on:
            self.close()
        else:
            self._be_idle()

    def _finish(self, outcome: Outcome, result: bytes = b"") -> None:
        """Report how the forward or probe ended, once."""
        attempt, self.attempt = self.attempt, None
        probe, self.probe = self.probe, None
        self.loop.cancel(self._wait)
        core = self.owner.core
        if attempt is not None:
            # Guards against a connection that never ends its framing after the last line.
            self._wait = self.loop.after(self.owner.limits.target_tail, self.close, self)
            core.attempt_ended(attempt, outcome, self._report, result)
        if probe is not None:
            core.probe_ended(probe.target, outcome, self.loop.now - probe.begun, self._report)

    # --- the end ----------------------------------------------------------------------------------

    def _break(self) -> None:
        """The connection broke. Only what was not written to the last byte is proved never to have run."""
        unwritten = self.attempt is not None and (self.attempt.written is None or self.unwritten > 0)
        if self._is_kept and self.attempt is not None and not self._head_size:
            self.owner.kept_broke()
        if not self.connected:
            self._finish(Outcome.CONNECT_FAILED)
        else:
            self._finish(Outcome.UNSENT if unwritten else Outcome.BROKEN)
        self.close()

    def on_eof(self) -> None:
        if self._streams and not self._complete:
            with contextlib.suppress(httptools.HttpParserError):
                self._parser.feed_data(b"")  # an answer framed by the connection's end is complete now
            self._read_lines()
        self._break()

    def on_broken(self, error: OSError) -> None:
        self._break()

    def on_failure(self) -> None:
        self._break()

    def close(self) -> None:
        """Close, and leave the idle ones; a deadline left over finds the slot empty."""
        if not self.closed:
            super().close()
            self.loop.cancel(self._wait)
            self.owner.forget(self)


# What a target says of the request, not of itself.
UNUSABLE = {400, 404, 405, 411, 413, 414, 415, 417, 422, 431}
ENDS = {"failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}
