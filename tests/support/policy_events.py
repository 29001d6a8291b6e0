"""Controllers for tests of the decisions, and the events and actions that the tests use most."""

from gateway.gossip import codec
from gateway.interface.actions import Fail, Reject, SendAttempt, SendGossip, SetTimer
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


def new_controller(**more):
    """Return a controller with these changes of the settings."""
    return Controller(settings(**more), 1)


def arrival(request_id, class_name="look", plan_name="rated", deadline_at_ms=5000.0, customer="c", units=1):
    """Return the arrival of a request whose customer's quota leader is one of the first three gateways."""
    return RequestArrived(request_id, customer, class_name, plan_name, deadline_at_ms, units, 0, 3)


def attempt_ended(send, result, attempt=0, elapsed_ms=50.0, final=None):
    """Return the end of the attempt that the action sent; only a success is final unless said otherwise."""
    final = result is AttemptResult.OK if final is None else final
    return AttemptEnded(send.id, attempt, send.endpoint, elapsed_ms, result, final)


def actions_of_type(kind, actions):
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def sends_in(actions):
    """Return the actions that send an attempt."""
    return actions_of_type(SendAttempt, actions)


def rejections_in(actions):
    """Return the actions that reject a request."""
    return actions_of_type(Reject, actions)


def failures_in(actions):
    """Return the actions that fail a request."""
    return actions_of_type(Fail, actions)


def datagrams_in(actions):
    """Return the actions that send a datagram."""
    return actions_of_type(SendGossip, actions)


def timers_in(actions):
    """Return the actions that request a wake-up."""
    return actions_of_type(SetTimer, actions)


def entries_in(datagrams):
    """Return the quota entries of all datagrams."""
    return [entry for datagram in datagrams for entry in codec.decode(datagram.data).entries]


def quota_entry(kind, customer="c", serial=1, units=1.0, demand_per_s=0.0, class_index=0, plan_index=0):
    """Return an entry of a datagram about a customer's quota."""
    return codec.QuotaEntry(
        kind, codec.customer_tag(customer), serial, units, demand_per_s, class_index, plan_index
    )


def leader_of(customer, first=0, spread=3):
    """Return the number of the gateway that leads the customer's quota."""
    return first + codec.customer_tag(customer) % spread


def index_by_name(rows):
    """Return plans or classes by their names."""
    return {row.name: row for row in rows}
