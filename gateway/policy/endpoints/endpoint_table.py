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
        self.by_id: dict[str, EndpointRecord] = {}
        self.by_tag: dict[int, EndpointRecord] = {}  # only endpoints whose tag no other endpoint has

    def apply_update(self, update: EndpointUpdate) -> None:
        """Apply an update of the endpoint list.

        In a snapshot, endpoints without an entry are removed. An endpoint that has restarted gets a new
        record, without the estimates of its previous process.
        """
        listed_ids = {entry.id for entry in update.endpoints}
        for endpoint_id, endpoint in self.by_id.items():
            if update.is_snapshot and endpoint_id not in listed_ids:
                endpoint.entry = replace(endpoint.entry, state=EndpointState.REMOVED)
        for entry in update.endpoints:
            existing = self.by_id.get(entry.id)
            if existing is None or existing.entry.started_at_ms != entry.started_at_ms:
                self.by_id[entry.id] = EndpointRecord(entry)
            else:
                existing.entry = entry
        self._drop_removed_and_index_tags()

    def drop_removed_endpoints(self) -> None:
        """Drop the records of removed endpoints that have no attempts in flight."""
        if any(endpoint.entry.state is EndpointState.REMOVED for endpoint in self.by_id.values()):
            self._drop_removed_and_index_tags()

    def ready(self) -> list[EndpointRecord]:
        """Return the endpoints that are listed as ready."""
        return [endpoint for endpoint in self.by_id.values() if endpoint.entry.state is EndpointState.READY]

    def listed(self) -> list[EndpointRecord]:
        """Return the listed endpoints in any state."""
        return [
            endpoint for endpoint in self.by_id.values() if endpoint.entry.state is not EndpointState.REMOVED
        ]

    def _drop_removed_and_index_tags(self) -> None:
        """Drop removed endpoints without attempts in flight, and rebuild the index by tag.

        Tags have 16 bits, and two endpoints may have the same tag. An observation with that tag may concern
        either endpoint, so the index contains neither.
        """
        self.by_id = {
            endpoint_id: endpoint
            for endpoint_id, endpoint in self.by_id.items()
            if endpoint.entry.state is not EndpointState.REMOVED or endpoint.in_flight
        }
        tag_counts = Counter(map(endpoint_tag, self.by_id))
        self.by_tag = {
            endpoint_tag(endpoint_id): endpoint
            for endpoint_id, endpoint in self.by_id.items()
            if tag_counts[endpoint_tag(endpoint_id)] == 1
        }
