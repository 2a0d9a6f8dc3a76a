"""Hosts dispatchers on the simulator's wire: JSON lines in, JSON lines out. It decides nothing."""

from __future__ import annotations

import base64
import binascii
import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from robinstream import interface as ri
from robinstream.decide import Dispatcher

Fields = dict[str, Any]


class WireError(Exception):
    """The peer broke the wire; the message names what was wrong."""


EFFECTS = {"free": ri.Effect.SAFE, "guarded": ri.Effect.KEYED, "single_shot": ri.Effect.UNSAFE}
SCOPES = {each.value: each for each in ri.Scope}
STATES = {
    "live": ri.WorkerState.LIVE,
    "quiescing": ri.WorkerState.DRAINING,
    "dead": ri.WorkerState.GONE,
}
LIST_KINDS = {
    "incr": ri.ListKind.CHANGES,
    "total": ri.ListKind.COMPLETE,
    "warm_copy": ri.ListKind.WARM_COPY,
    "lost": ri.ListKind.LOST,
}
OUTCOMES = dict(
    enumerate(
        (
            ri.Outcome.OK,
            ri.Outcome.ERROR,
            ri.Outcome.FULL,
            ri.Outcome.TIMED_OUT,
            ri.Outcome.CONNECT_FAILED,
            ri.Outcome.RESET,
            ri.Outcome.CANCELLED,
            ri.Outcome.MOOT,
        )
    )
)
REPORT_FIELDS = {
    "rif": "in_flight",
    "q": "queued",
    "busy": "busy_share",
    "lat_ms": "latency_ms",
    "rate": "served_per_s",
    "fail_rate": "errors_per_s",
}
REPORT_EXTRAS = {"free slots": "free_slots", "free memory": "free_memory"}
DISCOVERY = {"pushed": ri.Discovery.PUSHED, "on_request": ri.Discovery.ASKED}
REPORT_HOW = {"answers": ri.ReportHow.ANSWERS, "probe": ri.ReportHow.PROBES, "none": ri.ReportHow.NONE}
QUEUE_ORDERS = {each.value: each for each in ri.QueueOrder}
WEIGHTS = {each.value: each for each in ri.Weights}


# --- reading fields ---------------------------------------------------------------------------


def need(fields: Fields, name: str) -> Any:
    """A field that must be there."""
    value = fields.get(name)
    if value is None:
        raise WireError(f"{fields.get('t', 'settings')}: field {name} is missing")
    return value


def whole(fields: Fields, name: str, default: int | None = None) -> int:
    """A whole number; required where no default is given."""
    value = need(fields, name) if default is None else fields.get(name)
    if value is None:
        return int(default or 0)
    if isinstance(value, bool) or not isinstance(value, int):
        raise WireError(f"{fields.get('t', 'settings')}: field {name} is not a whole number")
    return value


def number(fields: Fields, name: str, default: float) -> float:
    """A number with a default."""
    value = fields.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise WireError(f"{fields.get('t', 'settings')}: field {name} is not a number")
    return float(value)


def word(fields: Fields, name: str) -> str:
    """A required text."""
    value = need(fields, name)
    if not isinstance(value, str):
        raise WireError(f"{fields.get('t', 'settings')}: field {name} is not a text")
    return value


def one_of(fields: Fields, name: str, words: dict[Any, Any], default: Any = None) -> Any:
    """A field that takes one of a few words or codes."""
    value = fields.get(name) if default is not None else need(fields, name)
    if value is None:
        return default
    if isinstance(value, list | dict) or value not in words:
        raise WireError(f"{fields.get('t', 'settings')}: field {name} has the unknown value {value!r}")
    return words[value]


def section(fields: Fields, name: str) -> Fields:
    """A nested object; empty where it is absent."""
    value = fields.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise WireError(f"settings: {name} is not an object")
    return value


# --- settings ---------------------------------------------------------------------------------


def read_class(fields: Fields, place: int, family: Fields, kinds: tuple[str, ...]) -> ri.JobClass:
    """One entry of the settings' classes; some of its properties stand in lists by class."""

    def listed(name: str, default: Any) -> Any:
        values = family.get(name) or []
        return values[place] if place < len(values) else default

    kind = listed("classKind", -1)
    return ri.JobClass(
        name=word(fields, "name"),
        aim_ns=whole(fields, "aimNs"),
        deadline_ns=whole(fields, "deadlineNs"),
        worth=number(fields, "worth", 1.0),
        late_worth=number(fields, "lateShare", 0.0),
        effect=one_of(fields, "idempotency", EFFECTS),
        scope=one_of(fields, "keyScope", SCOPES, ri.Scope.ALL),
        window_ns=whole(fields, "windowNs", 0),
        streams=bool(fields.get("streaming")),
        kind=kinds[kind] if 0 <= kind < len(kinds) else None,
        priority=listed("classPriority", 0),
        stretch=number(fields, "aimStretch", float(listed("classStretch", 0.0))),
    )


def read_limits(fields: Fields) -> ri.Limits:
    """What the site permits."""
    return ri.Limits(
        cancel=bool(fields.get("cancel")),
        probes=bool(fields.get("probes")),
        peers=bool(fields.get("peers")),
        second_copies=bool(fields.get("secondCopies")),
        retry_advice=bool(fields.get("retryAfter")),
        max_attempts=whole(fields, "mostTries", 1),
        max_open=whole(fields, "maxOpen", 10_000),
        max_retry_advice_ns=whole(fields, "maxRetryAfterNs", 0),
        connect_timeout_ns=whole(fields, "connectTimeoutNs", 250_000_000),
        idle_connection_ns=whole(fields, "connIdleNs", 0),
        attempts_per_connection=whole(fields, "streamsPerConn", 1),
        cpu_us_per_s=number(fields, "cpuUsPerS", 0.0),
        cpu_us_per_request=number(fields, "cpuUsPerRequest", 0.0),
    )


def read_rules(fields: Fields) -> ri.Rules:
    """The figures behind the rules."""
    return ri.Rules(
        answer_slack_ns=whole(fields, "answerSlackNs", 0),
        drain_grace_ns=whole(fields, "stopSendingWithinNs", 0),
        cold_from=number(fields, "coldFrom", 1.0),
        warm_within_ns=whole(fields, "warmWithinNs", 0),
        tip_multiple=number(fields, "tipMultiple", 1.0),
        overload_for_ns=whole(fields, "overloadForNs", 0),
        ask_every_ns=whole(fields, "askEveryNs", 0),
    )


def report_names(columns: Iterable[str], family: Fields) -> dict[str, str]:
    """What each value of a load report is called here."""
    names: dict[str, str] = dict(REPORT_FIELDS)
    for column in ("x0", "x1"):
        meaning = family.get("report" + column.upper())
        names[column] = REPORT_EXTRAS.get(str(meaning), column)
    return {column: names.get(column, column) for column in columns}


def read_settings(options: Fields) -> tuple[ri.Settings, dict[str, str]]:
    """The settings of an instance, and the names of its report values."""
    family, report = section(options, "specifics"), section(options, "report")
    kinds = tuple(options.get("skus") or ())
    goal = section(options, "goal")
    names = report_names(report.get("columns") or (), family)
    settings = ri.Settings(
        classes=tuple(
            read_class(fields, place, family, kinds)
            for place, fields in enumerate(need(options, "services"))
        ),
        zones=tuple(need(options, "localities")),
        own_zone=word(options, "myZone"),
        tenants=tuple(
            ri.Tenant(word(each, "name"), number(each, "share", 0.0), number(each, "quotaPerS", 0.0))
            for each in options.get("realms") or ()
        ),
        kinds=kinds,
        own_number=whole(options, "me", 0),
        dispatchers=whole(options, "replicasOfMe", 1),
        quantum_ns=whole(options, "quantumNs", 1_000_000),
        discovery=one_of(options, "discovery", DISCOVERY, ri.Discovery.PUSHED),
        weights=one_of(options, "weights", WEIGHTS, ri.Weights.NONE),
        report_how=one_of(report, "how", REPORT_HOW, ri.ReportHow.NONE),
        report_fields=tuple(names.values()),
        tells_start=bool(family.get("tellsStart")),
        progress_ns=whole(family, "progressNs", 0),
        queue_order=one_of(family, "queueOrder", QUEUE_ORDERS, ri.QueueOrder.FIFO),
        worth_by_work=options.get("worthBy") == "work",
        over_share_worth=number(options, "overShareWorth", 1.0),
        marks_repeats=bool(section(options, "clientHabits").get("marksRetry")),
        limits=read_limits(section(options, "policyLimits")),
        rules=read_rules(section(options, "rules")),
        goal=ri.Goal(
            number(goal, "whole", 0.0),
            number(goal, "worstWindow", 0.0),
            number(goal, "worstClass", 0.0),
            number(goal, "worstTenant", 0.0),
        ),
        prices={name: number(section(options, "prices"), name, 0.0) for name in section(options, "prices")},
    )
    return settings, names


# --- events -----------------------------------------------------------------------------------


def read_entry(fields: Fields) -> ri.WorkerEntry:
    """One worker of a list."""
    return ri.WorkerEntry(
        worker=word(fields, "runner"),
        zone=word(fields, "locality"),
        kind=str(fields.get("sku") or ""),
        cell=whole(fields, "group", 0),
        state=one_of(fields, "stageState", STATES, ri.WorkerState.LIVE),
        weight=number(fields, "heft", 1.0),
        started_ns=whole(fields, "onlineSinceNs", 0),
    )


def read_job(fields: Fields) -> ri.JobArrived:
    """A job that was taken."""
    return ri.JobArrived(
        job=word(fields, "requestId"),
        job_class=word(fields, "grade"),
        due_ns=whole(fields, "dueNs"),
        tenant=fields.get("userGroup") or None,
        key=fields.get("partitionKey"),
        work_hint_ns=whole(fields, "effortNs", 0),
        slots=number(fields, "width", 1.0),
        memory=number(fields, "ramUnits", 0.0),
        repeat=bool(fields.get("repeat")),
        write=bool(fields.get("update")),
        came_back=bool(fields.get("cameBack")),
    )


def read_note(fields: Fields) -> ri.Event | None:
    """A note on an attempt; kinds not known are skipped."""
    job, attempt, worker = word(fields, "requestId"), whole(fields, "hop", 0), word(fields, "runner")
    kind = whole(fields, "kind")
    if kind == 1:
        return ri.JobStarted(job, attempt, worker)
    if kind == 2:
        return ri.JobProgressed(job, attempt, worker, number(fields, "value", 0.0))
    return None


def read_peer(fields: Fields) -> ri.PeerSaid:
    """A message of another dispatcher."""
    try:
        content = base64.b64decode(word(fields, "content"), validate=True)
    except (binascii.Error, ValueError) as error:
        raise WireError("Memo: field content is not base64") from error
    return ri.PeerSaid(whole(fields, "sender", 0), content)


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
        self.pending: list[ri.Event] = []

    def read_report(self, fields: Fields) -> dict[str, float] | None:
        """The load report that came along, in this project's names."""
        stats = section(fields, "stats")
        return {self._report_names.get(name, name): number(stats, name, 0.0) for name in stats} or None

    def read_ended(self, fields: Fields) -> ri.AttemptEnded:
        """How an attempt ended."""
        return ri.AttemptEnded(
            job=word(fields, "requestId"),
            attempt=whole(fields, "hop", 0),
            worker=word(fields, "runner"),
            outcome=one_of(fields, "code", OUTCOMES),
            elapsed_ns=whole(fields, "rttNs", 0),
            final=bool(fields.get("final")),
            remark=whole(fields, "remark", 0),
            report=self.read_report(fields),
        )

    def read_probed(self, fields: Fields) -> ri.ProbeEnded:
        """How a probe ended."""
        return ri.ProbeEnded(
            word(fields, "runner"),
            one_of(fields, "code", OUTCOMES),
            whole(fields, "rttNs", 0),
            self.read_report(fields),
        )


# --- actions ----------------------------------------------------------------------------------


def encode(action: ri.Action) -> Fields:
    """An action in the wire's words, without its instance."""
    match action:
        case ri.Send(job, worker, timeout):
            return {"t": "Issue", "requestId": job, "runner": worker, "capNs": timeout}
        case ri.Cancel(job, attempt):
            return {"t": "Abandon", "requestId": job, "hop": attempt}
        case ri.Refuse(job, come_back):
            return {"t": "Decline", "requestId": job, "comeBackNs": come_back}
        case ri.Fail(job):
            return {"t": "Surrender", "requestId": job}
        case ri.SetTimer(token, when):
            return {"t": "Arm", "nonce": token, "whenNs": when}
        case ri.Probe(worker):
            return {"t": "Poll", "runner": worker}
        case ri.CloseIdle(worker):
            return {"t": "FreeLinks", "runner": worker}
        case ri.TellPeer(peer, content):
            return {"t": "Post", "target": peer, "content": base64.b64encode(content).decode()}
        case ri.Log(text):
            return {"t": "JournalLine", "text": text}
        case ri.Watch(enable):
            return {"t": "Observe", "enable": enable}
        case ri.FetchList():
            return {"t": "Lookup"}


# --- hosting ----------------------------------------------------------------------------------


class Host:
    """Keeps many isolated instances and answers one batch after another."""

    def __init__(self, lines: Iterable[str], out: TextIO, err: TextIO) -> None:
        self._lines = iter(lines)
        self._out = out
        self._err = err
        self._lists: dict[int, tuple[ri.WorkerEntry, ...]] = {}
        self._instances: dict[int, Instance] = {}
        self._touched: dict[int, None] = {}
        self._readers: dict[str, Callable[[Instance, Fields], ri.Event | None]] = {
            "BackendsChanged": lambda _, fields: self._read_workers(fields),
            "WorkItem": lambda _, fields: read_job(fields),
            "Opened": lambda _, fields: ri.StreamOpened(
                word(fields, "requestId"), whole(fields, "hop", 0), word(fields, "runner"),
                whole(fields, "rttNs", 0),
            ),
            "UpdateOf": lambda _, fields: read_note(fields),
            "Answer": lambda instance, fields: instance.read_ended(fields),
            "Hangup": lambda _, fields: ri.ClientGone(word(fields, "requestId")),
            "TimeoutFired": lambda _, fields: ri.TimerFired(word(fields, "nonce")),
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

    def _read_workers(self, fields: Fields) -> ri.WorkersListed:
        kind = one_of(fields, "scope", LIST_KINDS)
        if kind is ri.ListKind.LOST:
            return ri.WorkersListed(kind)
        buffer = whole(fields, "buffer")
        if buffer not in self._lists:
            raise WireError(f"BackendsChanged: list {buffer} was never given")
        return ri.WorkersListed(kind, self._lists[buffer], whole(fields, "rev", 0))

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
        print(f"robinstream: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
