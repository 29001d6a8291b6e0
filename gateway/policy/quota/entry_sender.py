"""The interface by which quota entries are sent to other gateways."""

from __future__ import annotations

from typing import Protocol

from gateway.gossip.codec import QuotaEntry


class EntrySender(Protocol):
    """Sends a quota entry to a gateway, which may be this one; an incarnation names the process it is for."""

    def __call__(self, gateway: int, entry: QuotaEntry, incarnation: int | None = None) -> None:
        """Send it."""
