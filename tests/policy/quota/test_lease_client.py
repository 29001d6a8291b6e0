"""Tests of lease requests to quota leaders, and of optimistic admission without a reply."""

from support.policy_events import (
    SIX_ENDPOINTS,
    arrival,
    attempt_ended,
    datagrams_in,
    entries_in,
    leader_of,
    new_controller,
    quota_entry,
    rejections_in,
    sends_in,
)

from gateway.gossip import codec
from gateway.gossip.codec import EntryKind
from gateway.interface.events import (
    AttemptResult,
    ClientDisconnected,
    EndpointUpdate,
    GossipReceived,
    TimerFired,
)
from gateway.interface.settings import Plan

LEADER = leader_of("c")  # number of the gateway that is the quota leader of customer c
OTHER_GATEWAY = (LEADER + 1) % 3  # number of a gateway that sends lease requests to that leader


def from_leader(entry):
    """Return the event that a datagram with this entry has arrived from the leader."""
    return GossipReceived(LEADER, codec.encode(1, 1.0, [entry], []))


def test_silent_leader_gets_repeated_lease_requests_before_one_optimistic_admission():
    controller = new_controller(gateway_number=OTHER_GATEWAY)
    events = [SIX_ENDPOINTS, *(arrival(n, units=4, deadline_at_ms=9000.0) for n in (1, 2, 3))]
    actions = []
    for now in range(1000, 1500, 4):
        actions += controller.handle(now, [*events, TimerFired("agenda")])
        events = []
    kinds = [entry.kind for entry in entries_in(datagrams_in(actions))]
    assert len(sends_in(actions)) == 1
    assert kinds.count(EntryKind.REQUEST) >= 6 and kinds.count(EntryKind.USED) == 1


def test_unused_grant_is_returned_to_the_leader():
    controller = new_controller(gateway_number=OTHER_GATEWAY)
    actions = controller.handle(1000, [EndpointUpdate(()), arrival(1, units=4)])
    (request,) = entries_in(datagrams_in(actions))
    controller.handle(1010, [from_leader(request._replace(kind=EntryKind.GRANT))])
    actions = controller.handle(1200, [ClientDisconnected(1), TimerFired("agenda")])
    assert [entry.kind for entry in entries_in(datagrams_in(actions))] == [EntryKind.RETURN]


def test_customer_far_beyond_its_quota_sends_few_lease_requests():
    controller = new_controller(gateway_number=OTHER_GATEWAY, gossip_inbox_per_s=20)
    controller.handle(1000, [SIX_ENDPOINTS, arrival(1)])
    controller.handle(1010, [from_leader(quota_entry(EntryKind.QUEUED, demand_per_s=400.0))])
    kinds = []
    for n in range(400):
        datagrams = datagrams_in(controller.handle(1012 + n, [arrival(n + 2)]))
        kinds += [entry.kind for entry in entries_in(datagrams)]
    assert 0 < kinds.count(EntryKind.REQUEST) < 100


def test_replies_of_a_gateway_to_itself_do_not_change_the_expected_reply_time():
    controller = new_controller(gateway_number=OTHER_GATEWAY)
    customer = next(f"o{n}" for n in range(99) if leader_of(f"o{n}") == controller.settings.gateway_number)
    controller.handle(1000, [SIX_ENDPOINTS])
    before = controller.flow.lease_client.expected_reply_ms
    for n in range(1, 60):
        controller.handle(1000 + n, [arrival(n, "seat", customer=customer)])
    assert controller.flow.lease_client.expected_reply_ms == before
    (request,) = entries_in(datagrams_in(controller.handle(1100, [arrival(60)])))
    controller.handle(1190, [from_leader(request._replace(kind=EntryKind.QUEUED))])
    assert controller.flow.lease_client.expected_reply_ms > before


def test_request_is_admitted_optimistically_at_once_if_the_reply_is_expected_too_late():
    controller = new_controller(gateway_number=OTHER_GATEWAY)
    controller.handle(1000.0, [SIX_ENDPOINTS])
    controller.flow.lease_client.expected_reply_ms = 500.0
    (send,) = sends_in(controller.handle(1001, [arrival(1)]))
    ended = attempt_ended(send, AttemptResult.OK)
    actions = controller.handle(1002, [ended, arrival(2), TimerFired("agenda")])
    assert not sends_in(actions)  # the local bucket is in debt after the first admission
    assert controller.flow.open_requests[2].lease_requests == 1


def test_missing_replies_raise_the_expected_reply_time_until_requests_are_admitted_at_once():
    """Leaders send datagrams, so that none is silent, but no reply arrives before a request times out."""
    controller = new_controller(gateway_number=OTHER_GATEWAY)
    customers = [f"o{n}" for n in range(300) if leader_of(f"o{n}") != controller.settings.gateway_number]
    datagrams = [GossipReceived(other, codec.encode(1, 1.0, [], [])) for other in range(3)]
    sent = []
    for serial, customer in enumerate(customers[:100], 1):
        for now in range(1000 * serial, 1000 * serial + 1000, 100):
            is_first = now % 1000 == 0
            request = arrival(serial, customer=customer, deadline_at_ms=now + 1500.0)
            events = [SIX_ENDPOINTS, *datagrams, *([request] if is_first else []), TimerFired("agenda")]
            sends = sends_in(controller.handle(now, events))
            sent += [serial] if is_first and sends else []
            controller.handle(now, [attempt_ended(send, AttemptResult.OK) for send in sends])
    assert sent and sent[0] > 3 and sent[-1] == 100


def test_request_without_reply_is_admitted_optimistically_before_its_queue_timeout():
    controller = new_controller(gateway_number=OTHER_GATEWAY)
    controller.flow.lease_client.expected_reply_ms = 100.0
    actions = controller.handle(1000.0, [SIX_ENDPOINTS, arrival(1), arrival(2)])
    assert not sends_in(actions)
    now = 1000.0
    sent = []
    rejected = []
    while now < 1500 and not rejected:
        now += 4
        actions = controller.handle(now, [TimerFired("agenda")])
        sent += sends_in(actions)
        rejected = rejections_in(actions)
    assert len(sent) == 1 and [rejection.id for rejection in rejected] == [3 - sent[0].id]


def test_request_beyond_the_inbox_limit_is_rejected_at_once():
    plans = (Plan("rated", 4, 12),)
    controller = new_controller(gateway_number=OTHER_GATEWAY, gossip_inbox_per_s=20, plans=plans)
    controller.handle(1000, [SIX_ENDPOINTS, arrival(1)])
    controller.handle(1010, [from_leader(quota_entry(EntryKind.QUEUED, demand_per_s=400.0))])
    rejected = rejections_in(controller.handle(1012, [arrival(n) for n in range(2, 102)]))
    requested = [
        request.arrival.id for request in controller.flow.open_requests.values() if request.lease_requests
    ]
    assert 80 < len(rejected) < 100
    assert all(rejection.retry_after_ms >= 250 for rejection in rejected)
    assert sorted([*requested, *(rejection.id for rejection in rejected)]) == [*range(1, 102)]


def test_overage_request_is_admitted_without_a_lease_request():
    controller = new_controller(gateway_number=1)
    controller.handle(0.0, [SIX_ENDPOINTS, arrival(1, customer="d")])
    (account,) = controller.flow.lease_client.accounts.by_key.values()
    account.fleet_demand_per_s = 1e9  # so high that no further lease request is sent
    account.fleet_demand_at_ms = 4.0
    account.quota_level = 0.0
    actions = controller.handle(4.0, [arrival(2, customer="d")])
    assert not controller.errors and [send.id for send in sends_in(actions)] == [2]
