"""Messages between members, and actions that a member returns to its driver. All are frozen values.

Messages in `AFTER_SYNC` confirm data on the sender's disk: `durability.Outbox` sends them only after every earlier
`Save` is durable.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.errors import Failure
from canvasbeam.replication.control_state import Change, Committed, ControlState
from canvasbeam.replication.views import Epoch, MemberId, Position, View
from canvasbeam.runtime.process_incarnation import UNKNOWN_INCARNATION


@dataclass(frozen=True, slots=True)
class Hello:
    """Announcement by a member that has no contact with a primary; `healthy` is True if the member's disk works."""

    healthy: bool


@dataclass(frozen=True, slots=True)
class ViewNotice:
    """The highest accepted view known to the sender, for a receiver that may not know this view."""

    view: View
    in_force: bool


@dataclass(frozen=True, slots=True)
class PreVoteRequest:
    """A candidate's question whether the receiver also finds the primary unresponsive; requires no promise."""

    number: int


@dataclass(frozen=True, slots=True)
class PreVote:
    """Answer to `PreVoteRequest`: whether the sender finds the primary unresponsive, and its known epoch and view."""

    number: int
    is_primary_unresponsive: bool
    healthy: bool
    promised: Epoch
    accepted: View | None
    in_force: bool


@dataclass(frozen=True, slots=True)
class Prepare:
    """A candidate's request for a promise to refuse all lower epochs.

    The candidate has promised the epoch itself, so that it never reuses an epoch after a crash.
    """

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Promise:
    """A promise, stored on the sender's disk. `position` is that of the sender's replica, which the promise fences."""

    epoch: Epoch
    accepted: View | None
    in_force: bool
    position: Position
    healthy: bool


@dataclass(frozen=True, slots=True)
class Refused:
    """Refusal of `epoch`: the sender has promised, or follows a primary in, the higher epoch `promised`."""

    epoch: Epoch
    promised: Epoch


@dataclass(frozen=True, slots=True)
class Fetch:
    """A candidate's request to the most advanced replica for its state."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class SnapshotId:
    """Identifies a state that is fetched in chunks, by the digest and the size in bytes of its encoding."""

    digest: bytes
    size: int


@dataclass(frozen=True, slots=True)
class Fetched:
    """Answer to `Fetch`: the state of a replica that has promised the epoch."""

    epoch: Epoch
    position: Position
    state: ControlState | SnapshotId


@dataclass(frozen=True, slots=True)
class Install:
    """Request to a replica to begin the epoch with `state`, or with its own state if already at `position`.

    A primary also sends `Install` in its own epoch to a joining member, which catches up before becoming a replica.
    """

    epoch: Epoch
    position: Position
    state: ControlState | SnapshotId | None


@dataclass(frozen=True, slots=True)
class Installed:
    """Answer to `Install`: the replica stored the epoch and is at `index`, or lacks the state (`stored` is False)."""

    epoch: Epoch
    stored: bool
    index: int = 0


@dataclass(frozen=True, slots=True)
class Accept:
    """Request to a witness to accept a view; `in_force` is True if the view is in force already."""

    view: View
    in_force: bool


@dataclass(frozen=True, slots=True)
class Accepted:
    """Answer to `Accept`: the view is on the sender's disk as the accepted view."""

    epoch: Epoch
    in_force: bool


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic message of the acting primary. All replicas of the view have stored the changes up to `committed`."""

    epoch: Epoch
    sequence: int
    committed: int


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """Answer to `Heartbeat`: the sender promised no higher epoch. `accepted` is the epoch of its accepted view."""

    epoch: Epoch
    sequence: int
    healthy: bool
    accepted: Epoch
    in_force: bool


@dataclass(frozen=True, slots=True)
class Append:
    """Changes replicated by the primary; the first change leads from index `previous` to the next index."""

    epoch: Epoch
    previous: int
    changes: tuple[Change, ...]
    committed: int


@dataclass(frozen=True, slots=True)
class Appended:
    """Answer to `Append`: all changes up to `index` are on the sender's disk."""

    epoch: Epoch
    index: int


@dataclass(frozen=True, slots=True)
class Resign:
    """Notice that the primary stops leading, so that the receivers need not wait for the election timeout."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class FetchChunk:
    """Request for one chunk of a snapshot that the receiver has offered."""

    snapshot: SnapshotId
    number: int


@dataclass(frozen=True, slots=True)
class Chunk:
    """Answer to `FetchChunk`: one chunk of a snapshot, and the CRC-32 of the chunk."""

    snapshot: SnapshotId
    number: int
    data: bytes
    checksum: int


@dataclass(frozen=True, slots=True)
class Leave:
    """Notice, repeated until the sender's process exits, that the sender will end, perhaps permanently.

    The view must then exclude the sender. `standbys` are the usable members outside the view that the sender knows: a
    new primary may not know these members.
    """

    standbys: tuple[MemberId, ...] = ()


@dataclass(frozen=True, slots=True)
class LeaveGranted:
    """Grant to leave: the view of `epoch`, in force without the receiver, has `copies` synced copies of the state."""

    epoch: Epoch
    copies: int


@dataclass(frozen=True, slots=True)
class LeaveRequested:
    """The operator's order to the receiver to leave the control plane permanently."""


Message = (
    Hello | ViewNotice | PreVoteRequest | PreVote | Prepare | Promise | Refused | Fetch | Fetched | Install | Installed
    | Accept | Accepted | Heartbeat | HeartbeatAck | Append | Appended | Resign | FetchChunk | Chunk
    | Leave | LeaveGranted | LeaveRequested
)  # fmt: skip
# Answers to requests. An answer is valid only for the process incarnation and the request to which it responds.
Answer = PreVote | Promise | Refused | Fetched | Installed | Accepted | HeartbeatAck | Appended | LeaveGranted
ANSWERS = (PreVote, Promise, Refused, Fetched, Installed, Accepted, HeartbeatAck, Appended, LeaveGranted)
AFTER_SYNC = (Prepare, Promise, Installed, Accepted, Appended, Fetched)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member. The driver sets `answered_incarnation` to the requester's incarnation in answers."""

    to: MemberId
    message: Message
    answered_incarnation: int = UNKNOWN_INCARNATION


@dataclass(frozen=True, slots=True)
class SendToAddress:
    """Send a message to an IP address, for the member that runs at the address."""

    ip: str
    message: Message


@dataclass(frozen=True, slots=True)
class SaveWitness:
    """Store the epoch that the witness promised and the view that the witness accepted."""

    promised: Epoch
    accepted: View | None
    in_force: bool


@dataclass(frozen=True, slots=True)
class SaveInstalled:
    """Store the epoch of the replica, and its state; `state` is None if the state is stored already."""

    epoch: Epoch
    state: ControlState | None


@dataclass(frozen=True, slots=True)
class SaveChange:
    """Store a change that results in `state`; the index of the change is `state.index`."""

    change: Change
    state: ControlState


@dataclass(frozen=True, slots=True)
class SaveCommitted:
    """Store the highest committed index, so that a restarted member can publish the committed state at once."""

    index: int


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the operator's call with number `call`."""

    call: int
    result: Committed | Failure


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish a newer state that is known to be committed."""

    state: ControlState


Save = SaveWitness | SaveInstalled | SaveChange | SaveCommitted
Action = Send | SendToAddress | Save | Reply | Publish
