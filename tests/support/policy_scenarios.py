"""Support for scenarios of policy tests."""

from gateway.gossip import codec as messages
from gateway.interface.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
)
from gateway.policy.controller import Controller
from support.policy_settings import settings

SIX_ENDPOINTS = EndpointUpdate(
    tuple(Endpoint(f"s{n}", f"z{n % 2}", n % 4, EndpointState.READY) for n in range(6))
)


def gateway(**more):
    return Controller(settings(**more), 1)


def ask(number, name="look", plan="rated", due=5000.0, customer="c", units=1):
    return RequestArrived(number, customer, name, plan, due, units, 0, 3)


def named(rows):
    return {row.name: row for row in rows}


def of(kind, actions):
    return [action for action in actions if isinstance(action, kind)]


def outcome(send, result, attempt=0, took=50.0, final=None):
    final = result is AttemptResult.OK if final is None else final
    return AttemptEnded(send.id, attempt, send.endpoint, took, result, final)


def item(kind, customer="c", serial=1, units=1.0, asked=0.0, class_index=0, plan_index=0):
    return messages.QuotaEntry(
        kind, messages.customer_tag(customer), serial, units, asked, class_index, plan_index
    )


def home_of(customer, first=0, spread=3):
    return first + messages.customer_tag(customer) % spread
