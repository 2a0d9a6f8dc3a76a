"""What the load tool is to send, and what is wrong with a plan."""

from __future__ import annotations

import msgspec

LONGEST_S = 3600.0
MOST_REQUESTS = 10_000_000


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """What to send. Either `rate` (open arrivals, a second) or `clients` (closed loops) is above 0."""

    addresses: tuple[tuple[str, int], ...]
    rate: float = 0.0
    clients: int = 0
    seconds: float = 10.0
    seed: int = 1
    evenly: bool = False  # evenly spaced arrivals, not a Poisson process
    classes: tuple[tuple[str, float], ...] = (("file-read", 1.0),)
    departments: tuple[tuple[str, float], ...] = ()
    keyed: tuple[str, ...] = ("hours-entry",)  # classes whose requests carry a key
    budget_s: float = 5.0
    body_bytes: int = 16
    connections: int = 512

    def problems(self) -> list[str]:
        """Return what is wrong with it."""
        found = []
        if not self.addresses:
            found.append("no address to load")
        for host, _ in self.addresses:
            if not host.startswith("127."):
                found.append(f"{host} is not a loopback address (127.0.0.0/8)")
        if (self.rate > 0) == (self.clients > 0):
            found.append("either a rate or a number of clients must be given")
        if not 0 < self.seconds <= LONGEST_S:
            found.append(f"the time must lie between 0 and {LONGEST_S:g} s")
        if self.rate * self.seconds > MOST_REQUESTS:
            found.append(f"at most {MOST_REQUESTS} requests may be planned")
        if self.clients > self.connections:
            found.append("there must be as many connections as clients")
        if not 0 < self.budget_s <= LONGEST_S:
            found.append(f"the budget must lie between 0 and {LONGEST_S:g} s")
        if min((share for _, share in (*self.classes, *self.departments)), default=1.0) < 0:
            found.append("shares must not be negative")
        return found
