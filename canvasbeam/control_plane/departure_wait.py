"""Wait until a replication member may leave its view permanently, and log the outcome."""

from __future__ import annotations

import asyncio
import time

from canvasbeam.control_plane.member_driver import TICK_SECONDS, MemberDriver
from canvasbeam.replication.departure import DepartureState
from canvasbeam.replication.member import Member
from canvasbeam.runtime.logs import get_logger

log = get_logger(__name__)


async def leave_view(driver: MemberDriver, within_s: float) -> None:
    """Leave the view; return once the member may end, or after `within_s` seconds.

    The member may end once a view in force without this member has enough replicas, or if no other member remains.
    """
    member = driver.member
    began_at_s = time.monotonic()
    driver.leave()
    # The loop polls at the interval of the member's ticks, because the member emits no event when `may_end` changes.
    while not member.state.departure.may_end and time.monotonic() - began_at_s < within_s:  # noqa: ASYNC110
        await asyncio.sleep(TICK_SECONDS)
    _log_outcome(member, time.monotonic() - began_at_s)


def _log_outcome(member: Member, waited_s: float) -> None:
    match member.state.departure.state:
        case DepartureState.GRANTED:
            log.info("departure granted waited_s={:.1f} other_replicas={}", waited_s, member.state.departure.copies)
        case DepartureState.ALONE:
            log.info("departure without successor waited_s={:.1f} reason=no other member remains", waited_s)
        case _:
            log.warning("departure not granted waited_s={:.1f} reason={}", waited_s, _why_not_granted(member))


def _why_not_granted(member: Member) -> str:
    if not member.state.known_primary.member:
        return "no primary is known"
    if member.state.known_view.view is not None and member.me in member.state.known_view.view.replicas:
        return "too few other replicas are usable to form a view without this member"
    return f"the primary {member.state.known_primary.member} has not confirmed a view in force without this member"
