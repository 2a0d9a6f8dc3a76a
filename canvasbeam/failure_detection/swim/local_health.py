"""The local health of this instance: Lifeguard's local health multiplier (Dadgar et al., 2017).

A slow instance allows other members more time before it suspects them.
"""

from __future__ import annotations

MAX_PINGS_REMEMBERED = 16


class LocalHealth:
    """The local health level: 0 is healthy; each sign of a fault of this instance itself raises the level by one."""

    def __init__(self, max_level: int) -> None:
        self.level = 0
        self._max_level = max_level
        self._answered: list[bool] = []  # outcomes of the last pings, oldest first

    def worsen(self) -> None:
        """Raise the level by one, because a fault may be this instance's own."""
        self.level = min(self._max_level, self.level + 1)

    def improve(self) -> None:
        """Lower the level by one, because this instance showed a sign of good health."""
        self.level = max(0, self.level - 1)

    def on_stall(self) -> None:
        """Set the worst level, because this process did not run for a while."""
        self.level = self._max_level

    def on_ping_ended(self, *, is_answered: bool) -> None:
        """Record whether a ping from this instance to a member was answered."""
        self._answered.append(is_answered)
        del self._answered[:-MAX_PINGS_REMEMBERED]

    @property
    def answered_share(self) -> float:
        """Share of this instance's last pings that were answered, from 0 to 1; 1 before the first ping has ended."""
        return sum(self._answered) / len(self._answered) if self._answered else 1.0

    @property
    def suspicion_factor(self) -> float:
        """Factor by which suspicions are lengthened, at least 1."""
        return 1 + self.level / 4
