"""Tests of the fuzzy controller of a class's share of the concurrency limit."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.dispatch.fuzzy_sets import CENTRES
from gateway.policy.dispatch.fuzzy_share import MIN_SHARE, FuzzyShareController

controller_inputs = st.floats(-2, 2).map(lambda value: round(value, 2))
waits_ms = st.lists(st.floats(0, 10_000), max_size=20)


def test_output_has_the_sign_of_the_sum_of_the_inputs_at_the_centres_of_the_sets():
    assert FuzzyShareController.infer(0, 0) == pytest.approx(0, abs=1e-9)
    for error, change in itertools.product(CENTRES, repeat=2):
        value = FuzzyShareController.infer(error, change)
        assert value == pytest.approx(-FuzzyShareController.infer(-error, -change))
        assert (value > 0.1) == (error + change > 0) and (value < -0.1) == (error + change < 0)


@given(controller_inputs, controller_inputs)
@settings(deadline=None)
def test_output_is_bounded_and_antisymmetric(error, change):
    value = FuzzyShareController.infer(error, change)
    assert -1 <= value <= 1
    assert value == pytest.approx(-FuzzyShareController.infer(-error, -change), abs=1e-9)


@given(waits_ms)
@settings(deadline=None)
def test_share_stays_between_its_minimum_and_one(waits_ms):
    controller = FuzzyShareController(500, 0.3)
    for wait_ms in waits_ms:
        controller.update(wait_ms)
        assert MIN_SHARE <= controller.share <= 1


def test_share_grows_only_while_the_mean_wait_exceeds_its_objective():
    controller = FuzzyShareController(500, 0.3)
    for _ in range(10):
        controller.update(100)
    assert controller.share == 0.3
    for _ in range(10):
        controller.update(3000)
    assert controller.share > 0.3
