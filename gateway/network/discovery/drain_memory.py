"""A record of draining and removed endpoints, which keeps outdated snapshots from making them ready again."""

from __future__ import annotations

from dataclasses import dataclass, replace

from gateway.config import EndpointEntry, EndpointList
from gateway.interface.events import EndpointState

# Seconds after which the record of an endpoint's withdrawal (draining, removed or no longer listed) is
# deleted.
WITHDRAWAL_RETENTION_S = 120.0


@dataclass(frozen=True, slots=True)
class _Withdrawal:
    """The withdrawal of an endpoint's process, reported as draining, removed or no longer listed."""

    started_ms: float  # Unix time in milliseconds at which the process started
    reported_s: float  # event loop time in seconds at which the withdrawal was reported


class DrainMemory:
    """Prevents outdated snapshots from making withdrawn endpoints ready again.

    After a change of discovery's address, the service at the new address may return a snapshot with a lower
    index than the lists from the old address. An endpoint that was withdrawn after that index stays withdrawn
    even if the snapshot lists it as ready.
    """

    def __init__(self, newest_index: int) -> None:
        """Create an empty record; `newest_index` is the highest known index of the endpoint list."""
        self._newest_index = newest_index  # highest index of all received lists, independent of the address
        # Unix time in milliseconds at which each ready endpoint started, by endpoint id.
        self._ready: dict[str, float] = {}
        self._withdrawn: dict[str, _Withdrawal] = {}  # by endpoint id

    def reconcile(self, endpoint_list: EndpointList, now_s: float) -> EndpointList:
        """Record an endpoint list and return it, corrected if it is an outdated snapshot.

        Withdrawn endpoints that an outdated snapshot lists as ready are marked as draining in the result.
        """
        if endpoint_list.is_snapshot and endpoint_list.index < self._newest_index:
            entries = tuple(map(self._as_withdrawn, endpoint_list.entries))
            endpoint_list = replace(endpoint_list, entries=entries)
        elif endpoint_list.is_snapshot:
            self._newest_index = endpoint_list.index
            self._withdraw_unlisted(endpoint_list, now_s)
        else:
            self._newest_index = max(self._newest_index, endpoint_list.index)
        for entry in endpoint_list.entries:
            self._record_state(entry, now_s)
        self._discard_old_withdrawals(now_s)
        return endpoint_list

    def _as_withdrawn(self, entry: EndpointEntry) -> EndpointEntry:
        endpoint = entry.endpoint
        withdrawal = self._withdrawn.get(endpoint.id)
        if endpoint.state is not EndpointState.READY or withdrawal is None:
            return entry
        if withdrawal.started_ms != endpoint.started_at_ms:
            return entry  # the endpoint has restarted since its withdrawal
        return replace(entry, endpoint=replace(endpoint, state=EndpointState.DRAINING))

    def _withdraw_unlisted(self, snapshot: EndpointList, now_s: float) -> None:
        listed = {entry.endpoint.id for entry in snapshot.entries}
        for endpoint_id in self._ready.keys() - listed:
            self._withdrawn[endpoint_id] = _Withdrawal(self._ready.pop(endpoint_id), now_s)

    def _record_state(self, entry: EndpointEntry, now_s: float) -> None:
        endpoint = entry.endpoint
        if endpoint.state is EndpointState.READY:
            self._ready[endpoint.id] = endpoint.started_at_ms
            self._withdrawn.pop(endpoint.id, None)
        else:
            self._ready.pop(endpoint.id, None)
            self._withdrawn[endpoint.id] = _Withdrawal(endpoint.started_at_ms, now_s)

    def _discard_old_withdrawals(self, now_s: float) -> None:
        self._withdrawn = {
            endpoint_id: withdrawal
            for endpoint_id, withdrawal in self._withdrawn.items()
            if now_s - withdrawal.reported_s < WITHDRAWAL_RETENTION_S
        }
