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
    """Return the units of a plan's ceiling that have accrued since the gateway started.

    The caller multiplies them by the fraction of the ceiling that belongs to its new bucket. The level is 0
    at the start of the gateway and then rises to the ceiling's burst. With a full bucket at the start, units
    that were granted before a restart could be granted again.
    """
    return min(plan.ceiling_burst, plan.ceiling_per_s * gateway_age_ms / 1000)
