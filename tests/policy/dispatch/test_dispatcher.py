"""Tests of dispatch: dispatcher."""

from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, of, outcome

from gateway.interface.actions import (
    SendAttempt,
)
from gateway.interface.events import (
    AttemptResult,
)


def test_queue_is_empty_below_the_limit_and_ordered_by_priority_at_it():
    c = gateway(gateways=1)
    c.handle(1000, [SIX_ENDPOINTS])
    calm = [ask(n, customer=f"c{n}") for n in range(1, 200)]
    first = of(SendAttempt, c.handle(1001, calm))
    assert c.flow.attempts.limiter.limit <= len(first) <= c.flow.attempts.limiter.limit + 2
    assert len(c.flow.dispatcher.queue) == 199 - len(first)
    c.handle(1002, [ask(500, "feed", customer="a"), ask(501, "book", customer="b")])
    sent = of(SendAttempt, c.handle(1010, [outcome(send, AttemptResult.OK) for send in first[:3]]))
    assert sent[0].id == 501
