"""The permanent removal of a control process by the operator: whether the removal is allowed, and its progress.

The module does no I/O: the decision depends on the view only, and the caller tells the member to leave.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from enum import Enum

from canvasbeam.errors import Failure, ResultCode
from canvasbeam.replication.views import MemberId, View, member_ip


class Removal(Enum):
    """The progress of a removal."""

    IN_PROGRESS = "in progress"  # the view still includes the member, or the view change is not complete
    DONE = "done"  # a view in force excludes the member


def removal_of(
    ip: str,
    view: View,
    is_reconfiguration_complete: bool,
    *,
    known: Collection[MemberId],
    can_remove: Callable[[MemberId], bool],
) -> Removal | Failure:
    """Return the progress of removing the members at `ip`, or a `Failure` if the removal is impossible."""
    present = at_address(ip, (*view.replicas, *view.witnesses))
    if not present and not at_address(ip, (*view.previous_witnesses, *known)):
        return Failure(ResultCode.MEMBER_UNKNOWN, f"no control process was ever heard at {ip}")
    if any(not can_remove(member) for member in present):
        return Failure(
            ResultCode.MEMBER_NEEDED, f"no other control process can take the place of {ip}: start one first"
        )
    return Removal.DONE if is_reconfiguration_complete and not present else Removal.IN_PROGRESS


def at_address(ip: str, members: Collection[MemberId]) -> list[MemberId]:
    """Return the members at IP address `ip`, without duplicates."""
    return [member for member in dict.fromkeys(members) if member_ip(member) == ip]
