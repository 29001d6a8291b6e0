"""The interfaces by which parts of the pure core call back into others."""

from __future__ import annotations

from typing import Protocol

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.model.records import RequestRecord


class EntrySender(Protocol):
    """Sends a quota entry to a gateway, which may be this one; an incarnation names the process it is for."""

    def __call__(self, gateway: int, entry: QuotaEntry, incarnation: int | None = None) -> None:
        """Send it."""


class QuotaListener(Protocol):
    """Whoever is told what becomes of a request's quota."""

    def on_lease_reply(self, request: RequestRecord, verdict: EntryKind) -> None:
        """The leader grants the request's units, lets it wait for them, or denies them."""
