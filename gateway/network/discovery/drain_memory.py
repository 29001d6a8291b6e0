"""What has been told of endpoints that drain or left, kept against older lists from another address."""

from __future__ import annotations

from dataclasses import dataclass, replace

from gateway.config import EndpointEntry, EndpointList
from gateway.interface.events import EndpointState

MEMORY_S = 120.0


@dataclass(frozen=True, slots=True)
class _Withdrawal:
    started_ms: float  # of the endpoint's process
    at_s: float  # when it was told


class DrainMemory:
    """Keeps the word of a drain against snapshots that are older than it.

    A snapshot that is older than what has been told, as another address may have it, says nothing of what
    has come since: an endpoint that was withdrawn by then is not ready again by it.
    """

    def __init__(self, newest_index: int) -> None:
        """Begin with a version that is known, and nothing told of endpoints."""
        self._newest_index = newest_index  # of what has been told, at any address
        self._ready: dict[str, float] = {}  # endpoints by that, and when their processes started
        self._withdrawn: dict[str, _Withdrawal] = {}

    def reconcile(self, endpoint_list: EndpointList, now_s: float) -> EndpointList:
        """Take in a list, and return it with what has been told before."""
        if endpoint_list.is_snapshot and endpoint_list.index < self._newest_index:
            entries = tuple(map(self._as_withdrawn, endpoint_list.entries))
            endpoint_list = replace(endpoint_list, entries=entries)
        elif endpoint_list.is_snapshot:
            self._newest_index = endpoint_list.index
            listed = {entry.endpoint.id for entry in endpoint_list.entries}
            for endpoint_id in self._ready.keys() - listed:
                self._withdrawn[endpoint_id] = _Withdrawal(self._ready.pop(endpoint_id), now_s)
        else:
            self._newest_index = max(self._newest_index, endpoint_list.index)
        self._remember(endpoint_list, now_s)
        return endpoint_list

    def _as_withdrawn(self, entry: EndpointEntry) -> EndpointEntry:
        endpoint = entry.endpoint
        withdrawal = self._withdrawn.get(endpoint.id)
        if endpoint.state is not EndpointState.READY or withdrawal is None:
            return entry
        if withdrawal.started_ms != endpoint.started_ms:
            return entry  # another process
        return replace(entry, endpoint=replace(endpoint, state=EndpointState.DRAINING))

    def _remember(self, endpoint_list: EndpointList, now_s: float) -> None:
        for endpoint in [entry.endpoint for entry in endpoint_list.entries]:
            if endpoint.state is EndpointState.READY:
                self._ready[endpoint.id] = endpoint.started_ms
                self._withdrawn.pop(endpoint.id, None)
            else:
                self._ready.pop(endpoint.id, None)
                self._withdrawn[endpoint.id] = _Withdrawal(endpoint.started_ms, now_s)
        self._withdrawn = {
            endpoint_id: withdrawal
            for endpoint_id, withdrawal in self._withdrawn.items()
            if now_s - withdrawal.at_s < MEMORY_S
        }
