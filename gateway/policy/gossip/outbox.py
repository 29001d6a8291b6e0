"""The outbox: quota entries that wait for the next message to their gateway."""

from __future__ import annotations

from typing import NamedTuple

from gateway.gossip.codec import MAX_ENTRIES, QuotaEntry


class OutgoingMessage(NamedTuple):
    """The entries of one message, and the number of the gateway that receives it."""

    gateway: int
    entries: list[QuotaEntry]


class EntryOutbox(dict[int, list[QuotaEntry]]):
    """Queues of entries by the number of the receiving gateway; a gateway without entries has no key."""

    def add(self, gateway: int, entry: QuotaEntry) -> None:
        """Append an entry to the queue of a gateway."""
        self.setdefault(gateway, []).append(entry)

    def take_messages(self, gateways: list[int]) -> list[OutgoingMessage]:
        """Remove and return one message for each of these gateways.

        Entries beyond the capacity of a message (`MAX_ENTRIES`) stay queued. Raises KeyError for a gateway
        without entries.
        """
        queues = [(gateway, self.pop(gateway)) for gateway in gateways]
        for gateway, entries in queues:
            if len(entries) > MAX_ENTRIES:
                self[gateway] = entries[MAX_ENTRIES:]
        return [OutgoingMessage(gateway, entries[:MAX_ENTRIES]) for gateway, entries in queues]
