"""Pushes of changed items to the neighbours in the relay tree and, between control nodes, over the mesh.

Pure: changes and the time in, messages to the outbox. Owns the changes that wait for the next push. A change is never
sent back to the node that it came from.
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
    """An item that was taken into the table, and the node that sent it; none for one of our own."""

    item: Item
    source: Address | None


class Pushes:
    """The changes of one node on their way to others."""

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
        """Merge items into the table and push on what was new, which is returned."""
        taken = self._table.merge(items)
        for item in taken:
            if self._table.get(item.kind, item.key) is not item:
                continue  # a listener has published a newer one in the meantime
            self._pending[item.name] = Change(item, source)
            if item.deleted:
                self._tombstones.note(now, item)
        self.flush_due(now)
        return taken

    # --- time -------------------------------------------------------------------------------------

    def wake(self) -> int | None:
        """Return when the next push is due; none where nothing waits."""
        return self._flushed_at + self._parameters.push_interval_ns if self._pending else None

    def flush_due(self, now: int) -> None:
        """Push all changes, if any wait and the last push was long enough ago."""
        if self._pending and now >= self._flushed_at + self._parameters.push_interval_ns:
            self.flush(now)

    def flush_pending(self, now: int) -> None:
        """Push all changes now, if any wait."""
        if self._pending:
            self.flush(now)

    def forget_tombstones(self, now: int) -> None:
        """Forget the tombstones that are due."""
        self._tombstones.forget_due(now)

    def flush(self, now: int) -> None:
        """Push all changes now. What a control node sent is not passed on to others, which have it from there too."""
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
        """Send one message to all receivers that are the source of no change, and its own to each that is.

        `all_changes` are those whose sources are looked at, where that is more than what is sent.
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
