"""The demand of a customer: a decaying sum of the units that its requests need."""

from __future__ import annotations

from gateway.policy.decay import decay

DEMAND_MEMORY_MS = 3000.0  # time constant of the moving average of a customer's demand


def decayed_demand(demand: float, elapsed_s: float) -> float:
    """Return what remains of a demand after `elapsed_s`."""
    return demand * decay(elapsed_s * 1000, DEMAND_MEMORY_MS)


def demand_per_s(demand: float) -> float:
    """Return the rate, in units per second, that corresponds to a demand."""
    return demand * 1000 / DEMAND_MEMORY_MS
