"""Tests of endpoints: directory."""

import itertools

import pytest
from support.policy_scenarios import SIX_ENDPOINTS, gateway, of, outcome
from support.policy_settings import settings

from gateway.interface.actions import (
    SendAttempt,
    SubscribeEndpoints,
)
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


def parts(gateways, servers):
    return [
        EndpointDirectory(PolicyContext(settings(number=n, gateways=gateways), 1)).preferred_subset(servers)
        for n in range(gateways)
    ]


def backends(count, zones=2):
    return [
        EndpointRecord(Endpoint(f"10.0.{n % 7}.{n}:80", f"z{n % zones}", 0, EndpointState.READY))
        for n in range(count)
    ]


@pytest.mark.parametrize("gateways", [1, 3, GATEWAYS_PER_ENDPOINT])
def test_small_fleet_prefers_all_endpoints(gateways):
    servers = backends(60)
    assert all(part is servers for part in parts(gateways, servers))


@pytest.mark.parametrize(("gateways", "count"), [(40, 60), (40, 36), (40, 7), (16, 60), (47, 53), (300, 60)])
def test_large_fleet_divides_its_endpoints_evenly(gateways, count):
    servers = backends(count)
    shares = parts(gateways, servers)
    times = [sum(one in part for part in shares) for one in servers]
    assert min(times) >= GATEWAYS_PER_ENDPOINT and max(times) - min(times) <= 1
    assert len({len(part) for part in shares}) == 1 and all(
        len(set(map(id, part))) == len(part) for part in shares
    )
    for part in shares:  # both halls, as near as may be
        assert abs(sum(one.entry.zone == "z0" for one in part) - len(part) / 2) <= 1.5
    if count == 60 and gateways == 40:  # gateways in a row have most of the same customers
        ids = [{*map(id, part)} for part in shares]
        assert all(len(a & b) < GATEWAYS_PER_ENDPOINT for a, b in itertools.pairwise(ids))


def test_removed_endpoint_changes_few_preferences():
    servers = backends(60)
    before, after = parts(40, servers), parts(40, servers[:20] + servers[21:])
    moved = sum(one not in old for old, new in zip(before, after, strict=True) for one in new)
    assert moved <= 0.15 * sum(map(len, before))


def test_gateway_with_failing_preferred_endpoints_uses_all():
    """A zone is lost, or a release takes most of them, and the list does not say so yet."""
    c = gateway(gateways=40)
    servers = tuple(Endpoint(f"s{n}", f"z{n % 2}", 0, EndpointState.READY) for n in range(60))
    c.handle(1000, [EndpointUpdate(servers)])
    near, now, sent = {one.entry.id for one in c.directory.preferred}, 1000.0, []
    assert len(near) == 9
    for number in range(1, 200):
        now += 50
        customer = RequestArrived(number, f"c{number}", "seat", "rated", now + 2000, 1, 0, 3)
        sends = of(SendAttempt, c.handle(now, [TimerFired("agenda"), customer]))
        assert number > 1 or {send.endpoint for send in sends} <= near
        sent += [send.endpoint for send in sends]
        more = of(
            SendAttempt,
            c.handle(
                now + 1,
                [
                    outcome(send, AttemptResult.CONNECT_FAILED if send.endpoint in near else AttemptResult.OK)
                    for send in sends
                ],
            ),
        )
        sent += [send.endpoint for send in more]
        c.handle(now + 2, [outcome(send, AttemptResult.OK, 1) for send in more])
    assert sum(server not in near for server in sent[-40:]) >= 25


def test_failed_subscription_is_repeated():
    c = gateway(must_subscribe=True, poll_within_ms=4000)
    assert of(SubscribeEndpoints, c.handle(1000, [SIX_ENDPOINTS]))
    c.handle(1010, [EndpointUpdate((), failed=True)])
    assert of(SubscribeEndpoints, c.handle(2100, [TimerFired("agenda")]))
