"""Encode and decode the messages of the packages `distribution` and `leases`.

Field names on the wire are older than the names in the code and must stay, so this module translates them: `life` is an
incarnation, `control_age_ms` is the age of the contact instant, `heard_*` is the send time of a received keepalive.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from google.protobuf.message import DecodeError

from canvasbeam.cluster import distribution_pb2 as wire
from canvasbeam.cluster import document_codec
from canvasbeam.distribution.document_messages import Announce, DocumentChunk, DocumentRequest
from canvasbeam.distribution.messages import (
    Compare,
    Digests,
    Keepalive,
    Message,
    Refuse,
    Renew,
    Request,
    Subscribe,
    Unsubscribe,
    Update,
    VersionRecord,
    Versions,
)
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.item_table.items import Item, ItemKind, Version
from canvasbeam.leases.contact import ControlVersions
from canvasbeam.leases.messages import LeaseGrant, LeaseRequest
from canvasbeam.leases.peer_clock import SendTime
from canvasbeam.units import MILLISECOND

KINDS = {int(kind): kind for kind in ItemKind}
MAX_AGE_MS = (1 << 32) - 1


def encode(message: Message) -> bytes:
    """Return the wire encoding of `message`."""
    body = wire.DistributionMessage()
    _WRITERS[type(message)](body, message)
    return body.SerializeToString()


def decode(payload: bytes) -> Message | Failure:
    """Return the message encoded in `payload`, without items of unknown kinds; return a `Failure` if it is invalid."""
    try:
        body = wire.DistributionMessage.FromString(payload)
    except DecodeError as error:
        return Failure(ResultCode.MESSAGE_INVALID, str(error))
    name = body.WhichOneof("body")
    reader = _READERS.get(name) if name else None
    try:
        message = reader(body) if reader else None
    except (DecodeError, ValueError) as error:
        return Failure(ResultCode.MESSAGE_INVALID, str(error))
    return (
        message
        if message is not None
        else Failure(ResultCode.MESSAGE_INVALID, f"unknown message type or item kind in body {name!r}")
    )


def _write_subscribe(body: wire.DistributionMessage, message: Subscribe) -> None:
    body.subscribe.CopyFrom(wire.Subscribe(digests=_digests(message.digests), asked_at=message.requested_at))


def _write_keepalive(body: wire.DistributionMessage, message: Keepalive) -> None:
    body.keepalive.CopyFrom(_keepalive(message))


def _write_lease_request(body: wire.DistributionMessage, message: LeaseRequest) -> None:
    body.lease_request.number = message.number
    body.lease_request.items.extend(map(_item, message.items))


def _write_lease_grant(body: wire.DistributionMessage, message: LeaseGrant) -> None:
    body.lease_grant.number = message.number
    body.lease_grant.versions.CopyFrom(_versions(message.versions))


def _write_refuse(body: wire.DistributionMessage, message: Refuse) -> None:
    body.refuse.SetInParent()


def _write_unsubscribe(body: wire.DistributionMessage, message: Unsubscribe) -> None:
    body.unsubscribe.SetInParent()


def _write_renew(body: wire.DistributionMessage, message: Renew) -> None:
    body.renew.CopyFrom(_renew(message))


def _write_update(body: wire.DistributionMessage, message: Update) -> None:
    body.update.items.extend(map(_item, message.items))


def _write_versions(body: wire.DistributionMessage, message: Versions) -> None:
    body.versions.kind = int(message.kind)
    body.versions.records.extend(map(_record, message.records))


def _write_request(body: wire.DistributionMessage, message: Request) -> None:
    body.request.kind = int(message.kind)
    body.request.records.extend(map(_record, message.records))


def _write_compare(body: wire.DistributionMessage, message: Compare) -> None:
    body.compare.SetInParent()
    body.compare.digests.extend(_digests(message.digests))


def _keepalive(message: Keepalive) -> wire.Keepalive:
    return wire.Keepalive(
        control_age_ms=min(-(-message.contact_age // MILLISECOND), MAX_AGE_MS),
        depth=message.depth,
        digests=_digests(message.digests),
        versions=_versions(message.versions),
        sent_at=message.time.sent_at,
        life=message.time.incarnation,
        asked_at=message.time.requested_at,
        newest=message.newest,
    )


def _renew(message: Renew) -> wire.Renew:
    renew = wire.Renew(asked_at=message.requested_at)
    if message.received is not None:
        renew.heard_sent_at = message.received.sent_at
        renew.heard_life = message.received.incarnation
    return renew


def _versions(versions: ControlVersions) -> wire.ControlVersions:
    return wire.ControlVersions(configuration=versions.configuration, evacuations=versions.evacuations)


def _digests(digests: Digests) -> list[wire.KindDigest]:
    return [wire.KindDigest(kind=int(kind), digest=digest) for kind, digest in digests.items()]


def _item(item: Item) -> wire.ItemRecord:
    return wire.ItemRecord(
        kind=int(item.kind),
        key=item.key,
        major=item.version.major,
        minor=item.version.minor,
        payload=item.payload,
        deleted=item.deleted,
    )


def _record(record: VersionRecord) -> wire.VersionRecord:
    version = record.version
    return wire.VersionRecord(key=record.key, major=version.major, minor=version.minor, deleted=record.deleted)


def _read_digests(records: Iterable[wire.KindDigest]) -> Digests:
    return {KINDS[record.kind]: record.digest for record in records if record.kind in KINDS}


def _read_update(body: wire.DistributionMessage) -> Message:
    return Update(_read_items(body.update.items))


def _read_items(records: Iterable[wire.ItemRecord]) -> tuple[Item, ...]:
    return tuple(
        Item(KINDS[item.kind], item.key, Version(item.major, item.minor), item.payload, item.deleted)
        for item in records
        if item.kind in KINDS
    )


def _read_control_versions(versions: wire.ControlVersions) -> ControlVersions:
    return ControlVersions(versions.configuration, versions.evacuations)


def _read_records(records: Iterable[wire.VersionRecord]) -> tuple[VersionRecord, ...]:
    return tuple(VersionRecord(record.key, Version(record.major, record.minor), record.deleted) for record in records)


def _read_versions(body: wire.DistributionMessage) -> Message | None:
    kind = KINDS.get(body.versions.kind)
    return Versions(kind, _read_records(body.versions.records)) if kind else None


def _read_request(body: wire.DistributionMessage) -> Message | None:
    kind = KINDS.get(body.request.kind)
    return Request(kind, _read_records(body.request.records)) if kind else None


def _read_subscribe(body: wire.DistributionMessage) -> Message:
    record = body.subscribe
    return Subscribe(_read_digests(record.digests), record.asked_at if record.HasField("asked_at") else None)


def _read_renew(body: wire.DistributionMessage) -> Message:
    record = body.renew
    received = SendTime(record.heard_life, record.heard_sent_at) if record.HasField("heard_sent_at") else None
    return Renew(record.asked_at if record.HasField("asked_at") else None, received)


def _read_keepalive(body: wire.DistributionMessage) -> Message:
    record = body.keepalive
    return Keepalive(
        record.control_age_ms * MILLISECOND,
        record.depth,
        _read_digests(record.digests),
        _read_control_versions(record.versions),
        SendTime(record.life, record.sent_at, record.asked_at if record.HasField("asked_at") else None),
        record.newest,
    )


def _read_lease_request(body: wire.DistributionMessage) -> Message:
    return LeaseRequest(body.lease_request.number, _read_items(body.lease_request.items))


def _read_lease_grant(body: wire.DistributionMessage) -> Message:
    return LeaseGrant(body.lease_grant.number, _read_control_versions(body.lease_grant.versions))


# Each function accepts only messages of its key's type. The parameter is `Any`, because a dict type can't express this.
_WRITERS: dict[type[Message], Callable[[wire.DistributionMessage, Any], None]] = {
    Subscribe: _write_subscribe,
    Keepalive: _write_keepalive,
    Refuse: _write_refuse,
    Unsubscribe: _write_unsubscribe,
    Renew: _write_renew,
    LeaseRequest: _write_lease_request,
    LeaseGrant: _write_lease_grant,
    Update: _write_update,
    Versions: _write_versions,
    Request: _write_request,
    Compare: _write_compare,
    Announce: document_codec.write,
    DocumentRequest: document_codec.write,
    DocumentChunk: document_codec.write,
}

_READERS: dict[str, Callable[[wire.DistributionMessage], Message | None]] = {
    "subscribe": _read_subscribe,
    "keepalive": _read_keepalive,
    "refuse": lambda body: Refuse(),
    "unsubscribe": lambda body: Unsubscribe(),
    "renew": _read_renew,
    "lease_request": _read_lease_request,
    "lease_grant": _read_lease_grant,
    "update": _read_update,
    "versions": _read_versions,
    "request": _read_request,
    "compare": lambda body: Compare(_read_digests(body.compare.digests)),
    "announce": lambda body: document_codec.read_announce(body.announce),
    "document_request": lambda body: document_codec.read_request(body.document_request),
    "document_piece": lambda body: document_codec.read_chunk(body.document_piece),
}
