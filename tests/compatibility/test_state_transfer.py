"""Tests of compatibility: state transfer."""

import json

from support.policy_settings import settings
from support.recordings import FIXTURES, check_json

from gateway.gossip import codec as messages
from gateway.interface.actions import SendAttempt
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


def busy_gateway():
    """A gateway with a little of everything: customers, stores with asks, leases, endpoints that failed."""
    settled = settings(gateways=2)
    controller = Controller(settled, 7)
    servers = tuple(
        Endpoint(f"10.0.0.{n}:80", f"z{n % 2}", n % 3, EndpointState.READY, 1.0, 0.0 if n else 9_000.0)
        for n in range(5)
    )
    now, number = 10_000.0, 0
    controller.handle(now, [EndpointUpdate(servers)])
    for step in range(120):
        now += 7.0
        events = [TimerFired("agenda")]
        for name, plan in (("look", "rated"), ("book", "capped"), ("seat", "open"), ("debit", "rated")):
            number += 1
            if (number + step) % 3:
                events.append(
                    RequestArrived(
                        number,
                        f"customer-{number % 5}",
                        name,
                        plan,
                        now + 1400.0,
                        1 + number % 2,
                        number % 2,
                        1 + number % 2,
                    )
                )
        if step % 10 == 0:
            asks = [
                messages.QuotaEntry(
                    messages.EntryKind(kind),
                    messages.customer_tag(f"customer-{kind % 5}"),
                    step + kind,
                    1.0,
                    2.0,
                    0,
                    kind % 3,
                )
                for kind in range(1, 8)
            ]
            seen = [
                messages.observe("10.0.0.3:80", 0, 2.0),
                messages.observe("10.0.0.4:80", 1, float("inf")),
            ]
            events.append(GossipReceived(1, messages.encode(3, 1.5, asks, seen)))
        for action in controller.handle(now, events):
            if isinstance(action, SendAttempt) and action.id % 5:
                result = (
                    AttemptResult.ERROR
                    if action.id % 7 == 0
                    else AttemptResult.OVERLOADED
                    if action.id % 11 == 0
                    else AttemptResult.OK
                )
                controller.handle(
                    now + 3,
                    [
                        AttemptEnded(
                            action.id,
                            0,
                            action.endpoint,
                            3.0 + action.id % 60,
                            result,
                            result is AttemptResult.OK,
                            load=(0.25, 3.0),
                        )
                    ],
                )
    assert not controller.errors
    return controller, now


def test_exported_state():
    controller, now = busy_gateway()
    state = hot_restart.export_state(controller, now + 5).to_json()
    assert state["accounts"] and state["stores"] and state["servers"]
    assert any(row[6] for row in state["stores"]) and any(row[7] for row in state["stores"])
    check_json("state.json", state)


def test_state_of_the_last_version_is_restored():
    state = json.loads((FIXTURES / "state.json").read_text())
    successor = Controller(settings(gateways=2), 8)
    now = 50_000.0
    servers = tuple(
        Endpoint(f"10.0.0.{n}:80", f"z{n % 2}", n % 3, EndpointState.READY, 1.0, 0.0 if n else 9_000.0)
        for n in range(5)
    )
    successor.handle(now, [EndpointUpdate(servers)])
    hot_restart.take_over(successor, now + 1, GatewayState.from_json(state))
    check_json("state-taken-over.json", hot_restart.export_state(successor, now + 2).to_json())
