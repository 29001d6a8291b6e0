"""One customer at this gateway: its key and its local buckets."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from gateway.interface.settings import Plan
from gateway.policy.decay import NEVER_MS, decay


class AccountKey(NamedTuple):
    """What belongs to one account.

    What is said of a customer's plan and gateways belongs together: a request that says otherwise in its name
    must not bind the others.
    """

    customer: str
    plan: str
    spread: int
    first_gateway: int


@dataclass(slots=True, eq=False)
class CustomerAccount:
    """One customer at this gateway: its local buckets, and what the quota leader has told."""

    plan: Plan
    customer_tag: int
    spread: int
    leader: int  # the gateway of its set that keeps its quota
    refilled_at_ms: float
    quota_level: float = 0.0  # of the local bucket; below 0 after an optimistic admission
    ceiling_level: float = 0.0  # of our part of the ceiling
    demand: float = 0.0  # decaying sum of units that were asked of us
    fleet_demand_per_s: float = 0.0  # units asked of all gateways, as the leader last told
    fleet_demand_at_ms: float = NEVER_MS
    in_flight: int = 0  # requests admitted and not ended

    def advance(self, now_ms: float, demand_memory_ms: float) -> float:
        """Let the demand fade for the time that has passed, and return that, in seconds."""
        elapsed_s = (now_ms - self.refilled_at_ms) / 1000
        self.refilled_at_ms = now_ms
        self.demand *= decay(elapsed_s * 1000, demand_memory_ms)
        return elapsed_s

    def fill(self, elapsed_s: float, burst_part: float, own_part: float, ceiling_part: float) -> None:
        """Fill the buckets with our part of the plan's rate, and that part of its ceiling."""
        plan = self.plan
        burst = plan.burst * burst_part * own_part
        self.quota_level = min(burst, self.quota_level + plan.rate_per_s * own_part * elapsed_s)
        ceiling_level = self.ceiling_level + plan.ceiling_per_s * ceiling_part * elapsed_s
        self.ceiling_level = min(plan.ceiling_burst * ceiling_part, ceiling_level)

    def is_full(self, now_ms: float, ceiling_part: float) -> bool:
        """Return whether the local buckets owe nothing by now; they hold that part of the plan's ceiling."""
        plan = self.plan
        elapsed_s = (now_ms - self.refilled_at_ms) / 1000
        if self.quota_level + plan.rate_per_s / self.spread * elapsed_s < 0:
            return False
        ceiling_per_s = plan.ceiling_per_s * ceiling_part
        if not ceiling_per_s:
            return True
        ceiling_level = self.ceiling_level + ceiling_per_s / self.spread * elapsed_s
        return ceiling_level >= plan.ceiling_burst * ceiling_part / self.spread
