"""Encode and decode the messages between members of the replicated control state.

Only this module translates between the messages of `canvasbeam/cluster/replication.proto` and those of
`canvasbeam.replication.messages`: the two tables at the end map every kind of message. Names on the wire never change,
even where the code has other names: `settled` is `in_force`, `ViewTold` is `ViewNotice`, `Probe` and `Probed` are
`PreVoteRequest` and `PreVote`, `misses_primary` is `is_primary_unresponsive`, `Piece` is `Chunk`, `spares` is
`standbys`; `life` is the incarnation of the sender's process; in an answer, `answered_life` is the incarnation of the
requesting process. Unknown or malformed bytes become a `Failure` of code `MESSAGE_INVALID`, never an exception.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from google.protobuf.message import DecodeError
from google.protobuf.message import Message as WireMessage

from canvasbeam.cluster import replication_pb2 as wire
from canvasbeam.control_plane.replication_records import (
    change_of,
    change_record,
    epoch_of,
    epoch_record,
    optional_view_of,
    optional_view_record,
    position_of,
    position_record,
    snapshot_of,
    snapshot_record,
    view_of,
    view_record,
)
from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication import messages
from canvasbeam.replication.control_state import ControlState
from canvasbeam.replication.messages import Message, SnapshotId
from canvasbeam.replication.views import MemberId
from canvasbeam.runtime.process_incarnation import UNKNOWN_INCARNATION

MessageWithState = TypeVar("MessageWithState", wire.FetchedMessage, wire.InstallMessage)


@dataclass(frozen=True, slots=True)
class ReceivedMessage:
    """A decoded message, the sender, the sender's process incarnation, and in an answer the requester's incarnation."""

    sender: MemberId
    message: Message
    incarnation: int = UNKNOWN_INCARNATION
    answered_incarnation: int = UNKNOWN_INCARNATION


class _UndecodableError(Exception):
    """A message has an unknown kind, or a state that cannot be decoded."""


class ReplicationCodec:
    """Encodes and decodes messages, with the given codec for the states that some messages contain."""

    def __init__(self, state_codec: ControlStateCodec) -> None:
        self._state_codec = state_codec

    def encode(
        self,
        sender: MemberId,
        message: Message,
        incarnation: int = UNKNOWN_INCARNATION,
        answered_incarnation: int = UNKNOWN_INCARNATION,
    ) -> bytes:
        """Return the bytes of an envelope with a message, its sender and the incarnations."""
        envelope = wire.ReplicationEnvelope(sender=sender, life=incarnation, answered_life=answered_incarnation)
        name, part = self._encode_message(message)
        getattr(envelope, name).CopyFrom(part)
        return envelope.SerializeToString()

    def decode(self, data: bytes) -> ReceivedMessage | Failure:
        """Return the message that `encode` encoded, or a failure of code `MESSAGE_INVALID`."""
        try:
            envelope = wire.ReplicationEnvelope.FromString(data)
            sender, message = MemberId(envelope.sender), self._decode_message(envelope)
            return ReceivedMessage(sender, message, envelope.life, envelope.answered_life)
        except (DecodeError, ValueError, _UndecodableError) as error:
            return Failure(ResultCode.MESSAGE_INVALID, f"the replication message cannot be decoded: {error}")

    def _encode_message(self, message: Message) -> tuple[str, WireMessage]:
        """Return the name of the envelope's field for a message, and the protobuf message for this field."""
        match message:
            case messages.Fetched():
                return "fetched", self._set_state(
                    wire.FetchedMessage(epoch=epoch_record(message.epoch), position=position_record(message.position)),
                    message.state,
                )
            case messages.Install():
                return "install", self._set_state(
                    wire.InstallMessage(epoch=epoch_record(message.epoch), position=position_record(message.position)),
                    message.state,
                )
        name, encode = _ENCODERS[type(message)]
        return name, encode(message)

    def _decode_message(self, envelope: wire.ReplicationEnvelope) -> Message:
        name = envelope.WhichOneof("message")
        match name:
            case None:
                raise _UndecodableError("the kind of the message is unknown")
            case "fetched":
                return self._decode_fetched(envelope.fetched)
            case "install":
                return self._decode_install(envelope.install)
        return _DECODERS[name](getattr(envelope, name))

    def _set_state(self, part: MessageWithState, state: ControlState | SnapshotId | None) -> MessageWithState:
        """Set the state of a protobuf message: the encoded state, or the id of a snapshot; None sets no field."""
        if isinstance(state, SnapshotId):
            part.snapshot.CopyFrom(snapshot_record(state))
        elif state is not None:
            part.state = self._state_codec.encode_state(state)
        return part

    def _decode_fetched(self, part: wire.FetchedMessage) -> Message:
        state = snapshot_of(part.snapshot) if part.HasField("snapshot") else self._decode_state(part.state)
        return messages.Fetched(epoch_of(part.epoch), position_of(part.position), state)

    def _decode_install(self, part: wire.InstallMessage) -> Message:
        state: ControlState | SnapshotId | None = None
        if part.HasField("snapshot"):
            state = snapshot_of(part.snapshot)
        elif part.HasField("state"):
            state = self._decode_state(part.state)
        return messages.Install(epoch_of(part.epoch), position_of(part.position), state)

    def _decode_state(self, data: bytes) -> ControlState:
        state = self._state_codec.decode_state(data)
        if isinstance(state, Failure):
            raise _UndecodableError(str(state))
        return state


# `Any` in both tables: each function accepts one kind of message, and a type cannot relate a key to its function.
_ENCODERS: dict[type[Any], tuple[str, Callable[[Any], Any]]] = {
    messages.Hello: ("hello", lambda it: wire.HelloMessage(healthy=it.healthy)),
    messages.ViewNotice: ("view_told", lambda it: wire.ViewToldMessage(view=view_record(it.view), settled=it.in_force)),
    messages.PreVoteRequest: ("probe", lambda it: wire.ProbeMessage(number=it.number)),
    messages.PreVote: (
        "probed",
        lambda it: wire.ProbedMessage(
            number=it.number,
            misses_primary=it.is_primary_unresponsive,
            healthy=it.healthy,
            promised=epoch_record(it.promised),
            accepted=optional_view_record(it.accepted),
            settled=it.in_force,
        ),
    ),
    messages.Prepare: ("prepare", lambda it: wire.PrepareMessage(epoch=epoch_record(it.epoch))),
    messages.Promise: (
        "promise",
        lambda it: wire.PromiseMessage(
            epoch=epoch_record(it.epoch),
            accepted=optional_view_record(it.accepted),
            settled=it.in_force,
            position=position_record(it.position),
            healthy=it.healthy,
        ),
    ),
    messages.Refused: (
        "refused",
        lambda it: wire.RefusedMessage(epoch=epoch_record(it.epoch), promised=epoch_record(it.promised)),
    ),
    messages.Fetch: ("fetch", lambda it: wire.FetchMessage(epoch=epoch_record(it.epoch))),
    messages.Installed: (
        "installed",
        lambda it: wire.InstalledMessage(epoch=epoch_record(it.epoch), stored=it.stored, index=it.index),
    ),
    messages.Accept: ("accept", lambda it: wire.AcceptMessage(view=view_record(it.view), settled=it.in_force)),
    messages.Accepted: (
        "accepted",
        lambda it: wire.AcceptedMessage(epoch=epoch_record(it.epoch), settled=it.in_force),
    ),
    messages.Heartbeat: (
        "heartbeat",
        lambda it: wire.HeartbeatMessage(epoch=epoch_record(it.epoch), sequence=it.sequence, committed=it.committed),
    ),
    messages.HeartbeatAck: (
        "heartbeat_ack",
        lambda it: wire.HeartbeatAckMessage(
            epoch=epoch_record(it.epoch),
            sequence=it.sequence,
            healthy=it.healthy,
            accepted=epoch_record(it.accepted),
            settled=it.in_force,
        ),
    ),
    messages.Append: (
        "append",
        lambda it: wire.AppendMessage(
            epoch=epoch_record(it.epoch),
            previous=it.previous,
            changes=[change_record(change) for change in it.changes],
            committed=it.committed,
        ),
    ),
    messages.Appended: (
        "appended",
        lambda it: wire.AppendedMessage(epoch=epoch_record(it.epoch), index=it.index),
    ),
    messages.Resign: ("resign", lambda it: wire.ResignMessage(epoch=epoch_record(it.epoch))),
    messages.FetchChunk: (
        "fetch_piece",
        lambda it: wire.FetchPieceMessage(snapshot=snapshot_record(it.snapshot), number=it.number),
    ),
    messages.Chunk: (
        "piece",
        lambda it: wire.PieceMessage(
            snapshot=snapshot_record(it.snapshot), number=it.number, data=it.data, checksum=it.checksum
        ),
    ),
    messages.Leave: ("leave", lambda it: wire.LeaveMessage(spares=it.standbys)),
    messages.LeaveGranted: (
        "leave_granted",
        lambda it: wire.LeaveGrantedMessage(epoch=epoch_record(it.epoch), copies=it.copies),
    ),
    messages.LeaveRequested: ("leave_requested", lambda it: wire.LeaveRequestedMessage()),
}
_DECODERS: dict[str, Callable[[Any], Message]] = {
    "hello": lambda part: messages.Hello(part.healthy),
    "view_told": lambda part: messages.ViewNotice(view_of(part.view), part.settled),
    "probe": lambda part: messages.PreVoteRequest(part.number),
    "probed": lambda part: messages.PreVote(
        part.number,
        part.misses_primary,
        part.healthy,
        epoch_of(part.promised),
        optional_view_of(part),
        part.settled,
    ),
    "prepare": lambda part: messages.Prepare(epoch_of(part.epoch)),
    "promise": lambda part: messages.Promise(
        epoch_of(part.epoch), optional_view_of(part), part.settled, position_of(part.position), part.healthy
    ),
    "refused": lambda part: messages.Refused(epoch_of(part.epoch), epoch_of(part.promised)),
    "fetch": lambda part: messages.Fetch(epoch_of(part.epoch)),
    "installed": lambda part: messages.Installed(epoch_of(part.epoch), part.stored, part.index),
    "accept": lambda part: messages.Accept(view_of(part.view), part.settled),
    "accepted": lambda part: messages.Accepted(epoch_of(part.epoch), part.settled),
    "heartbeat": lambda part: messages.Heartbeat(epoch_of(part.epoch), part.sequence, part.committed),
    "heartbeat_ack": lambda part: messages.HeartbeatAck(
        epoch_of(part.epoch), part.sequence, part.healthy, epoch_of(part.accepted), part.settled
    ),
    "append": lambda part: messages.Append(
        epoch_of(part.epoch), part.previous, tuple(change_of(record) for record in part.changes), part.committed
    ),
    "appended": lambda part: messages.Appended(epoch_of(part.epoch), part.index),
    "resign": lambda part: messages.Resign(epoch_of(part.epoch)),
    "fetch_piece": lambda part: messages.FetchChunk(snapshot_of(part.snapshot), part.number),
    "piece": lambda part: messages.Chunk(snapshot_of(part.snapshot), part.number, part.data, part.checksum),
    "leave": lambda part: messages.Leave(tuple(part.spares)),
    "leave_granted": lambda part: messages.LeaveGranted(epoch_of(part.epoch), part.copies),
    "leave_requested": lambda part: messages.LeaveRequested(),
}
