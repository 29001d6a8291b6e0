"""The outbox of quota entries for other gateways."""

from __future__ import annotations

from typing import NamedTuple

from gateway.gossip.codec import MAX_ENTRIES, QuotaEntry


class OutgoingMessage(NamedTuple):
    """The entries of one message, and the gateway to which it goes."""

    gateway: int
    entries: list[QuotaEntry]


class EntryOutbox(dict[int, list[QuotaEntry]]):
    """Queues of entries by gateway; a gateway without entries has no queue."""

    def add(self, gateway: int, entry: QuotaEntry) -> None:
        """Queue an entry for the next message to a gateway."""
        self.setdefault(gateway, []).append(entry)

    def take_messages(self, gateways: list[int]) -> list[OutgoingMessage]:
        """Remove and return one message for each of these gateways.

        Entries beyond the size of a message stay queued. Raises KeyError for a gateway without entries.
        """
        queues = [(gateway, self.pop(gateway)) for gateway in gateways]
        for gateway, entries in queues:
            if len(entries) > MAX_ENTRIES:
                self[gateway] = entries[MAX_ENTRIES:]
        return [OutgoingMessage(gateway, entries[:MAX_ENTRIES]) for gateway, entries in queues]
