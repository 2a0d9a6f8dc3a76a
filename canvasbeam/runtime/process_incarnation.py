"""Incarnations of a process: messages meant for an earlier run of the process at the same address are dropped.

A restarted process has the same address as its previous run and, on the same disk, the same member id, and may reuse
the call numbers of the previous run. Calls between nodes therefore carry the caller's *incarnation*, a random number
drawn at process start, and each response returns the caller's incarnation. Within one incarnation, the number or the
epoch of a call identifies the call. On the wire, an incarnation is called `life`; the codecs translate the name.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

INCARNATION_BITS = 63
# Incarnation of a peer that does not send its incarnation or has not sent its incarnation yet.
UNKNOWN_INCARNATION = 0


def draw_incarnation(generator: random.Random) -> int:
    """Draw the incarnation of a starting process; the number is odd, so that it never equals `UNKNOWN_INCARNATION`."""
    return generator.getrandbits(INCARNATION_BITS) | 1


@dataclass(slots=True)
class IncarnationCheck:
    """Identifies messages meant for another incarnation of this process, and counts these messages as dropped."""

    incarnation: int
    dropped: int = 0

    def accepts(self, addressed_incarnation: int) -> bool:
        """Return True if the message is for this incarnation or for `UNKNOWN_INCARNATION`, which stands for any.

        Count the message as dropped otherwise.
        """
        if addressed_incarnation in (self.incarnation, UNKNOWN_INCARNATION):
            return True
        self.dropped += 1
        return False
