"""Tests of the detection of endpoints that fail or are slow."""

import pytest
from support.policy_events import SIX_ENDPOINTS, arrival, attempt_ended, new_controller, sends_in

from gateway.gossip import codec
from gateway.interface.events import AttemptResult, Endpoint, EndpointState, EndpointUpdate, GossipReceived


def test_fast_failing_endpoint_does_not_attract_load():
    controller = new_controller()
    controller.handle(1000.0, [SIX_ENDPOINTS])
    sent = []
    for number in range(1, 201):
        now = 1000.0 + 20 * number
        request = arrival(number, deadline_at_ms=now + 4000, customer=f"c{number}")
        for send in sends_in(controller.handle(now, [request])):
            sent.append(send.endpoint)
            fails = send.endpoint == "s1"
            result = AttemptResult.ERROR if fails else AttemptResult.OK
            ended = attempt_ended(send, result, duration_ms=2 if fails else 90)
            for n, retry in enumerate(sends_in(controller.handle(now + 5, [ended]))):
                controller.handle(now + 10, [attempt_ended(retry, AttemptResult.OK, n + 1)])
    assert sent.count("s1") < len(sent) / 15


@pytest.mark.parametrize("result", [AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED])
def test_refusing_endpoint_draws_no_load_and_does_not_cut_the_limit(result):
    """Its fast responses look like low load, and say nothing of the other endpoints."""
    controller = new_controller()
    controller.handle(1000.0, [SIX_ENDPOINTS])
    sent = []
    for number in range(1, 300):
        now = 1000.0 + 10 * number
        request = arrival(number, deadline_at_ms=now + 1400, customer=f"c{number}")
        sends = sends_in(controller.handle(now, [request]))
        while sends:
            send = sends.pop()
            sent.append(send.endpoint)
            attempt = controller.flow.open_requests[send.id].attempts_sent - 1
            outcome = result if send.endpoint == "s2" else AttemptResult.OK
            sends += sends_in(controller.handle(now + 2, [attempt_ended(send, outcome, attempt)]))
    assert sent.count("s2") < len(sent) / 15
    assert controller.flow.attempts.limiter.overload_factor == 1.0


def names_with_one_tag():
    """Return two names of endpoints that have the same tag."""
    by_tag: dict[int, str] = {}
    while True:
        name = f"s{len(by_tag)}"
        other = by_tag.setdefault(codec.endpoint_tag(name), name)
        if other != name:
            return other, name


def test_observation_of_a_shared_tag_affects_neither_endpoint():
    names = (*names_with_one_tag(), "lone")
    controller = new_controller()
    endpoints = tuple(Endpoint(name, "z0", 0, EndpointState.READY) for name in names)
    controller.handle(0.0, [EndpointUpdate(endpoints)])
    observed = [codec.observation_of(name, 0, float("inf")) for name in (names[0], "lone")]
    controller.handle(4.0, [GossipReceived(1, codec.encode(5, 1.0, [], observed))])
    known = controller.directory.table.by_id
    failing = [controller.selector.outliers.failure_rate(known[name], "look") for name in names]
    assert failing[:2] == [0.0, 0.0] and failing[2] > 0
