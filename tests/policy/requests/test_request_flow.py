"""Tests of a request from its arrival to its final answer."""

import pytest
from support.policy_events import (
    SIX_ENDPOINTS,
    arrival,
    attempt_ended,
    failures_in,
    new_controller,
    rejections_in,
    sends_in,
)

from gateway.interface.events import AttemptResult, EndpointUpdate, TimerFired


def test_request_is_sent_and_closed_by_its_successful_attempt():
    controller = new_controller()
    sends = sends_in(controller.handle(1000, [SIX_ENDPOINTS, arrival(1)]))
    assert [send.id for send in sends] == [1]
    assert not failures_in(controller.handle(1050, [attempt_ended(sends[0], AttemptResult.OK)]))
    assert not controller.flow.open_requests and not controller.flow.attempts.limiter.in_flight.value


def test_request_without_endpoints_is_rejected_before_its_deadline():
    controller = new_controller()
    arrivals = [arrival(1, deadline_at_ms=1600.0), arrival(2, "debit", deadline_at_ms=1500)]
    controller.handle(1000, [EndpointUpdate(()), *arrivals])
    rejected = {}
    for now in range(1004, 1700, 4):
        rejections = rejections_in(controller.handle(now, [TimerFired("agenda")]))
        rejected.update((rejection.id, now) for rejection in rejections)
    assert set(rejected) == {1, 2} and rejected[1] <= 1600 and rejected[2] <= 1500


@pytest.mark.parametrize("deadline_at_ms", [1150.0, 1300.0, 1500.0, 2000.0])
def test_request_is_queued_for_less_than_half_of_the_time_to_its_deadline(deadline_at_ms):
    """The expected latency of 20 ms alone would allow queueing almost until the deadline."""
    controller = new_controller()
    controller.flow.attempts.latencies.expected_ms["look"] = 20.0
    controller.handle(1000, [EndpointUpdate(()), arrival(1, deadline_at_ms=deadline_at_ms)])
    now = 1000.0
    while not rejections_in(controller.handle(now, [TimerFired("agenda")])):
        now += 4
    assert now - 1000 < 0.5 * (deadline_at_ms - 1000)
