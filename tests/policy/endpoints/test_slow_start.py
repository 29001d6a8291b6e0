"""Tests of endpoints: slow start."""

from support.policy_scenarios import SIX_ENDPOINTS, of
from support.policy_settings import settings

from gateway.interface.actions import (
    SendAttempt,
)
from gateway.interface.events import (
    Endpoint,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
)
from gateway.policy.controller import Controller


def test_slow_start_budget_holds_over_hundreds_of_gateways_after_a_stall():
    """Rule 4 counts all gateways together: one send from each of 400 would push it over."""
    cold = Endpoint("cold", "z0", 0, EndpointState.READY, 1.0, 50_000.0)
    count = 0
    for n in range(400):
        c = Controller(settings(number=n, gateways=400, may_gossip=False), n)
        c.handle(50_000, [EndpointUpdate((*SIX_ENDPOINTS.endpoints, cold))])
        burst = [RequestArrived(k, f"c{k}", "look", "rated", 53_400.0, 1, n, 1) for k in range(1, 4)]
        count += sum(send.endpoint == "cold" for send in of(SendAttempt, c.handle(52_000, burst)))
    warm = 400 * 3 / 7
    assert 0 < count < 0.45 * 2 * warm
