"""Describe the status of a replication member, as reported to operators by `/v1/status`."""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.replication.departure import DepartureState
from canvasbeam.replication.member import Member
from canvasbeam.replication.resilience import Resilience, resilience_of
from canvasbeam.replication.views import NO_MEMBER, MemberId

NO_EPOCH_NUMBER = -1  # epoch number reported before any view is known
DISK_OK = "ok"


@dataclass(frozen=True, slots=True)
class ReplicationStatus:
    """The status of one member. `status.status_document` defines the names of the fields in the JSON document."""

    member: MemberId = NO_MEMBER
    role: str = "starting"
    epoch: int = NO_EPOCH_NUMBER
    primary: MemberId = NO_MEMBER
    replicas: tuple[MemberId, ...] = ()
    witnesses: tuple[MemberId, ...] = ()
    committed_index: int = 0
    stored_index: int = 0
    disk: str = DISK_OK
    stale_answers: int = 0
    resilience: Resilience = Resilience()  # noqa: RUF009  # frozen, so instances can share the default
    leaving: str = DepartureState.STAYING.name.lower()


def status_of(
    member: Member, *, committed_index: int, disk: str, stale_answers: int, tolerated_machines: int
) -> ReplicationStatus:
    """Return the status of a started member."""
    view = member.state.known_view.view
    view_state = member.leadership or member.state.known_view
    return ReplicationStatus(
        member=member.me,
        role=member.role.name.lower(),
        epoch=NO_EPOCH_NUMBER if view is None else view.epoch.number,
        primary=member.state.known_primary.member,
        replicas=() if view is None else view.replicas,
        witnesses=() if view is None else view.witnesses,
        committed_index=committed_index,
        stored_index=member.state.replica.state.index,
        disk=disk,
        stale_answers=member.stale_answers + stale_answers,
        resilience=Resilience()
        if view is None
        else resilience_of(view, view_state.is_reconfiguration_complete, tolerated_machines),
        leaving=member.state.departure.state.name.lower(),
    )
