"""Tests that compare the state which a process hands over with recordings."""

import json

from support.policy_events import sends_in
from support.policy_settings import settings
from support.recordings import FIXTURES, check_json_recording

from gateway.gossip import codec
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    GossipReceived,
    RequestArrived,
    TimerFired,
)
from gateway.policy.controller import Controller
from gateway.policy.state_transfer import hot_restart
from gateway.policy.state_transfer.gateway_state import GatewayState

ENDPOINTS = tuple(
    Endpoint(f"10.0.0.{n}:80", f"z{n % 2}", n % 3, EndpointState.READY, 1.0, 0.0 if n else 9_000.0)
    for n in range(5)
)
CLASSES_AND_PLANS = (("look", "rated"), ("book", "capped"), ("seat", "open"), ("debit", "rated"))


def arrival(request_id, class_name, plan_name, now):
    return RequestArrived(
        request_id,
        f"customer-{request_id % 5}",
        class_name,
        plan_name,
        now + 1400.0,
        1 + request_id % 2,
        request_id % 2,
        1 + request_id % 2,
    )


def datagram(step):
    """Return a datagram with one quota entry of each kind and two observations of endpoints."""
    entries = [
        codec.QuotaEntry(
            codec.EntryKind(kind),
            codec.customer_tag(f"customer-{kind % 5}"),
            step + kind,
            1.0,
            2.0,
            0,
            kind % 3,
        )
        for kind in range(1, 8)
    ]
    observations = [
        codec.observation_of("10.0.0.3:80", 0, 2.0),
        codec.observation_of("10.0.0.4:80", 1, float("inf")),
    ]
    return codec.encode(3, 1.5, entries, observations)


def attempt_ended(send):
    """Return the event that ends an attempt, with a result that depends on the request's id."""
    result = AttemptResult.OK
    if send.id % 7 == 0:
        result = AttemptResult.ERROR
    elif send.id % 11 == 0:
        result = AttemptResult.OVERLOADED
    is_final = result is AttemptResult.OK
    duration_ms = 3.0 + send.id % 60
    return AttemptEnded(send.id, 0, send.endpoint, duration_ms, result, is_final, load=(0.25, 3.0))


def busy_controller():
    """Return a controller whose state has values in all parts, and the time of its last turn."""
    controller = Controller(settings(gateways=2), 7)
    now = 10_000.0
    request_id = 0
    controller.handle(now, [EndpointUpdate(ENDPOINTS)])
    for step in range(120):
        now += 7.0
        events = [TimerFired("agenda")]
        for class_name, plan_name in CLASSES_AND_PLANS:
            request_id += 1
            if (request_id + step) % 3:
                events.append(arrival(request_id, class_name, plan_name, now))
        if step % 10 == 0:
            events.append(GossipReceived(1, datagram(step)))
        for send in sends_in(controller.handle(now, events)):
            if send.id % 5:
                controller.handle(now + 3, [attempt_ended(send)])
    assert not controller.errors
    return controller, now


def test_exported_state_matches_the_recording():
    controller, now = busy_controller()
    state = hot_restart.export_state(controller, now + 5).to_json()
    assert state["accounts"] and state["stores"] and state["servers"]
    assert any(row[6] for row in state["stores"]) and any(row[7] for row in state["stores"])
    check_json_recording("state.json", state)


def test_restored_state_of_the_previous_version_matches_the_recording():
    state = json.loads((FIXTURES / "state.json").read_text())
    successor = Controller(settings(gateways=2), 8)
    now = 50_000.0
    successor.handle(now, [EndpointUpdate(ENDPOINTS)])
    hot_restart.restore_state(successor, now + 1, GatewayState.from_json(state))
    check_json_recording("state-taken-over.json", hot_restart.export_state(successor, now + 2).to_json())
