"""The status of a member, shared by both failure detectors."""

from __future__ import annotations

from enum import IntEnum


class MemberStatus(IntEnum):
    """The published status of a member; of two statuses of one incarnation, the higher takes precedence.

    The numbers are written on the wire (`gossip/codec.py`) and in stored items (`cluster/member.py`).
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3
