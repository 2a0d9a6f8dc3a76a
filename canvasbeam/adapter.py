"""Hosts dispatchers on the simulator's wire: JSON lines in, JSON lines out. It decides nothing."""

from __future__ import annotations

import base64
import binascii
import json
import sys
from collections.abc import Callable, Iterable
from typing import TextIO

from canvasbeam.dispatch.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchWorkerList,
    RejectRequest,
    SendToPeer,
    SetTimer,
    StartAttempt,
    WatchWorkers,
    WriteLog,
)
from canvasbeam.dispatch.dispatcher import Dispatcher
from canvasbeam.dispatch.events import (
    AttemptEnded,
    AttemptProgressed,
    AttemptStarted,
    ClientDisconnected,
    Event,
    HealthCheckEnded,
    ListKind,
    Outcome,
    PeerMessageReceived,
    RequestArrived,
    StreamOpened,
    TimerFired,
    WorkerEntry,
    WorkersListed,
    WorkerState,
)
from canvasbeam.dispatch.settings_json import (
    Fields,
    WireError,
    need,
    number,
    one_of,
    read_settings,
    section,
    whole,
    word,
)

STATES = {
    "live": WorkerState.LIVE,
    "quiescing": WorkerState.DRAINING,
    "dead": WorkerState.GONE,
}
LIST_KINDS = {
    "incr": ListKind.CHANGES,
    "total": ListKind.COMPLETE,
    "warm_copy": ListKind.WARM_COPY,
    "lost": ListKind.LOST,
}
OUTCOMES = dict(
    enumerate(
        (
            Outcome.OK,
            Outcome.ERROR,
            Outcome.FULL,
            Outcome.TIMED_OUT,
            Outcome.CONNECT_FAILED,
            Outcome.RESET,
            Outcome.CANCELLED,
            Outcome.MOOT,
        )
    )
)


# --- events -----------------------------------------------------------------------------------


def read_entry(fields: Fields) -> WorkerEntry:
    """One worker of a list."""
    return WorkerEntry(
        worker=word(fields, "runner"),
        zone=word(fields, "locality"),
        kind=str(fields.get("sku") or ""),
        cell=whole(fields, "group", 0),
        state=one_of(fields, "stageState", STATES, WorkerState.LIVE),
        weight=number(fields, "heft", 1.0),
        started_ns=whole(fields, "onlineSinceNs", 0),
    )


def read_job(fields: Fields) -> RequestArrived:
    """A job that was taken."""
    return RequestArrived(
        request_id=word(fields, "requestId"),
        request_class=word(fields, "grade"),
        deadline_ns=whole(fields, "dueNs"),
        tenant=fields.get("userGroup") or None,
        key=fields.get("partitionKey"),
        service_hint_ns=whole(fields, "effortNs", 0),
        slots=number(fields, "width", 1.0),
        memory=number(fields, "ramUnits", 0.0),
        repeat=bool(fields.get("repeat")),
        write=bool(fields.get("update")),
        is_returning=bool(fields.get("cameBack")),
    )


def read_note(fields: Fields) -> Event | None:
    """A note on an attempt; kinds not known are skipped."""
    job, attempt, worker = word(fields, "requestId"), whole(fields, "hop", 0), word(fields, "runner")
    kind = whole(fields, "kind")
    if kind == 1:
        return AttemptStarted(job, attempt, worker)
    if kind == 2:
        return AttemptProgressed(job, attempt, worker, number(fields, "value", 0.0))
    return None


def read_peer(fields: Fields) -> PeerMessageReceived:
    """A message of another dispatcher."""
    try:
        content = base64.b64decode(word(fields, "content"), validate=True)
    except (binascii.Error, ValueError) as error:
        raise WireError("Memo: field content is not base64") from error
    return PeerMessageReceived(whole(fields, "sender", 0), content)


class Instance:
    """One hosted dispatcher and what has come in for it in this batch."""

    def __init__(self, fields: Fields) -> None:
        options = need(fields, "options")
        if not isinstance(options, dict):
            raise WireError("Launch: field options is not an object")
        try:
            settings, self._report_names = read_settings(options)
            seed = whole(fields, "randomSeed", 0)
        except ValueError as error:
            raise WireError(f"Launch: {error}") from error
        self.dispatcher = Dispatcher(settings, seed)
        self.pending: list[Event] = []

    def read_report(self, fields: Fields) -> dict[str, float] | None:
        """The load report that came along, in this project's names."""
        stats = section(fields, "stats")
        return {self._report_names.get(name, name): number(stats, name, 0.0) for name in stats} or None

    def read_ended(self, fields: Fields) -> AttemptEnded:
        """How an attempt ended."""
        return AttemptEnded(
            request_id=word(fields, "requestId"),
            attempt=whole(fields, "hop", 0),
            worker=word(fields, "runner"),
            outcome=one_of(fields, "code", OUTCOMES),
            elapsed_ns=whole(fields, "rttNs", 0),
            final=bool(fields.get("final")),
            remark=whole(fields, "remark", 0),
            report=self.read_report(fields),
        )

    def read_probed(self, fields: Fields) -> HealthCheckEnded:
        """How a probe ended."""
        return HealthCheckEnded(
            word(fields, "runner"),
            one_of(fields, "code", OUTCOMES),
            whole(fields, "rttNs", 0),
            self.read_report(fields),
        )


# --- actions ----------------------------------------------------------------------------------


def encode(action: Action) -> Fields:
    """An action in the wire's words, without its instance."""
    match action:
        case StartAttempt(job, worker, timeout):
            return {"t": "Issue", "requestId": job, "runner": worker, "capNs": timeout}
        case CancelAttempt(job, attempt):
            return {"t": "Abandon", "requestId": job, "hop": attempt}
        case RejectRequest(job, come_back):
            return {"t": "Decline", "requestId": job, "comeBackNs": come_back}
        case FailRequest(job):
            return {"t": "Surrender", "requestId": job}
        case SetTimer(token, when):
            return {"t": "Arm", "nonce": token, "whenNs": when}
        case CheckHealth(worker):
            return {"t": "Poll", "runner": worker}
        case CloseIdleConnections(worker):
            return {"t": "FreeLinks", "runner": worker}
        case SendToPeer(peer, content):
            return {"t": "Post", "target": peer, "content": base64.b64encode(content).decode()}
        case WriteLog(text):
            return {"t": "JournalLine", "text": text}
        case WatchWorkers(enable):
            return {"t": "Observe", "enable": enable}
        case FetchWorkerList():
            return {"t": "Lookup"}


# --- hosting ----------------------------------------------------------------------------------


class Host:
    """Keeps many isolated instances and answers one batch after another."""

    def __init__(self, lines: Iterable[str], out: TextIO, err: TextIO) -> None:
        self._lines = iter(lines)
        self._out = out
        self._err = err
        self._lists: dict[int, tuple[WorkerEntry, ...]] = {}
        self._instances: dict[int, Instance] = {}
        self._touched: dict[int, None] = {}
        self._readers: dict[str, Callable[[Instance, Fields], Event | None]] = {
            "BackendsChanged": lambda _, fields: self._read_workers(fields),
            "WorkItem": lambda _, fields: read_job(fields),
            "Opened": lambda _, fields: StreamOpened(
                word(fields, "requestId"),
                whole(fields, "hop", 0),
                word(fields, "runner"),
                whole(fields, "rttNs", 0),
            ),
            "UpdateOf": lambda _, fields: read_note(fields),
            "Answer": lambda instance, fields: instance.read_ended(fields),
            "Hangup": lambda _, fields: ClientDisconnected(word(fields, "requestId")),
            "TimeoutFired": lambda _, fields: TimerFired(word(fields, "nonce")),
            "CheckResult": lambda instance, fields: instance.read_probed(fields),
            "Memo": lambda _, fields: read_peer(fields),
        }

    def run(self) -> None:
        """Answer batches until the input ends."""
        while (opening := self._next_message()) is not None:
            if opening.get("t") != "BeginBatch":
                raise WireError(f"expected BeginBatch, got {opening.get('t')!r}")
            now, turn = whole(opening, "clockNs"), whole(opening, "turn")
            self._touched.clear()
            while (message := self._next_message()) is not None and message.get("t") != "Commit":
                self._take(message)
            if message is None:
                raise WireError("input ended inside a batch")
            self._reply(now, turn)

    def _next_message(self) -> Fields | None:
        for line in self._lines:
            if not line.strip():
                continue
            try:
                message = json.loads(line)
            except ValueError as error:
                raise WireError("a line is not valid JSON") from error
            if not isinstance(message, dict) or not isinstance(message.get("t"), str):
                raise WireError("a line is not an object with the key t")
            return message
        return None

    def _take(self, message: Fields) -> None:
        """Read one event and keep it for its instance."""
        tag = message["t"]
        if tag == "BeginBatch":
            raise WireError("BeginBatch inside a batch")
        if tag == "Ledger":
            entries = need(message, "elements")
            self._lists[whole(message, "buffer")] = tuple(read_entry(each) for each in entries)
            return
        if tag not in self._readers and tag not in ("Launch", "Detach"):
            print(f"skipped an unknown event {tag!r}", file=self._err)
            return
        number_ = whole(message, "i")
        if tag == "Launch":
            self._instances[number_] = Instance(message)
            self._touched[number_] = None
            return
        instance = self._instances.get(number_)
        if instance is None:
            raise WireError(f"{tag}: instance {number_} is unknown")
        if tag == "Detach":
            del self._instances[number_]
            self._touched.pop(number_, None)
            return
        event = self._readers[tag](instance, message)
        self._touched[number_] = None
        if event is not None:
            instance.pending.append(event)

    def _read_workers(self, fields: Fields) -> WorkersListed:
        kind = one_of(fields, "scope", LIST_KINDS)
        if kind is ListKind.LOST:
            return WorkersListed(kind)
        buffer = whole(fields, "buffer")
        if buffer not in self._lists:
            raise WireError(f"BackendsChanged: list {buffer} was never given")
        return WorkersListed(kind, self._lists[buffer], whole(fields, "rev", 0))

    def _reply(self, now: int, turn: int) -> None:
        lines: list[str] = []
        for number_ in self._touched:
            instance = self._instances[number_]
            events, instance.pending = instance.pending, []
            try:
                actions = [encode(each) for each in instance.dispatcher.handle(now, events)]
            except Exception as error:  # the wire wants any failure of the decisions as Broken
                actions = [{"t": "Broken", "text": f"{type(error).__name__}: {error}"}]
            for fields in actions:
                tag = fields.pop("t")
                lines.append(json.dumps({"t": tag, "i": number_, **fields}, separators=(",", ":")))
        lines.append(json.dumps({"t": "Eor", "turn": turn}, separators=(",", ":")))
        self._out.write("\n".join(lines) + "\n")
        self._out.flush()


def main() -> int:
    """Host instances on standard input and output; 1 where the input broke the wire."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    try:
        Host(sys.stdin, sys.stdout, sys.stderr).run()
    except WireError as error:
        print(f"canvasbeam: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
