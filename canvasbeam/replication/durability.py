"""Delays messages that claim data is on disk until everything saved before them is durable.

The module does no I/O: the driver passes in the actions of a member, writes the batches to disk, and reports when a
batch is durable. A message that claims data is on disk must be sent through this module only; otherwise a power failure
could lose data that a peer counts on.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from canvasbeam.replication.messages import (
    AFTER_SYNC,
    Action,
    Save,
    Send,
    SendToAddress,
)

OutgoingMessage = Send | SendToAddress


class Outbox:
    """Two queues: the saves that must be written, and the messages that wait for these saves."""

    def __init__(self) -> None:
        self._unwritten: list[Save] = []
        self._saves_batched = 0
        self._saves_durable = 0
        self._saves_queued = 0
        self._waiting: deque[tuple[int, OutgoingMessage]] = deque()

    def take(self, actions: Sequence[Action]) -> list[Action]:
        """Queue the saves and the messages that must wait for them; return the actions to carry out immediately."""
        immediate: list[Action] = []
        for action in actions:
            if isinstance(action, Save):
                self._unwritten.append(action)
                self._saves_queued += 1
            elif isinstance(action, Send | SendToAddress) and self._must_wait(action):
                self._queue_message(action)
            else:
                immediate.append(action)
        return immediate

    def _queue_message(self, action: OutgoingMessage) -> None:
        """Queue a message unless an equal one is queued already: repeats must not accumulate while a disk stalls."""
        if all(queued != action for _, queued in self._waiting):
            self._waiting.append((self._saves_queued, action))

    def _must_wait(self, action: OutgoingMessage) -> bool:
        return isinstance(action.message, AFTER_SYNC) and self._saves_queued > self._saves_durable

    @property
    def has_unwritten(self) -> bool:
        """Return True if `next_batch` would return any saves."""
        return bool(self._unwritten)

    def next_batch(self) -> list[Save]:
        """Return all saves not yet in a batch; the driver writes them atomically, in this order."""
        batch = self._unwritten
        self._unwritten = []
        self._saves_batched += len(batch)
        return batch

    def batch_durable(self) -> list[OutgoingMessage]:
        """Record that the last batch is synced; return the messages whose earlier saves are now all durable."""
        self._saves_durable = self._saves_batched
        released: list[OutgoingMessage] = []
        while self._waiting and self._waiting[0][0] <= self._saves_durable:
            released.append(self._waiting.popleft()[1])
        return released
