"""Tests of requests: request flow."""

import pytest
from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, of, outcome

from gateway.interface.actions import (
    Fail,
    Reject,
    SendAttempt,
)
from gateway.interface.events import (
    AttemptResult,
    EndpointUpdate,
    TimerFired,
)


def test_request_is_sent_and_ends():
    c = gateway()
    sends = of(SendAttempt, c.handle(1000, [SIX_ENDPOINTS, ask(1)]))
    assert [send.id for send in sends] == [1]
    assert not of(Fail, c.handle(1050, [outcome(sends[0], AttemptResult.OK)]))
    assert not c.flow.open and not c.flow.attempts.limiter.in_flight.value


def test_request_without_endpoints_is_rejected_before_its_deadline():
    c = gateway()
    c.handle(1000, [EndpointUpdate(()), ask(1, due=1600.0), ask(2, "debit", due=1500)])
    refused = {}
    for now in range(1004, 1700, 4):
        refused.update((action.id, now) for action in of(Reject, c.handle(now, [TimerFired("agenda")])))
    assert set(refused) == {1, 2} and refused[1] <= 1600 and refused[2] <= 1500


@pytest.mark.parametrize("due", [1150.0, 1300.0, 1500.0, 2000.0])
def test_request_is_queued_for_less_than_half_of_its_deadline(due):
    """Seen on a day with a silent worker: of 48 tries refused later than that, 44 were short retries."""
    c = gateway()
    c.flow.attempts.latencies.expected_ms["look"] = (
        20.0  # fast answers: they alone would allow holding it until shortly before its end
    )
    c.handle(1000, [EndpointUpdate(()), ask(1, due=due)])
    now = 1000.0
    while not of(Reject, c.handle(now, [TimerFired("agenda")])):
        now += 4
    assert now - 1000 < 0.5 * (due - 1000)
