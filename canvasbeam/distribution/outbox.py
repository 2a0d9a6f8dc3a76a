"""The queue of outgoing messages of one node, which the driver of `Distribution` empties."""

from __future__ import annotations

from collections.abc import Iterable

from canvasbeam.distribution.messages import Message, Send
from canvasbeam.runtime.settings import Address


class Outbox:
    """The queue to which all modules of `Distribution` append messages. The order is never changed."""

    def __init__(self) -> None:
        self._sends: list[Send] = []

    def send(self, addresses: Iterable[Address], message: Message) -> None:
        """Append one message to all of `addresses`."""
        self._sends.append(Send(tuple(addresses), message))

    def reply(self, address: Address, messages: Iterable[Message]) -> None:
        """Append several messages to one address, in this order."""
        for message in messages:
            self.send((address,), message)

    def extend(self, sends: Iterable[Send]) -> None:
        """Append send actions that a module has returned."""
        self._sends.extend(sends)

    def take(self) -> list[Send]:
        """Return the send actions appended since the last call, and empty the queue."""
        sends, self._sends = self._sends, []
        return sends
