"""Tests of dispatch: concurrency limit."""

import random

import pytest
from support.policy_settings import settings

from gateway.policy.context import PolicyContext
from gateway.policy.dispatch.concurrency_limit import ConcurrencyLimiter


def limiter(gateways):
    """A concurrency limiter, and the turn that has its time."""
    context = PolicyContext(settings(gateways=gateways), 1)
    return ConcurrencyLimiter(context), context.turn


def test_concurrency_limit_is_divided_over_gateways():
    (few, few_turn), (many, many_turn) = limiter(1), limiter(10)
    for window in (few, many):
        window.step(20)
    assert few.limit > 5 * many.limit
    few.on_answered(1000)
    many.on_answered(1000)
    few_turn.now_ms = many_turn.now_ms = 100
    few.step(20)
    many.step(20)
    assert few.limit > 5 * many.limit


def test_limit_below_one_permits_random_but_not_steady_excess():
    """At one request a second a count scatters: held to its mean, much would wait for nothing."""
    window, turn = limiter(400)
    window.step(40)
    assert window.limit < 2 <= window.available()
    window.count(3)
    for now in range(100, 3000, 100):
        turn.now_ms = now
        window.step(40)
    assert window.available() < 0


@pytest.mark.parametrize("gateways", [1, 3, 40])
def test_variance_of_a_small_share_does_not_hold_back_more_than_the_fleets(gateways):
    """Seen in a fleet of 40 gateways and 60 servers: a part of 6 was full while the fleet's cap was not.
    Drawn here: counts of a fleet at four fifths of its cap of 240, evenly spread, and how many lack room."""
    (window, _), rng, full = limiter(gateways), random.Random(5), 0
    window.step(60)
    window.limit = 240 / gateways
    window.in_flight.mean = 0.8 * window.limit
    for _ in range(4000):
        window.in_flight.value, gone = 0, rng.expovariate(1)
        while gone < window.in_flight.mean:  # a count that scatters by its root
            window.in_flight.value, gone = window.in_flight.value + 1, gone + rng.expovariate(1)
        full += window.available() < 1
    assert full <= 0.04 * 4000
    window.in_flight.value = 0
    assert window.available() <= window.limit + 2 * window.limit**0.5  # and no more than such scatter
    assert gateways > 1 or window.available() < window.limit + 2
