"""Tests of the refill of token buckets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.quota.token_bucket import refilled_level

LEVELS = st.floats(-1e6, 1e6)
POSITIVE = st.floats(0.0, 1e6)


@pytest.mark.parametrize(
    ("level", "rate_per_s", "elapsed_s", "capacity", "expected"),
    [
        (1.0, 2.0, 3.0, 100.0, 7.0),
        (1.0, 2.0, 3.0, 5.0, 5.0),
        (-4.0, 2.0, 1.0, 5.0, -2.0),
        (1.0, 0.0, 3.0, 5.0, 1.0),
    ],
)
def test_bucket_fills_at_its_rate_up_to_its_capacity(level, rate_per_s, elapsed_s, capacity, expected):
    assert refilled_level(level, rate_per_s, elapsed_s, capacity) == expected


def test_bucket_without_a_capacity_fills_without_limit():
    assert refilled_level(0.0, 1e6, 1e3) == 1e9


@settings(deadline=None, max_examples=100)
@given(LEVELS, POSITIVE, POSITIVE, POSITIVE)
def test_refill_never_exceeds_the_capacity_and_never_lowers_a_level_below_it(
    level, rate_per_s, elapsed_s, capacity
):
    refilled = refilled_level(level, rate_per_s, elapsed_s, capacity)
    assert refilled <= capacity
    assert refilled >= min(level, capacity)
