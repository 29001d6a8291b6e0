"""The demand of a customer: the exponentially decaying sum of the units that its requests need."""

from __future__ import annotations

from gateway.policy.decay import decay

# Time constant, in milliseconds, with which the units of earlier requests decay in a customer's demand.
DEMAND_MEMORY_MS = 3000.0


def decayed_demand(demand: float, elapsed_s: float) -> float:
    """Return the part of a demand that remains after `elapsed_s` seconds without requests."""
    return demand * decay(elapsed_s * 1000, DEMAND_MEMORY_MS)


def demand_per_s(demand: float) -> float:
    """Return the constant rate, in units per second, that would sustain a demand."""
    return demand * 1000 / DEMAND_MEMORY_MS
