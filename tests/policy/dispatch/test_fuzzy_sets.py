"""Tests of the fuzzy sets from which the share of a class is inferred."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.dispatch.fuzzy_sets import CENTRES, centre_of_gravity, memberships

VALUES = st.floats(-1.0, 1.0)


@pytest.mark.parametrize(("index", "centre"), list(enumerate(CENTRES)))
def test_centre_of_a_set_belongs_to_that_set_alone(index, centre):
    assert memberships(centre) == [float(other == index) for other in range(len(CENTRES))]


@settings(deadline=None, max_examples=200)
@given(VALUES)
def test_degrees_of_a_value_add_up_to_1_over_two_neighbours(value):
    degrees = memberships(value)
    positive = [index for index, degree in enumerate(degrees) if degree > 0]
    assert sum(degrees) == pytest.approx(1.0)
    assert len(positive) <= 2
    assert positive[-1] - positive[0] <= 1


@pytest.mark.parametrize(("value", "bound"), [(-7.0, -1.0), (7.0, 1.0), (float("inf"), 1.0)])
def test_value_outside_the_range_counts_as_its_bound(value, bound):
    assert memberships(value) == memberships(bound)


def test_middle_set_has_its_centre_of_gravity_at_0():
    assert centre_of_gravity([0.0, 0.0, 1.0, 0.0, 0.0]) == pytest.approx(0.0)


@settings(deadline=None, max_examples=200)
@given(VALUES)
def test_centre_of_gravity_is_antisymmetric_and_within_the_range(value):
    degrees = memberships(value)
    centre = centre_of_gravity(degrees)
    assert -1.0 < centre < 1.0
    assert centre_of_gravity(degrees[::-1]) == pytest.approx(-centre)
