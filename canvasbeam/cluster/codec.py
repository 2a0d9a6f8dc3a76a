"""The messages of distribution as bytes."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from google.protobuf.message import DecodeError

from canvasbeam.cluster import distribution_pb2 as wire
from canvasbeam.cluster.items import Item, ItemKind, Version
from canvasbeam.decide.distribution_messages import (
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
from canvasbeam.units import MILLISECOND

KINDS = {int(kind): kind for kind in ItemKind}
LONGEST_AGE_MS = (1 << 32) - 1


def encode(message: Message) -> bytes:
    """A message as bytes."""
    body = wire.DistributionMessage()
    match message:
        case Subscribe():
            body.subscribe.SetInParent()
            body.subscribe.digests.extend(_digests(message.digests))
        case Keepalive():
            body.keepalive.control_age_ms = min(message.control_age // MILLISECOND, LONGEST_AGE_MS)
            body.keepalive.depth = message.depth
            body.keepalive.digests.extend(_digests(message.digests))
            body.keepalive.SetInParent()
        case Refuse():
            body.refuse.SetInParent()
        case Unsubscribe():
            body.unsubscribe.SetInParent()
        case Renew():
            body.renew.SetInParent()
        case Update():
            body.update.items.extend(map(_item, message.items))
        case Versions():
            body.versions.kind = int(message.kind)
            body.versions.records.extend(map(_record, message.records))
        case Request():
            body.request.kind = int(message.kind)
            body.request.records.extend(map(_record, message.records))
        case Compare():
            body.compare.SetInParent()
            body.compare.digests.extend(_digests(message.digests))
    return body.SerializeToString()


def decode(payload: bytes) -> Message | Failure:
    """The message that these bytes are. Kinds of items that are not known here are left out."""
    try:
        body = wire.DistributionMessage.FromString(payload)
    except DecodeError as error:
        return Failure(ResultCode.MESSAGE_INVALID, str(error))
    name = body.WhichOneof("body")
    reader = _READERS.get(name) if name else None
    message = reader(body) if reader else None
    return message if message is not None else Failure(ResultCode.MESSAGE_INVALID, f"a message {name!r}")


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
    return Update(
        tuple(
            Item(KINDS[each.kind], each.key, Version(each.major, each.minor), each.payload, each.deleted)
            for each in body.update.items
            if each.kind in KINDS
        )
    )


def _read_records(records: Iterable[wire.VersionRecord]) -> tuple[VersionRecord, ...]:
    return tuple(VersionRecord(each.key, Version(each.major, each.minor), each.deleted) for each in records)


def _read_versions(body: wire.DistributionMessage) -> Message | None:
    kind = KINDS.get(body.versions.kind)
    return Versions(kind, _read_records(body.versions.records)) if kind else None


def _read_request(body: wire.DistributionMessage) -> Message | None:
    kind = KINDS.get(body.request.kind)
    return Request(kind, _read_records(body.request.records)) if kind else None


def _read_keepalive(body: wire.DistributionMessage) -> Message:
    told = body.keepalive
    return Keepalive(told.control_age_ms * MILLISECOND, told.depth, _read_digests(told.digests))


_READERS: dict[str, Callable[[wire.DistributionMessage], Message | None]] = {
    "subscribe": lambda body: Subscribe(_read_digests(body.subscribe.digests)),
    "keepalive": _read_keepalive,
    "refuse": lambda body: Refuse(),
    "unsubscribe": lambda body: Unsubscribe(),
    "renew": lambda body: Renew(),
    "update": _read_update,
    "versions": _read_versions,
    "request": _read_request,
    "compare": lambda body: Compare(_read_digests(body.compare.digests)),
}
