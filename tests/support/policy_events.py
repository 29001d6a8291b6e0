"""Controllers and events for tests of the policy, and functions that select actions by their type."""

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


def new_controller(**changes):
    """Return a controller whose settings are those of `policy_settings.settings` with these changes."""
    return Controller(settings(**changes), 1)


def arrival(request_id, class_name="look", plan_name="rated", deadline_at_ms=5000.0, customer="c", units=1):
    """Return the event of a request's arrival; gateways 0 to 2 serve its customer and can lead its quota."""
    return RequestArrived(request_id, customer, class_name, plan_name, deadline_at_ms, units, 0, 3)


def attempt_ended(send, result, attempt=0, elapsed_ms=50.0, final=None):
    """Return the event that ends the attempt of the SendAttempt action `send`.

    Without `final`, the event ends the request if the result is OK.
    """
    final = result is AttemptResult.OK if final is None else final
    return AttemptEnded(send.id, attempt, send.endpoint, elapsed_ms, result, final)


def actions_of_type(action_type, actions):
    """Return the actions of a type, or of one of the types in a union."""
    return [action for action in actions if isinstance(action, action_type)]


def sends_in(actions):
    """Return the SendAttempt actions."""
    return actions_of_type(SendAttempt, actions)


def rejections_in(actions):
    """Return the Reject actions."""
    return actions_of_type(Reject, actions)


def failures_in(actions):
    """Return the Fail actions."""
    return actions_of_type(Fail, actions)


def datagrams_in(actions):
    """Return the SendGossip actions."""
    return actions_of_type(SendGossip, actions)


def timers_in(actions):
    """Return the SetTimer actions."""
    return actions_of_type(SetTimer, actions)


def entries_in(datagrams):
    """Decode the datagrams of these SendGossip actions, and return all their quota entries in order."""
    return [entry for datagram in datagrams for entry in codec.decode(datagram.data).entries]


def quota_entry(kind, customer="c", serial=1, units=1.0, demand_per_s=0.0, class_index=0, plan_index=0):
    """Return a quota entry about a customer, as a gossip datagram contains it."""
    return codec.QuotaEntry(
        kind, codec.customer_tag(customer), serial, units, demand_per_s, class_index, plan_index
    )


def leader_of(customer, first=0, spread=3):
    """Return the number of the customer's quota leader among `spread` gateways that start at `first`."""
    return first + codec.customer_tag(customer) % spread


def index_by_name(items):
    """Return a dictionary from the names of plans or classes to these plans or classes."""
    return {item.name: item for item in items}
