"""The membership's public view: the state of this instance, and the present and absent members."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class OwnState(IntEnum):
    """The state of this instance; the package's docstring has the table of transitions."""

    JOINING = 0
    MEMBER = 1
    DISPLACED = 2
    LEAVING = 3


@dataclass(frozen=True, slots=True)
class MembershipView:
    """The present and absent members, with a confidence. Times in nanoseconds."""

    present: tuple[str, ...]  # names of alive or suspect members, and of this instance while JOINING or MEMBER
    absent: tuple[str, ...]  # names of members that are dead or have left, until removed
    confidence: float  # share of the last own pings that were answered, 0 to 1; 0 while cut off or unanswered
    nothing_received_since: int | None  # time of the last datagram; None until `receive_timeout` has elapsed since
    unanswered_since: int | None  # sending time of the last answered ping; None within `answer_timeout`
