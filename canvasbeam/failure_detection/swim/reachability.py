"""Tracks whether this instance receives datagrams from others, and whether others receive its datagrams."""

from __future__ import annotations

from collections.abc import Sized

from canvasbeam.failure_detection.swim.parameters import SwimParameters


class Reachability:
    """The times of the last received datagram and of the last confirmed two-way contact, in nanoseconds.

    An instance that receives datagrams may still be unable to reach any other instance. Only the answer to an own ping
    confirms both directions; contact is dated from the sending of that ping.
    """

    def __init__(self, parameters: SwimParameters, members: Sized, now: int) -> None:
        self._parameters = parameters
        self._members = members
        self._awake_at = now
        self.last_received_at = now
        self.confirmed_at = now  # sending time of the newest answered ping

    def on_received(self, now: int) -> None:
        """Record that a datagram from a member was received."""
        self.last_received_at = now

    def on_stall(self, now: int) -> None:
        """Start counting quiet time anew, because this process did not run for a while."""
        self._awake_at = now

    def confirm(self, sent_at: int) -> None:
        """Record that a ping sent at `sent_at` was answered."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def is_cut_off(self, now: int) -> bool:
        """Return True if no datagram was received for longer than `receive_timeout`."""
        return bool(self._members) and now - self.last_received_at > self._parameters.receive_timeout

    def is_confirmed(self, now: int) -> bool:
        """Return True if a ping sent within the last `answer_timeout` was answered, or no other member is known."""
        return not self._members or now - self.confirmed_at <= self._parameters.answer_timeout

    def quiet_time(self, now: int) -> int:
        """Return the time in nanoseconds for which this process has run without receiving a datagram."""
        return now - max(self.last_received_at, self._awake_at)
