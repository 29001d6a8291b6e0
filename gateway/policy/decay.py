"""Exponential decay, which reduces the weight of observations with their age."""

from __future__ import annotations

import math

NEVER_MS = -math.inf  # time of an event that has not happened; it is earlier than any other time


def decay(elapsed_ms: float, time_constant_ms: float) -> float:
    """Return the fraction of a value that remains after `elapsed_ms`; after one time constant it is 1/e."""
    return math.exp(-elapsed_ms / time_constant_ms)


class CountWithMean:
    """A count and its mean over time, in which older values of the count lose weight exponentially."""

    def __init__(self, time_constant_ms: float) -> None:
        """Start with a count of 0 and a mean of 0 at time 0."""
        self.value = 0
        self.mean = 0.0
        self._time_constant_ms = time_constant_ms
        self._mean_at_ms = 0.0

    def add(self, now_ms: float, change: int) -> None:
        """Update the mean up to `now_ms`, then add `change` to the count.

        `now_ms` must not be earlier than in the previous call.
        """
        weight = -math.expm1((self._mean_at_ms - now_ms) / self._time_constant_ms)
        self.mean += (self.value - self.mean) * weight
        self._mean_at_ms = now_ms
        self.value += change
