"""The heartbeat rounds of a primary: the send time of each round, and the newest round that each witness answered.

A round answered by a majority of the witnesses proves that no other primary was leading when the round was sent (the
read index of Ongaro's thesis on Raft, section 6.4). The module neither sends nor stores anything.
"""

from __future__ import annotations

from canvasbeam.replication.views import MemberId, is_majority


class HeartbeatRounds:
    """Numbers the heartbeat rounds, and keeps the send times of the unconfirmed rounds."""

    def __init__(self, witnesses: tuple[MemberId, ...], now: int) -> None:
        self.sequence = 0  # number of the newest round; 0 = none
        self.begun_at = now  # send time of the newest round
        self.confirmed_at = now  # send time of the newest confirmed round; the start of the view counts as a round
        self.sent_at: dict[int, int] = {}
        self.answered: dict[MemberId, int] = {}  # number of the newest round that each witness answered
        self._witnesses = witnesses

    def begin(self, now: int) -> int:
        """Record a round sent at `now`, and return its number."""
        self.begun_at = now
        self.sequence += 1
        self.sent_at[self.sequence] = now
        return self.sequence

    def take_answer(self, sender: MemberId, sequence: int) -> None:
        """Record the answer of a member to a round; answers of members that are not witnesses do not count."""
        if sender in self._witnesses:
            self.answered[sender] = max(self.answered.get(sender, 0), sequence)
        confirmed = self.newest_confirmed()
        if confirmed in self.sent_at:
            self.confirmed_at = max(self.confirmed_at, self.sent_at[confirmed])
        for number in [number for number in self.sent_at if number <= confirmed]:
            del self.sent_at[number]

    def newest_confirmed(self) -> int:
        """Return the number of the newest round that a majority of the witnesses answered; 0 if there is none."""
        for sequence in sorted(set(self.answered.values()), reverse=True):
            voters = [witness for witness, newest in self.answered.items() if newest >= sequence]
            if is_majority(voters, self._witnesses):
                return sequence
        return 0

    def discount_stall(self, stall: int) -> None:
        """Exclude a stall of this process, in nanoseconds, from the time without a confirmation."""
        self.confirmed_at += stall
