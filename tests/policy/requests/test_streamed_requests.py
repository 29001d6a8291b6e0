"""Tests of requests whose body is forwarded while it is received."""

import math

import pytest
from support.policy_events import SIX_ENDPOINTS, actions_of_type, new_controller, sends_in

from gateway.interface.actions import CancelAttempt, Fail, ForwardResponse, Reject, SendAttempt
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    BodyReleased,
    DeadlineUpdated,
    RequestArrived,
    RequestCompleted,
    ResponseBegun,
    ResponseStarted,
)

FINAL_ANSWERS = Fail | Reject


def incomplete_arrival(request_id, class_name="look"):
    """Return the arrival at time 0 of a request whose body is still being received."""
    return RequestArrived(request_id, "c", class_name, "open", 1500.0, 1, 0, 3, is_complete=False)


def actions_between(controller, start_ms, end_ms):
    """Return the actions of turns without events, each 4 ms, by the time of the turn."""
    times = range(round(start_ms), round(end_ms), 4)
    return {time_ms: actions for time_ms in times if (actions := controller.handle(float(time_ms), []))}


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


@pytest.mark.parametrize(
    ("result", "answer"),
    [(AttemptResult.NOT_SENT, Reject), (AttemptResult.CANCELLED, Fail), (AttemptResult.RESET, Fail)],
)
def test_held_up_body_is_answered_at_its_deadline_by_what_its_endpoint_may_have_executed(result, answer):
    """Guards against a deadline that does not run while the gateway does not read the body."""
    controller = new_controller()
    (send,) = sends_in(controller.handle(0.0, [SIX_ENDPOINTS, incomplete_arrival(1, "debit")]))
    controller.handle(8.0, [BodyReleased(1), DeadlineUpdated(1, 808.0)])
    by_time = actions_between(controller, 12, 900)
    (cancelled_at_ms,) = [
        time_ms for time_ms, actions in by_time.items() if actions_of_type(CancelAttempt, actions)
    ]
    assert 780 <= cancelled_at_ms <= 808
    assert not [actions for actions in by_time.values() if actions_of_type(FINAL_ANSWERS, actions)]
    ended = AttemptEnded(1, 0, send.endpoint, 800.0, result, False)
    actions = controller.handle(900.0, [ended])
    assert [type(action) for action in actions_of_type(FINAL_ANSWERS, actions)] == [answer]


def test_idempotent_body_that_is_held_up_is_rejected_at_its_deadline():
    controller = new_controller()
    controller.handle(0.0, [SIX_ENDPOINTS, incomplete_arrival(1)])
    controller.handle(8.0, [BodyReleased(1), DeadlineUpdated(1, 808.0)])
    by_time = actions_between(controller, 12, 900)
    answers = {time_ms: actions_of_type(FINAL_ANSWERS, actions) for time_ms, actions in by_time.items()}
    (answered_at_ms,) = [time_ms for time_ms, actions in answers.items() if actions]
    assert 780 <= answered_at_ms <= 808 and answers[answered_at_ms] == [
        Reject(1, answers[answered_at_ms][0].retry_after_ms)
    ]


def test_deadline_of_a_held_up_body_stops_when_its_client_is_writing_again():
    """Guards against slow clients whose bodies are rejected after a short pause of the gateway."""
    controller = new_controller()
    controller.handle(0.0, [SIX_ENDPOINTS, incomplete_arrival(1)])
    controller.handle(8.0, [BodyReleased(1), DeadlineUpdated(1, 808.0)])
    controller.handle(700.0, [DeadlineUpdated(1, math.inf)])
    by_time = actions_between(controller, 704, 3000)
    assert not [a for actions in by_time.values() for a in actions_of_type(FINAL_ANSWERS, actions)]
    controller.handle(3000.0, [DeadlineUpdated(1, 3400.0)])
    by_time = actions_between(controller, 3004, 3500)
    (time_ms,) = [at_ms for at_ms, actions in by_time.items() if actions_of_type(FINAL_ANSWERS, actions)]
    assert 3370 <= time_ms <= 3400


def test_body_whose_deadline_has_passed_when_it_is_complete_is_answered_at_once():
    controller = new_controller()
    controller.handle(0.0, [SIX_ENDPOINTS, incomplete_arrival(1)])
    actions = controller.handle(4000.0, [BodyReleased(1), RequestCompleted(1, 3500.0)])
    assert [type(action) for action in actions_of_type(FINAL_ANSWERS, actions)] == [Reject]


def test_response_that_is_being_buffered_at_the_deadline_is_forwarded():
    """Guards against long responses that are cut off at the deadline while their endpoint writes them."""
    controller = new_controller()
    arrival = RequestArrived(1, "c", "look", "open", 800.0, 1, 0, 3)
    (send,) = sends_in(controller.handle(0.0, [SIX_ENDPOINTS, arrival]))
    controller.handle(100.0, [ResponseBegun(1, 0)])
    by_time = actions_between(controller, 104, 1200)
    forwarded = {
        time_ms: actions_of_type(ForwardResponse, actions)
        for time_ms, actions in by_time.items()
        if actions_of_type(ForwardResponse, actions)
    }
    (time_ms,) = forwarded
    assert 770 <= time_ms <= 800 and forwarded[time_ms] == [ForwardResponse(1, 0)]
    assert not [a for actions in by_time.values() for a in actions_of_type(FINAL_ANSWERS, actions)]
    controller.handle(1200.0, [ResponseStarted(1, 0, send.endpoint)])
    controller.handle(9000.0, [AttemptEnded(1, 0, send.endpoint, 9000.0, AttemptResult.OK, True)])
    assert not controller.flow.open_requests


def test_request_whose_buffered_response_failed_before_the_deadline_is_answered():
    controller = new_controller(max_attempts=1)
    arrival = RequestArrived(1, "c", "look", "open", 800.0, 1, 0, 3)
    (send,) = sends_in(controller.handle(0.0, [SIX_ENDPOINTS, arrival]))
    controller.handle(100.0, [ResponseBegun(1, 0)])
    actions = controller.handle(200.0, [AttemptEnded(1, 0, send.endpoint, 200.0, AttemptResult.RESET, False)])
    assert [type(action) for action in actions_of_type(FINAL_ANSWERS, actions)] == [Reject]


def test_deadline_of_the_arrival_does_not_end_a_body_that_was_completed_before_it():
    """Guards against a timer of an earlier deadline that ends the request at its time."""
    controller = new_controller()
    controller.handle(0.0, [SIX_ENDPOINTS, incomplete_arrival(1)])
    controller.handle(1400.0, [BodyReleased(1), RequestCompleted(1, 2900.0)])
    by_time = actions_between(controller, 1404, 3000)
    (time_ms,) = [at_ms for at_ms, actions in by_time.items() if actions_of_type(FINAL_ANSWERS, actions)]
    assert 2870 <= time_ms <= 2900
