"""One customer's quota at its leader: the bucket, and the lease requests that wait for it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from gateway.gossip.codec import QuotaEntry
from gateway.interface.settings import Plan
from gateway.policy.decay import decay


class LeaseKey(NamedTuple):
    """A lease as its leader knows it: by the gateway that asked, that one's incarnation, and its lease id."""

    gateway: int
    incarnation: int
    lease_id: int


@dataclass(slots=True, eq=False)
class LeaseRequest:
    """A request that waits at its customer's quota leader."""

    key: LeaseKey
    entry: QuotaEntry
    priority_weight: float
    received_at_ms: float
    expires_at_ms: float


@dataclass(slots=True, eq=False)
class LeaderBucket:
    """One customer's quota at its leader."""

    name: int  # of the customer and its plan, as entries have it
    plan: Plan
    level: float
    refilled_at_ms: float
    ceiling_level: float = 0.0  # of the leader's part of the ceiling
    demand: float = 0.0  # decaying sum of units asked by all gateways
    queue: list[LeaseRequest] = field(default_factory=list)
    slots: dict[LeaseKey, float] = field(default_factory=dict)  # of requests in flight, until when at most
    granted: dict[LeaseKey, float] = field(default_factory=dict)  # granted, or told as used, and when
    serve_at_ms: float = math.inf  # when the bucket looks at its queue again

    def refill(self, now_ms: float, ceiling_part: float, demand_memory_ms: float) -> None:
        """Fill the bucket for the time that has passed; it holds that part of the plan's ceiling."""
        plan = self.plan
        elapsed_s = (now_ms - self.refilled_at_ms) / 1000
        self.refilled_at_ms = now_ms
        self.demand *= decay(elapsed_s * 1000, demand_memory_ms)
        self.level = min(plan.burst, self.level + plan.rate_per_s * elapsed_s)
        ceiling_level = self.ceiling_level + plan.ceiling_per_s * ceiling_part * elapsed_s
        self.ceiling_level = min(plan.ceiling_burst * ceiling_part, ceiling_level)

    def is_full(self, now_ms: float, ceiling_part: float) -> bool:
        """Return whether the bucket would be full by now, and nothing is booked in it."""
        plan = self.plan
        elapsed_s = (now_ms - self.refilled_at_ms) / 1000
        if self.queue or self.serve_at_ms != math.inf or any(until > now_ms for until in self.slots.values()):
            return False
        if self.level + plan.rate_per_s * elapsed_s < plan.burst:
            return False
        ceiling_level = self.ceiling_level + plan.ceiling_per_s * ceiling_part * elapsed_s
        return not plan.ceiling_per_s or ceiling_level >= plan.ceiling_burst * ceiling_part

    def has_queued(self, key: LeaseKey) -> bool:
        """Return whether a lease request waits."""
        return any(waiting.key == key for waiting in self.queue)

    def drop_queued(self, key: LeaseKey) -> None:
        """Take a lease request out of the queue, if it is there."""
        self.queue = [waiting for waiting in self.queue if waiting.key != key]

    def drop_expired(self, now_ms: float) -> None:
        """Take out the lease requests and the slots whose time is over."""
        self.queue = [waiting for waiting in self.queue if waiting.expires_at_ms > now_ms]
        if self.slots:
            self.slots = {key: until_ms for key, until_ms in self.slots.items() if until_ms > now_ms}

    def oldest_grant_ms(self) -> float:
        """Return when the first grant was made that is remembered."""
        return next(iter(self.granted.values()))

    def forget_granted(self, now_ms: float, age_ms: float) -> None:
        """Forget what was granted longer ago than that."""
        self.granted = {key: at_ms for key, at_ms in self.granted.items() if now_ms - at_ms <= age_ms}
