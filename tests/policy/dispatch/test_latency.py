"""Tests of the latencies that are expected of attempts."""

from support.policy_events import SIX_ENDPOINTS, arrival, new_controller, sends_in


def test_learned_latency_cannot_exclude_a_class():
    """If every request were rejected on arrival, no response would ever lower the expected latency."""
    controller = new_controller()
    controller.handle(1000, [SIX_ENDPOINTS])
    controller.flow.attempts.latencies.expected_ms["look"] = 5000.0
    assert sends_in(controller.handle(1001, [arrival(1)]))
