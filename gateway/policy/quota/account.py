"""The account of one customer at this gateway, with its local buckets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from gateway.interface.settings import Plan
from gateway.policy.decay import NEVER_MS
from gateway.policy.quota.ceiling import LOCAL_CEILING_FRACTION
from gateway.policy.quota.demand import DEMAND_MEMORY_MS, decayed_demand, demand_per_s
from gateway.policy.quota.token_bucket import refilled_level

LOCAL_BURST_FRACTION = 0.03  # fraction of a plan's burst that all local buckets hold together
MAX_FLEET_DEMAND_AGE_MS = 2 * DEMAND_MEMORY_MS  # age beyond which a fleet demand is discarded


class AccountKey(NamedTuple):
    """The key of an account: the customer, its plan and its set of gateways.

    Requests in one customer's name that differ in plan or set have separate accounts, so that a request with
    wrong values does not affect the others.
    """

    customer: str
    plan: str
    spread: int
    first_gateway: int


@dataclass(slots=True, eq=False)
class CustomerAccount:
    """One customer at this gateway: its local buckets, and the last reply of its quota leader."""

    plan: Plan
    customer_tag: int
    spread: int  # number of gateways in the customer's set
    leader: int  # number of the gateway that is the customer's quota leader
    refilled_at_ms: float
    quota_level: float = 0.0  # units in the local bucket; negative after an optimistic admission
    ceiling_level: float = 0.0  # units in this gateway's fraction of the ceiling
    demand: float = 0.0  # decaying sum of units requested at this gateway
    fleet_demand_per_s: float = 0.0  # units per second requested at all gateways; 0 where unknown
    fleet_demand_at_ms: float = NEVER_MS  # when the leader last reported the fleet's demand
    in_flight: int = 0  # requests that are admitted and have not ended

    def refill(self, now_ms: float) -> None:
        """Update the demand and both buckets for the time since the last refill."""
        elapsed_s = self._elapsed_s(now_ms)
        self.refilled_at_ms = now_ms
        self.demand = decayed_demand(self.demand, elapsed_s)
        if now_ms - self.fleet_demand_at_ms > MAX_FLEET_DEMAND_AGE_MS:
            self.fleet_demand_per_s = 0.0
        plan = self.plan
        demand_fraction = self._demand_fraction()
        ceiling_fraction = LOCAL_CEILING_FRACTION / self.spread
        self.quota_level = refilled_level(
            self.quota_level,
            plan.rate_per_s * demand_fraction,
            elapsed_s,
            plan.burst * LOCAL_BURST_FRACTION * demand_fraction,
        )
        self.ceiling_level = refilled_level(
            self.ceiling_level,
            plan.ceiling_per_s * ceiling_fraction,
            elapsed_s,
            plan.ceiling_burst * ceiling_fraction,
        )

    def is_replaceable(self, now_ms: float) -> bool:
        """Return whether a new account would hold no more units: no debt, and a full ceiling."""
        plan = self.plan
        elapsed_s = self._elapsed_s(now_ms)
        if refilled_level(self.quota_level, plan.rate_per_s / self.spread, elapsed_s) < 0:
            return False
        ceiling_per_s = plan.ceiling_per_s * LOCAL_CEILING_FRACTION
        if not ceiling_per_s:
            return True
        ceiling_level = refilled_level(self.ceiling_level, ceiling_per_s / self.spread, elapsed_s)
        return ceiling_level >= plan.ceiling_burst * LOCAL_CEILING_FRACTION / self.spread

    def _elapsed_s(self, now_ms: float) -> float:
        return (now_ms - self.refilled_at_ms) / 1000

    def _demand_fraction(self) -> float:
        """Return this gateway's fraction of the fleet's demand; an even one where that is unknown."""
        if not self.fleet_demand_per_s:
            return 1 / self.spread
        return min(1.0, demand_per_s(self.demand) / self.fleet_demand_per_s)
