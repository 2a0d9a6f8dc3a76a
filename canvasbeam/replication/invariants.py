"""Check what must hold of a member between two events; the simulations of the tests call it after each of them."""

from __future__ import annotations

from canvasbeam.replication.primary import Primary
from canvasbeam.replication.roles import Role
from canvasbeam.replication.shared_state import SharedState


def broken_invariants(state: SharedState, role: Role, leadership: Primary | None) -> list[str]:
    """Return what does not hold of a member; empty unless there is a fault in the code.

    `leadership` is that of a member that leads, or none.
    """
    promised, accepted, replica = state.witness.promised, state.witness.accepted, state.replica
    broken: list[str] = []
    if accepted is not None and accepted.epoch > promised:
        broken.append(f"accepted {accepted.epoch} above the promised {promised}")
    if replica.epoch > promised:
        broken.append(f"installed {replica.epoch} above the promised {promised}")
    if replica.committed.index > replica.state.index:
        broken.append(f"committed {replica.committed.index} above the stored {replica.state.index}")
    if leadership is not None:
        broken += _broken_by_leader(state, leadership)
    if not state.healthy and role is not Role.FOLLOWER:
        broken.append(f"acts as {role.name} without its disk")
    return broken


def _broken_by_leader(state: SharedState, leadership: Primary) -> list[str]:
    """Return what does not hold of a member that leads."""
    view, promised, replica_epoch = leadership.view, state.witness.promised, state.replica.epoch
    broken: list[str] = []
    if view.primary != state.me or state.known_view.epoch < view.epoch:
        broken.append(f"leads in {view}, knows {state.known_view.view}")
    if promised > view.epoch:
        broken.append(f"leads in {view.epoch} after it promised {promised}")
    if replica_epoch != view.epoch:
        broken.append(f"leads in {view.epoch} with a replica of {replica_epoch}")
    return broken
