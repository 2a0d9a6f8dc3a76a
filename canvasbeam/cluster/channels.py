"""The channels that route messages and datagrams between nodes to a subsystem."""

from __future__ import annotations

from enum import IntEnum


class Channel(IntEnum):
    """The subsystem that receives a message or datagram; the values are the channel numbers on the wire."""

    REPLICATION = 1
    DISTRIBUTION = 2
    MEMBERSHIP = 3
    REGISTRY = 4
    PLACEMENT = 5
