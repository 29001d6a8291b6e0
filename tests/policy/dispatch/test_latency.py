"""Tests of dispatch: latency."""

from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, of

from gateway.interface.actions import (
    SendAttempt,
)


def test_learned_latency_cannot_exclude_a_class():
    """Refused on arrival, nothing is answered, so nothing would ever bring the learned time down."""
    c = gateway()
    c.handle(1000, [SIX_ENDPOINTS])
    c.flow.attempts.latencies.expected_ms["look"] = 5000.0
    assert of(SendAttempt, c.handle(1001, [ask(1)]))
