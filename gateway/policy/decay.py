"""Exponential decay, by which old observations lose their weight."""

from __future__ import annotations

import math

NEVER_MS = -math.inf  # a point of the clock before any other


def decay(elapsed_ms: float, memory_ms: float) -> float:
    """Return the part that is left after `elapsed_ms` of what fades to 1/e within `memory_ms`."""
    return math.exp(-elapsed_ms / memory_ms)


class CountWithMean:
    """A count and its mean over the time gone by, in which old values fade."""

    def __init__(self, memory_ms: float) -> None:
        """Begin with 0; values fade to 1/e within `memory_ms`."""
        self.value = 0
        self.mean = 0.0
        self._memory_ms = memory_ms
        self._mean_at_ms = 0.0

    def add(self, now_ms: float, change: int) -> None:
        """Let the count be higher by so much from now on."""
        part = -math.expm1((self._mean_at_ms - now_ms) / self._memory_ms)
        self.mean += (self.value - self.mean) * part
        self._mean_at_ms = now_ms
        self.value += change
