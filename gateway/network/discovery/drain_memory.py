"""A record of draining and removed endpoints, which outdated snapshots do not overrule."""

from __future__ import annotations

from dataclasses import dataclass, replace

from gateway.config import EndpointEntry, EndpointList
from gateway.interface.events import EndpointState

MEMORY_S = 120.0  # seconds for which a withdrawn endpoint is remembered


@dataclass(frozen=True, slots=True)
class _Withdrawal:
    """An endpoint's process was reported as draining or removed."""

    started_ms: float  # Unix time in milliseconds at which the process started
    reported_s: float  # time of the event loop in seconds


class DrainMemory:
    """Keeps endpoints withdrawn in spite of snapshots that are older than their withdrawal.

    After a change of the address, discovery may be behind what it reported at the old address. An endpoint
    that was withdrawn since the version of such a snapshot is not made ready again by it.
    """

    def __init__(self, newest_index: int) -> None:
        """Begin with the newest version of the list that is known."""
        self._newest_index = newest_index  # of all lists, at any address
        self._ready: dict[str, float] = {}  # start time of each ready endpoint's process, by id
        self._withdrawn: dict[str, _Withdrawal] = {}  # by the endpoint's id

    def reconcile(self, endpoint_list: EndpointList, now_s: float) -> EndpointList:
        """Return the list with the endpoints that it wrongly lists as ready marked as draining."""
        if endpoint_list.is_snapshot and endpoint_list.index < self._newest_index:
            entries = tuple(map(self._as_withdrawn, endpoint_list.entries))
            endpoint_list = replace(endpoint_list, entries=entries)
        elif endpoint_list.is_snapshot:
            self._newest_index = endpoint_list.index
            self._withdraw_unlisted(endpoint_list, now_s)
        else:
            self._newest_index = max(self._newest_index, endpoint_list.index)
        for entry in endpoint_list.entries:
            self._record(entry, now_s)
        self._forget_old_withdrawals(now_s)
        return endpoint_list

    def _as_withdrawn(self, entry: EndpointEntry) -> EndpointEntry:
        endpoint = entry.endpoint
        withdrawal = self._withdrawn.get(endpoint.id)
        if endpoint.state is not EndpointState.READY or withdrawal is None:
            return entry
        if withdrawal.started_ms != endpoint.started_at_ms:
            return entry  # another process
        return replace(entry, endpoint=replace(endpoint, state=EndpointState.DRAINING))

    def _withdraw_unlisted(self, snapshot: EndpointList, now_s: float) -> None:
        listed = {entry.endpoint.id for entry in snapshot.entries}
        for endpoint_id in self._ready.keys() - listed:
            self._withdrawn[endpoint_id] = _Withdrawal(self._ready.pop(endpoint_id), now_s)

    def _record(self, entry: EndpointEntry, now_s: float) -> None:
        endpoint = entry.endpoint
        if endpoint.state is EndpointState.READY:
            self._ready[endpoint.id] = endpoint.started_at_ms
            self._withdrawn.pop(endpoint.id, None)
        else:
            self._ready.pop(endpoint.id, None)
            self._withdrawn[endpoint.id] = _Withdrawal(endpoint.started_at_ms, now_s)

    def _forget_old_withdrawals(self, now_s: float) -> None:
        self._withdrawn = {
            endpoint_id: withdrawal
            for endpoint_id, withdrawal in self._withdrawn.items()
            if now_s - withdrawal.reported_s < MEMORY_S
        }
