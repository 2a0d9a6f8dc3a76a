"""The roles of a member, and the events that change the role.

| role | event | next role |
| --- | --- | --- |
| FOLLOWER | ELECTION_TIMEOUT: the primary is unresponsive and this member's election timer expired | CANDIDATE |
| CANDIDATE | WON: the candidate's view is in force | PRIMARY |
| PRIMARY | VIEW_OUTDATED: a member is lost, returns, leaves or refuses the epoch | REFORMING |
| REFORMING | WON | PRIMARY |
| CANDIDATE, REFORMING | PRE_VOTE_LOST, LOST: no view came into force | FOLLOWER |
| PRIMARY | EPOCH_REFUSED: a replica of the view has promised a higher epoch | FOLLOWER |
| any | OTHER_LEADS: another member leads in an epoch that is not refused | FOLLOWER |
| any | RESIGNED: this member stops leading and notifies the others | FOLLOWER |

A state machine reports the event in its `Outcome`; only `member.Member` looks up the table and changes the role. A
machine must never access another machine.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto

from canvasbeam.replication.messages import Action


class Role(Enum):
    """Role of a member, in addition to being a witness and a replica."""

    FOLLOWER = auto()
    CANDIDATE = auto()
    PRIMARY = auto()
    REFORMING = auto()  # a primary that is changing its view


class RoleEvent(Enum):
    """Event that ends a role. On `UNABLE_TO_LEAD` the member resigns, which ends the role with `RESIGNED`."""

    ELECTION_TIMEOUT = auto()
    WON = auto()
    PRE_VOTE_LOST = auto()  # no member had promised the epoch, so the attempt had no effect
    LOST = auto()
    VIEW_OUTDATED = auto()
    EPOCH_REFUSED = auto()
    OTHER_LEADS = auto()
    UNABLE_TO_LEAD = auto()
    RESIGNED = auto()


TRANSITIONS: Mapping[tuple[Role, RoleEvent], Role] = {
    (Role.FOLLOWER, RoleEvent.ELECTION_TIMEOUT): Role.CANDIDATE,
    (Role.FOLLOWER, RoleEvent.RESIGNED): Role.FOLLOWER,
    (Role.CANDIDATE, RoleEvent.WON): Role.PRIMARY,
    (Role.CANDIDATE, RoleEvent.PRE_VOTE_LOST): Role.FOLLOWER,
    (Role.CANDIDATE, RoleEvent.LOST): Role.FOLLOWER,
    (Role.CANDIDATE, RoleEvent.OTHER_LEADS): Role.FOLLOWER,
    (Role.CANDIDATE, RoleEvent.RESIGNED): Role.FOLLOWER,
    (Role.PRIMARY, RoleEvent.VIEW_OUTDATED): Role.REFORMING,
    (Role.PRIMARY, RoleEvent.EPOCH_REFUSED): Role.FOLLOWER,
    (Role.PRIMARY, RoleEvent.OTHER_LEADS): Role.FOLLOWER,
    (Role.PRIMARY, RoleEvent.RESIGNED): Role.FOLLOWER,
    (Role.REFORMING, RoleEvent.WON): Role.PRIMARY,
    (Role.REFORMING, RoleEvent.LOST): Role.FOLLOWER,
    (Role.REFORMING, RoleEvent.OTHER_LEADS): Role.FOLLOWER,
    (Role.REFORMING, RoleEvent.RESIGNED): Role.FOLLOWER,
}


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a state machine's step: the actions, followed by the event that ends the role, or None."""

    actions: Sequence[Action] = ()
    event: RoleEvent | None = None
