"""The parameters of the SWIM protocol: times, counts and sizes.

The operators' settings file for peers has other keys; `canvasbeam/gossip/settings.py` maps its keys to these fields.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.units import MILLISECOND as MS
from canvasbeam.units import SECOND


@dataclass(frozen=True, slots=True)
class SwimParameters:
    """Times in nanoseconds, all above 0; counts of at least 1; sizes in bytes.

    In SWIM (Das et al., 2002) `ping_interval` is the protocol period, `direct_ping_timeout` the timeout before
    indirect pings, `indirect_pings` is k. In Lifeguard (Dadgar et al., 2017) `min_suspicion` and `max_suspicion` bound
    the timeout of a suspicion, `confirmations` is K, and `max_health_level` is S.
    """

    ping_interval: int = 200 * MS
    direct_ping_timeout: int = 60 * MS  # time without an answer after which ping requests are sent
    ping_timeout: int = 250 * MS  # after which a ping has failed; times 1 + local health level
    indirect_pings: int = 3
    min_suspicion: int = 500 * MS  # suspicion timeout once `confirmations` other members suspect too
    max_suspicion: int = 1_000 * MS
    confirmations: int = 3
    gossip_interval: int = 50 * MS  # between datagrams for updates alone, while updates are being spread
    gossip_fanout: int = 3
    retransmit_factor: int = 3  # sends of an update per doubling of the fleet size
    reconnect_interval: int = 500 * MS  # between pings to absent members and to seeds that are not members
    join_interval: int = 200 * MS  # between pings to seeds until one answers; doubled after each ping
    max_join_interval: int = 2 * SECOND
    receive_timeout: int = SECOND  # time without any datagram after which this instance counts as cut off
    answer_timeout: int = 3 * SECOND  # time without any answered ping after which sent datagrams count as lost
    isolation_timeout: int = 10 * SECOND  # time without any datagram after which suspects are declared dead anyway
    dead_retention: int = 600 * SECOND
    left_retention: int = 60 * SECOND
    stall_threshold: int = 250 * MS  # a wake-up late by this much means that the process stalled
    max_health_level: int = 8
    max_update_bytes: int = 1_000  # total size of the updates in one datagram
    filler_bytes: int = 180  # part of `max_update_bytes` for updates no longer being spread; repairs lost updates
    max_members: int = 1_000
    max_unverified: int = 32  # concurrent pings to unverified senders, and concurrent relayed pings

    def __post_init__(self) -> None:
        times = (
            self.ping_interval, self.direct_ping_timeout, self.min_suspicion, self.gossip_interval,
            self.reconnect_interval, self.join_interval, self.receive_timeout,
        )  # fmt: skip
        is_shorter_than_part = self.ping_timeout <= self.direct_ping_timeout or self.max_suspicion < self.min_suspicion
        if min(times) <= 0 or is_shorter_than_part:
            raise ValueError(
                "membership's times must be above 0, the ping timeout above the direct ping timeout,"
                " and the maximum suspicion at least the minimum suspicion"
            )
        counts = (
            self.indirect_pings, self.confirmations, self.retransmit_factor, self.max_members, self.max_unverified,
            self.gossip_fanout,
        )  # fmt: skip
        if min(counts) < 1:
            raise ValueError("membership's counts must be at least 1")
        if not 0 <= self.filler_bytes <= self.max_update_bytes:
            raise ValueError("membership's filler_bytes must be from 0 to max_update_bytes")
