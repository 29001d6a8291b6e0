"""Tests of the times and the entries of datagrams to other gateways."""

from support.policy_events import (
    SIX_ENDPOINTS,
    arrival,
    datagrams_in,
    entries_in,
    leader_of,
    new_controller,
    timers_in,
)

from gateway.gossip import codec
from gateway.interface.events import GossipReceived, RequestArrived, TimerFired


def test_datagrams_are_sent_only_to_the_quota_leader_and_only_with_entries():
    controller = new_controller(gateway_number=(leader_of("c") + 1) % 3)
    controller.handle(1000, [SIX_ENDPOINTS])
    receivers = []
    for now in range(1004, 3000, 4):
        events = [arrival(now, deadline_at_ms=now + 1500.0)] if now == 1500 else []
        actions = controller.handle(now, [*events, TimerFired("agenda")])
        receivers += [datagram.receiver for datagram in datagrams_in(actions)]
    assert set(receivers) == {leader_of("c")} and len(receivers) <= 4


def test_gateway_with_a_busy_inbox_limits_its_datagrams_to_each_peer():
    controller = new_controller(gateways=4, gateway_number=0, gossip_inbox_per_s=40)
    receivers = []
    controller.handle(1000, [SIX_ENDPOINTS])
    for serial, now in enumerate(range(1005, 6000, 5), 1):
        events = [
            RequestArrived(serial, f"c{serial}", "look", "rated", now + 1500.0, 1, 0, 4),
            TimerFired("agenda"),
        ]
        if now % 100 == 0:  # the other gateways send 10 datagrams per second each
            events += [GossipReceived(other, codec.encode(1, 1.0, [], [])) for other in (1, 2, 3)]
        datagrams = datagrams_in(controller.handle(now, events))
        receivers += [datagram.receiver for datagram in datagrams if now >= 3000]
    assert 0 < max(receivers.count(other) for other in (1, 2, 3)) <= 3 * 40 / 3


def test_entries_beyond_the_capacity_of_a_datagram_are_sent_in_the_next_ones():
    controller = new_controller(gateway_number=(leader_of("c") + 1) % 3)
    actions = controller.handle(1000, [SIX_ENDPOINTS, *(arrival(n, "seat") for n in range(1, 51))])
    lease_ids = []
    now = 1000.0
    while now < 1100:
        lease_ids += [entry.lease_id for entry in entries_in(datagrams_in(actions))]
        now += min((wake.after_ms for wake in timers_in(actions)), default=4.0)
        actions = controller.handle(now, [TimerFired("agenda")])
    assert sorted(lease_ids) == [*range(1, 51)]
