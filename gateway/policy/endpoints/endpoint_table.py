"""The records of all listed endpoints."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from gateway.gossip.codec import endpoint_tag
from gateway.interface.events import EndpointState, EndpointUpdate
from gateway.policy.endpoints.endpoint_record import EndpointRecord


class EndpointTable:
    """The records of the listed endpoints, and of removed ones that still have attempts in flight."""

    def __init__(self) -> None:
        """Start with no endpoint."""
        self.by_id: dict[str, EndpointRecord] = {}
        self.by_tag: dict[int, EndpointRecord] = {}  # endpoints whose tag is unique

    def apply(self, update: EndpointUpdate) -> None:
        """Apply an update of the endpoint list; an endpoint that has restarted gets a new record."""
        listed_ids = {entry.id for entry in update.endpoints}
        for endpoint_id, endpoint in self.by_id.items():
            if update.is_snapshot and endpoint_id not in listed_ids:
                endpoint.entry = replace(endpoint.entry, state=EndpointState.REMOVED)
        for entry in update.endpoints:
            current = self.by_id.get(entry.id)
            if current is None or current.entry.started_at_ms != entry.started_at_ms:
                self.by_id[entry.id] = EndpointRecord(entry)
            else:
                current.entry = entry
        self._drop_removed()

    def drop_removed(self) -> None:
        """Drop removed endpoints without attempts in flight."""
        if any(endpoint.entry.state is EndpointState.REMOVED for endpoint in self.by_id.values()):
            self._drop_removed()

    def ready(self) -> list[EndpointRecord]:
        """Return the endpoints that are listed as ready."""
        return [endpoint for endpoint in self.by_id.values() if endpoint.entry.state is EndpointState.READY]

    def listed(self) -> list[EndpointRecord]:
        """Return the listed endpoints in any state."""
        return [
            endpoint for endpoint in self.by_id.values() if endpoint.entry.state is not EndpointState.REMOVED
        ]

    def _drop_removed(self) -> None:
        """Drop removed endpoints and update the index by tag.

        Tags have 16 bits. An observation that names a tag of two endpoints may concern either, so such a tag
        is not in the index.
        """
        self.by_id = {
            endpoint_id: endpoint
            for endpoint_id, endpoint in self.by_id.items()
            if endpoint.entry.state is not EndpointState.REMOVED or endpoint.in_flight
        }
        holders = Counter(map(endpoint_tag, self.by_id))
        self.by_tag = {
            endpoint_tag(endpoint_id): endpoint
            for endpoint_id, endpoint in self.by_id.items()
            if holders[endpoint_tag(endpoint_id)] == 1
        }
