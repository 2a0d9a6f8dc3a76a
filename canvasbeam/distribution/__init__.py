"""Replication of the item table to every node: pushes along the relay tree, read repair and background anti-entropy.

The package does no I/O: events and the time are its input, messages are its output. It owns the links of a node (to its
parent, to its children and, between control nodes, to all other control nodes) and carries the messages of the package
`leases`, on which it depends. It must never replace an item by an older version, and it must never decide by itself
that this node is in contact with the control plane: only the leases decide that.

Start reading at `distribution.py`, which routes events and documents the routes in a table. The modules:

- `pushes.py`: pushes of changed items; `tombstones.py`: the expiry of tombstones;
- `scrub.py`, `reconciliation.py`: the comparison of item tables between nodes, and the answers to comparisons;
- `parent_link.py`, `topology.py`, `relay_tree.py`: the link to the parent, and the preference order of parents;
- `relay_children.py`: the children, and the keepalives sent to children;
- `control_peers.py`, `control_mesh.py`: the messages between control nodes, including lease messages;
- `document_*.py`: the transfer of the configuration as a document, in chunks;
- `node_status.py`: the depth and contact state of this node; `push_receivers.py`: the receivers of pushes;
- `messages.py`, `document_messages.py`, `parameters.py`, `outbox.py`: message types, intervals and limits, send order.
"""
