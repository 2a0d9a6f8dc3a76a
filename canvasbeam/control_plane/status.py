"""Build the document served at `/v1/status` by a control node. Its keys belong to the HTTP API and must not change."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from canvasbeam.cluster.member import Member
from canvasbeam.cluster.node import ClusterNode
from canvasbeam.cluster.worker_items import worker_of
from canvasbeam.control_plane.json_documents import JsonValue
from canvasbeam.control_plane.replicated_state import ReplicatedControlState
from canvasbeam.errors import Failure
from canvasbeam.item_table.items import ItemKind
from canvasbeam.runtime.settings import ProcessSettings
from canvasbeam.units import MILLISECOND


def status_document(
    settings: ProcessSettings, node: ClusterNode, service: ReplicatedControlState
) -> Mapping[str, JsonValue]:
    """Return the status of this node, of its copy of the control state, and of the members and workers known to it."""
    state, replication = service.state, service.status
    resilience = replication.resilience
    age_ns = node.contact_age()
    return {
        "node": settings.node,
        "role": replication.role,
        "epoch": replication.epoch,
        "member": replication.member,
        "primary": replication.primary,
        "replicas": list(replication.replicas),
        "witnesses": list(replication.witnesses),
        "copies": resilience.copies,
        "voters": resilience.voters,
        "membership_step_open": resilience.has_open_reconfiguration,
        "bearable_losses": resilience.tolerable_losses,
        "leaving": replication.leaving,
        "committed_index": replication.committed_index,
        "stored_index": replication.stored_index,
        "disk": replication.disk,
        "stale_answers": replication.stale_answers + node.stale_answers,
        "frames_for_another_life": node.transport.incarnation_check.dropped + node.transport.counters.other_incarnation,
        "generation": state.generation,
        "evacuated_zones": list(state.evacuated_zones),
        "control_age_ms": None if age_ns is None else age_ns // MILLISECOND,
        "members": [_member(member) for member in sorted(node.members(), key=lambda member: member.key)],
        "workers": _workers(node),
    }


def _member(member: Member) -> Mapping[str, JsonValue]:
    return {
        "name": member.name,
        "role": member.role,
        "ip": member.ip,
        "zone": member.zone,
        "ready": member.ready,
        "is_control": member.is_control,
    }


def _workers(node: ClusterNode) -> Mapping[str, Mapping[str, int]]:
    """Return the number of workers by service and state."""
    counts: dict[str, Counter[str]] = {}
    for item in node.table.of_kind(ItemKind.WORKER):
        worker = worker_of(item)
        if not isinstance(worker, Failure):
            counts.setdefault(worker.service, Counter())[worker.state.name.lower()] += 1
    return counts
