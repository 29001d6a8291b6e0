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
            ended = attempt_ended(send, result, elapsed_ms=2 if fails else 90)
            for n, retry in enumerate(sends_in(controller.handle(now + 5, [ended]))):
                controller.handle(now + 10, [attempt_ended(retry, AttemptResult.OK, n + 1)])
    assert sent.count("s1") < len(sent) / 15


@pytest.mark.parametrize("result", [AttemptResult.OVERLOADED, AttemptResult.CONNECT_FAILED])
def test_refusing_endpoint_attracts_no_load_and_does_not_reduce_the_limit(result):
    """Fast refusals could be taken for low load, and the overload of one endpoint for that of the fleet."""
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


def endpoint_ids_with_equal_tags():
    """Return the ids of two endpoints that have the same tag."""
    by_tag: dict[int, str] = {}
    while True:
        endpoint_id = f"s{len(by_tag)}"
        earlier_id = by_tag.setdefault(codec.endpoint_tag(endpoint_id), endpoint_id)
        if earlier_id != endpoint_id:
            return earlier_id, endpoint_id


def test_observation_of_a_shared_tag_affects_neither_endpoint():
    ids = (*endpoint_ids_with_equal_tags(), "lone")
    controller = new_controller()
    endpoints = tuple(Endpoint(endpoint_id, "z0", 0, EndpointState.READY) for endpoint_id in ids)
    controller.handle(0.0, [EndpointUpdate(endpoints)])
    observed = [codec.observation_of(endpoint_id, 0, float("inf")) for endpoint_id in (ids[0], "lone")]
    controller.handle(4.0, [GossipReceived(1, codec.encode(5, 1.0, [], observed))])
    records = controller.directory.table.by_id
    failure_rates = [
        controller.selector.outliers.failure_rate(records[endpoint_id], "look") for endpoint_id in ids
    ]
    assert failure_rates[:2] == [0.0, 0.0] and failure_rates[2] > 0
