"""The division of a plan's ceiling between the quota leader and the local buckets of all gateways.

A ceiling is a limit on a customer's rate that must never be exceeded. The quota leader and each gateway have
a token bucket with a fixed fraction of the ceiling. The fractions add up to at most 1, so the ceiling holds
without any message between the gateways.
"""

from __future__ import annotations

from gateway.interface.settings import Plan

# Fraction of a ceiling that the quota leader may grant.
LEADER_CEILING_FRACTION = 0.75

# Fraction of a ceiling that all local buckets may admit together, in equal parts.
LOCAL_CEILING_FRACTION = 1 - LEADER_CEILING_FRACTION


def initial_ceiling_level(gateway_age_ms: float, plan: Plan) -> float:
    """Return the initial level of a whole ceiling, of which each new bucket gets its fraction.

    The ceiling counts as empty when the gateway starts, and fills from then on: a full one would grant again
    what was granted before a restart.
    """
    return min(plan.ceiling_burst, plan.ceiling_per_s * gateway_age_ms / 1000)
