"""Tests of the numbers of attempts, by which their results are reported."""

from support.policy_events import SIX_ENDPOINTS, arrival, attempt_ended, new_controller, sends_in

from gateway.interface.events import AttemptResult


def test_each_attempt_of_a_request_states_its_number():
    controller = new_controller(gateways=1, gateway_number=0)
    numbers = []
    sends = sends_in(controller.handle(1000, [SIX_ENDPOINTS, arrival(1)]))
    while sends:
        (send,) = sends
        numbers.append(send.attempt)
        sends = sends_in(
            controller.handle(1001, [attempt_ended(send, AttemptResult.CONNECT_FAILED, send.attempt)])
        )
    assert numbers == list(range(controller.settings.max_attempts))
