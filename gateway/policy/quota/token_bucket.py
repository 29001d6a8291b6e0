"""The refill of token buckets."""

from __future__ import annotations

import math


def refilled_level(level: float, rate_per_s: float, elapsed_s: float, capacity: float = math.inf) -> float:
    """Return a bucket's level after it has filled for `elapsed_s` seconds, which is at most `capacity`."""
    return min(capacity, level + rate_per_s * elapsed_s)
