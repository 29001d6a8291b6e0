"""The arithmetic of token buckets."""

from __future__ import annotations

import math


def refilled_level(level: float, rate_per_s: float, elapsed_s: float, capacity: float = math.inf) -> float:
    """Return the level of a bucket that has filled at `rate_per_s` for `elapsed_s`, up to its capacity."""
    return min(capacity, level + rate_per_s * elapsed_s)
