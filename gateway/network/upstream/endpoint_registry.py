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

        An endpoint that is no longer ready, has restarted or has another address is retired: its idle
        connections are closed, and its attempts that wait for a connection fail. A snapshot also retires
        each endpoint that it does not contain.

        Returns the entries of displaced endpoints. The list neither removes such an endpoint nor states that
        it is no longer ready, but another ready endpoint now has its address and would receive its attempts.
        Displaced endpoints are therefore retired as well.
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
        """Add, update or retire the endpoint of an entry.

        A ready endpoint with an unchanged address and start time keeps its connections. Otherwise the present
        endpoint with this id, if there is one, is retired, and a new one is added if the entry is ready.
        """
        endpoint_id = entry.endpoint.id
        is_ready = entry.endpoint.state is EndpointState.READY
        current_endpoint = self.endpoints.get(endpoint_id)
        if current_endpoint is not None and is_ready and current_endpoint.is_same_process(entry):
            current_endpoint.entry = entry
            return
        if current_endpoint is not None:
            self._retire(endpoint_id)
        if is_ready:
            self.endpoints[endpoint_id] = UpstreamEndpoint(entry)

    def _retire_displaced(self, endpoint_list: EndpointList) -> list[EndpointEntry]:
        """Retire the endpoints displaced from their address, and return their entries.

        An endpoint is displaced by another ready endpoint of the list with the same address that started at
        the same time or later. If several ready endpoints of the list have the same address, only the last
        of them can displace others.
        """
        ready_by_address = {
            entry.address: entry.endpoint
            for entry in endpoint_list.entries
            if entry.endpoint.state is EndpointState.READY
        }
        displaced = []
        for endpoint_id, endpoint in list(self.endpoints.items()):
            entry = endpoint.entry
            ready_endpoint = ready_by_address.get(entry.address)
            if ready_endpoint is None or ready_endpoint.id == endpoint_id:
                continue
            if ready_endpoint.started_at_ms >= entry.endpoint.started_at_ms:
                self._retire(endpoint_id)
                displaced.append(entry)
        return displaced

    def _retire(self, endpoint_id: str) -> None:
        self.endpoints.pop(endpoint_id).retire()
