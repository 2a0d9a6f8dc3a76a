"""Failure detectors: monitoring of the cluster's nodes, and SWIM among schedulers in service.

This package decides which members are suspected and which are declared dead, and after which timeouts. The package is
pure: no clock, no sockets, no global random generator. A member that receives nothing must never declare others dead,
because the fault may be its own.

Where to start reading: `monitoring.py` serves the control and data planes; `monitor_choice.py` assigns monitors to
members by rendezvous hashing (`rendezvous.py`) over the locations of the nodes (`node_location.py`). `swim/` serves
schedulers that exchange datagrams; its docstring lists the states of a member. Both detectors share
`member_status.py`. The docstring of each detector states how it differs from the other.
"""
