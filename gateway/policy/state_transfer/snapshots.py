"""Snapshots of accounts, buckets, endpoints and the concurrency limiter, and their JSON forms.

The JSON form of a snapshot is a row: an array of its values in the order of its fields. A successor may be
another version of this program, so that order must not change. The limiter's snapshot is an object instead.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.policy.dispatch.concurrency_limit import ConcurrencyLimiter
from gateway.policy.endpoints.endpoint_record import ClassCounts, EndpointRecord
from gateway.policy.quota.account import AccountKey, CustomerAccount
from gateway.policy.quota.leader_bucket import LeaderBucket, LeaseKey, LeaseRequest

Row = list[Any]  # the values of one snapshot, as parsed from JSON and not validated yet


class _LimiterKey:
    """The keys of the limiter's JSON object, by field of `LimiterSnapshot`."""

    PEAK = "peak"
    OVERLOAD_FACTOR = "cut"
    TARGET = "room"
    PEER_TARGET = "fleet_room"


class AccountSnapshot(NamedTuple):
    """The values of one account, in the order of its row in JSON."""

    key: AccountKey
    refilled_at_ms: float
    quota_level: float
    ceiling_level: float
    demand: float
    fleet_demand_per_s: float
    fleet_demand_at_ms: float

    @classmethod
    def of(cls, key: AccountKey, account: CustomerAccount) -> AccountSnapshot:
        """Return the snapshot of the account with this key."""
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
        """Return the snapshot in a row; raises TypeError or ValueError if the row is malformed."""
        key, *values = row
        return cls(AccountKey(*key), *values)

    def restore(self, account: CustomerAccount, shift_ms: float) -> None:
        """Copy the values into an account, with `shift_ms` added to all times."""
        account.refilled_at_ms = self.refilled_at_ms + shift_ms
        account.quota_level = self.quota_level
        account.ceiling_level = self.ceiling_level
        account.demand = self.demand
        account.fleet_demand_per_s = self.fleet_demand_per_s
        account.fleet_demand_at_ms = self.fleet_demand_at_ms + shift_ms


class LeaseRequestSnapshot(NamedTuple):
    """The values of one queued lease request, in the order of its row in JSON."""

    key: LeaseKey
    entry: QuotaEntry
    priority_weight: float
    received_at_ms: float
    expires_at_ms: float

    @classmethod
    def of(cls, queued: LeaseRequest) -> LeaseRequestSnapshot:
        """Return the snapshot of a queued lease request."""
        return cls(
            queued.key,
            queued.entry,
            queued.priority_weight,
            queued.received_at_ms,
            queued.expires_at_ms,
        )

    @classmethod
    def from_row(cls, row: Row) -> LeaseRequestSnapshot:
        """Return the snapshot in a row; raises TypeError or ValueError if the row is malformed."""
        key, entry, *values = row
        kind, *entry_values = entry
        return cls(LeaseKey(*key), QuotaEntry(EntryKind(kind), *entry_values), *values)

    def restored(self, shift_ms: float) -> LeaseRequest:
        """Return the lease request, with `shift_ms` added to all times."""
        return LeaseRequest(
            self.key,
            self.entry,
            self.priority_weight,
            self.received_at_ms + shift_ms,
            self.expires_at_ms + shift_ms,
        )


class LeaseTime(NamedTuple):
    """A lease with one point in time: the expiry of its slot, or the time of its grant."""

    key: LeaseKey
    at_ms: float


class BucketSnapshot(NamedTuple):
    """The values of one bucket of the quota leader, in the order of its row in JSON."""

    bucket_id: int
    plan_index: int  # position in Settings.plans
    quota_level: float
    refilled_at_ms: float
    ceiling_level: float
    demand: float
    queue: list[LeaseRequestSnapshot]
    slot_expiries_ms: list[LeaseTime]
    grant_times_ms: list[LeaseTime]

    @classmethod
    def of(cls, bucket_id: int, plan_index: int, bucket: LeaderBucket) -> BucketSnapshot:
        """Return the snapshot of a bucket, whose plan has this position in Settings.plans."""
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
        """Return the snapshot in a row; raises TypeError or ValueError if the row is malformed."""
        *levels, queue, slots, granted = row
        lease_requests = [LeaseRequestSnapshot.from_row(queued) for queued in queue]
        return cls._make([*levels, lease_requests, _lease_times_from(slots), _lease_times_from(granted)])

    def restore(self, bucket: LeaderBucket, shift_ms: float) -> None:
        """Copy the values into a bucket, with `shift_ms` added to all times."""
        bucket.quota_level = self.quota_level
        bucket.refilled_at_ms = self.refilled_at_ms + shift_ms
        bucket.ceiling_level = self.ceiling_level
        bucket.demand = self.demand
        bucket.queue = [queued.restored(shift_ms) for queued in self.queue]
        bucket.slot_expiries_ms = {key: until_ms + shift_ms for key, until_ms in self.slot_expiries_ms}
        bucket.grant_times_ms = {key: at_ms + shift_ms for key, at_ms in self.grant_times_ms}


class EndpointSnapshot(NamedTuple):
    """The estimates of one endpoint, in the order of its row in JSON."""

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
        """Return the snapshot of an endpoint; it shares the counts with the endpoint's record."""
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
        """Return the snapshot in a row; raises TypeError if the number of values is wrong."""
        return cls(*row)

    def restore(self, endpoint: EndpointRecord, shift_ms: float) -> None:
        """Copy the values into an endpoint's record, with `shift_ms` added to all times.

        The number of attempts in flight is not copied: the predecessor completes the attempts that it sent.
        """
        endpoint.latency_factor = self.latency_factor
        endpoint.outcomes = ClassCounts(self.outcomes)
        endpoint.failures = ClassCounts(self.failures)
        endpoint.peer_load = self.peer_load
        endpoint.observed_at_ms = self.observed_at_ms + shift_ms
        endpoint.reported_at_ms = self.reported_at_ms
        if math.isfinite(self.reported_at_ms):
            endpoint.reported_at_ms += shift_ms


class LimiterSnapshot(NamedTuple):
    """The estimates of the concurrency limiter; their meaning is that of the limiter's attributes."""

    peak: float
    overload_factor: float
    target: float
    peer_target: float

    @classmethod
    def of(cls, limiter: ConcurrencyLimiter) -> LimiterSnapshot:
        """Return the snapshot of a concurrency limiter."""
        return cls(limiter.peak, limiter.overload_factor, limiter.target, limiter.peer_target)

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> LimiterSnapshot:
        """Return the snapshot in a JSON object; raises KeyError, TypeError or ValueError if it is invalid."""
        return cls(
            peak=float(value[_LimiterKey.PEAK]),
            overload_factor=float(value[_LimiterKey.OVERLOAD_FACTOR]),
            target=float(value[_LimiterKey.TARGET]),
            peer_target=float(value[_LimiterKey.PEER_TARGET]),
        )

    def to_json(self) -> dict[str, float]:
        """Return the snapshot as a JSON object."""
        return {
            _LimiterKey.PEAK: self.peak,
            _LimiterKey.OVERLOAD_FACTOR: self.overload_factor,
            _LimiterKey.TARGET: self.target,
            _LimiterKey.PEER_TARGET: self.peer_target,
        }

    def restore(self, limiter: ConcurrencyLimiter) -> None:
        """Copy the values into a concurrency limiter."""
        limiter.peak = self.peak
        limiter.overload_factor = self.overload_factor
        limiter.target = self.target
        limiter.peer_target = self.peer_target


def _lease_times(times_ms: dict[LeaseKey, float]) -> list[LeaseTime]:
    return [LeaseTime(key, at_ms) for key, at_ms in times_ms.items()]


def _lease_times_from(rows: list[Row]) -> list[LeaseTime]:
    return [LeaseTime(LeaseKey(*key), at_ms) for key, at_ms in rows]
