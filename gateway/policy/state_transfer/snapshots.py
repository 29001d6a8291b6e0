"""Snapshots of accounts, buckets, endpoints and the concurrency limiter, and their rows in JSON.

A row lists the values of a snapshot in the order of its fields. That order is an interface between versions
of this program, and has to stay as it is.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.policy.dispatch.concurrency_limit import ConcurrencyLimiter
from gateway.policy.endpoints.endpoint_record import ClassCounts, EndpointRecord
from gateway.policy.quota.account import AccountKey, CustomerAccount
from gateway.policy.quota.leader_bucket import LeaderBucket, LeaseKey, LeaseRequest

Row = list[Any]  # the values of one snapshot, as read from JSON


class _LimiterKey:
    """The keys of the concurrency limiter's object in the JSON object."""

    PEAK = "peak"
    CUT = "cut"
    TARGET = "room"
    PEER_TARGET = "fleet_room"


class AccountSnapshot(NamedTuple):
    """One customer's account; the fields are in the order of the row in JSON."""

    key: AccountKey
    refilled_at_ms: float
    quota_level: float
    ceiling_level: float
    demand: float
    fleet_demand_per_s: float
    fleet_demand_at_ms: float

    @classmethod
    def of(cls, key: AccountKey, account: CustomerAccount) -> AccountSnapshot:
        """Return the snapshot of an account."""
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
    def from_row(cls, row: Row) -> AccountSnapshot:
        """Read one row; raises TypeError or ValueError where it is invalid."""
        key, *values = row
        return cls(AccountKey(*key), *values)

    def restore(self, account: CustomerAccount, shift_ms: float) -> None:
        """Copy the values into an account; `shift_ms` is added to all times."""
        account.refilled_at_ms = self.refilled_at_ms + shift_ms
        account.quota_level = self.quota_level
        account.ceiling_level = self.ceiling_level
        account.demand = self.demand
        account.fleet_demand_per_s = self.fleet_demand_per_s
        account.fleet_demand_at_ms = self.fleet_demand_at_ms + shift_ms


class LeaseRequestSnapshot(NamedTuple):
    """One queued lease request; the fields are in the order of the row in JSON."""

    key: LeaseKey
    entry: QuotaEntry
    priority_weight: float
    received_at_ms: float
    expires_at_ms: float

    @classmethod
    def of(cls, queued: LeaseRequest) -> LeaseRequestSnapshot:
        """Return the snapshot of a lease request."""
        return cls(
            queued.key,
            queued.entry,
            queued.priority_weight,
            queued.received_at_ms,
            queued.expires_at_ms,
        )

    @classmethod
    def from_row(cls, row: Row) -> LeaseRequestSnapshot:
        """Read one row; raises TypeError or ValueError where it is invalid."""
        key, entry, *values = row
        kind, *entry_values = entry
        return cls(LeaseKey(*key), QuotaEntry(EntryKind(kind), *entry_values), *values)

    def restored(self, shift_ms: float) -> LeaseRequest:
        """Return the lease request; `shift_ms` is added to all times."""
        return LeaseRequest(
            self.key,
            self.entry,
            self.priority_weight,
            self.received_at_ms + shift_ms,
            self.expires_at_ms + shift_ms,
        )


class LeaseTime(NamedTuple):
    """A lease and a time: the expiry of its slot, or the time of its grant."""

    key: LeaseKey
    at_ms: float


class BucketSnapshot(NamedTuple):
    """One bucket of the quota leader; the fields are in the order of the row in JSON."""

    bucket_id: int
    plan_index: int
    quota_level: float
    refilled_at_ms: float
    ceiling_level: float
    demand: float
    queue: list[LeaseRequestSnapshot]
    slot_expiries_ms: list[LeaseTime]
    grant_times_ms: list[LeaseTime]

    @classmethod
    def of(cls, bucket_id: int, plan_index: int, bucket: LeaderBucket) -> BucketSnapshot:
        """Return the snapshot of a bucket."""
        return cls(
            bucket_id,
            plan_index,
            bucket.quota_level,
            bucket.refilled_at_ms,
            bucket.ceiling_level,
            bucket.demand,
            [LeaseRequestSnapshot.of(queued) for queued in bucket.queue],
            _lease_times(bucket.slot_expiries_ms),
            _lease_times(bucket.grant_times_ms),
        )

    @classmethod
    def from_row(cls, row: Row) -> BucketSnapshot:
        """Read one row; raises TypeError or ValueError where it is invalid."""
        *levels, queue, slots, granted = row
        lease_requests = [LeaseRequestSnapshot.from_row(queued) for queued in queue]
        return cls._make([*levels, lease_requests, _lease_times_from(slots), _lease_times_from(granted)])

    def restore(self, bucket: LeaderBucket, shift_ms: float) -> None:
        """Copy the values into a bucket; `shift_ms` is added to all times."""
        bucket.quota_level = self.quota_level
        bucket.refilled_at_ms = self.refilled_at_ms + shift_ms
        bucket.ceiling_level = self.ceiling_level
        bucket.demand = self.demand
        bucket.queue = [queued.restored(shift_ms) for queued in self.queue]
        bucket.slot_expiries_ms = {key: until_ms + shift_ms for key, until_ms in self.slot_expiries_ms}
        bucket.grant_times_ms = {key: at_ms + shift_ms for key, at_ms in self.grant_times_ms}


class EndpointSnapshot(NamedTuple):
    """The estimates of one endpoint; the fields are in the order of the row in JSON."""

    id: str
    started_at_ms: float
    latency_factor: float
    outcomes: dict[str, float]
    failures: dict[str, float]
    observed_at_ms: float
    peer_load: float
    reported_at_ms: float

    @classmethod
    def of(cls, endpoint: EndpointRecord) -> EndpointSnapshot:
        """Return the snapshot of an endpoint."""
        return cls(
            endpoint.entry.id,
            endpoint.entry.started_at_ms,
            endpoint.latency_factor,
            endpoint.outcomes,
            endpoint.failures,
            endpoint.observed_at_ms,
            endpoint.peer_load,
            endpoint.reported_at_ms,
        )

    @classmethod
    def from_row(cls, row: Row) -> EndpointSnapshot:
        """Read one row; raises TypeError where it is invalid."""
        return cls(*row)

    def restore(self, endpoint: EndpointRecord, shift_ms: float) -> None:
        """Copy the values into an endpoint's record; `shift_ms` is added to all times."""
        endpoint.latency_factor = self.latency_factor
        endpoint.outcomes = ClassCounts(self.outcomes)
        endpoint.failures = ClassCounts(self.failures)
        endpoint.peer_load = self.peer_load
        endpoint.observed_at_ms = self.observed_at_ms + shift_ms
        endpoint.reported_at_ms = self.reported_at_ms
        if math.isfinite(self.reported_at_ms):
            endpoint.reported_at_ms += shift_ms


class LimiterSnapshot(NamedTuple):
    """The estimates of the concurrency limiter."""

    peak: float
    cut: float
    target: float
    peer_target: float

    @classmethod
    def of(cls, limiter: ConcurrencyLimiter) -> LimiterSnapshot:
        """Return the snapshot of a limiter."""
        return cls(limiter.peak, limiter.cut, limiter.target, limiter.peer_target)

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> LimiterSnapshot:
        """Read the JSON form; raises KeyError, TypeError or ValueError where it is invalid."""
        return cls(
            peak=float(value[_LimiterKey.PEAK]),
            cut=float(value[_LimiterKey.CUT]),
            target=float(value[_LimiterKey.TARGET]),
            peer_target=float(value[_LimiterKey.PEER_TARGET]),
        )

    def to_json(self) -> dict[str, float]:
        """Return the JSON form."""
        return {
            _LimiterKey.PEAK: self.peak,
            _LimiterKey.CUT: self.cut,
            _LimiterKey.TARGET: self.target,
            _LimiterKey.PEER_TARGET: self.peer_target,
        }

    def restore(self, limiter: ConcurrencyLimiter) -> None:
        """Copy the values into a limiter."""
        limiter.peak = self.peak
        limiter.cut = self.cut
        limiter.target = self.target
        limiter.peer_target = self.peer_target


def _lease_times(times_ms: dict[LeaseKey, float]) -> list[LeaseTime]:
    return [LeaseTime(key, at_ms) for key, at_ms in times_ms.items()]


def _lease_times_from(rows: list[Row]) -> list[LeaseTime]:
    return [LeaseTime(LeaseKey(*key), at_ms) for key, at_ms in rows]
