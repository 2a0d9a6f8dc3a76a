"""Contact leases, granted by a majority of the control nodes: only a node with a lease may act for the control plane.

The package does no I/O: requests, grants and the current time are its input, messages are its output. The package
`distribution` sends these messages and depends on this package, not the reverse. A node must never act for the control
plane without a lease that a majority has granted, and the duration of a lease must never count from the receipt of a
grant: a grant can arrive arbitrarily late.

`contact.py` defines the lease and its expiry, `lease_renewal.py` renews the lease, `messages.py` defines the messages,
and `peer_clock.py` converts the send times of other processes to the local clock.
"""
