"""Tests of quota: accounts."""

from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, named, of, outcome

from gateway.interface.actions import (
    SendAttempt,
)
from gateway.interface.events import (
    AttemptResult,
)
from gateway.policy.quota.accounts import IDLE_RETENTION_MS


def forget(controller, now):
    """Forget customers as if that time had come."""
    controller.context.turn.now_ms = now
    controller.flow.lease_client.accounts.drop_idle(controller.flow.open.values())
    controller.flow.leader.drop_idle()


def test_account_is_dropped_only_when_full_and_without_open_requests():
    """Customers who come once would be kept for ever; one forgotten too early would be granted twice."""
    c = gateway(gateways=1, number=0)
    c.handle(1000, [SIX_ENDPOINTS])
    sends = of(SendAttempt, c.handle(1001, [ask(n) for n in range(12)]))  # all of its burst; one stays open
    c.handle(1002, [outcome(send, AttemptResult.OK) for send in sends[1:]])
    last = len(sends)
    assert last >= 9 and len(c.flow.lease_client.accounts.by_key) == len(c.flow.leader.buckets) == 1
    wait_s = 12 / named(c.settings.plans)["rated"].rate_per_s
    forget(c, 1000 + wait_s * 500)
    assert len(c.flow.lease_client.accounts.by_key) == len(c.flow.leader.buckets) == 1  # half full
    late = 1000 + max(wait_s * 1000, IDLE_RETENTION_MS) + 5000
    while c.context.timers.first_at_ms < 2000:  # what waits for the store is served or gone by then
        c.handle(c.context.timers.first_at_ms, [])
    forget(c, late)
    assert len(c.flow.lease_client.accounts.by_key) == 1  # its request is open
    for request in list(c.flow.open.values()):
        c.flow.close(request)
    forget(c, late + IDLE_RETENTION_MS)
    assert not c.flow.lease_client.accounts.by_key and not c.flow.leader.buckets


def test_request_with_another_plan_in_a_customers_name_has_its_own_account():
    c = gateway(gateways=1, number=0)
    c.handle(1000, [SIX_ENDPOINTS, ask(1, plan="open"), ask(2)])
    assert sorted(account.plan.name for account in c.flow.lease_client.accounts.by_key.values()) == [
        "open",
        "rated",
    ]
