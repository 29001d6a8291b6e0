"""The demand of a customer: the exponentially decaying sum of the units that its requests need."""

from __future__ import annotations

from gateway.policy.decay import decay

# Time constant, in milliseconds, of the exponential decay of a customer's demand.
DEMAND_TIME_CONSTANT_MS = 3000.0


def decayed_demand(demand: float, elapsed_s: float) -> float:
    """Return the part of a demand that remains after `elapsed_s` seconds without requests."""
    return demand * decay(elapsed_s * 1000, DEMAND_TIME_CONSTANT_MS)


def demand_per_s(demand: float) -> float:
    """Return the constant rate of requests, in units per second, that results in this demand."""
    return demand * 1000 / DEMAND_TIME_CONSTANT_MS
