"""Tests of the dispatch queue."""

from support.policy_events import SIX_ENDPOINTS, arrival, attempt_ended, new_controller, sends_in

from gateway.interface.events import AttemptResult


def test_requests_are_queued_at_the_concurrency_limit_and_dispatched_by_priority():
    controller = new_controller(gateways=1)
    controller.handle(1000, [SIX_ENDPOINTS])
    arrivals = [arrival(n, customer=f"c{n}") for n in range(1, 200)]
    first = sends_in(controller.handle(1001, arrivals))
    limit = controller.flow.attempts.limiter.limit
    assert limit <= len(first) <= limit + 2
    assert len(controller.flow.dispatcher.queue) == 199 - len(first)
    controller.handle(1002, [arrival(500, "feed", customer="a"), arrival(501, "book", customer="b")])
    sent = sends_in(controller.handle(1010, [attempt_ended(send, AttemptResult.OK) for send in first[:3]]))
    assert sent[0].id == 501
