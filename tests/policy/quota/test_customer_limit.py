"""Tests of the limit on the customers for which a gateway keeps state."""

import pytest
from support.policy_events import SIX_ENDPOINTS, arrival, new_controller, rejections_in

from gateway.gossip.codec import EntryKind

MAX_CUSTOMERS = 40


def controller_with_limit(**changes):
    """Return a controller that may keep MAX_CUSTOMERS customers, and that knows endpoints."""
    controller = new_controller(**changes)
    controller.limit_customers(MAX_CUSTOMERS)
    controller.handle(0.0, [SIX_ENDPOINTS])
    return controller


def test_customers_beyond_the_limit_are_rejected_while_no_account_can_be_dropped():
    """Guards against accounts that grow with each new name."""
    controller = controller_with_limit()
    events = [arrival(number, customer=f"{number:016x}") for number in range(1, MAX_CUSTOMERS + 11)]
    actions = controller.handle(4.0, events)
    rejected = {action.id for action in rejections_in(actions)}
    assert rejected >= set(range(MAX_CUSTOMERS + 1, MAX_CUSTOMERS + 11))
    assert all(action.retry_after_ms > 0 for action in rejections_in(actions))
    accounts = controller.flow.lease_client.accounts.by_key
    assert len(accounts) == MAX_CUSTOMERS
    assert len(controller.flow.leader.buckets) <= MAX_CUSTOMERS


def test_known_customer_is_admitted_although_the_limit_is_reached():
    controller = controller_with_limit()
    controller.handle(4.0, [arrival(n, customer=f"{n:016x}") for n in range(1, MAX_CUSTOMERS + 1)])
    actions = controller.handle(8.0, [arrival(100, customer=f"{1:016x}")])
    assert 100 not in {action.id for action in rejections_in(actions)}


@pytest.mark.parametrize("rounds", [5, 50])
def test_accounts_stay_within_the_limit_and_a_frequent_customer_keeps_its_account(rounds):
    controller = controller_with_limit()
    accounts = controller.flow.lease_client.accounts
    request_id = 0
    frequent_keys = set()
    for step in range(rounds * 10):
        now_ms = 4.0 + step * 100.0
        customers = ["frequent", "frequent", *(f"new-{step}-{n}" for n in range(20))]
        events = []
        for customer in customers:
            request_id += 1
            events.append(arrival(request_id, customer=customer, deadline_at_ms=now_ms + 50.0))
        controller.handle(now_ms, events)
        assert len(accounts.by_key) <= MAX_CUSTOMERS
        frequent_keys |= {key for key in accounts.by_key if key.customer == "frequent"}
    assert {key for key in accounts.by_key if key.customer == "frequent"} == frequent_keys


def test_lease_request_for_a_customer_beyond_the_limit_is_denied():
    controller = controller_with_limit(gateways=1)
    sent = []
    leader = controller.flow.leader
    leader._send = lambda gateway, entry, incarnation: sent.append(entry.kind)
    controller.limit_customers(0)
    events = [arrival(1, customer="a")]
    controller.flow.lease_client.accounts._context.max_customers = 0
    actions = controller.handle(4.0, events)
    assert [action.id for action in rejections_in(actions)] == [1]
    assert EntryKind.GRANT not in sent and not leader.buckets
