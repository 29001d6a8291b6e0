"""The outbox of quota entries for other gateways."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from gateway.gossip.codec import MAX_ENTRIES, QuotaEntry


class OutgoingMessage(NamedTuple):
    """The entries of one message, and the gateway to which it goes."""

    gateway: int
    entries: list[QuotaEntry]


class EntryOutbox:
    """Queues of entries by gateway."""

    def __init__(self) -> None:
        """Start with no entry."""
        self._queues: dict[int, list[QuotaEntry]] = {}

    def __bool__(self) -> bool:
        """Return whether any entry is queued."""
        return bool(self._queues)

    def __iter__(self) -> Iterator[int]:
        """Iterate over the gateways for which entries are queued."""
        return iter(self._queues)

    def add(self, gateway: int, entry: QuotaEntry) -> None:
        """Queue an entry for the next message to a gateway."""
        self._queues.setdefault(gateway, []).append(entry)

    def take(self, gateways: list[int]) -> list[OutgoingMessage]:
        """Remove and return one message for each of these gateways.

        Entries beyond the size of a message stay queued. Raises KeyError for a gateway without entries.
        """
        queues = [(gateway, self._queues.pop(gateway)) for gateway in gateways]
        for gateway, entries in queues:
            if len(entries) > MAX_ENTRIES:
                self._queues[gateway] = entries[MAX_ENTRIES:]
        return [OutgoingMessage(gateway, entries[:MAX_ENTRIES]) for gateway, entries in queues]
