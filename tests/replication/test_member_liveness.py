"""Tests of `MemberLiveness`, which decides from received messages whether a member is alive, steady or leaving."""

from __future__ import annotations

from canvasbeam.replication.member_liveness import MemberLiveness
from canvasbeam.replication.timing import ReplicationTiming
from canvasbeam.replication.views import MemberId
from tests.support.membership_simulation import (
    SECOND,
)

A, B, C = (MemberId(f"10.0.0.{number}/0") for number in range(1, 4))
C_WIPED = MemberId("10.0.0.3/new")


def test_member_is_steady_after_messages_without_a_gap() -> None:
    """A member is alive from its first message, and steady once its messages have arrived without a gap for a while."""
    timing = ReplicationTiming()
    liveness = MemberLiveness(timing)
    liveness.record_message(B, 0)
    assert liveness.is_alive(B, 0)
    assert not liveness.is_steady(B, 0)
    liveness.record_message(B, timing.steady_after_ns)
    assert liveness.is_steady(B, timing.steady_after_ns)
    assert not liveness.is_alive(B, timing.steady_after_ns + timing.unresponsive_after_ns + 1)


def test_unhealthy_or_failed_member_is_not_alive() -> None:
    """A member with an unhealthy disk, or with a recent failure to store a change in time, may not be a replica."""
    timing = ReplicationTiming()
    liveness = MemberLiveness(timing)
    liveness.record_message(B, 0, healthy=False)
    assert not liveness.is_alive(B, 0)
    liveness.record_message(B, 1, healthy=True)
    assert liveness.is_alive(B, 1)
    liveness.record_failure(B, 1)
    liveness.record_message(B, 2)
    assert not liveness.is_alive(B, 2)
    liveness.record_message(B, timing.readmission_delay_ns + 1)
    assert liveness.is_alive(B, timing.readmission_delay_ns + 1)


def test_newer_member_at_an_address_supersedes_the_older() -> None:
    """After a machine loses its disk, only the new member at its address is alive; the old member cannot return."""
    liveness = MemberLiveness(ReplicationTiming())
    liveness.record_message(C, 0)
    liveness.record_message(C_WIPED, 1)
    assert not liveness.is_alive(C, 1)
    assert liveness.is_alive(C_WIPED, 1)


def test_restarted_member_no_longer_counts_as_leaving() -> None:
    """A member that no longer repeats its announced departure has restarted, and does not count as leaving."""
    timing = ReplicationTiming()
    liveness = MemberLiveness(timing)
    liveness.record_message(B, SECOND)
    assert not liveness.is_leaving(B)
    liveness.record_leaving(B, 2 * SECOND)
    liveness.record_message(B, 2 * SECOND + timing.unresponsive_after_ns)
    assert liveness.is_leaving(B)
    liveness.record_message(B, 2 * SECOND + timing.unresponsive_after_ns + 1)
    assert not liveness.is_leaving(B)
