"""UDP transport of the gossip protocol between schedulers of one fleet.

The package owns the UDP socket, the datagram format, the rate limits, and the operators' settings file for peers. It
must never decide which instances are members, because `failure_detection/swim/`, which this package drives, does that.

Suggested reading order: `datagram_node.py` has `PeerNode`, which the scheduler starts, and `GossipNode`, the socket on
the scheduler's event loop. `codec.py` encodes and decodes datagrams, `rate_limits.py` limits the rate of datagrams,
`settings.py` reads the settings file, `report.py` builds the membership report, and `change_log.py` logs changes.
"""
