"""Tests of the outbox of quota entries."""

import pytest

from gateway.gossip.codec import MAX_ENTRIES, EntryKind, QuotaEntry
from gateway.policy.gossip.outbox import EntryOutbox


def entries(count):
    """Return quota entries with consecutive lease ids, starting at 0."""
    return [QuotaEntry(EntryKind.REQUEST, 1, lease_id, 1.0, 0.0, 0, 0) for lease_id in range(count)]


def outbox_with(counts):
    """Return an outbox; `counts` is the number of entries by gateway."""
    outbox = EntryOutbox()
    for gateway, count in counts.items():
        for entry in entries(count):
            outbox.add(gateway, entry)
    return outbox


def test_new_outbox_is_empty():
    assert not EntryOutbox()
    assert list(EntryOutbox()) == []


def test_message_contains_the_entries_for_its_gateway_in_order():
    outbox = outbox_with({3: 2, 1: 1})
    assert list(outbox) == [3, 1]
    (message,) = outbox.take_messages([3])
    assert message.gateway == 3
    assert message.entries == entries(2)
    assert list(outbox) == [1]


def test_entries_beyond_the_capacity_of_a_message_stay_queued():
    outbox = outbox_with({2: MAX_ENTRIES + 3})
    (first,) = outbox.take_messages([2])
    assert outbox
    (second,) = outbox.take_messages([2])
    assert not outbox
    assert first.entries + second.entries == entries(MAX_ENTRIES + 3)
    assert len(first.entries) == MAX_ENTRIES


def test_taking_a_message_for_a_gateway_without_entries_raises_key_error():
    with pytest.raises(KeyError):
        EntryOutbox().take_messages([5])
