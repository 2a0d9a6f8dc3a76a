"""Host dispatchers on the simulator's wire: JSON lines in, JSON lines out.

The names of the wire ("runner", "hop") are translated here alone. The module decides nothing. Batches are answered one
after the other; whatever breaks the wire ends the program with status 1 and one line on standard error.
"""

from __future__ import annotations

import base64
import binascii
import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO, cast

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
from canvasbeam.dispatch.json_fields import (
    Fields,
    WireError,
    choice,
    number,
    required,
    section,
    text,
    whole_number,
)
from canvasbeam.dispatch.settings_json import read_settings

BEGIN_BATCH = "BeginBatch"
END_BATCH = "Commit"
LAUNCH = "Launch"
DETACH = "Detach"
WORKER_LIST = "Ledger"

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
# By their codes.
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
# The kinds of notes on attempts.
STARTED_NOTE = 1
PROGRESS_NOTE = 2


# --- events


def read_entry(fields: Fields) -> WorkerEntry:
    """Return one worker of a list."""
    return WorkerEntry(
        worker=text(fields, "runner"),
        zone=text(fields, "locality"),
        kind=str(fields.get("sku") or ""),
        cell=whole_number(fields, "group", 0),
        state=choice(fields, "stageState", STATES, WorkerState.LIVE),
        weight=number(fields, "heft", 1.0),
        started_ns=whole_number(fields, "onlineSinceNs", 0),
    )


def read_arrival(fields: Fields) -> RequestArrived:
    """Return a request that arrived."""
    return RequestArrived(
        request_id=text(fields, "requestId"),
        request_class=text(fields, "grade"),
        deadline_ns=whole_number(fields, "dueNs"),
        tenant=fields.get("userGroup") or None,
        key=fields.get("partitionKey"),
        service_hint_ns=whole_number(fields, "effortNs", 0),
        slots=number(fields, "width", 1.0),
        memory=number(fields, "ramUnits", 0.0),
        repeat=bool(fields.get("repeat")),
        write=bool(fields.get("update")),
        is_returning=bool(fields.get("cameBack")),
    )


def read_note(fields: Fields) -> Event | None:
    """Return a note on an attempt; kinds not known are skipped."""
    request_id = text(fields, "requestId")
    attempt = whole_number(fields, "hop", 0)
    worker = text(fields, "runner")
    kind = whole_number(fields, "kind")
    if kind == STARTED_NOTE:
        return AttemptStarted(request_id, attempt, worker)
    if kind == PROGRESS_NOTE:
        return AttemptProgressed(request_id, attempt, worker, number(fields, "value", 0.0))
    return None


def read_stream_opened(fields: Fields) -> StreamOpened:
    """Return that the answer of an attempt has begun."""
    return StreamOpened(
        text(fields, "requestId"),
        whole_number(fields, "hop", 0),
        text(fields, "runner"),
        whole_number(fields, "rttNs", 0),
    )


def read_peer_message(fields: Fields) -> PeerMessageReceived:
    """Return a message of another dispatcher."""
    try:
        content = base64.b64decode(text(fields, "content"), validate=True)
    except (binascii.Error, ValueError) as error:
        raise WireError("Memo: field content is not base64") from error
    return PeerMessageReceived(whole_number(fields, "sender", 0), content)


class Instance:
    """One hosted dispatcher and what has come in for it in this batch."""

    def __init__(self, fields: Fields) -> None:
        """Make a dispatcher by the settings of a message; raises `WireError`."""
        options = required(fields, "options")
        if not isinstance(options, dict):
            raise WireError("Launch: field options is not an object")
        try:
            settings, self._report_names = read_settings(options)
            seed = whole_number(fields, "randomSeed", 0)
        except ValueError as error:
            raise WireError(f"Launch: {error}") from error
        self.dispatcher = Dispatcher(settings, seed)
        self.pending: list[Event] = []

    def read_report(self, fields: Fields) -> dict[str, float] | None:
        """Return the load report that came along, in this project's names."""
        stats = section(fields, "stats")
        return {self._report_names.get(name, name): number(stats, name, 0.0) for name in stats} or None

    def read_attempt_ended(self, fields: Fields) -> AttemptEnded:
        """Return how an attempt ended."""
        return AttemptEnded(
            request_id=text(fields, "requestId"),
            attempt=whole_number(fields, "hop", 0),
            worker=text(fields, "runner"),
            outcome=choice(fields, "code", OUTCOMES),
            elapsed_ns=whole_number(fields, "rttNs", 0),
            final=bool(fields.get("final")),
            remark=whole_number(fields, "remark", 0),
            report=self.read_report(fields),
        )

    def read_health_check_ended(self, fields: Fields) -> HealthCheckEnded:
        """Return how a health check ended."""
        return HealthCheckEnded(
            text(fields, "runner"),
            choice(fields, "code", OUTCOMES),
            whole_number(fields, "rttNs", 0),
            self.read_report(fields),
        )


# --- actions

# How each action stands on the wire, without its instance.
ENCODERS: dict[type, Callable[[Any], Fields]] = {
    StartAttempt: lambda action: {
        "t": "Issue",
        "requestId": action.request_id,
        "runner": action.worker,
        "capNs": action.timeout_ns,
    },
    CancelAttempt: lambda action: {"t": "Abandon", "requestId": action.request_id, "hop": action.attempt},
    RejectRequest: lambda action: {
        "t": "Decline",
        "requestId": action.request_id,
        "comeBackNs": action.retry_after_ns,
    },
    FailRequest: lambda action: {"t": "Surrender", "requestId": action.request_id},
    SetTimer: lambda action: {"t": "Arm", "nonce": action.token, "whenNs": action.when_ns},
    CheckHealth: lambda action: {"t": "Poll", "runner": action.worker},
    CloseIdleConnections: lambda action: {"t": "FreeLinks", "runner": action.worker},
    SendToPeer: lambda action: {
        "t": "Post",
        "target": action.peer,
        "content": base64.b64encode(action.content).decode(),
    },
    WriteLog: lambda action: {"t": "JournalLine", "text": action.text},
    WatchWorkers: lambda action: {"t": "Observe", "enable": action.enable},
    FetchWorkerList: lambda action: {"t": "Lookup"},
}


def encode(action: Action) -> Fields:
    """Return an action in the wire's words, without its instance."""
    return ENCODERS[type(action)](action)


# --- hosting


class Host:
    """Keeps many isolated instances and answers one batch after another."""

    def __init__(self, lines: Iterable[str], out: TextIO, err: TextIO) -> None:
        """Read messages from `lines`, answer on `out`, and tell of what is skipped on `err`."""
        self._lines = iter(lines)
        self._out = out
        self._err = err
        self._lists: dict[int, tuple[WorkerEntry, ...]] = {}
        self._instances: dict[int, Instance] = {}
        self._addressed: dict[int, None] = {}  # instances with events in this batch, in their order
        self._readers: dict[str, Callable[[Instance, Fields], Event | None]] = {
            "BackendsChanged": lambda _, fields: self._read_workers(fields),
            "WorkItem": lambda _, fields: read_arrival(fields),
            "Opened": lambda _, fields: read_stream_opened(fields),
            "UpdateOf": lambda _, fields: read_note(fields),
            "Answer": lambda instance, fields: instance.read_attempt_ended(fields),
            "Hangup": lambda _, fields: ClientDisconnected(text(fields, "requestId")),
            "TimeoutFired": lambda _, fields: TimerFired(text(fields, "nonce")),
            "CheckResult": lambda instance, fields: instance.read_health_check_ended(fields),
            "Memo": lambda _, fields: read_peer_message(fields),
        }

    def run(self) -> None:
        """Answer batches until the input ends; raises `WireError` where the input breaks the wire."""
        while (opening := self._next_message()) is not None:
            if opening.get("t") != BEGIN_BATCH:
                raise WireError(f"expected BeginBatch, got {opening.get('t')!r}")
            now, batch = whole_number(opening, "clockNs"), whole_number(opening, "turn")
            self._addressed.clear()
            while (message := self._next_message()) is not None and message.get("t") != END_BATCH:
                self._take(message)
            if message is None:
                raise WireError("input ended inside a batch")
            self._reply(now, batch)

    def _next_message(self) -> Fields | None:
        """Return the next message; none at the end of the input."""
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
        """Take one message of a batch: a list of workers, an instance's begin or end, or an event for it."""
        tag = message["t"]
        if tag == BEGIN_BATCH:
            raise WireError("BeginBatch inside a batch")
        if tag == WORKER_LIST:
            self._take_list(message)
        elif tag == LAUNCH:
            self._launch(message)
        elif tag == DETACH:
            self._detach(message)
        elif tag in self._readers:
            self._take_event(message)
        else:
            print(f"skipped an unknown event {tag!r}", file=self._err)

    def _take_list(self, message: Fields) -> None:
        """Keep a list of workers, to which events refer by its number."""
        entries = cast("list[Fields]", required(message, "elements"))
        self._lists[whole_number(message, "buffer")] = tuple(read_entry(entry) for entry in entries)

    def _launch(self, message: Fields) -> None:
        """Begin an instance."""
        instance_number = whole_number(message, "i")
        self._instances[instance_number] = Instance(message)
        self._addressed[instance_number] = None

    def _detach(self, message: Fields) -> None:
        """End an instance."""
        instance_number, _ = self._find_instance(message)
        del self._instances[instance_number]
        self._addressed.pop(instance_number, None)

    def _take_event(self, message: Fields) -> None:
        """Keep an event for its instance."""
        instance_number, instance = self._find_instance(message)
        event = self._readers[message["t"]](instance, message)
        self._addressed[instance_number] = None
        if event is not None:
            instance.pending.append(event)

    def _find_instance(self, message: Fields) -> tuple[int, Instance]:
        """Return the instance that a message is for, with its number."""
        instance_number = whole_number(message, "i")
        instance = self._instances.get(instance_number)
        if instance is None:
            raise WireError(f"{message['t']}: instance {instance_number} is unknown")
        return instance_number, instance

    def _read_workers(self, fields: Fields) -> WorkersListed:
        """Return what discovery lists."""
        kind = choice(fields, "scope", LIST_KINDS)
        if kind is ListKind.LOST:
            return WorkersListed(kind)
        list_number = whole_number(fields, "buffer")
        if list_number not in self._lists:
            raise WireError(f"BackendsChanged: list {list_number} was never given")
        return WorkersListed(kind, self._lists[list_number], whole_number(fields, "rev", 0))

    def _reply(self, now: int, batch: int) -> None:
        """Have the instances decide, and write their actions and the end of the batch."""
        lines: list[str] = []
        for instance_number in self._addressed:
            instance = self._instances[instance_number]
            events, instance.pending = instance.pending, []
            try:
                actions = [encode(action) for action in instance.dispatcher.handle(now, events)]
            except Exception as error:  # the wire wants any failure of the decisions as Broken
                actions = [{"t": "Broken", "text": f"{type(error).__name__}: {error}"}]
            for fields in actions:
                tag = fields.pop("t")
                lines.append(_to_line({"t": tag, "i": instance_number, **fields}))
        lines.append(_to_line({"t": "Eor", "turn": batch}))
        self._out.write("\n".join(lines) + "\n")
        self._out.flush()


def _to_line(fields: Fields) -> str:
    """Return a message as a line of JSON."""
    return json.dumps(fields, separators=(",", ":"))


def main() -> int:
    """Host instances on standard input and output; return 1 where the input broke the wire."""
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
