"""Tests of the customers' accounts at a gateway, and of when they are dropped."""

from support.policy_events import (
    SIX_ENDPOINTS,
    arrival,
    attempt_ended,
    index_by_name,
    new_controller,
    sends_in,
)

from gateway.interface.events import AttemptResult
from gateway.policy.quota.accounts import IDLE_RETENTION_MS


def drop_idle_state(controller, now):
    """Drop the idle accounts and leader's buckets of a controller at the time `now`, in milliseconds."""
    controller.context.turn.now_ms = now
    controller.flow.lease_client.accounts.drop_idle_accounts(controller.flow.open_requests.values())
    controller.flow.leader.drop_idle_buckets()


def test_account_is_dropped_only_if_full_and_without_open_requests():
    controller = new_controller(gateways=1, gateway_number=0)
    controller.handle(1000, [SIX_ENDPOINTS])
    accounts = controller.flow.lease_client.accounts.by_key
    buckets = controller.flow.leader.buckets
    sends = sends_in(controller.handle(1001, [arrival(n) for n in range(12)]))  # the burst of the quota
    controller.handle(1002, [attempt_ended(send, AttemptResult.OK) for send in sends[1:]])
    assert len(sends) >= 9 and len(accounts) == len(buckets) == 1

    refill_s = 12 / index_by_name(controller.settings.plans)["rated"].rate_per_s
    drop_idle_state(controller, 1000 + refill_s * 500)
    assert len(accounts) == len(buckets) == 1  # both are half full

    late = 1000 + max(refill_s * 1000, IDLE_RETENTION_MS) + 5000
    while controller.context.timers.first_at_ms < 2000:  # until the queued requests are sent or rejected
        controller.handle(controller.context.timers.first_at_ms, [])
    drop_idle_state(controller, late)
    assert len(accounts) == 1  # one request is open

    for request in list(controller.flow.open_requests.values()):
        controller.flow.close_request(request)
    drop_idle_state(controller, late + IDLE_RETENTION_MS)
    assert not accounts and not buckets


def test_requests_of_one_customer_with_different_plans_use_separate_accounts():
    controller = new_controller(gateways=1, gateway_number=0)
    controller.handle(1000, [SIX_ENDPOINTS, arrival(1, plan_name="open"), arrival(2)])
    accounts = controller.flow.lease_client.accounts.by_key.values()
    assert sorted(account.plan.name for account in accounts) == ["open", "rated"]
