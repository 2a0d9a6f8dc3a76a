"""The intervals, timeouts and limits of the replication of items."""

from __future__ import annotations

from dataclasses import dataclass

from canvasbeam.units import MILLISECOND, SECOND


@dataclass(frozen=True, slots=True)
class DistributionParameters:
    """Times in nanoseconds, counts, and sizes in bytes; must be the same on all nodes."""

    # Parameters for children in the relay tree.
    keepalive_interval_ns: int = 250 * MILLISECOND  # interval between keepalives while the contact instant advances
    idle_keepalive_interval_ns: int = 375 * MILLISECOND  # interval between keepalives otherwise
    child_timeout_ns: int = 4 * SECOND  # silence after which a child is removed
    max_children: int = 512
    max_depth: int = 3  # depth of the relay tree, in hops

    # Parameters for the parent. A node drops its parent when no message arrived for `peer_timeout_ns`. A parent whose
    # contact with the control nodes is older than `contact_timeout_ns` is stale; the node replaces a stale parent by
    # any candidate that is in contact.
    peer_timeout_ns: int = 700 * MILLISECOND  # silence that makes a parent or another control node unresponsive
    contact_timeout_ns: int = 1_200 * MILLISECOND  # age of a parent's contact above which the contact is stale
    renew_interval_ns: int = SECOND  # interval between `Renew` messages to the parent
    candidate_interval_ns: int = 200 * MILLISECOND  # interval between attempts to find a parent while detached
    candidate_timeout_ns: int = 600 * MILLISECOND  # timeout for the answer of a candidate
    avoid_ns: int = 3 * SECOND  # time without attempts at a node after it was lost as parent or did not answer
    avoid_while_stale_ns: int = 800 * MILLISECOND  # replaces `avoid_ns` while the parent is stale
    improve_interval_ns: int = 2 * SECOND  # interval between attempts to find a better parent
    improve_interval_while_stale_ns: int = 400 * MILLISECOND  # replaces `improve_interval_ns` while the parent is stale
    stable_parent_ns: int = 20 * SECOND  # time with one parent after which the doublings of `peer_timeout_ns` are reset
    process_stall_ns: int = 250 * MILLISECOND  # delay of a timer from which a stall of the process is inferred

    # Parameters for links between control nodes.
    lease_renewal_interval_ns: int = 250 * MILLISECOND
    exchange_timeout_ns: int = 2 * SECOND  # a control node unanswered by other nodes for longer directs no callers
    mesh_compare_interval_ns: int = SECOND  # interval between comparisons of item tables of control nodes
    mesh_retry_interval_ns: int = 500 * MILLISECOND  # interval between probes of each unresponsive control node
    mesh_forget_after_ns: int = 15 * SECOND  # silence after which a control node that is not a member is removed

    # Parameters for pushes and comparisons of items.
    push_interval_ns: int = 20 * MILLISECOND  # minimum time between two pushes
    max_update_bytes: int = 1 << 20  # target size of one `Update` message
    compare_interval_ns: int = 2 * SECOND  # interval between comparisons of the tables of a parent and its children
    # Interval between comparisons of the tables of a data-plane node and a control node that is not its parent.
    control_compare_interval_ns: int = 30 * SECOND
    keep_tombstone_ns: int = 60 * SECOND  # time from the merge of a tombstone to its removal
