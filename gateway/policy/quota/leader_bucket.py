"""The bucket that a quota leader keeps for one customer and plan, with its queued lease requests."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from gateway.gossip.codec import QuotaEntry
from gateway.interface.settings import Plan
from gateway.policy.quota.ceiling import LEADER_CEILING_FRACTION
from gateway.policy.quota.demand import decayed_demand
from gateway.policy.quota.token_bucket import refilled_level


class LeaseKey(NamedTuple):
    """The key of a lease at its leader: the requesting gateway and process, and the lease id there."""

    gateway: int
    incarnation: int  # of the requesting process
    lease_id: int


@dataclass(slots=True, eq=False)
class LeaseRequest:
    """A lease request that is queued at its customer's quota leader."""

    key: LeaseKey
    entry: QuotaEntry  # the entry that requested the lease
    priority_weight: float
    received_at_ms: float
    expires_at_ms: float  # a later grant would leave too little time for the response


@dataclass(slots=True, eq=False)
class LeaderBucket:
    """One customer's quota at its leader: the units left, and the leases requested and granted."""

    id: int  # identifies the customer and its plan, as QuotaEntry.bucket_id does
    plan: Plan
    quota_level: float  # units left in the quota; negative after too many admissions without a grant
    refilled_at_ms: float  # time up to which the levels and the demand are updated
    ceiling_level: float = 0.0  # units left in the leader's fraction of the ceiling
    demand: float = 0.0  # exponentially decaying sum of the units requested by all gateways
    queue: list[LeaseRequest] = field(default_factory=list)
    # Times at which the slots of a quota on requests in flight are freed, by lease.
    slot_expiries_ms: dict[LeaseKey, float] = field(default_factory=dict)
    # Times of grants, and of reports that units were used without a grant, by lease.
    grant_times_ms: dict[LeaseKey, float] = field(default_factory=dict)
    serve_at_ms: float = math.inf  # time of the scheduled service of the queue; inf if there is none

    def refill(self, now_ms: float) -> None:
        """Update the demand, the quota and the ceiling to `now_ms`."""
        plan = self.plan
        elapsed_s = self._elapsed_s(now_ms)
        self.refilled_at_ms = now_ms
        self.demand = decayed_demand(self.demand, elapsed_s)
        self.quota_level = refilled_level(self.quota_level, plan.rate_per_s, elapsed_s, plan.burst)
        self.ceiling_level = self._refilled_ceiling(elapsed_s)

    def is_replaceable(self, now_ms: float) -> bool:
        """Return whether a new bucket may replace this one without granting units twice.

        This is the case if the quota and the ceiling are full, nothing is queued or scheduled, and no slot is
        occupied.
        """
        plan = self.plan
        elapsed_s = self._elapsed_s(now_ms)
        if (
            self.queue
            or self.serve_at_ms != math.inf
            or any(expiry_ms > now_ms for expiry_ms in self.slot_expiries_ms.values())
        ):
            return False
        if refilled_level(self.quota_level, plan.rate_per_s, elapsed_s, plan.burst) < plan.burst:
            return False
        return not plan.ceiling_per_s or self._refilled_ceiling(elapsed_s) >= self._ceiling_capacity()

    def is_queued(self, key: LeaseKey) -> bool:
        """Return whether the queue contains a lease request with this key."""
        return any(queued.key == key for queued in self.queue)

    def remove_lease_request(self, key: LeaseKey) -> None:
        """Remove the lease request with this key from the queue, if it is there."""
        self.queue = [queued for queued in self.queue if queued.key != key]

    def remove_expired(self, now_ms: float) -> None:
        """Remove the queued lease requests and the slots that have expired by `now_ms`."""
        self.queue = [queued for queued in self.queue if queued.expires_at_ms > now_ms]
        if self.slot_expiries_ms:
            self.slot_expiries_ms = {
                key: expiry_ms for key, expiry_ms in self.slot_expiries_ms.items() if expiry_ms > now_ms
            }

    def oldest_grant_at_ms(self) -> float:
        """Return the time of the oldest remembered grant.

        Raises StopIteration if no grant is remembered.
        """
        return next(iter(self.grant_times_ms.values()))

    def forget_grants(self, now_ms: float, max_age_ms: float) -> None:
        """Forget the grants that are older than `max_age_ms`."""
        self.grant_times_ms = {
            key: at_ms for key, at_ms in self.grant_times_ms.items() if now_ms - at_ms <= max_age_ms
        }

    def _elapsed_s(self, now_ms: float) -> float:
        return (now_ms - self.refilled_at_ms) / 1000

    def _refilled_ceiling(self, elapsed_s: float) -> float:
        rate_per_s = self.plan.ceiling_per_s * LEADER_CEILING_FRACTION
        return refilled_level(self.ceiling_level, rate_per_s, elapsed_s, self._ceiling_capacity())

    def _ceiling_capacity(self) -> float:
        return self.plan.ceiling_burst * LEADER_CEILING_FRACTION
