"""The quota entries that wait to be sent to other gateways."""

from __future__ import annotations

from gateway.gossip.codec import MAX_ENTRIES, QuotaEntry


class EntryOutbox(dict[int, list[QuotaEntry]]):
    """Queues of entries by gateway; a message takes as many of one as it holds."""

    def add(self, gateway: int, entry: QuotaEntry) -> None:
        """Let an entry wait for the next message to a gateway."""
        self.setdefault(gateway, []).append(entry)

    def take(self, gateways: list[int]) -> list[tuple[int, list[QuotaEntry]]]:
        """Return a message's entries for each of these gateways.

        What a message does not hold goes with the next one: lost here, it would be asked for again.
        """
        taken = [(gateway, self.pop(gateway)) for gateway in gateways]
        for gateway, entries in taken:
            if len(entries) > MAX_ENTRIES:
                self[gateway] = entries[MAX_ENTRIES:]
        return [(gateway, entries[:MAX_ENTRIES]) for gateway, entries in taken]
