"""Run dispatchers for the simulator, with one JSON message per line on standard input and standard output.

The protocol's names ("runner", "hop") are translated in this module only. The module makes no dispatch decisions.
Batches are answered one after the other; input that violates the protocol ends the program with exit status 1 and one
line on standard error.
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
# The position of an outcome is its `code` in the simulator's protocol.
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
# Values of the field `kind` of an UpdateOf message.
STARTED_UPDATE = 1
PROGRESS_UPDATE = 2


# --- events


def read_entry(fields: Fields) -> WorkerEntry:
    """Decode one worker of an endpoint list."""
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
    """Decode the arrival of a request."""
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


def read_attempt_update(fields: Fields) -> Event | None:
    """Decode a status update of an attempt; return None if the kind of update is unknown."""
    request_id = text(fields, "requestId")
    attempt = whole_number(fields, "hop", 0)
    worker = text(fields, "runner")
    kind = whole_number(fields, "kind")
    if kind == STARTED_UPDATE:
        return AttemptStarted(request_id, attempt, worker)
    if kind == PROGRESS_UPDATE:
        return AttemptProgressed(request_id, attempt, worker, number(fields, "value", 0.0))
    return None


def read_stream_opened(fields: Fields) -> StreamOpened:
    """Decode the event that the response stream of an attempt has opened."""
    return StreamOpened(
        text(fields, "requestId"),
        whole_number(fields, "hop", 0),
        text(fields, "runner"),
        whole_number(fields, "rttNs", 0),
    )


def read_peer_message(fields: Fields) -> PeerMessageReceived:
    """Decode a message from another dispatcher; raise `WireError` if its content is not base64."""
    try:
        content = base64.b64decode(text(fields, "content"), validate=True)
    except (binascii.Error, ValueError) as error:
        raise WireError("Memo: field content is not valid base64") from error
    return PeerMessageReceived(whole_number(fields, "sender", 0), content)


class Instance:
    """One hosted dispatcher and the events of the current batch for this dispatcher."""

    def __init__(self, fields: Fields) -> None:
        """Create a dispatcher from the settings in a Launch message; raise `WireError` if these are invalid."""
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
        """Decode the worker's load report in a message, with its fields renamed; return None if there is no report."""
        stats = section(fields, "stats")
        return {self._report_names.get(name, name): number(stats, name, 0.0) for name in stats} or None

    def read_attempt_ended(self, fields: Fields) -> AttemptEnded:
        """Decode the end of an attempt."""
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
        """Decode the result of a health check."""
        return HealthCheckEnded(
            text(fields, "runner"),
            choice(fields, "code", OUTCOMES),
            whole_number(fields, "rttNs", 0),
            self.read_report(fields),
        )


# --- actions

# For each type of action, the function that encodes the action as a protocol message without the instance number.
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
    """Encode an action as a protocol message without the instance number."""
    return ENCODERS[type(action)](action)


# --- hosting


class Host:
    """Hosts isolated dispatcher instances and answers one batch of messages after another."""

    def __init__(self, lines: Iterable[str], out: TextIO, err: TextIO) -> None:
        """Read messages from `lines`, write replies to `out`, and report skipped messages on `err`."""
        self._lines = iter(lines)
        self._out = out
        self._err = err
        self._worker_lists: dict[int, tuple[WorkerEntry, ...]] = {}
        self._instances: dict[int, Instance] = {}
        # Numbers of the instances with messages in this batch, in order of their first message.
        self._instances_in_batch: dict[int, None] = {}
        self._readers: dict[str, Callable[[Instance, Fields], Event | None]] = {
            "BackendsChanged": lambda _, fields: self._read_workers(fields),
            "WorkItem": lambda _, fields: read_arrival(fields),
            "Opened": lambda _, fields: read_stream_opened(fields),
            "UpdateOf": lambda _, fields: read_attempt_update(fields),
            "Answer": lambda instance, fields: instance.read_attempt_ended(fields),
            "Hangup": lambda _, fields: ClientDisconnected(text(fields, "requestId")),
            "TimeoutFired": lambda _, fields: TimerFired(text(fields, "nonce")),
            "CheckResult": lambda instance, fields: instance.read_health_check_ended(fields),
            "Memo": lambda _, fields: read_peer_message(fields),
        }

    def run(self) -> None:
        """Answer batches until the input ends; raise `WireError` if the input violates the protocol."""
        while (opening := self._next_message()) is not None:
            if opening.get("t") != BEGIN_BATCH:
                raise WireError(f"expected a BeginBatch message, got {opening.get('t')!r}")
            now, batch = whole_number(opening, "clockNs"), whole_number(opening, "turn")
            self._instances_in_batch.clear()
            while (message := self._next_message()) is not None and message.get("t") != END_BATCH:
                self._process_message(message)
            if message is None:
                raise WireError("input ended inside a batch, before its Commit message")
            self._reply(now, batch)

    def _next_message(self) -> Fields | None:
        """Return the next message, or None at the end of the input."""
        for line in self._lines:
            if not line.strip():
                continue
            try:
                message = json.loads(line)
            except ValueError as error:
                raise WireError("input line is not valid JSON") from error
            if not isinstance(message, dict) or not isinstance(message.get("t"), str):
                raise WireError("input line is not a JSON object with a string in field t")
            return message
        return None

    def _process_message(self, message: Fields) -> None:
        """Process one message of a batch: a worker list, the launch or detach of an instance, or an event."""
        tag = message["t"]
        if tag == BEGIN_BATCH:
            raise WireError("BeginBatch inside a batch: the previous batch has no Commit message")
        if tag == WORKER_LIST:
            self._store_worker_list(message)
        elif tag == LAUNCH:
            self._launch(message)
        elif tag == DETACH:
            self._detach(message)
        elif tag in self._readers:
            self._queue_event(message)
        else:
            print(f"skipped an unknown event {tag!r}", file=self._err)

    def _store_worker_list(self, message: Fields) -> None:
        """Store a worker list under its number, by which BackendsChanged messages refer to the list."""
        entries = cast("list[Fields]", required(message, "elements"))
        self._worker_lists[whole_number(message, "buffer")] = tuple(read_entry(entry) for entry in entries)

    def _launch(self, message: Fields) -> None:
        """Create an instance."""
        instance_number = whole_number(message, "i")
        self._instances[instance_number] = Instance(message)
        self._instances_in_batch[instance_number] = None

    def _detach(self, message: Fields) -> None:
        """Remove an instance."""
        instance_number, _ = self._find_instance(message)
        del self._instances[instance_number]
        self._instances_in_batch.pop(instance_number, None)

    def _queue_event(self, message: Fields) -> None:
        """Decode an event and queue it for its instance."""
        instance_number, instance = self._find_instance(message)
        event = self._readers[message["t"]](instance, message)
        self._instances_in_batch[instance_number] = None
        if event is not None:
            instance.pending.append(event)

    def _find_instance(self, message: Fields) -> tuple[int, Instance]:
        """Return the number and the instance that a message is addressed to; raise `WireError` if unknown."""
        instance_number = whole_number(message, "i")
        instance = self._instances.get(instance_number)
        if instance is None:
            raise WireError(f"{message['t']}: field i: instance {instance_number} was not launched or is detached")
        return instance_number, instance

    def _read_workers(self, fields: Fields) -> WorkersListed:
        """Decode an update of the endpoint list; raise `WireError` if the referenced worker list is unknown."""
        kind = choice(fields, "scope", LIST_KINDS)
        if kind is ListKind.LOST:
            return WorkersListed(kind)
        list_number = whole_number(fields, "buffer")
        if list_number not in self._worker_lists:
            raise WireError(f"BackendsChanged: field buffer: no Ledger message contained list {list_number}")
        return WorkersListed(kind, self._worker_lists[list_number], whole_number(fields, "rev", 0))

    def _reply(self, now: int, batch: int) -> None:
        """Run the dispatchers of this batch, and write their actions and the end-of-reply message."""
        lines: list[str] = []
        for instance_number in self._instances_in_batch:
            instance = self._instances[instance_number]
            events, instance.pending = instance.pending, []
            try:
                actions = [encode(action) for action in instance.dispatcher.handle(now, events)]
            except Exception as error:  # the protocol reports any exception of a dispatcher as Broken
                actions = [{"t": "Broken", "text": f"{type(error).__name__}: {error}"}]
            for fields in actions:
                tag = fields.pop("t")
                lines.append(_to_line({"t": tag, "i": instance_number, **fields}))
        lines.append(_to_line({"t": "Eor", "turn": batch}))
        self._out.write("\n".join(lines) + "\n")
        self._out.flush()


def _to_line(fields: Fields) -> str:
    """Encode a message as one line of JSON."""
    return json.dumps(fields, separators=(",", ":"))


def main() -> int:
    """Serve standard input and output; return 1 if the input violates the protocol or the pipe breaks, else 0."""
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
