"""A member of the cluster, and the item that describes the member.

The major version of a member item is the member's incarnation, and the minor version is its `MemberStatus`. Each member
publishes its own description and readiness, each change under a new incarnation. Other nodes may only change the status
of a member to suspect or dead.
"""

from __future__ import annotations

from dataclasses import dataclass

from google.protobuf.message import DecodeError

from canvasbeam.cluster.membership_pb2 import MemberRecord
from canvasbeam.errors import Failure, ResultCode
from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.item_table.items import Item, ItemKind, Version


@dataclass(frozen=True, slots=True)
class Member:
    """One process of the cluster, as described in its own member item."""

    name: str
    node_class: str
    role: str
    ip: str
    zone: str
    region: str
    front: str
    ready: bool
    incarnation: int
    is_control: bool = False

    @property
    def key(self) -> str:
        """The key of the member item. The name alone is no key: two processes may share a machine and its name."""
        return member_key(self.name, self.is_control)


def member_key(name: str, is_control: bool) -> str:
    """Return the key of the member item of the control or data-plane process on the machine `name`."""
    return f"{name}/{'control' if is_control else 'data'}"


def status_of(item: Item) -> MemberStatus:
    """Return the status in a member item; a number above all known statuses counts as `LEFT`, the highest."""
    return MemberStatus(min(item.version.minor, int(MemberStatus.LEFT)))


def member_item(member: Member, status: MemberStatus = MemberStatus.ALIVE) -> Item:
    """Return the member item with this status; a tombstone if the status is dead or left."""
    version = Version(member.incarnation, int(status))
    if status > MemberStatus.SUSPECT:
        return Item(ItemKind.MEMBER, member.key, version, deleted=True)
    record = MemberRecord(
        name=member.name,
        node_class=member.node_class,
        role=member.role,
        ip=member.ip,
        zone=member.zone,
        region=member.region,
        front=member.front,
        ready=member.ready,
        is_control=member.is_control,
    )
    return Item(ItemKind.MEMBER, member.key, version, record.SerializeToString())


def member_of(item: Item) -> Member | Failure:
    """Return the member that an item describes, or a `Failure` if the item's payload is invalid."""
    try:
        record = MemberRecord.FromString(item.payload)
    except DecodeError as error:
        return Failure(ResultCode.MESSAGE_INVALID, f"member {item.key}: {error}")
    return Member(
        name=record.name,
        node_class=record.node_class,
        role=record.role,
        ip=record.ip,
        zone=record.zone,
        region=record.region,
        front=record.front,
        ready=record.ready,
        incarnation=item.version.major,
        is_control=record.is_control,
    )
