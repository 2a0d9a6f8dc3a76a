"""The intervals and timeouts of the replication protocol, in one object that all components of a member share.

The components that measure against a duration define its exact meaning. All members of a system should use the same
values; no safety property depends on them.
"""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.units import MILLISECOND


@dataclass(frozen=True, slots=True)
class ReplicationTiming:
    """Intervals and timeouts of the protocol, in integer nanoseconds."""

    # Primary: the heartbeat interval, and the longest time for which a client call may wait for its answer.
    heartbeat_interval_ns: int = 150 * MILLISECOND
    call_timeout_ns: int = 3000 * MILLISECOND

    # Every member: the time without messages after which another member counts as unresponsive, and the gap between
    # two ticks of a member beyond which its own process stalled, so that silence is not attributed to other members.
    unresponsive_after_ns: int = 600 * MILLISECOND
    stall_after_ns: int = 250 * MILLISECOND

    # Elections: the time without a heartbeat before the first candidate starts an election, the extra delay per rank
    # of each further candidate, and the initial timeout after startup, within which a live primary sends a heartbeat.
    election_timeout_ns: int = 750 * MILLISECOND
    election_rank_step_ns: int = 200 * MILLISECOND
    first_election_timeout_ns: int = 150 * MILLISECOND

    # Candidate: the longest duration of one phase, and the time for which a candidate with a quorum waits for further
    # answers.
    phase_timeout_ns: int = 700 * MILLISECOND
    answer_grace_ns: int = 300 * MILLISECOND

    # View changes: the time for which a member must be seen without a gap before it is added, the time for which a
    # failed member is excluded, and the silence after which a machine at another address may replace a witness.
    steady_after_ns: int = 300 * MILLISECOND
    readmission_delay_ns: int = 1000 * MILLISECOND
    replaceable_after_ns: int = 1500 * MILLISECOND

    # Retransmission intervals: of unanswered messages, and of `Hello` and `Leave` messages.
    resend_interval_ns: int = 200 * MILLISECOND
    hello_interval_ns: int = 200 * MILLISECOND
