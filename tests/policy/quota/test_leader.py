"""Tests of the quota leader's buckets and of its replies to lease requests."""

from support.policy_events import (
    SIX_ENDPOINTS,
    arrival,
    datagrams_in,
    entries_in,
    index_by_name,
    leader_of,
    new_controller,
    quota_entry,
    rejections_in,
    sends_in,
)

from gateway.gossip import codec
from gateway.gossip.codec import EntryKind
from gateway.interface.events import GossipReceived, RequestArrived
from gateway.interface.settings import Plan


def datagram_of(*entries):
    """Return a datagram of another gateway with these entries."""
    return codec.encode(1, 1.0, list(entries), [])


def test_quota_in_flight_is_shared_by_all_gateways():
    number = leader_of("o")
    peer = (number + 1) % 3
    controller = new_controller(gateway_number=number)
    requests = [quota_entry(EntryKind.REQUEST, "o", n, plan_index=2) for n in (1, 2, 3)]
    controller.handle(1000, [SIX_ENDPOINTS, GossipReceived(peer, datagram_of(*requests))])
    arrivals = [arrival(n, plan_name="open", customer="o") for n in range(1, 9)]
    assert len(sends_in(controller.handle(1001, arrivals))) == 1
    returned = datagram_of(quota_entry(EntryKind.RETURN, "o", 2, plan_index=2))
    assert len(sends_in(controller.handle(1002, [GossipReceived(peer, returned)]))) == 1


def test_repeated_lease_requests_of_all_gateways_draw_no_more_than_the_quota():
    """Each of 299 gateways sends its lease request twice; the repetition must not draw units."""
    controller = new_controller(gateways=300, gateway_number=7)
    controller.handle(1000, [SIX_ENDPOINTS])
    request = quota_entry(EntryKind.REQUEST, serial=9)
    granted = set()
    for peer in [n for n in range(300) if n != 7]:
        received = GossipReceived(peer, datagram_of(request))
        for datagram in datagrams_in(controller.handle(1001 + peer / 100, [received, received])):
            kinds = [entry.kind for entry in entries_in([datagram])]
            granted |= {datagram.receiver} if EntryKind.GRANT in kinds else set()
    # Weight 2 is half of the highest weight, so that 0.8 * 0.5 of the burst of 12 units stays reserved.
    assert 6 <= len(granted) <= 8
    assert 4.8 <= controller.flow.leader.buckets[request.bucket_id].quota_level < 5.9


def count_grants(kind, class_index):
    """Return how many of 15 lease requests of this kind and class a leader with a full bucket grants."""
    controller = new_controller(gateways=300, gateway_number=7)
    controller.handle(1000, [SIX_ENDPOINTS])
    requests = [quota_entry(kind, serial=n, class_index=class_index) for n in range(1, 16)]
    controller.handle(1001, [GossipReceived(1, datagram_of(*requests))])
    return len(controller.flow.leader.buckets[requests[0].bucket_id].grant_times_ms)


def test_lease_requests_for_client_retries_leave_a_reserve_for_first_attempts():
    """The retries have weight 0; the first attempts belong to the class with the highest weight."""
    assert count_grants(EntryKind.RETRY_REQUEST, 0) <= 7
    assert count_grants(EntryKind.REQUEST, 1) >= 11


def test_lease_request_that_would_expire_in_the_queue_is_denied_at_once():
    controller = new_controller(gateways=1, gateway_number=0, plans=(Plan("rated", 4, 12, overage_cost=0.5),))
    controller.handle(1000, [SIX_ENDPOINTS])
    actions = controller.handle(1001, [arrival(n, customer="d") for n in range(40)])
    rejected = rejections_in(actions)
    sent = sends_in(actions)
    queued = [request for request in controller.flow.open_requests.values() if request.awaits_quota]
    assert len(sent) >= 7 and len(rejected) + len(sent) + len(queued) == 40
    assert len(rejected) > len(queued)
    assert all(rejection.retry_after_ms >= 250 for rejection in rejected if rejection.retry_after_ms)
    look = index_by_name(controller.settings.classes)["look"]
    timers = controller.context.timers
    for _ in range(200):  # until the queued lease requests have expired
        if timers.first_at_ms > 1001 + look.latency_objective_ms * (1 - 0.45) + 10:
            break
        controller.handle(timers.first_at_ms, [])
    assert not any(request.awaits_quota for request in controller.flow.open_requests.values())


def test_denied_lease_request_leads_to_a_rejection_by_the_requesting_gateway():
    plans = (Plan("rated", 4, 12, overage_cost=0.5),)
    leader, peer = (new_controller(gateways=300, gateway_number=number, plans=plans) for number in (7, 1))
    leader.handle(1000, [SIX_ENDPOINTS])
    requests = [quota_entry(EntryKind.REQUEST, serial=n) for n in range(1, 16)]
    replies = datagrams_in(leader.handle(1001, [GossipReceived(1, datagram_of(*requests))]))
    kinds = [entry.kind for entry in entries_in(replies)]
    assert EntryKind.DENY in kinds and EntryKind.GRANT in kinds

    peer.handle(1000, [SIX_ENDPOINTS])
    first = peer.settings.gateway_number + 6 - codec.customer_tag("c") % 2
    peer.handle(1001, [RequestArrived(1, "c", "look", "rated", 5000.0, 1.0, first, 2)])
    request = peer.flow.open_requests[1]
    assert request.account.leader == 7
    deny = quota_entry(EntryKind.DENY, serial=request.lease_id)
    rejected = rejections_in(peer.handle(1002, [GossipReceived(7, datagram_of(deny))]))
    assert [rejection.id for rejection in rejected] == [1]


def test_full_bucket_grants_a_request_with_weight_0_despite_the_reserve():
    controller = new_controller(
        gateways=1, gateway_number=0, plans=(Plan("rated", 0.5, 2, overage_cost=0.5),)
    )
    retry = RequestArrived(1, "c", "look", "rated", 5000.0, 1.0, 0, 3, is_client_retry=True)
    sends = sends_in(controller.handle(1000, [SIX_ENDPOINTS, retry]))
    assert [send.id for send in sends] == [1]
