"""Fuzzy sets on [-1, 1]: five triangles with equidistant centres, each overlapping its neighbours by half."""

from __future__ import annotations

from collections.abc import Sequence

CENTRES = (-1.0, -0.5, 0.0, 0.5, 1.0)  # centres of the triangular sets, at which the degree is 1
OUTPUT_STEPS_PER_SIDE = 20  # integration steps between 0 and 1, and between 0 and -1


def memberships(value: float) -> list[float]:
    """Return the degree, from 0 to 1, to which a value belongs to each of the sets.

    A value outside of [-1, 1] belongs to the sets to the same degrees as the nearer bound.
    """
    bounded = max(-1.0, min(1.0, value))
    return [max(0.0, 1 - abs(bounded - centre) / (CENTRES[1] - CENTRES[0])) for centre in CENTRES]


_OUTPUT_POINTS = [
    step / OUTPUT_STEPS_PER_SIDE for step in range(-OUTPUT_STEPS_PER_SIDE, OUTPUT_STEPS_PER_SIDE + 1)
]
_OUTPUT_MEMBERSHIPS = [(output, memberships(output)) for output in _OUTPUT_POINTS]


def centre_of_gravity(strengths: Sequence[float]) -> float:
    """Return the centre of gravity of the union of all sets, each clipped at its strength.

    This is the defuzzification of max-min inference. Raises ZeroDivisionError if all strengths are 0.
    """
    moment = 0.0
    area = 0.0
    for output, degrees in _OUTPUT_MEMBERSHIPS:
        height = max(map(min, strengths, degrees))
        moment += output * height
        area += height
    return moment / area
