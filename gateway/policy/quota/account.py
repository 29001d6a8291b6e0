"""The account of one customer at this gateway: its local token buckets and its recent demand."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from gateway.interface.settings import Plan
from gateway.policy.decay import NEVER_MS
from gateway.policy.quota.ceiling import LOCAL_CEILING_FRACTION
from gateway.policy.quota.demand import DEMAND_TIME_CONSTANT_MS, decayed_demand, demand_per_s
from gateway.policy.quota.token_bucket import refilled_level

# Fraction of the burst of a plan's quota that all gateways together can hold in their local buckets.
LOCAL_BURST_FRACTION = 0.03

# Age, in milliseconds, beyond which the fleet's demand is discarded: the value that a quota leader reported
# no longer reflects the recent requests.
MAX_FLEET_DEMAND_AGE_MS = 2 * DEMAND_TIME_CONSTANT_MS


class AccountKey(NamedTuple):
    """The key of an account: the customer, its plan and its set of gateways.

    Requests of one customer that name different plans or sets of gateways use separate accounts. A request
    that names a wrong plan or set therefore does not change the account that the correct requests use.
    """

    customer: str
    plan: str
    spread: int  # number of gateways in the customer's set
    first_gateway: int  # number of the first gateway in the set


@dataclass(slots=True, eq=False)
class CustomerAccount:
    """One customer's local buckets and demand, and the demand that its quota leader last reported."""

    plan: Plan
    customer_tag: int  # hash of the customer's name, as in quota entries
    spread: int  # number of gateways in the customer's set
    leader: int  # number of the gateway that is the customer's quota leader
    refilled_at_ms: float  # time up to which the buckets and the demand are updated
    quota_level: float = 0.0  # units in the local bucket; negative after an admission without enough units
    ceiling_level: float = 0.0  # units in the bucket for this gateway's fraction of the ceiling
    demand: float = 0.0  # exponentially decaying sum of the units requested at this gateway
    fleet_demand_per_s: float = 0.0  # units per second requested at all gateways; 0 if unknown
    fleet_demand_at_ms: float = NEVER_MS  # when the leader last reported `fleet_demand_per_s`
    in_flight: int = 0  # admitted requests that have not ended

    def refill(self, now_ms: float) -> None:
        """Update the demand and both buckets to `now_ms`.

        A demand of the fleet that is older than MAX_FLEET_DEMAND_AGE_MS is discarded.
        """
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
        """Return whether a new account may replace this one without granting units twice.

        This is the case if the local bucket is not in debt and the plan either has no ceiling or its bucket
        is full.
        """
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
        """Return this gateway's fraction of the fleet's demand; an equal part if the demand is unknown."""
        if not self.fleet_demand_per_s:
            return 1 / self.spread
        return min(1.0, demand_per_s(self.demand) / self.fleet_demand_per_s)
