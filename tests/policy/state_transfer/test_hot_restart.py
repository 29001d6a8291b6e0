"""Tests of a hot restart between controllers: quotas and leases of predecessor and successor."""

import json

from support.policy_events import SIX_ENDPOINTS, datagrams_in, sends_in
from support.policy_settings import settings

from gateway.interface.actions import Reject
from gateway.interface.events import AttemptEnded, AttemptResult, GossipReceived, RequestArrived
from gateway.interface.settings import Plan
from gateway.policy.controller import Controller
from gateway.policy.quota.leader_bucket import LeaderBucket
from gateway.policy.state_transfer import hot_restart
from gateway.policy.state_transfer.gateway_state import GatewayState

START_MS = 10_000.0
SETTINGS = settings(
    gateways=2,
    plans=(
        Plan(
            "rated", 4, 12, overage_cost=1.0
        ),  # overage costs more than its weight, so no request is forwarded beyond the quota
        Plan("capped", 8, 16, overage_cost=1.0, ceiling_per_s=16, ceiling_burst=32, ceiling_slack=4),
    ),
)


def started_controller(seed=1):
    """Return a controller with six endpoints, started at START_MS."""
    controller = Controller(SETTINGS, seed)
    controller.handle(START_MS, [SIX_ENDPOINTS])
    return controller


def arrivals(request_ids, now, plan_name="rated"):
    """Return the arrivals of requests of customer c, whose quota leader is gateway 0."""
    return [
        RequestArrived(request_id, "c", "look", plan_name, now + 1400, 1, 0, 1) for request_id in request_ids
    ]


def sent_ids(actions):
    """Return the ids of the requests of which an attempt is sent."""
    return [send.id for send in sends_in(actions)]


def hand_over(predecessor, successor, now, successor_now=None):
    """Restore the predecessor's state, passed as JSON, in a successor whose clock shows `successor_now`."""
    state = json.loads(json.dumps(hot_restart.export_state(predecessor, now).to_json()))
    successor_now = now if successor_now is None else successor_now
    hot_restart.restore_state(successor, successor_now, GatewayState.from_json(state))


def forwarded(controller, request_ids, now):
    """Handle the arrivals of requests one by one, and return the ids of the forwarded ones.

    Each attempt succeeds at once, so that only the quota limits the number of forwarded requests.
    """
    forwarded = []
    for request_id in request_ids:
        for send in sends_in(controller.handle(now, arrivals([request_id], now))):
            controller.handle(now, [AttemptEnded(send.id, 0, send.endpoint, 1.0, AttemptResult.OK, True)])
            forwarded.append(send.id)
    return forwarded


def test_successor_does_not_grant_units_that_its_predecessor_granted():
    predecessor = started_controller()
    successor = started_controller(2)
    unrelated = started_controller(3)
    now = START_MS + 10
    assert forwarded(predecessor, range(12), now)
    hand_over(predecessor, successor, now)
    assert not forwarded(successor, range(100, 103), now)  # the rest of the burst is reserved
    assert len(forwarded(unrelated, range(200, 203), now)) == 3


def test_retired_process_grants_no_lease_and_requests_one_from_its_successor():
    predecessor = started_controller()
    successor = started_controller(2)
    now = START_MS + 10
    hand_over(predecessor, successor, now)
    actions = predecessor.handle(now, arrivals([1], now))
    assert not sends_in(actions)
    (request,) = datagrams_in(actions)
    assert request.receiver == 0  # the successor, which has the same gateway number
    (reply,) = datagrams_in(successor.handle(now + 1, [GossipReceived(0, request.data)]))
    assert reply.receiver == 0
    assert sent_ids(predecessor.handle(now + 2, [GossipReceived(0, reply.data)])) == [1]
    (bucket, *_) = successor.flow.leader.buckets.values()
    assert bucket.quota_level <= 11.01  # the units of the request are drawn from the successor's bucket


def test_lease_request_queued_before_the_restart_is_granted_by_the_successor():
    predecessor = started_controller()
    successor = started_controller(2)
    now = START_MS + 10
    forwarded(predecessor, range(12), now)
    actions = predecessor.handle(now, arrivals([50], now))
    assert not sends_in(actions)
    assert Reject not in [type(action) for action in actions if getattr(action, "id", 0) == 50]
    hand_over(predecessor, successor, now)
    assert any(bucket.queue for bucket in successor.flow.leader.buckets.values())
    for step in range(1, 300):
        replies = datagrams_in(successor.handle(now + 4 * step, []))
        if replies:
            break
    assert sent_ids(predecessor.handle(now + 4 * step, [GossipReceived(0, replies[0].data)])) == [50]


def ceiling_levels(controller):
    """Return the ceiling levels of all buckets of the controller's quota leader."""
    return [bucket.ceiling_level for bucket in controller.flow.leader.buckets.values()]


def test_ceilings_are_transferred_and_are_empty_when_the_predecessor_resumes():
    predecessor = started_controller()
    successor = started_controller(2)
    now = START_MS + 4000
    predecessor.handle(now, arrivals([1], now, "capped"))
    before = sum(ceiling_levels(predecessor))
    assert before > 0
    hand_over(predecessor, successor, now)
    assert sum(ceiling_levels(successor)) == before and not predecessor.flow.leader.buckets
    accounts = predecessor.flow.lease_client.accounts.by_key.values()
    assert all(account.ceiling_level == account.quota_level == 0 for account in accounts)
    hot_restart.end_retirement(predecessor, now + 5)  # the successor has ended; what it granted is unknown
    predecessor.handle(now + 5, arrivals([2], now + 5, "capped"))
    (bucket,) = predecessor.flow.leader.buckets.values()
    # The successor may have granted the full burst of the quota, which is 16 units.
    assert isinstance(bucket, LeaderBucket) and bucket.ceiling_level < 32 * 0.75 - 16


def test_restore_by_a_process_with_another_clock_adds_no_units():
    predecessor = started_controller()
    successor = Controller(SETTINGS, 2)
    now = START_MS + 10
    ahead_ms = 1e9
    forwarded(predecessor, range(12), now)
    successor.handle(START_MS + ahead_ms, [SIX_ENDPOINTS])
    hand_over(predecessor, successor, now, now + ahead_ms)
    assert not forwarded(successor, range(100, 103), now + ahead_ms)
