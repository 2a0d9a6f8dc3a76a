"""Pushes of changed items to the neighbours in the relay tree and, between control nodes, over the mesh.

The module does no I/O: changes and the time are its input, messages in the outbox are its output. It owns the changes
pending for the next push. A change is never sent back to the node that sent it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from canvasbeam.distribution import reconciliation
from canvasbeam.distribution.outbox import Outbox
from canvasbeam.distribution.parameters import DistributionParameters
from canvasbeam.distribution.push_receivers import PushReceivers
from canvasbeam.distribution.tombstones import Tombstones
from canvasbeam.item_table.items import Item, ItemName, ItemTable
from canvasbeam.runtime.settings import Address


@dataclass(frozen=True, slots=True)
class Change:
    """An item that was merged into the table, and the node that sent the item; None for an item of this node."""

    item: Item
    source: Address | None


class Pushes:
    """The pending changes of one node, and their pushes to other nodes."""

    def __init__(
        self, table: ItemTable, parameters: DistributionParameters, outbox: Outbox, receivers: PushReceivers, now: int
    ) -> None:
        self._table = table
        self._parameters = parameters
        self._outbox = outbox
        self._receivers = receivers
        self._tombstones = Tombstones(table, parameters.keep_tombstone_ns)
        self._pending: dict[ItemName, Change] = {}
        self._flushed_at = now - parameters.push_interval_ns

    def merge(self, now: int, items: Iterable[Item], source: Address | None) -> list[Item]:
        """Merge items from `source` into the table, and push the new ones; return the new items."""
        new_items = self._table.merge(items)
        for item in new_items:
            if self._table.get(item.kind, item.key) is not item:
                continue  # a listener has published a newer version of the item during the merge
            self._pending[item.name] = Change(item, source)
            if item.deleted:
                self._tombstones.record(now, item)
        self.flush_due(now)
        return new_items

    # --- time -------------------------------------------------------------------------------------

    def wake(self) -> int | None:
        """Return the time at which the next push is due, or None if no change is pending."""
        return self._flushed_at + self._parameters.push_interval_ns if self._pending else None

    def flush_due(self, now: int) -> None:
        """Push all pending changes, if any, unless the last push was less than `push_interval_ns` ago."""
        if self._pending and now >= self._flushed_at + self._parameters.push_interval_ns:
            self.flush(now)

    def flush_pending(self, now: int) -> None:
        """Push all pending changes now, if any."""
        if self._pending:
            self.flush(now)

    def forget_tombstones(self, now: int) -> None:
        """Remove expired tombstones from the table."""
        self._tombstones.forget_due(now)

    def flush(self, now: int) -> None:
        """Push all changes now.

        Changes sent by a control node are not pushed to other control nodes, which receive the changes from the sender.
        """
        self._flushed_at = now
        changes, self._pending = tuple(self._pending.values()), {}
        mesh = self._receivers.responsive_mesh(now)
        from_mesh = set(self._receivers.mesh_addresses())
        self._push(self._receivers.tree_neighbours(), changes)
        self._push(mesh, [change for change in changes if change.source not in from_mesh], changes)

    # --- helpers ----------------------------------------------------------------------------------

    def _push(
        self, receivers: Sequence[Address], changes: Sequence[Change], all_changes: Sequence[Change] | None = None
    ) -> None:
        """Send the same messages to all receivers that sent none of the changes, and separate messages to the others.

        `all_changes` are the changes whose sources are considered, if there are more of them than `changes` to send.
        """
        sources = {change.source for change in (changes if all_changes is None else all_changes)}
        common = [receiver for receiver in receivers if receiver not in sources]
        self._send_items(common, [change.item for change in changes])
        for receiver in receivers:
            if receiver in sources:
                self._send_items((receiver,), [change.item for change in changes if change.source != receiver])

    def _send_items(self, receivers: Sequence[Address], items: Sequence[Item]) -> None:
        if not receivers:
            return
        for message in reconciliation.updates(items, self._parameters.max_update_bytes):
            self._outbox.send(receivers, message)
