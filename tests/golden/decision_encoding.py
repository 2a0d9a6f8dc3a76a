"""Decisions as text that holds no name of a class, a field or a member of an enumeration, and digests of that text.

A value of a type in `TAGS` is written as its tag and its fields in the order of their definition; a value of any other
dataclass is an error, so that a new type of action is given a tag here and changes no digest of the others. After a
renaming only the left sides of the tables change; the tags never do.

Sentences for people are digested apart: one may be worded anew where the decisions stay the same.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, fields
from enum import Enum
from hashlib import sha256
from typing import Any

from canvasbeam import errors
from canvasbeam.cluster import node_core
from canvasbeam.dispatch.actions import (
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
from canvasbeam.distribution import document_messages
from canvasbeam.distribution import messages as distribution_messages
from canvasbeam.failure_detection import member_status, monitoring
from canvasbeam.failure_detection.swim import messages as membership
from canvasbeam.item_table import document, items
from canvasbeam.leases import contact as control_contact
from canvasbeam.leases import messages as lease_messages
from canvasbeam.leases import peer_clock
from canvasbeam.replication import control_state, views
from canvasbeam.replication import messages as replication
from canvasbeam.replication.control_state import ChangeKind
from canvasbeam.runtime.settings import Address
from canvasbeam.simulator import lending_budgets as budgets

TAGS: dict[type, str] = {
    # The actions of a dispatcher.
    StartAttempt: "d1",
    CancelAttempt: "d2",
    RejectRequest: "d3",
    FailRequest: "d4",
    SetTimer: "d5",
    CheckHealth: "d6",
    CloseIdleConnections: "d7",
    SendToPeer: "d8",
    WriteLog: "d9",
    WatchWorkers: "d10",
    FetchWorkerList: "d11",
    # The actions of shared budgets.
    budgets.Ask: "b1",
    budgets.Grant: "b2",
    # The actions and messages of replication.
    replication.Send: "r1",
    replication.SendToAddress: "r2",
    replication.SaveWitness: "r3",
    replication.SaveInstalled: "r4",
    replication.SaveChange: "r5",
    replication.SaveCommitted: "r6",
    replication.Reply: "r7",
    replication.Publish: "r8",
    replication.Hello: "r20",
    replication.ViewNotice: "r21",
    replication.PreVoteRequest: "r22",
    replication.PreVote: "r23",
    replication.Prepare: "r24",
    replication.Promise: "r25",
    replication.Refused: "r26",
    replication.Fetch: "r27",
    replication.Fetched: "r28",
    replication.Install: "r29",
    replication.Installed: "r30",
    replication.Accept: "r31",
    replication.Accepted: "r32",
    replication.Heartbeat: "r33",
    replication.HeartbeatAck: "r34",
    replication.Append: "r35",
    replication.Appended: "r36",
    replication.Resign: "r37",
    replication.FetchChunk: "r38",
    replication.Chunk: "r39",
    replication.Leave: "r40",
    replication.LeaveGranted: "r41",
    replication.LeaveRequested: "r42",
    replication.SnapshotId: "r43",
    views.Epoch: "r50",
    views.View: "r51",
    views.Position: "r52",
    # The control state.
    control_state.Change: "c1",
    control_state.ControlState: "c2",
    control_state.Committed: "c3",
    errors.Failure: "c4",
    # The actions and messages of nodes.
    distribution_messages.Send: "n1",
    monitoring.SendPing: "n2",
    node_core.PingAnswer: "n3",
    distribution_messages.Subscribe: "n10",
    distribution_messages.Keepalive: "n11",
    lease_messages.LeaseRequest: "n12",
    lease_messages.LeaseGrant: "n13",
    distribution_messages.Refuse: "n14",
    distribution_messages.Unsubscribe: "n15",
    distribution_messages.Renew: "n16",
    distribution_messages.Update: "n17",
    distribution_messages.VersionRecord: "n18",
    distribution_messages.Versions: "n19",
    distribution_messages.Request: "n20",
    distribution_messages.Compare: "n21",
    document_messages.Announce: "n22",
    document_messages.TransferId: "n23",
    document_messages.DocumentRequest: "n24",
    document_messages.DocumentChunk: "n25",
    document.DocumentDelta: "n30",
    document.Document: "n31",
    items.Item: "n32",
    items.Version: "n33",
    control_contact.ControlVersions: "n34",
    peer_clock.SendTime: "n35",
    Address: "n36",
    # The actions and messages of instances that know each other.
    membership.SendDatagram: "m1",
    membership.ReportChange: "m2",
    membership.Datagram: "m3",
    membership.MemberUpdate: "m4",
}

# Their numbers are those of the wire or of the disk.
NUMBERED: frozenset[type[Enum]] = frozenset(
    {items.ItemKind, member_status.MemberStatus, membership.DatagramKind, errors.ResultCode, ChangeKind}
)

# The places of the fields that hold words for people.
WORDS: dict[type, tuple[int, ...]] = {WriteLog: (0,), errors.Failure: (1,), membership.ReportChange: (1, 2, 3)}


def encode(value: Any, words: list[str] | None = None) -> str:
    """A value as text; words for people are put into the list instead."""
    words = [] if words is None else words
    kind = type(value)
    if isinstance(value, Enum):
        if kind not in NUMBERED:
            raise LookupError(f"{kind.__name__} has no numbers of the wire: give it a table")
        return str(int(value.value))
    if value is None or isinstance(value, str | bytes | int | float):
        return repr(value)
    if isinstance(value, tuple | list):
        return f"({','.join(encode(element, words) for element in value)})"
    if isinstance(value, Mapping):
        pairs = sorted((encode(key, words), encode(element, words)) for key, element in value.items())
        return f"{{{','.join(f'{key}:{pair}' for key, pair in pairs)}}}"
    if isinstance(value, AbstractSet):
        return f"<{','.join(sorted(encode(element, words) for element in value))}>"
    if kind not in TAGS:
        raise LookupError(f"{kind.__name__} has no tag")
    texts = []
    for place, each in enumerate(_values(value)):
        if place in WORDS.get(kind, ()):
            words.append(each)
        else:
            texts.append(encode(each, words))
    return f"{TAGS[kind]}({','.join(texts)})"


def _values(value: Any) -> tuple[Any, ...]:
    """The fields of a dataclass in the order of their definition."""
    kind = type(value)
    if kind not in _NAMES:
        _NAMES[kind] = tuple(field.name for field in fields(kind))
    return tuple([getattr(value, name) for name in _NAMES[kind]])


_NAMES: dict[type, tuple[str, ...]] = {}  # of the fields; asked for each value, they would take most of the time


@dataclass(frozen=True, slots=True)
class Digest:
    """What a run of decisions came to."""

    count: int  # of the lines: one for each call that decided, or for each figure
    decisions: str
    words: str


class Recorder:
    """Digests lines of values as they come."""

    def __init__(self) -> None:
        self._count = 0
        self._decisions = sha256()
        self._words = sha256()

    def add(self, *values: Any) -> None:
        """Add a line."""
        words: list[str] = []
        self._decisions.update(encode(values, words).encode())
        self._decisions.update(b"\n")
        if words:
            self._words.update(repr((self._count, words)).encode())
        self._count += 1

    def digest(self) -> Digest:
        """All lines so far."""
        return Digest(self._count, self._decisions.hexdigest(), self._words.hexdigest())
