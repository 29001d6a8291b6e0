"""Tests of state_transfer: hot restart."""

import json

from support.policy_scenarios import SIX_ENDPOINTS
from support.policy_settings import settings

from gateway.interface.actions import Reject, SendAttempt, SendGossip
from gateway.interface.events import AttemptEnded, AttemptResult, GossipReceived, RequestArrived
from gateway.interface.settings import Plan
from gateway.policy.controller import Controller
from gateway.policy.quota.leader_bucket import LeaderBucket
from gateway.policy.state_transfer import hot_restart
from gateway.policy.state_transfer.gateway_state import GatewayState

START = 10_000.0


SETTINGS = settings(
    gateways=2,
    plans=(
        Plan("rated", 4, 12, overage_cost=1.0),  # nothing goes beyond the quota
        Plan("capped", 8, 16, overage_cost=1.0, ceiling_per_s=16, ceiling_burst=32, ceiling_slack=4),
    ),
)


def gateway(seed=1):
    made = Controller(SETTINGS, seed)
    made.handle(START, [SIX_ENDPOINTS])
    return made


def arrivals(numbers, customer, now, plan="rated"):
    return [RequestArrived(number, customer, "look", plan, now + 1400, 1, 0, 1) for number in numbers]


def sends(actions):
    return [action.id for action in actions if isinstance(action, SendAttempt)]


def handed_over(old, new, now):
    state = json.loads(json.dumps(hot_restart.export_state(old, now).to_json()))
    hot_restart.take_over(new, now, GatewayState.from_json(state))


def let_in(controller, numbers, now):
    """The requests that are sent on; each is answered at once, so that only the quota holds any back."""
    sent = []
    for number in numbers:
        actions = controller.handle(now, arrivals([number], "c", now))
        for send in (action for action in actions if isinstance(action, SendAttempt)):
            controller.handle(now, [AttemptEnded(send.id, 0, send.endpoint, 1.0, AttemptResult.OK, True)])
            sent.append(send.id)
    return sent


def test_spent_units_are_not_granted_again():
    old, new, fresh = gateway(), gateway(2), gateway(3)
    now = START + 10
    assert let_in(old, range(12), now)
    handed_over(old, new, now)
    assert not let_in(new, range(100, 103), now)  # the burst is spent but for what lesser worth leaves
    assert len(let_in(fresh, range(200, 203), now)) == 3


def test_retired_process_grants_nothing_and_asks_its_successor():
    old, new = gateway(), gateway(2)
    now = START + 10
    handed_over(old, new, now)
    actions = old.handle(now, arrivals([1], "c", now))
    assert not sends(actions)
    (told,) = [action for action in actions if isinstance(action, SendGossip)]
    assert told.receiver == 0  # its own number: the other process
    (reply,) = [
        action
        for action in new.handle(now + 1, [GossipReceived(0, told.data)])
        if isinstance(action, SendGossip)
    ]
    assert reply.receiver == 0
    assert sends(old.handle(now + 2, [GossipReceived(0, reply.data)])) == [1]
    level = next(iter(new.flow.leader.buckets.values())).level
    assert level <= 11.01  # its units are taken where the store is now


def test_waiting_request_gets_its_reply_from_the_successor():
    old, new = gateway(), gateway(2)
    now = START + 10
    let_in(old, range(12), now)
    waiting = old.handle(now, arrivals([50], "c", now))
    assert not sends(waiting) and Reject not in [type(one) for one in waiting if getattr(one, "id", 0) == 50]
    handed_over(old, new, now)
    assert any(store.queue for store in new.flow.leader.buckets.values())
    for step in range(1, 300):
        told = [action for action in new.handle(now + 4 * step, []) if isinstance(action, SendGossip)]
        if told:
            break
    assert sends(old.handle(now + 4 * step, [GossipReceived(0, told[0].data)])) == [50]


def test_ceilings_are_transferred_and_resume_empty():
    old, new = gateway(), gateway(2)
    now = START + 4000
    old.handle(now, arrivals([1], "c", now, "capped"))
    before = sum(store.ceiling_level for store in old.flow.leader.buckets.values())
    assert before > 0
    handed_over(old, new, now)
    assert (
        sum(store.ceiling_level for store in new.flow.leader.buckets.values()) == before
        and not old.flow.leader.buckets
    )
    assert all(
        account.ceiling_level == account.quota_level == 0
        for account in old.flow.lease_client.accounts.by_key.values()
    )
    hot_restart.resume(old, now + 5)  # the next process is gone, with what it spent
    old.handle(now + 5, arrivals([2], "c", now + 5, "capped"))
    (store,) = old.flow.leader.buckets.values()
    assert (
        isinstance(store, LeaderBucket) and store.ceiling_level < 32 * 0.75 - 16
    )  # the quota's store may have been lent


def test_clock_difference_fills_no_bucket():
    old, new = gateway(), Controller(SETTINGS, 2)
    now, ahead = START + 10, 1e9
    let_in(old, range(12), now)
    new.handle(START + ahead, [SIX_ENDPOINTS])
    state = json.loads(json.dumps(hot_restart.export_state(old, now).to_json()))
    hot_restart.take_over(new, now + ahead, GatewayState.from_json(state))
    assert not let_in(new, range(100, 103), now + ahead)
