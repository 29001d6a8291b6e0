"""Tests of gossip: codec."""

import pytest
from support.policy_scenarios import SIX_ENDPOINTS, ask, gateway, item, of, outcome

from gateway.gossip import codec as messages
from gateway.interface.actions import (
    SendAttempt,
)
from gateway.interface.events import (
    AttemptResult,
    GossipReceived,
)
from gateway.interface.settings import Idempotency, RequestClass


def test_unreadable_datagrams_change_nothing():
    c = gateway()
    c.handle(1000, [SIX_ENDPOINTS])
    good = messages.encode(5, 1.0, [item(messages.EntryKind.USED, units=4)], [])
    odd = [
        messages.encode(5, 1.0, [item(messages.EntryKind.USED, class_index=15)], []),
        messages.encode(5, 1.0, [item(messages.EntryKind.REQUEST, plan_index=15)], []),
        messages.encode(5, 1.0, [item(messages.EntryKind.GRANT), item(messages.EntryKind.QUEUED)], []),
        messages.encode(5, 1.0, [], [messages.EndpointObservation(77, 15, 15)]),
    ]
    bad_kind = bytearray(good)
    bad_kind[6] = 99
    for data in (b"", b"\x00", good[:-1], b"\xff" + good[1:], bytes(300), bytes(bad_kind), *odd):
        assert not of(SendAttempt, c.handle(1001, [GossipReceived(1, data)]))
    c.handle(1001, [GossipReceived(9, good), GossipReceived(0, good)])
    assert not c.flow.leader.buckets and not c.flow.open
    c.handle(1001, [GossipReceived(1, good), GossipReceived(1, good)])  # repeated: counted once
    assert c.flow.leader.buckets[item(messages.EntryKind.REQUEST).bucket_name].level == pytest.approx(
        12 - 4, abs=0.1
    )


def test_messages_survive_a_round_trip_within_the_size_limit():
    items = [item(messages.EntryKind(1 + n % 6), f"c{n}", n, n / 16, 2.25, n % 16, 3) for n in range(100)]
    ratios = (0.01, 1.0, 2.0, float("inf"))
    sightings = [messages.observe(f"s{n}", n, ratio) for n, ratio in enumerate(ratios)]
    data = messages.encode(70000, 1.5, items, sightings)
    news = messages.decode(data)
    assert (
        len(data) <= messages.MAX_BYTES
        and news.incarnation == 70000 & 0xFFFF
        and news.target_concurrency == 1.5
    )
    assert news.entries == tuple(items[: messages.MAX_ENTRIES]) and news.observations == tuple(sightings)
    assert [messages.latency_ratio_of(seen) for seen in news.observations] == [0.25, 1.0, 2.0, float("inf")]


def test_values_out_of_range_are_left_out_of_a_message():
    """The 17th class raised for the whole turn, and all its sends were lost."""
    item = messages.QuotaEntry(messages.EntryKind.REQUEST, 7, 3, 1.0, 2.0, 1, 2)
    seen = messages.observe("s", 16, 1.0), messages.observe("s", 15, 1.0)
    news = messages.decode(
        messages.encode(
            1, 1.0, [item._replace(class_index=16), item, item._replace(plan_index=16)], list(seen)
        )
    )
    assert news.entries == (item,) and [one.class_index for one in news.observations] == [15]
    kinds = tuple(RequestClass(f"k{n}", 600, 1500, 2, Idempotency.IDEMPOTENT) for n in range(20))
    c = gateway(classes=kinds)
    c.handle(1000, [SIX_ENDPOINTS])
    for turn in range(1, 40):
        actions = c.handle(1000 + 4 * turn, [ask(turn, f"k{turn % 20}", customer=f"{turn:016x}")])
        c.handle(1002 + 4 * turn, [outcome(send, AttemptResult.OK) for send in of(SendAttempt, actions)])
    assert not c.errors
