"""The state that a process passes to its successor, and its JSON form.

The JSON form is an interface between versions of this program, and its keys have to stay as they are.
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
    """The keys of the JSON object."""

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
    """The state with which the successor continues."""

    exported_at_ms: float
    incarnation: int
    last_lease_id: int
    started_at_ms: float
    expected_reply_ms: float
    accounts: list[AccountSnapshot]
    buckets: list[BucketSnapshot]
    endpoints: list[EndpointSnapshot]
    reference_capacity: float
    recent_sends: float
    retry_budget: float
    limiter: LimiterSnapshot
    shares: dict[str, float]  # dispatch shares by class
    expected_latencies_ms: dict[str, float]  # expected latencies by class

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form, in which each snapshot but the limiter's is a row of its values."""
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
        """Read the JSON form; raises KeyError, TypeError or ValueError where it is invalid."""
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
