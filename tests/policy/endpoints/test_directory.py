"""Tests of the endpoints that a gateway prefers, and of its subscription to the endpoint list."""

import itertools

import hypothesis
import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.policy_events import SIX_ENDPOINTS, actions_of_type, attempt_ended, new_controller, sends_in
from support.policy_settings import settings

from gateway.interface.actions import SubscribeEndpoints
from gateway.interface.events import (
    AttemptResult,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    RequestArrived,
    TimerFired,
)
from gateway.policy.context import PolicyContext
from gateway.policy.endpoints.directory import GATEWAYS_PER_ENDPOINT, EndpointDirectory
from gateway.policy.endpoints.endpoint_record import EndpointRecord


def preferred_by_gateway(gateways, endpoints):
    """Return the lists of endpoints that the gateways of a fleet of `gateways` prefer, by number."""
    directories = [
        EndpointDirectory(PolicyContext(settings(gateway_number=n, gateways=gateways), 1))
        for n in range(gateways)
    ]
    return [directory.preferred_subset(endpoints) for directory in directories]


def endpoint_records(count, zones=2):
    """Return the records of ready endpoints, which are divided evenly over the zones."""
    return [
        EndpointRecord(Endpoint(f"10.0.{n % 7}.{n}:80", f"z{n % zones}", 0, EndpointState.READY))
        for n in range(count)
    ]


@pytest.mark.parametrize("gateways", [1, 3, GATEWAYS_PER_ENDPOINT])
def test_small_fleet_prefers_all_endpoints(gateways):
    endpoints = endpoint_records(60)
    assert all(preferred is endpoints for preferred in preferred_by_gateway(gateways, endpoints))


def check_even_division(preferred, endpoints):
    """Check that all gateways prefer equally many endpoints, and endpoints differ by one gateway at most."""
    gateway_counts = [sum(endpoint in subset for subset in preferred) for endpoint in endpoints]
    assert min(gateway_counts) >= GATEWAYS_PER_ENDPOINT and max(gateway_counts) - min(gateway_counts) <= 1
    assert len({len(subset) for subset in preferred}) == 1
    assert all(len({id(endpoint) for endpoint in subset}) == len(subset) for subset in preferred)
    for subset in preferred:  # half of each subset is in either zone
        assert abs(sum(endpoint.entry.zone == "z0" for endpoint in subset) - len(subset) / 2) <= 1.5


@pytest.mark.parametrize(("gateways", "count"), [(40, 60), (40, 36), (40, 7), (16, 60), (47, 53), (300, 60)])
def test_large_fleet_divides_its_endpoints_evenly(gateways, count):
    endpoints = endpoint_records(count)
    preferred = preferred_by_gateway(gateways, endpoints)
    check_even_division(preferred, endpoints)
    if count == 60 and gateways == 40:  # gateways with consecutive numbers serve mostly the same customers
        ids = [{id(endpoint) for endpoint in subset} for subset in preferred]
        assert all(len(a & b) < GATEWAYS_PER_ENDPOINT for a, b in itertools.pairwise(ids))


@given(gateways=st.integers(GATEWAYS_PER_ENDPOINT + 1, 120), count=st.integers(1, 90))
@hypothesis.settings(deadline=None)
def test_fleet_of_any_size_divides_its_endpoints_evenly(gateways, count):
    endpoints = endpoint_records(count)
    check_even_division(preferred_by_gateway(gateways, endpoints), endpoints)


def test_removed_endpoint_changes_few_preferences():
    endpoints = endpoint_records(60)
    before = preferred_by_gateway(40, endpoints)
    after = preferred_by_gateway(40, endpoints[:20] + endpoints[21:])
    added = sum(endpoint not in old for old, new in zip(before, after, strict=True) for endpoint in new)
    assert added <= 0.15 * sum(map(len, before))


def test_gateway_uses_all_endpoints_when_its_preferred_ones_fail():
    """No preferred endpoint accepts connections, as after the loss of a zone, but all are listed as ready."""
    controller = new_controller(gateways=40)
    endpoints = tuple(Endpoint(f"s{n}", f"z{n % 2}", 0, EndpointState.READY) for n in range(60))
    controller.handle(1000, [EndpointUpdate(endpoints)])
    preferred = {endpoint.entry.id for endpoint in controller.directory.preferred}
    now = 1000.0
    sent = []
    assert len(preferred) == 9
    for number in range(1, 200):
        now += 50
        request = RequestArrived(number, f"c{number}", "seat", "rated", now + 2000, 1, 0, 3)
        sends = sends_in(controller.handle(now, [TimerFired("agenda"), request]))
        assert number > 1 or {send.endpoint for send in sends} <= preferred
        sent += [send.endpoint for send in sends]
        ends = [
            attempt_ended(
                send, AttemptResult.CONNECT_FAILED if send.endpoint in preferred else AttemptResult.OK
            )
            for send in sends
        ]
        retries = sends_in(controller.handle(now + 1, ends))
        sent += [send.endpoint for send in retries]
        controller.handle(now + 2, [attempt_ended(send, AttemptResult.OK, 1) for send in retries])
    assert sum(endpoint not in preferred for endpoint in sent[-40:]) >= 25


def test_failed_subscription_is_repeated():
    controller = new_controller(must_subscribe=True, poll_within_ms=4000)
    assert actions_of_type(SubscribeEndpoints, controller.handle(1000, [SIX_ENDPOINTS]))
    controller.handle(1010, [EndpointUpdate((), failed=True)])
    assert actions_of_type(SubscribeEndpoints, controller.handle(2100, [TimerFired("agenda")]))
