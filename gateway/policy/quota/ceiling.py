"""The division of a plan's ceiling between the quota leader and the local buckets of all gateways.

A ceiling is a limit that must never be exceeded. Each holder has a token bucket with its fraction of the
ceiling, so that the fractions together stay below it without any message.
"""

from __future__ import annotations

from gateway.interface.settings import Plan

LEADER_CEILING_FRACTION = 0.75  # fraction of a ceiling that the quota leader may grant
LOCAL_CEILING_FRACTION = 1 - LEADER_CEILING_FRACTION  # fraction that is split evenly over the gateways


def initial_ceiling_level(gateway_age_ms: float, plan: Plan) -> float:
    """Return the level of an undivided ceiling for a customer that has no bucket yet.

    Ceilings are empty when the gateway starts, so that a restart grants nothing twice, and fill from then on.
    """
    return min(plan.ceiling_burst, plan.ceiling_per_s * gateway_age_ms / 1000)
