"""One customer's bucket at its quota leader, with the lease requests that are queued for it."""

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
    """The key of a lease at its leader: the requesting gateway, its incarnation, and its lease id."""

    gateway: int
    incarnation: int
    lease_id: int


@dataclass(slots=True, eq=False)
class LeaseRequest:
    """A lease request that is queued at its customer's quota leader."""

    key: LeaseKey
    entry: QuotaEntry
    priority_weight: float
    received_at_ms: float
    expires_at_ms: float


@dataclass(slots=True, eq=False)
class LeaderBucket:
    """One customer's quota at its leader."""

    name: int  # identifies the customer and its plan, as in QuotaEntry.bucket_name
    plan: Plan
    level: float  # units that the quota holds; negative after admissions without a grant
    refilled_at_ms: float
    ceiling_level: float = 0.0  # units in the leader's fraction of the ceiling
    demand: float = 0.0  # decaying sum of units requested by all gateways
    queue: list[LeaseRequest] = field(default_factory=list)
    slots: dict[LeaseKey, float] = field(default_factory=dict)  # requests in flight, with their expiry times
    granted: dict[LeaseKey, float] = field(default_factory=dict)  # leases granted or used, with their times
    serve_at_ms: float = math.inf  # when the queue is served next; inf where that is not scheduled

    def refill(self, now_ms: float) -> None:
        """Update the demand, the quota and the ceiling for the time since the last refill."""
        plan = self.plan
        elapsed_s = self._elapsed_s(now_ms)
        self.refilled_at_ms = now_ms
        self.demand = decayed_demand(self.demand, elapsed_s)
        self.level = refilled_level(self.level, plan.rate_per_s, elapsed_s, plan.burst)
        self.ceiling_level = self._refilled_ceiling(elapsed_s)

    def is_replaceable(self, now_ms: float) -> bool:
        """Return whether a new bucket would hold no more: this one is full, with no lease outstanding."""
        plan = self.plan
        elapsed_s = self._elapsed_s(now_ms)
        if self.queue or self.serve_at_ms != math.inf or any(until > now_ms for until in self.slots.values()):
            return False
        if refilled_level(self.level, plan.rate_per_s, elapsed_s, plan.burst) < plan.burst:
            return False
        return not plan.ceiling_per_s or self._refilled_ceiling(elapsed_s) >= self._ceiling_capacity()

    def is_queued(self, key: LeaseKey) -> bool:
        """Return whether a lease request is in the queue."""
        return any(queued.key == key for queued in self.queue)

    def drop_queued(self, key: LeaseKey) -> None:
        """Remove a lease request from the queue, if it is there."""
        self.queue = [queued for queued in self.queue if queued.key != key]

    def drop_expired(self, now_ms: float) -> None:
        """Remove the lease requests and the slots that have expired."""
        self.queue = [queued for queued in self.queue if queued.expires_at_ms > now_ms]
        if self.slots:
            self.slots = {key: until_ms for key, until_ms in self.slots.items() if until_ms > now_ms}

    def oldest_grant_ms(self) -> float:
        """Return the time of the oldest grant that is remembered."""
        return next(iter(self.granted.values()))

    def drop_grants(self, now_ms: float, max_age_ms: float) -> None:
        """Drop the grants that are older than `max_age_ms`."""
        self.granted = {key: at_ms for key, at_ms in self.granted.items() if now_ms - at_ms <= max_age_ms}

    def _elapsed_s(self, now_ms: float) -> float:
        return (now_ms - self.refilled_at_ms) / 1000

    def _refilled_ceiling(self, elapsed_s: float) -> float:
        rate_per_s = self.plan.ceiling_per_s * LEADER_CEILING_FRACTION
        return refilled_level(self.ceiling_level, rate_per_s, elapsed_s, self._ceiling_capacity())

    def _ceiling_capacity(self) -> float:
        return self.plan.ceiling_burst * LEADER_CEILING_FRACTION
