"""The interface by which the quota components send entries to gateways."""

from __future__ import annotations

from typing import Protocol

from gateway.gossip.codec import QuotaEntry


class EntrySender(Protocol):
    """Sends a quota entry to a gateway, which may be this one."""

    def __call__(self, gateway: int, entry: QuotaEntry, incarnation: int | None = None) -> None:
        """Send an entry; an incarnation selects one of the gateway's processes during a hot restart."""
