"""Tests of the limit of attempts in flight."""

import random

import pytest
from support.policy_settings import settings

from gateway.policy.context import PolicyContext
from gateway.policy.dispatch.concurrency_limit import ConcurrencyLimiter


def new_limiter(gateways):
    """Return the concurrency limiter of a gateway in such a fleet, and the turn that holds its time."""
    context = PolicyContext(settings(gateways=gateways), 1)
    return ConcurrencyLimiter(context), context.turn


def test_concurrency_limit_is_divided_over_gateways():
    few, few_turn = new_limiter(1)
    many, many_turn = new_limiter(10)
    few.advance_period(20)
    many.advance_period(20)
    assert few.limit > 5 * many.limit
    few.on_response(1000)
    many.on_response(1000)
    few_turn.now_ms = many_turn.now_ms = 100
    few.advance_period(20)
    many.advance_period(20)
    assert few.limit > 5 * many.limit


def test_limit_below_one_permits_random_but_not_steady_excess():
    limiter, turn = new_limiter(400)
    limiter.advance_period(40)
    assert limiter.limit < 2 <= limiter.available_attempts()
    limiter.add_in_flight(3)
    for now_ms in range(100, 3000, 100):
        turn.now_ms = now_ms
        limiter.advance_period(40)
    assert limiter.available_attempts() < 0


def poisson(rng, mean):
    """Return a random count whose standard deviation is the root of its mean."""
    count = 0
    elapsed = rng.expovariate(1)
    while elapsed < mean:
        count += 1
        elapsed += rng.expovariate(1)
    return count


@pytest.mark.parametrize("gateways", [1, 3, 40])
def test_variance_of_a_small_share_does_not_hold_back_more_than_the_fleets(gateways):
    """A fleet at four fifths of its limit of 240 seldom fills one gateway's share of it by chance."""
    limiter, _ = new_limiter(gateways)
    rng = random.Random(5)
    limiter.advance_period(60)
    limiter.limit = 240 / gateways
    limiter.in_flight.mean = 0.8 * limiter.limit
    full = 0
    for _ in range(4000):
        limiter.in_flight.value = poisson(rng, limiter.in_flight.mean)
        full += limiter.available_attempts() < 1
    assert full <= 0.04 * 4000
    limiter.in_flight.value = 0
    assert limiter.available_attempts() <= limiter.limit + 2 * limiter.limit**0.5
    assert gateways > 1 or limiter.available_attempts() < limiter.limit + 2
