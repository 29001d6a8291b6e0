"""The open requests about which entries were sent to quota leaders, by lease id."""

from __future__ import annotations

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.interface.settings import Settings
from gateway.policy.requests.request_record import RequestRecord

# Greatest lease id, since a datagram holds 16 bits of it. The id 0 stands for a request without a lease id.
MAX_LEASE_ID = 0xFFFF


class LeaseTable:
    """Assigns lease ids to requests, and finds the request to which a leader's reply belongs."""

    def __init__(self, settings: Settings) -> None:
        """Start without requests; the first lease id is 1."""
        self._settings = settings
        self._requests_by_lease_id: dict[int, RequestRecord] = {}
        self.last_lease_id = 0  # the lease id assigned last; after MAX_LEASE_ID, ids start again at 1

    def create_entry(self, kind: EntryKind, request: RequestRecord, demand_per_s: float) -> QuotaEntry:
        """Return an entry about a request, and assign a lease id if the request has none."""
        if not request.lease_id:
            self.last_lease_id = self.last_lease_id % MAX_LEASE_ID + 1
            request.lease_id = self.last_lease_id
            self._requests_by_lease_id[request.lease_id] = request
        return QuotaEntry(
            kind,
            request.account.customer_tag,
            request.lease_id,
            request.arrival.units,
            demand_per_s,
            self._settings.classes.index(request.request_class),
            self._settings.plans.index(request.plan),
        )

    def find_request(self, sender: int, entry: QuotaEntry) -> RequestRecord | None:
        """Return the open request to which a leader's reply belongs.

        Returns None if no open request has the entry's lease id, or if the customer or the leader of that
        request differs from the customer in the entry or its sender. Lease ids are reused, so the reply may
        concern an earlier request.
        """
        request = self._requests_by_lease_id.get(entry.lease_id)
        if request is None or request.account.customer_tag != entry.customer_tag:
            return None
        return request if request.account.leader == sender else None

    def remove_request(self, request: RequestRecord) -> None:
        """Remove a request, if it is in the table; later replies about it belong to no request."""
        self._requests_by_lease_id.pop(request.lease_id, None)
