"""Connect a process to the other nodes: sockets, wire formats, cluster membership and item distribution.

The package owns the connections between nodes, the generated code of the `.proto` files, and each node's list of
members. It drives `distribution`, `leases` and `failure_detection`, which do no I/O and make their own decisions. This
package must never make these decisions itself.

Start reading at `node.py`, the interface for the control plane and the data plane, and at `node_core.py`, the same node
without sockets or a clock, which simulations run. Then:

- `transport.py`, `peer_link.py`, `connection.py`, `framing.py`, `datagrams.py`, `channels.py`: messages between nodes;
- `codec.py`, `document_codec.py`, `compression.py`: encoding of the messages of `distribution` and `leases`, including
  the translation between field names on the wire and names in the code;
- `member.py`, `member_list.py`, `own_member.py`, `worker_items.py`: items that describe members and workers.
"""
