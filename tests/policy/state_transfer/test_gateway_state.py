"""Tests of the JSON form of a gateway's state, and of the snapshots in it."""

import json

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from support.policy_settings import settings

from gateway.gossip.codec import EntryKind, QuotaEntry
from gateway.interface.events import Endpoint, EndpointState
from gateway.policy.decay import NEVER_MS
from gateway.policy.endpoints.endpoint_record import ClassCounts, EndpointRecord
from gateway.policy.quota.account import AccountKey, CustomerAccount
from gateway.policy.quota.leader_bucket import LeaderBucket, LeaseKey, LeaseRequest
from gateway.policy.state_transfer.gateway_state import GatewayState
from gateway.policy.state_transfer.snapshots import (
    AccountSnapshot,
    BucketSnapshot,
    EndpointSnapshot,
    LeaseRequestSnapshot,
    LeaseTime,
    LimiterSnapshot,
)

SHIFT_MS = 250.0
PLAN = settings().plans[0]
ENTRY = QuotaEntry(EntryKind.REQUEST, 7, 3, 1.0, 2.0, 1, 0)

VALUES = st.floats(allow_nan=False)
COUNTS = st.dictionaries(st.text(), VALUES, max_size=3)
LEASE_KEYS = st.builds(LeaseKey, *[st.integers(0, 0xFFFF)] * 3)
LEASE_TIMES = st.lists(st.builds(LeaseTime, LEASE_KEYS, VALUES), max_size=3)
ENTRIES = st.builds(
    QuotaEntry,
    st.sampled_from(EntryKind),
    st.integers(0, 0xFFFFFFFF),
    st.integers(0, 0xFFFF),
    VALUES,
    VALUES,
    st.integers(0, 15),
    st.integers(0, 15),
)
ACCOUNT_KEYS = st.builds(AccountKey, st.text(), st.text(), st.integers(), st.integers())
ACCOUNTS = st.builds(AccountSnapshot, ACCOUNT_KEYS, *[VALUES] * 6)
LEASE_REQUESTS = st.builds(LeaseRequestSnapshot, LEASE_KEYS, ENTRIES, *[VALUES] * 3)
BUCKETS = st.builds(
    BucketSnapshot,
    st.integers(),
    st.integers(0, 15),
    *[VALUES] * 4,
    st.lists(LEASE_REQUESTS, max_size=3),
    LEASE_TIMES,
    LEASE_TIMES,
)
ENDPOINTS = st.builds(EndpointSnapshot, st.text(), VALUES, VALUES, COUNTS, COUNTS, *[VALUES] * 3)
STATES = st.builds(
    GatewayState,
    exported_at_ms=VALUES,
    incarnation=st.integers(0, 0xFFFF),
    last_lease_id=st.integers(0, 0xFFFF),
    started_at_ms=VALUES,
    expected_reply_ms=VALUES,
    accounts=st.lists(ACCOUNTS, max_size=3),
    buckets=st.lists(BUCKETS, max_size=3),
    endpoints=st.lists(ENDPOINTS, max_size=3),
    reference_capacity=VALUES,
    recent_sends=VALUES,
    retry_budget=VALUES,
    limiter=st.builds(LimiterSnapshot, *[VALUES] * 4),
    shares=COUNTS,
    expected_latencies_ms=COUNTS,
)


def empty_state():
    """Return the JSON form of a state without accounts, buckets and endpoints."""
    limiter = LimiterSnapshot(1.0, 1.0, 1.0, 1.0)
    return GatewayState(0.0, 1, 2, 0.0, 60.0, [], [], [], 1.0, 0.0, 10.0, limiter, {}, {}).to_json()


@hypothesis_settings(deadline=None, max_examples=100)
@given(STATES)
def test_state_is_unchanged_by_a_round_trip_through_json(state):
    assert GatewayState.from_json(json.loads(json.dumps(state.to_json()))) == state


@pytest.mark.parametrize("key", list(empty_state()))
def test_missing_key_raises_key_error(key):
    value = empty_state()
    del value[key]
    with pytest.raises(KeyError, match=key):
        GatewayState.from_json(value)


@pytest.mark.parametrize(
    ("key", "row"),
    [
        ("accounts", [["c", "rated", 1], 0.0, 0.0, 0.0, 0.0, 0.0, 0.0]),
        ("accounts", [["c", "rated", 1, 0], 0.0]),
        ("accounts", []),
        ("stores", [1, 0, 0.0, 0.0, 0.0, 0.0, [], []]),
        ("stores", [1, 0, 0.0, 0.0, 0.0, 0.0, [[[0, 0, 0], [99, 1, 1, 1, 1, 1, 1], 0, 0, 0]], [], []]),
        ("stores", [1, 0, 0.0, 0.0, 0.0, 0.0, [], [[[0, 0], 1.0]], []]),
        ("servers", ["endpoint", 0.0]),
        ("servers", 5),
    ],
)
def test_malformed_row_raises_type_or_value_error(key, row):
    value = empty_state()
    value[key] = [row]
    with pytest.raises((TypeError, ValueError)):
        GatewayState.from_json(value)


def test_restored_account_has_its_times_shifted_to_the_new_clock():
    account = CustomerAccount(PLAN, 5, 2, 1, 100.0, -1.0, 2.0, 3.0, 4.0, 90.0)
    restored = CustomerAccount(PLAN, 5, 2, 1, 0.0)
    AccountSnapshot.of(AccountKey("c", PLAN.name, 2, 0), account).restore(restored, SHIFT_MS)
    assert restored.refilled_at_ms == 100.0 + SHIFT_MS
    assert restored.fleet_demand_at_ms == 90.0 + SHIFT_MS
    assert (restored.quota_level, restored.ceiling_level) == (-1.0, 2.0)
    assert (restored.demand, restored.fleet_demand_per_s) == (3.0, 4.0)


def test_restored_bucket_has_its_times_shifted_and_leaves_the_original_unchanged():
    key = LeaseKey(1, 2, 3)
    bucket = LeaderBucket(9, PLAN, 4.0, 100.0, 5.0, 6.0)
    bucket.queue = [LeaseRequest(key, ENTRY, 2.0, 90.0, 300.0)]
    bucket.slot_expiries_ms = {key: 400.0}
    bucket.grant_times_ms = {key: 80.0}
    restored = LeaderBucket(9, PLAN, 0.0, 0.0)
    BucketSnapshot.of(9, 0, bucket).restore(restored, SHIFT_MS)
    assert (restored.quota_level, restored.ceiling_level, restored.demand) == (4.0, 5.0, 6.0)
    assert restored.refilled_at_ms == 100.0 + SHIFT_MS
    (queued,) = restored.queue
    assert (queued.key, queued.entry, queued.priority_weight) == (key, ENTRY, 2.0)
    assert (queued.received_at_ms, queued.expires_at_ms) == (90.0 + SHIFT_MS, 300.0 + SHIFT_MS)
    assert restored.slot_expiries_ms == {key: 400.0 + SHIFT_MS}
    assert restored.grant_times_ms == {key: 80.0 + SHIFT_MS}
    assert bucket.queue[0].received_at_ms == 90.0


@pytest.mark.parametrize(("reported_at_ms", "expected"), [(70.0, 70.0 + SHIFT_MS), (NEVER_MS, NEVER_MS)])
def test_restored_endpoint_has_its_times_shifted_and_no_attempts_in_flight(reported_at_ms, expected):
    entry = Endpoint("endpoint", "a", 0, EndpointState.READY)
    counts = ClassCounts({"look": 2.0})
    endpoint = EndpointRecord(entry, 3, 1.5, counts, ClassCounts(), 60.0, 4.0, reported_at_ms)
    restored = EndpointRecord(entry)
    EndpointSnapshot.of(endpoint).restore(restored, SHIFT_MS)
    assert restored.in_flight == 0
    assert (restored.latency_factor, restored.peer_load) == (1.5, 4.0)
    assert (restored.outcomes, restored.failures) == ({"look": 2.0}, {})
    assert restored.observed_at_ms == 60.0 + SHIFT_MS
    assert restored.reported_at_ms == expected
