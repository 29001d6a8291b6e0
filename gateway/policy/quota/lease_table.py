"""The open requests about which entries were sent to quota leaders, by lease id."""

from __future__ import annotations

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.interface.settings import Settings
from gateway.policy.requests.request_record import RequestRecord

# Greatest lease id: a datagram holds 16 bits. The id 0 marks a request without a lease id.
MAX_LEASE_ID = 0xFFFF


class LeaseTable:
    """Assigns lease ids to requests, and finds the request to which a leader's reply belongs."""

    def __init__(self, settings: Settings) -> None:
        """Start without requests; the first lease id is 1."""
        self._settings = settings
        self._requests: dict[int, RequestRecord] = {}
        self.last_id = 0  # the lease id assigned last; after MAX_LEASE_ID, ids start again at 1

    def create_entry(self, kind: EntryKind, request: RequestRecord, demand_per_s: float) -> QuotaEntry:
        """Return an entry about a request, and assign a lease id if the request has none."""
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

    def find_request(self, sender: int, entry: QuotaEntry) -> RequestRecord | None:
        """Return the open request to which a leader's reply belongs.

        None if the request has ended, or if the customer or the sender differs from those of the request that
        has this lease id now.
        """
        request = self._requests.get(entry.lease_id)
        if request is None or request.account.customer_tag != entry.customer_tag:
            return None
        return request if request.account.leader == sender else None

    def remove(self, request: RequestRecord) -> None:
        """Remove a request, if it is in the table; later replies to it are treated as unmatched."""
        self._requests.pop(request.lease_id, None)
