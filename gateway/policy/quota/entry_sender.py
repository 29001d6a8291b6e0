"""The callback through which the quota components send entries to gateways."""

from __future__ import annotations

from typing import Protocol

from gateway.gossip.codec import QuotaEntry


class EntrySender(Protocol):
    """Callback that sends a quota entry to a gateway, which may be this gateway."""

    def __call__(self, gateway: int, entry: QuotaEntry, incarnation: int | None = None) -> None:
        """Send an entry to a gateway.

        During a hot restart a gateway has two processes. `incarnation` identifies the process that the entry
        is for; with None, the entry is for the process that admits requests.
        """
