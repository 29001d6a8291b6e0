"""Tests of requests whose body is forwarded while it is received."""

import pytest
from support.policy_events import SIX_ENDPOINTS, actions_of_type, new_controller, sends_in

from gateway.interface.actions import Fail, Reject, SendAttempt
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    BodyReleased,
    RequestArrived,
    RequestCompleted,
    ResponseStarted,
)


def incomplete_arrival(request_id):
    """Return the arrival at time 0 of a request whose body is still being received."""
    return RequestArrived(request_id, "c", "look", "open", 1500.0, 1, 0, 3, is_complete=False)


def test_deadline_of_a_large_request_starts_when_it_is_complete():
    controller = new_controller()
    first = controller.handle(0.0, [SIX_ENDPOINTS, incomplete_arrival(1)])
    assert [send.id for send in sends_in(first)] == [1]
    for step in range(1, 1000):  # 4 s, which is beyond the deadline of the arrival
        actions = controller.handle(step * 4.0, [])
        assert not actions_of_type(SendAttempt | Fail | Reject, actions)
    controller.handle(4000.0, [BodyReleased(1), RequestCompleted(1, 5500.0)])
    late = [action for step in range(1001, 1400) for action in controller.handle(step * 4.0, [])]
    assert [type(action) for action in actions_of_type(SendAttempt | Fail | Reject, late)] == [Reject]


@pytest.mark.parametrize(("released", "expected"), [(False, SendAttempt), (True, Reject)])
def test_request_is_retried_only_while_its_body_is_not_released(released, expected):
    controller = new_controller()
    (send,) = sends_in(controller.handle(0.0, [SIX_ENDPOINTS, incomplete_arrival(1)]))
    ended = AttemptEnded(1, 0, send.endpoint, 1.0, AttemptResult.CONNECT_FAILED, False)
    actions = controller.handle(4.0, [BodyReleased(1), ended] if released else [ended])
    assert [type(action) for action in actions_of_type(SendAttempt | Reject, actions)] == [expected]


def test_streamed_request_counts_as_in_flight_only_while_its_endpoint_executes_it():
    controller = new_controller()
    (send,) = sends_in(controller.handle(0.0, [SIX_ENDPOINTS, incomplete_arrival(1)]))
    in_flight = controller.flow.attempts.limiter.in_flight
    table = controller.directory.table
    assert in_flight.value == 0 and not any(record.in_flight for record in table.by_id.values())
    controller.handle(4.0, [RequestCompleted(1, 1504.0)])
    assert in_flight.value == 1 and table.by_id[send.endpoint].in_flight == 1
    controller.handle(8.0, [ResponseStarted(1, 0, send.endpoint)])
    assert in_flight.value == 0
    controller.handle(12.0, [AttemptEnded(1, 0, send.endpoint, 8.0, AttemptResult.OK, True)])
    assert in_flight.value == 0 and table.by_id[send.endpoint].in_flight == 0
    assert not [*controller.flow.attempts.table]
