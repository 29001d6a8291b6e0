"""Tests of quota: leader."""

from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, home_of, item, named, of

from gateway.gossip import codec as messages
from gateway.interface.actions import (
    Reject,
    SendAttempt,
    SendGossip,
)
from gateway.interface.events import (
    GossipReceived,
    RequestArrived,
)
from gateway.interface.settings import Plan


def test_in_flight_quota_is_kept_for_all_gateways():
    number = home_of("o")
    c = gateway(number=number)
    peer = (number + 1) % 3
    asks = [item(messages.EntryKind.REQUEST, "o", n, plan_index=2) for n in (1, 2, 3)]
    c.handle(1000, [SIX_ENDPOINTS, GossipReceived(peer, messages.encode(1, 1.0, asks, []))])
    assert len(of(SendAttempt, c.handle(1001, [ask(n, plan="open", customer="o") for n in range(1, 9)]))) == 1
    free = messages.encode(1, 1.0, [item(messages.EntryKind.RETURN, "o", 2, plan_index=2)], [])
    assert len(of(SendAttempt, c.handle(1002, [GossipReceived(peer, free)]))) == 1


def test_leader_grants_no_more_than_the_quota_to_all_gateways():
    """Hundreds of gateways with a slice each would pass many quotas; repeats change nothing."""
    c = gateway(gateways=300, number=7)
    c.handle(1000, [SIX_ENDPOINTS])
    granted = set()
    for n in range(300):
        data = messages.encode(1, 1.0, [item(messages.EntryKind.REQUEST, serial=9)], [])
        if n != 7:
            for tell in of(
                SendGossip, c.handle(1001 + n / 100, [GossipReceived(n, data), GossipReceived(n, data)])
            ):
                news = messages.decode(tell.data)
                granted |= {tell.receiver for told in news.entries if told.kind is messages.EntryKind.GRANT}
    # The class is worth half the worthiest: it leaves two fifths of the burst in store for that one.
    assert (
        6 <= len(granted) <= 8
        and 4.8 <= c.flow.leader.buckets[item(messages.EntryKind.REQUEST).bucket_name].level < 5.9
    )


def test_client_retry_leaves_a_reserve_for_first_attempts():
    """Repeats come when most of their aim has gone by; lent to them, the quota is spent on late answers."""
    granted = {}
    for kind, worthiest in ((messages.EntryKind.RETRY_REQUEST, 0), (messages.EntryKind.REQUEST, 1)):
        c = gateway(gateways=300, number=7)
        c.handle(1000, [SIX_ENDPOINTS])
        asks = [item(kind, serial=n, class_index=worthiest) for n in range(1, 16)]
        c.handle(1001, [GossipReceived(1, messages.encode(1, 1.0, asks, []))])
        granted[kind] = len(c.flow.leader.buckets[asks[0].bucket_name].granted)
    assert granted[messages.EntryKind.RETRY_REQUEST] <= 7 and granted[messages.EntryKind.REQUEST] >= 11


def test_hopeless_lease_request_is_denied_as_soon_as_it_is_certain():
    """Seen: they waited for 0.6 s, up to 76 at once, on connections that others had then no longer."""
    c = gateway(gateways=1, number=0, plans=(Plan("rated", 4, 12, overage_cost=0.5),))
    c.handle(1000, [SIX_ENDPOINTS])
    actions = c.handle(1001, [ask(n, customer="d") for n in range(40)])
    refused, sent = of(Reject, actions), of(SendAttempt, actions)
    waiting = [request for request in c.flow.open.values() if request.awaits_quota]
    assert len(sent) >= 7 and len(refused) + len(sent) + len(waiting) == 40
    assert len(refused) > len(waiting) and all(
        one.retry_after_ms >= 250 for one in refused if one.retry_after_ms
    )
    kind = named(c.settings.classes)["look"]
    for _ in range(200):  # until its home has dropped them
        if c.context.timers.first_at_ms > 1001 + kind.latency_objective_ms * (1 - 0.45) + 10:
            break
        c.handle(c.context.timers.first_at_ms, [])
    assert not any(request.awaits_quota for request in c.flow.open.values())


def test_denied_lease_request_of_a_peer_is_rejected():
    plans = (Plan("rated", 4, 12, overage_cost=0.5),)
    home, peer = (gateway(gateways=300, number=number, plans=plans) for number in (7, 1))
    home.handle(1000, [SIX_ENDPOINTS])
    asks = [item(messages.EntryKind.REQUEST, serial=n) for n in range(1, 16)]
    told = of(SendGossip, home.handle(1001, [GossipReceived(1, messages.encode(1, 1.0, asks, []))]))
    kinds = [one.kind for tell in told for one in messages.decode(tell.data).entries]
    assert messages.EntryKind.DENY in kinds and messages.EntryKind.GRANT in kinds
    peer.handle(1000, [SIX_ENDPOINTS])
    first = peer.settings.number + 6 - messages.customer_tag("c") % 2
    peer.handle(1001, [RequestArrived(1, "c", "look", "rated", 5000.0, 1.0, first, 2)])
    request = peer.flow.open[1]
    assert request.account.leader == 7
    deny = item(messages.EntryKind.DENY, serial=request.lease_id)
    refused = of(Reject, peer.handle(1002, [GossipReceived(7, messages.encode(1, 1.0, [deny], []))]))
    assert [one.id for one in refused] == [1]


def test_full_bucket_serves_any_weight_despite_the_reserve():
    c = gateway(gateways=1, number=0, plans=(Plan("rated", 0.5, 2, overage_cost=0.5),))
    again = RequestArrived(1, "c", "look", "rated", 5000.0, 1.0, 0, 3, is_client_retry=True)
    assert [send.id for send in of(SendAttempt, c.handle(1000, [SIX_ENDPOINTS, again]))] == [1]
