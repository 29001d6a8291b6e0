"""Tests of exponential decay, and of the count with a decaying mean."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.decay import CountWithMean, decay

DURATIONS = st.floats(0.0, 1e5)


def test_value_decays_to_1_over_e_in_one_time_constant():
    assert decay(0.0, 1000.0) == 1.0
    assert decay(1000.0, 1000.0) == pytest.approx(1 / math.e)


@settings(deadline=None, max_examples=100)
@given(DURATIONS, DURATIONS)
def test_decay_over_two_durations_is_the_product_of_both(first_ms, second_ms):
    both = decay(first_ms, 1000.0) * decay(second_ms, 1000.0)
    assert decay(first_ms + second_ms, 1000.0) == pytest.approx(both, abs=1e-12)


def test_mean_of_a_constant_count_approaches_the_count():
    count = CountWithMean(1000.0)
    count.add(0.0, 4)
    assert count.value == 4
    assert count.mean == 0.0
    count.add(1000.0, 0)
    assert count.mean == pytest.approx(4 * (1 - 1 / math.e))
    count.add(60_000.0, 0)
    assert count.mean == pytest.approx(4.0)


@settings(deadline=None, max_examples=100)
@given(st.lists(st.tuples(st.floats(0.0, 1000.0), st.integers(0, 9)), max_size=20))
def test_mean_stays_between_0_and_the_greatest_count(steps):
    count = CountWithMean(500.0)
    now_ms = 0.0
    greatest = 0
    for elapsed_ms, value in steps:
        now_ms += elapsed_ms
        count.add(now_ms, value - count.value)
        greatest = max(greatest, value)
        assert -1e-9 <= count.mean <= greatest + 1e-9
