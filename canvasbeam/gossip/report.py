"""Membership report for operators, as JSON-compatible values; ages are in seconds.

The keys must not change, because `GET /peers` on the management address returns them; only this module uses these keys.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from canvasbeam.failure_detection.member_status import MemberStatus
from canvasbeam.failure_detection.swim import Member, Membership
from canvasbeam.gossip.codec import DropReason
from canvasbeam.units import SECOND

Report = dict[str, Any]  # a JSON object


def build_report(
    membership: Membership,
    now: int,
    sent: Mapping[str, int],
    received: Mapping[str, int],
    dropped: Mapping[DropReason, int],
) -> Report:
    """Return the members, the confidence in this view, and the datagram counts; `now` is in nanoseconds."""
    view = membership.view(now)
    return {
        "me": {
            "name": membership.name,
            "address": membership.address,
            "state": membership.own_state.name.lower(),
            "start": membership.start,
            "incarnation": membership.incarnation,
            "health": membership.health,
        },
        "there": list(view.present),
        "gone": list(view.absent),
        "sure": round(view.confidence, 3),
        "silent_s": _age_s(view.nothing_received_since, now),
        "unanswered_s": _age_s(view.unanswered_since, now),
        "members": [_member_row(member, now) for _, member in sorted(membership.members.items())],
        "sent": dict(sent),
        "taken": dict(received),
        "dropped": {reason.value: count for reason, count in dropped.items()},
    }


def report_without_address(name: str, address: str) -> Report:
    """Return the report of an instance that cannot bind its address yet, because an older process uses it."""
    return {"me": {"name": name, "address": address, "state": "waiting for its address"}}


def _member_row(member: Member, now: int) -> Report:
    known = member.known
    return {
        "name": known.name,
        "address": known.address,
        "state": known.status.name.lower(),
        "start": known.start,
        "incarnation": known.incarnation,
        "for_s": _age_s(member.since, now),
        "heard_s": _age_s(member.last_received_at or None, now),
        "suspected_by": sorted(member.suspected_by) if known.status is MemberStatus.SUSPECT else [],
    }


def _age_s(since: int | None, now: int) -> float | None:
    return None if since is None else round((now - since) / SECOND, 3)
