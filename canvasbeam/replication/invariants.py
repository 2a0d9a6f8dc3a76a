"""Invariants of a member between two events; the simulations in the tests check the invariants after each event."""

from __future__ import annotations

from canvasbeam.replication.primary import Primary
from canvasbeam.replication.roles import Role
from canvasbeam.replication.shared_state import SharedState


def violated_invariants(state: SharedState, role: Role, leadership: Primary | None) -> list[str]:
    """Return a description of each violated invariant of a member; any violation is a fault in the code.

    `leadership` is the state of a member that is the primary, or None for other members.
    """
    promised, accepted, replica = state.witness.promised, state.witness.accepted, state.replica
    violations: list[str] = []
    if accepted is not None and accepted.epoch > promised:
        violations.append(f"accepted epoch {accepted.epoch} is above promised epoch {promised}")
    if replica.epoch > promised:
        violations.append(f"installed epoch {replica.epoch} is above promised epoch {promised}")
    if replica.committed.index > replica.state.index:
        violations.append(f"committed index {replica.committed.index} is above stored index {replica.state.index}")
    if leadership is not None:
        violations += _violated_by_primary(state, leadership)
    if not state.healthy and role is not Role.FOLLOWER:
        violations.append(f"role is {role.name}, expected FOLLOWER because the disk is unhealthy")
    return violations


def _violated_by_primary(state: SharedState, leadership: Primary) -> list[str]:
    """Return a description of each violated invariant that applies to primaries only."""
    view, promised, replica_epoch = leadership.view, state.witness.promised, state.replica.epoch
    violations: list[str] = []
    if view.primary != state.me or state.known_view.epoch < view.epoch:
        violations.append(f"leads in view {view}, but the known view is {state.known_view.view}")
    if promised > view.epoch:
        violations.append(f"leads in epoch {view.epoch} after promising epoch {promised}")
    if replica_epoch != view.epoch:
        violations.append(f"leads in epoch {view.epoch}, but the replica is installed for epoch {replica_epoch}")
    return violations
