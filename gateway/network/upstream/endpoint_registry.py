"""The endpoints that attempts can be sent to, updated from discovery's endpoint list."""

from __future__ import annotations

from gateway.config import EndpointEntry, EndpointList
from gateway.interface.events import EndpointState
from gateway.network.upstream.endpoint import UpstreamEndpoint


class EndpointRegistry:
    """The current process of each ready endpoint."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self.endpoints: dict[str, UpstreamEndpoint] = {}  # by endpoint id

    def update(self, endpoint_list: EndpointList) -> list[EndpointEntry]:
        """Apply a snapshot or an incremental update of the endpoint list.

        An endpoint that is no longer ready or has restarted is retired: its idle connections are closed, and
        its attempts that wait for a connection fail.

        Returns the entries of displaced endpoints. The list does not withdraw a displaced endpoint, but
        another ready endpoint now has its address and would receive its attempts. It is retired as well.
        """
        if endpoint_list.is_snapshot:
            self._retire_unlisted(endpoint_list)
        for entry in endpoint_list.entries:
            self._apply_entry(entry)
        return self._retire_displaced(endpoint_list)

    def _retire_unlisted(self, snapshot: EndpointList) -> None:
        listed = {entry.endpoint.id for entry in snapshot.entries}
        for endpoint_id in [endpoint_id for endpoint_id in self.endpoints if endpoint_id not in listed]:
            self._retire(endpoint_id)

    def _apply_entry(self, entry: EndpointEntry) -> None:
        endpoint_id = entry.endpoint.id
        is_ready = entry.endpoint.state is EndpointState.READY
        registered = self.endpoints.get(endpoint_id)
        if registered is not None and is_ready and registered.is_same_process(entry):
            registered.entry = entry
            return
        if registered is not None:
            self._retire(endpoint_id)
        if is_ready:
            self.endpoints[endpoint_id] = UpstreamEndpoint(entry)

    def _retire_displaced(self, endpoint_list: EndpointList) -> list[EndpointEntry]:
        """Retire the endpoints displaced from their address, and return their entries.

        An endpoint is displaced by a ready endpoint with an equal address that did not start earlier.
        """
        successors = {
            entry.address: entry.endpoint
            for entry in endpoint_list.entries
            if entry.endpoint.state is EndpointState.READY
        }
        displaced = []
        for endpoint_id, endpoint in list(self.endpoints.items()):
            entry = endpoint.entry
            successor = successors.get(entry.address)
            if successor is None or successor.id == endpoint_id:
                continue
            if successor.started_at_ms >= entry.endpoint.started_at_ms:
                self._retire(endpoint_id)
                displaced.append(entry)
        return displaced

    def _retire(self, endpoint_id: str) -> None:
        self.endpoints.pop(endpoint_id).retire()
