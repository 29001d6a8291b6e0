"""Tests of the expected latencies of request classes."""

from support.policy_events import SIX_ENDPOINTS, arrival, new_controller, sends_in


def test_request_is_dispatched_despite_an_expected_latency_beyond_its_deadline():
    """If every request were rejected on arrival, no response would ever lower the expected latency."""
    controller = new_controller()
    controller.handle(1000, [SIX_ENDPOINTS])
    controller.flow.attempts.latencies.expected_ms["look"] = 5000.0
    assert sends_in(controller.handle(1001, [arrival(1)]))
