"""The state that one process of a gateway passes to the next, and its form as JSON.

The form is shared with other versions of this program: its keys, and the order of its rows' values, stay.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.policy.endpoints.endpoint_record import ClassCounts, EndpointRecord
from gateway.policy.quota.account import AccountKey, CustomerAccount
from gateway.policy.quota.leader_bucket import LeaderBucket, LeaseKey, LeaseRequest

Row = list[Any]


@dataclass(frozen=True, slots=True)
class AccountState:
    """One customer's account."""

    key: AccountKey
    refilled_at_ms: float
    quota_level: float
    ceiling_level: float
    demand: float
    fleet_demand_per_s: float
    fleet_demand_at_ms: float

    @classmethod
    def of(cls, key: AccountKey, account: CustomerAccount) -> AccountState:
        """Return the state of an account."""
        return cls(
            key,
            account.refilled_at_ms,
            account.quota_level,
            account.ceiling_level,
            account.demand,
            account.fleet_demand_per_s,
            account.fleet_demand_at_ms,
        )

    @classmethod
    def from_row(cls, row: Row) -> AccountState:
        """Read one row; raises TypeError or ValueError where it can't be read."""
        key, *values = row
        return cls(AccountKey(*key), *values)

    def to_row(self) -> Row:
        """Return the row."""
        return [
            list(self.key),
            self.refilled_at_ms,
            self.quota_level,
            self.ceiling_level,
            self.demand,
            self.fleet_demand_per_s,
            self.fleet_demand_at_ms,
        ]

    def restore(self, account: CustomerAccount, shift_ms: float) -> None:
        """Put the state into an account, its times moved on to another clock."""
        account.refilled_at_ms = self.refilled_at_ms + shift_ms
        account.quota_level = self.quota_level
        account.ceiling_level = self.ceiling_level
        account.demand = self.demand
        account.fleet_demand_per_s = self.fleet_demand_per_s
        account.fleet_demand_at_ms = self.fleet_demand_at_ms + shift_ms


@dataclass(frozen=True, slots=True)
class BucketState:
    """One bucket of the quota leader."""

    name: int
    plan_index: int
    level: float
    refilled_at_ms: float
    ceiling_level: float
    demand: float
    queue: tuple[LeaseRequest, ...]
    slots: dict[LeaseKey, float]
    granted: dict[LeaseKey, float]

    @classmethod
    def of(cls, name: int, plan_index: int, bucket: LeaderBucket) -> BucketState:
        """Return the state of a bucket."""
        return cls(
            name,
            plan_index,
            bucket.level,
            bucket.refilled_at_ms,
            bucket.ceiling_level,
            bucket.demand,
            tuple(bucket.queue),
            bucket.slots,
            bucket.granted,
        )

    @classmethod
    def from_row(cls, row: Row) -> BucketState:
        """Read one row; raises TypeError or ValueError where it can't be read."""
        name, plan_index, level, refilled_at_ms, ceiling_level, demand, queue, slots, granted = row
        return cls(
            name,
            plan_index,
            level,
            refilled_at_ms,
            ceiling_level,
            demand,
            tuple(_lease_request_from(*waiting) for waiting in queue),
            {LeaseKey(*key): until_ms for key, until_ms in slots},
            {LeaseKey(*key): at_ms for key, at_ms in granted},
        )

    def to_row(self) -> Row:
        """Return the row."""
        return [
            self.name,
            self.plan_index,
            self.level,
            self.refilled_at_ms,
            self.ceiling_level,
            self.demand,
            [_lease_request_row(waiting) for waiting in self.queue],
            list(self.slots.items()),
            list(self.granted.items()),
        ]

    def restore(self, bucket: LeaderBucket, shift_ms: float) -> None:
        """Put the state into a bucket, its times moved on to another clock."""
        bucket.level = self.level
        bucket.refilled_at_ms = self.refilled_at_ms + shift_ms
        bucket.ceiling_level = self.ceiling_level
        bucket.demand = self.demand
        bucket.queue = list(self.queue)
        for waiting in bucket.queue:
            waiting.received_at_ms += shift_ms
            waiting.expires_at_ms += shift_ms
        bucket.slots = {key: until_ms + shift_ms for key, until_ms in self.slots.items()}
        bucket.granted = {key: at_ms + shift_ms for key, at_ms in self.granted.items()}


@dataclass(frozen=True, slots=True)
class EndpointObservations:
    """What is known of one endpoint."""

    id: str
    started_ms: float
    latency_factor: float
    outcomes: dict[str, float]
    failures: dict[str, float]
    observed_at_ms: float
    peer_load: float
    reported_at_ms: float

    @classmethod
    def of(cls, endpoint: EndpointRecord) -> EndpointObservations:
        """Return what a record holds."""
        return cls(
            endpoint.entry.id,
            endpoint.entry.started_ms,
            endpoint.latency_factor,
            endpoint.outcomes,
            endpoint.failures,
            endpoint.observed_at_ms,
            endpoint.peer_load,
            endpoint.reported_at_ms,
        )

    @classmethod
    def from_row(cls, row: Row) -> EndpointObservations:
        """Read one row; raises TypeError or ValueError where it can't be read."""
        return cls(*row)

    def to_row(self) -> Row:
        """Return the row."""
        return [
            self.id,
            self.started_ms,
            self.latency_factor,
            self.outcomes,
            self.failures,
            self.observed_at_ms,
            self.peer_load,
            self.reported_at_ms,
        ]

    def restore(self, endpoint: EndpointRecord, shift_ms: float) -> None:
        """Put it into a record, its times moved on to another clock."""
        endpoint.latency_factor = self.latency_factor
        endpoint.outcomes = ClassCounts(self.outcomes)
        endpoint.failures = ClassCounts(self.failures)
        endpoint.peer_load = self.peer_load
        endpoint.observed_at_ms = self.observed_at_ms + shift_ms
        endpoint.reported_at_ms = self.reported_at_ms
        if math.isfinite(self.reported_at_ms):
            endpoint.reported_at_ms += shift_ms


@dataclass(frozen=True, slots=True)
class LimiterState:
    """What the concurrency limiter has learned."""

    peak: float
    cut: float
    target: float
    peer_target: float


@dataclass(frozen=True, slots=True)
class GatewayState:
    """All that the next process goes on with."""

    exported_at_ms: float
    incarnation: int
    last_lease_id: int
    started_at_ms: float
    lease_reply_ms: float
    accounts: tuple[AccountState, ...]
    buckets: tuple[BucketState, ...]
    endpoints: tuple[EndpointObservations, ...]
    reference_capacity: float
    recent_sends: float
    retry_budget: float
    limiter: LimiterState
    shares: dict[str, float]  # by class
    expected_latencies_ms: dict[str, float]  # by class

    def to_json(self) -> dict[str, Any]:
        """Return the form that is passed on."""
        return {
            "now": self.exported_at_ms,
            "boot": self.incarnation,
            "serial": self.last_lease_id,
            "began": self.started_at_ms,
            "rtt": self.lease_reply_ms,
            "accounts": [account.to_row() for account in self.accounts],
            "stores": [bucket.to_row() for bucket in self.buckets],
            "servers": [endpoint.to_row() for endpoint in self.endpoints],
            "reference": self.reference_capacity,
            "sends": self.recent_sends,
            "budget": self.retry_budget,
            "window": {
                "peak": self.limiter.peak,
                "cut": self.limiter.cut,
                "room": self.limiter.target,
                "fleet_room": self.limiter.peer_target,
            },
            "shares": self.shares,
            "usual": self.expected_latencies_ms,
        }

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> GatewayState:
        """Read the form; raises KeyError, TypeError or ValueError where it can't be read."""
        window = value["window"]
        return cls(
            exported_at_ms=value["now"],
            incarnation=int(value["boot"]),
            last_lease_id=int(value["serial"]),
            started_at_ms=value["began"],
            lease_reply_ms=float(value["rtt"]),
            accounts=tuple(AccountState.from_row(row) for row in value["accounts"]),
            buckets=tuple(BucketState.from_row(row) for row in value["stores"]),
            endpoints=tuple(EndpointObservations.from_row(row) for row in value["servers"]),
            reference_capacity=value["reference"],
            recent_sends=float(value["sends"]),
            retry_budget=float(value["budget"]),
            limiter=LimiterState(
                peak=float(window["peak"]),
                cut=float(window["cut"]),
                target=float(window["room"]),
                peer_target=float(window["fleet_room"]),
            ),
            shares=value["shares"],
            expected_latencies_ms=value["usual"],
        )


def _lease_request_row(waiting: LeaseRequest) -> Row:
    return [
        waiting.key,
        waiting.entry,
        waiting.priority_weight,
        waiting.received_at_ms,
        waiting.expires_at_ms,
    ]


def _lease_request_from(
    key: Row, entry: Row, priority_weight: float, received_at_ms: float, expires_at_ms: float
) -> LeaseRequest:
    kind, *values = entry
    quota_entry = QuotaEntry(EntryKind(kind), *values)
    return LeaseRequest(LeaseKey(*key), quota_entry, priority_weight, received_at_ms, expires_at_ms)
