"""Tests of the controller with all its components."""

import math

from support.policy_events import (
    SIX_ENDPOINTS,
    actions_of_type,
    arrival,
    attempt_ended,
    datagrams_in,
    new_controller,
    rejections_in,
    sends_in,
)

from gateway.gossip import codec
from gateway.interface.actions import CancelAttempt, Reject
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


def test_events_about_unknown_classes_plans_and_requests_are_rejected_or_ignored():
    controller = new_controller()
    events_without_effect = [
        EndpointUpdate(()),
        EndpointUpdate((), failed=True),
        TimerFired("never asked"),
        ClientDisconnected(77),
    ]
    controller.handle(1000, events_without_effect)
    unknown = [arrival(1, "no such class"), arrival(2, plan_name="no such plan")]
    assert rejections_in(controller.handle(1001, unknown)) == [Reject(1), Reject(2)]
    expired = arrival(3, deadline_at_ms=900.0)
    assert rejections_in(controller.handle(1002, [expired])) == [Reject(3)]
    controller.handle(1003, [arrival(4)])
    assert 4 in controller.flow.open_requests  # queued, because there is no endpoint
    (send,) = sends_in(controller.handle(1004, [SIX_ENDPOINTS]))
    cancellations = actions_of_type(CancelAttempt, controller.handle(1005, [ClientDisconnected(4)]))
    assert cancellations == [CancelAttempt(4, 0)]
    assert controller.handle(1006, [ClientDisconnected(4), ResponseStarted(4, 0, send.endpoint)]) == []
    ends = [
        attempt_ended(send, AttemptResult.OK),
        attempt_ended(send, AttemptResult.OK),
        attempt_ended(send, AttemptResult.ERROR, 3),
    ]
    controller.handle(1007, ends)
    assert controller.flow.attempts.limiter.in_flight.value == 0 and not controller.flow.open_requests


def test_removed_endpoints_and_timers_of_ended_requests_are_dropped():
    controller = new_controller(gateways=1, gateway_number=0)
    controller.handle(1000, [SIX_ENDPOINTS])
    arrivals = [arrival(n, deadline_at_ms=600_000.0) for n in range(9)]
    sends = sends_in(controller.handle(1001, arrivals))
    controller.handle(1002, [EndpointUpdate(())])
    assert set(controller.directory.table.by_id) == {send.endpoint for send in sends}
    controller.handle(1003, [attempt_ended(send, AttemptResult.OK) for send in sends])
    for n in range(20):
        controller.handle(1100 + 100 * n, [])
    assert not controller.directory.table.by_id and not controller.directory.table.by_tag
    for n in range(1000):
        controller.context.timers.schedule(600_000.0 + n, TimerKind.DEADLINE, 7)
    controller.context.timers.compact(controller.flow.open_requests)
    assert len(controller.context.timers) < 300


def test_exception_in_one_event_does_not_affect_the_other_events_of_the_turn():
    controller = new_controller(gateways=1, gateway_number=0)
    invalid_arrival = RequestArrived(1, "c", "look", "rated", 5000.0, units="many")
    sends = sends_in(controller.handle(1000, [SIX_ENDPOINTS, invalid_arrival, arrival(2)]))
    assert [send.id for send in sends] == [2] and len(controller.errors) == 1
    controller.handle(1001, [])
    assert not controller.errors


FLEET_SIZE = 1024  # number of gateways, and of endpoints


def test_fleet_of_1024_gateways_and_endpoints_is_supported():
    """Nearly all endpoints have a unique tag, and gateways with numbers above 255 send and receive gossip."""
    endpoints = tuple(
        Endpoint(f"s-{n:08x}", f"z{n % 3}", n % 64, EndpointState.READY, 1.0, 0.0 if n % 8 else 900.0)
        for n in range(FLEET_SIZE)
    )
    controller = new_controller(gateways=FLEET_SIZE, gateway_number=0)
    controller.handle(1000, [EndpointUpdate(endpoints)])
    table = controller.directory.table
    assert len(table.by_id) == FLEET_SIZE and len(table.by_tag) > 0.97 * FLEET_SIZE
    chosen = set()
    receivers = set()
    for turn in range(600):
        now = 1004.0 + 4 * turn
        customer = f"{turn % 300:016x}"
        arrivals = [
            RequestArrived(request_id, customer, "look", "rated", now + 900, 1, 4 * turn % FLEET_SIZE, 64)
            for request_id in range(4 * turn, 4 * turn + 4)
        ]
        actions = controller.handle(now, [TimerFired("agenda"), *arrivals])
        sends = sends_in(actions)
        chosen |= {send.endpoint for send in sends}
        receivers |= {datagram.receiver for datagram in datagrams_in(actions)}
        assert all(len(datagram.data) <= codec.MAX_DATAGRAM_BYTES for datagram in datagrams_in(actions))
        controller.handle(now + 1, [attempt_ended(send, AttemptResult.OK) for send in sends])
    assert max(receivers) > 255 and len(receivers) > 100 and len(chosen) >= 6
    data = codec.encode(7, 1.0, [], [codec.observation_of(endpoints[1000].id, 0, math.inf)])
    controller.handle(3410, [GossipReceived(FLEET_SIZE - 1, data), GossipReceived(FLEET_SIZE, data)])
    received_at_ms = controller.pacer.received_at_ms
    assert FLEET_SIZE - 1 in received_at_ms and FLEET_SIZE not in received_at_ms
    assert table.by_id[endpoints[1000].id].failures
    assert not controller.errors


def count_actions(gateways):
    """Return how many actions one gateway in a fleet of `gateways` takes in 2 s of simulated time."""
    controller = new_controller(gateways=gateways, gateway_number=1)
    controller.handle(1000, [SIX_ENDPOINTS])
    total = 0
    for now in range(1004, 3000, 4):
        request = RequestArrived(now, f"c{now}", "look", "rated", now + 1500.0, 1, 0, gateways)
        arrivals = [request] if now % 40 == 0 else []
        total += len(controller.handle(now, [*arrivals, TimerFired("agenda")]))
    return total


def test_actions_per_request_do_not_grow_with_the_number_of_gateways():
    """A gateway in a fleet of fewer than 40 leads most of its customers' quotas, and is no measure."""
    assert count_actions(400) < 1.5 * count_actions(40)
