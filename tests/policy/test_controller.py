"""Tests of policy: controller."""

import math

from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, of, outcome

from gateway.gossip import codec as messages
from gateway.interface.actions import (
    CancelAttempt,
    Reject,
    SendAttempt,
    SendGossip,
)
from gateway.interface.events import (
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    GossipReceived,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from gateway.policy.timers import TimerKind


def test_unusual_events_are_handled():
    c = gateway()
    c.handle(
        1000,
        [
            EndpointUpdate(()),
            EndpointUpdate((), failed=True),
            TimerFired("never asked"),
            ClientDisconnected(77),
        ],
    )
    assert of(Reject, c.handle(1001, [ask(1, "no such class"), ask(2, plan="no such plan")])) == [
        Reject(1),
        Reject(2),
    ]
    assert of(Reject, c.handle(1002, [ask(3, due=900.0)])) == [Reject(3)]
    c.handle(1003, [ask(4)])  # no servers: held
    assert 4 in c.flow.open
    (send,) = of(SendAttempt, c.handle(1004, [SIX_ENDPOINTS]))
    assert of(CancelAttempt, c.handle(1005, [ClientDisconnected(4)])) == [CancelAttempt(4, 0)]
    assert c.handle(1006, [ClientDisconnected(4), ResponseStarted(4, 0, send.endpoint)]) == []
    c.handle(
        1007,
        [
            outcome(send, AttemptResult.OK),
            outcome(send, AttemptResult.OK),
            outcome(send, AttemptResult.ERROR, 3),
        ],
    )
    assert c.flow.attempts.limiter.in_flight.value == 0 and not c.flow.open


def test_removed_endpoints_and_timers_of_ended_requests_are_dropped():
    c = gateway(gateways=1, number=0)
    c.handle(1000, [SIX_ENDPOINTS])
    sends = of(SendAttempt, c.handle(1001, [ask(n, due=600_000.0) for n in range(9)]))
    c.handle(1002, [EndpointUpdate(())])
    assert set(c.directory.table.by_id) == {send.endpoint for send in sends}
    c.handle(1003, [outcome(send, AttemptResult.OK) for send in sends])
    for n in range(20):
        c.handle(1100 + 100 * n, [])
    assert not c.directory.table.by_id and not c.directory.table.by_tag
    for n in range(1000):
        c.context.timers.schedule(600_000.0 + n, TimerKind.DEADLINE, 7)
    c.context.timers.compact(c.flow.open)
    assert len(c.context.timers) < 300


def test_failing_event_does_not_lose_the_others_of_its_turn():
    c = gateway(gateways=1, number=0)
    odd = RequestArrived(1, "c", "look", "rated", 5000.0, units="many")
    sends = of(SendAttempt, c.handle(1000, [SIX_ENDPOINTS, odd, ask(2)]))
    assert [send.id for send in sends] == [2] and len(c.errors) == 1
    c.handle(1001, [])
    assert not c.errors


MANY = 1024  # gateways, and servers


def test_thousand_gateways_and_endpoints_are_handled():
    """Each server is known, nearly each is found by its tag, and each gateway is heard and can be told."""
    servers = tuple(
        Endpoint(f"s-{n:08x}", f"z{n % 3}", n % 64, EndpointState.READY, 1.0, 0.0 if n % 8 else 900.0)
        for n in range(MANY)
    )
    c = gateway(gateways=MANY, number=0)
    sent, told, number = set(), set(), 0
    c.handle(1000, [EndpointUpdate(servers)])
    assert len(c.directory.table.by_id) == MANY and len(c.directory.table.by_tag) > 0.97 * MANY
    for turn in range(600):
        now = 1004.0 + 4 * turn
        arrivals = [
            RequestArrived(
                number + n, f"{turn % 300:016x}", "look", "rated", now + 900, 1, 4 * turn % MANY, 64
            )
            for n in range(4)
        ]
        number += 4
        actions = c.handle(now, [TimerFired("agenda"), *arrivals])
        sent |= {send.endpoint for send in of(SendAttempt, actions)}
        told |= {tell.receiver for tell in of(SendGossip, actions)}
        assert all(len(tell.data) <= messages.MAX_BYTES for tell in of(SendGossip, actions))
        c.handle(now + 1, [outcome(send, AttemptResult.OK) for send in of(SendAttempt, actions)])
    assert max(told) > 255 and len(told) > 100 and len(sent) >= 6
    news = messages.encode(7, 1.0, [], [messages.observe(servers[1000].id, 0, math.inf)])
    c.handle(3410, [GossipReceived(MANY - 1, news), GossipReceived(MANY, news)])
    assert MANY - 1 in c.pace.received_at_ms and MANY not in c.pace.received_at_ms
    assert c.directory.table.by_id[servers[1000].id].failures
    assert not c.errors


def test_work_for_one_request_does_not_grow_with_the_fleet():
    """Counted: actions for the same day at 40 and at 400 gateways. (Few gateways are homes of many customers
    themselves and need no messages, so they are no measure.)"""
    counts = []
    for gateways in (40, 400):
        c = gateway(gateways=gateways, number=1)
        c.handle(1000, [SIX_ENDPOINTS])
        total = 0
        for now in range(1004, 3000, 4):
            came = RequestArrived(now, f"c{now}", "look", "rated", now + 1500.0, 1, 0, gateways)
            total += len(c.handle(now, [*([came] if now % 40 == 0 else []), TimerFired("agenda")]))
        counts.append(total)
    assert counts[1] < 1.5 * counts[0]
