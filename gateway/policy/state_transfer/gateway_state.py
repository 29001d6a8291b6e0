"""The state that a process passes to its successor during a hot restart, and its JSON form.

The successor may be another version of this program, so the keys of the JSON form must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from gateway.policy.state_transfer.snapshots import (
    AccountSnapshot,
    BucketSnapshot,
    EndpointSnapshot,
    LimiterSnapshot,
)


class _Key:
    """The keys of the state's JSON object, by field of `GatewayState`."""

    EXPORTED_AT_MS = "now"
    INCARNATION = "boot"
    LAST_LEASE_ID = "serial"
    STARTED_AT_MS = "began"
    EXPECTED_REPLY_MS = "rtt"
    ACCOUNTS = "accounts"
    BUCKETS = "stores"
    ENDPOINTS = "servers"
    REFERENCE_CAPACITY = "reference"
    RECENT_SENDS = "sends"
    RETRY_BUDGET = "budget"
    LIMITER = "window"
    SHARES = "shares"
    EXPECTED_LATENCIES_MS = "usual"


@dataclass(frozen=True, slots=True)
class GatewayState:
    """The state of one process at the time of its export."""

    exported_at_ms: float  # by the clock of the exporting process, as all times in the state
    incarnation: int  # of the exporting process
    last_lease_id: int  # the lease id assigned last
    started_at_ms: float  # start of the gateway, including its previous processes
    expected_reply_ms: float  # expected time from a lease request to its reply
    accounts: list[AccountSnapshot]
    buckets: list[BucketSnapshot]  # of the quota leader
    endpoints: list[EndpointSnapshot]
    reference_capacity: float  # decaying maximum of the endpoints' total capacity
    recent_sends: float  # decaying count of the attempts sent
    retry_budget: float  # number of retries that may be sent
    limiter: LimiterSnapshot
    shares: dict[str, float]  # dispatch shares, by class name
    expected_latencies_ms: dict[str, float]  # expected latencies, by class name

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form: snapshots are arrays of their values, except for the limiter's object."""
        return {
            _Key.EXPORTED_AT_MS: self.exported_at_ms,
            _Key.INCARNATION: self.incarnation,
            _Key.LAST_LEASE_ID: self.last_lease_id,
            _Key.STARTED_AT_MS: self.started_at_ms,
            _Key.EXPECTED_REPLY_MS: self.expected_reply_ms,
            _Key.ACCOUNTS: self.accounts,
            _Key.BUCKETS: self.buckets,
            _Key.ENDPOINTS: self.endpoints,
            _Key.REFERENCE_CAPACITY: self.reference_capacity,
            _Key.RECENT_SENDS: self.recent_sends,
            _Key.RETRY_BUDGET: self.retry_budget,
            _Key.LIMITER: self.limiter.to_json(),
            _Key.SHARES: self.shares,
            _Key.EXPECTED_LATENCIES_MS: self.expected_latencies_ms,
        }

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> GatewayState:
        """Return the state in a JSON object.

        Raises KeyError for a missing key, and TypeError or ValueError for a malformed value or row.
        """
        return cls(
            exported_at_ms=value[_Key.EXPORTED_AT_MS],
            incarnation=int(value[_Key.INCARNATION]),
            last_lease_id=int(value[_Key.LAST_LEASE_ID]),
            started_at_ms=value[_Key.STARTED_AT_MS],
            expected_reply_ms=float(value[_Key.EXPECTED_REPLY_MS]),
            accounts=[AccountSnapshot.from_row(row) for row in value[_Key.ACCOUNTS]],
            buckets=[BucketSnapshot.from_row(row) for row in value[_Key.BUCKETS]],
            endpoints=[EndpointSnapshot.from_row(row) for row in value[_Key.ENDPOINTS]],
            reference_capacity=value[_Key.REFERENCE_CAPACITY],
            recent_sends=float(value[_Key.RECENT_SENDS]),
            retry_budget=float(value[_Key.RETRY_BUDGET]),
            limiter=LimiterSnapshot.from_json(value[_Key.LIMITER]),
            shares=value[_Key.SHARES],
            expected_latencies_ms=value[_Key.EXPECTED_LATENCIES_MS],
        )
