"""The check of a configuration or a patch without the system, by the function that the replicas apply."""

from __future__ import annotations

import json

from canvasbeam.control_plane.changes import apply
from canvasbeam.errors import Failure
from canvasbeam.replication.control_state import Change, ChangeKind, ControlState

PATCH_FIELDS = ("upsert", "remove")


def validate(body: bytes, base: bytes | None) -> Failure | None:
    """Return why a body would be rejected as the next change after `base`, or as the first one; None if it is valid."""
    state = ControlState()
    if base is not None:
        applied = apply(state, Change(ChangeKind.PUT_CONFIGURATION, base, if_match=0))
        if isinstance(applied, Failure):
            return Failure(applied.code, f"the base: {applied.reason}")
        state = applied
    kind = ChangeKind.PATCH_CONFIGURATION if _is_patch(body) else ChangeKind.PUT_CONFIGURATION
    outcome = apply(state, Change(kind, body, if_match=state.generation))
    return outcome if isinstance(outcome, Failure) else None


def _is_patch(body: bytes) -> bool:
    """Return whether a body has the shape of a patch; one that is no JSON is left to the check to report."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return False
    return isinstance(document, dict) and any(field in document for field in PATCH_FIELDS)
