"""Tests of gossip: pace."""

from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, home_of, of

from gateway.gossip import codec as messages
from gateway.interface.actions import (
    SendGossip,
    SetTimer,
)
from gateway.interface.events import (
    GossipReceived,
    RequestArrived,
    TimerFired,
)


def test_only_the_leader_is_notified_and_only_of_changes():
    c, told = gateway(number=(home_of("c") + 1) % 3), []
    c.handle(1000, [SIX_ENDPOINTS])
    for now in range(1004, 3000, 4):
        events = [ask(now, due=now + 1500.0)] if now == 1500 else []
        told += [tell.receiver for tell in of(SendGossip, c.handle(now, [*events, TimerFired("agenda")]))]
    assert set(told) == {home_of("c")} and len(told) <= 4


def test_busy_gateways_do_not_fill_each_others_inboxes():
    """Seen in service: each took in 40 messages a second and was sent 48, so that one in six was lost."""
    c, told = gateway(gateways=4, number=0, gossip_inbox_per_s=40), []
    c.handle(1000, [SIX_ENDPOINTS])
    for serial, now in enumerate(range(1005, 6000, 5), 1):
        events = [
            RequestArrived(serial, f"c{serial}", "look", "rated", now + 1500.0, 1, 0, 4),
            TimerFired("agenda"),
        ]
        if now % 100 == 0:  # each of the others says as much as we may
            events += [GossipReceived(other, messages.encode(1, 1.0, [], [])) for other in (1, 2, 3)]
        told += [tell.receiver for tell in of(SendGossip, c.handle(now, events)) if now >= 3000]
    assert 0 < max(told.count(other) for other in (1, 2, 3)) <= 3 * 40 / 3


def test_entries_beyond_one_message_go_with_the_next():
    c = gateway(number=(home_of("c") + 1) % 3)
    actions = c.handle(1000, [SIX_ENDPOINTS, *(ask(n, "seat") for n in range(1, 51))])
    told, now = [], 1000.0
    while now < 1100:
        for tell in of(SendGossip, actions):
            told += [item.lease_id for item in messages.decode(tell.data).entries]
        now += min((wake.after_ms for wake in of(SetTimer, actions)), default=4.0)
        actions = c.handle(now, [TimerFired("agenda")])
    assert sorted(told) == [*range(1, 51)]
