"""The messages between nodes and the records inside them, byte for byte, and the numbers of their fields.

The values stand here as literals; `messages.json` has the bytes that the code made of them once. What is compressed is
not compared in its compressed form, which another release of zlib may make otherwise.
"""

from __future__ import annotations

import importlib
import json
import pkgutil
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from google.protobuf import message_factory
from google.protobuf.descriptor import Descriptor, EnumDescriptor, FieldDescriptor, FileDescriptor
from google.protobuf.message import Message as WireMessage

from canvasbeam import cluster
from canvasbeam.cluster import codec
from canvasbeam.cluster.member import Member, member_item, member_of
from canvasbeam.cluster.transport import Channel
from canvasbeam.cluster.worker_items import encode_worker, worker_of
from canvasbeam.control_plane.control_state_record import decode_state, encode_state
from canvasbeam.control_plane.replication_codec import ReceivedMessage, ReplicationCodec
from canvasbeam.control_plane.state_codec import ControlStateCodec
from canvasbeam.control_plane.stored_records import (
    StoredWitness,
    decode_change,
    decode_epoch,
    decode_witness,
    encode_change,
    encode_epoch,
    encode_witness,
)
from canvasbeam.data_plane.placement_notices import PlacementNotice, decode_notice, encode_notice
from canvasbeam.dispatch.events import PromptEstimate, PromptPart
from canvasbeam.distribution import messages as distribution
from canvasbeam.distribution.document_messages import Announce, DocumentChunk, DocumentRequest, TransferId
from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.item_table.document import DocumentDelta
from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.leases import messages as lease_messages
from canvasbeam.leases.contact import ControlVersions
from canvasbeam.leases.peer_clock import SendTime
from canvasbeam.replication import messages as replication
from canvasbeam.replication.control_state import Change, ChangeKind, ControlState
from canvasbeam.replication.views import NO_MEMBER, Epoch, MemberId, Position, View
from canvasbeam.service_discovery.worker_registry import Model, Worker, WorkerState
from tests.golden.files import DESCRIPTORS, MESSAGES, read_bytes_by_name

PROTO_FOLDER = Path(cluster.__file__).parent

# --- values of distribution ---------------------------------------------------------------------------------------

DIGESTS = {ItemKind.CONFIGURATION: 0, ItemKind.WORKER: 0x0123456789ABCDEF, ItemKind.MEMBER: (1 << 64) - 1}
ITEMS = (
    Item(ItemKind.CONFIGURATION, "current", Version(12), b'{"generation":9}'),
    Item(ItemKind.EVACUATIONS, "current", Version(13), b"\x00\xff"),
    Item(ItemKind.WORKER, "worker-1", Version(1 << 62, 1), deleted=True),
    Item(ItemKind.MEMBER, "nöde/data", Version(3, 2), b"payload"),
    Item(ItemKind.BUDGET, "budget", Version(0), b""),
)
RECORDS = (
    distribution.VersionRecord("worker-1", Version(300, 1)),
    distribution.VersionRecord("worker-2", Version(1 << 62), True),
)
TRANSFER = TransferId(Version(12), Version(9))
DELTA = DocumentDelta({"routes/chat": b'{"name":"chat"}', "services/empty": b""}, ("routes/old", "routes/older"))
DISTRIBUTION: dict[str, distribution.Message] = {
    "subscribe": distribution.Subscribe(DIGESTS, 123_456_789_000),
    "subscribe_without_time": distribution.Subscribe({}),
    "keepalive": distribution.Keepalive(
        1_500_000_000, 2, DIGESTS, ControlVersions(12, 13), SendTime(0xDEADBEEF, 987_654_321_000, 123_456_789_000), 14
    ),
    "keepalive_unasked": distribution.Keepalive(0, 0, {}, ControlVersions(), SendTime(1, 2)),
    "refuse": distribution.Refuse(),
    "unsubscribe": distribution.Unsubscribe(),
    "renew": distribution.Renew(123_456_789_000, SendTime(0xDEADBEEF, 987_654_321_000)),
    "renew_alone": distribution.Renew(),
    "update": distribution.Update(ITEMS),
    "versions": distribution.Versions(ItemKind.WORKER, RECORDS),
    "request": distribution.Request(ItemKind.MEMBER, RECORDS),
    "compare": distribution.Compare(DIGESTS),
    "compare_nothing": distribution.Compare({}),
    "lease_request": lease_messages.LeaseRequest((1 << 48) - 1, ITEMS[2:4]),
    "lease_grant": lease_messages.LeaseGrant((1 << 48) - 1, ControlVersions(12, 13)),
    "announce": Announce(12, 14),
    "document_request": DocumentRequest(Version(9, 1), TRANSFER, 3),
    "document_request_for_the_whole": DocumentRequest(None),
    "document_piece": DocumentChunk(TRANSFER, 3, 4, 0x0102030405060708090A0B0C0D0E0F10, DELTA),
    "document_piece_of_the_whole": DocumentChunk(TransferId(Version(1)), 0, 1, 0, DocumentDelta({})),
}

# --- values of replication ----------------------------------------------------------------------------------------

EPOCH = Epoch(7, MemberId("10.0.0.1/0"))
HIGHER_EPOCH = Epoch(8, MemberId("10.0.0.2/0123456789abcdef"))
NO_EPOCH = Epoch(-1, NO_MEMBER)
VIEW = View(
    EPOCH,
    MemberId("10.0.0.1/0"),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/0123456789abcdef")),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.2/0123456789abcdef"), MemberId("10.0.0.3/0")),
    (MemberId("10.0.0.1/0"), MemberId("10.0.0.3/0"), MemberId("10.0.0.4/0")),
)
POSITION = Position(EPOCH, 300)
SNAPSHOT = replication.SnapshotId(b"0123456789abcdef", 1 << 22)
STATE = ControlState(
    index=300,
    generation=9,
    configuration={"generation": 9, "routes": [], "note": "é", "limits": {"seconds": 2.5, "none": None}},
    configuration_index=299,
    evacuated_zones=("north", "süd"),
    evacuation_index=300,
    applied_change_keys=(b"\x00" * 7 + b"\x08abcdefghijkl", b"\x00" * 7 + b"\x09ABCDEFGHIJKL"),
)
EMPTY_STATE = ControlState()
LARGE_STATE = ControlState(index=2, generation=1, configuration={"generation": 1, "text": "golden " * 1000})
CHANGES = (
    Change(ChangeKind.PUT_CONFIGURATION, b'{"generation":10}', 9),
    Change(ChangeKind.PATCH_CONFIGURATION, b'{"generation":11}', 10),
    Change(ChangeKind.START_EVACUATION, zone="north"),
    Change(ChangeKind.END_EVACUATION, zone="süd"),
)
REPLICATION: dict[str, replication.Message] = {
    "hello": replication.Hello(True),
    "hello_unhealthy": replication.Hello(False),
    "view_told": replication.ViewNotice(VIEW, True),
    "probe": replication.PreVoteRequest(70_000),
    "probed": replication.PreVote(70_000, True, True, HIGHER_EPOCH, VIEW, True),
    "probed_without_view": replication.PreVote(4, False, False, NO_EPOCH, None, False),
    "prepare": replication.Prepare(EPOCH),
    "promise": replication.Promise(EPOCH, VIEW, True, POSITION, True),
    "promise_without_view": replication.Promise(EPOCH, None, False, Position(NO_EPOCH, 0), False),
    "refused": replication.Refused(EPOCH, HIGHER_EPOCH),
    "fetch": replication.Fetch(EPOCH),
    "fetched": replication.Fetched(EPOCH, POSITION, STATE),
    "fetched_snapshot": replication.Fetched(EPOCH, POSITION, SNAPSHOT),
    "install": replication.Install(EPOCH, POSITION, STATE),
    "install_empty_state": replication.Install(EPOCH, Position(EPOCH, 0), EMPTY_STATE),
    "install_own_state": replication.Install(EPOCH, POSITION, None),
    "install_snapshot": replication.Install(EPOCH, POSITION, SNAPSHOT),
    "installed": replication.Installed(EPOCH, True, 300),
    "installed_not": replication.Installed(EPOCH, False),
    "accept": replication.Accept(VIEW, True),
    "accepted": replication.Accepted(EPOCH, True),
    "heartbeat": replication.Heartbeat(EPOCH, 70_000, 299),
    "heartbeat_ack": replication.HeartbeatAck(EPOCH, 70_000, True, HIGHER_EPOCH, True),
    "append": replication.Append(EPOCH, 296, CHANGES, 295),
    "appended": replication.Appended(EPOCH, 300),
    "resign": replication.Resign(EPOCH),
    "fetch_piece": replication.FetchChunk(SNAPSHOT, 2),
    "piece": replication.Chunk(SNAPSHOT, 2, b"\x00\x01piece", 0xFFFFFFFF),
    "leave": replication.Leave((MemberId("10.0.0.4/a"), MemberId("10.0.0.5/b"))),
    "leave_granted": replication.LeaveGranted(EPOCH, 3),
    "leave_requested": replication.LeaveRequested(),
}
SENDER = MemberId("10.0.0.2/0123456789abcdef")
LIFE = 0x1122334455667788
ANSWERED_LIFE = 0x7FFFFFFFFFFFFFFF

# --- other values -------------------------------------------------------------------------------------------------

WORKER = Worker(
    service="llm",
    address="10.1.0.1:8000",
    zone="z1",
    software_generation="2026-11",
    slots=64,
    state=WorkerState.DRAINING,
    warm_up_left_ms=1_500,
    remaining_ms=0,
    stage="décode",
    models=(Model("large", 7, ("adapter-a", "adapter-b")), Model("small")),
)
PLAIN_WORKER = Worker("llm", "10.1.0.1:8000", "z1")
MEMBER = Member(
    "nöde-1", "core", "control-plane", "10.0.0.1", "z1", "region-1", "10.0.0.1:80", True, 70_000, is_control=True
)
PLAIN_MEMBER = Member("edge-1", "edge", "data-plane", "10.0.0.9", "z2", "region-2", "", False, 70_000)
NOTICE = PlacementNotice(
    "worker-1", PromptEstimate(70_000, 0, (PromptPart("sÿstem", 600), PromptPart("", 0))), 12_345_000.0
)
SILENCE = PlacementNotice("worker-1", PromptEstimate(0, 0), 0.0, is_unresponsive=True)


@dataclass(frozen=True, slots=True)
class Case:
    """A value, the message of the `.proto` files that holds it, and how the code turns it into bytes and back."""

    type_name: str
    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


def state_codec() -> ControlStateCodec:
    return ControlStateCodec(encode_state, decode_state)


def replication_codec() -> ReplicationCodec:
    return ReplicationCodec(state_codec())


def encode_received(received: ReceivedMessage) -> bytes:
    return replication_codec().encode(
        received.sender, received.message, received.incarnation, received.answered_incarnation
    )


def decode_member(payload: bytes) -> object:
    return member_of(Item(ItemKind.MEMBER, "ignored", Version(70_000, 0), payload))


def decode_worker(payload: bytes) -> object:
    return worker_of(Item(ItemKind.WORKER, "worker-1", Version(1), payload))


def witness_case(value: StoredWitness) -> Case:
    return Case(
        "WitnessRecord", value, lambda it: encode_witness(it.promised, it.accepted, it.in_force), decode_witness
    )


CASES: dict[str, Case] = {
    **{
        f"distribution/{name}": Case("DistributionMessage", message, codec.encode, codec.decode)
        for name, message in DISTRIBUTION.items()
    },
    **{
        f"replication/{name}": Case(
            "ReplicationEnvelope",
            ReceivedMessage(SENDER, message, LIFE, ANSWERED_LIFE if isinstance(message, replication.ANSWERS) else 0),
            encode_received,
            replication_codec().decode,
        )
        for name, message in REPLICATION.items()
    },
    "state": Case("ControlStateRecord", STATE, encode_state, decode_state),
    "state/empty": Case("ControlStateRecord", EMPTY_STATE, encode_state, decode_state),
    "witness": witness_case(StoredWitness(HIGHER_EPOCH, VIEW, True)),
    "witness/without_view": witness_case(StoredWitness(NO_EPOCH, None, False)),
    "epoch": Case("EpochRecord", EPOCH, encode_epoch, decode_epoch),
    "epoch/none": Case("EpochRecord", NO_EPOCH, encode_epoch, decode_epoch),
    "epoch/genesis": Case("EpochRecord", Epoch(0, NO_MEMBER), encode_epoch, decode_epoch),
    **{
        f"change/{number}": Case("ChangeRecord", change, encode_change, decode_change)
        for number, change in enumerate(CHANGES, 1)
    },
    "worker": Case("WorkerRecord", WORKER, encode_worker, decode_worker),
    "worker/plain": Case("WorkerRecord", PLAIN_WORKER, encode_worker, decode_worker),
    "member": Case("MemberRecord", MEMBER, lambda it: member_item(it).payload, decode_member),
    "member/plain": Case("MemberRecord", PLAIN_MEMBER, lambda it: member_item(it).payload, decode_member),
    "placement": Case("PlacementNotice", NOTICE, encode_notice, decode_notice),
    "placement/silence": Case("PlacementNotice", SILENCE, encode_notice, decode_notice),
}
# Messages that only a running part of the program makes and takes: `test_golden_live_messages.py` has their values.
LIVE_TYPES = {
    "live/hello_to_unknown_life": "Hello",
    "live/hello_to_known_life": "Hello",
    "live/frame": "Frame",
    "live/frame_of_life": "Frame",
    "live/probe": "Probe",
    "live/probe_of_suspect": "Probe",
    "live/probe_answer": "Probe",
    "live/heard_heartbeats": "HeardHeartbeats",
    "live/heard_no_heartbeats": "HeardHeartbeats",
}
PACKED_TYPES = {("DocumentPiece", "delta"): "DocumentDelta"}  # messages that a field holds as bytes
PLAIN = b"\x00"  # stands before packed bytes that are not compressed


def encoded() -> dict[str, bytes]:
    """The bytes of every case, as the code makes them now."""
    return {name: case.encode(case.value) for name, case in CASES.items()}


@pytest.mark.parametrize("name", CASES)
def test_message_is_encoded_to_the_golden_bytes(name: str) -> None:
    case = CASES[name]
    assert case.encode(case.value).hex() == read_bytes_by_name(MESSAGES)[name].hex()


@pytest.mark.parametrize("name", CASES)
def test_golden_bytes_are_decoded_to_the_value(name: str) -> None:
    case = CASES[name]
    assert case.decode(read_bytes_by_name(MESSAGES)[name]) == case.value


def test_every_case_has_golden_bytes_and_no_other_bytes_lie_there() -> None:
    assert set(read_bytes_by_name(MESSAGES)) == {*CASES, *LIVE_TYPES, "compressed/state"}


def test_a_compressed_state_is_decoded() -> None:
    """Only decoded: other releases of zlib may compress otherwise."""
    assert state_codec().decode_state(read_bytes_by_name(MESSAGES)["compressed/state"]) == LARGE_STATE


# --- numbers that the code gives to its own kinds -----------------------------------------------------------------


def test_the_numbers_of_kinds_and_channels_stay() -> None:
    assert {kind.name: int(kind) for kind in ItemKind} == {
        "CONFIGURATION": 1, "EVACUATIONS": 2, "WORKER": 3, "MEMBER": 4, "BUDGET": 5,
    }  # fmt: skip
    assert {channel.name: int(channel) for channel in Channel} == {
        "REPLICATION": 1, "DISTRIBUTION": 2, "MEMBERSHIP": 3, "REGISTRY": 4, "PLACEMENT": 5,
    }  # fmt: skip
    assert {kind.name: int(kind) for kind in ChangeKind} == {
        "PUT_CONFIGURATION": 1, "PATCH_CONFIGURATION": 2, "START_EVACUATION": 3, "END_EVACUATION": 4,
    }  # fmt: skip
    assert {state.name: int(state) for state in WorkerState} == {"READY": 1, "DRAINING": 2, "MISSING": 3, "LEFT": 4}
    assert {MemberStatu.name: int(MemberStatu) for MemberStatu in MemberStatus} == {
        "ALIVE": 0,
        "SUSPECT": 1,
        "DEAD": 2,
        "LEFT": 3,
    }


# --- descriptors --------------------------------------------------------------------------------------------------


def proto_files() -> list[FileDescriptor]:
    """The descriptors of all generated modules of the cluster."""
    names = sorted(module.name for module in pkgutil.iter_modules([str(PROTO_FOLDER)]) if module.name.endswith("_pb2"))
    return [importlib.import_module(f"{cluster.__name__}.{name}").DESCRIPTOR for name in names]


SCALAR_TYPES = {
    getattr(FieldDescriptor, name): name.removeprefix("TYPE_").lower()
    for name in dir(FieldDescriptor)
    if name.startswith("TYPE_")
}


def _described_field(field: FieldDescriptor) -> dict[str, Any]:
    named = field.message_type or field.enum_type
    return {
        "number": field.number,
        "type": named.name if named is not None else SCALAR_TYPES[field.type],
        "repeated": field.is_repeated,
        "tells_presence": field.has_presence,
        "oneof": field.containing_oneof.name if field.containing_oneof is not None else "",
    }


def _described_message(message: Descriptor) -> dict[str, Any]:
    assert not message.nested_types, "a message inside a message is not described yet"
    assert not message.enum_types, "an enum inside a message is not described yet"
    return {field.name: _described_field(field) for field in message.fields}


def _described_enum(enum: EnumDescriptor) -> dict[str, int]:
    return {value.name: value.number for value in enum.values}


def described() -> dict[str, Any]:
    """Every message with its fields, and every enum with its values."""
    files = proto_files()
    messages = [message for file in files for message in file.message_types_by_name.values()]
    enums = [enum for file in files for enum in file.enum_types_by_name.values()]
    assert len({message.name for message in messages}) == len(messages), "two messages have the same name"
    return {
        "messages": {message.name: _described_message(message) for message in messages},
        "enums": {enum.name: _described_enum(enum) for enum in enums},
    }


def test_every_proto_file_has_a_generated_module() -> None:
    assert {Path(proto_file.name).name for proto_file in proto_files()} == {
        path.name for path in PROTO_FOLDER.glob("*.proto")
    }


def test_names_numbers_and_types_of_all_fields_stay() -> None:
    assert described() == json.loads(DESCRIPTORS.read_text(encoding="ascii"))


# --- coverage -----------------------------------------------------------------------------------------------------


def descriptors_by_name() -> dict[str, Descriptor]:
    return {message.name: message for file in proto_files() for message in file.message_types_by_name.values()}


def parsed(type_name: str, data: bytes) -> WireMessage:
    """The bytes as a message of this name."""
    return message_factory.GetMessageClass(descriptors_by_name()[type_name]).FromString(data)


def told_fields(message: WireMessage) -> Iterator[tuple[str, str]]:
    """The message and field of everything that is set in a message, in those inside it, and in packed ones."""
    type_name = message.DESCRIPTOR.name
    yield type_name, ""
    for field, value in message.ListFields():
        yield type_name, field.name
        inner = PACKED_TYPES.get((type_name, field.name))
        if inner is not None and value:
            assert value[:1] == PLAIN
            yield from told_fields(parsed(inner, value[1:]))
        elif field.message_type is not None:
            for element in value if field.is_repeated else (value,):
                yield from told_fields(element)


def test_golden_bytes_hold_every_field_of_every_message() -> None:
    golden = read_bytes_by_name(MESSAGES)
    types = {name: case.type_name for name, case in CASES.items()} | LIVE_TYPES
    told = {field for name, type_name in types.items() for field in told_fields(parsed(type_name, golden[name]))}
    everything = {
        (name, field) for name, message in descriptors_by_name().items() for field in ("", *message.fields_by_name)
    }
    assert everything - told == set()


def test_golden_bytes_hold_no_field_that_is_not_described() -> None:
    golden = read_bytes_by_name(MESSAGES)
    types = {name: case.type_name for name, case in CASES.items()} | LIVE_TYPES
    for name, type_name in types.items():
        message = parsed(type_name, golden[name])
        whole = message.SerializeToString()
        message.DiscardUnknownFields()
        assert message.SerializeToString() == whole == golden[name], name


def written_numbers(text: str) -> dict[str, dict[str, int]]:
    """The names and numbers in the text of a `.proto` file, by message or enum."""
    numbers: dict[str, dict[str, int]] = {}
    current: dict[str, int] = {}
    for line in text.splitlines():
        code = line.partition("//")[0]
        if opened := re.match(r"(?:message|enum) (\w+) \{", code):
            current = numbers[opened[1]] = {}
        elif given := re.match(r"\s+(?:[\w.]+ )*(\w+) = (\d+);", code):
            current[given[1]] = int(given[2])
    return numbers


def test_the_text_of_the_proto_files_has_the_same_numbers() -> None:
    """The generated modules are committed; this finds a file that was changed without them, or the reverse."""
    written: dict[str, dict[str, int]] = {}
    for path in PROTO_FOLDER.glob("*.proto"):
        written |= written_numbers(path.read_text(encoding="utf-8"))
    golden = json.loads(DESCRIPTORS.read_text(encoding="ascii"))
    fields = {
        name: {field: each["number"] for field, each in message.items()} for name, message in golden["messages"].items()
    }
    assert written == fields | golden["enums"]
