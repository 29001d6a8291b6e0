"""Tests of the limit on attempts in flight."""

import random

import pytest
from support.policy_settings import settings

from gateway.policy.context import PolicyContext
from gateway.policy.dispatch.concurrency_limit import ConcurrencyLimiter


def new_limiter(gateways):
    """Return the limiter of one gateway in a fleet of `gateways`, and the turn that provides its time."""
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


def test_limit_below_two_attempts_may_be_exceeded_briefly_but_not_steadily():
    limiter, turn = new_limiter(400)
    limiter.advance_period(40)
    assert limiter.limit < 2 <= limiter.available_attempts()
    limiter.add_in_flight(3)
    for now_ms in range(100, 3000, 100):
        turn.now_ms = now_ms
        limiter.advance_period(40)
    assert limiter.available_attempts() < 0


def draw_poisson(rng, mean):
    """Return a random count with a Poisson distribution, whose standard deviation is the root of the mean."""
    count = 0
    elapsed = rng.expovariate(1)
    while elapsed < mean:
        count += 1
        elapsed += rng.expovariate(1)
    return count


@pytest.mark.parametrize("gateways", [1, 3, 40])
def test_random_variation_seldom_exhausts_the_limit_of_one_gateway(gateways):
    """While the fleet uses four fifths of its limit of 240, a gateway rarely fills its share by chance."""
    limiter, _ = new_limiter(gateways)
    rng = random.Random(5)
    limiter.advance_period(60)
    limiter.limit = 240 / gateways
    limiter.in_flight.mean = 0.8 * limiter.limit
    full = 0
    for _ in range(4000):
        limiter.in_flight.value = draw_poisson(rng, limiter.in_flight.mean)
        full += limiter.available_attempts() < 1
    assert full <= 0.04 * 4000
    limiter.in_flight.value = 0
    assert limiter.available_attempts() <= limiter.limit + 2 * limiter.limit**0.5
    assert gateways > 1 or limiter.available_attempts() < limiter.limit + 2
