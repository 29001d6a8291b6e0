"""The endpoints that discovery lists, as it lists them."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from gateway.gossip.codec import endpoint_tag
from gateway.interface.events import EndpointState, EndpointUpdate
from gateway.policy.endpoints.endpoint_record import EndpointRecord


class EndpointTable:
    """The records of the listed endpoints, and of removed ones on which something is still in flight."""

    def __init__(self) -> None:
        """Begin with no endpoint."""
        self.known: dict[str, EndpointRecord] = {}
        self.by_tag: dict[int, EndpointRecord] = {}  # those whose tag no other one shares

    def apply(self, update: EndpointUpdate) -> None:
        """Take in discovery's view. What restarted begins with a new record."""
        listed = {entry.id for entry in update.endpoints}
        for name, endpoint in self.known.items():
            if update.is_snapshot and name not in listed:
                endpoint.entry = replace(endpoint.entry, state=EndpointState.REMOVED)
        for entry in update.endpoints:
            known = self.known.get(entry.id)
            if known is None or known.entry.started_ms != entry.started_ms:
                known = self.known[entry.id] = EndpointRecord(entry)
            known.entry = entry
        self._forget_removed()

    def tidy(self) -> None:
        """Forget removed endpoints on which nothing is in flight any more."""
        if any(endpoint.entry.state is EndpointState.REMOVED for endpoint in self.known.values()):
            self._forget_removed()

    def ready(self) -> list[EndpointRecord]:
        """Return the endpoints that discovery calls ready."""
        return [known for known in self.known.values() if known.entry.state is EndpointState.READY]

    def listed(self) -> list[EndpointRecord]:
        """Return the endpoints that discovery lists, in whatever state."""
        return [known for known in self.known.values() if known.entry.state is not EndpointState.REMOVED]

    def _forget_removed(self) -> None:
        """Keep nothing of removed endpoints once nothing is in flight there: ids may be ever new.

        A tag is short: of 200 endpoints two share one on a quarter of the days. What peers tell of such a tag
        may be about either, and counts for neither.
        """
        self.known = {
            name: endpoint
            for name, endpoint in self.known.items()
            if endpoint.entry.state is not EndpointState.REMOVED or endpoint.in_flight
        }
        holders = Counter(map(endpoint_tag, self.known))
        self.by_tag = {
            endpoint_tag(name): endpoint
            for name, endpoint in self.known.items()
            if holders[endpoint_tag(name)] == 1
        }
