"""The requests that have sent lease requests, by their lease ids."""

from __future__ import annotations

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.interface.settings import Settings
from gateway.policy.requests.request_record import RequestRecord

MAX_LEASE_ID = 0xFFFF  # lease ids have 16 bits in a datagram; 0 means that there is none


class LeaseTable:
    """Assigns lease ids to requests, and finds the requests that replies concern."""

    def __init__(self, settings: Settings) -> None:
        """Start with no request."""
        self._settings = settings
        self._requests: dict[int, RequestRecord] = {}
        self.last_id = 0

    def entry(self, kind: EntryKind, request: RequestRecord, demand_per_s: float) -> QuotaEntry:
        """Return an entry about a request, which gets its lease id with its first entry."""
        if not request.lease_id:
            self.last_id = self.last_id % MAX_LEASE_ID + 1
            request.lease_id = self.last_id
            self._requests[request.lease_id] = request
        return QuotaEntry(
            kind,
            request.account.customer_tag,
            request.lease_id,
            request.arrival.units,
            demand_per_s,
            self._settings.classes.index(request.request_class),
            self._settings.plans.index(request.plan),
        )

    def find(self, sender: int, entry: QuotaEntry) -> RequestRecord | None:
        """Return the open request that a leader's reply concerns, or None."""
        request = self._requests.get(entry.lease_id)
        if request is None or request.account.customer_tag != entry.customer_tag:
            return None
        return request if request.account.leader == sender else None

    def remove(self, request: RequestRecord) -> None:
        """Remove a request that expects no more replies."""
        self._requests.pop(request.lease_id, None)
